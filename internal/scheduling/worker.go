package scheduling

import (
	"math"
	"sort"
	"time"

	"github.com/sedgemast/sedgemast/internal/routing"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// prefixCapacity bounds the blocks remembered for one worker.
const prefixCapacity = 8192

// WorkerSpec is what a dispatcher knows of a worker it owns.
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
	// PreviousOwnerSlots is the number of slots in use by attempts of a former owner.
	PreviousOwnerSlots int
}

// worker is a worker with the exact table of the attempts in flight on it.
type worker struct {
	spec     WorkerSpec
	silent   bool
	heard    time.Time
	inFlight map[string]*running
	online   int
	kvUsed   int
	prefixes *routing.PrefixIndex
}

// running is an attempt in flight.
type running struct {
	attempt *Attempt
	worker  *worker
	since   time.Time
	// tokens is the number of tokens generated so far.
	tokens int
}

func newWorker(spec WorkerSpec) *worker {
	return &worker{spec: spec, inFlight: map[string]*running{}, prefixes: routing.NewPrefixIndex(prefixCapacity)}
}

func (w *worker) available() bool { return !w.spec.Leaving && !w.silent }

func (w *worker) usable(request *routing.Request) bool {
	candidate := w.candidate()
	return routing.AvailableFilter{}.Keep(request, candidate) && routing.ModelFilter{}.Keep(request, candidate)
}

func (w *worker) onlineCount() int { return w.online }

func (w *worker) freeSlots() int { return w.spec.Slots - w.spec.PreviousOwnerSlots - len(w.inFlight) }

func (w *worker) freeKV() int { return w.spec.KVTokens - w.kvUsed }

// reserve returns how many slots batch work must leave free: none where no online
// work runs, because what arrives there preempts at once.
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
	for _, candidate := range w.inFlight {
		if candidate.attempt.Class == wire.Batch {
			slots++
			memory += candidate.attempt.kvTokens()
		}
	}
	return slots > 0 && memory >= attempt.kvTokens()
}

// victims returns the batch attempts to preempt so that the attempt fits: those
// of the lowest rank first, and of these those that lose the fewest tokens.
func (w *worker) victims(attempt *Attempt) []*running {
	var batch []*running
	for _, candidate := range w.inFlight {
		if candidate.attempt.Class == wire.Batch {
			batch = append(batch, candidate)
		}
	}
	sort.Slice(batch, func(a, b int) bool { return losesLess(batch[a], batch[b]) })
	slots, memory := w.freeSlots(), w.freeKV()
	var chosen []*running
	for _, candidate := range batch {
		if slots > 0 && memory >= attempt.kvTokens() {
			break
		}
		chosen = append(chosen, candidate)
		slots++
		memory += candidate.attempt.kvTokens()
	}
	return chosen
}

func losesLess(a, b *running) bool {
	if a.attempt.Rank != b.attempt.Rank {
		return a.attempt.Rank < b.attempt.Rank
	}
	if a.tokens != b.tokens {
		return a.tokens < b.tokens
	}
	return a.attempt.ID < b.attempt.ID
}

func (w *worker) add(started *running) {
	w.inFlight[started.attempt.ID] = started
	w.kvUsed += started.attempt.kvTokens()
	if started.attempt.Class == wire.Online {
		w.online++
	}
	w.prefixes.Add(started.attempt.Blocks...)
}

func (w *worker) remove(ended *running) {
	if _, found := w.inFlight[ended.attempt.ID]; !found {
		return
	}
	delete(w.inFlight, ended.attempt.ID)
	w.kvUsed -= ended.attempt.kvTokens()
	if ended.attempt.Class == wire.Online {
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
		Models:      w.spec.Models,
		Adapters:    w.spec.Adapters,
		Unavailable: !w.available(),
		Load:        load,
		Online:      w.online > 0,
		Prefixes:    w.prefixes,
	}
}

func sortedNames[Value any](from map[string]Value) []string {
	names := make([]string, 0, len(from))
	for name := range from {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
