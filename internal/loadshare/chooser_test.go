package loadshare

import (
	"slices"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// TestSilentHubIsReplacedInTime lets the best hub fall silent: the next one is asked
// before what is known is too old, and the best one again once it may be back.
func TestSilentHubIsReplacedInTime(t *testing.T) {
	hubs := []string{"a", "b", "c"}
	c := chooser{home: true}
	var now, lost, moved, home time.Duration
	lost = time.Second
	for ; home == 0 && now < 10*time.Second; now += Interval {
		target, _ := c.next(now, hubs)
		up := target != "a" || now < lost || now > 2*time.Second
		if up {
			c.answered(now)
		}
		switch {
		case target == "b" && moved == 0:
			moved = now
		case moved > 0 && target == "a" && up:
			home = now
		}
	}
	if moved-lost > ReportTTL {
		t.Errorf("the next hub is asked %s after the first was lost", moved-lost)
	}
	if home == 0 || home-moved > 2*homeAfter {
		t.Errorf("it goes back at %s, having left at %s", home, moved)
	}
}

// TestLeftHubIsTold checks that a hub is told that its reporter went elsewhere if it
// has counted it, and only then.
func TestLeftHubIsTold(t *testing.T) {
	hubs := []string{"a", "b"}
	c := chooser{home: true, target: "b"}
	c.answered(0)
	if target, left := c.next(homeAfter+1, hubs); target != "b" {
		// b has been silent, so this is a move away from a lost hub.
		if left != "" {
			t.Errorf("a silent hub is told: %q", left)
		}
	}
	c = chooser{home: true, target: "b"}
	now := time.Duration(0)
	for now <= homeAfter {
		c.answered(now)
		if target, left := c.next(now, hubs); target != "b" || left != "" {
			t.Fatalf("at %s: %q, left %q", now, target, left)
		}
		now += Interval
	}
	c.answered(now)
	if target, left := c.next(now, hubs); target != "a" || left != "b" {
		t.Errorf("%q, left %q", target, left)
	}
}

// TestReferralIsFollowed checks that the hub that is named is asked next, once.
func TestReferralIsFollowed(t *testing.T) {
	hubs := []string{"a", "b", "c"}
	c := chooser{}
	if target, _ := c.next(0, hubs); target != "a" {
		t.Fatalf("%q", target)
	}
	c.refer("c")
	for now := Interval; now < homeAfter; now += Interval {
		if target, _ := c.next(now, hubs); target != "c" {
			t.Fatalf("at %s: %q", now, target)
		}
		c.answered(now)
	}
	if target, _ := (&chooser{}).next(0, nil); target != "" {
		t.Errorf("%q where no hub is known", target)
	}
}

// TestHubOrder checks that a zone's own stores come first, in an order that all share
// and that the loss of a store leaves as it is.
func TestHubOrder(t *testing.T) {
	stores := []wire.ProcessAddress{{Address: "1", Zone: "a"}, {Address: "2", Zone: "b"}, {Address: "3", Zone: "a"}, {Address: "4", Zone: "b"}, {Address: "5", Zone: "a"}}
	order := HubOrder("a", stores)
	slices.Reverse(stores)
	if !slices.Equal(order, HubOrder("a", stores)) {
		t.Error("the order depends on that of the list")
	}
	own := slices.Clone(order[:3])
	slices.Sort(own)
	if !slices.Equal(own, []string{"1", "3", "5"}) {
		t.Errorf("order %v", order)
	}
	fewer := slices.DeleteFunc(slices.Clone(stores), func(s wire.ProcessAddress) bool { return s.Address == order[0] })
	if !slices.Equal(HubOrder("a", fewer), order[1:]) {
		t.Errorf("order %v without the first of %v", HubOrder("a", fewer), order)
	}
}
