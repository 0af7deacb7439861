package batchroom

import (
	"cmp"
	"container/heap"
	"math"
	"time"

	"github.com/sedgemast/sedgemast/internal/forecast"
)

const (
	// carryOut is how long a stop takes from the runner that is told of it to the free slot:
	// two looks of the runner, the second because the news may come just after the first,
	// and a step of the worker.
	carryOut = 50 * time.Millisecond
	// leastStay is how long an item runs at least before it gives way. What would begin with
	// less time than that would stand in the way of the requests that come.
	leastStay = 300 * time.Millisecond
	// startDeviations is how many standard deviations of a count as large as the need are
	// kept when items start beyond what is kept when they stop: else what has just started
	// stops again with the next request more.
	startDeviations = 0.5
	// gapParts is the part of a new value, one in so many, in the mean time between a
	// runner's reports.
	gapParts = 8
)

// Forecast is what is known of the next moments of a pool.
type Forecast struct {
	Pool string
	// Slots counts those of its workers where items may start, IdleSlots those of them that
	// are idle.
	Slots     int
	IdleSlots int
	// ZoneSlots are all slots of its workers by zone, nil where zones make no difference.
	ZoneSlots map[string]int
	// Online is the present need of online requests.
	Online int
	// ReportAge is how old the news of online requests are.
	ReportAge time.Duration
	// Peak returns the highest need of online requests until so long ahead.
	Peak func(ahead time.Duration) forecast.Demand
	// Paused is set while nothing may start there.
	Paused bool
}

// ClearMaxWait lets no online request wait for items in the pools of which an outlook is known and
// whose online requests could hold all slots where items may start. Elsewhere a short wait
// costs less than a stop; here others wait at the edges, unseen by the planner, for each slot
// that an item holds on to.
func (p *Workers) ClearMaxWait() {
	for i := range p.Forecasts {
		outlook := &p.Forecasts[i]
		if p.onlineIn(outlook.Pool) < outlook.Slots {
			continue
		}
		for at := range p.Busy {
			if p.Busy[at].Pool == outlook.Pool {
				p.Busy[at].MaxWait = 0
			}
		}
	}
}

// onlineIn counts the online requests at the pool's workers where items may start.
func (p *Workers) onlineIn(pool string) int {
	online := 0
	for i := range p.Busy {
		if place := &p.Busy[i]; place.Pool == pool && !place.Closed {
			online += place.Online
		}
	}
	return online
}

// gapUntil returns the mean time between reports with the one that has just come. r is nil for
// a runner that had not reported before.
func (r *runner) gapUntil(now time.Time) time.Duration {
	switch {
	case r == nil:
		return 0
	case r.gap == 0:
		return now.Sub(r.at)
	}
	return r.gap + (now.Sub(r.at)-r.gap)/gapParts
}

// prospect is what online requests to come leave of a pool.
type prospect struct {
	outlook *Forecast
	// part is the part of each worker's slots that they need, and zones by how many times
	// that differs in each zone. left is how many items may start, offered how many slots were
	// found for them.
	part    float64
	zones   map[string]float64
	left    int
	offered int
}

// partAt returns the part of the slots that is needed in a zone, of the part in the pool.
func (p *prospect) partAt(zone string, part float64) float64 {
	if times, known := p.zones[zone]; known {
		return min(part*times, 1)
	}
	return part
}

// prospects are those of the pools of which something is known, and few; nil where there
// are none.
type prospects struct {
	pools []*prospect
	// spares says of each opening, in turn, what requests to come leave of it.
	spares []spare
}

// spare is what online requests to come leave of an opening: so many slots, below zero where
// they need more than are open.
type spare struct {
	slots float64
	// pool is what is known of the worker's pool, nil if nothing is.
	pool *prospect
}

func (p *prospects) of(pool string) *prospect {
	for _, known := range p.pools {
		if known.outlook.Pool == pool {
			return known
		}
	}
	return nil
}

// offer takes in so many slots that were found at a worker. Those of busy workers count for
// their pool; what idle ones have is known beforehand (Outlook.IdleSlots).
func (p *prospects) offer(place *Worker, free int, counts bool) {
	if p == nil {
		return
	}
	known := p.of(place.Pool)
	if known == nil {
		p.spares = append(p.spares, spare{slots: float64(free)})
		return
	}
	if counts {
		known.offered += free
	}
	// Requests that are there need no more of the part for those to come.
	coming := max(known.partAt(place.Zone, known.part)*float64(place.Slots)-float64(place.Online), 0)
	p.spares = append(p.spares, spare{slots: float64(free) - coming, pool: known})
}

// withheld returns how many of the slots found are kept for requests to come. So many slots
// at idle workers are taken.
func (p *prospects) withheld(taken int) int {
	if p == nil {
		return 0
	}
	withheld := 0
	for _, known := range p.pools {
		idle := max(known.outlook.IdleSlots-taken, 0)
		withheld += max(known.offered+idle-known.left, 0)
	}
	return withheld
}

