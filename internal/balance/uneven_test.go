package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sedgemast/sedgemast/internal/capacity"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

// The fleet that the tests of uneven workers play: what a request takes at a worker of speed
// one, and by when its first event is in time.
const (
	unevenRead   = 20 * time.Millisecond
	unevenEvent  = 36 * time.Millisecond
	unevenEvents = 20
	unevenGoal   = 250 * time.Millisecond
	unevenStep   = 2 * time.Millisecond
	// inZone is what a message takes within a zone, across what one takes to another zone.
	inZone = time.Millisecond
	across = 25 * time.Millisecond
	// spellFrom and spellTo bound a spell, spellTimes is how much slower the worker is then.
	spellFrom  = 90 * time.Millisecond
	spellTo    = 600 * time.Millisecond
	spellTimes = 2.5
	// unevenPatience is how long a silent worker is waited for.
	unevenPatience = 3 * unevenGoal
)

// unevenPlan is a play.
type unevenPlan struct {
	workers, slots int
	// slowPart is the part of the workers, one in so many, of slowSpeed; zero for none.
	slowPart  int
	slowSpeed float64
	// spellPart is the part of the time that a worker spends in spells.
	spellPart float64
	edges     int
	// demand is how many requests come a second in each zone in the mean, waves how many
	// waves come.
	demand []float64
	waves  int
	// tells is set where workers tell their slots and pace, pace changes what they tell.
	tells bool
	pace  func(f *unevenFleet, w *unevenWorker) int
	// items is set where items of jobs fill the slots that idle, and give way where requests
	// queue.
	items bool
	// at holds what befalls the fleet.
	at map[time.Duration]func(f *unevenFleet)
	// scoring is how workers are compared.
	scoring scoring
}

// fourZones is the play of the standing goals.
func fourZones() unevenPlan {
	return unevenPlan{workers: 72, slots: 8, slowPart: 4, slowSpeed: 0.55, spellPart: 0.15, edges: 67, demand: []float64{92, 82, 64, 63}, waves: 3}
}

// unevenRequest is a request, from its coming to its last event.
type unevenRequest struct {
	edge  int
	came  time.Duration
	lease *Lease
	// left is the work that is left, in time at a worker of speed one, events the events
	// that came, lastAt when the last one came.
	left   time.Duration
	events int
	lastAt time.Duration
	// waited is how long it queued at the worker.
	waited time.Duration
	at     time.Duration
	// tried names the workers that kept silent.
	tried map[string]bool
}

type unevenWorker struct {
	id     string
	zone   int
	speed  float64
	frozen bool
	slow   bool
	turns  time.Duration
	// items counts those that run, stopping those of them that are about to stop.
	items, stopping int
	running         []*unevenRequest
	queue           []*unevenRequest
	// got counts the requests that came in waves, and room is the work that a slot could do in
	// these, in seconds.
	got  int
	room float64
}

// unevenFleet is edges, hubs and workers in virtual time.
type unevenFleet struct {
	plan    unevenPlan
	arrival *rand.Rand
	random  *rand.Rand
	now     time.Duration
	events  waveEvents
	number  int
	tables  []*Table
	zones   []int
	hubs    []*loadshare.Hub
	top     *loadshare.Hub
	zoneOf  map[uint32]string
	rows    []wire.PoolWorker
	workers []*unevenWorker
	byID    map[string]*unevenWorker
	// newsStop is set while no news go anywhere, cut names a zone that hears nothing of the
	// others.
	newsStop bool
	cut      int
	// counts of the play; stopped counts the items that gave way.
	stopped                     int
	came, inTime, crossed, lost int
	byZone, inTimeByZone        []int
	// idled is the sum over the moments of waves of the slots that idled while as many
	// requests queued elsewhere, moments counts these.
	idled, queued, moments int
	// sent counts requests from zone to zone.
	sent map[[2]int]int
	// whole is the sum of the times to the last events.
	whole time.Duration
	// log is told of each choice.
	log func(f *unevenFleet, w *unevenWorker, r *unevenRequest)
}

