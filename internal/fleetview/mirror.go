package fleetview

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

// Mirror is a relay's copy of the leader's view, from which it tells edges what they lack.
// What the leader sends and does for its watches then grows with relays and stores, not
// with edges, and one copy of each change crosses a zone's border for each relay. It is
// not safe for concurrent use.
type Mirror struct {
	fleet wire.FleetView
	// mark and storesAt are the marks of the newest view, and of the one in which all but
	// workers and edges changed last.
	mark     uint64
	storesAt uint64
	workers  *workerset.Log
	// edges holds when the relay's edges were last heard.
	edges map[string]time.Time
}

// NewMirror returns a mirror that has seen no view.
func NewMirror() *Mirror { return &Mirror{edges: map[string]time.Time{}} }

// termShift divides a mark between term and number: a leader that changes its view a
// thousand times a second needs 12 days for a term's numbers.
const termShift = 40

// markOf orders the views of all terms.
func markOf(term, view uint64) uint64 { return term<<termShift | view }

// Put takes in the view of a leader's term. One that is not newer is left out.
func (m *Mirror) Put(term, view uint64, fleet *wire.FleetView, workers *workerset.Set) {
	mark := markOf(term, view)
	if mark <= m.mark {
		return
	}
	if m.workers == nil {
		// What came before this view is not known here.
		m.workers = workerset.NewLog(mark)
	}
	m.workers.Put(mark, workers)
	if m.mark == 0 || !sameProcesses(fleet, &m.fleet) {
		m.storesAt = mark
	}
	m.mark, m.fleet = mark, *fleet
}

// UpdateFor returns what an edge lacks that has a leader's view, nil where it lacks nothing: a
// relay never tells of an older view than the edge has seen.
func (m *Mirror) UpdateFor(request *wire.WatchRequest) *wire.FleetView {
	known := markOf(request.Term, request.View)
	if m.mark == 0 || known > m.mark || known == m.mark && !request.Lost {
		return nil
	}
	news := m.fleet
	workersKnown := known
	if request.Lost || len(request.Digests) > 0 {
		// The digests say more surely than the mark what the edge has.
		workersKnown = 0
	}
	if tellsWorkers(&m.fleet) {
		workers := m.workers.Since(workersKnown, request.Digests)
		news.News = &workers
	}
	if known > 0 && m.storesAt <= known {
		leaveOutProcesses(&news)
	}
	return &news
}

// Term is the leader's term of the newest view.
func (m *Mirror) Term() uint64 { return m.mark >> termShift }

// View is the number of the newest view in its term.
func (m *Mirror) View() uint64 { return m.mark & (1<<termShift - 1) }

// RecordWatch takes in that an edge watches here.
func (m *Mirror) RecordWatch(now time.Time, name string) { m.edges[name] = now }

// EdgeCount counts the edges that watch here.
func (m *Mirror) EdgeCount(now time.Time) int {
	for name, at := range m.edges {
		if now.Sub(at) > edgeFresh {
			delete(m.edges, name)
		}
	}
	return len(m.edges)
}
