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
	// maxStarts bounds the items that are started in one poll.
	maxStarts = 64
	// minLoadsWait is how long a new leader collects load reports before it starts items.
	// maxLoadsWait bounds how long it waits for edges to report.
	minLoadsWait = 400 * time.Millisecond
	maxLoadsWait = 1200 * time.Millisecond
)

// plan cancels the tasks of jobs that take no more results, and prepares tasks for waiting items
// in the order of package batchplan.
func (r *runner) plan(ctx context.Context, now time.Time, reader storage.Reader) []*task {
	machine := r.group.machine
	for key, task := range r.running {
		if job, err := machine.Job(key.job); err != nil || !job.Open() {
			task.cancel()
		}
	}
	snapshot := r.store.watcher.Current()
	table := snapshot.Table
	r.known = knowledgeOf(snapshot)
	items := r.waitingItems(now, table)
	r.waiting.Store(int64(len(items)))
	r.preempt(now, table)
	if table == nil || r.drained != nil || !r.loadsKnown(now) {
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
		if task := r.tryPrepare(ctx, now, reader, table, job, planned, full); task != nil {
			starts = append(starts, task)
		}
	}
	return starts
}

// loadsKnown reports whether this leader knows what runs at the workers. If a new leader started
// all items at once, they would run in addition to the items that the last leader left running. So
// a new leader waits until at least half of the edges report their loads, and at least
// minLoadsWait, so that the workers' own counts reveal requests that no process reports. It never
// waits longer than maxLoadsWait.
func (r *runner) loadsKnown(now time.Time) bool {
	led := now.Sub(r.leadSince)
	edges := int64(r.store.watcher.Current().Fleet.Edges)
	return led > maxLoadsWait || led > minLoadsWait && 2*r.store.loads.reporters.Load() >= edges
}

// waitingItems returns the items that wait to run, in the order in which they start.
func (r *runner) waitingItems(now time.Time, table *routetable.Table) []batchplan.Item {
	var items []batchplan.Item
	r.group.machine.EachJob(func(job *batchstate.Job) {
		if r.seen[job.ID] == nil {
			r.seen[job.ID] = &observedJob{firstSeen: now}
		}
		if !job.Open() {
			return
		}
		for number := range job.Items {
			key := itemKey{job.ID, number}
			if job.Items[number].State == wire.ItemWaiting && r.running[key] == nil && !r.pending[key] && !r.inBackoff(now, key) {
				items = append(items, r.planItem(now, table, job, number))
			}
		}
	})
	batchplan.Sort(items)
	// If all items can finish in time, the order by slack is best for every tenant, and shares are
	// not applied.
	if table.Shares() != nil && !batchplan.InTime(items, len(r.running)) {
		batchplan.ApplyShares(items, r.runningByOwner())
	}
	return items
}

// runningByOwner returns the number of running items of each owner.
func (r *runner) runningByOwner() map[string]int {
	running := map[string]int{}
	for _, task := range r.running {
		running[string(task.owner)]++
	}
	return running
}

// planItem returns an item with the attributes by which batchplan sorts it.
func (r *runner) planItem(now time.Time, table *routetable.Table, job *batchstate.Job, number int) batchplan.Item {
	planned := batchplan.Item{Job: job.ID, Number: number, Sequence: job.Sequence, Owner: batchplan.Owner{Tenant: string(job.Owner), Weight: table.WeightOf(job.Owner)}}
	if observed := r.seen[job.ID]; observed != nil {
		age, goal := now.Sub(observed.firstSeen), runGoal(table, job)
		remaining := r.store.runTimes.remaining(r.eventCount(job, number), job.Items[number].Expected)
		planned.Overdue = batchplan.Overdue(age, goal, remaining)
		planned.Slack = batchplan.Slack(age, goal, remaining)
		planned.Remaining = remaining
	}
	return planned
}

// eventCount returns how many events of an item are known, from the log or from a run here.
func (r *runner) eventCount(job *batchstate.Job, number int) int {
	item := &job.Items[number]
	return max(item.Recorded.Events, item.Saved.Events, r.savedProgress[itemKey{job.ID, number}].events)
}

// runGoal returns the age at which a job's results are due, or zero if it has no goal.
func runGoal(table *routetable.Table, job *batchstate.Job) time.Duration {
	if table == nil {
		return 0
	}
	return time.Duration(table.RouteByName(job.Route).RunGoalMillis) * time.Millisecond
}

