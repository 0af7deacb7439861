package batchroom

import (
	"cmp"
	"container/heap"
	"math"
	"time"

	"github.com/sedgemast/sedgemast/internal/forecast"
)

const (
	// stopLatency is the time from an order to stop an item until its slot is free: up to two
	// polls of the runner, because the order may arrive just after the first one, and one step of
	// the worker.
	stopLatency = 50 * time.Millisecond
	// minRunTime is the time that an item runs at least before it is preempted. An item that starts
	// less than minRunTime before a rise of the demand would block the requests of the rise.
	minRunTime = 300 * time.Millisecond
	// startMarginDeviations is a safety margin, in standard deviations of a count as large as the
	// demand. It is reserved on top of the demand when items start, but not when they stop;
	// without it, an item that has just started would be stopped by the next additional request.
	startMarginDeviations = 0.5
	// reportIntervalSamples is the inverse of the weight of a new value in the moving mean of the
	// time between a runner's reports.
	reportIntervalSamples = 8
)

// Forecast is a pool's forecast of online demand for the next moments.
type Forecast struct {
	Pool string
	// Slots is the number of slots at the pool's workers where items may start. IdleSlots is how
	// many of these slots are at idle workers.
	Slots     int
	IdleSlots int
	// ZoneSlots is the number of all slots of the pool's workers by zone, nil if zones are to be
	// ignored.
	ZoneSlots map[string]int
	// Online is the present online demand in slots.
	Online int
	// ReportAge is the age of the reports of online requests.
	ReportAge time.Duration
	// Peak returns the highest online demand between now and the given time ahead.
	Peak func(ahead time.Duration) forecast.Demand
	// Paused is set while no item may start in the pool.
	Paused bool
}

// ClearMaxWait sets MaxWait to zero in the pools that have a forecast and at least as many online
// requests as slots where items may start. In such a full pool, each slot that an item keeps makes
// another request wait at an edge, where the planner does not see it. In all other pools a short
// wait at a worker costs less than a preemption.
func (p *Workers) ClearMaxWait() {
	for i := range p.Forecasts {
		poolForecast := &p.Forecasts[i]
		if p.onlineIn(poolForecast.Pool) < poolForecast.Slots {
			continue
		}
		for at := range p.Busy {
			if p.Busy[at].Pool == poolForecast.Pool {
				p.Busy[at].MaxWait = 0
			}
		}
	}
}

// onlineIn returns the number of online requests at the pool's workers where items may start.
func (p *Workers) onlineIn(pool string) int {
	online := 0
	for i := range p.Busy {
		if w := &p.Busy[i]; w.Pool == pool && !w.Closed {
			online += w.Online
		}
	}
	return online
}

// intervalUntil returns the moving mean of the time between reports, including the report that
// has just arrived. r is nil if it is the runner's first one.
func (r *runner) intervalUntil(now time.Time) time.Duration {
	switch {
	case r == nil:
		return 0
	case r.interval == 0:
		return now.Sub(r.reportedAt)
	}
	return r.interval + (now.Sub(r.reportedAt)-r.interval)/reportIntervalSamples
}

// poolBudget is the capacity that the forecast online demand leaves for items in a pool.
type poolBudget struct {
	forecast *Forecast
	// demandShare is the share of each worker's slots that the demand needs, zoneFactors is the
	// factor to apply to demandShare in each zone. startsLeft is how many items may still start,
	// offeredSlots is how many slots were found for items at busy workers.
	demandShare  float64
	zoneFactors  map[string]float64
	startsLeft   int
	offeredSlots int
}

// shareInZone returns the share of the slots that is needed in a zone if the pool as a whole
// needs the given share.
func (p *poolBudget) shareInZone(zone string, share float64) float64 {
	if factor, known := p.zoneFactors[zone]; known {
		return min(share*factor, 1)
	}
	return share
}

