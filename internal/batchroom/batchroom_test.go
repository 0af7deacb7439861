package batchroom

import (
	"math/rand"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/proptest"
)

var start = time.Unix(1000, 0)

func TestFreeSlotsAreDivided(t *testing.T) {
	p := New()
	workers := []Worker{{ShortName: 1, Slots: 7, Online: 2}, {ShortName: 2, Slots: 7, Online: 7}, {ShortName: 3, Slots: 8, Closed: true}}
	p.ApplyReport(start, 10, 30, nil)
	p.ApplyReport(start, 20, 30, nil)
	first := p.Plan(10, Workers{Busy: workers})
	second := p.Plan(20, Workers{Busy: workers})
	if first[1].Start != 3 || second[1].Start != 1 || first[2].Start+second[2].Start+first[3].Start+second[3].Start != 0 {
		t.Errorf("orders %+v and %+v", first, second)
	}
	p.ApplyReport(start, 20, 30, map[uint32]int{1: 1})
	if again := p.Plan(20, Workers{Busy: workers}); again[1].Start != 1 {
		t.Errorf("orders %+v, want one start in the last free slot", again)
	}
	if alone := New(); alone.Plan(10, Workers{Busy: workers}) != nil {
		t.Error("a runner that never reported gets orders")
	}
}

func TestStopsAreDivided(t *testing.T) {
	p := New()
	workers := []Worker{{ShortName: 1, Slots: 8, Online: 6}}
	p.ApplyReport(start, 10, 0, map[uint32]int{1: 4})
	p.ApplyReport(start, 20, 0, map[uint32]int{1: 1})
	if first, second := p.Plan(10, Workers{Busy: workers}), p.Plan(20, Workers{Busy: workers}); first[1].Stop != 3 || second[1].Stop != 0 {
		t.Errorf("orders %+v and %+v", first, second)
	}
	later := start.Add(runnerTTL + 1)
	p.ApplyReport(later, 20, 0, map[uint32]int{1: 3})
	if orders := p.Plan(20, Workers{Busy: workers}); orders[1].Stop != 1 {
		t.Errorf("orders %+v beside a runner whose report is too old, want one stop", orders)
	}
}

// TestPlansAreCarriedOut checks random runners that follow their orders while the number of
// online requests changes. Items never use more slots than online requests left free when they
// were granted, all stops together make the room that online requests need, and no slot stays
// free while items wait.
func TestPlansAreCarriedOut(t *testing.T) {
	proptest.Run(t, "plans", func(random *rand.Rand) error {
		runners := []uint32{11, 12, 13}
		p := New()
		// The planner gets workers without online requests either listed as busy or as idle ones.
		layout := func(workers []Worker) Workers { return Workers{Busy: workers} }
		if random.Intn(2) == 0 {
			layout = asIdle
		}
		workers := make([]Worker, 1+random.Intn(6))
		for i := range workers {
			workers[i] = Worker{ShortName: uint32(i + 1), Slots: 2 + random.Intn(16)}
		}
		items := map[uint32]map[uint32]int{}
		waiting := map[uint32]int{}
		for _, name := range runners {
			items[name] = map[uint32]int{}
			waiting[name] = random.Intn(40)
		}
		total := func(worker uint32) (count int) {
			for _, name := range runners {
				count += items[name][worker]
			}
			return count
		}
		now := start
		for range 30 {
			for i := range workers {
				workers[i].Online = random.Intn(workers[i].Slots + 3)
			}
			for range 4 {
				for _, name := range runners {
					now = now.Add(10 * time.Millisecond)
					reported := map[uint32]int{}
					for worker, count := range items[name] {
						reported[worker] = count
					}
					p.ApplyReport(now, name, waiting[name], reported)
					for worker, order := range p.Plan(name, layout(workers)) {
						w := &workers[worker-1]
						if order.Stop > items[name][worker] || order.Start > 0 && order.Stop > 0 {
							return errors.Newf("invalid order %+v for a runner with %d items", order, items[name][worker])
						}
						items[name][worker] += order.Start - order.Stop
						waiting[name] += order.Stop - order.Start
						if order.Start > 0 && total(worker)+w.Online > w.Slots {
							return errors.Newf("%d items and %d online at %d slots", total(worker), w.Online, w.Slots)
						}
					}
				}
			}
			if err := checkSettled(workers, total, waiting); err != nil {
				return err
			}
		}
		return nil
	})
}

// asIdle returns workers of which those without online requests are idle ones. Items may run
// there that the loads do not show yet.
func asIdle(workers []Worker) Workers {
	result := Workers{}
	var idle []Worker
	for _, w := range workers {
		if w.Online > 0 {
			result.Busy = append(result.Busy, w)
			continue
		}
		idle = append(idle, w)
		result.IdleWorkers++
		result.IdleSlots += w.Slots
	}
	result.Sample = func(count int) []Worker { return idle[:min(count, len(idle))] }
	return result
}

// checkSettled checks that, after all runners have followed their orders a few times, no item
// blocks an online request and no slot is free while items wait.
func checkSettled(workers []Worker, total func(uint32) int, waiting map[uint32]int) error {
	free, waitingItems := 0, 0
	for _, count := range waiting {
		waitingItems += count
	}
	for i := range workers {
		w := &workers[i]
		if excess := total(w.ShortName) + w.Online - w.Slots; excess > 0 && total(w.ShortName) > 0 {
			return errors.Newf("%d items block online requests at %+v", total(w.ShortName), w)
		}
		free += max(w.Slots-w.Online-total(w.ShortName), 0)
	}
	if free > 0 && waitingItems > 0 {
		return errors.Newf("%d slots are free while %d items wait", free, waitingItems)
	}
	return nil
}

// TestSummary checks the sums of a plan's summary.
func TestSummary(t *testing.T) {
	p := New()
	p.ApplyReport(start, 10, 5, map[uint32]int{1: 2})
	p.Plan(10, Workers{Busy: []Worker{{ShortName: 1, Slots: 4, Online: 3}, {ShortName: 2, Slots: 4, Online: 1}}})
	want := Summary{Slots: 8, Online: 4, Items: 2, Queued: 1, IdleSlots: 3, Waiting: 5, FreeSlots: 3, Granted: 3, Stops: 1}
	if got := p.Summary(); got != want {
		t.Errorf("summary %+v, want %+v", got, want)
	}
}

// TestClosedWorkersGetOneProbe checks that one item starts at a closed worker that may be probed,
// before free slots elsewhere are granted, and none at a closed worker that may not be probed or
// has no free slot.
func TestClosedWorkersGetOneProbe(t *testing.T) {
	planner := New()
	planner.ApplyReport(start, 1, 2, nil)
	workers := Workers{Busy: []Worker{
		{ShortName: 1, Slots: 8, Closed: true, Probe: true},
		{ShortName: 2, Slots: 8, Closed: true},
		{ShortName: 3, Slots: 8, Online: 8, Closed: true, Probe: true},
		{ShortName: 4, Slots: 8},
	}}
	orders := planner.Plan(1, workers)
	if len(orders) != 2 || orders[1].Start != 1 || orders[4].Start != 1 {
		t.Errorf("orders %+v", orders)
	}
	planner.ApplyReport(start, 2, 5, nil)
	if again := planner.Plan(2, workers); again[1].Start != 1 || again[2].Start != 0 || again[3].Start != 0 {
		t.Errorf("another runner has orders %+v, want no second probe beside the first", again)
	}
	planner.ApplyReport(start, 1, 0, nil)
	if none := planner.Plan(1, workers); len(none) != 0 {
		t.Errorf("a runner without waiting items has orders %+v", none)
	}
}
