package ratelimit

import (
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/proptest"
)

// TestSumStaysWithinTolerance floods all hubs with requests while messages are lost, delayed and
// repeated, hubs are disconnected, frozen and replaced, and the top fails and is replaced. No
// window may hold more requests than the limit and its tolerance allow.
func TestSumStaysWithinTolerance(t *testing.T) {
	proptest.Run(t, "sum", func(random *rand.Rand) error {
		return runFlood(random)
	})
}

func runFlood(random *rand.Rand) error {
	limit := randomLimit(random)
	f := newFleet(random, limit)
	f.lossRate = random.Float64() * 0.3
	weights := [hubs]float64{random.Float64(), random.Float64(), random.Float64()}
	demand := limit.Rate * (0.5 + 6*random.Float64())
	for f.now.Sub(start) < 14*time.Second {
		f.tick()
		f.injectFault()
		if random.Intn(300) == 0 {
			weights = [hubs]float64{random.Float64(), random.Float64(), random.Float64()}
			demand = limit.Rate * (0.5 + 6*random.Float64())
		}
		for i := range hubs {
			if !f.now.After(f.downUntil[i]) {
				continue
			}
			expected := demand * weights[i] * step.Seconds()
			for expected > 0 && random.Float64() < expected {
				f.takeToken(i)
				expected--
			}
		}
	}
	if maxCount := f.maxInWindow(); float64(maxCount) > allowed(limit) {
		return errors.Newf("%d requests admitted in a window, at most %.1f are allowed (%+v)", maxCount, allowed(limit), limit)
	}
	if f.inconsistent > 0 {
		return errors.Newf("%d repeated token requests got a different answer", f.inconsistent)
	}
	return nil
}

// injectFault occasionally injects a fault: it disconnects, replaces or freezes a hub, one at a
// time, or stops the top for a while.
func (f *fleet) injectFault() {
	if f.random.Intn(400) != 0 {
		return
	}
	for i := range hubs {
		if !f.now.After(f.disconnectedUntil[i]) || !f.now.After(f.downUntil[i]) {
			return
		}
	}
	i := f.random.Intn(hubs)
	duration := time.Duration(f.random.Intn(3000)) * time.Millisecond
	switch f.random.Intn(4) {
	case 0:
		f.disconnectedUntil[i] = f.now.Add(duration)
	case 1:
		f.downUntil[i] = f.now.Add(duration)
		f.newHub(i)
	case 2:
		// A frozen hub continues with its old state.
		f.downUntil[i] = f.now.Add(duration)
	case 3:
		f.stopTop(duration)
	}
}

// TestMutationsAreDetected breaks a mechanism, so that the check of the sum must fail.
func TestMutationsAreDetected(t *testing.T) {
	for name, mutate := range map[string]func(*fleet){
		"isolated hubs that each use the whole bucket": func(f *fleet) {
			f.stopTop(time.Hour)
			for _, h := range f.hubs {
				h.SetLimits(limits(f.limit), 1)
			}
		},
		"hubs with different limits": func(f *fleet) {
			for i, h := range f.hubs {
				h.SetLimits(limits(Limit{Rate: f.limit.Rate * float64(2+i), Burst: f.limit.Burst}), 1)
			}
		},
	} {
		limit := Limit{Rate: 200, Burst: 200}
		f := newFleet(rand.New(rand.NewSource(1)), limit)
		mutate(f)
		for f.now.Sub(start) < 8*time.Second {
			f.tick()
			for i := range hubs {
				for range 3 {
					f.takeToken(i)
				}
			}
		}
		if maxCount := f.maxInWindow(); float64(maxCount) <= allowed(limit) {
			t.Errorf("%s: not detected: %d requests admitted, %.0f allowed", name, maxCount, allowed(limit))
		}
	}
}

