package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/capacity"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

// TestUnevenWorkersAreFilled simulates waves with scoringCost and with scoringAuto. A quarter of
// the workers has 0.55 of the speed of the others, and each worker has slow spells. scoringAuto
// must halve both the share of late requests and the number of slots that idle while requests
// queue. Over all waves, the busiest worker may get 1.15 times the mean for its slots and speed. A
// single wave is too short for this limit: there, one request more or less makes a twentieth.
func TestUnevenWorkersAreFilled(t *testing.T) {
	t.Parallel()
	const seeds = 3
	var late, idled [2]float64
	var last *unevenFleet
	for seed := range uint64(seeds) {
		for i, mode := range []scoring{scoringCost, scoringAuto} {
			scenario := fourZones()
			scenario.scoring, scenario.reportPace, scenario.waves = mode, true, 4
			f := newUnevenFleet(scenario, seed+1).run()
			t.Logf("seed %d, scoring %d: %v", seed+1, mode, f)
			late[i] += f.lateShare()
			idled[i] += float64(f.idled) / float64(f.waveSteps)
			if mode == scoringAuto {
				last = f.addWorkers(last)
			}
		}
	}
	if late[1] > late[0]/2 {
		t.Errorf("late: %.3f by cost, %.3f by scoringAuto", late[0]/seeds, late[1]/seeds)
	}
	if idled[1] > idled[0]/2 {
		t.Errorf("slots that idle while requests queue: %.1f by cost, %.1f by scoringAuto", idled[0]/seeds, idled[1]/seeds)
	}
	t.Logf("over all waves the busiest worker has %.3f of the mean", last.busiest())
	if last.busiest() > 1.15 {
		t.Errorf("the busiest worker has %.3f of the mean", last.busiest())
	}
}

// TestScoreBeatsWait simulates the same waves twice: with comparison by score, and with comparison
// only by the time until a slot is free. The score must not be worse in late requests or in the
// load of the busiest worker.
func TestScoreBeatsWait(t *testing.T) {
	t.Parallel()
	var fleets []*unevenFleet
	for _, mode := range []scoring{scoringPredictedTime, scoringWait} {
		scenario := fourZones()
		scenario.scoring = mode
		f := newUnevenFleet(scenario, 7).run()
		t.Logf("scoring %d: %v", mode, f)
		fleets = append(fleets, f)
	}
	if fleets[0].lateShare() > fleets[1].lateShare() || fleets[0].busiest() > fleets[1].busiest() {
		t.Errorf("by score %v, by the time to a free slot %v", fleets[0], fleets[1])
	}
}

// TestPredictedTimesReduceLateRequestsBesideItems lets batch items fill idle slots. Comparison by
// predicted times must have fewer late requests than comparison by cost. It may stop more items,
// because requests take slots of items instead of waiting at full workers.
func TestPredictedTimesReduceLateRequestsBesideItems(t *testing.T) {
	t.Parallel()
	var fleets []*unevenFleet
	for _, mode := range []scoring{scoringCost, scoringPredictedTime} {
		scenario := fourZones()
		scenario.items, scenario.scoring, scenario.waves = true, mode, 2
		f := newUnevenFleet(scenario, 13).run()
		t.Logf("scoring %d: %v", mode, f)
		fleets = append(fleets, f)
	}
	if fleets[1].lateShare() > fleets[0].lateShare()*2/3 || fleets[1].stopped > fleets[0].stopped*3/2 {
		t.Errorf("by cost %v, by predicted times %v", fleets[0], fleets[1])
	}
}