func newUnevenFleet(plan unevenPlan, seed uint64) *unevenFleet {
	f := &unevenFleet{plan: plan, arrival: rand.New(rand.NewPCG(seed, 2)), random: rand.New(rand.NewPCG(seed, 1)), top: loadshare.NewHub(), zoneOf: map[uint32]string{}, byID: map[string]*unevenWorker{}, cut: -1, sent: map[[2]int]int{}}
	zones := len(plan.demand)
	f.byZone, f.inTimeByZone = make([]int, zones), make([]int, zones)
	var rows []wire.PoolWorker
	for number := range plan.workers {
		w := &unevenWorker{id: fmt.Sprintf("w%d", number), zone: number % zones, speed: 1}
		if plan.slowPart > 0 && (number/zones)%plan.slowPart == 0 {
			w.speed = plan.slowSpeed
		}
		f.workers, f.byID[w.id] = append(f.workers, w), w
		row := wire.PoolWorker{ID: w.id, Pool: "p", Zone: fmt.Sprintf("z%d", w.zone), Slots: plan.slots}
		rows = append(rows, row)
		f.zoneOf[loadshare.Hash(row.ID)] = row.Zone
	}
	set := workerset.Of(rows)
	f.rows = rows
	for range zones {
		f.hubs = append(f.hubs, loadshare.NewHub())
	}
	for edge := range plan.edges {
		zone := edge % zones
		table := NewTable(fmt.Sprintf("z%d", zone), rand.New(rand.NewPCG(seed, uint64(edge))))
		table.scoring = plan.scoring
		table.Update(set, map[string]int64{"p": 100_000})
		f.tables, f.zones = append(f.tables, table), append(f.zones, zone)
	}
	return f
}

func (f *unevenFleet) after(wait time.Duration, action func()) {
	f.number++
	heap.Push(&f.events, waveEvent{f.now + wait, f.number, action})
}

func (f *unevenFleet) clock() time.Time { return start.Add(f.now) }

// tell is an edge's report; answer is set where it is answered.
func (f *unevenFleet) tell(edge int, answer bool, then func()) {
	zone, table := f.zones[edge], f.tables[edge]
	report := &wire.LoadReport{Source: uint32(edge + 1), Proofs: table.ProbeResults(), Workers: table.Loads()}
	if f.newsStop {
		f.after(2*inZone, then)
		return
	}
	f.after(inZone, func() {
		f.hubs[zone].ApplyReport(f.clock(), report)
		if !answer {
			return
		}
		others := f.hubs[zone].PeerLoads(f.clock(), uint32(edge+1))
		rows, part := loadshare.Subset(others, table.zone, func(worker uint32) string { return f.zoneOf[worker] }, f.random)
		f.after(inZone, func() {
			scope := ScopeAll
			if part {
				scope = ScopeZone
			}
			table.SetPeerLoads(f.clock(), rows, scope)
			then()
		})
	})
}

// sum tells the top hub the sums over a zone, and the zone what the others have.
func (f *unevenFleet) sum(zone int) {
	f.after(loadshare.Interval, func() { f.sum(zone) })
	if f.newsStop || f.cut == zone {
		return
	}
	name := uint32(1000 + zone)
	sums := f.hubs[zone].Sums(f.clock(), name)
	f.after(across, func() {
		if sums != nil {
			f.top.ApplyReport(f.clock(), sums)
		}
		told := f.top.UpdateFor(f.clock(), name)
		f.after(across, func() {
			f.hubs[zone].SetParentLoads(f.clock(), told.Rows, told.UnlistedRate, told.Omitted > 0)
		})
	})
}

// request lets a request come to an edge.
func (f *unevenFleet) request(edge int) {
	r := &unevenRequest{edge: edge, came: f.now, left: unevenRead + unevenEvents*unevenEvent}
	f.came++
	f.byZone[f.zones[edge]]++
	f.tell(edge, true, func() { f.place(r) })
}

func (f *unevenFleet) place(r *unevenRequest) {
	r.lease = f.tables[r.edge].Acquire(f.clock(), &Request{Pool: "p", PromptTokens: 200, Exclude: r.tried})
	f.tell(r.edge, false, nil)
	w, trip := f.byID[r.lease.Endpoint.ID], inZone
	f.sent[[2]int{f.zones[r.edge], w.zone}]++
	if w.zone != f.zones[r.edge] {
		f.crossed++
		trip = across
	}
	if f.log != nil {
		f.log(f, w, r)
	}
	lease := r.lease
	f.after(unevenPatience, func() { f.giveUp(w, r, lease) })
	f.after(trip, func() {
		w.queue = append(w.queue, r)
		r.at = f.now
		running, waiting := len(w.running), len(w.queue)
		if f.plan.tells {
			pace := f.paceOf(w)
			f.after(trip, func() {
				r.lease.ApplyReport(capacity.Report{Running: running, Waiting: waiting, Slots: f.plan.slots, Pace: pace})
			})
		}
		if f.wave() {
			w.got++
		}
	})
}

