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
	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/retry"
	"github.com/sedgemast/sedgemast/internal/scheduling"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// actionBuffer exceeds the number of actions that one attempt can receive, so that none is
	// lost.
	actionBuffer = 8
	// maxResumes limits how often the stream of one attempt is resumed.
	maxResumes = 5
	// progressTokens is the number of tokens between two progress reports to the scheduler.
	progressTokens = 8
	cancelTimeout  = time.Second
	resumeTimeout  = time.Second
	// An answer has at most maxTokenTextBytes of text for each token that the request asks for, or
	// minTextBytes if that is more.
	maxTokenTextBytes = 1 << 10
	minTextBytes      = 64 << 10
	// maxOnlineAttempts limits the attempts at an online request by this dispatcher.
	maxOnlineAttempts = 3
)

// answer is the output of a task so far, over all its attempts. version is the software version of
// the workers that generated it.
type answer struct {
	version      string
	tokens       int
	text         strings.Builder
	finishReason string
	promptTokens int
}

// task is one request or batch item at this dispatcher. Its attempts run one after another; each
// continues from the tokens that the earlier ones generated.
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
	// started is set once an engine may have started any attempt.
	started bool
	// emit sends a frame to the caller; nil for batch items.
	emit func(frame *wire.GenerateFrame) error
	// worker and address identify the worker that runs the current attempt; both are empty before
	// the attempt starts. startedAt is when the attempt was started.
	worker    string
	address   string
	startedAt time.Time
	// cachedSubject identifies the request for quarantine, nil until it is first needed.
	cachedSubject *quarantine.Subject
	// workerExited is set once a worker of this dispatcher has exited while running the request.
	workerExited bool
}

// errPreempted ends a batch attempt that was stopped because an online attempt needs its capacity.
var errPreempted = errors.New("the attempt was preempted")

// errAbandoned ends an attempt on a worker that became unresponsive.
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
	t.answer.version, t.answer.tokens = request.ContinueVersion, request.ContinueTokens
	t.answer.text.WriteString(request.ContinueText)
	return t
}

// deliver passes an action to the task. The caller holds the dispatcher's mutex.
func (t *task) deliver(action scheduling.Action) {
	select {
	case t.actions <- action:
	default:
		logging.Error(t.dispatcher.logger, "action_lost", "attempt", action.AttemptID, "kind", action.Kind)
	}
}

// run makes attempts until the answer is complete or the retry policy gives up. The policy does not
// count preempted attempts.
func (t *task) run(ctx context.Context, budget *retry.Budget) error {
	ctx, cancel := context.WithDeadline(ctx, t.deadline)
	defer cancel()
	exclude := map[string]bool{}
	for index := 0; ; index++ {
		if err := t.checkQuarantine(index); err != nil {
			return err
		}
		if err := t.checkVersion(); err != nil {
			return err
		}
		err := t.runAttempt(ctx, index, exclude)
		t.recordOutcome(err)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, errPreempted):
			continue
		case ctx.Err() != nil:
			return t.contextFailure(ctx)
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

// checkVersion returns a failure if no worker here may continue the answer so far. The answer of a
// batch item has no reader yet, so the item starts again instead.
func (t *task) checkVersion() error {
	if t.answer.tokens == 0 || t.dispatcher.workers.mayContinue(t.answer.version) {
		return nil
	}
	logging.Info(t.dispatcher.logger, "version_gone", "request", t.request.RequestID, "version", t.answer.version, "tokens", t.answer.tokens, "restarts", t.request.Class == wire.Batch)
	if t.request.Class == wire.Batch {
		t.answer = answer{}
		return nil
	}
	if t.started {
		return failure.New(failure.OutcomeUnknown, "send it again if it may be repeated", "no worker here runs version %q, which began the answer", t.answer.version)
	}
	return failure.New(failure.NotRun, "ask another dispatcher", "no worker here runs version %q, which began the answer", t.answer.version)
}

// contextFailure returns the failure of a task whose context was cancelled or has expired.
func (t *task) contextFailure(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errDeadline()
	}
	return failure.Wrap(ctx.Err(), failure.OutcomeUnknown, "send it again if it may be repeated", "the caller went away")
}

// runAttempt makes one attempt: it waits until the scheduler starts it on a worker, then reads the
// stream.
func (t *task) runAttempt(ctx context.Context, index int, exclude map[string]bool) error {
	t.attempt = t.newAttempt(index, exclude)
	t.actions = make(chan scheduling.Action, actionBuffer)
	t.worker, t.address = "", ""
	t.dispatcher.submitAttempt(t)
	cached := -1
	defer func() { t.dispatcher.finishAttempt(t, cached) }()
	select {
	case <-ctx.Done():
		return t.contextFailure(ctx)
	case action := <-t.actions:
		if action.Kind == scheduling.Reject {
			return rejectionFailure(action)
		}
		if action.Kind != scheduling.Start {
			return errPreempted
		}
		t.worker, t.address, t.startedAt = action.Worker, action.Address, clock.Now()
		if t.answer.tokens == 0 {
			t.answer.version = t.dispatcher.workers.versionOf(t.worker)
		}
		end, err := t.generate(ctx, action)
		if end != nil {
			cached = end.CachedTokens / engine.BlockTokens
		}
		return err
	}
}

