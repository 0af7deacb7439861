// Package loadshare shares the loads of workers among the processes that send requests to them.
// Each process reports its requests in flight and the outcomes of its requests to the hub of its
// zone, and receives the loads of all other processes and which workers are failing. The hubs of
// the zones report the sums over their zones in the same way to the top hub, which is their parent
// hub, so that only sums cross zones. Reports are datagrams; a lost one is replaced by the next.
//
// Reports name processes and workers by short names, which are hashes (Hash, WorkerHash).
package loadshare

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sedgemast/sedgemast/internal/incarnation"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// Interval and MaxInterval are the shortest and the longest time between two reports of a
	// process. Two consecutive reports may be lost within ReportTTL.
	Interval    = 50 * time.Millisecond
	MaxInterval = 125 * time.Millisecond
	// ReportTTL is how long a report counts.
	ReportTTL = 400 * time.Millisecond
	// expireInterval is the time between two scans for expired reports.
	expireInterval = 50 * time.Millisecond
)

// Hash returns the short name of a process: the 32-bit hash that identifies it in reports.
func Hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// WorkerHash returns the short name of a worker, given the name of its incarnation. It is the same
// for all incarnations: loads are reported anew several times a second, and processes that don't
// know about incarnations use the same hash.
func WorkerHash(name string) uint32 { return Hash(incarnation.WorkerID(name)) }

// Hub sums up reports. It does no I/O and is not safe for concurrent use.
type Hub struct {
	sources map[uint32]*source
	// totals holds the sums over all sources by worker, updated as reports arrive and expire.
	totals map[uint32]total
	// stats holds the observed behavior of workers.
	stats map[uint32]*workerStats
	// parentLoads is what the parent hub sent at parentLoadsAt: the loads of all processes that
	// don't report here, and its ratings of the workers.
	parentLoads   map[uint32]wire.WorkerLoad
	parentLoadsAt time.Time
	// parentPartial is set if the parent hub sent only some of the workers of other zones.
	parentPartial bool
	// requestRate is the number of online requests per second that the workers answer, according to
	// the parent hub.
	requestRate float64
	// omitted is the number of rows that the last call of Sums left out.
	omitted int
	// reportedToParent is set while the parent hub counts this hub's sums.
	reportedToParent bool
	nextExpiry       time.Time
	// probations schedules the probes of avoided workers; healthChanges holds the changes since
	// HealthChanges was last called.
	probations    map[uint32]*probation
	healthChanges []HealthChange
	// parentFailing lists the workers that the parent hub calls failing. itemsRunning is set if the
	// parent hub reported batch items at any worker. parentUnprobed holds, for each failing worker,
	// whether items don't probe it.
	parentFailing  []uint32
	itemsRunning   bool
	parentUnprobed map[uint32]bool
}

// source is the last report of a process or of a zone's hub.
type source struct {
	at      time.Time
	workers []wire.WorkerLoad
	// processes is the number of processes that the report covers.
	processes int
}

// total is the load of several processes at a worker. pendingTokens counts prompt tokens still to
// be prefilled.
type total struct{ online, batch, pendingTokens int }

func (t total) plus(load *wire.WorkerLoad, sign int) total {
	t.online += sign * int(load.Online)
	t.batch += sign * int(load.Batch)
	t.pendingTokens += sign * int(load.Unread)
	return t
}

// workerStats is the behavior of a worker as observed by any process.
type workerStats struct {
	orphans orphans
	health  health
	speed   workerSpeed
	// pending is the part of the observations not yet reported to the parent hub.
	pending pendingStats
}

// NewHub returns an empty hub.
func NewHub() *Hub {
	return &Hub{sources: map[uint32]*source{}, totals: map[uint32]total{}, stats: map[uint32]*workerStats{}, probations: map[uint32]*probation{}}
}

