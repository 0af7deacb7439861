package batchstore

import (
	"sort"
	"time"

	"github.com/sedgemast/sedgemast/internal/batchplan"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/routetable"
)

const (
	// yieldPause is how long an item rests that gave way to online requests.
	yieldPause = 200 * time.Millisecond
	// leastRun is how long an item runs at least before it gives way, so that the
	// reading of its prompt was not for nothing.
	leastRun = 300 * time.Millisecond
)

// yielding is a task that may give way, and its place in the order.
type yielding struct {
	task *task
	plan batchplan.Item
}

// yield stops items that stand in the way of online requests. They go on elsewhere,
// or later, from where they are.
func (r *runner) yield(now time.Time, table *routetable.Table) {
	stops := r.store.workers.PendingStops(now)
	if len(stops) == 0 {
		return
	}
	candidates := make([]yielding, 0, len(r.running))
	var leaving []yielding
	for key, running := range r.running {
		if stops[running.lease.Endpoint.ID] == 0 || !running.mayYield(now) {
			continue
		}
		job, err := r.group.machine.Job(key.job)
		if err != nil {
			continue
		}
		candidate := yielding{running, r.planOf(now, table, job, key.item)}
		if r.leavesAhead(now, table, running) {
			leaving = append(leaving, candidate)
		} else {
			candidates = append(candidates, candidate)
		}
	}
	wait := r.store.runTimes.remaining(0, 0)
	sort.Slice(leaving, func(a, b int) bool { return batchplan.PreemptedInAdvanceBefore(leaving[a].plan, leaving[b].plan, wait) })
	r.stop(leaving, true)
	sort.Slice(candidates, func(a, b int) bool { return batchplan.PreemptedBefore(candidates[a].plan, candidates[b].plan) })
	r.stop(candidates, false)
}

// leavesAhead reports whether items stop at the task's worker for requests that are still
// to come: nobody waits there yet, so it may be chosen who leaves.
func (r *runner) leavesAhead(now time.Time, table *routetable.Table, running *task) bool {
	return r.store.foresees(table, running.pool) && !r.store.workers.Overloaded(now, running.lease.Endpoint.ID)
}

// stop stops as many of the candidates as the planner wants stopped at their workers, the
// first ones first.
func (r *runner) stop(candidates []yielding, ahead bool) {
	for _, candidate := range candidates {
		if candidate.task.lease.ShouldStop() {
			candidate.task.yielded, candidate.task.ahead, candidate.task.plan = true, ahead, candidate.plan
			candidate.task.cancel()
		}
	}
}

// logYield writes down what it costs that an item gave way ahead of requests: what its next
// worker reads again beside the prompt, and the time that it has left to wait.
func (r *runner) logYield(ended *task) {
	if ended.ahead {
		logging.Info(r.store.logger, "item_gave_way", "job", ended.key.job, "item", ended.id, "worker", ended.lease.Endpoint.ID, "events", ended.carry.events, "remaining_ms", ended.plan.Remaining.Milliseconds(), "slack_ms", ended.plan.Slack.Milliseconds(), "overdue", ended.plan.Overdue)
	}
}
