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

// forecastTable holds two pools: one of three workers with four slots each, the last of which is
// leaving, and one of a single worker.
func forecastTable() *Table {
	table := NewTable("z", rand.New(rand.NewPCG(1, 1)))
	table.Update(workerset.Of([]wire.PoolWorker{
		{ID: "a", Pool: "p", Zone: "z", Slots: 4},
		{ID: "b", Pool: "p", Zone: "z", Slots: 4},
		{ID: "c", Pool: "p", Zone: "z", Slots: 4, Leaving: true},
		{ID: "d", Pool: "q", Zone: "z", Slots: 2},
	}), nil)
	return table
}

func noWait(string) time.Duration { return 0 }

// TestForecastsCountByPool checks demand and slots of pools: waiting requests count, requests at
// a leaving worker too, and demand is capped at the number of slots.
func TestOutlooksCountByPool(t *testing.T) {
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
		places := table.Workers(start, noWait)
		outlooks := table.Forecasts(&places, table.Pools())
		if len(outlooks) != 2 || outlooks[0].Pool != "p" || outlooks[1].Pool != "q" {
			t.Fatalf("%s: %+v", test.name, outlooks)
		}
		if got := outlooks[0]; got.Online != test.online || got.IdleSlots != test.idle || got.Slots != 8 || got.ZoneSlots["z"] != 8 {
			t.Errorf("%s: %+v", test.name, got)
		}
		if got := outlooks[1]; got.Online != 0 || got.Slots != 2 || got.IdleSlots != 2 {
			t.Errorf("%s: the other pool: %+v", test.name, got)
		}
	}
}

// TestSuspectSlotsAreNotForecast checks that the slots of a worker that gave no answer don't
// count while it is avoided.
func TestClosedWorkersAreNoRoom(t *testing.T) {
	table := forecastTable()
	table.SetPeerLoads(start, nil, ScopeAll)
	table.Acquire(start, &Request{Pool: "p"}).RecordNoAnswer(start)
	places := table.Workers(start, noWait)
	if got := table.Forecasts(&places, table.Pools())[0]; got.Slots != 4 {
		t.Errorf("%d slots beside a worker that gave no answer", got.Slots)
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
				t.Errorf("last at %s, granted there %t: %+v", last, granted, lease)
			}
		}
	}
	table := forecastTable()
	if lease := table.Acquire(start, &Request{Pool: "p", Batch: true, BatchShare: 100, LastWorker: "d"}); lease.Endpoint.ID == "d" {
		t.Error("an item went to another pool")
	}
}

// TestOverloaded checks from how many requests on a worker counts as overloaded.
func TestOverfull(t *testing.T) {
	table := forecastTable()
	for count, want := range map[uint16]bool{4: false, 5: true} {
		table.SetPeerLoads(start, []wire.WorkerLoad{{Worker: loadshare.WorkerHash("a"), Online: count - 2, Batch: 2}}, ScopeAll)
		if got := table.Overloaded(start, "a"); got != want {
			t.Errorf("%d requests at 4 slots: %t", count, got)
		}
	}
	if table.Overloaded(start, "unknown") {
		t.Error("somebody waits at a worker that is not listed")
	}
}

// TestForecastsUseReportedSlots has a worker report fewer slots than listed: the whole forecast
// uses the same number as the planner's workers, whether the worker is idle or not, and the
// listed one again once that equals the reported one.
func TestOutlooksCountToldSlots(t *testing.T) {
	table := forecastTable()
	lease := table.Acquire(start, &Request{Pool: "p", Exclude: map[string]bool{"b": true}})
	lease.ApplyReport(capacity.Report{Running: 1, Slots: 3, Pace: 100})
	if table.Overloaded(start, "a") {
		t.Error("somebody waits at a worker with two slots left")
	}
	table.SetPeerLoads(start, []wire.WorkerLoad{{Worker: loadshare.WorkerHash("a"), Online: 3}}, ScopeAll)
	places := table.Workers(start, noWait)
	if got := table.Forecasts(&places, []string{"p"})[0]; got.Slots != 7 || got.IdleSlots != 4 || got.ZoneSlots["z"] != 7 || got.Online != 4 {
		t.Errorf("while it is busy: %+v", got)
	}
	if !table.Overloaded(start, "a") {
		t.Error("nobody waits at a worker with a request too many")
	}
	table.SetPeerLoads(start, []wire.WorkerLoad{{Worker: loadshare.WorkerHash("a"), Online: 30}}, ScopeAll)
	places = table.Workers(start, noWait)
	if got := table.Forecasts(&places, []string{"p"})[0]; got.Online != 7 {
		t.Errorf("need beyond the slots: %+v", got)
	}
	lease.Release()
	table.Loads()
	table.Loads()
	table.SetPeerLoads(start, nil, ScopeAll)
	places = table.Workers(start, noWait)
	if got := table.Forecasts(&places, []string{"p"})[0]; got.Slots != 7 || got.IdleSlots != 7 || places.IdleSlots != 9 {
		t.Errorf("while it is idle: %+v, %d idle slots", got, places.IdleSlots)
	}
	drawn := 0
	for _, place := range places.Sample(3) {
		drawn += place.Slots
	}
	if drawn != 9 {
		t.Errorf("%d slots drawn", drawn)
	}
	table.Update(workerset.Of([]wire.PoolWorker{{ID: "a", Pool: "p", Zone: "z", Slots: 3}}), nil)
	places = table.Workers(start, noWait)
	if got := table.Forecasts(&places, []string{"p"})[0]; got.Slots != 3 || got.IdleSlots != 3 {
		t.Errorf("listed with as many as it told: %+v", got)
	}
}

// BenchmarkOutlooks measures what forecasts add to the cost of a plan.
func BenchmarkOutlooks(b *testing.B) {
	benchmark(b, func(b *testing.B, table *Table, _ int) {
		places := table.Workers(start, noWait)
		for b.Loop() {
			table.Forecasts(&places, table.Pools())
		}
	})
}
