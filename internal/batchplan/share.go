package batchplan

import (
	"cmp"
	"slices"
	"time"
)

// Owner is who an item belongs to: a tenant, or nobody in particular.
type Owner struct {
	Tenant string
	// Weight is the tenant's part beside others', more than zero.
	Weight float64
}

// InTime reports whether all items that can be in time probably will be if they run in
// their order in so many slots. What is late anyway doesn't count.
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

// ApplyShares lets each tenant have its share of the room for items. The items are in the order
// of Sort; running says how many of each tenant's run. The item that goes next is one of
// the tenant that would have the least for its weight with it, and the first of that
// tenant's by the order as it was. What will be late stays behind all that can be in time.
// Where there is one tenant, or none, the order is left as it is.
func ApplyShares(items []Item, running map[string]int) {
	if !several(items) {
		return
	}
	counts := make(map[string]int, len(running))
	for tenant, count := range running {
		counts[tenant] = count
	}
	tags := make([]tagged, len(items))
	for i, item := range items {
		counts[item.Owner.Tenant]++
		tags[i] = tagged{item, float64(counts[item.Owner.Tenant]) / item.Owner.Weight}
	}
	slices.SortStableFunc(tags, func(a, b tagged) int {
		if a.item.Overdue != b.item.Overdue {
			return boolOrder(a.item.Overdue)
		}
		return cmp.Compare(a.tag, b.tag)
	})
	for i := range tags {
		items[i] = tags[i].item
	}
}

// tagged is an item with what its tenant would have for its weight once it runs.
type tagged struct {
	item Item
	tag  float64
}

// several reports whether items belong to more than one tenant.
func several(items []Item) bool {
	for i := range items {
		if items[i].Owner.Tenant != items[0].Owner.Tenant {
			return true
		}
	}
	return false
}
