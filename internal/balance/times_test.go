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

// TestUnevenWorkersAreFilled plays waves before workers of which a quarter has 0.55 of the
// speed of the others and each is slow now and then, by cost and by what the pool's own
// switch chooses: at most half of what was late is late, and half as many slots idle while
// requests queue. Over all waves the
// busiest worker has at most 1.15 times the mean for its slots times its pace: in a single wave
// one request more or less is a twentieth.
func TestUnevenWorkersAreFilled(t *testing.T) {
	t.Parallel()
	const seeds = 3
	var late, idled [2]float64
	var last *unevenFleet
	for seed := range uint64(seeds) {
		for i, way := range []scoring{byCost, byCostUnlessTold} {
			plan := fourZones()
			plan.scoring, plan.tells, plan.waves = way, true, 4
			f := newUnevenFleet(plan, seed+1).play()
			t.Logf("seed %d, way %d: %v", seed+1, way, f)
			late[i] += f.late()
			idled[i] += float64(f.idled) / float64(f.moments)
			if way == byCostUnlessTold {
				last = f.addWorkers(last)
			}
		}
	}
	if late[1] > late[0]/2 {
		t.Errorf("late: %.3f by cost, %.3f now", late[0]/seeds, late[1]/seeds)
	}
	if idled[1] > idled[0]/2 {
		t.Errorf("slots that idle while requests queue: %.1f by cost, %.1f now", idled[0]/seeds, idled[1]/seeds)
	}
	t.Logf("over all waves the busiest worker has %.3f of the mean", last.busiest())
	if last.busiest() > 1.15 {
		t.Errorf("the busiest worker has %.3f of the mean", last.busiest())
	}
}

// TestWaysOfChoosing plays the same waves with each way to choose by times: by score, and by
// the time to a slot alone. The first must not be worse in what is late, nor fill the busiest
// worker more.
func TestWaysOfChoosing(t *testing.T) {
	t.Parallel()
	var fleets []*unevenFleet
	for _, way := range []scoring{byTimes, byFreeAt} {
		plan := fourZones()
		plan.scoring = way
		f := newUnevenFleet(plan, 7).play()
		t.Logf("way %d: %v", way, f)
		fleets = append(fleets, f)
	}
	if fleets[0].late() > fleets[1].late() || fleets[0].busiest() > fleets[1].busiest() {
		t.Errorf("by score %v, by the time to a slot %v", fleets[0], fleets[1])
	}
}

// TestItemsLeaveRoomByTimes lets items of jobs fill what idles: fewer requests are late than by
// cost. They stop more items for it, since they don't wait at full workers.
func TestItemsLeaveRoomByTimes(t *testing.T) {
	t.Parallel()
	var fleets []*unevenFleet
	for _, way := range []scoring{byCost, byTimes} {
		plan := fourZones()
		plan.items, plan.scoring, plan.waves = true, way, 2
		f := newUnevenFleet(plan, 13).play()
		t.Logf("way %d: %v", way, f)
		fleets = append(fleets, f)
	}
	if fleets[1].late() > fleets[0].late()*2/3 || fleets[1].stopped > fleets[0].stopped*3/2 {
		t.Errorf("by cost %v, by times %v", fleets[0], fleets[1])
	}
}

// TestWorkersThatTellNoPaceAreChosenAsBefore plays the same waves before workers that tell no
// pace, by cost and by the switch: each request goes to the same worker, whether these are
// alike, crowded, or as uneven as can be.
func TestWorkersThatTellNoPaceAreChosenAsBefore(t *testing.T) {
	t.Parallel()
	alike := func(plan *unevenPlan) { plan.slowPart, plan.spellPart = 0, 0 }
	for name, change := range map[string]func(plan *unevenPlan){
		"alike": alike,
		"crowded": func(plan *unevenPlan) {
			alike(plan)
			plan.demand = []float64{120, 110, 90, 90}
		},
		"uneven": func(*unevenPlan) {},
		"uneven, tell their slots": func(plan *unevenPlan) {
			plan.tells, plan.pace = true, func(*unevenFleet, *unevenWorker) int { return 0 }
		},
	} {
		choices := func(way scoring) []string {
			plan := fourZones()
			plan.waves, plan.scoring = 2, way
			change(&plan)
			f := newUnevenFleet(plan, 3)
			var chosen []string
			f.log = func(f *unevenFleet, w *unevenWorker, r *unevenRequest) {
				chosen = append(chosen, fmt.Sprint(f.now, w.id, r.lease.Wait, r.lease.Slowness))
			}
			f.play()
			for edge, table := range f.tables {
				if table.byTimes("p") {
					t.Fatalf("%s, edge %d: the workers are compared by times", name, edge)
				}
			}
			return chosen
		}
		before, now := choices(byCost), choices(byCostUnlessTold)
		if len(before) < 2000 || !slices.Equal(before, now) {
			t.Errorf("%s: choices differ: %d and %d", name, len(before), len(now))
		}
	}
}

