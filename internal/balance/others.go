package balance

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/batchroom"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Scope says of which workers news tell that are not named in them.
type Scope uint8

const (
	// ScopeAll means that workers that are not named have nothing.
	ScopeAll Scope = iota
	// ScopeZone means that those of the zone have nothing, and of others nothing is said.
	ScopeZone
	// ScopeNamed means that nothing is said of workers that are not named. Such news take the
	// place of the last ones: drawn anew for each choice, those of earlier choices would be
	// many more than those of now (met a full worker: 19 of 100 requests of a wave, in place
	// of one; TestWavesSpread).
	ScopeNamed
)

// SetUnlistedRate takes in how many online requests workers that news leave out answer in ten
// seconds, together. It counts from the next news on.
func (t *Table) SetUnlistedRate(rate int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.rest = rate
}

// SetPeerLoads takes in what other processes have at the workers. It costs as much as there
// are rows in this news and the last ones.
func (t *Table) SetPeerLoads(now time.Time, loads []wire.WorkerLoad, scope Scope) {
	if scope == ScopeNamed && len(loads) == 0 {
		// It answers a report that was not about a choice, and says nothing.
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.see(now)
	t.dropTold(now, scope)
	switch scope {
	case ScopeAll:
		t.allAt = now
	case ScopeZone:
		t.nearAt = now
	}
	for i := range loads {
		known := t.byHash[loads[i].Worker]
		if known == nil {
			continue
		}
		t.tell(known)
		known.others, known.othersAt = loads[i], now
		t.order(known, int(loads[i].Start), int(loads[i].Stop))
	}
	t.learn(now)
}

// tell keeps the worker among those that something was told of.
func (t *Table) tell(w *worker) {
	if !w.told {
		w.told = true
		t.told = append(t.told, w)
	}
}

// dropTold forgets what was told before and is told anew by news of the scope, and what
// is too old.
func (t *Table) dropTold(now time.Time, scope Scope) {
	kept := t.told[:0]
	for _, known := range t.told {
		covered := scope != ScopeZone || t.away(known) == 0
		if !covered && now.Sub(known.othersAt) <= loadshare.ReportTTL {
			kept = append(kept, known)
			continue
		}
		known.told = false
		known.others, known.othersAt = wire.WorkerLoad{}, time.Time{}
		known.starts, known.stops = 0, 0
	}
	clear(t.told[len(kept):])
	t.told = kept
	if scope == ScopeAll {
		t.dropOrders()
	}
}

// order takes in what the planner of all items wants at a worker.
func (t *Table) order(w *worker, starts, stops int) {
	w.starts, w.stops = starts, stops
	if starts+stops > 0 && !w.ordered {
		w.ordered = true
		t.ordered = append(t.ordered, w)
	}
}

func (t *Table) dropOrders() {
	for _, known := range t.ordered {
		known.ordered = false
		known.starts, known.stops = 0, 0
	}
	clear(t.ordered)
	t.ordered = t.ordered[:0]
}

// SetOrders takes in the orders of the planner of all items, by the workers' short
// names, in place of those that came with the loads of others.
func (t *Table) SetOrders(orders map[uint32]batchroom.Order) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.dropOrders()
	for hash, order := range orders {
		if known := t.byHash[hash]; known != nil {
			t.order(known, order.Start, order.Stop)
		}
	}
}

// othersAt returns when it was last told what others have at the worker.
func (t *Table) othersAt(w *worker) time.Time {
	at := later(w.othersAt, t.allAt)
	if t.away(w) == 0 {
		at = later(at, t.nearAt)
	}
	return at
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// fresh reports whether what others have at the worker is known.
func (t *Table) fresh(now time.Time, w *worker) bool { return freshAt(now, t.othersAt(w)) }

func freshAt(now, at time.Time) bool { return !at.IsZero() && now.Sub(at) <= loadshare.ReportTTL }

// toldByOthers returns what others have at the worker, if that is known.
func (t *Table) toldByOthers(now time.Time, w *worker) (wire.WorkerLoad, bool) {
	return w.others, t.fresh(now, w)
}
