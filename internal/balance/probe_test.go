package balance

import (
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/wire"
)

func failingLoad(id string, starts uint16) wire.WorkerLoad {
	return wire.WorkerLoad{Worker: loadshare.Hash(id), Failing: true, Start: starts}
}

// TestItemsProbeWithGrant checks that an item starts at an avoided worker if the planner grants
// it, one at a time, and that its success is reported once, as a probe result and not as the
// answer to an online request.
func TestItemsProbeWithGrant(t *testing.T) {
	table := tableOf(poolWorker("a", "z1"), poolWorker("b", "z2"), poolWorker("c", "z2"))
	item := &Request{Pool: "p", Batch: true, BatchShare: 50}
	table.SetPeerLoads(start, []wire.WorkerLoad{failingLoad("a", 0)}, ScopeAll)
	if table.Acquire(start, item) != nil {
		t.Fatal("an item started without a grant")
	}
	table.SetPeerLoads(start, []wire.WorkerLoad{failingLoad("a", 2)}, ScopeAll)
	lease := table.Acquire(start, item)
	if lease == nil || !lease.IsProbe() || lease.Endpoint.ID != "a" {
		t.Fatalf("the lease is not a probe: %+v", lease)
	}
	if again := table.choose(start, item, false); again != nil {
		t.Error("two probes at once")
	}
	lease.RecordItemStart(start, true)
	if results := table.ProbeResults(); len(results) != 1 || results[0].Well != 1 {
		t.Errorf("probe results %+v", results)
	}
	if results := table.ProbeResults(); len(results) != 0 {
		t.Errorf("probe results reported twice: %+v", results)
	}
	for _, load := range table.Loads() {
		if load.Answered != 0 {
			t.Error("an item counts as an online answer")
		}
	}
}

// TestProbeTimeoutDoubles checks that the timeout doubles with each unanswered probe, and is
// reset by an answer.
func TestProbeTimeoutDoubles(t *testing.T) {
	table := tableOf(poolWorker("a", "z1"), poolWorker("b", "z1"), poolWorker("c", "z1"))
	table.SetPeerLoads(start, []wire.WorkerLoad{failingLoad("a", 1)}, ScopeAll)
	lease := table.Acquire(start, &Request{Pool: "p", Batch: true})
	for _, want := range []time.Duration{1, 2, 4, 6, 6} {
		if got := lease.ProbeTimeout(time.Second, 6*time.Second); got != want*time.Second {
			t.Errorf("timeout %v, want %v s", got, int64(want))
		}
		lease.RecordNoAnswer(start)
	}
	lease.RecordItemStart(start, true)
	if got := lease.ProbeTimeout(time.Second, 6*time.Second); got != time.Second {
		t.Errorf("timeout %v after an answer", got)
	}
}

// TestRepeatableRequestsProbe checks that one repeatable request goes to an avoided worker that
// the hub named, and no other request does.
func TestRepeatableRequestsProbe(t *testing.T) {
	table := tableOf(poolWorker("a", "z1"), poolWorker("b", "z1"), poolWorker("c", "z1"))
	table.SetPeerLoads(start, []wire.WorkerLoad{failingLoad("a", 0)}, ScopeAll)
	named := []uint32{loadshare.Hash("a")}
	acquire := func(now time.Time, repeatable bool) bool {
		lease := table.Acquire(now, &Request{Pool: "p", Repeatable: repeatable})
		defer lease.Release()
		return lease.IsProbe()
	}
	if acquire(start, true) {
		t.Error("a request went to an avoided worker without a grant")
	}
	table.SetProbes(start, named)
	if acquire(start, false) {
		t.Error("a request that is not repeatable was a probe")
	}
	if !acquire(start, true) || acquire(start, true) {
		t.Error("not exactly one repeatable request was a probe")
	}
	table.SetProbes(start, named)
	if acquire(start.Add(probeGrantTTL+1), true) {
		t.Error("an expired grant was used")
	}
	table.SetPeerLoads(start, nil, ScopeAll)
	table.SetProbes(start, named)
	if acquire(start, true) {
		t.Error("a worker that is not avoided was probed")
	}
}
