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

// queueBounds limits one queue. The number is limited because each poll reads all entries under the
// lock. The bytes are limited because the bodies stay in memory, of which the smallest process has
// little.
var queueBounds = admission.Bounds{Requests: 256, Bytes: 16 << 20}

// poolQueue holds the requests of a pool that wait at this process for a free slot at a worker.
// admission.Queue makes the decisions; poolQueue provides it with the time, the workers and the
// waiting requests. It is safe for concurrent use.
type poolQueue struct {
	edge *Edge
	pool string
	// hubUpdated receives a value when the hub has sent an update.
	hubUpdated chan struct{}

	mutex   sync.Mutex
	queue   *admission.Queue
	waiters map[*admission.Entry]*waiter
	// polling is set while poll runs. closed is set once no request may be queued any more.
	polling bool
	closed  bool
	// fullAt is when an arriving request last found all slots of the pool in use.
	fullAt time.Time
}

// saturationWindow is how long after fullAt released slots are reported to the hub at once. It is
// about as long as a request waits for a slot. Later, the next regular report is soon enough.
const saturationWindow = 250 * time.Millisecond

// waiter is a request that waits in a queue or is about to.
type waiter struct {
	entry  admission.Entry
	demand *balance.Request
	// timeLeft is the time that the caller had left on arrival. maxTimeLeft is the time that
	// callers of the route have left at their first attempt.
	timeLeft    time.Duration
	maxTimeLeft time.Duration
	result      chan queueResult
}

// queueResult is how a wait in the queue ended: with a lease, with a rejection or, if both are
// nil, without any worker to choose.
type queueResult struct {
	lease     *balance.Lease
	candidate *balance.Candidate
	rejection *rejection
}

// rejection says why a request was rejected by a queue, and when its caller may retry.
type rejection struct {
	reason string
	// admissionReason is why admission control rejected the request, if it did.
	admissionReason admission.Reason
	ahead           int
	predictedWait   time.Duration
	retryAfter      time.Duration
}

// Reasons for rejecting a queued request, beside those of admission.Result.
const (
	reasonExpired  = "expired"
	reasonStopping = "stopping"
)

func newPoolQueue(e *Edge, pool string) *poolQueue {
	return &poolQueue{edge: e, pool: pool, hubUpdated: make(chan struct{}, 1), queue: admission.NewQueue(queueBounds), waiters: map[*admission.Entry]*waiter{}}
}

// admitResult is what was found and decided for an arriving request.
type admitResult struct {
	candidate *balance.Candidate
	lease     *balance.Lease
	supply    admission.Supply
	decision  admission.Decision
	// closed is set if no request may be queued any more.
	closed bool
}

// admit decides what happens to an arriving request; firstEventTime is the time to its first
// event at a worker of median speed. The result has no candidate if there is no worker.
func (q *poolQueue) admit(now time.Time, w *waiter, firstEventTime time.Duration) admitResult {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.rejectExpired(now)
	result := admitResult{candidate: q.findCandidate(now, w, "")}
	if result.candidate == nil {
		return result
	}
	if result.candidate.Full {
		q.fullAt = now
	}
	w.entry.FirstEventTime = time.Duration(float64(firstEventTime) * result.candidate.Slowness)
	result.supply = q.supply(result.candidate, w.entry.Goal)
	result.decision = q.queue.Admit(now, &admission.Arrival{
		Entry:       &w.entry,
		Candidate:   admissionCandidate(result.candidate),
		Supply:      result.supply,
		TimeLeft:    w.timeLeft,
		MaxTimeLeft: w.maxTimeLeft,
	}, rand.Float64())
	for i := range result.decision.Displaced {
		displaced := &result.decision.Displaced[i]
		q.reject(displaced.Entry, rejectionFrom(&displaced.Decision))
	}
	switch result.decision.Result {
	case admission.Dispatched:
		result.lease = q.edge.workers.AcquireCandidate(now, w.demand, result.candidate)
	case admission.Queued:
		if q.closed {
			q.queue.Remove(&w.entry)
			result.closed = true
			break
		}
		q.waiters[&w.entry] = w
		q.dispatchFirst(now, "")
		q.startPolling()
	}
	q.updateLengthMetric()
	return result
}

