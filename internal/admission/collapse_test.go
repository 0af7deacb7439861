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

// The pool that is played.
const (
	playZones   = 3
	playWorkers = 45
	playSlots   = 8
	playEdges   = 51
	playHold    = 750 * time.Millisecond
	// playSpread is by how much a hold is longer or shorter at most, in parts.
	playSpread = 0.2
	playBegin  = 80 * time.Millisecond
	playGoal   = 300 * time.Millisecond
	playTime   = 5 * time.Second
	// playWay is how long a message is on its way in a zone.
	playWay = 500 * time.Microsecond
	// playMade is how many requests the slots make in a second, playUsual how many come.
	playMade  = float64(playWorkers*playSlots) / (float64(playHold) / float64(time.Second))
	playUsual = 0.9 * playMade
	// playPoll is the time between two looks for room while something waits.
	playPoll = 10 * time.Millisecond
	// playClaims bounds what waits at an edge.
	playClaims = 256
)

var playStart = time.Unix(1000, 0)

// playEvent is something that happens at a moment.
type playEvent struct {
	at     time.Duration
	number int
	action func()
}

type playEvents []playEvent

// Len implements heap.Interface.
func (e playEvents) Len() int { return len(e) }

// Less implements heap.Interface.
func (e playEvents) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].number < e[b].number
}

// Swap implements heap.Interface.
func (e playEvents) Swap(a, b int) { e[a], e[b] = e[b], e[a] }

// Push implements heap.Interface.
func (e *playEvents) Push(event any) { *e = append(*e, event.(playEvent)) }

