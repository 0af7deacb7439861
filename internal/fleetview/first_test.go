package fleetview

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// firstReader is a process of wire.GenerationFirst: what it does with an answer is that
// build's code.
type firstReader struct {
	view  uint64
	fleet wire.FleetView
}

func (r *firstReader) learn(view uint64, news *wire.FleetView) {
	before := r.fleet
	r.view, r.fleet = view, *news
	r.fleet.SameWorkers, r.fleet.SameStores = false, false
	if news.SameWorkers || !news.Listed {
		r.fleet.Workers, r.fleet.Listed = before.Workers, before.Listed
	}
	if news.SameStores {
		r.fleet.Coordinators, r.fleet.Stores, r.fleet.Groups = before.Coordinators, before.Stores, before.Groups
		r.fleet.Initial, r.fleet.Retiring = before.Initial, before.Retiring
	}
	if len(r.fleet.Stores) == 0 {
		r.fleet.Stores = before.Stores
	}
}

// TestFirstGenerationFollows changes workers and stores at random, a part of the list
// before the whole, and lets processes of the first generation ask: what they have after
// an answer is the leader's view, and nothing in it is of a form that they can't read.
func TestFirstGenerationFollows(t *testing.T) {
	random := rand.New(rand.NewPCG(8, 8))
	v, now := New(1), start
	readers := make([]firstReader, 5)
	for step := range 2000 {
		now = now.Add(time.Duration(random.IntN(500)) * time.Millisecond)
		rows := []wire.PoolWorker{{ID: fmt.Sprint(random.IntN(3))}, {ID: "x", Leaving: random.IntN(2) == 0}}
		switch {
		case step < 20:
			v.AddWorkers(rows)
		case random.IntN(2) == 0:
			v.SetWorkers(rows)
		default:
			v.ApplyReport(now, store(fmt.Sprintf("s%d", random.IntN(4)), "z", 1))
		}
		v.Refresh(now, []string{fmt.Sprint(random.IntN(2))}, nil, nil)
		reader := &readers[random.IntN(len(readers))]
		if reader.view == v.Number {
			continue
		}
		news := v.SinceGenerationFirst(reader.view)
		if news.News != nil {
			t.Fatalf("step %d: the answer holds %+v", step, news.News)
		}
		reader.learn(v.Number, news)
		if reader.fleet.Listed != v.Current.Listed || v.Current.Listed && !reflect.DeepEqual(reader.fleet.Workers, v.Workers().Rows()) {
			t.Fatalf("step %d: workers %+v (listed %v), want %+v (%v)", step, reader.fleet.Workers, reader.fleet.Listed, v.Workers().Rows(), v.Current.Listed)
		}
		if !reflect.DeepEqual(reader.fleet.Coordinators, v.Current.Coordinators) {
			t.Fatalf("step %d: coordinators %v, want %v", step, reader.fleet.Coordinators, v.Current.Coordinators)
		}
	}
}
