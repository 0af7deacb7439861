package fairshare

import (
	"testing"
	"time"
)

// runScarceZone sends requests of the classes, at the given rates, to a zone whose capacity of 100
// requests a second is scarce. It returns the fraction of each class's requests that was within its
// share in the second half, and the time at the end.
func runScarceZone(m *Meter, now time.Time, rates map[Class]float64) (map[Class]float64, time.Time) {
	const capacity, duration = 100.0, 6 * time.Second
	requests, withinShare, pending := map[Class]float64{}, map[Class]float64{}, map[Class]float64{}
	var ticket uint64
	var started, shortages float64
	for elapsed := time.Duration(0); elapsed < duration; elapsed += 10 * time.Millisecond {
		now = now.Add(10 * time.Millisecond)
		for class, rate := range rates {
			for pending[class] += rate / 100; pending[class] >= 1; pending[class]-- {
				ticket++
				standing := m.RecordDemand(now, ticket, class)
				shortages++
				if elapsed < duration/2 {
					continue
				}
				requests[class]++
				if !standing.OverShare {
					withinShare[class]++
				}
			}
		}
		started += capacity / 100
		m.ApplyCounts(now, 1, uint32(started), uint32(shortages))
	}
	for class := range requests {
		withinShare[class] /= requests[class]
	}
	return withinShare, now
}

// TestSettings sets weights, reserves, ceilings and floors: each tenant's requests within its share
// come to about the rate that the settings give it.
func TestSettings(t *testing.T) {
	a, b, c := Class{Tenant: 1}, Class{Tenant: 2}, Class{Tenant: 3, Rank: 1}
	for name, test := range map[string]struct {
		settings Settings
		rates    map[Class]float64
		// want is in requests a second.
		want map[Class]float64
	}{
		"even": {Settings{}, map[Class]float64{a: 200, b: 100}, map[Class]float64{a: 45, b: 45}},
		"weights": {
			Settings{Tenants: map[Tenant]TenantSettings{1: {Weight: 2}}},
			map[Class]float64{a: 200, b: 200}, map[Class]float64{a: 60, b: 30},
		},
		"others get unused capacity": {Settings{}, map[Class]float64{a: 200, b: 20}, map[Class]float64{a: 70, b: 20}},
		"ceiling": {
			Settings{Tenants: map[Tenant]TenantSettings{1: {Ceiling: 0.2}}},
			map[Class]float64{a: 200, b: 200}, map[Class]float64{a: 18, b: 72},
		},
		"reserve": {
			Settings{Tenants: map[Tenant]TenantSettings{2: {Reserve: 0.8, Weight: 0.01}}},
			map[Class]float64{a: 200, b: 200}, map[Class]float64{a: 18, b: 72},
		},
		"ranks": {Settings{}, map[Class]float64{a: 200, c: 200}, map[Class]float64{a: 67.5, c: 22.5}},
		"floor": {
			Settings{Floors: map[int]float64{1: 0.5}},
			map[Class]float64{a: 200, c: 200}, map[Class]float64{a: 45, c: 45},
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := NewMeter()
			m.Configure(start, &test.settings)
			withinShare, _ := runScarceZone(m, start, test.rates)
			for class, want := range test.want {
				if got := withinShare[class] * test.rates[class]; got < 0.93*want-1 || got > 1.07*want+1 {
					t.Errorf("%+v: %.1f requests a second within the share, want %.1f", class, got, want)
				}
			}
		})
	}
}

// TestSingleTenantIsNeverOverShare sends requests of one tenant only: it competes with no other.
func TestSingleTenantIsNeverOverShare(t *testing.T) {
	m := NewMeter()
	m.Configure(start, &Settings{})
	one := Class{Tenant: 1}
	if withinShare, _ := runScarceZone(m, start, map[Class]float64{one: 500}); withinShare[one] != 1 {
		t.Errorf("a fraction of %.2f within the share, want 1", withinShare[one])
	}
}

// TestNoMeteringWithoutSettings queries a meter without settings, and one whose settings were
// removed.
func TestNoMeteringWithoutSettings(t *testing.T) {
	m := NewMeter()
	now := start
	for range 2 {
		for ticket := range uint64(1000) {
			now = now.Add(time.Millisecond)
			m.ApplyCounts(now, 1, uint32(ticket/4), uint32(ticket))
			if standing := m.RecordDemand(now, ticket, Class{Tenant: uint32(ticket % 3)}); standing != (Standing{}) {
				t.Fatalf("%+v", standing)
			}
		}
		if len(m.accounts)+len(m.accountList)+len(m.sources) > 0 || len(m.Summary(now, 10).Usages) > 0 {
			t.Error("a meter without settings keeps accounts")
		}
		m.Configure(now, &Settings{})
		_, now = runScarceZone(m, now, map[Class]float64{{Tenant: 1}: 300, {Tenant: 2}: 10})
		m.Configure(now, nil)
	}
}

// TestNobodyIsOverShareWithoutScarcity sends many requests of one tenant while capacity is not scarce.
func TestNobodyIsOverShareWithoutScarcity(t *testing.T) {
	m := NewMeter()
	m.Configure(start, &Settings{})
	now := start
	for ticket := range uint64(5000) {
		now = now.Add(time.Millisecond)
		m.ApplyCounts(now, 1, uint32(ticket), uint32(ticket/100))
		if m.RecordDemand(now, ticket, Class{Tenant: uint32(ticket%20) / 19}).OverShare {
			t.Fatal("over its share though capacity is not scarce")
		}
	}
}

