package batchstore

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/replication"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// runInterval is the longest time between two looks for items to run.
	runInterval = 20 * time.Millisecond
	// idleInterval is the same while another store leads.
	idleInterval = 100 * time.Millisecond
	// lapseTime is how long items run on after the lease is over. A leader that is
	// only slow hears its majority again soon; what runs meanwhile is recorded
	// through the log, or not at all.
	lapseTime = 300 * time.Millisecond
	// notRunPause is how long an item rests after a worker would not take it.
	notRunPause = 100 * time.Millisecond
)

// itemKey names an item.
type itemKey struct {
	job  string
	item int
}

// runner starts the items of the jobs while this store leads. Its loop owns all
// fields but the channels.
type runner struct {
	store   *Store
	group   *group
	running map[itemKey]*task
	// carried holds what items had that were stopped here, where it goes beyond
	// the log.
	carried map[itemKey]carry
	resting map[itemKey]time.Time
	// prints holds the identities of items that were looked up, granted those that may be
	// tried though they are refused; trials brings such grants.
	prints  map[itemKey]quarantine.Fingerprint
	granted map[itemKey]bool
	trials  chan itemKey
	// waiting counts the items that could start, as of the last look.
	waiting atomic.Int64
	// unproven holds the items that were a probe which failed.
	unproven map[itemKey]bool
	seen     map[string]*sighting
	ended    chan *task
	records  chan wire.ItemRecord
	// pending holds items whose result is on its way to the log.
	pending  map[itemKey]bool
	recorded chan recordEnd
	splitter *routetable.Splitter
	leading  bool
	// term is the term that this store led in last, ledAt when it held its
	// lease last.
	term      uint64
	leadSince time.Time
	ledAt     time.Time
	forgetDue time.Time
	// draining holds whom to tell, once items are to stop, that none runs any more;
	// resuming ends that.
	draining chan chan struct{}
	drained  chan struct{}
	resuming chan struct{}
}

// sighting is what this leader has seen of a job since it leads: ages go by its
// own steady clock, because wall clocks may jump.
type sighting struct {
	first     time.Time
	routeGone time.Time
}

const queueLength = 4096

func newRunner(g *group) *runner {
	return &runner{
		store:    g.store,
		group:    g,
		splitter: routetable.NewSplitter(),
		running:  map[itemKey]*task{},
		carried:  map[itemKey]carry{},
		resting:  map[itemKey]time.Time{},
		prints:   map[itemKey]quarantine.Fingerprint{},
		granted:  map[itemKey]bool{},
		trials:   make(chan itemKey),
		unproven: map[itemKey]bool{},
		seen:     map[string]*sighting{},
		pending:  map[itemKey]bool{},
		ended:    make(chan *task, queueLength),
		draining: make(chan chan struct{}),
		resuming: make(chan struct{}),
		records:  make(chan wire.ItemRecord, queueLength),
		recorded: make(chan recordEnd, queueLength),
	}
}

// run looks for items to run until ctx ends.
func (r *runner) run(ctx context.Context) {
	timer := time.NewTimer(runInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			r.stopAll()
			return
		case <-timer.C:
			r.drainEvents()
			r.look(ctx, clock.Now())
			timer.Reset(r.interval())
		case ended := <-r.ended:
			r.end(ended)
		case end := <-r.recorded:
			r.takeRecorded(end)
		case key := <-r.trials:
			r.granted[key] = true
		case r.drained = <-r.draining:
			r.stopAll()
		case <-r.resuming:
			r.drained = nil
		}
		r.tellDrained()
	}
}

func (r *runner) drainEvents() {
	for {
		select {
		case ended := <-r.ended:
			r.end(ended)
		case end := <-r.recorded:
			r.takeRecorded(end)
		default:
			return
		}
	}
}

// drain stops all items and waits until what they have is on its way to the log,
// so that the next leader goes on from there.
func (r *runner) drain(ctx context.Context) {
	done := make(chan struct{})
	select {
	case r.draining <- done:
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
	case r.resuming <- struct{}{}:
	case <-ctx.Done():
	}
}

