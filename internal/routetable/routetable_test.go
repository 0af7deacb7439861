package routetable

import (
	"fmt"
	"math"
	"math/rand"
	"strings"
	"testing"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/proptest"
	"github.com/sedgemast/sedgemast/internal/ratelimit"
	"github.com/sedgemast/sedgemast/internal/tenancy"
)

func validConfiguration() *Configuration {
	return &Configuration{
		Version: 1,
		Pools:   []Pool{{Name: "a"}, {Name: "b"}},
		Routes: []Route{
			{Name: "r1", Host: "one.example", PathPrefix: "/x/", Kind: KindStream, TimeoutMillis: 100, Parts: []PoolWeight{{"a", 1}}},
			{Name: "r2", Host: "one.example", PathPrefix: "/x/y/", Kind: KindAtMostOnce, TimeoutMillis: 100, Parts: []PoolWeight{{"a", 90}, {"b", 10}}},
			{Name: "r3", Host: "two.example", PathPrefix: "/", Kind: KindBatch, TimeoutMillis: 100, Parts: []PoolWeight{{"b", 1}}},
		},
	}
}

func TestCheck(t *testing.T) {
	if err := validConfiguration().Check(); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name   string
		field  string
		change func(c *Configuration)
	}{
		{"unknown pool", "routes.0.parts.0.pool", func(c *Configuration) { c.Routes[0].Parts[0].Pool = "none" }},
		{"two routes with the same host and prefix", "routes.1", func(c *Configuration) { c.Routes[1].PathPrefix = "/x/" }},
		{"the same host in another case", "routes.1", func(c *Configuration) { c.Routes[1].PathPrefix, c.Routes[1].Host = "/x/", "ONE.example" }},
		{"weights of 0", "routes.1.parts", func(c *Configuration) { c.Routes[1].Parts[0].Weight, c.Routes[1].Parts[1].Weight = 0, 0 }},
		{"no parts", "routes.1.parts", func(c *Configuration) { c.Routes[1].Parts = nil }},
		{"a weight below 0", "routes.1.parts.1.weight", func(c *Configuration) { c.Routes[1].Parts[1].Weight = -1 }},
		{"no time-out", "routes.2.timeout_ms", func(c *Configuration) { c.Routes[2].TimeoutMillis = 0 }},
		{"unknown kind", "routes.0.kind", func(c *Configuration) { c.Routes[0].Kind = "other" }},
		{"no host", "routes.0.host", func(c *Configuration) { c.Routes[0].Host = "" }},
		{"prefix without a trailing slash", "routes.0.path_prefix", func(c *Configuration) { c.Routes[0].PathPrefix = "/x" }},
		{"a tenant without a name", "tenants.0.name", func(c *Configuration) { c.Tenants = []Tenant{{}} }},
		{"a tenant's name with a line break", "tenants.0.name", func(c *Configuration) { c.Tenants = []Tenant{{Name: "a\nb"}} }},
		{"two tenants with the same name", "tenants.1.name", func(c *Configuration) { c.Tenants = []Tenant{{Name: "a"}, {Name: "a"}} }},
		{"a key of two tenants", "tenants.1.key_hashes.1", func(c *Configuration) {
			c.Tenants = []Tenant{tenantWithKeys("a", "k", "l"), tenantWithKeys("b", "m", "l")}
		}},
		{"an empty key", "tenants.0.key_hashes.0", func(c *Configuration) { c.Tenants = []Tenant{tenantWithKeys("a", "")} }},
		{"a rate below 0", "tenants.0.rate_per_s", func(c *Configuration) { c.Tenants = []Tenant{{Name: "a", RatePerSecond: -1}} }},
		{"a burst below 0", "tenants.0.burst", func(c *Configuration) { c.Tenants = []Tenant{{Name: "a", Burst: -1}} }},
		{"an infinite rate", "tenants.0.rate_per_s", func(c *Configuration) { c.Tenants = []Tenant{{Name: "a", RatePerSecond: math.Inf(1)}} }},
		{"a weight below 0", "tenants.0.weight", func(c *Configuration) { c.Tenants = []Tenant{{Name: "a", Weight: -1}} }},
		{"an infinite weight", "tenants.0.weight", func(c *Configuration) { c.Tenants = []Tenant{{Name: "a", Weight: math.Inf(1)}} }},
		{"a reserve over 1", "tenants.0.reserve", func(c *Configuration) { c.Tenants = []Tenant{{Name: "a", Reserve: 1.5}} }},
		{"reserves over 1", "tenants.1.reserve", func(c *Configuration) { c.Tenants = []Tenant{{Name: "a", Reserve: 0.6}, {Name: "b", Reserve: 0.5}} }},
		{"a ceiling below 0", "tenants.0.ceiling", func(c *Configuration) { c.Tenants = []Tenant{{Name: "a", Ceiling: -0.1}} }},
		{"a ceiling below the reserve", "tenants.0.ceiling", func(c *Configuration) { c.Tenants = []Tenant{{Name: "a", Reserve: 0.5, Ceiling: 0.4}} }},
		{"a floor that is not a number", "routes.0.floor", func(c *Configuration) { c.Routes[0].Floor = math.NaN() }},
		{"floors over 1", "routes.2.floor", func(c *Configuration) { c.Routes[0].Floor, c.Routes[2].Floor = 0.5, 0.6 }},
		{"two pools with the same name", "pools.1.name", func(c *Configuration) { c.Pools[1].Name = "a" }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			configuration := validConfiguration()
			test.change(configuration)
			err := configuration.Check()
			if !failure.Is(err, failure.BadRequest) || failure.From(err).Field != test.field || failure.From(err).Remedy == "" {
				t.Errorf("error %v has field %q, want a bad request with a remedy and field %q", err, failure.From(err).Field, test.field)
			}
		})
	}
}

