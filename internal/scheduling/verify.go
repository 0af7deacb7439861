package scheduling

import (
	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// CheckInvariants checks the scheduler's invariants, for tests and simulations: the counters of
// each worker match its attempts, and no online attempt is queued while it could run after the
// preemption of batch attempts.
func (s *Scheduler) CheckInvariants() error {
	for _, id := range s.sortedWorkers {
		if err := s.workers[id].checkCounters(); err != nil {
			return err
		}
	}
	for _, waiting := range s.online.attempts {
		for _, id := range s.sortedWorkers {
			if w := s.workers[id]; w.canServe(waiting.request()) && w.fitsAfterPreemption(waiting) {
				return errors.Newf("online attempt %s is queued although it fits on worker %s after preempting batch attempts", waiting.ID, id)
			}
		}
	}
	return nil
}

func (w *worker) checkCounters() error {
	used, online := 0, 0
	for _, r := range w.inFlight {
		used += r.attempt.kvTokens()
		if r.attempt.Class == wire.Online {
			online++
		}
	}
	if used != w.kvUsed || online != w.online {
		return errors.Newf("worker %s counts %d KV tokens and %d online attempts, but its attempts add up to %d and %d", w.spec.ID, w.kvUsed, w.online, used, online)
	}
	return nil
}
