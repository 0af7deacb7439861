package simulation

import (
	"fmt"
	"strings"
	"time"

	"github.com/sedgemast/sedgemast/internal/engine"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/retry"
	"github.com/sedgemast/sedgemast/internal/scheduling"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	maxOnlineAttempts = 3
	maxResumes        = 5
	fullBudget        = 100
)

var errStreamCut = failure.New(failure.OutcomeUnknown, "resume at the offset reached", "the stream was cut")

// task is one request or batch item at a dispatcher. It makes one attempt after another, each of
// which continues after the tokens received so far.
type task struct {
	dispatcher *dispatcherProcess
	request    *wire.GenerateRequest
	policy     retry.Policy
	budget     *retry.Budget
	nextNumber int
	attempts   int
	exclude    map[string]bool
	attemptID  string
	worker     string
	sequencer  engine.Sequencer
	resumes    int
	started    bool
	finished   bool
	tokens     int
	text       strings.Builder
	onFrame    func(*wire.GenerateFrame)
	done       func(error)
}

func newTask(d *dispatcherProcess, request *wire.GenerateRequest, maxAttempts int) *task {
	t := &task{
		dispatcher: d,
		request:    request,
		budget:     retry.NewBudget(fullBudget),
		exclude:    map[string]bool{},
		tokens:     request.ContinueTokens,
		policy: retry.Policy{
			MaxAttempts:   maxAttempts,
			NotRepeatable: request.NotRepeatable && d.world.mutation != MutationRetryNotRepeatable,
			Deadline:      d.world.clock.now.Add(time.Duration(request.TimeLeftMillis) * time.Millisecond),
		},
	}
	t.text.WriteString(request.ContinueText)
	return t
}

// startAttempt queues the next attempt at the scheduler.
func (t *task) startAttempt() {
	if t.finished {
		return
	}
	t.attemptID = fmt.Sprintf("%s.%d", t.request.AttemptID, t.nextNumber)
	t.nextNumber++
	t.worker = ""
	excluded := map[string]bool{}
	if t.request.Class == wire.Online {
		for worker := range t.exclude {
			excluded[worker] = true
		}
	}
	t.dispatcher.tasks[t.attemptID] = t
	t.dispatcher.step(scheduling.AttemptArrived{Attempt: &scheduling.Attempt{
		ID:           t.attemptID,
		Class:        t.request.Class,
		Rank:         t.request.Rank,
		Tenant:       t.request.Tenant,
		Model:        t.request.Model,
		PromptTokens: engine.CountTokens(t.request.Prompt),
		MaxTokens:    t.request.MaxTokens,
		Blocks:       engine.PrefixBlocks(t.request.Model, "", t.request.Prompt),
		Deadline:     t.policy.Deadline,
		Exclude:      excluded,
	}})
}

// generate sends the attempt to the worker that the scheduler has chosen.
func (t *task) generate(start scheduling.Action) {
	d, id := t.dispatcher, t.attemptID
	t.worker = start.Worker
	t.sequencer = engine.Sequencer{AttemptID: id, Offset: t.tokens}
	t.resumes = 0
	e := d.world.engineByName(start.Worker)
	priority := engine.PriorityBatch
	if t.request.Class == wire.Online {
		priority = engine.PriorityOnline
	}
	request := &engine.GenerateRequest{
		AttemptID:      id,
		Epoch:          start.Epoch,
		Model:          t.request.Model,
		Prompt:         t.request.Prompt,
		MaxTokens:      t.request.MaxTokens,
		Priority:       priority,
		ContinueTokens: t.tokens,
		ContinueText:   t.text.String(),
	}
	call(d.world, &d.process, &e.process, engineCallTimeout, func(answer reply[string]) {
		answer(e.generate(request, t.newReader(e, id)), nil)
	}, func(code string, err error) {
		switch {
		case t.finished || t.attemptID != id:
		case failure.Is(err, failure.NotRun):
			t.attemptFailed(err)
		case err != nil:
			t.started = true
			t.resume(err)
		case code == engine.CodeDuplicateAttempt:
			t.started = true
			t.resume(failure.New(failure.OutcomeUnknown, "send it again if it may be repeated", "the engine refused: %s", code))
		case code != "":
			t.attemptFailed(failure.New(failure.NotRun, "send it again", "the engine refused: %s", code))
		default:
			t.sendStarted()
		}
	})
}

// sendStarted sends the frame that names the attempt and its worker.
func (t *task) sendStarted() {
	t.started = true
	if t.onFrame != nil {
		t.onFrame(&wire.GenerateFrame{Kind: wire.FrameStarted, AttemptID: t.attemptID, Offset: t.tokens, Worker: t.worker})
	}
}

