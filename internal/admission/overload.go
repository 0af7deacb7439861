package admission

import (
	"slices"
	"time"
)

const (
	// overloadedWaitPercent is the percentage of the goal from which on a predicted wait counts as
	// overload. Shorter waits occur by chance.
	overloadedWaitPercent = 25
	// recoveryTime is how long all predicted waits must stay below overloadedWaitPercent of their
	// goals for an overload to be over.
	recoveryTime = 400 * time.Millisecond
	// maxDurations is the number of past overloads that the expected duration is based on. It is
	// small because the arrival pattern changes.
	maxDurations = 3
)

// Overload learns how long a pool stays overloaded, from the waits predicted for its requests. If
// requests arrive in waves, the durations of past overloads predict when the current overload ends.
// The zero value is ready for use; it is not safe for concurrent use.
type Overload struct {
	// startedAt is when the current overload began, lastOverloadedAt when a request last found
	// the pool overloaded.
	startedAt        time.Time
	lastOverloadedAt time.Time
	// durations are those of the most recent overloads, oldest first.
	durations []time.Duration
}

// Observe records the wait that was predicted for a request with the given goal.
func (o *Overload) Observe(now time.Time, wait, goal time.Duration) {
	if goal <= 0 || wait < goal*overloadedWaitPercent/hundredPercent {
		return
	}
	if now.Sub(o.lastOverloadedAt) > recoveryTime {
		o.recordDuration(o.lastOverloadedAt.Sub(o.startedAt))
		o.startedAt = now
	}
	o.lastOverloadedAt = now
}

func (o *Overload) recordDuration(duration time.Duration) {
	if o.startedAt.IsZero() || duration < recoveryTime {
		return
	}
	if len(o.durations) == maxDurations {
		o.durations = o.durations[1:]
	}
	o.durations = append(o.durations, duration)
}

// TimeLeft returns the expected time until the current overload ends. It is zero if there is no
// overload or no past one to predict from, or if the current one lasts longer than expected.
func (o *Overload) TimeLeft(now time.Time) time.Duration {
	if len(o.durations) == 0 || now.Sub(o.lastOverloadedAt) > recoveryTime {
		return 0
	}
	sorted := slices.Sorted(slices.Values(o.durations))
	return max(o.startedAt.Add(sorted[len(sorted)/2]).Sub(now), 0)
}
