package edge

import (
	"math/rand/v2"
	"time"

	"github.com/sedgemast/sedgemast/internal/admission"
	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/routetable"
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

// arrive takes in a request before its first attempt.
func (c *call) arrive() {
	left := c.deadline.Sub(c.arrived)
	c.edge.observe(c.route, func(known *admission.Route) { known.Arrived(left) })
}

// began takes in that the first event has come, where nothing but the worker itself
// stood before it.
func (c *call) began(lease *balance.Lease) {
	if c.attempts > 1 || lease.Wait > 0 || lease.Slow > 1 {
		return
	}
	took := time.Since(c.arrived)
	c.edge.observe(c.route, func(known *admission.Route) { known.Began(took) })
}

// tooLate refuses the request, before it goes to any worker, if its first event
// would come too late there and its caller can come back.
func (c *call) tooLate(lease *balance.Lease) bool {
	if c.attempts > 0 || c.dials > 0 {
		return false
	}
	request := admission.Request{Left: time.Until(c.deadline), Goal: c.route.Goal(), Wait: lease.Wait}
	c.edge.observe(c.route, func(known *admission.Route) {
		request.Longest = known.Longest()
		request.Begin = time.Duration(float64(known.Begin()) * lease.Slow)
	})
	comeback := admission.Decide(&request, rand.Float64())
	if comeback == 0 {
		return false
	}
	logging.Info(c.edge.logger, "request_sent_back", "id", c.id, "route", c.route.Name, "worker", lease.Endpoint.ID, "slow", lease.Slow, "wait_ms", request.Wait.Milliseconds(), "begin_ms", request.Begin.Milliseconds(), "goal_ms", request.Goal.Milliseconds(), "left_ms", request.Left.Milliseconds(), "longest_ms", request.Longest.Milliseconds(), "comeback_ms", comeback.Milliseconds())
	c.refuse(failure.New(failure.NotRun, "come back after the time in Retry-After", "all workers are busy for longer than the request has").WithRetryAfter(comeback))
	return true
}