// TestPoolsWithoutPaceCompareByCost simulates the same waves with workers that don't report their
// pace, with scoringCost and scoringAuto: each request must go to the same worker, whether the
// workers are equal, overloaded or very uneven.
func TestPoolsWithoutPaceCompareByCost(t *testing.T) {
	t.Parallel()
	alike := func(scenario *unevenScenario) { scenario.slowEvery, scenario.spellFraction = 0, 0 }
	for name, change := range map[string]func(scenario *unevenScenario){
		"alike": alike,
		"crowded": func(scenario *unevenScenario) {
			alike(scenario)
			scenario.demand = []float64{120, 110, 90, 90}
		},
		"uneven": func(*unevenScenario) {},
		"uneven, report their slots": func(scenario *unevenScenario) {
			scenario.reportPace, scenario.pace = true, func(*unevenFleet, *unevenWorker) int { return 0 }
		},
	} {
		choices := func(mode scoring) []string {
			scenario := fourZones()
			scenario.waves, scenario.scoring = 2, mode
			change(&scenario)
			f := newUnevenFleet(scenario, 3)
			var chosen []string
			f.onChoice = func(f *unevenFleet, w *unevenWorker, r *unevenRequest) {
				chosen = append(chosen, fmt.Sprint(f.now, w.id, r.lease.Wait, r.lease.Slowness))
			}
			f.run()
			for edge, table := range f.tables {
				if table.comparesByTime("p") {
					t.Fatalf("%s, edge %d: the workers are compared by predicted times", name, edge)
				}
			}
			return chosen
		}
		before, now := choices(scoringCost), choices(scoringAuto)
		if len(before) < 2000 || !slices.Equal(before, now) {
			t.Errorf("%s: choices differ: %d and %d", name, len(before), len(now))
		}
	}
}

// TestNoHerdingByPredictedTimes lets many edges choose at once by the same peer loads, with one
// worker idle and fast and all others loaded and slow, at a rate of ten requests per second and
// edge: the idle worker must get only few of the requests. It then simulates waves with that many
// edges.
func TestNoHerdingByPredictedTimes(t *testing.T) {
	t.Parallel()
	for _, edges := range []int{67, 800} {
		const workers = 72
		var rows []wire.WorkerLoad
		var list []wire.PoolWorker
		for i := range workers {
			id, step := fmt.Sprintf("w%d", i), uint32(60_000)
			if i == 0 {
				step = 30_000
			}
			list = append(list, wire.PoolWorker{ID: id, Pool: "p", Zone: "z0", Slots: 8})
			rows = append(rows, wire.WorkerLoad{Worker: loadshare.Hash(id), Online: uint16(min(i, 5)), Rate: uint16(100 * edges / workers), Step: step})
		}
		got := map[string]int{}
		for edge := range edges {
			table := NewTable("z0", rand.New(rand.NewPCG(uint64(edge), 1)))
			table.scoring = scoringPredictedTime
			table.Update(start, workerset.Of(list), nil)
			table.SetPeerLoads(start, rows, ScopeAll)
			got[table.Acquire(start.Add(50*time.Millisecond), &Request{Pool: "p"}).Endpoint.ID]++
		}
		for id, count := range got {
			if count > edges/6 {
				t.Errorf("%d edges: %s got %d requests", edges, id, count)
			}
		}
		scenario := fourZones()
		scenario.edges, scenario.waves, scenario.scoring = edges, 1, scoringPredictedTime
		f := newUnevenFleet(scenario, 4).run()
		t.Logf("%d edges: %v", edges, f)
		scenario.scoring = scoringCost
		if before := newUnevenFleet(scenario, 4).run(); f.busiest() > 1.5 || f.lateShare() > before.lateShare() {
			t.Errorf("%d edges: %v; by cost %v", edges, f, before)
		}
	}
}

// TestZonesDoNotSwapRequests counts the requests that two zones send each other within the same 100
// ms: they must be a small part of all requests between zones.
func TestZonesDoNotSwapRequests(t *testing.T) {
	t.Parallel()
	const window = 100 * time.Millisecond
	scenario := fourZones()
	scenario.reportPace = true
	f := newUnevenFleet(scenario, 5)
	sent := map[[3]int]int{}
	f.onChoice = func(f *unevenFleet, w *unevenWorker, r *unevenRequest) {
		sent[[3]int{int(f.now / window), f.zones[r.edge], w.zone}]++
	}
	f.run()
	swapped, crossed := 0, 0
	for key, count := range sent {
		if key[1] != key[2] {
			crossed += count
			swapped += min(count, sent[[3]int{key[0], key[2], key[1]}])
		}
	}
	t.Logf("%d requests changed zones, %d were swapped", crossed, swapped)
	if swapped*20 > crossed {
		t.Errorf("%d of %d requests that changed zones were swapped", swapped, crossed)
	}
}

// TestZonesKeepRequestsTheyCanServe simulates a demand that each zone can serve itself: next to no
// requests may leave their zone.
func TestZonesKeepRequestsTheyCanServe(t *testing.T) {
	t.Parallel()
	scenario := fourZones()
	scenario.reportPace, scenario.demand = true, []float64{52, 48, 44, 40}
	f := newUnevenFleet(scenario, 6).run()
	t.Logf("%v", f)
	if f.changedZones*100 > f.requests {
		t.Errorf("%v", f)
	}
}

