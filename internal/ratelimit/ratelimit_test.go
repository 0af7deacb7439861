package ratelimit

import (
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/proptest"
)

// TestSumStaysWithin floods all hubs with requests while messages are lost, late and
// doubled, hubs are cut off, frozen and replaced and the top goes and comes: no window
// holds more than the limit with its tolerance.
func TestSumStaysWithin(t *testing.T) {
	proptest.Run(t, "sum", func(random *rand.Rand) error {
		return flood(random)
	})
}

func flood(random *rand.Rand) error {
	limit := draw(random)
	f := newFleet(random, limit)
	f.loss = random.Float64() * 0.3
	weights := [hubs]float64{random.Float64(), random.Float64(), random.Float64()}
	demand := limit.Rate * (0.5 + 6*random.Float64())
	for f.now.Sub(start) < 14*time.Second {
		f.tick()
		f.disturb()
		if random.Intn(300) == 0 {
			weights = [hubs]float64{random.Float64(), random.Float64(), random.Float64()}
			demand = limit.Rate * (0.5 + 6*random.Float64())
		}
		for i := range hubs {
			if !f.now.After(f.downTil[i]) {
				continue
			}
			want := demand * weights[i] * step.Seconds()
			for want > 0 && random.Float64() < want {
				f.ask(i)
				want--
			}
		}
	}
	if most := f.most(); float64(most) > allowed(limit) {
		return errors.Newf("%d requests passed in a window, %.1f may (%+v)", most, allowed(limit), limit)
	}
	if f.doubled > 0 {
		return errors.Newf("%d questions that came twice got two answers", f.doubled)
	}
	return nil
}

// disturb brings about a fault now and then: at most one of the hubs at a time is cut off
// or replaced, and the top goes for a while.
func (f *fleet) disturb() {
	if f.random.Intn(400) != 0 {
		return
	}
	for i := range hubs {
		if !f.now.After(f.cutUntil[i]) || !f.now.After(f.downTil[i]) {
			return
		}
	}
	i := f.random.Intn(hubs)
	pause := time.Duration(f.random.Intn(3000)) * time.Millisecond
	switch f.random.Intn(4) {
	case 0:
		f.cutUntil[i] = f.now.Add(pause)
	case 1:
		f.downTil[i] = f.now.Add(pause)
		f.newHub(i)
	case 2:
		// Frozen: it goes on as it was.
		f.downTil[i] = f.now.Add(pause)
	case 3:
		f.loseTop(pause)
	}
}

// TestMutationsAreSeen takes a mechanism away: the check of the sum must see it.
func TestMutationsAreSeen(t *testing.T) {
	for name, harm := range map[string]func(*fleet){
		"hubs that never hear the top and think the bucket theirs alone": func(f *fleet) {
			f.loseTop(time.Hour)
			for _, h := range f.hubs {
				h.SetLimits(limits(f.limit), 1)
			}
		},
		"hubs that each know a limit of their own": func(f *fleet) {
			for i, h := range f.hubs {
				h.SetLimits(limits(Limit{Rate: f.limit.Rate * float64(2+i), Burst: f.limit.Burst}), 1)
			}
		},
	} {
		limit := Limit{Rate: 200, Burst: 200}
		f := newFleet(rand.New(rand.NewSource(1)), limit)
		harm(f)
		for f.now.Sub(start) < 8*time.Second {
			f.tick()
			for i := range hubs {
				for range 3 {
					f.ask(i)
				}
			}
		}
		if most := f.most(); float64(most) <= allowed(limit) {
			t.Errorf("%s: %d passed, %.0f may: not seen", name, most, allowed(limit))
		}
	}
}

// TestCalmTenantIsLetIn sends what a bucket of the limit allows, in waves and unevenly
// over the zones, while messages are lost and late: nothing is refused where there is a
// top, and little where it goes for up to 1.2 s, each 6 s or so.
func TestCalmTenantIsLetIn(t *testing.T) {
	for name, test := range map[string]struct {
		faults bool
		part   float64
	}{"calm": {false, 0}, "the top replaced": {true, 0.1}} {
		t.Run(name, func(t *testing.T) {
			proptest.Run(t, "calm", func(random *rand.Rand) error { return calm(random, test.faults, test.part) })
		})
	}
}

