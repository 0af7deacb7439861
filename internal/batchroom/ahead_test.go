package batchroom

import (
	"maps"
	"math/rand"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/forecast"
	"github.com/sedgemast/sedgemast/internal/proptest"
)

// outlookOf returns an outlook of the pool in which so many slots will be needed.
func outlookOf(places []Worker, need float64, sure bool) Forecast {
	outlook := Forecast{Pool: "p", ReportAge: reports, Peak: func(time.Duration) forecast.Demand { return forecast.Demand{Slots: need, Confident: sure} }}
	for i := range places {
		if !places[i].Closed {
			outlook.Slots += places[i].Slots
		}
	}
	return outlook
}

// drawPlaces draws workers, some of them closed.
func drawPlaces(random *rand.Rand) []Worker {
	places := make([]Worker, 1+random.Intn(12))
	for i := range places {
		slots := 2 + random.Intn(15)
		places[i] = Worker{ShortName: uint32(i + 1), Pool: "p", Slots: slots, Online: random.Intn(slots + 2), Closed: random.Intn(8) == 0}
	}
	return places
}

// takeRunners lets runners with drawn items report, and returns their names.
func takeRunners(random *rand.Rand, p *Planner, places []Worker) []uint32 {
	names := []uint32{11, 12, 13}
	for _, name := range names {
		items := map[uint32]int{}
		for i := range places {
			items[places[i].ShortName] = random.Intn(places[i].Slots/2 + 1)
		}
		p.ApplyReport(start, name, random.Intn(60), items)
	}
	return names
}

// TestUnsureOutlooksChangeNothing compares plans with an outlook that is not sure to plans
// without one.
func TestUnsureOutlooksChangeNothing(t *testing.T) {
	proptest.Run(t, "unsure", func(random *rand.Rand) error {
		seed := random.Int63()
		places := drawPlaces(random)
		plain, unsure := New(), New()
		takeRunners(rand.New(rand.NewSource(seed)), plain, places)
		names := takeRunners(rand.New(rand.NewSource(seed)), unsure, places)
		for _, name := range names {
			first := plain.Plan(name, Workers{Busy: places})
			second := unsure.Plan(name, Workers{Busy: places, Forecasts: []Forecast{outlookOf(places, 1000, false)}})
			if !maps.Equal(first, second) || plain.Summary() != unsure.Summary() {
				return errors.Newf("orders %+v and %+v, summaries %+v and %+v", first, second, plain.Summary(), unsure.Summary())
			}
		}
		return nil
	})
}

// TestRoomIsMadeAhead draws places and a need: after the stops all that run and the need
// fit, unless no item is left at open workers, one stop fewer would not do, and what is
// granted fits beside the need.
func TestRoomIsMadeAhead(t *testing.T) {
	proptest.Run(t, "ahead", func(random *rand.Rand) error {
		places := drawPlaces(random)
		for i := range places {
			places[i].Online = min(places[i].Online, places[i].Slots)
		}
		p := New()
		names := takeRunners(random, p, places)
		slots, online, elsewhere := 0, 0, 0
		for i := range places {
			online += places[i].Online
			if places[i].Closed {
				elsewhere += places[i].Online
				continue
			}
			slots += places[i].Slots
		}
		need := online + random.Intn(slots+1)
		items, stops, starts, atClosed := 0, 0, 0, 0
		for i := range places {
			if !places[i].Closed {
				items += p.itemsAt(places[i].ShortName)
			}
		}
		for _, name := range names {
			for worker, order := range p.Plan(name, Workers{Busy: places, Forecasts: []Forecast{outlookOf(places, float64(need), true)}}) {
				if order.Stop > p.runners[name].items[worker] {
					return errors.Newf("%d stops of %d items", order.Stop, p.runners[name].items[worker])
				}
				starts += order.Start
				if places[worker-1].Closed {
					atClosed += order.Stop
					continue
				}
				stops += order.Stop
			}
		}
		over := need - elsewhere + items - slots
		crowded := 0
		for i := range places {
			if place := &places[i]; !place.Closed {
				crowded += min(max(place.Online+p.itemsAt(place.ShortName)-place.Slots, 0), p.itemsAt(place.ShortName))
			}
		}
		switch {
		case stops != min(max(over, crowded), items):
			return errors.Newf("%d stops of %d items, %d over, %d in the way", stops, items, over, crowded)
		case starts > 0 && need-elsewhere+items+starts > slots:
			return errors.Newf("%d starts beside %d items and a need of %d at %d slots", starts, items, need, slots)
		}
		return nil
	})
}

