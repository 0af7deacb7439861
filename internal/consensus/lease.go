package consensus

import "time"

// leaseFifths is the duration of a leader's lease in fifths of the election timeout,
// counted from its last contact with a majority. The remaining fifth allows for clocks
// that run at different rates (thesis 6.4.1).
const leaseFifths = 4

// lastQuorumContact returns the latest time t such that a majority has responded to a
// message that the leader sent at t or later; the zero time if there is none.
func (r *Replica) lastQuorumContact(now time.Time) time.Time {
	nanos := quorumValue(&r.membership, func(id uint64) int64 {
		if id == r.config.ID {
			return int64(now.Sub(r.started)) + 1
		}
		if progress := r.progress[id]; progress != nil && !progress.ackedSendTime.IsZero() {
			return int64(progress.ackedSendTime.Sub(r.started)) + 1
		}
		return 0
	})
	if nanos == 0 {
		return time.Time{}
	}
	return r.started.Add(time.Duration(nanos - 1))
}

// LeaseExpiry returns the time until which the replica may serve reads from its own state; the zero
// time if it may not serve such reads. A leader may not serve them before it has applied an entry
// of its own term (thesis 6.4), nor after it has told another replica to take over leadership.
func (r *Replica) LeaseExpiry(now time.Time) time.Time {
	if r.role != Leader || r.timeoutNowSent || r.log.applied < r.termStartIndex {
		return time.Time{}
	}
	contact := r.lastQuorumContact(now)
	if contact.IsZero() {
		return time.Time{}
	}
	return contact.Add(r.config.ElectionTimeout * leaseFifths / 5)
}
