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

// observe calls use with what is known of the route's requests.
func (e *Edge) observe(route *routetable.Route, use func(known *admission.Route)) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	known := e.observed[route.Name]
	if known == nil {
		known = &admission.Route{}
		e.observed[route.Name] = known
	}
	use(known)
}

// overload takes in the wait predicted for a request to the pool, and returns in which time
// the pool's overload will probably be over, zero if unknown.
func (e *Edge) overload(pool string, wait, goal time.Duration) time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	known := e.overloads[pool]
	if known == nil {
		known = &admission.Overload{}
		e.overloads[pool] = known
	}
	now := time.Now()
	known.Observe(now, wait, goal)
	return known.TimeLeft(now)
}

// arrive takes in a request before its first attempt.
func (c *call) arrive() {
	left := c.deadline.Sub(c.arrived)
	c.edge.observe(c.route, func(known *admission.Route) { known.ObserveArrival(left) })
}

// began takes in that the first event has come, where nothing but the worker itself
// stood before it.
func (c *call) began(lease *balance.Lease) {
	if c.attempts > 1 || c.waited || lease.Wait > 0 || lease.Slowness > 1 && !lease.ByPredictedTime {
		return
	}
	// At a worker of the middle speed it would have taken so much of that.
	took := time.Duration(float64(time.Since(c.arrived)) / lease.Slowness)
	c.edge.observe(c.route, func(known *admission.Route) { known.ObserveFirstEvent(took) })
}

// tooLate refuses the request, before it goes to any worker, if its first event
// would come too late there and its caller can come back.
func (c *call) tooLate(lease *balance.Lease) bool {
	if c.attempts > 0 || c.dials > 0 {
		return false
	}
	request := admission.Request{TimeLeft: time.Until(c.deadline), Goal: c.route.Goal(), Wait: lease.Wait, OverShare: c.share.standing.OverShare}
	request.OverloadTimeLeft = c.edge.overload(c.demand.Pool, request.Wait, request.Goal)
	c.edge.observe(c.route, func(known *admission.Route) {
		request.MaxTimeLeft = known.MaxTimeLeft()
		request.FirstEventTime = time.Duration(float64(known.FirstEventTime()) * lease.Slowness)
	})
	comeback := admission.Decide(&request, rand.Float64())
	if comeback == 0 {
		return false
	}
	reason := admission.Evaluate(&request)
	if reason == admission.OverShare {
		c.countByRank("sent_back")
	}
	standing := &c.share.standing
	logging.Info(c.edge.logger, "request_sent_back", "id", c.id, "route", c.route.Name, "tenant", c.tenant.Owner(), "reason", reason, "rank", c.share.party.Rank, "over", standing.OverShare, "told", c.share.told, "asked", standing.Demand, "share", standing.Share, "room", standing.Capacity, "share_age_ms", standing.Age.Milliseconds(), "worker", lease.Endpoint.ID, "slow", lease.Slowness, "wait_ms", request.Wait.Milliseconds(), "begin_ms", request.FirstEventTime.Milliseconds(), "goal_ms", request.Goal.Milliseconds(), "left_ms", request.TimeLeft.Milliseconds(), "longest_ms", request.MaxTimeLeft.Milliseconds(), "ends_ms", request.OverloadTimeLeft.Milliseconds(), "comeback_ms", comeback.Milliseconds())
	c.refuse(sentBack(reason).WithRetryAfter(comeback))
	return true
}

// sentBack returns what a request is told that is to come back.
func sentBack(reason admission.Reason) *failure.Error {
	if reason == admission.OverShare {
		return failure.New(failure.NotRun, "come back after the time in Retry-After, or ask for a larger share", "there is too little room, and your share of it is used up")
	}
	return failure.New(failure.NotRun, "come back after the time in Retry-After", "all workers are busy for longer than the request has")
}

// limited refuses the request if its tenant sends more than it may. The token is taken from
// the hub of the zone, which also tells what it knows of the workers. Where no hub answers
// the edge's reserve decides, and a request that it does not cover may come back at once
// to another edge.
func (c *call) limited() bool {
	if !c.tenant.Limited() {
		return false
	}
	e := c.edge
	c.token = wire.TokenQuestion{Ticket: c.share.claim.Ticket, Tenant: routetable.ShortName(c.tenant.Name)}
	verdict, standing, answered := e.loads.AcquireToken(c.context, c.token, c.roomClaim(), c.mayProbe())
	c.informed = answered
	c.setStanding(standing, answered)
	switch {
	case answered && verdict.Granted:
		c.hasToken = true
	case answered:
		retry := time.Duration(verdict.RetryMillis) * time.Millisecond
		c.refuseTenant("over_limit", verdict, failure.New(failure.OverLimit, "come back after the time in Retry-After, or ask for a higher limit", "tenant %q sends more than %g requests a second", c.tenant.Name, c.tenant.RatePerSecond).WithRetryAfter(retry))
		return true
	case c.context.Err() != nil:
		c.giveUp()
		return true
	case !e.takeReserve(c.tenant, c.token.Tenant):
		c.refuseTenant("no_hub", verdict, failure.New(failure.NotRun, "ask another edge", "no hub answers, and the reserve of tenant %q is used up here", c.tenant.Name).WithRetryAfter(shortRetry))
		return true
	}
	e.metrics.tenants.WithLabelValues(string(c.tenant.Name), "admitted").Inc()
	return false
}

// refuseTenant refuses the request because of its tenant's limit.
func (c *call) refuseTenant(reason string, verdict wire.TokenVerdict, err *failure.Error) {
	c.edge.metrics.tenants.WithLabelValues(string(c.tenant.Name), reason).Inc()
	logging.Info(c.edge.logger, "tenant_refused", "id", c.id, "tenant", c.tenant.Name, "reason", reason, "rate", c.tenant.RatePerSecond, "burst", c.tenant.Burst, "level", verdict.Level, "level_age_ms", verdict.AgeMillis, "comeback_ms", err.RetryAfter.Milliseconds(), "waited_ms", c.elapsed())
	c.refuse(err)
}

// takeReserve takes a request of the tenant from this edge's reserve.
func (e *Edge) takeReserve(tenant *routetable.Tenant, short ratelimit.Tenant) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.reserve.Take(clock.Now(), short, tenant.Limit(), e.settings.RateTolerance.Limits(), e.watcher.Current().Fleet.Edges)
}

// giveBack gives the request's token back, because nothing ran.
func (c *call) giveBack() {
	if c.hasToken {
		c.hasToken = false
		c.edge.loads.ReleaseToken(c.token)
	}
}
