package batchplan

import (
	"math/rand"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/proptest"
)

func TestStops(t *testing.T) {
	const hold, patience = 400 * time.Millisecond, 60 * time.Millisecond
	for _, test := range []struct {
		name           string
		place          Worker
		hold, patience time.Duration
		want           int
	}{
		{"room", Worker{Slots: 8, Online: 3, Items: 5}, hold, patience, 0},
		{"an online request ends soon", Worker{Slots: 8, Online: 7, Items: 2}, hold, 70 * time.Millisecond, 0},
		{"only items run", Worker{Slots: 8, Online: 1, Items: 8}, hold, patience, 1},
		{"few online requests run", Worker{Slots: 8, Online: 3, Items: 7}, hold, patience, 2},
		{"unknown hold", Worker{Slots: 8, Online: 7, Items: 2}, 0, patience, 1},
		{"no goal", Worker{Slots: 8, Online: 7, Items: 2}, hold, 0, 1},
		{"all items, and still too many", Worker{Slots: 8, Online: 20, Items: 3}, hold, patience, 3},
		{"nothing to stop", Worker{Slots: 8, Online: 20}, hold, patience, 0},
	} {
		if got := RequiredStops(test.place, test.hold, test.patience); got != test.want {
			t.Errorf("%s: %d stops, want %d", test.name, got, test.want)
		}
	}
}

// TestStopsAreEnoughAndNoMore checks with random places that what waits after the
// stops comes to run within patience, unless no item is left, and that one stop
// fewer would not do.
func TestStopsAreEnoughAndNoMore(t *testing.T) {
	inTime := func(place Worker, stops int, hold, patience time.Duration) bool {
		waiting := place.Online + place.Items - stops - place.Slots
		running := place.Slots - (place.Items - stops)
		return waiting <= 0 || hold > 0 && running > 0 && time.Duration(waiting)*hold <= time.Duration(running)*patience
	}
	proptest.Run(t, "stops", func(random *rand.Rand) error {
		place := Worker{Slots: 1 + random.Intn(32), Online: random.Intn(40), Items: random.Intn(33)}
		hold := time.Duration(random.Intn(2000)) * time.Millisecond
		patience := time.Duration(random.Intn(400)) * time.Millisecond
		stops := RequiredStops(place, hold, patience)
		switch {
		case stops < 0 || stops > place.Items:
			return errors.Newf("%+v: %d stops", place, stops)
		case stops < place.Items && !inTime(place, stops, hold, patience):
			return errors.Newf("%+v: %d stops are too few", place, stops)
		case stops > 0 && inTime(place, stops-1, hold, patience):
			return errors.Newf("%+v: %d stops are too many", place, stops)
		}
		return nil
	})
}
