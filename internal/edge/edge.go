// Package edge is the daemon that relays opaque requests from callers directly to workers, and
// submits jobs to the stores. It passes on the caller's request body and the worker's answer byte
// for byte. Package routetable selects the route, package balance the worker.
package edge

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sedgemast/sedgemast/internal/admission"
	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/connlimit"
	"github.com/sedgemast/sedgemast/internal/daemon"
	"github.com/sedgemast/sedgemast/internal/fairshare"
	"github.com/sedgemast/sedgemast/internal/fleetwatch"
	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/ratelimit"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/settings"
	"github.com/sedgemast/sedgemast/internal/stall"
	"github.com/sedgemast/sedgemast/internal/storeclient"
	"github.com/sedgemast/sedgemast/internal/tenancy"
	"github.com/sedgemast/sedgemast/internal/upstream"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Edge relays the requests of callers to workers and submits their jobs to the stores.
type Edge struct {
	daemon      *daemon.Daemon
	settings    *settings.Edge
	logger      logging.Logger
	headerNames *httpheader.Names
	watcher     *fleetwatch.Watcher
	workers     *balance.Table
	upstream    *upstream.Client
	loads       *loadshare.Exchange
	// hubs holds the addresses of the stores in the order in which they are tried as this
	// process's hub.
	hubs    atomic.Pointer[[]string]
	metrics *metrics
	started time.Time
	// heardSince is the snapshots' HeardSince. Only applySnapshot uses it.
	heardSince time.Time
	// gate holds requests that arrived before the configuration and the workers were known.
	gate *startGate
	// origins holds the origins of the streams that this process passed on.
	origins *streamOrigins
	// stallDetector detects that this process did not run for a while.
	stallDetector *stall.Detector
	// startedRequests counts requests that began to run. shortages counts requests that found no
	// worker with a free slot. Both count only where capacity is divided among tenants.
	startedRequests atomic.Uint32
	shortages       atomic.Uint32

	// Connections bounds the connections of callers.
	Connections *connlimit.Limiter
	// Stores submits jobs to the stores.
	Stores *storeclient.Client

	mutex    sync.Mutex
	splitter *routetable.Splitter
	// routeStats holds statistics of each route's requests, by route name.
	routeStats map[string]*admission.Route
	// overloads holds the state of each pool's overload, by pool name.
	overloads map[string]*admission.Overload
	// byPredictedTime says whether a pool's workers were last compared by predicted times, by pool
	// name.
	byPredictedTime map[string]bool
	// reserve is what tenants may send while no hub answers.
	reserve *ratelimit.Reserve
	// shareFallback derives standings (whether a tenant is over its share) from the hub's earlier
	// answers while the hub doesn't answer.
	shareFallback *fairshare.Fallback
	// poolQueues holds the queues of requests that wait for workers, by pool name. queuesClosed is
	// set once no request may be queued any more.
	poolQueues   map[string]*poolQueue
	queuesClosed bool
	// tenantsWithCounters holds the tenants for which counters exist.
	tenantsWithCounters map[tenancy.Name]bool
	// firstServed runs its function at the first request that was answered successfully.
	firstServed sync.Once
}

// New creates the process; d.Run serves it.
func New(d *daemon.Daemon, config *settings.Edge, names *httpheader.Names) *Edge {
	seed := uint64(time.Now().UnixNano())
	e := &Edge{
		daemon:          d,
		settings:        config,
		logger:          d.Logger,
		headerNames:     names,
		workers:         balance.NewTable(config.Zone, rand.New(rand.NewPCG(seed, seed))),
		upstream:        upstream.NewClient(names),
		metrics:         newMetrics(d.Registry),
		splitter:        routetable.NewSplitter(),
		routeStats:      map[string]*admission.Route{},
		overloads:       map[string]*admission.Overload{},
		byPredictedTime: map[string]bool{},
		poolQueues:      map[string]*poolQueue{},
		reserve:         ratelimit.NewReserve(config.Name),
		shareFallback:   fairshare.NewFallback(),
		started:         clock.Now(),
		gate:            newStartGate(),
		origins:         newStreamOrigins(),

		stallDetector: stall.New(clock.Now()),
		Connections:   connlimit.New(cmp.Or(config.MaxConnections, d.CallerConnections())),
	}
	e.setHubs(nil)
	e.watcher = fleetwatch.New(d.Logger, d.Traffic, config.Seeds, e.processReport)
	e.watcher.UseRelays(config.Name, config.Zone)
	e.watcher.OnChange(e.applySnapshot)
	e.Stores = storeclient.New(d.Traffic, config.Zone, func() *wire.FleetView { return &e.watcher.Current().Fleet })
	e.Stores.LimitConnections(d.OutgoingConnections())
	e.upstream.SetMeter(d.Traffic)
	e.upstream.BoundListAge(e.watcher, config.DrainTime.Std())
	d.Registry.MustRegister(e.upstream.HealthMetrics("edge")...)
	// The first answer of a coordinator, which may come at once, needs the exchange.
	e.loads = e.newLoadExchange()
	d.Go(e.watcher.Run)
	d.Go(e.runLoadExchange)
	d.Go(e.watchStalls)
	e.registerConnections(d.Registry)
	d.BeforeStop(e.drain)
	d.BeforeStop(e.closeQueues)
	return e
}

