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

// Forecasts returns what is known of the present of the pools: their slots, and the need of
// online requests. Those that wait count as need, because each will hold a slot; the need
// ends at the slots of the pool, because no more room could be made for it. Who forecasts
// adds what is to come.
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
		slots, byZone := t.slotsOfPool(known, name)
		most[len(outlooks)] = slots
		outlooks = append(outlooks, batchroom.Forecast{Pool: name, Slots: slots, IdleSlots: slots, ZoneSlots: byZone})
	}
	for i := range places.Busy {
		place := &places.Busy[i]
		if number, wanted := numbers[place.Pool]; wanted {
			most[number] += t.addTo(&outlooks[number], place)
		}
	}
	for i := range outlooks {
		outlooks[i].Online = min(outlooks[i].Online, most[i])
	}
	return outlooks
}

// addTo adds a place to its pool's outlook, and returns how many slots it has that are not
// among the pool's: a worker that is leaving has some.
func (t *Table) addTo(outlook *batchroom.Forecast, place *batchroom.Worker) int {
	outlook.Online += place.Online
	known := t.byHash[place.ShortName]
	if known == nil || !known.entered {
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
	others, _ := t.toldByOthers(now, known)
	return known.inFlight+int(others.Online)+int(others.Batch)+t.orphaned(now, known) > t.slotsOf(known)
}

// lastOf returns the worker that an item ran at before, if it may start there again: its
// prompt need not be read again then.
func (t *Table) lastOf(now time.Time, demand *Request) *worker {
	known := t.workers[demand.LastWorker]
	if known == nil || known.listed.Pool != demand.Pool || !t.admits(now, known, demand, false) || t.failing(now, known) {
		return nil
	}
	return known
}
