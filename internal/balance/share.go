package balance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/sedgemast/sedgemast/internal/batchroom"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// batchUnreadParts says how many prompt tokens may wait to be read at a
	// worker when a batch item is added: one for so many of its memory. Items
	// that start all at once, as after the loss of a store, would hold back the
	// first events of online requests.
	batchUnreadParts = 64
)

// Loads returns what this process has at each worker, and what workers have said
// of themselves since the last call.
func (t *Table) Loads() []wire.WorkerLoad {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	kept := t.busy[:0]
	var loads []wire.WorkerLoad
	for _, known := range t.busy {
		if known.quiet() {
			known.busy = false
			continue
		}
		kept = append(kept, known)
		if known.gone(t) {
			continue
		}
		loads = append(loads, wire.WorkerLoad{
			Worker: known.hash,
			Online: uint16(min(known.inFlight-known.batch, math.MaxUint16)),
			Batch:  uint16(min(known.batch-known.stopping, math.MaxUint16)),
			Unread: uint32(min(max(known.unread, 0), math.MaxUint32)),
			Told:   uint16(min(known.claimed, math.MaxUint16)),

			Answered: uint16(min(known.answered, math.MaxUint16)),
			Failed:   uint16(min(known.failed, math.MaxUint16)),

			Steps:      uint16(min(known.steps, math.MaxUint16)),
			StepMicros: uint32(min(known.stepTime.Microseconds(), math.MaxUint32)),
		})
		known.claimed, known.answered, known.failed = 0, 0, 0
		known.steps, known.stepTime = 0, 0
	}
	clear(t.busy[len(kept):])
	t.busy = kept
	return loads
}

// admitsBatch reports whether one more batch item fits: the planner of all items has
// granted it. While the planner is not heard, items take at most their share.
func (t *Table) admitsBatch(now time.Time, w *worker, share int) bool {
	others, known := t.toldByOthers(now, w)
	if w.unread+int64(others.Unread) > t.memoryOf(w.listed.Pool)/batchUnreadParts {
		return false
	}
	if !known {
		const hundredths = 100
		return w.batch*hundredths < w.listed.Slots*share
	}
	return w.starts > 0 && w.inFlight+int(others.Online)+int(others.Batch)+t.orphaned(now, w) < t.slotsOf(w)
}

// PendingStops returns, by worker, how many items of this process are still to stop, as the
// planner of all items said.
func (t *Table) PendingStops(now time.Time) map[string]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var stops map[string]int
	for _, known := range t.ordered {
		if known.stops == 0 || !t.fresh(now, known) {
			continue
		}
		if stops == nil {
			stops = map[string]int{}
		}
		stops[known.listed.ID] = known.stops
	}
	return stops
}

// Workers returns the workers as the planner of all items sees them: those where anything
// is one by one, and the idle ones together. patience is asked how long an online request
// of a pool may wait for items.
func (t *Table) Workers(now time.Time, patience func(pool string) time.Duration) batchroom.Workers {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.see(now)
	places := batchroom.Workers{Sample: t.drawIdle}
	busy := map[*worker]bool{}
	for _, list := range [][]*worker{t.told, t.busy, t.suspected(now)} {
		for _, known := range list {
			if !busy[known] && !known.gone(t) {
				busy[known] = true
				places.Busy = append(places.Busy, t.placeOf(now, known, patience))
			}
		}
	}
	for name, known := range t.pools {
		slots, _ := t.slotsOfPool(known, name)
		places.IdleWorkers += known.usable()
		places.IdleSlots += slots
	}
	for known := range busy {
		if known.entered {
			places.IdleWorkers--
			places.IdleSlots -= t.slotsOf(known)
		}
	}
	slices.SortFunc(places.Busy, func(a, b batchroom.Worker) int { return cmp.Compare(a.ShortName, b.ShortName) })
	return places
}

func (t *Table) placeOf(now time.Time, w *worker, patience func(pool string) time.Duration) batchroom.Worker {
	others, _ := t.toldByOthers(now, w)
	orphans := t.orphaned(now, w)
	return batchroom.Worker{
		ShortName: w.hash,
		Pool:      w.listed.Pool,
		Zone:      w.listed.Zone,
		Slots:     t.slotsOf(w),
		Online:    w.inFlight - w.batch + int(others.Online) + orphans,
		Orphans:   orphans,
		Closed:    !w.usable() || others.Failing || now.Before(w.suspectUntil),
		Probe:     w.usable() && others.Failing && !now.Before(w.suspectUntil),
		HoldTime:  t.holdOf(w),
		MaxWait:   patience(w.listed.Pool),
	}
}

// suspected returns the workers that gave no answer lately.
func (t *Table) suspected(now time.Time) []*worker {
	t.suspects = slices.DeleteFunc(t.suspects, func(w *worker) bool {
		if now.Before(w.suspectUntil) {
			return false
		}
		w.suspectUntil = time.Time{}
		return true
	})
	return t.suspects
}

// mostListed is up to how many workers all idle ones are listed, so that a plan for a small
// fleet sees each.
const mostListed = 256

// drawIdle returns idle workers, all of a small fleet, else so many of them: of each pool
// in proportion to its size, from a place drawn by lot on.
func (t *Table) drawIdle(count int) []batchroom.Worker {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	total := 0
	for _, known := range t.pools {
		total += known.usable()
	}
	if total <= mostListed {
		count = total
	}
	var drawn []batchroom.Worker
	for _, name := range slices.Sorted(maps.Keys(t.pools)) {
		known := t.pools[name]
		share := 0
		if total > 0 {
			share = (count*known.usable() + total - 1) / total
		}
		drawn = t.drawFrom(known, share, drawn)
	}
	return drawn
}

// drawFrom adds so many idle workers of a pool.
func (t *Table) drawFrom(known *pool, count int, drawn []batchroom.Worker) []batchroom.Worker {
	all := known.usable()
	if all == 0 {
		return drawn
	}
	first := t.random.IntN(all)
	for i := 0; i < all && count > 0; i++ {
		if w := known.at((first + i) % all); !w.told && !w.busy && w.suspectUntil.IsZero() {
			drawn = append(drawn, batchroom.Worker{ShortName: w.hash, Pool: w.listed.Pool, Zone: w.listed.Zone, Slots: t.slotsOf(w)})
			count--
		}
	}
	return drawn
}

// Items returns how many items of this process run at each worker, by its short name,
// less those that are about to stop.
func (t *Table) Items() map[uint32]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	items := map[uint32]int{}
	for _, known := range t.busy {
		if staying := known.batch - known.stopping; staying > 0 && !known.gone(t) {
			items[known.hash] = staying
		}
	}
	return items
}
