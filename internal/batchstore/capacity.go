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
	// capacityLogInterval is the shortest time between two log lines on the division of a zone's
	// capacity.
	capacityLogInterval = time.Second
	// namedClasses is how many classes the metrics name. loggedClasses is how many classes a log
	// line names. A class is one tenant with one rank. The classes that are not named are summed
	// up.
	namedClasses  = 16
	loggedClasses = 4
)

// zoneCapacity measures a zone's capacity at its hub: how many online requests per second the
// zone's workers can start (package fairshare). It is not the batch capacity of package
// batchroom, which counts free slots. hubsMutex guards it.
type zoneCapacity struct {
	meter *fairshare.Meter
	// names holds the tenants' names by their short names, nil if capacity is not divided.
	names map[fairshare.Tenant]string
	// nextLog is the earliest time at which a division may be logged again.
	nextLog time.Time
}

func newZoneCapacity() *zoneCapacity { return &zoneCapacity{meter: fairshare.NewMeter()} }

// configure applies the configuration in force, which may be nil. Without tenants, capacity is
// not divided.
func (z *zoneCapacity) configure(now time.Time, table *routetable.Table) {
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

// answerClaims applies the counts and claims in an edge's report. For each claim of a class that is
// over its share, it returns a standing: the class's demand and share and the zone's capacity. A
// request that asked for a token of its tenant's limit and was not granted one does not count as
// demand.
func (z *zoneCapacity) answerClaims(now time.Time, report *wire.LoadReport, verdicts []wire.TokenVerdict) []wire.RoomStanding {
	if !report.Left {
		z.meter.ApplyCounts(now, report.Source, report.Begun, report.Short)
	}
	var standings []wire.RoomStanding
	for i := range report.Claims {
		claim := &report.Claims[i]
		if tokenDenied(report.Tokens, verdicts, claim.Ticket) {
			continue
		}
		standing := z.meter.RecordDemand(now, claim.Ticket, fairshare.Class{Tenant: claim.Tenant, Rank: int(claim.Rank)})
		if !standing.OverShare {
			continue
		}
		standings = append(standings, wire.RoomStanding{
			Ticket:    claim.Ticket,
			Asked:     rateToWire(standing.Demand),
			Share:     rateToWire(standing.Share),
			Room:      rateToWire(standing.Capacity),
			AgeMillis: uint32(max(standing.Age.Milliseconds(), 0)),
		})
	}
	return standings
}

// tokenDenied reports whether a request asked for a token and was not granted one.
func tokenDenied(questions []wire.TokenQuestion, verdicts []wire.TokenVerdict, ticket uint64) bool {
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

func rateToWire(rate float64) uint32 {
	return uint32(min(max(rate*wire.RoomRateParts, 0), math.MaxUint32))
}

// nameOf returns a tenant's name for logs and metrics.
func (z *zoneCapacity) nameOf(tenant fairshare.Tenant) string {
	if tenant == fairshare.Public {
		return "(public)"
	}
	if name, known := z.names[tenant]; known {
		return name
	}
	return "(unknown)"
}

// logCapacity logs how scarce capacity is divided, at most once per capacityLogInterval. The
// caller holds hubsMutex.
func (s *Store) logCapacity(now time.Time) {
	z := s.loads.capacity
	if z.names == nil || now.Before(z.nextLog) {
		return
	}
	z.nextLog = now.Add(capacityLogInterval)
	summary := z.meter.Summary(now, loggedClasses)
	if !summary.Scarce {
		return
	}
	fields := []any{"room", summary.Capacity, "given", summary.Granted, "age_ms", summary.Age.Milliseconds()}
	for i := range summary.Usages {
		usage, number := &summary.Usages[i], strconv.Itoa(i+1)
		fields = append(fields, "tenant_"+number, z.nameOf(usage.Class.Tenant), "rank_"+number, usage.Class.Rank, "asked_"+number, usage.Demand, "over_"+number, usage.Excess, "share_"+number, usage.Share)
	}
	fields = append(fields, "others", summary.OtherCount, "others_asked", summary.Rest.Demand, "others_over", summary.Rest.Excess)
	logging.Info(s.logger, "room_divided", fields...)
}

// capacityCollector exports the zone's capacity and its use.
type capacityCollector struct {
	loads    *loads
	capacity *prometheus.Desc
	scarce   *prometheus.Desc
	usage    *prometheus.Desc
}

func newCapacityCollector(l *loads) *capacityCollector {
	return &capacityCollector{
		loads:    l,
		capacity: prometheus.NewDesc("store_room_per_second", "Requests a second that the zone's get while there is no room for more, at its hub.", nil, nil),
		scarce:   prometheus.NewDesc("store_room_scarce", "1 while there is too little room in the zone, at its hub.", nil, nil),
		usage:    prometheus.NewDesc("store_room_use_per_second", "Requests a second of the largest tenants, the others together: asked, over (the share) and share (while room is scarce).", []string{"tenant", "rank", "kind"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *capacityCollector) Describe(descs chan<- *prometheus.Desc) {
	descs <- c.capacity
	descs <- c.scarce
	descs <- c.usage
}

// Collect implements prometheus.Collector.
func (c *capacityCollector) Collect(metrics chan<- prometheus.Metric) {
	c.loads.hubsMutex.Lock()
	defer c.loads.hubsMutex.Unlock()
	z := c.loads.capacity
	if z.names == nil {
		return
	}
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	summary := z.meter.Summary(clock.Now(), namedClasses)
	scarce := 0.0
	if summary.Scarce {
		scarce = 1
	}
	gauge(c.capacity, summary.Capacity)
	gauge(c.scarce, scarce)
	seen := map[[2]string]bool{}
	for _, usage := range summary.Usages {
		tenant, rank := z.nameOf(usage.Class.Tenant), strconv.Itoa(usage.Class.Rank)
		if seen[[2]string{tenant, rank}] {
			// All unknown tenants share one name, and a label set may occur only once.
			continue
		}
		seen[[2]string{tenant, rank}] = true
		gauge(c.usage, usage.Demand, tenant, rank, "asked")
		gauge(c.usage, usage.Excess, tenant, rank, "over")
		if summary.Scarce && usage.Share >= 0 {
			gauge(c.usage, usage.Share, tenant, rank, "share")
		}
	}
	if summary.OtherCount > 0 {
		gauge(c.usage, summary.Rest.Demand, "(others)", "", "asked")
		gauge(c.usage, summary.Rest.Excess, "(others)", "", "over")
	}
}
