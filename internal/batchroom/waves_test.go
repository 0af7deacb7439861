package batchroom

import (
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/forecast"
)

// plays is how many seeds each play is repeated with.
const plays = 2

// sums returns what came of a play with several seeds, together.
func (p *play) sums(t *testing.T, name string) outcome {
	t.Helper()
	var results [plays]outcome
	var group sync.WaitGroup
	for seed := range results {
		group.Go(func() { results[seed] = p.run(int64(seed)) })
	}
	group.Wait()
	var all outcome
	for _, result := range results {
		all.online += result.online
		all.waited += result.waited
		all.late += result.late
		all.crossed += result.crossed
		all.itemsDue += result.itemsDue
		all.inTime += result.inTime
		all.cuts += result.cuts
		all.longest = max(all.longest, result.longest)
		all.waiting += result.waiting
		all.idle += result.idle / plays
	}
	t.Logf("%s: %.4f of %d items in time, %d cut; %.4f of %d online waited, %d too long, %s at most; idle %.4f; %d crossed zones", name, all.inTimePart(), all.itemsDue, all.cuts, all.waitedPart(), all.online, all.late, all.longest, all.idle, all.crossed)
	return all
}

// present is the same play without a forecast.
func (p *play) present() *play {
	other := *p
	other.foresees = false
	return &other
}

// holds checks the bars of a pattern that is learnt.
func (o outcome) holds(t *testing.T) {
	t.Helper()
	const leastInTime, mostWaited, mostLate = 0.99, 0.01, 0.001
	if late := float64(o.late) / float64(o.online); o.inTimePart() < leastInTime || o.waitedPart() > mostWaited || late > mostLate {
		t.Errorf("%.4f of the items in time, %.4f of the online requests waited, %.4f too long", o.inTimePart(), o.waitedPart(), late)
	}
}

// noWorse checks that a play is not worse than the present way.
func (o outcome) noWorse(t *testing.T, present outcome) {
	t.Helper()
	const margin = 0.01
	if o.inTimePart() < present.inTimePart()-margin || o.waitedPart() > present.waitedPart()+margin {
		t.Errorf("%.4f of the items in time and %.4f of the online requests waited, %.4f and %.4f the present way", o.inTimePart(), o.waitedPart(), present.inTimePart(), present.waitedPart())
	}
}

// TestWavesFindTheirRoom plays a day of waves that fit in beside the items.
func TestWavesFindTheirRoom(t *testing.T) {
	t.Parallel()
	p := fleet360()
	p.present().sums(t, "present way")
	result := p.sums(t, "forecast")
	result.holds(t)
	if mostIdle := 0.03; result.idle > mostIdle {
		t.Errorf("%.4f of the slots idle while items wait", result.idle)
	}
}

// TestStopsGain plays waves that need more than all slots together with the items. Stops
// ahead of them save requests more time of waiting than it takes to read the prompts of
// those that stopped again.
func TestStopsGain(t *testing.T) {
	t.Parallel()
	p := fleet576()
	before, after := p.present().sums(t, "present way"), p.sums(t, "forecast")
	after.holds(t)
	saved := before.waiting - after.waiting
	if cost := time.Duration(after.cuts-before.cuts) * playReading; saved <= max(cost, 0) {
		t.Errorf("%s of waiting saved for %s of reading", saved, cost)
	}
}

// TestZonesKeepTheirRoom plays waves that come to zones unevenly: where the planner knows of
// zones, fewer requests wait for items and fewer go to another zone than where it does not.
func TestZonesKeepTheirRoom(t *testing.T) {
	t.Parallel()
	p := fleet576()
	p.zones = []float64{92, 82, 64, 63}
	p.present().sums(t, "present way")
	mixed := *p
	mixed.mixed = true
	without, with := mixed.sums(t, "without zones"), p.sums(t, "with zones")
	if with.crossed >= without.crossed || with.waited >= without.waited {
		t.Errorf("%d requests go to another zone and %d wait, %d and %d without zones", with.crossed, with.waited, without.crossed, without.waited)
	}
}

// TestDrawnWaves draws period, height and length by seed.
func TestDrawnWaves(t *testing.T) {
	t.Parallel()
	const shortest, drawn = 1500 * time.Millisecond, 4000
	for seed := range int64(6) {
		random := rand.New(rand.NewSource(seed))
		p := fleet360()
		p.calm = shortest + time.Duration(random.Intn(drawn))*time.Millisecond
		p.wave = shortest + time.Duration(random.Intn(drawn/2))*time.Millisecond
		p.low = 0.2 + 0.4*random.Float64()
		cycle := p.calm + p.wave
		// So the mean is what it was, where the fleet has that many slots.
		p.high = min((cycle.Seconds()-p.low*p.calm.Seconds())/p.wave.Seconds(), 2.3)
		p.length = 12 * cycle
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			t.Logf("%s at %.2f, %s at %.2f", p.calm, p.low, p.wave, p.high)
			p.sums(t, "forecast").holds(t)
		})
	}
}

