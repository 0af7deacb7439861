// Package scheduling decides, for the workers that one dispatcher owns, where each attempt runs,
// how long it is queued, and when batch attempts are preempted. It is a state machine without I/O:
// Step takes an event and a time and returns actions.
//
// Because each worker has a single owner, the table of attempts in flight is exact, and batch work
// is preempted in the same step in which an online request arrives.
//
// Invariants:
//   - no online attempt is queued while a worker that can serve it has enough capacity after
//     the preemption of its batch attempts;
//   - batch attempts never use the slots that are reserved for bursts;
//   - a worker that is leaving or unresponsive gets no new attempt.
package scheduling

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/routing"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Config holds the operator's settings.
type Config struct {
	// MaxQueue limits the number of queued online attempts.
	MaxQueue int
	// ReservePercent is the percentage of a worker's slots that batch work leaves free.
	ReservePercent int
	// AdaptiveReserve makes the reserve follow the recent bursts of online arrivals, up to
	// ReservePercent.
	AdaptiveReserve bool
	// EnginePriorities leaves the order of work to the engines: nothing is preempted and no slot is
	// reserved. It is there for comparisons.
	EnginePriorities bool
	// WorkerTimeout is how long a worker may send no report before it counts as unresponsive; zero
	// means no limit.
	WorkerTimeout time.Duration
}

// Attempt is one attempt at a request.
type Attempt struct {
	ID           string
	Class        wire.Class
	Rank         int
	Tenant       string
	Model        string
	Adapter      string
	PromptTokens int
	MaxTokens    int
	// Blocks are the chained hashes of the prompt's blocks.
	Blocks   []uint64
	Deadline time.Time
	// Exclude names the workers on which this request has failed.
	Exclude map[string]bool
	// Version, if set, is the only software version of workers that may run the attempt.
	Version string
}

// kvTokens returns the KV cache memory, in tokens, that an attempt may need.
func (a *Attempt) kvTokens() int { return a.PromptTokens + a.MaxTokens }

// Scheduler holds the scheduling state of one dispatcher.
type Scheduler struct {
	config        Config
	workers       map[string]*worker
	sortedWorkers []string
	running       map[string]*runningAttempt
	online        queue
	batch         queue
	pipeline      *routing.Pipeline
	random        routing.Random
	actions       []Action
	now           time.Time
	onlineRate    completionRate
	bursts        burstMeter
}

// Weights of the scorers that select a worker.
const (
	weightPrefix = 2.0
	weightLoad   = 1.0
	weightClass  = 0.3
)

// New returns a scheduler without workers. random breaks ties.
func New(config Config, random routing.Random) *Scheduler {
	return &Scheduler{
		config:  config,
		workers: map[string]*worker{},
		running: map[string]*runningAttempt{},
		pipeline: routing.NewPipeline(
			[]routing.Filter{routing.AvailableFilter{}, routing.ModelFilter{}, routing.VersionFilter{}, routing.ExcludeFilter{}},
			[]routing.WeightedScorer{
				{Scorer: routing.PrefixScorer{}, Weight: weightPrefix},
				{Scorer: routing.LoadScorer{}, Weight: weightLoad},
				{Scorer: routing.ClassScorer{}, Weight: weightClass},
			},
			routing.BestPicker{},
		),
		random: random,
	}
}

// Pipeline returns the routing steps that select a worker, for their metrics.
func (s *Scheduler) Pipeline() *routing.Pipeline { return s.pipeline }

// Step processes one event and returns the resulting actions in the order in which they must be
// carried out.
func (s *Scheduler) Step(now time.Time, event Event) []Action {
	s.actions = nil
	s.now = now
	s.markUnresponsive(event)
	event.apply(s, now)
	s.drainOnlineQueue(now)
	s.fillBatch(now)
	return s.actions
}

// markUnresponsive marks the workers whose last report is older than WorkerTimeout, except one that
// the event updates. It runs at the start of every step, so that a process that was suspended does
// not act on outdated reports.
func (s *Scheduler) markUnresponsive(event Event) {
	if s.config.WorkerTimeout == 0 {
		return
	}
	update, _ := event.(WorkerUpdated)
	for _, id := range s.sortedWorkers {
		if w := s.workers[id]; id != update.Spec.ID && !w.unresponsive && s.now.Sub(w.lastReport) > s.config.WorkerTimeout {
			WorkerUnresponsive{Worker: id}.apply(s, s.now)
		}
	}
}

