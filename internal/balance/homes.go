package balance

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// homesOf is how many workers of a zone are the homes of a prompt's shared parts: two,
// so that one busy worker does not send every such prompt to where nobody has read it.
const homesOf = 2

// findHomes finds the homes of the prompt among the fit workers of the zone: those
// that all processes of the zone compare for prompts with the same shared parts, so
// that these parts are read at few workers. They follow from a hash of the last shared
// part and of each worker, so no process has to tell another, and a worker that comes
// or goes moves only the parts that it is the home of.
func (t *Table) findHomes(demand *Demand, fit []*worker) {
	t.homes = t.homes[:0]
	if len(demand.Parts) < 2 {
		return
	}
	part := xxhash.Sum64String(demand.Parts[len(demand.Parts)-2].ID)
	for _, candidate := range fit {
		if t.away(candidate) == 0 {
			t.homes = insertHome(t.homes, candidate, part)
		}
	}
}

// insertHome puts the worker among the homes if it ranks higher than one of them.
func insertHome(homes []*worker, candidate *worker, part uint64) []*worker {
	at := slices.IndexFunc(homes, func(home *worker) bool { return candidate.rank(part) > home.rank(part) })
	switch {
	case at < 0 && len(homes) == homesOf:
		return homes
	case at < 0:
		return append(homes, candidate)
	}
	homes = slices.Insert(homes, at, candidate)
	return homes[:min(len(homes), homesOf)]
}

// rank orders workers as homes of a part, by a mix of both hashes (the finalizer of
// SplitMix64).
func (w *worker) rank(part uint64) uint64 {
	x := part ^ uint64(w.hash)<<32 ^ uint64(w.hash)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
