package replication

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/placement"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	repairInterval = 200 * time.Millisecond
	// maxLearners limits the learners of a group.
	maxLearners = 3
	// maxPromotionLag is the largest number of entries that a learner may lack when it
	// becomes a voter.
	maxPromotionLag = 256
	// maxPromotionSinceResponse is the longest time since a learner's last response when it
	// becomes a voter.
	maxPromotionSinceResponse = time.Second
)

// repairPolicy holds the rules for changes to the membership of a group.
type repairPolicy struct {
	voters       int
	replaceAfter time.Duration
	// minVoters, if not zero, allows a group with more than minVoters voters to remove one
	// without replacing it: a retiring voter, or one that has been unresponsive for
	// dropAfterFactor times replaceAfter.
	minVoters int
	// learnerLimit is the maximum number of learners: the number of replicas that may be lost at
	// once. More learners would cost bandwidth and storage for every entry, because each learner
	// receives the whole log.
	learnerLimit int
	// group is the number of the group; each group ranks new learners differently.
	group int
	// retiring holds the names of the processes that must not keep any replica.
	retiring map[string]bool
}

// forGroup returns the policy for one group.
func (p repairPolicy) forGroup(group int) repairPolicy {
	p.group = group
	return p
}

// dropAfterFactor is the multiple of replaceAfter after which an unresponsive voter is
// removed without a replacement.
const dropAfterFactor = 3

// repair changes the membership of the groups that this process leads, one change at a
// time per group.
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
		if voters, learners, change := planRepair(&status, processes, policy.forGroup(g.number)); change {
			// An error means that another change is in progress; the next call of repair tries
			// again.
			_ = g.replica.ProposeMembership(voters, learners)
		}
	}
}

func (n *Node) repairPolicy() repairPolicy {
	policy := repairPolicy{voters: n.options.Voters, replaceAfter: n.options.ReplaceAfter, learnerLimit: maxLearners, retiring: n.retiring}
	if n.options.BootstrapMode == BootstrapStatic {
		policy.voters = min(n.options.Voters, len(n.options.Peers))
		return policy
	}
	policy.minVoters = n.options.MinVoters
	if n.options.BootstrapMode == BootstrapManual {
		// Only with BootstrapManual do learners stay learners for long. In the other modes they
		// become voters soon, so the number of learners need not follow the number of losses.
		policy.learnerLimit = min(max((n.options.MinVoters-1)/2, 1), maxLearners)
	}
	return policy
}

// planRepair returns the next membership of a group, as seen by its leader. A voter whose storage
// was lost, or that has been unresponsive for too long, is replaced by a learner that has caught
// up. The voter's removal and the learner's promotion happen in one change, so that the group
// always has its full number of voters. Processes that are not members are added as learners.
func planRepair(status *consensus.Status, processes []wire.Process, policy repairPolicy) (voters, learners []wire.Replica, change bool) {
	membership := &status.Membership
	if !status.MembershipStable {
		return nil, nil, false
	}
	plan := repairPlan{status: status, processes: processes, policy: policy}
	if lostID := plan.firstLost(membership.Learners); lostID != 0 {
		return membership.Voters, without(membership.Learners, lostID), true
	}
	if promoted, found := plan.promotableLearner(); found {
		remainingLearners := without(membership.Learners, promoted.ID)
		if lostID := plan.firstLost(membership.Voters); lostID != 0 {
			return append(without(membership.Voters, lostID), promoted), remainingLearners, true
		}
		if len(membership.Voters) < policy.voters {
			return append(without(membership.Voters, 0), promoted), remainingLearners, true
		}
	}
	if droppedID := plan.voterToDrop(); droppedID != 0 {
		return without(membership.Voters, droppedID), membership.Learners, true
	}
	if learner, found := plan.newLearner(); found && len(membership.Learners) < policy.learnerLimit {
		return membership.Voters, append(without(membership.Learners, 0), learner), true
	}
	return nil, nil, false
}

// repairPlan holds the input of planRepair.
type repairPlan struct {
	status    *consensus.Status
	processes []wire.Process
	policy    repairPolicy
}

// firstLost returns the ID of the first of the replicas that must be replaced, or zero: its
// process retires, its storage was lost, or it has been unresponsive for longer than
// replaceAfter.
func (p *repairPlan) firstLost(replicas []wire.Replica) uint64 {
	for _, replica := range replicas {
		if p.policy.retiring[replica.Name] {
			return replica.ID
		}
		peer, isPeer := p.peer(replica.ID)
		if isPeer && (p.storageReplaced(replica) || peer.SinceResponse > p.policy.replaceAfter) {
			return replica.ID
		}
	}
	return 0
}

// voterToDrop returns the ID of a voter to remove without a replacement, or zero: one that
// retires or has been unresponsive for long, if the group has more than minVoters.
func (p *repairPlan) voterToDrop() uint64 {
	voters := p.status.Membership.Voters
	if p.policy.minVoters == 0 || len(voters) <= p.policy.minVoters {
		return 0
	}
	for _, replica := range voters {
		peer, isPeer := p.peer(replica.ID)
		if p.policy.retiring[replica.Name] || isPeer && peer.SinceResponse > dropAfterFactor*p.policy.replaceAfter {
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

// storageReplaced reports whether a process at the replica's address recently sent a hello
// with another identity.
func (p *repairPlan) storageReplaced(replica wire.Replica) bool {
	for _, process := range p.processes {
		if process.Hello.Replica.Address == replica.Address && process.Hello.Replica.ID != replica.ID && isRecent(&process) {
			return true
		}
	}
	return false
}

func isRecent(process *wire.Process) bool { return process.SilentMillis <= helloTTL.Milliseconds() }

// promotableLearner returns a learner that has caught up and is responsive.
func (p *repairPlan) promotableLearner() (wire.Replica, bool) {
	for _, learner := range p.status.Membership.Learners {
		peer, found := p.peer(learner.ID)
		if found && peer.Replicating && peer.Lag <= maxPromotionLag && peer.SinceResponse <= maxPromotionSinceResponse {
			return learner, true
		}
	}
	return wire.Replica{}, false
}

// newLearner returns a live process that is not a member. Each group ranks the processes
// differently, so that the replicas spread over all of them.
func (p *repairPlan) newLearner() (learner wire.Replica, found bool) {
	for _, process := range p.processes {
		replica := process.Hello.Replica
		if p.policy.retiring[replica.Name] || !process.Hello.Formed || !isRecent(&process) || consensus.IsMember(&p.status.Membership, replica.ID) {
			continue
		}
		if !found || placement.Rank(p.policy.group, replica.ID) < placement.Rank(p.policy.group, learner.ID) {
			learner, found = replica, true
		}
	}
	return learner, found
}

// without returns a copy of the list without the replica with the given ID.
func without(replicas []wire.Replica, id uint64) []wire.Replica {
	kept := make([]wire.Replica, 0, len(replicas)+1)
	for _, replica := range replicas {
		if replica.ID != id {
			kept = append(kept, replica)
		}
	}
	return kept
}
