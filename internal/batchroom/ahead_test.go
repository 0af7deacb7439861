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

// forecastOf returns a forecast of the given demand for the pool of the workers.
func forecastOf(workers []Worker, demand float64, confident bool) Forecast {
	poolForecast := Forecast{Pool: "p", ReportAge: reportInterval, Peak: func(time.Duration) forecast.Demand { return forecast.Demand{Slots: demand, Confident: confident} }}
	for i := range workers {
		if !workers[i].Closed {
			poolForecast.Slots += workers[i].Slots
		}
	}
	return poolForecast
}

// randomWorkers returns random workers, some of them closed.
func randomWorkers(random *rand.Rand) []Worker {
	workers := make([]Worker, 1+random.Intn(12))
	for i := range workers {
		slots := 2 + random.Intn(15)
		workers[i] = Worker{ShortName: uint32(i + 1), Pool: "p", Slots: slots, Online: random.Intn(slots + 2), Closed: random.Intn(8) == 0}
	}
	return workers
}

// reportRandomItems lets runners with random items report, and returns their names.
func reportRandomItems(random *rand.Rand, p *Planner, workers []Worker) []uint32 {
	names := []uint32{11, 12, 13}
	for _, name := range names {
		items := map[uint32]int{}
		for i := range workers {
			items[workers[i].ShortName] = random.Intn(workers[i].Slots/2 + 1)
		}
		p.ApplyReport(start, name, random.Intn(60), items)
	}
	return names
}

// TestUncertainForecastsChangeNothing checks that a forecast that is not confident leaves plans
// as they are without one.
func TestUncertainForecastsChangeNothing(t *testing.T) {
	proptest.Run(t, "unsure", func(random *rand.Rand) error {
		seed := random.Int63()
		workers := randomWorkers(random)
		plain, uncertain := New(), New()
		reportRandomItems(rand.New(rand.NewSource(seed)), plain, workers)
		names := reportRandomItems(rand.New(rand.NewSource(seed)), uncertain, workers)
		for _, name := range names {
			first := plain.Plan(name, Workers{Busy: workers})
			second := uncertain.Plan(name, Workers{Busy: workers, Forecasts: []Forecast{forecastOf(workers, 1000, false)}})
			if !maps.Equal(first, second) || plain.Summary() != uncertain.Summary() {
				return errors.Newf("orders %+v and %+v, summaries %+v and %+v", first, second, plain.Summary(), uncertain.Summary())
			}
		}
		return nil
	})
}

// TestAdvanceStopsMakeRoom checks plans for random workers with a confident forecast: after the
// stops, items and forecast demand fit into the slots, unless no item is left at open workers;
// one stop fewer would not be enough; and granted starts fit beside the demand.
func TestAdvanceStopsMakeRoom(t *testing.T) {
	proptest.Run(t, "ahead", func(random *rand.Rand) error {
		workers := randomWorkers(random)
		for i := range workers {
			workers[i].Online = min(workers[i].Online, workers[i].Slots)
		}
		p := New()
		names := reportRandomItems(random, p, workers)
		slots, online, onlineAtClosed := 0, 0, 0
		for i := range workers {
			online += workers[i].Online
			if workers[i].Closed {
				onlineAtClosed += workers[i].Online
				continue
			}
			slots += workers[i].Slots
		}
		demand := online + random.Intn(slots+1)
		items, stops, starts, stopsAtClosed := 0, 0, 0, 0
		for i := range workers {
			if !workers[i].Closed {
				items += p.itemsAt(workers[i].ShortName)
			}
		}
		for _, name := range names {
			for worker, order := range p.Plan(name, Workers{Busy: workers, Forecasts: []Forecast{forecastOf(workers, float64(demand), true)}}) {
				if order.Stop > p.runners[name].items[worker] {
					return errors.Newf("%d stops of %d items", order.Stop, p.runners[name].items[worker])
				}
				starts += order.Start
				if workers[worker-1].Closed {
					stopsAtClosed += order.Stop
					continue
				}
				stops += order.Stop
			}
		}
		excess := demand - onlineAtClosed + items - slots
		blocking := 0
		for i := range workers {
			if w := &workers[i]; !w.Closed {
				blocking += min(max(w.Online+p.itemsAt(w.ShortName)-w.Slots, 0), p.itemsAt(w.ShortName))
			}
		}
		switch {
		case stops != min(max(excess, blocking), items):
			return errors.Newf("%d stops of %d items; %d items exceed the slots, %d block online requests", stops, items, excess, blocking)
		case starts > 0 && demand-onlineAtClosed+items+starts > slots:
			return errors.Newf("%d starts beside %d items and a demand of %d at %d slots", starts, items, demand, slots)
		}
		return nil
	})
}

