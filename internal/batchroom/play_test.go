package batchroom

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/batchplan"
	"github.com/sedgemast/sedgemast/internal/forecast"
)

// What the plays take for granted: how long things take in a fleet.
const (
	playTick = 5 * time.Millisecond
	// playLag is how old the planner's news of online requests are.
	playLag = 75 * time.Millisecond
	// playEvent is the time between events, playReading that to read a prompt again.
	playEvent   = 45 * time.Millisecond
	playReading = 40 * time.Millisecond
	playRest    = 200 * time.Millisecond
	playDue     = 18 * time.Second
	playLook    = 20 * time.Millisecond
	ownReports  = 20 * time.Millisecond
	reports     = 50 * time.Millisecond
)

// play is a day of a fleet in virtual time: online requests come in waves, items fill what
// they leave, and runners report to one planner.
type play struct {
	workers, slots int
	perSecond      float64
	low, high      float64
	calm, wave     time.Duration
	hold           time.Duration
	itemsPerSecond float64
	events         func(random *rand.Rand) int
	length         time.Duration
	// zones is how often requests come to each zone, nil where there is one; then another
	// zone costs zoneCost slots.
	zones []float64
	// mixed is set where the planner does not know of zones.
	mixed bool
	// erratic is set where calm parts and waves are of different lengths.
	erratic bool
	// blind is set where a rise that begins is not looked at.
	blind bool
	// foresees is set where the planner has an outlook.
	foresees bool
	// at, where set, changes the play at each tick.
	at func(d *day, now time.Duration)
}

// fleet360 is a fleet of 360 slots, of which online requests need 130 in the mean and items
// 98.
func fleet360() *play {
	return &play{
		workers: 45, slots: 8, perSecond: 171, low: 0.378, high: 1.85,
		calm: 3 * time.Second, wave: 2200 * time.Millisecond, hold: 760 * time.Millisecond,
		itemsPerSecond: 19, events: func(random *rand.Rand) int { return 102 + random.Intn(24) },
		length: 60 * time.Second, foresees: true,
	}
}

// fleet576 is a fleet of 576 slots in which waves and items together need more than that:
// online requests 250 in the mean and 465 in waves, items 202.
func fleet576() *play {
	p := fleet360()
	p.workers, p.perSecond, p.hold = 72, 334, 750*time.Millisecond
	p.itemsPerSecond, p.events = 41, func(random *rand.Rand) int { return 98 + random.Intn(24) }
	return p
}

// rate returns how many online requests come a second.
func (d *day) rate() float64 {
	switch {
	case d.wave == 0:
		return d.perSecond
	case d.erratic:
		if d.now >= d.turns {
			d.waving = !d.waving
			length := d.calm
			if d.waving {
				length = d.wave
			}
			d.turns = d.now + time.Duration((0.3+1.4*d.random.Float64())*float64(length))
		}
	default:
		d.waving = !d.ended && (d.now+d.shift)%(d.calm+d.wave) >= d.calm
	}
	if d.waving {
		return d.high * d.perSecond
	}
	return d.low * d.perSecond
}

// playItem is an item, playRun an online request or an item at a worker.
type playItem struct {
	number    int
	submitted time.Duration
	events    int
	done      int
	runs      int
	resting   time.Duration
	running   *playRun
}

type playRun struct {
	item   *playItem
	worker int
	came   time.Duration
	begun  time.Duration
	ends   time.Duration
	leaves time.Duration
	runner *playRunner
	// behind is set where it waited for a slot while an item held one.
	behind bool
}

type playRunner struct {
	name    uint32
	pause   time.Duration
	due     time.Duration
	look    time.Duration
	items   []*playItem
	orders  map[uint32]Order
	ordered time.Duration
	// cut is set while the runner's store does not lead.
	cut bool
}

// outcome is what came of a day.
type outcome struct {
	online, waited, itemsDue, inTime, cuts int
	// longest is the longest that an online request waited behind items, idle the part of
	// the slots that were idle while items waited.
	longest time.Duration
	// crossed counts requests that went to another zone.
	crossed int
	// waiting is how long all of them waited together.
	waiting time.Duration
	idle    float64
	// late counts those that waited longer than mayWait.
	late   int
	starts int
}

func (o outcome) waitedPart() float64 { return float64(o.waited) / float64(max(o.online, 1)) }
func (o outcome) inTimePart() float64 { return float64(o.inTime) / float64(max(o.itemsDue, 1)) }

