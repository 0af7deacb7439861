package routing

import "github.com/cespare/xxhash/v2"

// LoadScorer prefers endpoints with a larger fraction of free capacity.
type LoadScorer struct{}

// Name implements Scorer.
func (LoadScorer) Name() string { return "load" }

// Score implements Scorer.
func (LoadScorer) Score(_ *Request, candidate *Candidate) float64 { return 1 - candidate.Load }

// ZoneScorer prefers endpoints in the request's zone.
type ZoneScorer struct{}

// Name implements Scorer.
func (ZoneScorer) Name() string { return "zone" }

// Score implements Scorer.
func (ZoneScorer) Score(request *Request, candidate *Candidate) float64 {
	if request.Zone == candidate.Zone {
		return 1
	}
	return 0
}

// PrefixScorer prefers endpoints that probably cache the beginning of the prompt.
type PrefixScorer struct{}

// Name implements Scorer.
func (PrefixScorer) Name() string { return "prefix" }

// Score implements Scorer.
func (PrefixScorer) Score(request *Request, candidate *Candidate) float64 {
	if candidate.Prefixes == nil || len(request.Blocks) == 0 {
		return 0
	}
	return float64(candidate.Prefixes.Match(request.Blocks)) / float64(len(request.Blocks))
}

// RendezvousScorer ranks the endpoints for a key by rendezvous hashing: every
// process computes the same order, so requests with the same prefix go to the
// same endpoint.
type RendezvousScorer struct{}

// Name implements Scorer.
func (RendezvousScorer) Name() string { return "affinity" }

// Score implements Scorer.
func (RendezvousScorer) Score(request *Request, candidate *Candidate) float64 {
	const mantissaBits = 53
	mixed := (xxhash.Sum64String(candidate.Name) ^ request.Key) * 0x9e3779b97f4a7c15
	return float64(mixed>>(64-mantissaBits)) / (1 << mantissaBits)
}

// ClassScorer separates the two classes of work: online requests prefer endpoints that already
// serve online requests, and batch work prefers the other endpoints. An engine step takes longer
// the more sequences it has, so each endpoint that serves online requests keeps a reserve. If
// online requests gather at few endpoints, fewer endpoints need a reserve.
type ClassScorer struct{}

// Name implements Scorer.
func (ClassScorer) Name() string { return "gather" }

// Score implements Scorer.
func (ClassScorer) Score(request *Request, candidate *Candidate) float64 {
	if candidate.Online != request.Batch {
		return 1
	}
	return 0
}

// BestPicker selects the candidate with the highest score and breaks ties at
// random, so that concurrent choosers don't all select the same endpoint.
type BestPicker struct{}

// tieMargin is the difference below which two scores count as equal.
const tieMargin = 1e-9

// Name implements Picker.
func (BestPicker) Name() string { return "best" }

// Pick implements Picker.
func (BestPicker) Pick(scored []ScoredCandidate, random Random) *Candidate {
	best := scored[0]
	equals := 1
	for _, candidate := range scored[1:] {
		switch {
		case candidate.Score > best.Score+tieMargin:
			best, equals = candidate, 1
		case candidate.Score > best.Score-tieMargin:
			equals++
			if random.IntN(equals) == 0 {
				best = candidate
			}
		}
	}
	return best.Candidate
}