// TestCalmSeedOnceRed replays the draw in which one of 599 requests below the limit was
// refused though there was a top: with 14 tokens left by its copy a hub had taken ten since
// the last report that was not lost, as many as it may, and called that over the limit.
func TestCalmSeedOnceRed(t *testing.T) {
	if err := calm(rand.New(rand.NewSource(4325203151190536169)), false, 0); err != nil {
		t.Error(err)
	}
}

// calm sends what a bucket of the limit allows. It fails where more than the part of the
// requests, and of 200, is refused.
func calm(random *rand.Rand, faults bool, part float64) error {
	limit := draw(random)
	limit.Burst = max(limit.Burst, limit.Rate, 2)
	f := newFleet(random, limit)
	f.loss = random.Float64() * 0.1
	fair := bucket{level: limit.Burst, at: f.now}
	weights := [hubs]float64{0.2 + random.Float64(), 0.2 + random.Float64(), 0.2 + random.Float64()}
	sum := weights[0] + weights[1] + weights[2]
	asked, refused := 0, 0
	for f.now.Sub(start) < 20*time.Second {
		f.tick()
		if faults && random.Intn(1200) == 0 {
			f.loseTop(time.Duration(random.Intn(1200)) * time.Millisecond)
		}
		// Waves of 1.87 and 0.38 times the mean, limits of 1.6 times the mean.
		wave := 0.38
		if f.now.Sub(start)%(5800*time.Millisecond) > 3400*time.Millisecond {
			wave = 1.87
		}
		if f.now.Sub(start) < 2*time.Second {
			// The first seconds are those of a fleet that forms.
			continue
		}
		for i := range hubs {
			if random.Float64() >= limit.Rate/1.6*wave*weights[i]/sum*step.Seconds() {
				continue
			}
			if fair.refill(f.now, limit.Rate, limit.Burst); fair.level < 1 {
				continue
			}
			fair.level--
			asked++
			verdict := f.askUntilSure(i)
			if !verdict.Granted {
				refused++
			}
		}
	}
	if float64(refused) > part*float64(asked)+part*200 {
		return errors.Newf("%d of %d refused below %+v", refused, asked, limit)
	}
	return nil
}

// TestLowerLimitBinds lowers a limit to a tenth in the middle of a flood: one window
// later no window holds more than the new limit allows.
func TestLowerLimitBinds(t *testing.T) {
	proptest.Run(t, "lower", func(random *rand.Rand) error {
		high := Limit{Rate: 20 + 100*random.Float64(), Burst: 100}
		low := Limit{Rate: high.Rate / 10, Burst: high.Burst / 10}
		f := newFleet(random, high)
		f.loss = random.Float64() * 0.2
		for f.now.Sub(start) < 16*time.Second {
			f.tick()
			if f.now.Sub(start) == 5*time.Second {
				f.setLimit(low)
				f.passed = nil
			}
			for i := range hubs {
				f.ask(i)
			}
		}
		if most := f.most(); float64(most) > allowed(low) {
			return errors.Newf("%d passed in a window, %.1f may", most, allowed(low))
		}
		return nil
	})
}

// TestRefusedAreToldWhen refuses several at once: each is told a later time, and one that
// comes back then is let in.
func TestRefusedAreToldWhen(t *testing.T) {
	limit := Limit{Rate: 10, Burst: 1}
	f := newFleet(rand.New(rand.NewSource(1)), limit)
	for f.now.Sub(start) < 2*time.Second {
		f.tick()
	}
	var last time.Duration
	refused := 0
	for refused < 3 {
		verdict := f.ask(0)
		if verdict.Granted {
			continue
		}
		refused++
		if verdict.RetryAfter <= last || verdict.RetryAfter > time.Second {
			t.Fatalf("come back after %s, the one before after %s", verdict.RetryAfter, last)
		}
		last = verdict.RetryAfter
	}
	for end := f.now.Add(last + 2*reportPeriod); f.now.Before(end); {
		f.tick()
	}
	if verdict := f.ask(0); !verdict.Granted {
		t.Errorf("refused again: %+v", verdict)
	}
}

