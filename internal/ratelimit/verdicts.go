package ratelimit

import "time"

// minVerdictTime is how long a verdict is remembered at least: longer than an edge keeps asking
// for a token, and longer than it may take until its request fails and the token is released.
const minVerdictTime = 6 * time.Second

// verdicts remembers the recent verdicts by ticket. The zero value is ready for use.
type verdicts struct {
	// startedAt is when current was started. previous holds the verdicts of the period before
	// startedAt.
	startedAt time.Time
	current   map[uint64]Verdict
	previous  map[uint64]Verdict
}

func (v *verdicts) rotate(now time.Time) {
	if v.current != nil && now.Sub(v.startedAt) < minVerdictTime {
		return
	}
	v.previous, v.current, v.startedAt = v.current, map[uint64]Verdict{}, now
}

// find returns the verdict of a ticket that was used before.
func (v *verdicts) find(now time.Time, ticket uint64) (Verdict, bool) {
	v.rotate(now)
	if verdict, found := v.current[ticket]; found {
		return verdict, true
	}
	verdict, found := v.previous[ticket]
	return verdict, found
}

func (v *verdicts) add(now time.Time, ticket uint64, verdict Verdict) {
	v.rotate(now)
	v.current[ticket] = verdict
}
