// Package balance chooses workers for opaque requests by what this process has
// sent to each: requests in flight, and prompt tokens that are still to be read.
// It is pure but for a lock: time and randomness come from the caller.
package balance

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// maxParts bounds the prompt parts remembered of one worker.
	maxParts = 4096
	// refusedTime is how long a worker is not asked after another one answered at its
	// address. The list has it right by then, as a rule; and one that starts again under its
	// id at that address is found, at the price of a request that is sent on.
	refusedTime = 5 * time.Second
	// suspectTime is how long a worker is avoided after it gave no answer.
	suspectTime = time.Second
)

// worker is a worker and what this process knows of it.
type worker struct {
	listed wire.PoolWorker
	// hash is the worker's short name, point its place on the ring.
	hash  uint32
	point uint64
	// place is the worker's place in its group, entered set while it stands in one.
	place   int
	entered bool
	// busy, told and ordered are set while the table keeps the worker in these lists.
	busy    bool
	told    bool
	ordered bool
	// inFlight counts this process's requests, unread the prompt tokens of
	// those without a first event.
	inFlight int
	batch    int
	unread   int64
	// stopping counts the requests that are about to end.
	stopping int
	// starts and stops are how many items the planner of all items lets start
	// here, and how many it wants stopped.
	starts int
	stops  int
	// refused is set once another worker answered at the address, until refusedUntil, and
	// for good once the worker has left the list.
	refused      bool
	refusedUntil time.Time
	// others is what other processes have here, as they told at othersAt.
	others       wire.WorkerLoad
	othersAt     time.Time
	suspectUntil time.Time
	// parts holds the prompt parts read here, with the number of the last use.
	parts map[string]uint64
	uses  uint64
	// claimed is one more than the requests that the worker said it has, until
	// that has been passed on.
	claimed int
	// answered and failed count answers until they have been passed on.
	answered int
	failed   int
	// steps counts times between events, and stepTime is their sum, until they
	// have been passed on.
	steps    int
	stepTime time.Duration
	// slow is how many times as long as in the middle of its pool an event takes
	// here, 1 where that makes no difference; slowAt is when that was known.
	slow   float64
	slowAt time.Time
	// proofs counts the probes that were answered well until they have been passed on.
	// probing counts those under way, silent those in a row that got no answer.
	proofs  int
	probing int
	silent  int
	// ratio is how many times as long as in the middle an event takes here, as learnt at
	// ratioAt; zero where nothing was learnt.
	ratio   float64
	ratioAt time.Time
	// toldSlots is how many slots the worker told, zero where it did not.
	toldSlots int
	// doubted is set once that was found to differ from the list.
	doubted bool
}

// usable reports whether new requests may go to the worker.
func (w *worker) usable() bool { return !w.listed.Leaving && !w.refused }

// gone reports whether the worker has left the list.
func (w *worker) gone(t *Table) bool { return t.workers[w.listed.ID] != w }

// quiet reports whether this process has nothing at the worker and nothing to tell of it.
func (w *worker) quiet() bool {
	return w.inFlight == 0 && w.claimed == 0 && w.answered == 0 && w.failed == 0 && w.steps == 0 && w.proofs == 0
}

// remember takes in that the worker reads the parts now.
func (w *worker) remember(parts []string) {
	w.uses++
	if w.parts == nil && len(parts) > 0 {
		w.parts = map[string]uint64{}
	}
	for _, part := range parts {
		w.parts[part] = w.uses
	}
	if len(w.parts) <= maxParts {
		return
	}
	for part, use := range w.parts {
		if use+maxParts/2 < w.uses {
			delete(w.parts, part)
		}
	}
}