// TestNoPeriod plays waves without a period, and none at all.
func TestNoPeriod(t *testing.T) {
	t.Parallel()
	for _, fleet := range []*play{fleet360(), fleet576()} {
		erratic, flat := *fleet, *fleet
		erratic.erratic, flat.erratic = true, true
		flat.wave, flat.length = 0, fleet.length/2
		for name, p := range map[string]*play{"erratic": &erratic, "flat": &flat} {
			t.Run(fmt.Sprint(name, " ", fleet.slots*fleet.workers), func(t *testing.T) {
				t.Parallel()
				p.sums(t, name).noWorse(t, p.present().sums(t, "present way"))
			})
		}
	}
}

// TestRisesAreSeen compares waves without a period with plays in which a rise that begins
// is not looked at: fewer requests wait.
func TestRisesAreSeen(t *testing.T) {
	t.Parallel()
	p := fleet576()
	p.erratic = true
	blind := *p
	blind.blind = true
	if seen, unseen := p.sums(t, "seen"), blind.sums(t, "not seen"); seen.waited >= unseen.waited {
		t.Errorf("%d requests wait, %d where rises are not looked at", seen.waited, unseen.waited)
	}
}

// troubleAt is when things go wrong in a play: at the height of a wave, once the pattern is
// known.
const troubleAt = 30 * time.Second

// TestTrouble lets one thing go wrong in each play: it is no worse than the present way
// with the same trouble.
func TestTrouble(t *testing.T) {
	t.Parallel()
	once := func(act func(d *day)) func(d *day, now time.Duration) {
		return func(d *day, now time.Duration) {
			if now == troubleAt {
				act(d)
			}
		}
	}
	for _, test := range []struct {
		name string
		at   func(d *day, now time.Duration)
	}{
		{"the planner is lost in a wave", once(func(d *day) {
			d.planner, d.forecast = New(), forecast.New()
			d.silent = d.now + 500*time.Millisecond
		})},
		{"the forecast is wrong by half a period", once(func(d *day) { d.shift = (d.calm + d.wave) / 2 })},
		{"waves end for good", once(func(d *day) { d.ended = true })},
		{"a store elects while a valley begins", electing},
		{"all items are due at once", once(func(d *day) {
			for range 300 {
				d.submit()
			}
		})},
		{"items are far longer than expected", once(func(d *day) {
			d.events = func(random *rand.Rand) int { return 200 + random.Intn(50) }
			d.itemsPerSecond /= 2
		})},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			p := fleet360()
			p.at = test.at
			p.sums(t, "forecast").noWorse(t, p.present().sums(t, "present way"))
		})
	}
}

// electing stops a runner's items for as long as an election takes when a valley begins.
func electing(d *day, now time.Duration) {
	const begins, takes = 31200 * time.Millisecond, 600 * time.Millisecond
	r := d.runners[1]
	r.cut = now >= begins && now < begins+takes
	if now != begins {
		return
	}
	for _, item := range r.items {
		if item.running != nil && item.running.begun > 0 {
			item.running.leaves = now
		}
	}
	r.orders = nil
}

// TestSuccessorStartsLittleAtOnce loses the planner in a wave: its successor starts nothing
// until all had time to report, and goes on within a second.
func TestSuccessorStartsLittleAtOnce(t *testing.T) {
	t.Parallel()
	const silence, listens, goesOn = 100 * time.Millisecond, 250 * time.Millisecond, time.Second
	p := fleet360()
	p.length = troubleAt + 2*time.Second
	before, early, late := 0, 0, 0
	p.at = func(d *day, now time.Duration) {
		switch now {
		case troubleAt:
			d.planner, d.forecast = New(), forecast.New()
			d.silent = now + silence
			for _, r := range d.runners {
				r.orders = nil
			}
			before = d.result.starts
		case troubleAt + silence + listens:
			early = d.result.starts - before
		case troubleAt + silence + goesOn:
			late = d.result.starts - before
		}
	}
	p.run(1)
	if early > 0 || late == 0 {
		t.Errorf("%d items start while the new planner listens, %d within a second", early, late)
	}
}