// TestNoHerdByTimes lets so many edges choose at once by the same news, with one worker idle
// and fast and all others loaded and slow, each edge having sent ten requests a second: it gets
// few of their requests. Then it plays waves with that many edges.
func TestNoHerdByTimes(t *testing.T) {
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
			table.scoring = byTimes
			table.Update(workerset.Of(list), nil)
			table.SetPeerLoads(start, rows, ScopeAll)
			got[table.Acquire(start.Add(50*time.Millisecond), &Request{Pool: "p"}).Endpoint.ID]++
		}
		for id, count := range got {
			if count > edges/6 {
				t.Errorf("%d edges: %s got %d requests", edges, id, count)
			}
		}
		plan := fourZones()
		plan.edges, plan.waves, plan.scoring = edges, 1, byTimes
		f := newUnevenFleet(plan, 4).play()
		t.Logf("%d edges: %v", edges, f)
		plan.scoring = byCost
		if before := newUnevenFleet(plan, 4).play(); f.busiest() > 1.5 || f.late() > before.late() {
			t.Errorf("%d edges: %v; by cost %v", edges, f, before)
		}
	}
}

// TestZonesDoNotSwap counts, by windows of 100 ms, the requests that two zones send each other
// at once: next to none of all that cross.
func TestZonesDoNotSwap(t *testing.T) {
	t.Parallel()
	const window = 100 * time.Millisecond
	plan := fourZones()
	plan.tells = true
	f := newUnevenFleet(plan, 5)
	sent := map[[3]int]int{}
	f.log = func(f *unevenFleet, w *unevenWorker, r *unevenRequest) {
		sent[[3]int{int(f.now / window), f.zones[r.edge], w.zone}]++
	}
	f.play()
	swapped, crossed := 0, 0
	for key, count := range sent {
		if key[1] != key[2] {
			crossed += count
			swapped += min(count, sent[[3]int{key[0], key[2], key[1]}])
		}
	}
	t.Logf("%d requests crossed, %d swapped", crossed, swapped)
	if swapped*20 > crossed {
		t.Errorf("%d of %d requests that crossed were swapped", swapped, crossed)
	}
}

// TestZonesKeepWhatTheyCanCarry plays demand that each zone can carry itself: next to nothing
// crosses.
func TestZonesKeepWhatTheyCanCarry(t *testing.T) {
	t.Parallel()
	plan := fourZones()
	plan.tells, plan.demand = true, []float64{52, 48, 44, 40}
	f := newUnevenFleet(plan, 6).play()
	t.Logf("%v", f)
	if f.crossed*100 > f.came {
		t.Errorf("%v", f)
	}
}

// TestLyingPaceChangesNothing lets slow workers tell that they are fast, fast ones that they
// are slow, and all of them figures that can't be: what is seen decides, so nothing changes.
func TestLyingPaceChangesNothing(t *testing.T) {
	t.Parallel()
	play := func(pace func(f *unevenFleet, w *unevenWorker) int) *unevenFleet {
		plan := fourZones()
		plan.tells, plan.pace, plan.waves = true, pace, 2
		return newUnevenFleet(plan, 8).play()
	}
	honest := play(nil)
	lies := play(func(_ *unevenFleet, w *unevenWorker) int {
		if w.slow || w.speed < 1 {
			return 40
		}
		return 60_000
	})
	if lies.late() != honest.late() {
		t.Errorf("lying %v, honest %v", lies, honest)
	}
}

// TestFalseSlotsAreNotBelieved checks what is made of the slots that a worker tells: nothing
// where no worker of its pool tells its pace, but for the doubt.
func TestFalseSlotsAreNotBelieved(t *testing.T) {
	for _, test := range []struct {
		told   capacity.Report
		want   int
		doubts int
	}{
		{capacity.Report{}, 4, 0},
		{capacity.Report{Slots: 4}, 4, 0},
		{capacity.Report{Running: 1, Slots: 3}, 3, 1},
		{capacity.Report{Slots: 60_000}, 4, 1},
		{capacity.Report{Slots: -3}, 4, 0},
		{capacity.Report{Running: 4, Slots: 1}, 4, 0},
	} {
		table := tableOf(listed("a", "z1"))
		lease := table.Acquire(start, &Request{Pool: "p"})
		lease.ApplyReport(test.told)
		lease.ApplyReport(test.told)
		if got, doubts := table.slotsOf(lease.worker), len(table.SlotMismatches()); got != 4 || doubts != test.doubts {
			t.Errorf("%+v without a pace: %d slots, %d doubts", test.told, got, doubts)
		}
		if table.ReportsPace("p") {
			t.Errorf("%+v: tells its pace", test.told)
		}
		lease.ApplyReport(capacity.Report{Pace: 100})
		if got := table.slotsOf(lease.worker); got != test.want {
			t.Errorf("%+v: %d slots", test.told, got)
		}
	}
}

