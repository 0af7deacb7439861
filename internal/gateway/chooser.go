package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sedgemast/sedgemast/internal/controlclient"
	"github.com/sedgemast/sedgemast/internal/routing"
)

// chooser picks the dispatcher for an attempt: the ring proposes a few candidates, and the pipeline
// chooses one of them. The candidates come from the session's view of the fleet. Their load is
// updated by the utilization in the dispatchers' own responses.
type chooser struct {
	session     *controlclient.Session
	zone        string
	pipeline    *routing.Pipeline
	mutex       sync.Mutex
	random      *rand.Rand
	viewVersion uint64
	ring        *routing.Ring
	byName      map[string]*routing.Candidate
	addresses   map[string]string
	// suspects holds the dispatchers that failed recently, with the time until which they are
	// avoided. This is needed because control notices the death of a dispatcher only when its lease
	// expires.
	suspects map[string]time.Time
}

const (
	weightLoad = 2.0
	weightZone = 0.25
	// weightAffinity is small, so that affinity decides only between dispatchers with about the
	// same load.
	weightAffinity = 0.5
	maxUtilization = 255
	// suspectDuration is how long a dispatcher that failed is avoided. After that, one request
	// probes it.
	suspectDuration = time.Second
)

func newChooser(session *controlclient.Session, zone string, random *rand.Rand) *chooser {
	c := &chooser{session: session, zone: zone, random: random, ring: routing.NewRing(nil), suspects: map[string]time.Time{}}
	c.pipeline = routing.NewPipeline(
		[]routing.Filter{routing.AvailableFilter{}, routing.ModelFilter{}, routing.ExcludeFilter{}},
		[]routing.WeightedScorer{
			{Scorer: routing.LoadScorer{}, Weight: weightLoad},
			{Scorer: routing.ZoneScorer{}, Weight: weightZone},
			{Scorer: routing.RendezvousScorer{}, Weight: weightAffinity},
		},
		routing.BestPicker{},
	)
	return c
}

// choose returns the name and address of a dispatcher, or empty strings if none can serve the
// request.
func (c *chooser) choose(request *routing.Request) (name, address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.refresh()
	request.Zone = c.zone
	request.Key = c.affinityKey(request)
	now := time.Now()
	serves := func(candidate *routing.Candidate) bool {
		return !candidate.Unavailable && candidate.Models[request.Model] && !request.Exclude[candidate.Name]
	}
	candidates := c.ring.Propose(request.Key, c.random, func(candidate *routing.Candidate) bool {
		return serves(candidate) && !now.Before(c.suspects[candidate.Name])
	})
	if len(candidates) == 0 {
		// A suspect dispatcher may still work, so it is tried if there is no other.
		candidates = c.ring.Propose(request.Key, c.random, serves)
	}
	chosen := c.pipeline.Choose(request, candidates, c.random)
	if chosen == nil {
		return "", ""
	}
	if _, suspected := c.suspects[chosen.Name]; suspected {
		c.suspects[chosen.Name] = now.Add(suspectDuration)
	}
	return chosen.Name, c.addresses[chosen.Name]
}

// affinityKey returns a key that is the same for requests with the same first prompt block, so that
// they go to the same dispatcher.
func (c *chooser) affinityKey(request *routing.Request) uint64 {
	if len(request.Blocks) > 0 {
		return request.Blocks[0]
	}
	return xxhash.Sum64String(request.Model + "\x00" + request.Adapter)
}

// refresh rebuilds the ring if the view of the fleet has changed.
func (c *chooser) refresh() {
	if c.session.ViewVersion() == c.viewVersion {
		return
	}
	view, version := c.session.View()
	c.viewVersion = version
	c.byName = map[string]*routing.Candidate{}
	c.addresses = map[string]string{}
	var candidates []*routing.Candidate
	for _, dispatcher := range view {
		models := map[string]bool{}
		for _, model := range dispatcher.Models {
			models[model] = true
		}
		candidate := &routing.Candidate{
			Name:        dispatcher.Name,
			Zone:        dispatcher.Zone,
			Models:      models,
			Unavailable: dispatcher.Draining,
			Load:        float64(dispatcher.Utilization) / maxUtilization,
		}
		candidates = append(candidates, candidate)
		c.byName[dispatcher.Name] = candidate
		c.addresses[dispatcher.Name] = dispatcher.Address
	}
	for name := range c.suspects {
		if c.byName[name] == nil {
			delete(c.suspects, name)
		}
	}
	c.ring = routing.NewRing(candidates)
}

// markFailed marks a dispatcher as suspect, so that it is avoided for suspectDuration.
func (c *chooser) markFailed(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.suspects[name] = time.Now().Add(suspectDuration)
}

// updateLoad sets the load of a dispatcher from the utilization in its response, and clears its
// suspect mark.
func (c *chooser) updateLoad(name string, utilization uint8) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.suspects, name)
	if candidate := c.byName[name]; candidate != nil {
		candidate.Load = float64(utilization) / maxUtilization
	}
}

// chooseOther returns a dispatcher that is neither excluded nor suspect, or empty strings if there
// is none.
func (c *chooser) chooseOther(exclude map[string]bool) (name, address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.refresh()
	candidates := c.ring.Propose(c.random.Uint64(), c.random, func(candidate *routing.Candidate) bool {
		return !exclude[candidate.Name] && !time.Now().Before(c.suspects[candidate.Name])
	})
	if len(candidates) == 0 {
		return "", ""
	}
	return candidates[0].Name, c.addresses[candidates[0].Name]
}
