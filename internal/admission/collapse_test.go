package admission_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/admission"
	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

// Parameters of the simulated pool.
const (
	simZones    = 3
	simWorkers  = 45
	simSlots    = 8
	simEdges    = 51
	simHoldTime = 750 * time.Millisecond
	// simHoldTimeSpread is the largest relative deviation of a hold time from simHoldTime.
	simHoldTimeSpread = 0.2
	simFirstEventTime = 80 * time.Millisecond
	simGoal           = 300 * time.Millisecond
	simTimeLeft       = 5 * time.Second
	// simNetworkDelay is the one-way delay of a message within a zone.
	simNetworkDelay = 500 * time.Microsecond
	// simThroughput is the capacity of the slots, simBaseRate the normal load; both are in
	// requests a second.
	simThroughput = float64(simWorkers*simSlots) / (float64(simHoldTime) / float64(time.Second))
	simBaseRate   = 0.9 * simThroughput
	// simPollInterval is the time between two polls for a free slot while requests wait.
	simPollInterval = 10 * time.Millisecond
	// simMaxQueued bounds the requests that wait at an edge.
	simMaxQueued = 256
)

var simStart = time.Unix(1000, 0)

// simEvent is an action at a point in virtual time.
type simEvent struct {
	at       time.Duration
	sequence int
	action   func()
}

type simEvents []simEvent

// Len implements heap.Interface.
func (e simEvents) Len() int { return len(e) }

// Less implements heap.Interface.
func (e simEvents) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].sequence < e[b].sequence
}

// Swap implements heap.Interface.
func (e simEvents) Swap(a, b int) { e[a], e[b] = e[b], e[a] }

// Push implements heap.Interface.
func (e *simEvents) Push(event any) { *e = append(*e, event.(simEvent)) }

// Pop implements heap.Interface.
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simWorker runs requests in the order of their arrival, up to simSlots at once.
type simWorker struct {
	running int
	waiting []*simRequest
}

// simRequest is one attempt of a caller.
type simRequest struct {
	firstAttemptAt time.Duration
	arrivedAt      time.Duration
	attempts       int
	edge           *simEdge
	entry          admission.Entry
	lease          *balance.Lease
	ended          bool
	queued         bool
	served         bool
}

func (r *simRequest) deadline() time.Duration { return r.firstAttemptAt + simTimeLeft }

// simEdge is an edge with its state.
type simEdge struct {
	number   int
	table    *balance.Table
	route    admission.Route
	overload admission.Overload
	queue    *admission.Queue
	waiting  map[*admission.Entry]*simRequest
	polling  bool
}

// simulation runs callers, edges, hubs and workers in virtual time.
type simulation struct {
	random   *rand.Rand
	now      time.Duration
	events   simEvents
	sequence int
	queueing bool
	edges    []*simEdge
	hubs     []*loadshare.Hub
	top      *loadshare.Hub
	workers  map[string]*simWorker
	// baseRate is the load without a burst in requests a second. From burstFrom to burstUntil it
	// is multiplied by burstFactor.
	baseRate    float64
	burstFactor float64
	burstFrom   time.Duration
	burstUntil  time.Duration
	// arrivedAt holds the arrival times of requests, inTime the times of first events that met
	// their goal, late those of first events that missed it.
	arrivedAt, inTime, late               []time.Duration
	retriesScheduled, rejected, abandoned int
	queued, longestQueue                  int
	reportsExchanged                      int
}

func newSimulation(seed uint64, queueing bool) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), queueing: queueing, top: loadshare.NewHub(), workers: map[string]*simWorker{}, baseRate: simBaseRate, burstFactor: 1}
	var rows []wire.PoolWorker
	for number := range simWorkers {
		worker := wire.PoolWorker{ID: fmt.Sprintf("w%d", number), Pool: "p", Zone: fmt.Sprintf("z%d", number%simZones), Slots: simSlots}
		rows = append(rows, worker)
		s.workers[worker.ID] = &simWorker{}
	}
	set := workerset.Of(rows)
	for range simZones {
		s.hubs = append(s.hubs, loadshare.NewHub())
	}
	for number := range simEdges {
		table := balance.NewTable(fmt.Sprintf("z%d", number%simZones), rand.New(rand.NewPCG(seed, uint64(number))))
		table.Update(simStart, set, nil)
		s.edges = append(s.edges, &simEdge{number: number, table: table, queue: admission.NewQueue(admission.Bounds{Requests: simMaxQueued, Bytes: 1 << 20}), waiting: map[*admission.Entry]*simRequest{}})
	}
	return s
}