// poolBudgets holds the budgets of the pools with a usable forecast. There are few such pools. It
// is nil if there are none.
type poolBudgets struct {
	pools []*poolBudget
	// spares holds the spare slots of each opening, in the order of the openings.
	spares []spare
}

// spare is the part of an opening's slots that the forecast demand leaves free; it is below zero
// if the demand needs more slots than are open.
type spare struct {
	slots float64
	// pool is the budget of the worker's pool, nil if there is none.
	pool *poolBudget
}

func (p *poolBudgets) forPool(pool string) *poolBudget {
	for _, budget := range p.pools {
		if budget.forecast.Pool == pool {
			return budget
		}
	}
	return nil
}

// addOpening adds free slots that were found at a worker. Slots of busy workers count towards the
// pool's offered slots; those of idle workers are known beforehand (Forecast.IdleSlots).
func (p *poolBudgets) addOpening(w *Worker, free int, busy bool) {
	if p == nil {
		return
	}
	budget := p.forPool(w.Pool)
	if budget == nil {
		p.spares = append(p.spares, spare{slots: float64(free)})
		return
	}
	if busy {
		budget.offeredSlots += free
	}
	// Online requests that are already at the worker are part of its expected demand.
	upcoming := max(budget.shareInZone(w.Zone, budget.demandShare)*float64(w.Slots)-float64(w.Online), 0)
	p.spares = append(p.spares, spare{slots: float64(free) - upcoming, pool: budget})
}

// reservedSlots returns how many of the slots found are kept free for the forecast demand.
// usedIdle is the number of slots in use at idle workers.
func (p *poolBudgets) reservedSlots(usedIdle int) int {
	if p == nil {
		return 0
	}
	reserved := 0
	for _, budget := range p.pools {
		idle := max(budget.forecast.IdleSlots-usedIdle, 0)
		reserved += max(budget.offeredSlots+idle-budget.startsLeft, 0)
	}
	return reserved
}

// applyForecasts returns the budgets that the forecasts leave for items, and adds the stops that
// make room for the forecast demand. items and stops hold the numbers at the busy workers.
func (p *Planner) applyForecasts(name uint32, own *runner, workers *Workers, items, stops []int) *poolBudgets {
	var pools []*poolBudget
	for i := range workers.Forecasts {
		poolForecast := &workers.Forecasts[i]
		lead := poolForecast.ReportAge + own.interval + stopLatency
		demand := poolForecast.Peak(lead)
		switch {
		case demand.Confident:
			if !p.summary.Demand.Confident || demand.Slots > p.summary.Demand.Slots {
				p.summary.Demand = demand
			}
			pools = append(pools, p.budgetFor(name, poolForecast, workers, items, stops, demand, lead))
		case demand.Rising && !poolForecast.Paused:
			p.summary.Rising = true
			pools = append(pools, p.budgetFor(name, poolForecast, workers, items, stops, demand, lead))
		case poolForecast.Paused:
			pools = append(pools, &poolBudget{forecast: poolForecast})
		}
		p.summary.Paused = p.summary.Paused || poolForecast.Paused
	}
	if len(pools) == 0 {
		return nil
	}
	return &poolBudgets{pools: pools}
}

