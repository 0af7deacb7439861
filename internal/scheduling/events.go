package scheduling

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// Event is an input of the scheduler, such as an arrival or a worker's report.
type Event interface {
	apply(scheduler *Scheduler, now time.Time)
}

// AttemptArrived adds a new attempt.
type AttemptArrived struct{ Attempt *Attempt }

func (e AttemptArrived) apply(s *Scheduler, now time.Time) {
	if e.Attempt.Class == wire.Online {
		s.admitOnline(now, e.Attempt)
		return
	}
	s.batch.push(e.Attempt)
}

// AttemptProgress reports how many tokens an attempt has generated.
type AttemptProgress struct {
	AttemptID string
	Tokens    int
}

func (e AttemptProgress) apply(s *Scheduler, _ time.Time) {
	if r := s.running[e.AttemptID]; r != nil {
		r.tokens = e.Tokens
	}
}

// AttemptEnded ends an attempt, whatever its outcome, or removes it from its queue.
type AttemptEnded struct {
	AttemptID string
	// CachedBlocks is the number of leading blocks that the engine had cached; negative if it is
	// not known.
	CachedBlocks int
}

func (e AttemptEnded) apply(s *Scheduler, now time.Time) {
	r := s.running[e.AttemptID]
	if r == nil {
		if !s.online.remove(e.AttemptID) {
			s.batch.remove(e.AttemptID)
		}
		return
	}
	delete(s.running, e.AttemptID)
	r.worker.remove(r)
	if e.CachedBlocks >= 0 {
		r.worker.prefixes.Add(r.attempt.Blocks...)
	}
	if r.attempt.Class == wire.Online {
		s.onlineRate.recordEnd(now)
	}
}

// WorkerUpdated adds a worker or replaces its spec. A worker that was unresponsive counts as
// responsive again.
type WorkerUpdated struct{ Spec WorkerSpec }

func (e WorkerUpdated) apply(s *Scheduler, now time.Time) {
	if w := s.workers[e.Spec.ID]; w != nil {
		w.spec = e.Spec
		w.unresponsive = false
		w.lastReport = now
		return
	}
	s.workers[e.Spec.ID] = newWorker(e.Spec)
	s.workers[e.Spec.ID].lastReport = now
	s.sortedWorkers = sortedKeys(s.workers)
}

// WorkerUnresponsive marks a worker that does not respond. Its attempts are abandoned, so that the
// caller of Step can run them elsewhere.
type WorkerUnresponsive struct{ Worker string }

func (e WorkerUnresponsive) apply(s *Scheduler, _ time.Time) {
	w := s.workers[e.Worker]
	if w == nil || w.unresponsive {
		return
	}
	w.unresponsive = true
	s.abandonAll(w)
}

// WorkerRemoved removes a worker that was assigned to another dispatcher or no longer exists. Its
// running attempts continue unless Abandon is set.
type WorkerRemoved struct {
	Worker  string
	Abandon bool
}

func (e WorkerRemoved) apply(s *Scheduler, _ time.Time) {
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	if e.Abandon {
		s.abandonAll(w)
	}
	delete(s.workers, e.Worker)
	s.sortedWorkers = sortedKeys(s.workers)
}

func (s *Scheduler) abandonAll(w *worker) {
	for _, id := range sortedKeys(w.inFlight) {
		abandoned := w.inFlight[id]
		w.remove(abandoned)
		delete(s.running, id)
		s.emit(Action{Kind: Abandon, AttemptID: id, Worker: w.spec.ID, Address: w.spec.Address})
	}
}

// CacheChanged reports the cache events of a worker's engine.
type CacheChanged struct {
	Worker  string
	Added   []uint64
	Evicted []uint64
}

func (e CacheChanged) apply(s *Scheduler, _ time.Time) {
	if w := s.workers[e.Worker]; w != nil {
		w.prefixes.Add(e.Added...)
		w.prefixes.Remove(e.Evicted...)
	}
}

// Tick advances the time: attempts whose deadline has passed in the queue are rejected.
type Tick struct{}

func (Tick) apply(*Scheduler, time.Time) {}
