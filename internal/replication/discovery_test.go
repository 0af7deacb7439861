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

// joiningHost starts a host that finds the others by asking the seeds.
func joiningHost(t *testing.T, network *localNetwork, address string, id uint64, seeds []string, bootstrap bool) *Host {
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

// awaitVoters waits until some host leads a settled group with the voters.
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

// TestGroupFormsFromSeeds starts five hosts of which three are seeds: all become
// voters. One is then lost for good and another comes at a new address with an
// empty disk: it takes the place.
func TestGroupFormsFromSeeds(t *testing.T) {
	network := &localNetwork{hosts: map[string]*Host{}}
	seeds := []string{"h1", "h2", "h3"}
	var hosts []*Host
	for id := uint64(5); id >= 1; id-- {
		hosts = append(hosts, joiningHost(t, network, fmt.Sprintf("h%d", id), id, seeds, true))
	}
	awaitVoters(t, hosts, 1, 2, 3, 4, 5)
	hosts[0].Close()
	network.mutex.Lock()
	delete(network.hosts, "h5")
	network.mutex.Unlock()
	hosts = append(hosts[1:], joiningHost(t, network, "h6", 6, seeds, false))
	awaitVoters(t, hosts, 1, 2, 3, 4, 6)
}

// TestNobodyFormsWithoutBootstrap checks that hosts with empty disks never begin
// a second group.
func TestNobodyFormsWithoutBootstrap(t *testing.T) {
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
		t.Error("a group was formed")
	}
}

// TestFormByOrder checks that only the identities named form each group, and that
// a later order changes nothing.
func TestFormByOrder(t *testing.T) {
	groups := [][]wire.Replica{{replica(1, "a"), replica(2, "b")}, {replica(7, "a"), replica(2, "b")}}
	for id, want := range map[uint64][2]int{1: {2, 0}, 7: {0, 2}, 9: {0, 0}} {
		node := ordered(t, id, "a", 3)
		node.Bootstrap(time.Unix(1, 0), nil)
		if node.Hello().Formed {
			t.Error("an empty order formed a group")
		}
		node.Bootstrap(time.Unix(1, 0), groups)
		node.Bootstrap(time.Unix(2, 0), [][]wire.Replica{{replica(id, "z")}})
		if !node.Hello().Formed {
			t.Errorf("identity %d has not formed", id)
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

// TestPlanDrops lists what a group that finds its members by itself does with
// voters that are silent or to retire.
func TestPlanDrops(t *testing.T) {
	voters := []wire.Replica{replica(1, "a"), replica(2, "b"), replica(3, "c"), replica(4, "d")}
	silent := func(r wire.Replica, silence time.Duration) consensus.PeerStatus {
		return consensus.PeerStatus{Replica: r, Replicating: true, SinceResponse: silence}
	}
	policy := func(retiring ...string) repairPolicy {
		names := map[string]bool{}
		for _, name := range retiring {
			names[name] = true
		}
		return repairPolicy{voters: 9, replaceAfter: time.Second, minVoters: 3, retiring: names}
	}
	cases := []struct {
		name    string
		voters  []wire.Replica
		silence time.Duration
		policy  repairPolicy
		want    []uint64
	}{
		{"a voter silent for a moment stays", voters, time.Second * 2, policy(), nil},
		{"a voter silent for long goes", voters, time.Second * 4, policy(), []uint64{1, 2, 3}},
		{"not below the least number", voters[1:], time.Second * 4, policy(), nil},
		{"a retiring voter goes", voters, 0, policy("b"), []uint64{1, 3, 4}},
		{"a retiring voter stays where too few are left", voters[1:], 0, policy("b"), nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			status := &consensus.Status{MembershipStable: true, Membership: wire.Membership{Voters: test.voters}}
			for _, voter := range test.voters {
				status.Peers = append(status.Peers, silent(voter, 0))
			}
			status.Peers[len(status.Peers)-1].SinceResponse = test.silence
			got, _, change := planRepair(status, nil, test.policy)
			if change != (test.want != nil) {
				t.Fatalf("change %t: %v", change, got)
			}
			checkIDs(t, "voters", got, test.want, change)
		})
	}
}

// TestNothingIsTakenInBeforeForming checks that a process that belongs to no
// group yet answers no message of one: forming begins its log anew, and what it
// had acknowledged before would be gone.
func TestNothingIsTakenInBeforeForming(t *testing.T) {
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
		t.Error("a message was answered")
	}
	node.Bootstrap(now, [][]wire.Replica{{replica(1, "a"), replica(2, "b")}})
	node.Receive(now, &wire.PeerMessage{Kind: wire.MessageAppend, From: 1, To: 2, Term: 1, Entries: entries})
	node.Flush(now)
	if sent != 1 || node.Statuses(now)[0].LastIndex != 1 {
		t.Errorf("after forming %d answers, last index %d", sent, node.Statuses(now)[0].LastIndex)
	}
}

// ordered opens a node of a cluster formed by order.
func ordered(t *testing.T, id uint64, name string, groups int) *Node {
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

// TestFewHellosAmongMany lists three hundred processes, three of them members: a
// member says hello to the other members and to a few living spares, replaces those
// that fall silent, and forgets none that is listed. Who is no member says hello to
// nobody. Before, each said hello to all.
func TestFewHellosAmongMany(t *testing.T) {
	voters := []wire.Replica{replica(1, "p1"), replica(2, "p2"), replica(3, "p3")}
	var listed []string
	for number := 1; number <= 300; number++ {
		listed = append(listed, fmt.Sprintf("p%d", number))
	}
	now := time.Unix(1, 0)
	member, spare := ordered(t, 1, "p1", 1), ordered(t, 300, "p300", 1)
	for _, node := range []*Node{member, spare} {
		node.SetPeers(now, listed)
		node.Bootstrap(now, [][]wire.Replica{voters})
	}
	if peers := spare.Peers(now); len(peers) != 0 {
		t.Errorf("who is no member says hello to %v", peers)
	}
	silent := map[string]bool{}
	hear := func() []string {
		peers := member.Peers(now)
		for _, address := range peers {
			if !silent[address] {
				member.HandleHello(now, &wire.Hello{Replica: replica(uint64(len(address)), address), Formed: true})
			}
		}
		return peers
	}
	for range 10 {
		now = now.Add(helloInterval)
		hear()
	}
	peers := hear()
	if len(peers) != len(voters)+wantedSpares {
		t.Errorf("hellos to %v", peers)
	}
	for _, voter := range voters {
		if !slices.Contains(peers, voter.Address) {
			t.Errorf("no hello to member %s", voter.Address)
		}
	}
	for _, address := range peers {
		silent[address] = true
	}
	living := 0
	for range 200 {
		now = now.Add(helloInterval)
		member.forgetPeers(now)
		hear()
	}
	for _, process := range member.Processes(now) {
		if fresh(&process) && process.Hello.Replica.Address != "p1" {
			living++
		}
	}
	if living < maxLearners {
		t.Errorf("%d living spares are known once all known ones fell silent", living)
	}
	if len(member.peers) != len(listed) {
		t.Errorf("%d of %d listed processes are remembered", len(member.peers), len(listed))
	}
}
