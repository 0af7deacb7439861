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
	// batchPendingDivisor limits the prompt tokens that may be pending at a worker when a batch
	// item starts: 1/batchPendingDivisor of its memory. Items that all start at once, as after
	// the loss of a store, would otherwise delay the first events of online requests.
	batchPendingDivisor = 64
)

// Loads returns this process's load at each worker, and what it has observed of the workers and
// they have reported since the last call.
func (t *Table) Loads() []wire.WorkerLoad {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	kept := t.busy[:0]
	var loads []wire.WorkerLoad
	for _, known := range t.busy {
		if known.nothingToReport() {
			known.busy = false
			continue
		}
		kept = append(kept, known)
		if known.unlisted(t) {
			continue
		}
		loads = append(loads, wire.WorkerLoad{
			Worker: known.hash,
			Online: uint16(min(known.inFlight-known.batch, math.MaxUint16)),
			Batch:  uint16(min(known.batch-known.stopping, math.MaxUint16)),
			Unread: uint32(min(max(known.pendingTokens, 0), math.MaxUint32)),
			Told:   uint16(min(known.reportedRequests, math.MaxUint16)),

			Answered: uint16(min(known.answered, math.MaxUint16)),
			Failed:   uint16(min(known.failed, math.MaxUint16)),

			Steps:      uint16(min(known.intervals, math.MaxUint16)),
			StepMicros: uint32(min(known.intervalSum.Microseconds(), math.MaxUint32)),
		})
		known.reportedRequests, known.answered, known.failed = 0, 0, 0
		known.intervals, known.intervalSum = 0, 0
	}
	clear(t.busy[len(kept):])
	t.busy = kept
	return loads
}

// admitsBatch reports whether the worker may start one more batch item, that is, whether the
// batch planner has granted one. Without fresh loads from the planner, items use at most share
// hundredths of the slots.
func (t *Table) admitsBatch(now time.Time, w *worker, share int) bool {
	others, known := t.peerLoadOf(now, w)
	if w.pendingTokens+int64(others.Unread) > t.memoryOf(w.listed.Pool)/batchPendingDivisor {
		return false
	}
	if !known {
		const hundredths = 100
		return w.batch*hundredths < w.listed.Slots*share
	}
	return w.startGrants > 0 && w.inFlight+int(others.Online)+int(others.Batch)+t.orphansAt(now, w) < t.effectiveSlots(w)
}

// PendingStops returns, by worker id, how many items of this process the batch planner still
// wants stopped.
func (t *Table) PendingStops(now time.Time) map[string]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var stops map[string]int
	for _, known := range t.withOrders {
		if known.pendingStops == 0 || !t.hasFreshPeerLoad(now, known) {
			continue
		}
		if stops == nil {
			stops = map[string]int{}
		}
		stops[known.listed.ID] = known.pendingStops
	}
	return stops
}

// Workers returns the batch planner's view of the workers: those with requests one by one, and
// the idle ones as totals. maxWait returns how long an online request of a pool may wait for
// items to be preempted.
func (t *Table) Workers(now time.Time, patience func(pool string) time.Duration) batchroom.Workers {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.advanceClock(now)
	places := batchroom.Workers{Sample: t.sampleIdle}
	busy := map[*worker]bool{}
	for _, list := range [][]*worker{t.peerLoaded, t.busy, t.currentSuspects(now)} {
		for _, known := range list {
			if !busy[known] && !known.unlisted(t) {
				busy[known] = true
				places.Busy = append(places.Busy, t.plannerWorker(now, known, patience))
			}
		}
	}
	for name, known := range t.pools {
		slots, _ := t.poolSlots(known, name)
		places.IdleWorkers += known.usableCount()
		places.IdleSlots += slots
	}
	for known := range busy {
		if known.inGroup {
			places.IdleWorkers--
			places.IdleSlots -= t.effectiveSlots(known)
		}
	}
	slices.SortFunc(places.Busy, func(a, b batchroom.Worker) int { return cmp.Compare(a.ShortName, b.ShortName) })
	return places
}

func (t *Table) plannerWorker(now time.Time, w *worker, patience func(pool string) time.Duration) batchroom.Worker {
	others, _ := t.peerLoadOf(now, w)
	orphans := t.orphansAt(now, w)
	return batchroom.Worker{
		ShortName: w.hash,
		Pool:      w.listed.Pool,
		Zone:      w.listed.Zone,
		Slots:     t.effectiveSlots(w),
		Online:    w.inFlight - w.batch + int(others.Online) + orphans,
		Orphans:   orphans,
		Closed:    !w.usable() || others.Failing || now.Before(w.suspectUntil),
		Probe:     w.usable() && others.Failing && !now.Before(w.suspectUntil),
		HoldTime:  t.holdTimeOf(w),
		MaxWait:   patience(w.listed.Pool),
	}
}

// currentSuspects returns the workers that recently gave no answer.
func (t *Table) currentSuspects(now time.Time) []*worker {
	t.suspects = slices.DeleteFunc(t.suspects, func(w *worker) bool {
		if now.Before(w.suspectUntil) {
			return false
		}
		w.suspectUntil = time.Time{}
		return true
	})
	return t.suspects
}

// maxIdleListed is the number of workers up to which sampleIdle returns all idle ones, so that a
// plan for a small fleet covers every worker.
const maxIdleListed = 256

// sampleIdle returns count idle workers, or all of them in a small fleet. Each pool contributes
// in proportion to its size.
func (t *Table) sampleIdle(count int) []batchroom.Worker {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	total := 0
	for _, known := range t.pools {
		total += known.usableCount()
	}
	if total <= maxIdleListed {
		count = total
	}
	var drawn []batchroom.Worker
	for _, name := range slices.Sorted(maps.Keys(t.pools)) {
		known := t.pools[name]
		share := 0
		if total > 0 {
			share = (count*known.usableCount() + total - 1) / total
		}
		drawn = t.sampleIdleOf(known, share, drawn)
	}
	return drawn
}

// sampleIdleOf appends up to count idle workers of a pool to sampled, starting at a random index.
func (t *Table) sampleIdleOf(known *pool, count int, drawn []batchroom.Worker) []batchroom.Worker {
	all := known.usableCount()
	if all == 0 {
		return drawn
	}
	first := t.random.IntN(all)
	for i := 0; i < all && count > 0; i++ {
		if w := known.at((first + i) % all); !w.hasPeerLoad && !w.busy && w.suspectUntil.IsZero() {
			drawn = append(drawn, batchroom.Worker{ShortName: w.hash, Pool: w.listed.Pool, Zone: w.listed.Zone, Slots: t.effectiveSlots(w)})
			count--
		}
	}
	return drawn
}

// Items returns the number of this process's items at each worker, by short name, without those
// that are about to stop.
func (t *Table) Items() map[uint32]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	items := map[uint32]int{}
	for _, known := range t.busy {
		if staying := known.batch - known.stopping; staying > 0 && !known.unlisted(t) {
			items[known.hash] = staying
		}
	}
	return items
}
