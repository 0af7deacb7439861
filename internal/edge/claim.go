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

// shareState is what a request knows of the division of its zone's room: how many online
// requests a second the zone's workers can begin (package fairshare). It is divided only where
// the configuration names tenants.
type shareState struct {
	divided bool
	claim   wire.RoomClaim
	party   fairshare.Class
	// claimed is set once the hub was asked, told once it has answered.
	claimed  bool
	told     bool
	standing fairshare.Standing
	// counted is set once the request counts as begun.
	counted bool
}

// newShareState returns what a request of the tenant on the route claims by.
func newShareState(table *routetable.Table, tenant *routetable.Tenant, route *routetable.Route) shareState {
	if !table.RequiresKeys() {
		return shareState{}
	}
	party := fairshare.Class{Tenant: fairshare.Public, Rank: tenant.RankOn(route)}
	if tenant != nil {
		party.Tenant = routetable.ShortName(tenant.Name)
	}
	return shareState{
		divided: true,
		party:   party,
		claim:   wire.RoomClaim{Ticket: rand.Uint64(), Tenant: party.Tenant, Rank: int32(party.Rank)},
	}
}

// claim returns what the request brings to the order in which scarce room is given out. Its
// times are by the clock that counts suspensions of this machine.
func (c *call) claim() admission.Entry {
	longest := time.Duration(0)
	c.edge.observe(c.route, func(known *admission.Route) { longest = known.MaxTimeLeft() })
	goal, allowed := c.route.Goal(), c.deadline.Sub(c.arrived)
	arrived := c.bootDeadline.Add(-allowed)
	claim := admission.Entry{
		Rank:         c.tenant.RankOn(c.route),
		OverShare:    c.share.standing.OverShare,
		GoalDeadline: arrived.Add(goal),
		Deadline:     c.bootDeadline,
		Arrived:      arrived,
		Goal:         goal,
		Bytes:        int64(len(c.request.Body)),
	}
	// Without a goal nothing tells when a caller gives up before its time is over.
	if goal > 0 && c.route.Kind == routetable.KindStream {
		claim.Deadline = earliest(c.bootDeadline, arrived.Add(admission.FirstEventTimeout(goal, c.route.GapGoal())))
	}
	// A caller with so much less time than others has been here before: its first attempt
	// was about that much earlier.
	if before, returned := admission.DetectRetry(longest, allowed, goal); goal > 0 && returned {
		claim.Retried = true
		claim.GoalDeadline = claim.GoalDeadline.Add(-before)
	}
	return claim
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// roomClaim returns the claim that goes with a question to the hub, nil for none. Unlike claim it
// is the hub's to judge, and says nothing of this process's queue.
func (c *call) roomClaim() *wire.RoomClaim {
	if !c.share.divided {
		return nil
	}
	c.share.claimed = true
	return &c.share.claim
}

// setStanding takes in the hub's answer to the claim, nil for within the share. Where none came
// the request goes by those before it.
func (c *call) setStanding(told *wire.RoomStanding, answered bool) {
	if !c.share.divided {
		return
	}
	c.share.told = answered
	now := clock.Now()
	e := c.edge
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if answered {
		c.share.standing = standingFromWire(told)
		e.recall.Record(now, c.share.party, c.share.standing)
	} else {
		c.share.standing = e.recall.Standing(now, c.share.party, rand.Float64())
	}
}

func standingFromWire(told *wire.RoomStanding) fairshare.Standing {
	if told == nil {
		return fairshare.Standing{}
	}
	return fairshare.Standing{
		OverShare: true,
		Demand:    float64(told.Asked) / wire.RoomRateParts,
		Share:     float64(told.Share) / wire.RoomRateParts,
		Capacity:  float64(told.Room) / wire.RoomRateParts,
		Age:       time.Duration(told.AgeMillis) * time.Millisecond,
	}
}

// learnLoads asks the hub what it knows of the workers, and where room is divided and the
// claim was not told yet, how it stands.
func (c *call) learnLoads() {
	homes := c.edge.workers.AffinityWorkers(&c.demand)
	if !c.share.divided || c.share.claimed {
		c.edge.loads.Query(c.context, newsPatience, homes, c.mayProbe())
		return
	}
	told, answered := c.edge.loads.QueryClaim(c.context, newsPatience, homes, c.roomClaim(), c.mayProbe())
	c.setStanding(told, answered)
}

// countAsked counts what the first look for a worker came to; short says that none had room.
func (c *call) countAsked(short bool) {
	if !c.share.divided || c.attempts > 0 || c.dials > 0 {
		return
	}
	c.countByRank("asked")
	if short {
		c.edge.short.Add(1)
		c.countByRank("short")
	}
	if c.share.standing.OverShare {
		c.countByRank("over")
	}
}

// countGiven counts that the request began to run.
func (c *call) countGiven() {
	if !c.share.divided || c.share.counted {
		return
	}
	c.share.counted = true
	c.edge.begun.Add(1)
	c.countByRank("given")
}

// countByRank counts the request by its rank.
func (c *call) countByRank(outcome string) {
	c.edge.metrics.room.WithLabelValues(strconv.Itoa(c.share.party.Rank), outcome).Inc()
}