// runLoadExchange reports this process's requests in flight to the hub of the zone, and receives
// the requests in flight of its peers.
func (e *Edge) runLoadExchange(ctx context.Context) {
	if err := e.loads.Run(ctx); err != nil {
		logging.Warn(e.logger, "loads_not_shared", "error", err)
	}
}

// newLoadExchange returns the exchange of loads with the hub of the zone.
func (e *Edge) newLoadExchange() *loadshare.Exchange {
	source := loadshare.Hash(e.settings.Name)
	var rate loadshare.Rate
	return loadshare.NewExchange(&loadshare.Reporter{
		Meter:       e.daemon.Traffic,
		Hubs:        func() []string { return *e.hubs.Load() },
		PreferFirst: true,
		Report: func() *wire.LoadReport {
			report := &wire.LoadReport{Source: source, Zone: e.settings.Zone, Proofs: e.workers.ProbeResults(), Begun: e.startedRequests.Load(), Short: e.shortages.Load()}
			report.Workers = e.workers.Loads()
			return report
		},
		OnAnswer: func(now time.Time, answer *wire.LoadReport) {
			e.workers.SetPeerLoads(now, answer.Workers, answerScope(answer))
			e.workers.SetProbes(now, answer.Probes)
			e.wakeQueues()
		},
		Interval: func() time.Duration {
			snapshot := e.watcher.Current()
			return loadshare.ReportInterval(rate.Observe(clock.Now(), e.workers.AcquiredCount()), snapshot.Fleet.Edges, snapshot.Workers.Len())
		},
	})
}

// answerScope returns which workers a hub's answer covers beyond those it names.
func answerScope(answer *wire.LoadReport) balance.Scope {
	switch {
	case answer.Drawn:
		return balance.ScopeNamed
	case answer.Part:
		return balance.ScopeZone
	}
	return balance.ScopeAll
}

func (e *Edge) processReport() wire.ProcessReport {
	return wire.ProcessReport{Kind: wire.ProcessEdge, Name: e.settings.Name, Zone: e.settings.Zone}
}

// SetSeeds replaces the addresses of the coordinators that are tried first.
func (e *Edge) SetSeeds(seeds []string) { e.watcher.SetSeeds(seeds) }

// applySnapshot applies a new snapshot. The process is ready once it has a configuration and a
// full or partial list of workers, and remains ready when the coordinators can't be reached.
func (e *Edge) applySnapshot(snapshot *fleetwatch.Snapshot) {
	if !snapshot.HeardSince.Equal(e.heardSince) {
		// Another version may have come and gone while this process did not hear from the leader.
		e.heardSince = snapshot.HeardSince
		e.workers.RestartSoleVersions(clock.Now())
	}
	e.setHubs(snapshot.Fleet.Stores)
	e.workers.Update(clock.Now(), snapshot.Workers, snapshot.Table.MemoryTokens())
	e.upstream.CloseIdle(e.workers.Contains)
	e.retainTenants(snapshot.Table)
	listed := snapshot.Fleet.Listed || snapshot.Fleet.Partial
	if !e.gate.isSatisfied(needsWorkers) {
		e.workers.Start(clock.Now())
	}
	e.openGate(snapshot.Table, listed)
	e.daemon.SetFleetKnown(snapshot.Table != nil, listed)
	if snapshot.Table != nil && listed && !e.daemon.Stopping() && !e.daemon.Ready() {
		logging.Info(e.logger, "ready", "version", snapshot.Table.Configuration.Version)
		e.daemon.SetReady(true)
	}
}

// setHubs sets the hubs from the list of live stores. If other hubs keep the origins of streams from
// now on, or one of them has restarted, they get the origins known here.
func (e *Edge) setHubs(stores []wire.ProcessAddress) {
	hubs := loadshare.HubOrder(e.settings.Zone, stores)
	before := e.hubs.Swap(&hubs)
	if before != nil && !slices.Equal(loadshare.OriginHubs(*before), loadshare.OriginHubs(hubs)) {
		e.loads.SendOrigins(e.origins.rows())
	}
}

