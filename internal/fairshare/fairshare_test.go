package fairshare

import (
	"math"
	"math/rand"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/proptest"
)

// relativeTolerance bounds the effect of rounding and of levelTolerance, relative to the capacity.
const relativeTolerance = 1e-6

// randomDivision returns the input of a division: the capacity, floors, and claimants with skewed
// demands in some ranks.
func randomDivision(random *rand.Rand) (float64, rankFloors, []claimant) {
	claimants := make([]claimant, 1+random.Intn(80))
	ranks := 1 + random.Intn(4)
	for i := range claimants {
		c := &claimants[i]
		c.Rank = random.Intn(ranks)
		c.Demand = math.Pow(random.Float64(), 3) * 100
		if random.Intn(8) == 0 {
			c.Demand *= 8
		}
		switch random.Intn(6) {
		case 0:
			c.Weight = 0.1 + random.Float64()*10
		case 1:
			c.Reserve = random.Float64() * 20
		case 2:
			c.Ceiling = random.Float64() * 50
		case 3:
			c.Demand = 0
		}
		if c.Ceiling > 0 {
			c.Reserve = min(c.Reserve, c.Ceiling)
		}
	}
	floors := rankFloors{}
	capacity := random.Float64() * 1500
	for rank := range ranks {
		if random.Intn(3) == 0 {
			floors[rank] = capacity * random.Float64() / float64(ranks)
		}
	}
	return capacity, floors, claimants
}

// divide returns what each claimant gets, in a new division.
func divide(capacity float64, floors rankFloors, claimants []claimant) []allotment {
	var d division
	d.divide(capacity, floors, claimants)
	return d.allotments
}

// divider is divide or one of its mutations.
type divider func(capacity float64, floors rankFloors, claimants []claimant) []allotment

