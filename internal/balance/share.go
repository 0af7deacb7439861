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

// Loads returns this process's load at each worker, what this process has observed of the workers
// since the last call, and what the workers have reported about themselves since then.
func (t *Table) Loads() []wire.WorkerLoad {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	kept := t.busy[:0]
	var loads []wire.WorkerLoad
	for _, w := range t.busy {
		if w.nothingToReport() {
			w.busy = false
			continue
		}
		kept = append(kept, w)
		if w.unlisted(t) {
			continue
		}
		loads = append(loads, wire.WorkerLoad{
			Worker: w.hash,
			Online: uint16(min(w.inFlight-w.batch, math.MaxUint16)),
			Batch:  uint16(min(w.batch-w.stopping, math.MaxUint16)),
			Unread: uint32(min(max(w.pendingTokens, 0), math.MaxUint32)),
			Told:   uint16(min(w.reportedRequests, math.MaxUint16)),

			Answered: uint16(min(w.answered, math.MaxUint16)),
			Failed:   uint16(min(w.failed, math.MaxUint16)),

			Steps:      uint16(min(w.intervals, math.MaxUint16)),
			StepMicros: uint32(min(w.intervalSum.Microseconds(), math.MaxUint32)),
		})
		w.reportedRequests, w.answered, w.failed = 0, 0, 0
		w.intervals, w.intervalSum = 0, 0
	}
	clear(t.busy[len(kept):])
	t.busy = kept
	return loads
}

// admitsBatch reports whether the worker may start one more batch item. With fresh loads from the
// batch planner, it may if the planner has granted one. Without them, items use at most share
// hundredths of the slots.
func (t *Table) admitsBatch(now time.Time, w *worker, share int) bool {
	load, ok := t.peerLoadOf(now, w)
	if w.pendingTokens+int64(load.Unread) > t.memoryOf(w.listed.Pool)/batchPendingDivisor {
		return false
	}
	if !ok {
		const hundredths = 100
		return w.batch*hundredths < w.listed.Slots*share
	}
	return w.startGrants > 0 && w.inFlight+int(load.Online)+int(load.Batch)+t.orphansAt(now, w) < t.effectiveSlots(w)
}

// PendingStops returns, by worker id, how many items of this process the batch planner still
// wants stopped.
func (t *Table) PendingStops(now time.Time) map[string]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var stops map[string]int
	for _, w := range t.withOrders {
		if w.pendingStops == 0 || !t.hasFreshPeerLoad(now, w) {
			continue
		}
		if stops == nil {
			stops = map[string]int{}
		}
		stops[w.listed.ID] = w.pendingStops
	}
	return stops
}

// Workers returns the batch planner's view of the workers: each worker with requests in a row of
// its own, and the idle workers as totals. maxWait returns how long an online request of a pool may
// wait for items to be preempted.
func (t *Table) Workers(now time.Time, maxWait func(pool string) time.Duration) batchroom.Workers {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.advanceClock(now)
	workers := batchroom.Workers{Sample: t.sampleIdle}
	busy := map[*worker]bool{}
	for _, list := range [][]*worker{t.peerLoaded, t.busy, t.currentSuspects(now)} {
		for _, w := range list {
			if !busy[w] && !w.unlisted(t) {
				busy[w] = true
				workers.Busy = append(workers.Busy, t.plannerWorker(now, w, maxWait))
			}
		}
	}
	for name, p := range t.pools {
		slots, _ := t.poolSlots(p, name)
		workers.IdleWorkers += p.usableCount()
		workers.IdleSlots += slots
	}
	for w := range busy {
		if w.inGroup {
			workers.IdleWorkers--
			workers.IdleSlots -= t.effectiveSlots(w)
		}
	}
	slices.SortFunc(workers.Busy, func(a, b batchroom.Worker) int { return cmp.Compare(a.ShortName, b.ShortName) })
	return workers
}

func (t *Table) plannerWorker(now time.Time, w *worker, maxWait func(pool string) time.Duration) batchroom.Worker {
	load, _ := t.peerLoadOf(now, w)
	orphans := t.orphansAt(now, w)
	return batchroom.Worker{
		ShortName: w.hash,
		Pool:      w.listed.Pool,
		Zone:      w.listed.Zone,
		Slots:     t.effectiveSlots(w),
		Online:    w.inFlight - w.batch + int(load.Online) + orphans,
		Orphans:   orphans,
		Closed:    !w.usable() || load.Failing || now.Before(w.suspectUntil),
		Probe:     w.usable() && load.Failing && !now.Before(w.suspectUntil),
		HoldTime:  t.holdTimeOf(w),
		MaxWait:   maxWait(w.listed.Pool),
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
	for _, p := range t.pools {
		total += p.usableCount()
	}
	if total <= maxIdleListed {
		count = total
	}
	var sampled []batchroom.Worker
	for _, name := range slices.Sorted(maps.Keys(t.pools)) {
		p := t.pools[name]
		share := 0
		if total > 0 {
			share = (count*p.usableCount() + total - 1) / total
		}
		sampled = t.sampleIdleOf(p, share, sampled)
	}
	return sampled
}

// sampleIdleOf appends up to count idle workers of a pool to sampled, starting at a random index.
func (t *Table) sampleIdleOf(p *pool, count int, sampled []batchroom.Worker) []batchroom.Worker {
	total := p.usableCount()
	if total == 0 {
		return sampled
	}
	first := t.random.IntN(total)
	for i := 0; i < total && count > 0; i++ {
		if w := p.at((first + i) % total); !w.hasPeerLoad && !w.busy && w.suspectUntil.IsZero() {
			sampled = append(sampled, batchroom.Worker{ShortName: w.hash, Pool: w.listed.Pool, Zone: w.listed.Zone, Slots: t.effectiveSlots(w)})
			count--
		}
	}
	return sampled
}

// Items returns the number of this process's items at each worker, by short name, without those
// that are about to stop.
func (t *Table) Items() map[uint32]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	items := map[uint32]int{}
	for _, w := range t.busy {
		if staying := w.batch - w.stopping; staying > 0 && !w.unlisted(t) {
			items[w.hash] = staying
		}
	}
	return items
}
