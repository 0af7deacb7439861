package membership

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// ListedWorker is a worker as the platform's list shows it. The list lags.
type ListedWorker struct {
	ID          string
	Address     string
	Zone        string
	Incarnation uint64
	Leaving     bool
}

// Workers merges the platform's lagging list with what dispatchers hear from
// the engines themselves. Of contradicting news about one incarnation the one
// that says "leaving" wins for good: it is sticky until a new incarnation.
type Workers struct {
	forgetAfter time.Duration
	known       map[string]*worker
}

type worker struct {
	listed     ListedWorker
	leaving    bool
	lastListed time.Time
}

// NewWorkers returns an empty set. A worker is forgotten once the platform has
// not listed it for forgetAfter.
func NewWorkers(forgetAfter time.Duration) *Workers {
	return &Workers{forgetAfter: forgetAfter, known: map[string]*worker{}}
}

// ApplyList takes in one reading of the platform's list.
func (w *Workers) ApplyList(now time.Time, list []ListedWorker) {
	for _, listed := range list {
		current := w.known[listed.ID]
		if current == nil || listed.Incarnation > current.listed.Incarnation {
			w.known[listed.ID] = &worker{listed: listed, leaving: listed.Leaving, lastListed: now}
			continue
		}
		if listed.Incarnation < current.listed.Incarnation {
			// The list lags behind a restart that was learnt elsewhere.
			continue
		}
		current.lastListed = now
		current.leaving = current.leaving || listed.Leaving
	}
	for id, current := range w.known {
		if now.Sub(current.lastListed) > w.forgetAfter {
			delete(w.known, id)
		}
	}
}

// ApplyReport takes in what the owner of a worker has heard from its engine.
func (w *Workers) ApplyReport(report *wire.WorkerReport) {
	if current := w.known[report.Worker]; current != nil && report.Leaving {
		current.leaving = true
	}
}

// Restore takes in the assignments that a former leader committed, so that
// "leaving" outlives the leader that learnt it.
func (w *Workers) Restore(now time.Time, assignments map[string]wire.Assignment) {
	for id, assignment := range assignments {
		w.known[id] = &worker{
			listed: ListedWorker{
				ID:          id,
				Address:     assignment.Address,
				Zone:        assignment.Zone,
				Incarnation: assignment.Incarnation,
			},
			leaving:    assignment.Leaving,
			lastListed: now,
		}
	}
}
