package admission

import (
	"slices"
	"time"
)

const (
	// crowdedPart is the part of the goal, in hundredths, from which on a predicted wait
	// counts as crowded: less comes and goes by chance.
	crowdedPart = 25
	// calmTime is for how long nothing may be crowded before a time of overload is over.
	calmTime = 400 * time.Millisecond
	// remembered is how many times of overload the expectation rests on: few, because
	// the way in which requests come changes.
	remembered = 3
)

// Overload learns for how long a pool is overloaded at a time, from the waits predicted for
// its requests. Where requests come in waves, that says when the present one will be
// over. The zero value is ready for use; it is not safe for concurrent use.
type Overload struct {
	// began and last are when the present time of overload began, and when a request
	// last found the pool crowded.
	began time.Time
	last  time.Time
	// lengths are those of the last times of overload.
	lengths []time.Duration
}

// Observe takes in the wait that was predicted for a request with the goal.
func (o *Overload) Observe(now time.Time, wait, goal time.Duration) {
	if goal <= 0 || wait < goal*crowdedPart/hundreds {
		return
	}
	if now.Sub(o.last) > calmTime {
		o.remember(o.last.Sub(o.began))
		o.began = now
	}
	o.last = now
}

func (o *Overload) remember(length time.Duration) {
	if o.began.IsZero() || length < calmTime {
		return
	}
	if len(o.lengths) == remembered {
		o.lengths = o.lengths[1:]
	}
	o.lengths = append(o.lengths, length)
}

// TimeLeft returns in which time the present overload will probably be over, zero if there is
// none, or if it lasts longer than those before it.
func (o *Overload) TimeLeft(now time.Time) time.Duration {
	if len(o.lengths) == 0 || now.Sub(o.last) > calmTime {
		return 0
	}
	sorted := slices.Sorted(slices.Values(o.lengths))
	return max(o.began.Add(sorted[len(sorted)/2]).Sub(now), 0)
}
