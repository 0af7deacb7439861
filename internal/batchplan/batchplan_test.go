package batchplan

import (
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/proptest"
)

func TestOverdue(t *testing.T) {
	const due = 20 * time.Second
	cases := []struct {
		age       time.Duration
		due       time.Duration
		remaining time.Duration
		want      bool
	}{
		{0, due, 5 * time.Second, false},
		{11 * time.Second, due, 5 * time.Second, false},
		{12 * time.Second, due, 5 * time.Second, false},
		{13 * time.Second, due, 5 * time.Second, false},
		{14 * time.Second, due, 5 * time.Second, false},
		{15 * time.Second, due, 5 * time.Second, true},
		{13 * time.Second, due, 2 * time.Second, false},
		{16 * time.Second, due, 5 * time.Second, true},
		{18 * time.Second, due, time.Second, false},
		{19 * time.Second, due, time.Second, true},
		{30 * time.Second, due, time.Second, true},
		{30 * time.Second, 0, 5 * time.Second, false},
	}
	for _, test := range cases {
		if got := Overdue(test.age, test.due, test.remaining); got != test.want {
			t.Errorf("age %s, due at %s, remaining run time %s: overdue = %t", test.age, test.due, test.remaining, got)
		}
	}
}

// TestOrder checks that items in time come before overdue ones, each kind in the order of its
// slack, and that no item is preempted before one that runs after it.
func TestOrder(t *testing.T) {
	proptest.Run(t, "order", func(random *rand.Rand) error {
		items := make([]Item, 1+random.Intn(20))
		for i := range items {
			items[i] = Item{Sequence: uint64(i / 2), Number: i % 2, Overdue: random.Intn(3) == 0, Slack: time.Duration(random.Intn(3)) * time.Second}
		}
		random.Shuffle(len(items), func(a, b int) { items[a], items[b] = items[b], items[a] })
		Sort(items)
		for i := 1; i < len(items); i++ {
			before, after := items[i-1], items[i]
			if before.Overdue && !after.Overdue {
				return errors.Newf("wrong order: %+v before %+v", before, after)
			}
			if before.Overdue == after.Overdue && before.Slack > after.Slack {
				return errors.Newf("wrong order: %+v before %+v", before, after)
			}
			if before.Overdue == after.Overdue && before.Slack == after.Slack && (before.Sequence > after.Sequence || before.Sequence == after.Sequence && before.Number > after.Number) {
				return errors.Newf("wrong order: %+v before %+v", before, after)
			}
			if PreemptedBefore(before, after) {
				return errors.Newf("%+v both runs and is preempted before %+v", before, after)
			}
		}
		return nil
	})
}

func TestRunTime(t *testing.T) {
	var run RunTime
	if run.Remaining(10, 0) != initialRunTime {
		t.Errorf("remaining run time %s before any item has run", run.Remaining(10, 0))
	}
	for i := 0; i < 200; i++ {
		run.Add(7*time.Second, 140)
	}
	if deviation := run.Mean() - 7*time.Second; deviation < -time.Second/10 || deviation > time.Second/10 {
		t.Errorf("mean %s", run.Mean())
	}
	for events, want := range map[int]time.Duration{0: 7 * time.Second, 70: 3500 * time.Millisecond, 140: 7 * time.Second / minRemainingDivisor, 500: 7 * time.Second / minRemainingDivisor} {
		if deviation := run.Remaining(events, 0) - want; deviation < -time.Second/10 || deviation > time.Second/10 {
			t.Errorf("remaining run time %s after %d events, want %s", run.Remaining(events, 0), events, want)
		}
	}
}

