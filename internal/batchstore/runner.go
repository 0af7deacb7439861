package batchstore

import (
	"context"
	"sort"
	"time"

	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/batchstate"
	"github.com/sedgemast/sedgemast/internal/dialect"
	"github.com/sedgemast/sedgemast/internal/logging"
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
	resting map[itemKey]time.Time
	seen    map[string]*sighting
	ended   chan *task
	records chan wire.ItemRecord
	// pending holds items whose result is on its way to the log.
	pending   map[itemKey]bool
	recorded  chan itemKey
	splitter  *routetable.Splitter
	leading   bool
	forgetDue time.Time
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
		store:    s,
		splitter: routetable.NewSplitter(),
		running:  map[itemKey]*task{},
		resting:  map[itemKey]time.Time{},
		seen:     map[string]*sighting{},
		pending:  map[itemKey]bool{},
		ended:    make(chan *task, queueLength),
		records:  make(chan wire.ItemRecord, queueLength),
		recorded: make(chan itemKey, queueLength),
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
		case ended := <-r.ended:
			r.end(ended)
		case key := <-r.recorded:
			delete(r.pending, key)
		}
		r.drainEvents()
		r.look(ctx, time.Now())
	}
}

func (r *runner) drainEvents() {
	for {
		select {
		case ended := <-r.ended:
			r.end(ended)
		case key := <-r.recorded:
			delete(r.pending, key)
		default:
			return
		}
	}
}

// end takes in that a task is over.
func (r *runner) end(ended *task) {
	ended.cancel()
	if r.running[ended.key] == ended {
		delete(r.running, ended.key)
	}
	switch {
	case ended.finished:
		r.pending[ended.key] = true
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
	err := r.store.read(func(reader storage.Reader) error {
		r.lead()
		starts = r.plan(ctx, now, reader)
		return nil
	})
	if err != nil {
		r.unlead()
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

func (r *runner) lead() {
	if !r.leading {
		r.leading = true
		logging.Info(r.store.logger, "running_items", "leading", true)
	}
}

// unlead drops what a store that does not lead must not go on with.
func (r *runner) unlead() {
	if !r.leading {
		return
	}
	r.leading = false
	logging.Info(r.store.logger, "running_items", "leading", false, "stopped", len(r.running))
	r.stopAll()
	r.seen = map[string]*sighting{}
	r.pending = map[itemKey]bool{}
	r.resting = map[itemKey]time.Time{}
}

// plan stops the tasks of jobs that take no results, and prepares tasks for
// waiting items in the order in which their jobs were accepted.
func (r *runner) plan(ctx context.Context, now time.Time, reader storage.Reader) []*task {
	machine := r.store.machine
	var open []*batchstate.Job
	machine.Jobs(func(job *batchstate.Job) {
		if r.seen[job.ID] == nil {
			r.seen[job.ID] = &sighting{first: now}
		}
		if job.Open() {
			open = append(open, job)
		}
	})
	for key, task := range r.running {
		if job, err := machine.Job(key.job); err != nil || !job.Open() {
			task.cancel()
		}
	}
	table := r.store.watcher.Current().Table
	if table == nil {
		return nil
	}
	sort.Slice(open, func(a, b int) bool { return open[a].Order < open[b].Order })
	var starts []*task
	for _, job := range open {
		for number := range job.Items {
			if len(starts) >= maxStarts {
				return starts
			}
			if task := r.consider(ctx, now, reader, table, job, number); task != nil {
				starts = append(starts, task)
			}
		}
	}
	return starts
}

// consider returns a task for the item if it can run now.
func (r *runner) consider(ctx context.Context, now time.Time, reader storage.Reader, table *routetable.Table, job *batchstate.Job, number int) *task {
	key := itemKey{job.ID, number}
	if job.Items[number].State != wire.ItemWaiting || r.running[key] != nil || r.pending[key] {
		return nil
	}
	if until, rests := r.resting[key]; rests {
		if now.Before(until) {
			return nil
		}
		delete(r.resting, key)
	}
	content, err := r.store.machine.Content(reader, job.ID, number)
	if err != nil {
		logging.Warn(r.store.logger, "item_unreadable", "job", job.ID, "item", number, "error", err)
		return nil
	}
	route := table.Match(job.Host, pathOf(content.Path))
	seen := r.seen[job.ID]
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
		BatchShare: r.store.settings.BatchShare,
	}
	demand.PromptTokens, _ = dialect.TokenCounts(headerOf(content.Headers, r.store.dialect.Tokens))
	lease := r.store.workers.Acquire(now, demand)
	if lease == nil {
		return nil
	}
	progress, err := r.store.machine.Progress(reader, job.ID, number)
	if err != nil {
		lease.Release()
		return nil
	}
	return r.prepare(ctx, key, job, route, content, progress, lease)
}

func (r *runner) prepare(ctx context.Context, key itemKey, job *batchstate.Job, route *routetable.Route, content *wire.ItemContent, progress *wire.ItemRecord, lease *balance.Lease) *task {
	ctx, cancel := context.WithCancel(ctx)
	started := &task{
		runner:   r,
		key:      key,
		id:       job.Items[key.item].ID,
		host:     job.Host,
		route:    route,
		content:  content,
		progress: *progress,
		lease:    lease,
		context:  ctx,
		cancel:   cancel,
	}
	r.running[key] = started
	return started
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
	r.enqueue(wire.ItemRecord{Job: key.job, Item: key.item, State: wire.ItemAbandoned})
}

// enqueue hands news to the recorder. A full queue drops them: the item is then
// looked at again.
func (r *runner) enqueue(record wire.ItemRecord) {
	select {
	case r.records <- record:
	default:
		r.recorded <- itemKey{record.Job, record.Item}
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