// retainTenants drops the state and the counters of tenants that were removed from the
// configuration.
func (e *Edge) retainTenants(table *routetable.Table) {
	limits := table.Limits()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.reserve.Retain(limits)
	configured := map[tenancy.Name]bool{}
	if table != nil {
		for i := range table.Configuration.Tenants {
			configured[table.Configuration.Tenants[i].Name] = true
		}
	}
	for name := range e.tenantsWithCounters {
		if !configured[name] {
			e.metrics.tenants.DeletePartialMatch(prometheus.Labels{"tenant": string(name)})
		}
	}
	e.tenantsWithCounters = configured
}

// maxUnreadyDivisor limits the time for which a stopping edge still accepts requests to a part of what is
// left for the stop. The rest is for requests that run.
const maxUnreadyDivisor = 2

// drain is the first step of a planned stop. The process has been marked as not ready; it continues to
// serve what it can until callers have been directed elsewhere.
func (e *Edge) drain(ctx context.Context) {
	e.gate.stop()
	unready := e.settings.UnreadyTime.Std()
	if deadline, ok := ctx.Deadline(); ok {
		unready = min(unready, time.Until(deadline)/maxUnreadyDivisor)
	}
	select {
	case <-ctx.Done():
	case <-time.After(unready):
	}
}

// Table returns the active configuration, or nil before the first one.
func (e *Edge) Table() *routetable.Table { return e.watcher.Current().Table }

