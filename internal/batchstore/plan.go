package batchstore

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/batchplan"
	"github.com/sedgemast/sedgemast/internal/batchstate"
	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// maxStarts bounds the items that are started at one look.
	maxStarts = 64
	// routeGrace is how long a route must be gone before its items are given up.
	routeGrace = 2 * time.Second
	// loadsTime is how long a new leader listens before it starts items,
	// loadsPatience the longest that it waits for edges to be heard.
	loadsTime     = 400 * time.Millisecond
	loadsPatience = 1200 * time.Millisecond
)

// plan stops the tasks of jobs that take no results, and prepares tasks for
// waiting items in the order of package batchplan.
func (r *runner) plan(ctx context.Context, now time.Time, reader storage.Reader) []*task {
	machine := r.group.machine
	for key, task := range r.running {
		if job, err := machine.Job(key.job); err != nil || !job.Open() {
			task.cancel()
		}
	}
	table := r.store.watcher.Current().Table
	items := r.order(now, table)
	r.waiting.Store(int64(len(items)))
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
	return led > loadsPatience || led > loadsTime && 2*r.store.loads.reporting.Load() >= edges
}

// order returns the items that wait to run, in the order in which they do.
func (r *runner) order(now time.Time, table *routetable.Table) []batchplan.Item {
	var items []batchplan.Item
	r.group.machine.EachJob(func(job *batchstate.Job) {
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
	// While all come in time the order by slack does best for everybody.
	if table.Shares() != nil && !batchplan.InTime(items, len(r.running)) {
		batchplan.ApplyShares(items, r.runningOf())
	}
	return items
}

// runningOf counts the items that run by their owners.
func (r *runner) runningOf() map[string]int {
	running := map[string]int{}
	for _, task := range r.running {
		running[string(task.owner)]++
	}
	return running
}

// planOf returns an item as the order sees it.
func (r *runner) planOf(now time.Time, table *routetable.Table, job *batchstate.Job, number int) batchplan.Item {
	planned := batchplan.Item{Job: job.ID, Number: number, Sequence: job.Sequence, Owner: batchplan.Owner{Tenant: string(job.Owner), Weight: table.WeightOf(job.Owner)}}
	if seen := r.seen[job.ID]; seen != nil {
		age, due := now.Sub(seen.first), dueOf(table, job)
		remaining := r.store.runTimes.remaining(r.eventsOf(job, number), job.Items[number].Expected)
		planned.Overdue = batchplan.Overdue(age, due, remaining)
		planned.Slack = batchplan.Slack(age, due, remaining)
		planned.Remaining = remaining
	}
	return planned
}

// eventsOf returns how far an item has come: by the log, or by what was carried here.
func (r *runner) eventsOf(job *batchstate.Job, number int) int {
	return max(job.Items[number].Events, r.carried[itemKey{job.ID, number}].events)
}

// dueOf returns the age at which a job's results are due, or zero.
func dueOf(table *routetable.Table, job *batchstate.Job) time.Duration {
	if table == nil {
		return 0
	}
	return time.Duration(table.RouteByName(job.Route).RunGoalMillis) * time.Millisecond
}

// consider returns a task for the item if it can run now. full names the
// routes that have no room left at this look.
func (r *runner) consider(ctx context.Context, now time.Time, reader storage.Reader, table *routetable.Table, job *batchstate.Job, planned batchplan.Item, full map[string]bool) *task {
	number := planned.Number
	key := itemKey{job.ID, number}
	seen := r.seen[job.ID]
	if full[job.Route] {
		return nil
	}
	content, err := r.group.machine.Content(reader, job.ID, number)
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
	if r.quarantined(ctx, now, key, job, content) {
		return nil
	}
	demand := &balance.Request{
		Pool:       r.splitter.Next(route, r.store.workers.Usable),
		Parts:      httpheader.ParseParts(httpheader.Value(content.Headers, r.store.dialect.PromptParts)),
		Batch:      true,
		BatchShare: r.store.batchShare(),
		NoProbe:    r.unproven[key],
	}
	demand.PromptTokens, _ = httpheader.ParseTokenCounts(httpheader.Value(content.Headers, r.store.dialect.Tokens))
	if r.store.foresees(table, demand.Pool) {
		demand.LastWorker = r.carried[key].worker
	}
	lease := r.store.workers.Acquire(now, demand)
	if lease == nil {
		// Where this one must not be a probe, another one may.
		full[job.Route] = !demand.NoProbe
		return nil
	}
	started := r.prepare(ctx, key, job, route, content, lease)
	started.goal = table.TightestGoal(demand.Pool)
	started.pool, started.carry.worker = demand.Pool, lease.Endpoint.ID
	return started
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
		owner:    job.Owner,
		route:    route,
		content:  content,
		print:    fingerprintOf(job, content),
		onTrial:  r.granted[key],
		chain:    from.chain,
		carry:    from,
		failures: job.Items[key.item].Failures,
		expected: job.Items[key.item].Expected,
		lease:    lease,
		started:  clock.Now(),
		context:  itemContext,
		cancel:   cancel,
	}
	r.running[key] = started
	delete(r.granted, key)
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
	delete(r.unproven, key)
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
