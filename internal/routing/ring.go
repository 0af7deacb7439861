package routing

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// pointsPerEndpoint spreads each endpoint over the ring.
	pointsPerEndpoint = 16
	// ringChoices is how many endpoints the ring proposes for one key.
	ringChoices = 2
	// randomChoices is how many endpoints are proposed at random besides.
	randomChoices = 2
	// maxRingWalk bounds the search for proposals that may serve the request.
	maxRingWalk = 64
)

// Ring proposes a few endpoints for a request, so that the cost of a choice
// grows with the logarithm of their number. Requests that share the first
// block of their prompt get the same proposals from the ring, in any process;
// the random ones keep load from piling up.
type Ring struct {
	points []ringPoint
	all    []*Candidate
}

type ringPoint struct {
	hash      uint64
	candidate *Candidate
}

// NewRing returns the ring of the candidates.
func NewRing(candidates []*Candidate) *Ring {
	ring := &Ring{all: candidates, points: make([]ringPoint, 0, len(candidates)*pointsPerEndpoint)}
	for _, candidate := range candidates {
		for point := 0; point < pointsPerEndpoint; point++ {
			hash := xxhash.Sum64String(candidate.Name + "#" + strconv.Itoa(point))
			ring.points = append(ring.points, ringPoint{hash: hash, candidate: candidate})
		}
	}
	sort.Slice(ring.points, func(a, b int) bool { return ring.points[a].hash < ring.points[b].hash })
	return ring
}

// Propose returns a few different candidates that the keep function accepts.
func (r *Ring) Propose(key uint64, random Random, keep func(*Candidate) bool) []*Candidate {
	proposed := make([]*Candidate, 0, ringChoices+randomChoices)
	start := sort.Search(len(r.points), func(i int) bool { return r.points[i].hash >= key })
	for step := 0; step < min(len(r.points), maxRingWalk) && len(proposed) < ringChoices; step++ {
		candidate := r.points[(start+step)%len(r.points)].candidate
		proposed = appendNew(proposed, candidate, keep)
	}
	for try := 0; try < maxRingWalk && len(r.all) > 0 && len(proposed) < ringChoices+randomChoices; try++ {
		if len(proposed) == len(r.all) {
			break
		}
		proposed = appendNew(proposed, r.all[random.IntN(len(r.all))], keep)
	}
	if len(proposed) == 0 {
		// Few endpoints can serve the request: look at all of them.
		for _, candidate := range r.all {
			proposed = appendNew(proposed, candidate, keep)
		}
	}
	return proposed
}

func appendNew(proposed []*Candidate, candidate *Candidate, keep func(*Candidate) bool) []*Candidate {
	for _, known := range proposed {
		if known == candidate {
			return proposed
		}
	}
	if !keep(candidate) {
		return proposed
	}
	return append(proposed, candidate)
}
