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

// limiter keeps the tenants' limits of requests: as the hub of a zone, and as the top while
// this process is the top hub. Locks are its owner's.
type limiter struct {
	tolerance ratelimit.Tolerance
	limits    map[ratelimit.Tenant]ratelimit.Limit
	zones     int
	hub       *ratelimit.Hub
	// top is nil until this process is the top hub, topAt is when it last was.
	top   *ratelimit.Top
	topAt time.Time
}

func newLimiter(now time.Time, tolerance ratelimit.Tolerance) *limiter {
	return &limiter{tolerance: tolerance, zones: 1, hub: ratelimit.NewHub(now, newEpoch(), tolerance)}
}

// newEpoch returns a number that tells the lives of a hub or top apart; zero is none.
func newEpoch() uint32 { return rand.Uint32N(math.MaxUint32) + 1 }

// setLimits takes in the limits of a configuration, the zones that have stores, and how
// scarce room is divided.
func (l *loads) setLimits(snapshot *fleetwatch.Snapshot) {
	limits := snapshot.Table.Limits()
	zones := map[string]bool{}
	for i := range snapshot.Fleet.Stores {
		zones[snapshot.Fleet.Stores[i].Zone] = true
	}
	l.hubs.Lock()
	defer l.hubs.Unlock()
	l.limits.set(limits, len(zones))
	l.room.configure(clock.Now(), snapshot.Table)
}

func (l *limiter) set(limits map[ratelimit.Tenant]ratelimit.Limit, zones int) {
	l.limits, l.zones = limits, zones
	l.hub.SetLimits(limits, zones)
	if l.top != nil {
		l.top.SetLimits(limits, zones)
	}
}

// answer answers the questions of an edge.
func (l *limiter) answer(now time.Time, questions []wire.TokenQuestion) []wire.TokenVerdict {
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

// report returns the news for the top, nil where nobody has a limit.
func (l *limiter) report(now time.Time) *wire.TenantNews {
	if len(l.limits) == 0 {
		return nil
	}
	return newsToWire(l.hub.Report(now))
}

// learn takes in the top's answer, which may be nil.
func (l *limiter) learn(now time.Time, news *wire.TenantNews) {
	if news != nil {
		l.hub.Apply(now, newsFromWire(news))
	}
}

// answerHub answers a hub, as the top.
func (l *limiter) answerHub(now time.Time, report *wire.LoadReport) *wire.TenantNews {
	return newsToWire(l.lead(now).ApplyReport(now, report.Source, report.Zone, int(report.Sources), newsFromWire(report.Tenants)))
}

// leave takes in that a hub has nobody left to answer, as the top.
func (l *limiter) leave(now time.Time, source uint32) {
	if len(l.limits) > 0 {
		l.lead(now).RemoveHub(now, source)
	}
}

// tellSelf lets the hub of this process tell the top of this process, and learn from it.
func (l *limiter) tellSelf(now time.Time, source uint32, zone string, edges int) {
	if len(l.limits) > 0 {
		l.hub.Apply(now, l.lead(now).ApplyReport(now, source, zone, edges, l.hub.Report(now)))
	}
}

// lead returns the top that this process is. One that was the top hub a while ago may know
// less than another that was it since.
func (l *limiter) lead(now time.Time) *ratelimit.Top {
	if l.top == nil || now.Sub(l.topAt) > loadshare.ReportTTL {
		l.top = ratelimit.NewTop(now, newEpoch(), l.tolerance)
		l.top.SetLimits(l.limits, l.zones)
	}
	l.topAt = now
	return l.top
}

const (
	levelParts = 100
	shareParts = 1000
)

func newsToWire(news *ratelimit.Update) *wire.TenantNews {
	message := &wire.TenantNews{Epoch: news.Epoch, Mark: news.Sequence, HeardEpoch: news.AckEpoch, Heard: news.AckSequence, Complete: news.AllZonesJoined}
	for i := range news.Rows {
		row := &news.Rows[i]
		message.Rows = append(message.Rows, wire.TenantRow{
			Tenant:  row.Tenant,
			Count:   row.Taken,
			Level:   int32(max(min(row.Level*levelParts, math.MaxInt32), math.MinInt32)),
			Share:   uint16(row.Share * shareParts),
			Refills: uint16(row.RefillShare * shareParts),
			Joining: row.Joining,
			Counted: row.Counted,
		})
	}
	return message
}

func newsFromWire(message *wire.TenantNews) *ratelimit.Update {
	news := &ratelimit.Update{Epoch: message.Epoch, Sequence: message.Mark, AckEpoch: message.HeardEpoch, AckSequence: message.Heard, AllZonesJoined: message.Complete}
	for i := range message.Rows {
		row := &message.Rows[i]
		news.Rows = append(news.Rows, ratelimit.Row{
			Tenant:      row.Tenant,
			Taken:       row.Count,
			Level:       float64(row.Level) / levelParts,
			Share:       float64(row.Share) / shareParts,
			RefillShare: float64(row.Refills) / shareParts,
			Joining:     row.Joining,
			Counted:     row.Counted,
		})
	}
	return news
}
