package balance

import (
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// told is what a hub says of a worker.
func told(id string, online uint16, step uint32, rate uint16) wire.WorkerLoad {
	return wire.WorkerLoad{Worker: loadshare.Hash(id), Online: online, Step: step, Rate: rate}
}

// TestSlowWorkersComeLast checks that a request goes past a worker whose events take
// much longer than elsewhere, even where that one is idle and nearer; that such a
// worker is still used once all others are crowded; and that it is tried again some
// time after it was last heard of.
func TestSlowWorkersComeLast(t *testing.T) {
	table := tableOf(listed("slow", "z1"), listed("b", "z2"), listed("c", "z2"))
	demand := &Request{Pool: "p"}
	take := func(now time.Time) string {
		lease := table.Acquire(now, demand)
		defer lease.Release()
		return lease.Endpoint.ID
	}
	if got := take(start); got != "slow" {
		t.Fatalf("before anything was heard %s was taken", got)
	}
	table.SetPeerLoads(start, []wire.WorkerLoad{told("slow", 0, 140_000, 0), told("b", 3, 24_000, 10), told("c", 3, 22_000, 10)}, ScopeAll)
	if got := take(start); got == "slow" {
		t.Error("a worker six times slower was taken")
	}
	table.SetPeerLoads(start, []wire.WorkerLoad{told("slow", 0, 140_000, 0), told("b", 40, 24_000, 10), told("c", 40, 22_000, 10)}, ScopeAll)
	if got := take(start); got != "slow" {
		t.Errorf("%s was taken, which is crowded", got)
	}
	later := start.Add(slowMemory)
	table.SetPeerLoads(later, []wire.WorkerLoad{told("b", 3, 24_000, 10), told("c", 3, 22_000, 10)}, ScopeAll)
	if got := take(later); got == "slow" {
		t.Error("a slow worker was forgotten too soon")
	}
	later = later.Add(1)
	table.SetPeerLoads(later, []wire.WorkerLoad{told("b", 3, 24_000, 10), told("c", 3, 22_000, 10)}, ScopeAll)
	if got := take(later); got != "slow" {
		t.Error("a slow worker is never tried again")
	}
}

// TestSmallDifferencesAreNoSlowness checks that a worker that is somewhat slower than
// the others, as a full one is, is no slow one.
func TestSmallDifferencesAreNoSlowness(t *testing.T) {
	table := tableOf(listed("a", "z1"), listed("b", "z2"), listed("c", "z2"))
	table.SetPeerLoads(start, []wire.WorkerLoad{told("a", 0, 33_000, 0), told("b", 0, 24_000, 0), told("c", 0, 22_000, 0)}, ScopeAll)
	lease := table.Acquire(start, &Request{Pool: "p"})
	if lease.Endpoint.ID != "a" || lease.Slowness != 1 {
		t.Errorf("%s was taken, slowness %f", lease.Endpoint.ID, lease.Slowness)
	}
}

// TestWaitIsPredicted checks Little's law: 4 requests that run and 8 answered a second hold
// a slot for 0.5 s, so with 2 too many at a worker of 4 slots one more waits for the third
// slot that is given back, after 3 of 5 parts of that. Those that wait hold no slot: counted
// with them a slot would seem to be held for 0.75 s.
func TestWaitIsPredicted(t *testing.T) {
	table := tableOf(listed("a", "z1"))
	table.SetPeerLoads(start, []wire.WorkerLoad{told("a", 3, 0, 400)}, ScopeAll)
	if lease := table.Acquire(start, &Request{Pool: "p"}); lease.Wait != 0 {
		t.Errorf("%s with a slot free", lease.Wait)
	}
	table = tableOf(listed("a", "z1"))
	table.SetPeerLoads(start, []wire.WorkerLoad{told("a", 6, 0, 80)}, ScopeAll)
	lease := table.Acquire(start, &Request{Pool: "p"})
	if want := 500 * time.Millisecond * 3 / 5; lease.Wait != want {
		t.Errorf("wait %s, want %s", lease.Wait, want)
	}
	table.SetPeerLoads(start, []wire.WorkerLoad{told("a", 6, 0, 0)}, ScopeAll)
	if lease := table.Acquire(start, &Request{Pool: "p"}); lease.Wait != 0 {
		t.Errorf("wait %s though nothing is known of how long requests take", lease.Wait)
	}
}