// budgetFor returns the budget of a pool for the given demand, and adds the stops that this
// demand requires.
func (p *Planner) budgetFor(name uint32, poolForecast *Forecast, workers *Workers, items, stops []int, demand forecast.Demand, lead time.Duration) *poolBudget {
	occupied, stopping, onlineAtClosed := 0, 0, 0
	for i := range workers.Busy {
		switch w := &workers.Busy[i]; {
		case w.Pool != poolForecast.Pool:
		case w.Closed:
			// These requests stay at their workers, so they need no slot at an open one.
			onlineAtClosed += min(w.Online, w.Slots)
		default:
			occupied += items[i] + p.grantedAt(w.ShortName, name)
			stopping += stops[i]
		}
	}
	openDemand := func(demand forecast.Demand) int { return int(math.Ceil(max(demand.Slots-float64(onlineAtClosed), 0))) }
	stopDemand, startDemand := openDemand(demand), openDemand(poolForecast.Peak(lead+minRunTime))
	startDemand += int(startMarginDeviations * math.Sqrt(float64(startDemand)))
	result := &poolBudget{forecast: poolForecast, zoneFactors: p.zoneDemand.factors(poolForecast)}
	if poolForecast.Slots > 0 {
		result.demandShare = min(float64(startDemand)/float64(poolForecast.Slots), 1)
	}
	share := float64(stopDemand) / float64(max(poolForecast.Slots, 1))
	if excess := stopDemand + occupied - stopping - poolForecast.Slots; excess > 0 {
		p.summary.AdvanceStops += addAdvanceStops(poolForecast, workers, items, stops, excess, func(w *Worker) float64 { return result.shareInZone(w.Zone, share) })
	}
	if !poolForecast.Paused {
		result.startsLeft = max(poolForecast.Slots-startDemand-occupied, 0)
	}
	return result
}

// rankedWorker is a worker at which items may stop or start.
type rankedWorker struct {
	index    int
	rank     float64
	tieBreak uint32
}

// workerHeap is a heap of workers with the highest rank on top. It implements heap.Interface.
type workerHeap []rankedWorker

// Len implements heap.Interface.
func (h workerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h workerHeap) Less(a, b int) bool {
	return cmp.Or(cmp.Compare(h[b].rank, h[a].rank), cmp.Compare(h[a].tieBreak, h[b].tieBreak)) < 0
}

// Swap implements heap.Interface.
func (h workerHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *workerHeap) Push(added any) { *h = append(*h, added.(rankedWorker)) }

// Pop implements heap.Interface.
func (h *workerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// decrementTop lowers the rank of the top worker by one, or removes the worker if it is used up.
func (h *workerHeap) decrementTop(spent bool) {
	if spent {
		heap.Pop(h)
		return
	}
	(*h)[0].rank--
	heap.Fix(h, 0)
}

// addAdvanceStops adds up to excess stops, each at the worker where items leave the fewest slots
// for its expected online demand, and returns how many it added. The plans for all runners add
// the same stops, of which each runner carries out its part.
func addAdvanceStops(poolForecast *Forecast, workers *Workers, items, stops []int, excess int, demandShare func(w *Worker) float64) int {
	var ranked workerHeap
	for i := range workers.Busy {
		w := &workers.Busy[i]
		if w.Pool != poolForecast.Pool || w.Closed || items[i] <= stops[i] {
			continue
		}
		demand := max(float64(w.Online), demandShare(w)*float64(w.Slots))
		ranked = append(ranked, rankedWorker{index: i, rank: float64(items[i]-stops[i]-w.Slots) + demand, tieBreak: w.ShortName})
	}
	heap.Init(&ranked)
	added := 0
	for ; added < excess && len(ranked) > 0; added++ {
		top := ranked[0].index
		stops[top]++
		ranked.decrementTop(stops[top] >= items[top])
	}
	return added
}

// grantBySpare distributes up to count slots one by one, each at the worker that has the most spare
// slots left.
func grantBySpare(open []opening, count int, spares []spare) map[uint32]int {
	granted := map[uint32]int{}
	ranked := make(workerHeap, 0, len(open))
	for i := range open {
		ranked = append(ranked, rankedWorker{index: i, rank: spares[i].slots, tieBreak: open[i].tieBreak})
	}
	heap.Init(&ranked)
	for count > 0 && len(ranked) > 0 {
		opening := &open[ranked[0].index]
		if budget := spares[ranked[0].index].pool; budget != nil {
			if budget.startsLeft == 0 {
				heap.Pop(&ranked)
				continue
			}
			budget.startsLeft--
		}
		granted[opening.worker]++
		opening.slots--
		count--
		ranked.decrementTop(opening.slots == 0)
	}
	return granted
}
