package batchstore

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/batchroom"
	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/tenancy"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

// tenantTable returns a configuration in which a tenant uses the job's route.
func tenantTable() *routetable.Table {
	return routetable.NewTable(&routetable.Configuration{
		Routes:  []routetable.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: routetable.KindBatch, RunGoalMillis: 20000}},
		Tenants: []routetable.Tenant{{Name: tenancy.Name("t")}},
	})
}

// setOnlineLoad reports count online requests at the only worker.
func (r *runner) setOnlineLoad(now time.Time, count int) {
	rows := []wire.WorkerLoad{{Worker: loadshare.WorkerHash("w"), Online: uint16(count)}}
	r.store.workers.SetPeerLoads(now, rows, balance.ScopeAll)
}

// TestNothingIsForecastWithoutTenants checks that nothing is forecast, and no item is held back,
// if there are no tenants and no worker reports its pace.
func TestNothingIsForecastWithoutTenants(t *testing.T) {
	r := testRunner(t, 1)
	r.store.metrics = newMetrics(prometheus.NewRegistry())
	r.setOnlineLoad(start, 1)
	workers := r.store.workers.Workers(start, func(string) time.Duration { return 0 })
	if forecasts := r.store.updateForecasts(start, table(), &workers); forecasts != nil || len(r.store.loads.forecasts) > 0 {
		t.Errorf("without tenants: %+v", forecasts)
	}
	forecasts := r.store.updateForecasts(start, tenantTable(), &workers)
	if len(forecasts) != 1 || forecasts[0].Pool != "p" || !forecasts[0].Paused || forecasts[0].Online != 1 {
		t.Errorf("with tenants: %+v", forecasts)
	}
	if r.store.updateForecasts(start, table(), &workers); len(r.store.loads.forecasts) > 0 {
		t.Error("the forecast was kept after forecasts were disabled")
	}
}

// TestPlansWithoutTenantsUseNoForecasts compares the orders of a store to those of a planner that
// has no forecasts.
func TestPlansWithoutTenantsUseNoForecasts(t *testing.T) {
	r := testRunner(t, 1)
	now := start
	for online := range 2 * slots {
		now = now.Add(leaderPollInterval)
		r.setOnlineLoad(now, online)
		got := r.store.planOrders(now, ownSource, 3, map[uint32]int{loadshare.WorkerHash("w"): 4})
		workers := r.store.workers.Workers(now, func(string) time.Duration { return 0 })
		want := r.store.loads.planner.Plan(ownSource, workers)
		if !maps.Equal(got, want) {
			t.Errorf("%d online: %+v, want %+v", online, got, want)
		}
	}
}

// TestAdvancePreemptionKeepsNearlyFinishedItems stops one of two items. If no requests wait yet,
// the item that is nearest to its end stays. If requests wait, the one with the least slack
// stays, as it does without a forecast.
func TestAdvancePreemptionKeepsNearlyFinishedItems(t *testing.T) {
	for _, overloaded := range []bool{false, true} {
		r := testRunner(t, 2)
		r.store.runTimes.addRun(5*time.Second, 100)
		fresh, nearlyDone := r.runItem(t, 0, start), r.runItem(t, 1, start)
		fresh.pool, nearlyDone.pool = "p", "p"
		r.waitingItems(start, tenantTable())
		r.savedProgress[nearlyDone.key] = progress{events: 90}
		now := start.Add(minRunTime)
		r.setOnlineLoad(now, 1)
		if overloaded {
			r.setOnlineLoad(now, slots)
		}
		r.store.workers.SetOrders(map[uint32]batchroom.Order{loadshare.WorkerHash("w"): {Stop: 1}})
		r.preempt(now, tenantTable())
		if fresh.context.Err() != nil == overloaded || nearlyDone.context.Err() != nil != overloaded {
			t.Errorf("overloaded %t: fresh item %v, nearly done item %v", overloaded, fresh.context.Err(), nearlyDone.context.Err())
		}
	}
}

// TestForecastChangesAreReportedOnce checks that reportForecast consumes the changes of a
// forecast that has learned a pattern.
func TestForecastChangesAreReportedOnce(t *testing.T) {
	r := testRunner(t, 1)
	r.store.metrics = newMetrics(prometheus.NewRegistry())
	predictor := r.store.forecastFor("p")
	const cycle, wave = 4 * time.Second, 2 * time.Second
	confident := false
	for at := time.Duration(0); at < 10*cycle; at += leaderPollInterval {
		demand := 20.0
		if at%cycle >= wave {
			demand = 200
		}
		predictor.Observe(start.Add(at), demand)
		r.store.reportForecast("p", predictor)
		confident = predictor.Peak(start.Add(at), 0).Confident
	}
	if !confident {
		t.Fatal("the pattern was not learned")
	}
	if changes := predictor.Changes(); changes.Learned || changes.Abandoned {
		t.Errorf("a change was reported twice: %+v", changes)
	}
}

// TestItemsArePreemptedBeforeWave feeds a store, as the top hub, with waves of online requests at
// 40 workers that are otherwise full of items. Once the pattern is learned, the store must order
// stops before a wave begins, about as many as it needs, spread over the workers, and none in
// the valleys.
func TestItemsArePreemptedBeforeWave(t *testing.T) {
	const (
		workers     = 40
		cycle, wave = 4 * time.Second, 2 * time.Second
		low, high   = 1, 6
		items       = 6
		stopWindow  = 60 * time.Millisecond
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
	r.store.workers.Update(clock.Now(), workerset.Of(rows), nil)
	table := tenantTable()
	planAt := func(at time.Duration) (stops, maxAtOneWorker int) {
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
		for _, order := range r.store.planOrdersWith(now, table, ownSource, 0, running) {
			stops += order.Stop
			maxAtOneWorker = max(maxAtOneWorker, order.Stop)
		}
		return stops, maxAtOneWorker
	}
	onset := 5*cycle - wave
	for at := time.Duration(0); at < onset; at += leaderPollInterval {
		stops, maxAtOneWorker := planAt(at)
		switch {
		case at >= 4*cycle+time.Second && at < onset-time.Second/2 && stops > 0:
			t.Fatalf("%s: %d stops in the valley", at, stops)
		case at < onset-stopWindow:
		case stops < workers*(high+items-slots) || maxAtOneWorker > high+items-slots+1:
			t.Errorf("%s before the wave: %d stops, %d at one worker", onset-at, stops, maxAtOneWorker)
		}
	}
}
