package balance

import (
	"maps"
	"slices"
	"time"

	"github.com/sedgemast/sedgemast/internal/batchroom"
)

// Pools returns the names of all pools, sorted.
func (t *Table) Pools() []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.Sorted(maps.Keys(t.pools))
}

// Forecasts returns the current state of the pools as a base for forecasts: their slots and their
// online demand. Waiting requests count as demand, because each will hold a slot. Demand is
// capped at the slots of the pool, because no more capacity could be freed for it. The caller
// adds the expected change.
func (t *Table) Forecasts(workers *batchroom.Workers, pools []string) []batchroom.Forecast {
	if len(pools) == 0 {
		return nil
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	forecasts := make([]batchroom.Forecast, 0, len(pools))
	indexes := make(map[string]int, len(pools))
	caps := make([]int, len(pools))
	for _, name := range pools {
		p := t.pools[name]
		if p == nil {
			continue
		}
		indexes[name] = len(forecasts)
		slots, byZone := t.poolSlots(p, name)
		caps[len(forecasts)] = slots
		forecasts = append(forecasts, batchroom.Forecast{Pool: name, Slots: slots, IdleSlots: slots, ZoneSlots: byZone})
	}
	for i := range workers.Busy {
		w := &workers.Busy[i]
		if index, ok := indexes[w.Pool]; ok {
			caps[index] += t.addToForecast(&forecasts[index], w)
		}
	}
	for i := range forecasts {
		forecasts[i].Online = min(forecasts[i].Online, caps[i])
	}
	return forecasts
}

// addToForecast adds a worker to the forecast of its pool. If the pool's total doesn't include the
// worker's slots, for example because it is leaving, it returns their number, otherwise zero.
func (t *Table) addToForecast(forecast *batchroom.Forecast, row *batchroom.Worker) int {
	forecast.Online += row.Online
	w := t.byHash[row.ShortName]
	if w == nil || !w.inGroup {
		return row.Slots
	}
	forecast.IdleSlots -= row.Slots
	if row.Closed {
		forecast.Slots -= row.Slots
	}
	return 0
}

// Overloaded reports whether requests wait for a slot at the worker, as far as is known.
func (t *Table) Overloaded(now time.Time, id string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	w := t.workers[id]
	if w == nil {
		return false
	}
	load, _ := t.peerLoadOf(now, w)
	return w.inFlight+int(load.Online)+int(load.Batch)+t.orphansAt(now, w) > t.effectiveSlots(w)
}

// previousWorker returns the worker at which an item ran before, if it may start there again. Its
// prompt may still be cached there.
func (t *Table) previousWorker(now time.Time, request *Request) *worker {
	w := t.workers[request.LastWorker]
	if w == nil || w.listed.Pool != request.Pool || !t.admits(now, w, request, false) || t.failing(now, w) {
		return nil
	}
	return w
}