// TestLyingPaceChangesNothing has slow workers report that they are fast, fast workers report that
// they are slow, and all workers report impossible values. Nothing may change, because only
// measurements count.
func TestLyingPaceChangesNothing(t *testing.T) {
	t.Parallel()
	simulate := func(pace func(f *unevenFleet, w *unevenWorker) int) *unevenFleet {
		scenario := fourZones()
		scenario.reportPace, scenario.pace, scenario.waves = true, pace, 2
		return newUnevenFleet(scenario, 8).run()
	}
	honest := simulate(nil)
	lying := simulate(func(_ *unevenFleet, w *unevenWorker) int {
		if w.slow || w.speed < 1 {
			return 40
		}
		return 60_000
	})
	if lying.lateShare() != honest.lateShare() {
		t.Errorf("lying %v, honest %v", lying, honest)
	}
}

// TestFalseSlotsAreNotBelieved checks how reported slots are used. As long as no worker of the pool
// reports its pace, they are used only to record a mismatch.
func TestFalseSlotsAreNotBelieved(t *testing.T) {
	for _, test := range []struct {
		report     capacity.Report
		want       int
		mismatches int
	}{
		{capacity.Report{}, 4, 0},
		{capacity.Report{Slots: 4}, 4, 0},
		{capacity.Report{Running: 1, Slots: 3}, 3, 1},
		{capacity.Report{Slots: 60_000}, 4, 1},
		{capacity.Report{Slots: -3}, 4, 0},
		{capacity.Report{Running: 4, Slots: 1}, 4, 0},
	} {
		table := tableOf(poolWorker("a", "z1"))
		lease := table.Acquire(start, &Request{Pool: "p"})
		lease.ApplyReport(test.report)
		lease.ApplyReport(test.report)
		if got, mismatches := table.effectiveSlots(lease.worker), len(table.SlotMismatches()); got != 4 || mismatches != test.mismatches {
			t.Errorf("%+v without a pace: %d slots, %d mismatches", test.report, got, mismatches)
		}
		if table.ReportsPace("p") {
			t.Errorf("%+v: the pool counts as reporting its pace", test.report)
		}
		lease.ApplyReport(capacity.Report{Pace: 100})
		if got := table.effectiveSlots(lease.worker); got != test.want {
			t.Errorf("%+v: %d slots", test.report, got)
		}
	}
}

// TestReportedPaceExpires checks that a pool counts as reporting its pace from the first report of
// a pace until a minute after the last one.
func TestReportedPaceExpires(t *testing.T) {
	table := tableOf(poolWorker("a", "z1"))
	for _, test := range []struct {
		after time.Duration
		pace  int
		want  bool
	}{
		{0, 0, false},
		{time.Second, 100, true},
		{40 * time.Second, 0, true},
		{60 * time.Second, 0, true},
		{61 * time.Second, 0, false},
		{62 * time.Second, 100, true},
	} {
		lease := table.Acquire(start.Add(test.after), &Request{Pool: "p"})
		lease.ApplyReport(capacity.Report{Pace: test.pace})
		if table.ReportsPace("p") != test.want || table.comparesByTime("p") != test.want || table.ReportsPace("q") {
			t.Errorf("after %v: reports its pace %t, compared by predicted times %t", test.after, table.ReportsPace("p"), table.comparesByTime("p"))
		}
		lease.Release()
	}
}

// TestFrozenWorkersAreAvoided freezes three workers in a wave while they still report a good pace:
// few requests may be lost to each.
func TestFrozenWorkersAreAvoided(t *testing.T) {
	t.Parallel()
	scenario := fourZones()
	scenario.reportPace, scenario.waves = true, 2
	scenario.pace = func(*unevenFleet, *unevenWorker) int { return 100 }
	scenario.faults = map[time.Duration]func(f *unevenFleet){
		wavePeriod - waveDuration/2: func(f *unevenFleet) {
			for _, w := range f.workers[8:11] {
				w.frozen = true
			}
		},
	}
	f := newUnevenFleet(scenario, 9)
	frozen := 0
	f.onChoice = func(f *unevenFleet, w *unevenWorker, _ *unevenRequest) {
		if w.frozen {
			frozen++
		}
	}
	f.run()
	t.Logf("%d requests sent to frozen workers, %v", frozen, f)
	if frozen > 3*24 {
		t.Errorf("%d requests were sent to three frozen workers", frozen)
	}
}

