// Package batchroom divides what online requests leave of the workers among the
// processes that run items of jobs. It is pure.
//
// One planner sees what all have at each worker. It orders runners to stop items where
// online requests would wait behind them, and grants them slots to start others, so
// that two runners never take the same slot. A grant holds until the runner's next
// report, which shows what became of it.
package batchroom

import (
	"cmp"
	"slices"
	"time"

	"github.com/sedgemast/sedgemast/internal/batchplan"
	"github.com/sedgemast/sedgemast/internal/forecast"
)

const (
	// runnerFresh is how long a runner's report counts.
	runnerFresh = 400 * time.Millisecond
)

// Worker is a worker as the planner sees it. (batchplan.Worker is what of it decides on stops at
// one worker; balance.Choice is the worker chosen for one request.)
type Worker struct {
	// ShortName is the worker's short name.
	ShortName uint32
	// Pool and Zone name its pool and zone where an outlook is known of the pool.
	Pool  string
	Zone  string
	Slots int
	// Online counts the online requests of all processes, Orphans those of them that no
	// living process answers for.
	Online  int
	Orphans int
	// Closed is set where no item may start, Probe where one may all the same: it shows
	// whether the worker is well again.
	Closed bool
	Probe  bool
	// HoldTime is how long an online request holds a slot, zero if unknown, and
	// Patience how long one may wait for items.
	HoldTime time.Duration
	MaxWait  time.Duration
}

// Workers are all workers as the planner sees them.
type Workers struct {
	// Busy are those at which anything is, or no item may start.
	Busy []Worker
	// IdleWorkers and IdleSlots count the others and their slots, which Draw returns some
	// of, drawn by lot, or all. A plan then costs as much as there is work, not as there
	// are workers.
	IdleWorkers int
	IdleSlots   int
	Sample      func(count int) []Worker
	// Forecasts are what is known of the next moments, by pool; none where nothing is forecast.
	Forecasts []Forecast
}

// Order is what a runner is told of a worker: how many items it may start there, and
// how many it is to stop.
type Order struct {
	Start int
	Stop  int
}

// Planner holds what the runners have told. It is not safe for concurrent use.
type Planner struct {
	runners map[uint32]*runner
	zones   zoneNeeds
	summary Summary
}

// Summary is what the last plan rested on and what came of it, summed up over the workers.
type Summary struct {
	Slots   int
	Online  int
	Items   int
	Waiting int
	// Queued counts requests beyond the slots of their workers, Idle the slots that
	// nothing holds at other workers.
	Queued    int
	IdleSlots int
	// FreeSlots counts the slots found for items, Granted those that the runner got, Stops how many items
	// stood in the way.
	FreeSlots int
	Granted   int
	Stops     int
	// AdvanceStops counts those of the stops that make room for requests to come, Need the online
	// need that they rest on where a forecast of a pool is sure, until which moment.
	AdvanceStops int
	Demand       forecast.Demand
	// Rising is set where the stops rest on a rise that has just begun.
	Rising bool
	// Paused is set while nothing may start in some pool because a new planner has not seen enough.
	Paused bool
}

// Summary returns the summary of the last plan.
func (p *Planner) Summary() Summary { return p.summary }

// runner is a process that runs items.
type runner struct {
	at time.Time
	// gap is the time between two reports, zero before the second one.
	gap time.Duration
	// waiting counts the items that could start.
	waiting int
	// items counts those that run, by worker, less those about to stop.
	items map[uint32]int
	// granted counts the slots given at the last report, by worker.
	granted map[uint32]int
}

// New returns a planner that knows no runner.
func New() *Planner { return &Planner{runners: map[uint32]*runner{}} }

// ApplyReport takes in a runner's report: how many items could start, and how many run at
// each worker.
func (p *Planner) ApplyReport(now time.Time, name uint32, waiting int, items map[uint32]int) {
	for known, r := range p.runners {
		if now.Sub(r.at) > runnerFresh {
			delete(p.runners, known)
		}
	}
	p.runners[name] = &runner{at: now, waiting: waiting, items: items, gap: p.runners[name].gapUntil(now)}
}

