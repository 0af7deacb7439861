package fleetview

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

// Mirror is a relay's copy of the leader's view, from which the relay answers the polls of
// edges. The leader's traffic and work for watches then grow with the number of relays and
// stores, not of edges, and each change crosses a zone's border once for each relay. It is not
// safe for concurrent use.
type Mirror struct {
	fleet wire.FleetView
	// version is the version of the newest view. processesVersion is the version of the last view
	// in which anything but workers and edges changed.
	version          uint64
	processesVersion uint64
	workers          *workerset.Log
	// edges holds, by name, when each edge polled this relay last.
	edges map[string]time.Time
}

// NewMirror returns an empty mirror.
func NewMirror() *Mirror { return &Mirror{edges: map[string]time.Time{}} }

// termShift divides a version into term and view number. The numbers of one term suffice for 12
// days if a leader changes its view a thousand times a second.
const termShift = 40

// viewVersion returns a number that orders the views of all terms.
func viewVersion(term, view uint64) uint64 { return term<<termShift | view }

// Put stores a view of a leader's term, unless a newer one is stored already.
func (m *Mirror) Put(term, view uint64, fleet *wire.FleetView, workers *workerset.Set) {
	version := viewVersion(term, view)
	if version <= m.version {
		return
	}
	if m.workers == nil {
		// The changes before this view are unknown.
		m.workers = workerset.NewLog(version)
	}
	m.workers.Put(version, workers)
	if m.version == 0 || !sameProcesses(fleet, &m.fleet) {
		m.processesVersion = version
	}
	m.version, m.fleet = version, *fleet
}

// UpdateFor returns what differs from the view that the edge has, nil if nothing does or if the
// edge has a newer view than the relay.
func (m *Mirror) UpdateFor(request *wire.WatchRequest) *wire.FleetView {
	known := viewVersion(request.Term, request.View)
	if m.version == 0 || known > m.version || known == m.version && !request.Lost {
		return nil
	}
	update := m.fleet
	workersVersion := known
	if request.Lost || len(request.Digests) > 0 {
		// The digests say more reliably than the view's number which list the edge has.
		workersVersion = 0
	}
	if hasWorkers(&m.fleet) {
		workers := m.workers.Since(workersVersion, request.Digests)
		update.News = &workers
	}
	if known > 0 && m.processesVersion <= known {
		omitProcesses(&update)
	}
	return &update
}

// Term returns the leader's term of the newest view.
func (m *Mirror) Term() uint64 { return m.version >> termShift }

// View returns the number of the newest view within its term.
func (m *Mirror) View() uint64 { return m.version & (1<<termShift - 1) }

// RecordWatch records that an edge polled this relay.
func (m *Mirror) RecordWatch(now time.Time, name string) { m.edges[name] = now }

// EdgeCount returns the number of edges that poll this relay.
func (m *Mirror) EdgeCount(now time.Time) int {
	for name, at := range m.edges {
		if now.Sub(at) > edgeTTL {
			delete(m.edges, name)
		}
	}
	return len(m.edges)
}
