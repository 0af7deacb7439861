package balance

import (
	"testing"

	"github.com/sedgemast/sedgemast/internal/capacity"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// TestOrphansTakeSlots checks that neither requests nor items go to a worker whose slots are held
// by orphaned requests, and that a small number of orphans is tolerated.
func TestOrphansTakeSlots(t *testing.T) {
	table := tableOf(poolWorker("a", "z1"), poolWorker("b", "z2"))
	onlyA := &Request{Pool: "p", Batch: true, Exclude: map[string]bool{"b": true}}
	table.SetPeerLoads(start, []wire.WorkerLoad{{Worker: loadshare.Hash("a"), Orphans: 1, Start: 1}}, ScopeAll)
	lease := table.Acquire(start, onlyA)
	if lease == nil {
		t.Fatal("one orphan, within the tolerance, kept an item from its worker")
	}
	lease.Release()
	table.SetPeerLoads(start, []wire.WorkerLoad{{Worker: loadshare.Hash("a"), Orphans: 4, Start: 1}}, ScopeAll)
	if table.Acquire(start, onlyA) != nil {
		t.Error("an item went to a worker whose slots are held by orphans")
	}
	if lease := table.Acquire(start, &Request{Pool: "p"}); lease.Endpoint.ID != "b" {
		t.Error("a request went to a worker whose slots are held by orphans")
	}
}

// TestFailingWorkersAreAvoided checks that no request goes to a worker that the hub marks as
// failing while others are available, unless most of the pool is failing. It also checks that a
// failure observed by this process counts at once.
func TestFailingWorkersAreAvoided(t *testing.T) {
	table := tableOf(poolWorker("a", "z1"), poolWorker("b", "z2"), poolWorker("c", "z2"))
	setFailing := func(failing ...string) {
		var loads []wire.WorkerLoad
		for _, id := range failing {
			loads = append(loads, wire.WorkerLoad{Worker: loadshare.Hash(id), Failing: true})
		}
		table.SetPeerLoads(start, loads, ScopeAll)
	}
	acquire := func() string {
		lease := table.Acquire(start, &Request{Pool: "p"})
		defer lease.Release()
		return lease.Endpoint.ID
	}
	setFailing()
	if acquire() != "a" {
		t.Fatal("the worker of this zone was not chosen")
	}
	setFailing("a")
	if acquire() == "a" {
		t.Error("a failing worker got a request")
	}
	setFailing("a", "b")
	if acquire() != "a" {
		t.Error("failing workers are avoided although most of the pool is failing")
	}
	setFailing()
	lease := table.Acquire(start, &Request{Pool: "p"})
	lease.RecordAnswer(start, false)
	lease.Release()
	if acquire() == "a" {
		t.Error("a worker that has just failed got the next request")
	}
	if loads := table.Loads(); len(loads) != 1 || loads[0].Failed != 1 || loads[0].Answered != 0 {
		t.Errorf("reported %+v", loads)
	}
}

// TestReportIsPassedOnOnce checks that what a worker reports about itself is in the next result
// of Loads, and only there.
func TestReportIsPassedOnOnce(t *testing.T) {
	table := tableOf(poolWorker("a", "z1"))
	lease := table.Acquire(start, &Request{Pool: "p"})
	lease.ApplyReport(capacity.Report{Running: 3, Waiting: 2})
	lease.Release()
	if loads := table.Loads(); len(loads) != 1 || loads[0].Told != 6 || loads[0].Online != 0 {
		t.Errorf("first report %+v", loads)
	}
	if loads := table.Loads(); len(loads) != 0 {
		t.Errorf("second report %+v", loads)
	}
}
