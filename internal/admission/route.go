package admission

import "time"

const (
	// beginWeight is the part of a new value in the mean, one in so many.
	beginWeight = 16
	// longestWeight is the part, one in so many, by which the longest time falls
	// towards a shorter one.
	longestWeight = 1024
)

// Route is what is observed of a route's requests. The zero value is ready for use;
// it is not safe for concurrent use.
type Route struct {
	begin   time.Duration
	longest time.Duration
}

// ObserveArrival takes in how long a request's caller still waits.
func (r *Route) ObserveArrival(left time.Duration) {
	if left >= r.longest {
		r.longest = left
		return
	}
	r.longest -= (r.longest - left) / longestWeight
}

// ObserveFirstEvent takes in how long the first event took of a request that did not wait.
func (r *Route) ObserveFirstEvent(took time.Duration) {
	if r.begin == 0 {
		r.begin = took
		return
	}
	r.begin += (took - r.begin) / beginWeight
}

// MaxTimeLeft returns how long callers wait when they ask first.
func (r *Route) MaxTimeLeft() time.Duration { return r.longest }

// FirstEventTime returns how long a first event takes, zero if unknown.
func (r *Route) FirstEventTime() time.Duration { return r.begin }
