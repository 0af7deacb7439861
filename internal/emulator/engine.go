package emulator

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/engine"
	"github.com/sedgemast/sedgemast/internal/logging"
)

// EngineOptions configures an emulated engine.
type EngineOptions struct {
	Worker      string
	Incarnation uint64
	// Version, if set, is the version of the engine's software, which each token of its text tells.
	Version  string
	Models   []string
	Adapters []string
	Capacity Capacity
	Seed     uint64
	Faults   Faults
	// LoadLag is the age of load reports. EventLag is the age of cache events.
	LoadLag  time.Duration
	EventLag time.Duration
	// ResumeGrace is how long an attempt continues without a reader, and how long an ended
	// attempt can still be read.
	ResumeGrace time.Duration
	// ExitOnPrompt, if set, makes the engine call OnExit when it starts a prompt that contains
	// this text.
	ExitOnPrompt string
	OnExit       func()
	// WeightStore is the address of the weight store. If empty, loading takes no time.
	WeightStore string
	Logger      logging.Logger
}

// Counters are totals since the engine started. Tests read them to check its behavior.
type Counters struct {
	Started   uint64 `json:"started"`
	Ended     uint64 `json:"ended"`
	Cancelled uint64 `json:"cancelled"`
	Abandoned uint64 `json:"abandoned"`
	Refused   uint64 `json:"refused"`
	Tokens    uint64 `json:"tokens"`
}

// loadSample is a load report and the time at which it was taken.
type loadSample struct {
	at   time.Time
	load engine.Load
}

// Engine runs the model in real time and buffers the events of its attempts.
type Engine struct {
	options  EngineOptions
	faults   *faultInjector
	mutex    sync.Mutex
	model    *Model
	attempts map[string]*attempt
	// startedIDs holds the ids of all attempts ever started, to reject duplicates.
	startedIDs map[string]bool
	models     map[string]bool
	adapters   map[string]bool
	role       string
	epoch      uint64
	leaving    bool
	counters   Counters
	samples    []loadSample
	events     []timedCacheEvent
	lastCopied uint64
	wake       chan struct{}
}

type timedCacheEvent struct {
	at    time.Time
	event engine.CacheEvent
}

// NewEngine returns an idle engine.
func NewEngine(options EngineOptions) *Engine {
	if options.Logger == nil {
		options.Logger = logging.Discard()
	}
	e := &Engine{
		options:    options,
		faults:     newFaultInjector(options.Seed, options.Faults),
		model:      NewModel(options.Capacity),
		attempts:   map[string]*attempt{},
		startedIDs: map[string]bool{},
		models:     map[string]bool{},
		adapters:   map[string]bool{},
		role:       "mixed",
		wake:       make(chan struct{}, 1),
	}
	for _, name := range options.Models {
		e.models[name] = true
	}
	for _, name := range options.Adapters {
		e.adapters[name] = true
	}
	return e
}

const (
	housekeepingInterval = 50 * time.Millisecond
	maxSamples           = 256
)

// Run generates tokens until ctx is done.
func (e *Engine) Run(ctx context.Context) {
	housekeeping := time.NewTicker(housekeepingInterval)
	defer housekeeping.Stop()
	for {
		duration := e.step()
		var due <-chan time.Time
		if duration > 0 {
			due = time.After(duration)
		}
		select {
		case <-ctx.Done():
			return
		case <-due:
		case <-e.wakeWhenIdle(duration):
		case now := <-housekeeping.C:
			e.housekeep(now)
			if due != nil {
				<-due
			}
		}
	}
}

// wakeWhenIdle returns the channel on which a new attempt wakes the engine, if the engine is idle:
// duration is then 0. Otherwise it returns nil, because a new attempt must not cut the duration of
// a running step short.
func (e *Engine) wakeWhenIdle(duration time.Duration) <-chan struct{} {
	if duration > 0 {
		return nil
	}
	return e.wake
}

// step performs one step of the model, passes its outputs to the readers and returns how long
// Run waits before the next step: 0 if the engine is idle, a short interval if it is frozen.
func (e *Engine) step() time.Duration {
	if e.faults.get().Frozen {
		return housekeepingInterval
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.model.Idle() {
		return 0
	}
	outputs, duration := e.model.Step()
	for _, output := range outputs {
		if e.options.Version != "" && !output.Ended {
			output.Text = strings.TrimSuffix(output.Text, " ") + "@" + e.options.Version + " "
		}
		if found := e.attempts[output.Sequence.ID]; found != nil {
			found.push(output)
		}
		if output.Ended {
			e.counters.Ended++
		} else {
			e.counters.Tokens++
		}
	}
	return duration
}

// housekeep stops abandoned attempts, deletes ended attempts that are no longer read, and
// records a load sample and new cache events.
func (e *Engine) housekeep(now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for id, candidate := range e.attempts {
		if !candidate.abandoned(now, e.options.ResumeGrace) {
			continue
		}
		if e.model.Remove(id) {
			e.counters.Abandoned++
			candidate.stop()
		}
		delete(e.attempts, id)
	}
	e.samples = append(e.samples, loadSample{at: now, load: e.loadLocked(now)})
	if len(e.samples) > maxSamples {
		e.samples = e.samples[1:]
	}
	e.collectEvents(now)
}

// collectEvents copies new cache events and drops some of them if the CacheGap fault is set.
func (e *Engine) collectEvents(now time.Time) {
	for _, event := range e.model.cache.eventsAfter(e.lastCopied) {
		e.lastCopied = event.Sequence
		if e.faults.occurs(func(f *Faults) float64 { return f.CacheGap }) {
			continue
		}
		e.events = append(e.events, timedCacheEvent{at: now, event: event})
	}
	if len(e.events) > maxCacheEvents {
		e.events = append([]timedCacheEvent(nil), e.events[len(e.events)-maxCacheEvents/2:]...)
	}
}

func (e *Engine) loadLocked(now time.Time) engine.Load {
	return engine.Load{
		Worker:        e.options.Worker,
		Incarnation:   e.options.Incarnation,
		Epoch:         e.epoch,
		Leaving:       e.leavingLocked(),
		Slots:         e.options.Capacity.Slots,
		Running:       e.model.Running(),
		Waiting:       e.model.Waiting(),
		KVTokens:      e.options.Capacity.KVTokens,
		KVUsed:        e.model.KVUsed(),
		BlockTokens:   engine.BlockTokens,
		Models:        sortedSet(e.models),
		Adapters:      sortedSet(e.adapters),
		Role:          e.role,
		MeasuredAtMS:  now.UnixMilli(),
		EventSequence: e.lastCopied,
	}
}

func (e *Engine) leavingLocked() bool { return e.leaving || e.faults.get().Leaving }

// Load returns the load as it was LoadLag ago. Models, adapters, role, epoch and leaving, which
// are set by orders, are reported without lag.
func (e *Engine) Load(now time.Time) engine.Load {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	current := e.loadLocked(now)
	for i := len(e.samples) - 1; i >= 0; i-- {
		if now.Sub(e.samples[i].at) >= e.options.LoadLag {
			old := e.samples[i].load
			current.Running, current.Waiting, current.KVUsed = old.Running, old.Waiting, old.KVUsed
			current.MeasuredAtMS = old.MeasuredAtMS
			break
		}
	}
	return current
}

// Counters returns the totals so far.
func (e *Engine) Counters() Counters {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.counters
}

// SetFaults replaces the faults that the engine injects.
func (e *Engine) SetFaults(faults Faults) { e.faults.set(faults) }
