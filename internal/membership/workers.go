package membership

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// ListedWorker is an entry of the platform's list of workers, which lags behind the workers' state.
type ListedWorker struct {
	ID          string
	Address     string
	Zone        string
	Incarnation uint64
	Leaving     bool
	// Version is the software version, empty if the platform doesn't tell it.
	Version string
}

// Workers merges the platform's lagging list with the reports that dispatchers get from the engines
// themselves. If sources contradict each other about an incarnation, "leaving" wins, and the
// worker stays leaving until it has a new incarnation.
type Workers struct {
	forgetAfter time.Duration
	known       map[string]*worker
}

type worker struct {
	listed     ListedWorker
	leaving    bool
	lastListed time.Time
}

// NewWorkers returns an empty set. A worker that the platform has not listed for forgetAfter is
// removed.
func NewWorkers(forgetAfter time.Duration) *Workers {
	return &Workers{forgetAfter: forgetAfter, known: map[string]*worker{}}
}

// ApplyList updates the workers from one reading of the platform's list.
func (w *Workers) ApplyList(now time.Time, list []ListedWorker) {
	for _, listed := range list {
		current := w.known[listed.ID]
		if current == nil || listed.Incarnation > current.listed.Incarnation {
			w.known[listed.ID] = &worker{listed: listed, leaving: listed.Leaving, lastListed: now}
			continue
		}
		if listed.Incarnation < current.listed.Incarnation {
			// The list lags behind a restart that is known from another source.
			continue
		}
		current.lastListed = now
		if listed.Version != "" {
			current.listed.Version = listed.Version
		}
		current.leaving = current.leaving || listed.Leaving
	}
	for id, current := range w.known {
		if now.Sub(current.lastListed) > w.forgetAfter {
			delete(w.known, id)
		}
	}
}

// ApplyReport updates a worker from its owner's report about the engine.
func (w *Workers) ApplyReport(report *wire.WorkerReport) {
	if current := w.known[report.Worker]; current != nil && report.Leaving {
		current.leaving = true
	}
}

// Restore adds the workers of the assignments that a former leader committed, so that a worker
// stays leaving after a change of leader.
func (w *Workers) Restore(now time.Time, assignments map[string]wire.Assignment) {
	for id, assignment := range assignments {
		w.known[id] = &worker{
			listed: ListedWorker{
				ID:          id,
				Address:     assignment.Address,
				Zone:        assignment.Zone,
				Incarnation: assignment.Incarnation,
				Version:     assignment.Version,
			},
			leaving:    assignment.Leaving,
			lastListed: now,
		}
	}
}