func (s *simulation) after(delay time.Duration, action func()) {
	s.sequence++
	heap.Push(&s.events, simEvent{s.now + delay, s.sequence, action})
}

func (s *simulation) clock() time.Time { return simStart.Add(s.now) }

// sendReport sends the loads of an edge to its hub.
func (s *simulation) sendReport(e *simEdge) {
	report := &wire.LoadReport{Source: uint32(e.number + 1), Workers: e.table.Loads()}
	s.after(simNetworkDelay, func() { s.hubs[e.number%simZones].ApplyReport(s.clock(), report) })
}

// exchangeReports sends the loads of an edge to its hub, applies those of its peers, and calls
// then.
func (s *simulation) exchangeReports(e *simEdge, then func()) {
	s.reportsExchanged++
	hub, source := s.hubs[e.number%simZones], uint32(e.number+1)
	report := &wire.LoadReport{Source: source, Workers: e.table.Loads()}
	s.after(simNetworkDelay, func() {
		hub.ApplyReport(s.clock(), report)
		others := hub.PeerLoads(s.clock(), source)
		s.after(simNetworkDelay, func() {
			e.table.SetPeerLoads(s.clock(), others, balance.ScopeAll)
			then()
		})
	})
}

// syncHub sends the sums of a zone's hub to the top hub, applies those of the other zones, and
// repeats that every loadshare.Interval.
func (s *simulation) syncHub(zone int) {
	source := uint32(1000 + zone)
	if sums := s.hubs[zone].Sums(s.clock(), source); sums != nil {
		s.top.ApplyReport(s.clock(), sums)
	}
	update := s.top.UpdateFor(s.clock(), source)
	s.hubs[zone].SetParentLoads(s.clock(), update.Rows, update.UnlistedRate, update.Omitted > 0)
	s.after(loadshare.Interval, func() { s.syncHub(zone) })
}

// scheduleArrivals lets callers arrive at random times.
func (s *simulation) scheduleArrivals() {
	perSecond := s.baseRate
	if s.now >= s.burstFrom && s.now < s.burstUntil {
		perSecond *= s.burstFactor
	}
	s.after(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		s.attempt(s.now, 1)
		s.scheduleArrivals()
	})
}

// attempt sends a request of a caller whose first attempt was at firstAttemptAt.
func (s *simulation) attempt(firstAttemptAt time.Duration, attempts int) {
	edge := s.edges[s.random.IntN(simEdges)]
	r := &simRequest{firstAttemptAt: firstAttemptAt, arrivedAt: s.now, attempts: attempts, edge: edge}
	s.arrivedAt = append(s.arrivedAt, s.now)
	edge.route.ObserveArrival(r.deadline() - s.now)
	s.after(r.deadline()-s.now, func() { s.abandon(r) })
	s.exchangeReports(edge, func() { s.decide(r) })
}

// abandon ends a request at its deadline unless a worker has started it.
func (s *simulation) abandon(r *simRequest) {
	if r.ended || r.served {
		return
	}
	r.ended = true
	s.abandoned++
	delete(r.edge.waiting, &r.entry)
	r.edge.queue.Remove(&r.entry)
	if r.lease != nil {
		r.lease.Release()
	}
}

func (s *simulation) decide(r *simRequest) {
	if s.queueing {
		s.decideQueued(r)
		return
	}
	e := r.edge
	lease := e.table.Acquire(s.clock(), &balance.Request{Pool: "p"})
	e.overload.Observe(s.clock(), lease.Wait, simGoal)
	request := admission.Request{TimeLeft: r.deadline() - s.now, MaxTimeLeft: e.route.MaxTimeLeft(), Goal: simGoal, FirstEventTime: e.route.FirstEventTime(), Wait: lease.Wait, OverloadTimeLeft: e.overload.TimeLeft(s.clock())}
	if retryAfter := admission.Decide(&request, s.random.Float64()); retryAfter > 0 {
		lease.Release()
		s.reject(r, retryAfter)
		return
	}
	s.send(r, lease)
}

