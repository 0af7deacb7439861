package batchstore

import (
	"context"
	"net/http"
	"time"

	"github.com/sedgemast/sedgemast/internal/batchstate"
	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/upstream"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// quarantinePause is the time between two looks at an item that is refused.
	quarantinePause = 250 * time.Millisecond
	// goodRun is how long an item must have run, with events, to speak for itself, whatever
	// ended the run: one that ends its workers does so as it begins, and one that comes so
	// far each time is done after a few runs.
	goodRun = time.Second
)

// fingerprintOf returns the identity of an item, the same as that of an online request
// with the same content.
func fingerprintOf(job *batchstate.Job, content *wire.ItemContent) quarantine.Fingerprint {
	return quarantine.FingerprintOf(job.Owner, job.Host, http.MethodPost, content.Path, content.Body)
}

// quarantined reports whether an item must not start, because workers ended under it. It
// stays in its job, and is tried again when that is due: an item is given up for its
// failures only, not for what befell its workers.
func (r *runner) quarantined(ctx context.Context, now time.Time, key itemKey, job *batchstate.Job, content *wire.ItemContent) bool {
	book := r.store.watcher.Quarantine()
	if !book.InUse() {
		clear(r.prints)
		clear(r.granted)
		return false
	}
	request, known := r.prints[key]
	if !known {
		request = fingerprintOf(job, content)
		r.prints[key] = request
	}
	if book.Standing(now, request) != quarantine.Refused {
		return false
	}
	if r.granted[key] {
		// The grant lasts until the item has a worker.
		return false
	}
	r.resting[key] = now.Add(quarantinePause)
	if book.TrialDelay(now, request) == 0 {
		go r.askTrial(ctx, key, request)
	}
	return true
}

// askTrial asks the coordinators whether an item may be tried.
func (r *runner) askTrial(ctx context.Context, key itemKey, request quarantine.Fingerprint) {
	granted, wait := r.store.watcher.RequestTrial(ctx, request)
	logging.Info(r.store.logger, "item_quarantined", "job", key.job, "item", key.item, "request", request, "trial", granted, "wait_ms", wait.Milliseconds())
	if !granted {
		return
	}
	select {
	case r.trials <- key:
	case <-ctx.Done():
	}
}

// tellRun tells what a run did to its worker, and whether it speaks for the item.
func (t *task) tellRun(err error, moved bool) {
	store := t.runner.store
	book := store.watcher.Quarantine()
	if err == nil || moved && t.ran >= goodRun {
		if book.InUse() {
			book.RecordSuccess(clock.Now(), t.print)
		}
		return
	}
	if t.context.Err() != nil || !upstream.Disconnected(err) {
		return
	}
	ended := store.upstream.WorkerExited(t.context, t.lease.Endpoint, t.started)
	logging.Info(store.logger, "worker_broke_off", "job", t.key.job, "item", t.id, "request", t.print, "worker", t.lease.Endpoint.ID, "ended", ended, "events", t.carry.events, "ms", t.ran.Milliseconds())
	if ended {
		t.onTrial = false
		book.RecordExit(clock.Now(), t.print, t.lease.Endpoint.ID, t.started)
	}
}
