package replication

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// startSeededHost starts a host that finds the others through the seeds.
func startSeededHost(t *testing.T, network *localNetwork, address string, id uint64, seeds []string, bootstrap bool) *Host {
	t.Helper()
	host, err := NewHost(Options{
		Store:             storage.NewMemory(),
		Machines:          []StateMachine{&register{}},
		Name:              address,
		Address:           address,
		Peers:             seeds,
		Voters:            9,
		MinVoters:         3,
		BootstrapMode:     BootstrapFromSeeds,
		Bootstrap:         bootstrap,
		NewID:             func() uint64 { return id },
		ElectionTimeout:   100 * time.Millisecond,
		HeartbeatInterval: 20 * time.Millisecond,
		ReplaceAfter:      300 * time.Millisecond,
		RetainedLogBytes:  1 << 20,
		Random:            rand.New(rand.NewPCG(id, 1)),
	}, network.transport())
	if err != nil {
		t.Fatal(err)
	}
	network.mutex.Lock()
	network.hosts[address] = host
	network.mutex.Unlock()
	t.Cleanup(host.Close)
	return host
}

// awaitVoters waits until a host leads a group with exactly these voters and no membership
// change in progress.
func awaitVoters(t *testing.T, hosts []*Host, want ...uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	last := ""
	for ctx.Err() == nil {
		for _, host := range hosts {
			statuses, err := host.Statuses(ctx)
			if err != nil || statuses[0].Role != consensus.Leader || !statuses[0].MembershipStable {
				continue
			}
			voters := statuses[0].Membership.Voters
			last = fmt.Sprint(voters)
			matched := len(voters) == len(want)
			for _, id := range want {
				matched = matched && consensus.Contains(voters, id)
			}
			if matched {
				return
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("voters %s, want %v", last, want)
}

// TestBootstrapFromSeeds starts five hosts, three of them seeds, and checks that all become
// voters. Then one host is lost for good, and a new one with an empty store and another
// address must replace it.
func TestBootstrapFromSeeds(t *testing.T) {
	network := &localNetwork{hosts: map[string]*Host{}}
	seeds := []string{"h1", "h2", "h3"}
	var hosts []*Host
	for id := uint64(5); id >= 1; id-- {
		hosts = append(hosts, startSeededHost(t, network, fmt.Sprintf("h%d", id), id, seeds, true))
	}
	awaitVoters(t, hosts, 1, 2, 3, 4, 5)
	hosts[0].Close()
	network.mutex.Lock()
	delete(network.hosts, "h5")
	network.mutex.Unlock()
	hosts = append(hosts[1:], startSeededHost(t, network, "h6", 6, seeds, false))
	awaitVoters(t, hosts, 1, 2, 3, 4, 6)
}

// TestNoClusterWithoutBootstrap checks that a process with an empty store does not bootstrap
// a cluster unless Options.Bootstrap is set, so that no second cluster begins.
func TestNoClusterWithoutBootstrap(t *testing.T) {
	node, err := Open(Options{
		Store:         storage.NewMemory(),
		Machines:      []StateMachine{&register{}},
		Name:          "h1",
		Address:       "h1",
		Peers:         []string{"h1"},
		Voters:        9,
		BootstrapMode: BootstrapFromSeeds,
		NewID:         func() uint64 { return 1 },
		Random:        rand.New(rand.NewPCG(1, 1)),
		Send:          func(string, wire.PeerMessage) {},

		ElectionTimeout: time.Second,
	}, time.Unix(0, 0))
	if err != nil {
		t.Fatal(err)
	}
	for second := int64(0); second < 100; second++ {
		node.Tick(time.Unix(second, 0))
	}
	if node.Hello().Formed {
		t.Error("a cluster was bootstrapped without Options.Bootstrap")
	}
}

// TestManualBootstrap checks that a group gets its initial voters only on processes whose
// identity is among them, and that a second call of Bootstrap has no effect.
func TestManualBootstrap(t *testing.T) {
	groups := [][]wire.Replica{{replica(1, "a"), replica(2, "b")}, {replica(7, "a"), replica(2, "b")}}
	for id, want := range map[uint64][2]int{1: {2, 0}, 7: {0, 2}, 9: {0, 0}} {
		node := newManualNode(t, id, "a", 3)
		node.Bootstrap(time.Unix(1, 0), nil)
		if node.Hello().Formed {
			t.Error("an empty list of groups bootstrapped a cluster")
		}
		node.Bootstrap(time.Unix(1, 0), groups)
		node.Bootstrap(time.Unix(2, 0), [][]wire.Replica{{replica(id, "z")}})
		if !node.Hello().Formed {
			t.Errorf("identity %d belongs to no cluster", id)
		}
		for number, status := range node.Statuses(time.Unix(2, 0)) {
			wanted := 0
			if number < len(want) {
				wanted = want[number]
			}
			if voters := status.Membership.Voters; len(voters) != wanted {
				t.Errorf("identity %d: group %d has voters %+v", id, number, voters)
			}
		}
	}
}

// TestPlanRepairDropsVoters checks when a group with minVoters removes unresponsive and
// retiring voters without replacing them.
func TestPlanRepairDropsVoters(t *testing.T) {
	voters := []wire.Replica{replica(1, "a"), replica(2, "b"), replica(3, "c"), replica(4, "d")}
	peerStatus := func(r wire.Replica, sinceResponse time.Duration) consensus.PeerStatus {
		return consensus.PeerStatus{Replica: r, Replicating: true, SinceResponse: sinceResponse}
	}
	policy := func(retiring ...string) repairPolicy {
		names := map[string]bool{}
		for _, name := range retiring {
			names[name] = true
		}
		return repairPolicy{voters: 9, replaceAfter: time.Second, minVoters: 3, retiring: names}
	}
	cases := []struct {
		name          string
		voters        []wire.Replica
		sinceResponse time.Duration
		policy        repairPolicy
		want          []uint64
	}{
		{"a voter unresponsive for a short time stays", voters, time.Second * 2, policy(), nil},
		{"a voter unresponsive for long is removed", voters, time.Second * 4, policy(), []uint64{1, 2, 3}},
		{"not below the minimum number", voters[1:], time.Second * 4, policy(), nil},
		{"a retiring voter is removed", voters, 0, policy("b"), []uint64{1, 3, 4}},
		{"a retiring voter stays if too few are left", voters[1:], 0, policy("b"), nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			status := &consensus.Status{MembershipStable: true, Membership: wire.Membership{Voters: test.voters}}
			for _, voter := range test.voters {
				status.Peers = append(status.Peers, peerStatus(voter, 0))
			}
			status.Peers[len(status.Peers)-1].SinceResponse = test.sinceResponse
			got, _, change := planRepair(status, nil, test.policy)
			if change != (test.want != nil) {
				t.Fatalf("change %t with voters %v", change, got)
			}
			checkIDs(t, "voters", got, test.want, change)
		})
	}
}

// TestNoResponseBeforeBootstrap checks that a process that belongs to no cluster yet does
// not respond to messages. Bootstrapping replaces its log, so that entries which it had
// acknowledged before would be lost.
func TestNoResponseBeforeBootstrap(t *testing.T) {
	sent := 0
	node, err := Open(Options{
		Store:           storage.NewMemory(),
		Machines:        []StateMachine{&register{}},
		Name:            "b",
		Address:         "b",
		BootstrapMode:   BootstrapManual,
		NewID:           func() uint64 { return 2 },
		ElectionTimeout: time.Second,
		Random:          rand.New(rand.NewPCG(1, 1)),
		Send:            func(string, wire.PeerMessage) { sent++ },
	}, time.Unix(0, 0))
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1, 0)
	entries := []wire.LogEntry{{Index: 1, Term: 1, Kind: wire.EntryNoop}}
	node.HandleHello(now, &wire.Hello{Replica: replica(1, "a")})
	node.Receive(now, &wire.PeerMessage{Kind: wire.MessageAppend, From: 1, To: 2, Term: 1, Entries: entries})
	node.Flush(now)
	if sent > 0 {
		t.Error("a message was answered before the bootstrap")
	}
	node.Bootstrap(now, [][]wire.Replica{{replica(1, "a"), replica(2, "b")}})
	node.Receive(now, &wire.PeerMessage{Kind: wire.MessageAppend, From: 1, To: 2, Term: 1, Entries: entries})
	node.Flush(now)
	if sent != 1 || node.Statuses(now)[0].LastIndex != 1 {
		t.Errorf("after the bootstrap %d responses and last index %d, want 1 and 1", sent, node.Statuses(now)[0].LastIndex)
	}
}

// newManualNode opens a node with BootstrapManual.
func newManualNode(t *testing.T, id uint64, name string, groups int) *Node {
	t.Helper()
	var machines []StateMachine
	for range groups {
		machines = append(machines, &register{})
	}
	node, err := Open(Options{
		Store:           storage.NewMemory(),
		Machines:        machines,
		Name:            name,
		Address:         name,
		BootstrapMode:   BootstrapManual,
		NewID:           func() uint64 { return id },
		ElectionTimeout: time.Second,
		Random:          rand.New(rand.NewPCG(1, 1)),
		Send:            func(string, wire.PeerMessage) {},
	}, time.Unix(0, 0))
	if err != nil {
		t.Fatal(err)
	}
	return node
}

// TestHellosLimitedAmongManyProcesses lists 300 processes, three of them members. A member must
// send hellos only to the other members and a few live spares, find other spares when these become
// unresponsive, and forget no listed process. A process that is not a member must send none.
// Without the limit each process sent hellos to all others.
func TestHellosLimitedAmongManyProcesses(t *testing.T) {
	voters := []wire.Replica{replica(1, "p1"), replica(2, "p2"), replica(3, "p3")}
	var listed []string
	for number := 1; number <= 300; number++ {
		listed = append(listed, fmt.Sprintf("p%d", number))
	}
	now := time.Unix(1, 0)
	member, spare := newManualNode(t, 1, "p1", 1), newManualNode(t, 300, "p300", 1)
	for _, node := range []*Node{member, spare} {
		node.SetPeers(now, listed)
		node.Bootstrap(now, [][]wire.Replica{voters})
	}
	if peers := spare.Peers(now); len(peers) != 0 {
		t.Errorf("a process that is not a member sends hellos to %v", peers)
	}
	unresponsive := map[string]bool{}
	exchangeHellos := func() []string {
		peers := member.Peers(now)
		for _, address := range peers {
			if !unresponsive[address] {
				member.HandleHello(now, &wire.Hello{Replica: replica(uint64(len(address)), address), Formed: true})
			}
		}
		return peers
	}
	for range 10 {
		now = now.Add(helloInterval)
		exchangeHellos()
	}
	peers := exchangeHellos()
	if len(peers) != len(voters)+targetSpares {
		t.Errorf("a member sends hellos to %v", peers)
	}
	for _, voter := range voters {
		if !slices.Contains(peers, voter.Address) {
			t.Errorf("a member sends no hello to member %s", voter.Address)
		}
	}
	for _, address := range peers {
		unresponsive[address] = true
	}
	live := 0
	for range 200 {
		now = now.Add(helloInterval)
		member.forgetPeers(now)
		exchangeHellos()
	}
	for _, process := range member.Processes(now) {
		if isRecent(&process) && process.Hello.Replica.Address != "p1" {
			live++
		}
	}
	if live < maxLearners {
		t.Errorf("only %d live spares are known after the first ones became unresponsive", live)
	}
	if len(member.peers) != len(listed) {
		t.Errorf("%d of %d listed processes are known", len(member.peers), len(listed))
	}
}
