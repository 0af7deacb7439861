package batchstore

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sedgemast/sedgemast/internal/batchplan"
	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/replication"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// leaderPollInterval is the longest time between two polls for items to run while this store
	// leads the group.
	leaderPollInterval = 20 * time.Millisecond
	// followerPollInterval is the longest time between two polls while another store leads.
	followerPollInterval = 100 * time.Millisecond
	// leaseGrace is how long items go on after the leader's lease has expired. A leader that is
	// only slow hears from its majority again soon. Until it does, its items do no harm, because
	// results are recorded through the log or not at all.
	leaseGrace = 300 * time.Millisecond
	// notRunBackoff is how long an item waits after a worker did not accept it.
	notRunBackoff = 100 * time.Millisecond
)

// itemKey identifies an item.
type itemKey struct {
	job  string
	item int
}

// runner runs the items of a group's jobs while this store leads the group. The goroutine of its
// method run owns all its fields except the channels, waiting, and the fields store and group,
// which never change. Other goroutines may use only these exceptions.
type runner struct {
	store   *Store
	group   *group
	running map[itemKey]*task
	// savedProgress holds the progress of items whose last attempt at this store ended without a
	// result. It may be ahead of the progress in the log.
	savedProgress map[itemKey]progress
	backoffUntil  map[itemKey]time.Time
	// subjects caches the fingerprints of items. grantedTrials holds the refused items that may
	// run on trial. The channel trials delivers the items whose trial was granted just now.
	subjects      map[itemKey]*quarantine.Subject
	grantedTrials map[itemKey]bool
	trials        chan itemKey
	// heldItems are the refused items that this store runs again by itself. pacer decides when, and
	// paced holds those that may start now. The channel ranWell delivers tasks that have run well.
	heldItems map[itemKey]*quarantine.HeldItem
	pacer     quarantine.Pacer
	paced     map[itemKey]bool
	ranWell   chan *task
	// waiting is the number of items that could start, as of the last poll.
	waiting atomic.Int64
	// failedProbes holds the items whose run as a probe failed.
	failedProbes map[itemKey]bool
	// versionWaits holds since when items have found no room at a worker of their text's version.
	versionWaits map[itemKey]time.Time
	seen         map[string]*observedJob
	// known is the knowledge of the configuration by which the present poll decides.
	known batchplan.Knowledge
	// absences holds the items without a route. failedItems holds the items that failed here.
	absences    map[itemKey]batchplan.RouteAbsence
	failedItems map[itemKey]failedItem
	ended       chan *task
	records     chan itemRecord
	// pending holds the items whose result is being written to the log.
	pending  map[itemKey]bool
	recorded chan recordOutcome
	splitter *routetable.Splitter
	leading  bool
	// term is the last term that this store led in. lastLedAt is when this store last held its
	// lease.
	term       uint64
	leadSince  time.Time
	lastLedAt  time.Time
	nextForget time.Time
	// drainRequests starts a drain. It delivers the channel that the runner closes once no item
	// runs and no record waits any more. resumeRequests ends the drain. drained is not nil during a
	// drain.
	drainRequests  chan chan struct{}
	drained        chan struct{}
	resumeRequests chan struct{}
}

// observedJob is what this store has seen of a job since it became the leader. The age of a job is
// measured by this store's monotonic clock, because wall clocks may jump.
type observedJob struct {
	firstSeen time.Time
	// awaitsConfiguration is set once the job has waited for a newer configuration. unknownVersion is
	// set if it was accepted under a version that the coordinators don't have.
	awaitsConfiguration bool
	unknownVersion      bool
}

const channelCapacity = 4096