// ApplyReport replaces the previous report of the same source and applies the outcomes in it.
func (h *Hub) ApplyReport(now time.Time, report *wire.LoadReport) {
	h.expire(now)
	if previous := h.sources[report.Source]; previous != nil {
		h.count(previous, -1)
		delete(h.sources, report.Source)
	}
	if report.Left {
		return
	}
	latest := &source{at: now, workers: report.Workers, processes: 1}
	if report.Sums {
		latest.processes = int(report.Sources)
	}
	h.sources[report.Source] = latest
	h.count(latest, 1)
	h.applyStats(now, report)
}

// SetParentLoads stores what the parent hub sent: the sums over all processes that don't report
// here, and the ratings of the workers. unlistedRate is the number of online requests that the
// omitted workers answer in ten seconds. partial is set if omitted workers may have load.
func (h *Hub) SetParentLoads(now time.Time, rows []wire.WorkerLoad, unlistedRate int, partial bool) {
	h.parentPartial = partial
	rate := unlistedRate
	for i := range rows {
		rate += int(rows[i].Rate)
	}
	h.requestRate = float64(rate) / reportedRateSeconds

	h.parentLoads = make(map[uint32]wire.WorkerLoad, len(rows))
	h.parentFailing, h.itemsRunning = h.parentFailing[:0], false
	h.parentUnprobed = map[uint32]bool{}
	for _, row := range rows {
		if row.Failing {
			h.parentFailing = append(h.parentFailing, row.Worker)
			h.parentUnprobed[row.Worker] = row.Start > 0
		}
		h.itemsRunning = h.itemsRunning || row.Batch > 0
		// Start is meant for this hub only and is not passed on.
		row.Start = 0
		h.parentLoads[row.Worker] = row
	}
	h.parentLoadsAt = now
}

// RequestRate returns the number of online requests per second that the workers answer, as far as
// the parent hub reported.
func (h *Hub) RequestRate() float64 { return h.requestRate }

// OmittedCount returns how many workers with load the last call of Sums omitted.
func (h *Hub) OmittedCount() int { return h.omitted }

// ParentPartial reports whether the loads of only some workers of other zones are known.
func (h *Hub) ParentPartial() bool { return h.parentPartial }

// hasParentLoads reports whether the loads from the parent hub are still valid.
func (h *Hub) hasParentLoads(now time.Time) bool {
	return !h.parentLoadsAt.IsZero() && now.Sub(h.parentLoadsAt) <= ReportTTL
}

// count adds a source's report to the totals, or subtracts it if sign is -1.
func (h *Hub) count(s *source, sign int) {
	for i := range s.workers {
		load := &s.workers[i]
		sum := h.totals[load.Worker].plus(load, sign)
		if sum == (total{}) {
			delete(h.totals, load.Worker)
			continue
		}
		h.totals[load.Worker] = sum
	}
}

// expire drops expired reports, worker stats and probations.
func (h *Hub) expire(now time.Time) {
	if now.Before(h.nextExpiry) {
		return
	}
	h.nextExpiry = now.Add(expireInterval)
	for name, s := range h.sources {
		if now.Sub(s.at) > ReportTTL {
			h.count(s, -1)
			delete(h.sources, name)
		}
	}
	for worker, stats := range h.stats {
		if stats.health.failing(now); stats.health.readmittedByTime {
			stats.health.readmittedByTime = false
			h.recordChange(now, worker, Readmitted)
		}
		if stats.orphans.stale(now) && stats.health.stale(now) && stats.speed.stale(now) {
			delete(h.stats, worker)
		}
	}
	for worker := range h.probations {
		if !h.avoids(now, worker) {
			delete(h.probations, worker)
		}
	}
}

// applyStats applies the outcomes and event intervals that a process observed at the workers.
func (h *Hub) applyStats(now time.Time, report *wire.LoadReport) {
	for i := range report.Workers {
		load := &report.Workers[i]
		if load.Told == 0 && load.Answered == 0 && load.Failed == 0 && load.Steps == 0 {
			continue
		}
		stats := h.statsFor(load.Worker)
		h.applyOutcomes(now, stats, load.Worker, outcomes{succeeded: int(load.Answered), failed: int(load.Failed), fromZoneHub: report.Sums})
		stats.speed.applyReport(now, load)
		stats.pending.add(load)
		if load.Told > 0 {
			stats.orphans.addSample(now, int(load.Told)-1-h.knownRequests(now, load.Worker))
		}
	}
	for _, probe := range report.Proofs {
		stats := h.statsFor(probe.Worker)
		h.applyOutcomes(now, stats, probe.Worker, outcomes{probesSucceeded: int(probe.Well), fromZoneHub: report.Sums})
		stats.pending.probesSucceeded += int(probe.Well)
	}
}