// interval returns the time to the next look.
func (r *runner) interval() time.Duration {
	if r.leading {
		return runInterval
	}
	return idleInterval
}

func (r *runner) tellDrained() {
	if r.drained != nil && len(r.running) == 0 && len(r.records) == 0 {
		close(r.drained)
		r.drained = make(chan struct{})
	}
}

// recordEnd says how the writing of an item's news ended.
type recordEnd struct {
	key   itemKey
	chain uint64
	// final is set for a result, failed where the log did not take the news.
	final  bool
	failed bool
}

// takeRecorded takes in that news are written, or are not: then nothing more of
// their chain follows on the log.
func (r *runner) takeRecorded(end recordEnd) {
	if end.final {
		delete(r.pending, end.key)
	}
	if !end.failed {
		return
	}
	if r.carried[end.key].chain == end.chain {
		delete(r.carried, end.key)
	}
	if running := r.running[end.key]; running != nil && running.chain == end.chain {
		running.cancel()
		running.unusable = true
	}
}

// end takes in that a task is over.
func (r *runner) end(ended *task) {
	ended.cancel()
	if r.running[ended.key] == ended {
		delete(r.running, ended.key)
	}
	delete(r.carried, ended.key)
	if !ended.finished && !ended.unusable && ended.carry.events > 0 {
		r.carried[ended.key] = ended.carry
	}
	if ended.onTrial && !ended.finished {
		// It gave way, or its worker would not take it: the trial is still to be made.
		r.granted[ended.key] = true
	}
	if ended.probeFailed {
		r.unproven[ended.key] = true
	}
	switch {
	case ended.finished:
		r.pending[ended.key] = true
		delete(r.prints, ended.key)
		delete(r.unproven, ended.key)
		if ended.ranWhole {
			r.store.runTimes.add(ended.ran, ended.carry.events)
		}
		if ended.state == wire.ItemCompleted {
			r.store.runTimes.addLength(ended.expected, ended.carry.events)
		}
	case ended.yielded:
		r.logYield(ended)
		r.resting[ended.key] = clock.Now().Add(yieldPause)
	case ended.rest > 0:
		r.resting[ended.key] = clock.Now().Add(ended.rest)
	}
}

func (r *runner) stopAll() {
	for _, task := range r.running {
		task.cancel()
	}
}

// look starts what may be started and stops what must not go on.
func (r *runner) look(ctx context.Context, now time.Time) {
	var starts []*task
	err := r.store.host.Read(r.group.number, func(term uint64, reader storage.Reader) error {
		r.lead(now, term)
		starts = r.plan(ctx, now, reader)
		return nil
	})
	if err != nil {
		if !replication.IsLeaseExpired(err) || now.Sub(r.ledAt) > lapseTime {
			r.unlead()
		}
		return
	}
	for _, task := range starts {
		go task.run()
	}
	if !now.Before(r.forgetDue) {
		r.forgetDue = now.Add(forgetInterval)
		go r.forget(ctx, r.forgettable(now))
	}
}

// lead takes in that this store leads in the term.
func (r *runner) lead(now time.Time, term uint64) {
	if term != r.term {
		r.unlead()
	}
	r.term, r.ledAt = term, now
	if !r.leading {
		r.leading, r.leadSince = true, now
		logging.Info(r.store.logger, "running_items", "group", r.group.number, "leading", true, "term", term)
	}
}

// unlead drops what a store that does not lead must not go on with.
func (r *runner) unlead() {
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
	r.seen = map[string]*sighting{}
	r.pending = map[itemKey]bool{}
	r.carried = map[itemKey]carry{}
	r.resting = map[itemKey]time.Time{}
	r.unproven = map[itemKey]bool{}
	r.prints = map[itemKey]quarantine.Fingerprint{}
	r.granted = map[itemKey]bool{}
}
