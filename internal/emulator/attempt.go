package emulator

import (
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/engine"
)

// attempt buffers the events of one sequence, so that a reader can start at any offset, even
// some time after the sequence has ended.
type attempt struct {
	mutex       sync.Mutex
	sequence    *Sequence
	firstOffset int
	tokens      []string
	ended       bool
	stopped     bool
	readers     int
	// idleSince is when a reader was last added or removed, or when the attempt was created.
	idleSince time.Time
	// changed is closed, and replaced, when an event is added or the attempt stops.
	changed chan struct{}
}

func newAttempt(sequence *Sequence, now time.Time) *attempt {
	return &attempt{sequence: sequence, firstOffset: sequence.Position, idleSince: now, changed: make(chan struct{})}
}

// signal wakes all readers. The caller must hold the mutex.
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

func (a *attempt) addReaders(delta int, now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.readers += delta
	a.idleSince = now
}

// abandoned reports whether the attempt has had no reader for longer than grace.
func (a *attempt) abandoned(now time.Time, grace time.Duration) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.readers == 0 && now.Sub(a.idleSince) > grace
}

// next returns the event at the offset. If there is none yet, it returns nil and a channel that
// is closed on the next change; the caller then tries again.
func (a *attempt) next(offset int) (*engine.Event, <-chan struct{}) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	index := offset - a.firstOffset
	switch {
	case index < 0:
		return a.errorEvent(engine.CodeUnknownAttempt, "the offset is before the attempt's first token"), nil
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
		return a.errorEvent(engine.CodeStopped, "the attempt was cancelled"), nil
	}
	return nil, a.changed
}

func (a *attempt) errorEvent(code, message string) *engine.Event {
	return &engine.Event{Type: engine.EventError, AttemptID: a.sequence.ID, Code: code, Message: message}
}
