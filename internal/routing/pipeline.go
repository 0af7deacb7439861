// Package routing chooses an endpoint for a request in steps: filters drop the
// candidates that can't serve it, scorers rate the rest, and a picker selects
// one. It does no I/O, and the caller supplies the source of randomness.
//
// The pipeline counts the results of its steps; daemons export the counts as metrics.
package routing

import "sync/atomic"

// Random is the caller's source of random numbers; *rand.Rand implements it.
type Random interface {
	// IntN returns a number from 0 (inclusive) to n (exclusive).
	IntN(n int) int
}

// Request holds the properties of a request that the steps use.
type Request struct {
	// Batch is set for batch work.
	Batch   bool
	Model   string
	Adapter string
	// Zone is the zone in which the request arrived.
	Zone string
	// Blocks are the chained hashes of the prompt's blocks.
	Blocks []uint64
	// Key is the request's position on the hash ring.
	Key uint64
	// Exclude holds the names of endpoints that earlier attempts used.
	Exclude map[string]bool
	// Version, if set, is the only software version of workers that may serve the request.
	Version string
}

// Candidate is an endpoint that may be chosen: a worker in a dispatcher's
// pipeline, a dispatcher in a gateway's.
type Candidate struct {
	Name     string
	Zone     string
	Version  string
	Models   map[string]bool
	Adapters map[string]bool
	// Unavailable is set while the endpoint is leaving, draining or
	// unresponsive.
	Unavailable bool
	// Load is the share of the endpoint's capacity in use, from 0 to 1.
	Load float64
	// Online is set while the endpoint serves online requests.
	Online bool
	// Prefixes tracks the prompt blocks that the endpoint probably caches; may be nil.
	Prefixes *PrefixIndex
}

// Filter decides whether a candidate can serve a request.
type Filter interface {
	Name() string
	Keep(request *Request, candidate *Candidate) bool
}

// Scorer rates a candidate from 0 to 1.
type Scorer interface {
	Name() string
	Score(request *Request, candidate *Candidate) float64
}

// WeightedScorer is a scorer with the factor by which its score counts in the sum.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// Picker selects one of the scored candidates, of which there is at least one.
type Picker interface {
	Name() string
	Pick(scored []ScoredCandidate, random Random) *Candidate
}

// ScoredCandidate is a candidate with the weighted sum of its scores.
type ScoredCandidate struct {
	Candidate *Candidate
	Score     float64
}

// Pipeline chooses an endpoint with its filters, scorers and picker.
type Pipeline struct {
	filters  []Filter
	scorers  []WeightedScorer
	picker   Picker
	dropped  []atomic.Uint64
	picked   atomic.Uint64
	noneLeft atomic.Uint64
}

// NewPipeline returns a pipeline of the given steps; filters run in order.
func NewPipeline(filters []Filter, scorers []WeightedScorer, picker Picker) *Pipeline {
	return &Pipeline{filters: filters, scorers: scorers, picker: picker, dropped: make([]atomic.Uint64, len(filters))}
}

// Choose returns the endpoint for the request, or nil if the filters drop every candidate.
func (p *Pipeline) Choose(request *Request, candidates []*Candidate, random Random) *Candidate {
	scored := make([]ScoredCandidate, 0, len(candidates))
	for _, candidate := range candidates {
		if p.keep(request, candidate) {
			scored = append(scored, ScoredCandidate{Candidate: candidate, Score: p.score(request, candidate)})
		}
	}
	if len(scored) == 0 {
		p.noneLeft.Add(1)
		return nil
	}
	p.picked.Add(1)
	return p.picker.Pick(scored, random)
}

func (p *Pipeline) keep(request *Request, candidate *Candidate) bool {
	for index, filter := range p.filters {
		if !filter.Keep(request, candidate) {
			p.dropped[index].Add(1)
			return false
		}
	}
	return true
}

func (p *Pipeline) score(request *Request, candidate *Candidate) float64 {
	total := 0.0
	for _, weighted := range p.scorers {
		total += weighted.Weight * weighted.Scorer.Score(request, candidate)
	}
	return total
}

// StepCount is the counter of one step.
type StepCount struct {
	Step  string
	Count uint64
}

// Counts returns the totals so far: candidates dropped by each filter, requests
// for which an endpoint was picked, and requests for which no candidate was left.
func (p *Pipeline) Counts() []StepCount {
	var counts []StepCount
	for index, filter := range p.filters {
		counts = append(counts, StepCount{Step: "filter_" + filter.Name(), Count: p.dropped[index].Load()})
	}
	counts = append(counts, StepCount{Step: "pick_" + p.picker.Name(), Count: p.picked.Load()})
	return append(counts, StepCount{Step: "none_left", Count: p.noneLeft.Load()})
}
