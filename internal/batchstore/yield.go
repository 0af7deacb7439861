package batchstore

import (
	"sort"
	"time"

	"github.com/sedgemast/sedgemast/internal/batchplan"
	"github.com/sedgemast/sedgemast/internal/routetable"
)

const (
	// yieldPause is how long an item rests that gave way to online requests.
	yieldPause = time.Second
	// yieldEffect is the time between two items that give way at one worker: the
	// load that is told then shows what the first has brought.
	yieldEffect = 60 * time.Millisecond
	// leastRun is how long an item runs at least before it gives way, so that the
	// reading of its prompt was not for nothing.
	leastRun = time.Second
)

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
