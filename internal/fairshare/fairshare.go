// Package fairshare divides capacity that doesn't suffice for all demand, and keeps account of who
// asks for how much. It is pure: times come from the caller.
//
// Capacity is a rate, in requests a second, of whatever is scarce in one place. A division says how
// much of it each claimant gets. Meter (meter.go) keeps the running account at the hub of a zone, and
// says of each request whether its tenant is over its share. Fallback (fallback.go) replaces the meter
// at an edge that gets no answer from the hub.
package fairshare

import (
	"cmp"
	"math"
	"slices"
)

// claimant competes for a share of the capacity.
type claimant struct {
	// Rank orders claimants: a smaller rank goes first.
	Rank int
	// Weight is the claimant's weight among those of its rank; zero counts as one.
	Weight float64
	// Reserve is the capacity that the claimant gets before others if it asks for it. Ceiling is the
	// most that it gets, zero for no limit. Demand is what it asks for.
	Reserve float64
	Ceiling float64
	Demand  float64
}

// weight returns the effective weight.
func (c *claimant) weight() float64 {
	if c.Weight > 0 {
		return c.Weight
	}
	return 1
}

// maxGrant returns the demand, limited by the ceiling.
func (c *claimant) maxGrant() float64 {
	if c.Ceiling > 0 {
		return min(c.Demand, c.Ceiling)
	}
	return c.Demand
}

// allotment is what a claimant gets.
type allotment struct {
	// Granted never exceeds the claimant's demand.
	Granted float64
	// Share is what the claimant would get if it asked for more. It is never below Granted.
	Share float64
}

// rankFloors is the capacity reserved for the claimants of each rank, as far as they ask for it.
type rankFloors map[int]float64

// guaranteedFraction sets what a claimant keeps whatever other ranks ask for: this fraction of what
// it would get if all claimants had the same rank. So no claimant starves, and ranks take
// precedence only in the rest of the capacity.
const guaranteedFraction = 0.5

// division is the state of one division. Its slices are reused by the next one.
type division struct {
	claimants  []claimant
	allotments []allotment
	// minGrants and maxGrants bound what each claimant gets, weights are the effective ones.
	minGrants []float64
	maxGrants []float64
	weights   []float64
	// reservesScaled is set if the sum of the reserves exceeds the capacity.
	reservesScaled bool
	// byRank holds the indexes of the claimants sorted by rank, ranks a group for each rank.
	byRank []int
	ranks  []rankGroup
}

// rankGroup holds the claimants of one rank and the capacity reserved for them.
type rankGroup struct {
	rank     int
	count    int
	members  []int
	reserved float64
}

// divide divides the capacity. Reserves come first. Then ranks are served in their order, except
// for what is reserved for later ones: the floor of each rank and, for each claimant,
// guaranteedFraction of what it would get if all ranks were one. Within a rank capacity is divided
// by weighted max-min fairness: a claimant that asks for less than its share gets all of its demand,
// and the others divide the rest.
func (d *division) divide(capacity float64, floors rankFloors, claimants []claimant) {
	d.reset(claimants)
	capacity = max(capacity, 0)
	d.boundReserves(capacity)
	d.guaranteeMinimums(capacity)
	d.applyFloors(capacity, floors)
	remaining, reserved := capacity, 0.0
	for i := range d.ranks {
		reserved += d.ranks[i].reserved
	}
	for i := range d.ranks {
		reserved -= d.ranks[i].reserved
		remaining -= d.allocate(d.ranks[i].members, remaining, reserved)
	}
}

// reset prepares a division among the claimants.
func (d *division) reset(claimants []claimant) {
	count := len(claimants)
	d.claimants = claimants
	d.allotments = slices.Grow(d.allotments[:0], count)[:count]
	d.minGrants = slices.Grow(d.minGrants[:0], count)[:count]
	d.maxGrants = slices.Grow(d.maxGrants[:0], count)[:count]
	d.weights = slices.Grow(d.weights[:0], count)[:count]
	d.byRank = slices.Grow(d.byRank[:0], count)[:count]
	for i := range claimants {
		d.weights[i] = claimants[i].weight()
		d.maxGrants[i] = max(claimants[i].maxGrant(), 0)
		d.minGrants[i] = min(max(claimants[i].Reserve, 0), d.maxGrants[i])
		d.allotments[i] = allotment{}
	}
	d.sortByRank()
}

// sortByRank groups the claimants by rank. It scans the groups because there are few ranks.
func (d *division) sortByRank() {
	d.ranks = d.ranks[:0]
	for i := range d.claimants {
		rank := d.claimants[i].Rank
		index := slices.IndexFunc(d.ranks, func(r rankGroup) bool { return r.rank == rank })
		if index < 0 {
			index = len(d.ranks)
			d.ranks = append(d.ranks, rankGroup{rank: rank})
		}
		d.ranks[index].count++
	}
	slices.SortFunc(d.ranks, func(a, b rankGroup) int { return cmp.Compare(a.rank, b.rank) })
	first := 0
	for i := range d.ranks {
		group := &d.ranks[i]
		group.members = d.byRank[first : first : first+group.count]
		first += group.count
		for j := range d.claimants {
			if d.claimants[j].Rank == group.rank {
				group.members = append(group.members, j)
			}
		}
	}
}

