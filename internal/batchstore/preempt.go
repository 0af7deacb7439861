package batchstore

import (
	"sort"
	"time"

	"github.com/sedgemast/sedgemast/internal/batchplan"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/routetable"
)

const (
	// preemptBackoff is how long an item waits after it was preempted.
	preemptBackoff = 200 * time.Millisecond
	// minRunTime is how long an item runs before it may be preempted, so that the prefill of its
	// prompt is not wasted.
	minRunTime = 300 * time.Millisecond
)

// preemptCandidate is a task that may be preempted, with its item as planned.
type preemptCandidate struct {
	task *task
	plan batchplan.Item
}

// preempt stops items that occupy slots that online requests need. They continue from where they
// are, later or at another worker.
func (r *runner) preempt(now time.Time, table *routetable.Table) {
	stops := r.store.workers.PendingStops(now)
	if len(stops) == 0 {
		return
	}
	candidates := make([]preemptCandidate, 0, len(r.running))
	var inAdvance []preemptCandidate
	for key, running := range r.running {
		if stops[running.lease.Endpoint.ID] == 0 || !running.preemptible(now) {
			continue
		}
		job, err := r.group.machine.Job(key.job)
		if err != nil {
			continue
		}
		candidate := preemptCandidate{running, r.planItem(now, table, job, key.item)}
		if r.preemptsInAdvance(now, table, running) {
			inAdvance = append(inAdvance, candidate)
		} else {
			candidates = append(candidates, candidate)
		}
	}
	freshRunTime := r.store.runTimes.remaining(0, 0)
	sort.Slice(inAdvance, func(a, b int) bool {
		return batchplan.PreemptedInAdvanceBefore(inAdvance[a].plan, inAdvance[b].plan, freshRunTime)
	})
	r.stopCandidates(inAdvance, true)
	sort.Slice(candidates, func(a, b int) bool { return batchplan.PreemptedBefore(candidates[a].plan, candidates[b].plan) })
	r.stopCandidates(candidates, false)
}

// preemptsInAdvance reports whether the items that must stop at the task's worker stop for online
// requests that are only forecast. No request waits at that worker yet, so any of its items may be
// chosen.
func (r *runner) preemptsInAdvance(now time.Time, table *routetable.Table, running *task) bool {
	return r.store.forecastEnabled(table, running.pool) && !r.store.workers.Overloaded(now, running.lease.Endpoint.ID)
}

// stopCandidates stops as many candidates as the planner wants stopped at their workers, in the
// given order.
func (r *runner) stopCandidates(candidates []preemptCandidate, inAdvance bool) {
	for _, candidate := range candidates {
		if candidate.task.lease.ShouldStop() {
			candidate.task.preempted, candidate.task.inAdvance, candidate.task.plan = true, inAdvance, candidate.plan
			candidate.task.cancel()
		}
	}
}

// logAdvancePreemption logs the cost of a preemption for forecast requests: the events that the
// next worker must process again besides the prompt, and the time left until the results are due.
func (r *runner) logAdvancePreemption(ended *task) {
	if ended.inAdvance {
		logging.Info(r.store.logger, "item_gave_way", "job", ended.key.job, "item", ended.id, "worker", ended.lease.Endpoint.ID, "events", ended.progress.events, "remaining_ms", ended.plan.Remaining.Milliseconds(), "slack_ms", ended.plan.Slack.Milliseconds(), "overdue", ended.plan.Overdue)
	}
}