// Pop implements heap.Interface.
func (e *playEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// playWorker runs requests in the order in which they come, so many at once.
type playWorker struct {
	running int
	waiting []*playRequest
}

// playRequest is an attempt of a caller.
type playRequest struct {
	first  time.Duration
	came   time.Duration
	tries  int
	edge   *playEdge
	claim  admission.Entry
	lease  *balance.Lease
	gone   bool
	queued bool
	served bool
}

func (r *playRequest) leaves() time.Duration { return r.first + playTime }

// playEdge is an edge with what it knows.
type playEdge struct {
	number   int
	table    *balance.Table
	route    admission.Route
	overload admission.Overload
	queue    *admission.Queue
	waiting  map[*admission.Entry]*playRequest
	polling  bool
}

// play is callers, edges, hubs and workers in virtual time.
type play struct {
	random  *rand.Rand
	now     time.Duration
	events  playEvents
	number  int
	queues  bool
	edges   []*playEdge
	hubs    []*loadshare.Hub
	top     *loadshare.Hub
	workers map[string]*playWorker
	// usual is the load without a burst, burst says when and how many times as much comes.
	usual      float64
	burst      float64
	burstFrom  time.Duration
	burstUntil time.Duration
	// came holds when requests came, firsts when first events came that were in time, late
	// when those did that were not.
	came, firsts, late       []time.Duration
	back, refused, abandoned int
	queued, longestQueue     int
	asks                     int
}

func newPlay(seed uint64, queues bool) *play {
	p := &play{random: rand.New(rand.NewPCG(seed, 1)), queues: queues, top: loadshare.NewHub(), workers: map[string]*playWorker{}, usual: playUsual, burst: 1}
	var rows []wire.PoolWorker
	for number := range playWorkers {
		row := wire.PoolWorker{ID: fmt.Sprintf("w%d", number), Pool: "p", Zone: fmt.Sprintf("z%d", number%playZones), Slots: playSlots}
		rows = append(rows, row)
		p.workers[row.ID] = &playWorker{}
	}
	set := workerset.Of(rows)
	for range playZones {
		p.hubs = append(p.hubs, loadshare.NewHub())
	}
	for number := range playEdges {
		table := balance.NewTable(fmt.Sprintf("z%d", number%playZones), rand.New(rand.NewPCG(seed, uint64(number))))
		table.Update(set, nil)
		p.edges = append(p.edges, &playEdge{number: number, table: table, queue: admission.NewQueue(admission.Bounds{Requests: playClaims, Bytes: 1 << 20}), waiting: map[*admission.Entry]*playRequest{}})
	}
	return p
}

func (p *play) after(wait time.Duration, action func()) {
	p.number++
	heap.Push(&p.events, playEvent{p.now + wait, p.number, action})
}

func (p *play) clock() time.Time { return playStart.Add(p.now) }

// tell brings what an edge has to its hub.
func (p *play) tell(e *playEdge) {
	report := &wire.LoadReport{Source: uint32(e.number + 1), Workers: e.table.Loads()}
	p.after(playWay, func() { p.hubs[e.number%playZones].ApplyReport(p.clock(), report) })
}

// ask brings what the hub knows to the edge, and goes on then.
func (p *play) ask(e *playEdge, then func()) {
	p.asks++
	hub, source := p.hubs[e.number%playZones], uint32(e.number+1)
	report := &wire.LoadReport{Source: source, Workers: e.table.Loads()}
	p.after(playWay, func() {
		hub.ApplyReport(p.clock(), report)
		others := hub.PeerLoads(p.clock(), source)
		p.after(playWay, func() {
			e.table.SetPeerLoads(p.clock(), others, balance.ScopeAll)
			then()
		})
	})
}

// share lets a zone's hub tell the top hub its sums, and learn those of the others.
func (p *play) share(zone int) {
	name := uint32(1000 + zone)
	if sums := p.hubs[zone].Sums(p.clock(), name); sums != nil {
		p.top.ApplyReport(p.clock(), sums)
	}
	told := p.top.UpdateFor(p.clock(), name)
	p.hubs[zone].SetParentLoads(p.clock(), told.Rows, told.UnlistedRate, told.Omitted > 0)
	p.after(loadshare.Interval, func() { p.share(zone) })
}

// arrivals lets callers come.
func (p *play) arrivals() {
	perSecond := p.usual
	if p.now >= p.burstFrom && p.now < p.burstUntil {
		perSecond *= p.burst
	}
	p.after(time.Duration(p.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		p.attempt(p.now, 1)
		p.arrivals()
	})
}

// attempt lets a caller who asked first at that time ask.
func (p *play) attempt(first time.Duration, tries int) {
	edge := p.edges[p.random.IntN(playEdges)]
	r := &playRequest{first: first, came: p.now, tries: tries, edge: edge}
	p.came = append(p.came, p.now)
	edge.route.ObserveArrival(r.leaves() - p.now)
	p.after(r.leaves()-p.now, func() { p.leave(r) })
	p.ask(edge, func() { p.decide(r) })
}

// leave lets a caller go who has no event by now.
func (p *play) leave(r *playRequest) {
	if r.gone || r.served {
		return
	}
	r.gone = true
	p.abandoned++
	delete(r.edge.waiting, &r.claim)
	r.edge.queue.Remove(&r.claim)
	if r.lease != nil {
		r.lease.Release()
	}
}

func (p *play) decide(r *playRequest) {
	if p.queues {
		p.decideInTurn(r)
		return
	}
	e := r.edge
	lease := e.table.Acquire(p.clock(), &balance.Request{Pool: "p"})
	e.overload.Observe(p.clock(), lease.Wait, playGoal)
	request := admission.Request{TimeLeft: r.leaves() - p.now, MaxTimeLeft: e.route.MaxTimeLeft(), Goal: playGoal, FirstEventTime: e.route.FirstEventTime(), Wait: lease.Wait, OverloadTimeLeft: e.overload.TimeLeft(p.clock())}
	if comeback := admission.Decide(&request, p.random.Float64()); comeback > 0 {
		lease.Release()
		p.refuse(r, comeback)
		return
	}
	p.send(r, lease)
}

// look returns the best place at a worker.
func (p *play) look(e *playEdge, given string) (*balance.Candidate, admission.Candidate) {
	place := e.table.FindCandidate(p.clock(), &balance.Request{Pool: "p"}, balance.SearchOptions{Peers: playEdges, ReleasedWorker: given})
	return place, admission.Candidate{Full: place.Full, Wait: place.Wait, MaxWait: place.MaxWait, Spare: place.Spare, LeftToPeers: place.LeftToPeers}
}

// take sends a request to the place.
func (p *play) take(r *playRequest, place *balance.Candidate) {
	p.send(r, r.edge.table.AcquireCandidate(p.clock(), &balance.Request{Pool: "p"}, place))
}

func (p *play) decideInTurn(r *playRequest) {
	e := r.edge
	left := r.leaves() - p.now
	age, returned := admission.DetectRetry(e.route.MaxTimeLeft(), left, playGoal)
	if !returned {
		age = 0
	}
	r.claim = admission.Entry{GoalDeadline: p.clock().Add(playGoal - age), Deadline: p.clock().Add(left), Retried: returned, Arrived: p.clock(), Goal: playGoal, FirstEventTime: e.route.FirstEventTime(), Bytes: 1}
	place, offer := p.look(e, "")
	e.overload.Observe(p.clock(), place.Wait, playGoal)
	room := admission.Supply{Throughput: e.table.Throughput("p", playEdges), OverloadTimeLeft: e.overload.TimeLeft(p.clock())}
	decision := e.queue.Admit(p.clock(), &admission.Arrival{Entry: &r.claim, Candidate: offer, Supply: room, TimeLeft: left, MaxTimeLeft: e.route.MaxTimeLeft()}, p.random.Float64())
	for i := range decision.Displaced {
		displaced := &decision.Displaced[i]
		other := e.waiting[displaced.Entry]
		delete(e.waiting, displaced.Entry)
		p.refuse(other, displaced.RetryAfter)
	}
	switch decision.Result {
	case admission.Dispatched:
		p.take(r, place)
	case admission.Queued:
		e.waiting[&r.claim] = r
		r.queued = true
		p.queued++
		p.longestQueue = max(p.longestQueue, e.queue.Len())
		p.pump(e, "")
		p.poll(e)
	default:
		p.refuse(r, decision.RetryAfter)
	}
}

// pump sends what waits and may go, and reports whether anything went.
func (p *play) pump(e *playEdge, given string) bool {
	first := e.queue.First(p.clock())
	if first == nil {
		return false
	}
	place, offer := p.look(e, given)
	if !e.queue.TryDispatch(p.clock(), first, offer) {
		return false
	}
	r := e.waiting[first]
	delete(e.waiting, first)
	p.take(r, place)
	return true
}

// poll looks for room again and again while something waits.
func (p *play) poll(e *playEdge) {
	if e.polling {
		return
	}
	e.polling = true
	var again func()
	again = func() {
		if e.queue.Len() == 0 {
			e.polling = false
			return
		}
		p.ask(e, func() {
			wait := playPoll
			if p.pump(e, "") {
				wait = 2 * playWay
			}
			p.after(wait, again)
		})
	}
	p.after(playPoll, again)
}

func (p *play) refuse(r *playRequest, comeback time.Duration) {
	r.gone = true
	if r.tries > 1 {
		p.refused++
		return
	}
	p.back++
	p.after(comeback, func() { p.attempt(r.first, r.tries+1) })
}

// send brings a request to its worker.
func (p *play) send(r *playRequest, lease *balance.Lease) {
	r.lease = lease
	p.tell(r.edge)
	p.after(playWay, func() {
		worker := p.workers[lease.Endpoint.ID]
		worker.waiting = append(worker.waiting, r)
		p.work(worker)
	})
}

// work runs what waits at a worker while it has a slot free.
func (p *play) work(w *playWorker) {
	for w.running < playSlots && len(w.waiting) > 0 {
		r := w.waiting[0]
		w.waiting = w.waiting[1:]
		if r.gone {
			continue
		}
		w.running++
		r.served = true
		hold := time.Duration(float64(playHold) * (1 + playSpread*(2*p.random.Float64()-1)))
		p.after(playBegin, func() { p.event(r) })
		p.after(hold, func() {
			w.running--
			p.work(w)
			r.lease.RecordAnswer(p.clock(), true)
			r.lease.Release()
			if p.queues {
				p.pump(r.edge, r.lease.Endpoint.ID)
			}
		})
	}
}

// event takes in the first event of a request.
func (p *play) event(r *playRequest) {
	took := p.now - r.came
	if r.lease.Wait <= 0 && !r.queued {
		r.edge.route.ObserveFirstEvent(took)
	}
	if took <= playGoal {
		p.firsts = append(p.firsts, p.now)
		return
	}
	p.late = append(p.late, p.now)
}

func (p *play) run(until time.Duration) {
	for zone := range playZones {
		p.share(zone)
	}
	for _, edge := range p.edges {
		var again func()
		again = func() {
			p.ask(edge, func() {})
			p.after(loadshare.MaxInterval, again)
		}
		p.after(time.Duration(edge.number)*time.Millisecond, again)
	}
	p.arrivals()
	for p.now < until {
		event := heap.Pop(&p.events).(playEvent)
		p.now = event.at
		event.action()
	}
}

// within counts the moments of a time.
func within(moments []time.Duration, from, until time.Duration) (count float64) {
	for _, at := range moments {
		if at >= from && at < until {
			count++
		}
	}
	return count
}

func (p *play) log(t *testing.T, until time.Duration) {
	t.Helper()
	for at := time.Duration(0); at < until; at += time.Second {
		t.Logf("%s: came %.0f, in time %.0f, late %.0f", at, within(p.came, at, at+time.Second), within(p.firsts, at, at+time.Second), within(p.late, at, at+time.Second))
	}
	t.Logf("sent back %d, refused for good %d, left %d, longest queue %d, questions %d", p.back, p.refused, p.abandoned, p.longestQueue, p.asks)
}

const (
	burstFrom  = 6 * time.Second
	burstUntil = burstFrom + 5*time.Second
	afterBurst = 2 * time.Second
	burstTimes = 3
)

// playBurst plays three times the load for 5 s, and returns what was in time in the burst as
// a part of what the slots make, and what was in time after it as a part of that, or of who
// came, whichever is less.
func playBurst(t *testing.T, seed uint64, queues bool) (in, after float64) {
	t.Helper()
	p := newPlay(seed, queues)
	p.burst, p.burstFrom, p.burstUntil = burstTimes, burstFrom, burstUntil
	end := burstUntil + afterBurst
	p.run(end + 2*time.Second)
	p.log(t, end+2*time.Second)
	in = within(p.firsts, burstFrom, burstUntil) / (playMade * (burstUntil - burstFrom).Seconds())
	most := min(playMade*afterBurst.Seconds(), within(p.came, burstUntil, end))
	return in, within(p.firsts, burstUntil, end) / most
}

// TestNoCollapse plays three times the load for 5 s, and the usual one after it: nine tenths
// of what the slots make are in time in the burst, and after it nearly all that can be.
// Without a queue that can be taken back from, who waited is late and holds the places of
// those who come: that must be seen as well, or the play proves nothing.
func TestNoCollapse(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		in, after := playBurst(t, seed, true)
		t.Logf("seed %d: %.3f in the burst, %.3f after it", seed, in, after)
		if in < 0.9 || after < 0.95 {
			t.Errorf("seed %d: in time %.3f in the burst, %.3f after it", seed, in, after)
		}
	}
	in, after := playBurst(t, 1, false)
	t.Logf("without a queue: %.3f in the burst, %.3f after it", in, after)
	if after >= 0.95 {
		t.Errorf("the play shows no collapse without a queue: in time %.3f in the burst, %.3f after it", in, after)
	}
}

