package fleetsim

import (
	"fmt"
	"time"

	"github.com/sedgemast/sedgemast/internal/fleetview"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/upstream"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

const (
	// poolWorkers is the number of workers of the pool from which workers leave.
	poolWorkers = 8
	// drainTime is how long after it is listed as leaving a worker may get requests. It stays on the
	// list, and runs, for lingerTime longer.
	drainTime  = 3 * time.Second
	lingerTime = 6 * time.Second
	// leaveInterval is the mean time between two workers that leave.
	leaveInterval = 1500 * time.Millisecond
	// A reading of the list takes between minReadingTime and maxReadingTime, which is a large part of
	// drainTime. The next one begins readingInterval after its beginning.
	minReadingTime  = 100 * time.Millisecond
	maxReadingTime  = 1800 * time.Millisecond
	readingInterval = 500 * time.Millisecond
	// relayPollInterval is the time between two polls of a relay and of an edge. A relay whose state is
	// older than maxRelayAge does not answer.
	relayPollInterval = 200 * time.Millisecond
	maxRelayAge       = 1100 * time.Millisecond
	// A request is sent up to maxQueueTime after its worker was chosen.
	sendInterval = 40 * time.Millisecond
	maxQueueTime = 2 * time.Second
	// maxContinuedAge is the largest age of a list with which a new leader begins.
	maxContinuedAge = 5 * time.Second
)

// poolWorker is a worker of the pool. leavingAt is when the list first showed it as leaving, zero if it
// has not.
type poolWorker struct {
	id        string
	leavingAt time.Time
}

// knownList is a copy of the list of workers. readAt is when the reading began by which it is known, and
// heardAt when it was told here.
type knownList struct {
	workers *workerset.Set
	readAt  time.Time
	heardAt time.Time
}

// state returns what the list says about a worker.
func (l *knownList) state(w *World, id string) upstream.WorkerState {
	row, found := l.workers.Get(id)
	state := upstream.WorkerState{Ready: found && !row.Leaving, ListReadAt: l.readAt}
	switch w.mutation {
	case MutationTrustOldList:
		state.ListReadAt = w.now
	case MutationListAgeFromAnswer:
		state.ListReadAt = l.heardAt
	}
	return state
}

// listKnowledge is what a coordinator or an edge knows of the list.
type listKnowledge struct {
	list knownList
	// view is the leader's view of the list in its term. reading is set while it reads.
	view        *fleetview.View
	reading     bool
	nextReading time.Time
}

// listCounts counts sends to workers of the pool.
type listCounts struct{ sent, asked, rejected int }

// startLeaving starts the workers that leave, the readings of the list, and the requests to the pool.
func (w *World) startLeaving() {
	for range poolWorkers {
		w.addPoolWorker()
	}
	w.after(faultsFrom, w.nextLeave)
	w.every(tickInterval, func() bool { w.tickLists(); return true })
	w.every(relayPollInterval, func() bool { w.pollLists(); return true })
	w.every(sendInterval, func() bool { w.sendToPool(); return true })
}

func (w *World) addPoolWorker() {
	w.lastPoolWorker++
	w.pool = append(w.pool, &poolWorker{id: fmt.Sprintf("p-%d", w.lastPoolWorker)})
}

// nextLeave makes a worker leave, whose place another one takes. In some seeds the leader is lost within
// about a reading's time of that.
func (w *World) nextLeave() {
	leaving := w.pool[w.leaveRandom.IntN(len(w.pool))]
	if leaving.leavingAt.IsZero() {
		w.log("%s is listed as leaving", leaving.id)
		leaving.leavingAt = w.now
		w.addPoolWorker()
		w.after(drainTime+lingerTime, func() { w.removePoolWorker(leaving) })
		if w.losesLeaders && w.now.Sub(startTime) < faultsUntil {
			w.after(randomDuration(w.leaveRandom, 0, maxReadingTime), w.loseLeader)
		}
	}
	w.after(randomDuration(w.leaveRandom, leaveInterval/2, 3*leaveInterval/2), w.nextLeave)
}

func (w *World) removePoolWorker(removed *poolWorker) {
	for i, worker := range w.pool {
		if worker == removed {
			w.pool = append(w.pool[:i:i], w.pool[i+1:]...)
			return
		}
	}
}

// loseLeader kills the leader for a while.
func (w *World) loseLeader() {
	leader := w.leader()
	if leader == nil || !leader.alive || leader.frozen {
		return
	}
	w.log("lose the leader %s", leader.name)
	leader.kill()
	w.after(randomDuration(w.leaveRandom, 100*time.Millisecond, drainTime), func() { leader.restart(false) })
}

// tickLists begins the readings that are due.
func (w *World) tickLists() {
	for _, coordinator := range w.machinesOf(kindCoordinator) {
		if coordinator.alive && !coordinator.frozen {
			coordinator.readList()
		}
	}
}

// readList begins a reading of the list if this coordinator leads and one is due.
func (m *machine) readList() {
	w, incarnation, startedAt := m.world, m.incarnation, m.clock()
	view := m.leaderList()
	if view == nil || m.lists.reading || m.clock().Before(m.lists.nextReading) {
		return
	}
	m.lists.reading, m.lists.nextReading = true, startedAt.Add(readingInterval)
	took := randomDuration(w.leaveRandom, minReadingTime, maxReadingTime)
	var rows []wire.PoolWorker
	for _, worker := range append([]*poolWorker(nil), w.pool...) {
		// Each row is read at some moment of the reading.
		w.after(time.Duration(w.leaveRandom.Int64N(int64(took))), func() {
			rows = append(rows, wire.PoolWorker{ID: worker.id, Leaving: !worker.leavingAt.IsZero()})
		})
	}
	w.after(took, func() {
		if m.incarnation != incarnation || !m.alive {
			return
		}
		m.lists.reading = false
		if m.frozen || m.leaderList() != view {
			return
		}
		view.SetWorkers(rows, startedAt)
		m.lists.list = knownList{workers: view.Workers(), readAt: view.ListReadAt, heardAt: m.clock()}
	})
}

// leaderList returns the view of the list if this coordinator leads, else nil. A new leader begins with the
// list that it was told before.
func (m *machine) leaderList() *fleetview.View {
	leads := m.node.Read(m.clock(), 0, func(term uint64, _ storage.Reader) error {
		if m.lists.view == nil || m.lists.view.Term != term {
			m.lists.view, m.lists.nextReading = fleetview.New(term), time.Time{}
			if known := &m.lists.list; !known.readAt.IsZero() && m.clock().Sub(known.readAt) <= maxContinuedAge {
				m.lists.view.ContinueList(known.workers, known.readAt)
			}
		}
		return nil
	})
	if leads != nil {
		return nil
	}
	return m.lists.view
}

// pollLists lets each coordinator ask the leader for its list, and each edge a coordinator, as its relay.
func (w *World) pollLists() {
	all := w.machinesOf(kindCoordinator)
	for _, relay := range all {
		for _, coordinator := range all {
			relay.askForList(coordinator, func() bool { return coordinator.leaderList() != nil && coordinator.lists.view.Current.Listed })
		}
	}
	for _, e := range w.edges {
		relay := all[w.leaveRandom.IntN(len(all))]
		e.askForList(relay, func() bool { return relay.clock().Sub(relay.lists.list.heardAt) <= maxRelayAge })
	}
}

// askForList asks a coordinator for its list. The coordinator answers if answers returns true.
func (m *machine) askForList(coordinator *machine, answers func() bool) {
	if m == coordinator || !m.alive || m.frozen {
		return
	}
	w, incarnation := m.world, m.incarnation
	m.transmitWith(w.leaveRandom, coordinator, func() {
		if !answers() {
			return
		}
		told := coordinator.lists.list
		coordinator.transmitWith(w.leaveRandom, m, func() {
			if m.incarnation == incarnation && !told.readAt.IsZero() {
				told.heardAt = m.clock()
				m.lists.list = told
			}
		})
	})
}

// sendToPool lets a random edge choose a worker for a request, which is sent after a wait.
func (w *World) sendToPool() {
	e := w.edges[w.leaveRandom.IntN(len(w.edges))]
	if !e.alive || e.frozen || len(w.pool) == 0 {
		return
	}
	chosen, incarnation := w.pool[w.leaveRandom.IntN(len(w.pool))], e.incarnation
	if !e.lists.list.state(w, chosen.id).Ready {
		return
	}
	w.after(time.Duration(w.leaveRandom.Int64N(int64(maxQueueTime))), func() {
		if e.incarnation == incarnation && e.alive && !e.frozen {
			e.sendChosen(chosen)
		}
	})
}

// sendChosen sends a request to the worker unless it takes none, as package upstream decides.
func (e *edge) sendChosen(chosen *poolWorker) {
	w := e.world
	switch e.lists.list.state(w, chosen.id).Readiness(e.clock(), drainTime) {
	case upstream.NotReady:
		w.listCounts.rejected++
		return
	case upstream.Unknown:
		w.listCounts.asked++
		if !chosen.leavingAt.IsZero() {
			return
		}
	case upstream.Ready:
	}
	w.listCounts.sent++
	if late := w.now.Sub(chosen.leavingAt); !chosen.leavingAt.IsZero() && late > drainTime {
		w.ledger.recordViolation("%s sends a request to %s %s after it was listed as leaving, by a list of %s before", e.name, chosen.id, late, w.now.Sub(e.lists.list.readAt))
	}
}
