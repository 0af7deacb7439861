package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/admission"
	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/clock"
)

// queueBounds limit what waits in one queue: each look reads all claims while it holds the lock,
// and the bodies stay in memory, of which the smallest process has little.
var queueBounds = admission.Bounds{Requests: 256, Bytes: 16 << 20}

// poolQueue holds the requests of a pool that wait at this process until a worker has a slot for
// them. What it decides stands in admission.Queue; it brings in the time, the workers and those
// who wait. It is safe for concurrent use.
type poolQueue struct {
	edge *Edge
	pool string
	// wake is sent to when the hub has told something.
	wake chan struct{}

	mutex   sync.Mutex
	queue   *admission.Queue
	waiting map[*admission.Entry]*waiter
	// looking is set while run runs, closed once nobody may wait any more.
	looking bool
	closed  bool
	// fullAt is when a request that came found all slots of the pool held.
	fullAt time.Time
}

// crowdedTime is for how long after that slots given back are told to the hub at once: about
// as long as a request waits for one. While slots are free the next report is soon enough.
const crowdedTime = 250 * time.Millisecond

// waiter is a request that waits in a queue, or is about to.
type waiter struct {
	claim  admission.Entry
	demand *balance.Request
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
	choice  *balance.Candidate
	refusal *refusal
}

// refusal says why a request that came to a queue is refused, and when its caller is to come back.
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

func newPoolQueue(e *Edge, pool string) *poolQueue {
	return &poolQueue{edge: e, pool: pool, wake: make(chan struct{}, 1), queue: admission.NewQueue(queueBounds), waiting: map[*admission.Entry]*waiter{}}
}

// arrival is what was found for a request that came, and what was decided.
type arrival struct {
	choice   *balance.Candidate
	lease    *balance.Lease
	supply   admission.Supply
	decision admission.Decision
	// closed is set where nobody may wait any more.
	closed bool
}

// arrive decides what becomes of a request that came; begin is how long its first event takes
// at a usual worker. There is no worker if no place is returned.
func (q *poolQueue) arrive(now time.Time, w *waiter, begin time.Duration) arrival {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.expire(now)
	found := arrival{choice: q.look(now, w, "")}
	if found.choice == nil {
		return found
	}
	if found.choice.Full {
		q.fullAt = now
	}
	w.claim.FirstEventTime = time.Duration(float64(begin) * found.choice.Slowness)
	found.supply = q.supply(found.choice, w.claim.Goal)
	found.decision = q.queue.Admit(now, &admission.Arrival{
		Entry:       &w.claim,
		Candidate:   offerOf(found.choice),
		Supply:      found.supply,
		TimeLeft:    w.left,
		MaxTimeLeft: w.longest,
	}, rand.Float64())
	for i := range found.decision.Displaced {
		displaced := &found.decision.Displaced[i]
		q.refuse(displaced.Entry, refusalOf(&displaced.Decision))
	}
	switch found.decision.Result {
	case admission.Dispatched:
		found.lease = q.edge.workers.AcquireCandidate(now, w.demand, found.choice)
	case admission.Queued:
		if q.closed {
			q.queue.Remove(&w.claim)
			found.closed = true
			break
		}
		q.waiting[&w.claim] = w
		q.serveFirst(now, "")
		q.start()
	}
	q.measure()
	return found
}

func refusalOf(decision *admission.Decision) *refusal {
	return &refusal{reason: decision.Result.String(), judged: decision.Reason, ahead: decision.Ahead, predicted: decision.Predicted, comeback: decision.RetryAfter}
}

// look returns the best place for the request, or nil if there is no worker.
func (q *poolQueue) look(now time.Time, w *waiter, given string) *balance.Candidate {
	return q.edge.workers.FindCandidate(now, w.demand, balance.SearchOptions{Peers: q.edge.peers(), ReleasedWorker: given})
}

func offerOf(choice *balance.Candidate) admission.Candidate {
	return admission.Candidate{Full: choice.Full, Wait: choice.Wait, MaxWait: choice.MaxWait, Spare: choice.Spare, LeftToPeers: choice.LeftToPeers}
}

// supply returns what this process can expect of the pool.
func (q *poolQueue) supply(choice *balance.Candidate, goal time.Duration) admission.Supply {
	return admission.Supply{
		Throughput:       q.edge.workers.Throughput(q.pool, q.edge.peers()),
		OverloadTimeLeft: q.edge.overload(q.pool, choice.Wait, goal),
	}
}

// serve sends what waits to workers while there is room. given is the worker at which a slot
// was given back, if any.
func (q *poolQueue) serve(now time.Time, given string) (sent bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.expire(now)
	sent = q.serveFirst(now, given)
	q.measure()
	return sent
}

// serveFirst sends the request that goes first, if there is room for it.
func (q *poolQueue) serveFirst(now time.Time, given string) bool {
	first := q.queue.First(now)
	if first == nil {
		return false
	}
	w := q.waiting[first]
	choice := q.look(now, w, given)
	if choice == nil {
		q.queue.Remove(first)
		q.answer(first, answer{})
		return true
	}
	if !q.queue.TryDispatch(now, first, offerOf(choice)) {
		return false
	}
	q.answer(first, answer{choice: choice, lease: q.edge.workers.AcquireCandidate(now, w.demand, choice)})
	return true
}