// lookAhead finds what online requests to come leave of the pools, and adds the stops that
// make room for them. Items and stops are those at the busy places.
func (p *Planner) lookAhead(name uint32, own *runner, places *Workers, items, stops []int) *prospects {
	var pools []*prospect
	for i := range places.Forecasts {
		outlook := &places.Forecasts[i]
		lead := outlook.ReportAge + own.gap + carryOut
		need := outlook.Peak(lead)
		switch {
		case need.Confident:
			if !p.summary.Demand.Confident || need.Slots > p.summary.Demand.Slots {
				p.summary.Demand = need
			}
			pools = append(pools, p.prospectOf(name, outlook, places, items, stops, need, lead))
		case need.Rising && !outlook.Paused:
			p.summary.Rising = true
			pools = append(pools, p.prospectOf(name, outlook, places, items, stops, need, lead))
		case outlook.Paused:
			pools = append(pools, &prospect{outlook: outlook})
		}
		p.summary.Paused = p.summary.Paused || outlook.Paused
	}
	if len(pools) == 0 {
		return nil
	}
	return &prospects{pools: pools}
}

// prospectOf finds what is left of a pool, and adds the stops that it takes.
func (p *Planner) prospectOf(name uint32, outlook *Forecast, places *Workers, items, stops []int, need forecast.Demand, lead time.Duration) *prospect {
	held, stopping, elsewhere := 0, 0, 0
	for i := range places.Busy {
		switch place := &places.Busy[i]; {
		case place.Pool != outlook.Pool:
		case place.Closed:
			// These go on where they are, whatever comes.
			elsewhere += min(place.Online, place.Slots)
		default:
			held += items[i] + p.grantedAt(place.ShortName, name)
			stopping += stops[i]
		}
	}
	open := func(need forecast.Demand) int { return int(math.Ceil(max(need.Slots-float64(elsewhere), 0))) }
	now, soon := open(need), open(outlook.Peak(lead+leastStay))
	soon += int(startDeviations * math.Sqrt(float64(soon)))
	result := &prospect{outlook: outlook, zones: p.zones.of(outlook)}
	if outlook.Slots > 0 {
		result.part = min(float64(soon)/float64(outlook.Slots), 1)
	}
	part := float64(now) / float64(max(outlook.Slots, 1))
	if over := now + held - stopping - outlook.Slots; over > 0 {
		p.summary.AdvanceStops += stopAhead(outlook, places, items, stops, over, func(place *Worker) float64 { return result.partAt(place.Zone, part) })
	}
	if !outlook.Paused {
		result.left = max(outlook.Slots-soon-held, 0)
	}
	return result
}

// candidate is a worker to stop items at, or to start some.
type candidate struct {
	place int
	rank  float64
	tie   uint32
}

// candidates is a heap of those, the highest rank first.
type candidates []candidate

// Len implements heap.Interface.
func (c candidates) Len() int { return len(c) }

// Less implements heap.Interface.
func (c candidates) Less(a, b int) bool {
	return cmp.Or(cmp.Compare(c[b].rank, c[a].rank), cmp.Compare(c[a].tie, c[b].tie)) < 0
}

// Swap implements heap.Interface.
func (c candidates) Swap(a, b int) { c[a], c[b] = c[b], c[a] }

// Push implements heap.Interface.
func (c *candidates) Push(added any) { *c = append(*c, added.(candidate)) }

// Pop implements heap.Interface.
func (c *candidates) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// lower takes one from the rank of the first one, or the first one out where it is spent.
func (c *candidates) lower(spent bool) {
	if spent {
		heap.Pop(c)
		return
	}
	(*c)[0].rank--
	heap.Fix(c, 0)
}

// stopAhead adds so many stops, each where items leave the fewest slots for the part of the
// slots that online requests will need there. All runners' plans add the same ones, of
// which each gets its part.
func stopAhead(outlook *Forecast, places *Workers, items, stops []int, over int, part func(place *Worker) float64) int {
	var heaped candidates
	for i := range places.Busy {
		place := &places.Busy[i]
		if place.Pool != outlook.Pool || place.Closed || items[i] <= stops[i] {
			continue
		}
		need := max(float64(place.Online), part(place)*float64(place.Slots))
		heaped = append(heaped, candidate{place: i, rank: float64(items[i]-stops[i]-place.Slots) + need, tie: place.ShortName})
	}
	heap.Init(&heaped)
	added := 0
	for ; added < over && len(heaped) > 0; added++ {
		at := heaped[0].place
		stops[at]++
		heaped.lower(stops[at] >= items[at])
	}
	return added
}

// grantAhead gives out so many slots, one after another where requests to come leave
// the most.
func grantAhead(open []opening, count int, spares []spare) map[uint32]int {
	granted := map[uint32]int{}
	heaped := make(candidates, 0, len(open))
	for i := range open {
		heaped = append(heaped, candidate{place: i, rank: spares[i].slots, tie: open[i].tie})
	}
	heap.Init(&heaped)
	for count > 0 && len(heaped) > 0 {
		opening := &open[heaped[0].place]
		if prospect := spares[heaped[0].place].pool; prospect != nil {
			if prospect.left == 0 {
				heap.Pop(&heaped)
				continue
			}
			prospect.left--
		}
		granted[opening.worker]++
		opening.slots--
		count--
		heaped.lower(opening.slots == 0)
	}
	return granted
}
