package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

func newCandidates(count int) []*Candidate {
	candidates := make([]*Candidate, count)
	for i := range candidates {
		candidates[i] = &Candidate{Name: fmt.Sprintf("worker-%d", i), Zone: fmt.Sprintf("zone-%d", i%3), Models: map[string]bool{"m": true}}
	}
	return candidates
}

func testPipeline() *Pipeline {
	return NewPipeline(
		[]Filter{AvailableFilter{}, ModelFilter{}, ExcludeFilter{}},
		[]WeightedScorer{{Scorer: RendezvousScorer{}, Weight: 1}, {Scorer: LoadScorer{}, Weight: 2}},
		BestPicker{},
	)
}

func TestChooseDropsUnsuitableCandidates(t *testing.T) {
	candidates := newCandidates(4)
	candidates[0].Unavailable = true
	candidates[1].Models = nil
	request := &Request{Model: "m", Exclude: map[string]bool{"worker-2": true}}
	random := rand.New(rand.NewPCG(1, 1))
	pipeline := testPipeline()
	if chosen := pipeline.Choose(request, candidates, random); chosen != candidates[3] {
		t.Fatalf("chose %v, want worker-3", chosen)
	}
	if chosen := pipeline.Choose(request, candidates[:3], random); chosen != nil {
		t.Fatalf("chose %s, want nil: no candidate can serve the request", chosen.Name)
	}
}

// TestRingAgrees checks that two processes propose the same ring endpoints for
// a key, and that the loss of one endpoint moves few keys.
func TestRingAgrees(t *testing.T) {
	all := newCandidates(30)
	ring, smallerRing := NewRing(all), NewRing(all[1:])
	accept := func(*Candidate) bool { return true }
	moved := 0
	const keys = 1000
	for i := uint64(0); i < keys; i++ {
		key := i * 0x9e3779b97f4a7c15
		proposed := ring.Propose(key, rand.New(rand.NewPCG(1, i)), accept)
		otherProcess := ring.Propose(key, rand.New(rand.NewPCG(2, i)), accept)
		if proposed[0] != otherProcess[0] || proposed[1] != otherProcess[1] {
			t.Fatalf("key %d: proposals differ between processes", i)
		}
		if after := smallerRing.Propose(key, rand.New(rand.NewPCG(1, i)), accept); after[0] != proposed[0] {
			moved++
		}
	}
	if moved > keys/10 {
		t.Fatalf("%d of %d keys moved after the loss of 1 of 30 endpoints, want at most a tenth", moved, keys)
	}
}

func TestRingFindsTheOnlyEndpoint(t *testing.T) {
	all := newCandidates(600)
	ring := NewRing(all)
	only := all[417]
	proposed := ring.Propose(1, rand.New(rand.NewPCG(1, 1)), func(c *Candidate) bool { return c == only })
	if len(proposed) != 1 || proposed[0] != only {
		t.Fatalf("proposed %v, want only the one usable endpoint", proposed)
	}
}

func TestPrefixIndex(t *testing.T) {
	index := NewPrefixIndex(4)
	index.Add(1, 2, 3)
	if matched := index.Match([]uint64{1, 2, 9}); matched != 2 {
		t.Fatalf("matched %d blocks, want 2", matched)
	}
	index.Correct([]uint64{1, 2, 3}, 1)
	if matched := index.Match([]uint64{1, 2, 3}); matched != 1 {
		t.Fatalf("matched %d blocks after the correction, want 1", matched)
	}
	index.Add(10, 11, 12, 13, 14)
	if matched := index.Match([]uint64{1}); matched != 0 {
		t.Fatal("the oldest block is still in the index beyond its capacity")
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, size := range []int{12, 18, 600} {
		b.Run(fmt.Sprintf("workers=%d", size), func(b *testing.B) {
			ring := NewRing(newCandidates(size))
			pipeline := testPipeline()
			random := rand.New(rand.NewPCG(1, 1))
			accept := func(c *Candidate) bool { return !c.Unavailable }
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				request := &Request{Model: "m", Key: uint64(i) * 0x9e3779b97f4a7c15}
				if pipeline.Choose(request, ring.Propose(request.Key, random, accept), random) == nil {
					b.Fatal("no endpoint chosen")
				}
			}
		})
	}
}

// TestVersionFilter checks that a request which needs a version gets no worker of another one, nor one
// whose version is unknown.
func TestVersionFilter(t *testing.T) {
	candidates := newCandidates(3)
	candidates[0].Version, candidates[1].Version = "v1", "v2"
	pipeline := NewPipeline([]Filter{VersionFilter{}}, []WeightedScorer{{Scorer: LoadScorer{}, Weight: 1}}, BestPicker{})
	random := rand.New(rand.NewPCG(1, 1))
	for version, want := range map[string]*Candidate{"v1": candidates[0], "v2": candidates[1], "v3": nil} {
		if chosen := pipeline.Choose(&Request{Version: version}, candidates, random); chosen != want {
			t.Errorf("version %s: chose %v", version, chosen)
		}
	}
	if pipeline.Choose(&Request{}, candidates, random) == nil {
		t.Error("a request without a version got no worker")
	}
}