func (s *Scheduler) emit(action Action) { s.actions = append(s.actions, action) }

// admitOnline starts, queues or rejects an online attempt.
func (s *Scheduler) admitOnline(now time.Time, attempt *Attempt) {
	s.bursts.recordArrival(now)
	if s.online.len() == 0 && s.placeOnline(attempt) {
		return
	}
	if !s.servable(attempt) {
		s.reject(attempt, ReasonNoWorker, noWorkerRetryAfter)
		return
	}
	wait := s.onlineRate.expectedWait(now, s.online.len()+1)
	if s.online.len() >= s.config.MaxQueue || now.Add(wait).After(attempt.Deadline) {
		s.reject(attempt, ReasonSaturated, wait)
		return
	}
	s.online.push(attempt)
}

func (s *Scheduler) reject(attempt *Attempt, reason Reason, retryAfter time.Duration) {
	s.emit(Action{Kind: Reject, AttemptID: attempt.ID, Reason: reason, RetryAfter: retryAfter})
}

// servable reports whether any worker could run the attempt if it had no other work.
func (s *Scheduler) servable(attempt *Attempt) bool {
	request := attempt.request()
	for _, id := range s.sortedWorkers {
		w := s.workers[id]
		if w.canServe(request) && attempt.kvTokens() <= w.spec.KVTokens {
			return true
		}
	}
	return false
}

// drainOnlineQueue starts queued online attempts, in order, and rejects those whose deadline has
// passed or that no worker can serve any more.
func (s *Scheduler) drainOnlineQueue(now time.Time) {
	for _, attempt := range s.online.removeExpired(now) {
		s.reject(attempt, ReasonDeadline, 0)
	}
	s.online.filter(func(attempt *Attempt) bool {
		if s.placeOnline(attempt) {
			return false
		}
		if !s.servable(attempt) {
			s.reject(attempt, ReasonNoWorker, noWorkerRetryAfter)
			return false
		}
		return true
	})
}

// placeOnline starts an online attempt where it fits, preempting batch attempts if necessary, and
// reports whether it was started. Workers on which an earlier attempt failed are tried only if no
// other worker can take the attempt. Batch attempts are preempted on them too, so that the attempt
// isn't queued behind batch work.
func (s *Scheduler) placeOnline(attempt *Attempt) bool {
	request := attempt.request()
	if s.placeOnlineRequest(attempt, request) {
		return true
	}
	if len(request.Exclude) == 0 {
		return false
	}
	request.Exclude = nil
	return s.placeOnlineRequest(attempt, request)
}

func (s *Scheduler) placeOnlineRequest(attempt *Attempt, request *routing.Request) bool {
	if chosen := s.choose(request, func(w *worker) bool { return w.fits(attempt, 0) }); chosen != nil {
		s.start(chosen, attempt)
		return true
	}
	if s.config.EnginePriorities {
		return s.placeBeyondSlots(attempt, request)
	}
	chosen := s.choose(request, func(w *worker) bool { return w.fitsAfterPreemption(attempt) })
	if chosen == nil {
		return false
	}
	for _, victim := range chosen.victims(attempt) {
		s.preempt(victim)
	}
	s.start(chosen, attempt)
	return true
}

// placeBeyondSlots starts the attempt on a worker without a free slot, whose engine orders its work
// by priority.
func (s *Scheduler) placeBeyondSlots(attempt *Attempt, request *routing.Request) bool {
	chosen := s.choose(request, func(w *worker) bool { return w.available() && len(w.inFlight) < 2*w.spec.Slots })
	if chosen == nil {
		return false
	}
	s.start(chosen, attempt)
	return true
}

