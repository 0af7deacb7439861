package listreader

import (
	"testing"

	"github.com/sedgemast/sedgemast/internal/incarnation"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// readOne reads a list with the rows and returns the reading and its row of worker "w", nil if
// there is none.
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
			t.Fatalf("two incarnations of a worker are in the reading: %+v", reading.Rows)
		}
		used = &reading.Rows[i]
	}
	return used, reading
}

// TestTwoEntriesOfOneID lists a worker with two endpoints: the row known from earlier readings is
// kept, and without a known row neither entry is used. Of two incarnations the later one is used,
// in either order.
func TestTwoEntriesOfOneID(t *testing.T) {
	worker := func(address string, started int64) wire.PoolWorker {
		return wire.PoolWorker{ID: incarnation.Name("w", started, ""), Pool: "p", Zone: "z", Address: address}
	}
	other := wire.PoolWorker{ID: "v", Pool: "p", Zone: "z", Address: "9"}
	for _, test := range []struct {
		name    string
		before  []wire.PoolWorker
		rows    []wire.PoolWorker
		want    string
		invalid int
	}{
		{"the same twice", nil, []wire.PoolWorker{worker("1", 0), worker("1", 0)}, "1", 0},
		{"two endpoints", nil, []wire.PoolWorker{worker("1", 0), worker("2", 0)}, "", 1},
		{"two endpoints, the first one again", nil, []wire.PoolWorker{worker("1", 0), worker("2", 0), worker("1", 0)}, "", 1},
		{"two endpoints, one known", []wire.PoolWorker{worker("2", 0)}, []wire.PoolWorker{worker("1", 0), worker("2", 0)}, "2", 1},
		{"two endpoints, another one known", []wire.PoolWorker{worker("3", 0)}, []wire.PoolWorker{worker("1", 0), worker("2", 0)}, "", 1},
		{"two incarnations", nil, []wire.PoolWorker{worker("1", 5), worker("2", 6)}, "2", 0},
		{"two incarnations, the later first", nil, []wire.PoolWorker{worker("2", 6), worker("1", 5)}, "2", 0},
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
		if got != test.want || reading.Invalid != test.invalid || (reading.InvalidErr != nil) != (test.invalid > 0) {
			t.Errorf("%s: got address %q and %d invalid entries (%v), want %q and %d", test.name, got, reading.Invalid, reading.InvalidErr, test.want, test.invalid)
		}
	}
}

// TestListsContradictKnownIncarnation reads lists that contradict the known incarnation of a
// worker.
func TestListsContradictKnownIncarnation(t *testing.T) {
	row := func(started int64, leaving bool) wire.PoolWorker {
		return wire.PoolWorker{ID: incarnation.Name("w", started, ""), Pool: "p", Zone: "z", Address: "1", Leaving: leaving}
	}
	p := &platform{size: 10}
	r := New(p, nil)
	if used, _ := readOne(t, r, p, row(5, true)); used.ID != incarnation.Name("w", 5, "") || !used.Leaving {
		t.Fatalf("got %+v in the first reading, want the incarnation that is listed", used)
	}
	if used, _ := readOne(t, r, p, row(6, false)); used.ID != incarnation.Name("w", 6, "") || used.Leaving {
		t.Errorf("a later incarnation is not used: %+v", used)
	}
	for range maxContradictions - 1 {
		if used, reading := readOne(t, r, p, row(5, true)); used.ID != incarnation.Name("w", 6, "") || used.Leaving || reading.Invalid != 1 {
			t.Fatalf("an earlier incarnation is accepted too soon: %+v, %d invalid entries", used, reading.Invalid)
		}
	}
	if used, _ := readOne(t, r, p, row(5, true)); used.ID != incarnation.Name("w", 5, "") || !used.Leaving {
		t.Errorf("an earlier incarnation is not accepted after maxContradictions readings: %+v", used)
	}
	if used, _ := readOne(t, r, p, row(0, true)); used.ID != incarnation.Name("w", 5, "") {
		t.Errorf("a row without a start time changes the incarnation: %+v", used)
	}
	for range maxContradictions - 1 {
		if used, _ := readOne(t, r, p, row(0, false)); used.ID != incarnation.Name("w", 5, "") || !used.Leaving {
			t.Fatalf("a leaving worker is accepted as ready too soon: %+v", used)
		}
	}
	restarted, _ := readOne(t, r, p, row(0, false))
	if incarnation.StartTime(restarted.ID) <= 5 || restarted.Leaving {
		t.Fatalf("a worker that is ready again gets no new incarnation: %+v", restarted)
	}
	if used, _ := readOne(t, r, p, row(0, false)); used.ID != restarted.ID {
		t.Errorf("a further reading changes the incarnation: %+v, then %+v", restarted, used)
	}
}

// TestVersionOfKnownIncarnation reads entries that lack the version of a known worker, name another
// one, or come from two writers.
func TestVersionOfKnownIncarnation(t *testing.T) {
	row := func(started int64, version incarnation.Version) wire.PoolWorker {
		return wire.PoolWorker{ID: incarnation.Name("w", started, version), Pool: "p", Zone: "z", Address: "1"}
	}
	for _, test := range []struct {
		name  string
		known wire.PoolWorker
		rows  []wire.PoolWorker
		want  string
	}{
		{"missing without a start", row(0, "v1"), []wire.PoolWorker{row(0, "")}, "w 0 v1"},
		{"missing at the same start", row(5, "v1"), []wire.PoolWorker{row(5, "")}, "w 5 v1"},
		{"missing after a restart", row(5, "v1"), []wire.PoolWorker{row(6, "")}, "w 6"},
		{"another without a start", row(0, "v1"), []wire.PoolWorker{row(0, "v2")}, "w 0 v2"},
		{"another at the same start", row(5, "v1"), []wire.PoolWorker{row(5, "v2")}, "w 5 v2"},
		{"first told", row(5, ""), []wire.PoolWorker{row(5, "v2")}, "w 5 v2"},
		{"missing in one of two entries", row(0, ""), []wire.PoolWorker{row(0, "v1"), row(0, "")}, "w 0 v1"},
		{"missing in the other", row(0, ""), []wire.PoolWorker{row(0, ""), row(0, "v1")}, "w 0 v1"},
		{"two entries", row(0, "v1"), []wire.PoolWorker{row(0, "v1"), row(0, "v2")}, "w 0 v1"},
	} {
		p := &platform{size: 10}
		r := New(p, nil)
		readOne(t, r, p, test.known)
		if used, _ := readOne(t, r, p, test.rows...); used == nil || used.ID != test.want {
			t.Errorf("%s: got %+v, want %q", test.name, used, test.want)
		}
	}
}
