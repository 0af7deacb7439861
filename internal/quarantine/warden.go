package quarantine

import (
	"slices"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// settleTime is how long a request has been refused when the ends that it shares with
	// others are no longer held against them: long enough for another that was on the
	// same workers to be refused as well.
	settleTime = 1500 * time.Millisecond
	// firstTrial is how long after its refusal a request may be tried: by then those that
	// were on the same workers by chance have come to a good end elsewhere. A harmless one
	// is let in again then, a deadly one ends one more worker.
	firstTrial = time.Second
	// nextTrial follows a trial that went wrong; each further pause is twice as long, up
	// to lastTrial, so that a request ends three more workers in the first quarter of an
	// hour and one an hour later on.
	nextTrial = time.Minute
	lastTrial = time.Hour
	// trialTime is how long a trial may take until its outcome is known, as a rule, and
	// trialPoll when to ask again within it: if it goes well the request is let in.
	trialTime = 2 * time.Second
	trialPoll = 300 * time.Millisecond
	// suspectTime is how long the ends of a request that is not refused are remembered,
	// refusedTime those of a refused one after its last change.
	suspectTime = time.Minute
	refusedTime = 24 * time.Hour
)

// Timers counts the terms of a table's rows while its process leads: by package clock from
// when this leader knew of them, so that a new leader begins anew and no term is shorter
// than it should be. It is not safe for concurrent use.
type Timers struct {
	terms map[Fingerprint]*term
	// trying is the request that was granted a trial last, at tryingAt, ended what had
	// ended last under it by then.
	trying   Fingerprint
	tryingAt time.Time
	ended    wire.WorkerEnd
}

// term is since when this leader knows a row as it is.
type term struct {
	revision uint64
	changed  time.Time
	// refused is since when it is known as refused, trialAt when it may be tried.
	refused time.Time
	trialAt time.Time
	trials  int
	// granted is when a trial was granted last.
	granted time.Time
}

// NewTimers returns the warden of a new leader.
func NewTimers() *Timers { return &Timers{terms: map[Fingerprint]*term{}} }

// Tick takes in the table as it is now and returns the command that follows from the time
// that has passed, nil for none.
func (w *Timers) Tick(now time.Time, t *Table) *wire.QuarantineCommand {
	command := &wire.QuarantineCommand{}
	for request, row := range t.rows {
		known := w.term(now, request, row)
		switch age := now.Sub(known.changed); {
		case row.Refused && age > refusedTime, !row.Refused && age > suspectTime:
			command.Expired = append(command.Expired, uint64(request))
		case row.Refused && !row.Settled && now.Sub(known.refused) >= settleTime:
			command.Settled = append(command.Settled, uint64(request))
		}
	}
	for request := range w.terms {
		if t.rows[request] == nil {
			delete(w.terms, request)
		}
	}
	if len(command.Expired)+len(command.Settled) == 0 {
		return nil
	}
	slices.Sort(command.Expired)
	slices.Sort(command.Settled)
	return command
}

// term returns the term of a row, brought up to date.
func (w *Timers) term(now time.Time, request Fingerprint, row *wire.QuarantineEntry) *term {
	known := w.terms[request]
	if known == nil {
		known = &term{}
		w.terms[request] = known
	}
	if known.changed.IsZero() || known.revision != row.Revision {
		known.revision, known.changed = row.Revision, now
	}
	if row.Refused && (known.refused.IsZero() || known.trials != row.Trials) {
		if known.refused.IsZero() {
			known.refused = now
		}
		known.trials = row.Trials
		known.trialAt = now.Add(trialPause(row.Trials))
	}
	return known
}

// trialPause returns how long a request rests after so many trials.
func trialPause(trials int) time.Duration {
	if trials == 0 {
		return firstTrial
	}
	pause := nextTrial
	for range trials - 1 {
		if pause = 2 * pause; pause >= lastTrial {
			return lastTrial
		}
	}
	return pause
}

// GrantTrial reports whether a request may be tried now, or else after which time to ask again.
// Whoever is granted it must commit the trial before it tells.
func (w *Timers) GrantTrial(now time.Time, t *Table, request Fingerprint) (granted bool, wait time.Duration) {
	row := t.rows[request]
	if row == nil || !row.Refused {
		return true, 0
	}
	known := w.term(now, request, row)
	if now.Before(known.trialAt) {
		wait = known.trialAt.Sub(now)
		if now.Sub(known.granted) < trialTime {
			wait = min(wait, trialPoll)
		}
		return false, wait
	}
	if w.isTrying(now, t, request) {
		return false, trialPoll
	}
	known.trialAt, known.granted = now.Add(trialPause(row.Trials+1)), now
	w.trying, w.tryingAt, w.ended = request, now, lastEnd(row)
	return true, 0
}

// isTrying reports whether another request is on trial. Requests that were refused together
// are due together, too: on one worker a harmless one would be taken for deadly once more,
// and rest for nextTrial.
func (w *Timers) isTrying(now time.Time, t *Table, request Fingerprint) bool {
	other := t.rows[w.trying]
	if w.trying == request || other == nil || !other.Refused || now.Sub(w.tryingAt) >= trialTime {
		return false
	}
	return lastEnd(other) == w.ended
}

// lastEnd returns what ended last under the request of a row.
func lastEnd(row *wire.QuarantineEntry) wire.WorkerEnd {
	if len(row.Ends) == 0 {
		return wire.WorkerEnd{}
	}
	return row.Ends[len(row.Ends)-1]
}