// TestTellingAPaceLapses checks that a pool's workers count as telling their pace from the
// first answer that tells one until a minute after the last.
func TestTellingAPaceLapses(t *testing.T) {
	table := tableOf(listed("a", "z1"))
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
		if table.ReportsPace("p") != test.want || table.byTimes("p") != test.want || table.ReportsPace("q") {
			t.Errorf("after %v: tells its pace %t, compared by times %t", test.after, table.ReportsPace("p"), table.byTimes("p"))
		}
		lease.Release()
	}
}

// TestFrozenWorkersAreLeft freezes three workers in a wave that go on telling a good pace: few
// requests are lost to each.
func TestFrozenWorkersAreLeft(t *testing.T) {
	t.Parallel()
	plan := fourZones()
	plan.tells, plan.waves = true, 2
	plan.pace = func(*unevenFleet, *unevenWorker) int { return 100 }
	plan.at = map[time.Duration]func(f *unevenFleet){
		wavePeriod - waveLength/2: func(f *unevenFleet) {
			for _, w := range f.workers[8:11] {
				w.frozen = true
			}
		},
	}
	f := newUnevenFleet(plan, 9)
	frozen := 0
	f.log = func(f *unevenFleet, w *unevenWorker, _ *unevenRequest) {
		if w.frozen {
			frozen++
		}
	}
	f.play()
	t.Logf("%d requests sent to frozen workers, %v", frozen, f)
	if frozen > 3*24 {
		t.Errorf("%d requests were sent to three frozen workers", frozen)
	}
}

// TestNewsStopInAWave lets no news go anywhere for 400 ms at a wave's height: not much more is
// late, and no worker is crowded.
func TestNewsStopInAWave(t *testing.T) {
	t.Parallel()
	play := func(way scoring, stop bool) *unevenFleet {
		plan := fourZones()
		plan.scoring, plan.waves = way, 1
		if stop {
			plan.at = map[time.Duration]func(f *unevenFleet){
				wavePeriod - waveLength/2:                        func(f *unevenFleet) { f.newsStop = true },
				wavePeriod - waveLength/2 + 400*time.Millisecond: func(f *unevenFleet) { f.newsStop = false },
			}
		}
		return newUnevenFleet(plan, 10).play()
	}
	heard, stopped, before := play(byTimes, false), play(byTimes, true), play(byCost, true)
	t.Logf("heard %v; stopped %v; stopped, by cost %v", heard, stopped, before)
	if stopped.late() > before.late() || stopped.busiest() > 1.6 {
		t.Errorf("heard %v; stopped %v; stopped, by cost %v", heard, stopped, before)
	}
}

// TestZoneCutOff cuts a zone's hub off from the others: its requests stay there or spread, and
// not more is late in it than by cost.
func TestZoneCutOff(t *testing.T) {
	t.Parallel()
	play := func(way scoring) *unevenFleet {
		plan := fourZones()
		plan.scoring, plan.waves = way, 2
		plan.at = map[time.Duration]func(f *unevenFleet){time.Second: func(f *unevenFleet) { f.cut = 0 }}
		return newUnevenFleet(plan, 11).play()
	}
	now, before := play(byTimes), play(byCost)
	t.Logf("now %v; by cost %v", now, before)
	if now.inTimeByZone[0] < before.inTimeByZone[0] || now.late() > before.late() {
		t.Errorf("now %v; by cost %v", now, before)
	}
}

// TestZoneThatLosesRoomSpills lets a third of the busiest zone's workers leave in a wave, and in
// another play doubles its demand in one: fewer of its requests are late than by cost.
func TestZoneThatLosesRoomSpills(t *testing.T) {
	t.Parallel()
	for name, befalls := range map[string]func(f *unevenFleet){
		"a third leaves":     func(f *unevenFleet) { f.leave(0) },
		"its demand doubles": func(f *unevenFleet) { f.plan.demand[0] *= 2 },
	} {
		play := func(way scoring) *unevenFleet {
			plan := fourZones()
			plan.scoring, plan.waves = way, 1
			plan.demand = []float64{70, 60, 50, 50}
			plan.at = map[time.Duration]func(f *unevenFleet){wavePeriod - waveLength/2: befalls}
			return newUnevenFleet(plan, 15).play()
		}
		now, before := play(byTimes), play(byCost)
		t.Logf("%s: now %v; by cost %v", name, now, before)
		if now.late() > before.late() {
			t.Errorf("%s: now %v; by cost %v", name, now, before)
		}
	}
}

