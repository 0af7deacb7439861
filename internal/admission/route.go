package admission

import "time"

const (
	// firstEventTimeDivisor gives a new value the weight 1/16 in the moving average.
	firstEventTimeDivisor = 16
	// maxTimeLeftDivisor makes the maximum fall towards a shorter value by 1/1024 of the
	// difference at each request.
	maxTimeLeftDivisor = 1024
)

// Route holds what was observed of a route's requests. The zero value is ready for use; it is not
// safe for concurrent use.
type Route struct {
	firstEventTime time.Duration
	maxTimeLeft    time.Duration
}

// ObserveArrival records the time until the deadline of a request that arrives.
func (r *Route) ObserveArrival(timeLeft time.Duration) {
	if timeLeft >= r.maxTimeLeft {
		r.maxTimeLeft = timeLeft
		return
	}
	r.maxTimeLeft -= (r.maxTimeLeft - timeLeft) / maxTimeLeftDivisor
}

// ObserveFirstEvent records the time to the first event of a request that did not wait.
func (r *Route) ObserveFirstEvent(duration time.Duration) {
	if r.firstEventTime == 0 {
		r.firstEventTime = duration
		return
	}
	r.firstEventTime += (duration - r.firstEventTime) / firstEventTimeDivisor
}

// MaxTimeLeft returns how much time callers have at their first attempt.
func (r *Route) MaxTimeLeft() time.Duration { return r.maxTimeLeft }

// FirstEventTime returns the mean time to the first event, zero if unknown.
func (r *Route) FirstEventTime() time.Duration { return r.firstEventTime }
