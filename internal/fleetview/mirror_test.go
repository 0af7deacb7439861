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
	told       int
	lost       bool
}

// request asks whoever is at a place, which may be another one than that told last.
func (f *follower) request(place int) *wire.WatchRequest {
	request := &wire.WatchRequest{Term: f.term, View: f.view, Lost: f.lost}
	if f.lost || place != f.told {
		request.Digests = f.workers.Digests()
	}
	return request
}

// learn takes in an answer. It reports whether the follower went back.
func (f *follower) learn(place int, term, view uint64, news *wire.FleetView) (back bool) {
	if news == nil {
		return false
	}
	back = markOf(term, view) < markOf(f.term, f.view)
	f.told, f.lost = place, false
	switch {
	case news.News == nil:
	case news.Partial && f.fleet.Listed:
		f.told = nowhere
	default:
		learnt := f.workers.Apply(news.News)
		if f.lost = learnt.Digest() != news.News.Digest; f.lost {
			return false
		}
		f.workers = learnt
	}
	f.fleet = news.Upon(&f.fleet)
	f.term, f.view = term, view
	return back
}

// mirrorFleet is a leader, relays of it and edges of these.
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

// leaderPlace is the place of the leader among those that are asked, nowhere none of them.
const (
	leaderPlace = -1
	nowhere     = -2
)

// change changes workers, and now and then the stores.
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
		// It has read a part only.
		for _, row := range f.rows {
			f.leader.AddWorkers([]wire.PoolWorker{row})
			break
		}
		return
	}
	f.read()
}

// read lets the leader read the list.
func (f *mirrorFleet) read() {
	var rows []wire.PoolWorker
	for _, row := range f.rows {
		rows = append(rows, row)
	}
	f.leader.SetWorkers(rows)
}

// askLeader is what the coordinator does for a watch.
func (f *mirrorFleet) askLeader(request *wire.WatchRequest) *wire.FleetView {
	v, known := f.leader, request.View
	if v.Number == 0 || request.Term == v.Term && request.View == v.Number && !request.Lost {
		return nil
	}
	if request.Term != v.Term || request.Lost {
		known = 0
	}
	return v.Since(known, request.Digests)
}

func (f *mirrorFleet) relayAsks(number int) {
	relay := &f.relays[number]
	if relay.learn(leaderPlace, f.leader.Term, f.leader.Number, f.askLeader(relay.request(leaderPlace))) {
		f.t.Fatal("a relay went back")
	}
	f.mirrors[number].Put(relay.term, relay.view, &relay.fleet, relay.workers)
}

func (f *mirrorFleet) edgeAsks(edge *follower) {
	place := f.random.IntN(len(f.relays)+1) - 1
	request := edge.request(place)
	if place == leaderPlace {
		if edge.learn(place, f.leader.Term, f.leader.Number, f.askLeader(request)) {
			f.t.Fatal("an edge went back at the leader")
		}
		return
	}
	m := f.mirrors[place]
	if edge.learn(place, m.Term(), m.View(), m.UpdateFor(request)) {
		f.t.Fatal("an edge went back at a relay")
	}
}

// TestNobodyGoesBack lets leaders, relays and edges come and go: edges ask leader and relays
// in any order, relays lag, lose everything, or have seen what no other leader knows. No
// edge ever goes to an older view, and once all is calm all have the leader's view.
func TestNobodyGoesBack(t *testing.T) {
	for seed := range uint64(100) {
		f := &mirrorFleet{t: t, random: rand.New(rand.NewPCG(seed, 7)), now: start, leader: New(1), rows: map[int]wire.PoolWorker{}}
		f.relays, f.mirrors, f.edges = make([]follower, 3), []*Mirror{NewMirror(), NewMirror(), NewMirror()}, make([]follower, 6)
		for range 400 {
			f.now = f.now.Add(time.Duration(f.random.IntN(200)) * time.Millisecond)
			switch f.random.IntN(12) {
			case 0, 1, 2:
				f.change()
			case 3, 4, 5:
				f.relayAsks(f.random.IntN(3))
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
				f.edgeAsks(&f.edges[f.random.IntN(6)])
			}
		}
		f.settle(seed)
	}
}

// settle lets all ask until they have the leader's view.
func (f *mirrorFleet) settle(seed uint64) {
	f.leader.ApplyReport(f.now, store("last", "z", 1))
	f.leader.Refresh(f.now, []string{fmt.Sprint(seed)}, nil, nil)
	f.read()
	for range 4 {
		for number := range f.relays {
			f.relayAsks(number)
		}
		for i := range f.edges {
			for range 2 {
				f.edgeAsks(&f.edges[i])
			}
		}
	}
	want := f.leader.Current
	for i := range f.edges {
		edge := &f.edges[i]
		if edge.workers.Digest() != f.leader.Workers().Digest() || !reflect.DeepEqual(edge.fleet.Coordinators, want.Coordinators) || len(edge.fleet.Stores) != len(want.Stores) {
			f.t.Errorf("seed %d: edge %d (lost %v, told %d, %d/%d of %d/%d) has %d workers and %d stores, the leader %d and %d", seed, i, edge.lost, edge.told, edge.term, edge.view, f.leader.Term, f.leader.Number, edge.workers.Len(), len(edge.fleet.Stores), f.leader.Workers().Len(), len(want.Stores))
		}
	}
}

// TestEdgesAreCountedAtRelays lets edges watch relays only: the leader, which hears of the
// relays alone, knows how many there are, at 833 edges and at twice as many.
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