func newRunner(g *group) *runner {
	return &runner{
		store:          g.store,
		group:          g,
		splitter:       routetable.NewSplitter(),
		running:        map[itemKey]*task{},
		savedProgress:  map[itemKey]progress{},
		backoffUntil:   map[itemKey]time.Time{},
		subjects:       map[itemKey]*quarantine.Subject{},
		grantedTrials:  map[itemKey]bool{},
		trials:         make(chan itemKey),
		heldItems:      map[itemKey]*quarantine.HeldItem{},
		paced:          map[itemKey]bool{},
		ranWell:        make(chan *task, channelCapacity),
		failedProbes:   map[itemKey]bool{},
		versionWaits:   map[itemKey]time.Time{},
		seen:           map[string]*observedJob{},
		absences:       map[itemKey]batchplan.RouteAbsence{},
		failedItems:    map[itemKey]failedItem{},
		pending:        map[itemKey]bool{},
		ended:          make(chan *task, channelCapacity),
		drainRequests:  make(chan chan struct{}),
		resumeRequests: make(chan struct{}),
		records:        make(chan itemRecord, channelCapacity),
		recorded:       make(chan recordOutcome, channelCapacity),
	}
}

// run polls for items to run until ctx ends.
func (r *runner) run(ctx context.Context) {
	timer := time.NewTimer(leaderPollInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			r.stopAll()
			return
		case <-timer.C:
			r.drainEvents()
			r.poll(ctx, clock.Now())
			timer.Reset(r.pollInterval())
		case ended := <-r.ended:
			r.finishTask(ended)
		case outcome := <-r.recorded:
			r.handleRecorded(outcome)
		case key := <-r.trials:
			r.grantedTrials[key] = true
		case running := <-r.ranWell:
			r.endPaced(running, clock.Now())
		case r.drained = <-r.drainRequests:
			r.stopAll()
		case <-r.resumeRequests:
			r.drained = nil
		}
		r.notifyDrained()
	}
}

func (r *runner) drainEvents() {
	for {
		select {
		case ended := <-r.ended:
			r.finishTask(ended)
		case outcome := <-r.recorded:
			r.handleRecorded(outcome)
		default:
			return
		}
	}
}

