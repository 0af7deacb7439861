package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/batchroom"
	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

// fleetRows returns count workers in five zones.
func fleetRows(count int) []wire.PoolWorker {
	rows := make([]wire.PoolWorker, 0, count)
	for number := range count {
		rows = append(rows, wire.PoolWorker{ID: fmt.Sprintf("i-%08x", number), Pool: "p", Address: "10.0.0.1:1", Zone: fmt.Sprintf("z%d", number%5), Slots: 8})
	}
	return rows
}

func fleetTable(count int) *Table {
	table := NewTable("z1", rand.New(rand.NewPCG(1, 1)))
	table.Update(start, workerset.Of(fleetRows(count)), map[string]int64{"p": 100_000})
	return table
}

// peerLoads returns loads of one online request each for count workers.
func peerLoads(rows []wire.PoolWorker, count int) []wire.WorkerLoad {
	loads := make([]wire.WorkerLoad, 0, count)
	for i := range count {
		loads = append(loads, wire.WorkerLoad{Worker: loadshare.Hash(rows[i*len(rows)/count].ID), Online: 1, Rate: 10, Step: 20_000})
	}
	return loads
}

// TestChoiceComparesFewWorkers checks how many workers a choice compares, and how many the batch
// planner gets one by one, at two sizes of the fleet with the same load.
func TestChoiceComparesFewWorkers(t *testing.T) {
	for _, count := range []int{10_000, 20_000} {
		table := fleetTable(count)
		if table.Acquire(start, &Request{Pool: "p"}); len(table.candidates) > 2*maxCandidates+affinityCount {
			t.Errorf("%d workers: %d are compared without peer loads", count, len(table.candidates))
		}
		table.SetPeerLoads(start, peerLoads(fleetRows(count), 300), ScopeAll)
		lease := table.Acquire(start, longPrompt("part"))
		if lease == nil || len(table.candidates) > 2*maxCandidates+affinityCount {
			t.Errorf("%d workers: %d are compared", count, len(table.candidates))
		}
		workers := table.Workers(start, func(string) time.Duration { return time.Second })
		if len(workers.Busy) > 302 || len(workers.Busy)+workers.IdleWorkers != count {
			t.Errorf("%d workers: the planner gets %d busy and %d idle ones", count, len(workers.Busy), workers.IdleWorkers)
		}
		if sampled := workers.Sample(40); len(sampled) != 40 {
			t.Errorf("%d workers: %d are sampled", count, len(sampled))
		}
	}
}

// TestRemovedWorkersAreNotChosen removes a tenth of the original fleet per round: idle workers,
// workers with peer loads, suspects and busy ones. None of them may be chosen, sampled or passed
// to the planner any more, and the counts must match the list.
func TestRemovedWorkersAreNotChosen(t *testing.T) {
	random := rand.New(rand.NewPCG(9, 9))
	rows := fleetRows(1000)
	table := fleetTable(1000)
	var leases []*Lease
	for round := range 9 {
		table.SetPeerLoads(start, peerLoads(rows, 50), ScopeAll)
		for range 30 {
			lease := table.Acquire(start, &Request{Pool: "p"})
			if random.IntN(3) == 0 {
				lease.RecordNoAnswer(start)
			}
			leases = append(leases, lease)
		}
		random.Shuffle(len(rows), func(a, b int) { rows[a], rows[b] = rows[b], rows[a] })
		left := map[uint32]bool{}
		for _, row := range rows[:100] {
			left[loadshare.Hash(row.ID)] = true
		}
		rows = rows[100:]
		table.Update(start, workerset.Of(rows), nil)
		workers := table.Workers(start, func(string) time.Duration { return 0 })
		for _, w := range append(workers.Busy, workers.Sample(1000)...) {
			if left[w.ShortName] {
				t.Fatalf("round %d: the planner gets a worker that left", round)
			}
		}
		for range 200 {
			if left[loadshare.Hash(table.Acquire(start, &Request{Pool: "p"}).Endpoint.ID)] {
				t.Fatalf("round %d: a worker that left was chosen", round)
			}
		}
		if p := table.pools["p"]; p.usableCount() != len(rows) || p.slots != 8*len(rows) || len(p.ring) != len(p.near) {
			t.Fatalf("round %d: %d workers with %d slots, %d on the ring, want %d", round, p.usableCount(), p.slots, len(p.ring), len(rows))
		}
	}
	for _, lease := range leases {
		lease.Release()
	}
}

