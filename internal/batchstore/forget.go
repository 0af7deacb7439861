package batchstore

import (
	"context"
	"time"

	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// forgetInterval is the time between two scans for jobs to forget.
	forgetInterval = 5 * time.Second
)

// forgettable returns the jobs that this leader first saw longer than ForgetAfter ago. Some of
// these jobs may still be open; forget skips them.
func (r *runner) forgettable(now time.Time) []string {
	var names []string
	for id, observed := range r.seen {
		if now.Sub(observed.firstSeen) > r.store.settings.ForgetAfter.Std() {
			names = append(names, id)
		}
	}
	return names
}

func (r *runner) forget(ctx context.Context, names []string) {
	for _, id := range names {
		open := true
		err := r.group.read(func(storage.Reader) error {
			if job, err := r.group.machine.Job(id); err != nil || !job.Open() {
				open = err != nil
			}
			return nil
		})
		if err != nil || open {
			continue
		}
		_, err = r.group.propose(ctx, &wire.BatchCommand{Forget: &wire.BatchName{ID: id}})
		logging.Info(r.store.logger, "job_forgotten", "job", id, "error", err)
	}
}
