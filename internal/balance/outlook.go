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
func (t *Table) Forecasts(places *batchroom.Workers, pools []string) []batchroom.Forecast {
	if len(pools) == 0 {
		return nil
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	outlooks := make([]batchroom.Forecast, 0, len(pools))
	numbers := make(map[string]int, len(pools))
	most := make([]int, len(pools))
	for _, name := range pools {
		known := t.pools[name]
		if known == nil {
			continue
		}
		numbers[name] = len(outlooks)
		slots, byZone := t.poolSlots(known, name)
		most[len(outlooks)] = slots
		outlooks = append(outlooks, batchroom.Forecast{Pool: name, Slots: slots, IdleSlots: slots, ZoneSlots: byZone})
	}
	for i := range places.Busy {
		place := &places.Busy[i]
		if number, wanted := numbers[place.Pool]; wanted {
			most[number] += t.addToForecast(&outlooks[number], place)
		}
	}
	for i := range outlooks {
		outlooks[i].Online = min(outlooks[i].Online, most[i])
	}
	return outlooks
}

// addToForecast adds a worker to the forecast of its pool. It returns the number of slots that
// the pool's total doesn't include, such as those of a worker that is leaving.
func (t *Table) addToForecast(outlook *batchroom.Forecast, place *batchroom.Worker) int {
	outlook.Online += place.Online
	known := t.byHash[place.ShortName]
	if known == nil || !known.inGroup {
		return place.Slots
	}
	outlook.IdleSlots -= place.Slots
	if place.Closed {
		outlook.Slots -= place.Slots
	}
	return 0
}

// Overloaded reports whether requests wait for a slot at the worker, as far as is known.
func (t *Table) Overloaded(now time.Time, id string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.workers[id]
	if known == nil {
		return false
	}
	others, _ := t.peerLoadOf(now, known)
	return known.inFlight+int(others.Online)+int(others.Batch)+t.orphansAt(now, known) > t.effectiveSlots(known)
}

// previousWorker returns the worker at which an item ran before, if it may start there again. Its
// prompt may still be cached there.
func (t *Table) previousWorker(now time.Time, demand *Request) *worker {
	known := t.workers[demand.LastWorker]
	if known == nil || known.listed.Pool != demand.Pool || !t.admits(now, known, demand, false) || t.failing(now, known) {
		return nil
	}
	return known
}
