// Package edge is the daemon that takes opaque requests from callers straight to
// workers, and hands jobs to the stores. It passes on what a caller sent byte for
// byte, and what the worker answered. The choice of a worker is made by package
// balance, the route by package routetable.
package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sedgemast/sedgemast/internal/admission"
	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/clock"
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

// Edge is an edge process.
type Edge struct {
	daemon   *daemon.Daemon
	settings *settings.Edge
	logger   logging.Logger
	dialect  *httpheader.Names
	watcher  *fleetwatch.Watcher
	workers  *balance.Table
	upstream *upstream.Client
	loads    *loadshare.Exchange
	// hubs holds the stores in the order in which they are asked to be this process's hub.
	hubs    atomic.Pointer[[]string]
	metrics *metrics
	started time.Time
	// gate holds requests that came before the configuration and the workers were known.
	gate *startGate
	// standstill notices that this process stood still.
	standstill *stall.Detector
	// begun and short count the requests that began to run, and those that found no worker
	// with room, where scarce room is divided.
	begun atomic.Uint32
	short atomic.Uint32

	// Stores hands jobs to the stores.
	Stores *storeclient.Client

	mutex    sync.Mutex
	splitter *routetable.Splitter
	// observed holds what is known of each route's requests, by name.
	observed map[string]*admission.Route
	// overloads holds what is known of each pool's times of overload, by name.
	overloads map[string]*admission.Overload
	// byTimes holds the pools whose workers were compared by predicted times last.
	byTimes map[string]bool
	// reserve is what tenants may send while no hub answers.
	reserve *ratelimit.Reserve
	// recall holds how tenants stood in the division of scarce room.
	recall *fairshare.Fallback
	// poolQueues holds those that wait for workers, by pool; queuesClosed is set once nobody
	// may wait any more.
	poolQueues   map[string]*poolQueue
	queuesClosed bool
	// counted holds the tenants that have counters.
	counted map[tenancy.Name]bool
	// served is done with the first request that was answered as it should be.
	served sync.Once
}

// New prepares the process; d.Run serves it.
func New(d *daemon.Daemon, config *settings.Edge, names *httpheader.Names) *Edge {
	seed := uint64(time.Now().UnixNano())
	e := &Edge{
		daemon:     d,
		settings:   config,
		logger:     d.Logger,
		dialect:    names,
		workers:    balance.NewTable(config.Zone, rand.New(rand.NewPCG(seed, seed))),
		upstream:   upstream.NewClient(names),
		metrics:    newMetrics(d.Registry),
		splitter:   routetable.NewSplitter(),
		observed:   map[string]*admission.Route{},
		overloads:  map[string]*admission.Overload{},
		byTimes:    map[string]bool{},
		poolQueues: map[string]*poolQueue{},
		reserve:    ratelimit.NewReserve(config.Name),
		recall:     fairshare.NewFallback(),
		started:    clock.Now(),
		gate:       newStartGate(),

		standstill: stall.New(clock.Now()),
	}
	e.setHubs(nil)
	e.watcher = fleetwatch.New(d.Logger, d.Traffic, config.Seeds, e.report)
	e.watcher.UseRelays(config.Name, config.Zone)
	e.watcher.OnChange(e.adopt)
	e.Stores = storeclient.New(d.Traffic, config.Zone, func() *wire.FleetView { return &e.watcher.Current().Fleet })
	e.upstream.SetMeter(d.Traffic)
	d.Go(e.watcher.Run)
	e.loads = e.newLoads()
	d.Go(e.shareLoads)
	d.Go(e.watchStandstills)
	d.BeforeStop(e.drain)
	d.BeforeStop(e.closeQueues)
	return e
}

// shareLoads tells the hub of the zone what this process has in flight, and learns what
// the others have.
func (e *Edge) shareLoads(ctx context.Context) {
	if err := e.loads.Run(ctx); err != nil {
		logging.Warn(e.logger, "loads_not_shared", "error", err)
	}
}

