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

// Times that the simulations assume.
const (
	simTick = 5 * time.Millisecond
	// simReportAge is the age of the online counts that the planner gets.
	simReportAge = 75 * time.Millisecond
	// simEventTime is the time between events, simPrefillTime the time to process a prompt.
	simEventTime        = 45 * time.Millisecond
	simPrefillTime      = 40 * time.Millisecond
	simRestTime         = 200 * time.Millisecond
	simDue              = 18 * time.Second
	simPollInterval     = 20 * time.Millisecond
	localReportInterval = 20 * time.Millisecond
	reportInterval      = 50 * time.Millisecond
)

// scenario describes a simulation of a fleet in virtual time: online requests come in waves,
// items use the slots that remain, and runners report to a single planner.
type scenario struct {
	workers, slots    int
	onlinePerSecond   float64
	lowRate, highRate float64
	lowTime, highTime time.Duration
	holdTime          time.Duration
	itemsPerSecond    float64
	events            func(random *rand.Rand) int
	duration          time.Duration
	// zoneWeights is the relative rate of the requests of each zone, nil for a single zone. A
	// worker in another zone costs zoneCost slots.
	zoneWeights []float64
	// ignoreZones is set if the planner does not know the zones.
	ignoreZones bool
	// erratic is set if waves and the times between them differ in length.
	erratic bool
	// ignoreRises is set if the planner does not react to a rise that has just begun.
	ignoreRises bool
	// useForecast is set if the planner has a forecast.
	useForecast bool
	// onTick changes the simulation at each tick if it is set.
	onTick func(s *simulation, now time.Duration)
}

// fleet360 returns a fleet of 360 slots, of which online requests need 130 and items 98 on
// average.
func fleet360() *scenario {
	return &scenario{
		workers: 45, slots: 8, onlinePerSecond: 171, lowRate: 0.378, highRate: 1.85,
		lowTime: 3 * time.Second, highTime: 2200 * time.Millisecond, holdTime: 760 * time.Millisecond,
		itemsPerSecond: 19, events: func(random *rand.Rand) int { return 102 + random.Intn(24) },
		duration: 60 * time.Second, useForecast: true,
	}
}

// fleet576 returns a fleet of 576 slots, fewer than waves and items need together: online
// requests need 250 on average and 465 in waves, items 202.
func fleet576() *scenario {
	p := fleet360()
	p.workers, p.onlinePerSecond, p.holdTime = 72, 334, 750*time.Millisecond
	p.itemsPerSecond, p.events = 41, func(random *rand.Rand) int { return 98 + random.Intn(24) }
	return p
}

// rate returns how many online requests arrive per second.
func (s *simulation) rate() float64 {
	switch {
	case s.highTime == 0:
		return s.onlinePerSecond
	case s.erratic:
		if s.now >= s.phaseEnd {
			s.inWave = !s.inWave
			duration := s.lowTime
			if s.inWave {
				duration = s.highTime
			}
			s.phaseEnd = s.now + time.Duration((0.3+1.4*s.random.Float64())*float64(duration))
		}
	default:
		s.inWave = !s.wavesEnded && (s.now+s.shift)%(s.lowTime+s.highTime) >= s.lowTime
	}
	if s.inWave {
		return s.highRate * s.onlinePerSecond
	}
	return s.lowRate * s.onlinePerSecond
}

// simItem is an item. simRun is an online request or an item at a worker.
type simItem struct {
	number    int
	submitted time.Duration
	events    int
	completed int
	runs      int
	resumeAt  time.Duration
	run       *simRun
}

type simRun struct {
	item      *simItem
	worker    int
	arrivedAt time.Duration
	startedAt time.Duration
	endsAt    time.Duration
	preemptAt time.Duration
	runner    *simRunner
	// behindItem is set if the run waited for a slot while an item held one.
	behindItem bool
}

type simRunner struct {
	name       uint32
	interval   time.Duration
	nextReport time.Duration
	nextPoll   time.Duration
	items      []*simItem
	orders     map[uint32]Order
	orderedAt  time.Duration
	// leaderless is set while the runner's store group has no leader.
	leaderless bool
}

// outcome is the result of a simulation.
type outcome struct {
	online, waited, itemsDue, inTime, preemptions int
	// maxWait is the longest time that an online request waited behind items, idleShare is the
	// share of the slots that were idle while items waited.
	maxWait time.Duration
	// crossZone is the number of requests that went to another zone.
	crossZone int
	// totalWait is the total time that online requests waited behind items.
	totalWait time.Duration
	idleShare float64
	// late is the number of requests that waited for longer than goalMaxWait.
	late   int
	starts int
}

func (o outcome) waitedShare() float64 { return float64(o.waited) / float64(max(o.online, 1)) }
func (o outcome) inTimeShare() float64 { return float64(o.inTime) / float64(max(o.itemsDue, 1)) }

