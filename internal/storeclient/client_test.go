package storeclient

import (
	"context"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/rpc/rpctest"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// store is a stand-in that answers the ends of jobs.
type store struct {
	address string
	asked   atomic.Int64
}

func startStore(t *testing.T, answer func(*store) (msgp.Marshaler, error)) *store {
	t.Helper()
	s := &store{}
	mux := rpctest.NewMux()
	rpc.Handle(mux, MethodEnd, func(context.Context, *wire.BatchName) (msgp.Marshaler, error) {
		s.asked.Add(1)
		return answer(s)
	})
	rpc.Handle(mux, MethodBody, func(context.Context, *wire.ItemBodyRequest) (msgp.Marshaler, error) {
		s.asked.Add(1)
		return answer(s)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	s.address = server.Listener.Addr().String()
	return s
}

// at lists stores at the addresses, all in the zone.
func at(zone string, addresses ...string) func() []wire.ProcessAddress {
	var stores []wire.ProcessAddress
	for _, address := range addresses {
		stores = append(stores, wire.ProcessAddress{Address: address, Zone: zone})
	}
	return func() []wire.ProcessAddress { return stores }
}

// groups is how many store groups the tests' fleets have.
const groups = 3

// fleet is a view of the stores alone.
func fleet(stores ...wire.ProcessAddress) func() *wire.FleetView {
	view := &wire.FleetView{Stores: stores, Initial: make([][]wire.Replica, groups)}
	return func() *wire.FleetView { return view }
}

func notLeader(leader string) error {
	return failure.New(failure.NotRun, "ask the leader", "it does not lead").WithField(consensus.LeaderFieldPrefix + leader)
}

func TestClientFollowsToTheLeaderAndStays(t *testing.T) {
	leader := startStore(t, func(*store) (msgp.Marshaler, error) { return &wire.BatchResult{}, nil })
	follower := startStore(t, func(*store) (msgp.Marshaler, error) { return nil, notLeader(leader.address) })
	client := New(nil, "z", fleet(at("y", follower.address)()...))
	for i := 0; i < 3; i++ {
		if _, err := client.End(context.Background(), "j"); err != nil {
			t.Fatal(err)
		}
	}
	if leader.asked.Load() != 3 || follower.asked.Load() != 1 {
		t.Errorf("leader asked %d times, follower %d", leader.asked.Load(), follower.asked.Load())
	}
}

// TestOutcomes checks what a caller is told when its time is over: not run only
// if no try can have been carried out.
func TestOutcomes(t *testing.T) {
	refusing := startStore(t, func(*store) (msgp.Marshaler, error) {
		return nil, failure.New(failure.NotRun, "try again", "there is no leader")
	})
	unsure := startStore(t, func(s *store) (msgp.Marshaler, error) {
		if s.asked.Load() == 1 {
			return nil, failure.New(failure.OutcomeUnknown, "send it again", "leadership changed")
		}
		return nil, failure.New(failure.NotRun, "try again", "there is no leader")
	})
	definite := startStore(t, func(*store) (msgp.Marshaler, error) {
		return nil, failure.New(failure.NotFound, "check the id", "there is no such job")
	})
	for _, test := range []struct {
		name   string
		stores []string
		want   failure.Kind
	}{
		{"no store known", nil, failure.NotRun},
		{"a store that can't be reached", []string{"127.0.0.1:1"}, failure.NotRun},
		{"refused each time", []string{refusing.address}, failure.NotRun},
		{"unsure once", []string{unsure.address}, failure.OutcomeUnknown},
		{"an answer of its own", []string{definite.address}, failure.NotFound},
	} {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		_, err := New(nil, "z", fleet(at("y", test.stores...)()...)).End(ctx, "j")
		cancel()
		if failure.KindOf(err) != test.want {
			t.Errorf("%s: %v", test.name, err)
		}
	}
}

// TestReadsStayNearby checks that reads go to a store of the client's own zone,
// that a definite answer of it counts, and that the leader is asked instead for a
// while once it gives none.
func TestReadsStayNearby(t *testing.T) {
	answer := func(*store) (msgp.Marshaler, error) { return &wire.ItemBody{Body: []byte("b")}, nil }
	leader := startStore(t, answer)
	for name, test := range map[string]struct {
		nearby              func(*store) (msgp.Marshaler, error)
		fails               bool
		askedNear, askedFar int64
	}{
		"it answers":       {answer, false, 3, 0},
		"it knows no such": {func(*store) (msgp.Marshaler, error) { return nil, failure.New(failure.NotFound, "check the id", "no") }, true, 3, 0},
		"it can't be sure": {func(*store) (msgp.Marshaler, error) { return nil, failure.New(failure.NotRun, "ask another", "behind") }, false, 1, 3},
	} {
		t.Run(name, func(t *testing.T) {
			nearby := startStore(t, test.nearby)
			before := leader.asked.Load()
			stores := append(at("z", nearby.address)(), at("y", leader.address)()...)
			client := New(nil, "z", fleet(stores...))
			client.groups[client.groupOf("j")].leader = leader.address
			for i := 0; i < 3; i++ {
				_, err := client.Body(context.Background(), &wire.ItemBodyRequest{Job: "j", Item: "i"})
				if failure.Is(err, failure.NotFound) != test.fails || err != nil && !test.fails {
					t.Fatal(err)
				}
			}
			if far := leader.asked.Load() - before; nearby.asked.Load() != test.askedNear || far != test.askedFar {
				t.Errorf("the store nearby was asked %d times, the leader %d", nearby.asked.Load(), far)
			}
		})
	}
}

// TestNearPick checks that the choice stays while the store is listed, and comes
// back to it once it has been passed over for a while.
func TestNearPick(t *testing.T) {
	n := near{zone: "z", shunned: map[string]time.Time{}}
	stores := append(at("y", "far")(), at("z", "a", "b")()...)
	start := time.Unix(1000, 0)
	first := n.pick(start, stores)
	for i := 0; i < 10; i++ {
		if again := n.pick(start, stores); again != first || again == "far" || again == "" {
			t.Fatalf("%q after %q", again, first)
		}
	}
	n.shun(start, first)
	second := n.pick(start, stores)
	n.shun(start, second)
	if second == first || second == "" || n.pick(start, stores) != "" {
		t.Errorf("%q and %q were passed over", first, second)
	}
	if n.pick(start.Add(shunTime), stores) == "" {
		t.Error("stores are passed over for ever")
	}
}

// grouped is a view in which all groups have one place.
func grouped(place wire.GroupPlace, stores ...wire.ProcessAddress) func() *wire.FleetView {
	view := fleet(stores...)()
	for range groups {
		view.Groups = append(view.Groups, place)
	}
	return func() *wire.FleetView { return view }
}

// TestTheLeaderOfTheViewIsAskedFirst puts two members among many stores that know
// nothing: the leader that the view names is asked at once, and where it has changed
// the next one is found among the members. Before, all stores were asked in turn.
func TestTheLeaderOfTheViewIsAskedFirst(t *testing.T) {
	leads := func(*store) (msgp.Marshaler, error) { return &wire.BatchResult{}, nil }
	ignorant := startStore(t, func(*store) (msgp.Marshaler, error) {
		return nil, failure.New(failure.NotRun, "ask the leader", "it does not lead")
	})
	for name, test := range map[string]struct {
		stale bool
		asked int64
	}{
		"it leads":          {false, 0},
		"another leads now": {true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			leader := startStore(t, leads)
			other := startStore(t, func(*store) (msgp.Marshaler, error) {
				return nil, failure.New(failure.NotRun, "ask the leader", "it does not lead")
			})
			place := wire.GroupPlace{Leader: leader.address, Members: []string{leader.address}}
			if test.stale {
				place.Leader = other.address
			}
			stores := at("y", ignorant.address, ignorant.address, ignorant.address, leader.address, other.address)()
			if _, err := New(nil, "z", grouped(place, stores...)).End(context.Background(), "j"); err != nil {
				t.Fatal(err)
			}
			if leader.asked.Load() != 1 || other.asked.Load() != test.asked || ignorant.asked.Load() != 0 {
				t.Errorf("the leader was asked %d times, the one before %d, others %d", leader.asked.Load(), other.asked.Load(), ignorant.asked.Load())
			}
		})
	}
}

// TestReadsGoToHolders checks that a store of the zone that holds nothing of the group
// is not asked.
func TestReadsGoToHolders(t *testing.T) {
	answer := func(*store) (msgp.Marshaler, error) { return &wire.ItemBody{Body: []byte("b")}, nil }
	nearby, holder := startStore(t, answer), startStore(t, answer)
	stores := append(at("z", nearby.address)(), at("y", holder.address)()...)
	client := New(nil, "z", grouped(wire.GroupPlace{Leader: holder.address, Members: []string{holder.address}}, stores...))
	if _, err := client.Body(context.Background(), &wire.ItemBodyRequest{Job: "j", Item: "i"}); err != nil {
		t.Fatal(err)
	}
	if nearby.asked.Load() != 0 || holder.asked.Load() != 1 {
		t.Errorf("the store that holds nothing was asked %d times, the other %d", nearby.asked.Load(), holder.asked.Load())
	}
}
