// Package batchroom divides the slots that online requests leave free among the runners: the
// processes that run items of jobs. It does no I/O and reads no clock.
//
// A single planner knows the load of each worker. It orders runners to stop items where online
// requests would wait behind them, and grants them slots to start others, so that two runners
// never use the same slot. A grant is valid until the runner's next report, which shows whether
// it was used.
package batchroom

import (
	"cmp"
	"slices"
	"time"

	"github.com/sedgemast/sedgemast/internal/batchplan"
	"github.com/sedgemast/sedgemast/internal/forecast"
)

const (
	// runnerTTL is how long a runner's report counts.
	runnerTTL = 400 * time.Millisecond
)

// Worker is what the planner knows of a worker. batchplan.Worker holds the part of it that
// decides how many items stop at one worker; balance.Candidate is the worker chosen for one
// request.
type Worker struct {
	// ShortName is the hash that identifies the worker in load reports (loadshare.WorkerHash).
	ShortName uint32
	// Pool and Zone are set if there is a forecast for the worker's pool.
	Pool  string
	Zone  string
	Slots int
	// Online is the number of online requests of all processes. Orphans is how many of these
	// requests belong to no living process.
	Online  int
	Orphans int
	// Closed is set if no item may start at the worker. Probe is set if a single item may start
	// nevertheless, to find out whether the worker has recovered.
	Closed bool
	Probe  bool
	// HoldTime is how long an online request holds a slot, zero if unknown. MaxWait is how long an
	// online request may wait for items.
	HoldTime time.Duration
	MaxWait  time.Duration
}

// Workers are all workers of the planner.
type Workers struct {
	// Busy are the workers that hold any request or item, or where no item may start.
	Busy []Worker
	// IdleWorkers is the number of all workers that are not in Busy, IdleSlots is the number of
	// their slots. Sample returns up to count of these workers, chosen at random. They are not
	// listed, so the cost of a plan depends on the amount of work and not on the number of workers.
	IdleWorkers int
	IdleSlots   int
	Sample      func(count int) []Worker
	// Forecasts are the forecasts of online demand by pool. Pools without one are absent.
	Forecasts []Forecast
}

// Order tells a runner how many items it may start at a worker, and how many it must stop.
type Order struct {
	Start int
	Stop  int
}

// Planner holds the reports of the runners and the mean demand by zone. It is not safe for
// concurrent use.
type Planner struct {
	runners    map[uint32]*runner
	zoneDemand zoneDemand
	summary    Summary
}

// Summary holds the inputs and results of the last plan, as sums over the workers.
type Summary struct {
	Slots   int
	Online  int
	Items   int
	Waiting int
	// Queued is the number of online requests and items beyond the slots of their workers, summed
	// over the workers that have more of them than slots. IdleSlots is the number of unused slots,
	// summed over all other workers.
	Queued    int
	IdleSlots int
	// FreeSlots is the number of slots found for items, Granted the number granted to the runner,
	// and Stops the number of items that must stop.
	FreeSlots int
	Granted   int
	Stops     int
	// AdvanceStops is how many of the stops make room for online requests that have not arrived
	// yet. Demand is the highest of the pools' confident forecasts of online demand.
	AdvanceStops int
	Demand       forecast.Demand
	// Rising is set if stops are based on a rise of the demand that has just begun.
	Rising bool
	// Paused is set while no item may start in some pool because a new planner has not yet
	// observed the demand for long enough.
	Paused bool
}

// Summary returns the summary of the last plan.
func (p *Planner) Summary() Summary { return p.summary }

// runner is the last report of a process that runs items.
type runner struct {
	reportedAt time.Time
	// interval is the moving mean of the time between two reports, zero before the second report.
	interval time.Duration
	// waiting is the number of items that could start.
	waiting int
	// items is the number of running items by worker, without those that have been told to stop.
	items map[uint32]int
	// granted is the number of slots granted at the last report, by worker.
	granted map[uint32]int
}

// New returns a planner without runners.
func New() *Planner { return &Planner{runners: map[uint32]*runner{}} }

// ApplyReport stores a runner's report: how many of its items could start, and how many run at
// each worker.
func (p *Planner) ApplyReport(now time.Time, name uint32, waiting int, items map[uint32]int) {
	for known, r := range p.runners {
		if now.Sub(r.reportedAt) > runnerTTL {
			delete(p.runners, known)
		}
	}
	p.runners[name] = &runner{reportedAt: now, waiting: waiting, items: items, interval: p.runners[name].intervalUntil(now)}
}