// TestRepeatedTicketIsCountedOnce repeats queries: each ticket counts once and gets the same answer.
func TestRepeatedTicketIsCountedOnce(t *testing.T) {
	m, now := scarceMeter(20)
	class := Class{Tenant: 1}
	answers := map[bool]int{}
	for ticket := uint64(1 << 40); ticket < 1<<40+1000; ticket++ {
		now = now.Add(time.Millisecond)
		m.shortages.pending++
		first := m.RecordDemand(now, ticket, class)
		counted := m.demand.pending
		if again := m.RecordDemand(now, ticket, class); again != first || m.demand.pending != counted {
			t.Fatalf("first answer %+v, repeated %+v", first, again)
		}
		answers[first.OverShare]++
	}
	if answers[true] == 0 || answers[false] == 0 {
		t.Errorf("want answers over and within the share, got %v", answers)
	}
}

// TestApplyCounts applies reports that are duplicated or reordered, and those of an edge that restarts.
func TestApplyCounts(t *testing.T) {
	m := NewMeter()
	m.Configure(start, &Settings{})
	apply := func(after time.Duration, started, shortages uint32) (float64, float64) {
		m.ApplyCounts(start.Add(after), 7, started, shortages)
		return m.granted.pending, m.shortages.pending
	}
	for i, step := range []struct {
		started, shortages     uint32
		granted, wantShortages float64
	}{
		{1 << 31, 5, 0, 0}, {1<<31 + 10, 6, 10, 1}, {1<<31 + 10, 6, 10, 1}, {1<<31 + 4, 5, 10, 1},
		{1<<31 + 12, 6, 12, 1}, {3, 0, 12, 1}, {5, 2, 14, 3},
	} {
		if granted, shortages := apply(time.Duration(i)*time.Millisecond, step.started, step.shortages); granted != step.granted || shortages != step.wantShortages {
			t.Errorf("step %d: %g granted, %g shortages", i, granted, shortages)
		}
	}
	// What an edge counted since a report too long ago may have been reported to another hub.
	m.ApplyCounts(start.Add(2*time.Second), 7, 500, 500)
	if m.granted.pending != 0 {
		t.Errorf("%g granted after a gap, want 0", m.granted.pending)
	}
}

// TestMeterIsBounded sends requests of more tenants than are kept, and then none.
func TestMeterIsBounded(t *testing.T) {
	m := NewMeter()
	m.Configure(start, &Settings{})
	for i := range 3 * maxClasses {
		m.RecordDemand(start, uint64(i), Class{Tenant: uint32(i)})
		m.ApplyCounts(start, uint32(i), 1, 1)
	}
	if len(m.accounts) != maxClasses || len(m.accountList) != maxClasses || len(m.sources) > maxSources {
		t.Errorf("%d classes, %d sources", len(m.accounts), len(m.sources))
	}
	now := start
	for range 100 {
		now = now.Add(updateInterval)
		m.update(now)
	}
	if len(m.accounts)+len(m.accountList)+len(m.sources) > 0 {
		t.Errorf("%d classes, %d sources are left", len(m.accounts), len(m.sources))
	}
}

// TestSummary checks that the largest classes are listed and the rest summed up.
func TestSummary(t *testing.T) {
	m := NewMeter()
	m.Configure(start, &Settings{})
	_, now := runScarceZone(m, start, map[Class]float64{{Tenant: 1}: 200, {Tenant: 2}: 30, {Tenant: 3}: 20, {Tenant: 4}: 10})
	s := m.Summary(now, 2)
	if len(s.Usages) != 2 || s.Usages[0].Class.Tenant != 1 || s.Usages[1].Class.Tenant != 2 || s.OtherCount != 2 || !s.Scarce {
		t.Errorf("%+v", s)
	}
	if s.Rest.Demand < 25 || s.Rest.Demand > 35 || s.Capacity < 95 || s.Capacity > 105 || s.Usages[0].Excess < 130 {
		t.Errorf("%+v", s)
	}
}

// TestFallbackDecays checks that the last answers apply for a limited time.
func TestFallbackDecays(t *testing.T) {
	r := NewFallback()
	class := Class{Tenant: 1}
	if r.Standing(start, class, 0).OverShare {
		t.Error("over the share before any answer")
	}
	r.Record(start, class, Standing{OverShare: true, Share: 5})
	if standing := r.Standing(start.Add(fallbackTTL/4), class, 0.5); !standing.OverShare || standing.Age != fallbackTTL/4 || standing.Share != 5 {
		t.Errorf("%+v", standing)
	}
	if r.Standing(start.Add(fallbackTTL/4), class, 0.8).OverShare || r.Standing(start.Add(fallbackTTL), class, 0).OverShare {
		t.Error("the standing does not decay")
	}
	for range 20 {
		r.Record(start, class, Standing{})
	}
	if r.Standing(start, class, 0.1).OverShare {
		t.Error("over the share though the last answers were not")
	}
}
