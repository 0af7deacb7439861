package loadshare

import "time"

// rateWindow is over how long a rate is a mean, about.
const rateWindow = 300 * time.Millisecond

// Rate is a running rate of a count that only grows. The zero value is ready for
// use; it is not safe for concurrent use.
type Rate struct {
	at        time.Time
	count     uint64
	perSecond float64
}

// Observe takes in the count at a moment and returns the rate a second.
func (r *Rate) Observe(now time.Time, count uint64) float64 {
	passed := now.Sub(r.at)
	if !r.at.IsZero() && passed > 0 {
		latest := float64(count-r.count) / passed.Seconds()
		weight := min(1, passed.Seconds()/rateWindow.Seconds())
		r.perSecond += weight * (latest - r.perSecond)
	}
	r.at, r.count = now, count
	return r.perSecond
}