// expire refuses those whose callers have left by now: the clock counts suspensions, so that
// a process that was frozen sends nothing whose time is over.
func (q *poolQueue) expire(now time.Time) {
	for _, claim := range q.queue.RemoveExpired(now) {
		q.refuse(claim, &refusal{reason: reasonExpired, comeback: spread(admission.MinRetryAfter)})
	}
}

// spread returns a time from the least to twice as much by lot: who is refused at one moment is
// not to come back at one.
func spread(least time.Duration) time.Duration { return least + rand.N(least) }

func (q *poolQueue) refuse(claim *admission.Entry, r *refusal) { q.answer(claim, answer{refusal: r}) }

// answer ends the wait of a request that is not in the queue any more.
func (q *poolQueue) answer(claim *admission.Entry, a answer) {
	if w := q.waiting[claim]; w != nil {
		delete(q.waiting, claim)
		w.answers <- a
	}
}

// leave takes a request out whose caller has gone. It returns the answer that came before.
func (q *poolQueue) leave(w *waiter) (answer, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.queue.Remove(&w.claim) {
		delete(q.waiting, &w.claim)
		q.measure()
		return answer{}, false
	}
	return <-w.answers, true
}

// close refuses all that wait, and whoever would have to wait from now on.
func (q *poolQueue) close() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.closed = true
	for claim := range q.waiting {
		q.queue.Remove(claim)
		q.refuse(claim, &refusal{reason: reasonStopping, comeback: spread(shortRetry)})
	}
	q.measure()
}

func (q *poolQueue) measure() {
	q.edge.metrics.queueLength.WithLabelValues(q.pool).Set(float64(q.queue.Len()))
}

// start lets a goroutine look for room while something waits.
func (q *poolQueue) start() {
	if !q.looking && q.queue.Len() > 0 {
		q.looking = true
		go q.run(q.edge.daemon.Context())
	}
}

// run looks for room at intervals and when the hub has told something, until nothing waits.
func (q *poolQueue) run(ctx context.Context) {
	timer := time.NewTimer(balance.PollInterval)
	defer timer.Stop()
	last := time.Now()
	for q.goesOn() {
		asks := true
		select {
		case <-ctx.Done():
			q.close()
			continue
		case <-timer.C:
		case <-q.wake:
			if time.Since(last) < balance.PollInterval/2 {
				// It is what was asked for a moment ago, or much is told at once.
				continue
			}
			asks = false
		}
		for sent := true; sent; asks = true {
			if asks {
				q.ask(ctx)
			}
			sent = q.serve(clock.Now(), "")
		}
		last = time.Now()
		timer.Reset(balance.PollInterval)
	}
}

// goesOn reports whether something waits. If not, the next that waits starts the look anew.
func (q *poolQueue) goesOn() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.looking = q.queue.Len() > 0
	return q.looking
}

// ask asks the hub what the others have, for the request that goes first.
func (q *poolQueue) ask(ctx context.Context) {
	q.mutex.Lock()
	first := q.queue.First(clock.Now())
	if first == nil {
		q.mutex.Unlock()
		return
	}
	demand := q.waiting[first].demand
	q.mutex.Unlock()
	q.edge.loads.Query(ctx, newsPatience, q.edge.workers.AffinityWorkers(demand), demand.Repeatable)
}

// usesQueue reports whether requests of the pool wait in a queue of this process: where the
// configuration names tenants, or the workers tell their pace.
func (e *Edge) usesQueue(pool string) bool {
	return e.Table().RequiresKeys() || e.workers.ReportsPace(pool)
}

// queueOf returns the pool's queue.
func (e *Edge) queueOf(pool string) *poolQueue {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	known := e.poolQueues[pool]
	if known == nil {
		known = newPoolQueue(e, pool)
		known.closed = e.queuesClosed
		e.poolQueues[pool] = known
	}
	return known
}

// allQueues returns the queues of all pools.
func (e *Edge) allQueues() []*poolQueue {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	all := make([]*poolQueue, 0, len(e.poolQueues))
	for _, known := range e.poolQueues {
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
	known := e.poolQueues[pool]
	e.mutex.Unlock()
	if known == nil {
		return
	}
	now := clock.Now()
	if !known.serve(now, worker) && known.crowded(now) {
		// Others wait for the slot, and would not hear of it before the next report.
		e.loads.Report()
	}
}

// crowded reports whether all slots of the pool were held a moment ago.
func (q *poolQueue) crowded(now time.Time) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return !q.fullAt.IsZero() && now.Sub(q.fullAt) < crowdedTime
}

// heard takes in that the hub has told something.
func (e *Edge) heard() {
	for _, known := range e.allQueues() {
		select {
		case known.wake <- struct{}{}:
		default:
			// It has not looked since the last news.
		}
	}
}

// closeQueues is the last step before the server stops: all that wait get their answer, and
// ask another process.
func (e *Edge) closeQueues(context.Context) {
	e.mutex.Lock()
	e.queuesClosed = true
	e.mutex.Unlock()
	for _, known := range e.allQueues() {
		known.close()
	}
}
