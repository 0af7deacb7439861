package emulator

import (
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/engine"
)

// attempt keeps the events of one sequence so that readers can begin at any
// offset, also some time after the end.
type attempt struct {
	mutex    sync.Mutex
	sequence *Sequence
	first    int
	tokens   []string
	ended    bool
	stopped  bool
	readers  int
	// idleSince is when the last reader left, or the end of a read attempt.
	idleSince time.Time
	changed   chan struct{}
}

func newAttempt(sequence *Sequence, now time.Time) *attempt {
	return &attempt{sequence: sequence, first: sequence.Position, idleSince: now, changed: make(chan struct{})}
}

// signal wakes all readers. The mutex must be held.
func (a *attempt) signal() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *attempt) push(output Output) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if output.Ended {
		a.ended = true
	} else {
		a.tokens = append(a.tokens, output.Text)
	}
	a.signal()
}

func (a *attempt) stop() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.ended {
		a.stopped = true
		a.signal()
	}
}

func (a *attempt) addReader(change int, now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.readers += change
	a.idleSince = now
}

// abandoned reports whether nobody has read the attempt for longer than grace.
func (a *attempt) abandoned(now time.Time, grace time.Duration) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.readers == 0 && now.Sub(a.idleSince) > grace
}

// next returns the event at the offset, or a channel that is closed once there
// may be one.
func (a *attempt) next(offset int) (*engine.Event, <-chan struct{}) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	index := offset - a.first
	switch {
	case index < 0:
		return a.failed(engine.CodeUnknownAttempt, "the offset is before the attempt's first token"), nil
	case index < len(a.tokens):
		return &engine.Event{
			Type:      engine.EventTokens,
			AttemptID: a.sequence.ID,
			Offset:    offset,
			Tokens:    1,
			Text:      a.tokens[index],
		}, nil
	case a.ended:
		return &engine.Event{
			Type:         engine.EventEnd,
			AttemptID:    a.sequence.ID,
			Offset:       offset,
			FinishReason: a.sequence.FinishReason,
			PromptTokens: a.sequence.PromptTokens,
			CachedTokens: a.sequence.CachedTokens,
		}, nil
	case a.stopped:
		return a.failed(engine.CodeStopped, "the attempt was cancelled"), nil
	}
	return nil, a.changed
}

func (a *attempt) failed(code, message string) *engine.Event {
	return &engine.Event{Type: engine.EventError, AttemptID: a.sequence.ID, Code: code, Message: message}
}