// TestTenantBelowLimitIsAdmitted sends what a bucket of the limit allows, in waves and unevenly
// over the zones, while messages are lost and delayed. No request may be rejected while there is
// a top, and only few while the top is missing for up to 1.2 s about every 6 s.
func TestTenantBelowLimitIsAdmitted(t *testing.T) {
	for name, test := range map[string]struct {
		faults   bool
		fraction float64
	}{"calm": {false, 0}, "the top replaced": {true, 0.1}} {
		t.Run(name, func(t *testing.T) {
			proptest.Run(t, "calm", func(random *rand.Rand) error { return runBelowLimit(random, test.faults, test.fraction) })
		})
	}
}

// TestUncertainWhileTokensAreLeft repeats a random run in which one of 599 requests below the limit
// was rejected although there was a top. With 14 tokens left in its copy, a hub had taken ten since
// its last report that was not lost, the most that it may take between reports, and reported the
// next request as over the limit.
func TestUncertainWhileTokensAreLeft(t *testing.T) {
	if err := runBelowLimit(rand.New(rand.NewSource(4325203151190536169)), false, 0); err != nil {
		t.Error(err)
	}
}

// runBelowLimit sends what a bucket of the limit allows. It fails if more requests are rejected
// than the given fraction of the requests plus the same fraction of 200.
func runBelowLimit(random *rand.Rand, faults bool, fraction float64) error {
	limit := randomLimit(random)
	limit.Burst = max(limit.Burst, limit.Rate, 2)
	f := newFleet(random, limit)
	f.lossRate = random.Float64() * 0.1
	reference := bucket{level: limit.Burst, at: f.now}
	weights := [hubs]float64{0.2 + random.Float64(), 0.2 + random.Float64(), 0.2 + random.Float64()}
	sum := weights[0] + weights[1] + weights[2]
	sent, rejected := 0, 0
	for f.now.Sub(start) < 20*time.Second {
		f.tick()
		if faults && random.Intn(1200) == 0 {
			f.stopTop(time.Duration(random.Intn(1200)) * time.Millisecond)
		}
		// The rate is 1.87 times the mean in waves and 0.38 times the mean between them. The limit
		// is 1.6 times the mean.
		wave := 0.38
		if f.now.Sub(start)%(5800*time.Millisecond) > 3400*time.Millisecond {
			wave = 1.87
		}
		if f.now.Sub(start) < 2*time.Second {
			// The fleet is still starting.
			continue
		}
		for i := range hubs {
			if random.Float64() >= limit.Rate/1.6*wave*weights[i]/sum*step.Seconds() {
				continue
			}
			if reference.refill(f.now, limit.Rate, limit.Burst); reference.level < 1 {
				continue
			}
			reference.level--
			sent++
			verdict := f.takeUntilCertain(i)
			if !verdict.Granted {
				rejected++
			}
		}
	}
	if float64(rejected) > fraction*float64(sent)+fraction*200 {
		return errors.Newf("%d of %d requests rejected below %+v", rejected, sent, limit)
	}
	return nil
}

// TestLowerLimitTakesEffect lowers a limit to a tenth during a flood: one window later, no window
// may hold more requests than the new limit allows.
func TestLowerLimitTakesEffect(t *testing.T) {
	proptest.Run(t, "lower", func(random *rand.Rand) error {
		high := Limit{Rate: 20 + 100*random.Float64(), Burst: 100}
		low := Limit{Rate: high.Rate / 10, Burst: high.Burst / 10}
		f := newFleet(random, high)
		f.lossRate = random.Float64() * 0.2
		for f.now.Sub(start) < 16*time.Second {
			f.tick()
			if f.now.Sub(start) == 5*time.Second {
				f.setLimit(low)
				f.admitted = nil
			}
			for i := range hubs {
				f.takeToken(i)
			}
		}
		if maxCount := f.maxInWindow(); float64(maxCount) > allowed(low) {
			return errors.Newf("%d requests admitted in a window, at most %.1f are allowed", maxCount, allowed(low))
		}
		return nil
	})
}

