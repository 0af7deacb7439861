package listreader

import (
	"testing"

	"github.com/sedgemast/sedgemast/internal/incarnation"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// readOne reads a list of the rows and returns what is used of worker "w", nil for nothing.
func readOne(t *testing.T, r *Reader, p *platform, rows ...wire.PoolWorker) (*wire.PoolWorker, *Reading) {
	t.Helper()
	p.rows = rows
	reading, err := r.Read(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var used *wire.PoolWorker
	for i := range reading.Rows {
		if incarnation.WorkerID(reading.Rows[i].ID) != "w" {
			continue
		}
		if used != nil {
			t.Fatalf("two lives are used: %+v", reading.Rows)
		}
		used = &reading.Rows[i]
	}
	return used, reading
}

// TestTwoEntriesOfOneID lists a worker at two places: what was known holds, and else
// neither is used; of two lives the later one counts, whichever comes first.
func TestTwoEntriesOfOneID(t *testing.T) {
	at := func(address string, born int64) wire.PoolWorker {
		return wire.PoolWorker{ID: incarnation.Name("w", born), Pool: "p", Zone: "z", Address: address}
	}
	other := wire.PoolWorker{ID: "v", Pool: "p", Zone: "z", Address: "9"}
	for _, test := range []struct {
		name   string
		before []wire.PoolWorker
		rows   []wire.PoolWorker
		want   string
		odd    int
	}{
		{"the same twice", nil, []wire.PoolWorker{at("1", 0), at("1", 0)}, "1", 0},
		{"two places", nil, []wire.PoolWorker{at("1", 0), at("2", 0)}, "", 1},
		{"two places and one again", nil, []wire.PoolWorker{at("1", 0), at("2", 0), at("1", 0)}, "", 1},
		{"two places, one known", []wire.PoolWorker{at("2", 0)}, []wire.PoolWorker{at("1", 0), at("2", 0)}, "2", 1},
		{"two places, another known", []wire.PoolWorker{at("3", 0)}, []wire.PoolWorker{at("1", 0), at("2", 0)}, "", 1},
		{"two lives", nil, []wire.PoolWorker{at("1", 5), at("2", 6)}, "2", 0},
		{"two lives, the later first", nil, []wire.PoolWorker{at("2", 6), at("1", 5)}, "2", 0},
	} {
		p := &platform{size: 10}
		r := New(p, nil)
		if len(test.before) > 0 {
			readOne(t, r, p, append(test.before, other)...)
		}
		used, reading := readOne(t, r, p, append(test.rows, other)...)
		got := ""
		if used != nil {
			got = used.Address
		}
		if got != test.want || reading.Invalid != test.odd || (reading.InvalidErr != nil) != (test.odd > 0) {
			t.Errorf("%s: %q is used, %d odd (%v); want %q, %d", test.name, got, reading.Invalid, reading.InvalidErr, test.want, test.odd)
		}
	}
}

// TestLivesFollowOneAnother reads lists that contradict what is known of a worker's life.
func TestLivesFollowOneAnother(t *testing.T) {
	row := func(born int64, leaving bool) wire.PoolWorker {
		return wire.PoolWorker{ID: incarnation.Name("w", born), Pool: "p", Zone: "z", Address: "1", Leaving: leaving}
	}
	p := &platform{size: 10}
	r := New(p, nil)
	if used, _ := readOne(t, r, p, row(5, true)); used.ID != incarnation.Name("w", 5) || !used.Leaving {
		t.Fatalf("first %+v", used)
	}
	if used, _ := readOne(t, r, p, row(6, false)); used.ID != incarnation.Name("w", 6) || used.Leaving {
		t.Errorf("a later life: %+v", used)
	}
	for range lifeReadings - 1 {
		if used, reading := readOne(t, r, p, row(5, true)); used.ID != incarnation.Name("w", 6) || used.Leaving || reading.Invalid != 1 {
			t.Fatalf("an earlier life is believed: %+v, %d odd", used, reading.Invalid)
		}
	}
	if used, _ := readOne(t, r, p, row(5, true)); used.ID != incarnation.Name("w", 5) || !used.Leaving {
		t.Errorf("a list that stays with an earlier life is not believed: %+v", used)
	}
	if used, _ := readOne(t, r, p, row(0, true)); used.ID != incarnation.Name("w", 5) {
		t.Errorf("without a start it is another life: %+v", used)
	}
	for range lifeReadings - 1 {
		if used, _ := readOne(t, r, p, row(0, false)); used.ID != incarnation.Name("w", 5) || !used.Leaving {
			t.Fatalf("a worker that left is ready at once: %+v", used)
		}
	}
	again, _ := readOne(t, r, p, row(0, false))
	if incarnation.StartTime(again.ID) <= 5 || again.Leaving {
		t.Fatalf("a worker that is ready again is no new life: %+v", again)
	}
	if used, _ := readOne(t, r, p, row(0, false)); used.ID != again.ID {
		t.Errorf("it is another life each time: %+v, %+v", again, used)
	}
}
