package scheduling

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// Event is something that happened to the dispatcher.
type Event interface {
	apply(scheduler *Scheduler, now time.Time)
}

// AttemptArrived brings a new attempt.
type AttemptArrived struct{ Attempt *Attempt }

func (e AttemptArrived) apply(s *Scheduler, now time.Time) {
	if e.Attempt.Class == wire.Online {
		s.arriveOnline(now, e.Attempt)
		return
	}
	s.batch.push(e.Attempt)
}

// AttemptProgress tells how many tokens an attempt has generated.
type AttemptProgress struct {
	AttemptID string
	Tokens    int
}

func (e AttemptProgress) apply(s *Scheduler, _ time.Time) {
	if found := s.running[e.AttemptID]; found != nil {
		found.tokens = e.Tokens
	}
}

// AttemptEnded ends an attempt, whatever its outcome, or takes it out of its queue.
type AttemptEnded struct {
	AttemptID string
	// CachedBlocks is how many leading blocks the engine had cached; below
	// zero it is not known.
	CachedBlocks int
}

func (e AttemptEnded) apply(s *Scheduler, now time.Time) {
	found := s.running[e.AttemptID]
	if found == nil {
		if !s.online.remove(e.AttemptID) {
			s.batch.remove(e.AttemptID)
		}
		return
	}
	delete(s.running, e.AttemptID)
	found.worker.remove(found)
	if e.CachedBlocks >= 0 {
		found.worker.prefixes.Add(found.attempt.Blocks...)
	}
	if found.attempt.Class == wire.Online {
		s.rate.finished(now)
	}
}

// WorkerUpdated adds a worker or changes what is known of it. A worker that was
// silent counts as answering again.
type WorkerUpdated struct{ Spec WorkerSpec }

func (e WorkerUpdated) apply(s *Scheduler, now time.Time) {
	if known := s.workers[e.Spec.ID]; known != nil {
		known.spec = e.Spec
		known.silent = false
		known.heard = now
		return
	}
	s.workers[e.Spec.ID] = newWorker(e.Spec)
	s.workers[e.Spec.ID].heard = now
	s.order = sortedNames(s.workers)
}

// WorkerUnresponsive marks a worker that does not answer. Its attempts are abandoned,
// so that the input and output side can move them elsewhere.
type WorkerUnresponsive struct{ Worker string }

func (e WorkerUnresponsive) apply(s *Scheduler, _ time.Time) {
	known := s.workers[e.Worker]
	if known == nil || known.silent {
		return
	}
	known.silent = true
	s.abandonAll(known)
}

// WorkerRemoved takes away a worker that now belongs to another dispatcher, or
// is gone. Its running attempts go on unless Abandon is set.
type WorkerRemoved struct {
	Worker  string
	Abandon bool
}

func (e WorkerRemoved) apply(s *Scheduler, _ time.Time) {
	known := s.workers[e.Worker]
	if known == nil {
		return
	}
	if e.Abandon {
		s.abandonAll(known)
	}
	delete(s.workers, e.Worker)
	s.order = sortedNames(s.workers)
}

func (s *Scheduler) abandonAll(from *worker) {
	for _, id := range sortedNames(from.inFlight) {
		abandoned := from.inFlight[id]
		from.remove(abandoned)
		delete(s.running, id)
		s.emit(Action{Kind: Abandon, AttemptID: id, Worker: from.spec.ID, Address: from.spec.Address})
	}
}

// CacheChanged brings an engine's cache events.
type CacheChanged struct {
	Worker  string
	Added   []uint64
	Evicted []uint64
}

func (e CacheChanged) apply(s *Scheduler, _ time.Time) {
	if known := s.workers[e.Worker]; known != nil {
		known.prefixes.Add(e.Added...)
		known.prefixes.Remove(e.Evicted...)
	}
}

// Tick lets time pass: waiting attempts whose deadline has passed are refused.
type Tick struct{}

func (Tick) apply(*Scheduler, time.Time) {}
