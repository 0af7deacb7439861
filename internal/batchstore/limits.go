package batchstore

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/fleetwatch"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/ratelimit"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// limiter enforces the tenants' request limits. As the hub of a zone it answers edges. While this
// process is the top hub, it also answers the zones' hubs, as the top. The lock of its owner,
// loads.hubsMutex, guards it.
type limiter struct {
	tolerance ratelimit.Tolerance
	limits    map[ratelimit.Tenant]ratelimit.Limit
	zones     int
	hub       *ratelimit.Hub
	// top is nil until this process becomes the top hub for the first time. lastTopAt is when this
	// process last acted as the top hub.
	top       *ratelimit.Top
	lastTopAt time.Time
}

func newLimiter(now time.Time, tolerance ratelimit.Tolerance) *limiter {
	return &limiter{tolerance: tolerance, zones: 1, hub: ratelimit.NewHub(now, newEpoch(), tolerance)}
}

// newEpoch returns a random number that identifies one incarnation of a hub or top. It is never
// zero, because zero stands for no incarnation.
func newEpoch() uint32 { return rand.Uint32N(math.MaxUint32) + 1 }

// setLimits applies the limits of a configuration, the number of zones that have stores, and the
// tenants' shares of scarce capacity.
func (l *loads) setLimits(snapshot *fleetwatch.Snapshot) {
	limits := snapshot.Table.Limits()
	zones := map[string]bool{}
	for i := range snapshot.Fleet.Stores {
		zones[snapshot.Fleet.Stores[i].Zone] = true
	}
	l.hubsMutex.Lock()
	defer l.hubsMutex.Unlock()
	l.limits.setLimits(limits, len(zones))
	l.capacity.configure(clock.Now(), snapshot.Table)
}

func (l *limiter) setLimits(limits map[ratelimit.Tenant]ratelimit.Limit, zones int) {
	l.limits, l.zones = limits, zones
	l.hub.SetLimits(limits, zones)
	if l.top != nil {
		l.top.SetLimits(limits, zones)
	}
}

// answerTokens answers the token requests of an edge.
func (l *limiter) answerTokens(now time.Time, questions []wire.TokenQuestion) []wire.TokenVerdict {
	var verdicts []wire.TokenVerdict
	for _, question := range questions {
		if question.Back {
			l.hub.Release(now, question.Ticket, question.Tenant)
			continue
		}
		verdict := l.hub.Take(now, question.Ticket, question.Tenant)
		if verdict.Uncertain {
			// The edge asks again soon, here or at another hub.
			continue
		}
		verdicts = append(verdicts, wire.TokenVerdict{
			Ticket:      question.Ticket,
			Granted:     verdict.Granted,
			RetryMillis: uint32(verdict.RetryAfter.Milliseconds()),
			Level:       int32(max(min(verdict.Level, math.MaxInt32), math.MinInt32)),
			AgeMillis:   uint32(min(max(verdict.Age.Milliseconds(), 0), math.MaxUint32)),
		})
	}
	return verdicts
}

// report returns the update for the top, or nil if no tenant has a limit.
func (l *limiter) report(now time.Time) *wire.TenantNews {
	if len(l.limits) == 0 {
		return nil
	}
	return updateToWire(l.hub.Report(now))
}

// applyUpdate applies the top's answer, which may be nil.
func (l *limiter) applyUpdate(now time.Time, update *wire.TenantNews) {
	if update != nil {
		l.hub.Apply(now, updateFromWire(update))
	}
}

// answerHub acts as the top: it applies the report of a hub and returns the answer.
func (l *limiter) answerHub(now time.Time, report *wire.LoadReport) *wire.TenantNews {
	return updateToWire(l.activeTop(now).ApplyReport(now, report.Source, report.Zone, int(report.Sources), updateFromWire(report.Tenants)))
}

// removeHub acts as the top: it removes a hub to which no edge reports any more.
func (l *limiter) removeHub(now time.Time, source uint32) {
	if len(l.limits) > 0 {
		l.activeTop(now).RemoveHub(now, source)
	}
}

// syncOwnHub exchanges updates between the hub and the top of this process.
func (l *limiter) syncOwnHub(now time.Time, source uint32, zone string, edges int) {
	if len(l.limits) > 0 {
		l.hub.Apply(now, l.activeTop(now).ApplyReport(now, source, zone, edges, l.hub.Report(now)))
	}
}

// activeTop returns the top of this process. A top that was last used more than ReportTTL ago is
// replaced by a new one, because another process may have been the top hub since then and may know
// more.
func (l *limiter) activeTop(now time.Time) *ratelimit.Top {
	if l.top == nil || now.Sub(l.lastTopAt) > loadshare.ReportTTL {
		l.top = ratelimit.NewTop(now, newEpoch(), l.tolerance)
		l.top.SetLimits(l.limits, l.zones)
	}
	l.lastTopAt = now
	return l.top
}

const (
	levelScale = 100
	shareScale = 1000
)

func updateToWire(update *ratelimit.Update) *wire.TenantNews {
	message := &wire.TenantNews{Epoch: update.Epoch, Mark: update.Sequence, HeardEpoch: update.AckEpoch, Heard: update.AckSequence, Complete: update.AllZonesJoined}
	for i := range update.Rows {
		row := &update.Rows[i]
		message.Rows = append(message.Rows, wire.TenantRow{
			Tenant:  row.Tenant,
			Count:   row.Taken,
			Level:   int32(max(min(row.Level*levelScale, math.MaxInt32), math.MinInt32)),
			Share:   uint16(row.Share * shareScale),
			Refills: uint16(row.RefillShare * shareScale),
			Joining: row.Joining,
			Counted: row.Counted,
		})
	}
	return message
}

func updateFromWire(message *wire.TenantNews) *ratelimit.Update {
	update := &ratelimit.Update{Epoch: message.Epoch, Sequence: message.Mark, AckEpoch: message.HeardEpoch, AckSequence: message.Heard, AllZonesJoined: message.Complete}
	for i := range message.Rows {
		row := &message.Rows[i]
		update.Rows = append(update.Rows, ratelimit.Row{
			Tenant:      row.Tenant,
			Taken:       row.Count,
			Level:       float64(row.Level) / levelScale,
			Share:       float64(row.Share) / shareScale,
			RefillShare: float64(row.Refills) / shareScale,
			Joining:     row.Joining,
			Counted:     row.Counted,
		})
	}
	return update
}
