package routetable

import (
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/sedgemast/sedgemast/internal/fairshare"
	"github.com/sedgemast/sedgemast/internal/ratelimit"
	"github.com/sedgemast/sedgemast/internal/tenancy"
)

// Tenant is somebody who sends requests, known by keys. A configuration without tenants
// takes requests of anybody.
type Tenant struct {
	Name      tenancy.Name      `json:"name"`
	KeyHashes []tenancy.KeyHash `json:"key_hashes"`
	// Rank goes before the routes' own where it is told. Smaller ranks go first in the queues of
	// an edge (package admission), and of scarce room they get theirs first, less what is kept
	// for others (package fairshare).
	Rank *int `json:"rank,omitempty"`
	// RatePerSecond is how many online requests a second the tenant may send to the
	// whole fleet, zero for any number, and Burst how many more at once.
	RatePerSecond float64 `json:"rate_per_s"`
	Burst         float64 `json:"burst"`
	// Weight is the tenant's part in scarce room beside others of its rank, zero counts as
	// one. Reserve is the part of all room, from 0 to 1, that is kept for it when it asks,
	// and Ceiling the most that it gets while there is too little, zero for no bound.
	Weight  float64 `json:"weight,omitempty"`
	Reserve float64 `json:"reserve,omitempty"`
	Ceiling float64 `json:"ceiling,omitempty"`
}

// maxTenantName bounds a tenant's name in bytes: it travels in a header of each request.
const maxTenantName = 256

// checkTenants returns the first fault of the tenants, or nil.
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
			return fault(path+".name", "give every tenant a name of its own", "%q stands twice", tenant.Name)
		}
		names[tenant.Name] = true
		if reserved += tenant.Reserve; reserved > wholeRoom {
			return fault(path+".reserve", "let the reserves of all tenants add up to 1 at most", "they add up to %g", reserved)
		}
		for number, hash := range tenant.KeyHashes {
			if owner, held := owners[hash]; held && owner != tenant.Name {
				return fault(fmt.Sprintf("%s.key_hashes.%d", path, number), "give the key to one of the two", "tenant %q holds the key, too", owner)
			}
			owners[hash] = tenant.Name
		}
	}
	return nil
}

// noKey is the hash of the empty key, which nobody may hold.
var noKey = tenancy.HashKey("")

func (t *Tenant) check(path string) error {
	if t.Name == "" || len(t.Name) > maxTenantName || !tenancy.IsPlainText(string(t.Name)) {
		return fault(path+".name", "use 1 to 256 bytes without control characters", "%q can't be a tenant's name", t.Name)
	}
	for number, hash := range t.KeyHashes {
		if hash == noKey || hash == (tenancy.KeyHash{}) {
			return fault(fmt.Sprintf("%s.key_hashes.%d", path, number), "leave it out, or make a key", "the key is empty")
		}
	}
	if !isCount(t.RatePerSecond) {
		return fault(path+".rate_per_s", "use 0 or more", "%g is no rate", t.RatePerSecond)
	}
	if !isCount(t.Burst) {
		return fault(path+".burst", "use 0 or more", "%g is no burst", t.Burst)
	}
	return t.checkShare(path)
}

// checkShare returns the first fault of the tenant's part in scarce room, or nil.
func (t *Tenant) checkShare(path string) error {
	switch {
	case !isCount(t.Weight):
		return fault(path+".weight", "use a number over 0, or leave it out for 1", "%g is no weight", t.Weight)
	case !isPart(t.Reserve):
		return fault(path+".reserve", "use a part of the room, from 0 to 1", "%g is no part", t.Reserve)
	case !isPart(t.Ceiling):
		return fault(path+".ceiling", "use a part of the room, from 0 to 1, or leave it out for no bound", "%g is no part", t.Ceiling)
	case t.Ceiling > 0 && t.Ceiling < t.Reserve:
		return fault(path+".ceiling", "use as much as the reserve or more", "%g is less than the reserve of %g", t.Ceiling, t.Reserve)
	}
	return nil
}

// wholeRoom is the sum of parts that is all of the room, and what adding them up errs by.
const wholeRoom = 1 + 1e-9

func isPart(value float64) bool { return value >= 0 && value <= 1 }

func isCount(value float64) bool { return value >= 0 && !math.IsInf(value, 0) && !math.IsNaN(value) }

// Limited reports whether the tenant has a limit of requests.
func (t *Tenant) Limited() bool { return t != nil && t.RatePerSecond > 0 }

// Owner returns the tenant's name, empty where there is no tenant.
func (t *Tenant) Owner() tenancy.Name {
	if t == nil {
		return ""
	}
	return t.Name
}

// Limits returns the limits of the tenants that have one, by the tenants' short names. The
// map must not change. A nil table has none.
func (t *Table) Limits() map[ratelimit.Tenant]ratelimit.Limit {
	if t == nil {
		return nil
	}
	return t.limits
}

// RankOn returns the rank of the tenant's requests on a route: its own, or else the route's.
func (t *Tenant) RankOn(route *Route) int {
	if t == nil || t.Rank == nil {
		return route.Rank
	}
	return *t.Rank
}

// Shares returns the settings by which scarce room is divided, nil where the configuration
// names no tenants: then it isn't. They must not change.
func (t *Table) Shares() *fairshare.Settings {
	if t == nil {
		return nil
	}
	return t.shares
}

// sharesOf returns the settings of a configuration.
func sharesOf(c *Configuration) *fairshare.Settings {
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

// WeightOf returns the weight of a tenant's items beside others', by its name.
func (t *Table) WeightOf(name tenancy.Name) float64 {
	if tenant := t.Tenant(name); tenant != nil && tenant.Weight > 0 {
		return tenant.Weight
	}
	return 1
}

// Limit returns the tenant's limit of requests.
func (t *Tenant) Limit() ratelimit.Limit {
	return ratelimit.Limit{Rate: t.RatePerSecond, Burst: t.Burst}
}

// ShortName returns a tenant's short name. Two of 510 tenants share one once in 30,000
// fleets; they would share a limit then.
func ShortName(name tenancy.Name) ratelimit.Tenant {
	return ratelimit.Tenant(xxhash.Sum64String(string(name)))
}
