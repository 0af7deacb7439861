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

func living(id uint64, address string) wire.Process {
	return wire.Process{Hello: wire.Hello{Replica: replica(id, address), Formed: true}}
}

// TestPlanRepair lists the next membership for each state of a group of three
// voters.
func TestPlanRepair(t *testing.T) {
	voters := []wire.Replica{replica(1, "a"), replica(2, "b"), replica(3, "c")}
	spare := replica(4, "d")
	healthy := func(r wire.Replica) consensus.PeerStatus {
		return consensus.PeerStatus{Replica: r, Replicating: true}
	}
	silent := func(r wire.Replica) consensus.PeerStatus {
		return consensus.PeerStatus{Replica: r, SinceResponse: time.Minute}
	}
	cases := []struct {
		name      string
		learners  []wire.Replica
		peers     []consensus.PeerStatus
		processes []wire.Process
		unsettled bool
		voters    []uint64
		spares    []uint64
	}{
		{name: "nothing to do", peers: []consensus.PeerStatus{healthy(voters[1]), healthy(voters[2])}},
		{name: "a new process becomes a learner", peers: []consensus.PeerStatus{healthy(voters[1]), healthy(voters[2])}, processes: []wire.Process{living(4, "d")}, voters: []uint64{1, 2, 3}, spares: []uint64{4}},
		{name: "a silent voter gives way to a spare", learners: []wire.Replica{spare}, peers: []consensus.PeerStatus{healthy(voters[1]), silent(voters[2]), healthy(spare)}, voters: []uint64{1, 2, 4}},
		{name: "an emptied voter gives way at once", learners: []wire.Replica{spare}, peers: []consensus.PeerStatus{healthy(voters[1]), healthy(voters[2]), healthy(spare)}, processes: []wire.Process{living(9, "c")}, voters: []uint64{1, 2, 4}},
		{name: "a spare that lags is not taken", learners: []wire.Replica{spare}, peers: []consensus.PeerStatus{healthy(voters[1]), silent(voters[2]), {Replica: spare, Replicating: true, Lag: 10_000}}},
		{name: "a silent spare is dropped", learners: []wire.Replica{spare}, peers: []consensus.PeerStatus{healthy(voters[1]), healthy(voters[2]), silent(spare)}, voters: []uint64{1, 2, 3}},
		{name: "one change at a time", unsettled: true, learners: []wire.Replica{spare}, peers: []consensus.PeerStatus{healthy(voters[1]), silent(voters[2]), healthy(spare)}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			status := &consensus.Status{MembershipStable: !test.unsettled, Peers: test.peers, Membership: wire.Membership{Voters: voters, Learners: test.learners}}
			got, learners, change := planRepair(status, test.processes, repairPolicy{voters: 3, replaceAfter: 10 * time.Second, spares: 1})
			if change != (test.voters != nil) {
				t.Fatalf("change %t: %v %v", change, got, learners)
			}
			checkIDs(t, "voters", got, test.voters, change)
			checkIDs(t, "learners", learners, test.spares, change)
		})
	}
}

// TestSparesAreAsManyAsLosses checks that a group takes in as many spares as replicas
// may be lost at once, and no more: each takes the whole log.
func TestSparesAreAsManyAsLosses(t *testing.T) {
	for losses, want := range map[int]int{1: 1, 2: 2, 3: 3, 4: maxLearners} {
		node := ordered(t, 1, "a", 1)
		node.options.MinVoters = 2*losses + 1
		if got := node.repairPolicy().spares; got != want {
			t.Errorf("%d spares for %d losses, want %d", got, losses, want)
		}
	}
	voters := []wire.Replica{replica(1, "a"), replica(2, "b"), replica(3, "c")}
	status := &consensus.Status{MembershipStable: true, Membership: wire.Membership{Voters: voters, Learners: []wire.Replica{replica(4, "d")}}}
	status.Peers = []consensus.PeerStatus{{Replica: replica(4, "d"), SinceResponse: 0}}
	if _, learners, change := planRepair(status, []wire.Process{living(5, "e")}, repairPolicy{voters: 3, spares: 1}); change {
		t.Errorf("taken in beyond the spares wanted: %v", learners)
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
