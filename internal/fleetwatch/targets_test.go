package fleetwatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

var now = time.Unix(1000, 0)

func relaysIn(zones, each int) []wire.ProcessAddress {
	var relays []wire.ProcessAddress
	for number := range zones * each {
		relays = append(relays, wire.ProcessAddress{Address: fmt.Sprintf("10.0.0.%d:1", number), Zone: fmt.Sprintf("z%d", number%zones)})
	}
	return relays
}

// TestEdgesSpreadOverTheirZonesRelays lets 833 edges of five zones choose among three relays in
// each zone: all edges stay in their zone, no relay has more than twice its share, and the
// removal of a relay moves only its own edges.
func TestEdgesSpreadOverTheirZonesRelays(t *testing.T) {
	relays := relaysIn(5, 3)
	zoneOf := map[string]string{}
	for _, relay := range relays {
		zoneOf[relay.Address] = relay.Zone
	}
	edgesOf, moved := map[string]int{}, 0
	for edge := range 833 {
		target := targets{name: fmt.Sprintf("edge-%d", edge), zone: fmt.Sprintf("z%d", edge%5), relays: true}
		relay := target.pick(now, []string{"seed:1"}, relays)
		edgesOf[relay]++
		if zoneOf[relay] != target.zone {
			t.Fatalf("an edge of zone %s polls a relay of zone %s", target.zone, zoneOf[relay])
		}
		if without := target.pick(now, []string{"seed:1"}, relays[1:]); without != relay {
			moved++
		}
	}
	for relay, count := range edgesOf {
		if count > 2*833/len(relays) {
			t.Errorf("%s has %d of 833 edges", relay, count)
		}
	}
	if moved != edgesOf[relays[0].Address] {
		t.Errorf("%d edges moved when a relay with %d edges was removed", moved, edgesOf[relays[0].Address])
	}
}

// TestFailedRelayIsAvoided checks which address an edge polls when its relays fail one after the
// other: the next relay of its zone, then one of another zone, then the seeds, and its own relay
// again after avoidTime.
func TestFailedRelayIsAvoided(t *testing.T) {
	relays := relaysIn(2, 2)
	edge := targets{name: "e", zone: "z1", relays: true}
	first := edge.pick(now, []string{"seed:1"}, relays)
	var polled []string
	for range len(relays) {
		target := edge.pick(now, []string{"seed:1"}, relays)
		polled = append(polled, target)
		edge.recordFailure(now, target, "")
	}
	seen := map[string]bool{}
	for _, target := range polled {
		seen[target] = true
	}
	if len(seen) != len(relays) || polled[0] != first {
		t.Errorf("polled %v", polled)
	}
	if target := edge.pick(now, []string{"seed:1"}, relays); target != "seed:1" {
		t.Errorf("%s is polled after all relays failed, want the seed", target)
	}
	if target := edge.pick(now.Add(avoidTime), []string{"seed:1"}, relays); target != first {
		t.Errorf("%s is polled after avoidTime, want %s", target, first)
	}
}

// TestNamedLeaderIsFollowed checks that a process that needs the leader goes to the one that is
// named, stays there, and tries all addresses once it fails.
func TestNamedLeaderIsFollowed(t *testing.T) {
	store := targets{}
	addresses := []string{"a:1", "b:1", "c:1"}
	if target := store.pick(now, addresses, relaysIn(1, 2)); target != "a:1" {
		t.Fatalf("%s is polled first, want a:1", target)
	}
	store.recordFailure(now, "a:1", "c:1")
	for range 2 {
		if target := store.pick(now, addresses, nil); target != "c:1" {
			t.Errorf("%s is polled, want the leader c:1", target)
		}
		store.recordAnswer("c:1")
	}
	store.recordFailure(now, "c:1", "")
	if target := store.pick(now, addresses, nil); target != "b:1" {
		t.Errorf("%s is polled after the leader failed, want b:1", target)
	}
}

// TestReportsReachEachCoordinator checks that, while the coordinator that answered last is dead,
// each other one is called in turn, for an odd and an even number of coordinators. If odd
// attempts took the address with the attempt's own number, one of four would never be called.
func TestReportsReachEachCoordinator(t *testing.T) {
	for _, addresses := range [][]string{{"a", "b", "c"}, {"a", "b", "c", "d"}} {
		for _, lastAnswered := range []string{"a", ""} {
			called := map[string]bool{}
			for attempt := range 2 * len(addresses) {
				called[reportTarget(attempt, lastAnswered, addresses)] = true
			}
			if len(called) != len(addresses) {
				t.Errorf("%v after %q: called %v", addresses, lastAnswered, called)
			}
		}
	}
}