// TestAdvanceStopsAreSpread checks that, ahead of a wave, items stop at the worker that is full
// of items, because the wave needs the slots there.
func TestAdvanceStopsAreSpread(t *testing.T) {
	p := New()
	workers := []Worker{{ShortName: 1, Pool: "p", Slots: 8}, {ShortName: 2, Pool: "p", Slots: 8}, {ShortName: 3, Pool: "p", Slots: 8}}
	p.ApplyReport(start, 10, 0, map[uint32]int{1: 8, 2: 4, 3: 1})
	orders := p.Plan(10, Workers{Busy: workers, Forecasts: []Forecast{forecastOf(workers, 16, true)}})
	if want := (map[uint32]Order{1: {Stop: 5}}); !maps.Equal(orders, want) {
		t.Errorf("orders %+v, want %+v", orders, want)
	}
	if got := p.Summary().AdvanceStops; got != 5 {
		t.Errorf("%d stops in advance, want 5", got)
	}
}

// TestNothingStartsBeforeAWave checks that slots that a wave will need are not granted, and that
// all free slots are granted once the wave is over.
func TestNothingStartsBeforeAWave(t *testing.T) {
	workers := []Worker{{ShortName: 1, Pool: "p", Slots: 8, Online: 1}, {ShortName: 2, Pool: "p", Slots: 8, Online: 1}}
	for demand, want := range map[float64]int{16: 0, 12: 3, 2: 14} {
		p := New()
		p.ApplyReport(start, 10, 40, nil)
		started := 0
		for _, order := range p.Plan(10, Workers{Busy: workers, Forecasts: []Forecast{forecastOf(workers, demand, true)}}) {
			started += order.Start
		}
		if started != want {
			t.Errorf("%d items start beside a demand of %.0f, want %d", started, demand, want)
		}
	}
}

// TestNewPlannerWaits checks that no item starts while a forecast is paused.
func TestNewPlannerWaits(t *testing.T) {
	workers := []Worker{{ShortName: 1, Pool: "p", Slots: 8}}
	p := New()
	p.ApplyReport(start, 10, 40, nil)
	paused := forecastOf(workers, 0, false)
	paused.Paused = true
	if orders := p.Plan(10, Workers{Busy: workers, Forecasts: []Forecast{paused}}); len(orders) > 0 || !p.Summary().Paused {
		t.Errorf("orders %+v, want none and a paused summary", orders)
	}
}

// benchmarkPlan measures a plan for 10,000 workers of 8 slots, 300 of them loaded.
func benchmarkPlan(b *testing.B, forecasts func(workers []Worker) []Forecast) {
	workers := make([]Worker, 300)
	items := map[uint32]int{}
	for i := range workers {
		workers[i] = Worker{ShortName: uint32(i + 1), Pool: "p", Slots: 8, Online: i % 6}
		items[uint32(i+1)] = 2
	}
	p := New()
	input := Workers{Busy: workers, IdleWorkers: 9700, IdleSlots: 77600, Forecasts: forecasts(workers), Sample: func(count int) []Worker {
		sampled := make([]Worker, count)
		for i := range sampled {
			sampled[i] = Worker{ShortName: uint32(1000 + i), Pool: "p", Slots: 8}
		}
		return sampled
	}}
	b.ReportAllocs()
	for b.Loop() {
		p.ApplyReport(start, 10, 20, items)
		p.Plan(10, input)
	}
}

// BenchmarkPlan measures a plan without a forecast.
func BenchmarkPlan(b *testing.B) {
	benchmarkPlan(b, func([]Worker) []Forecast { return nil })
}

// BenchmarkPlanAhead measures a plan ahead of a wave that takes all but 300 slots.
func BenchmarkPlanAhead(b *testing.B) {
	benchmarkPlan(b, func(workers []Worker) []Forecast {
		poolForecast := forecastOf(workers, 79_700, true)
		poolForecast.Slots, poolForecast.IdleSlots = 80_000, 77_600
		return []Forecast{poolForecast}
	})
}

// TestFullPoolsKeepNoItems checks a pool whose online requests could use all slots, with one item
// at each worker: each item must stop. While a short wait at the worker was still allowed in such
// pools, the item kept a slot for which a request waited. If the online requests leave one slot
// free at each worker, or the pool has no forecast, a short wait at the worker stays allowed and no
// item stops.
func TestFullPoolsKeepNoItems(t *testing.T) {
	const workers, slots = 5, 8
	for _, test := range []struct {
		online, stops int
		pool          string
	}{{slots, 5, "p"}, {slots, 0, "q"}, {slots - 1, 0, "p"}} {
		input := Workers{Forecasts: []Forecast{{Pool: "p", Slots: workers * slots, Peak: func(time.Duration) forecast.Demand { return forecast.Demand{} }}}}
		items := map[uint32]int{}
		for worker := range uint32(workers) {
			input.Busy = append(input.Busy, Worker{ShortName: worker, Pool: test.pool, Slots: slots, Online: test.online, HoldTime: 750 * time.Millisecond, MaxWait: 150 * time.Millisecond})
			items[worker] = slots + 1 - test.online
		}
		input.ClearMaxWait()
		planner := New()
		planner.ApplyReport(time.Unix(1000, 0), 1, 10, items)
		stops := 0
		for _, order := range planner.Plan(1, input) {
			stops += order.Stop
		}
		if stops != test.stops {
			t.Errorf("%d online requests at each worker of pool %s: %d stops, want %d", test.online, test.pool, stops, test.stops)
		}
	}
}