// findCandidate returns the best worker for a request.
func (s *simulation) findCandidate(e *simEdge, releasedWorker string) (*balance.Candidate, admission.Candidate) {
	candidate := e.table.FindCandidate(s.clock(), &balance.Request{Pool: "p"}, balance.SearchOptions{Peers: simEdges, ReleasedWorker: releasedWorker})
	return candidate, admission.Candidate{Full: candidate.Full, Wait: candidate.Wait, MaxWait: candidate.MaxWait, Spare: candidate.Spare, LeftToPeers: candidate.LeftToPeers}
}

// dispatch sends a request to the candidate.
func (s *simulation) dispatch(r *simRequest, candidate *balance.Candidate) {
	s.send(r, r.edge.table.AcquireCandidate(s.clock(), &balance.Request{Pool: "p"}, candidate))
}

func (s *simulation) decideQueued(r *simRequest) {
	e := r.edge
	timeLeft := r.deadline() - s.now
	age, retried := admission.DetectRetry(e.route.MaxTimeLeft(), timeLeft, simGoal)
	if !retried {
		age = 0
	}
	r.entry = admission.Entry{GoalDeadline: s.clock().Add(simGoal - age), Deadline: s.clock().Add(timeLeft), Retried: retried, Arrived: s.clock(), Goal: simGoal, FirstEventTime: e.route.FirstEventTime(), Bytes: 1}
	candidate, admissionCandidate := s.findCandidate(e, "")
	e.overload.Observe(s.clock(), candidate.Wait, simGoal)
	supply := admission.Supply{Throughput: e.table.Throughput("p", simEdges), OverloadTimeLeft: e.overload.TimeLeft(s.clock())}
	decision := e.queue.Admit(s.clock(), &admission.Arrival{Entry: &r.entry, Candidate: admissionCandidate, Supply: supply, TimeLeft: timeLeft, MaxTimeLeft: e.route.MaxTimeLeft()}, s.random.Float64())
	for i := range decision.Displaced {
		displaced := &decision.Displaced[i]
		other := e.waiting[displaced.Entry]
		delete(e.waiting, displaced.Entry)
		s.reject(other, displaced.RetryAfter)
	}
	switch decision.Result {
	case admission.Dispatched:
		s.dispatch(r, candidate)
	case admission.Queued:
		e.waiting[&r.entry] = r
		r.queued = true
		s.queued++
		s.longestQueue = max(s.longestQueue, e.queue.Len())
		s.dispatchNext(e, "")
		s.poll(e)
	default:
		s.reject(r, decision.RetryAfter)
	}
}

// dispatchNext dispatches the first waiting request if it may go, and reports whether it did.
func (s *simulation) dispatchNext(e *simEdge, releasedWorker string) bool {
	first := e.queue.First(s.clock())
	if first == nil {
		return false
	}
	candidate, admissionCandidate := s.findCandidate(e, releasedWorker)
	if !e.queue.TryDispatch(s.clock(), first, admissionCandidate) {
		return false
	}
	r := e.waiting[first]
	delete(e.waiting, first)
	s.dispatch(r, candidate)
	return true
}

// poll looks for a free slot at each simPollInterval while requests wait.
func (s *simulation) poll(e *simEdge) {
	if e.polling {
		return
	}
	e.polling = true
	var poll func()
	poll = func() {
		if e.queue.Len() == 0 {
			e.polling = false
			return
		}
		s.exchangeReports(e, func() {
			wait := simPollInterval
			if s.dispatchNext(e, "") {
				wait = 2 * simNetworkDelay
			}
			s.after(wait, poll)
		})
	}
	s.after(simPollInterval, poll)
}

func (s *simulation) reject(r *simRequest, retryAfter time.Duration) {
	r.ended = true
	if r.attempts > 1 {
		s.rejected++
		return
	}
	s.retriesScheduled++
	s.after(retryAfter, func() { s.attempt(r.firstAttemptAt, r.attempts+1) })
}