// newLoads returns the exchange of loads with the hub of the zone.
func (e *Edge) newLoads() *loadshare.Exchange {
	source := loadshare.Hash(e.settings.Name)
	var rate loadshare.Rate
	return loadshare.NewExchange(&loadshare.Reporter{
		Meter:       e.daemon.Traffic,
		Hubs:        func() []string { return *e.hubs.Load() },
		PreferFirst: true,
		Report: func() *wire.LoadReport {
			report := &wire.LoadReport{Source: source, Zone: e.settings.Zone, Proofs: e.workers.ProbeResults(), Begun: e.begun.Load(), Short: e.short.Load()}
			report.Workers = e.workers.Loads()
			return report
		},
		OnAnswer: func(now time.Time, answer *wire.LoadReport) {
			e.workers.SetPeerLoads(now, answer.Workers, scopeOf(answer))
			e.workers.SetProbes(now, answer.Probes)
			e.heard()
		},
		Interval: func() time.Duration {
			snapshot := e.watcher.Current()
			return loadshare.ReportInterval(rate.Observe(clock.Now(), e.workers.AcquiredCount()), snapshot.Fleet.Edges, snapshot.Workers.Len())
		},
	})
}

// scopeOf says of which workers a hub's answer tells that it does not name.
func scopeOf(answer *wire.LoadReport) balance.Scope {
	switch {
	case answer.Drawn:
		return balance.ScopeNamed
	case answer.Part:
		return balance.ScopeZone
	}
	return balance.ScopeAll
}

func (e *Edge) report() wire.ProcessReport {
	return wire.ProcessReport{Kind: wire.ProcessEdge, Name: e.settings.Name, Zone: e.settings.Zone}
}

// SetSeeds replaces the coordinators that are asked first.
func (e *Edge) SetSeeds(seeds []string) { e.watcher.SetSeeds(seeds) }

// adopt takes in a new snapshot. The process is ready once it has a
// configuration and a list of workers, or a part of it; it stays so when the
// coordinators can't be reached.
func (e *Edge) adopt(snapshot *fleetwatch.Snapshot) {
	e.setHubs(snapshot.Fleet.Stores)
	e.workers.Update(snapshot.Workers, snapshot.Table.MemoryTokens())
	e.upstream.CloseIdle(e.workers.Contains)
	e.keepTenants(snapshot.Table)
	listed := snapshot.Fleet.Listed || snapshot.Fleet.Partial
	if !e.gate.knows(needWorkers) {
		e.workers.Start(clock.Now())
	}
	e.openGate(snapshot.Table, listed)
	e.daemon.SetFleetKnown(snapshot.Table != nil, listed)
	if snapshot.Table != nil && listed && !e.daemon.Stopping() && !e.daemon.Ready() {
		logging.Info(e.logger, "ready", "version", snapshot.Table.Configuration.Version)
		e.daemon.SetReady(true)
	}
}

// setHubs takes in the living stores.
func (e *Edge) setHubs(stores []wire.ProcessAddress) {
	hubs := loadshare.HubOrder(e.settings.Zone, stores)
	e.hubs.Store(&hubs)
}

// keepTenants forgets what is kept of tenants that are gone, their counters included.
func (e *Edge) keepTenants(table *routetable.Table) {
	limits := table.Limits()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.reserve.Retain(limits)
	counted := map[tenancy.Name]bool{}
	if table != nil {
		for i := range table.Configuration.Tenants {
			counted[table.Configuration.Tenants[i].Name] = true
		}
	}
	for name := range e.counted {
		if !counted[name] {
			e.metrics.tenants.DeletePartialMatch(prometheus.Labels{"tenant": string(name)})
		}
	}
	e.counted = counted
}

// drain is the first step of a planned stop: the process is not ready any more,
// but goes on serving until callers are led elsewhere.
func (e *Edge) drain(ctx context.Context) {
	e.gate.stop()
	select {
	case <-ctx.Done():
	case <-time.After(e.settings.UnreadyTime.Std()):
	}
}

// Table returns the configuration in force, or nil before the first one.
func (e *Edge) Table() *routetable.Table { return e.watcher.Current().Table }