// TestAllSlowAtOnce slows all workers: none is shunned.
func TestAllSlowAtOnce(t *testing.T) {
	t.Parallel()
	plan := fourZones()
	plan.slowPart, plan.spellPart, plan.waves, plan.scoring = 0, 0, 1, byTimes
	plan.demand = []float64{40, 40, 40, 40}
	plan.at = map[time.Duration]func(f *unevenFleet){time.Second: func(f *unevenFleet) {
		for _, w := range f.workers {
			w.speed = 0.5
		}
	}}
	f := newUnevenFleet(plan, 12).play()
	for _, w := range f.workers {
		if w.got == 0 {
			t.Errorf("%s got nothing", w.id)
		}
	}
	if f.busiest() > 1.5 {
		t.Errorf("%v", f)
	}
}

// TestOneSlotWorkersSpill checks that a request goes to another zone where the zone's only worker
// is full and an idle one is there, also if these run one request at a time, and stays where
// the zone's worker is idle or the other is full, too.
func TestOneSlotWorkersSpill(t *testing.T) {
	for _, slots := range []int{1, 2, 8} {
		for _, test := range []struct {
			near, far uint16
			want      string
		}{{0, 0, "a"}, {2 * uint16(slots), 0, "b"}, {2 * uint16(slots), 2 * uint16(slots), "a"}} {
			near, far := listed("a", "z1"), listed("b", "z2")
			near.Slots, far.Slots = slots, slots
			table := tableOf(near, far)
			table.scoring = byTimes
			table.SetPeerLoads(start, []wire.WorkerLoad{told("a", test.near, 20_000, 10), told("b", test.far, 20_000, 10)}, ScopeAll)
			lease := table.Acquire(start, &Request{Pool: "p"})
			if lease.Endpoint.ID != test.want {
				t.Errorf("%d slots, %d and %d requests: %s", slots, test.near, test.far, lease.Endpoint.ID)
			}
		}
	}
}

// TestSlownessIsBounded checks that a lease tells no slowness that can't be, by which times would
// be divided: a worker whose events take no time or an hour.
func TestSlownessIsBounded(t *testing.T) {
	for _, test := range []struct {
		step uint32
		want float64
	}{{1, 1.0 / 8}, {20_000, 1}, {3_600_000_000, 16}} {
		table := tableOf(listed("a", "z1"), listed("b", "z1"), listed("c", "z1"))
		table.scoring = byTimes
		table.SetPeerLoads(start, []wire.WorkerLoad{told("a", 0, test.step, 10), told("b", 0, 20_000, 10), told("c", 0, 20_000, 10)}, ScopeAll)
		demand := &Request{Pool: "p", Exclude: map[string]bool{"b": true, "c": true}}
		if got := table.Acquire(start, demand).Slowness; got != test.want {
			t.Errorf("a step of %d µs: slowness %g", test.step, got)
		}
		if got := table.FindCandidate(start, demand, SearchOptions{Peers: 1}).Slowness; got != test.want {
			t.Errorf("a step of %d µs: slowness %g of a place", test.step, got)
		}
	}
}

// TestOneWorker checks that the only worker of a pool is chosen whatever is known of it.
func TestOneWorker(t *testing.T) {
	table := tableOf(listed("a", "z2"))
	table.scoring = byTimes
	for _, row := range []wire.WorkerLoad{{}, told("a", 400, 900_000, 10), failing("a", 0)} {
		row.Worker = loadshare.Hash("a")
		table.SetPeerLoads(start, []wire.WorkerLoad{row}, ScopeAll)
		lease := table.Acquire(start, &Request{Pool: "p"})
		if lease == nil {
			t.Fatalf("%+v: the only worker is not chosen", row)
		}
		lease.Release()
	}
}

// TestCapacityIsSummedUp checks the sums of a zone and of the others: slots by speed, less
// those of workers that leave or fail.
func TestCapacityIsSummedUp(t *testing.T) {
	leaving := listed("e", "z1")
	leaving.Leaving = true
	table := tableOf(listed("a", "z1"), listed("b", "z1"), listed("c", "z2"), listed("d", "z2"), leaving, listed("f", "z2"))
	rows := []wire.WorkerLoad{told("a", 1, 20_000, 10), told("b", 1, 40_000, 10), told("c", 1, 20_000, 10), told("d", 1, 20_000, 10), failing("f", 0)}
	table.SetPeerLoads(start, rows, ScopeAll)
	near, far := table.Capacity("p")
	if near.Slots != 8 || near.NormalizedSlots != 6 || far.Slots != 8 || far.NormalizedSlots != 8 || !near.AsOf.Equal(start) {
		t.Errorf("near %+v, far %+v", near, far)
	}
	if none, _ := table.Capacity("q"); none.Slots != 0 || none.Speed() != 1 {
		t.Errorf("a pool without workers: %+v", none)
	}
}
