package batchstore

import (
	"context"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/batchplan"
	"github.com/sedgemast/sedgemast/internal/batchstate"
	"github.com/sedgemast/sedgemast/internal/dialect"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/replication"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// runInterval is the longest time between two looks for items to run.
	runInterval = 20 * time.Millisecond
	// maxStarts bounds the items that are started at one look.
	maxStarts = 64
	// routeGrace is how long a route must be gone before its items are given up.
	routeGrace = 2 * time.Second
	// forgetInterval is the time between looks for jobs to forget.
	forgetInterval = 5 * time.Second
	// yieldPause is how long an item rests that gave way to online requests.
	yieldPause = time.Second
	// yieldEffect is the time between two items that give way at one worker: the
	// load that is told then shows what the first has brought.
	yieldEffect = 60 * time.Millisecond
	// leastRun is how long an item runs at least before it gives way, so that the
	// reading of its prompt was not for nothing.
	leastRun = time.Second
	// lapseTime is how long items run on after the lease is over. A leader that is
	// only slow hears its majority again soon; what runs meanwhile is recorded
	// through the log, or not at all.
	lapseTime = 300 * time.Millisecond
	// loadsTime is how long a new leader listens before it starts items,
	// loadsPatience the longest that it waits for edges to be heard.
	loadsTime     = 400 * time.Millisecond
	loadsPatience = 1200 * time.Millisecond
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
	running map[itemKey]*task
	// carried holds what items had that were stopped here, where it goes beyond
	// the log.
	carried map[itemKey]carry
	resting map[itemKey]time.Time
	seen    map[string]*sighting
	// yieldedAt is when an item last gave way at a worker.
	yieldedAt map[string]time.Time
	ended     chan *task
	records   chan wire.ItemRecord
	// pending holds items whose result is on its way to the log.
	pending  map[itemKey]bool
	recorded chan recordEnd
	splitter *routetable.Splitter
	runTime  batchplan.RunTime
	leading  bool
	// term is the term that this store led in last, ledAt when it held its
	// lease last.
	term      uint64
	leadSince time.Time
	ledAt     time.Time
	forgetDue time.Time
	// draining holds, once the store is about to stop, whom to tell that no item
	// runs any more.
	draining chan chan struct{}
	drained  chan struct{}
}

// sighting is what this leader has seen of a job since it leads: ages go by its
// own steady clock, because wall clocks may jump.
type sighting struct {
	first     time.Time
	routeGone time.Time
}

const queueLength = 4096

func newRunner(s *Store) *runner {
	return &runner{
		store:     s,
		splitter:  routetable.NewSplitter(),
		running:   map[itemKey]*task{},
		carried:   map[itemKey]carry{},
		resting:   map[itemKey]time.Time{},
		seen:      map[string]*sighting{},
		yieldedAt: map[string]time.Time{},
		pending:   map[itemKey]bool{},
		ended:     make(chan *task, queueLength),
		records:   make(chan wire.ItemRecord, queueLength),
		recorded:  make(chan recordEnd, queueLength),
	}
}

