package fleetwatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// avoidTime is how long a coordinator that failed is not polled if there are others. A process
// finds one that answers within a few attempts of at most 1.1 s, and returns to its own relay
// soon after an election.
const avoidTime = 2 * time.Second

// targets chooses the coordinator to poll. It performs no I/O.
type targets struct {
	name string
	zone string
	// relays is set if a relay may answer. Otherwise the process looks for the leader.
	relays bool
	// current is the coordinator that answered last or was named as the leader. next is the
	// number of addresses tried in turn.
	current string
	next    int
	// failures is the number of failures in a row.
	failures int
	// avoided holds, by address, until when a coordinator that failed is not polled.
	avoided map[string]time.Time
}

// pick returns the address to poll: the process's own relay, else the coordinator that answered
// last or was named as the leader, else the next of the addresses.
func (t *targets) pick(now time.Time, addresses []string, relays []wire.ProcessAddress) string {
	if t.relays {
		if relay := t.relay(now, relays); relay != "" {
			return relay
		}
	}
	if t.current != "" {
		return t.current
	}
	t.next++
	return addresses[(t.next-1)%len(addresses)]
}

// relay returns the relay that ranks highest for this process (rendezvous hashing) among those
// of its zone, else among all. The processes of a zone spread evenly over its relays, and a
// relay that joins or leaves moves only its own processes.
func (t *targets) relay(now time.Time, relays []wire.ProcessAddress) string {
	var best wire.ProcessAddress
	var bestRank uint64
	for _, relay := range relays {
		if now.Before(t.avoided[relay.Address]) {
			continue
		}
		rank := xxhash.Sum64String(t.name + " " + relay.Address)
		firstInZone := relay.Zone == t.zone && best.Zone != t.zone
		if best.Address == "" || firstInZone || rank > bestRank && (relay.Zone == t.zone) == (best.Zone == t.zone) {
			best, bestRank = relay, rank
		}
	}
	return best.Address
}

// recordAnswer handles an answer of a coordinator.
func (t *targets) recordAnswer(target string) {
	t.current, t.failures = target, 0
	delete(t.avoided, target)
}

// recordFailure handles the failure of a coordinator. leader is the leader that it named, empty
// for none.
func (t *targets) recordFailure(now time.Time, target, leader string) {
	if t.avoided == nil || len(t.avoided) > maxAvoided {
		t.avoided = map[string]time.Time{}
	}
	t.avoided[target] = now.Add(avoidTime)
	t.current = leader
	t.failures++
	if t.relays && t.failures < leaderAfterFailures {
		// After a cold start all processes look for the leader among the same few addresses.
		// Each of these becomes a relay as soon as it has found the leader itself, so keep
		// trying them instead of polling the leader that was named.
		t.current = ""
	}
}

// leaderAfterFailures is the number of failures in a row after which a process that may use
// relays, but knows none, polls the leader that was named: with three seeds each is tried three
// times, in about 0.5 s.
const leaderAfterFailures = 9

// maxAvoided bounds the coordinators that are remembered as failed.
const maxAvoided = 64

// addresses returns the addresses to try: the seeds, then the known coordinators.
func (w *Watcher) addresses() []string {
	w.mutex.Lock()
	addresses := append([]string(nil), w.seeds...)
	w.mutex.Unlock()
	for _, address := range w.Current().Fleet.Coordinators {
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}
