package replication

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/placement"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	repairInterval = 200 * time.Millisecond
	// maxLearners bounds the spares of a group where no number of losses is told.
	maxLearners = 3
	// maxBehind is how many entries a learner may lack when it becomes a voter.
	maxBehind = 256
	// maxLearnerSilence is how lately a learner must have answered then.
	maxLearnerSilence = time.Second
)

// repairPolicy says when the membership of a group is to change.
type repairPolicy struct {
	voters       int
	replaceAfter time.Duration
	// minVoters, where it is set, lets a voter go that has been silent for
	// dropAfter times replaceAfter while more than minVoters are left.
	minVoters int
	// spares bounds the learners: as many as replicas may be lost at once. Each takes
	// the whole log, so more would be paid for by every entry.
	spares int
	// group is the number of the group, by which its joiners are chosen.
	group int
	// retiring names the processes that are to hold nothing any more.
	retiring map[string]bool
}

// of returns the policy as it is for one group.
func (p repairPolicy) of(group int) repairPolicy {
	p.group = group
	return p
}

// dropAfter is how many times replaceAfter a voter is silent before it is let
// go without a successor.
const dropAfter = 3

// repair changes the membership of the groups that this process leads, one step
// at a time.
func (n *Node) repair(now time.Time) {
	policy := n.repairPolicy()
	processes := n.Processes(now)
	for _, g := range n.groups {
		if g.replica.Role() != consensus.Leader {
			continue
		}
		if n.retiring[n.options.Name] && g.replica.TransferLeadership(now) {
			continue
		}
		status := g.replica.Status(now)
		if voters, learners, change := planRepair(&status, processes, policy.of(g.number)); change {
			// A refusal means that another change is under way; the next round
			// tries again.
			_ = g.replica.ProposeMembership(voters, learners)
		}
	}
}

func (n *Node) repairPolicy() repairPolicy {
	policy := repairPolicy{voters: n.options.Voters, replaceAfter: n.options.ReplaceAfter, spares: maxLearners, retiring: n.retiring}
	if n.options.BootstrapMode == BootstrapStatic {
		policy.voters = min(n.options.Voters, len(n.options.Peers))
		return policy
	}
	policy.minVoters = n.options.MinVoters
	if n.options.BootstrapMode == BootstrapManual {
		// Elsewhere learners are taken in to become voters soon.
		policy.spares = min(max((n.options.MinVoters-1)/2, 1), maxLearners)
	}
	return policy
}

// planRepair returns the next membership of a group, seen from its leader. A
// voter whose storage is gone, or that has been silent for too long, gives its
// place to a learner that has caught up; both happen in one change, so that the
// group is never short of a voter that it counts. Processes that are no members
// become learners.
func planRepair(status *consensus.Status, processes []wire.Process, policy repairPolicy) (voters, learners []wire.Replica, change bool) {
	membership := &status.Membership
	if !status.MembershipStable {
		return nil, nil, false
	}
	plan := repairPlan{status: status, processes: processes, policy: policy}
	if lost := plan.lostOf(membership.Learners); lost != 0 {
		return membership.Voters, without(membership.Learners, lost), true
	}
	if ready, found := plan.readyLearner(); found {
		rest := without(membership.Learners, ready.ID)
		if lost := plan.lostOf(membership.Voters); lost != 0 {
			return append(without(membership.Voters, lost), ready), rest, true
		}
		if len(membership.Voters) < policy.voters {
			return append(without(membership.Voters, 0), ready), rest, true
		}
	}
	if dropped := plan.droppable(); dropped != 0 {
		return without(membership.Voters, dropped), membership.Learners, true
	}
	if joiner, found := plan.joiner(); found && len(membership.Learners) < policy.spares {
		return membership.Voters, append(without(membership.Learners, 0), joiner), true
	}
	return nil, nil, false
}

// repairPlan holds what a plan goes by.
type repairPlan struct {
	status    *consensus.Status
	processes []wire.Process
	policy    repairPolicy
}

// lostOf returns the identity of a replica of the list that is gone, or zero.
func (p *repairPlan) lostOf(replicas []wire.Replica) uint64 {
	for _, replica := range replicas {
		if p.policy.retiring[replica.Name] {
			return replica.ID
		}
		peer, isPeer := p.peer(replica.ID)
		if isPeer && (p.storageGone(replica) || peer.SinceResponse > p.policy.replaceAfter) {
			return replica.ID
		}
	}
	return 0
}

// droppable returns a voter that the group is better off without, or zero: one
// that is to retire, or that has been silent for long, while enough are left.
func (p *repairPlan) droppable() uint64 {
	voters := p.status.Membership.Voters
	if p.policy.minVoters == 0 || len(voters) <= p.policy.minVoters {
		return 0
	}
	for _, replica := range voters {
		peer, isPeer := p.peer(replica.ID)
		if p.policy.retiring[replica.Name] || isPeer && peer.SinceResponse > dropAfter*p.policy.replaceAfter {
			return replica.ID
		}
	}
	return 0
}

func (p *repairPlan) peer(id uint64) (consensus.PeerStatus, bool) {
	for _, peer := range p.status.Peers {
		if peer.Replica.ID == id {
			return peer, true
		}
	}
	return consensus.PeerStatus{}, false
}

// storageGone reports whether the replica's process has come back with another
// identity.
func (p *repairPlan) storageGone(replica wire.Replica) bool {
	for _, process := range p.processes {
		if process.Hello.Replica.Address == replica.Address && process.Hello.Replica.ID != replica.ID && fresh(&process) {
			return true
		}
	}
	return false
}

func fresh(process *wire.Process) bool { return process.SilentMillis <= helloFresh.Milliseconds() }

// readyLearner returns a learner that lacks next to nothing.
func (p *repairPlan) readyLearner() (wire.Replica, bool) {
	for _, learner := range p.status.Membership.Learners {
		peer, found := p.peer(learner.ID)
		if found && peer.Replicating && peer.Lag <= maxBehind && peer.SinceResponse <= maxLearnerSilence {
			return learner, true
		}
	}
	return wire.Replica{}, false
}

// joiner returns a living process that is no member. Groups choose differently, so that
// what they hold spreads over the processes.
func (p *repairPlan) joiner() (joiner wire.Replica, found bool) {
	for _, process := range p.processes {
		replica := process.Hello.Replica
		if p.policy.retiring[replica.Name] || !process.Hello.Formed || !fresh(&process) || consensus.IsMember(&p.status.Membership, replica.ID) {
			continue
		}
		if !found || placement.Rank(p.policy.group, replica.ID) < placement.Rank(p.policy.group, joiner.ID) {
			joiner, found = replica, true
		}
	}
	return joiner, found
}

// without returns a copy of the list less the identity.
func without(replicas []wire.Replica, id uint64) []wire.Replica {
	kept := make([]wire.Replica, 0, len(replicas)+1)
	for _, replica := range replicas {
		if replica.ID != id {
			kept = append(kept, replica)
		}
	}
	return kept
}