// TestNobodyWaitsBesideRoom plays loads that leave room, with and without a queue: as many are
// in time, and the more room there is the fewer wait at an edge.
func TestNobodyWaitsBesideRoom(t *testing.T) {
	const length = 6 * time.Second
	for _, test := range []struct {
		load   float64
		queued float64
	}{{0.5, 0.01}, {0.7, 0.02}, {0.8, 0.05}} {
		var inTime [2]float64
		for mode, queues := range []bool{false, true} {
			p := newPlay(4, queues)
			p.usual = test.load * playMade
			p.run(length)
			came := float64(len(p.came))
			inTime[mode] = float64(len(p.firsts)) / (float64(len(p.firsts)) + float64(len(p.late)))
			t.Logf("load %g, queues %t: %.0f came, %.4f in time, %d waited, %d were sent back", test.load, queues, came, inTime[mode], p.queued, p.back)
			if part := float64(p.queued) / came; part > test.queued {
				t.Errorf("load %g: %.3f waited at an edge", test.load, part)
			}
		}
		if inTime[1] < inTime[0]-0.002 {
			t.Errorf("load %g: %.4f in time, %.4f without a queue", test.load, inTime[1], inTime[0])
		}
	}
}

const (
	// returning is how many callers come at once when all processes have started anew, and
	// returningLeft how long they still wait.
	returning     = 1000
	returningLeft = 4500 * time.Millisecond
	returnAt      = 200 * time.Millisecond
	// returnSpread is within which time they come.
	returnSpread = 300 * time.Millisecond
)