// TestLongItemsBeginSooner checks that of items with the same deadline the longest one starts
// first.
func TestLongItemsBeginSooner(t *testing.T) {
	var run RunTime
	var lengths Lengths
	for i := range 200 {
		run.Add(5*time.Second, 100)
		events := float64(50 + i%3*50)
		lengths.Add(10*events, events)
	}
	const age, due = 2 * time.Second, 20 * time.Second
	var items []Item
	for i, expected := range []float64{500, 1500, 0, 1000} {
		remaining := run.Remaining(0, lengths.Expect(expected))
		items = append(items, Item{Number: i, Slack: Slack(age, due, remaining)})
	}
	Sort(items)
	if items[0].Number != 1 || items[3].Number != 0 {
		t.Errorf("wrong order, want the longest item first and the shortest last: %+v", items)
	}
	if Slack(age, 0, time.Second) != noDeadlineSlack {
		t.Error("an item without a deadline has limited slack")
	}
}

// TestLengthsWeighExpectations checks predictions from expectations that determine the length,
// correlate with it, or say nothing about it.
func TestLengthsWeighExpectations(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	for name, test := range map[string]struct {
		noise     float64
		low, high float64
	}{"all": {0, 195, 205}, "something": {1, 130, 195}, "nothing": {100, 85, 115}} {
		var lengths Lengths
		if lengths.Expect(2000) != 0 {
			t.Error("a length is predicted before any item has completed")
		}
		for range 2000 {
			events := 50 + random.Float64()*100
			lengths.Add(10*events+test.noise*(random.Float64()-0.5)*1000, events)
		}
		if got := lengths.Expect(2000); got < test.low || got > test.high {
			t.Errorf("%s: %.0f events", name, got)
		}
		if lengths.Expect(0) != 0 {
			t.Error("a length is predicted without an expectation")
		}
	}
}

// TestPreemptedInAdvanceOrder checks the order in which items are preempted for online requests
// that have not arrived yet.
func TestPreemptedInAdvanceOrder(t *testing.T) {
	const wait = 5 * time.Second
	overdue := Item{Number: 0, Overdue: true, Slack: -time.Second, Remaining: time.Second}
	started := Item{Number: 1, Slack: 10 * time.Second, Remaining: 4 * time.Second}
	ending := Item{Number: 2, Slack: 12 * time.Second, Remaining: time.Second}
	tight := Item{Number: 3, Slack: 4 * time.Second, Remaining: 4 * time.Second}
	tightest := Item{Number: 4, Slack: time.Second, Remaining: 5 * time.Second}
	order := []Item{tightest, ending, tight, overdue, started}
	slices.SortFunc(order, func(a, b Item) int {
		if PreemptedInAdvanceBefore(a, b, wait) {
			return -1
		}
		return 1
	})
	for i := range order {
		if order[i].Number != i {
			t.Fatalf("item %d is preempted at position %d: %+v", order[i].Number, i, order)
		}
	}
}

// TestPreemptedInAdvanceIsStrictOrder checks that PreemptedInAdvanceBefore is irreflexive,
// asymmetric and transitive.
func TestPreemptedInAdvanceIsStrictOrder(t *testing.T) {
	proptest.Run(t, "leaving", func(random *rand.Rand) error {
		randomItem := func() Item {
			return Item{Sequence: uint64(random.Intn(4)), Overdue: random.Intn(2) == 0, Slack: time.Duration(random.Intn(4)) * time.Second, Remaining: time.Duration(random.Intn(3)) * time.Second}
		}
		a, b, c := randomItem(), randomItem(), randomItem()
		const wait = 2 * time.Second
		switch {
		case PreemptedInAdvanceBefore(a, a, wait):
			return errors.Newf("%+v is preempted before itself", a)
		case PreemptedInAdvanceBefore(a, b, wait) && PreemptedInAdvanceBefore(b, a, wait):
			return errors.Newf("%+v and %+v are each preempted before the other", a, b)
		case PreemptedInAdvanceBefore(a, b, wait) && PreemptedInAdvanceBefore(b, c, wait) && !PreemptedInAdvanceBefore(a, c, wait):
			return errors.Newf("not transitive: %+v, %+v, %+v", a, b, c)
		}
		return nil
	})
}
