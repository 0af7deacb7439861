package fairshare

import (
	"testing"
	"time"
)

// crowd lets tenants ask for some time while the room of a zone, 100 requests a second, is
// scarce. It returns what part of each tenant's requests was within its share, in the
// second half.
func crowd(m *Meter, now time.Time, rates map[Class]float64) (map[Class]float64, time.Time) {
	const room, length = 100.0, 6 * time.Second
	asked, within, due := map[Class]float64{}, map[Class]float64{}, map[Class]float64{}
	var ticket uint64
	var begun, short float64
	for passed := time.Duration(0); passed < length; passed += 10 * time.Millisecond {
		now = now.Add(10 * time.Millisecond)
		for party, rate := range rates {
			for due[party] += rate / 100; due[party] >= 1; due[party]-- {
				ticket++
				standing := m.RecordDemand(now, ticket, party)
				short++
				if passed < length/2 {
					continue
				}
				asked[party]++
				if !standing.OverShare {
					within[party]++
				}
			}
		}
		begun += room / 100
		m.ApplyCounts(now, 1, uint32(begun), uint32(short))
	}
	for party := range asked {
		within[party] /= asked[party]
	}
	return within, now
}

// TestSettingsDecide sets weights, reserves, ceilings and floors: each tenant is within its
// share with about as many requests as it is due.
func TestSettingsDecide(t *testing.T) {
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
		"what is left goes to others": {Settings{}, map[Class]float64{a: 200, b: 20}, map[Class]float64{a: 70, b: 20}},
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
			within, _ := crowd(m, start, test.rates)
			for party, want := range test.want {
				if got := within[party] * test.rates[party]; got < 0.93*want-1 || got > 1.07*want+1 {
					t.Errorf("%+v: %.1f a second within the share, want %.1f", party, got, want)
				}
			}
		})
	}
}

// TestOneTenantHasAll lets one tenant ask alone: there is nobody whose room it takes.
func TestOneTenantHasAll(t *testing.T) {
	m := NewMeter()
	m.Configure(start, &Settings{})
	one := Class{Tenant: 1}
	if within, _ := crowd(m, start, map[Class]float64{one: 500}); within[one] != 1 {
		t.Errorf("%.2f within the share", within[one])
	}
}

// TestNothingIsMeteredWithoutTenants asks a meter without settings, and one whose settings
// were taken away.
func TestNothingIsMeteredWithoutTenants(t *testing.T) {
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
		if len(m.parties)+len(m.list)+len(m.sources) > 0 || len(m.Summary(now, 10).Usages) > 0 {
			t.Error("something is kept")
		}
		m.Configure(now, &Settings{})
		_, now = crowd(m, now, map[Class]float64{{Tenant: 1}: 300, {Tenant: 2}: 10})
		m.Configure(now, nil)
	}
}

// TestRoomForAll lets a tenant ask for much while nobody finds the room short.
func TestRoomForAll(t *testing.T) {
	m := NewMeter()
	m.Configure(start, &Settings{})
	now := start
	for ticket := range uint64(5000) {
		now = now.Add(time.Millisecond)
		m.ApplyCounts(now, 1, uint32(ticket), uint32(ticket/100))
		if m.RecordDemand(now, ticket, Class{Tenant: uint32(ticket%20) / 19}).OverShare {
			t.Fatal("over its share though there is room")
		}
	}
}

// TestSameTicketSameAnswer sends questions again: they count once.
func TestSameTicketSameAnswer(t *testing.T) {
	m, now := scarceMeter(20)
	party := Class{Tenant: 1}
	answers := map[bool]int{}
	for ticket := uint64(1 << 40); ticket < 1<<40+1000; ticket++ {
		now = now.Add(time.Millisecond)
		m.short.fresh++
		before := m.RecordDemand(now, ticket, party)
		asked := m.asked.fresh
		if again := m.RecordDemand(now, ticket, party); again != before || m.asked.fresh != asked {
			t.Fatalf("%+v, then %+v", before, again)
		}
		answers[before.OverShare]++
	}
	if answers[true] == 0 || answers[false] == 0 {
		t.Errorf("over and not: %v", answers)
	}
}

