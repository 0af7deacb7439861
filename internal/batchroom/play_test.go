package batchroom

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
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
	if d.forecast.Peak(start.Add(d.now), 0).Confident && d.learnt == 0 {
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
func (d *day) places() Workers {
	places := Workers{Busy: make([]Worker, 0, d.workers), Sample: func(int) []Worker { return nil }}
	total := 0
	for worker, online := range d.seen[0] {
		total += online
		places.Busy = append(places.Busy, Worker{ShortName: uint32(worker + 1), Pool: "p", Zone: d.zoneNames[worker], Slots: d.slots, Online: online, HoldTime: d.hold, MaxWait: playPatience})
	}
	if d.foresees {
		now := start.Add(d.now)
		d.forecast.Observe(now, float64(total))
		places.Forecasts = []Forecast{{
			Pool: "p", Slots: d.workers * d.slots, ReportAge: playLag, Paused: !d.forecast.WarmedUp(),
			Peak: func(ahead time.Duration) forecast.Demand {
				need := d.forecast.Peak(now, ahead)
				if d.blind && need.Rising {
					return forecast.Demand{Slots: d.forecast.Peak(now, 0).Slots}
				}
				return need
			},
		}}
		if !d.mixed {
			places.Forecasts[0].ZoneSlots = d.slotsOf
		}
	}
	return places
}
