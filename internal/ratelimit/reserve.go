package ratelimit

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Reserve admits requests at an edge without answers from a hub. In each window it admits the
// edge's share of one part of the tolerance (Tolerance.Spare). Shares are whole requests: if
// there are fewer of them than edges, a hash decides which edges have one, so that the shares of
// all edges add up to that part on average. It is not safe for concurrent use.
type Reserve struct {
	edge uint64
	// admitted holds the times at which each tenant's requests of the last window were admitted.
	admitted map[Tenant][]time.Time
}

// NewReserve returns the reserve of an edge.
func NewReserve(edge string) *Reserve {
	return &Reserve{edge: xxhash.Sum64String(edge), admitted: map[Tenant][]time.Time{}}
}

// Take admits a request of the tenant if the reserve allows it, and reports whether it did. edges
// is the number of edges that share the part.
func (r *Reserve) Take(now time.Time, tenant Tenant, limit Limit, tolerance Tolerance, edges int) bool {
	times := r.admitted[tenant]
	for len(times) > 0 && now.Sub(times[0]) > tolerance.Window {
		times = times[1:]
	}
	r.admitted[tenant] = times
	if len(times) >= r.share(tenant, tolerance.Spare(limit), max(edges, 1)) {
		return false
	}
	r.admitted[tenant] = append(times, now)
	return true
}

// Retain removes the tenants that are not in limits.
func (r *Reserve) Retain(limits map[Tenant]Limit) {
	for tenant := range r.admitted {
		if _, limited := limits[tenant]; !limited {
			delete(r.admitted, tenant)
		}
	}
}

// share returns how many of the spare requests are this edge's.
func (r *Reserve) share(tenant Tenant, spare float64, edges int) int {
	whole, fraction := math.Modf(spare / float64(edges))
	hash := (r.edge ^ uint64(tenant)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	hash ^= hash >> 31
	if float64(hash%1000)/1000 < fraction {
		whole++
	}
	return int(whole)
}
