// Package fairshare divides room that doesn't suffice for all who ask for it, and keeps
// account of who asks for how much. It is pure: times come from the caller.
//
// Room is whatever is scarce in one place, told as a rate: requests a second. A division says
// how much of it each claimant gets. Meter (meter.go) is the running account at the hub of a
// zone, and says of each request whether its tenant is over its share. Recall (recall.go) stands
// in for that at an edge that is left without an answer.
package fairshare

import (
	"cmp"
	"math"
	"slices"
)

// claimant is who claims room, and by which right.
type claimant struct {
	// Rank goes first where it is smaller.
	Rank int
	// Weight is the claimant's part in the room of its rank, beside the others'; zero
	// counts as one.
	Weight float64
	// Reserve is the room that it gets before others if it asks for it, Ceiling the most
	// that it gets; zero means none. Demand is what it asks for.
	Reserve float64
	Ceiling float64
	Demand  float64
}

// weight returns the weight in use.
func (c *claimant) weight() float64 {
	if c.Weight > 0 {
		return c.Weight
	}
	return 1
}

// most returns the most that the claimant may get.
func (c *claimant) most() float64 {
	if c.Ceiling > 0 {
		return min(c.Demand, c.Ceiling)
	}
	return c.Demand
}

// allotment is what a claimant gets.
type allotment struct {
	// Granted is never more than the claimant's demand.
	Granted float64
	// Share is what it would get if it asked for more: at least Room.
	Share float64
}

// rankFloors is the room that is kept for the claimants of a rank if they ask for it.
type rankFloors map[int]float64

// leastPart is the part of the room that a claimant would have if all ranks were one, which
// it keeps whatever other ranks ask for: nobody starves, and a rank goes before the next in
// the other half.
const leastPart = 0.5

// division is a division under way. Its slices are kept for the next one.
type division struct {
	claimants  []claimant
	allotments []allotment
	// least and most bound what each claimant gets, weights are those in use.
	least   []float64
	most    []float64
	weights []float64
	// scaled is set where the reserves asked for exceed the capacity.
	scaled bool
	// order holds the claimants by rank, ranks those of each rank.
	order []int
	ranks []rankRoom
}

// rankRoom is the claimants of one rank, and the room that is kept for them.
type rankRoom struct {
	number  int
	count   int
	members []int
	kept    float64
}

// divide divides the capacity. Reserves come first. Then ranks are served in their order,
// less what is kept for later ones: the floor of each, and for each claimant leastPart of
// what it would have if all ranks were one. Within a rank room is given by weighted
// max-min: who asks for less than its share gets all of it, and the others get what it
// leaves.
func (d *division) divide(capacity float64, floors rankFloors, claimants []claimant) {
	d.reset(claimants)
	capacity = max(capacity, 0)
	d.reserve(capacity)
	d.keepLeast(capacity)
	d.keepFloors(capacity, floors)
	left, kept := capacity, 0.0
	for i := range d.ranks {
		kept += d.ranks[i].kept
	}
	for i := range d.ranks {
		kept -= d.ranks[i].kept
		left -= d.serve(d.ranks[i].members, left, kept)
	}
}

// reset takes in the claimants.
func (d *division) reset(claimants []claimant) {
	count := len(claimants)
	d.claimants = claimants
	d.allotments = slices.Grow(d.allotments[:0], count)[:count]
	d.least = slices.Grow(d.least[:0], count)[:count]
	d.most = slices.Grow(d.most[:0], count)[:count]
	d.weights = slices.Grow(d.weights[:0], count)[:count]
	d.order = slices.Grow(d.order[:0], count)[:count]
	for i := range claimants {
		d.weights[i] = claimants[i].weight()
		d.most[i] = max(claimants[i].most(), 0)
		d.least[i] = min(max(claimants[i].Reserve, 0), d.most[i])
		d.allotments[i] = allotment{}
	}
	d.sortByRank()
}

// sortByRank gathers the claimants of each rank. Ranks are few.
func (d *division) sortByRank() {
	d.ranks = d.ranks[:0]
	for i := range d.claimants {
		number := d.claimants[i].Rank
		at := slices.IndexFunc(d.ranks, func(r rankRoom) bool { return r.number == number })
		if at < 0 {
			at = len(d.ranks)
			d.ranks = append(d.ranks, rankRoom{number: number})
		}
		d.ranks[at].count++
	}
	slices.SortFunc(d.ranks, func(a, b rankRoom) int { return cmp.Compare(a.number, b.number) })
	first := 0
	for i := range d.ranks {
		rank := &d.ranks[i]
		rank.members = d.order[first : first : first+rank.count]
		first += rank.count
		for j := range d.claimants {
			if d.claimants[j].Rank == rank.number {
				rank.members = append(rank.members, j)
			}
		}
	}
}

