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

// These are the costs of a request in the simulated fleet at a worker of speed 1, and the time
// limit within which its first event counts as in time.
const (
	unevenPrefill = 20 * time.Millisecond
	unevenEvent   = 36 * time.Millisecond
	unevenEvents  = 20
	unevenGoal    = 250 * time.Millisecond
	unevenStep    = 2 * time.Millisecond
	// inZoneDelay is the transit time of a message within a zone. crossZoneDelay is the transit
	// time between zones.
	inZoneDelay    = time.Millisecond
	crossZoneDelay = 25 * time.Millisecond
	// minSpell and maxSpell bound the duration of a slow spell of a worker. spellSlowdown is the
	// factor by which the worker is slower during the spell.
	minSpell      = 90 * time.Millisecond
	maxSpell      = 600 * time.Millisecond
	spellSlowdown = 2.5
	// unevenTimeout is how long to wait for the first event of a request.
	unevenTimeout = 3 * unevenGoal
)

// unevenScenario describes a simulation run.
type unevenScenario struct {
	workers, slots int
	// One of slowEvery workers has slowSpeed; zero means none.
	slowEvery int
	slowSpeed float64
	// spellFraction is the fraction of time that a worker spends in slow spells.
	spellFraction float64
	edges         int
	// demand is the mean number of requests per second in each zone. waves is the number of waves.
	demand []float64
	waves  int
	// reportPace is set if workers report their slots and pace. pace overrides the reported pace.
	reportPace bool
	pace       func(f *unevenFleet, w *unevenWorker) int
	// items is set if batch items fill idle slots, and are preempted where requests queue.
	items bool
	// faults maps a time of the run to the change that is made to the fleet at that time.
	faults map[time.Duration]func(f *unevenFleet)
	// scoring selects how workers are compared.
	scoring scoring
}

// fourZones returns the scenario of the project's goals.
func fourZones() unevenScenario {
	return unevenScenario{workers: 72, slots: 8, slowEvery: 4, slowSpeed: 0.55, spellFraction: 0.15, edges: 67, demand: []float64{92, 82, 64, 63}, waves: 3}
}

// unevenRequest is a request from its arrival to its last event.
type unevenRequest struct {
	edge      int
	arrivedAt time.Duration
	lease     *Lease
	// remainingWork is the remaining time at a worker of speed 1. events is the number of events so
	// far, and lastAt is the time of the last event.
	remainingWork time.Duration
	events        int
	lastAt        time.Duration
	// waited is how long the request queued at the worker, which it reached at queuedAt.
	waited   time.Duration
	queuedAt time.Duration
	// tried holds the ids of the workers that timed out.
	tried map[string]bool
}

type unevenWorker struct {
	id            string
	zone          int
	speed         float64
	frozen        bool
	slow          bool
	spellChangeAt time.Duration
	// items counts the running batch items. stopping counts the items among them that are about to
	// stop.
	items, stopping int
	running         []*unevenRequest
	queue           []*unevenRequest
	// got counts the requests received during waves. potentialWork is the work that one slot
	// could do during waves, in seconds.
	got           int
	potentialWork float64
}

// unevenFleet simulates edges, hubs and workers in virtual time.
type unevenFleet struct {
	scenario unevenScenario
	arrival  *rand.Rand
	random   *rand.Rand
	now      time.Duration
	events   waveEvents
	sequence int
	tables   []*Table
	zones    []int
	hubs     []*loadshare.Hub
	top      *loadshare.Hub
	zoneOf   map[uint32]string
	rows     []wire.PoolWorker
	workers  []*unevenWorker
	byID     map[string]*unevenWorker
	// updatesStopped is set while no reports or updates are delivered. cutOffZone is a zone
	// without connection to the others, -1 for none.
	updatesStopped bool
	cutOffZone     int
	// Counts of the run; stopped counts preempted items.
	stopped                              int
	requests, inTime, changedZones, lost int
	byZone, inTimeByZone                 []int
	// idled sums up, over all steps in waves, the idle slots, up to the number of requests that
	// queued at other workers. queued sums up the queued requests, and waveSteps counts the steps.
	idled, queued, waveSteps int
	// sent counts requests by zone of origin and zone of the worker.
	sent map[[2]int]int
	// totalTime is the sum of the times from arrival to last event.
	totalTime time.Duration
	// onChoice is called for each choice.
	onChoice func(f *unevenFleet, w *unevenWorker, r *unevenRequest)
}

