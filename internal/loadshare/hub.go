// Package loadshare lets processes that send requests to the same workers know
// of one another's. Each tells the hub of its zone what it has in flight and how
// workers answered, and is told what all others have and which workers do badly.
// The hubs of the zones tell the top hub the sums over their zones in the same way,
// so that only sums cross zones. Reports are datagrams; a lost one is made good by
// the next.
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
	// Interval is the shortest time between two reports of a process,
	// MaxInterval the longest; two in a row may be lost within Fresh.
	Interval    = 50 * time.Millisecond
	MaxInterval = 125 * time.Millisecond
	// ReportTTL is how long a report counts.
	ReportTTL = 400 * time.Millisecond
	// expireInterval is the time between looks for old reports.
	expireInterval = 50 * time.Millisecond
)

// Hash returns the short name of a process.
func Hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// WorkerHash returns the short name of a worker by the name of its life. It is the same for
// all its lives: loads are counted anew several times a second, and processes that know of
// no lives tell of the same worker by the same name.
func WorkerHash(name string) uint32 { return Hash(incarnation.WorkerID(name)) }

// Hub adds the reports up. It is pure and not safe for concurrent use.
type Hub struct {
	sources map[uint32]*source
	// totals are the sums over all sources, kept as reports come and expire.
	totals map[uint32]total
	// watched holds what workers showed of themselves.
	watched map[uint32]*watched
	// above is what the hub above told at aboveAt: the loads of all who don't
	// report here, and what it knows of the workers.
	above   map[uint32]wire.WorkerLoad
	aboveAt time.Time
	// abovePart is set where it told of some workers of other zones only.
	abovePart bool
	// perSecond is how many online requests the workers answer, as the hub above told.
	perSecond float64
	// left is how many rows the last sums left out.
	left int
	// toldAbove is set while the hub above counts this one's sums.
	toldAbove bool
	expireDue time.Time
	// probations holds when avoided workers are probed, judgements what has changed in the
	// judgement of workers and is not taken yet.
	probations map[uint32]*probation
	judgements []HealthChange
	// failingAbove are the workers that the hub above calls failing, itemsRun is set where
	// it told of items at any worker, and unprobedAbove are those failing ones that items
	// don't probe all the same.
	failingAbove  []uint32
	itemsRun      bool
	unprobedAbove map[uint32]bool
}

// source is the last report of a process, or of a zone's hub.
type source struct {
	at      time.Time
	workers []wire.WorkerLoad
	// processes is how many processes it speaks for.
	processes int
}

// total is what several processes have at a worker.
type total struct{ online, batch, unread int }

func (t total) plus(load *wire.WorkerLoad, sign int) total {
	t.online += sign * int(load.Online)
	t.batch += sign * int(load.Batch)
	t.unread += sign * int(load.Unread)
	return t
}

// watched is what a worker showed of itself to any process.
type watched struct {
	orphans orphans
	health  health
	pace    pace
	// gathered is what is still to be told to the hub above.
	gathered gathered
}

// NewHub returns an empty hub.
func NewHub() *Hub {
	return &Hub{sources: map[uint32]*source{}, totals: map[uint32]total{}, watched: map[uint32]*watched{}, probations: map[uint32]*probation{}}
}

// ApplyReport takes in a report.
func (h *Hub) ApplyReport(now time.Time, report *wire.LoadReport) {
	h.expire(now)
	if before := h.sources[report.Source]; before != nil {
		h.count(before, -1)
		delete(h.sources, report.Source)
	}
	if report.Left {
		return
	}
	taken := &source{at: now, workers: report.Workers, processes: 1}
	if report.Sums {
		taken.processes = int(report.Sources)
	}
	h.sources[report.Source] = taken
	h.count(taken, 1)
	h.watch(now, report)
}

// SetParentLoads takes in what the hub above tells: the sums over all who don't report
// here, and what is known of the workers over all processes. rest is how many online
// requests workers that were left out answer in ten seconds; part is set where a worker
// with any load may be among them.
func (h *Hub) SetParentLoads(now time.Time, rows []wire.WorkerLoad, rest int, part bool) {
	h.abovePart = part
	rate := rest
	for i := range rows {
		rate += int(rows[i].Rate)
	}
	h.perSecond = float64(rate) / rateSeconds

	h.above = make(map[uint32]wire.WorkerLoad, len(rows))
	h.failingAbove, h.itemsRun = h.failingAbove[:0], false
	h.unprobedAbove = map[uint32]bool{}
	for _, row := range rows {
		if row.Failing {
			h.failingAbove = append(h.failingAbove, row.Worker)
			h.unprobedAbove[row.Worker] = row.Start > 0
		}
		h.itemsRun = h.itemsRun || row.Batch > 0
		// That was for this hub alone.
		row.Start = 0
		h.above[row.Worker] = row
	}
	h.aboveAt = now
}

