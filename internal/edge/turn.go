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
	if c.attempts == 0 && c.dials == 0 && c.edge.queues(c.demand.Pool) {
		return c.takeTurn()
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

// takeTurn finds a worker in the order of all that wait here.
func (c *call) takeTurn() (lease *balance.Lease, done bool) {
	c.hear()
	t, begin := c.newTurn()
	l := c.edge.lineOf(c.demand.Pool)
	found := l.arrive(clock.Now(), t, begin)
	c.foundRoom(found.place == nil || found.place.Wait > 0)
	switch {
	case found.place == nil:
		return nil, false
	case found.lease != nil:
		return c.goes(found.lease)
	}
	c.logArrival(t, &found)
	if found.decision.Result == admission.Wait && !found.closed {
		return c.await(l, t)
	}
	r := refusalOf(&found.decision)
	if found.closed {
		r.reason, r.comeback = reasonStopping, spread(shortRetry)
	}
	c.refuseTurn(r)
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
	c.edge.loads.Tell()
	c.edge.noteChoice(c.demand.Pool, lease)
	return lease, false
}

// newTurn returns the request as it stands in a line, and how long its first event takes once
// it runs at a usual worker, zero if unknown.
func (c *call) newTurn() (t *turn, begin time.Duration) {
	t = &turn{demand: &c.demand, left: time.Until(c.deadline), answers: make(chan answer, 1)}
	c.edge.observe(c.route, func(known *admission.Route) { t.longest, begin = known.Longest(), known.Begin() })
	t.claim = c.claim()
	return t, begin
}

// await waits for the request's turn.
func (c *call) await(l *line, t *turn) (lease *balance.Lease, done bool) {
	c.waited = true
	c.edge.metrics.queued.WithLabelValues("waits").Inc()
	var a answer
	answered := true
	select {
	case a = <-t.answers:
	case <-c.context.Done():
		a, answered = l.leave(t)
	}
	switch {
	case !answered:
		c.edge.metrics.queued.WithLabelValues("left").Inc()
		logging.Info(c.edge.logger, "queue_left", "id", c.id, "route", c.route.Name, "waited_ms", waitedIn(t).Milliseconds())
		c.giveUp()
		return nil, true
	case a.refusal != nil:
		c.logRefused(t, a.refusal)
		c.refuseTurn(a.refusal)
		return nil, true
	case a.lease == nil:
		return nil, false
	}
	c.logSent(t, a.place)
	return c.goes(a.lease)
}

// waitedIn returns for how long the request has been here.
func waitedIn(t *turn) time.Duration { return clock.Since(t.claim.Arrived) }

// refuseTurn tells the caller that nothing ran, and when to come back.
func (c *call) refuseTurn(r *refusal) {
	c.edge.metrics.queued.WithLabelValues(r.reason).Inc()
	if r.judged == admission.OverShare {
		c.countRoom("sent_back")
	}
	c.edge.closeWhenStopping(c.writer)
	c.refuse(sentBack(r.judged).WithRetryAfter(r.comeback))
}

// logRefused writes why a request that waited is refused.
func (c *call) logRefused(t *turn, r *refusal) {
	logging.Info(c.edge.logger, "queue_refused", "id", c.id, "route", c.route.Name, "tenant", c.tenant.Owner(), "reason", r.reason, "ahead", r.ahead, "predicted_ms", r.predicted.Milliseconds(), "bears_ms", t.claim.Leaves.Sub(t.claim.Arrived).Milliseconds(), "waited_ms", waitedIn(t).Milliseconds(), "comeback_ms", r.comeback.Milliseconds())
}

// logArrival writes what was decided on a request that did not go at once, and by what.
func (c *call) logArrival(t *turn, found *arrival) {
	decision, place := &found.decision, found.place
	event := "queue_decided"
	if decision.Result == admission.SentBack {
		event = "request_sent_back"
	}
	logging.Info(c.edge.logger, event, "id", c.id, "route", c.route.Name, "tenant", c.tenant.Owner(), "pool", c.demand.Pool,
		"result", decision.Result, "reason", decision.Reason, "rank", t.claim.Rank, "over", t.claim.Over, "returned", t.claim.Returned,
		"asked_ms_ago", t.claim.Arrived.Add(t.claim.Goal).Sub(t.claim.Due).Milliseconds(), "left_ms", t.left.Milliseconds(), "longest_ms", t.longest.Milliseconds(),
		"goal_ms", t.claim.Goal.Milliseconds(), "begin_ms", t.claim.Begin.Milliseconds(), "ahead", decision.Ahead, "predicted_ms", decision.Predicted.Milliseconds(),
		"worker", place.Worker, "full", place.Full, "slow", place.Slow, "wait_ms", place.Wait.Milliseconds(), "wait_most_ms", place.WaitMost.Milliseconds(),
		"spare", place.Spare, "lot", place.Left, "news_age_ms", place.NewsAge.Milliseconds(),
		"per_second", found.room.PerSecond, "ends_ms", found.room.Ends.Milliseconds(), "bears_ms", t.claim.Leaves.Sub(t.claim.Arrived).Milliseconds(),
		"stopping", found.closed, "comeback_ms", decision.Comeback.Milliseconds())
}

// logSent writes that a request that waited goes to a worker.
func (c *call) logSent(t *turn, place *balance.Place) {
	waited := waitedIn(t)
	c.edge.metrics.queued.WithLabelValues("sent").Inc()
	c.edge.metrics.queueTime.WithLabelValues(c.route.Name).Observe(waited.Seconds())
	logging.Info(c.edge.logger, "queue_sent", "id", c.id, "route", c.route.Name, "worker", place.Worker, "waited_ms", waited.Milliseconds(), "full", place.Full, "wait_ms", place.Wait.Milliseconds(), "spare", place.Spare, "news_age_ms", place.NewsAge.Milliseconds())
}
