package batchstore

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sedgemast/sedgemast/internal/batchplan"
	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/fairshare"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/ratelimit"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/tenancy"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// newZoneHub returns a store that is the hub of a zone with the given tenants.
func newZoneHub(now time.Time, tenants ...routetable.Tenant) *Store {
	s := &Store{logger: logging.Discard(), loads: newLoads(ratelimit.Tolerance{})}
	s.loads.capacity.configure(now, routetable.NewTable(&routetable.Configuration{Tenants: tenants}))
	return s
}

// overloadZone lets an edge claim capacity for 3 seconds: 100 requests per second of the large
// tenant and 10 of the small one, while the zone serves 50. It returns, by tenant, how many
// requests of the last second were over share, the time at the end, and all encoded answers.
func overloadZone(s *Store, now time.Time, large, small uint32) (overShare map[uint32]int, at time.Time, answers [][]byte) {
	overShare = map[uint32]int{}
	for i := range uint64(300) {
		now = now.Add(10 * time.Millisecond)
		report := &wire.LoadReport{Source: 5, Choosing: true, Begun: uint32(i / 2), Short: uint32(i), Claims: []wire.RoomClaim{{Ticket: i << 8, Tenant: large}}}
		if i%10 == 0 {
			report.Claims = append(report.Claims, wire.RoomClaim{Ticket: i<<8 + 1, Tenant: small})
		}
		answer := s.answerEdge(now, report)
		encoded, _ := answer.MarshalMsg(nil)
		answers = append(answers, encoded)
		for _, standing := range answer.Standings {
			if i >= 200 && standing.Ticket&1 == 0 {
				overShare[large]++
			} else if i >= 200 {
				overShare[small]++
			}
		}
	}
	return overShare, now, answers
}

// TestHubReportsTenantsOverShare overloads a zone. The hub must report about as many requests as
// exceed the share of the large tenant, and none of the small one.
func TestHubReportsTenantsOverShare(t *testing.T) {
	now := clock.Now()
	s := newZoneHub(now, routetable.Tenant{Name: "large"}, routetable.Tenant{Name: "small"})
	large, small := routetable.ShortName("large"), routetable.ShortName("small")
	overShare, now, _ := overloadZone(s, now, large, small)
	if overShare[large] < 55 || overShare[large] > 75 || overShare[small] > 0 {
		t.Errorf("over their shares: %d of 100 requests of the large tenant, %d of 10 of the small one", overShare[large], overShare[small])
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(newCapacityCollector(s.loads))
	families, err := registry.Gather()
	if err != nil || len(families) != 3 {
		t.Errorf("%v: %v", err, families)
	}
	s.loads.capacity.configure(now, routetable.NewTable(&routetable.Configuration{}))
	if overShare, _, _ = overloadZone(s, now, large, small); len(overShare) > 0 {
		t.Errorf("standings %v after the tenants were removed", overShare)
	}
}

// TestClaimsWithoutTenantsChangeNoAnswer sends the same reports to a hub without a configuration
// and to one whose configuration has no tenants. Their answers must equal, byte for byte, those
// of a hub to reports without claims and counts.
func TestClaimsWithoutTenantsChangeNoAnswer(t *testing.T) {
	now := clock.Now()
	plain := &Store{logger: logging.Discard(), loads: newLoads(ratelimit.Tolerance{})}
	var want [][]byte
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		encoded, _ := plain.answerEdge(now, &wire.LoadReport{Source: 5, Choosing: true}).MarshalMsg(nil)
		want = append(want, encoded)
	}
	for name, s := range map[string]*Store{"no configuration": {logger: logging.Discard(), loads: newLoads(ratelimit.Tolerance{})}, "no tenants": newZoneHub(now)} {
		_, _, got := overloadZone(s, now, 1, 2)
		if !slices.EqualFunc(got, want, bytes.Equal) {
			t.Errorf("%s: the answers differ", name)
		}
		registry := prometheus.NewRegistry()
		registry.MustRegister(newCapacityCollector(s.loads))
		if families, err := registry.Gather(); err != nil || len(families) > 0 {
			t.Errorf("%s: %v, metrics %v", name, err, families)
		}
	}
}

