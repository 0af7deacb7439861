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

// newStoreWithFleet returns a store that knows the fleet and is a member of no group.
func newStoreWithFleet(t *testing.T, fleet *wire.FleetView) *Store {
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

// TestTopHubIsFoundByFleetView checks how a store that is a member of no group finds the top hub.
// Such a store once named no top hub, which sent its callers from store to store. The store must
// look for the hub at the leader of the hub group first, then at its members, then at all stores,
// and refer callers to the leader.
func TestTopHubIsFoundByFleetView(t *testing.T) {
	hubPlace := wire.GroupPlace{Leader: "c:1", Members: []string{"b:1", "c:1"}}
	stores := []wire.ProcessAddress{{Address: "a:1"}, {Address: "b:1"}, {Address: "c:1"}, {Address: "d:1"}}
	s := newStoreWithFleet(t, &wire.FleetView{Stores: stores, Groups: []wire.GroupPlace{hubPlace}})
	if hubs := s.topHubs(); !slices.Equal(hubs, []string{"c:1", "b:1", "a:1", "d:1"}) {
		t.Errorf("topHubs returned %v", hubs)
	}
	notLeader := failure.New(failure.NotRun, "ask the leader", "this replica does not lead")
	if referral := s.referral(notLeader); referral == nil || referral.Hub != "c:1" {
		t.Errorf("referred to %+v", referral)
	}
	if referral := s.referral(notLeader.WithField(consensus.LeaderFieldPrefix + "d:1")); referral == nil || referral.Hub != "d:1" {
		t.Errorf("referred to %+v, want the leader that the replica named", referral)
	}
	if referral := s.referral(notLeader.WithField(consensus.LeaderFieldPrefix + s.daemon.Address())); referral != nil {
		t.Errorf("referred to itself: %+v", referral)
	}
}

// TestEdgesAreAnsweredByAnyStore sends reports of two edges to a store that leads no group. The
// answer to each edge has the requests of the other edge, a quiet report gets no answer, and an
// edge that sent its last report no longer counts.
func TestEdgesAreAnsweredByAnyStore(t *testing.T) {
	s := newStoreWithFleet(t, &wire.FleetView{Stores: []wire.ProcessAddress{{Address: "a:1"}}})
	report := func(source uint32, online uint16, quiet, left bool) *wire.LoadReport {
		return s.answerEdge(start, &wire.LoadReport{Source: source, Quiet: quiet, Left: left, Workers: []wire.WorkerLoad{{Worker: 7, Online: online}}})
	}
	if answer := report(1, 3, true, false); answer != nil {
		t.Errorf("a quiet report got an answer: %+v", answer)
	}
	if answer := report(2, 1, false, false); len(answer.Workers) != 1 || answer.Workers[0].Online != 3 || answer.Part {
		t.Errorf("the second edge got %+v", answer)
	}
	if answer := report(1, 0, false, true); answer != nil {
		t.Errorf("the last report of an edge got an answer: %+v", answer)
	}
	if answer := report(2, 1, false, false); len(answer.Workers) != 0 {
		t.Errorf("got %+v after the other edge left", answer)
	}
}

// TestFirstGenerationGetsNoSample sends reports of edges of both generations to a hub in a
// large zone. An edge of the first generation assumes that a worker missing from the answer is
// idle, so it must never get a sample of the workers.
func TestFirstGenerationGetsNoSample(t *testing.T) {
	s := &Store{loads: newLoads(ratelimit.Tolerance{})}
	var rows []wire.PoolWorker
	for number := range 200 {
		rows = append(rows, wire.PoolWorker{ID: fmt.Sprint(number), Zone: "z"})
	}
	s.loads.setWorkers(workerset.Of(rows), "z")
	now := clock.Now()
	s.loads.zoneHub.ApplyReport(now, &wire.LoadReport{Source: 7, Workers: []wire.WorkerLoad{{Worker: loadshare.Hash("11"), Online: 3}}})
	first := s.answerEdge(now, &wire.LoadReport{Source: 8, Zone: "z", First: true})
	if first.Drawn || len(first.Workers) != 1 || first.Workers[0].Online != 3 {
		t.Errorf("an edge of the first generation got %+v", first)
	}
	if second := s.answerEdge(now, &wire.LoadReport{Source: 9, Zone: "z"}); !second.Drawn {
		t.Errorf("an edge of the second generation got %+v", second)
	}
}
