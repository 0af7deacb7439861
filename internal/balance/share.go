package balance

import (
	"math"
	"time"

	"github.com/sedgemast/sedgemast/internal/batchplan"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// reserveParts says how many slots batch items leave free beside the online
	// requests at a worker: one in so many.
	reserveParts = 8
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
	for id, known := range t.workers {
		if known.inFlight == 0 && known.told == 0 && known.answered == 0 && known.failed == 0 && known.steps == 0 {
			continue
		}
		loads = append(loads, wire.WorkerLoad{
			Worker: loadshare.Hash(id),
			Online: uint16(min(known.inFlight-known.batch, math.MaxUint16)),
			Batch:  uint16(min(known.batch, math.MaxUint16)),
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
func (t *Table) SetOthers(now time.Time, loads []wire.WorkerLoad) {
	byHash := make(map[uint32]wire.WorkerLoad, len(loads))
	for _, load := range loads {
		byHash[load.Worker] = load
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for id, known := range t.workers {
		known.others = byHash[loadshare.Hash(id)]
		known.othersAt = now
	}
	t.learn(now)
}

// toldByOthers returns what others have at the worker, if that is known.
func (w *worker) toldByOthers(now time.Time) (wire.WorkerLoad, bool) {
	return w.others, !w.othersAt.IsZero() && now.Sub(w.othersAt) <= loadshare.Fresh
}

// admitsBatch reports whether one more batch item fits.
func (w *worker) admitsBatch(now time.Time, share int, urgent bool, memory int64) bool {
	others, known := w.toldByOthers(now)
	if w.unread+int64(others.Unread) > memory/batchUnreadParts {
		return false
	}
	if !known {
		const hundredths = 100
		return w.batch*hundredths < w.listed.Slots*share
	}
	reserve := max(w.listed.Slots/reserveParts, 1)
	if urgent {
		reserve = 0
	}
	return w.batch+int(others.Online)+int(others.Batch)+w.orphaned(now)+reserve < w.listed.Slots
}

// Shed returns, by worker, how many batch items of this process are to stop so
// that online requests don't wait behind them for longer than patience, which is
// asked for each pool. Items that are stopping already don't count.
func (t *Table) Shed(now time.Time, patience func(pool string) time.Duration) map[string]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var shed map[string]int
	for id, known := range t.workers {
		others, fresh := known.toldByOthers(now)
		staying := known.batch - known.stopping
		if !fresh || staying <= 0 || staying+int(others.Online) <= known.listed.Slots {
			continue
		}
		pool := known.listed.Pool
		stops := batchplan.Stops(batchplan.Place{Slots: known.listed.Slots, Online: int(others.Online), Batch: staying}, t.holds[pool], patience(pool))
		if stops == 0 {
			continue
		}
		if shed == nil {
			shed = map[string]int{}
		}
		shed[id] = stops
	}
	return shed
}
