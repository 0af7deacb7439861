package loadshare

import (
	"slices"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// TestUnresponsiveHubIsReplacedInTime makes the preferred hub unresponsive: the next one must be
// selected before the known loads expire, and the preferred one again after it is back.
func TestUnresponsiveHubIsReplacedInTime(t *testing.T) {
	hubs := []string{"a", "b", "c"}
	selector := hubSelector{preferFirst: true}
	var now, lostAt, switchedAt, returnedAt time.Duration
	lostAt = time.Second
	for ; returnedAt == 0 && now < 10*time.Second; now += Interval {
		target, _ := selector.next(now, hubs)
		answers := target != "a" || now < lostAt || now > 2*time.Second
		if answers {
			selector.recordAnswer(now)
		}
		switch {
		case target == "b" && switchedAt == 0:
			switchedAt = now
		case switchedAt > 0 && target == "a" && answers:
			returnedAt = now
		}
	}
	if switchedAt-lostAt > ReportTTL {
		t.Errorf("switched to the next hub %s after the first was lost", switchedAt-lostAt)
	}
	if returnedAt == 0 || returnedAt-switchedAt > 2*preferredRetryDelay {
		t.Errorf("returned to the preferred hub at %s after leaving it at %s", returnedAt, switchedAt)
	}
}

// TestPreviousHubIsNotified checks that a reporter that switches hubs notifies the previous hub
// only if that hub has answered and therefore counts the reporter.
func TestPreviousHubIsNotified(t *testing.T) {
	hubs := []string{"a", "b"}
	selector := hubSelector{preferFirst: true, target: "b"}
	selector.recordAnswer(0)
	if target, previous := selector.next(preferredRetryDelay+1, hubs); target != "b" {
		// b has not answered for too long, so this switch leaves an unresponsive hub.
		if previous != "" {
			t.Errorf("unresponsive hub %q is notified", previous)
		}
	}
	selector = hubSelector{preferFirst: true, target: "b"}
	now := time.Duration(0)
	for now <= preferredRetryDelay {
		selector.recordAnswer(now)
		if target, previous := selector.next(now, hubs); target != "b" || previous != "" {
			t.Fatalf("at %s: target %q, previous %q", now, target, previous)
		}
		now += Interval
	}
	selector.recordAnswer(now)
	if target, previous := selector.next(now, hubs); target != "a" || previous != "b" {
		t.Errorf("target %q, previous %q; want a and b", target, previous)
	}
}

// TestReferralIsFollowed checks that a hub named in a referral is selected next and stays
// selected.
func TestReferralIsFollowed(t *testing.T) {
	hubs := []string{"a", "b", "c"}
	selector := hubSelector{}
	if target, _ := selector.next(0, hubs); target != "a" {
		t.Fatalf("%q", target)
	}
	selector.recordReferral("c")
	for now := Interval; now < preferredRetryDelay; now += Interval {
		if target, _ := selector.next(now, hubs); target != "c" {
			t.Fatalf("at %s: target %q, want c", now, target)
		}
		selector.recordAnswer(now)
	}
	if target, _ := (&hubSelector{}).next(0, nil); target != "" {
		t.Errorf("target %q without known hubs", target)
	}
}

// TestHubOrder checks that a zone's own stores come first, and that the order depends neither on
// the order of the list nor on a store that was removed.
func TestHubOrder(t *testing.T) {
	stores := []wire.ProcessAddress{{Address: "1", Zone: "a"}, {Address: "2", Zone: "b"}, {Address: "3", Zone: "a"}, {Address: "4", Zone: "b"}, {Address: "5", Zone: "a"}}
	order := HubOrder("a", stores)
	slices.Reverse(stores)
	if !slices.Equal(order, HubOrder("a", stores)) {
		t.Error("the order depends on the order of the list")
	}
	own := slices.Clone(order[:3])
	slices.Sort(own)
	if !slices.Equal(own, []string{"1", "3", "5"}) {
		t.Errorf("order %v", order)
	}
	fewer := slices.DeleteFunc(slices.Clone(stores), func(s wire.ProcessAddress) bool { return s.Address == order[0] })
	if !slices.Equal(HubOrder("a", fewer), order[1:]) {
		t.Errorf("order %v after the first store of %v was removed", HubOrder("a", fewer), order)
	}
}
