package scheduling

import (
	"math"
	"sort"
	"time"

	"github.com/sedgemast/sedgemast/internal/routing"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// prefixCapacity limits the number of prefix blocks that are recorded for one worker.
const prefixCapacity = 8192

// WorkerSpec is what a dispatcher knows about a worker that it owns.
type WorkerSpec struct {
	ID       string
	Address  string
	Zone     string
	Epoch    uint64
	Slots    int
	KVTokens int
	Models   map[string]bool
	Adapters map[string]bool
	Leaving  bool
	Version  string
	// PreviousOwnerSlots is the number of slots in use by attempts of a previous owner.
	PreviousOwnerSlots int
}

// worker holds a worker's spec and the exact table of the attempts in flight on it.
type worker struct {
	spec         WorkerSpec
	unresponsive bool
	lastReport   time.Time
	inFlight     map[string]*runningAttempt
	online       int
	kvUsed       int
	prefixes     *routing.PrefixIndex
}

// runningAttempt is an attempt in flight.
type runningAttempt struct {
	attempt   *Attempt
	worker    *worker
	startedAt time.Time
	// tokens is the number of tokens generated so far.
	tokens int
}

func newWorker(spec WorkerSpec) *worker {
	return &worker{spec: spec, inFlight: map[string]*runningAttempt{}, prefixes: routing.NewPrefixIndex(prefixCapacity)}
}

func (w *worker) available() bool { return !w.spec.Leaving && !w.unresponsive }

func (w *worker) canServe(request *routing.Request) bool {
	candidate := w.candidate()
	return routing.AvailableFilter{}.Keep(request, candidate) && routing.ModelFilter{}.Keep(request, candidate)
}

func (w *worker) onlineCount() int { return w.online }

func (w *worker) freeSlots() int { return w.spec.Slots - w.spec.PreviousOwnerSlots - len(w.inFlight) }

func (w *worker) freeKV() int { return w.spec.KVTokens - w.kvUsed }

// reserve returns how many slots batch work must leave free. It is zero if no online work runs on
// the worker, because an online arrival then preempts batch work at once.
func (w *worker) reserve(percent int) int {
	if w.online == 0 {
		return 0
	}
	return int(math.Ceil(float64(w.spec.Slots) * float64(percent) / 100))
}

func (w *worker) fits(attempt *Attempt, reserved int) bool {
	return w.available() && w.freeSlots() > reserved && w.freeKV() >= attempt.kvTokens()
}

func (w *worker) fitsAfterPreemption(attempt *Attempt) bool {
	if !w.available() {
		return false
	}
	slots, memory := w.freeSlots(), w.freeKV()
	for _, r := range w.inFlight {
		if r.attempt.Class == wire.Batch {
			slots++
			memory += r.attempt.kvTokens()
		}
	}
	return slots > 0 && memory >= attempt.kvTokens()
}

// victims returns the batch attempts to preempt so that the attempt fits: those of the lowest rank
// first, and among these the ones that lose the fewest generated tokens.
func (w *worker) victims(attempt *Attempt) []*runningAttempt {
	var batch []*runningAttempt
	for _, r := range w.inFlight {
		if r.attempt.Class == wire.Batch {
			batch = append(batch, r)
		}
	}
	sort.Slice(batch, func(a, b int) bool { return preemptBefore(batch[a], batch[b]) })
	slots, memory := w.freeSlots(), w.freeKV()
	var chosen []*runningAttempt
	for _, r := range batch {
		if slots > 0 && memory >= attempt.kvTokens() {
			break
		}
		chosen = append(chosen, r)
		slots++
		memory += r.attempt.kvTokens()
	}
	return chosen
}

func preemptBefore(a, b *runningAttempt) bool {
	if a.attempt.Rank != b.attempt.Rank {
		return a.attempt.Rank < b.attempt.Rank
	}
	if a.tokens != b.tokens {
		return a.tokens < b.tokens
	}
	return a.attempt.ID < b.attempt.ID
}

func (w *worker) add(r *runningAttempt) {
	w.inFlight[r.attempt.ID] = r
	w.kvUsed += r.attempt.kvTokens()
	if r.attempt.Class == wire.Online {
		w.online++
	}
	w.prefixes.Add(r.attempt.Blocks...)
}

func (w *worker) remove(r *runningAttempt) {
	if _, found := w.inFlight[r.attempt.ID]; !found {
		return
	}
	delete(w.inFlight, r.attempt.ID)
	w.kvUsed -= r.attempt.kvTokens()
	if r.attempt.Class == wire.Online {
		w.online--
	}
}

func (w *worker) candidate() *routing.Candidate {
	load := 1.0
	if w.spec.Slots > 0 {
		load = float64(len(w.inFlight)+w.spec.PreviousOwnerSlots) / float64(w.spec.Slots)
	}
	return &routing.Candidate{
		Name:        w.spec.ID,
		Zone:        w.spec.Zone,
		Version:     w.spec.Version,
		Models:      w.spec.Models,
		Adapters:    w.spec.Adapters,
		Unavailable: !w.available(),
		Load:        load,
		Online:      w.online > 0,
		Prefixes:    w.prefixes,
	}
}

func sortedKeys[Value any](from map[string]Value) []string {
	names := make([]string, 0, len(from))
	for name := range from {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