// rules are the properties that hold for each division.
var rules = map[string]func(capacity float64, floors rankFloors, claimants []claimant, divide divider) error{
	"the sum is within the capacity": func(capacity float64, floors rankFloors, claimants []claimant, divide divider) error {
		if sum := total(divide(capacity, floors, claimants)); sum > capacity*(1+relativeTolerance) {
			return errors.Newf("%g of a capacity of %g granted", sum, capacity)
		}
		return nil
	},
	"no grant exceeds the demand": func(capacity float64, floors rankFloors, claimants []claimant, divide divider) error {
		for i, a := range divide(capacity, floors, claimants) {
			if a.Granted < 0 || a.Granted > claimants[i].Demand || a.Share < a.Granted {
				return errors.Newf("%+v gets %+v", claimants[i], a)
			}
		}
		return nil
	},
	"no share exceeds the ceiling": func(capacity float64, floors rankFloors, claimants []claimant, divide divider) error {
		for i, a := range divide(capacity, floors, claimants) {
			if c := claimants[i].Ceiling; c > 0 && a.Share > c*(1+relativeTolerance) {
				return errors.Newf("%+v gets %+v", claimants[i], a)
			}
		}
		return nil
	},
	"no capacity is left while a claimant wants it": func(capacity float64, floors rankFloors, claimants []claimant, divide divider) error {
		wanted := 0.0
		for i := range claimants {
			wanted += claimants[i].maxGrant()
		}
		if sum := total(divide(capacity, floors, claimants)); sum < min(wanted, capacity)*(1-relativeTolerance)-relativeTolerance {
			return errors.Newf("%g granted of a capacity of %g, %g wanted", sum, capacity, wanted)
		}
		return nil
	},
	"reserves come first": func(capacity float64, floors rankFloors, claimants []claimant, divide divider) error {
		reserved := 0.0
		for i := range claimants {
			reserved += min(claimants[i].Reserve, claimants[i].maxGrant())
		}
		for i, a := range divide(capacity, floors, claimants) {
			if reserved <= capacity && a.Granted < min(claimants[i].Reserve, claimants[i].maxGrant())*(1-relativeTolerance)-relativeTolerance {
				return errors.Newf("%+v gets %+v of a capacity of %g", claimants[i], a, capacity)
			}
		}
		return nil
	},
	"a demand below the share is granted whole": func(capacity float64, floors rankFloors, claimants []claimant, divide divider) error {
		for i, a := range divide(capacity, floors, claimants) {
			c := &claimants[i]
			if c.Demand < a.Share*(1-relativeTolerance) && a.Granted < c.Demand*(1-relativeTolerance)-relativeTolerance {
				return errors.Newf("%+v gets %+v", *c, a)
			}
		}
		return nil
	},
	"within a rank grants follow the weights unless the demand is smaller": func(capacity float64, floors rankFloors, claimants []claimant, divide divider) error {
		for i := range claimants {
			// Reserves and guaranteed minimums do not follow the weights.
			if claimants[i].Reserve > 0 || claimants[i].Rank > 0 {
				return nil
			}
		}
		got := divide(capacity, floors, claimants)
		for i := range claimants {
			for j := range claimants {
				one, other := &claimants[i], &claimants[j]
				if got[i].Granted < one.maxGrant()*(1-relativeTolerance)-relativeTolerance && got[i].Granted/one.weight() < got[j].Granted/other.weight()*(1-relativeTolerance)-relativeTolerance {
					return errors.Newf("%+v gets %+v, %+v gets %+v", *one, got[i], *other, got[j])
				}
			}
		}
		return nil
	},
	"no claimant starves": func(capacity float64, floors rankFloors, claimants []claimant, divide divider) error {
		together := make([]claimant, len(claimants))
		copy(together, claimants)
		reserved := 0.0
		for i := range together {
			reserved += together[i].Reserve
			together[i].Rank = 0
		}
		if reserved > capacity {
			return nil
		}
		fair := divide(capacity, nil, together)
		for i, a := range divide(capacity, nil, claimants) {
			if a.Granted < fair[i].Granted*guaranteedFraction*(1-relativeTolerance)-relativeTolerance {
				return errors.Newf("%+v gets %+v, and %g without ranks", claimants[i], a, fair[i].Granted)
			}
		}
		return nil
	},
	"the floor of a rank is granted": func(capacity float64, floors rankFloors, claimants []claimant, divide divider) error {
		for i := range claimants {
			if claimants[i].Reserve > 0 {
				return nil
			}
		}
		kept := 0.0
		for _, floor := range floors {
			kept += floor
		}
		if kept > capacity*(1-guaranteedFraction) {
			return nil
		}
		asked, got := map[int]float64{}, map[int]float64{}
		for i, a := range divide(capacity, floors, claimants) {
			asked[claimants[i].Rank] += claimants[i].maxGrant()
			got[claimants[i].Rank] += a.Granted
		}
		for rank, floor := range floors {
			if got[rank] < min(floor, asked[rank])*(1-relativeTolerance)-relativeTolerance {
				return errors.Newf("rank %d gets %g, below its floor of %g", rank, got[rank], floor)
			}
		}
		return nil
	},
	"a rank precedes the next": func(capacity float64, floors rankFloors, claimants []claimant, divide divider) error {
		if len(floors) > 0 {
			return nil
		}
		firstUnsatisfied := math.MaxInt
		got := divide(capacity, floors, claimants)
		for i := range claimants {
			if got[i].Granted < claimants[i].maxGrant()*(1-relativeTolerance)-relativeTolerance {
				firstUnsatisfied = min(firstUnsatisfied, claimants[i].Rank)
			}
		}
		together := make([]claimant, len(claimants))
		copy(together, claimants)
		for i := range together {
			together[i].Rank = 0
		}
		fair := divide(capacity, nil, together)
		later := 0.0
		for i := range claimants {
			if claimants[i].Rank > firstUnsatisfied {
				later += got[i].Granted - max(guaranteedFraction*fair[i].Granted, min(claimants[i].Reserve, claimants[i].maxGrant()))
			}
		}
		if later > capacity*relativeTolerance+relativeTolerance {
			return errors.Newf("rank %d is short of capacity, and later ranks get %g beyond their guaranteed minimums", firstUnsatisfied, later)
		}
		return nil
	},
}

func total(allotments []allotment) float64 {
	sum := 0.0
	for _, a := range allotments {
		sum += a.Granted
	}
	return sum
}