// reserve bounds the reserves by the capacity.
func (d *division) reserve(capacity float64) {
	sum := 0.0
	for _, least := range d.least {
		sum += least
	}
	d.scaled = sum > capacity
	if !d.scaled {
		return
	}
	for i := range d.least {
		d.least[i] *= capacity / sum
	}
}

// keepLeast keeps for each claimant a part of what it would have if all ranks were one.
func (d *division) keepLeast(capacity float64) {
	if len(d.ranks) < 2 {
		return
	}
	level := d.level(d.order, capacity)
	for _, i := range d.order {
		d.least[i] = max(d.least[i], leastPart*d.at(i, level))
	}
}

// keepFloors says how much room is kept for each rank.
func (d *division) keepFloors(capacity float64, floors rankFloors) {
	kept, least := 0.0, 0.0
	for i := range d.ranks {
		rank := &d.ranks[i]
		asked := 0.0
		for _, member := range rank.members {
			rank.kept += d.least[member]
			asked += d.most[member]
		}
		least += rank.kept
		floor := floors[rank.number]
		rank.kept = max(rank.kept, min(floor, asked))
		kept += rank.kept
	}
	if kept <= capacity || kept <= least {
		return
	}
	// Floors give way to reserves.
	part := max(capacity-least, 0) / (kept - least)
	for i := range d.ranks {
		rank := &d.ranks[i]
		sum := 0.0
		for _, member := range rank.members {
			sum += d.least[member]
		}
		rank.kept = sum + (rank.kept-sum)*part
	}
}

// serve gives the members of a rank their room: left, less what is kept for later ranks.
// It returns what they got.
func (d *division) serve(members []int, left, kept float64) float64 {
	budget := max(left-kept, 0)
	level := d.level(members, budget)
	given := 0.0
	for _, i := range members {
		d.allotments[i].Granted = d.at(i, level)
		given += d.allotments[i].Granted
	}
	if given > budget && given > 0 {
		// Rounding, or reserves that exceed what is left by it.
		for _, i := range members {
			d.allotments[i].Granted *= budget / given
		}
		given = budget
	}
	for _, i := range members {
		d.allotments[i].Share = d.share(i, level, budget-given)
	}
	return given
}

// share returns what a claimant would get if it asked for more, at a level and with so
// much room to spare in its rank.
func (d *division) share(i int, level, spare float64) float64 {
	room := d.allotments[i].Granted
	share := room + spare
	if !math.IsInf(level, 1) {
		share = max(share, level*d.weights[i])
	}
	if !d.scaled {
		share = max(share, d.claimants[i].Reserve)
	}
	if ceiling := d.claimants[i].Ceiling; ceiling > 0 {
		share = min(share, ceiling)
	}
	return max(share, room)
}

// at returns what a claimant gets at a level: the room of one with the weight one and no
// bounds.
func (d *division) at(i int, level float64) float64 {
	return max(min(level*d.weights[i], d.most[i]), d.least[i])
}

// maxSteps bounds the search of a level: each step halves what is left at least, down to
// the accuracy of a float.
const maxSteps = 64

// accuracy is the part of a budget that may be left over.
const accuracy = 1e-7

// level returns the highest level at which the members get the budget at most, infinite
// where all get what they ask for.
func (d *division) level(members []int, budget float64) float64 {
	asked, weights, high := 0.0, 0.0, 0.0
	for _, i := range members {
		asked += d.most[i]
		weights += d.weights[i]
		high = max(high, d.most[i]/d.weights[i])
	}
	if asked <= budget {
		return math.Inf(1)
	}
	low, guess := 0.0, budget/weights
	for range maxSteps {
		if guess <= low || guess >= high {
			guess = low + (high-low)/2
		}
		given, rising := d.sum(members, guess)
		if given <= budget {
			low = guess
		} else {
			high = guess
		}
		if given <= budget && budget-given <= accuracy*budget {
			break
		}
		// The sum is straight between the bounds of claimants: the next guess lies where
		// it would meet the budget, a little below it.
		guess += (budget*(1-accuracy/2) - given) / max(rising, math.SmallestNonzeroFloat64)
	}
	return low
}

// sum returns what the members get at a level, and how much more for each unit of it.
func (d *division) sum(members []int, level float64) (given, rising float64) {
	for _, i := range members {
		weight := d.weights[i]
		room := level * weight
		switch {
		case room >= d.most[i]:
			room = d.most[i]
		case room <= d.least[i]:
			room = d.least[i]
		default:
			rising += weight
		}
		given += room
	}
	return given, rising
}
