package batchstore

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/batchroom"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/tenancy"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

// tenants is a configuration in which the job's route is used by a tenant.
func tenants() *routetable.Table {
	return routetable.NewTable(&routetable.Configuration{
		Routes:  []routetable.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: routetable.KindBatch, RunGoalMillis: 20000}},
		Tenants: []routetable.Tenant{{Name: tenancy.Name("t")}},
	})
}

// online tells that so many online requests are at the only worker.
func (r *runner) online(now time.Time, count int) {
	rows := []wire.WorkerLoad{{Worker: loadshare.WorkerHash("w"), Online: uint16(count)}}
	r.store.workers.SetPeerLoads(now, rows, balance.ScopeAll)
}

// TestNothingIsForecastWithoutTenants checks the switch: where nobody is named and no
// worker tells its pace, nothing is forecast, and nothing is held back.
func TestNothingIsForecastWithoutTenants(t *testing.T) {
	r := testRunner(t, 1)
	r.store.metrics = newMetrics(prometheus.NewRegistry())
	r.online(start, 1)
	places := r.store.workers.Workers(start, func(string) time.Duration { return 0 })
	if outlooks := r.store.foresee(start, table(), &places); outlooks != nil || len(r.store.loads.forecasts) > 0 {
		t.Errorf("without tenants: %+v", outlooks)
	}
	outlooks := r.store.foresee(start, tenants(), &places)
	if len(outlooks) != 1 || outlooks[0].Pool != "p" || !outlooks[0].Paused || outlooks[0].Online != 1 {
		t.Errorf("with tenants: %+v", outlooks)
	}
	if r.store.foresee(start, table(), &places); len(r.store.loads.forecasts) > 0 {
		t.Error("the forecast is kept once it is switched off")
	}
}

// TestPlansWithoutTenantsAreAsBefore compares orders of a store to those of a planner that
// is told of no outlook.
func TestPlansWithoutTenantsAreAsBefore(t *testing.T) {
	r := testRunner(t, 1)
	now := start
	for online := range 2 * slots {
		now = now.Add(runInterval)
		r.online(now, online)
		got := r.store.order(now, ownSource, 3, map[uint32]int{loadshare.WorkerHash("w"): 4})
		places := r.store.workers.Workers(now, func(string) time.Duration { return 0 })
		want := r.store.loads.planner.Plan(ownSource, places)
		if !maps.Equal(got, want) {
			t.Errorf("%d online: %+v, want %+v", online, got, want)
		}
	}
}

// TestWhoLeavesAheadIsChosen lets a planner stop items where nobody waits: the one that is
// nearest to its end stays. Where requests wait the one with the least slack stays, as it
// does without a forecast.
func TestWhoLeavesAheadIsChosen(t *testing.T) {
	for _, crowded := range []bool{false, true} {
		r := testRunner(t, 2)
		r.store.runTimes.add(5*time.Second, 100)
		long, ending := r.runItem(t, 0, start), r.runItem(t, 1, start)
		long.pool, ending.pool = "p", "p"
		r.order(start, tenants())
		r.carried[ending.key] = carry{events: 90}
		now := start.Add(leastRun)
		r.online(now, 1)
		if crowded {
			r.online(now, slots)
		}
		r.store.workers.SetOrders(map[uint32]batchroom.Order{loadshare.WorkerHash("w"): {Stop: 1}})
		r.yield(now, tenants())
		if long.context.Err() != nil == crowded || ending.context.Err() != nil != crowded {
			t.Errorf("crowded %t: long %v, ending %v", crowded, long.context.Err(), ending.context.Err())
		}
	}
}

// TestForecastIsTold checks that a pattern that is learnt and one that is given up are
// known to whoever reads the score.
func TestForecastIsTold(t *testing.T) {
	r := testRunner(t, 1)
	r.store.metrics = newMetrics(prometheus.NewRegistry())
	known := r.store.forecastOf("p")
	const cycle, wave = 4 * time.Second, 2 * time.Second
	sure := false
	for at := time.Duration(0); at < 10*cycle; at += runInterval {
		need := 20.0
		if at%cycle >= wave {
			need = 200
		}
		known.Observe(start.Add(at), need)
		r.store.tellForecast("p", known)
		sure = known.Peak(start.Add(at), 0).Confident
	}
	if !sure {
		t.Fatal("the pattern is not learnt")
	}
	if news := known.Changes(); news.Learned || news.Abandoned {
		t.Errorf("what was told is told again: %+v", news)
	}
}

// TestItemsLeaveBeforeAWave feeds a store, as the top hub, with waves at 40 workers that are
// full of items otherwise: once the pattern is known it orders stops before the wave begins,
// about as many as it needs, spread over the workers; and none in the valley.
func TestItemsLeaveBeforeAWave(t *testing.T) {
	const (
		workers     = 40
		cycle, wave = 4 * time.Second, 2 * time.Second
		low, high   = 1, 6
		items       = 6
		before      = 60 * time.Millisecond
	)
	r := testRunner(t, 1)
	r.store.metrics = newMetrics(prometheus.NewRegistry())
	var rows []wire.PoolWorker
	running := map[uint32]int{}
	for number := range workers {
		id := fmt.Sprint(number)
		rows = append(rows, wire.PoolWorker{ID: id, Pool: "p", Zone: "z", Slots: slots})
		running[loadshare.WorkerHash(id)] = items
	}
	r.store.workers.Update(workerset.Of(rows), nil)
	table := tenants()
	planAt := func(at time.Duration) (stops, most int) {
		count := low
		if at%cycle >= cycle-wave {
			count = high
		}
		now := start.Add(at)
		loads := make([]wire.WorkerLoad, 0, workers)
		for worker := range running {
			loads = append(loads, wire.WorkerLoad{Worker: worker, Online: uint16(count)})
		}
		r.store.workers.SetPeerLoads(now, loads, balance.ScopeAll)
		for _, order := range r.store.orderBy(now, table, ownSource, 0, running) {
			stops += order.Stop
			most = max(most, order.Stop)
		}
		return stops, most
	}
	begin := 5*cycle - wave
	for at := time.Duration(0); at < begin; at += runInterval {
		stops, most := planAt(at)
		switch {
		case at >= 4*cycle+time.Second && at < begin-time.Second/2 && stops > 0:
			t.Fatalf("%s: %d stops in the valley", at, stops)
		case at < begin-before:
		case stops < workers*(high+items-slots) || most > high+items-slots+1:
			t.Errorf("%s before the wave: %d stops, %d at one worker", begin-at, stops, most)
		}
	}
}