// tenantWithKeys returns a tenant with the keys.
func tenantWithKeys(name tenancy.Name, keys ...string) Tenant {
	tenant := Tenant{Name: name}
	for _, key := range keys {
		tenant.KeyHashes = append(tenant.KeyHashes, tenancy.HashKey(key))
	}
	return tenant
}

// TestTenantsAreKept encodes a configuration with tenants and decodes it: keys, limits and
// ranks survive, and the document contains no key in plain text.
func TestTenantsAreKept(t *testing.T) {
	configuration := validConfiguration()
	rank := 3
	first := tenantWithKeys("a", "secret-1", "secret-2", "secret-1")
	first.Rank, first.RatePerSecond, first.Burst = &rank, 12.5, 4
	configuration.Tenants = []Tenant{first, tenantWithKeys("b", "secret-3"), {Name: "c"}}
	if err := configuration.Check(); err != nil {
		t.Fatal(err)
	}
	document, err := configuration.Encode()
	if err != nil || strings.Contains(string(document), "secret") {
		t.Fatalf("encoded %s (error %v), want a document without plain keys", document, err)
	}
	decoded, err := Decode(document)
	if err != nil {
		t.Fatal(err)
	}
	table := NewTable(decoded)
	for key, want := range map[string]tenancy.Name{"secret-1": "a", "secret-2": "a", "secret-3": "b", "secret-4": "", "": ""} {
		if got := table.TenantByKey(key).Owner(); got != want {
			t.Errorf("key %q belongs to tenant %q, want %q", key, got, want)
		}
	}
	if limits := table.Limits(); len(limits) != 1 || limits[ShortName("a")] != (ratelimit.Limit{Rate: 12.5, Burst: 4}) {
		t.Errorf("got limits %v, want only the limit of tenant a", limits)
	}
	if rank := table.Tenant("a").Rank; rank == nil || *rank != 3 || table.Tenant("b").Rank != nil {
		t.Error("ranks differ after decoding")
	}
	var none *Table
	if table.RequiresKeys() == none.RequiresKeys() || len(none.Limits()) != 0 || none.Tenant("a") != nil {
		t.Error("a table without tenants requires keys or has limits, or one with tenants requires no keys")
	}
}

func TestMatch(t *testing.T) {
	table := NewTable(validConfiguration())
	cases := map[string]string{
		"one.example /x/1":         "r1",
		"one.example /x/y/1":       "r2",
		"ONE.example:8080 /x/y/":   "r2",
		"one.example /x":           "",
		"one.example /z/":          "",
		"two.example /anything":    "r3",
		"three.example /x/":        "",
		"two.example.other.com /x": "",
	}
	for target, want := range cases {
		host, path, _ := strings.Cut(target, " ")
		got := ""
		if route := table.Match(host, path); route != nil {
			got = route.Name
		}
		if got != want {
			t.Errorf("%s matches route %q, want %q", target, got, want)
		}
	}
}

func TestIdempotent(t *testing.T) {
	for _, test := range []struct {
		route Route
		want  bool
	}{
		{Route{Kind: KindRepeatable}, true},
		{Route{Kind: KindAtMostOnce}, false},
		{Route{Kind: KindAtMostOnce, Resumable: true}, false},
		{Route{Kind: KindStream}, false},
		{Route{Kind: KindStream, Resumable: true}, true},
	} {
		if got := test.route.Idempotent(); got != test.want {
			t.Errorf("%+v: Idempotent returned %t", test.route, got)
		}
	}
}

