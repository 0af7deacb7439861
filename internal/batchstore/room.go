package batchstore

import (
	"math"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/fairshare"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// roomLogInterval is the shortest time between two lines on the division of a zone's
	// room.
	roomLogInterval = time.Second
	// namedParties is how many tenants are named in metrics, loggedParties in a line; the
	// others are told together.
	namedParties  = 16
	loggedParties = 4
)

// zoneRoom is the account of the zone's room at its hub: how many online requests a second the
// zone's workers can begin (package fairshare; batchroom's room is free slots). The lock of the
// hubs guards it.
type zoneRoom struct {
	meter *fairshare.Meter
	// names holds the tenants' names by their short ones.
	names map[fairshare.Tenant]string
	// logDue is from when on a division may be logged.
	logDue time.Time
}

func newZoneRoom() *zoneRoom { return &zoneRoom{meter: fairshare.NewMeter()} }

// configure takes in the configuration in force, which may be nil. Without tenants nobody's room
// is divided.
func (z *zoneRoom) configure(now time.Time, table *routetable.Table) {
	z.meter.Configure(now, table.Shares())
	z.names = nil
	if table.Shares() == nil {
		return
	}
	z.names = make(map[fairshare.Tenant]string, len(table.Configuration.Tenants))
	for i := range table.Configuration.Tenants {
		name := table.Configuration.Tenants[i].Name
		z.names[routetable.ShortName(name)] = string(name)
	}
}

// answer takes in what an edge has counted and claims, and returns the standings of those
// over their shares. What was not granted a token of its tenant's limit claims nothing.
func (z *zoneRoom) answer(now time.Time, report *wire.LoadReport, verdicts []wire.TokenVerdict) []wire.RoomStanding {
	if !report.Left {
		z.meter.ApplyCounts(now, report.Source, report.Begun, report.Short)
	}
	var standings []wire.RoomStanding
	for i := range report.Claims {
		claim := &report.Claims[i]
		if refused(report.Tokens, verdicts, claim.Ticket) {
			continue
		}
		standing := z.meter.RecordDemand(now, claim.Ticket, fairshare.Class{Tenant: claim.Tenant, Rank: int(claim.Rank)})
		if !standing.OverShare {
			continue
		}
		standings = append(standings, wire.RoomStanding{
			Ticket:    claim.Ticket,
			Asked:     roomToWire(standing.Demand),
			Share:     roomToWire(standing.Share),
			Room:      roomToWire(standing.Capacity),
			AgeMillis: uint32(max(standing.Age.Milliseconds(), 0)),
		})
	}
	return standings
}

// refused reports whether a request asked for a token and was not granted one.
func refused(questions []wire.TokenQuestion, verdicts []wire.TokenVerdict, ticket uint64) bool {
	for i := range verdicts {
		if verdicts[i].Ticket == ticket {
			return !verdicts[i].Granted
		}
	}
	for i := range questions {
		if questions[i].Ticket == ticket {
			return true
		}
	}
	return false
}

func roomToWire(rate float64) uint32 {
	return uint32(min(max(rate*wire.RoomRateParts, 0), math.MaxUint32))
}

// nameOf names a tenant for people.
func (z *zoneRoom) nameOf(tenant fairshare.Tenant) string {
	if tenant == fairshare.Public {
		return "(public)"
	}
	if name, known := z.names[tenant]; known {
		return name
	}
	return "(unknown)"
}

// logRoom writes down now and then how scarce room is divided, and by what. The lock of the
// hubs is held.
func (s *Store) logRoom(now time.Time) {
	z := s.loads.room
	if z.names == nil || now.Before(z.logDue) {
		return
	}
	z.logDue = now.Add(roomLogInterval)
	summary := z.meter.Summary(now, loggedParties)
	if !summary.Scarce {
		return
	}
	fields := []any{"room", summary.Capacity, "given", summary.Granted, "age_ms", summary.Age.Milliseconds()}
	for i := range summary.Usages {
		use, number := &summary.Usages[i], strconv.Itoa(i+1)
		fields = append(fields, "tenant_"+number, z.nameOf(use.Class.Tenant), "rank_"+number, use.Class.Rank, "asked_"+number, use.Demand, "over_"+number, use.Excess, "share_"+number, use.Share)
	}
	fields = append(fields, "others", summary.OtherCount, "others_asked", summary.Rest.Demand, "others_over", summary.Rest.Excess)
	logging.Info(s.logger, "room_divided", fields...)
}

// roomCollector tells of the zone's room at each look.
type roomCollector struct {
	loads  *loads
	room   *prometheus.Desc
	scarce *prometheus.Desc
	use    *prometheus.Desc
}

func newRoomCollector(l *loads) *roomCollector {
	return &roomCollector{
		loads:  l,
		room:   prometheus.NewDesc("store_room_per_second", "Requests a second that the zone's get while there is no room for more, at its hub.", nil, nil),
		scarce: prometheus.NewDesc("store_room_scarce", "1 while there is too little room in the zone, at its hub.", nil, nil),
		use:    prometheus.NewDesc("store_room_use_per_second", "Requests a second of the largest tenants, the others together: asked, over (the share) and share (while room is scarce).", []string{"tenant", "rank", "kind"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *roomCollector) Describe(descs chan<- *prometheus.Desc) {
	descs <- c.room
	descs <- c.scarce
	descs <- c.use
}

// Collect implements prometheus.Collector.
func (c *roomCollector) Collect(metrics chan<- prometheus.Metric) {
	c.loads.hubs.Lock()
	defer c.loads.hubs.Unlock()
	z := c.loads.room
	if z.names == nil {
		return
	}
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	summary := z.meter.Summary(clock.Now(), namedParties)
	scarce := 0.0
	if summary.Scarce {
		scarce = 1
	}
	gauge(c.room, summary.Capacity)
	gauge(c.scarce, scarce)
	seen := map[[2]string]bool{}
	for _, use := range summary.Usages {
		tenant, rank := z.nameOf(use.Class.Tenant), strconv.Itoa(use.Class.Rank)
		if seen[[2]string{tenant, rank}] {
			// Two that are unknown have one name.
			continue
		}
		seen[[2]string{tenant, rank}] = true
		gauge(c.use, use.Demand, tenant, rank, "asked")
		gauge(c.use, use.Excess, tenant, rank, "over")
		if summary.Scarce && use.Share >= 0 {
			gauge(c.use, use.Share, tenant, rank, "share")
		}
	}
	if summary.OtherCount > 0 {
		gauge(c.use, summary.Rest.Demand, "(others)", "", "asked")
		gauge(c.use, summary.Rest.Excess, "(others)", "", "over")
	}
}
