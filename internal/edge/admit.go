package edge

import (
	"math/rand/v2"
	"time"

	"github.com/sedgemast/sedgemast/internal/admission"
	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/ratelimit"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// withRouteStats calls use with the statistics of the route's requests, under the lock.
func (e *Edge) withRouteStats(route *routetable.Route, use func(stats *admission.Route)) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	stats := e.routeStats[route.Name]
	if stats == nil {
		stats = &admission.Route{}
		e.routeStats[route.Name] = stats
	}
	use(stats)
}

// overloadTimeLeft records the wait predicted for a request to the pool. It returns how long the
// pool's overload will probably last, zero if unknown.
func (e *Edge) overloadTimeLeft(pool string, wait, goal time.Duration) time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	overload := e.overloads[pool]
	if overload == nil {
		overload = &admission.Overload{}
		e.overloads[pool] = overload
	}
	now := time.Now()
	overload.Observe(now, wait, goal)
	return overload.TimeLeft(now)
}

// recordArrival records a request before its first attempt.
func (c *call) recordArrival() {
	timeLeft := c.deadline.Sub(c.arrived)
	c.edge.withRouteStats(c.route, func(stats *admission.Route) { stats.ObserveArrival(timeLeft) })
}

// recordFirstEvent records the time to the first event. It skips requests that were delayed by an
// earlier attempt, by a queue, by other requests at the worker, or by a slow worker that was not
// chosen by predicted time.
func (c *call) recordFirstEvent(lease *balance.Lease) {
	if c.attempts > 1 || c.wasQueued || lease.Wait > 0 || lease.Slowness > 1 && !lease.ByPredictedTime {
		return
	}
	// Scale to a worker of median speed.
	firstEventTime := time.Duration(float64(time.Since(c.arrived)) / lease.Slowness)
	c.edge.withRouteStats(c.route, func(stats *admission.Route) { stats.ObserveFirstEvent(firstEventTime) })
}

// rejectedByAdmission rejects the request before it goes to any worker. It does so if the caller
// can retry later, and either the first event would come too late at this worker or the tenant is
// over its share.
func (c *call) rejectedByAdmission(lease *balance.Lease) bool {
	if c.attempts > 0 || c.failedDials > 0 {
		return false
	}
	request := admission.Request{TimeLeft: time.Until(c.deadline), Goal: c.route.Goal(), Wait: lease.Wait, OverShare: c.share.standing.OverShare}
	request.OverloadTimeLeft = c.edge.overloadTimeLeft(c.demand.Pool, request.Wait, request.Goal)
	c.edge.withRouteStats(c.route, func(stats *admission.Route) {
		request.MaxTimeLeft = stats.MaxTimeLeft()
		request.FirstEventTime = time.Duration(float64(stats.FirstEventTime()) * lease.Slowness)
	})
	retryAfter := admission.Decide(&request, rand.Float64())
	if retryAfter == 0 {
		return false
	}
	reason := admission.Evaluate(&request)
	if reason == admission.OverShare {
		c.countByRank("sent_back")
	}
	standing := &c.share.standing
	logging.Info(c.edge.logger, "request_sent_back", "id", c.id, "route", c.route.Name, "tenant", c.tenant.Owner(), "reason", reason, "rank", c.share.class.Rank, "over", standing.OverShare, "told", c.share.answered, "asked", standing.Demand, "share", standing.Share, "room", standing.Capacity, "share_age_ms", standing.Age.Milliseconds(), "worker", lease.Endpoint.ID, "slow", lease.Slowness, "wait_ms", request.Wait.Milliseconds(), "begin_ms", request.FirstEventTime.Milliseconds(), "goal_ms", request.Goal.Milliseconds(), "left_ms", request.TimeLeft.Milliseconds(), "longest_ms", request.MaxTimeLeft.Milliseconds(), "ends_ms", request.OverloadTimeLeft.Milliseconds(), "comeback_ms", retryAfter.Milliseconds())
	c.reject(admissionError(reason).WithRetryAfter(retryAfter))
	return true
}

// admissionError returns the error for a request that admission control rejected and that may be
// retried.
func admissionError(reason admission.Reason) *failure.Error {
	if reason == admission.OverShare {
		return failure.New(failure.NotRun, "come back after the time in Retry-After, or ask for a larger share", "there is too little room, and your share of it is used up")
	}
	return failure.New(failure.NotRun, "come back after the time in Retry-After", "all workers are busy for longer than the request has")
}

// rejectedByLimit rejects the request if its tenant exceeds its rate limit. The request needs a
// token from the hub of the zone, whose answer also carries the hub's current worker loads. If no
// hub answers, this edge's reserve decides; a request that the reserve does not cover may be
// retried immediately at another edge.
func (c *call) rejectedByLimit() bool {
	if !c.tenant.Limited() {
		return false
	}
	e := c.edge
	c.tokenRequest = wire.TokenQuestion{Ticket: c.share.claim.Ticket, Tenant: routetable.ShortName(c.tenant.Name)}
	verdict, standing, answered := e.loads.AcquireToken(c.context, c.tokenRequest, c.capacityClaim(), c.canProbe())
	c.loadsFresh = answered
	c.setStanding(standing, answered)
	switch {
	case answered && verdict.Granted:
		c.hasToken = true
	case answered:
		retryAfter := time.Duration(verdict.RetryMillis) * time.Millisecond
		c.rejectTenant("over_limit", verdict, failure.New(failure.OverLimit, "come back after the time in Retry-After, or ask for a higher limit", "tenant %q sends more than %g requests a second", c.tenant.Name, c.tenant.RatePerSecond).WithRetryAfter(retryAfter))
		return true
	case c.context.Err() != nil:
		c.giveUp()
		return true
	case !e.acquireReserve(c.tenant, c.tokenRequest.Tenant):
		c.rejectTenant("no_hub", verdict, failure.New(failure.NotRun, "ask another edge", "no hub answers, and the reserve of tenant %q is used up here", c.tenant.Name).WithRetryAfter(shortRetryAfter))
		return true
	}
	e.metrics.tenants.WithLabelValues(string(c.tenant.Name), "admitted").Inc()
	return false
}

// rejectTenant rejects the request because of its tenant's limit.
func (c *call) rejectTenant(reason string, verdict wire.TokenVerdict, err *failure.Error) {
	c.edge.metrics.tenants.WithLabelValues(string(c.tenant.Name), reason).Inc()
	logging.Info(c.edge.logger, "tenant_refused", "id", c.id, "tenant", c.tenant.Name, "reason", reason, "rate", c.tenant.RatePerSecond, "burst", c.tenant.Burst, "level", verdict.Level, "level_age_ms", verdict.AgeMillis, "comeback_ms", err.RetryAfter.Milliseconds(), "waited_ms", c.elapsed())
	c.reject(err)
}

// acquireReserve takes a token for the tenant from this edge's reserve and reports whether there
// was one.
func (e *Edge) acquireReserve(tenant *routetable.Tenant, shortName ratelimit.Tenant) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.reserve.Take(clock.Now(), shortName, tenant.Limit(), e.settings.RateTolerance.Limits(), e.watcher.Current().Fleet.Edges)
}

// releaseToken returns the request's token to the hub, because nothing ran.
func (c *call) releaseToken() {
	if c.hasToken {
		c.hasToken = false
		c.edge.loads.ReleaseToken(c.tokenRequest)
	}
}
