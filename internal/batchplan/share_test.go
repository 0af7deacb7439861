package batchplan

import (
	"math"
	"math/rand"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/proptest"
)

func drawItems(random *rand.Rand, tenants int) []Item {
	items := make([]Item, 1+random.Intn(60))
	for i := range items {
		tenant := random.Intn(tenants)
		items[i] = Item{
			Sequence: uint64(i / 2), Number: i % 2, Overdue: random.Intn(4) == 0, Slack: time.Duration(random.Intn(5)) * time.Second,
			Owner: Owner{Tenant: strconv.Itoa(tenant), Weight: float64(1 + tenant%3)},
		}
	}
	Sort(items)
	return items
}

// sharesWell checks an order against the one before it: it holds the same items, what is
// overdue comes last, a tenant's items keep their order, and no tenant has an item started
// while another would have less for its weight and wants more.
func sharesWell(before, after []Item, running map[string]int) error {
	waits := map[string]int{}
	of := func(items []Item, tenant string) []Item {
		return slices.DeleteFunc(slices.Clone(items), func(item Item) bool { return item.Owner.Tenant != tenant })
	}
	for _, item := range before {
		if !item.Overdue {
			waits[item.Owner.Tenant]++
		}
		if !slices.Equal(of(before, item.Owner.Tenant), of(after, item.Owner.Tenant)) {
			return errors.Newf("the items of %s changed places", item.Owner.Tenant)
		}
	}
	counts, weights := map[string]int{}, map[string]float64{}
	for tenant, count := range running {
		counts[tenant] = count
	}
	for _, item := range after {
		weights[item.Owner.Tenant] = item.Owner.Weight
	}
	for i, item := range after {
		if i > 0 && after[i-1].Overdue && !item.Overdue {
			return errors.Newf("%+v stands behind what is late", item)
		}
		if item.Overdue {
			continue
		}
		tenant := item.Owner.Tenant
		counts[tenant]++
		waits[tenant]--
		for other, wait := range waits {
			if wait > 0 && float64(counts[other]+1)/weights[other] < float64(counts[tenant])/weights[tenant] {
				return errors.Newf("%s has %d of weight %g, %s waits with %d of %g", tenant, counts[tenant], weights[tenant], other, counts[other], weights[other])
			}
		}
	}
	return nil
}

// TestShare holds drawn orders to the rules, and leaves the order of one tenant as it is.
func TestShare(t *testing.T) {
	proptest.Run(t, "share", func(random *rand.Rand) error {
		items := drawItems(random, 1+random.Intn(5))
		running := map[string]int{strconv.Itoa(random.Intn(5)): random.Intn(20)}
		shared := slices.Clone(items)
		ApplyShares(shared, running)
		return sharesWell(items, shared, running)
	})
	proptest.Run(t, "one tenant", func(random *rand.Rand) error {
		items := drawItems(random, 1)
		shared := slices.Clone(items)
		ApplyShares(shared, map[string]int{"0": random.Intn(20)})
		if !slices.Equal(items, shared) {
			return errors.Newf("%+v became %+v", items, shared)
		}
		return nil
	})
}

// TestUnsharedOrderIsSeen leaves orders as they are, and forgets what runs: the check must
// see both.
func TestUnsharedOrderIsSeen(t *testing.T) {
	for name, order := range map[string]func(items []Item, running map[string]int){
		"as it was":         func([]Item, map[string]int) {},
		"forgets what runs": func(items []Item, _ map[string]int) { ApplyShares(items, nil) },
		"late ones in turn": func(items []Item, running map[string]int) {
			ApplyShares(withoutLate(items), running)
			slices.Reverse(items)
		},
		"weights don't count": func(items []Item, running map[string]int) { shareEvenly(items, running) },
	} {
		seen := false
		for seed := int64(0); seed < 200 && !seen; seed++ {
			random := rand.New(rand.NewSource(seed))
			items, running := drawItems(random, 4), map[string]int{"1": 10}
			shared := slices.Clone(items)
			order(shared, running)
			seen = sharesWell(items, shared, running) != nil
		}
		if !seen {
			t.Errorf("%s: not seen", name)
		}
	}
}

func withoutLate(items []Item) []Item {
	for i := range items {
		items[i].Overdue = false
	}
	return items
}

func shareEvenly(items []Item, running map[string]int) {
	weights := map[string]float64{}
	for i := range items {
		weights[items[i].Owner.Tenant] = items[i].Owner.Weight
		items[i].Owner.Weight = 1
	}
	ApplyShares(items, running)
	for i := range items {
		items[i].Owner.Weight = weights[items[i].Owner.Tenant]
	}
}

// TestFloodOfItems lets one tenant hand in a thousand items and another ten, due later: of
// twenty started the smaller one has its ten, and of five with three of the larger running
// already the smaller one has four.
func TestFloodOfItems(t *testing.T) {
	var items []Item
	for i := range 1010 {
		item := Item{Sequence: uint64(i), Slack: time.Second, Owner: Owner{Tenant: "large", Weight: 1}}
		if i >= 1000 {
			item.Owner.Tenant, item.Slack = "small", time.Duration(math.MaxInt64)
		}
		items = append(items, item)
	}
	for _, test := range []struct {
		starts  int
		running map[string]int
		want    int
	}{{20, nil, 10}, {5, map[string]int{"large": 3}, 4}} {
		Sort(items)
		ApplyShares(items, test.running)
		small := 0
		for _, item := range items[:test.starts] {
			if item.Owner.Tenant == "small" {
				small++
			}
		}
		if small != test.want {
			t.Errorf("%d of %d are the smaller tenant's, want %d", small, test.starts, test.want)
		}
	}
}

// TestInTime puts items in slots one after the other: what is late anyway does not count,
// and neither do items that are due at no time.
func TestInTime(t *testing.T) {
	item := func(slack, remaining time.Duration, overdue bool) Item {
		return Item{Slack: slack * time.Second, Remaining: remaining * time.Second, Overdue: overdue}
	}
	items := []Item{item(0, 4, false), item(2, 4, false), item(3, 4, false), item(-9, 4, true)}
	for slots, want := range map[int]bool{0: false, 1: false, 2: false, 3: true, 100: true} {
		if got := InTime(items, slots); got != want {
			t.Errorf("%d slots: %t", slots, got)
		}
	}
	if !InTime(nil, 0) || !InTime([]Item{{Slack: neverDue, Remaining: time.Hour}, {Slack: neverDue}}, 1) {
		t.Error("what is due at no time is late")
	}
}

// BenchmarkShare orders a thousand items of a hundred tenants.
func BenchmarkShare(b *testing.B) {
	random := rand.New(rand.NewSource(1))
	items := make([]Item, 1000)
	for i := range items {
		items[i] = Item{Sequence: uint64(i), Slack: time.Duration(random.Intn(1000)), Owner: Owner{Tenant: strconv.Itoa(random.Intn(100)), Weight: 1}}
	}
	b.ReportAllocs()
	for b.Loop() {
		ApplyShares(items, nil)
	}
}