// day is a play as it goes on.
type day struct {
	*play
	random   *rand.Rand
	now      time.Duration
	online   []int
	items    []int
	running  [][]*playRun
	queues   [][]*playRun
	planner  *Planner
	forecast *forecast.Forecast
	// seen holds the online counts that the planner will see, the oldest first.
	seen    [][]int
	runners []*playRunner
	numbers int
	mean    batchplan.RunTime
	result  outcome
	// from is from when on counted, silent until when no planner answers.
	from      time.Duration
	silent    time.Duration
	slotTicks float64
	idleTicks float64
	factor    float64
	// waving is set in a wave, which turns at a time where it is erratic.
	waving bool
	turns  time.Duration
	// ended is set once waves come no more, shift is by how much they are early.
	ended bool
	shift time.Duration
	// learnt is when a pattern was sure.
	learnt time.Duration
	// zoneNames are the names of the workers' zones, slotsOf the slots by zone.
	zoneNames []string
	slotsOf   map[string]int
}

func newDay(p *play, seed int64) *day {
	own := *p
	d := &day{play: &own, random: rand.New(rand.NewSource(seed)), planner: New(), forecast: forecast.New(), factor: 1, from: 4 * (p.calm + p.wave)}
	if p.wave == 0 {
		d.from = 10 * time.Second
	}
	d.online, d.items = make([]int, p.workers), make([]int, p.workers)
	d.slotsOf = map[string]int{}
	for worker := range p.workers {
		name := fmt.Sprint(d.zoneOf(worker))
		d.zoneNames = append(d.zoneNames, name)
		d.slotsOf[name] += p.slots
	}
	d.running, d.queues = make([][]*playRun, p.workers), make([][]*playRun, p.workers)
	for i, pause := range []time.Duration{ownReports, reports, reports} {
		d.runners = append(d.runners, &playRunner{name: uint32(i + 1), pause: pause, due: time.Duration(i) * 7 * time.Millisecond})
	}
	return d
}

// run plays the day.
func (p *play) run(seed int64) outcome {
	d := newDay(p, seed)
	for ; d.now < p.length; d.now += playTick {
		if p.at != nil {
			p.at(d, d.now)
		}
		d.step()
	}
	for _, r := range d.runners {
		for _, item := range r.items {
			if d.counts(item) {
				d.result.itemsDue++
			}
		}
	}
	d.result.idle = d.idleTicks / max(d.slotTicks, 1)
	return d.result
}

func (d *day) step() {
	if d.forecast.Peak(start.Add(d.now), 0).Sure && d.learnt == 0 {
		d.learnt = d.now
		d.from = max(d.from, d.now)
	}
	d.endRuns()
	for range d.draw(d.rate() * d.factor) {
		d.arrive()
	}
	for range d.draw(d.itemsPerSecond) {
		d.submit()
	}
	d.fillSlots()
	d.remember()
	for _, r := range d.runners {
		if d.now >= r.due {
			r.due = d.now + r.pause
			d.report(r)
		}
		if d.now >= r.look {
			r.look = d.now + playLook
			d.lookOf(r)
		}
	}
	d.fillSlots()
	d.count()
}

func (d *day) draw(perSecond float64) int {
	limit, product, count := math.Exp(-perSecond*playTick.Seconds()), d.random.Float64(), 0
	for product > limit {
		product *= d.random.Float64()
		count++
	}
	return count
}

func (d *day) submit() {
	d.numbers++
	item := &playItem{number: d.numbers, submitted: d.now, events: d.events(d.random)}
	r := d.runners[d.numbers%len(d.runners)]
	r.items = append(r.items, item)
}

// arrive puts an online request at the best of half of the workers.
func (d *day) arrive() {
	best, least := -1, 0.0
	zone := d.drawZone()
	for range max(d.workers/2, 1) {
		worker := d.random.Intn(d.workers)
		cost := float64(d.online[worker]) + 0.9*float64(d.items[worker])
		if d.zoneOf(worker) != zone {
			cost += zoneCost
		}
		if best < 0 || cost < least {
			best, least = worker, cost
		}
	}
	if d.zoneOf(best) != zone && d.now >= d.from {
		d.result.crossed++
	}
	d.enqueue(&playRun{worker: best, came: d.now})
	if d.now >= d.from {
		d.result.online++
	}
}

// zoneCost is what another zone costs a request, in slots.
const zoneCost = 2

// zoneOf returns the zone of a worker.
func (d *day) zoneOf(worker int) int { return worker % max(len(d.zones), 1) }

// drawZone returns the zone that a request comes to.
func (d *day) drawZone() int {
	sum := 0.0
	for _, often := range d.zones {
		sum += often
	}
	drawn := d.random.Float64() * sum
	for zone, often := range d.zones {
		if drawn -= often; drawn < 0 {
			return zone
		}
	}
	return 0
}