// RequestRate returns how many online requests the workers answer, as far as the hub above
// told of them.
func (h *Hub) RequestRate() float64 { return h.perSecond }

// OmittedCount returns how many workers with any load the last Sums left out.
func (h *Hub) OmittedCount() int { return h.left }

// ParentPartial reports whether something is known of some workers of other zones only.
func (h *Hub) ParentPartial() bool { return h.abovePart }

// knowsAbove reports whether what the hub above told still counts.
func (h *Hub) knowsAbove(now time.Time) bool {
	return !h.aboveAt.IsZero() && now.Sub(h.aboveAt) <= ReportTTL
}

// count adds a source's report to the totals, or takes it off.
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

// expire drops what is too old to count.
func (h *Hub) expire(now time.Time) {
	if now.Before(h.expireDue) {
		return
	}
	h.expireDue = now.Add(expireInterval)
	for name, known := range h.sources {
		if now.Sub(known.at) > ReportTTL {
			h.count(known, -1)
			delete(h.sources, name)
		}
	}
	for worker, known := range h.watched {
		if known.health.failing(now); known.health.lapsed {
			known.health.lapsed = false
			h.judged(now, worker, Readmitted)
		}
		if known.orphans.stale(now) && known.health.stale(now) && known.pace.stale(now) {
			delete(h.watched, worker)
		}
	}
	for worker := range h.probations {
		if !h.avoids(now, worker) {
			delete(h.probations, worker)
		}
	}
}

// watch takes in how workers answered the reporting process.
func (h *Hub) watch(now time.Time, report *wire.LoadReport) {
	for i := range report.Workers {
		load := &report.Workers[i]
		if load.Told == 0 && load.Answered == 0 && load.Failed == 0 && load.Steps == 0 {
			continue
		}
		known := h.watchedAt(load.Worker)
		h.takeAnswers(now, known, load.Worker, outcomes{well: int(load.Answered), failed: int(load.Failed), online: report.Sums})
		known.pace.take(now, load)
		known.gathered.take(load)
		if load.Told > 0 {
			known.orphans.take(now, int(load.Told)-1-h.known(now, load.Worker))
		}
	}
	for _, proof := range report.Proofs {
		known := h.watchedAt(proof.Worker)
		h.takeAnswers(now, known, proof.Worker, outcomes{proofs: int(proof.Well), online: report.Sums})
		known.gathered.proofs += int(proof.Well)
	}
}

// watchedAt returns what a worker showed of itself, to be added to.
func (h *Hub) watchedAt(worker uint32) *watched {
	known := h.watched[worker]
	if known == nil {
		known = &watched{}
		h.watched[worker] = known
	}
	return known
}

// takeAnswers takes in how a worker answered a process.
func (h *Hub) takeAnswers(now time.Time, known *watched, worker uint32, got outcomes) {
	change := known.health.take(now, got)
	if probed := h.probations[worker]; probed != nil {
		probed.take(now, got)
	}
	// With a hub above, this one's own judgement counts for nothing.
	if !h.knowsAbove(now) {
		h.judged(now, worker, change)
	}
}

// known returns how many requests anybody is known to have at a worker.
func (h *Hub) known(now time.Time, worker uint32) int {
	sum := h.totals[worker]
	count := sum.online + sum.batch
	if h.knowsAbove(now) {
		others := h.above[worker]
		count += int(others.Online) + int(others.Batch)
	}
	return count
}

// PeerLoads returns the sums over all processes but one source, and what is known of
// the workers, in the order of the workers' hashes.
func (h *Hub) PeerLoads(now time.Time, except uint32) []wire.WorkerLoad {
	return listed(h.gather(now, except))
}

// UpdateFor returns what Others does, less what need not be told or does not fit.
func (h *Hub) UpdateFor(now time.Time, except uint32) Update {
	return loadedOf(h.gather(now, except))
}