func newUnevenFleet(scenario unevenScenario, seed uint64) *unevenFleet {
	f := &unevenFleet{scenario: scenario, arrival: rand.New(rand.NewPCG(seed, 2)), random: rand.New(rand.NewPCG(seed, 1)), top: loadshare.NewHub(), zoneOf: map[uint32]string{}, byID: map[string]*unevenWorker{}, cutOffZone: -1, sent: map[[2]int]int{}}
	zones := len(scenario.demand)
	f.byZone, f.inTimeByZone = make([]int, zones), make([]int, zones)
	var rows []wire.PoolWorker
	for number := range scenario.workers {
		w := &unevenWorker{id: fmt.Sprintf("w%d", number), zone: number % zones, speed: 1}
		if scenario.slowEvery > 0 && (number/zones)%scenario.slowEvery == 0 {
			w.speed = scenario.slowSpeed
		}
		f.workers, f.byID[w.id] = append(f.workers, w), w
		row := wire.PoolWorker{ID: w.id, Pool: "p", Zone: fmt.Sprintf("z%d", w.zone), Slots: scenario.slots}
		rows = append(rows, row)
		f.zoneOf[loadshare.Hash(row.ID)] = row.Zone
	}
	set := workerset.Of(rows)
	f.rows = rows
	for range zones {
		f.hubs = append(f.hubs, loadshare.NewHub())
	}
	for edge := range scenario.edges {
		zone := edge % zones
		table := NewTable(fmt.Sprintf("z%d", zone), rand.New(rand.NewPCG(seed, uint64(edge))))
		table.scoring = scenario.scoring
		table.Update(start, set, map[string]int64{"p": 100_000})
		f.tables, f.zones = append(f.tables, table), append(f.zones, zone)
	}
	return f
}

func (f *unevenFleet) after(wait time.Duration, action func()) {
	f.sequence++
	heap.Push(&f.events, waveEvent{f.now + wait, f.sequence, action})
}

func (f *unevenFleet) clock() time.Time { return start.Add(f.now) }

// report sends an edge's load report. If answer is set, the hub's answer is applied before then
// is called.
func (f *unevenFleet) report(edge int, answer bool, then func()) {
	zone, table := f.zones[edge], f.tables[edge]
	report := &wire.LoadReport{Source: uint32(edge + 1), Proofs: table.ProbeResults(), Workers: table.Loads()}
	if f.updatesStopped {
		f.after(2*inZoneDelay, then)
		return
	}
	f.after(inZoneDelay, func() {
		f.hubs[zone].ApplyReport(f.clock(), report)
		if !answer {
			return
		}
		loads := f.hubs[zone].PeerLoads(f.clock(), uint32(edge+1))
		rows, partial := loadshare.Subset(loads, table.zone, func(worker uint32) string { return f.zoneOf[worker] }, f.random)
		f.after(inZoneDelay, func() {
			scope := ScopeAll
			if partial {
				scope = ScopeZone
			}
			table.SetPeerLoads(f.clock(), rows, scope)
			then()
		})
	})
}

// exchangeSums sends a zone's sums to the top hub, and the loads of the other zones back.
func (f *unevenFleet) exchangeSums(zone int) {
	f.after(loadshare.Interval, func() { f.exchangeSums(zone) })
	if f.updatesStopped || f.cutOffZone == zone {
		return
	}
	name := uint32(1000 + zone)
	sums := f.hubs[zone].Sums(f.clock(), name)
	f.after(crossZoneDelay, func() {
		if sums != nil {
			f.top.ApplyReport(f.clock(), sums)
		}
		update := f.top.UpdateFor(f.clock(), name)
		f.after(crossZoneDelay, func() {
			f.hubs[zone].SetParentLoads(f.clock(), update.Rows, update.UnlistedRate, update.Omitted > 0)
		})
	})
}

// request simulates the arrival of a request at an edge.
func (f *unevenFleet) request(edge int) {
	r := &unevenRequest{edge: edge, arrivedAt: f.now, remainingWork: unevenPrefill + unevenEvents*unevenEvent}
	f.requests++
	f.byZone[f.zones[edge]]++
	f.report(edge, true, func() { f.dispatch(r) })
}

func (f *unevenFleet) dispatch(r *unevenRequest) {
	r.lease = f.tables[r.edge].Acquire(f.clock(), &Request{Pool: "p", PromptTokens: 200, Exclude: r.tried})
	f.report(r.edge, false, nil)
	w, transit := f.byID[r.lease.Endpoint.ID], inZoneDelay
	f.sent[[2]int{f.zones[r.edge], w.zone}]++
	if w.zone != f.zones[r.edge] {
		f.changedZones++
		transit = crossZoneDelay
	}
	if f.onChoice != nil {
		f.onChoice(f, w, r)
	}
	lease := r.lease
	f.after(unevenTimeout, func() { f.retryElsewhere(w, r, lease) })
	f.after(transit, func() {
		w.queue = append(w.queue, r)
		r.queuedAt = f.now
		running, waiting := len(w.running), len(w.queue)
		if f.scenario.reportPace {
			pace := f.reportedPace(w)
			f.after(transit, func() {
				r.lease.ApplyReport(capacity.Report{Running: running, Waiting: waiting, Slots: f.scenario.slots, Pace: pace})
			})
		}
		if f.wave() {
			w.got++
		}
	})
}

