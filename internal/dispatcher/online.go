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

// onlineBudgetPercent sets the retry budget of one online request. The request may be tried again
// after a rejection or a lost worker, up to maxOnlineAttempts.
const onlineBudgetPercent = 100

// handleGenerate runs one online request and streams its frames to the caller.
func (d *Dispatcher) handleGenerate(ctx context.Context, request *wire.GenerateRequest, stream *rpc.FrameWriter) error {
	if err := d.checkAccepting(); err != nil {
		return err
	}
	started := time.Now()
	t := newTask(d, request, d.online, maxOnlineAttempts)
	t.emit = stream.Send
	err := t.run(ctx, retry.NewBudget(onlineBudgetPercent))
	d.metrics.observeRequest(wire.Online, started, err)
	if err != nil {
		return d.sendFailure(t, stream, err)
	}
	return stream.Send(&wire.GenerateFrame{
		Kind:         wire.FrameEnd,
		AttemptID:    t.attempt.ID,
		Offset:       t.answer.tokens,
		FinishReason: t.answer.finishReason,
		PromptTokens: t.answer.promptTokens,
		Utilization:  d.utilization(),
	})
}

// sendFailure ends the stream with the failure of the request as a whole: once any attempt may have
// run, it promises nothing.
func (d *Dispatcher) sendFailure(t *task, stream *rpc.FrameWriter, err error) error {
	err = failure.Truthful(err, t.started)
	logging.Info(d.logger, "request_failed", "request", t.request.RequestID, "tenant", t.request.Tenant, "worker", t.worker, "kind", failure.KindOf(err), "error", err)
	return stream.Fail(err)
}

// handleResume continues to read the stream of an attempt that another dispatcher started. It
// starts no attempt itself and is therefore safe for every request.
func (d *Dispatcher) handleResume(ctx context.Context, request *wire.ResumeRequest, stream *rpc.FrameWriter) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.TimeLeftMillis)*time.Millisecond)
	defer cancel()
	events, err := d.online.Resume(ctx, request.WorkerAddress, request.AttemptID, request.Offset)
	var rejected *engine.RejectedError
	if errors.As(err, &rejected) {
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
		if done, err := d.forwardEvent(event, stream); done || err != nil {
			return err
		}
	}
}

func (d *Dispatcher) forwardEvent(event *engine.Event, stream *rpc.FrameWriter) (bool, error) {
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
