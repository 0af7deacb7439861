package batchroom

import (
	"cmp"
	"slices"
	"time"

	"github.com/sedgemast/sedgemast/internal/batchplan"
)

// mayWait is how long an online request may wait for an item.
const mayWait = 50 * time.Millisecond

// playPatience is how long an online request may wait for items.
const playPatience = 60 * time.Millisecond

// report lets a runner report and take its orders.
func (d *day) report(r *playRunner) {
	if d.now < d.silent || r.cut {
		return
	}
	items := map[uint32]int{}
	waiting := 0
	for _, item := range r.items {
		switch run := item.running; {
		case run == nil && d.now >= item.resting:
			waiting++
		case run != nil && run.leaves == 0:
			items[uint32(run.worker+1)]++
		}
	}
	d.planner.ApplyReport(start.Add(d.now), r.name, waiting, items)
	r.orders, r.ordered = d.planner.Plan(r.name, d.places()), d.now
}

// planOf returns an item as the order sees it.
func (d *day) planOf(item *playItem) batchplan.Item {
	done := item.done
	if item.running != nil {
		done += int(max(d.now-item.running.begun-playReading, 0) / playEvent)
	}
	remaining := d.mean.Remaining(done, 0)
	age := d.now - item.submitted
	return batchplan.Item{Number: item.number, Sequence: uint64(item.number), Remaining: remaining, Overdue: batchplan.Overdue(age, playDue, remaining), Slack: batchplan.Slack(age, playDue, remaining)}
}

// lookOf lets a runner stop and start items.
func (d *day) lookOf(r *playRunner) {
	if r.cut {
		return
	}
	if d.now-r.ordered > 400*time.Millisecond {
		r.orders = nil
	}
	d.stopOf(r)
	d.startOf(r)
}

func (d *day) stopOf(r *playRunner) {
	stops := map[int]int{}
	for worker, order := range r.orders {
		stops[int(worker)-1] = order.Stop
	}
	var running []*playItem
	for _, item := range r.items {
		if run := item.running; run != nil && run.leaves == 0 && stops[run.worker] > 0 && d.now-run.came >= leastStay {
			running = append(running, item)
		}
	}
	slices.SortFunc(running, func(a, b *playItem) int {
		first, second := d.planOf(a), d.planOf(b)
		before, after := batchplan.PreemptedBefore(first, second), batchplan.PreemptedBefore(second, first)
		if worker := a.running.worker; d.foresees && d.online[worker]+d.items[worker] <= d.slots {
			before, after = batchplan.PreemptedInAdvanceBefore(first, second, d.mean.Mean()), batchplan.PreemptedInAdvanceBefore(second, first, d.mean.Mean())
		}
		return cmp.Or(cmp.Compare(a.running.worker, b.running.worker), boolRank(after)-boolRank(before))
	})
	for _, item := range running {
		worker := item.running.worker
		if stops[worker] == 0 {
			continue
		}
		stops[worker]--
		order := r.orders[uint32(worker+1)]
		order.Stop--
		r.orders[uint32(worker+1)] = order
		item.running.leaves = d.now + playTick
	}
}

func boolRank(set bool) int {
	if set {
		return 1
	}
	return 0
}

func (d *day) startOf(r *playRunner) {
	var waiting []*playItem
	plans := map[*playItem]batchplan.Item{}
	for _, item := range r.items {
		if item.running == nil && d.now >= item.resting {
			waiting = append(waiting, item)
			plans[item] = d.planOf(item)
		}
	}
	slices.SortFunc(waiting, func(a, b *playItem) int {
		first, second := plans[a], plans[b]
		if first.Overdue != second.Overdue {
			return boolRank(first.Overdue) - boolRank(second.Overdue)
		}
		return cmp.Or(cmp.Compare(first.Slack, second.Slack), cmp.Compare(a.number, b.number))
	})
	for _, item := range waiting {
		worker := d.granted(r)
		if worker < 0 {
			return
		}
		order := r.orders[uint32(worker+1)]
		order.Start--
		r.orders[uint32(worker+1)] = order
		item.runs++
		run := &playRun{item: item, worker: worker, came: d.now, runner: r}
		item.running = run
		d.enqueue(run)
		d.result.starts++
	}
}

// granted returns the least loaded worker where the runner may start an item, or -1.
func (d *day) granted(r *playRunner) int {
	best, least := -1, 0
	for worker := range d.running {
		if r.orders[uint32(worker+1)].Start == 0 {
			continue
		}
		if load := d.online[worker] + d.items[worker]; load < d.slots && (best < 0 || load < least) {
			best, least = worker, load
		}
	}
	return best
}

// count adds up what is idle while items wait, and who waits behind items.
func (d *day) count() {
	waiting := 0
	for _, r := range d.runners {
		for _, item := range r.items {
			if item.running == nil && d.now >= item.resting {
				waiting++
			}
		}
	}
	for worker := range d.running {
		holds := slices.ContainsFunc(d.running[worker], func(run *playRun) bool { return run.item != nil })
		for _, run := range d.queues[worker] {
			run.behind = run.behind || holds && run.item == nil
		}
		if d.now < d.from {
			continue
		}
		d.slotTicks += float64(d.slots)
		idle := min(d.slots-len(d.running[worker]), waiting)
		d.idleTicks += float64(idle)
		waiting -= idle
	}
}
