package routing

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// pointsPerEndpoint is the number of points that each endpoint has on the ring.
	pointsPerEndpoint = 16
	// ringChoices is the number of endpoints proposed by position on the ring.
	ringChoices = 2
	// randomChoices is the number of further endpoints proposed at random.
	randomChoices = 2
	// maxRingWalk bounds the points of the ring that are visited, and likewise the
	// random draws, in search of endpoints that can serve the request.
	maxRingWalk = 64
)

// Ring is a consistent-hash ring that proposes a few endpoints for a request, so that the cost of a
// choice grows only with the logarithm of the number of endpoints. Requests that share the first
// block of their prompt get the same proposals from the ring in every process. The random proposals
// keep load from piling up at these endpoints.
type Ring struct {
	points     []ringPoint
	candidates []*Candidate
}

type ringPoint struct {
	hash      uint64
	candidate *Candidate
}

// NewRing returns a ring of the candidates. It keeps the slice.
func NewRing(candidates []*Candidate) *Ring {
	ring := &Ring{candidates: candidates, points: make([]ringPoint, 0, len(candidates)*pointsPerEndpoint)}
	for _, candidate := range candidates {
		for point := 0; point < pointsPerEndpoint; point++ {
			hash := xxhash.Sum64String(candidate.Name + "#" + strconv.Itoa(point))
			ring.points = append(ring.points, ringPoint{hash: hash, candidate: candidate})
		}
	}
	sort.Slice(ring.points, func(a, b int) bool { return ring.points[a].hash < ring.points[b].hash })
	return ring
}

// Propose returns a few distinct candidates that keep accepts. If the search finds none, it
// returns all candidates that keep accepts.
func (r *Ring) Propose(key uint64, random Random, keep func(*Candidate) bool) []*Candidate {
	proposed := make([]*Candidate, 0, ringChoices+randomChoices)
	start := sort.Search(len(r.points), func(i int) bool { return r.points[i].hash >= key })
	for step := 0; step < min(len(r.points), maxRingWalk) && len(proposed) < ringChoices; step++ {
		candidate := r.points[(start+step)%len(r.points)].candidate
		proposed = appendNew(proposed, candidate, keep)
	}
	for attempt := 0; attempt < maxRingWalk && len(r.candidates) > 0 && len(proposed) < ringChoices+randomChoices; attempt++ {
		if len(proposed) == len(r.candidates) {
			break
		}
		proposed = appendNew(proposed, r.candidates[random.IntN(len(r.candidates))], keep)
	}
	if len(proposed) == 0 {
		// Few endpoints can serve the request: check all of them.
		for _, candidate := range r.candidates {
			proposed = appendNew(proposed, candidate, keep)
		}
	}
	return proposed
}

// appendNew appends the candidate if it is not proposed yet and keep accepts it.
func appendNew(proposed []*Candidate, candidate *Candidate, keep func(*Candidate) bool) []*Candidate {
	for _, existing := range proposed {
		if existing == candidate {
			return proposed
		}
	}
	if !keep(candidate) {
		return proposed
	}
	return append(proposed, candidate)
}
