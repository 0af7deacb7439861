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

// follower is a process that follows the fleet, as package fleetwatch does.
type follower struct {
	term, view uint64
	fleet      wire.FleetView
	workers    *workerset.Set
	source     int
	lost       bool
}

// request returns the request to a source, which may differ from the one of the last update.
func (f *follower) request(source int) *wire.WatchRequest {
	request := &wire.WatchRequest{Term: f.term, View: f.view, Lost: f.lost}
	if f.lost || source != f.source {
		request.Digests = f.workers.Digests()
	}
	return request
}

// apply applies an answer and reports whether the follower went back to an older view.
func (f *follower) apply(source int, term, view uint64, update *wire.FleetView) (wentBack bool) {
	if update == nil {
		return false
	}
	wentBack = viewVersion(term, view) < viewVersion(f.term, f.view)
	f.source, f.lost = source, false
	switch {
	case update.News == nil:
	case update.Partial && f.fleet.Listed:
		f.source = noSource
	default:
		updated := f.workers.Apply(update.News)
		if f.lost = updated.Digest() != update.News.Digest; f.lost {
			return false
		}
		f.workers = updated
	}
	f.fleet = update.ApplyTo(&f.fleet)
	f.term, f.view = term, view
	return wentBack
}

// mirrorFleet consists of a leader, its relays and their edges.
type mirrorFleet struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	leader  *View
	rows    map[int]wire.PoolWorker
	next    int
	relays  []follower
	mirrors []*Mirror
	edges   []follower
}

// leaderSource stands for the leader as a source of updates, noSource for none. Relays have the
// numbers from 0 on.
const (
	leaderSource = -1
	noSource     = -2
)

// change changes workers at random, and sometimes the stores.
func (f *mirrorFleet) change() {
	for range f.random.IntN(4) {
		f.rows[f.next] = wire.PoolWorker{ID: fmt.Sprint(f.next), Zone: "z"}
		f.next++
	}
	for key, row := range f.rows {
		if f.random.IntN(30) == 0 {
			delete(f.rows, key)
		} else if f.random.IntN(30) == 0 {
			row.Leaving = true
			f.rows[key] = row
		}
		if f.random.IntN(40) == 0 {
			break
		}
	}
	if f.random.IntN(5) == 0 {
		f.leader.ApplyReport(f.now, store(fmt.Sprintf("s%d", f.random.IntN(5)), "z", 1))
	}
	f.leader.Refresh(f.now, nil, nil, nil)
	if !f.leader.Current.Listed && f.random.IntN(3) > 0 {
		// The leader has read only a part of the list.
		for _, row := range f.rows {
			f.leader.AddWorkers([]wire.PoolWorker{row}, start)
			break
		}
		return
	}
	f.readList()
}

// readList gives the leader the whole list of workers.
func (f *mirrorFleet) readList() {
	var rows []wire.PoolWorker
	for _, row := range f.rows {
		rows = append(rows, row)
	}
	f.leader.SetWorkers(rows, start)
}

// watchLeader does what the coordinator does for a watch request.
func (f *mirrorFleet) watchLeader(request *wire.WatchRequest) *wire.FleetView {
	v, known := f.leader, request.View
	if v.Number == 0 || request.Term == v.Term && request.View == v.Number && !request.Lost {
		return nil
	}
	if request.Term != v.Term || request.Lost {
		known = 0
	}
	return v.Since(known, request.Digests)
}

func (f *mirrorFleet) pollFromRelay(number int) {
	relay := &f.relays[number]
	if relay.apply(leaderSource, f.leader.Term, f.leader.Number, f.watchLeader(relay.request(leaderSource))) {
		f.t.Fatal("a relay went back to an older view")
	}
	f.mirrors[number].Put(relay.term, relay.view, &relay.fleet, relay.workers)
}

func (f *mirrorFleet) pollFromEdge(edge *follower) {
	source := f.random.IntN(len(f.relays)+1) - 1
	request := edge.request(source)
	if source == leaderSource {
		if edge.apply(source, f.leader.Term, f.leader.Number, f.watchLeader(request)) {
			f.t.Fatal("an edge went back to an older view at the leader")
		}
		return
	}
	m := f.mirrors[source]
	if edge.apply(source, m.Term(), m.View(), m.UpdateFor(request)) {
		f.t.Fatal("an edge went back to an older view at a relay")
	}
}

