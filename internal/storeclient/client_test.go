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

// store is a fake store that serves ends of jobs and reads of item bodies.
type store struct {
	address string
	calls   atomic.Int64
}

func startStore(t *testing.T, answer func(*store) (msgp.Marshaler, error)) *store {
	t.Helper()
	s := &store{}
	mux := rpctest.NewMux()
	rpc.Handle(mux, MethodEnd, func(context.Context, *wire.BatchName) (msgp.Marshaler, error) {
		s.calls.Add(1)
		return answer(s)
	})
	rpc.Handle(mux, MethodBody, func(context.Context, *wire.ItemBodyRequest) (msgp.Marshaler, error) {
		s.calls.Add(1)
		return answer(s)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	s.address = server.Listener.Addr().String()
	return s
}

// storesAt returns a function that lists stores at the addresses, all in the zone.
func storesAt(zone string, addresses ...string) func() []wire.ProcessAddress {
	var stores []wire.ProcessAddress
	for _, address := range addresses {
		stores = append(stores, wire.ProcessAddress{Address: address, Zone: zone})
	}
	return func() []wire.ProcessAddress { return stores }
}

// groupCount is the number of store groups in the tests' fleets.
const groupCount = 3

// fleet returns a view of the fleet that holds only stores.
func fleet(stores ...wire.ProcessAddress) func() *wire.FleetView {
	view := &wire.FleetView{Stores: stores, Initial: make([][]wire.Replica, groupCount)}
	return func() *wire.FleetView { return view }
}

func notLeader(leader string) error {
	return failure.New(failure.NotRun, "ask the leader", "it does not lead").WithField(consensus.LeaderFieldPrefix + leader)
}

func TestClientFollowsLeaderRedirect(t *testing.T) {
	leader := startStore(t, func(*store) (msgp.Marshaler, error) { return &wire.BatchResult{}, nil })
	follower := startStore(t, func(*store) (msgp.Marshaler, error) { return nil, notLeader(leader.address) })
	client := New(nil, "z", fleet(storesAt("y", follower.address)()...))
	for i := 0; i < 3; i++ {
		if _, err := client.EndJob(context.Background(), "j"); err != nil {
			t.Fatal(err)
		}
	}
	if leader.calls.Load() != 3 || follower.calls.Load() != 1 {
		t.Errorf("%d calls to the leader, %d to the follower", leader.calls.Load(), follower.calls.Load())
	}
}

// TestOutcomes checks the kind of the failure when the context ends: NotRun only if no attempt can
// have been executed.
func TestOutcomes(t *testing.T) {
	leaderless := startStore(t, func(*store) (msgp.Marshaler, error) {
		return nil, failure.New(failure.NotRun, "try again", "there is no leader")
	})
	leadershipLost := startStore(t, func(s *store) (msgp.Marshaler, error) {
		if s.calls.Load() == 1 {
			return nil, failure.New(failure.OutcomeUnknown, "send it again", "leadership changed")
		}
		return nil, failure.New(failure.NotRun, "try again", "there is no leader")
	})
	notFound := startStore(t, func(*store) (msgp.Marshaler, error) {
		return nil, failure.New(failure.NotFound, "check the id", "there is no such job")
	})
	for _, test := range []struct {
		name   string
		stores []string
		want   failure.Kind
	}{
		{"no store known", nil, failure.NotRun},
		{"a store that can't be reached", []string{"127.0.0.1:1"}, failure.NotRun},
		{"rejected each time", []string{leaderless.address}, failure.NotRun},
		{"leadership lost once", []string{leadershipLost.address}, failure.OutcomeUnknown},
		{"definite failure", []string{notFound.address}, failure.NotFound},
	} {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		_, err := New(nil, "z", fleet(storesAt("y", test.stores...)()...)).EndJob(ctx, "j")
		cancel()
		if failure.KindOf(err) != test.want {
			t.Errorf("%s: %v", test.name, err)
		}
	}
}

// TestReadsPreferOwnZone checks that reads go to a store in the client's own zone and that a
// definite failure from it is returned. If that store can't serve a read, the leader must be called
// instead for a while.
func TestReadsPreferOwnZone(t *testing.T) {
	answer := func(*store) (msgp.Marshaler, error) { return &wire.ItemBody{Body: []byte("b")}, nil }
	leader := startStore(t, answer)
	for name, test := range map[string]struct {
		nearby                   func(*store) (msgp.Marshaler, error)
		fails                    bool
		nearbyCalls, leaderCalls int64
	}{
		"it answers":       {answer, false, 3, 0},
		"it knows no such": {func(*store) (msgp.Marshaler, error) { return nil, failure.New(failure.NotFound, "check the id", "no") }, true, 3, 0},
		"it can't be sure": {func(*store) (msgp.Marshaler, error) { return nil, failure.New(failure.NotRun, "ask another", "behind") }, false, 1, 3},
	} {
		t.Run(name, func(t *testing.T) {
			nearby := startStore(t, test.nearby)
			before := leader.calls.Load()
			stores := append(storesAt("z", nearby.address)(), storesAt("y", leader.address)()...)
			client := New(nil, "z", fleet(stores...))
			client.groups[client.groupOf("j")].leader = leader.address
			for i := 0; i < 3; i++ {
				_, err := client.Body(context.Background(), &wire.ItemBodyRequest{Job: "j", Item: "i"})
				if failure.Is(err, failure.NotFound) != test.fails || err != nil && !test.fails {
					t.Fatal(err)
				}
			}
			if leaderCalls := leader.calls.Load() - before; nearby.calls.Load() != test.nearbyCalls || leaderCalls != test.leaderCalls {
				t.Errorf("%d calls to the nearby store, %d to the leader", nearby.calls.Load(), leaderCalls)
			}
		})
	}
}

// TestNearbyStorePick checks that pick returns the same store while it is listed, and that avoided
// stores are returned again after avoidDuration.
func TestNearbyStorePick(t *testing.T) {
	n := nearbyStore{zone: "z", avoidedUntil: map[string]time.Time{}}
	stores := append(storesAt("y", "far")(), storesAt("z", "a", "b")()...)
	start := time.Unix(1000, 0)
	first := n.pick(start, stores)
	for i := 0; i < 10; i++ {
		if again := n.pick(start, stores); again != first || again == "far" || again == "" {
			t.Fatalf("%q after %q", again, first)
		}
	}
	n.avoid(start, first)
	second := n.pick(start, stores)
	n.avoid(start, second)
	if second == first || second == "" || n.pick(start, stores) != "" {
		t.Errorf("picked %q, then %q; want two different stores, then none", first, second)
	}
	if n.pick(start.Add(avoidDuration), stores) == "" {
		t.Error("no store is picked after avoidDuration")
	}
}

// fleetWithGroups returns a view of the fleet in which all groups have the same placement.
func fleetWithGroups(place wire.GroupPlace, stores ...wire.ProcessAddress) func() *wire.FleetView {
	view := fleet(stores...)()
	for range groupCount {
		view.Groups = append(view.Groups, place)
	}
	return func() *wire.FleetView { return view }
}

// TestLeaderInViewIsCalledFirst calls a group in a fleet with many stores that are not members
// of it. The leader in the view must be called first. If it no longer leads, the new leader must be
// found among the members, without calls to the other stores.
func TestLeaderInViewIsCalledFirst(t *testing.T) {
	accept := func(*store) (msgp.Marshaler, error) { return &wire.BatchResult{}, nil }
	nonMember := startStore(t, func(*store) (msgp.Marshaler, error) {
		return nil, failure.New(failure.NotRun, "ask the leader", "it does not lead")
	})
	for name, test := range map[string]struct {
		stale      bool
		otherCalls int64
	}{
		"it leads":          {false, 0},
		"another leads now": {true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			leader := startStore(t, accept)
			other := startStore(t, func(*store) (msgp.Marshaler, error) {
				return nil, failure.New(failure.NotRun, "ask the leader", "it does not lead")
			})
			place := wire.GroupPlace{Leader: leader.address, Members: []string{leader.address}}
			if test.stale {
				place.Leader = other.address
			}
			stores := storesAt("y", nonMember.address, nonMember.address, nonMember.address, leader.address, other.address)()
			if _, err := New(nil, "z", fleetWithGroups(place, stores...)).EndJob(context.Background(), "j"); err != nil {
				t.Fatal(err)
			}
			if leader.calls.Load() != 1 || other.calls.Load() != test.otherCalls || nonMember.calls.Load() != 0 {
				t.Errorf("%d calls to the leader, %d to the previous leader, %d to other stores", leader.calls.Load(), other.calls.Load(), nonMember.calls.Load())
			}
		})
	}
}

// TestReadsGoToHolders checks that a store of the zone is not called if it holds no data of the
// group.
func TestReadsGoToHolders(t *testing.T) {
	answer := func(*store) (msgp.Marshaler, error) { return &wire.ItemBody{Body: []byte("b")}, nil }
	nearby, holder := startStore(t, answer), startStore(t, answer)
	stores := append(storesAt("z", nearby.address)(), storesAt("y", holder.address)()...)
	client := New(nil, "z", fleetWithGroups(wire.GroupPlace{Leader: holder.address, Members: []string{holder.address}}, stores...))
	if _, err := client.Body(context.Background(), &wire.ItemBodyRequest{Job: "j", Item: "i"}); err != nil {
		t.Fatal(err)
	}
	if nearby.calls.Load() != 0 || holder.calls.Load() != 1 {
		t.Errorf("%d calls to the store without data, %d to the replica", nearby.calls.Load(), holder.calls.Load())
	}
}

// TestRejectionAfterUnknownAttemptIsNoPromise guards against answering a job with 429 or 503 while an
// earlier attempt to submit it may still reach the log, after which its items run.
func TestRejectionAfterUnknownAttemptIsNoPromise(t *testing.T) {
	for _, kind := range []failure.Kind{failure.OverLimit, failure.NotRun} {
		for _, unknownFirst := range []bool{false, true} {
			rejecting := startStore(t, func(s *store) (msgp.Marshaler, error) {
				if unknownFirst && s.calls.Load() == 1 {
					return nil, failure.New(failure.OutcomeUnknown, "send it again", "leadership changed")
				}
				return nil, failure.New(kind, "try again", "rejected")
			})
			client := New(nil, "z", fleet(storesAt("z", rejecting.address)()...))
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			_, err := client.EndJob(ctx, "j")
			cancel()
			want := kind
			if unknownFirst {
				want = failure.OutcomeUnknown
			}
			if got := failure.KindOf(err); got != want {
				t.Errorf("%s, after an unknown attempt %t: %s, %v", kind, unknownFirst, got, err)
			}
		}
	}
}
