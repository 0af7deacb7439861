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

// hubOf returns a store as the hub of a zone, with the tenants.
func hubOf(now time.Time, tenants ...routetable.Tenant) *Store {
	s := &Store{logger: logging.Discard(), loads: newLoads(ratelimit.Tolerance{})}
	s.loads.room.configure(now, routetable.NewTable(&routetable.Configuration{Tenants: tenants}))
	return s
}

// crowdZone lets an edge claim room, 100 requests a second of one tenant and 10 of another
// while the zone gives 50, for 3 seconds. It returns the answers of the last second by tenant.
func crowdZone(s *Store, now time.Time, large, small uint32) (told map[uint32]int, at time.Time, answers [][]byte) {
	told = map[uint32]int{}
	for i := range uint64(300) {
		now = now.Add(10 * time.Millisecond)
		report := &wire.LoadReport{Source: 5, Choosing: true, Begun: uint32(i / 2), Short: uint32(i), Claims: []wire.RoomClaim{{Ticket: i << 8, Tenant: large}}}
		if i%10 == 0 {
			report.Claims = append(report.Claims, wire.RoomClaim{Ticket: i<<8 + 1, Tenant: small})
		}
		answer := s.answerZone(now, report)
		encoded, _ := answer.MarshalMsg(nil)
		answers = append(answers, encoded)
		for _, standing := range answer.Standings {
			if i >= 200 && standing.Ticket&1 == 0 {
				told[large]++
			} else if i >= 200 {
				told[small]++
			}
		}
	}
	return told, now, answers
}

// TestHubTellsWhoIsOver floods a zone: the hub names about what is beyond the share of the
// tenant that floods, and nothing of the other.
func TestHubTellsWhoIsOver(t *testing.T) {
	now := clock.Now()
	s := hubOf(now, routetable.Tenant{Name: "large"}, routetable.Tenant{Name: "small"})
	large, small := routetable.ShortName("large"), routetable.ShortName("small")
	told, now, _ := crowdZone(s, now, large, small)
	if told[large] < 55 || told[large] > 75 || told[small] > 0 {
		t.Errorf("over their shares: %d of 100 and %d of 10", told[large], told[small])
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(newRoomCollector(s.loads))
	families, err := registry.Gather()
	if err != nil || len(families) != 3 {
		t.Errorf("%v: %v", err, families)
	}
	s.loads.room.configure(now, routetable.NewTable(&routetable.Configuration{}))
	if told, _, _ = crowdZone(s, now, large, small); len(told) > 0 {
		t.Errorf("told %v after the tenants were taken away", told)
	}
}

// TestZoneWithoutTenantsIsAnsweredAsBefore puts the same reports to a hub that has no
// configuration and to one whose configuration names no tenants: their answers are those of
// a hub to reports without claims and counts, byte for byte.
func TestZoneWithoutTenantsIsAnsweredAsBefore(t *testing.T) {
	now := clock.Now()
	plain := &Store{logger: logging.Discard(), loads: newLoads(ratelimit.Tolerance{})}
	var want [][]byte
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		encoded, _ := plain.answerZone(now, &wire.LoadReport{Source: 5, Choosing: true}).MarshalMsg(nil)
		want = append(want, encoded)
	}
	for name, s := range map[string]*Store{"no configuration": {logger: logging.Discard(), loads: newLoads(ratelimit.Tolerance{})}, "no tenants": hubOf(now)} {
		_, _, got := crowdZone(s, now, 1, 2)
		if !slices.EqualFunc(got, want, bytes.Equal) {
			t.Errorf("%s: other answers", name)
		}
		registry := prometheus.NewRegistry()
		registry.MustRegister(newRoomCollector(s.loads))
		if families, err := registry.Gather(); err != nil || len(families) > 0 {
			t.Errorf("%s: %v, metrics %v", name, err, families)
		}
	}
}

// TestRefusedTokensClaimNothing lets a tenant ask far beyond its limit: what its limit
// refuses is no demand for room.
func TestRefusedTokensClaimNothing(t *testing.T) {
	now := clock.Now()
	s := hubOf(now)
	tenant := routetable.Tenant{Name: "a", RatePerSecond: 1, Burst: 1}
	table := routetable.NewTable(&routetable.Configuration{Tenants: []routetable.Tenant{tenant}})
	s.loads.room.configure(now, table)
	s.loads.limits.set(table.Limits(), 1)
	short := routetable.ShortName("a")
	granted := 0
	for ticket := range uint64(200) {
		now = now.Add(10 * time.Millisecond)
		answer := s.answerZone(now, &wire.LoadReport{Source: 5, Choosing: true, Tokens: []wire.TokenQuestion{{Ticket: ticket, Tenant: short}}, Claims: []wire.RoomClaim{{Ticket: ticket, Tenant: short}}})
		for _, verdict := range answer.Verdicts {
			if verdict.Granted {
				granted++
			}
		}
	}
	uses := s.loads.room.meter.Summary(now, 1).Usages
	if granted == 0 || granted > 20 || len(uses) == 1 && uses[0].Demand > 10 {
		t.Errorf("%d granted, uses %+v", granted, uses)
	}
}

// TestNamesOfTheRoom names tenants, callers that are none, and those that a hub does not
// know yet.
func TestNamesOfTheRoom(t *testing.T) {
	z := hubOf(clock.Now(), routetable.Tenant{Name: "a"}).loads.room
	names := []string{z.nameOf(routetable.ShortName("a")), z.nameOf(fairshare.Public), z.nameOf(77)}
	if got := strings.Join(names, " "); got != "a (public) (unknown)" {
		t.Errorf("named %s", got)
	}
}

// TestItemsOfTenantsTakeTurns hands in a job of forty items and later one of four, of
// another tenant, in more than comes in time: the four come among the first eight. Without
// tenants, or with time for all, the order is that of batchplan.Sort.
func TestItemsOfTenantsTakeTurns(t *testing.T) {
	shared := table().Configuration
	shared.Tenants = []routetable.Tenant{{Name: "a"}, {Name: "b"}}
	for name, test := range map[string]struct {
		table *routetable.Table
		items int
		turns bool
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
			r.order(start, test.table)
			submit("b", 4)
			items := r.order(start.Add(time.Second), test.table)
			sorted := slices.Clone(items)
			batchplan.Sort(sorted)
			if same := slices.Equal(items, sorted); same == test.turns {
				t.Errorf("in the order of Sort: %t", same)
			}
			first := 0
			for _, item := range items[:8] {
				if item.Owner.Tenant == "b" {
					first++
				}
			}
			if test.turns && first != 4 {
				t.Errorf("%d of the smaller job among the first eight", first)
			}
		})
	}
}