// retryElsewhere moves a request without any event to another worker after the timeout.
func (f *unevenFleet) retryElsewhere(w *unevenWorker, r *unevenRequest, lease *Lease) {
	if r.events > 0 || r.lease != lease {
		return
	}
	isRequest := func(queued *unevenRequest) bool { return queued == r }
	w.queue, w.running = slices.DeleteFunc(w.queue, isRequest), slices.DeleteFunc(w.running, isRequest)
	lease.RecordNoAnswer(f.clock())
	lease.Release()
	f.lost++
	if r.tried == nil {
		r.tried = map[string]bool{}
	}
	r.tried[w.id] = true
	r.remainingWork = unevenPrefill + unevenEvents*unevenEvent
	f.dispatch(r)
}

// removeThird marks every third worker of the zone as leaving.
func (f *unevenFleet) removeThird(zone int) {
	rows, seen := slices.Clone(f.rows), 0
	for i, w := range f.workers {
		if w.zone == zone {
			rows[i].Leaving = seen%3 == 0
			seen++
		}
	}
	set := workerset.Of(rows)
	for _, table := range f.tables {
		table.Update(start, set, map[string]int64{"p": 100_000})
	}
}

// reportedPace returns the pace that a worker reports.
func (f *unevenFleet) reportedPace(w *unevenWorker) int {
	if f.scenario.pace != nil {
		return f.scenario.pace(f, w)
	}
	if w.slow {
		return int(100 * spellSlowdown)
	}
	return 100
}

// wave reports whether a wave is in progress.
func (f *unevenFleet) wave() bool { return f.now%wavePeriod > wavePeriod-waveDuration }

func (f *unevenFleet) arrivals(zone int) {
	factor := lowFactor
	if f.wave() {
		factor = waveFactor
	}
	f.after(time.Duration(f.arrival.ExpFloat64()/(f.scenario.demand[zone]*factor)*float64(time.Second)), func() {
		zones := len(f.scenario.demand)
		here := (f.scenario.edges - zone + zones - 1) / zones
		f.request(zone + zones*f.arrival.IntN(here))
		f.arrivals(zone)
	})
}

// work simulates one step of all workers.
func (f *unevenFleet) work() {
	queued, idle := 0, 0
	for _, w := range f.workers {
		f.updateSpell(w)
		for len(w.queue) > 0 && len(w.running)+w.items < f.scenario.slots {
			r := w.queue[0]
			r.waited = (f.now - r.queuedAt) / unevenStep * unevenStep
			w.running, w.queue = append(w.running, r), w.queue[1:]
		}
		queued += len(w.queue)
		idle += f.scenario.slots - len(w.running) - w.items
		rate := w.speed
		if w.slow {
			rate /= spellSlowdown
		}
		if w.frozen {
			rate = 0
		}
		if f.wave() {
			w.potentialWork += rate * unevenStep.Seconds()
		}
		kept := w.running[:0]
		for _, r := range w.running {
			if f.progress(w, r, time.Duration(rate*float64(unevenStep))); r.remainingWork > 0 {
				kept = append(kept, r)
			}
		}
		w.running = kept
	}
	if f.wave() {
		f.waveSteps++
		f.queued += queued
		f.idled += min(queued, idle)
	}
	f.after(unevenStep, f.work)
}

// planItems starts items in idle slots, stops them where requests queue, and reports both to the
// top hub.
func (f *unevenFleet) planItems() {
	f.after(loadshare.Interval, f.planItems)
	report := &wire.LoadReport{Source: 2000}
	for _, w := range f.workers {
		if free := f.scenario.slots - len(w.running) - len(w.queue) - w.items; free > 0 {
			w.items += free
		}
		stops := min(len(w.queue), w.items) - w.stopping
		if stops > 0 {
			w.stopping += stops
			f.stopped += stops
			f.after(preemptionTime, func() { w.items, w.stopping = w.items-stops, w.stopping-stops })
		}
		report.Workers = append(report.Workers, wire.WorkerLoad{Worker: loadshare.Hash(w.id), Batch: uint16(w.items - w.stopping)})
	}
	f.after(crossZoneDelay, func() { f.top.ApplyReport(f.clock(), report) })
}

