package batchstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/fleetwatch"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/ratelimit"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

var start = time.Unix(1000, 0)

// slots is how many requests the only worker of these tests runs at once.
const slots = 8

// testRunner returns a runner before one worker, with one job of so many items.
func testRunner(t *testing.T, items int) *runner {
	t.Helper()
	s := &Store{
		logger:  logging.Discard(),
		loads:   newLoads(ratelimit.Tolerance{}),
		workers: balance.NewTable("z", rand.New(rand.NewPCG(1, 1))),
		watcher: fleetwatch.New(logging.Discard(), nil, []string{"127.0.0.1:1"}, nil),
	}
	s.workers.Update(workerset.Of([]wire.PoolWorker{{ID: "w", Pool: "p", Zone: "z", Slots: slots}}), nil)
	submit := &wire.SubmitBatch{ID: "j", Route: "r", Host: "h"}
	for i := range items {
		submit.Items = append(submit.Items, wire.BatchItem{ID: fmt.Sprint(i), Path: "/"})
	}
	encoded, err := (&wire.BatchCommand{Submit: submit}).MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	g := newGroup(s, 0)
	g.machine.Apply(encoded)
	return g.runner
}

// table has the job's route, whose results are due after 20 s.
func table() *routetable.Table {
	return routetable.NewTable(&routetable.Configuration{Routes: []routetable.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: routetable.KindBatch, RunGoalMillis: 20000}}})
}

// runItem puts an item on the worker, as if it had begun then.
func (r *runner) runItem(t *testing.T, number int, began time.Time) *task {
	t.Helper()
	lease := r.store.workers.Acquire(began, &balance.Request{Pool: "p", Batch: true, BatchShare: 100})
	if lease == nil {
		t.Fatal("no worker")
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	running := &task{runner: r, key: itemKey{"j", number}, lease: lease, context: ctx, cancel: cancel, started: began, chain: uint64(number + 1)}
	r.running[running.key] = running
	return running
}

// crowd tells that others have so many requests at the worker, as the hub would that
// this process is.
func (r *runner) crowd(now time.Time, online int) {
	rows := []wire.WorkerLoad{{Worker: loadshare.Hash("w"), Online: uint16(online)}}
	r.store.workers.SetPeerLoads(now, rows, balance.ScopeAll)
	r.store.workers.SetOrders(r.store.order(now, ownSource, 0, r.store.workers.Items()))
}

func stopped(r *runner) (count int) {
	for _, running := range r.running {
		if running.context.Err() != nil {
			count++
		}
	}
	return count
}

// TestItemsGiveWayAtOnce crowds a worker with online requests: all items that stand
// in the way stop in one go, no more than these, and none that has hardly begun.
func TestItemsGiveWayAtOnce(t *testing.T) {
	r := testRunner(t, 4)
	for number := range 4 {
		r.runItem(t, number, start)
	}
	r.order(start, table())
	now := start.Add(leastRun / 2)
	r.crowd(now, slots-1)
	r.yield(now, table())
	if got := stopped(r); got != 0 {
		t.Fatalf("%d items gave way that had hardly begun", got)
	}
	now = start.Add(leastRun)
	for range 3 {
		r.crowd(now, slots-1)
		r.yield(now, table())
		if got := stopped(r); got != 3 {
			t.Fatalf("%d items gave way, want 3", got)
		}
		now = now.Add(runInterval)
	}
	r.crowd(now, 2)
	r.yield(now, table())
	if got := stopped(r); got != 3 {
		t.Errorf("%d items gave way, the last though there was room", got)
	}
}

// TestUrgencyDoesNotHoldOnlineUp checks that an item that is in time only if it goes
// on stops for online requests like any other.
func TestUrgencyDoesNotHoldOnlineUp(t *testing.T) {
	r := testRunner(t, 2)
	urgent := r.runItem(t, 0, start)
	r.runItem(t, 1, start)
	r.order(start, table())
	now := start.Add(17 * time.Second)
	r.crowd(now, slots-1)
	r.yield(now, table())
	if stopped(r) != 1 {
		t.Fatalf("%d items gave way, want 1", stopped(r))
	}
	r.crowd(now, slots)
	r.yield(now, table())
	if urgent.context.Err() == nil {
		t.Error("an urgent item stands in the way of online requests")
	}
}

// TestDroppedNewsEndTheirChain checks that news that the log did not take end the
// run that they came from, and no other.
func TestDroppedNewsEndTheirChain(t *testing.T) {
	r := testRunner(t, 2)
	first, second := r.runItem(t, 0, start), r.runItem(t, 1, start)
	r.takeRecorded(recordEnd{key: first.key, chain: first.chain + 7, failed: true})
	if first.context.Err() != nil {
		t.Fatal("news of an earlier chain ended the run")
	}
	r.takeRecorded(recordEnd{key: first.key, chain: first.chain, failed: true})
	if first.context.Err() == nil || !first.unusable || second.context.Err() != nil {
		t.Error("the wrong run was ended")
	}
	carried := itemKey{"j", 1}
	r.carried[carried] = carry{chain: 3, events: 5}
	r.takeRecorded(recordEnd{key: carried, chain: 4, failed: true})
	if r.carried[carried].events != 5 {
		t.Error("what another chain had was forgotten")
	}
	r.takeRecorded(recordEnd{key: carried, chain: 3, failed: true})
	if _, kept := r.carried[carried]; kept {
		t.Error("what does not follow on the log is kept")
	}
}

// TestResultsOnTheirWayAreNotRunAgain checks that an item whose result is being
// written rests, and is looked at anew if the log did not take it.
func TestResultsOnTheirWayAreNotRunAgain(t *testing.T) {
	r := testRunner(t, 1)
	key := itemKey{"j", 0}
	r.pending[key] = true
	if items := r.order(start, table()); len(items) != 0 {
		t.Errorf("%+v would run again", items)
	}
	r.takeRecorded(recordEnd{key: key, final: true, failed: true})
	if items := r.order(start, table()); len(items) != 1 {
		t.Errorf("%d items wait", len(items))
	}
}

// TestNewLeaderListensFirst checks that a leader starts no items before it can
// have heard of the loads, and does not wait for ever.
func TestNewLeaderListensFirst(t *testing.T) {
	r := testRunner(t, 1)
	r.lead(start, 1)
	for age, want := range map[time.Duration]bool{0: false, loadsTime: false, loadsTime + 1: true} {
		if got := r.knowsLoads(start.Add(age)); got != want {
			t.Errorf("after %s: %t", age, got)
		}
	}
	r.store.loads.reporting.Store(-1)
	if r.knowsLoads(start.Add(loadsTime + 1)) {
		t.Error("it starts before any edge is heard")
	}
	if !r.knowsLoads(start.Add(loadsPatience + 1)) {
		t.Error("it waits for edges for ever")
	}
}
