package ratelimit

import "time"

// ticketTime is how long a question is remembered at least: for longer than an edge
// goes on asking, and than its request may come to nothing.
const ticketTime = 6 * time.Second

// tickets remembers the questions of late. The zero value is ready for use.
type tickets struct {
	// began is when current was begun; before holds those of the time before.
	began   time.Time
	current map[uint64]Verdict
	before  map[uint64]Verdict
}

func (t *tickets) turn(now time.Time) {
	if t.current != nil && now.Sub(t.began) < ticketTime {
		return
	}
	t.before, t.current, t.began = t.current, map[uint64]Verdict{}, now
}

// find returns the answer to a question that was asked before.
func (t *tickets) find(now time.Time, ticket uint64) (Verdict, bool) {
	t.turn(now)
	if verdict, found := t.current[ticket]; found {
		return verdict, true
	}
	verdict, found := t.before[ticket]
	return verdict, found
}

func (t *tickets) add(now time.Time, ticket uint64, verdict Verdict) {
	t.turn(now)
	t.current[ticket] = verdict
}