// updateSpell starts or ends a slow spell.
func (f *unevenFleet) updateSpell(w *unevenWorker) {
	if f.scenario.spellFraction == 0 || f.now < w.spellChangeAt {
		return
	}
	if w.spellChangeAt > 0 {
		w.slow = !w.slow
	}
	duration := time.Duration(f.random.Int64N(int64(maxSpell-minSpell))) + minSpell
	if !w.slow {
		duration = time.Duration(f.random.ExpFloat64() * float64(maxSpell+minSpell) / 2 * (1 - f.scenario.spellFraction) / f.scenario.spellFraction)
	}
	w.spellChangeAt = f.now + duration
}

// progress applies work done to a request, and records the events that result.
func (f *unevenFleet) progress(w *unevenWorker, r *unevenRequest, done time.Duration) {
	r.remainingWork -= done
	events := int((unevenEvents*unevenEvent - r.remainingWork) / unevenEvent)
	if r.remainingWork <= 0 {
		events = unevenEvents
	}
	if events <= r.events || events <= 0 {
		return
	}
	transit := inZoneDelay
	if w.zone != f.zones[r.edge] {
		transit = crossZoneDelay
	}
	if r.events == 0 {
		r.lease.RecordPrefill()
		r.lease.RecordAnswer(f.clock(), true)
		if f.now+transit-r.arrivedAt <= unevenGoal {
			f.inTime++
			f.inTimeByZone[f.zones[r.edge]]++
		}
	} else {
		r.lease.RecordPace(events-r.events, f.now-r.lastAt)
	}
	r.events, r.lastAt = events, f.now
	if r.remainingWork <= 0 {
		f.totalTime += f.now - r.arrivedAt
		r.lease.Release()
	}
}

// run simulates the waves.
func (f *unevenFleet) run() *unevenFleet {
	for zone := range f.scenario.demand {
		f.exchangeSums(zone)
		f.arrivals(zone)
	}
	for edge := range f.tables {
		var reportAgain func()
		reportAgain = func() {
			f.report(edge, true, func() {})
			f.after(loadshare.MaxInterval, reportAgain)
		}
		f.after(time.Duration(edge)*time.Millisecond, reportAgain)
	}
	for at, action := range f.scenario.faults {
		f.after(at, func() { action(f) })
	}
	if f.scenario.items {
		f.planItems()
	}
	f.after(unevenStep, f.work)
	for f.now < time.Duration(f.scenario.waves)*wavePeriod {
		event := heap.Pop(&f.events).(waveEvent)
		f.now = event.at
		if event.action != nil {
			event.action()
		}
	}
	return f
}

// lateShare returns the fraction of requests that were not in time.
func (f *unevenFleet) lateShare() float64 { return 1 - float64(f.inTime)/float64(f.requests) }

// busiest returns the highest load of a worker in waves, as requests per potential work, relative
// to the mean of all workers.
func (f *unevenFleet) busiest() float64 {
	got, work, most := 0, 0.0, 0.0
	for _, w := range f.workers {
		got += w.got
		work += w.potentialWork
		most = max(most, float64(w.got)/w.potentialWork)
	}
	return most / (float64(got) / work)
}

// addWorkers adds the counts of another run's workers, and returns the fleet.
func (f *unevenFleet) addWorkers(other *unevenFleet) *unevenFleet {
	if other == nil {
		return f
	}
	for i, w := range other.workers {
		f.workers[i].got += w.got
		f.workers[i].potentialWork += w.potentialWork
	}
	return f
}

// unevenness returns the ratio of the highest to the lowest fraction of late requests among the
// zones.
func (f *unevenFleet) unevenness() float64 {
	least, most := math.Inf(1), 0.0
	for zone := range f.byZone {
		late := 1 - float64(f.inTimeByZone[zone])/float64(f.byZone[zone])
		least, most = min(least, late), max(most, late)
	}
	return most / max(least, 0.001)
}

func (f *unevenFleet) String() string {
	return fmt.Sprintf("%d preempted, %d requests, %.3f late, late ratio of zones %.2f, changed zones %.3f, queued %.1f, idle while queued %.1f, busiest %.2f, mean time %v", f.stopped, f.requests, f.lateShare(), f.unevenness(), float64(f.changedZones)/float64(f.requests), float64(f.queued)/float64(f.waveSteps), float64(f.idled)/float64(f.waveSteps), f.busiest(), (f.totalTime / time.Duration(f.requests)).Round(time.Millisecond))
}