// TestItemsStartWhereGranted has the planner grant items at a few of 10,000 workers: they start
// there, as many as granted, and nowhere else.
func TestItemsStartWhereGranted(t *testing.T) {
	table := fleetTable(10_000)
	planner := batchroom.New()
	planner.ApplyReport(start, 1, 30, nil)
	table.SetPeerLoads(start, nil, ScopeAll)
	orders := planner.Plan(1, table.Workers(start, func(string) time.Duration { return 0 }))
	table.SetOrders(orders)
	if len(orders) != 30 {
		t.Fatalf("%d workers are granted for 30 items", len(orders))
	}
	for item := range 31 {
		lease := table.Acquire(start, &Request{Pool: "p", Batch: true, BatchShare: 50})
		if (lease != nil) != (item < 30) {
			t.Fatalf("item %d: %v", item, lease)
		}
		if lease != nil && orders[loadshare.Hash(lease.Endpoint.ID)].Start != 1 {
			t.Errorf("item %d starts at %s without a grant", item, lease.Endpoint.ID)
		}
	}
}

// benchmark runs action at 100, 10,000 and 20,000 workers, with up to 300 of them loaded. At these
// sizes, a choice that visits every worker took 0.026, 3.26 and 9.46 ms; such a choice for an item
// took 0.024, 1.98 and 3.90 ms.
func benchmark(b *testing.B, action func(b *testing.B, table *Table, count int)) {
	for _, count := range []int{100, 10_000, 20_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			table := fleetTable(count)
			table.SetPeerLoads(start, peerLoads(fleetRows(count), min(count, 300)), ScopeAll)
			b.ReportAllocs()
			b.ResetTimer()
			action(b, table, count)
		})
	}
}

// BenchmarkChooseOnline measures a choice for an online request with shared parts.
func BenchmarkChooseOnline(b *testing.B) {
	benchmark(b, func(b *testing.B, table *Table, _ int) {
		request := &Request{Pool: "p", PromptTokens: 450, Parts: []httpheader.Part{{ID: "s", Tokens: 200}, {ID: "o", Tokens: 250}}}
		for b.Loop() {
			table.Acquire(start, request).Release()
		}
	})
}

// BenchmarkChooseByPredictedTime measures the same choice by predicted times.
func BenchmarkChooseByPredictedTime(b *testing.B) {
	benchmark(b, func(b *testing.B, table *Table, _ int) {
		table.scoring = scoringPredictedTime
		request := &Request{Pool: "p", PromptTokens: 450, Parts: []httpheader.Part{{ID: "s", Tokens: 200}, {ID: "o", Tokens: 250}}}
		for b.Loop() {
			table.Acquire(start, request).Release()
		}
	})
}

// BenchmarkChooseItem measures a plan for a runner with 20 waiting items, and one choice by it.
func BenchmarkChooseItem(b *testing.B) {
	benchmark(b, func(b *testing.B, table *Table, _ int) {
		planner := batchroom.New()
		for b.Loop() {
			planner.ApplyReport(start, 1, 20, nil)
			table.SetOrders(planner.Plan(1, table.Workers(start, func(string) time.Duration { return 0 })))
			table.Acquire(start, &Request{Pool: "p", Batch: true, BatchShare: 50}).Release()
		}
	})
}

// BenchmarkSetPeerLoads measures SetPeerLoads with 34 rows.
func BenchmarkSetPeerLoads(b *testing.B) {
	benchmark(b, func(b *testing.B, table *Table, count int) {
		loads := peerLoads(fleetRows(count), 34)
		for b.Loop() {
			table.SetPeerLoads(start, loads, ScopeNamed)
		}
	})
}

// BenchmarkUpdate measures the update of a list in which one worker has changed.
func BenchmarkUpdate(b *testing.B) {
	benchmark(b, func(b *testing.B, table *Table, count int) {
		set := workerset.Of(fleetRows(count))
		slots := 0
		for b.Loop() {
			slots++
			changed := fleetRows(1)
			changed[0].Slots = slots
			table.Update(start, set.With(changed, nil), nil)
		}
	})
}