// TestNoEdgeReturnsToOlderView restarts leaders, relays and edges at random. Edges poll the leader
// and the relays in any order; relays lag, lose their state, or have a view that the next leader
// does not know. No edge may go back to an older view, and once changes stop all must reach the
// leader's view.
func TestNoEdgeReturnsToOlderView(t *testing.T) {
	for seed := range uint64(100) {
		f := &mirrorFleet{t: t, random: rand.New(rand.NewPCG(seed, 7)), now: start, leader: New(1), rows: map[int]wire.PoolWorker{}}
		f.relays, f.mirrors, f.edges = make([]follower, 3), []*Mirror{NewMirror(), NewMirror(), NewMirror()}, make([]follower, 6)
		for range 400 {
			f.now = f.now.Add(time.Duration(f.random.IntN(200)) * time.Millisecond)
			switch f.random.IntN(12) {
			case 0, 1, 2:
				f.change()
			case 3, 4, 5:
				f.pollFromRelay(f.random.IntN(3))
			case 6:
				if f.random.IntN(4) == 0 {
					f.leader = New(f.leader.Term + 1)
				}
			case 7:
				if f.random.IntN(4) == 0 {
					number := f.random.IntN(3)
					f.relays[number], f.mirrors[number] = follower{}, NewMirror()
				}
			case 8:
				if f.random.IntN(4) == 0 {
					f.edges[f.random.IntN(6)] = follower{}
				}
			default:
				f.pollFromEdge(&f.edges[f.random.IntN(6)])
			}
		}
		f.settle(seed)
	}
}

// settle lets all relays and edges poll until they must have the leader's view.
func (f *mirrorFleet) settle(seed uint64) {
	f.leader.ApplyReport(f.now, store("last", "z", 1))
	f.leader.Refresh(f.now, []string{fmt.Sprint(seed)}, nil, nil)
	f.readList()
	for range 4 {
		for number := range f.relays {
			f.pollFromRelay(number)
		}
		for i := range f.edges {
			for range 2 {
				f.pollFromEdge(&f.edges[i])
			}
		}
	}
	want := f.leader.Current
	for i := range f.edges {
		edge := &f.edges[i]
		if edge.workers.Digest() != f.leader.Workers().Digest() || !reflect.DeepEqual(edge.fleet.Coordinators, want.Coordinators) || len(edge.fleet.Stores) != len(want.Stores) {
			f.t.Errorf("seed %d: edge %d (lost %v, source %d, view %d/%d, leader's view %d/%d) has %d workers and %d stores, the leader %d and %d", seed, i, edge.lost, edge.source, edge.term, edge.view, f.leader.Term, f.leader.Number, edge.workers.Len(), len(edge.fleet.Stores), f.leader.Workers().Len(), len(want.Stores))
		}
	}
}

// TestEdgesAreCountedAtRelays lets edges poll relays only: the leader, to which only the relays
// report, must know the number of edges, with 833 edges and with twice as many.
func TestEdgesAreCountedAtRelays(t *testing.T) {
	const relays = 14
	for _, edges := range []int{833, 2 * 833} {
		v, mirrors := New(1), make([]*Mirror, relays)
		for i := range mirrors {
			mirrors[i] = NewMirror()
		}
		for edge := range edges {
			mirrors[edge%relays].RecordWatch(start, fmt.Sprint(edge))
		}
		mirrors[0].RecordWatch(start.Add(-2*ProcessTTL), "gone")
		for i := range mirrors {
			v.ApplyReport(start, &wire.ProcessReport{Kind: wire.ProcessRelay, Name: fmt.Sprint(i), Edges: mirrors[i].EdgeCount(start)})
		}
		v.Refresh(start, nil, nil, nil)
		if v.Current.Edges != edges || len(v.Current.Relays) != relays {
			t.Errorf("%d edges: %d counted at %d relays", edges, v.Current.Edges, len(v.Current.Relays))
		}
	}
}
