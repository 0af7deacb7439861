package edge

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/admission"
	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/logging"
)

// selectWorker finds a worker for an attempt. It returns no lease if there is no worker or if the
// caller already has its final answer; done is set in the second case. A request bound to a version is
// not queued, because it would hold up requests that any worker can serve.
func (c *call) selectWorker() (lease *balance.Lease, done bool) {
	if c.attempts == 0 && c.failedDials == 0 && !c.stream.bound && c.edge.usesQueue(c.demand.Pool) {
		return c.selectQueued()
	}
	lease = c.acquire()
	if lease != nil && c.rejectedByAdmission(lease) {
		c.releaseLease(lease)
		return nil, true
	}
	return lease, false
}

// releaseLease releases the lease, so that a request queued here may take the slot.
func (c *call) releaseLease(lease *balance.Lease) {
	lease.Release()
	c.edge.slotReleased(c.demand.Pool, lease.Endpoint.ID)
}

// selectQueued finds a worker in the order of all requests that wait in this process.
func (c *call) selectQueued() (lease *balance.Lease, done bool) {
	c.refreshLoads()
	w, firstEventTime := c.newWaiter()
	q := c.edge.queueFor(c.demand.Pool)
	result := q.admit(clock.Now(), w, firstEventTime)
	c.countDemand(result.candidate == nil || result.candidate.Wait > 0)
	switch {
	case result.candidate == nil:
		return nil, false
	case result.lease != nil:
		return c.confirmDispatch(result.lease)
	}
	c.logArrival(w, &result)
	if result.decision.Result == admission.Queued && !result.closed {
		return c.awaitTurn(q, w)
	}
	r := rejectionFrom(&result.decision)
	if result.closed {
		r.reason, r.retryAfter = reasonStopping, jitter(shortRetryAfter)
	}
	c.rejectQueued(r)
	return nil, true
}

// confirmDispatch passes the lease on unless the request has expired in the meantime, which happens
// if the machine was suspended.
func (c *call) confirmDispatch(lease *balance.Lease) (*balance.Lease, bool) {
	if c.expired() || c.context.Err() != nil {
		c.releaseLease(lease)
		c.giveUp()
		return nil, true
	}
	c.edge.loads.Report()
	c.edge.recordSelection(c.demand.Pool, lease)
	return lease, false
}

// newWaiter returns the request as it is queued, and the time to its first event at a worker of
// median speed, zero if unknown.
func (c *call) newWaiter() (w *waiter, firstEventTime time.Duration) {
	w = &waiter{demand: &c.demand, timeLeft: time.Until(c.deadline), result: make(chan queueResult, 1)}
	c.edge.withRouteStats(c.route, func(stats *admission.Route) {
		w.maxTimeLeft, firstEventTime = stats.MaxTimeLeft(), stats.FirstEventTime()
	})
	w.entry = c.queueEntry()
	return w, firstEventTime
}

// awaitTurn waits until the queue has resolved the request.
func (c *call) awaitTurn(q *poolQueue, w *waiter) (lease *balance.Lease, done bool) {
	c.wasQueued = true
	c.edge.metrics.queued.WithLabelValues("waits").Inc()
	var result queueResult
	resolved := true
	select {
	case result = <-w.result:
	case <-c.context.Done():
		result, resolved = q.remove(w)
	case <-c.waitContext.Done():
		result, resolved = q.remove(w)
	}
	switch {
	case !resolved:
		c.edge.metrics.queued.WithLabelValues("left").Inc()
		logging.Info(c.edge.logger, "queue_left", "id", c.id, "route", c.route.Name, "waited_ms", timeSinceArrival(w).Milliseconds())
		c.giveUp()
		return nil, true
	case result.rejection != nil:
		c.logRejection(w, result.rejection)
		c.rejectQueued(result.rejection)
		return nil, true
	case result.lease == nil:
		return nil, false
	}
	c.recordDispatch(w, result.candidate)
	return c.confirmDispatch(result.lease)
}

// timeSinceArrival returns how long ago the request arrived at this process.
func timeSinceArrival(w *waiter) time.Duration { return clock.Since(w.entry.Arrived) }

// rejectQueued tells the caller that nothing ran, and when to retry.
func (c *call) rejectQueued(r *rejection) {
	c.edge.metrics.queued.WithLabelValues(r.reason).Inc()
	if r.admissionReason == admission.OverShare {
		c.countByRank("sent_back")
	}
	c.reject(admissionError(r.admissionReason).WithRetryAfter(r.retryAfter))
}

// logRejection logs why a queued request was rejected.
func (c *call) logRejection(w *waiter, r *rejection) {
	logging.Info(c.edge.logger, "queue_refused", "id", c.id, "route", c.route.Name, "tenant", c.tenant.Owner(), "reason", r.reason, "ahead", r.ahead, "predicted_ms", r.predictedWait.Milliseconds(), "bears_ms", w.entry.Deadline.Sub(w.entry.Arrived).Milliseconds(), "waited_ms", timeSinceArrival(w).Milliseconds(), "comeback_ms", r.retryAfter.Milliseconds())
}

// logArrival logs the decision on a request that was not dispatched at once, and the input of
// that decision.
func (c *call) logArrival(w *waiter, result *admitResult) {
	decision, candidate := &result.decision, result.candidate
	event := "queue_decided"
	if decision.Result == admission.RetryLater {
		event = "request_sent_back"
	}
	logging.Info(c.edge.logger, event, "id", c.id, "route", c.route.Name, "tenant", c.tenant.Owner(), "pool", c.demand.Pool,
		"result", decision.Result, "reason", decision.Reason, "rank", w.entry.Rank, "over", w.entry.OverShare, "returned", w.entry.Retried,
		"asked_ms_ago", w.entry.Arrived.Add(w.entry.Goal).Sub(w.entry.GoalDeadline).Milliseconds(), "left_ms", w.timeLeft.Milliseconds(), "longest_ms", w.maxTimeLeft.Milliseconds(),
		"goal_ms", w.entry.Goal.Milliseconds(), "begin_ms", w.entry.FirstEventTime.Milliseconds(), "ahead", decision.Ahead, "predicted_ms", decision.Predicted.Milliseconds(),
		"worker", candidate.Worker, "full", candidate.Full, "slow", candidate.Slowness, "wait_ms", candidate.Wait.Milliseconds(), "wait_most_ms", candidate.MaxWait.Milliseconds(),
		"spare", candidate.Spare, "lot", candidate.LeftToPeers, "news_age_ms", candidate.PeerLoadAge.Milliseconds(),
		"per_second", result.supply.Throughput, "ends_ms", result.supply.OverloadTimeLeft.Milliseconds(), "bears_ms", w.entry.Deadline.Sub(w.entry.Arrived).Milliseconds(),
		"stopping", result.closed, "comeback_ms", decision.RetryAfter.Milliseconds())
}

// recordDispatch logs and counts that a queued request goes to a worker.
func (c *call) recordDispatch(w *waiter, candidate *balance.Candidate) {
	waited := timeSinceArrival(w)
	c.edge.metrics.queued.WithLabelValues("sent").Inc()
	c.edge.metrics.queueTime.WithLabelValues(c.route.Name).Observe(waited.Seconds())
	logging.Info(c.edge.logger, "queue_sent", "id", c.id, "route", c.route.Name, "worker", candidate.Worker, "waited_ms", waited.Milliseconds(), "full", candidate.Full, "wait_ms", candidate.Wait.Milliseconds(), "spare", candidate.Spare, "news_age_ms", candidate.PeerLoadAge.Milliseconds())
}