// tryPrepare returns a task for the item if it can run now, or nil. full holds the routes for
// which this poll found no worker with capacity left.
func (r *runner) tryPrepare(ctx context.Context, now time.Time, reader storage.Reader, table *routetable.Table, job *batchstate.Job, planned batchplan.Item, full map[string]bool) *task {
	number := planned.Number
	key := itemKey{job.ID, number}
	if full[job.Route] {
		return nil
	}
	content, err := r.group.machine.Content(reader, job.ID, number)
	if err != nil {
		logging.Warn(r.store.logger, "item_unreadable", "job", job.ID, "item", number, "error", err)
		return nil
	}
	route := r.routeOf(table, key, job, pathOf(content.Path))
	if route == nil || r.abandonOverdue(key, job, route) {
		return nil
	}
	if r.quarantined(ctx, now, key, job, content) {
		return nil
	}
	request := &balance.Request{
		Pool:       r.splitter.Next(route, r.store.workers.Usable),
		Parts:      httpheader.ParseParts(httpheader.Value(content.Headers, r.store.headerNames.PromptParts)),
		Batch:      true,
		BatchShare: r.store.batchShare(),
		NoProbe:    r.failedProbes[key],
	}
	request.PromptTokens, _ = httpheader.ParseTokenCounts(httpheader.Value(content.Headers, r.store.headerNames.Tokens))
	if r.store.forecastEnabled(table, request.Pool) {
		request.LastWorker = r.savedProgress[key].lastWorker
	}
	resumed := r.startProgress(key, &job.Items[number])
	lease := r.acquire(now, key, request, &resumed)
	if lease == nil {
		// If this item must not be a probe, because it failed as one, another item of the route may
		// still start as a probe. So the route counts as full only if this item was allowed to be a
		// probe, and at any worker.
		full[job.Route] = !request.NoProbe && request.Version == "" && !resumed.recorded
		return nil
	}
	prepared := r.prepare(ctx, key, job, route, content, lease, resumed)
	prepared.goal = table.ShortestGoal(request.Pool)
	prepared.pool, prepared.progress.lastWorker = request.Pool, lease.Endpoint.ID
	return prepared
}

// inBackoff reports whether an item has to wait before its next attempt.
func (r *runner) inBackoff(now time.Time, key itemKey) bool {
	until, found := r.backoffUntil[key]
	if found && !now.Before(until) {
		delete(r.backoffUntil, key)
		return false
	}
	return found
}

func (r *runner) prepare(ctx context.Context, key itemKey, job *batchstate.Job, route *routetable.Route, content *wire.ItemContent, lease *balance.Lease, resumed progress) *task {
	itemContext, cancel := context.WithCancel(ctx)
	prepared := &task{
		runner:   r,
		key:      key,
		id:       job.Items[key.item].ID,
		host:     job.Host,
		owner:    job.Owner,
		route:    route,
		content:  content,
		subject:  r.subjectOf(job, content),
		onTrial:  r.grantedTrials[key],
		chain:    resumed.chain,
		progress: resumed,
		failures: max(job.Items[key.item].Failures, r.failedItems[key].count),
		expected: job.Items[key.item].Expected,
		lease:    lease,
		started:  clock.Now(),
		context:  itemContext,
		cancel:   cancel,
	}
	r.running[key] = prepared
	delete(r.grantedTrials, key)
	r.startPaced(prepared)
	return prepared
}

// startProgress returns the progress from which an item continues: that of its last run at this store
// or, if there is none, that in the log. If an earlier build has recorded the beginning of the result,
// only a run that builds on all of it counts.
func (r *runner) startProgress(key itemKey, item *batchstate.Item) progress {
	saved, found := r.savedProgress[key]
	if recorded := &item.Recorded; recorded.Events > 0 {
		if found && saved.recorded && saved.recordedEvents >= recorded.Events {
			return saved
		}
		return progress{events: recorded.Events, lastEvent: recorded.LastEvent, recordedEvents: recorded.Events, chain: rand.Uint64(), recorded: true}
	}
	if found {
		return saved
	}
	logged := &item.Saved
	return progress{events: logged.Events, lastEvent: logged.LastEvent, prefix: logged.Text, recordedEvents: logged.Events, version: logged.Version, chain: rand.Uint64()}
}

// enqueue hands a record to the record loop and reports whether the channel had space.
func (r *runner) enqueue(record itemRecord) bool {
	select {
	case r.records <- record:
		return true
	default:
		return false
	}
}
