package loadshare

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// maxRows bounds the workers of an answer to a process that serves callers, so that
	// what each process is told stays the same however large the fleet is: 40 rows of some
	// 27 bytes fit into one packet.
	maxRows = 40
	// mostNear is how many workers a zone may have for its edges to be told of all that
	// have any load. In a larger one an edge that is about to choose is told of some, drawn
	// by lot: with 128 workers, rows of all loaded ones are 3.5 KB eight times a second.
	mostNear = 128
	// drawnNear and drawnFar are how many workers of the zone and of others are drawn then.
	// The best of 36 is among the best tenth of all in 98 of 100 choices, and all fit into
	// one packet.
	drawnNear = 36
	drawnFar  = 8
	// maxAsked bounds the workers that a question may name.
	maxAsked = 8
	// maxTold bounds the rows of a hub's report and answer: 36 bytes each at most, so that
	// they fit into a datagram.
	maxTold = 1500
	// mostQuiet is up to how many rows those that tell of no load are kept.
	mostQuiet = 256
)

// Subset returns the rows to tell a process of the zone, and whether some were left out:
// those of the zone's workers, and as many of the others, drawn by lot, as there is
// room for. Workers of the zone come first because most requests go there; the others
// matter where the zone is full, and then a few are enough to choose among. zoneOf
// names the zone of a worker by its short name.
func Subset(rows []wire.WorkerLoad, zone string, zoneOf func(worker uint32) string, random *rand.Rand) (part []wire.WorkerLoad, left bool) {
	if len(rows) <= maxRows {
		return rows, false
	}
	near := 0
	for i := range rows {
		if zoneOf(rows[i].Worker) == zone {
			rows[near], rows[i] = rows[i], rows[near]
			near++
		}
	}
	for i := near; i < maxRows; i++ {
		other := i + random.IntN(len(rows)-i)
		rows[i], rows[other] = rows[other], rows[i]
	}
	return rows[:min(max(near, maxRows), len(rows))], true
}

// Update is what a hub tells another one, or a process that runs items.
type Update struct {
	Rows []wire.WorkerLoad
	// UnlistedRate is how many online requests the workers left out, because they have no load,
	// answer in ten seconds.
	UnlistedRate int
	// Omitted counts workers with any load that did not fit into a datagram.
	Omitted int
}

// loadedOf returns what to tell of the loads. Where there are many rows, those go that tell
// of no load and nothing bad: in a fleet that mostly idles nearly each worker has just
// answered something, and rows grow with the requests of some seconds (2,000 at 10,000
// workers and 360 requests a second, which took the top hub all of its half core: its news
// were 2 s old, and so long did items wait). What does not fit into a datagram goes next,
// those with the least load first.
func loadedOf(loads map[uint32]wire.WorkerLoad) Update {
	told := Update{}
	if len(loads) > mostQuiet {
		for worker, load := range loads {
			if weight(&load) == 0 {
				told.UnlistedRate += int(load.Rate)
				delete(loads, worker)
			}
		}
	}
	told.Rows = listed(loads)
	if len(told.Rows) > maxTold {
		slices.SortStableFunc(told.Rows, func(a, b wire.WorkerLoad) int { return cmp.Compare(weight(&b), weight(&a)) })
		told.Omitted = len(told.Rows) - maxTold
		told.Rows = told.Rows[:maxTold]
	}
	return told
}

// weight is how much a row tells that changes a choice.
func weight(row *wire.WorkerLoad) int {
	load := int(row.Online) + int(row.Batch) + int(row.Orphans) + int(row.Start) + int(row.Stop)
	// What processes saw since their last report is told once, and counts as one request.
	if row.Failing || row.Unread > 0 || row.Failed > 0 || row.Told > 0 || row.Answered > 0 || row.Steps > 0 {
		load++
	}
	return load
}

// Set is a set of workers to draw from, by short name. The zero Set is empty.
type Set struct {
	workers []uint32
	place   map[uint32]int
}

// Len returns how many there are.
func (l *Set) Len() int { return len(l.workers) }

// Has reports whether the worker is one of them.
func (l *Set) Has(worker uint32) bool {
	_, found := l.place[worker]
	return found
}

// Add adds a worker.
func (l *Set) Add(worker uint32) {
	if _, found := l.place[worker]; found {
		return
	}
	if l.place == nil {
		l.place = map[uint32]int{}
	}
	l.place[worker] = len(l.workers)
	l.workers = append(l.workers, worker)
}

// Remove takes a worker out.
func (l *Set) Remove(worker uint32) {
	at, found := l.place[worker]
	if !found {
		return
	}
	last := len(l.workers) - 1
	l.workers[at] = l.workers[last]
	l.place[l.workers[at]] = at
	l.workers = l.workers[:last]
	delete(l.place, worker)
}

// draw adds so many different workers, or all, to those drawn.
func (l *Set) draw(random *rand.Rand, count int, drawn []uint32) []uint32 {
	for i := range min(count, len(l.workers)) {
		other := i + random.IntN(len(l.workers)-i)
		l.workers[i], l.workers[other] = l.workers[other], l.workers[i]
		l.place[l.workers[i]], l.place[l.workers[other]] = i, other
		drawn = append(drawn, l.workers[i])
	}
	return drawn
}

// Large reports whether a zone has so many workers that an edge is told of some only.
func Large(near *Set) bool { return near.Len() > mostNear }

// Sample returns the workers to tell an edge of that is about to choose: those asked for, and
// some of its zone and of others.
func Sample(random *rand.Rand, asked []uint32, near, far *Set) []uint32 {
	drawn := slices.Clone(asked[:min(len(asked), maxAsked)])
	drawn = near.draw(random, drawnNear, drawn)
	drawn = far.draw(random, drawnFar, drawn)
	slices.Sort(drawn)
	return slices.Compact(drawn)
}
