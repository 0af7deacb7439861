package batchstore

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/daemon"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/fleetwatch"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/ratelimit"
	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/rpc/rpctest"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

// storeIn returns a store that knows the fleet and is a member of no group.
func storeIn(t *testing.T, fleet *wire.FleetView) *Store {
	t.Helper()
	mux := rpctest.NewMux()
	rpc.Handle(mux, wire.MethodWatch, func(ctx context.Context, request *wire.WatchRequest) (msgp.Marshaler, error) {
		response := &wire.WatchResponse{Term: 1, View: 1}
		if request.View == 1 {
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(request.WaitMillis) * time.Millisecond):
			}
			return response, nil
		}
		response.Fleet = fleet
		return response, nil
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	d, err := daemon.New(daemon.Options{Role: "store", Name: "own", Listen: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Kill() })
	report := func() wire.ProcessReport { return wire.ProcessReport{Kind: wire.ProcessStore, Name: "own"} }
	s := &Store{daemon: d, logger: logging.Discard(), loads: newLoads(ratelimit.Tolerance{}), watcher: fleetwatch.New(logging.Discard(), nil, []string{server.Listener.Addr().String()}, report)}
	known := make(chan struct{})
	s.watcher.OnChange(func(*fleetwatch.Snapshot) { close(known) })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.watcher.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-ended })
	<-known
	return s
}

// TestTheTopHubIsFoundByTheView lets a store that is a member of no group look for the
// top hub: the leader of the hub group comes first, then its members, then all; who asks
// this store is referred to that leader. Before, it named nobody, and who asked went
// from store to store.
func TestTheTopHubIsFoundByTheView(t *testing.T) {
	place := wire.GroupPlace{Leader: "c:1", Members: []string{"b:1", "c:1"}}
	stores := []wire.ProcessAddress{{Address: "a:1"}, {Address: "b:1"}, {Address: "c:1"}, {Address: "d:1"}}
	s := storeIn(t, &wire.FleetView{Stores: stores, Groups: []wire.GroupPlace{place}})
	if hubs := s.topHubs(); !slices.Equal(hubs, []string{"c:1", "b:1", "a:1", "d:1"}) {
		t.Errorf("the hub is looked for at %v", hubs)
	}
	ignorant := failure.New(failure.NotRun, "ask the leader", "this replica does not lead")
	if named := s.referral(ignorant); named == nil || named.Hub != "c:1" {
		t.Errorf("referred to %+v", named)
	}
	if named := s.referral(ignorant.WithField(consensus.LeaderFieldPrefix + "d:1")); named == nil || named.Hub != "d:1" {
		t.Errorf("referred to %+v, though the replica knows better", named)
	}
	if named := s.referral(ignorant.WithField(consensus.LeaderFieldPrefix + s.daemon.Address())); named != nil {
		t.Errorf("referred to itself: %+v", named)
	}
}

// TestEdgesAreAnsweredByAnyStore lets a store that leads nothing take in the reports of
// two edges: each is told of the other's requests, a quiet report is not answered, and
// who leaves counts no more.
func TestEdgesAreAnsweredByAnyStore(t *testing.T) {
	s := storeIn(t, &wire.FleetView{Stores: []wire.ProcessAddress{{Address: "a:1"}}})
	tell := func(source uint32, online uint16, quiet, left bool) *wire.LoadReport {
		return s.answerZone(start, &wire.LoadReport{Source: source, Quiet: quiet, Left: left, Workers: []wire.WorkerLoad{{Worker: 7, Online: online}}})
	}
	if answer := tell(1, 3, true, false); answer != nil {
		t.Errorf("a quiet report is answered: %+v", answer)
	}
	if answer := tell(2, 1, false, false); len(answer.Workers) != 1 || answer.Workers[0].Online != 3 || answer.Part {
		t.Errorf("told %+v", answer)
	}
	if answer := tell(1, 0, false, true); answer != nil {
		t.Errorf("a farewell is answered: %+v", answer)
	}
	if answer := tell(2, 1, false, false); len(answer.Workers) != 0 {
		t.Errorf("told %+v after the other left", answer)
	}
}

// TestFirstGenerationIsToldOfTheZone lets edges of both generations report to a hub in a
// large zone. One of the first generation takes a worker that is not named for idle, so it
// is never told of some that were drawn.
func TestFirstGenerationIsToldOfTheZone(t *testing.T) {
	s := &Store{loads: newLoads(ratelimit.Tolerance{})}
	var rows []wire.PoolWorker
	for number := range 200 {
		rows = append(rows, wire.PoolWorker{ID: fmt.Sprint(number), Zone: "z"})
	}
	s.loads.setWorkers(workerset.Of(rows), "z")
	now := clock.Now()
	s.loads.zone.ApplyReport(now, &wire.LoadReport{Source: 7, Workers: []wire.WorkerLoad{{Worker: loadshare.Hash("11"), Online: 3}}})
	first := s.answerZone(now, &wire.LoadReport{Source: 8, Zone: "z", First: true})
	if first.Drawn || len(first.Workers) != 1 || first.Workers[0].Online != 3 {
		t.Errorf("an edge of the first generation is told %+v", first)
	}
	if second := s.answerZone(now, &wire.LoadReport{Source: 9, Zone: "z"}); !second.Drawn {
		t.Errorf("another one is told %+v", second)
	}
}