// TestDivide checks the rules with random divisions.
func TestDivide(t *testing.T) {
	for name, rule := range rules {
		t.Run(name, func(t *testing.T) {
			proptest.Run(t, "divide", func(random *rand.Rand) error {
				capacity, floors, claimants := randomDivision(random)
				if random.Intn(2) == 0 {
					oneRank(claimants)
				}
				if random.Intn(2) == 0 {
					for i := range claimants {
						claimants[i].Reserve = 0
					}
				}
				return rule(capacity, floors, claimants, divide)
			})
		})
	}
}

func oneRank(claimants []claimant) {
	for i := range claimants {
		claimants[i].Rank = 0
	}
}

// TestMutationsAreDetected breaks the division in one way for each rule: the rule must detect it.
func TestMutationsAreDetected(t *testing.T) {
	change := func(after func(capacity float64, claimants []claimant, got []allotment)) divider {
		return func(capacity float64, floors rankFloors, claimants []claimant) []allotment {
			got := divide(capacity, floors, claimants)
			after(capacity, claimants, got)
			return got
		}
	}
	alter := func(before func(c *claimant)) divider {
		return func(capacity float64, floors rankFloors, claimants []claimant) []allotment {
			altered := make([]claimant, len(claimants))
			copy(altered, claimants)
			for i := range altered {
				before(&altered[i])
			}
			return divide(capacity, floors, altered)
		}
	}
	byDemand := change(func(capacity float64, claimants []claimant, got []allotment) {
		wanted := 0.0
		for i := range claimants {
			wanted += claimants[i].maxGrant()
		}
		for i := range claimants {
			got[i].Granted = claimants[i].maxGrant() * min(capacity/wanted, 1)
			got[i].Share = max(got[i].Granted, got[i].Share)
		}
	})
	strict := func(capacity float64, floors rankFloors, claimants []claimant) []allotment {
		got := make([]allotment, len(claimants))
		for rank := range 8 {
			for i := range claimants {
				if claimants[i].Rank == rank {
					grant := min(claimants[i].maxGrant(), capacity)
					got[i] = allotment{grant, grant}
					capacity -= grant
				}
			}
		}
		return got
	}
	for name, mutation := range map[string]divider{
		"the sum is within the capacity":                                       change(func(_ float64, claimants []claimant, got []allotment) { demandAll(claimants, got) }),
		"no grant exceeds the demand":                                          change(func(_ float64, _ []claimant, got []allotment) { got[0].Granted++; got[0].Share++ }),
		"no share exceeds the ceiling":                                         alter(func(c *claimant) { c.Ceiling = 0 }),
		"no capacity is left while a claimant wants it":                        change(func(_ float64, _ []claimant, got []allotment) { got[len(got)-1].Granted = 0 }),
		"reserves come first":                                                  alter(func(c *claimant) { c.Reserve = 0 }),
		"a demand below the share is granted whole":                            byDemand,
		"within a rank grants follow the weights unless the demand is smaller": byDemand,
		"no claimant starves":                                                  strict,
		"the floor of a rank is granted":                                       strict,
		"a rank precedes the next":                                             alter(func(c *claimant) { c.Rank = 0 }),
	} {
		seen := false
		for seed := int64(0); seed < 2000 && !seen; seed++ {
			random := rand.New(rand.NewSource(seed))
			capacity, floors, claimants := randomDivision(random)
			if seed%2 == 0 {
				oneRank(claimants)
			}
			if seed%4 < 2 {
				for i := range claimants {
					claimants[i].Reserve = 0
				}
			}
			seen = rules[name](capacity, floors, claimants, mutation) != nil
		}
		if !seen {
			t.Errorf("%s: the mutation is not detected", name)
		}
	}
}

func demandAll(claimants []claimant, got []allotment) {
	for i := range got {
		got[i].Granted = claimants[i].Demand
	}
}

// BenchmarkDivide divides among 1,000 claimants of three ranks.
func BenchmarkDivide(b *testing.B) {
	random := rand.New(rand.NewSource(1))
	claimants := make([]claimant, 1000)
	wanted := 0.0
	for i := range claimants {
		claimants[i] = claimant{Rank: i % 3, Demand: math.Pow(random.Float64(), 3) * 10}
		wanted += claimants[i].Demand
	}
	var d division
	b.ReportAllocs()
	for b.Loop() {
		d.divide(wanted/2, nil, claimants)
	}
}
