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
			t.Errorf("age %s of %s, %s left: %t", test.age, test.due, test.remaining, got)
		}
	}
}

// TestOrder checks that items that can be in time come in the order of their slack
// before all others, and that the order of yielding is its reverse within
// each kind.
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
				return errors.Newf("%+v stands before %+v", before, after)
			}
			if before.Overdue == after.Overdue && before.Slack > after.Slack {
				return errors.Newf("%+v stands before %+v", before, after)
			}
			if before.Overdue == after.Overdue && before.Slack == after.Slack && (before.Sequence > after.Sequence || before.Sequence == after.Sequence && before.Number > after.Number) {
				return errors.Newf("%+v stands before %+v", before, after)
			}
			if PreemptedBefore(before, after) {
				return errors.Newf("%+v runs and yields before %+v", before, after)
			}
		}
		return nil
	})
}

func TestRunTime(t *testing.T) {
	var run RunTime
	if run.Remaining(10, 0) != firstRunTime {
		t.Errorf("%s left before anything has run", run.Remaining(10, 0))
	}
	for i := 0; i < 200; i++ {
		run.Add(7*time.Second, 140)
	}
	if off := run.Mean() - 7*time.Second; off < -time.Second/10 || off > time.Second/10 {
		t.Errorf("mean %s", run.Mean())
	}
	for events, want := range map[int]time.Duration{0: 7 * time.Second, 70: 3500 * time.Millisecond, 140: 7 * time.Second / leastLeft, 500: 7 * time.Second / leastLeft} {
		if off := run.Remaining(events, 0) - want; off < -time.Second/10 || off > time.Second/10 {
			t.Errorf("%s left after %d events, want %s", run.Remaining(events, 0), events, want)
		}
	}
}

// TestLongItemsBeginSooner gives items of the same due time different lengths.
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
		t.Errorf("in the order %+v", items)
	}
	if Slack(age, 0, time.Second) != neverDue {
		t.Error("what is due at no time has no end of slack")
	}
}

// TestLengthsLearnWhatExpectationsAreWorth compares what is learnt where they tell all,
// something and nothing.
func TestLengthsLearnWhatExpectationsAreWorth(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	for name, test := range map[string]struct {
		noise     float64
		low, high float64
	}{"all": {0, 195, 205}, "something": {1, 130, 195}, "nothing": {100, 85, 115}} {
		var lengths Lengths
		if lengths.Expect(2000) != 0 {
			t.Error("something is known before any item is done")
		}
		for range 2000 {
			events := 50 + random.Float64()*100
			lengths.Add(10*events+test.noise*(random.Float64()-0.5)*1000, events)
		}
		if got := lengths.Expect(2000); got < test.low || got > test.high {
			t.Errorf("%s: %.0f events", name, got)
		}
		if lengths.Expect(0) != 0 {
			t.Error("something is expected where nothing is told")
		}
	}
}

// TestWhoLeavesAhead checks the order in which items leave for requests that are still to
// come.
func TestWhoLeavesAhead(t *testing.T) {
	const wait = 5 * time.Second
	late := Item{Number: 0, Overdue: true, Slack: -time.Second, Remaining: time.Second}
	begun := Item{Number: 1, Slack: 10 * time.Second, Remaining: 4 * time.Second}
	ending := Item{Number: 2, Slack: 12 * time.Second, Remaining: time.Second}
	tight := Item{Number: 3, Slack: 4 * time.Second, Remaining: 4 * time.Second}
	tightest := Item{Number: 4, Slack: time.Second, Remaining: 5 * time.Second}
	order := []Item{tightest, ending, tight, late, begun}
	slices.SortFunc(order, func(a, b Item) int {
		if PreemptedInAdvanceBefore(a, b, wait) {
			return -1
		}
		return 1
	})
	for i := range order {
		if order[i].Number != i {
			t.Fatalf("item %d leaves as number %d: %+v", order[i].Number, i, order)
		}
	}
}

// TestLeavingIsAnOrder draws items: no two leave before each other, and none before itself.
func TestLeavingIsAnOrder(t *testing.T) {
	proptest.Run(t, "leaving", func(random *rand.Rand) error {
		draw := func() Item {
			return Item{Sequence: uint64(random.Intn(4)), Overdue: random.Intn(2) == 0, Slack: time.Duration(random.Intn(4)) * time.Second, Remaining: time.Duration(random.Intn(3)) * time.Second}
		}
		a, b, c := draw(), draw(), draw()
		const wait = 2 * time.Second
		switch {
		case PreemptedInAdvanceBefore(a, a, wait):
			return errors.Newf("%+v leaves before itself", a)
		case PreemptedInAdvanceBefore(a, b, wait) && PreemptedInAdvanceBefore(b, a, wait):
			return errors.Newf("%+v and %+v leave before each other", a, b)
		case PreemptedInAdvanceBefore(a, b, wait) && PreemptedInAdvanceBefore(b, c, wait) && !PreemptedInAdvanceBefore(a, c, wait):
			return errors.Newf("%+v, %+v and %+v are in no order", a, b, c)
		}
		return nil
	})
}