func rejectionFrom(decision *admission.Decision) *rejection {
	return &rejection{reason: decision.Result.String(), admissionReason: decision.Reason, ahead: decision.Ahead, predictedWait: decision.Predicted, retryAfter: decision.RetryAfter}
}

// findCandidate returns the best worker for the request, or nil if there is none.
func (q *poolQueue) findCandidate(now time.Time, w *waiter, releasedWorker string) *balance.Candidate {
	return q.edge.workers.FindCandidate(now, w.demand, balance.SearchOptions{Peers: q.edge.edgeCount(), ReleasedWorker: releasedWorker})
}

func admissionCandidate(candidate *balance.Candidate) admission.Candidate {
	return admission.Candidate{Full: candidate.Full, Wait: candidate.Wait, MaxWait: candidate.MaxWait, Spare: candidate.Spare, LeftToPeers: candidate.LeftToPeers}
}

// supply returns the capacity that this process can expect of the pool.
func (q *poolQueue) supply(candidate *balance.Candidate, goal time.Duration) admission.Supply {
	return admission.Supply{
		Throughput:       q.edge.workers.Throughput(q.pool, q.edge.edgeCount()),
		OverloadTimeLeft: q.edge.overloadTimeLeft(q.pool, candidate.Wait, goal),
	}
}

// dispatch sends the first queued request to a worker if one has capacity, and reports whether
// the request left the queue. releasedWorker is the worker at which a slot was just released, if
// any.
func (q *poolQueue) dispatch(now time.Time, releasedWorker string) (sent bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.rejectExpired(now)
	sent = q.dispatchFirst(now, releasedWorker)
	q.updateLengthMetric()
	return sent
}

// dispatchFirst sends the request at the head of the queue to a worker if one has capacity. If
// the pool has no worker at all, it resolves the request without a lease.
func (q *poolQueue) dispatchFirst(now time.Time, releasedWorker string) bool {
	first := q.queue.First(now)
	if first == nil {
		return false
	}
	w := q.waiters[first]
	candidate := q.findCandidate(now, w, releasedWorker)
	if candidate == nil {
		q.queue.Remove(first)
		q.resolve(first, queueResult{})
		return true
	}
	if !q.queue.TryDispatch(now, first, admissionCandidate(candidate)) {
		return false
	}
	q.resolve(first, queueResult{candidate: candidate, lease: q.edge.workers.AcquireCandidate(now, w.demand, candidate)})
	return true
}

// rejectExpired rejects the requests whose callers no longer wait. The clock includes
// suspensions, so a process that was suspended sends no expired request.
func (q *poolQueue) rejectExpired(now time.Time) {
	for _, entry := range q.queue.RemoveExpired(now) {
		q.reject(entry, &rejection{reason: reasonExpired, retryAfter: jitter(admission.MinRetryAfter)})
	}
}

// jitter returns a random time between minimum and twice that: requests that are rejected
// together should not be retried together.
func jitter(minimum time.Duration) time.Duration { return minimum + rand.N(minimum) }

func (q *poolQueue) reject(entry *admission.Entry, r *rejection) {
	q.resolve(entry, queueResult{rejection: r})
}

// resolve ends the wait of a request that was removed from the queue.
func (q *poolQueue) resolve(entry *admission.Entry, result queueResult) {
	if w := q.waiters[entry]; w != nil {
		delete(q.waiters, entry)
		w.result <- result
	}
}

// remove removes a request whose caller has disconnected. If the request was resolved before, it
// returns that result and true.
func (q *poolQueue) remove(w *waiter) (queueResult, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.queue.Remove(&w.entry) {
		delete(q.waiters, &w.entry)
		q.updateLengthMetric()
		return queueResult{}, false
	}
	return <-w.result, true
}

// close rejects all queued requests, and makes later ones that would have to wait be rejected
// too.
func (q *poolQueue) close() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.closed = true
	for entry := range q.waiters {
		q.queue.Remove(entry)
		q.reject(entry, &rejection{reason: reasonStopping, retryAfter: jitter(shortRetryAfter)})
	}
	q.updateLengthMetric()
}

func (q *poolQueue) updateLengthMetric() {
	q.edge.metrics.queueLength.WithLabelValues(q.pool).Set(float64(q.queue.Len()))
}

