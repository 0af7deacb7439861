// Package scheduling decides, for the workers that one dispatcher owns, where
// each attempt runs, when it waits, and when batch work must yield. It is a
// pure state machine: Step takes an event and a time and returns actions.
//
// Because a worker has one owner, the in-flight table is exact, and batch work
// yields in the very step in which an online request arrives.
//
// Invariants:
//   - no online attempt waits while a batch attempt holds what it needs on a
//     worker that could serve it;
//   - batch attempts never take the slots held in reserve for bursts;
//   - a worker that is leaving or silent gets no new attempt.
package scheduling

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/routing"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Config holds what an operator may choose.
type Config struct {
	// MaxQueue bounds the online attempts that wait.
	MaxQueue int
	// ReservePercent is the share of a worker's slots left free of batch work.
	ReservePercent int
	// AdaptiveReserve lets the reserve follow the recent bursts of online
	// arrivals, up to ReservePercent.
	AdaptiveReserve bool
	// EnginePriorities leaves the order of work to the engines, for
	// comparison: nothing is preempted and no slot is kept free.
	EnginePriorities bool
	// WorkerTimeout is how long a worker may not be heard of before it counts
	// as silent; zero means for ever.
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
	// Exclude names workers that failed this request before.
	Exclude map[string]bool
}

// kvTokens is the memory an attempt may come to need.
func (a *Attempt) kvTokens() int { return a.PromptTokens + a.MaxTokens }

// Scheduler is the state of one dispatcher.
type Scheduler struct {
	config   Config
	workers  map[string]*worker
	order    []string
	running  map[string]*running
	online   queue
	batch    queue
	pipeline *routing.Pipeline
	random   routing.Random
	actions  []Action
	now      time.Time
	rate     finishRate
	bursts   burstMeter
}

// Weights of the scorers that choose a worker.
const (
	weightPrefix = 2.0
	weightLoad   = 1.0
	weightGather = 0.3
)

// New returns a scheduler without workers. The random source settles ties.
func New(config Config, random routing.Random) *Scheduler {
	return &Scheduler{
		config:  config,
		workers: map[string]*worker{},
		running: map[string]*running{},
		pipeline: routing.NewPipeline(
			[]routing.Filter{routing.AvailableFilter{}, routing.ModelFilter{}, routing.ExcludeFilter{}},
			[]routing.WeightedScorer{
				{Scorer: routing.PrefixScorer{}, Weight: weightPrefix},
				{Scorer: routing.LoadScorer{}, Weight: weightLoad},
				{Scorer: routing.ClassScorer{}, Weight: weightGather},
			},
			routing.BestPicker{},
		),
		random: random,
	}
}

// Pipeline returns the steps that choose a worker, for their metrics.
func (s *Scheduler) Pipeline() *routing.Pipeline { return s.pipeline }

// Step takes one event and returns the actions to carry out, in order.
func (s *Scheduler) Step(now time.Time, event Event) []Action {
	s.actions = nil
	s.now = now
	s.silenceStale(event)
	event.apply(s, now)
	s.drainOnline(now)
	s.fillBatch(now)
	return s.actions
}

// silenceStale marks the workers that have not been heard of for too long, but
// for one that the event brings news of. It runs at the beginning of every step,
// so that a process that was frozen does not act on what it knew before.
func (s *Scheduler) silenceStale(event Event) {
	if s.config.WorkerTimeout == 0 {
		return
	}
	update, _ := event.(WorkerUpdated)
	for _, id := range s.order {
		if known := s.workers[id]; id != update.Spec.ID && !known.silent && s.now.Sub(known.heard) > s.config.WorkerTimeout {
			WorkerUnresponsive{Worker: id}.apply(s, s.now)
		}
	}
}

func (s *Scheduler) emit(action Action) { s.actions = append(s.actions, action) }

// arriveOnline places an online attempt, queues it, or refuses it at once.
func (s *Scheduler) arriveOnline(now time.Time, attempt *Attempt) {
	s.bursts.arrived(now)
	if s.online.len() == 0 && s.placeOnline(attempt) {
		return
	}
	if !s.servable(attempt) {
		s.refuse(attempt, ReasonNoWorker, noWorkerRetryAfter)
		return
	}
	wait := s.rate.expectedWait(now, s.online.len()+1)
	if s.online.len() >= s.config.MaxQueue || now.Add(wait).After(attempt.Deadline) {
		s.refuse(attempt, ReasonSaturated, wait)
		return
	}
	s.online.push(attempt)
}

func (s *Scheduler) refuse(attempt *Attempt, reason Reason, retryAfter time.Duration) {
	s.emit(Action{Kind: Reject, AttemptID: attempt.ID, Reason: reason, RetryAfter: retryAfter})
}

// servable reports whether any worker could ever run the attempt.
func (s *Scheduler) servable(attempt *Attempt) bool {
	request := attempt.request()
	for _, id := range s.order {
		candidate := s.workers[id]
		if candidate.usable(request) && attempt.kvTokens() <= candidate.spec.KVTokens {
			return true
		}
	}
	return false
}

// drainOnline places waiting online attempts, in order, and drops those whose
// deadline has passed.
func (s *Scheduler) drainOnline(now time.Time) {
	for _, attempt := range s.online.takeExpired(now) {
		s.refuse(attempt, ReasonDeadline, 0)
	}
	s.online.filter(func(attempt *Attempt) bool {
		if s.placeOnline(attempt) {
			return false
		}
		if !s.servable(attempt) {
			s.refuse(attempt, ReasonNoWorker, noWorkerRetryAfter)
			return false
		}
		return true
	})
}

