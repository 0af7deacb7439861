package batchstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/fleetwatch"
	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/ratelimit"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

var start = time.Unix(1000, 0)

// slots is how many requests the only worker of these tests runs at once.
const slots = 8

// testRunner returns a runner with one worker and one job with the given number of items.
func testRunner(t *testing.T, items int) *runner {
	t.Helper()
	s := &Store{
		logger:      logging.Discard(),
		headerNames: httpheader.Default(),
		loads:       newLoads(ratelimit.Tolerance{}),
		workers:     balance.NewTable("z", rand.New(rand.NewPCG(1, 1))),
		watcher:     fleetwatch.New(logging.Discard(), nil, []string{"127.0.0.1:1"}, nil),
	}
	s.workers.Update(clock.Now(), workerset.Of([]wire.PoolWorker{{ID: "w", Pool: "p", Zone: "z", Slots: slots}}), nil)
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

// table returns a configuration with the job's route, whose results are due after 20 s.
func table() *routetable.Table {
	return routetable.NewTable(&routetable.Configuration{Routes: []routetable.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: routetable.KindBatch, RunGoalMillis: 20000}}})
}

// runItem starts an item on the worker at the given time, without running it.
func (r *runner) runItem(t *testing.T, number int, began time.Time) *task {
	t.Helper()
	lease := r.store.workers.Acquire(began, &balance.Request{Pool: "p", Batch: true, BatchShare: 100})
	if lease == nil {
		t.Fatal("no worker")
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	running := &task{runner: r, key: itemKey{"j", number}, lease: lease, context: ctx, cancel: cancel, started: began, chain: uint64(number + 1), subject: &quarantine.Subject{Request: quarantine.Fingerprint(number + 1)}, content: &wire.ItemContent{}}
	r.running[running.key] = running
	return running
}

// applyOnlineLoad reports online requests of other processes at the worker, and applies the
// resulting orders, as if this process were the top hub.
func (r *runner) applyOnlineLoad(now time.Time, online int) {
	rows := []wire.WorkerLoad{{Worker: loadshare.Hash("w"), Online: uint16(online)}}
	r.store.workers.SetPeerLoads(now, rows, balance.ScopeAll)
	r.store.workers.SetOrders(r.store.planOrders(now, ownSource, 0, r.store.workers.Items()))
}

func stoppedCount(r *runner) (count int) {
	for _, running := range r.running {
		if running.context.Err() != nil {
			count++
		}
	}
	return count
}

// TestItemsArePreemptedAtOnce overloads a worker with online requests. All items that occupy the
// needed slots must stop at once, and no others. Items that have just begun must not stop.
func TestItemsArePreemptedAtOnce(t *testing.T) {
	r := testRunner(t, 4)
	for number := range 4 {
		r.runItem(t, number, start)
	}
	r.waitingItems(start, table())
	now := start.Add(minRunTime / 2)
	r.applyOnlineLoad(now, slots-1)
	r.preempt(now, table())
	if got := stoppedCount(r); got != 0 {
		t.Fatalf("%d items were preempted that had just begun", got)
	}
	now = start.Add(minRunTime)
	for range 3 {
		r.applyOnlineLoad(now, slots-1)
		r.preempt(now, table())
		if got := stoppedCount(r); got != 3 {
			t.Fatalf("%d items were preempted, want 3", got)
		}
		now = now.Add(leaderPollInterval)
	}
	r.applyOnlineLoad(now, 2)
	r.preempt(now, table())
	if got := stoppedCount(r); got != 3 {
		t.Errorf("%d items were preempted, want 3: the last one though slots were free", got)
	}
}

// TestUrgentItemsArePreempted checks that an urgent item stops for online requests like any other
// item. An item is urgent if it can finish in time only without being stopped.
func TestUrgentItemsArePreempted(t *testing.T) {
	r := testRunner(t, 2)
	urgent := r.runItem(t, 0, start)
	r.runItem(t, 1, start)
	r.waitingItems(start, table())
	now := start.Add(17 * time.Second)
	r.applyOnlineLoad(now, slots-1)
	r.preempt(now, table())
	if stoppedCount(r) != 1 {
		t.Fatalf("%d items were preempted, want 1", stoppedCount(r))
	}
	r.applyOnlineLoad(now, slots)
	r.preempt(now, table())
	if urgent.context.Err() == nil {
		t.Error("an urgent item was not preempted for online requests")
	}
}

// TestDroppedRecordsCancelTheirRun checks that a record that the log did not accept cancels the run
// that it came from, and no other.
func TestDroppedRecordsCancelTheirRun(t *testing.T) {
	r := testRunner(t, 2)
	first, second := r.runItem(t, 0, start), r.runItem(t, 1, start)
	r.handleRecorded(recordOutcome{key: first.key, chain: first.chain + 7, failed: true})
	if first.context.Err() != nil {
		t.Fatal("the record of an earlier chain canceled the run")
	}
	r.handleRecorded(recordOutcome{key: first.key, chain: first.chain, failed: true})
	if first.context.Err() == nil || !first.unusable || second.context.Err() != nil {
		t.Error("the wrong run was canceled")
	}
	saved := itemKey{"j", 1}
	r.savedProgress[saved] = progress{chain: 3, events: 5}
	r.handleRecorded(recordOutcome{key: saved, chain: 4, failed: true})
	if r.savedProgress[saved].events != 5 {
		t.Error("the saved progress of another chain was dropped")
	}
	r.handleRecorded(recordOutcome{key: saved, chain: 3, failed: true})
	if _, kept := r.savedProgress[saved]; kept {
		t.Error("saved progress that does not continue from the log was kept")
	}
}

// TestPendingResultsAreNotRunAgain checks that an item whose result is being written does not
// run again, and is planned anew if the log did not accept the result.
func TestPendingResultsAreNotRunAgain(t *testing.T) {
	r := testRunner(t, 1)
	key := itemKey{"j", 0}
	r.pending[key] = true
	if items := r.waitingItems(start, table()); len(items) != 0 {
		t.Errorf("%+v would run again while the result is pending", items)
	}
	r.handleRecorded(recordOutcome{key: key, final: true, failed: true})
	if items := r.waitingItems(start, table()); len(items) != 1 {
		t.Errorf("%d items wait, want 1", len(items))
	}
}

// TestNewLeaderWaitsForLoads checks that a leader starts no items before load reports can have
// arrived, and does not wait for ever.
func TestNewLeaderWaitsForLoads(t *testing.T) {
	r := testRunner(t, 1)
	r.setLeading(start, 1)
	for age, want := range map[time.Duration]bool{0: false, minLoadsWait: false, minLoadsWait + 1: true} {
		if got := r.loadsKnown(start.Add(age)); got != want {
			t.Errorf("after %s: loads known %t", age, got)
		}
	}
	r.store.loads.reporters.Store(-1)
	if r.loadsKnown(start.Add(minLoadsWait + 1)) {
		t.Error("the leader starts items before any edge has reported")
	}
	if !r.loadsKnown(start.Add(maxLoadsWait + 1)) {
		t.Error("the leader still waits for edges after maxLoadsWait")
	}
}
