package balance

import (
	"fmt"
	"math/rand"
	randv2 "math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/incarnation"
	"github.com/sedgemast/sedgemast/internal/proptest"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

var start = time.Unix(1000, 0)

func tableOf(workers ...wire.PoolWorker) *Table {
	table := NewTable("z1", randv2.New(randv2.NewPCG(1, 1)))
	table.Update(start, workerset.Of(workers), map[string]int64{"p": 100_000})
	return table
}

func poolWorker(id, zone string) wire.PoolWorker {
	return wire.PoolWorker{ID: id, Pool: "p", Zone: zone, Slots: 4}
}

func TestLeavingIsFinal(t *testing.T) {
	table := tableOf(poolWorker("a", "z1"))
	leaving := poolWorker("a", "z1")
	leaving.Leaving = true
	table.Update(start, workerset.Of([]wire.PoolWorker{leaving}), nil)
	table.Update(start, workerset.Of([]wire.PoolWorker{poolWorker("a", "z1")}), nil)
	if lease := table.Acquire(start, &Request{Pool: "p"}); lease != nil || table.Usable("p") {
		t.Error("a worker that is leaving got a request")
	}
}

func TestWrongWorkerIsBlocked(t *testing.T) {
	table := tableOf(poolWorker("a", "z1"))
	lease := table.Acquire(start, &Request{Pool: "p"})
	lease.RecordWrongWorker(start)
	lease.Release()
	if table.Acquire(start, &Request{Pool: "p"}) != nil {
		t.Error("a blocked worker got a request")
	}
	table.Update(start, workerset.Of([]wire.PoolWorker{poolWorker("b", "z1")}), nil)
	if table.Acquire(start, &Request{Pool: "p"}) == nil {
		t.Error("the worker that replaced it got no request")
	}
}

// TestBlockedWorkerReturns checks that a worker is not blocked forever after another worker
// answered at its address, because it may start again at that address under its id.
func TestBlockedWorkerReturns(t *testing.T) {
	table := tableOf(poolWorker("a", "z1"))
	for round := range 3 {
		now := start.Add(time.Duration(round) * blockTime)
		lease := table.Acquire(now, &Request{Pool: "p"})
		if lease == nil {
			t.Fatalf("round %d: the worker gets no request after %s", round, blockTime)
		}
		lease.RecordWrongWorker(now)
		lease.Release()
		if table.Acquire(now.Add(blockTime-time.Millisecond), &Request{Pool: "p"}) != nil || table.Usable("p") {
			t.Errorf("round %d: the worker gets a request before its blocking time has passed", round)
		}
	}
	table.Update(start, workerset.Of(nil), nil)
	if table.Acquire(start.Add(time.Hour), &Request{Pool: "p"}) != nil {
		t.Error("a worker that is no longer listed got a request")
	}
}

// TestNewIncarnationIsAnotherWorker restarts a leaving worker under its id. The new incarnation
// gets requests at once, and the state of the old one doesn't apply to it.
func TestNewIncarnationIsAnotherWorker(t *testing.T) {
	old, again := poolWorker(incarnation.Name("a", 1, ""), "z1"), poolWorker(incarnation.Name("a", 2, ""), "z1")
	table := tableOf(old)
	request := &Request{Pool: "p", Parts: []httpheader.Part{{ID: "x", Tokens: 500}, {ID: "own", Tokens: 5}}}
	lease := table.Acquire(start, request)
	old.Leaving = true
	table.Update(start, workerset.Of([]wire.PoolWorker{old}), nil)
	if table.Usable("p") {
		t.Fatal("a worker that is leaving is usable")
	}
	table.Update(start, workerset.Of([]wire.PoolWorker{again}), nil)
	next := table.Acquire(start, request)
	if next == nil || next.Endpoint.ID != again.ID || len(next.worker.parts) != 1 || next.worker.inFlight != 1 {
		t.Fatalf("lease at the new incarnation: %+v", next)
	}
	lease.Release()
	if next.worker.inFlight != 1 || table.byHash[next.worker.hash] != next.worker {
		t.Error("releasing a lease of the old incarnation changed the new one")
	}
}

func TestSuspectsComeLast(t *testing.T) {
	table := tableOf(poolWorker("a", "z1"), poolWorker("b", "z2"))
	first := table.Acquire(start, &Request{Pool: "p"})
	if first.Endpoint.ID != "a" {
		t.Fatalf("%s was chosen, not the worker of this zone", first.Endpoint.ID)
	}
	first.RecordNoAnswer(start)
	first.Release()
	if next := table.Acquire(start, &Request{Pool: "p"}); next.Endpoint.ID != "b" {
		t.Errorf("the suspect %s was chosen", next.Endpoint.ID)
	}
	if last := table.Acquire(start, &Request{Pool: "p", Exclude: map[string]bool{"b": true}}); last == nil || last.Endpoint.ID != "a" {
		t.Error("the suspect was not chosen although there is no other worker")
	}
}

func TestPendingPromptsCountAsLoad(t *testing.T) {
	table := tableOf(poolWorker("a", "z1"), poolWorker("b", "z1"))
	long := table.Acquire(start, &Request{Pool: "p", PromptTokens: 9000})
	next := table.Acquire(start, &Request{Pool: "p", PromptTokens: 500})
	if long.Endpoint.ID == next.Endpoint.ID {
		t.Error("a short prompt was sent to a worker with a long pending prompt")
	}
}

func TestSharedPartsUseOneWorker(t *testing.T) {
	table := tableOf(poolWorker("a", "z1"), poolWorker("b", "z1"), poolWorker("c", "z1"))
	parts := []httpheader.Part{{ID: "s", Tokens: 800}, {ID: "own", Tokens: 200}}
	first := table.Acquire(start, &Request{Pool: "p", PromptTokens: 1000, Parts: parts})
	first.Release()
	for i := 0; i < 5; i++ {
		parts[1].ID = fmt.Sprint(i)
		next := table.Acquire(start, &Request{Pool: "p", PromptTokens: 1000, Parts: parts})
		if next.Endpoint.ID != first.Endpoint.ID {
			t.Errorf("request %d went to %s, not %s", i, next.Endpoint.ID, first.Endpoint.ID)
		}
		next.Release()
	}
}

// TestBatchStaysWithinItsShare checks with random traffic that batch items never use more than
// their share of any worker's slots, and that all counts return to zero.
func TestBatchStaysWithinItsShare(t *testing.T) {
	proptest.Run(t, "batch share", func(random *rand.Rand) error {
		table := tableOf(poolWorker("a", "z1"), poolWorker("b", "z2"), poolWorker("c", "z3"))
		var leases []*Lease
		for step := 0; step < 100; step++ {
			request := &Request{Pool: "p", Batch: random.Intn(2) == 0, BatchShare: 50, PromptTokens: int64(random.Intn(5000))}
			if lease := table.Acquire(start, request); lease != nil {
				leases = append(leases, lease)
			}
			if len(leases) > 0 && random.Intn(2) == 0 {
				chosen := random.Intn(len(leases))
				leases[chosen].RecordPrefill()
				leases[chosen].Release()
				leases[chosen].Release()
			}
			for id, worker := range table.workers {
				if worker.batch > 2 {
					return errors.Newf("%d items at %s", worker.batch, id)
				}
			}
		}
		for _, lease := range leases {
			lease.Release()
		}
		for id, worker := range table.workers {
			if worker.inFlight != 0 || worker.pendingTokens != 0 || worker.batch != 0 {
				return errors.Newf("%s ends with %+v", id, worker)
			}
		}
		return nil
	})
}