// requiredVersion returns the version of the answer so far, empty if it has no text.
func (t *task) requiredVersion() string {
	if t.answer.tokens == 0 {
		return ""
	}
	return t.answer.version
}

func (t *task) newAttempt(index int, exclude map[string]bool) *scheduling.Attempt {
	request := t.request
	excluded := make(map[string]bool, len(exclude))
	for worker := range exclude {
		excluded[worker] = true
	}
	if request.Class == wire.Batch {
		// Batch items can wait: a worker that failed once may serve them later.
		excluded = nil
	}
	return &scheduling.Attempt{
		ID:           fmt.Sprintf("%s.%d", request.AttemptID, index),
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
		Version:      t.requiredVersion(),
	}
}

// generate starts the attempt on the engine and reads its stream, resuming it after a broken
// connection. The actions Preempt and Abandon cancel it.
func (t *task) generate(ctx context.Context, start scheduling.Action) (*engine.Event, error) {
	streamContext, cancel := context.WithCancel(ctx)
	defer cancel()
	stopped := make(chan error, 1)
	watchDone := make(chan struct{})
	go t.watchActions(streamContext, watchDone, cancel, stopped)
	defer func() { cancel(); <-watchDone }()

	stream, err := t.client.Generate(streamContext, t.address, t.engineRequest(start), t.request.NotRepeatable)
	if err != nil {
		err = startFailure(err)
	}
	if err != nil && !failure.Is(err, failure.OutcomeUnknown) {
		return nil, t.stopCause(ctx, stopped, err)
	}
	t.started = true
	t.emitStarted()
	for resumes := 0; ; resumes++ {
		if err == nil {
			var end *engine.Event
			if end, err = t.readStream(stream); err == nil {
				return end, nil
			}
		}
		if streamContext.Err() != nil || resumes == maxResumes || !failure.Is(err, failure.OutcomeUnknown) {
			t.cancelOnEngine()
			return nil, t.stopCause(ctx, stopped, err)
		}
		t.dispatcher.metrics.resumed.Inc()
		stream, err = t.client.Resume(streamContext, t.address, t.attempt.ID, t.answer.tokens)
		if err != nil {
			// The engine is unreachable or does not know the attempt, so what the attempt did
			// before is unknown.
			err = failure.Wrap(err, failure.OutcomeUnknown, "send it again if it may be repeated", "the stream can't be resumed")
			t.cancelOnEngine()
			return nil, t.stopCause(ctx, stopped, err)
		}
	}
}

// watchActions cancels the stream when the scheduler preempts or abandons the attempt.
func (t *task) watchActions(ctx context.Context, done chan<- struct{}, cancel context.CancelFunc, stopped chan<- error) {
	defer close(done)
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

// stopCause returns the reason for which the scheduler stopped the attempt, if it did. Otherwise it
// returns the failure of an ended context, or err.
func (t *task) stopCause(ctx context.Context, stopped <-chan error, err error) error {
	select {
	case reason := <-stopped:
		return reason
	default:
	}
	if ctx.Err() != nil {
		return t.contextFailure(ctx)
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

func (t *task) emitStarted() {
	if t.emit == nil {
		return
	}
	// A disconnected caller is detected through the context.
	_ = t.emit(&wire.GenerateFrame{
		Kind:          wire.FrameStarted,
		AttemptID:     t.attempt.ID,
		Offset:        t.answer.tokens,
		Worker:        t.worker,
		WorkerAddress: t.address,
		WorkerVersion: t.answer.version,
	})
}

// readStream reads the events of one stream until the answer is complete.
func (t *task) readStream(stream *engine.Stream) (*engine.Event, error) {
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
			if err := t.applyTokens(event); err != nil {
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

func (t *task) applyTokens(event *engine.Event) error {
	offset := t.answer.tokens
	t.answer.tokens += event.Tokens
	t.answer.text.WriteString(event.Text)
	if limit := max(minTextBytes, t.request.MaxTokens*maxTokenTextBytes); t.answer.text.Len() > limit {
		return failure.New(failure.OutcomeUnknown, "send it again if it may be repeated", "the engine sent more than %d bytes of text", limit)
	}
	if t.answer.tokens%progressTokens == 0 {
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

// cancelOnEngine cancels the attempt on the engine in the background. Its result does not matter,
// because the engine by itself stops an attempt that has no reader.
func (t *task) cancelOnEngine() {
	client, address, id := t.client, t.address, t.attempt.ID
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = client.Cancel(ctx, address, id)
	}()
}