// giveUp tries a request elsewhere that brought no event.
func (f *unevenFleet) giveUp(w *unevenWorker, r *unevenRequest, lease *Lease) {
	if r.events > 0 || r.lease != lease {
		return
	}
	gone := func(queued *unevenRequest) bool { return queued == r }
	w.queue, w.running = slices.DeleteFunc(w.queue, gone), slices.DeleteFunc(w.running, gone)
	lease.RecordNoAnswer(f.clock())
	lease.Release()
	f.lost++
	if r.tried == nil {
		r.tried = map[string]bool{}
	}
	r.tried[w.id] = true
	r.left = unevenRead + unevenEvents*unevenEvent
	f.place(r)
}

// leave lets every third worker of the zone leave.
func (f *unevenFleet) leave(zone int) {
	rows, seen := slices.Clone(f.rows), 0
	for i, w := range f.workers {
		if w.zone == zone {
			rows[i].Leaving = seen%3 == 0
			seen++
		}
	}
	set := workerset.Of(rows)
	for _, table := range f.tables {
		table.Update(set, map[string]int64{"p": 100_000})
	}
}

// paceOf is what a worker tells of its pace.
func (f *unevenFleet) paceOf(w *unevenWorker) int {
	if f.plan.pace != nil {
		return f.plan.pace(f, w)
	}
	if w.slow {
		return int(100 * spellTimes)
	}
	return 100
}

// wave reports whether a wave is under way.
func (f *unevenFleet) wave() bool { return f.now%wavePeriod > wavePeriod-waveLength }

func (f *unevenFleet) arrivals(zone int) {
	times := calmTimes
	if f.wave() {
		times = waveTimes
	}
	f.after(time.Duration(f.arrival.ExpFloat64()/(f.plan.demand[zone]*times)*float64(time.Second)), func() {
		zones := len(f.plan.demand)
		here := (f.plan.edges - zone + zones - 1) / zones
		f.request(zone + zones*f.arrival.IntN(here))
		f.arrivals(zone)
	})
}

// work lets all workers work for one step.
func (f *unevenFleet) work() {
	queued, idle := 0, 0
	for _, w := range f.workers {
		f.turn(w)
		for len(w.queue) > 0 && len(w.running)+w.items < f.plan.slots {
			r := w.queue[0]
			r.waited = (f.now - r.at) / unevenStep * unevenStep
			w.running, w.queue = append(w.running, r), w.queue[1:]
		}
		queued += len(w.queue)
		idle += f.plan.slots - len(w.running) - w.items
		rate := w.speed
		if w.slow {
			rate /= spellTimes
		}
		if w.frozen {
			rate = 0
		}
		if f.wave() {
			w.room += rate * unevenStep.Seconds()
		}
		kept := w.running[:0]
		for _, r := range w.running {
			if f.progress(w, r, time.Duration(rate*float64(unevenStep))); r.left > 0 {
				kept = append(kept, r)
			}
		}
		w.running = kept
	}
	if f.wave() {
		f.moments++
		f.queued += queued
		f.idled += min(queued, idle)
	}
	f.after(unevenStep, f.work)
}

// planItems lets items fill the slots that idle, and stop where requests queue, and tells the
// top hub of them.
func (f *unevenFleet) planItems() {
	f.after(loadshare.Interval, f.planItems)
	report := &wire.LoadReport{Source: 2000}
	for _, w := range f.workers {
		if free := f.plan.slots - len(w.running) - len(w.queue) - w.items; free > 0 {
			w.items += free
		}
		stops := min(len(w.queue), w.items) - w.stopping
		if stops > 0 {
			w.stopping += stops
			f.stopped += stops
			f.after(giveWay, func() { w.items, w.stopping = w.items-stops, w.stopping-stops })
		}
		report.Workers = append(report.Workers, wire.WorkerLoad{Worker: loadshare.Hash(w.id), Batch: uint16(w.items - w.stopping)})
	}
	f.after(across, func() { f.top.ApplyReport(f.clock(), report) })
}