// send sends a request to its worker.
func (s *simulation) send(r *simRequest, lease *balance.Lease) {
	r.lease = lease
	s.sendReport(r.edge)
	s.after(simNetworkDelay, func() {
		worker := s.workers[lease.Endpoint.ID]
		worker.waiting = append(worker.waiting, r)
		s.runNext(worker)
	})
}

// runNext runs waiting requests of a worker while it has a free slot.
func (s *simulation) runNext(w *simWorker) {
	for w.running < simSlots && len(w.waiting) > 0 {
		r := w.waiting[0]
		w.waiting = w.waiting[1:]
		if r.ended {
			continue
		}
		w.running++
		r.served = true
		holdTime := time.Duration(float64(simHoldTime) * (1 + simHoldTimeSpread*(2*s.random.Float64()-1)))
		s.after(simFirstEventTime, func() { s.recordFirstEvent(r) })
		s.after(holdTime, func() {
			w.running--
			s.runNext(w)
			r.lease.RecordAnswer(s.clock(), true)
			r.lease.Release()
			if s.queueing {
				s.dispatchNext(r.edge, r.lease.Endpoint.ID)
			}
		})
	}
}

// recordFirstEvent records the first event of a request.
func (s *simulation) recordFirstEvent(r *simRequest) {
	elapsed := s.now - r.arrivedAt
	if r.lease.Wait <= 0 && !r.queued {
		r.edge.route.ObserveFirstEvent(elapsed)
	}
	if elapsed <= simGoal {
		s.inTime = append(s.inTime, s.now)
		return
	}
	s.late = append(s.late, s.now)
}

func (s *simulation) run(until time.Duration) {
	for zone := range simZones {
		s.syncHub(zone)
	}
	for _, edge := range s.edges {
		var report func()
		report = func() {
			s.exchangeReports(edge, func() {})
			s.after(loadshare.MaxInterval, report)
		}
		s.after(time.Duration(edge.number)*time.Millisecond, report)
	}
	s.scheduleArrivals()
	for s.now < until {
		event := heap.Pop(&s.events).(simEvent)
		s.now = event.at
		event.action()
	}
}

// countBetween counts the times in [from, until).
func countBetween(times []time.Duration, from, until time.Duration) (count float64) {
	for _, at := range times {
		if at >= from && at < until {
			count++
		}
	}
	return count
}

func (s *simulation) log(t *testing.T, until time.Duration) {
	t.Helper()
	for at := time.Duration(0); at < until; at += time.Second {
		t.Logf("%s: %.0f arrivals, %.0f in time, %.0f late", at, countBetween(s.arrivedAt, at, at+time.Second), countBetween(s.inTime, at, at+time.Second), countBetween(s.late, at, at+time.Second))
	}
	t.Logf("%d retries scheduled, %d rejected for good, %d abandoned, longest queue %d, %d report exchanges", s.retriesScheduled, s.rejected, s.abandoned, s.longestQueue, s.reportsExchanged)
}

const (
	burstFrom    = 6 * time.Second
	burstUntil   = burstFrom + 5*time.Second
	recoveryTime = 2 * time.Second
	burstFactor  = 3
)

// runBurst simulates three times the load for 5 s. It returns the requests that met their goals
// during the burst, as a fraction of the capacity of the slots, and the requests that met their
// goals after the burst, as a fraction of that capacity or of the arrivals, whichever is less.
func runBurst(t *testing.T, seed uint64, queueing bool) (during, after float64) {
	t.Helper()
	s := newSimulation(seed, queueing)
	s.burstFactor, s.burstFrom, s.burstUntil = burstFactor, burstFrom, burstUntil
	end := burstUntil + recoveryTime
	s.run(end + 2*time.Second)
	s.log(t, end+2*time.Second)
	during = countBetween(s.inTime, burstFrom, burstUntil) / (simThroughput * (burstUntil - burstFrom).Seconds())
	attainable := min(simThroughput*recoveryTime.Seconds(), countBetween(s.arrivedAt, burstUntil, end))
	return during, countBetween(s.inTime, burstUntil, end) / attainable
}

