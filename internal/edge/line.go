package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"

	"github.com/sedgemast/sedgemast/internal/admission"
	"github.com/sedgemast/sedgemast/internal/balance"
)

// lineBounds limit what waits in one line. Each look reads all claims, so that many cost some
// 10 us; the bodies are a part of the memory that the smallest process has.
var lineBounds = admission.Bounds{Claims: 256, Bytes: 16 << 20}

// line is the requests of a pool that wait at this process until a worker has room. What it
// decides stands in admission.Queue; it brings in the time, the workers and those who wait.
type line struct {
	edge *Edge
	pool string
	// wake is sent to when the hub has told something.
	wake chan struct{}

	mutex   sync.Mutex
	queue   *admission.Queue
	waiting map[*admission.Claim]*turn
	// looking is set while a goroutine looks for room, closed once nobody may wait any more.
	looking bool
	closed  bool
	// fullAt is when a request that came found all slots of the pool held.
	fullAt time.Time
}

// crowdedTime is for how long after that slots given back are told to the hub at once: about
// as long as a request waits for one. With room for all the next report is soon enough.
const crowdedTime = 250 * time.Millisecond

// turn is a request in a line.
type turn struct {
	claim  admission.Claim
	demand *balance.Demand
	// left is how long the caller still waited when it came here, longest how long callers of
	// the route wait when they ask first.
	left    time.Duration
	longest time.Duration
	answers chan answer
}

// answer is what becomes of a request that has waited: a lease or, where there is none, a
// refusal. Without both there is no worker.
type answer struct {
	lease   *balance.Lease
	place   *balance.Place
	refusal *refusal
}

// refusal says why a request in a line is refused, and when its caller is to come back.
type refusal struct {
	reason string
	// judged says why it is sent back, if it is.
	judged    admission.Reason
	ahead     int
	predicted time.Duration
	comeback  time.Duration
}

// What a request that waited is refused for, beside what admission.Result names.
const (
	reasonExpired  = "expired"
	reasonStopping = "stopping"
)

func newLine(e *Edge, pool string) *line {
	return &line{edge: e, pool: pool, wake: make(chan struct{}, 1), queue: admission.NewQueue(lineBounds), waiting: map[*admission.Claim]*turn{}}
}

// arrival is what was found for a request that came, and what was decided.
type arrival struct {
	place    *balance.Place
	lease    *balance.Lease
	room     admission.Room
	decision admission.Decision
	// closed is set where nobody may wait any more.
	closed bool
}

// arrive decides what becomes of a request that came; begin is how long its first event takes
// at a usual worker. There is no worker if no place is returned.
func (l *line) arrive(now time.Time, t *turn, begin time.Duration) arrival {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.expire(now)
	found := arrival{place: l.look(now, t, "")}
	if found.place == nil {
		return found
	}
	if found.place.Full {
		l.fullAt = now
	}
	t.claim.Begin = time.Duration(float64(begin) * found.place.Slow)
	found.room = l.room(found.place, t.claim.Goal)
	found.decision = l.queue.Arrive(now, &admission.Arrival{
		Claim:   &t.claim,
		Offer:   offerOf(found.place),
		Room:    found.room,
		Left:    t.left,
		Longest: t.longest,
	}, rand.Float64())
	for i := range found.decision.Displaced {
		displaced := &found.decision.Displaced[i]
		l.refuse(displaced.Claim, refusalOf(&displaced.Decision))
	}
	switch found.decision.Result {
	case admission.Go:
		found.lease = l.edge.workers.Take(now, t.demand, found.place)
	case admission.Wait:
		if l.closed {
			l.queue.Remove(&t.claim)
			found.closed = true
			break
		}
		l.waiting[&t.claim] = t
		l.serveFirst(now, "")
		l.start()
	}
	l.measure()
	return found
}

func refusalOf(decision *admission.Decision) *refusal {
	return &refusal{reason: decision.Result.String(), judged: decision.Reason, ahead: decision.Ahead, predicted: decision.Predicted, comeback: decision.Comeback}
}

// look returns the best place for the request, or nil if there is no worker.
func (l *line) look(now time.Time, t *turn, given string) *balance.Place {
	return l.edge.workers.Look(now, t.demand, balance.Search{Peers: l.edge.peers(), Given: given})
}

func offerOf(place *balance.Place) admission.Offer {
	return admission.Offer{Full: place.Full, Wait: place.Wait, WaitMost: place.WaitMost, Spare: place.Spare, Left: place.Left}
}

// room returns what this process can expect of the pool.
func (l *line) room(place *balance.Place, goal time.Duration) admission.Room {
	return admission.Room{
		PerSecond: l.edge.workers.Room(l.pool, l.edge.peers()),
		Ends:      l.edge.overload(l.pool, place.Wait, goal),
	}
}

// serve sends what waits to workers while there is room. given is the worker at which a slot
// was given back, if any.
func (l *line) serve(now time.Time, given string) (sent bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.expire(now)
	sent = l.serveFirst(now, given)
	l.measure()
	return sent
}

// serveFirst sends the request that goes first, if there is room for it.
func (l *line) serveFirst(now time.Time, given string) bool {
	first := l.queue.First(now)
	if first == nil {
		return false
	}
	t := l.waiting[first]
	place := l.look(now, t, given)
	if place == nil {
		l.queue.Remove(first)
		l.answer(first, answer{})
		return true
	}
	if !l.queue.Take(now, first, offerOf(place)) {
		return false
	}
	l.answer(first, answer{place: place, lease: l.edge.workers.Take(now, t.demand, place)})
	return true
}