// TestRetryAfterIncreases rejects several requests at once: each gets a later retry time, and a
// request sent at the last of these is admitted.
func TestRetryAfterIncreases(t *testing.T) {
	limit := Limit{Rate: 10, Burst: 1}
	f := newFleet(rand.New(rand.NewSource(1)), limit)
	for f.now.Sub(start) < 2*time.Second {
		f.tick()
	}
	var last time.Duration
	rejected := 0
	for rejected < 3 {
		verdict := f.takeToken(0)
		if verdict.Granted {
			continue
		}
		rejected++
		if verdict.RetryAfter <= last || verdict.RetryAfter > time.Second {
			t.Fatalf("retry after %s, but the request before after %s", verdict.RetryAfter, last)
		}
		last = verdict.RetryAfter
	}
	for end := f.now.Add(last + 2*reportPeriod); f.now.Before(end); {
		f.tick()
	}
	if verdict := f.takeToken(0); !verdict.Granted {
		t.Errorf("rejected again after the retry time: %+v", verdict)
	}
}

// TestDisconnectedHubUsesItsShare disconnects a hub from the top for a while: it continues with its
// share, and with the whole bucket once it is connected again, even if nothing has changed.
func TestDisconnectedHubUsesItsShare(t *testing.T) {
	f := newFleet(rand.New(rand.NewSource(1)), Limit{Rate: 0.1, Burst: 100})
	wait := func(time time.Duration) {
		for end := f.now.Add(time); f.now.Before(end); {
			f.tick()
		}
	}
	wait(time.Second)
	for i := range hubs {
		f.takeToken(i)
	}
	wait(time.Second)
	whole := f.takeToken(0).Level
	f.disconnectedUntil[0] = f.now.Add(time.Second)
	wait(900 * time.Millisecond)
	if part := f.takeToken(0).Level; part > whole*2/3 {
		t.Errorf("level %.1f of %.1f while disconnected, want only the share", part, whole)
	}
	wait(time.Second)
	if after := f.takeToken(0).Level; after < whole-10 {
		t.Errorf("level %.1f of %.1f after reconnecting, want the whole bucket", after, whole)
	}
}

// TestSuccessorTakesOver stops the hub of the zone that receives all requests of a tenant; 0.3 s
// later, its edges use another hub. No request may be rejected, whether the first hub was removed
// or just stopped responding.
func TestSuccessorTakesOver(t *testing.T) {
	for name, removed := range map[string]bool{"left": true, "killed": false} {
		f := newFleet(rand.New(rand.NewSource(1)), Limit{Rate: 50, Burst: 50})
		f.zones = []string{"a", "a", "c"}
		for i := range hubs {
			f.hubs[i].SetLimits(limits(f.limit), 2)
		}
		f.top.SetLimits(limits(f.limit), 2)
		sent, rejected := 0, 0
		for f.now.Sub(start) < 8*time.Second {
			f.tick()
			elapsed := f.now.Sub(start)
			hub := 0
			switch {
			case elapsed < 3*time.Second:
				f.downUntil[1] = f.now
			case elapsed < 3300*time.Millisecond:
				f.downUntil[0] = start.Add(time.Hour)
				if removed {
					f.top.RemoveHub(f.now, 1)
				}
				continue
			default:
				hub = 1
			}
			if elapsed < time.Second || elapsed%(25*time.Millisecond) != 0 {
				continue
			}
			sent++
			verdict := f.takeUntilCertain(hub)
			if !verdict.Granted {
				rejected++
			}
		}
		if rejected > 0 || sent < 200 {
			t.Errorf("%s: %d of %d requests rejected", name, rejected, sent)
		}
	}
}

