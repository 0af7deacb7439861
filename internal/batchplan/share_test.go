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

func randomItems(random *rand.Rand, tenants int) []Item {
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

// checkShares checks an order against the one before ApplyShares: it holds the same items,
// overdue items come last, each tenant's items keep their order, and no tenant's item starts
// while another tenant with waiting items would have fewer running items relative to its weight.
func checkShares(before, after []Item, running map[string]int) error {
	waiting := map[string]int{}
	itemsOf := func(items []Item, tenant string) []Item {
		return slices.DeleteFunc(slices.Clone(items), func(item Item) bool { return item.Owner.Tenant != tenant })
	}
	for _, item := range before {
		if !item.Overdue {
			waiting[item.Owner.Tenant]++
		}
		if !slices.Equal(itemsOf(before, item.Owner.Tenant), itemsOf(after, item.Owner.Tenant)) {
			return errors.Newf("the order of tenant %s's items changed", item.Owner.Tenant)
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
			return errors.Newf("%+v comes after an overdue item", item)
		}
		if item.Overdue {
			continue
		}
		tenant := item.Owner.Tenant
		counts[tenant]++
		waiting[tenant]--
		for other, queued := range waiting {
			if queued > 0 && float64(counts[other]+1)/weights[other] < float64(counts[tenant])/weights[tenant] {
				return errors.Newf("tenant %s runs %d items with weight %g while tenant %s waits with %d and weight %g", tenant, counts[tenant], weights[tenant], other, counts[other], weights[other])
			}
		}
	}
	return nil
}

// TestShare checks ApplyShares on random items, and that the order of a single tenant does not
// change.
func TestShare(t *testing.T) {
	proptest.Run(t, "share", func(random *rand.Rand) error {
		items := randomItems(random, 1+random.Intn(5))
		running := map[string]int{strconv.Itoa(random.Intn(5)): random.Intn(20)}
		shared := slices.Clone(items)
		ApplyShares(shared, running)
		return checkShares(items, shared, running)
	})
	proptest.Run(t, "one tenant", func(random *rand.Rand) error {
		items := randomItems(random, 1)
		shared := slices.Clone(items)
		ApplyShares(shared, map[string]int{"0": random.Intn(20)})
		if !slices.Equal(items, shared) {
			return errors.Newf("%+v became %+v", items, shared)
		}
		return nil
	})
}

// TestWrongSharesAreDetected checks that checkShares detects faulty implementations of
// ApplyShares.
func TestWrongSharesAreDetected(t *testing.T) {
	for name, order := range map[string]func(items []Item, running map[string]int){
		"no change":             func([]Item, map[string]int) {},
		"ignores running items": func(items []Item, _ map[string]int) { ApplyShares(items, nil) },
		"overdue items first": func(items []Item, running map[string]int) {
			ApplyShares(clearOverdue(items), running)
			slices.Reverse(items)
		},
		"ignores weights": func(items []Item, running map[string]int) { applyEqualShares(items, running) },
	} {
		detected := false
		for seed := int64(0); seed < 200 && !detected; seed++ {
			random := rand.New(rand.NewSource(seed))
			items, running := randomItems(random, 4), map[string]int{"1": 10}
			shared := slices.Clone(items)
			order(shared, running)
			detected = checkShares(items, shared, running) != nil
		}
		if !detected {
			t.Errorf("%s: not detected", name)
		}
	}
}

func clearOverdue(items []Item) []Item {
	for i := range items {
		items[i].Overdue = false
	}
	return items
}

func applyEqualShares(items []Item, running map[string]int) {
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

// TestFloodOfItems checks that a tenant with ten items gets its share beside one with a thousand
// items that are due sooner: of the first twenty starts it gets ten, and of five starts it gets
// four if the larger tenant already runs three items.
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
			t.Errorf("%d of %d starts are the smaller tenant's, want %d", small, test.starts, test.want)
		}
	}
}

// TestInTime checks that overdue items and items without a deadline are ignored.
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
	if !InTime(nil, 0) || !InTime([]Item{{Slack: noDeadlineSlack, Remaining: time.Hour}, {Slack: noDeadlineSlack}}, 1) {
		t.Error("an item without a deadline is late")
	}
}

// BenchmarkShare measures ApplyShares on a thousand items of a hundred tenants.
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