// statsFor returns the stats of a worker, creating them if there are none.
func (h *Hub) statsFor(worker uint32) *workerStats {
	stats := h.stats[worker]
	if stats == nil {
		stats = &workerStats{}
		h.stats[worker] = stats
	}
	return stats
}

// applyOutcomes applies the outcomes of requests at a worker.
func (h *Hub) applyOutcomes(now time.Time, stats *workerStats, worker uint32, observed outcomes) {
	change := stats.health.applyOutcomes(now, observed)
	if p := h.probations[worker]; p != nil {
		p.applyOutcomes(now, observed)
	}
	// With valid loads from a parent hub, that hub's rating replaces this one's.
	if !h.hasParentLoads(now) {
		h.recordChange(now, worker, change)
	}
}

// knownRequests returns how many requests all processes are known to have at a worker.
func (h *Hub) knownRequests(now time.Time, worker uint32) int {
	sum := h.totals[worker]
	count := sum.online + sum.batch
	if h.hasParentLoads(now) {
		parent := h.parentLoads[worker]
		count += int(parent.Online) + int(parent.Batch)
	}
	return count
}

// PeerLoads returns the sums over all processes except one source and the ratings of the workers,
// ordered by worker hash. Rows without any information are left out.
func (h *Hub) PeerLoads(now time.Time, except uint32) []wire.WorkerLoad {
	return sortedRows(h.collectLoads(now, except))
}

// UpdateFor returns what PeerLoads does, without rows that are not needed or do not fit into a
// datagram.
func (h *Hub) UpdateFor(now time.Time, except uint32) Update {
	return newUpdate(h.collectLoads(now, except))
}

func (h *Hub) collectLoads(now time.Time, except uint32) map[uint32]wire.WorkerLoad {
	h.expire(now)
	loads := make(map[uint32]wire.WorkerLoad, len(h.totals)+len(h.parentLoads))
	for worker, sum := range h.totals {
		loads[worker] = sum.load(worker)
	}
	if own := h.sources[except]; own != nil {
		for i := range own.workers {
			worker := own.workers[i].Worker
			loads[worker] = h.totals[worker].plus(&own.workers[i], -1).load(worker)
		}
	}
	if h.hasParentLoads(now) {
		h.addParentLoads(loads)
	} else {
		h.addStats(now, loads)
	}
	return loads
}

// LoadsOf returns, for each of the workers, the sums over all processes except one source and the
// worker's rating, also if there is no load. Its cost grows with the number of workers given and
// the rows of that source, not with the fleet.
func (h *Hub) LoadsOf(now time.Time, except uint32, workers []uint32) []wire.WorkerLoad {
	h.expire(now)
	own := map[uint32]*wire.WorkerLoad{}
	if s := h.sources[except]; s != nil {
		for i := range s.workers {
			own[s.workers[i].Worker] = &s.workers[i]
		}
	}
	rows := make([]wire.WorkerLoad, 0, len(workers))
	for _, worker := range workers {
		sum := h.totals[worker]
		if reported := own[worker]; reported != nil {
			sum = sum.plus(reported, -1)
		}
		load := sum.load(worker)
		if parent, found := h.parentLoads[worker]; found && h.hasParentLoads(now) {
			load = addLocalLoad(parent, load)
		} else if !h.hasParentLoads(now) {
			load = h.withStats(now, load)
		}
		rows = append(rows, load)
	}
	return rows
}

