package batchroom

import (
	"cmp"
	"slices"
	"time"

	"github.com/sedgemast/sedgemast/internal/batchplan"
)

// goalMaxWait is how long an online request may wait behind items without counting as late.
const goalMaxWait = 50 * time.Millisecond

// simMaxWait is how long an online request may wait for items by the planner's input.
const simMaxWait = 60 * time.Millisecond

// report lets a runner report and stores its orders.
func (s *simulation) report(r *simRunner) {
	if s.now < s.plannerBackAt || r.leaderless {
		return
	}
	items := map[uint32]int{}
	waiting := 0
	for _, item := range r.items {
		switch run := item.run; {
		case run == nil && s.now >= item.resumeAt:
			waiting++
		case run != nil && run.preemptAt == 0:
			items[uint32(run.worker+1)]++
		}
	}
	s.planner.ApplyReport(start.Add(s.now), r.name, waiting, items)
	r.orders, r.orderedAt = s.planner.Plan(r.name, s.workersForPlanner()), s.now
}

// planItem returns an item as batchplan orders it.
func (s *simulation) planItem(item *simItem) batchplan.Item {
	completed := item.completed
	if item.run != nil {
		completed += int(max(s.now-item.run.startedAt-simPrefillTime, 0) / simEventTime)
	}
	remaining := s.meanRunTime.Remaining(completed, 0)
	age := s.now - item.submitted
	return batchplan.Item{Number: item.number, Sequence: uint64(item.number), Remaining: remaining, Overdue: batchplan.Overdue(age, simDue, remaining), Slack: batchplan.Slack(age, simDue, remaining)}
}

// poll lets a runner stop and start items by its orders.
func (s *simulation) poll(r *simRunner) {
	if r.leaderless {
		return
	}
	if s.now-r.orderedAt > 400*time.Millisecond {
		r.orders = nil
	}
	s.stopItems(r)
	s.startItems(r)
}

func (s *simulation) stopItems(r *simRunner) {
	stops := map[int]int{}
	for worker, order := range r.orders {
		stops[int(worker)-1] = order.Stop
	}
	var running []*simItem
	for _, item := range r.items {
		if run := item.run; run != nil && run.preemptAt == 0 && stops[run.worker] > 0 && s.now-run.arrivedAt >= minRunTime {
			running = append(running, item)
		}
	}
	slices.SortFunc(running, func(a, b *simItem) int {
		first, second := s.planItem(a), s.planItem(b)
		before, after := batchplan.PreemptedBefore(first, second), batchplan.PreemptedBefore(second, first)
		if worker := a.run.worker; s.useForecast && s.online[worker]+s.items[worker] <= s.slots {
			before, after = batchplan.PreemptedInAdvanceBefore(first, second, s.meanRunTime.Mean()), batchplan.PreemptedInAdvanceBefore(second, first, s.meanRunTime.Mean())
		}
		return cmp.Or(cmp.Compare(a.run.worker, b.run.worker), boolOrder(after)-boolOrder(before))
	})
	for _, item := range running {
		worker := item.run.worker
		if stops[worker] == 0 {
			continue
		}
		stops[worker]--
		order := r.orders[uint32(worker+1)]
		order.Stop--
		r.orders[uint32(worker+1)] = order
		item.run.preemptAt = s.now + simTick
	}
}

func boolOrder(set bool) int {
	if set {
		return 1
	}
	return 0
}

func (s *simulation) startItems(r *simRunner) {
	var waiting []*simItem
	plans := map[*simItem]batchplan.Item{}
	for _, item := range r.items {
		if item.run == nil && s.now >= item.resumeAt {
			waiting = append(waiting, item)
			plans[item] = s.planItem(item)
		}
	}
	slices.SortFunc(waiting, func(a, b *simItem) int {
		first, second := plans[a], plans[b]
		if first.Overdue != second.Overdue {
			return boolOrder(first.Overdue) - boolOrder(second.Overdue)
		}
		return cmp.Or(cmp.Compare(first.Slack, second.Slack), cmp.Compare(a.number, b.number))
	})
	for _, item := range waiting {
		worker := s.grantedWorker(r)
		if worker < 0 {
			return
		}
		order := r.orders[uint32(worker+1)]
		order.Start--
		r.orders[uint32(worker+1)] = order
		item.runs++
		run := &simRun{item: item, worker: worker, arrivedAt: s.now, runner: r}
		item.run = run
		s.enqueue(run)
		s.result.starts++
	}
}

// grantedWorker returns the least loaded worker where the runner may start an item, or -1.
func (s *simulation) grantedWorker(r *simRunner) int {
	best, leastLoad := -1, 0
	for worker := range s.running {
		if r.orders[uint32(worker+1)].Start == 0 {
			continue
		}
		if load := s.online[worker] + s.items[worker]; load < s.slots && (best < 0 || load < leastLoad) {
			best, leastLoad = worker, load
		}
	}
	return best
}

// measure adds up the slots that are idle while items wait, and marks the online requests that
// wait behind items.
func (s *simulation) measure() {
	waiting := 0
	for _, r := range s.runners {
		for _, item := range r.items {
			if item.run == nil && s.now >= item.resumeAt {
				waiting++
			}
		}
	}
	for worker := range s.running {
		holds := slices.ContainsFunc(s.running[worker], func(run *simRun) bool { return run.item != nil })
		for _, run := range s.queues[worker] {
			run.behindItem = run.behindItem || holds && run.item == nil
		}
		if s.now < s.measureFrom {
			continue
		}
		s.slotTicks += float64(s.slots)
		idle := min(s.slots-len(s.running[worker]), waiting)
		s.idleTicks += float64(idle)
		waiting -= idle
	}
}
