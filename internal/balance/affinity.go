package balance

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// affinityCount is the number of affinity workers that a prompt has per zone. With two, one
	// busy worker does not send every such prompt to a worker that has not cached it.
	affinityCount = 2
	// ringProbes is the number of points on the ring at which an affinity worker is looked up;
	// the worker closest after one of the points is taken. With one probe the busiest of 2,000
	// workers would get eight times the mean number of prompts, with 21 probes 1.05 times
	// (Appleton and O'Reilly, Multi-probe consistent hashing, 2015).
	ringProbes = 21
	// maxRingSteps bounds how many workers that don't fit are skipped at each point.
	maxRingSteps = 8
)

// ringMatch is a worker and its distance after a point of the ring.
type ringMatch struct {
	worker   *worker
	distance uint64
}

// findAffinity finds the affinity workers of the prompt among the workers of the zone that fit.
// All processes of the zone consider them for prompts with the same shared parts, so that few
// workers have to process these parts. The choice depends only on hashes of the last shared part
// and of the workers' ids: processes need not coordinate, and a worker that joins or leaves moves
// only the prompts it has affinity with. Apart from the binary search on the ring, the cost
// doesn't depend on the number of workers.
func (t *Table) findAffinity(request *Request, fit func(w *worker) bool) {
	t.affinity = t.affinity[:0]
	p := t.pools[request.Pool]
	if len(request.Parts) < 2 || p == nil || len(p.ring) == 0 {
		return
	}
	var best [affinityCount]ringMatch
	point := xxhash.Sum64String(request.Parts[len(request.Parts)-2].ID)
	for range ringProbes {
		point = splitMix64(point)
		if found := p.ring.firstAfter(point, fit); found.worker != nil {
			keepClosest(&best, found)
		}
	}
	for _, match := range best {
		if match.worker != nil {
			t.affinity = append(t.affinity, match.worker)
		}
	}
}

// AffinityWorkers returns the short names of the zone's affinity workers for the prompt's shared
// parts.
func (t *Table) AffinityWorkers(request *Request) []uint32 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.findAffinity(request, func(w *worker) bool { return w.usable() && !request.Exclude[w.listed.ID] && request.fitsVersion(w) })
	var names []uint32
	for _, w := range t.affinity {
		names = append(names, w.hash)
	}
	return names
}

// firstAfter returns the first worker after the point that fits.
func (r ring) firstAfter(point uint64, fit func(w *worker) bool) ringMatch {
	index := r.find(point)
	for step := range min(maxRingSteps, len(r)) {
		candidate := r[(index+step)%len(r)]
		if fit(candidate) {
			return ringMatch{candidate, candidate.point - point}
		}
	}
	return ringMatch{}
}

// keepClosest inserts a match into the list of the closest distinct workers, sorted by distance.
func keepClosest(best *[affinityCount]ringMatch, found ringMatch) {
	for i := range best {
		if best[i].worker == found.worker {
			best[i].distance = min(best[i].distance, found.distance)
			slices.SortStableFunc(best[:], compareDistance)
			return
		}
	}
	if last := &best[affinityCount-1]; last.worker == nil || found.distance < last.distance {
		*last = found
		slices.SortStableFunc(best[:], compareDistance)
	}
}

// compareDistance orders matches by distance, empty ones last.
func compareDistance(a, b ringMatch) int {
	switch {
	case a.worker == nil && b.worker == nil:
		return 0
	case b.worker == nil || a.worker != nil && a.distance < b.distance:
		return -1
	case a.worker == nil || a.distance > b.distance:
		return 1
	}
	return 0
}

// splitMix64 advances x by the SplitMix64 increment and applies the finalizer.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