// simulation is the state of a running scenario.
type simulation struct {
	*scenario
	random   *rand.Rand
	now      time.Duration
	online   []int
	items    []int
	running  [][]*simRun
	queues   [][]*simRun
	planner  *Planner
	forecast *forecast.Forecast
	// observed holds the online counts that the planner will get, the oldest first.
	observed    [][]int
	runners     []*simRunner
	lastNumber  int
	meanRunTime batchplan.RunTime
	result      outcome
	// measureFrom is the time from which results count, plannerBackAt the time until which no
	// planner answers.
	measureFrom   time.Duration
	plannerBackAt time.Duration
	slotTicks     float64
	idleTicks     float64
	rateFactor    float64
	// inWave is set during a wave. phaseEnd is when an erratic phase ends.
	inWave   bool
	phaseEnd time.Duration
	// wavesEnded is set once no more waves come. shift is by how much the waves are early.
	wavesEnded bool
	shift      time.Duration
	// learntAt is when the forecast became confident.
	learntAt time.Duration
	// zoneNames holds the zone of each worker, zoneSlots the number of slots by zone.
	zoneNames []string
	zoneSlots map[string]int
}

func newSimulation(p *scenario, seed int64) *simulation {
	own := *p
	s := &simulation{scenario: &own, random: rand.New(rand.NewSource(seed)), planner: New(), forecast: forecast.New(), rateFactor: 1, measureFrom: 4 * (p.lowTime + p.highTime)}
	if p.highTime == 0 {
		s.measureFrom = 10 * time.Second
	}
	s.online, s.items = make([]int, p.workers), make([]int, p.workers)
	s.zoneSlots = map[string]int{}
	for worker := range p.workers {
		name := fmt.Sprint(s.zoneOf(worker))
		s.zoneNames = append(s.zoneNames, name)
		s.zoneSlots[name] += p.slots
	}
	s.running, s.queues = make([][]*simRun, p.workers), make([][]*simRun, p.workers)
	for i, interval := range []time.Duration{localReportInterval, reportInterval, reportInterval} {
		s.runners = append(s.runners, &simRunner{name: uint32(i + 1), interval: interval, nextReport: time.Duration(i) * 7 * time.Millisecond})
	}
	return s
}

// run runs the scenario.
func (p *scenario) run(seed int64) outcome {
	s := newSimulation(p, seed)
	for ; s.now < p.duration; s.now += simTick {
		if p.onTick != nil {
			p.onTick(s, s.now)
		}
		s.step()
	}
	for _, r := range s.runners {
		for _, item := range r.items {
			if s.isMeasured(item) {
				s.result.itemsDue++
			}
		}
	}
	s.result.idleShare = s.idleTicks / max(s.slotTicks, 1)
	return s.result
}

func (s *simulation) step() {
	if s.forecast.Peak(start.Add(s.now), 0).Confident && s.learntAt == 0 {
		s.learntAt = s.now
		s.measureFrom = max(s.measureFrom, s.now)
	}
	s.endRuns()
	for range s.randomCount(s.rate() * s.rateFactor) {
		s.arrive()
	}
	for range s.randomCount(s.itemsPerSecond) {
		s.submit()
	}
	s.fillSlots()
	s.recordOnline()
	for _, r := range s.runners {
		if s.now >= r.nextReport {
			r.nextReport = s.now + r.interval
			s.report(r)
		}
		if s.now >= r.nextPoll {
			r.nextPoll = s.now + simPollInterval
			s.poll(r)
		}
	}
	s.fillSlots()
	s.measure()
}

func (s *simulation) randomCount(perSecond float64) int {
	limit, product, count := math.Exp(-perSecond*simTick.Seconds()), s.random.Float64(), 0
	for product > limit {
		product *= s.random.Float64()
		count++
	}
	return count
}

func (s *simulation) submit() {
	s.lastNumber++
	item := &simItem{number: s.lastNumber, submitted: s.now, events: s.events(s.random)}
	r := s.runners[s.lastNumber%len(s.runners)]
	r.items = append(r.items, item)
}

// arrive sends an online request to the cheapest of a random half of the workers.
func (s *simulation) arrive() {
	bestWorker, leastCost := -1, 0.0
	zone := s.randomZone()
	for range max(s.workers/2, 1) {
		worker := s.random.Intn(s.workers)
		cost := float64(s.online[worker]) + 0.9*float64(s.items[worker])
		if s.zoneOf(worker) != zone {
			cost += zoneCost
		}
		if bestWorker < 0 || cost < leastCost {
			bestWorker, leastCost = worker, cost
		}
	}
	if s.zoneOf(bestWorker) != zone && s.now >= s.measureFrom {
		s.result.crossZone++
	}
	s.enqueue(&simRun{worker: bestWorker, arrivedAt: s.now})
	if s.now >= s.measureFrom {
		s.result.online++
	}
}

// zoneCost is the cost of a worker in another zone, in slots.
const zoneCost = 2