// TestDeniedTokensAddNoDemand lets a tenant send far more than its limit allows. Requests that
// the limit rejects must not count as demand for capacity.
func TestDeniedTokensAddNoDemand(t *testing.T) {
	now := clock.Now()
	s := newZoneHub(now)
	tenant := routetable.Tenant{Name: "a", RatePerSecond: 1, Burst: 1}
	table := routetable.NewTable(&routetable.Configuration{Tenants: []routetable.Tenant{tenant}})
	s.loads.capacity.configure(now, table)
	s.loads.limits.setLimits(table.Limits(), 1)
	short := routetable.ShortName("a")
	granted := 0
	for ticket := range uint64(200) {
		now = now.Add(10 * time.Millisecond)
		answer := s.answerEdge(now, &wire.LoadReport{Source: 5, Choosing: true, Tokens: []wire.TokenQuestion{{Ticket: ticket, Tenant: short}}, Claims: []wire.RoomClaim{{Ticket: ticket, Tenant: short}}})
		for _, verdict := range answer.Verdicts {
			if verdict.Granted {
				granted++
			}
		}
	}
	usages := s.loads.capacity.meter.Summary(now, 1).Usages
	if granted == 0 || granted > 20 || len(usages) == 1 && usages[0].Demand > 10 {
		t.Errorf("%d granted, usages %+v", granted, usages)
	}
}

// TestTenantDisplayNames checks the names of a known tenant, of callers without a tenant, and of
// a tenant that the hub does not know yet.
func TestTenantDisplayNames(t *testing.T) {
	z := newZoneHub(clock.Now(), routetable.Tenant{Name: "a"}).loads.capacity
	names := []string{z.nameOf(routetable.ShortName("a")), z.nameOf(fairshare.Public), z.nameOf(77)}
	if got := strings.Join(names, " "); got != "a (public) (unknown)" {
		t.Errorf("the names are %s", got)
	}
}

// TestTenantsShareItemOrder submits a job of forty items and later one of four items of another
// tenant, more than can finish in time: the four must be among the first eight. Without tenants,
// or if all can finish in time, the order must be that of batchplan.Sort.
func TestTenantsShareItemOrder(t *testing.T) {
	shared := table().Configuration
	shared.Tenants = []routetable.Tenant{{Name: "a"}, {Name: "b"}}
	for name, test := range map[string]struct {
		table       *routetable.Table
		items       int
		interleaved bool
	}{
		"without tenants": {table(), 40, false},
		"with tenants":    {routetable.NewTable(shared), 40, true},
		"time for all":    {routetable.NewTable(shared), 4, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := testRunner(t, 0)
			submit := func(owner string, items int) {
				job := &wire.SubmitBatch{ID: tenancy.ScopedName(tenancy.Name(owner), "j"), Route: "r", Host: "h", Owner: owner}
				for range items {
					job.Items = append(job.Items, wire.BatchItem{Path: "/"})
				}
				encoded, err := (&wire.BatchCommand{Submit: job}).MarshalMsg(nil)
				if err != nil {
					t.Fatal(err)
				}
				r.group.machine.Apply(encoded)
			}
			submit("a", test.items)
			r.waitingItems(start, test.table)
			submit("b", 4)
			items := r.waitingItems(start.Add(time.Second), test.table)
			sorted := slices.Clone(items)
			batchplan.Sort(sorted)
			if same := slices.Equal(items, sorted); same == test.interleaved {
				t.Errorf("items in the order of Sort: %t", same)
			}
			smaller := 0
			for _, item := range items[:8] {
				if item.Owner.Tenant == "b" {
					smaller++
				}
			}
			if test.interleaved && smaller != 4 {
				t.Errorf("%d items of the smaller job among the first eight, want 4", smaller)
			}
		})
	}
}
