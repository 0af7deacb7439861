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

// task is one request or batch item at a dispatcher; its attempts follow one
// another, each going on where the one before it stopped.
type task struct {
	dispatcher *dispatcherProcess
	request    *wire.GenerateRequest
	policy     retry.Policy
	budget     *retry.Budget
	number     int
	attempts   int
	exclude    map[string]bool
	attemptID  string
	worker     string
	order      engine.Sequencer
	resumes    int
	started    bool
	over       bool
	tokens     int
	text       strings.Builder
	frames     func(*wire.GenerateFrame)
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

// begin makes the next attempt.
func (t *task) begin() {
	if t.over {
		return
	}
	t.attemptID = fmt.Sprintf("%s.%d", t.request.AttemptID, t.number)
	t.number++
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

// generate hands the attempt to its worker.
func (t *task) generate(start scheduling.Action) {
	d, id := t.dispatcher, t.attemptID
	t.worker = start.Worker
	t.order = engine.Sequencer{AttemptID: id, Offset: t.tokens}
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
		answer(e.generate(request, t.reader(e, id)), nil)
	}, func(code string, err error) {
		switch {
		case t.over || t.attemptID != id:
		case failure.Is(err, failure.NotRun):
			t.failed(err)
		case err != nil:
			t.started = true
			t.resume(err)
		case code != "":
			t.failed(failure.New(failure.NotRun, "send it again", "the engine refused: %s", code))
		default:
			t.announce()
		}
	})
}

func (t *task) announce() {
	t.started = true
	if t.frames != nil {
		t.frames(&wire.GenerateFrame{Kind: wire.FrameStarted, AttemptID: t.attemptID, Offset: t.tokens, Worker: t.worker})
	}
}

func (t *task) reader(e *engineProcess, id string) *engineReader {
	d := t.dispatcher
	return &engineReader{connection: d.world.connect(&e.process, &d.process), deliver: func(event *engine.Event, err error) {
		if t.over || t.attemptID != id {
			return
		}
		t.take(event, err)
	}}
}

// take takes in one event of the stream.
func (t *task) take(event *engine.Event, err error) {
	keep := err == nil
	if keep && t.dispatcher.world.mutation != MutationNoSequencer {
		keep, err = t.order.Accept(event)
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
		if t.frames != nil {
			t.frames(&wire.GenerateFrame{Kind: wire.FrameTokens, AttemptID: t.attemptID, Offset: offset, Tokens: event.Tokens, Text: event.Text})
		}
	default:
		t.finish(nil)
	}
}

// resume picks a cut stream up where it stopped.
func (t *task) resume(cause error) {
	d, id := t.dispatcher, t.attemptID
	t.resumes++
	if t.resumes > maxResumes {
		t.cancelOnEngine()
		t.failed(cause)
		return
	}
	e := d.world.engineByName(t.worker)
	t.order = engine.Sequencer{AttemptID: id, Offset: t.tokens}
	call(d.world, &d.process, &e.process, engineCallTimeout, func(answer reply[bool]) {
		answer(e.resume(id, t.tokens, t.reader(e, id)), nil)
	}, func(known bool, err error) {
		if t.over || t.attemptID != id || (err == nil && known) {
			return
		}
		t.cancelOnEngine()
		t.failed(cause)
	})
}

// leaveWorker ends an attempt that the scheduler has taken off its worker.
func (t *task) leaveWorker(cancel bool) {
	if cancel {
		t.cancelOnEngine()
	}
	delete(t.dispatcher.tasks, t.attemptID)
	t.attemptID = ""
}

func (t *task) cancelOnEngine() {
	d, id := t.dispatcher, t.attemptID
	if t.worker == "" {
		return
	}
	e := d.world.engineByName(t.worker)
	decided := d.world.clock.now
	d.world.transmit(&d.process, &e.process, func() {
		e.cancel(id)
		if t.request.Class == wire.Batch && d.world.measuring() {
			recordDuration(d.world.experiment.measured.PreemptionLatency, d.world.clock.now.Sub(decided))
		}
	}, nil)
}

// failed ends an attempt that did not become whole, and lets the policy decide
// what follows.
func (t *task) failed(err error) {
	if t.over {
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
		d.world.timer(&d.process, 0, t.begin)
		return
	}
	if t.started && failure.Is(err, failure.NotRun) {
		err = failure.New(failure.OutcomeUnknown, "send it again if it may be repeated", "an earlier attempt may have run")
	}
	t.end(err)
}

// finish ends a whole answer.
func (t *task) finish(err error) {
	id := t.attemptID
	delete(t.dispatcher.tasks, id)
	t.attemptID = ""
	t.dispatcher.step(scheduling.AttemptEnded{AttemptID: id, CachedBlocks: 0})
	t.end(err)
}

func (t *task) end(err error) {
	t.over = true
	t.done(err)
}

// drop gives the task up without an answer.
func (t *task) drop() {
	if t.over {
		return
	}
	t.over = true
	id := t.attemptID
	if id == "" {
		return
	}
	t.leaveWorker(true)
	t.dispatcher.step(scheduling.AttemptEnded{AttemptID: id, CachedBlocks: -1})
}