// nextPool returns the pool for the next request, by the weights of the route's pools.
func (e *Edge) nextPool(route *routetable.Route) string {
	if len(route.Parts) == 1 {
		return route.Parts[0].Pool
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.splitter.Next(route, e.workers.Usable)
}

// recordSelection counts a selected worker, and logs when the way in which a pool's workers are
// compared changes.
func (e *Edge) recordSelection(pool string, lease *balance.Lease) {
	zone, comparedBy := "other", "cost"
	if lease.Zone == e.settings.Zone {
		zone = "own"
	}
	if lease.ByPredictedTime {
		comparedBy = "times"
	}
	e.metrics.choices.WithLabelValues(zone, comparedBy).Inc()
	e.mutex.Lock()
	changed := e.byPredictedTime[pool] != lease.ByPredictedTime
	e.byPredictedTime[pool] = lease.ByPredictedTime
	e.mutex.Unlock()
	if changed {
		ownZone, otherZones := e.workers.Capacity(pool)
		logging.Info(e.logger, "workers_compared", "pool", pool, "by", comparedBy, "tells_pace", e.workers.ReportsPace(pool), "own_slots", ownZone.Slots, "own_worth", ownZone.NormalizedSlots, "other_slots", otherZones.Slots, "other_worth", otherZones.NormalizedSlots)
	}
}

// logSlotMismatches logs workers that report a slot count other than the listed one. The smaller
// count is used.
func (e *Edge) logSlotMismatches() {
	for _, mismatch := range e.workers.SlotMismatches() {
		logging.Warn(e.logger, "worker_tells_other_slots", "worker", mismatch.Worker, "listed", mismatch.Listed, "told", mismatch.Reported)
	}
}

// metrics holds the metrics of the process.
type metrics struct {
	requests *prometheus.CounterVec
	attempts *prometheus.CounterVec
	tenants  *prometheus.CounterVec
	// capacity counts requests by rank and outcome where capacity is divided among tenants.
	capacity *prometheus.CounterVec
	// workerExits counts requests whose worker exited while it ran them. quarantined counts
	// requests that were rejected because a worker had exited under them before.
	workerExits prometheus.Counter
	quarantined prometheus.Counter
	// queued counts outcomes of requests that found no free slot at once. queueTime is how long
	// requests waited until they were sent to a worker. queueLength is the number of waiting
	// requests, by pool.
	queued      *prometheus.CounterVec
	queueTime   *prometheus.HistogramVec
	queueLength *prometheus.GaugeVec
	// refusals counts answers that are failures, by status, by whose the status is and by whether a
	// worker may have run the request.
	refusals *prometheus.CounterVec
	// exceeded counts parts of answers that were longer than a sound worker's.
	exceeded *prometheus.CounterVec
	// held counts requests that arrived before this process knew what they need.
	held *prometheus.CounterVec
	// probes counts requests sent to avoided workers.
	probes prometheus.Counter
	// resumed counts requests of callers that take up a stream.
	resumed *prometheus.CounterVec
	// continued counts workers that continued a stream which another worker began, by who resumed
	// the stream and by the worker's version.
	continued *prometheus.CounterVec
	// choices counts selected workers, by zone and by how they were compared.
	choices *prometheus.CounterVec
	// listAge is the age of the list of workers at each send.
	listAge prometheus.Histogram
	// stalls counts how often this process stalled.
	stalls        prometheus.Counter
	firstByteTime *prometheus.HistogramVec
	responseTime  *prometheus.HistogramVec
}

func newMetrics(registry *prometheus.Registry) *metrics {
	buckets := []float64{.01, .02, .05, .1, .15, .2, .25, .3, .5, .8, 1, 2, 5, 10}
	m := &metrics{
		requests:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "edge_requests_total", Help: "Requests by route and outcome."}, []string{"route", "outcome"}),
		attempts:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "edge_attempts_total", Help: "Requests sent to workers, by outcome."}, []string{"outcome"}),
		tenants:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "edge_tenant_requests_total", Help: "Requests of tenants with a limit, by what came of it."}, []string{"tenant", "outcome"}),
		capacity:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "edge_room_requests_total", Help: "Requests by rank where scarce room is divided: asked, short (no worker had room), over (their tenants' shares), given, sent_back (for the share)."}, []string{"rank", "outcome"}),
		workerExits:   prometheus.NewCounter(prometheus.CounterOpts{Name: "edge_worker_ends_total", Help: "Requests whose worker ended under them."}),
		queued:        prometheus.NewCounterVec(prometheus.CounterOpts{Name: "edge_queue_requests_total", Help: "Requests that found no room at once, by what came of it."}, []string{"outcome"}),
		queueTime:     prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "edge_queue_seconds", Help: "Time that requests waited here before they were sent to a worker.", Buckets: buckets}, []string{"route"}),
		refusals:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "edge_failed_answers_total", Help: "Answers to callers with a status of 400 or more, by status, by whose status it is (edge, worker) and by whether a worker may have run the request."}, []string{"status", "status_of", "may_have_run"}),
		exceeded:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "edge_exceeded_limits_total", Help: "Parts of workers' answers that were cut because they were longer than a sound worker's, by part."}, []string{"part"}),
		queueLength:   prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "edge_queue_length", Help: "Requests that wait here for a worker with room."}, []string{"pool"}),
		quarantined:   prometheus.NewCounter(prometheus.CounterOpts{Name: "edge_quarantined_total", Help: "Requests refused because workers ended under them before."}),
		held:          prometheus.NewCounterVec(prometheus.CounterOpts{Name: "edge_held_total", Help: "Requests that came before the configuration or the workers were known, by what they needed and what came of it."}, []string{"need", "outcome"}),
		probes:        prometheus.NewCounter(prometheus.CounterOpts{Name: "edge_probes_total", Help: "Requests sent to avoided workers to learn whether these are well again."}),
		resumed:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "edge_resumed_requests_total", Help: "Requests of callers that take up a stream, by how its origin was found: local, hub, sole (one version is listed); unknown and gone are rejected."}, []string{"origin"}),
		continued:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "edge_continued_streams_total", Help: "Streams that went on at another worker, by who resumed them (edge, caller) and by that worker's software version compared with the one that began them (same, other, unknown)."}, []string{"by", "version"}),
		choices:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "edge_choices_total", Help: "Workers chosen, by their zone (own, other) and by how they were compared (cost, times)."}, []string{"zone", "by"}),
		listAge:       prometheus.NewHistogram(prometheus.HistogramOpts{Name: "edge_send_list_age_seconds", Help: "Age of the list of workers when a request was sent to a worker.", Buckets: fleetwatch.ListAgeBuckets}),
		stalls:        prometheus.NewCounter(prometheus.CounterOpts{Name: "edge_standstills_total", Help: "Times for which this process stood still."}),
		firstByteTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "edge_first_seconds", Help: "Time to the first byte of an answer.", Buckets: buckets}, []string{"route"}),
		responseTime:  prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "edge_whole_seconds", Help: "Time to the end of an answer.", Buckets: buckets}, []string{"route"}),
	}
	registry.MustRegister(m.requests, m.attempts, m.tenants, m.workerExits, m.quarantined, m.held, m.firstByteTime, m.responseTime, m.probes, m.resumed, m.continued, m.choices, m.listAge, m.stalls, m.capacity, m.queued, m.queueTime, m.queueLength, m.refusals, m.exceeded)
	return m
}
