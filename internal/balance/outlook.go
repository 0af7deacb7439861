package balance

import (
	"maps"
	"slices"
	"time"

	"github.com/sedgemast/sedgemast/internal/batchroom"
)

// Outlooks returns what is known of the present of each pool: its slots, and the need of
// online requests. Those that wait count as need, because each will hold a slot; the need
// ends at the slots of the pool, because no more room could be made for it. Who forecasts
// adds what is to come.
func (t *Table) Outlooks(places *batchroom.Places) []batchroom.Outlook {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	outlooks := make([]batchroom.Outlook, 0, len(t.pools))
	for _, name := range slices.Sorted(maps.Keys(t.pools)) {
		outlooks = append(outlooks, t.outlookOf(name, places))
	}
	return outlooks
}

func (t *Table) outlookOf(name string, places *batchroom.Places) batchroom.Outlook {
	all := t.pools[name].slots
	outlook := batchroom.Outlook{Pool: name, Slots: all, IdleSlots: all}
	for i := range places.Busy {
		place := &places.Busy[i]
		if place.Pool != name {
			continue
		}
		outlook.Online += place.Online
		if known := t.byHash[place.Worker]; known == nil || !known.entered {
			all += place.Slots
			continue
		}
		outlook.IdleSlots -= place.Slots
		if place.Closed {
			outlook.Slots -= place.Slots
		}
	}
	outlook.Online = min(outlook.Online, all)
	return outlook
}

// Overfull reports whether requests wait for a slot at the worker, as far as is known.
func (t *Table) Overfull(now time.Time, id string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.workers[id]
	if known == nil {
		return false
	}
	others, _ := t.toldByOthers(now, known)
	return known.inFlight+int(others.Online)+int(others.Batch)+t.orphaned(now, known) > known.listed.Slots
}

// lastOf returns the worker that an item ran at before, if it may start there again: its
// prompt need not be read again then.
func (t *Table) lastOf(now time.Time, demand *Demand) *worker {
	known := t.workers[demand.Last]
	if known == nil || known.listed.Pool != demand.Pool || !t.admits(now, known, demand, false) || t.failing(now, known) {
		return nil
	}
	return known
}
