package fleetview

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

// TestViewPlusUpdateIsCurrentView changes workers, stores and edges at random and lets callers
// with views of any age poll: the view they had plus the update must equal the current view.
func TestViewPlusUpdateIsCurrentView(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	v, now := New(1), start
	type caller struct {
		number  uint64
		known   wire.FleetView
		workers *workerset.Set
	}
	callers := make([]caller, 6)
	for step := range 2000 {
		now = now.Add(time.Duration(random.IntN(500)) * time.Millisecond)
		switch random.IntN(3) {
		case 0:
			v.SetWorkers([]wire.PoolWorker{{ID: fmt.Sprint(random.IntN(3))}}, start)
		case 1:
			v.ApplyReport(now, store(fmt.Sprintf("s%d", random.IntN(5)), "z", 1))
		case 2:
			v.ApplyReport(now, &wire.ProcessReport{Kind: wire.ProcessEdge, Name: fmt.Sprintf("e%d", random.IntN(20))})
		}
		v.Refresh(now, []string{fmt.Sprint(random.IntN(2))}, nil, nil)
		c := &callers[random.IntN(len(callers))]
		if c.number == v.Number {
			continue
		}
		update := v.Since(c.number, c.workers.Digests())
		if update.News != nil {
			c.workers = c.workers.Apply(update.News)
		}
		c.known = update.ApplyTo(&c.known)
		c.number = v.Number
		want := v.Current
		if len(want.Stores) == 0 {
			want.Stores = c.known.Stores
		}
		if v.Current.Listed && c.workers.Digest() != v.Workers().Digest() {
			t.Fatalf("step %d: workers %+v, want %+v", step, c.workers.Rows(), v.Workers().Rows())
		}
		if !reflect.DeepEqual(c.known, want) {
			t.Fatalf("step %d: %+v, want %+v", step, c.known, want)
		}
	}
}

// TestEdgeCountChangesInSteps checks that the view of a large fleet does not change with each
// edge that joins or leaves, but with an eighth of them, and when the last one has left.
func TestEdgeCountChangesInSteps(t *testing.T) {
	v := New(1)
	refreshWith := func(now time.Time, count int) bool {
		for number := range count {
			v.ApplyReport(now, &wire.ProcessReport{Kind: wire.ProcessEdge, Name: fmt.Sprint(number)})
		}
		return v.Refresh(now, nil, nil, nil)
	}
	if !refreshWith(start, 100) || v.Current.Edges != 100 {
		t.Fatalf("the view has %d edges, want 100", v.Current.Edges)
	}
	if refreshWith(start, 112) || v.Current.Edges != 100 {
		t.Errorf("the view changed for 12 more edges of 100: %d", v.Current.Edges)
	}
	if !refreshWith(start, 113) || v.Current.Edges != 113 {
		t.Errorf("the view did not change for 13 more edges of 100: %d", v.Current.Edges)
	}
	if !refreshWith(start.Add(ProcessTTL+1), 0) || v.Current.Edges != 0 {
		t.Errorf("the view did not change when all edges left: %d", v.Current.Edges)
	}
}