// zoneOf returns the zone of a worker.
func (s *simulation) zoneOf(worker int) int { return worker % max(len(s.zoneWeights), 1) }

// randomZone returns the zone of a new request.
func (s *simulation) randomZone() int {
	sum := 0.0
	for _, weight := range s.zoneWeights {
		sum += weight
	}
	point := s.random.Float64() * sum
	for zone, weight := range s.zoneWeights {
		if point -= weight; point < 0 {
			return zone
		}
	}
	return 0
}

// enqueue adds a run to its worker's queue.
func (s *simulation) enqueue(run *simRun) {
	s.queues[run.worker] = append(s.queues[run.worker], run)
	s.countAt(run, 1)
}

// countAt changes the number of online requests or items at a run's worker.
func (s *simulation) countAt(run *simRun, change int) {
	if run.item == nil {
		s.online[run.worker] += change
	} else {
		s.items[run.worker] += change
	}
}

func (s *simulation) fillSlots() {
	for worker := range s.running {
		for len(s.queues[worker]) > 0 && len(s.running[worker]) < s.slots {
			run := s.queues[worker][0]
			s.queues[worker] = s.queues[worker][1:]
			s.startRun(run)
		}
	}
}

func (s *simulation) startRun(run *simRun) {
	run.startedAt = s.now
	run.endsAt = s.now + s.holdTime
	if run.item != nil {
		run.endsAt = s.now + simPrefillTime + time.Duration(run.item.events-run.item.completed)*simEventTime
	} else if wait := s.now - run.arrivedAt; run.behindItem && s.now >= s.measureFrom {
		s.result.waited++
		if wait > goalMaxWait {
			s.result.late++
		}
		s.result.maxWait = max(s.result.maxWait, wait)
		s.result.totalWait += wait
	}
	s.running[run.worker] = append(s.running[run.worker], run)
}

func (s *simulation) endRuns() {
	for worker := range s.running {
		s.running[worker] = slices.DeleteFunc(s.running[worker], func(run *simRun) bool {
			switch {
			case run.preemptAt > 0 && s.now >= run.preemptAt:
				s.preempt(run)
				s.countAt(run, -1)
				return true
			case s.now >= run.endsAt:
				if run.item != nil {
					s.completeItem(run)
				}
				s.countAt(run, -1)
				return true
			}
			return false
		})
	}
}

// preempt removes an item from its worker. The item resumes later.
func (s *simulation) preempt(run *simRun) {
	item := run.item
	item.completed = min(item.completed+int(max(s.now-run.startedAt-simPrefillTime, 0)/simEventTime), item.events-1)
	item.run, item.resumeAt = nil, s.now+simRestTime
	s.result.preemptions++
}

func (s *simulation) completeItem(run *simRun) {
	item := run.item
	if item.runs == 1 {
		s.meanRunTime.Add(s.now-run.startedAt, item.events)
	}
	run.runner.items = slices.DeleteFunc(run.runner.items, func(other *simItem) bool { return other == item })
	if !s.isMeasured(item) {
		return
	}
	s.result.itemsDue++
	if s.now-item.submitted <= simDue {
		s.result.inTime++
	}
}

// isMeasured reports whether an item is submitted and due while results count.
func (s *simulation) isMeasured(item *simItem) bool {
	return item.submitted >= s.measureFrom && item.submitted+simDue <= s.duration
}

// recordOnline stores the online counts that the planner will get.
func (s *simulation) recordOnline() {
	s.observed = append(s.observed, slices.Clone(s.online))
	if len(s.observed) > int(simReportAge/simTick)+1 {
		s.observed = s.observed[1:]
	}
}

// workersForPlanner returns the workers as the planner gets them.
func (s *simulation) workersForPlanner() Workers {
	workers := Workers{Busy: make([]Worker, 0, s.workers), Sample: func(int) []Worker { return nil }}
	total := 0
	for worker, online := range s.observed[0] {
		total += online
		workers.Busy = append(workers.Busy, Worker{ShortName: uint32(worker + 1), Pool: "p", Zone: s.zoneNames[worker], Slots: s.slots, Online: online, HoldTime: s.holdTime, MaxWait: simMaxWait})
	}
	if s.useForecast {
		now := start.Add(s.now)
		s.forecast.Observe(now, float64(total))
		workers.Forecasts = []Forecast{{
			Pool: "p", Slots: s.workers * s.slots, ReportAge: simReportAge, Paused: !s.forecast.WarmedUp(),
			Peak: func(ahead time.Duration) forecast.Demand {
				demand := s.forecast.Peak(now, ahead)
				if s.ignoreRises && demand.Rising {
					return forecast.Demand{Slots: s.forecast.Peak(now, 0).Slots}
				}
				return demand
			},
		}}
		if !s.ignoreZones {
			workers.Forecasts[0].ZoneSlots = s.zoneSlots
		}
	}
	return workers
}