// Plan returns the orders by worker for a runner that has just reported.
func (p *Planner) Plan(name uint32, workers Workers) map[uint32]Order {
	own := p.runners[name]
	if own == nil {
		return nil
	}
	p.summary = Summary{Waiting: p.waiting(), Slots: workers.IdleSlots, IdleSlots: workers.IdleSlots}
	items, stops := p.surveyBusy(&workers)
	p.zoneDemand.update(own.reportedAt, &workers)
	budgets := p.applyForecasts(name, own, &workers, items, stops)
	orders := map[uint32]Order{}
	open, probes := p.planBusy(name, &workers, items, stops, budgets, orders)
	probes = probes[:min(len(probes), own.waiting)]
	usedIdle := p.usedIdleSlots(name, &workers)
	p.summary.FreeSlots += max(workers.IdleSlots-usedIdle, 0)
	p.summary.FreeSlots -= budgets.reservedSlots(usedIdle)
	share := p.slotShare(own, p.summary.FreeSlots)
	if share > 0 && workers.IdleWorkers > 0 {
		// Up to usedIdle of the sampled workers may turn out to be in use, so more are sampled.
		open = append(open, p.idleOpenings(name, workers.Sample(share+usedIdle), budgets)...)
	}
	count := min(share, own.waiting-len(probes))
	if budgets != nil {
		own.granted = grantBySpare(open, count, budgets.spares)
	} else {
		own.granted = grant(open, count)
	}
	for _, worker := range probes {
		own.granted[worker] = 1
	}
	for worker, count := range own.granted {
		orders[worker] = Order{Start: count}
		p.summary.Granted += count
	}
	return orders
}

// surveyBusy returns the number of items at each busy worker, and how many of them must stop for the
// online requests that are already there.
func (p *Planner) surveyBusy(workers *Workers) (items, stops []int) {
	items = make([]int, len(workers.Busy))
	stops = make([]int, len(workers.Busy))
	for i := range workers.Busy {
		w := &workers.Busy[i]
		items[i] = p.itemsAt(w.ShortName)
		p.summary.add(w, items[i])
		stops[i] = batchplan.RequiredStops(batchplan.Worker{Slots: w.Slots, Online: w.Online, Items: items[i]}, w.HoldTime, w.MaxWait)
	}
	return items, stops
}

// planBusy adds the runner's part of the stops at busy workers to orders. Among the busy workers
// where no item must stop, it returns in open those where items may start, and in probes the closed
// ones where the runner may start a probe.
func (p *Planner) planBusy(name uint32, workers *Workers, items, stops []int, budgets *poolBudgets, orders map[uint32]Order) (open []opening, probes []uint32) {
	open = make([]opening, 0, len(workers.Busy))
	for i := range workers.Busy {
		w := &workers.Busy[i]
		if stops[i] > 0 {
			p.summary.Stops += stops[i]
			if ownStops := p.runnerStops(name, w.ShortName, stops[i]); ownStops > 0 {
				orders[w.ShortName] = Order{Stop: ownStops}
			}
			continue
		}
		if p.mayProbe(name, w, items[i]) {
			probes = append(probes, w.ShortName)
		}
		if free := p.freeSlotsAt(name, w, items[i]); free > 0 {
			open = append(open, opening{worker: w.ShortName, slots: free, tieBreak: w.ShortName ^ name})
			p.summary.FreeSlots += free
			budgets.addOpening(w, free, true)
		}
	}
	return open, probes
}

// freeSlotsAt returns how many items the runner could be granted at a worker. No slot is kept free
// here for online requests that may arrive: when they arrive, items are preempted for them within
// three reports, and a slot kept idle before they arrive is wasted.
func (p *Planner) freeSlotsAt(name uint32, w *Worker, items int) int {
	if w.Closed {
		return 0
	}
	return w.Slots - w.Online - items - p.grantedAt(w.ShortName, name)
}

// mayProbe reports whether the runner may start one item at a closed worker as a probe. It may do
// so only if the worker has a free slot: while a probe waited behind other requests, its missing
// response would count against the worker.
func (p *Planner) mayProbe(name uint32, w *Worker, items int) bool {
	return w.Closed && w.Probe && w.Online+items+p.grantedAt(w.ShortName, name) < w.Slots
}

