package routetable

import (
	"net"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/sedgemast/sedgemast/internal/fairshare"
	"github.com/sedgemast/sedgemast/internal/ratelimit"
	"github.com/sedgemast/sedgemast/internal/tenancy"
)

// Table finds the route of a request.
type Table struct {
	// Configuration is what the table was made from; it must not change.
	Configuration *Configuration
	hosts         map[string][]*Route
	names         map[string]*Route
	pools         map[string]*Pool
	// tightest holds the shortest goal of each pool's online routes.
	tightest map[string]time.Duration
	tenants  map[tenancy.Name]*Tenant
	// owners holds the tenants by the hashes of their keys.
	owners map[tenancy.KeyHash]*Tenant
	// limits holds the limits of the tenants that have one, by their short names.
	limits map[ratelimit.Tenant]ratelimit.Limit
	shares *fairshare.Settings
}

// NewTable prepares a checked configuration for look-ups.
func NewTable(configuration *Configuration) *Table {
	table := &Table{Configuration: configuration, hosts: map[string][]*Route{}, names: map[string]*Route{}, pools: map[string]*Pool{}, tightest: map[string]time.Duration{}}
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		host := strings.ToLower(route.Host)
		table.hosts[host] = append(table.hosts[host], route)
		table.names[route.Name] = route
		table.noteGoal(route)
	}
	for _, routes := range table.hosts {
		sort.SliceStable(routes, func(a, b int) bool { return len(routes[a].PathPrefix) > len(routes[b].PathPrefix) })
	}
	for i := range configuration.Pools {
		table.pools[configuration.Pools[i].Name] = &configuration.Pools[i]
	}
	table.tenants = make(map[tenancy.Name]*Tenant, len(configuration.Tenants))
	table.limits = make(map[ratelimit.Tenant]ratelimit.Limit, len(configuration.Tenants))
	table.owners = make(map[tenancy.KeyHash]*Tenant, len(configuration.Tenants))
	for i := range configuration.Tenants {
		tenant := &configuration.Tenants[i]
		table.tenants[tenant.Name] = tenant
		if tenant.Limited() {
			table.limits[ShortName(tenant.Name)] = tenant.Limit()
		}
		for _, hash := range tenant.KeyHashes {
			table.owners[hash] = tenant
		}
	}
	table.shares = sharesOf(configuration)
	return table
}

// RequiresKeys reports whether requests need a key, but for those on public routes.
func (t *Table) RequiresKeys() bool { return t != nil && len(t.tenants) > 0 }

// TenantByKey returns the tenant that holds the key, or nil.
func (t *Table) TenantByKey(key string) *Tenant {
	if key == "" {
		return nil
	}
	return t.owners[tenancy.HashKey(key)]
}

// Tenant returns the tenant with the name, or nil. A nil table has none.
func (t *Table) Tenant(name tenancy.Name) *Tenant {
	if t == nil {
		return nil
	}
	return t.tenants[name]
}

// AcceptsPublicJobs reports whether a batch route of the host is public.
func (t *Table) AcceptsPublicJobs(host string) bool {
	for _, route := range t.hosts[hostName(host)] {
		if route.Kind == KindBatch && route.Public {
			return true
		}
	}
	return false
}

// noteGoal takes in the goal of an online route.
func (t *Table) noteGoal(route *Route) {
	if route.Kind == KindBatch || route.GoalMillis <= 0 {
		return
	}
	for _, part := range route.Parts {
		known := t.tightest[part.Pool]
		if part.Weight > 0 && (known == 0 || route.Goal() < known) {
			t.tightest[part.Pool] = route.Goal()
		}
	}
}

// TightestGoal returns the shortest goal of the online routes that lead to the
// pool, zero if there is none. A nil table has none.
func (t *Table) TightestGoal(pool string) time.Duration {
	if t == nil {
		return 0
	}
	return t.tightest[pool]
}

// Match returns the route of the host whose prefix begins the path and is
// longest, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, route := range t.hosts[hostName(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// MatchBatch returns the batch route that a job sent to the host and path belongs
// to, or nil. A nil table has none.
func (t *Table) MatchBatch(method, host, path string) *Route {
	if t == nil || method != http.MethodPost {
		return nil
	}
	if route := t.Match(host, path); route != nil && route.Kind == KindBatch {
		return route
	}
	return nil
}

// RouteByName returns the route with the name, or one without goals.
func (t *Table) RouteByName(name string) *Route {
	if route := t.names[name]; route != nil {
		return route
	}
	return &Route{}
}

// Pool returns the pool with the name, or nil.
func (t *Table) Pool(name string) *Pool { return t.pools[name] }

// MemoryTokens returns how many tokens a worker of each pool holds, where that is told.
// Without a configuration nothing is.
func (t *Table) MemoryTokens() map[string]int64 {
	memory := map[string]int64{}
	if t == nil {
		return memory
	}
	for name, pool := range t.pools {
		if pool.MemoryTokens > 0 {
			memory[name] = pool.MemoryTokens
		}
	}
	return memory
}

// hostName returns a Host header without port, in lower case.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