// Plan returns the orders for a runner that has just reported, by worker.
func (p *Planner) Plan(name uint32, places Workers) map[uint32]Order {
	own := p.runners[name]
	if own == nil {
		return nil
	}
	p.summary = Summary{Waiting: p.waiting(), Slots: places.IdleSlots, IdleSlots: places.IdleSlots}
	items, stops := p.survey(&places)
	p.zones.take(own.at, &places)
	prospects := p.lookAhead(name, own, &places, items, stops)
	orders := map[uint32]Order{}
	open, probes := p.openBusy(name, &places, items, stops, prospects, orders)
	probes = probes[:min(len(probes), own.waiting)]
	taken := p.takenIdle(name, &places)
	p.summary.FreeSlots += max(places.IdleSlots-taken, 0)
	p.summary.FreeSlots -= prospects.withheld(taken)
	share := p.shareOf(own, p.summary.FreeSlots)
	if share > 0 && places.IdleWorkers > 0 {
		// As many as are taken may come up in vain.
		open = append(open, p.openIdle(name, places.Sample(share+taken), prospects)...)
	}
	count := min(share, own.waiting-len(probes))
	if prospects != nil {
		own.granted = grantAhead(open, count, prospects.spares)
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

// survey counts the items at each busy place, and how many of them are to stop there for the
// online requests that are there by now.
func (p *Planner) survey(places *Workers) (items, stops []int) {
	items = make([]int, len(places.Busy))
	stops = make([]int, len(places.Busy))
	for i := range places.Busy {
		place := &places.Busy[i]
		items[i] = p.itemsAt(place.ShortName)
		p.summary.add(place, items[i])
		stops[i] = batchplan.RequiredStops(batchplan.Worker{Slots: place.Slots, Online: place.Online, Items: items[i]}, place.HoldTime, place.MaxWait)
	}
	return items, stops
}

// openBusy orders the runner's part of the stops at busy places. Of the others it returns those
// where items may start, and the avoided workers where one may as a probe.
func (p *Planner) openBusy(name uint32, places *Workers, items, stops []int, prospects *prospects, orders map[uint32]Order) (open []opening, probes []uint32) {
	open = make([]opening, 0, len(places.Busy))
	for i := range places.Busy {
		place := &places.Busy[i]
		if stops[i] > 0 {
			p.summary.Stops += stops[i]
			if part := p.partOf(name, place.ShortName, stops[i]); part > 0 {
				orders[place.ShortName] = Order{Stop: part}
			}
			continue
		}
		if p.mayProbe(name, place, items[i]) {
			probes = append(probes, place.ShortName)
		}
		if free := p.openAt(name, place, items[i]); free > 0 {
			open = append(open, opening{worker: place.ShortName, slots: free, tie: place.ShortName ^ name})
			p.summary.FreeSlots += free
			prospects.offer(place, free, true)
		}
	}
	return open, probes
}

// openAt returns how many items the runner could be granted at a worker. Nothing is left
// free for online requests that may come: items give way to them within three reports, and
// a slot that stays empty until then is lost.
func (p *Planner) openAt(name uint32, place *Worker, items int) int {
	if place.Closed {
		return 0
	}
	return place.Slots - place.Online - items - p.grantedAt(place.ShortName, name)
}

// mayProbe reports whether the runner may start one item at a worker that is avoided. Nothing
// that waits there may hold it up, since its silence would speak against the worker.
func (p *Planner) mayProbe(name uint32, place *Worker, items int) bool {
	return place.Closed && place.Probe && place.Online+items+p.grantedAt(place.ShortName, name) < place.Slots
}

// takenIdle counts the slots at idle workers that others were granted, or have taken since
// the loads were told.
func (p *Planner) takenIdle(name uint32, places *Workers) int {
	busy := make(map[uint32]bool, len(places.Busy))
	for i := range places.Busy {
		busy[places.Busy[i].ShortName] = true
	}
	taken := 0
	for other, r := range p.runners {
		for worker, count := range r.items {
			if !busy[worker] {
				taken += count
			}
		}
		for worker, count := range r.granted {
			if other != name && !busy[worker] {
				taken += count
			}
		}
	}
	return taken
}

// openIdle returns those of some idle workers where items may start.
func (p *Planner) openIdle(name uint32, places []Worker, prospects *prospects) []opening {
	open := make([]opening, 0, len(places))
	for i := range places {
		place := &places[i]
		if free := p.openAt(name, place, p.itemsAt(place.ShortName)); free > 0 {
			open = append(open, opening{worker: place.ShortName, slots: free, tie: place.ShortName ^ name})
			prospects.offer(place, free, false)
		}
	}
	return open
}

// add takes in a worker.
func (s *Summary) add(place *Worker, items int) {
	s.Slots += place.Slots
	s.Online += place.Online
	s.Items += items
	if over := place.Online + items - place.Slots; over > 0 {
		s.Queued += over
	} else {
		s.IdleSlots -= over
	}
}

// itemsAt counts the items of all runners at a worker.
func (p *Planner) itemsAt(worker uint32) int {
	items := 0
	for _, r := range p.runners {
		items += r.items[worker]
	}
	return items
}

// grantedAt counts the slots that are granted to other runners at a worker.
func (p *Planner) grantedAt(worker, except uint32) int {
	granted := 0
	for name, r := range p.runners {
		if name != except {
			granted += r.granted[worker]
		}
	}
	return granted
}

// partOf returns how many of the stops at a worker are the runner's: they are taken
// from the runners in turn, those with the most items there first.
func (p *Planner) partOf(name, worker uint32, stops int) int {
	left := map[uint32]int{}
	var names []uint32
	for other, r := range p.runners {
		if r.items[worker] > 0 {
			left[other] = r.items[worker]
			names = append(names, other)
		}
	}
	part := 0
	for ; stops > 0 && len(names) > 0; stops-- {
		most := slices.MaxFunc(names, func(a, b uint32) int { return cmp.Or(cmp.Compare(left[a], left[b]), cmp.Compare(a, b)) })
		if left[most] == 0 {
			break
		}
		left[most]--
		if most == name {
			part++
		}
	}
	return part
}

// shareOf returns how many of the free slots go to the runner: by how many items
// wait there, rounded up so that no slot is left while any item waits.
func (p *Planner) shareOf(own *runner, free int) int {
	waiting := p.waiting()
	if waiting == 0 {
		return 0
	}
	return min((free*own.waiting+waiting-1)/waiting, own.waiting)
}

// waiting counts the items of all runners that could start.
func (p *Planner) waiting() int {
	waiting := 0
	for _, r := range p.runners {
		waiting += r.waiting
	}
	return waiting
}

// opening is a worker with slots for items.
type opening struct {
	worker uint32
	slots  int
	// tie orders workers of as many slots, differently for each runner.
	tie uint32
}

// grant gives out so many slots, one after another where the most are left.
func grant(open []opening, count int) map[uint32]int {
	granted := map[uint32]int{}
	slices.SortFunc(open, func(a, b opening) int { return cmp.Or(cmp.Compare(b.slots, a.slots), cmp.Compare(a.tie, b.tie)) })
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
