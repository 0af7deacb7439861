package consensus

import (
	"sort"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Contains reports whether the identity is among the replicas.
func Contains(replicas []wire.Replica, id uint64) bool {
	for i := range replicas {
		if replicas[i].ID == id {
			return true
		}
	}
	return false
}

// IsVoter reports whether the replica counts for majorities.
func IsVoter(membership *wire.Membership, id uint64) bool {
	return Contains(membership.Voters, id) || Contains(membership.Outgoing, id)
}

// IsMember reports whether the replica receives the log.
func IsMember(membership *wire.Membership, id uint64) bool {
	return IsVoter(membership, id) || Contains(membership.Learners, id)
}

// Members returns every replica of the membership once.
func Members(membership *wire.Membership) []wire.Replica {
	var members []wire.Replica
	for _, list := range [][]wire.Replica{membership.Voters, membership.Outgoing, membership.Learners} {
		for _, replica := range list {
			if !Contains(members, replica.ID) {
				members = append(members, replica)
			}
		}
	}
	return members
}

// quorumValue returns the largest value that a majority of the replicas has
// reached; in a joint membership, a majority of both lists (thesis 4.3).
func quorumValue(membership *wire.Membership, value func(id uint64) int64) int64 {
	result := majorityValue(membership.Voters, value)
	if len(membership.Outgoing) > 0 {
		result = min(result, majorityValue(membership.Outgoing, value))
	}
	return result
}

func majorityValue(replicas []wire.Replica, value func(id uint64) int64) int64 {
	if len(replicas) == 0 {
		return 0
	}
	values := make([]int64, len(replicas))
	for i := range replicas {
		values[i] = value(replicas[i].ID)
	}
	sort.Slice(values, func(a, b int) bool { return values[a] > values[b] })
	return values[len(values)/2]
}

// quorumOf reports whether a majority satisfies the condition.
func quorumOf(membership *wire.Membership, holds func(id uint64) bool) bool {
	return quorumValue(membership, func(id uint64) int64 {
		if holds(id) {
			return 1
		}
		return 0
	}) == 1
}

// sameReplicas reports whether two lists name the same identities.
func sameReplicas(first, second []wire.Replica) bool {
	if len(first) != len(second) {
		return false
	}
	for i := range first {
		if !Contains(second, first[i].ID) {
			return false
		}
	}
	return true
}

// ProposeMembership begins the change to the voters and learners given. Where
// the voters differ the change goes through a joint membership, which the leader
// leaves by itself once it is committed.
//
// It fails with NotRun while the replica is not a leader that has committed an
// entry of its term, or while another change is under way.
func (r *Replica) ProposeMembership(voters, learners []wire.Replica) error {
	switch {
	case !r.mayPropose():
		return r.notLeader()
	case r.log.commit < r.termStart:
		return failure.New(failure.NotRun, "try again", "the leader's term has not begun yet")
	case r.membershipIndex > r.log.commit || len(r.membership.Outgoing) > 0:
		return failure.New(failure.NotRun, "try again", "another change of membership is under way")
	}
	next := wire.Membership{Voters: voters, Learners: learners}
	if !sameReplicas(voters, r.membership.Voters) {
		next.Outgoing = r.membership.Voters
	}
	r.appendMembership(next)
	r.broadcast(false)
	return nil
}

func (r *Replica) appendMembership(next wire.Membership) {
	data, err := next.MarshalMsg(nil)
	if err != nil {
		panic("consensus: a membership does not encode: " + err.Error())
	}
	r.appendEntry(wire.EntryMembership, data)
}

// leaveJoint ends a committed joint membership.
func (r *Replica) leaveJoint() {
	if r.role != Leader || len(r.membership.Outgoing) == 0 || r.membershipIndex > r.log.commit {
		return
	}
	r.appendMembership(wire.Membership{Voters: r.membership.Voters, Learners: r.membership.Learners})
	r.broadcast(false)
}

// adoptMembership takes the newest membership of the log into use.
func (r *Replica) adoptMembership() {
	r.membership, r.membershipIndex = r.log.membershipAt(r.log.lastIndex())
	if r.role != Leader {
		return
	}
	kept := map[uint64]*Progress{}
	for _, member := range Members(&r.membership) {
		kept[member.ID] = r.progress[member.ID]
		if kept[member.ID] == nil {
			kept[member.ID] = &Progress{Next: r.log.lastIndex() + 1, heardAt: r.now}
		}
	}
	r.progress = kept
}