// choose selects a worker with the routing steps among those that satisfy the condition.
func (s *Scheduler) choose(request *routing.Request, condition func(*worker) bool) *worker {
	candidates := make([]*routing.Candidate, 0, len(s.sortedWorkers))
	for _, id := range s.sortedWorkers {
		if w := s.workers[id]; condition(w) {
			candidates = append(candidates, w.candidate())
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	picked := s.pipeline.Choose(request, candidates, s.random)
	if picked == nil {
		return nil
	}
	return s.workers[picked.Name]
}

func (a *Attempt) request() *routing.Request {
	return &routing.Request{Batch: a.Class == wire.Batch, Model: a.Model, Adapter: a.Adapter, Blocks: a.Blocks, Exclude: a.Exclude, Version: a.Version}
}

func (s *Scheduler) start(w *worker, attempt *Attempt) {
	started := &runningAttempt{attempt: attempt, worker: w, startedAt: s.now}
	w.add(started)
	s.running[attempt.ID] = started
	s.emit(Action{
		Kind:      Start,
		AttemptID: attempt.ID,
		Worker:    w.spec.ID,
		Address:   w.spec.Address,
		Epoch:     w.spec.Epoch,
	})
}

// preempt removes a batch attempt from its worker. The caller of Step cancels it and submits the
// rest of the item as a new attempt.
func (s *Scheduler) preempt(victim *runningAttempt) {
	victim.worker.remove(victim)
	delete(s.running, victim.attempt.ID)
	s.emit(Action{Kind: Preempt, AttemptID: victim.attempt.ID, Worker: victim.worker.spec.ID, Address: victim.worker.spec.Address})
}

// fillBatch starts batch attempts in the slots that online work and the reserve leave free.
func (s *Scheduler) fillBatch(now time.Time) {
	for _, attempt := range s.batch.removeExpired(now) {
		s.reject(attempt, ReasonDeadline, 0)
	}
	if s.batch.len() == 0 {
		return
	}
	modelsFull := map[string]bool{}
	s.batch.filter(func(attempt *Attempt) bool {
		// Attempts for the same model compete for the same capacity: if one does not fit, those
		// behind it wait too.
		if modelsFull[attempt.Model] {
			return true
		}
		if !s.servable(attempt) {
			s.reject(attempt, ReasonNoWorker, noWorkerRetryAfter)
			return false
		}
		chosen := s.choose(attempt.request(), func(w *worker) bool { return w.fits(attempt, w.reserve(s.reservePercent())) })
		if chosen == nil {
			modelsFull[attempt.Model] = true
			return true
		}
		s.start(chosen, attempt)
		return false
	})
}

// BatchCapacity returns how many more batch items could start now, and the models that the workers
// serve.
func (s *Scheduler) BatchCapacity() (int, []string) {
	capacity := 0
	models := map[string]bool{}
	for _, id := range s.sortedWorkers {
		w := s.workers[id]
		if !w.available() {
			continue
		}
		capacity += max(0, w.freeSlots()-w.reserve(s.reservePercent()))
		for model := range w.spec.Models {
			models[model] = true
		}
	}
	return max(0, capacity-s.batch.len()), sortedKeys(models)
}

// Utilization returns the share of slots that online work uses or waits for, from 0 to 255. Batch
// work does not count, because it can be preempted.
func (s *Scheduler) Utilization() uint8 {
	slots, used := 0, s.online.len()
	for _, w := range s.workers {
		if w.available() {
			slots += w.spec.Slots
			used += w.onlineCount()
		}
	}
	const maxUtilization = 255
	if slots == 0 {
		return maxUtilization
	}
	return uint8(min(maxUtilization, used*maxUtilization/slots))
}

// Queued returns the numbers of queued online and batch attempts.
func (s *Scheduler) Queued() (online, batch int) { return s.online.len(), s.batch.len() }

// InFlight returns the numbers of running online and batch attempts.
func (s *Scheduler) InFlight() (online, batch int) {
	for _, r := range s.running {
		if r.attempt.Class == wire.Batch {
			batch++
		} else {
			online++
		}
	}
	return online, batch
}

// SetReserve sets ReservePercent.
func (s *Scheduler) SetReserve(percent int) { s.config.ReservePercent = percent }

// RunningStartedBy returns the number of attempts in flight on a worker that were started at or
// before startedBy.
func (s *Scheduler) RunningStartedBy(worker string, startedBy time.Time) int {
	w := s.workers[worker]
	if w == nil {
		return 0
	}
	count := 0
	for _, r := range w.inFlight {
		if !r.startedAt.After(startedBy) {
			count++
		}
	}
	return count
}