// boundReserves scales the reserves down if their sum exceeds the capacity.
func (d *division) boundReserves(capacity float64) {
	sum := 0.0
	for _, minGrant := range d.minGrants {
		sum += minGrant
	}
	d.reservesScaled = sum > capacity
	if !d.reservesScaled {
		return
	}
	for i := range d.minGrants {
		d.minGrants[i] *= capacity / sum
	}
}

// guaranteeMinimums raises each claimant's minimum to guaranteedFraction of what it would get if all
// ranks were one.
func (d *division) guaranteeMinimums(capacity float64) {
	if len(d.ranks) < 2 {
		return
	}
	level := d.waterLevel(d.byRank, capacity)
	for _, i := range d.byRank {
		d.minGrants[i] = max(d.minGrants[i], guaranteedFraction*d.grantAt(i, level))
	}
}

// applyFloors computes the capacity that is reserved for each rank.
func (d *division) applyFloors(capacity float64, floors rankFloors) {
	reserved, minimum := 0.0, 0.0
	for i := range d.ranks {
		group := &d.ranks[i]
		demand := 0.0
		for _, member := range group.members {
			group.reserved += d.minGrants[member]
			demand += d.maxGrants[member]
		}
		minimum += group.reserved
		floor := floors[group.rank]
		group.reserved = max(group.reserved, min(floor, demand))
		reserved += group.reserved
	}
	if reserved <= capacity || reserved <= minimum {
		return
	}
	// Floors are reduced so that the claimants' minimums fit.
	fraction := max(capacity-minimum, 0) / (reserved - minimum)
	for i := range d.ranks {
		group := &d.ranks[i]
		sum := 0.0
		for _, member := range group.members {
			sum += d.minGrants[member]
		}
		group.reserved = sum + (group.reserved-sum)*fraction
	}
}

// allocate divides among the members of a rank the remaining capacity, less what is reserved for
// later ranks. It returns the sum of their grants.
func (d *division) allocate(members []int, remaining, reserved float64) float64 {
	budget := max(remaining-reserved, 0)
	level := d.waterLevel(members, budget)
	granted := 0.0
	for _, i := range members {
		d.allotments[i].Granted = d.grantAt(i, level)
		granted += d.allotments[i].Granted
	}
	if granted > budget && granted > 0 {
		// The grants exceed the budget by rounding errors, or because the sum of the minimums
		// exceeds it by a rounding error.
		for _, i := range members {
			d.allotments[i].Granted *= budget / granted
		}
		granted = budget
	}
	for _, i := range members {
		d.allotments[i].Share = d.share(i, level, budget-granted)
	}
	return granted
}

// share returns what a claimant would get if it asked for more, at the given level and with the given
// capacity unallocated in its rank.
func (d *division) share(i int, level, unallocated float64) float64 {
	granted := d.allotments[i].Granted
	share := granted + unallocated
	if !math.IsInf(level, 1) {
		share = max(share, level*d.weights[i])
	}
	if !d.reservesScaled {
		share = max(share, d.claimants[i].Reserve)
	}
	if ceiling := d.claimants[i].Ceiling; ceiling > 0 {
		share = min(share, ceiling)
	}
	return max(share, granted)
}

// grantAt returns what a claimant gets at a level. The level is the grant of a claimant of weight one
// without bounds.
func (d *division) grantAt(i int, level float64) float64 {
	return max(min(level*d.weights[i], d.maxGrants[i]), d.minGrants[i])
}

// maxLevelSteps bounds the search for a level. With steps that halve the interval, the search
// reaches the accuracy of a float64 within this number.
const maxLevelSteps = 64

// levelTolerance is the fraction of a budget that may be left over.
const levelTolerance = 1e-7

// waterLevel returns the highest level at which the sum of the members' grants stays within the
// budget. It is infinite if all members get their whole demand.
func (d *division) waterLevel(members []int, budget float64) float64 {
	demand, weights, high := 0.0, 0.0, 0.0
	for _, i := range members {
		demand += d.maxGrants[i]
		weights += d.weights[i]
		high = max(high, d.maxGrants[i]/d.weights[i])
	}
	if demand <= budget {
		return math.Inf(1)
	}
	low, guess := 0.0, budget/weights
	for range maxLevelSteps {
		if guess <= low || guess >= high {
			guess = low + (high-low)/2
		}
		granted, slope := d.totalAt(members, guess)
		if granted <= budget {
			low = guess
		} else {
			high = guess
		}
		if granted <= budget && budget-granted <= levelTolerance*budget {
			break
		}
		// The sum is linear between the bounds of claimants. The next guess is where the line meets
		// the budget, less half of the tolerance.
		guess += (budget*(1-levelTolerance/2) - granted) / max(slope, math.SmallestNonzeroFloat64)
	}
	return low
}

// totalAt returns the sum of the members' grants at a level, and its slope there.
func (d *division) totalAt(members []int, level float64) (granted, slope float64) {
	for _, i := range members {
		weight := d.weights[i]
		grant := level * weight
		switch {
		case grant >= d.maxGrants[i]:
			grant = d.maxGrants[i]
		case grant <= d.minGrants[i]:
			grant = d.minGrants[i]
		default:
			slope += weight
		}
		granted += grant
	}
	return granted, slope
}