// TestPartIsGivenUp cuts a hub off from the top for a while: it goes on with its share, and
// with the whole bucket once it hears the top again, also where nothing has changed.
func TestPartIsGivenUp(t *testing.T) {
	f := newFleet(rand.New(rand.NewSource(1)), Limit{Rate: 0.1, Burst: 100})
	wait := func(time time.Duration) {
		for end := f.now.Add(time); f.now.Before(end); {
			f.tick()
		}
	}
	wait(time.Second)
	for i := range hubs {
		f.ask(i)
	}
	wait(time.Second)
	whole := f.ask(0).Level
	f.cutUntil[0] = f.now.Add(time.Second)
	wait(900 * time.Millisecond)
	if part := f.ask(0).Level; part > whole*2/3 {
		t.Errorf("%.1f of %.1f while it is cut off", part, whole)
	}
	wait(time.Second)
	if after := f.ask(0).Level; after < whole-10 {
		t.Errorf("%.1f of %.1f after that", after, whole)
	}
}

// TestSuccessorTakesOver lets the hub of a zone go in which all requests of a tenant come;
// 0.3 s later its edges ask another one. Nothing is refused, whether the first one said that
// it is left or just fell silent.
func TestSuccessorTakesOver(t *testing.T) {
	for name, says := range map[string]bool{"left": true, "killed": false} {
		f := newFleet(rand.New(rand.NewSource(1)), Limit{Rate: 50, Burst: 50})
		f.zones = []string{"a", "a", "c"}
		for i := range hubs {
			f.hubs[i].SetLimits(limits(f.limit), 2)
		}
		f.top.SetLimits(limits(f.limit), 2)
		asked, refused := 0, 0
		for f.now.Sub(start) < 8*time.Second {
			f.tick()
			passed := f.now.Sub(start)
			hub := 0
			switch {
			case passed < 3*time.Second:
				f.downTil[1] = f.now
			case passed < 3300*time.Millisecond:
				f.downTil[0] = start.Add(time.Hour)
				if says {
					f.top.RemoveHub(f.now, 1)
				}
				continue
			default:
				hub = 1
			}
			if passed < time.Second || passed%(25*time.Millisecond) != 0 {
				continue
			}
			asked++
			verdict := f.askUntilSure(hub)
			if !verdict.Granted {
				refused++
			}
		}
		if refused > 0 || asked < 200 {
			t.Errorf("%s: %d of %d refused", name, refused, asked)
		}
	}
}

// TestLimitThatWasGone takes the limit away and brings it back at the top alone, as when a hub
// has heard of the last of two changes only: what the hub took before is not taken again.
func TestLimitThatWasGone(t *testing.T) {
	f := newFleet(rand.New(rand.NewSource(1)), Limit{Rate: 10, Burst: 10})
	wait := func(time time.Duration) {
		for end := f.now.Add(time); f.now.Before(end); {
			f.tick()
		}
	}
	wait(time.Second)
	for range 100 {
		f.ask(0)
		wait(200 * time.Millisecond)
	}
	f.top.SetLimits(nil, hubs)
	f.top.SetLimits(limits(f.limit), hubs)
	for range 20 {
		wait(200 * time.Millisecond)
		if verdict := f.ask(0); !verdict.Granted {
			t.Fatalf("refused: %+v", verdict)
		}
	}
}

// TestGivenBackOnce gives a token back: it counts again, and only once.
func TestGivenBackOnce(t *testing.T) {
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
		t.Errorf("%+v and %+v of one token given back", third, fourth)
	}
	if again := hub.Take(now, 3, tenant); !again.Granted {
		t.Error("the same question got another answer")
	}
}

func TestNoLimitIsKept(t *testing.T) {
	hub := NewHub(start, 1, tolerance)
	for i := range 1000 {
		if verdict := hub.Take(start, uint64(i), tenant); !verdict.Granted {
			t.Fatal("refused without a limit")
		}
	}
	if rows := hub.Report(start).Rows; len(rows) != 0 {
		t.Errorf("%d rows of a tenant without a limit", len(rows))
	}
}

// TestReserveStaysWithin lets all edges spend their reserves: together they stay within
// two parts of the tolerance, and use most of one.
func TestReserveStaysWithin(t *testing.T) {
	proptest.Run(t, "reserve", func(random *rand.Rand) error {
		limit, edges := draw(random), 1+random.Intn(330)
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
			return errors.Newf("%d of %.1f by %d edges", count, spare, edges)
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