// TestRoomIsSpread lets a wave come to workers of which one is full of items: those stop
// that stand where the wave will need the room.
func TestRoomIsSpread(t *testing.T) {
	p := New()
	places := []Worker{{ShortName: 1, Pool: "p", Slots: 8}, {ShortName: 2, Pool: "p", Slots: 8}, {ShortName: 3, Pool: "p", Slots: 8}}
	p.ApplyReport(start, 10, 0, map[uint32]int{1: 8, 2: 4, 3: 1})
	orders := p.Plan(10, Workers{Busy: places, Forecasts: []Forecast{outlookOf(places, 16, true)}})
	if want := (map[uint32]Order{1: {Stop: 5}}); !maps.Equal(orders, want) {
		t.Errorf("orders %+v, want %+v", orders, want)
	}
	if got := p.Summary().AdvanceStops; got != 5 {
		t.Errorf("%d stops ahead", got)
	}
}

// TestNothingStartsBeforeAWave checks that room that a wave will need is not given away,
// and that all of it is once the wave is over.
func TestNothingStartsBeforeAWave(t *testing.T) {
	places := []Worker{{ShortName: 1, Pool: "p", Slots: 8, Online: 1}, {ShortName: 2, Pool: "p", Slots: 8, Online: 1}}
	for need, want := range map[float64]int{16: 0, 12: 3, 2: 14} {
		p := New()
		p.ApplyReport(start, 10, 40, nil)
		started := 0
		for _, order := range p.Plan(10, Workers{Busy: places, Forecasts: []Forecast{outlookOf(places, need, true)}}) {
			started += order.Start
		}
		if started != want {
			t.Errorf("%d start beside a need of %.0f, want %d", started, need, want)
		}
	}
}

// TestANewPlannerWaits checks that nothing starts while an outlook is held.
func TestANewPlannerWaits(t *testing.T) {
	places := []Worker{{ShortName: 1, Pool: "p", Slots: 8}}
	p := New()
	p.ApplyReport(start, 10, 40, nil)
	held := outlookOf(places, 0, false)
	held.Paused = true
	if orders := p.Plan(10, Workers{Busy: places, Forecasts: []Forecast{held}}); len(orders) > 0 || !p.Summary().Paused {
		t.Errorf("orders %+v", orders)
	}
}

// benchmarkPlan plans at 10,000 workers of 8 slots, 300 of them loaded.
func benchmarkPlan(b *testing.B, outlooks func(places []Worker) []Forecast) {
	places := make([]Worker, 300)
	items := map[uint32]int{}
	for i := range places {
		places[i] = Worker{ShortName: uint32(i + 1), Pool: "p", Slots: 8, Online: i % 6}
		items[uint32(i+1)] = 2
	}
	p := New()
	told := Workers{Busy: places, IdleWorkers: 9700, IdleSlots: 77600, Forecasts: outlooks(places), Sample: func(count int) []Worker {
		drawn := make([]Worker, count)
		for i := range drawn {
			drawn[i] = Worker{ShortName: uint32(1000 + i), Pool: "p", Slots: 8}
		}
		return drawn
	}}
	b.ReportAllocs()
	for b.Loop() {
		p.ApplyReport(start, 10, 20, items)
		p.Plan(10, told)
	}
}

// BenchmarkPlan is a plan without an outlook.
func BenchmarkPlan(b *testing.B) {
	benchmarkPlan(b, func([]Worker) []Forecast { return nil })
}

// BenchmarkPlanAhead is a plan with a wave that takes all but 300 slots.
func BenchmarkPlanAhead(b *testing.B) {
	benchmarkPlan(b, func(places []Worker) []Forecast {
		outlook := outlookOf(places, 79_700, true)
		outlook.Slots, outlook.IdleSlots = 80_000, 77_600
		return []Forecast{outlook}
	})
}

// TestCrowdedPoolsKeepNoItems fills a pool with online requests, one item at each worker: it
// held a slot for which a request waited, for as long as the wait at the worker was short.
// With one request less than slots the short wait is borne, and so it is in another pool.
func TestCrowdedPoolsKeepNoItems(t *testing.T) {
	const workers, slots = 5, 8
	for _, test := range []struct {
		online, stops int
		pool          string
	}{{slots, 5, "p"}, {slots, 0, "q"}, {slots - 1, 0, "p"}} {
		places := Workers{Forecasts: []Forecast{{Pool: "p", Slots: workers * slots, Peak: func(time.Duration) forecast.Demand { return forecast.Demand{} }}}}
		items := map[uint32]int{}
		for worker := range uint32(workers) {
			places.Busy = append(places.Busy, Worker{ShortName: worker, Pool: test.pool, Slots: slots, Online: test.online, HoldTime: 750 * time.Millisecond, MaxWait: 150 * time.Millisecond})
			items[worker] = slots + 1 - test.online
		}
		places.ClearMaxWait()
		planner := New()
		planner.ApplyReport(time.Unix(1000, 0), 1, 10, items)
		stops := 0
		for _, order := range planner.Plan(1, places) {
			stops += order.Stop
		}
		if stops != test.stops {
			t.Errorf("%d online at each worker of pool %s: %d stops, want %d", test.online, test.pool, stops, test.stops)
		}
	}
}