// placeOnline starts an online attempt where it fits, preempting batch work if
// it must. It reports whether the attempt was started. A worker on which an
// earlier attempt failed is the last choice, but better than waiting behind the
// batch work there.
func (s *Scheduler) placeOnline(attempt *Attempt) bool {
	request := attempt.request()
	if s.placeOnlineFor(attempt, request) {
		return true
	}
	if len(request.Exclude) == 0 {
		return false
	}
	request.Exclude = nil
	return s.placeOnlineFor(attempt, request)
}

func (s *Scheduler) placeOnlineFor(attempt *Attempt, request *routing.Request) bool {
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

// placeBeyondSlots hands the attempt to a worker without a free slot, whose
// engine orders it by priority.
func (s *Scheduler) placeBeyondSlots(attempt *Attempt, request *routing.Request) bool {
	chosen := s.choose(request, func(w *worker) bool { return w.available() && len(w.inFlight) < 2*w.spec.Slots })
	if chosen == nil {
		return false
	}
	s.start(chosen, attempt)
	return true
}

// choose runs the routing steps over the workers that the condition accepts.
func (s *Scheduler) choose(request *routing.Request, condition func(*worker) bool) *worker {
	candidates := make([]*routing.Candidate, 0, len(s.order))
	for _, id := range s.order {
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
	return &routing.Request{Batch: a.Class == wire.Batch, Model: a.Model, Adapter: a.Adapter, Blocks: a.Blocks, Exclude: a.Exclude}
}

func (s *Scheduler) start(on *worker, attempt *Attempt) {
	started := &running{attempt: attempt, worker: on, since: s.now}
	on.add(started)
	s.running[attempt.ID] = started
	s.emit(Action{
		Kind:      Start,
		AttemptID: attempt.ID,
		Worker:    on.spec.ID,
		Address:   on.spec.Address,
		Epoch:     on.spec.Epoch,
	})
}

// preempt takes a batch attempt off its worker. The input and output side
// cancels it and brings the rest of the item back as a new attempt.
func (s *Scheduler) preempt(victim *running) {
	victim.worker.remove(victim)
	delete(s.running, victim.attempt.ID)
	s.emit(Action{Kind: Preempt, AttemptID: victim.attempt.ID, Worker: victim.worker.spec.ID, Address: victim.worker.spec.Address})
}

// fillBatch starts batch work on what online work and the reserve leave free.
func (s *Scheduler) fillBatch(now time.Time) {
	for _, attempt := range s.batch.takeExpired(now) {
		s.refuse(attempt, ReasonDeadline, 0)
	}
	if s.batch.len() == 0 {
		return
	}
	full := map[string]bool{}
	s.batch.filter(func(attempt *Attempt) bool {
		// Attempts of one model compete for the same room: once it is out for
		// one there is none for the next.
		if full[attempt.Model] {
			return true
		}
		if !s.servable(attempt) {
			s.refuse(attempt, ReasonNoWorker, noWorkerRetryAfter)
			return false
		}
		chosen := s.choose(attempt.request(), func(w *worker) bool { return w.fits(attempt, w.reserve(s.reservePercent())) })
		if chosen == nil {
			full[attempt.Model] = true
			return true
		}
		s.start(chosen, attempt)
		return false
	})
}

// BatchCapacity returns how many more batch items could start now, and the models
// that the workers serve.
func (s *Scheduler) BatchCapacity() (int, []string) {
	room := 0
	models := map[string]bool{}
	for _, id := range s.order {
		w := s.workers[id]
		if !w.available() {
			continue
		}
		room += max(0, w.freeSlots()-w.reserve(s.reservePercent()))
		for model := range w.spec.Models {
			models[model] = true
		}
	}
	return max(0, room-s.batch.len()), sortedNames(models)
}

// Utilization returns the share of slots that online work holds or waits for,
// from 0 to 255. Batch work does not count, because it yields.
func (s *Scheduler) Utilization() uint8 {
	slots, used := 0, s.online.len()
	for _, w := range s.workers {
		if w.available() {
			slots += w.spec.Slots
			used += w.onlineCount()
		}
	}
	const full = 255
	if slots == 0 {
		return full
	}
	return uint8(min(full, used*full/slots))
}

// Queued returns the number of waiting online and batch attempts.
func (s *Scheduler) Queued() (online, batch int) { return s.online.len(), s.batch.len() }

// InFlight returns the number of running online and batch attempts.
func (s *Scheduler) InFlight() (online, batch int) {
	for _, candidate := range s.running {
		if candidate.attempt.Class == wire.Batch {
			batch++
		} else {
			online++
		}
	}
	return online, batch
}

// SetReserve changes the reserve in percent of a worker's slots.
func (s *Scheduler) SetReserve(percent int) { s.config.ReservePercent = percent }

// RunningSince returns the attempts in flight on a worker that were started at the
// moment given or before.
func (s *Scheduler) RunningSince(worker string, startedBy time.Time) int {
	known := s.workers[worker]
	if known == nil {
		return 0
	}
	count := 0
	for _, candidate := range known.inFlight {
		if !candidate.since.After(startedBy) {
			count++
		}
	}
	return count
}
