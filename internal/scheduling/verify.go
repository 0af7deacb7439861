package scheduling

import (
	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// CheckInvariants checks the scheduler's invariants, for tests and simulations: the table
// of each worker adds up, and no online attempt waits while batch work holds a
// place that it could have.
func (s *Scheduler) CheckInvariants() error {
	for _, id := range s.order {
		if err := s.workers[id].verify(); err != nil {
			return err
		}
	}
	for _, waiting := range s.online.attempts {
		for _, id := range s.order {
			if w := s.workers[id]; w.usable(waiting.request()) && w.fitsAfterPreemption(waiting) {
				return errors.Newf("online attempt %s waits while batch holds its place on %s", waiting.ID, id)
			}
		}
	}
	return nil
}

func (w *worker) verify() error {
	used, online := 0, 0
	for _, candidate := range w.inFlight {
		used += candidate.attempt.kvTokens()
		if candidate.attempt.Class == wire.Online {
			online++
		}
	}
	if used != w.kvUsed || online != w.online {
		return errors.Newf("worker %s counts %d tokens and %d online, has %d and %d", w.spec.ID, w.kvUsed, w.online, used, online)
	}
	return nil
}
