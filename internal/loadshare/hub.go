// Package loadshare lets processes that send requests to the same workers know
// of one another's: each tells a hub what it has in flight, and is told what all
// others have. Reports are datagrams; a lost one is made good by the next.
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
)

// Hash returns the short name of a worker or process.
func Hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

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

// Hub adds the reports up. It is pure and not safe for concurrent use.
type Hub struct {
	sources map[uint32]*source
	// orphans holds an estimate of each worker that tells its load.
	orphans map[uint32]*orphans
}

// source is the last report of a process.
type source struct {
	at      time.Time
	workers []wire.WorkerLoad
}

// NewHub returns an empty hub.
func NewHub() *Hub {
	return &Hub{sources: map[uint32]*source{}, orphans: map[uint32]*orphans{}}
}

// Take takes in a report.
func (h *Hub) Take(now time.Time, report *wire.LoadReport) {
	h.sources[report.Source] = &source{at: now, workers: report.Workers}
	for name, known := range h.sources {
		if now.Sub(known.at) > Fresh {
			delete(h.sources, name)
		}
	}
	h.compare(now, report)
}

// compare takes in what workers have told the reporting process.
func (h *Hub) compare(now time.Time, report *wire.LoadReport) {
	for i := range report.Workers {
		load := &report.Workers[i]
		if load.Told == 0 {
			continue
		}
		known := h.sum(now, load.Worker)
		estimate := h.orphans[load.Worker]
		if estimate == nil {
			estimate = &orphans{}
			h.orphans[load.Worker] = estimate
		}
		estimate.take(now, int(load.Told)-1-int(known.Online)-int(known.Batch))
	}
	for worker, estimate := range h.orphans {
		if estimate.stale(now) {
			delete(h.orphans, worker)
		}
	}
}

// sum adds up what all processes have at the worker.
func (h *Hub) sum(now time.Time, worker uint32) wire.WorkerLoad {
	var sum wire.WorkerLoad
	for _, known := range h.sources {
		if now.Sub(known.at) > Fresh {
			continue
		}
		for _, load := range known.workers {
			if load.Worker == worker {
				sum = add(sum, load)
			}
		}
	}
	return sum
}

// Others returns the sums over all processes but one, in the order of the
// workers' hashes.
func (h *Hub) Others(now time.Time, except uint32) []wire.WorkerLoad {
	sums := map[uint32]wire.WorkerLoad{}
	for name, known := range h.sources {
		if name == except || now.Sub(known.at) > Fresh {
			continue
		}
		for _, load := range known.workers {
			sums[load.Worker] = add(sums[load.Worker], load)
		}
	}
	for worker, estimate := range h.orphans {
		if count := estimate.count(now); count > 0 {
			load := sums[worker]
			load.Worker, load.Orphans = worker, uint16(min(count, math.MaxUint16))
			sums[worker] = load
		}
	}
	loads := make([]wire.WorkerLoad, 0, len(sums))
	for _, load := range sums {
		loads = append(loads, load)
	}
	sort.Slice(loads, func(a, b int) bool { return loads[a].Worker < loads[b].Worker })
	return loads
}

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

func add(sum, load wire.WorkerLoad) wire.WorkerLoad {
	sum.Worker = load.Worker
	sum.Online += load.Online
	sum.Batch += load.Batch
	sum.Unread += load.Unread
	return sum
}