// addParentLoads adds the loads of the parent hub, and takes over its ratings because they rest on
// more processes.
func (h *Hub) addParentLoads(loads map[uint32]wire.WorkerLoad) {
	for worker, parent := range h.parentLoads {
		loads[worker] = addLocalLoad(parent, loads[worker])
	}
}

// addLocalLoad adds the local sums to the load that the parent hub sent for a worker.
func addLocalLoad(parent, local wire.WorkerLoad) wire.WorkerLoad {
	parent.Online = clamp16(int(parent.Online) + int(local.Online))
	parent.Batch = clamp16(int(parent.Batch) + int(local.Batch))
	parent.Unread = clamp32(int(parent.Unread) + int(local.Unread))
	return parent
}

// addStats adds the stats of all workers that processes reporting here observed.
func (h *Hub) addStats(now time.Time, loads map[uint32]wire.WorkerLoad) {
	for worker := range h.stats {
		load := loads[worker]
		load.Worker = worker
		loads[worker] = h.withStats(now, load)
	}
}

// withStats returns the load with the rating and speed of its worker filled in.
func (h *Hub) withStats(now time.Time, load wire.WorkerLoad) wire.WorkerLoad {
	if stats := h.stats[load.Worker]; stats != nil {
		load.Orphans = clamp16(stats.orphans.count(now))
		load.Failing = stats.health.failing(now)
		load.Step = stats.speed.eventInterval(now)
		load.Rate = stats.speed.rate(now)
	}
	return load
}

// sortedRows returns the loads that are not empty, ordered by worker hash.
func sortedRows(loads map[uint32]wire.WorkerLoad) []wire.WorkerLoad {
	rows := make([]wire.WorkerLoad, 0, len(loads))
	for worker, load := range loads {
		if load != (wire.WorkerLoad{Worker: worker}) {
			rows = append(rows, load)
		}
	}
	slices.SortFunc(rows, func(a, b wire.WorkerLoad) int { return cmp.Compare(a.Worker, b.Worker) })
	return rows
}

func (t total) load(worker uint32) wire.WorkerLoad {
	return wire.WorkerLoad{
		Worker: worker,
		Online: clamp16(t.online),
		Batch:  clamp16(t.batch),
		Unread: clamp32(t.pendingTokens),
	}
}

func clamp16(count int) uint16 { return uint16(min(max(count, 0), math.MaxUint16)) }

func clamp32(count int) uint32 { return uint32(min(max(count, 0), math.MaxUint32)) }

// SourceCount returns the number of processes that report here or to hubs that report here.
func (h *Hub) SourceCount(now time.Time) int {
	count := 0
	for _, s := range h.sources {
		if now.Sub(s.at) <= ReportTTL {
			count += s.processes
		}
	}
	return count
}

const (
	// workersPerRequest sets the interval of hubs: as far as Interval and MaxInterval allow, one
	// request per this many workers may arrive between two reports.
	workersPerRequest = 100
	// minRequestRate is the lowest request rate, in requests per second, used to compute the
	// interval: a burst of requests starts within one report.
	minRequestRate = 10.0
)

// HubReportInterval returns the time between two reports to the top hub, of a zone's hub or of a
// process that runs batch items. perSecond is the request rate of all processes, workers the
// number of workers. It is the shortest interval except in a mostly idle fleet, where loads change
// slowly.
func HubReportInterval(perSecond float64, workers int) time.Duration {
	interval := time.Duration(float64(workers) / (workersPerRequest * max(perSecond, minRequestRate)) * float64(time.Second))
	return min(max(interval, Interval), MaxInterval)
}

// ReportInterval returns the time between two reports of a process that sends perSecond requests a
// second, where the given number of processes share the workers: the time in which all of them
// together send one request to each worker. Reported loads are then off by about one request,
// whatever the size of the fleet.
func ReportInterval(perSecond float64, processes, workers int) time.Duration {
	totalRate := perSecond * float64(max(processes, 1))
	if totalRate <= 0 {
		return MaxInterval
	}
	interval := time.Duration(float64(workers) / totalRate * float64(time.Second))
	return min(max(interval, Interval), MaxInterval)
}
