package replication

import (
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/wire"
)

func replica(id uint64, address string) wire.Replica {
	return wire.Replica{ID: id, Name: address, Address: address}
}

func liveProcess(id uint64, address string) wire.Process {
	return wire.Process{Hello: wire.Hello{Replica: replica(id, address), Formed: true}}
}

// TestPlanRepair checks the next membership for various states of a group of three voters.
func TestPlanRepair(t *testing.T) {
	voters := []wire.Replica{replica(1, "a"), replica(2, "b"), replica(3, "c")}
	spare := replica(4, "d")
	healthy := func(r wire.Replica) consensus.PeerStatus {
		return consensus.PeerStatus{Replica: r, Replicating: true}
	}
	unresponsive := func(r wire.Replica) consensus.PeerStatus {
		return consensus.PeerStatus{Replica: r, SinceResponse: time.Minute}
	}
	cases := []struct {
		name         string
		learners     []wire.Replica
		peers        []consensus.PeerStatus
		processes    []wire.Process
		changing     bool
		wantVoters   []uint64
		wantLearners []uint64
	}{
		{name: "nothing to do", peers: []consensus.PeerStatus{healthy(voters[1]), healthy(voters[2])}},
		{name: "a new process becomes a learner", peers: []consensus.PeerStatus{healthy(voters[1]), healthy(voters[2])}, processes: []wire.Process{liveProcess(4, "d")}, wantVoters: []uint64{1, 2, 3}, wantLearners: []uint64{4}},
		{name: "a learner replaces an unresponsive voter", learners: []wire.Replica{spare}, peers: []consensus.PeerStatus{healthy(voters[1]), unresponsive(voters[2]), healthy(spare)}, wantVoters: []uint64{1, 2, 4}},
		{name: "a learner replaces a voter with lost storage at once", learners: []wire.Replica{spare}, peers: []consensus.PeerStatus{healthy(voters[1]), healthy(voters[2]), healthy(spare)}, processes: []wire.Process{liveProcess(9, "c")}, wantVoters: []uint64{1, 2, 4}},
		{name: "a learner that lags is not promoted", learners: []wire.Replica{spare}, peers: []consensus.PeerStatus{healthy(voters[1]), unresponsive(voters[2]), {Replica: spare, Replicating: true, Lag: 10_000}}},
		{name: "an unresponsive learner is removed", learners: []wire.Replica{spare}, peers: []consensus.PeerStatus{healthy(voters[1]), healthy(voters[2]), unresponsive(spare)}, wantVoters: []uint64{1, 2, 3}},
		{name: "one change at a time", changing: true, learners: []wire.Replica{spare}, peers: []consensus.PeerStatus{healthy(voters[1]), unresponsive(voters[2]), healthy(spare)}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			status := &consensus.Status{MembershipStable: !test.changing, Peers: test.peers, Membership: wire.Membership{Voters: voters, Learners: test.learners}}
			got, learners, change := planRepair(status, test.processes, repairPolicy{voters: 3, replaceAfter: 10 * time.Second, learnerLimit: 1})
			if change != (test.wantVoters != nil) {
				t.Fatalf("change %t with voters %v, learners %v", change, got, learners)
			}
			checkIDs(t, "voters", got, test.wantVoters, change)
			checkIDs(t, "learners", learners, test.wantLearners, change)
		})
	}
}

// TestLearnerLimitFollowsLosses checks that a group has at most as many learners as replicas
// may be lost at once, because each learner receives the whole log.
func TestLearnerLimitFollowsLosses(t *testing.T) {
	for losses, want := range map[int]int{1: 1, 2: 2, 3: 3, 4: maxLearners} {
		node := newManualNode(t, 1, "a", 1)
		node.options.MinVoters = 2*losses + 1
		if got := node.repairPolicy().learnerLimit; got != want {
			t.Errorf("learner limit %d for %d losses, want %d", got, losses, want)
		}
	}
	voters := []wire.Replica{replica(1, "a"), replica(2, "b"), replica(3, "c")}
	status := &consensus.Status{MembershipStable: true, Membership: wire.Membership{Voters: voters, Learners: []wire.Replica{replica(4, "d")}}}
	status.Peers = []consensus.PeerStatus{{Replica: replica(4, "d"), SinceResponse: 0}}
	if _, learners, change := planRepair(status, []wire.Process{liveProcess(5, "e")}, repairPolicy{voters: 3, learnerLimit: 1}); change {
		t.Errorf("learners beyond the limit: %v", learners)
	}
}

func checkIDs(t *testing.T, what string, got []wire.Replica, want []uint64, change bool) {
	t.Helper()
	if !change {
		return
	}
	if len(got) != len(want) {
		t.Fatalf("%s %v, want %v", what, got, want)
	}
	for _, id := range want {
		if !consensus.Contains(got, id) {
			t.Errorf("%s %v, want %v", what, got, want)
		}
	}
}
