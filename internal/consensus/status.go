package consensus

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// Status is a replica's state for operators and for the repair of groups.
type Status struct {
	Role         Role
	Term         uint64
	Leader       uint64
	CommitIndex  uint64
	AppliedIndex uint64
	LastIndex    uint64
	Membership   wire.Membership
	// MembershipStable is set while no change of membership is under way.
	MembershipStable bool
	// Peers holds a leader's followers.
	Peers []PeerStatus
}

// PeerStatus is a leader's view of one follower.
type PeerStatus struct {
	Replica wire.Replica
	// SinceResponse is the time since the follower's last answer.
	SinceResponse time.Duration
	// Lag is the number of entries that it has not stored yet.
	Lag uint64
	// Replicating is set while it takes entries from the log.
	Replicating bool
}

// ID returns the replica's identity.
func (r *Replica) ID() uint64 { return r.config.ID }

// Role returns what the replica currently is.
func (r *Replica) Role() Role { return r.role }

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.term }

// CommitIndex returns the index of the last committed entry.
func (r *Replica) CommitIndex() uint64 { return r.log.commit }

// AppliedIndex returns the index of the last applied entry.
func (r *Replica) AppliedIndex() uint64 { return r.log.applied }

// Membership returns the newest membership in the log.
func (r *Replica) Membership() wire.Membership { return r.membership }

// NotLeaderError returns the refusal that names the leader.
func (r *Replica) NotLeaderError() error { return r.notLeader() }

// Status returns the replica's state.
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
			SinceResponse: now.Sub(progress.heardAt),
			Lag:           r.log.lastIndex() - min(progress.Match, r.log.lastIndex()),
			Replicating:   progress.State == Replicate,
		})
	}
	return status
}
