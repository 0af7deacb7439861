package fleetview

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// firstGenReader is a process of wire.GenerationFirst. Its method apply is copied from a build of
// that generation.
type firstGenReader struct {
	view  uint64
	fleet wire.FleetView
}

func (r *firstGenReader) apply(view uint64, update *wire.FleetView) {
	before := r.fleet
	r.view, r.fleet = view, *update
	r.fleet.SameWorkers, r.fleet.SameStores = false, false
	if update.SameWorkers || !update.Listed {
		r.fleet.Workers, r.fleet.Listed = before.Workers, before.Listed
	}
	if update.SameStores {
		r.fleet.Coordinators, r.fleet.Stores, r.fleet.Groups = before.Coordinators, before.Stores, before.Groups
		r.fleet.Initial, r.fleet.Retiring = before.Initial, before.Retiring
	}
	if len(r.fleet.Stores) == 0 {
		r.fleet.Stores = before.Stores
	}
}

// TestFirstGenerationGetsCurrentView changes workers and stores at random, starting with a partial
// list of workers, and lets processes of the first generation poll. After each answer the process
// must have the leader's view: the same coordinators, and the same workers once the leader has read
// the whole list. The answer must not contain the field News, which the first generation can't
// read.
func TestFirstGenerationGetsCurrentView(t *testing.T) {
	random := rand.New(rand.NewPCG(8, 8))
	v, now := New(1), start
	readers := make([]firstGenReader, 5)
	for step := range 2000 {
		now = now.Add(time.Duration(random.IntN(500)) * time.Millisecond)
		rows := []wire.PoolWorker{{ID: fmt.Sprint(random.IntN(3))}, {ID: "x", Leaving: random.IntN(2) == 0}}
		switch {
		case step < 20:
			v.AddWorkers(rows, start)
		case random.IntN(2) == 0:
			v.SetWorkers(rows, start)
		default:
			v.ApplyReport(now, store(fmt.Sprintf("s%d", random.IntN(4)), "z", 1))
		}
		v.Refresh(now, []string{fmt.Sprint(random.IntN(2))}, nil, nil)
		reader := &readers[random.IntN(len(readers))]
		if reader.view == v.Number {
			continue
		}
		update := v.SinceGenerationFirst(reader.view)
		if update.News != nil {
			t.Fatalf("step %d: the answer holds %+v", step, update.News)
		}
		reader.apply(v.Number, update)
		if reader.fleet.Listed != v.Current.Listed || v.Current.Listed && !reflect.DeepEqual(reader.fleet.Workers, v.Workers().Rows()) {
			t.Fatalf("step %d: workers %+v (listed %v), want %+v (%v)", step, reader.fleet.Workers, reader.fleet.Listed, v.Workers().Rows(), v.Current.Listed)
		}
		if !reflect.DeepEqual(reader.fleet.Coordinators, v.Current.Coordinators) {
			t.Fatalf("step %d: coordinators %v, want %v", step, reader.fleet.Coordinators, v.Current.Coordinators)
		}
	}
}
