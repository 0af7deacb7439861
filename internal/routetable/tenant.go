package routetable

import (
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/sedgemast/sedgemast/internal/fairshare"
	"github.com/sedgemast/sedgemast/internal/ratelimit"
	"github.com/sedgemast/sedgemast/internal/tenancy"
)

// Tenant is a customer that sends requests and authenticates with keys. A configuration
// without tenants accepts requests from anybody.
type Tenant struct {
	Name      tenancy.Name      `json:"name"`
	KeyHashes []tenancy.KeyHash `json:"key_hashes"`
	// Rank, if set, overrides the rank of the routes. Smaller ranks go first in the queues of an
	// edge (package admission) and get scarce capacity first, except for the capacity that is
	// reserved for other tenants or ranks (package fairshare).
	Rank *int `json:"rank,omitempty"`
	// RatePerSecond limits the tenant's online requests per second to the whole fleet; zero
	// means no limit. Burst is the number of requests that may exceed the rate at once.
	RatePerSecond float64 `json:"rate_per_s"`
	Burst         float64 `json:"burst"`
	// Weight is the tenant's weight when scarce capacity is divided among the tenants of its rank;
	// zero means one. Reserve is the fraction of all capacity, from 0 to 1, that is reserved for
	// the tenant when the tenant needs it. Ceiling is the largest fraction that the tenant gets
	// while capacity is scarce; zero means no bound.
	Weight  float64 `json:"weight,omitempty"`
	Reserve float64 `json:"reserve,omitempty"`
	Ceiling float64 `json:"ceiling,omitempty"`
}

// maxTenantName bounds a tenant's name, in bytes: each request carries it in a header.
const maxTenantName = 256

// checkTenants validates the tenants and returns the first error.
func (c *Configuration) checkTenants() error {
	reserved := 0.0
	names := map[tenancy.Name]bool{}
	owners := map[tenancy.KeyHash]tenancy.Name{}
	for i := range c.Tenants {
		tenant := &c.Tenants[i]
		path := fmt.Sprintf("tenants.%d", i)
		if err := tenant.check(path); err != nil {
			return err
		}
		if names[tenant.Name] {
			return fieldError(path+".name", "give every tenant a name of its own", "%q stands twice", tenant.Name)
		}
		names[tenant.Name] = true
		if reserved += tenant.Reserve; reserved > maxShareSum {
			return fieldError(path+".reserve", "let the reserves of all tenants add up to 1 at most", "they add up to %g", reserved)
		}
		for number, hash := range tenant.KeyHashes {
			if owner, found := owners[hash]; found && owner != tenant.Name {
				return fieldError(fmt.Sprintf("%s.key_hashes.%d", path, number), "give the key to one of the two", "tenant %q holds the key, too", owner)
			}
			owners[hash] = tenant.Name
		}
	}
	return nil
}

// emptyKeyHash is the hash of the empty key, which no tenant may have.
var emptyKeyHash = tenancy.HashKey("")

func (t *Tenant) check(path string) error {
	if t.Name == "" || len(t.Name) > maxTenantName || !tenancy.IsPlainText(string(t.Name)) {
		return fieldError(path+".name", "use 1 to 256 bytes without control characters", "%q can't be a tenant's name", t.Name)
	}
	for number, hash := range t.KeyHashes {
		if hash == emptyKeyHash || hash == (tenancy.KeyHash{}) {
			return fieldError(fmt.Sprintf("%s.key_hashes.%d", path, number), "leave it out, or make a key", "the key is empty")
		}
	}
	if !isFiniteNonNegative(t.RatePerSecond) {
		return fieldError(path+".rate_per_s", "use 0 or more", "%g is no rate", t.RatePerSecond)
	}
	if !isFiniteNonNegative(t.Burst) {
		return fieldError(path+".burst", "use 0 or more", "%g is no burst", t.Burst)
	}
	return t.checkShare(path)
}