// usedIdleSlots returns the number of slots at idle workers that are granted to other runners, or
// that runners have started items in since the loads were reported.
func (p *Planner) usedIdleSlots(name uint32, workers *Workers) int {
	busy := make(map[uint32]bool, len(workers.Busy))
	for i := range workers.Busy {
		busy[workers.Busy[i].ShortName] = true
	}
	used := 0
	for other, r := range p.runners {
		for worker, count := range r.items {
			if !busy[worker] {
				used += count
			}
		}
		for worker, count := range r.granted {
			if other != name && !busy[worker] {
				used += count
			}
		}
	}
	return used
}

// idleOpenings returns those of the sampled idle workers where items may start.
func (p *Planner) idleOpenings(name uint32, workers []Worker, budgets *poolBudgets) []opening {
	open := make([]opening, 0, len(workers))
	for i := range workers {
		w := &workers[i]
		if free := p.freeSlotsAt(name, w, p.itemsAt(w.ShortName)); free > 0 {
			open = append(open, opening{worker: w.ShortName, slots: free, tieBreak: w.ShortName ^ name})
			budgets.addOpening(w, free, false)
		}
	}
	return open
}

// add adds the load of a worker to the summary.
func (s *Summary) add(w *Worker, items int) {
	s.Slots += w.Slots
	s.Online += w.Online
	s.Items += items
	if excess := w.Online + items - w.Slots; excess > 0 {
		s.Queued += excess
	} else {
		s.IdleSlots -= excess
	}
}

// itemsAt returns the number of items of all runners at a worker.
func (p *Planner) itemsAt(worker uint32) int {
	items := 0
	for _, r := range p.runners {
		items += r.items[worker]
	}
	return items
}

// grantedAt returns the number of slots at a worker that are granted to runners other than
// except.
func (p *Planner) grantedAt(worker, except uint32) int {
	granted := 0
	for name, r := range p.runners {
		if name != except {
			granted += r.granted[worker]
		}
	}
	return granted
}

// runnerStops returns how many of the stops at a worker this runner must carry out. Stops are
// assigned one by one, each to the runner that has the most items left at the worker.
func (p *Planner) runnerStops(name, worker uint32, stops int) int {
	itemCounts := map[uint32]int{}
	var names []uint32
	for other, r := range p.runners {
		if r.items[worker] > 0 {
			itemCounts[other] = r.items[worker]
			names = append(names, other)
		}
	}
	own := 0
	for ; stops > 0 && len(names) > 0; stops-- {
		most := slices.MaxFunc(names, func(a, b uint32) int { return cmp.Or(cmp.Compare(itemCounts[a], itemCounts[b]), cmp.Compare(a, b)) })
		if itemCounts[most] == 0 {
			break
		}
		itemCounts[most]--
		if most == name {
			own++
		}
	}
	return own
}

// slotShare returns how many of the free slots go to the runner: in proportion to its waiting
// items, rounded up so that no slot stays free while items wait.
func (p *Planner) slotShare(own *runner, free int) int {
	waiting := p.waiting()
	if waiting == 0 {
		return 0
	}
	return min((free*own.waiting+waiting-1)/waiting, own.waiting)
}

// waiting returns the number of items of all runners that could start.
func (p *Planner) waiting() int {
	waiting := 0
	for _, r := range p.runners {
		waiting += r.waiting
	}
	return waiting
}

// opening is a worker with free slots for items.
type opening struct {
	worker uint32
	slots  int
	// tieBreak orders workers with equally many slots, differently for each runner.
	tieBreak uint32
}

// grant distributes up to count slots one by one, each at the worker that has the most free slots
// left.
func grant(open []opening, count int) map[uint32]int {
	granted := map[uint32]int{}
	slices.SortFunc(open, func(a, b opening) int {
		return cmp.Or(cmp.Compare(b.slots, a.slots), cmp.Compare(a.tieBreak, b.tieBreak))
	})
	if len(open) == 0 {
		return granted
	}
	for level := open[0].slots; level > 0 && count > 0; level-- {
		for i := 0; i < len(open) && open[i].slots >= level && count > 0; i++ {
			granted[open[i].worker]++
			count--
		}
	}
	return granted
}
