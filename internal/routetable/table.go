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

// Table looks up routes, pools and tenants of a configuration. It is immutable.
type Table struct {
	// Configuration is the source of the table; it must not be modified.
	Configuration *Configuration
	routesByHost  map[string][]*Route
	routesByName  map[string]*Route
	pools         map[string]*Pool
	// shortestGoals holds the shortest goal of the online routes to each pool.
	shortestGoals map[string]time.Duration
	tenants       map[tenancy.Name]*Tenant
	// tenantsByKey holds the tenants by the hashes of their keys.
	tenantsByKey map[tenancy.KeyHash]*Tenant
	// limits holds the rate limits of the tenants that have one, by short name.
	limits map[ratelimit.Tenant]ratelimit.Limit
	shares *fairshare.Settings
}

// NewTable returns the table of a configuration that has passed Check.
func NewTable(configuration *Configuration) *Table {
	table := &Table{Configuration: configuration, routesByHost: map[string][]*Route{}, routesByName: map[string]*Route{}, pools: map[string]*Pool{}, shortestGoals: map[string]time.Duration{}}
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		host := strings.ToLower(route.Host)
		table.routesByHost[host] = append(table.routesByHost[host], route)
		table.routesByName[route.Name] = route
		table.recordGoal(route)
	}
	for _, routes := range table.routesByHost {
		sort.SliceStable(routes, func(a, b int) bool { return len(routes[a].PathPrefix) > len(routes[b].PathPrefix) })
	}
	for i := range configuration.Pools {
		table.pools[configuration.Pools[i].Name] = &configuration.Pools[i]
	}
	table.tenants = make(map[tenancy.Name]*Tenant, len(configuration.Tenants))
	table.limits = make(map[ratelimit.Tenant]ratelimit.Limit, len(configuration.Tenants))
	table.tenantsByKey = make(map[tenancy.KeyHash]*Tenant, len(configuration.Tenants))
	for i := range configuration.Tenants {
		tenant := &configuration.Tenants[i]
		table.tenants[tenant.Name] = tenant
		if tenant.Limited() {
			table.limits[ShortName(tenant.Name)] = tenant.Limit()
		}
		for _, hash := range tenant.KeyHashes {
			table.tenantsByKey[hash] = tenant
		}
	}
	table.shares = sharesFrom(configuration)
	return table
}

// RequiresKeys reports whether requests need a key, except on public routes. A nil table
// requires none.
func (t *Table) RequiresKeys() bool { return t != nil && len(t.tenants) > 0 }

// TenantByKey returns the tenant that holds the key, or nil.
func (t *Table) TenantByKey(key string) *Tenant {
	if key == "" {
		return nil
	}
	return t.tenantsByKey[tenancy.HashKey(key)]
}

// Tenant returns the tenant with the name, or nil. A nil table has no tenants.
func (t *Table) Tenant(name tenancy.Name) *Tenant {
	if t == nil {
		return nil
	}
	return t.tenants[name]
}

// AcceptsPublicJobs reports whether the host has a public batch route.
func (t *Table) AcceptsPublicJobs(host string) bool {
	for _, route := range t.routesByHost[hostName(host)] {
		if route.Kind == KindBatch && route.Public {
			return true
		}
	}
	return false
}

// recordGoal updates shortestGoals with the goal of the route, if it is an online route.
func (t *Table) recordGoal(route *Route) {
	if route.Kind == KindBatch || route.GoalMillis <= 0 {
		return
	}
	for _, part := range route.Parts {
		shortest := t.shortestGoals[part.Pool]
		if part.Weight > 0 && (shortest == 0 || route.Goal() < shortest) {
			t.shortestGoals[part.Pool] = route.Goal()
		}
	}
}

// ShortestGoal returns the shortest goal of the online routes to the pool, zero if
// there is none. A nil table has none.
func (t *Table) ShortestGoal(pool string) time.Duration {
	if t == nil {
		return 0
	}
	return t.shortestGoals[pool]
}

// Match returns the route of the host whose path prefix matches the path and is the longest such
// prefix, or nil if no route matches.
func (t *Table) Match(host, path string) *Route {
	for _, route := range t.routesByHost[hostName(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// MatchBatch returns the batch route for a job that is submitted to the host and
// path, or nil. A nil table has none.
func (t *Table) MatchBatch(method, host, path string) *Route {
	if t == nil || method != http.MethodPost {
		return nil
	}
	if route := t.Match(host, path); route != nil && route.Kind == KindBatch {
		return route
	}
	return nil
}

// RouteByName returns the route with the name, or an empty route if there is none.
func (t *Table) RouteByName(name string) *Route {
	if route := t.routesByName[name]; route != nil {
		return route
	}
	return &Route{}
}

// Pool returns the pool with the name, or nil.
func (t *Table) Pool(name string) *Pool {
	if t == nil {
		return nil
	}
	return t.pools[name]
}

// MemoryTokens returns the number of tokens that a worker of each pool holds in memory,
// for the pools that configure it. A nil table returns an empty map.
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

// hostName returns the host of a Host header, without the port and in lower case.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