// drain stops all items and waits until the record loop has taken all their records, so that the
// next leader continues from the progress in these records.
func (r *runner) drain(ctx context.Context) {
	done := make(chan struct{})
	select {
	case r.drainRequests <- done:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// resume lets items start again after a drain.
func (r *runner) resume(ctx context.Context) {
	select {
	case r.resumeRequests <- struct{}{}:
	case <-ctx.Done():
	}
}

// pollInterval returns the time to the next poll.
func (r *runner) pollInterval() time.Duration {
	if r.leading {
		return leaderPollInterval
	}
	return followerPollInterval
}

func (r *runner) notifyDrained() {
	if r.drained != nil && len(r.running) == 0 && len(r.records) == 0 {
		close(r.drained)
		r.drained = make(chan struct{})
	}
}

// recordOutcome is the outcome of writing an item's record.
type recordOutcome struct {
	key   itemKey
	chain uint64
	// final is set if the record holds the item's result. failed is set if the record was not
	// committed, or was dropped because the log did not accept it.
	final  bool
	failed bool
}

// handleRecorded handles the outcome of a record. After a failure the log accepts no later record
// of the same chain, so the run is canceled and its saved progress dropped.
func (r *runner) handleRecorded(outcome recordOutcome) {
	if outcome.final {
		delete(r.pending, outcome.key)
	}
	if !outcome.failed {
		return
	}
	if r.savedProgress[outcome.key].chain == outcome.chain {
		delete(r.savedProgress, outcome.key)
	}
	if current := r.running[outcome.key]; current != nil && current.chain == outcome.chain {
		current.cancel()
		current.unusable = true
	}
}

// finishTask removes an attempt that is over, and keeps what the next attempt at the item needs.
func (r *runner) finishTask(ended *task) {
	ended.cancel()
	r.endPaced(ended, clock.Now())
	if r.running[ended.key] == ended {
		delete(r.running, ended.key)
	}
	delete(r.savedProgress, ended.key)
	if !ended.finished && !ended.unusable && (ended.progress.events > 0 || ended.progress.restarts) {
		r.savedProgress[ended.key] = ended.progress
	}
	if ended.onTrial && !ended.finished {
		// The trial is still due, because no worker exited: for example, the item was preempted, or
		// its worker did not accept it.
		r.grantedTrials[ended.key] = true
	}
	if ended.failures > r.failedItems[ended.key].count {
		r.failedItems[ended.key] = failedItem{ended.failures, clock.Now()}
	}
	if ended.probeFailed {
		r.failedProbes[ended.key] = true
	}
	switch {
	case ended.finished:
		r.recordFinal(ended.key)
		if ended.ranUninterrupted {
			r.store.runTimes.addRun(ended.runTime, ended.progress.events)
		}
		if ended.state == wire.ItemCompleted {
			r.store.runTimes.addEventCount(ended.expected, ended.progress.events)
		}
	case ended.preempted:
		r.logAdvancePreemption(ended)
		r.backoffUntil[ended.key] = clock.Now().Add(preemptBackoff)
	case ended.backoff > 0:
		r.backoffUntil[ended.key] = clock.Now().Add(ended.backoff)
	}
}

// recordFinal records that the result of an item is on its way to the log, and forgets what only a further
// attempt would need.
func (r *runner) recordFinal(key itemKey) {
	r.pending[key] = true
	delete(r.subjects, key)
	delete(r.heldItems, key)
	delete(r.failedProbes, key)
	delete(r.versionWaits, key)
	delete(r.absences, key)
	delete(r.failedItems, key)
}

func (r *runner) stopAll() {
	for _, task := range r.running {
		task.cancel()
	}
}

// poll starts the items that may start and stops those that must not go on.
func (r *runner) poll(ctx context.Context, now time.Time) {
	var starts []*task
	err := r.store.host.Read(r.group.number, func(term uint64, reader storage.Reader) error {
		r.setLeading(now, term)
		starts = r.plan(ctx, now, reader)
		return nil
	})
	if err != nil {
		if !replication.IsLeaseExpired(err) || now.Sub(r.lastLedAt) > leaseGrace {
			r.stopLeading()
		}
		return
	}
	for _, task := range starts {
		go task.run()
	}
	if !now.Before(r.nextForget) {
		r.nextForget = now.Add(forgetInterval)
		go r.forget(ctx, r.forgettable(now))
	}
}

// setLeading records that this store leads in the term.
func (r *runner) setLeading(now time.Time, term uint64) {
	if term != r.term {
		r.stopLeading()
	}
	r.term, r.lastLedAt = term, now
	if !r.leading {
		r.leading, r.leadSince = true, now
		logging.Info(r.store.logger, "running_items", "group", r.group.number, "leading", true, "term", term)
	}
}

// stopLeading cancels the items and drops the state that only a leader may use.
func (r *runner) stopLeading() {
	if !r.leading {
		return
	}
	r.leading = false
	r.waiting.Store(0)
	logging.Info(r.store.logger, "running_items", "group", r.group.number, "leading", false, "term", r.term, "stopped", len(r.running))
	for _, task := range r.running {
		task.unusable = true
	}
	r.stopAll()
	r.seen = map[string]*observedJob{}
	r.pending = map[itemKey]bool{}
	r.savedProgress = map[itemKey]progress{}
	r.backoffUntil = map[itemKey]time.Time{}
	r.failedProbes = map[itemKey]bool{}
	r.versionWaits = map[itemKey]time.Time{}
	r.absences = map[itemKey]batchplan.RouteAbsence{}
	r.failedItems = map[itemKey]failedItem{}
	r.subjects = map[itemKey]*quarantine.Subject{}
	r.grantedTrials = map[itemKey]bool{}
	r.heldItems = map[itemKey]*quarantine.HeldItem{}
	r.paced = map[itemKey]bool{}
}
