package ratelimit

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Reserve is what an edge may let in while it hears no hub: its share of one part of the
// tolerance (Tolerance.Spare), in each window. Shares are whole requests: where there are
// fewer than edges, those edges have one that a hash names, so that the sum over all edges
// is that part in the mean. It is not safe for concurrent use.
type Reserve struct {
	edge uint64
	// spent holds when requests of each tenant were let in, in the last window.
	spent map[Tenant][]time.Time
}

// NewReserve returns the reserve of an edge.
func NewReserve(edge string) *Reserve {
	return &Reserve{edge: xxhash.Sum64String(edge), spent: map[Tenant][]time.Time{}}
}

// Take takes a request of the tenant from the reserve, of one of so many edges.
func (r *Reserve) Take(now time.Time, tenant Tenant, limit Limit, tolerance Tolerance, edges int) bool {
	spent := r.spent[tenant]
	for len(spent) > 0 && now.Sub(spent[0]) > tolerance.Window {
		spent = spent[1:]
	}
	r.spent[tenant] = spent
	if len(spent) >= r.part(tenant, tolerance.Spare(limit), max(edges, 1)) {
		return false
	}
	r.spent[tenant] = append(spent, now)
	return true
}

// Retain forgets the tenants that are not kept.
func (r *Reserve) Retain(limits map[Tenant]Limit) {
	for tenant := range r.spent {
		if _, limited := limits[tenant]; !limited {
			delete(r.spent, tenant)
		}
	}
}

// part returns how many of so many requests are this edge's.
func (r *Reserve) part(tenant Tenant, spare float64, edges int) int {
	whole, fraction := math.Modf(spare / float64(edges))
	lot := (r.edge ^ uint64(tenant)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	lot ^= lot >> 31
	if float64(lot%1000)/1000 < fraction {
		whole++
	}
	return int(whole)
}
