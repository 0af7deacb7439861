package balance

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/batchroom"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Scope says what peer loads imply about the workers that they don't name.
type Scope uint8

const (
	// ScopeAll means that workers that are not named have no requests.
	ScopeAll Scope = iota
	// ScopeZone means that workers of this zone that are not named have no requests; nothing is
	// implied about other zones.
	ScopeZone
	// ScopeNamed means that nothing is implied about workers that are not named. The named loads
	// still replace all earlier peer loads. The named workers are a new sample for each choice; if
	// the earlier samples were kept, these outdated loads would far outnumber the current ones.
	// Keeping them raised the requests of a wave that met a full worker from 1 to 19 in 100
	// (TestWavesSpread).
	ScopeNamed
)

// SetUnlistedRate sets the rate of online requests, per rateSeconds, that all workers without a
// listed peer load answer together. It takes effect with the next SetPeerLoads.
func (t *Table) SetUnlistedRate(rate int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.unlistedRate = rate
}

// SetPeerLoads replaces what is known of other processes' requests at the workers. The cost is
// proportional to the number of rows in the new loads and in the loads that they replace.
func (t *Table) SetPeerLoads(now time.Time, loads []wire.WorkerLoad, scope Scope) {
	if scope == ScopeNamed && len(loads) == 0 {
		// This answers a report that was not about a choice, so it carries no loads.
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.advanceClock(now)
	t.dropPeerLoads(now, scope)
	switch scope {
	case ScopeAll:
		t.allLoadsAt = now
	case ScopeZone:
		t.zoneLoadsAt = now
	}
	for i := range loads {
		w := t.byHash[loads[i].Worker]
		if w == nil {
			continue
		}
		t.markPeerLoaded(w)
		w.peerLoad, w.peerLoadAt = loads[i], now
		t.setOrder(w, int(loads[i].Start), int(loads[i].Stop))
	}
	t.updatePools(now)
}

// markPeerLoaded adds the worker to t.peerLoaded, the list of workers at which other processes have
// reported a load.
func (t *Table) markPeerLoaded(w *worker) {
	if !w.hasPeerLoad {
		w.hasPeerLoad = true
		t.peerLoaded = append(t.peerLoaded, w)
	}
}

// dropPeerLoads removes the peer loads that have expired, and those that new loads of the given
// scope replace.
func (t *Table) dropPeerLoads(now time.Time, scope Scope) {
	kept := t.peerLoaded[:0]
	for _, w := range t.peerLoaded {
		covered := scope != ScopeZone || t.zoneDistance(w) == 0
		if !covered && now.Sub(w.peerLoadAt) <= loadshare.ReportTTL {
			kept = append(kept, w)
			continue
		}
		w.hasPeerLoad = false
		w.peerLoad, w.peerLoadAt = wire.WorkerLoad{}, time.Time{}
		w.startGrants, w.pendingStops = 0, 0
	}
	clear(t.peerLoaded[len(kept):])
	t.peerLoaded = kept
	if scope == ScopeAll {
		t.dropOrders()
	}
}

// setOrder sets how many items the batch planner wants started and stopped at a worker.
func (t *Table) setOrder(w *worker, starts, stops int) {
	w.startGrants, w.pendingStops = starts, stops
	if starts+stops > 0 && !w.hasOrder {
		w.hasOrder = true
		t.withOrders = append(t.withOrders, w)
	}
}

func (t *Table) dropOrders() {
	for _, w := range t.withOrders {
		w.hasOrder = false
		w.startGrants, w.pendingStops = 0, 0
	}
	clear(t.withOrders)
	t.withOrders = t.withOrders[:0]
}

// SetOrders replaces all orders of the batch planner, also those that came with peer loads. The new
// orders are keyed by the workers' short names.
func (t *Table) SetOrders(orders map[uint32]batchroom.Order) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.dropOrders()
	for hash, order := range orders {
		if w := t.byHash[hash]; w != nil {
			t.setOrder(w, order.Start, order.Stop)
		}
	}
}

// peerLoadTime returns when the peer load of the worker was last updated.
func (t *Table) peerLoadTime(w *worker) time.Time {
	at := later(w.peerLoadAt, t.allLoadsAt)
	if t.zoneDistance(w) == 0 {
		at = later(at, t.zoneLoadsAt)
	}
	return at
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// hasFreshPeerLoad reports whether the load of other processes at the worker is known.
func (t *Table) hasFreshPeerLoad(now time.Time, w *worker) bool {
	return isFresh(now, t.peerLoadTime(w))
}

func isFresh(now, at time.Time) bool { return !at.IsZero() && now.Sub(at) <= loadshare.ReportTTL }

// peerLoadOf returns the load of other processes at the worker, and whether it is known.
func (t *Table) peerLoadOf(now time.Time, w *worker) (wire.WorkerLoad, bool) {
	return w.peerLoad, t.hasFreshPeerLoad(now, w)
}