// TestLimitRemovedAndRestored removes a limit and restores it at the top only, as if a hub had
// received only the last of two changes: the tokens that the hub took before must not be counted
// again.
func TestLimitRemovedAndRestored(t *testing.T) {
	f := newFleet(rand.New(rand.NewSource(1)), Limit{Rate: 10, Burst: 10})
	wait := func(time time.Duration) {
		for end := f.now.Add(time); f.now.Before(end); {
			f.tick()
		}
	}
	wait(time.Second)
	for range 100 {
		f.takeToken(0)
		wait(200 * time.Millisecond)
	}
	f.top.SetLimits(nil, hubs)
	f.top.SetLimits(limits(f.limit), hubs)
	for range 20 {
		wait(200 * time.Millisecond)
		if verdict := f.takeToken(0); !verdict.Granted {
			t.Fatalf("rejected: %+v", verdict)
		}
	}
}

// TestTokenIsReleasedOnce checks that a released token can be taken again, but only once.
func TestTokenIsReleasedOnce(t *testing.T) {
	hub := NewHub(start, 1, Tolerance{Window: time.Second})
	hub.SetLimits(limits(Limit{Rate: 0.001, Burst: 1}), 1)
	hub.Apply(start, &Update{Epoch: 9, AckEpoch: 1, AllZonesJoined: true, Rows: []Row{{Tenant: tenant, Level: 1, Share: 1, RefillShare: 1}}})
	now := start.Add(time.Millisecond)
	if first, second := hub.Take(now, 1, tenant), hub.Take(now, 2, tenant); !first.Granted || second.Granted {
		t.Fatalf("%+v and %+v of one token", first, second)
	}
	hub.Release(now, 1, tenant)
	hub.Release(now, 1, tenant)
	hub.Release(now, 2, tenant)
	if third, fourth := hub.Take(now, 3, tenant), hub.Take(now, 4, tenant); !third.Granted || fourth.Granted {
		t.Errorf("%+v and %+v of one released token", third, fourth)
	}
	if again := hub.Take(now, 3, tenant); !again.Granted {
		t.Error("a repeated token request got a different answer")
	}
}

func TestNoLimit(t *testing.T) {
	hub := NewHub(start, 1, tolerance)
	for i := range 1000 {
		if verdict := hub.Take(start, uint64(i), tenant); !verdict.Granted {
			t.Fatal("rejected without a limit")
		}
	}
	if rows := hub.Report(start).Rows; len(rows) != 0 {
		t.Errorf("%d rows of a tenant without a limit", len(rows))
	}
}

// TestReserveStaysWithinSpare checks that the requests that all edges admit from their reserves
// add up to one part of the tolerance, within the statistical deviation.
func TestReserveStaysWithinSpare(t *testing.T) {
	proptest.Run(t, "reserve", func(random *rand.Rand) error {
		limit, edges := randomLimit(random), 1+random.Intn(330)
		name := Tenant(random.Uint32())
		count := 0
		for i := range edges {
			r := NewReserve(string(rune('a' + i)))
			for at := time.Duration(0); at < tolerance.Window; at += 10 * time.Millisecond {
				if r.Take(start.Add(at), name, limit, tolerance, edges) {
					count++
				}
			}
		}
		spare := tolerance.Spare(limit)
		if deviation := 4 * math.Sqrt(spare); float64(count) > spare+deviation+1 || float64(count) < spare-deviation-1 {
			return errors.Newf("%d requests admitted, want about %.1f, by %d edges", count, spare, edges)
		}
		return nil
	})
}

func BenchmarkHubTake(b *testing.B) {
	const tenants = 1000
	all := map[Tenant]Limit{}
	for i := range Tenant(tenants) {
		all[i] = Limit{Rate: 1e9, Burst: 1e9}
	}
	hub := NewHub(start, 1, tolerance)
	hub.SetLimits(all, 3)
	b.ReportAllocs()
	for i := range b.N {
		hub.Take(start.Add(time.Duration(i)*time.Microsecond), uint64(i), Tenant(i%tenants))
	}
}
