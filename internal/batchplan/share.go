package batchplan

import (
	"cmp"
	"slices"
	"time"
)

// Owner is the tenant that an item belongs to, or the zero value if it belongs to none.
type Owner struct {
	Tenant string
	// Weight is the tenant's weight relative to those of other tenants. It is above zero.
	Weight float64
}

// InTime reports whether all items that are not overdue can be expected to meet their deadlines
// if they run in the given order in that number of slots.
func InTime(items []Item, slots int) bool {
	var work time.Duration
	for i := range items {
		if items[i].Overdue {
			continue
		}
		if work/time.Duration(max(slots, 1)) > items[i].Slack {
			return false
		}
		work += items[i].Remaining
	}
	return true
}

// ApplyShares reorders items so that each tenant gets its share of the slots for items. The items
// must be in the order of Sort; running holds the number of running items by tenant. The next item
// is always one of the tenant that would then have the fewest running items relative to its weight,
// and of this tenant's items the first in the order of Sort. Overdue items stay behind all others.
// With a single tenant, or none, the order does not change.
func ApplyShares(items []Item, running map[string]int) {
	if !severalTenants(items) {
		return
	}
	counts := make(map[string]int, len(running))
	for tenant, count := range running {
		counts[tenant] = count
	}
	tags := make([]taggedItem, len(items))
	for i, item := range items {
		counts[item.Owner.Tenant]++
		tags[i] = taggedItem{item, float64(counts[item.Owner.Tenant]) / item.Owner.Weight}
	}
	slices.SortStableFunc(tags, func(a, b taggedItem) int {
		if a.item.Overdue != b.item.Overdue {
			return boolOrder(a.item.Overdue)
		}
		return cmp.Compare(a.tag, b.tag)
	})
	for i := range tags {
		items[i] = tags[i].item
	}
}

// taggedItem is an item with its tag: the number of items that its tenant would have running once
// this one runs, divided by the tenant's weight. The lowest tag goes first.
type taggedItem struct {
	item Item
	tag  float64
}

// severalTenants reports whether items belong to more than one tenant.
func severalTenants(items []Item) bool {
	for i := range items {
		if items[i].Owner.Tenant != items[0].Owner.Tenant {
			return true
		}
	}
	return false
}