// enqueue puts a run into its worker's queue.
func (d *day) enqueue(run *playRun) {
	d.queues[run.worker] = append(d.queues[run.worker], run)
	d.countAt(run, 1)
}

// countAt adds to what is at a worker.
func (d *day) countAt(run *playRun, change int) {
	if run.item == nil {
		d.online[run.worker] += change
	} else {
		d.items[run.worker] += change
	}
}

func (d *day) fillSlots() {
	for worker := range d.running {
		for len(d.queues[worker]) > 0 && len(d.running[worker]) < d.slots {
			run := d.queues[worker][0]
			d.queues[worker] = d.queues[worker][1:]
			d.begin(run)
		}
	}
}

func (d *day) begin(run *playRun) {
	run.begun = d.now
	run.ends = d.now + d.hold
	if run.item != nil {
		run.ends = d.now + playReading + time.Duration(run.item.events-run.item.done)*playEvent
	} else if waited := d.now - run.came; run.behind && d.now >= d.from {
		d.result.waited++
		if waited > mayWait {
			d.result.late++
		}
		d.result.longest = max(d.result.longest, waited)
		d.result.waiting += waited
	}
	d.running[run.worker] = append(d.running[run.worker], run)
}

func (d *day) endRuns() {
	for worker := range d.running {
		d.running[worker] = slices.DeleteFunc(d.running[worker], func(run *playRun) bool {
			switch {
			case run.leaves > 0 && d.now >= run.leaves:
				d.leave(run)
				d.countAt(run, -1)
				return true
			case d.now >= run.ends:
				if run.item != nil {
					d.finish(run)
				}
				d.countAt(run, -1)
				return true
			}
			return false
		})
	}
}

// leave takes an item from its worker; it goes on later.
func (d *day) leave(run *playRun) {
	item := run.item
	item.done = min(item.done+int(max(d.now-run.begun-playReading, 0)/playEvent), item.events-1)
	item.running, item.resting = nil, d.now+playRest
	d.result.cuts++
}

func (d *day) finish(run *playRun) {
	item := run.item
	if item.runs == 1 {
		d.mean.Add(d.now-run.begun, item.events)
	}
	run.runner.items = slices.DeleteFunc(run.runner.items, func(other *playItem) bool { return other == item })
	if !d.counts(item) {
		return
	}
	d.result.itemsDue++
	if d.now-item.submitted <= playDue {
		d.result.inTime++
	}
}

// counts reports whether an item is due within what counts of the day.
func (d *day) counts(item *playItem) bool {
	return item.submitted >= d.from && item.submitted+playDue <= d.length
}

// remember keeps what the planner will see.
func (d *day) remember() {
	d.seen = append(d.seen, slices.Clone(d.online))
	if len(d.seen) > int(playLag/playTick)+1 {
		d.seen = d.seen[1:]
	}
}

// places returns the workers as the planner sees them.
func (d *day) places() Places {
	places := Places{Busy: make([]Place, 0, d.workers), Draw: func(int) []Place { return nil }}
	total := 0
	for worker, online := range d.seen[0] {
		total += online
		places.Busy = append(places.Busy, Place{Worker: uint32(worker + 1), Pool: "p", Zone: d.zoneNames[worker], Slots: d.slots, Online: online, Hold: d.hold, Patience: playPatience})
	}
	if d.foresees {
		now := start.Add(d.now)
		d.forecast.Take(now, float64(total))
		places.Outlooks = []Outlook{{
			Pool: "p", Slots: d.workers * d.slots, Lag: playLag, Hold: !d.forecast.Warm(),
			Peak: func(ahead time.Duration) forecast.Need {
				need := d.forecast.Peak(now, ahead)
				if d.blind && need.Rising {
					return forecast.Need{Slots: d.forecast.Peak(now, 0).Slots}
				}
				return need
			},
		}}
		if !d.mixed {
			places.Outlooks[0].ZoneSlots = d.slotsOf
		}
	}
	return places
}

// mayWait is how long an online request may wait for an item.
const mayWait = 50 * time.Millisecond

// playPatience is how long an online request may wait for items.
const playPatience = 60 * time.Millisecond

// report lets a runner report and take its orders.
func (d *day) report(r *playRunner) {
	if d.now < d.silent || r.cut {
		return
	}
	items := map[uint32]int{}
	waiting := 0
	for _, item := range r.items {
		switch run := item.running; {
		case run == nil && d.now >= item.resting:
			waiting++
		case run != nil && run.leaves == 0:
			items[uint32(run.worker+1)]++
		}
	}
	d.planner.Take(start.Add(d.now), r.name, waiting, items)
	r.orders, r.ordered = d.planner.Plan(r.name, d.places()), d.now
}

