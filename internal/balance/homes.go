package balance

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// homesOf is how many workers of a zone are the homes of a prompt's shared parts: two,
	// so that one busy worker does not send every such prompt to where nobody has read it.
	homesOf = 2
	// homeProbes is at how many points of the ring a home is looked for: the worker that
	// follows most closely on one of them is taken. With one probe the busiest of 2,000
	// workers would be the home of eight times as many parts as the mean; with 21 of 1.05
	// times (Appleton and O'Reilly, Multi-probe consistent hashing, 2015).
	homeProbes = 21
	// homeSteps bounds how many unfit workers are passed at each point.
	homeSteps = 8
)

// homing is a worker and how closely it follows on a point of the ring.
type homing struct {
	worker   *worker
	distance uint64
}

// findHomes finds the homes of the prompt among the fit workers of the zone: those that
// all processes of the zone compare for prompts with the same shared parts, so that these
// parts are read at few workers. They follow from hashes of the last shared part and of
// the workers' names, so no process has to tell another, and a worker that comes or goes
// moves only the parts that it is the home of. It costs the same however many there are,
// but for the search on the ring.
func (t *Table) findHomes(demand *Request, fit func(w *worker) bool) {
	t.homes = t.homes[:0]
	known := t.pools[demand.Pool]
	if len(demand.Parts) < 2 || known == nil || len(known.ring) == 0 {
		return
	}
	var best [homesOf]homing
	point := xxhash.Sum64String(demand.Parts[len(demand.Parts)-2].ID)
	for range homeProbes {
		point = mix(point)
		if found := known.ring.follow(point, fit); found.worker != nil {
			keepBest(&best, found)
		}
	}
	for _, home := range best {
		if home.worker != nil {
			t.homes = append(t.homes, home.worker)
		}
	}
}

// AffinityWorkers returns the short names of the workers of the zone that are the homes of the
// prompt's shared parts.
func (t *Table) AffinityWorkers(demand *Request) []uint32 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.findHomes(demand, func(w *worker) bool { return w.usable() && !demand.Exclude[w.listed.ID] })
	var names []uint32
	for _, home := range t.homes {
		names = append(names, home.hash)
	}
	return names
}

// follow returns the first fit worker after the point.
func (r ring) follow(point uint64, fit func(w *worker) bool) homing {
	at := r.find(point)
	for step := range min(homeSteps, len(r)) {
		candidate := r[(at+step)%len(r)]
		if fit(candidate) {
			return homing{candidate, candidate.point - point}
		}
	}
	return homing{}
}

// keepBest keeps the closest of different workers, the closest first.
func keepBest(best *[homesOf]homing, found homing) {
	for i := range best {
		if best[i].worker == found.worker {
			best[i].distance = min(best[i].distance, found.distance)
			slices.SortStableFunc(best[:], closer)
			return
		}
	}
	if last := &best[homesOf-1]; last.worker == nil || found.distance < last.distance {
		*last = found
		slices.SortStableFunc(best[:], closer)
	}
}

// closer orders homes by distance, those not found last.
func closer(a, b homing) int {
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

// mix is the finalizer of SplitMix64 after a step of its sequence.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