// TestLoadReportsStopInWave stops all load reports for 400 ms at the peak of a wave: not many more
// requests may be late, and no worker may be overloaded.
func TestLoadReportsStopInWave(t *testing.T) {
	t.Parallel()
	play := func(mode scoring, stop bool) *unevenFleet {
		scenario := fourZones()
		scenario.scoring, scenario.waves = mode, 1
		if stop {
			scenario.faults = map[time.Duration]func(f *unevenFleet){
				wavePeriod - waveDuration/2:                        func(f *unevenFleet) { f.updatesStopped = true },
				wavePeriod - waveDuration/2 + 400*time.Millisecond: func(f *unevenFleet) { f.updatesStopped = false },
			}
		}
		return newUnevenFleet(scenario, 10).run()
	}
	connected, stopped, before := play(scoringPredictedTime, false), play(scoringPredictedTime, true), play(scoringCost, true)
	t.Logf("with updates %v; without %v; without, by cost %v", connected, stopped, before)
	if stopped.lateShare() > before.lateShare() || stopped.busiest() > 1.6 {
		t.Errorf("with updates %v; without %v; without, by cost %v", connected, stopped, before)
	}
}

// TestZoneCutOff disconnects one zone's hub from the hubs of the other zones. No more of the zone's
// requests may be late than with comparison by cost.
func TestZoneCutOff(t *testing.T) {
	t.Parallel()
	play := func(mode scoring) *unevenFleet {
		scenario := fourZones()
		scenario.scoring, scenario.waves = mode, 2
		scenario.faults = map[time.Duration]func(f *unevenFleet){time.Second: func(f *unevenFleet) { f.cutOffZone = 0 }}
		return newUnevenFleet(scenario, 11).run()
	}
	now, before := play(scoringPredictedTime), play(scoringCost)
	t.Logf("by predicted times %v; by cost %v", now, before)
	if now.inTimeByZone[0] < before.inTimeByZone[0] || now.lateShare() > before.lateShare() {
		t.Errorf("by predicted times %v; by cost %v", now, before)
	}
}

// TestZoneThatLosesCapacitySpills removes a third of the busiest zone's workers in a wave, or
// doubles its demand: fewer requests may be late than with comparison by cost.
func TestZoneThatLosesCapacitySpills(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(f *unevenFleet){
		"a third leaves":     func(f *unevenFleet) { f.removeThird(0) },
		"its demand doubles": func(f *unevenFleet) { f.scenario.demand[0] *= 2 },
	} {
		play := func(mode scoring) *unevenFleet {
			scenario := fourZones()
			scenario.scoring, scenario.waves = mode, 1
			scenario.demand = []float64{70, 60, 50, 50}
			scenario.faults = map[time.Duration]func(f *unevenFleet){wavePeriod - waveDuration/2: change}
			return newUnevenFleet(scenario, 15).run()
		}
		now, before := play(scoringPredictedTime), play(scoringCost)
		t.Logf("%s: now %v; by cost %v", name, now, before)
		if now.lateShare() > before.lateShare() {
			t.Errorf("%s: now %v; by cost %v", name, now, before)
		}
	}
}

// TestAllSlowAtOnce slows all workers: none may be avoided.
func TestAllSlowAtOnce(t *testing.T) {
	t.Parallel()
	scenario := fourZones()
	scenario.slowEvery, scenario.spellFraction, scenario.waves, scenario.scoring = 0, 0, 1, scoringPredictedTime
	scenario.demand = []float64{40, 40, 40, 40}
	scenario.faults = map[time.Duration]func(f *unevenFleet){time.Second: func(f *unevenFleet) {
		for _, w := range f.workers {
			w.speed = 0.5
		}
	}}
	f := newUnevenFleet(scenario, 12).run()
	for _, w := range f.workers {
		if w.got == 0 {
			t.Errorf("%s got no request", w.id)
		}
	}
	if f.busiest() > 1.5 {
		t.Errorf("%v", f)
	}
}