// TestNoCollapse simulates three times the load for 5 s and the normal load after it. During the
// burst, requests that make up 90% of the capacity must meet their goals, and after the burst
// nearly all that can. Without a queue, requests that have waited too long hold the slots that new
// requests need. The test checks that this collapse occurs without a queue, because otherwise the
// simulation proves nothing.
func TestNoCollapse(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		in, after := runBurst(t, seed, true)
		t.Logf("seed %d: in time: %.3f in the burst, %.3f after it", seed, in, after)
		if in < 0.9 || after < 0.95 {
			t.Errorf("seed %d: in time %.3f in the burst, %.3f after it", seed, in, after)
		}
	}
	in, after := runBurst(t, 1, false)
	t.Logf("without a queue: in time: %.3f in the burst, %.3f after it", in, after)
	if after >= 0.95 {
		t.Errorf("the simulation shows no collapse without a queue: in time: %.3f in the burst, %.3f after it", in, after)
	}
}

// TestQueueIsNearlyEmptyBelowCapacity simulates loads below the capacity with and without a queue.
// The same fraction of requests must meet their goals, and the lower the load, the fewer may wait
// at an edge.
func TestQueueIsNearlyEmptyBelowCapacity(t *testing.T) {
	const duration = 6 * time.Second
	for _, test := range []struct {
		load      float64
		maxQueued float64
	}{{0.5, 0.01}, {0.7, 0.02}, {0.8, 0.05}} {
		var inTime [2]float64
		for mode, queueing := range []bool{false, true} {
			s := newSimulation(4, queueing)
			s.baseRate = test.load * simThroughput
			s.run(duration)
			arrivals := float64(len(s.arrivedAt))
			inTime[mode] = float64(len(s.inTime)) / (float64(len(s.inTime)) + float64(len(s.late)))
			t.Logf("load %g, queueing %t: %.0f arrivals, %.4f in time, %d queued, %d retries scheduled", test.load, queueing, arrivals, inTime[mode], s.queued, s.retriesScheduled)
			if fraction := float64(s.queued) / arrivals; fraction > test.maxQueued {
				t.Errorf("load %g: a fraction of %.3f waited at an edge", test.load, fraction)
			}
		}
		if inTime[1] < inTime[0]-0.002 {
			t.Errorf("load %g: %.4f in time, %.4f without a queue", test.load, inTime[1], inTime[0])
		}
	}
}

const (
	// restartCallers is the number of callers that retry when all processes have restarted,
	// restartTimeLeft the time until their deadlines.
	restartCallers  = 1000
	restartTimeLeft = 4500 * time.Millisecond
	restartAt       = 200 * time.Millisecond
	// restartSpread is the time within which they arrive.
	restartSpread = 300 * time.Millisecond
)

// runRestart simulates many callers that arrive within a short time at edges without any
// observations, beside the normal load. It returns the requests that met their goals from the third
// second on, as a fraction of the capacity of the slots or of the arrivals, whichever is less.
func runRestart(t *testing.T, seed uint64, queueing bool) float64 {
	t.Helper()
	s := newSimulation(seed, queueing)
	for range restartCallers {
		s.after(restartAt+time.Duration(s.random.Int64N(int64(restartSpread))), func() { s.attempt(s.now+restartTimeLeft-simTimeLeft, 2) })
	}
	from, until := restartAt+2*time.Second, restartAt+6*time.Second
	s.run(until)
	s.log(t, until)
	attainable := min(simThroughput*(until-from).Seconds(), countBetween(s.arrivedAt, from, until))
	return countBetween(s.inTime, from, until) / attainable
}

// TestNoCollapseAfterRestart simulates the retries of all disconnected callers within a short time,
// at edges that know neither hold times nor callers' deadlines. In this case all slots are released
// together, at a time when few waiting requests can meet their goals. So late requests take the
// slots and hold them for a while; the effect fades from one hold time to the next.
func TestNoCollapseAfterRestart(t *testing.T) {
	const minInTime, maxInTimeWithoutQueue = 0.75, 0.5
	for seed := uint64(1); seed <= 2; seed++ {
		after := runRestart(t, seed, true)
		t.Logf("seed %d: %.3f from the third second on", seed, after)
		if after < minInTime {
			t.Errorf("seed %d: in time %.3f from the third second on", seed, after)
		}
	}
	after := runRestart(t, 1, false)
	t.Logf("without a queue: %.3f", after)
	if after >= maxInTimeWithoutQueue {
		t.Errorf("the simulation shows no collapse without a queue: in time %.3f", after)
	}
}
