package consensus

import "time"

// leaseShare is the part of the election timeout, in fifths, for which a leader
// may answer reads after a majority has heard it. The rest covers clocks that
// run at different rates (thesis 6.4.1).
const leaseShare = 4

// quorumContact returns the newest moment such that a majority has answered a
// message which the leader sent then or later.
func (r *Replica) quorumContact(now time.Time) time.Time {
	nanos := quorumValue(&r.membership, func(id uint64) int64 {
		if id == r.config.ID {
			return int64(now.Sub(r.started)) + 1
		}
		if progress := r.progress[id]; progress != nil && !progress.ackedAt.IsZero() {
			return int64(progress.ackedAt.Sub(r.started)) + 1
		}
		return 0
	})
	if nanos == 0 {
		return time.Time{}
	}
	return r.started.Add(time.Duration(nanos - 1))
}

// LeaseExpiry returns the moment until which the replica may answer reads from
// its own state; the zero time if it may not. It may not before it has applied
// an entry of its term (thesis 6.4), nor once it has begun to hand leadership
// over.
func (r *Replica) LeaseExpiry(now time.Time) time.Time {
	if r.role != Leader || r.yielded || r.log.applied < r.termStart {
		return time.Time{}
	}
	contact := r.quorumContact(now)
	if contact.IsZero() {
		return time.Time{}
	}
	return contact.Add(r.config.ElectionTimeout * leaseShare / 5)
}