// pool chooses the part of the route that the next request belongs to.
func (e *Edge) pool(route *routetable.Route) string {
	if len(route.Parts) == 1 {
		return route.Parts[0].Pool
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.splitter.Next(route, e.workers.Usable)
}

// noteChoice counts a choice, and writes down when the way to compare a pool's workers changes.
func (e *Edge) noteChoice(pool string, lease *balance.Lease) {
	zone, by := "other", "cost"
	if lease.Zone == e.settings.Zone {
		zone = "own"
	}
	if lease.ByPredictedTime {
		by = "times"
	}
	e.metrics.choices.WithLabelValues(zone, by).Inc()
	e.mutex.Lock()
	changed := e.byTimes[pool] != lease.ByPredictedTime
	e.byTimes[pool] = lease.ByPredictedTime
	e.mutex.Unlock()
	if changed {
		near, far := e.workers.Capacity(pool)
		logging.Info(e.logger, "workers_compared", "pool", pool, "by", by, "tells_pace", e.workers.ReportsPace(pool), "own_slots", near.Slots, "own_worth", near.NormalizedSlots, "other_slots", far.Slots, "other_worth", far.NormalizedSlots)
	}
}

// noteDoubts writes down which workers tell other slots than the list says. The smaller count
// is believed.
func (e *Edge) noteDoubts() {
	for _, doubt := range e.workers.SlotMismatches() {
		logging.Warn(e.logger, "worker_tells_other_slots", "worker", doubt.Worker, "listed", doubt.Listed, "told", doubt.Reported)
	}
}

// metrics are what the process counts.
type metrics struct {
	requests *prometheus.CounterVec
	attempts *prometheus.CounterVec
	tenants  *prometheus.CounterVec
	// room counts requests by rank where scarce room is divided, by what came of it.
	room *prometheus.CounterVec
	// ended counts runs under which their worker ended, quarantined the refusals of
	// requests known for that.
	ended       prometheus.Counter
	quarantined prometheus.Counter
	// queued counts what became of requests that found no room at once, queueTime is how
	// long those waited that were sent, queueLength how many wait, by pool.
	queued      *prometheus.CounterVec
	queueTime   *prometheus.HistogramVec
	queueLength *prometheus.GaugeVec
	// held counts requests that came before this process knew what they need.
	held *prometheus.CounterVec
	// probes counts requests sent to avoided workers.
	probes prometheus.Counter
	// choices counts choices of workers, by zone and by how they were compared.
	choices *prometheus.CounterVec
	// standstills counts how often this process stood still.
	standstills prometheus.Counter
	firstTime   *prometheus.HistogramVec
	wholeTime   *prometheus.HistogramVec
}

func newMetrics(registry *prometheus.Registry) *metrics {
	buckets := []float64{.01, .02, .05, .1, .15, .2, .25, .3, .5, .8, 1, 2, 5, 10}
	m := &metrics{
		requests:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "edge_requests_total", Help: "Requests by route and outcome."}, []string{"route", "outcome"}),
		attempts:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "edge_attempts_total", Help: "Requests sent to workers, by outcome."}, []string{"outcome"}),
		tenants:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "edge_tenant_requests_total", Help: "Requests of tenants with a limit, by what came of it."}, []string{"tenant", "outcome"}),
		room:        prometheus.NewCounterVec(prometheus.CounterOpts{Name: "edge_room_requests_total", Help: "Requests by rank where scarce room is divided: asked, short (no worker had room), over (their tenants' shares), given, sent_back (for the share)."}, []string{"rank", "outcome"}),
		ended:       prometheus.NewCounter(prometheus.CounterOpts{Name: "edge_worker_ends_total", Help: "Requests whose worker ended under them."}),
		queued:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "edge_queue_requests_total", Help: "Requests that found no room at once, by what came of it."}, []string{"outcome"}),
		queueTime:   prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "edge_queue_seconds", Help: "Time that requests waited here before they were sent to a worker.", Buckets: buckets}, []string{"route"}),
		queueLength: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "edge_queue_length", Help: "Requests that wait here for a worker with room."}, []string{"pool"}),
		quarantined: prometheus.NewCounter(prometheus.CounterOpts{Name: "edge_quarantined_total", Help: "Requests refused because workers ended under them before."}),
		held:        prometheus.NewCounterVec(prometheus.CounterOpts{Name: "edge_held_total", Help: "Requests that came before the configuration or the workers were known, by what they needed and what came of it."}, []string{"need", "outcome"}),
		probes:      prometheus.NewCounter(prometheus.CounterOpts{Name: "edge_probes_total", Help: "Requests sent to avoided workers to learn whether these are well again."}),
		choices:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "edge_choices_total", Help: "Workers chosen, by their zone (own, other) and by how they were compared (cost, times)."}, []string{"zone", "by"}),
		standstills: prometheus.NewCounter(prometheus.CounterOpts{Name: "edge_standstills_total", Help: "Times for which this process stood still."}),
		firstTime:   prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "edge_first_seconds", Help: "Time to the first byte of an answer.", Buckets: buckets}, []string{"route"}),
		wholeTime:   prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "edge_whole_seconds", Help: "Time to the end of an answer.", Buckets: buckets}, []string{"route"}),
	}
	registry.MustRegister(m.requests, m.attempts, m.tenants, m.ended, m.quarantined, m.held, m.firstTime, m.wholeTime, m.probes, m.choices, m.standstills, m.room, m.queued, m.queueTime, m.queueLength)
	return m
}
