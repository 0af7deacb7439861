package loadshare

import "time"

// rateWindow is the approximate averaging time of a rate.
const rateWindow = 300 * time.Millisecond

// Rate is a moving average of the rate of a monotonic counter. The zero value is ready for use; it
// is not safe for concurrent use.
type Rate struct {
	at        time.Time
	count     uint64
	perSecond float64
}

// Observe adds the value of the counter at a time and returns the rate per second.
func (r *Rate) Observe(now time.Time, count uint64) float64 {
	elapsed := now.Sub(r.at)
	if !r.at.IsZero() && elapsed > 0 {
		latest := float64(count-r.count) / elapsed.Seconds()
		weight := min(1, elapsed.Seconds()/rateWindow.Seconds())
		r.perSecond += weight * (latest - r.perSecond)
	}
	r.at, r.count = now, count
	return r.perSecond
}