// TestSplitterKeepsWeights checks after every request that each part has got its
// share of the requests, to within one request per part.
func TestSplitterKeepsWeights(t *testing.T) {
	proptest.Run(t, "shares", func(random *rand.Rand) error {
		route := &Route{Name: "r"}
		total := 0
		for i := 0; i < 1+random.Intn(5); i++ {
			weight := random.Intn(100)
			total += weight
			route.Parts = append(route.Parts, PoolWeight{Pool: fmt.Sprint(i), Weight: weight})
		}
		if total == 0 {
			return nil
		}
		splitter, counts := NewSplitter(), map[string]int{}
		for request := 1; request <= 300; request++ {
			counts[splitter.Next(route, func(string) bool { return true })]++
			for _, part := range route.Parts {
				want := float64(request) * float64(part.Weight) / float64(total)
				if off := float64(counts[part.Pool]) - want; off > float64(len(route.Parts)) || off < -float64(len(route.Parts)) {
					return fmt.Errorf("after %d requests part %s of %+v has %d", request, part.Pool, route.Parts, counts[part.Pool])
				}
			}
		}
		return nil
	})
}

func TestSplitterSkipsUnusablePools(t *testing.T) {
	route := &Route{Name: "r", Parts: []PoolWeight{{"a", 9}, {"b", 1}}}
	splitter := NewSplitter()
	if got := splitter.Next(route, func(pool string) bool { return pool == "b" }); got != "b" {
		t.Errorf("got pool %q, want b", got)
	}
	if got := splitter.Next(route, func(string) bool { return false }); got != "" {
		t.Errorf("got pool %q, want none: no pool is usable", got)
	}
}

// TestSharesFollowConfiguration derives the share settings from tenants and routes.
// Without tenants there are none, whatever floors the routes have.
func TestSharesFollowConfiguration(t *testing.T) {
	configuration := validConfiguration()
	configuration.Routes[0].Floor, configuration.Routes[1].Floor, configuration.Routes[2].Floor = 0.1, 0.2, 0.3
	configuration.Routes[2].Rank = 3
	if shares := NewTable(configuration).Shares(); shares != nil {
		t.Errorf("got shares %+v without tenants, want nil", shares)
	}
	if shares := (*Table)(nil).Shares(); shares != nil {
		t.Errorf("got shares %+v of a nil table, want nil", shares)
	}
	rank := 2
	configuration.Tenants = []Tenant{{Name: "a", Weight: 3, Reserve: 0.1, Ceiling: 0.5}, {Name: "b", Rank: &rank}}
	if err := configuration.Check(); err != nil {
		t.Fatal(err)
	}
	document, err := configuration.Encode()
	if err != nil {
		t.Fatal(err)
	}
	read, err := Decode(document)
	if err != nil {
		t.Fatal(err)
	}
	table := NewTable(read)
	shares := table.Shares()
	if got := shares.Tenants[ShortName("a")]; len(shares.Tenants) != 1 || got.Weight != 3 || got.Reserve != 0.1 || got.Ceiling != 0.5 {
		t.Errorf("got tenant settings %+v, want only those of tenant a", shares.Tenants)
	}
	if len(shares.Floors) != 2 || math.Abs(shares.Floors[0]-0.3) > 1e-9 || shares.Floors[3] != 0.3 {
		t.Errorf("got floors %v, want 0.3 for ranks 0 and 3", shares.Floors)
	}
	route := &read.Routes[2]
	if table.Tenant("a").RankOn(route) != 3 || table.Tenant("b").RankOn(route) != 2 || (*Tenant)(nil).RankOn(route) != 3 {
		t.Error("RankOn must return the tenant's rank if it is set, or else the route's")
	}
	if table.WeightOf("a") != 3 || table.WeightOf("b") != 1 || table.WeightOf("") != 1 || (*Table)(nil).WeightOf("a") != 1 {
		t.Error("WeightOf must return the tenant's weight if it is set, or else 1")
	}
}

// TestUnsetShareFieldsAreNotEncoded checks that a configuration without share settings is encoded
// without their fields, as builds that don't know them encode it.
func TestUnsetShareFieldsAreNotEncoded(t *testing.T) {
	configuration := validConfiguration()
	configuration.Tenants = []Tenant{{Name: "a"}}
	document, err := configuration.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for _, field := range []string{"weight\":0", "reserve", "ceiling", "floor"} {
		if strings.Contains(string(document), field) {
			t.Errorf("field %s is encoded in %s, want it left out", field, document)
		}
	}
}