// TestCountsOfEdges lets reports be doubled, overtake each other, and an edge begin anew.
func TestCountsOfEdges(t *testing.T) {
	m := NewMeter()
	m.Configure(start, &Settings{})
	tell := func(after time.Duration, begun, short uint32) (float64, float64) {
		m.ApplyCounts(start.Add(after), 7, begun, short)
		return m.given.fresh, m.short.fresh
	}
	for i, step := range []struct {
		begun, short uint32
		given, lack  float64
	}{
		{1 << 31, 5, 0, 0}, {1<<31 + 10, 6, 10, 1}, {1<<31 + 10, 6, 10, 1}, {1<<31 + 4, 5, 10, 1},
		{1<<31 + 12, 6, 12, 1}, {3, 0, 12, 1}, {5, 2, 14, 3},
	} {
		if given, lack := tell(time.Duration(i)*time.Millisecond, step.begun, step.short); given != step.given || lack != step.lack {
			t.Errorf("step %d: %g given, %g short", i, given, lack)
		}
	}
	// What an edge counted while it was silent may have been told elsewhere.
	m.ApplyCounts(start.Add(2*time.Second), 7, 500, 500)
	if m.given.fresh != 0 {
		t.Errorf("%g given", m.given.fresh)
	}
}

// TestMeterIsBounded lets more tenants ask than are kept, and then none.
func TestMeterIsBounded(t *testing.T) {
	m := NewMeter()
	m.Configure(start, &Settings{})
	for i := range 3 * maxParties {
		m.RecordDemand(start, uint64(i), Class{Tenant: uint32(i)})
		m.ApplyCounts(start, uint32(i), 1, 1)
	}
	if len(m.parties) != maxParties || len(m.list) != maxParties || len(m.sources) > maxSources {
		t.Errorf("%d parties, %d sources", len(m.parties), len(m.sources))
	}
	now := start
	for range 100 {
		now = now.Add(interval)
		m.tick(now)
	}
	if len(m.parties)+len(m.list)+len(m.sources) > 0 {
		t.Errorf("%d parties, %d sources are kept", len(m.parties), len(m.sources))
	}
}

// TestSummary names the largest, and sums up the rest.
func TestSummary(t *testing.T) {
	m := NewMeter()
	m.Configure(start, &Settings{})
	_, now := crowd(m, start, map[Class]float64{{Tenant: 1}: 200, {Tenant: 2}: 30, {Tenant: 3}: 20, {Tenant: 4}: 10})
	s := m.Summary(now, 2)
	if len(s.Usages) != 2 || s.Usages[0].Class.Tenant != 1 || s.Usages[1].Class.Tenant != 2 || s.OtherCount != 2 || !s.Scarce {
		t.Errorf("%+v", s)
	}
	if s.Rest.Demand < 25 || s.Rest.Demand > 35 || s.Capacity < 95 || s.Capacity > 105 || s.Usages[0].Excess < 130 {
		t.Errorf("%+v", s)
	}
}

// TestRecallFades goes by the last answers for a while.
func TestRecallFades(t *testing.T) {
	r := NewFallback()
	party := Class{Tenant: 1}
	if r.Standing(start, party, 0).OverShare {
		t.Error("over before anything was heard")
	}
	r.Record(start, party, Standing{OverShare: true, Share: 5})
	if standing := r.Standing(start.Add(recallTime/4), party, 0.5); !standing.OverShare || standing.Age != recallTime/4 || standing.Share != 5 {
		t.Errorf("%+v", standing)
	}
	if r.Standing(start.Add(recallTime/4), party, 0.8).OverShare || r.Standing(start.Add(recallTime), party, 0).OverShare {
		t.Error("it does not fade")
	}
	for range 20 {
		r.Record(start, party, Standing{})
	}
	if r.Standing(start, party, 0.1).OverShare {
		t.Error("over though the last answers were not")
	}
}