// run looks for items to run until ctx ends.
func (r *runner) run(ctx context.Context) {
	ticker := time.NewTicker(runInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			r.stopAll()
			return
		case <-ticker.C:
			r.drainEvents()
			r.look(ctx, time.Now())
		case ended := <-r.ended:
			r.end(ended)
		case end := <-r.recorded:
			r.takeRecorded(end)
		case r.drained = <-r.draining:
			r.stopAll()
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
	r.draining <- done
	select {
	case <-done:
	case <-ctx.Done():
	}
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
	switch {
	case ended.finished:
		r.pending[ended.key] = true
		if ended.ranWhole {
			r.runTime.Add(ended.ran, ended.carry.events)
		}
	case ended.yielded:
		r.resting[ended.key] = time.Now().Add(yieldPause)
	case ended.rest > 0:
		r.resting[ended.key] = time.Now().Add(ended.rest)
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
	err := r.store.host.Read(batchGroup, func(term uint64, reader storage.Reader) error {
		r.lead(now, term)
		starts = r.plan(ctx, now, reader)
		return nil
	})
	if err != nil {
		if !replication.Lapsed(err) || now.Sub(r.ledAt) > lapseTime {
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
		logging.Info(r.store.logger, "running_items", "leading", true, "term", term)
	}
}

// unlead drops what a store that does not lead must not go on with.
func (r *runner) unlead() {
	if !r.leading {
		return
	}
	r.leading = false
	logging.Info(r.store.logger, "running_items", "leading", false, "term", r.term, "stopped", len(r.running))
	for _, task := range r.running {
		task.unusable = true
	}
	r.stopAll()
	r.seen = map[string]*sighting{}
	r.pending = map[itemKey]bool{}
	r.carried = map[itemKey]carry{}
	r.resting = map[itemKey]time.Time{}
}

// plan stops the tasks of jobs that take no results, and prepares tasks for
// waiting items in the order of package batchplan.
func (r *runner) plan(ctx context.Context, now time.Time, reader storage.Reader) []*task {
	machine := r.store.machine
	for key, task := range r.running {
		if job, err := machine.Job(key.job); err != nil || !job.Open() {
			task.cancel()
		}
	}
	table := r.store.watcher.Current().Table
	items := r.order(now, table)
	r.yield(now, table)
	if table == nil || r.drained != nil || !r.knowsLoads(now) {
		return nil
	}
	var starts []*task
	full := map[string]bool{}
	for _, planned := range items {
		if len(starts) >= maxStarts {
			return starts
		}
		job, err := machine.Job(planned.Job)
		if err != nil {
			continue
		}
		if task := r.consider(ctx, now, reader, table, job, planned, full); task != nil {
			starts = append(starts, task)
		}
	}
	return starts
}

// knowsLoads reports whether this leader knows what runs at the workers. A new one
// that started all items at once would put them beside those that the last leader
// left behind; so it waits until most edges tell it what they have, and until the
// workers' own counts have shown what nobody has. It does not wait for ever.
func (r *runner) knowsLoads(now time.Time) bool {
	led := now.Sub(r.leadSince)
	edges := int64(r.store.watcher.Current().Fleet.Edges)
	return led > loadsPatience || led > loadsTime && 2*r.store.reporting.Load() >= edges
}

// order returns the items that wait to run, in the order in which they do.
func (r *runner) order(now time.Time, table *routetable.Table) []batchplan.Item {
	var items []batchplan.Item
	r.store.machine.Jobs(func(job *batchstate.Job) {
		if r.seen[job.ID] == nil {
			r.seen[job.ID] = &sighting{first: now}
		}
		if !job.Open() {
			return
		}
		for number := range job.Items {
			key := itemKey{job.ID, number}
			if job.Items[number].State == wire.ItemWaiting && r.running[key] == nil && !r.pending[key] && !r.rests(now, key) {
				items = append(items, r.planOf(now, table, job, number))
			}
		}
	})
	batchplan.Sort(items)
	return items
}

// planOf returns an item as the order sees it.
func (r *runner) planOf(now time.Time, table *routetable.Table, job *batchstate.Job, number int) batchplan.Item {
	planned := batchplan.Item{Job: job.ID, Number: number, Order: job.Order}
	if seen := r.seen[job.ID]; seen != nil {
		remaining := r.runTime.Remaining(job.Items[number].Events)
		planned.Urgency = batchplan.Classify(now.Sub(seen.first), dueOf(table, job), remaining)
	}
	return planned
}

// dueOf returns the age at which a job's results are due, or zero.
func dueOf(table *routetable.Table, job *batchstate.Job) time.Duration {
	if table == nil {
		return 0
	}
	return time.Duration(table.Named(job.Route).RunGoalMillis) * time.Millisecond
}

// consider returns a task for the item if it can run now. full names pools, with
// the urgency, that have no room left at this look.
func (r *runner) consider(ctx context.Context, now time.Time, reader storage.Reader, table *routetable.Table, job *batchstate.Job, planned batchplan.Item, full map[string]bool) *task {
	number := planned.Number
	key := itemKey{job.ID, number}
	seen := r.seen[job.ID]
	urgent := planned.Urgency == batchplan.Urgent
	place := job.Route
	if urgent {
		place += " urgent"
	}
	if full[place] {
		return nil
	}
	content, err := r.store.machine.Content(reader, job.ID, number)
	if err != nil {
		logging.Warn(r.store.logger, "item_unreadable", "job", job.ID, "item", number, "error", err)
		return nil
	}
	route := table.Match(job.Host, pathOf(content.Path))
	if route == nil {
		r.routeGone(now, key, seen)
		return nil
	}
	seen.routeGone = time.Time{}
	if route.RetainMillis > 0 && now.Sub(seen.first) > time.Duration(route.RetainMillis)*time.Millisecond {
		r.abandon(key, "retained_long_enough")
		return nil
	}
	demand := &balance.Demand{
		Pool:       r.splitter.Next(route, r.store.workers.Usable),
		Parts:      dialect.Parts(headerOf(content.Headers, r.store.dialect.PromptParts)),
		Batch:      true,
		Urgent:     urgent,
		BatchShare: r.store.settings.BatchShare,
	}
	demand.PromptTokens, _ = dialect.TokenCounts(headerOf(content.Headers, r.store.dialect.Tokens))
	lease := r.store.workers.Acquire(now, demand)
	if lease == nil {
		full[place] = true
		return nil
	}
	return r.prepare(ctx, key, job, route, content, lease)
}

// rests reports whether an item is to wait a moment.
func (r *runner) rests(now time.Time, key itemKey) bool {
	until, rests := r.resting[key]
	if rests && !now.Before(until) {
		delete(r.resting, key)
		return false
	}
	return rests
}

func (r *runner) prepare(ctx context.Context, key itemKey, job *batchstate.Job, route *routetable.Route, content *wire.ItemContent, lease *balance.Lease) *task {
	itemContext, cancel := context.WithCancel(ctx)
	from := r.carryOf(key, &job.Items[key.item])
	started := &task{
		runner:   r,
		key:      key,
		id:       job.Items[key.item].ID,
		host:     job.Host,
		route:    route,
		content:  content,
		chain:    from.chain,
		carry:    from,
		failures: job.Items[key.item].Failures,
		lease:    lease,
		started:  time.Now(),
		context:  itemContext,
		cancel:   cancel,
	}
	r.running[key] = started
	return started
}

// carryOf returns from where an item goes on: from what was carried here, if that
// goes beyond the log, or else from the log.
func (r *runner) carryOf(key itemKey, item *batchstate.Item) carry {
	carried, found := r.carried[key]
	if found && carried.noted >= item.Events {
		return carried
	}
	return carry{events: item.Events, lastEvent: item.LastEvent, noted: item.Events, chain: rand.Uint64()}
}

// yielding is a task that may give way, and its place in the order.
type yielding struct {
	task *task
	plan batchplan.Item
}

// yield stops items that stand in the way of online requests. They go on
// elsewhere from where they are.
func (r *runner) yield(now time.Time, table *routetable.Table) {
	overfull := r.store.workers.Overfull(now)
	if len(overfull) == 0 {
		return
	}
	candidates := make([]yielding, 0, len(r.running))
	for key, running := range r.running {
		if overfull[running.lease.Endpoint.ID] == 0 || !running.mayYield(now) {
			continue
		}
		if job, err := r.store.machine.Job(key.job); err == nil {
			if plan := r.planOf(now, table, job, key.item); plan.Yields() {
				candidates = append(candidates, yielding{running, plan})
			}
		}
	}
	sort.Slice(candidates, func(a, b int) bool { return batchplan.YieldsBefore(candidates[a].plan, candidates[b].plan) })
	for _, candidate := range candidates {
		id := candidate.task.lease.Endpoint.ID
		if now.Sub(r.yieldedAt[id]) < yieldEffect {
			continue
		}
		r.yieldedAt[id] = now
		candidate.task.yielded = true
		candidate.task.cancel()
	}
}

// routeGone gives an item up once its route has been gone for a while.
func (r *runner) routeGone(now time.Time, key itemKey, seen *sighting) {
	switch {
	case seen.routeGone.IsZero():
		seen.routeGone = now
	case now.Sub(seen.routeGone) > routeGrace:
		r.abandon(key, "route_gone")
	}
}

func (r *runner) abandon(key itemKey, reason string) {
	logging.Info(r.store.logger, "item_abandoned", "job", key.job, "item", key.item, "reason", reason)
	r.pending[key] = true
	if !r.enqueue(wire.ItemRecord{Job: key.job, Item: key.item, State: wire.ItemAbandoned}) {
		delete(r.pending, key)
	}
}

// enqueue hands news to the recorder and reports whether there was room.
func (r *runner) enqueue(record wire.ItemRecord) bool {
	select {
	case r.records <- record:
		return true
	default:
		return false
	}
}

// forgettable returns the jobs that ended long ago, as far as this leader knows.
func (r *runner) forgettable(now time.Time) []string {
	var names []string
	for id, seen := range r.seen {
		if now.Sub(seen.first) > r.store.settings.ForgetAfter.Std() {
			names = append(names, id)
		}
	}
	return names
}

func (r *runner) forget(ctx context.Context, names []string) {
	for _, id := range names {
		open := true
		err := r.store.read(func(storage.Reader) error {
			if job, err := r.store.machine.Job(id); err != nil || !job.Open() {
				open = err != nil
			}
			return nil
		})
		if err != nil || open {
			continue
		}
		_, err = r.store.propose(ctx, &wire.BatchCommand{Forget: &wire.BatchName{ID: id}})
		logging.Info(r.store.logger, "job_forgotten", "job", id, "error", err)
	}
}
