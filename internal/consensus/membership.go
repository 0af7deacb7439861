package consensus

import (
	"sort"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Contains reports whether one of the replicas has the given ID.
func Contains(replicas []wire.Replica, id uint64) bool {
	for i := range replicas {
		if replicas[i].ID == id {
			return true
		}
	}
	return false
}

// IsVoter reports whether the replica counts towards majorities. In a joint
// membership the outgoing voters do too.
func IsVoter(membership *wire.Membership, id uint64) bool {
	return Contains(membership.Voters, id) || Contains(membership.Outgoing, id)
}

// IsMember reports whether the replica is a voter or a learner, and so receives the log.
func IsMember(membership *wire.Membership, id uint64) bool {
	return IsVoter(membership, id) || Contains(membership.Learners, id)
}

// Members returns the voters and learners of the membership, without duplicates.
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

// quorumValue returns the largest value that a majority of the voters has reached. In a joint
// membership it is the largest value that both a majority of the new voters and a majority of the
// outgoing voters have reached (thesis 4.3).
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

// hasQuorum reports whether a majority of the voters satisfies the condition.
func hasQuorum(membership *wire.Membership, satisfies func(id uint64) bool) bool {
	return quorumValue(membership, func(id uint64) int64 {
		if satisfies(id) {
			return 1
		}
		return 0
	}) == 1
}

// sameReplicas reports whether two lists hold the same IDs, in any order.
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

// ProposeMembership starts a change to the given voters and learners. If the voters
// change, the group passes through a joint membership, which the leader ends by itself
// once it is committed.
//
// It fails with NotRun if this replica is not a leader that has committed an entry of
// its term, or if another membership change is in progress.
func (r *Replica) ProposeMembership(voters, learners []wire.Replica) error {
	switch {
	case !r.canPropose():
		return r.notLeader()
	case r.log.commit < r.termStartIndex:
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
		panic("consensus: encode membership: " + err.Error())
	}
	r.appendEntry(wire.EntryMembership, data)
}

// leaveJoint appends the final membership once the joint membership is committed.
func (r *Replica) leaveJoint() {
	if r.role != Leader || len(r.membership.Outgoing) == 0 || r.membershipIndex > r.log.commit {
		return
	}
	r.appendMembership(wire.Membership{Voters: r.membership.Voters, Learners: r.membership.Learners})
	r.broadcast(false)
}

// adoptMembership puts the newest membership in the log into effect. A leader starts
// tracking new members and drops removed ones.
func (r *Replica) adoptMembership() {
	r.membership, r.membershipIndex = r.log.membershipAt(r.log.lastIndex())
	if r.role != Leader {
		return
	}
	kept := map[uint64]*Progress{}
	for _, member := range Members(&r.membership) {
		kept[member.ID] = r.progress[member.ID]
		if kept[member.ID] == nil {
			kept[member.ID] = &Progress{Next: r.log.lastIndex() + 1, lastResponse: r.now}
		}
	}
	r.progress = kept
}
