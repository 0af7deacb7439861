package batchplan

import (
	"math/rand"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/proptest"
)

func TestStops(t *testing.T) {
	const holdTime, maxWait = 400 * time.Millisecond, 60 * time.Millisecond
	for _, test := range []struct {
		name              string
		worker            Worker
		holdTime, maxWait time.Duration
		want              int
	}{
		{"room", Worker{Slots: 8, Online: 3, Items: 5}, holdTime, maxWait, 0},
		{"an online request soon frees a slot", Worker{Slots: 8, Online: 7, Items: 2}, holdTime, 70 * time.Millisecond, 0},
		{"only items run", Worker{Slots: 8, Online: 1, Items: 8}, holdTime, maxWait, 1},
		{"few online requests run", Worker{Slots: 8, Online: 3, Items: 7}, holdTime, maxWait, 2},
		{"unknown hold time", Worker{Slots: 8, Online: 7, Items: 2}, 0, maxWait, 1},
		{"no wait allowed", Worker{Slots: 8, Online: 7, Items: 2}, holdTime, 0, 1},
		{"all items stop and requests still wait", Worker{Slots: 8, Online: 20, Items: 3}, holdTime, maxWait, 3},
		{"nothing to stop", Worker{Slots: 8, Online: 20}, holdTime, maxWait, 0},
	} {
		if got := RequiredStops(test.worker, test.holdTime, test.maxWait); got != test.want {
			t.Errorf("%s: %d stops, want %d", test.name, got, test.want)
		}
	}
}

// TestStopsAreSufficientAndMinimal checks for random workers that after the stops all waiting
// online requests get a slot within maxWait, or that no item is left to stop, and that one stop
// fewer would not be enough.
func TestStopsAreSufficientAndMinimal(t *testing.T) {
	inTime := func(worker Worker, stops int, holdTime, maxWait time.Duration) bool {
		waiting := worker.Online + worker.Items - stops - worker.Slots
		running := worker.Slots - (worker.Items - stops)
		return waiting <= 0 || holdTime > 0 && running > 0 && time.Duration(waiting)*holdTime <= time.Duration(running)*maxWait
	}
	proptest.Run(t, "stops", func(random *rand.Rand) error {
		worker := Worker{Slots: 1 + random.Intn(32), Online: random.Intn(40), Items: random.Intn(33)}
		holdTime := time.Duration(random.Intn(2000)) * time.Millisecond
		maxWait := time.Duration(random.Intn(400)) * time.Millisecond
		stops := RequiredStops(worker, holdTime, maxWait)
		switch {
		case stops < 0 || stops > worker.Items:
			return errors.Newf("%+v: %d stops", worker, stops)
		case stops < worker.Items && !inTime(worker, stops, holdTime, maxWait):
			return errors.Newf("%+v: %d stops are too few", worker, stops)
		case stops > 0 && inTime(worker, stops-1, holdTime, maxWait):
			return errors.Newf("%+v: %d stops are too many", worker, stops)
		}
		return nil
	})
}
