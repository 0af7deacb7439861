// Package routing chooses an endpoint for a request in small steps: filters
// drop candidates that can't serve it, scorers rate the rest, a picker takes
// one. It is pure: randomness comes from the caller's source.
//
// Each step counts what it did; the daemons export the counts as metrics.
package routing

import "sync/atomic"

// Random is the caller's source of random numbers; *rand.Rand implements it.
type Random interface {
	// IntN returns a number from 0 (inclusive) to n (exclusive).
	IntN(n int) int
}

// Request is what the steps know of a request.
type Request struct {
	// Batch is set for batch work.
	Batch   bool
	Model   string
	Adapter string
	// Zone is where the request came in.
	Zone string
	// Blocks are the chained hashes of the prompt's blocks.
	Blocks []uint64
	// Key is the request's place on the ring.
	Key uint64
	// Exclude names endpoints that were tried already.
	Exclude map[string]bool
}

// Candidate is an endpoint: a worker for a dispatcher, a dispatcher for a
// gateway.
type Candidate struct {
	Name     string
	Zone     string
	Models   map[string]bool
	Adapters map[string]bool
	// Unavailable is set while the endpoint is leaving, draining or silent.
	Unavailable bool
	// Load is the share of the endpoint's capacity in use, from 0 to 1.
	Load float64
	// Online is set while the endpoint serves online requests.
	Online bool
	// Prefixes knows which blocks the endpoint probably caches; may be nil.
	Prefixes *PrefixIndex
}

// Filter drops candidates.
type Filter interface {
	Name() string
	Keep(request *Request, candidate *Candidate) bool
}

// Scorer rates a candidate from 0 to 1.
type Scorer interface {
	Name() string
	Score(request *Request, candidate *Candidate) float64
}

// WeightedScorer is a scorer with its weight.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// Picker takes one of the scored candidates, which are not empty.
type Picker interface {
	Name() string
	Pick(scored []ScoredCandidate, random Random) *Candidate
}

// ScoredCandidate is a candidate with its weighted score.
type ScoredCandidate struct {
	Candidate *Candidate
	Score     float64
}

// Pipeline runs the steps in order.
type Pipeline struct {
	filters []Filter
	scorers []WeightedScorer
	picker  Picker
	dropped []atomic.Uint64
	picked  atomic.Uint64
	empty   atomic.Uint64
}

// NewPipeline returns a pipeline of the steps given.
func NewPipeline(filters []Filter, scorers []WeightedScorer, picker Picker) *Pipeline {
	return &Pipeline{filters: filters, scorers: scorers, picker: picker, dropped: make([]atomic.Uint64, len(filters))}
}

// Choose returns the endpoint for the request, or nil if no candidate is left.
func (p *Pipeline) Choose(request *Request, candidates []*Candidate, random Random) *Candidate {
	scored := make([]ScoredCandidate, 0, len(candidates))
	for _, candidate := range candidates {
		if p.keep(request, candidate) {
			scored = append(scored, ScoredCandidate{Candidate: candidate, Score: p.score(request, candidate)})
		}
	}
	if len(scored) == 0 {
		p.empty.Add(1)
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

// StepCount is how often a step did something.
type StepCount struct {
	Step  string
	Count uint64
}

// Counts returns what each step has done so far: candidates dropped by each
// filter, requests picked, and requests for which none was left.
func (p *Pipeline) Counts() []StepCount {
	var counts []StepCount
	for index, filter := range p.filters {
		counts = append(counts, StepCount{Step: "filter_" + filter.Name(), Count: p.dropped[index].Load()})
	}
	counts = append(counts, StepCount{Step: "pick_" + p.picker.Name(), Count: p.picked.Load()})
	return append(counts, StepCount{Step: "none_left", Count: p.empty.Load()})
}