// expire refuses those whose callers have left by now: the clock counts suspensions, so that
// a process that was frozen sends nothing whose time is over.
func (l *line) expire(now time.Time) {
	for _, claim := range l.queue.Expired(now) {
		l.refuse(claim, &refusal{reason: reasonExpired, comeback: spread(admission.LeastComeback)})
	}
}

// spread returns a time from the least to twice as much by lot: who is refused at one moment is
// not to come back at one.
func spread(least time.Duration) time.Duration { return least + rand.N(least) }

func (l *line) refuse(claim *admission.Claim, r *refusal) { l.answer(claim, answer{refusal: r}) }

// answer ends the wait of a request that is not in the queue any more.
func (l *line) answer(claim *admission.Claim, a answer) {
	if t := l.waiting[claim]; t != nil {
		delete(l.waiting, claim)
		t.answers <- a
	}
}

// leave takes a request out whose caller has gone. It returns the answer that came before.
func (l *line) leave(t *turn) (answer, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.queue.Remove(&t.claim) {
		delete(l.waiting, &t.claim)
		l.measure()
		return answer{}, false
	}
	return <-t.answers, true
}

// close refuses all that wait, and whoever would have to wait from now on.
func (l *line) close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.closed = true
	for claim := range l.waiting {
		l.queue.Remove(claim)
		l.refuse(claim, &refusal{reason: reasonStopping, comeback: spread(shortRetry)})
	}
	l.measure()
}

func (l *line) measure() {
	l.edge.metrics.queueLength.WithLabelValues(l.pool).Set(float64(l.queue.Len()))
}

// start lets a goroutine look for room while something waits.
func (l *line) start() {
	if !l.looking && l.queue.Len() > 0 {
		l.looking = true
		go l.lookOn(l.edge.daemon.Context())
	}
}

// lookOn looks for room at intervals and when the hub has told something, until nothing waits.
func (l *line) lookOn(ctx context.Context) {
	timer := time.NewTimer(balance.LookTime)
	defer timer.Stop()
	last := time.Now()
	for l.goesOn() {
		asks := true
		select {
		case <-ctx.Done():
			l.close()
			continue
		case <-timer.C:
		case <-l.wake:
			if time.Since(last) < balance.LookTime/2 {
				// It is what was asked for a moment ago, or much is told at once.
				continue
			}
			asks = false
		}
		for sent := true; sent; asks = true {
			if asks {
				l.ask(ctx)
			}
			sent = l.serve(clock.Now(), "")
		}
		last = time.Now()
		timer.Reset(balance.LookTime)
	}
}

// goesOn reports whether something waits. If not, the next that waits starts the look anew.
func (l *line) goesOn() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.looking = l.queue.Len() > 0
	return l.looking
}

// ask asks the hub what the others have, for the request that goes first.
func (l *line) ask(ctx context.Context) {
	l.mutex.Lock()
	first := l.queue.First(clock.Now())
	if first == nil {
		l.mutex.Unlock()
		return
	}
	demand := l.waiting[first].demand
	l.mutex.Unlock()
	l.edge.loads.Ask(ctx, newsPatience, l.edge.workers.Homes(demand), demand.Repeatable)
}

// queues reports whether requests of the pool wait in a line of this process: where the
// configuration names tenants, or the workers tell their pace.
func (e *Edge) queues(pool string) bool {
	return e.Table().AsksForKeys() || e.workers.TellsPace(pool)
}

// lineOf returns the pool's line.
func (e *Edge) lineOf(pool string) *line {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	known := e.lines[pool]
	if known == nil {
		known = newLine(e, pool)
		known.closed = e.linesClosed
		e.lines[pool] = known
	}
	return known
}

// allLines returns the lines of all pools.
func (e *Edge) allLines() []*line {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	all := make([]*line, 0, len(e.lines))
	for _, known := range e.lines {
		all = append(all, known)
	}
	return all
}

// peers returns how many processes choose workers for callers, this one included.
func (e *Edge) peers() int { return max(e.watcher.Current().Fleet.Edges, 1) }

// released takes in that a request of this process has given its slot back at the worker.
// Nobody else knows of it yet, so it goes to who waits here.
func (e *Edge) released(pool, worker string) {
	e.mutex.Lock()
	known := e.lines[pool]
	e.mutex.Unlock()
	if known == nil {
		return
	}
	now := clock.Now()
	if !known.serve(now, worker) && known.crowded(now) {
		// Others wait for the slot, and would not hear of it before the next report.
		e.loads.Tell()
	}
}

// crowded reports whether all slots of the pool were held a moment ago.
func (l *line) crowded(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return !l.fullAt.IsZero() && now.Sub(l.fullAt) < crowdedTime
}

// heard takes in that the hub has told something.
func (e *Edge) heard() {
	for _, known := range e.allLines() {
		select {
		case known.wake <- struct{}{}:
		default:
			// It has not looked since the last news.
		}
	}
}

// closeLines is the last step before the server stops: all that wait get their answer, and
// ask another process.
func (e *Edge) closeLines(context.Context) {
	e.mutex.Lock()
	e.linesClosed = true
	e.mutex.Unlock()
	for _, known := range e.allLines() {
		known.close()
	}
}
