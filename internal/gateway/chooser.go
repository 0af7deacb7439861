package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sedgemast/sedgemast/internal/controlclient"
	"github.com/sedgemast/sedgemast/internal/routing"
)

// chooser picks the dispatcher for an attempt: the ring proposes a few, the
// pipeline takes one. Its candidates follow the session's view; their load is
// corrected by what the dispatchers' own answers say.
type chooser struct {
	session  *controlclient.Session
	zone     string
	pipeline *routing.Pipeline
	mutex    sync.Mutex
	random   *rand.Rand
	changes  uint64
	ring     *routing.Ring
	byName   map[string]*routing.Candidate
	address  map[string]string
	// suspects are dispatchers that failed lately, with the time until which
	// they are avoided: control takes a lease's length to notice a death.
	suspects map[string]time.Time
}

const (
	weightLoad = 2.0
	weightZone = 0.25
	// weightAffinity is small: affinity decides only between dispatchers that
	// are about equally loaded.
	weightAffinity = 0.5
	fullLoad       = 255
	// suspectTime is how long a dispatcher that failed is avoided. One request
	// is then the probe.
	suspectTime = time.Second
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

// choose returns the name and address of a dispatcher, or nothing if none can
// serve the request.
func (c *chooser) choose(request *routing.Request) (name, address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.refresh()
	request.Zone = c.zone
	request.Key = c.key(request)
	now := time.Now()
	serves := func(candidate *routing.Candidate) bool {
		return !candidate.Unavailable && candidate.Models[request.Model] && !request.Exclude[candidate.Name]
	}
	proposed := c.ring.Propose(request.Key, c.random, func(candidate *routing.Candidate) bool {
		return serves(candidate) && !now.Before(c.suspects[candidate.Name])
	})
	if len(proposed) == 0 {
		// Better a suspect than none.
		proposed = c.ring.Propose(request.Key, c.random, serves)
	}
	chosen := c.pipeline.Choose(request, proposed, c.random)
	if chosen == nil {
		return "", ""
	}
	if _, suspected := c.suspects[chosen.Name]; suspected {
		c.suspects[chosen.Name] = now.Add(suspectTime)
	}
	return chosen.Name, c.address[chosen.Name]
}

// key makes requests that share the first block of their prompt meet.
func (c *chooser) key(request *routing.Request) uint64 {
	if len(request.Blocks) > 0 {
		return request.Blocks[0]
	}
	return xxhash.Sum64String(request.Model + "\x00" + request.Adapter)
}

// refresh rebuilds the ring after the view has changed.
func (c *chooser) refresh() {
	if c.session.ViewVersion() == c.changes {
		return
	}
	view, changes := c.session.View()
	c.changes = changes
	c.byName = map[string]*routing.Candidate{}
	c.address = map[string]string{}
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
			Load:        float64(dispatcher.Utilization) / fullLoad,
		}
		candidates = append(candidates, candidate)
		c.byName[dispatcher.Name] = candidate
		c.address[dispatcher.Name] = dispatcher.Address
	}
	for name := range c.suspects {
		if c.byName[name] == nil {
			delete(c.suspects, name)
		}
	}
	c.ring = routing.NewRing(candidates)
}

// failed avoids a dispatcher for a while.
func (c *chooser) failed(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.suspects[name] = time.Now().Add(suspectTime)
}

// learn takes in the load that a dispatcher's answer told.
func (c *chooser) learn(name string, utilization uint8) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.suspects, name)
	if candidate := c.byName[name]; candidate != nil {
		candidate.Load = float64(utilization) / fullLoad
	}
}

// another returns the address of a dispatcher other than those named.
func (c *chooser) another(exclude map[string]bool) (name, address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.refresh()
	proposed := c.ring.Propose(c.random.Uint64(), c.random, func(candidate *routing.Candidate) bool {
		return !exclude[candidate.Name] && !time.Now().Before(c.suspects[candidate.Name])
	})
	if len(proposed) == 0 {
		return "", ""
	}
	return proposed[0].Name, c.address[proposed[0].Name]
}
