package membership

import "time"

// Lease is a daemon's own side of a lease that control renews by heartbeat.
type Lease struct {
	until time.Time
}

// Renew extends the lease. The length counts from the moment the heartbeat was
// sent, which is never later than the moment control counts from.
func (l *Lease) Renew(sent time.Time, length time.Duration) {
	if until := sent.Add(length); until.After(l.until) {
		l.until = until
	}
}

// Valid reports whether the lease still runs.
func (l *Lease) Valid(now time.Time) bool { return now.Before(l.until) }

// Remaining returns the time the lease still runs; below zero it has lapsed.
func (l *Lease) Remaining(now time.Time) time.Duration { return l.until.Sub(now) }