// turn begins or ends a spell.
func (f *unevenFleet) turn(w *unevenWorker) {
	if f.plan.spellPart == 0 || f.now < w.turns {
		return
	}
	if w.turns > 0 {
		w.slow = !w.slow
	}
	length := time.Duration(f.random.Int64N(int64(spellTo-spellFrom))) + spellFrom
	if !w.slow {
		length = time.Duration(f.random.ExpFloat64() * float64(spellTo+spellFrom) / 2 * (1 - f.plan.spellPart) / f.plan.spellPart)
	}
	w.turns = f.now + length
}

// progress lets a request go on.
func (f *unevenFleet) progress(w *unevenWorker, r *unevenRequest, done time.Duration) {
	r.left -= done
	events := int((unevenEvents*unevenEvent - r.left) / unevenEvent)
	if r.left <= 0 {
		events = unevenEvents
	}
	if events <= r.events || events <= 0 {
		return
	}
	trip := inZone
	if w.zone != f.zones[r.edge] {
		trip = across
	}
	if r.events == 0 {
		r.lease.RecordPrefill()
		r.lease.RecordAnswer(f.clock(), true)
		if f.now+trip-r.came <= unevenGoal {
			f.inTime++
			f.inTimeByZone[f.zones[r.edge]]++
		}
	} else {
		r.lease.RecordPace(events-r.events, f.now-r.lastAt)
	}
	r.events, r.lastAt = events, f.now
	if r.left <= 0 {
		f.whole += f.now - r.came
		r.lease.Release()
	}
}

// play plays the waves.
func (f *unevenFleet) play() *unevenFleet {
	for zone := range f.plan.demand {
		f.sum(zone)
		f.arrivals(zone)
	}
	for edge := range f.tables {
		var again func()
		again = func() {
			f.tell(edge, true, func() {})
			f.after(loadshare.MaxInterval, again)
		}
		f.after(time.Duration(edge)*time.Millisecond, again)
	}
	for at, action := range f.plan.at {
		f.after(at, func() { action(f) })
	}
	if f.plan.items {
		f.planItems()
	}
	f.after(unevenStep, f.work)
	for f.now < time.Duration(f.plan.waves)*wavePeriod {
		event := heap.Pop(&f.events).(waveEvent)
		f.now = event.at
		if event.action != nil {
			event.action()
		}
	}
	return f
}

// late is the part of the requests that are not in time.
func (f *unevenFleet) late() float64 { return 1 - float64(f.inTime)/float64(f.came) }

// busiest is the most requests that a worker got in waves, for its slots times the pace that
// it had then, over the mean of all.
func (f *unevenFleet) busiest() float64 {
	got, room, most := 0, 0.0, 0.0
	for _, w := range f.workers {
		got += w.got
		room += w.room
		most = max(most, float64(w.got)/w.room)
	}
	return most / (float64(got) / room)
}

// addWorkers adds what another play's workers did in waves, and returns the fleet.
func (f *unevenFleet) addWorkers(other *unevenFleet) *unevenFleet {
	if other == nil {
		return f
	}
	for i, w := range other.workers {
		f.workers[i].got += w.got
		f.workers[i].room += w.room
	}
	return f
}

// unevenness is the greatest over the least late part of the zones.
func (f *unevenFleet) unevenness() float64 {
	least, most := math.Inf(1), 0.0
	for zone := range f.byZone {
		late := 1 - float64(f.inTimeByZone[zone])/float64(f.byZone[zone])
		least, most = min(least, late), max(most, late)
	}
	return most / max(least, 0.001)
}

func (f *unevenFleet) String() string {
	return fmt.Sprintf("%d stops, %d requests, %.3f late, zones %.2f apart, crossed %.3f, queued %.1f, idle while queued %.1f, busiest %.2f, whole %v", f.stopped, f.came, f.late(), f.unevenness(), float64(f.crossed)/float64(f.came), float64(f.queued)/float64(f.moments), float64(f.idled)/float64(f.moments), f.busiest(), (f.whole / time.Duration(f.came)).Round(time.Millisecond))
}
