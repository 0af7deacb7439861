package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sedgemast/sedgemast/internal/batchroom"
	"github.com/sedgemast/sedgemast/internal/loadshare"
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
	var loads []wire.WorkerLoad
	for _, known := range t.workers {
		if known.inFlight == 0 && known.told == 0 && known.answered == 0 && known.failed == 0 && known.steps == 0 {
			continue
		}
		loads = append(loads, wire.WorkerLoad{
			Worker: known.hash,
			Online: uint16(min(known.inFlight-known.batch, math.MaxUint16)),
			Batch:  uint16(min(known.batch-known.stopping, math.MaxUint16)),
			Unread: uint32(min(max(known.unread, 0), math.MaxUint32)),
			Told:   uint16(min(known.told, math.MaxUint16)),

			Answered: uint16(min(known.answered, math.MaxUint16)),
			Failed:   uint16(min(known.failed, math.MaxUint16)),

			Steps:      uint16(min(known.steps, math.MaxUint16)),
			StepMicros: uint32(min(known.stepTime.Microseconds(), math.MaxUint32)),
		})
		known.told, known.answered, known.failed = 0, 0, 0
		known.steps, known.stepTime = 0, 0
	}
	return loads
}

// SetOthers takes in what other processes have at the workers. A worker that is
// not named has nothing.
func (t *Table) SetOthers(now time.Time, loads []wire.WorkerLoad) { t.takeOthers(now, loads, false) }

// SetSome takes in what other processes have at some of the workers: all of the zone's,
// of which those that are not named have nothing, and some of the others. What is known
// of further ones only gets older.
func (t *Table) SetSome(now time.Time, loads []wire.WorkerLoad) { t.takeOthers(now, loads, true) }

func (t *Table) takeOthers(now time.Time, loads []wire.WorkerLoad, some bool) {
	byHash := make(map[uint32]wire.WorkerLoad, len(loads))
	for _, load := range loads {
		byHash[load.Worker] = load
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, known := range t.workers {
		load, named := byHash[known.hash]
		if some && !named && t.away(known) != 0 {
			continue
		}
		known.others, known.othersAt = load, now
		known.starts, known.stops = int(load.Start), int(load.Stop)
	}
	t.learn(now)
}

// SetOrders takes in the orders of the planner of all items, by the workers' short
// names, in place of those that came with the loads of others.
func (t *Table) SetOrders(orders map[uint32]batchroom.Order) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, known := range t.workers {
		order := orders[known.hash]
		known.starts, known.stops = order.Start, order.Stop
	}
}

// toldByOthers returns what others have at the worker, if that is known.
func (w *worker) toldByOthers(now time.Time) (wire.WorkerLoad, bool) {
	return w.others, w.fresh(now)
}

// fresh reports whether what others have at the worker is known.
func (w *worker) fresh(now time.Time) bool {
	return !w.othersAt.IsZero() && now.Sub(w.othersAt) <= loadshare.Fresh
}

// admitsBatch reports whether one more batch item fits: the planner of all items has
// granted it. While the planner is not heard, items take at most their share.
func (w *worker) admitsBatch(now time.Time, share int, memory int64) bool {
	others, known := w.toldByOthers(now)
	if w.unread+int64(others.Unread) > memory/batchUnreadParts {
		return false
	}
	if !known {
		const hundredths = 100
		return w.batch*hundredths < w.listed.Slots*share
	}
	return w.starts > 0 && w.inFlight+int(others.Online)+int(others.Batch)+w.orphaned(now) < w.listed.Slots
}

// Stops returns, by worker, how many items of this process are still to stop, as the
// planner of all items said.
func (t *Table) Stops(now time.Time) map[string]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var stops map[string]int
	for id, known := range t.workers {
		if known.stops == 0 || now.Sub(known.othersAt) > loadshare.Fresh {
			continue
		}
		if stops == nil {
			stops = map[string]int{}
		}
		stops[id] = known.stops
	}
	return stops
}

// Places returns the workers as the planner of all items sees them. patience is asked
// how long an online request of a pool may wait for items.
func (t *Table) Places(now time.Time, patience func(pool string) time.Duration) []batchroom.Place {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	places := make([]batchroom.Place, 0, len(t.workers))
	for _, known := range t.workers {
		others, _ := known.toldByOthers(now)
		orphans := known.orphaned(now)
		places = append(places, batchroom.Place{
			Worker:   known.hash,
			Slots:    known.listed.Slots,
			Online:   known.inFlight - known.batch + int(others.Online) + orphans,
			Orphans:  orphans,
			Closed:   !known.usable() || others.Failing || now.Before(known.suspectUntil),
			Hold:     t.holds[known.listed.Pool],
			Patience: patience(known.listed.Pool),
		})
	}
	slices.SortFunc(places, func(a, b batchroom.Place) int { return cmp.Compare(a.Worker, b.Worker) })
	return places
}

// Items returns how many items of this process run at each worker, by its short name,
// less those that are about to stop.
func (t *Table) Items() map[uint32]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	items := map[uint32]int{}
	for _, known := range t.workers {
		if staying := known.batch - known.stopping; staying > 0 {
			items[known.hash] = staying
		}
	}
	return items
}
