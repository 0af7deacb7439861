package dispatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/engine"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/retry"
	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// localRetries is the budget of retries within one online request: each may be
// placed again after a refusal or a lost worker, up to maxOnlineAttempts.
const localRetries = 100

// handleGenerate runs one online request and streams its frames.
func (d *Dispatcher) handleGenerate(ctx context.Context, request *wire.GenerateRequest, stream *rpc.FrameWriter) error {
	if err := d.accepts(); err != nil {
		return err
	}
	started := time.Now()
	running := newTask(d, request, d.online, maxOnlineAttempts)
	running.emit = stream.Send
	err := running.run(ctx, retry.NewBudget(localRetries))
	d.metrics.request(wire.Online, started, err)
	if err != nil {
		return d.failed(running, stream, err)
	}
	return stream.Send(&wire.GenerateFrame{
		Kind:         wire.FrameEnd,
		AttemptID:    running.attempt.ID,
		Offset:       running.answer.tokens,
		FinishReason: running.answer.finishReason,
		PromptTokens: running.answer.promptTokens,
		Utilization:  d.utilization(),
	})
}

// failed turns a failure into what is true of the whole request: if any attempt
// may have run, "not run" must not be said.
func (d *Dispatcher) failed(ended *task, stream *rpc.FrameWriter, err error) error {
	typed := failure.From(err)
	if ended.started && typed.Kind == failure.NotRun {
		err = failure.Wrap(err, failure.OutcomeUnknown, "send it again if it may be repeated", "an earlier attempt may have run")
	}
	logging.Info(d.logger, "request_failed", "request", ended.request.RequestID, "tenant", ended.request.Tenant, "worker", ended.worker, "kind", failure.KindOf(err), "error", err)
	return stream.Fail(err)
}

// handleResume goes on reading a stream that another dispatcher started. It
// starts nothing, so that it is safe for any request.
func (d *Dispatcher) handleResume(ctx context.Context, request *wire.ResumeRequest, stream *rpc.FrameWriter) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.TimeLeftMillis)*time.Millisecond)
	defer cancel()
	events, err := d.online.Resume(ctx, request.WorkerAddress, request.AttemptID, request.Offset)
	var refused *engine.RejectedError
	if errors.As(err, &refused) {
		return failure.Wrap(err, failure.OutcomeUnknown, "send it again if it may be repeated", "the engine does not know the attempt")
	}
	if err != nil {
		return failure.Wrap(err, failure.OutcomeUnknown, "send it again if it may be repeated", "the engine does not answer")
	}
	defer events.Close()
	for {
		event, err := events.Next()
		if err != nil {
			return stream.Fail(err)
		}
		if done, err := d.forward(event, stream); done || err != nil {
			return err
		}
	}
}

func (d *Dispatcher) forward(event *engine.Event, stream *rpc.FrameWriter) (bool, error) {
	switch event.Type {
	case engine.EventTokens:
		return false, stream.Send(&wire.GenerateFrame{
			Kind:      wire.FrameTokens,
			AttemptID: event.AttemptID,
			Offset:    event.Offset,
			Tokens:    event.Tokens,
			Text:      event.Text,
		})
	case engine.EventEnd:
		return true, stream.Send(&wire.GenerateFrame{
			Kind:         wire.FrameEnd,
			AttemptID:    event.AttemptID,
			Offset:       event.Offset,
			FinishReason: event.FinishReason,
			PromptTokens: event.PromptTokens,
			Utilization:  d.utilization(),
		})
	}
	return true, stream.Fail(failure.New(failure.OutcomeUnknown, "send it again if it may be repeated", "the engine stopped the attempt: %s", event.Message))
}

func (d *Dispatcher) utilization() uint8 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.scheduler.Utilization()
}