// checkShare validates the settings of the tenant's share of scarce capacity.
func (t *Tenant) checkShare(path string) error {
	switch {
	case !isFiniteNonNegative(t.Weight):
		return fieldError(path+".weight", "use a number over 0, or leave it out for 1", "%g is no weight", t.Weight)
	case !isFraction(t.Reserve):
		return fieldError(path+".reserve", "use a part of the room, from 0 to 1", "%g is no part", t.Reserve)
	case !isFraction(t.Ceiling):
		return fieldError(path+".ceiling", "use a part of the room, from 0 to 1, or leave it out for no bound", "%g is no part", t.Ceiling)
	case t.Ceiling > 0 && t.Ceiling < t.Reserve:
		return fieldError(path+".ceiling", "use as much as the reserve or more", "%g is less than the reserve of %g", t.Ceiling, t.Reserve)
	}
	return nil
}

// maxShareSum is the largest sum of fractions of the capacity: 1 and a tolerance for
// rounding errors of the addition.
const maxShareSum = 1 + 1e-9

func isFraction(value float64) bool { return value >= 0 && value <= 1 }

func isFiniteNonNegative(value float64) bool {
	return value >= 0 && !math.IsInf(value, 0) && !math.IsNaN(value)
}

// Limited reports whether the tenant has a rate limit.
func (t *Tenant) Limited() bool { return t != nil && t.RatePerSecond > 0 }

// Owner returns the tenant's name, or an empty name for a nil tenant.
func (t *Tenant) Owner() tenancy.Name {
	if t == nil {
		return ""
	}
	return t.Name
}

// Limits returns the rate limits of the tenants that have one, by short name. The map must
// not be modified. A nil table has none.
func (t *Table) Limits() map[ratelimit.Tenant]ratelimit.Limit {
	if t == nil {
		return nil
	}
	return t.limits
}

// RankOn returns the rank of the tenant's requests on a route: the tenant's own rank if it is
// set, or else the route's.
func (t *Tenant) RankOn(route *Route) int {
	if t == nil || t.Rank == nil {
		return route.Rank
	}
	return *t.Rank
}

// Shares returns the settings by which scarce capacity is divided, or nil if the configuration has
// no tenants, because capacity isn't divided without tenants. The settings must not be modified.
func (t *Table) Shares() *fairshare.Settings {
	if t == nil {
		return nil
	}
	return t.shares
}

// sharesFrom returns the share settings of a configuration, nil if it has no tenants.
func sharesFrom(c *Configuration) *fairshare.Settings {
	if len(c.Tenants) == 0 {
		return nil
	}
	settings := &fairshare.Settings{Tenants: map[fairshare.Tenant]fairshare.TenantSettings{}, Floors: map[int]float64{}}
	for i := range c.Tenants {
		tenant := &c.Tenants[i]
		if tenant.Weight == 0 && tenant.Reserve == 0 && tenant.Ceiling == 0 {
			continue
		}
		settings.Tenants[ShortName(tenant.Name)] = fairshare.TenantSettings{Weight: tenant.Weight, Reserve: tenant.Reserve, Ceiling: tenant.Ceiling}
	}
	for i := range c.Routes {
		if c.Routes[i].Floor > 0 {
			settings.Floors[c.Routes[i].Rank] += c.Routes[i].Floor
		}
	}
	return settings
}

// WeightOf returns the weight of the named tenant's batch items, 1 if it is not set.
func (t *Table) WeightOf(name tenancy.Name) float64 {
	if tenant := t.Tenant(name); tenant != nil && tenant.Weight > 0 {
		return tenant.Weight
	}
	return 1
}

// Limit returns the tenant's rate limit.
func (t *Tenant) Limit() ratelimit.Limit {
	return ratelimit.Limit{Rate: t.RatePerSecond, Burst: t.Burst}
}

// ShortName returns a tenant's short name, a hash of its name. Tenants with the same short name
// share a limit. In 1 of 30,000 fleets with 510 tenants, two tenants have the same short name.
func ShortName(name tenancy.Name) ratelimit.Tenant {
	return ratelimit.Tenant(xxhash.Sum64String(string(name)))
}
