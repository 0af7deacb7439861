package batchroom

import (
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/forecast"
)

// runsPerScenario is the number of seeds with which each scenario runs.
const runsPerScenario = 2

// runAll runs a scenario with several seeds and returns the summed results.
func (p *scenario) runAll(t *testing.T, name string) outcome {
	t.Helper()
	var results [runsPerScenario]outcome
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
		all.crossZone += result.crossZone
		all.itemsDue += result.itemsDue
		all.inTime += result.inTime
		all.preemptions += result.preemptions
		all.maxWait = max(all.maxWait, result.maxWait)
		all.totalWait += result.totalWait
		all.idleShare += result.idleShare / runsPerScenario
	}
	t.Logf("%s: %.4f of %d items in time, %d preempted; %.4f of %d online requests waited, %d too long, %s at most; idle %.4f; %d in another zone", name, all.inTimeShare(), all.itemsDue, all.preemptions, all.waitedShare(), all.online, all.late, all.maxWait, all.idleShare, all.crossZone)
	return all
}

// withoutForecast returns the same scenario without a forecast.
func (p *scenario) withoutForecast() *scenario {
	other := *p
	other.useForecast = false
	return &other
}

// checkGoals checks the goals that hold once the pattern of the waves is learnt.
func (o outcome) checkGoals(t *testing.T) {
	t.Helper()
	const minInTime, maxWaited, maxLate = 0.99, 0.01, 0.001
	if late := float64(o.late) / float64(o.online); o.inTimeShare() < minInTime || o.waitedShare() > maxWaited || late > maxLate {
		t.Errorf("missed a goal: %.4f of the items in time, %.4f of the online requests waited, %.4f too long", o.inTimeShare(), o.waitedShare(), late)
	}
}

// checkNoWorse checks that a result is no worse than the one without a forecast.
func (o outcome) checkNoWorse(t *testing.T, baseline outcome) {
	t.Helper()
	const margin = 0.01
	if o.inTimeShare() < baseline.inTimeShare()-margin || o.waitedShare() > baseline.waitedShare()+margin {
		t.Errorf("%.4f of the items in time and %.4f of the online requests waited, %.4f and %.4f without a forecast", o.inTimeShare(), o.waitedShare(), baseline.inTimeShare(), baseline.waitedShare())
	}
}

// TestWavesFindFreeSlots simulates waves that fit in beside the items.
func TestWavesFindFreeSlots(t *testing.T) {
	t.Parallel()
	p := fleet360()
	p.withoutForecast().runAll(t, "without forecast")
	result := p.runAll(t, "forecast")
	result.checkGoals(t)
	if maxIdle := 0.03; result.idleShare > maxIdle {
		t.Errorf("%.4f of the slots idle while items wait", result.idleShare)
	}
}

// TestAdvanceStopsSaveTime simulates waves that, together with the items, need more than all
// slots. Stops in advance must save online requests more waiting time than it takes to process
// the prompts of the preempted items again.
func TestAdvanceStopsSaveTime(t *testing.T) {
	t.Parallel()
	p := fleet576()
	before, after := p.withoutForecast().runAll(t, "without forecast"), p.runAll(t, "forecast")
	after.checkGoals(t)
	saved := before.totalWait - after.totalWait
	if cost := time.Duration(after.preemptions-before.preemptions) * simPrefillTime; saved <= max(cost, 0) {
		t.Errorf("%s of waiting saved at the cost of %s of prefill", saved, cost)
	}
}

// TestZonesKeepFreeSlots simulates waves that arrive unevenly in the zones. If the planner knows
// the zones, fewer requests must wait for items and fewer must go to another zone than if it does
// not.
func TestZonesKeepFreeSlots(t *testing.T) {
	t.Parallel()
	p := fleet576()
	p.zoneWeights = []float64{92, 82, 64, 63}
	p.withoutForecast().runAll(t, "without forecast")
	withoutZones := *p
	withoutZones.ignoreZones = true
	without, with := withoutZones.runAll(t, "without zones"), p.runAll(t, "with zones")
	if with.crossZone >= without.crossZone || with.waited >= without.waited {
		t.Errorf("%d requests go to another zone and %d wait; without zones it is %d and %d", with.crossZone, with.waited, without.crossZone, without.waited)
	}
}

// TestRandomWaves simulates waves whose period, height and length depend on the seed.
func TestRandomWaves(t *testing.T) {
	t.Parallel()
	const minLength, lengthRange = 1500 * time.Millisecond, 4000
	for seed := range int64(6) {
		random := rand.New(rand.NewSource(seed))
		p := fleet360()
		p.lowTime = minLength + time.Duration(random.Intn(lengthRange))*time.Millisecond
		p.highTime = minLength + time.Duration(random.Intn(lengthRange/2))*time.Millisecond
		p.lowRate = 0.2 + 0.4*random.Float64()
		cycle := p.lowTime + p.highTime
		// This keeps the mean rate, unless the fleet has too few slots for it.
		p.highRate = min((cycle.Seconds()-p.lowRate*p.lowTime.Seconds())/p.highTime.Seconds(), 2.3)
		p.duration = 12 * cycle
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			t.Logf("%s at %.2f of the mean rate, %s at %.2f", p.lowTime, p.lowRate, p.highTime, p.highRate)
			p.runAll(t, "forecast").checkGoals(t)
		})
	}
}

