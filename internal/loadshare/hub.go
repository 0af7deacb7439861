// Package loadshare lets processes that send requests to the same workers know
// of one another's: each tells a hub what it has in flight, and is told what all
// others have. Reports are datagrams; a lost one is made good by the next.
package loadshare

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// Interval is the time between two reports of a process.
	Interval = 50 * time.Millisecond
	// Fresh is how long a report counts.
	Fresh = 400 * time.Millisecond
)

// Hash returns the short name of a worker or process.
func Hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Hub adds the reports up. It is pure and not safe for concurrent use.
type Hub struct {
	sources map[uint32]*source
}

// source is the last report of a process.
type source struct {
	at      time.Time
	workers []wire.WorkerLoad
}

// NewHub returns an empty hub.
func NewHub() *Hub { return &Hub{sources: map[uint32]*source{}} }

// Take takes in a report.
func (h *Hub) Take(now time.Time, report *wire.LoadReport) {
	h.sources[report.Source] = &source{at: now, workers: report.Workers}
	for name, known := range h.sources {
		if now.Sub(known.at) > Fresh {
			delete(h.sources, name)
		}
	}
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
