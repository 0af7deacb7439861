package storeclient

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// avoidDuration is how long a store is avoided after it did not serve a read.
const avoidDuration = 3 * time.Second

// nearbyStore chooses a store in the zone of this process for reads, and keeps it as long as it
// responds. Any replica can serve reads; one in the same zone causes no traffic between zones.
type nearbyStore struct {
	zone         string
	mutex        sync.Mutex
	current      string
	avoidedUntil map[string]time.Time
}

// pick returns the address of a store in the zone that is not avoided, or an empty string if there
// is none.
func (n *nearbyStore) pick(now time.Time, stores []wire.ProcessAddress) string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var candidates []string
	for _, store := range stores {
		if store.Zone != n.zone || now.Before(n.avoidedUntil[store.Address]) {
			continue
		}
		if store.Address == n.current {
			return n.current
		}
		candidates = append(candidates, store.Address)
	}
	n.current = ""
	if len(candidates) > 0 {
		n.current = candidates[rand.IntN(len(candidates))]
	}
	return n.current
}

// avoid excludes a store, which did not serve a read, for avoidDuration.
func (n *nearbyStore) avoid(now time.Time, address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for known, until := range n.avoidedUntil {
		if now.After(until) {
			delete(n.avoidedUntil, known)
		}
	}
	n.avoidedUntil[address] = now.Add(avoidDuration)
}
