package batchstore

import (
	"context"
	"net/http"
	"time"

	"github.com/sedgemast/sedgemast/internal/batchstate"
	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/upstream"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// quarantineBackoff is the time between two checks of an item that is refused.
	quarantineBackoff = 250 * time.Millisecond
	// goodRunTime is how long a run that received events must last to count as a success however it
	// ended. An item that makes its workers exit does so at the start of a run. An item whose runs
	// all last that long completes after a few runs.
	goodRunTime = time.Second
)

// fingerprintOf returns the identity of an item, the same as that of an online request
// with the same content.
func fingerprintOf(job *batchstate.Job, content *wire.ItemContent) quarantine.Fingerprint {
	return quarantine.FingerprintOf(job.Owner, job.Host, http.MethodPost, content.Path, content.Body)
}

// quarantined reports whether an item must not start because workers exited while they ran it.
// The item stays in its job and is tried again when a trial is due: it is abandoned only for its
// failures, not for exits of its workers.
func (r *runner) quarantined(ctx context.Context, now time.Time, key itemKey, job *batchstate.Job, content *wire.ItemContent) bool {
	cache := r.store.watcher.Quarantine()
	if !cache.InUse() {
		clear(r.fingerprints)
		clear(r.grantedTrials)
		return false
	}
	fingerprint, known := r.fingerprints[key]
	if !known {
		fingerprint = fingerprintOf(job, content)
		r.fingerprints[key] = fingerprint
	}
	if cache.Standing(now, fingerprint) != quarantine.Refused {
		return false
	}
	if r.grantedTrials[key] {
		// The grant lasts until the item has a worker.
		return false
	}
	r.backoffUntil[key] = now.Add(quarantineBackoff)
	if cache.TrialDelay(now, fingerprint) == 0 {
		go r.requestTrial(ctx, key, fingerprint)
	}
	return true
}

// requestTrial asks the coordinators whether the item may run on trial.
func (r *runner) requestTrial(ctx context.Context, key itemKey, fingerprint quarantine.Fingerprint) {
	granted, wait := r.store.watcher.RequestTrial(ctx, fingerprint)
	logging.Info(r.store.logger, "item_quarantined", "job", key.job, "item", key.item, "request", fingerprint, "trial", granted, "wait_ms", wait.Milliseconds())
	if !granted {
		return
	}
	select {
	case r.trials <- key:
	case <-ctx.Done():
	}
}

// reportOutcome records a run as a success of the item, or as an exit of its worker if the
// worker has exited. Runs that show neither are not recorded.
func (t *task) reportOutcome(err error, advanced bool) {
	store := t.runner.store
	cache := store.watcher.Quarantine()
	if err == nil || advanced && t.runTime >= goodRunTime {
		if cache.InUse() {
			cache.RecordSuccess(clock.Now(), t.fingerprint)
		}
		return
	}
	if t.context.Err() != nil || !upstream.Disconnected(err) {
		return
	}
	exited := store.upstream.WorkerExited(t.context, t.lease.Endpoint, t.started)
	logging.Info(store.logger, "worker_broke_off", "job", t.key.job, "item", t.id, "request", t.fingerprint, "worker", t.lease.Endpoint.ID, "ended", exited, "parts", httpheader.FormatPartIDs(t.parts()), "events", t.progress.events, "ms", t.runTime.Milliseconds())
	if exited {
		t.onTrial = false
		cache.RecordExit(clock.Now(), t.fingerprint, t.lease.Endpoint.ID, t.started)
	}
}

// parts returns the parts of the item's prompt.
func (t *task) parts() []httpheader.Part {
	return httpheader.ParseParts(httpheader.Value(t.content.Headers, t.runner.store.headerNames.PromptParts))
}
