package dispatcher

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/engine"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/retry"
	"github.com/sedgemast/sedgemast/internal/scheduling"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// maxActions is more than one attempt can be sent.
	maxActions = 8
	// maxResumes bounds the times that one attempt's stream is picked up again.
	maxResumes = 5
	// progressEvery is how many tokens pass between reports to the scheduler.
	progressEvery = 8
	cancelTimeout = time.Second
	resumeTimeout = time.Second
	// maxOnlineAttempts bounds the attempts at an online request here.
	maxOnlineAttempts = 3
)

// answer is what a task has generated so far, over all its attempts.
type answer struct {
	tokens       int
	text         strings.Builder
	finishReason string
	promptTokens int
}

// task is one request or batch item at this dispatcher. Its attempts follow one
// another, each going on where the one before it stopped.
type task struct {
	dispatcher *Dispatcher
	request    *wire.GenerateRequest
	client     *engine.Client
	attempt    *scheduling.Attempt
	actions    chan scheduling.Action
	answer     answer
	deadline   time.Time
	policy     retry.Policy
	attempts   int
	// started is set once an engine may have begun any attempt.
	started bool
	// emit passes events on to the caller; nil for batch items.
	emit func(frame *wire.GenerateFrame) error
	// worker and address are those of the running attempt.
	worker  string
	address string
	began   time.Time
	// underEnd is set once a worker ended under the request here.
	underEnd bool
}

// errPreempted ends an attempt whose place an online request needed.
var errPreempted = errors.New("the attempt was preempted")

// errAbandoned ends an attempt on a worker that fell silent.
var errAbandoned = failure.New(failure.OutcomeUnknown, "send it again if it may be repeated", "the worker stopped answering")

func newTask(d *Dispatcher, request *wire.GenerateRequest, client *engine.Client, maxAttempts int) *task {
	deadline := time.Now().Add(time.Duration(request.TimeLeftMillis) * time.Millisecond)
	t := &task{
		dispatcher: d,
		request:    request,
		client:     client,
		deadline:   deadline,
		policy:     retry.Policy{MaxAttempts: maxAttempts, NotRepeatable: request.NotRepeatable, Deadline: deadline},
	}
	t.answer.tokens = request.ContinueTokens
	t.answer.text.WriteString(request.ContinueText)
	return t
}

// deliver hands an action to the task. The dispatcher's mutex is held.
func (t *task) deliver(action scheduling.Action) {
	select {
	case t.actions <- action:
	default:
		logging.Error(t.dispatcher.logger, "action_lost", "attempt", action.AttemptID, "kind", action.Kind)
	}
}

// run makes attempts until the answer is whole or the policy gives up. Preempted
// attempts do not count.
func (t *task) run(ctx context.Context, budget *retry.Budget) error {
	ctx, cancel := context.WithDeadline(ctx, t.deadline)
	defer cancel()
	exclude := map[string]bool{}
	for number := 0; ; number++ {
		if err := t.quarantined(number); err != nil {
			return err
		}
		err := t.runAttempt(ctx, number, exclude)
		t.tellRun(err)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, errPreempted):
			continue
		case ctx.Err() != nil:
			return t.ended(ctx)
		}
		t.attempts++
		if t.worker != "" {
			exclude[t.worker] = true
		}
		if t.policy.Next(time.Now(), t.attempts, err, budget) == retry.GiveUp {
			return err
		}
	}
}

// ended returns the failure of a task whose context is over.
func (t *task) ended(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errDeadline()
	}
	return failure.Wrap(ctx.Err(), failure.OutcomeUnknown, "send it again if it may be repeated", "the caller went away")
}

// runAttempt makes one attempt: it waits for its place, then reads the stream.
func (t *task) runAttempt(ctx context.Context, number int, exclude map[string]bool) error {
	t.attempt = t.newAttempt(number, exclude)
	t.actions = make(chan scheduling.Action, maxActions)
	t.worker, t.address = "", ""
	t.dispatcher.arrive(t)
	cached := -1
	defer func() { t.dispatcher.finish(t, cached) }()
	select {
	case <-ctx.Done():
		return t.ended(ctx)
	case action := <-t.actions:
		if action.Kind == scheduling.Reject {
			return refusalFailure(action)
		}
		if action.Kind != scheduling.Start {
			return errPreempted
		}
		t.worker, t.address, t.began = action.Worker, action.Address, clock.Now()
		end, err := t.generate(ctx, action)
		if end != nil {
			cached = end.CachedTokens / engine.BlockTokens
		}
		return err
	}
}

func (t *task) newAttempt(number int, exclude map[string]bool) *scheduling.Attempt {
	request := t.request
	excluded := make(map[string]bool, len(exclude))
	for worker := range exclude {
		excluded[worker] = true
	}
	if request.Class == wire.Batch {
		// Items have time: a worker that failed once may serve them later.
		excluded = nil
	}
	return &scheduling.Attempt{
		ID:           fmt.Sprintf("%s.%d", request.AttemptID, number),
		Class:        request.Class,
		Rank:         request.Rank,
		Tenant:       request.Tenant,
		Model:        request.Model,
		Adapter:      request.Adapter,
		PromptTokens: engine.CountTokens(request.Prompt),
		MaxTokens:    request.MaxTokens,
		Blocks:       engine.PrefixBlocks(request.Model, request.Adapter, request.Prompt),
		Deadline:     t.deadline,
		Exclude:      excluded,
	}
}

