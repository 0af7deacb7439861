package edge

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/sedgemast/sedgemast/internal/admission"
	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/fairshare"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// shareState holds what a request knows about how its zone's capacity is divided among tenants.
// The capacity is the number of online requests per second that the zone's workers can start
// (package fairshare). It is divided only if the configuration names tenants.
type shareState struct {
	divided bool
	claim   wire.RoomClaim
	class   fairshare.Class
	// claimSent is set once the claim was sent to the hub. answered is set once the hub has
	// answered the claim.
	claimSent bool
	answered  bool
	standing  fairshare.Standing
	// startCounted is set once the request was counted as started.
	startCounted bool
}

// newShareState returns the claim of a request of the tenant on the route.
func newShareState(table *routetable.Table, tenant *routetable.Tenant, route *routetable.Route) shareState {
	if !table.RequiresKeys() {
		return shareState{}
	}
	class := fairshare.Class{Tenant: fairshare.Public, Rank: tenant.RankOn(route)}
	if tenant != nil {
		class.Tenant = routetable.ShortName(tenant.Name)
	}
	return shareState{
		divided: true,
		class:   class,
		claim:   wire.RoomClaim{Ticket: rand.Uint64(), Tenant: class.Tenant, Rank: int32(class.Rank)},
	}
}

// queueEntry returns the request's entry in the queue, which decides by such entries who gets
// scarce capacity. The times in the entry are on the clock that includes suspensions of this
// machine.
func (c *call) queueEntry() admission.Entry {
	maxTimeLeft := time.Duration(0)
	c.edge.withRouteStats(c.route, func(stats *admission.Route) { maxTimeLeft = stats.MaxTimeLeft() })
	goal, timeAllowed := c.route.Goal(), c.deadline.Sub(c.arrived)
	arrived := c.bootDeadline.Add(-timeAllowed)
	entry := admission.Entry{
		Rank:         c.tenant.RankOn(c.route),
		OverShare:    c.share.standing.OverShare,
		GoalDeadline: arrived.Add(goal),
		Deadline:     c.bootDeadline,
		Arrived:      arrived,
		Goal:         goal,
		Bytes:        int64(len(c.request.Body)),
	}
	// Without a goal, nothing shows how long a caller waits for the first event.
	if goal > 0 && c.route.Kind == routetable.KindStream {
		entry.Deadline = earliest(c.bootDeadline, arrived.Add(admission.FirstEventTimeout(goal, c.route.GapGoal())))
	}
	// A caller whose time left is much less than usual has sent the request before. Its first
	// attempt was earlier by about the difference between the two times.
	if sinceFirstAttempt, retried := admission.DetectRetry(maxTimeLeft, timeAllowed, goal); goal > 0 && retried {
		entry.Retried = true
		entry.GoalDeadline = entry.GoalDeadline.Add(-sinceFirstAttempt)
	}
	return entry
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// capacityClaim returns the claim that is sent to the hub with a query, nil for none. The hub
// evaluates the claim, so unlike queueEntry it does not depend on this process's queue.
func (c *call) capacityClaim() *wire.RoomClaim {
	if !c.share.divided {
		return nil
	}
	c.share.claimSent = true
	return &c.share.claim
}

// setStanding records the hub's answer to the claim: the standing, which says whether the tenant is
// over its share. A nil standing means within the share. If the hub did not answer, the standing is
// derived from earlier answers.
func (c *call) setStanding(standing *wire.RoomStanding, answered bool) {
	if !c.share.divided {
		return
	}
	c.share.answered = answered
	now := clock.Now()
	e := c.edge
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if answered {
		c.share.standing = standingFromWire(standing)
		e.shareFallback.Record(now, c.share.class, c.share.standing)
	} else {
		c.share.standing = e.shareFallback.Standing(now, c.share.class, rand.Float64())
	}
}

func standingFromWire(standing *wire.RoomStanding) fairshare.Standing {
	if standing == nil {
		return fairshare.Standing{}
	}
	return fairshare.Standing{
		OverShare: true,
		Demand:    float64(standing.Asked) / wire.RoomRateParts,
		Share:     float64(standing.Share) / wire.RoomRateParts,
		Capacity:  float64(standing.Room) / wire.RoomRateParts,
		Age:       time.Duration(standing.AgeMillis) * time.Millisecond,
	}
}

// queryLoads asks the hub for worker loads, and for the standing of the claim if capacity is
// divided and the claim was not sent yet.
func (c *call) queryLoads() {
	affinityWorkers := c.edge.workers.AffinityWorkers(&c.demand)
	if !c.share.divided || c.share.claimSent {
		c.edge.loads.Query(c.context, loadQueryTimeout, affinityWorkers, c.canProbe())
		return
	}
	standing, answered := c.edge.loads.QueryClaim(c.context, loadQueryTimeout, affinityWorkers, c.capacityClaim(), c.canProbe())
	c.setStanding(standing, answered)
}

// countDemand counts the first search for a worker; noCapacity says that no worker had a free
// slot.
func (c *call) countDemand(noCapacity bool) {
	if !c.share.divided || c.attempts > 0 || c.failedDials > 0 {
		return
	}
	c.countByRank("asked")
	if noCapacity {
		c.edge.shortages.Add(1)
		c.countByRank("short")
	}
	if c.share.standing.OverShare {
		c.countByRank("over")
	}
}

// countStarted counts that the request began to run.
func (c *call) countStarted() {
	if !c.share.divided || c.share.startCounted {
		return
	}
	c.share.startCounted = true
	c.edge.startedRequests.Add(1)
	c.countByRank("given")
}

// countByRank counts the request under its rank.
func (c *call) countByRank(outcome string) {
	c.edge.metrics.capacity.WithLabelValues(strconv.Itoa(c.share.class.Rank), outcome).Inc()
}