// TestOneSlotWorkersSpill has one worker in each of two zones, with one slot or more. A request
// must go to the other zone if the worker of its own zone is full and the other worker is idle. It
// must stay if the worker of its own zone is idle or both workers are full.
func TestOneSlotWorkersSpill(t *testing.T) {
	for _, slots := range []int{1, 2, 8} {
		for _, test := range []struct {
			near, far uint16
			want      string
		}{{0, 0, "a"}, {2 * uint16(slots), 0, "b"}, {2 * uint16(slots), 2 * uint16(slots), "a"}} {
			near, far := poolWorker("a", "z1"), poolWorker("b", "z2")
			near.Slots, far.Slots = slots, slots
			table := tableOf(near, far)
			table.scoring = scoringPredictedTime
			table.SetPeerLoads(start, []wire.WorkerLoad{peerLoad("a", test.near, 20_000, 10), peerLoad("b", test.far, 20_000, 10)}, ScopeAll)
			lease := table.Acquire(start, &Request{Pool: "p"})
			if lease.Endpoint.ID != test.want {
				t.Errorf("%d slots, %d and %d requests: %s", slots, test.near, test.far, lease.Endpoint.ID)
			}
		}
	}
}

// TestSlownessIsBounded checks that the slowness of a lease stays in a plausible range for a worker
// whose events take no time, and for one whose events take an hour. The range matters because
// callers divide times by the slowness.
func TestSlownessIsBounded(t *testing.T) {
	for _, test := range []struct {
		step uint32
		want float64
	}{{1, 1.0 / 8}, {20_000, 1}, {3_600_000_000, 16}} {
		table := tableOf(poolWorker("a", "z1"), poolWorker("b", "z1"), poolWorker("c", "z1"))
		table.scoring = scoringPredictedTime
		table.SetPeerLoads(start, []wire.WorkerLoad{peerLoad("a", 0, test.step, 10), peerLoad("b", 0, 20_000, 10), peerLoad("c", 0, 20_000, 10)}, ScopeAll)
		request := &Request{Pool: "p", Exclude: map[string]bool{"b": true, "c": true}}
		if got := table.Acquire(start, request).Slowness; got != test.want {
			t.Errorf("an event interval of %d µs: slowness %g", test.step, got)
		}
		if got := table.FindCandidate(start, request, SearchOptions{Peers: 1}).Slowness; got != test.want {
			t.Errorf("an event interval of %d µs: slowness %g of a candidate", test.step, got)
		}
	}
}

// TestOneWorker checks that the only worker of a pool is chosen whatever its load.
func TestOneWorker(t *testing.T) {
	table := tableOf(poolWorker("a", "z2"))
	table.scoring = scoringPredictedTime
	for _, row := range []wire.WorkerLoad{{}, peerLoad("a", 400, 900_000, 10), failingLoad("a", 0)} {
		row.Worker = loadshare.Hash("a")
		table.SetPeerLoads(start, []wire.WorkerLoad{row}, ScopeAll)
		lease := table.Acquire(start, &Request{Pool: "p"})
		if lease == nil {
			t.Fatalf("%+v: the only worker is not chosen", row)
		}
		lease.Release()
	}
}

// TestCapacityIsSummedUp checks the capacity of this zone and of the other zones. Slots are
// weighted by speed, and the slots of workers that are leaving or failing are left out.
func TestCapacityIsSummedUp(t *testing.T) {
	leaving := poolWorker("e", "z1")
	leaving.Leaving = true
	table := tableOf(poolWorker("a", "z1"), poolWorker("b", "z1"), poolWorker("c", "z2"), poolWorker("d", "z2"), leaving, poolWorker("f", "z2"))
	rows := []wire.WorkerLoad{peerLoad("a", 1, 20_000, 10), peerLoad("b", 1, 40_000, 10), peerLoad("c", 1, 20_000, 10), peerLoad("d", 1, 20_000, 10), failingLoad("f", 0)}
	table.SetPeerLoads(start, rows, ScopeAll)
	near, far := table.Capacity("p")
	if near.Slots != 8 || near.NormalizedSlots != 6 || far.Slots != 8 || far.NormalizedSlots != 8 || !near.AsOf.Equal(start) {
		t.Errorf("near %+v, far %+v", near, far)
	}
	if none, _ := table.Capacity("q"); none.Slots != 0 || none.Speed() != 1 {
		t.Errorf("a pool without workers: %+v", none)
	}
}
