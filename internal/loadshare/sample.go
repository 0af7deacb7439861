package loadshare

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// maxAnswerRows limits the workers in an answer to a process that serves callers, so that its
	// size does not grow with the fleet: 40 rows of about 27 bytes fit into one packet.
	maxAnswerRows = 40
	// maxSmallZone is the largest number of workers of a zone at which its edges receive all
	// workers with load. In a larger zone, an edge that is about to choose receives a random
	// sample: with 128 workers, the rows of all loaded ones are 3.5 KB eight times a second.
	maxSmallZone = 128
	// sampledNear and sampledFar are the sample sizes from the workers of the zone and of other
	// zones. The best of 36 is among the best tenth of all in 98 of 100 choices, and all rows fit
	// into one packet.
	sampledNear = 36
	sampledFar  = 8
	// maxRequestedWorkers limits the workers that a query may name.
	maxRequestedWorkers = 8
	// maxUpdateRows limits the rows of a hub's report and answer: at most 36 bytes each, so that
	// they fit into a datagram.
	maxUpdateRows = 1500
	// maxRowsWithIdle is the number of rows up to which rows without load are kept.
	maxRowsWithIdle = 256
)

// Subset returns the rows to send to a process of the zone, and whether any were left out. It
// includes all workers of the zone and, as far as they fit, a random sample of the others. Workers
// of the zone come first because most requests go there; workers of other zones matter when the
// zone is full, and then a few of them are enough to choose among. zoneOf returns the zone of a
// worker hash. The order of rows changes.
func Subset(rows []wire.WorkerLoad, zone string, zoneOf func(worker uint32) string, random *rand.Rand) (subset []wire.WorkerLoad, omitted bool) {
	if len(rows) <= maxAnswerRows {
		return rows, false
	}
	near := 0
	for i := range rows {
		if zoneOf(rows[i].Worker) == zone {
			rows[near], rows[i] = rows[i], rows[near]
			near++
		}
	}
	for i := near; i < maxAnswerRows; i++ {
		other := i + random.IntN(len(rows)-i)
		rows[i], rows[other] = rows[other], rows[i]
	}
	return rows[:min(max(near, maxAnswerRows), len(rows))], true
}

// Update is what a hub sends to another hub or to a process that runs batch items.
type Update struct {
	Rows []wire.WorkerLoad
	// UnlistedRate is the number of online requests that the workers left out because they have no
	// load answer in ten seconds.
	UnlistedRate int
	// Omitted is the number of workers with load whose rows did not fit into a datagram.
	Omitted int
}

// newUpdate returns the rows to send for the loads, and consumes loads. If there are many rows, it
// first drops those without load and without problems: in a mostly idle fleet nearly every worker
// has just answered something, and the number of such rows grows with the requests of the last
// seconds. At 10,000 workers and 360 requests a second there were 2,000 of them, which used up the
// half core of the top hub, so that its updates were 2 s old and items waited for 2 s as well. Rows
// beyond the datagram's limit are dropped next, least loaded first.
func newUpdate(loads map[uint32]wire.WorkerLoad) Update {
	update := Update{}
	if len(loads) > maxRowsWithIdle {
		for worker, load := range loads {
			if rowWeight(&load) == 0 {
				update.UnlistedRate += int(load.Rate)
				delete(loads, worker)
			}
		}
	}
	update.Rows = sortedRows(loads)
	if len(update.Rows) > maxUpdateRows {
		slices.SortStableFunc(update.Rows, func(a, b wire.WorkerLoad) int { return cmp.Compare(rowWeight(&b), rowWeight(&a)) })
		update.Omitted = len(update.Rows) - maxUpdateRows
		update.Rows = update.Rows[:maxUpdateRows]
	}
	return update
}

// rowWeight returns how much a row affects the choice of a worker.
func rowWeight(row *wire.WorkerLoad) int {
	load := int(row.Online) + int(row.Batch) + int(row.Orphans) + int(row.Start) + int(row.Stop)
	// A row with observations since the last report weighs as much as one more request, because
	// each observation is sent only once.
	if row.Failing || row.Unread > 0 || row.Failed > 0 || row.Told > 0 || row.Answered > 0 || row.Steps > 0 {
		load++
	}
	return load
}

// Set is a set of worker hashes to sample from. The zero Set is empty.
type Set struct {
	workers []uint32
	index   map[uint32]int
}

// Len returns the number of workers.
func (s *Set) Len() int { return len(s.workers) }

// Has reports whether the worker is in the set.
func (s *Set) Has(worker uint32) bool {
	_, found := s.index[worker]
	return found
}

// Add adds a worker unless it is in the set already.
func (s *Set) Add(worker uint32) {
	if _, found := s.index[worker]; found {
		return
	}
	if s.index == nil {
		s.index = map[uint32]int{}
	}
	s.index[worker] = len(s.workers)
	s.workers = append(s.workers, worker)
}

// Remove removes a worker if it is in the set.
func (s *Set) Remove(worker uint32) {
	at, found := s.index[worker]
	if !found {
		return
	}
	last := len(s.workers) - 1
	s.workers[at] = s.workers[last]
	s.index[s.workers[at]] = at
	s.workers = s.workers[:last]
	delete(s.index, worker)
}

// sample appends count distinct random workers, or all if there are fewer, to sampled.
func (s *Set) sample(random *rand.Rand, count int, sampled []uint32) []uint32 {
	for i := range min(count, len(s.workers)) {
		other := i + random.IntN(len(s.workers)-i)
		s.workers[i], s.workers[other] = s.workers[other], s.workers[i]
		s.index[s.workers[i]], s.index[s.workers[other]] = i, other
		sampled = append(sampled, s.workers[i])
	}
	return sampled
}

// IsLargeZone reports whether a zone has so many workers that an edge receives only a sample of
// them.
func IsLargeZone(near *Set) bool { return near.Len() > maxSmallZone }

// Sample returns the workers, sorted by hash, whose loads an edge that is about to choose receives:
// those it asked for, a random sample of the workers of its zone, and a random sample of the
// workers of other zones.
func Sample(random *rand.Rand, requested []uint32, near, far *Set) []uint32 {
	sampled := slices.Clone(requested[:min(len(requested), maxRequestedWorkers)])
	sampled = near.sample(random, sampledNear, sampled)
	sampled = far.sample(random, sampledFar, sampled)
	slices.Sort(sampled)
	return slices.Compact(sampled)
}