// planOf returns an item as the order sees it.
func (d *day) planOf(item *playItem) batchplan.Item {
	done := item.done
	if item.running != nil {
		done += int(max(d.now-item.running.begun-playReading, 0) / playEvent)
	}
	remaining := d.mean.Remaining(done, 0)
	age := d.now - item.submitted
	return batchplan.Item{Number: item.number, Order: uint64(item.number), Remaining: remaining, Overdue: batchplan.Overdue(age, playDue, remaining), Slack: batchplan.Slack(age, playDue, remaining)}
}

// lookOf lets a runner stop and start items.
func (d *day) lookOf(r *playRunner) {
	if r.cut {
		return
	}
	if d.now-r.ordered > 400*time.Millisecond {
		r.orders = nil
	}
	d.stopOf(r)
	d.startOf(r)
}

func (d *day) stopOf(r *playRunner) {
	stops := map[int]int{}
	for worker, order := range r.orders {
		stops[int(worker)-1] = order.Stop
	}
	var running []*playItem
	for _, item := range r.items {
		if run := item.running; run != nil && run.leaves == 0 && stops[run.worker] > 0 && d.now-run.came >= leastStay {
			running = append(running, item)
		}
	}
	slices.SortFunc(running, func(a, b *playItem) int {
		first, second := d.planOf(a), d.planOf(b)
		before, after := batchplan.YieldsBefore(first, second), batchplan.YieldsBefore(second, first)
		if worker := a.running.worker; d.foresees && d.online[worker]+d.items[worker] <= d.slots {
			before, after = batchplan.LeavesBefore(first, second, d.mean.Mean()), batchplan.LeavesBefore(second, first, d.mean.Mean())
		}
		return cmp.Or(cmp.Compare(a.running.worker, b.running.worker), boolRank(after)-boolRank(before))
	})
	for _, item := range running {
		worker := item.running.worker
		if stops[worker] == 0 {
			continue
		}
		stops[worker]--
		order := r.orders[uint32(worker+1)]
		order.Stop--
		r.orders[uint32(worker+1)] = order
		item.running.leaves = d.now + playTick
	}
}

func boolRank(set bool) int {
	if set {
		return 1
	}
	return 0
}

func (d *day) startOf(r *playRunner) {
	var waiting []*playItem
	plans := map[*playItem]batchplan.Item{}
	for _, item := range r.items {
		if item.running == nil && d.now >= item.resting {
			waiting = append(waiting, item)
			plans[item] = d.planOf(item)
		}
	}
	slices.SortFunc(waiting, func(a, b *playItem) int {
		first, second := plans[a], plans[b]
		if first.Overdue != second.Overdue {
			return boolRank(first.Overdue) - boolRank(second.Overdue)
		}
		return cmp.Or(cmp.Compare(first.Slack, second.Slack), cmp.Compare(a.number, b.number))
	})
	for _, item := range waiting {
		worker := d.granted(r)
		if worker < 0 {
			return
		}
		order := r.orders[uint32(worker+1)]
		order.Start--
		r.orders[uint32(worker+1)] = order
		item.runs++
		run := &playRun{item: item, worker: worker, came: d.now, runner: r}
		item.running = run
		d.enqueue(run)
		d.result.starts++
	}
}

// granted returns the least loaded worker where the runner may start an item, or -1.
func (d *day) granted(r *playRunner) int {
	best, least := -1, 0
	for worker := range d.running {
		if r.orders[uint32(worker+1)].Start == 0 {
			continue
		}
		if load := d.online[worker] + d.items[worker]; load < d.slots && (best < 0 || load < least) {
			best, least = worker, load
		}
	}
	return best
}

// count adds up what is idle while items wait, and who waits behind items.
func (d *day) count() {
	waiting := 0
	for _, r := range d.runners {
		for _, item := range r.items {
			if item.running == nil && d.now >= item.resting {
				waiting++
			}
		}
	}
	for worker := range d.running {
		holds := slices.ContainsFunc(d.running[worker], func(run *playRun) bool { return run.item != nil })
		for _, run := range d.queues[worker] {
			run.behind = run.behind || holds && run.item == nil
		}
		if d.now < d.from {
			continue
		}
		d.slotTicks += float64(d.slots)
		idle := min(d.slots-len(d.running[worker]), waiting)
		d.idleTicks += float64(idle)
		waiting -= idle
	}
}

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