// TestWavesWithoutPeriod simulates waves without a period, and a constant rate.
func TestWavesWithoutPeriod(t *testing.T) {
	t.Parallel()
	for _, fleet := range []*scenario{fleet360(), fleet576()} {
		erratic, flat := *fleet, *fleet
		erratic.erratic, flat.erratic = true, true
		flat.highTime, flat.duration = 0, fleet.duration/2
		for name, p := range map[string]*scenario{"erratic": &erratic, "flat": &flat} {
			t.Run(fmt.Sprint(name, " ", fleet.slots*fleet.workers), func(t *testing.T) {
				t.Parallel()
				p.runAll(t, name).checkNoWorse(t, p.withoutForecast().runAll(t, "without forecast"))
			})
		}
	}
}

// TestRisesAreDetected checks that fewer requests wait behind items in waves without a period if
// the planner reacts to a rise that has just begun.
func TestRisesAreDetected(t *testing.T) {
	t.Parallel()
	p := fleet576()
	p.erratic = true
	ignoring := *p
	ignoring.ignoreRises = true
	if detected, undetected := p.runAll(t, "seen"), ignoring.runAll(t, "rises ignored"); detected.waited >= undetected.waited {
		t.Errorf("%d requests wait, %d if rises are ignored", detected.waited, undetected.waited)
	}
}

// faultAt is when the fault of a scenario occurs: at the height of a wave, once the pattern is
// known.
const faultAt = 30 * time.Second

// TestFaults injects one fault in each scenario: the result must be no worse than without a
// forecast under the same fault.
func TestFaults(t *testing.T) {
	t.Parallel()
	once := func(inject func(s *simulation)) func(s *simulation, now time.Duration) {
		return func(s *simulation, now time.Duration) {
			if now == faultAt {
				inject(s)
			}
		}
	}
	for _, test := range []struct {
		name string
		at   func(s *simulation, now time.Duration)
	}{
		{"the planner fails in a wave", once(func(s *simulation) {
			s.planner, s.forecast = New(), forecast.New()
			s.plannerBackAt = s.now + 500*time.Millisecond
		})},
		{"the forecast is wrong by half a period", once(func(s *simulation) { s.shift = (s.lowTime + s.highTime) / 2 })},
		{"the waves end", once(func(s *simulation) { s.wavesEnded = true })},
		{"a store group elects a leader when a valley begins", simulateElection},
		{"all items are due at once", once(func(s *simulation) {
			for range 300 {
				s.submit()
			}
		})},
		{"items are far longer than expected", once(func(s *simulation) {
			s.events = func(random *rand.Rand) int { return 200 + random.Intn(50) }
			s.itemsPerSecond /= 2
		})},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			p := fleet360()
			p.onTick = test.at
			p.runAll(t, "forecast").checkNoWorse(t, p.withoutForecast().runAll(t, "without forecast"))
		})
	}
}

// simulateElection stops a runner's items when a valley begins, for as long as an election takes.
func simulateElection(s *simulation, now time.Duration) {
	const electionStart, electionTime = 31200 * time.Millisecond, 600 * time.Millisecond
	r := s.runners[1]
	r.leaderless = now >= electionStart && now < electionStart+electionTime
	if now != electionStart {
		return
	}
	for _, item := range r.items {
		if item.run != nil && item.run.startedAt > 0 {
			item.run.preemptAt = now
		}
	}
	r.orders = nil
}

// TestNewPlannerStartsAfterListening replaces the planner in a wave: the new one starts no item
// until all processes have had time to report, and starts items within a second.
func TestNewPlannerStartsAfterListening(t *testing.T) {
	t.Parallel()
	const noPlanner, listenTime, resumeTime = 100 * time.Millisecond, 250 * time.Millisecond, time.Second
	p := fleet360()
	p.duration = faultAt + 2*time.Second
	before, early, late := 0, 0, 0
	p.onTick = func(s *simulation, now time.Duration) {
		switch now {
		case faultAt:
			s.planner, s.forecast = New(), forecast.New()
			s.plannerBackAt = now + noPlanner
			for _, r := range s.runners {
				r.orders = nil
			}
			before = s.result.starts
		case faultAt + noPlanner + listenTime:
			early = s.result.starts - before
		case faultAt + noPlanner + resumeTime:
			late = s.result.starts - before
		}
	}
	p.run(1)
	if early > 0 || late == 0 {
		t.Errorf("%d items start while the new planner listens, want 0; %d within a second, want some", early, late)
	}
}
