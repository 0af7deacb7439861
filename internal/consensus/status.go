package consensus

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// Status is the state of a replica, for operators and for the repair of groups.
type Status struct {
	Role         Role
	Term         uint64
	Leader       uint64
	CommitIndex  uint64
	AppliedIndex uint64
	LastIndex    uint64
	Membership   wire.Membership
	// MembershipStable is set while no membership change is in progress.
	MembershipStable bool
	// Peers describes the other members; only a leader sets it.
	Peers []PeerStatus
}

// PeerStatus is a leader's view of another member.
type PeerStatus struct {
	Replica wire.Replica
	// SinceResponse is the time since the member's last response.
	SinceResponse time.Duration
	// Lag is the number of entries that the member has not stored yet.
	Lag uint64
	// Replicating is set while the member receives entries in state Replicate.
	Replicating bool
}

// ID returns the identity of the replica's storage.
func (r *Replica) ID() uint64 { return r.config.ID }

// Role returns the current role.
func (r *Replica) Role() Role { return r.role }

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.term }

// CommitIndex returns the index of the last committed entry.
func (r *Replica) CommitIndex() uint64 { return r.log.commit }

// AppliedIndex returns the index of the last applied entry.
func (r *Replica) AppliedIndex() uint64 { return r.log.applied }

// Membership returns the newest membership in the log.
func (r *Replica) Membership() wire.Membership { return r.membership }

// NotLeaderError returns the error for requests that only a leader can serve. It names
// the leader if another replica is known to lead.
func (r *Replica) NotLeaderError() error { return r.notLeader() }

// Status returns the current state of the replica.
func (r *Replica) Status(now time.Time) Status {
	status := Status{
		Role:             r.role,
		Term:             r.term,
		Leader:           r.leader,
		CommitIndex:      r.log.commit,
		AppliedIndex:     r.log.applied,
		LastIndex:        r.log.lastIndex(),
		Membership:       r.membership,
		MembershipStable: r.membershipIndex <= r.log.commit && len(r.membership.Outgoing) == 0,
	}
	if r.role != Leader {
		return status
	}
	for _, member := range Members(&r.membership) {
		progress := r.progress[member.ID]
		if member.ID == r.config.ID || progress == nil {
			continue
		}
		status.Peers = append(status.Peers, PeerStatus{
			Replica:       member,
			SinceResponse: now.Sub(progress.lastResponse),
			Lag:           r.log.lastIndex() - min(progress.Match, r.log.lastIndex()),
			Replicating:   progress.State == Replicate,
		})
	}
	return status
}
