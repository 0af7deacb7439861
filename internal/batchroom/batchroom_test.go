package batchroom

import (
	"math/rand"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/proptest"
)

var start = time.Unix(1000, 0)

func TestRoomIsDivided(t *testing.T) {
	p := New()
	places := []Worker{{ShortName: 1, Slots: 7, Online: 2}, {ShortName: 2, Slots: 7, Online: 7}, {ShortName: 3, Slots: 8, Closed: true}}
	p.ApplyReport(start, 10, 30, nil)
	p.ApplyReport(start, 20, 30, nil)
	first := p.Plan(10, Workers{Busy: places})
	second := p.Plan(20, Workers{Busy: places})
	if first[1].Start != 3 || second[1].Start != 1 || first[2].Start+second[2].Start+first[3].Start+second[3].Start != 0 {
		t.Errorf("orders %+v and %+v", first, second)
	}
	p.ApplyReport(start, 20, 30, map[uint32]int{1: 1})
	if again := p.Plan(20, Workers{Busy: places}); again[1].Start != 1 {
		t.Errorf("of one slot left: %+v", again)
	}
	if alone := New(); alone.Plan(10, Workers{Busy: places}) != nil {
		t.Error("an unknown runner has orders")
	}
}

func TestStopsAreDivided(t *testing.T) {
	p := New()
	places := []Worker{{ShortName: 1, Slots: 8, Online: 6}}
	p.ApplyReport(start, 10, 0, map[uint32]int{1: 4})
	p.ApplyReport(start, 20, 0, map[uint32]int{1: 1})
	if first, second := p.Plan(10, Workers{Busy: places}), p.Plan(20, Workers{Busy: places}); first[1].Stop != 3 || second[1].Stop != 0 {
		t.Errorf("orders %+v and %+v", first, second)
	}
	later := start.Add(runnerFresh + 1)
	p.ApplyReport(later, 20, 0, map[uint32]int{1: 3})
	if orders := p.Plan(20, Workers{Busy: places}); orders[1].Stop != 1 {
		t.Errorf("beside a runner of long ago: %+v", orders)
	}
}

// TestPlansAreKept lets random runners follow their orders while online requests come
// and go. Items never take more than online requests left when they were granted, all
// stops together are what stands in the way, and room is not left while items wait.
func TestPlansAreKept(t *testing.T) {
	proptest.Run(t, "plans", func(random *rand.Rand) error {
		runners := []uint32{11, 12, 13}
		p := New()
		// Workers without online requests are told one by one, or as idle ones.
		formOf := func(places []Worker) Workers { return Workers{Busy: places} }
		if random.Intn(2) == 0 {
			formOf = idleApart
		}
		places := make([]Worker, 1+random.Intn(6))
		for i := range places {
			places[i] = Worker{ShortName: uint32(i + 1), Slots: 2 + random.Intn(16)}
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
			for i := range places {
				places[i].Online = random.Intn(places[i].Slots + 3)
			}
			for range 4 {
				for _, name := range runners {
					now = now.Add(10 * time.Millisecond)
					reported := map[uint32]int{}
					for worker, count := range items[name] {
						reported[worker] = count
					}
					p.ApplyReport(now, name, waiting[name], reported)
					for worker, order := range p.Plan(name, formOf(places)) {
						place := &places[worker-1]
						if order.Stop > items[name][worker] || order.Start > 0 && order.Stop > 0 {
							return errors.Newf("order %+v for %d items", order, items[name][worker])
						}
						items[name][worker] += order.Start - order.Stop
						waiting[name] += order.Stop - order.Start
						if order.Start > 0 && total(worker)+place.Online > place.Slots {
							return errors.Newf("%d items and %d online at %d slots", total(worker), place.Online, place.Slots)
						}
					}
				}
			}
			if err := settled(places, total, waiting); err != nil {
				return err
			}
		}
		return nil
	})
}

// idleApart tells of the places without online requests as idle ones. Items may run there
// that the loads do not show yet.
func idleApart(places []Worker) Workers {
	form := Workers{}
	var idle []Worker
	for _, place := range places {
		if place.Online > 0 {
			form.Busy = append(form.Busy, place)
			continue
		}
		idle = append(idle, place)
		form.IdleWorkers++
		form.IdleSlots += place.Slots
	}
	form.Sample = func(count int) []Worker { return idle[:min(count, len(idle))] }
	return form
}

// settled checks a plan once all runners have followed it a few times.
func settled(places []Worker, total func(uint32) int, waiting map[uint32]int) error {
	free, wait := 0, 0
	for _, count := range waiting {
		wait += count
	}
	for i := range places {
		place := &places[i]
		if over := total(place.ShortName) + place.Online - place.Slots; over > 0 && total(place.ShortName) > 0 {
			return errors.Newf("%d items stand in the way at %+v", total(place.ShortName), place)
		}
		free += max(place.Slots-place.Online-total(place.ShortName), 0)
	}
	if free > 0 && wait > 0 {
		return errors.Newf("%d slots are left while %d items wait", free, wait)
	}
	return nil
}

// TestSummary checks the sums that a plan is logged with.
func TestSummary(t *testing.T) {
	p := New()
	p.ApplyReport(start, 10, 5, map[uint32]int{1: 2})
	p.Plan(10, Workers{Busy: []Worker{{ShortName: 1, Slots: 4, Online: 3}, {ShortName: 2, Slots: 4, Online: 1}}})
	want := Summary{Slots: 8, Online: 4, Items: 2, Queued: 1, IdleSlots: 3, Waiting: 5, FreeSlots: 3, Granted: 3, Stops: 1}
	if got := p.Summary(); got != want {
		t.Errorf("summary %+v, want %+v", got, want)
	}
}

// TestAvoidedWorkersGetOneProbe lets one item start at an avoided worker that is to be probed,
// before room elsewhere is given out, and none where it is not, or where it would wait.
func TestAvoidedWorkersGetOneProbe(t *testing.T) {
	planner := New()
	planner.ApplyReport(start, 1, 2, nil)
	places := Workers{Busy: []Worker{
		{ShortName: 1, Slots: 8, Closed: true, Probe: true},
		{ShortName: 2, Slots: 8, Closed: true},
		{ShortName: 3, Slots: 8, Online: 8, Closed: true, Probe: true},
		{ShortName: 4, Slots: 8},
	}}
	orders := planner.Plan(1, places)
	if len(orders) != 2 || orders[1].Start != 1 || orders[4].Start != 1 {
		t.Errorf("orders %+v", orders)
	}
	planner.ApplyReport(start, 2, 5, nil)
	if again := planner.Plan(2, places); again[1].Start != 1 || again[2].Start != 0 || again[3].Start != 0 {
		t.Errorf("orders of another runner %+v", again)
	}
	planner.ApplyReport(start, 1, 0, nil)
	if none := planner.Plan(1, places); len(none) != 0 {
		t.Errorf("orders without an item %+v", none)
	}
}