// playRestart lets many callers come within a moment to edges that know nothing, beside the
// usual load, and returns what was in time from the third second on as a part of what the
// slots make, or of who came, whichever is less.
func playRestart(t *testing.T, seed uint64, queues bool) float64 {
	t.Helper()
	p := newPlay(seed, queues)
	for range returning {
		p.after(returnAt+time.Duration(p.random.Int64N(int64(returnSpread))), func() { p.attempt(p.now+returningLeft-playTime, 2) })
	}
	from, until := returnAt+2*time.Second, returnAt+6*time.Second
	p.run(until)
	p.log(t, until)
	most := min(playMade*(until-from).Seconds(), within(p.came, from, until))
	return within(p.firsts, from, until) / most
}

// TestNoCollapseAfterRestart lets all callers who were cut off come back within a moment, to
// edges that know neither how long a slot is held nor how long callers wait. All slots are
// given back together then, when few wait who can be in time, so late ones take them and
// hold them for a while; that fades from hold to hold.
func TestNoCollapseAfterRestart(t *testing.T) {
	const enough, collapsed = 0.75, 0.5
	for seed := uint64(1); seed <= 2; seed++ {
		after := playRestart(t, seed, true)
		t.Logf("seed %d: %.3f from the third second on", seed, after)
		if after < enough {
			t.Errorf("seed %d: in time %.3f from the third second on", seed, after)
		}
	}
	after := playRestart(t, 1, false)
	t.Logf("without a queue: %.3f", after)
	if after >= collapsed {
		t.Errorf("the play shows no collapse without a queue: in time %.3f", after)
	}
}
