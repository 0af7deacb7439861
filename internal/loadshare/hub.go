// Package loadshare lets processes that send requests to the same workers know
// of one another's: each tells a hub what it has in flight and how workers
// answered, and is told what all others have and which workers do badly. Reports
// are datagrams; a lost one is made good by the next.
package loadshare

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// Interval is the shortest time between two reports of a process,
	// MaxInterval the longest; two in a row may be lost within Fresh.
	Interval    = 50 * time.Millisecond
	MaxInterval = 125 * time.Millisecond
	// Fresh is how long a report counts.
	Fresh = 400 * time.Millisecond
	// expireInterval is the time between looks for old reports.
	expireInterval = 50 * time.Millisecond
)

// Hash returns the short name of a worker or process.
func Hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Hub adds the reports up. It is pure and not safe for concurrent use.
type Hub struct {
	sources map[uint32]*source
	// totals are the sums over all sources, kept as reports come and expire.
	totals map[uint32]total
	// watched holds what workers showed of themselves.
	watched   map[uint32]*watched
	expireDue time.Time
}

// source is the last report of a process.
type source struct {
	at      time.Time
	workers []wire.WorkerLoad
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
}

// NewHub returns an empty hub.
func NewHub() *Hub {
	return &Hub{sources: map[uint32]*source{}, totals: map[uint32]total{}, watched: map[uint32]*watched{}}
}

// Take takes in a report.
func (h *Hub) Take(now time.Time, report *wire.LoadReport) {
	h.expire(now)
	if before := h.sources[report.Source]; before != nil {
		h.count(before, -1)
	}
	taken := &source{at: now, workers: report.Workers}
	h.sources[report.Source] = taken
	h.count(taken, 1)
	h.watch(now, report)
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
		if now.Sub(known.at) > Fresh {
			h.count(known, -1)
			delete(h.sources, name)
		}
	}
	for worker, known := range h.watched {
		if known.orphans.stale(now) && known.health.stale(now) && known.pace.stale(now) {
			delete(h.watched, worker)
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
		known := h.watched[load.Worker]
		if known == nil {
			known = &watched{}
			h.watched[load.Worker] = known
		}
		known.health.take(now, int(load.Answered), int(load.Failed))
		known.pace.take(now, load)
		if load.Told > 0 {
			sum := h.totals[load.Worker]
			known.orphans.take(now, int(load.Told)-1-sum.online-sum.batch)
		}
	}
}

// Others returns the sums over all processes but one, and what is known of the
// workers, in the order of the workers' hashes.
func (h *Hub) Others(now time.Time, except uint32) []wire.WorkerLoad {
	h.expire(now)
	loads := make(map[uint32]wire.WorkerLoad, len(h.totals))
	for worker, sum := range h.totals {
		loads[worker] = sum.load(worker)
	}
	if own := h.sources[except]; own != nil {
		for i := range own.workers {
			worker := own.workers[i].Worker
			loads[worker] = h.totals[worker].plus(&own.workers[i], -1).load(worker)
		}
	}
	for worker, known := range h.watched {
		load := loads[worker]
		load.Worker = worker
		load.Orphans = clamp16(known.orphans.count(now))
		load.Failing = known.health.failing(now)
		load.Step = known.pace.step(now)
		load.Rate = known.pace.rate(now)
		loads[worker] = load
	}
	return listed(loads)
}

// listed returns the loads that say anything, in order.
func listed(loads map[uint32]wire.WorkerLoad) []wire.WorkerLoad {
	rows := make([]wire.WorkerLoad, 0, len(loads))
	for worker, load := range loads {
		if load != (wire.WorkerLoad{Worker: worker}) {
			rows = append(rows, load)
		}
	}
	sort.Slice(rows, func(a, b int) bool { return rows[a].Worker < rows[b].Worker })
	return rows
}

func (t total) load(worker uint32) wire.WorkerLoad {
	return wire.WorkerLoad{
		Worker: worker,
		Online: clamp16(t.online),
		Batch:  clamp16(t.batch),
		Unread: uint32(min(max(t.unread, 0), math.MaxUint32)),
	}
}

func clamp16(count int) uint16 { return uint16(min(max(count, 0), math.MaxUint16)) }

// Sources returns how many processes report.
func (h *Hub) Sources(now time.Time) int {
	count := 0
	for _, known := range h.sources {
		if now.Sub(known.at) <= Fresh {
			count++
		}
	}
	return count
}

// Pause returns the time between two reports of a process that sends so many
// requests a second, one of so many processes before so many workers: as long as it
// takes all of them together to send one request to each worker. What is told is
// then wrong by about one request, whatever the size of the fleet.
func Pause(perSecond float64, processes, workers int) time.Duration {
	together := perSecond * float64(max(processes, 1))
	if together <= 0 {
		return MaxInterval
	}
	pause := time.Duration(float64(workers) / together * float64(time.Second))
	return min(max(pause, Interval), MaxInterval)
}
