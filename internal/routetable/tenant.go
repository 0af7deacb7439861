package routetable

import (
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/sedgemast/sedgemast/internal/ratelimit"
	"github.com/sedgemast/sedgemast/internal/tenancy"
)

// Tenant is somebody who sends requests, known by keys. A configuration without tenants
// takes requests of anybody.
type Tenant struct {
	Name      tenancy.Name      `json:"name"`
	KeyHashes []tenancy.KeyHash `json:"key_hashes"`
	// Rank goes before the routes' own where it is told. As with theirs, no decision
	// rests on it yet.
	Rank *int `json:"rank,omitempty"`
	// RatePerSecond is how many online requests a second the tenant may send to the
	// whole fleet, zero for any number, and Burst how many more at once.
	RatePerSecond float64 `json:"rate_per_s"`
	Burst         float64 `json:"burst"`
}

// maxTenantName bounds a tenant's name in bytes: it travels in a header of each request.
const maxTenantName = 256

// checkTenants returns the first fault of the tenants, or nil.
func (c *Configuration) checkTenants() error {
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
	if t.Name == "" || len(t.Name) > maxTenantName || !tenancy.Plain(string(t.Name)) {
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
	return nil
}

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

// Limit returns the tenant's limit of requests.
func (t *Tenant) Limit() ratelimit.Limit {
	return ratelimit.Limit{Rate: t.RatePerSecond, Burst: t.Burst}
}

// ShortName returns a tenant's short name. Two of 510 tenants share one once in 30,000
// fleets; they would share a limit then.
func ShortName(name tenancy.Name) ratelimit.Tenant {
	return ratelimit.Tenant(xxhash.Sum64String(string(name)))
}
