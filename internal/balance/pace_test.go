package balance

import (
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// peerLoad returns the load of a worker as a hub sends it.
func peerLoad(id string, online uint16, step uint32, rate uint16) wire.WorkerLoad {
	return wire.WorkerLoad{Worker: loadshare.Hash(id), Online: online, Step: step, Rate: rate}
}

// TestSlowWorkersComeLast checks three things. A request avoids a worker whose events take much
// longer than at other workers, even if that worker is idle and in the same zone. The slow worker
// is still used once all other workers are overloaded. It is tried again some time after its last
// measurement.
func TestSlowWorkersComeLast(t *testing.T) {
	table := tableOf(poolWorker("slow", "z1"), poolWorker("b", "z2"), poolWorker("c", "z2"))
	request := &Request{Pool: "p"}
	acquire := func(now time.Time) string {
		lease := table.Acquire(now, request)
		defer lease.Release()
		return lease.Endpoint.ID
	}
	if got := acquire(start); got != "slow" {
		t.Fatalf("%s was chosen before any peer loads", got)
	}
	table.SetPeerLoads(start, []wire.WorkerLoad{peerLoad("slow", 0, 140_000, 0), peerLoad("b", 3, 24_000, 10), peerLoad("c", 3, 22_000, 10)}, ScopeAll)
	if got := acquire(start); got == "slow" {
		t.Error("a worker six times slower was chosen")
	}
	table.SetPeerLoads(start, []wire.WorkerLoad{peerLoad("slow", 0, 140_000, 0), peerLoad("b", 40, 24_000, 10), peerLoad("c", 40, 22_000, 10)}, ScopeAll)
	if got := acquire(start); got != "slow" {
		t.Errorf("%s was chosen although it is overloaded", got)
	}
	later := start.Add(slownessTTL)
	table.SetPeerLoads(later, []wire.WorkerLoad{peerLoad("b", 3, 24_000, 10), peerLoad("c", 3, 22_000, 10)}, ScopeAll)
	if got := acquire(later); got == "slow" {
		t.Error("a slow worker was chosen before slownessTTL")
	}
	later = later.Add(1)
	table.SetPeerLoads(later, []wire.WorkerLoad{peerLoad("b", 3, 24_000, 10), peerLoad("c", 3, 22_000, 10)}, ScopeAll)
	if got := acquire(later); got != "slow" {
		t.Error("a slow worker is never tried again")
	}
}

// TestSlownessThreshold checks that a worker doesn't count as slow if it is only somewhat slower
// than the other workers, as a full worker is.
func TestSlownessThreshold(t *testing.T) {
	table := tableOf(poolWorker("a", "z1"), poolWorker("b", "z2"), poolWorker("c", "z2"))
	table.SetPeerLoads(start, []wire.WorkerLoad{peerLoad("a", 0, 33_000, 0), peerLoad("b", 0, 24_000, 0), peerLoad("c", 0, 22_000, 0)}, ScopeAll)
	lease := table.Acquire(start, &Request{Pool: "p"})
	if lease.Endpoint.ID != "a" || lease.Slowness != 1 {
		t.Errorf("%s was chosen, slowness %f", lease.Endpoint.ID, lease.Slowness)
	}
}

// TestWaitIsPredicted checks the use of Little's law: 4 running requests and 8 answered requests
// per second mean a hold time of 0.5 s. If a worker of 4 slots has 2 requests too many, one more
// request waits for the third release, after 3/5 of the hold time. Waiting requests hold no slot:
// if they counted, the hold time would seem to be 0.75 s.
func TestWaitIsPredicted(t *testing.T) {
	table := tableOf(poolWorker("a", "z1"))
	table.SetPeerLoads(start, []wire.WorkerLoad{peerLoad("a", 3, 0, 400)}, ScopeAll)
	if lease := table.Acquire(start, &Request{Pool: "p"}); lease.Wait != 0 {
		t.Errorf("wait %s although a slot is free", lease.Wait)
	}
	table = tableOf(poolWorker("a", "z1"))
	table.SetPeerLoads(start, []wire.WorkerLoad{peerLoad("a", 6, 0, 80)}, ScopeAll)
	lease := table.Acquire(start, &Request{Pool: "p"})
	if want := 500 * time.Millisecond * 3 / 5; lease.Wait != want {
		t.Errorf("wait %s, want %s", lease.Wait, want)
	}
	table.SetPeerLoads(start, []wire.WorkerLoad{peerLoad("a", 6, 0, 0)}, ScopeAll)
	if lease := table.Acquire(start, &Request{Pool: "p"}); lease.Wait != 0 {
		t.Errorf("wait %s although the hold time is unknown", lease.Wait)
	}
}