// generate starts the attempt on the engine and reads its stream, picking it up
// again where it was cut. Preempt and Abandon end it from outside.
func (t *task) generate(ctx context.Context, start scheduling.Action) (*engine.Event, error) {
	streamContext, cancel := context.WithCancel(ctx)
	defer cancel()
	stopped := make(chan error, 1)
	watched := make(chan struct{})
	go t.watch(streamContext, watched, cancel, stopped)
	defer func() { cancel(); <-watched }()

	stream, err := t.client.Generate(streamContext, t.address, t.engineRequest(start), t.request.NotRepeatable)
	if err != nil && !failure.Is(startFailure(err), failure.OutcomeUnknown) {
		return nil, t.outcome(ctx, stopped, startFailure(err))
	}
	t.started = true
	t.announce()
	for resumes := 0; ; resumes++ {
		if err == nil {
			var end *engine.Event
			if end, err = t.read(stream); err == nil {
				return end, nil
			}
		}
		if streamContext.Err() != nil || resumes == maxResumes || !failure.Is(err, failure.OutcomeUnknown) {
			t.cancelOnEngine()
			return nil, t.outcome(ctx, stopped, err)
		}
		t.dispatcher.metrics.resumed.Inc()
		stream, err = t.client.Resume(streamContext, t.address, t.attempt.ID, t.answer.tokens)
		if err != nil {
			// The engine is gone or does not know the attempt: whatever it
			// did before is not known.
			err = failure.Wrap(err, failure.OutcomeUnknown, "send it again if it may be repeated", "the stream can't be resumed")
			t.cancelOnEngine()
			return nil, t.outcome(ctx, stopped, err)
		}
	}
}

// watch ends the stream when the scheduler takes the attempt off its worker.
func (t *task) watch(ctx context.Context, watched chan<- struct{}, cancel context.CancelFunc, stopped chan<- error) {
	defer close(watched)
	select {
	case <-ctx.Done():
	case action := <-t.actions:
		if action.Kind == scheduling.Preempt {
			stopped <- errPreempted
			t.dispatcher.metrics.preempted.Inc()
		} else {
			stopped <- errAbandoned
			t.dispatcher.metrics.abandoned.Inc()
		}
		cancel()
	}
}

// outcome prefers the reason for which the attempt was stopped from outside.
func (t *task) outcome(ctx context.Context, stopped <-chan error, err error) error {
	select {
	case reason := <-stopped:
		return reason
	default:
	}
	if ctx.Err() != nil {
		return t.ended(ctx)
	}
	return err
}

func (t *task) engineRequest(start scheduling.Action) *engine.GenerateRequest {
	priority := engine.PriorityBatch
	if t.request.Class == wire.Online {
		priority = engine.PriorityOnline
	}
	return &engine.GenerateRequest{
		AttemptID:      t.attempt.ID,
		Epoch:          start.Epoch,
		Model:          t.request.Model,
		Adapter:        t.request.Adapter,
		Prompt:         t.request.Prompt,
		MaxTokens:      t.request.MaxTokens,
		Priority:       priority + t.request.Rank,
		ContinueTokens: t.answer.tokens,
		ContinueText:   t.answer.text.String(),
	}
}

func (t *task) announce() {
	if t.emit == nil {
		return
	}
	// A caller that has gone is noticed by the context.
	_ = t.emit(&wire.GenerateFrame{
		Kind:          wire.FrameStarted,
		AttemptID:     t.attempt.ID,
		Offset:        t.answer.tokens,
		Worker:        t.worker,
		WorkerAddress: t.address,
	})
}

// read takes the events of one stream until the end of the answer.
func (t *task) read(stream *engine.Stream) (*engine.Event, error) {
	defer func() {
		t.dispatcher.metrics.dropped.WithLabelValues("foreign").Add(float64(stream.Misrouted))
		t.dispatcher.metrics.dropped.WithLabelValues("repeated").Add(float64(stream.Duplicates))
		stream.Close()
	}()
	for {
		event, err := stream.Next()
		if err != nil {
			return nil, err
		}
		switch event.Type {
		case engine.EventTokens:
			if err := t.take(event); err != nil {
				return nil, err
			}
		case engine.EventEnd:
			t.answer.finishReason = event.FinishReason
			t.answer.promptTokens = event.PromptTokens
			return event, nil
		case engine.EventError:
			return nil, failure.New(failure.OutcomeUnknown, "send it again if it may be repeated", "the engine stopped the attempt: %s", event.Message)
		}
	}
}

func (t *task) take(event *engine.Event) error {
	offset := t.answer.tokens
	t.answer.tokens += event.Tokens
	t.answer.text.WriteString(event.Text)
	if t.answer.tokens%progressEvery == 0 {
		t.dispatcher.step(scheduling.AttemptProgress{AttemptID: t.attempt.ID, Tokens: t.answer.tokens})
	}
	if t.emit == nil {
		return nil
	}
	return t.emit(&wire.GenerateFrame{
		Kind:      wire.FrameTokens,
		AttemptID: t.attempt.ID,
		Offset:    offset,
		Tokens:    event.Tokens,
		Text:      event.Text,
	})
}

// cancelOnEngine stops the attempt on the engine, in the background: nobody
// waits for it, and the engine stops an attempt without a reader by itself.
func (t *task) cancelOnEngine() {
	client, address, id := t.client, t.address, t.attempt.ID
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = client.Cancel(ctx, address, id)
	}()
}
