package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/batchroom"
	"github.com/sedgemast/sedgemast/internal/capacity"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

// forecastTable holds two pools: one of three workers with four slots each, of which worker c is
// leaving, and one of a single worker.
func forecastTable() *Table {
	table := NewTable("z", rand.New(rand.NewPCG(1, 1)))
	table.Update(start, workerset.Of([]wire.PoolWorker{
		{ID: "a", Pool: "p", Zone: "z", Slots: 4},
		{ID: "b", Pool: "p", Zone: "z", Slots: 4},
		{ID: "c", Pool: "p", Zone: "z", Slots: 4, Leaving: true},
		{ID: "d", Pool: "q", Zone: "z", Slots: 2},
	}), nil)
	return table
}

func noWait(string) time.Duration { return 0 }

// TestForecastsCountByPool checks demand and slots of pools. Waiting requests and requests at a
// leaving worker count as demand, and demand is capped at the number of slots.
func TestForecastsCountByPool(t *testing.T) {
	table := forecastTable()
	online := func(id string, count int) wire.WorkerLoad {
		return wire.WorkerLoad{Worker: loadshare.WorkerHash(id), Online: uint16(count)}
	}
	for _, test := range []struct {
		name   string
		loads  []wire.WorkerLoad
		online int
		idle   int
	}{
		{"nothing", nil, 0, 8},
		{"some wait", []wire.WorkerLoad{online("a", 6)}, 6, 4},
		{"at a leaving worker", []wire.WorkerLoad{online("a", 1), online("c", 3)}, 4, 4},
		{"too much", []wire.WorkerLoad{online("a", 20), online("b", 20)}, 8, 0},
	} {
		table.SetPeerLoads(start, test.loads, ScopeAll)
		workers := table.Workers(start, noWait)
		forecasts := table.Forecasts(&workers, table.Pools())
		if len(forecasts) != 2 || forecasts[0].Pool != "p" || forecasts[1].Pool != "q" {
			t.Fatalf("%s: %+v", test.name, forecasts)
		}
		if got := forecasts[0]; got.Online != test.online || got.IdleSlots != test.idle || got.Slots != 8 || got.ZoneSlots["z"] != 8 {
			t.Errorf("%s: %+v", test.name, got)
		}
		if got := forecasts[1]; got.Online != 0 || got.Slots != 2 || got.IdleSlots != 2 {
			t.Errorf("%s: the other pool: %+v", test.name, got)
		}
	}
}

// TestSuspectSlotsAreNotForecast checks that the slots of a worker that gave no answer don't
// count while it is avoided.
func TestSuspectSlotsAreNotForecast(t *testing.T) {
	table := forecastTable()
	table.SetPeerLoads(start, nil, ScopeAll)
	table.Acquire(start, &Request{Pool: "p"}).RecordNoAnswer(start)
	workers := table.Workers(start, noWait)
	if got := table.Forecasts(&workers, table.Pools())[0]; got.Slots != 4 {
		t.Errorf("%d slots although one worker gave no answer", got.Slots)
	}
}

// TestItemsReturn checks that an item starts at its previous worker if that is granted, and
// elsewhere if not.
func TestItemsReturn(t *testing.T) {
	for _, last := range []string{"a", "b"} {
		for _, granted := range []bool{true, false} {
			table := forecastTable()
			table.SetPeerLoads(start, nil, ScopeAll)
			orders := map[uint32]batchroom.Order{}
			for _, id := range []string{"a", "b"} {
				if granted || id != last {
					orders[loadshare.WorkerHash(id)] = batchroom.Order{Start: 1}
				}
			}
			table.SetOrders(orders)
			lease := table.Acquire(start, &Request{Pool: "p", Batch: true, LastWorker: last})
			if lease == nil || (lease.Endpoint.ID == last) != granted {
				t.Errorf("previous worker %s, granted there %t: %+v", last, granted, lease)
			}
		}
	}
	table := forecastTable()
	if lease := table.Acquire(start, &Request{Pool: "p", Batch: true, BatchShare: 100, LastWorker: "d"}); lease.Endpoint.ID == "d" {
		t.Error("an item went to another pool")
	}
}

// TestOverloaded checks from how many requests on a worker counts as overloaded.
func TestOverloaded(t *testing.T) {
	table := forecastTable()
	for count, want := range map[uint16]bool{4: false, 5: true} {
		table.SetPeerLoads(start, []wire.WorkerLoad{{Worker: loadshare.WorkerHash("a"), Online: count - 2, Batch: 2}}, ScopeAll)
		if got := table.Overloaded(start, "a"); got != want {
			t.Errorf("%d requests at 4 slots: %t", count, got)
		}
	}
	if table.Overloaded(start, "unknown") {
		t.Error("a worker that is not listed is overloaded")
	}
}

// TestForecastsUseReportedSlots has a worker report fewer slots than listed. The whole forecast
// must use the same number of slots as the planner's workers do, whether the worker is idle or not.
// Once the list gives the reported number too, the forecast uses the listed number again.
func TestForecastsUseReportedSlots(t *testing.T) {
	table := forecastTable()
	lease := table.Acquire(start, &Request{Pool: "p", Exclude: map[string]bool{"b": true}})
	lease.ApplyReport(capacity.Report{Running: 1, Slots: 3, Pace: 100})
	if table.Overloaded(start, "a") {
		t.Error("a worker with two free slots is overloaded")
	}
	table.SetPeerLoads(start, []wire.WorkerLoad{{Worker: loadshare.WorkerHash("a"), Online: 3}}, ScopeAll)
	workers := table.Workers(start, noWait)
	if got := table.Forecasts(&workers, []string{"p"})[0]; got.Slots != 7 || got.IdleSlots != 4 || got.ZoneSlots["z"] != 7 || got.Online != 4 {
		t.Errorf("while it is busy: %+v", got)
	}
	if !table.Overloaded(start, "a") {
		t.Error("a worker with one request too many is not overloaded")
	}
	table.SetPeerLoads(start, []wire.WorkerLoad{{Worker: loadshare.WorkerHash("a"), Online: 30}}, ScopeAll)
	workers = table.Workers(start, noWait)
	if got := table.Forecasts(&workers, []string{"p"})[0]; got.Online != 7 {
		t.Errorf("demand exceeds the slots: %+v", got)
	}
	lease.Release()
	table.Loads()
	table.Loads()
	table.SetPeerLoads(start, nil, ScopeAll)
	workers = table.Workers(start, noWait)
	if got := table.Forecasts(&workers, []string{"p"})[0]; got.Slots != 7 || got.IdleSlots != 7 || workers.IdleSlots != 9 {
		t.Errorf("while it is idle: %+v, %d idle slots", got, workers.IdleSlots)
	}
	sampled := 0
	for _, w := range workers.Sample(3) {
		sampled += w.Slots
	}
	if sampled != 9 {
		t.Errorf("%d slots sampled", sampled)
	}
	table.Update(start, workerset.Of([]wire.PoolWorker{{ID: "a", Pool: "p", Zone: "z", Slots: 3}}), nil)
	workers = table.Workers(start, noWait)
	if got := table.Forecasts(&workers, []string{"p"})[0]; got.Slots != 3 || got.IdleSlots != 3 {
		t.Errorf("listed with the reported number of slots: %+v", got)
	}
}

// BenchmarkForecasts measures what forecasts add to the cost of a plan.
func BenchmarkForecasts(b *testing.B) {
	benchmark(b, func(b *testing.B, table *Table, _ int) {
		workers := table.Workers(start, noWait)
		for b.Loop() {
			table.Forecasts(&workers, table.Pools())
		}
	})
}