func (h *Hub) gather(now time.Time, except uint32) map[uint32]wire.WorkerLoad {
	h.expire(now)
	loads := make(map[uint32]wire.WorkerLoad, len(h.totals)+len(h.above))
	for worker, sum := range h.totals {
		loads[worker] = sum.load(worker)
	}
	if own := h.sources[except]; own != nil {
		for i := range own.workers {
			worker := own.workers[i].Worker
			loads[worker] = h.totals[worker].plus(&own.workers[i], -1).load(worker)
		}
	}
	if h.knowsAbove(now) {
		h.addAbove(loads)
	} else {
		h.addWatched(now, loads)
	}
	return loads
}

// LoadsOf returns, for each of the workers, the sums over all processes but one source and
// what is known of it, also where that is nothing. It costs as much as there are names.
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
		if mine := own[worker]; mine != nil {
			sum = sum.plus(mine, -1)
		}
		load := sum.load(worker)
		if others, found := h.above[worker]; found && h.knowsAbove(now) {
			load = joined(others, load)
		} else if !h.knowsAbove(now) {
			load = h.showed(now, load)
		}
		rows = append(rows, load)
	}
	return rows
}

// addAbove adds what the hub above told, which knows more of the workers than this
// one does.
func (h *Hub) addAbove(loads map[uint32]wire.WorkerLoad) {
	for worker, others := range h.above {
		loads[worker] = joined(others, loads[worker])
	}
}

// joined adds the sums here to what the hub above told of a worker.
func joined(others, load wire.WorkerLoad) wire.WorkerLoad {
	others.Online = clamp16(int(others.Online) + int(load.Online))
	others.Batch = clamp16(int(others.Batch) + int(load.Batch))
	others.Unread = clamp32(int(others.Unread) + int(load.Unread))
	return others
}

// addWatched adds what workers showed of themselves to those who report here.
func (h *Hub) addWatched(now time.Time, loads map[uint32]wire.WorkerLoad) {
	for worker := range h.watched {
		load := loads[worker]
		load.Worker = worker
		loads[worker] = h.showed(now, load)
	}
}

// showed adds what a worker showed of itself to its load.
func (h *Hub) showed(now time.Time, load wire.WorkerLoad) wire.WorkerLoad {
	if known := h.watched[load.Worker]; known != nil {
		load.Orphans = clamp16(known.orphans.count(now))
		load.Failing = known.health.failing(now)
		load.Step = known.pace.step(now)
		load.Rate = known.pace.rate(now)
	}
	return load
}

// listed returns the loads that say anything, in order.
func listed(loads map[uint32]wire.WorkerLoad) []wire.WorkerLoad {
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
		Unread: clamp32(t.unread),
	}
}

func clamp16(count int) uint16 { return uint16(min(max(count, 0), math.MaxUint16)) }

func clamp32(count int) uint32 { return uint32(min(max(count, 0), math.MaxUint32)) }

// SourceCount returns how many processes report, here or to hubs that report here.
func (h *Hub) SourceCount(now time.Time) int {
	count := 0
	for _, known := range h.sources {
		if now.Sub(known.at) <= ReportTTL {
			count += known.processes
		}
	}
	return count
}

const (
	// requestsPart is the part of the workers, one in so many, that may get a request
	// between two reports of a hub.
	requestsPart = 100
	// leastPerSecond is the rate that is reckoned with at least: a wave of requests begins
	// within a report.
	leastPerSecond = 10.0
)

// HubReportInterval returns the time between two reports of a zone's hub, or of a process that runs
// items, to the top hub, where all processes send so many requests a second to so many
// workers: the shortest but in a fleet whose workers mostly idle, where news age slowly.
func HubReportInterval(perSecond float64, workers int) time.Duration {
	pause := time.Duration(float64(workers) / (requestsPart * max(perSecond, leastPerSecond)) * float64(time.Second))
	return min(max(pause, Interval), MaxInterval)
}

// ReportInterval returns the time between two reports of a process that sends so many
// requests a second, one of so many processes before so many workers: as long as it
// takes all of them together to send one request to each worker. What is told is
// then wrong by about one request, whatever the size of the fleet.
func ReportInterval(perSecond float64, processes, workers int) time.Duration {
	together := perSecond * float64(max(processes, 1))
	if together <= 0 {
		return MaxInterval
	}
	pause := time.Duration(float64(workers) / together * float64(time.Second))
	return min(max(pause, Interval), MaxInterval)
}
