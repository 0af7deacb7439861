package edge

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/admission"
	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/logging"
)

// place finds a worker for an attempt. It returns no lease where there is none, or where the
// caller has its final answer, which done says.
func (c *call) place() (lease *balance.Lease, done bool) {
	if c.attempts == 0 && c.dials == 0 && c.edge.usesQueue(c.demand.Pool) {
		return c.placeQueued()
	}
	lease = c.acquire()
	if lease != nil && c.tooLate(lease) {
		c.release(lease)
		return nil, true
	}
	return lease, false
}

// release gives the place back; who waits here may have the slot.
func (c *call) release(lease *balance.Lease) {
	lease.Release()
	c.edge.released(c.demand.Pool, lease.Endpoint.ID)
}

// placeQueued finds a worker in the order of all that wait here.
func (c *call) placeQueued() (lease *balance.Lease, done bool) {
	c.hear()
	w, begin := c.newWaiter()
	q := c.edge.queueOf(c.demand.Pool)
	found := q.arrive(clock.Now(), w, begin)
	c.countAsked(found.choice == nil || found.choice.Wait > 0)
	switch {
	case found.choice == nil:
		return nil, false
	case found.lease != nil:
		return c.goes(found.lease)
	}
	c.logArrival(w, &found)
	if found.decision.Result == admission.Queued && !found.closed {
		return c.await(q, w)
	}
	r := refusalOf(&found.decision)
	if found.closed {
		r.reason, r.comeback = reasonStopping, spread(shortRetry)
	}
	c.refuseQueued(r)
	return nil, true
}

// goes lets the request go to its worker, unless its time is over by now: the machine may have
// been suspended.
func (c *call) goes(lease *balance.Lease) (*balance.Lease, bool) {
	if c.late() || c.context.Err() != nil {
		c.release(lease)
		c.giveUp()
		return nil, true
	}
	c.edge.loads.Report()
	c.edge.noteChoice(c.demand.Pool, lease)
	return lease, false
}

// newWaiter returns the request as it stands in a queue, and how long its first event takes once
// it runs at a usual worker, zero if unknown.
func (c *call) newWaiter() (w *waiter, begin time.Duration) {
	w = &waiter{demand: &c.demand, left: time.Until(c.deadline), answers: make(chan answer, 1)}
	c.edge.observe(c.route, func(known *admission.Route) { w.longest, begin = known.MaxTimeLeft(), known.FirstEventTime() })
	w.claim = c.claim()
	return w, begin
}

// await waits for the request's turn.
func (c *call) await(q *poolQueue, w *waiter) (lease *balance.Lease, done bool) {
	c.waited = true
	c.edge.metrics.queued.WithLabelValues("waits").Inc()
	var a answer
	answered := true
	select {
	case a = <-w.answers:
	case <-c.context.Done():
		a, answered = q.leave(w)
	}
	switch {
	case !answered:
		c.edge.metrics.queued.WithLabelValues("left").Inc()
		logging.Info(c.edge.logger, "queue_left", "id", c.id, "route", c.route.Name, "waited_ms", waitedIn(w).Milliseconds())
		c.giveUp()
		return nil, true
	case a.refusal != nil:
		c.logRefused(w, a.refusal)
		c.refuseQueued(a.refusal)
		return nil, true
	case a.lease == nil:
		return nil, false
	}
	c.logSent(w, a.choice)
	return c.goes(a.lease)
}

// waitedIn returns for how long the request has been here.
func waitedIn(w *waiter) time.Duration { return clock.Since(w.claim.Arrived) }

// refuseQueued tells the caller that nothing ran, and when to come back.
func (c *call) refuseQueued(r *refusal) {
	c.edge.metrics.queued.WithLabelValues(r.reason).Inc()
	if r.judged == admission.OverShare {
		c.countByRank("sent_back")
	}
	c.edge.closeWhenStopping(c.writer)
	c.refuse(sentBack(r.judged).WithRetryAfter(r.comeback))
}

// logRefused writes why a request that waited is refused.
func (c *call) logRefused(w *waiter, r *refusal) {
	logging.Info(c.edge.logger, "queue_refused", "id", c.id, "route", c.route.Name, "tenant", c.tenant.Owner(), "reason", r.reason, "ahead", r.ahead, "predicted_ms", r.predicted.Milliseconds(), "bears_ms", w.claim.Deadline.Sub(w.claim.Arrived).Milliseconds(), "waited_ms", waitedIn(w).Milliseconds(), "comeback_ms", r.comeback.Milliseconds())
}

// logArrival writes what was decided on a request that did not go at once, and by what.
func (c *call) logArrival(w *waiter, found *arrival) {
	decision, choice := &found.decision, found.choice
	event := "queue_decided"
	if decision.Result == admission.RetryLater {
		event = "request_sent_back"
	}
	logging.Info(c.edge.logger, event, "id", c.id, "route", c.route.Name, "tenant", c.tenant.Owner(), "pool", c.demand.Pool,
		"result", decision.Result, "reason", decision.Reason, "rank", w.claim.Rank, "over", w.claim.OverShare, "returned", w.claim.Retried,
		"asked_ms_ago", w.claim.Arrived.Add(w.claim.Goal).Sub(w.claim.GoalDeadline).Milliseconds(), "left_ms", w.left.Milliseconds(), "longest_ms", w.longest.Milliseconds(),
		"goal_ms", w.claim.Goal.Milliseconds(), "begin_ms", w.claim.FirstEventTime.Milliseconds(), "ahead", decision.Ahead, "predicted_ms", decision.Predicted.Milliseconds(),
		"worker", choice.Worker, "full", choice.Full, "slow", choice.Slowness, "wait_ms", choice.Wait.Milliseconds(), "wait_most_ms", choice.MaxWait.Milliseconds(),
		"spare", choice.Spare, "lot", choice.LeftToPeers, "news_age_ms", choice.PeerLoadAge.Milliseconds(),
		"per_second", found.supply.Throughput, "ends_ms", found.supply.OverloadTimeLeft.Milliseconds(), "bears_ms", w.claim.Deadline.Sub(w.claim.Arrived).Milliseconds(),
		"stopping", found.closed, "comeback_ms", decision.RetryAfter.Milliseconds())
}

// logSent writes that a request that waited goes to a worker.
func (c *call) logSent(w *waiter, choice *balance.Candidate) {
	waited := waitedIn(w)
	c.edge.metrics.queued.WithLabelValues("sent").Inc()
	c.edge.metrics.queueTime.WithLabelValues(c.route.Name).Observe(waited.Seconds())
	logging.Info(c.edge.logger, "queue_sent", "id", c.id, "route", c.route.Name, "worker", choice.Worker, "waited_ms", waited.Milliseconds(), "full", choice.Full, "wait_ms", choice.Wait.Milliseconds(), "spare", choice.Spare, "news_age_ms", choice.PeerLoadAge.Milliseconds())
}
