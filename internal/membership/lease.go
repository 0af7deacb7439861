package membership

import "time"

// Lease is a daemon's view of its own lease, which control renews when it answers a heartbeat.
type Lease struct {
	expiry time.Time
}

// Renew extends the lease. The duration counts from the time at which the daemon sent the
// heartbeat, and control counts from the time of receipt, which is never earlier. So the lease
// expires at the daemon first.
func (l *Lease) Renew(sent time.Time, duration time.Duration) {
	if expiry := sent.Add(duration); expiry.After(l.expiry) {
		l.expiry = expiry
	}
}

// Valid reports whether the lease still runs.
func (l *Lease) Valid(now time.Time) bool { return now.Before(l.expiry) }

// Remaining returns the time until the lease expires; it is negative for an expired lease.
func (l *Lease) Remaining(now time.Time) time.Duration { return l.expiry.Sub(now) }