// startPolling starts a goroutine that polls for capacity while requests are queued.
func (q *poolQueue) startPolling() {
	if !q.polling && q.queue.Len() > 0 {
		q.polling = true
		go q.poll(q.edge.daemon.Context())
	}
}

// poll looks for capacity at intervals and after updates of the hub, until the queue is empty.
func (q *poolQueue) poll(ctx context.Context) {
	timer := time.NewTimer(balance.PollInterval)
	defer timer.Stop()
	lastPoll := time.Now()
	for q.continuePolling() {
		query := true
		select {
		case <-ctx.Done():
			q.close()
			continue
		case <-timer.C:
		case <-q.hubUpdated:
			if time.Since(lastPoll) < balance.PollInterval/2 {
				// Either this update answers the last poll's query, or updates arrive in quick
				// succession. The last poll was so short a time ago that the next one can wait for
				// the timer.
				continue
			}
			query = false
		}
		for sent := true; sent; query = true {
			if query {
				q.queryLoads(ctx)
			}
			sent = q.dispatch(clock.Now(), "")
		}
		lastPoll = time.Now()
		timer.Reset(balance.PollInterval)
	}
}

// continuePolling reports whether requests are queued. If none are, poll ends, and the next queued
// request starts a new poll goroutine.
func (q *poolQueue) continuePolling() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.polling = q.queue.Len() > 0
	return q.polling
}

// queryLoads asks the hub for the loads of the peers, for the request at the head of the queue.
func (q *poolQueue) queryLoads(ctx context.Context) {
	q.mutex.Lock()
	first := q.queue.First(clock.Now())
	if first == nil {
		q.mutex.Unlock()
		return
	}
	demand := q.waiters[first].demand
	q.mutex.Unlock()
	q.edge.loads.Query(ctx, loadQueryTimeout, q.edge.workers.AffinityWorkers(demand), demand.Repeatable)
}

// usesQueue reports whether requests of the pool wait in a queue of this process. They do if the
// configuration names tenants or the workers report their pace.
func (e *Edge) usesQueue(pool string) bool {
	return e.Table().RequiresKeys() || e.workers.ReportsPace(pool)
}

// queueFor returns the pool's queue.
func (e *Edge) queueFor(pool string) *poolQueue {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	queue := e.poolQueues[pool]
	if queue == nil {
		queue = newPoolQueue(e, pool)
		queue.closed = e.queuesClosed
		e.poolQueues[pool] = queue
	}
	return queue
}

// allQueues returns the queues of all pools.
func (e *Edge) allQueues() []*poolQueue {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	all := make([]*poolQueue, 0, len(e.poolQueues))
	for _, queue := range e.poolQueues {
		all = append(all, queue)
	}
	return all
}

// edgeCount returns the number of processes that choose workers for callers, this one included.
func (e *Edge) edgeCount() int { return max(e.watcher.Current().Fleet.Edges, 1) }

// slotReleased handles a slot of the worker that a request of this process has released. No other
// process knows about the slot yet, so a request queued here may take it.
func (e *Edge) slotReleased(pool, worker string) {
	e.mutex.Lock()
	queue := e.poolQueues[pool]
	e.mutex.Unlock()
	if queue == nil {
		return
	}
	now := clock.Now()
	if !queue.dispatch(now, worker) && queue.recentlyFull(now) {
		// Requests at other edges wait for the slot, and would otherwise learn of it only with the
		// next report.
		e.loads.Report()
	}
}

// recentlyFull reports whether all slots of the pool were in use within saturationWindow.
func (q *poolQueue) recentlyFull(now time.Time) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return !q.fullAt.IsZero() && now.Sub(q.fullAt) < saturationWindow
}

// wakeQueues makes all queues look for capacity after an update of the hub.
func (e *Edge) wakeQueues() {
	for _, queue := range e.allQueues() {
		select {
		case queue.hubUpdated <- struct{}{}:
		default:
			// The queue has not handled the previous update yet.
		}
	}
}

// closeQueues is the last step before the server stops: it rejects all queued requests, so that
// their callers retry at another process.
func (e *Edge) closeQueues(context.Context) {
	e.mutex.Lock()
	e.queuesClosed = true
	e.mutex.Unlock()
	for _, queue := range e.allQueues() {
		queue.close()
	}
}