// newReader returns a reader that ignores the events of the attempt once it is not the current one.
func (t *task) newReader(e *engineProcess, id string) *engineReader {
	d := t.dispatcher
	return &engineReader{connection: d.world.connect(&e.process, &d.process), deliver: func(event *engine.Event, err error) {
		if t.finished || t.attemptID != id {
			return
		}
		t.receive(event, err)
	}}
}

// receive handles one event or the failure of the stream.
func (t *task) receive(event *engine.Event, err error) {
	keep := err == nil
	if keep && t.dispatcher.world.mutation != MutationNoSequencer {
		keep, err = t.sequencer.Accept(event)
	}
	switch {
	case err != nil:
		t.resume(err)
	case !keep:
	case event.Type == engine.EventTokens:
		t.started = true
		offset := t.tokens
		t.tokens += event.Tokens
		t.text.WriteString(event.Text)
		if t.onFrame != nil {
			t.onFrame(&wire.GenerateFrame{Kind: wire.FrameTokens, AttemptID: t.attemptID, Offset: offset, Tokens: event.Tokens, Text: event.Text})
		}
	default:
		t.complete(nil)
	}
}

// resume continues a broken stream of the current attempt after the tokens received so far.
func (t *task) resume(cause error) {
	d, id := t.dispatcher, t.attemptID
	t.resumes++
	if t.resumes > maxResumes {
		t.cancelOnEngine()
		t.attemptFailed(cause)
		return
	}
	e := d.world.engineByName(t.worker)
	t.sequencer = engine.Sequencer{AttemptID: id, Offset: t.tokens}
	call(d.world, &d.process, &e.process, engineCallTimeout, func(answer reply[bool]) {
		answer(e.resume(id, t.tokens, t.newReader(e, id)), nil)
	}, func(known bool, err error) {
		if t.finished || t.attemptID != id || (err == nil && known) {
			return
		}
		t.cancelOnEngine()
		t.attemptFailed(cause)
	})
}

// detachAttempt ends an attempt that the scheduler has removed from its worker.
func (t *task) detachAttempt(cancel bool) {
	if cancel {
		t.cancelOnEngine()
	}
	delete(t.dispatcher.tasks, t.attemptID)
	t.attemptID = ""
}

// cancelOnEngine cancels the current attempt on its worker, if it has one.
func (t *task) cancelOnEngine() {
	d, id := t.dispatcher, t.attemptID
	if t.worker == "" {
		return
	}
	e := d.world.engineByName(t.worker)
	decidedAt := d.world.clock.now
	d.world.transmit(&d.process, &e.process, func() {
		e.cancel(id)
		if t.request.Class == wire.Batch && d.world.measuring() {
			recordDuration(d.world.experiment.measurement.PreemptionLatency, d.world.clock.now.Sub(decidedAt))
		}
	}, nil)
}

// attemptFailed ends a failed attempt and leaves the decision to the retry policy.
func (t *task) attemptFailed(err error) {
	if t.finished {
		return
	}
	d := t.dispatcher
	if t.attemptID != "" {
		id := t.attemptID
		delete(d.tasks, id)
		t.attemptID = ""
		d.step(scheduling.AttemptEnded{AttemptID: id, CachedBlocks: -1})
	}
	t.attempts++
	if t.worker != "" {
		t.exclude[t.worker] = true
	}
	if t.policy.Next(d.world.clock.now, t.attempts, err, t.budget) == retry.Retry {
		d.world.timer(&d.process, 0, t.startAttempt)
		return
	}
	if t.started && failure.Is(err, failure.NotRun) {
		err = failure.New(failure.OutcomeUnknown, "send it again if it may be repeated", "an earlier attempt may have run")
	}
	t.finish(err)
}

// complete ends a task whose answer is complete.
func (t *task) complete(err error) {
	id := t.attemptID
	delete(t.dispatcher.tasks, id)
	t.attemptID = ""
	t.dispatcher.step(scheduling.AttemptEnded{AttemptID: id, CachedBlocks: 0})
	t.finish(err)
}

func (t *task) finish(err error) {
	t.finished = true
	t.done(err)
}

// abandon ends the task without an answer.
func (t *task) abandon() {
	if t.finished {
		return
	}
	t.finished = true
	id := t.attemptID
	if id == "" {
		return
	}
	t.detachAttempt(true)
	t.dispatcher.step(scheduling.AttemptEnded{AttemptID: id, CachedBlocks: -1})
}
