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

// quarantineBackoff is the time between two checks of an item that is refused.
const quarantineBackoff = 250 * time.Millisecond

// subjectOf returns the fingerprints of an item and of the parts of its prompt, the same as those of
// an online request with the same content.
func (r *runner) subjectOf(job *batchstate.Job, content *wire.ItemContent) *quarantine.Subject {
	return &quarantine.Subject{
		Request: quarantine.FingerprintOf(job.Owner, job.Host, http.MethodPost, content.Path, content.Body),
		Parts:   quarantine.SharedParts(job.Owner, httpheader.PartIDs(r.partsOf(content))),
	}
}

// partsOf returns the parts of an item's prompt.
func (r *runner) partsOf(content *wire.ItemContent) []httpheader.Part {
	return httpheader.ParseParts(httpheader.Value(content.Headers, r.store.headerNames.PromptParts))
}

// quarantined reports whether an item must not start because workers exited while they ran it, or
// other requests with a part of its prompt. The item stays in its job: it is abandoned only for its
// failures, not for exits of its workers. If only its own runs speak against it, this store paces when
// it runs again. If a part of its prompt is refused, other requests may have it, too, and the
// coordinators grant trials.
func (r *runner) quarantined(ctx context.Context, now time.Time, key itemKey, job *batchstate.Job, content *wire.ItemContent) bool {
	delete(r.paced, key)
	cache := r.store.watcher.Quarantine()
	if !cache.InUse() {
		clear(r.subjects)
		clear(r.grantedTrials)
		clear(r.heldItems)
		return false
	}
	subject, known := r.subjects[key]
	if !known {
		subject = r.subjectOf(job, content)
		r.subjects[key] = subject
	}
	refused := cache.Refused(now, subject)
	if len(refused) == 0 {
		delete(r.heldItems, key)
		return false
	}
	if r.grantedTrials[key] {
		// The grant lasts until the item has a worker.
		return false
	}
	ownRunsOnly := subject.OnlyRequest(refused)
	if ownRunsOnly && r.mayRunRefused(now, cache.LastExitAt(), key) {
		r.paced[key] = true
		return false
	}
	r.backoffUntil[key] = now.Add(quarantineBackoff)
	if !ownRunsOnly && cache.TrialDelay(now, refused) == 0 {
		go r.requestTrial(ctx, key, refused)
	}
	return true
}

// mayRunRefused reports whether an item may run although workers exited while they ran it.
func (r *runner) mayRunRefused(now, lastExitAt time.Time, key itemKey) bool {
	held := r.heldItems[key]
	if held == nil {
		held = &quarantine.HeldItem{Since: now}
		r.heldItems[key] = held
		logging.Info(r.store.logger, "item_held", "job", key.job, "item", key.item, "last_exit_ms", now.Sub(lastExitAt).Milliseconds())
	}
	return r.pacer.MayRun(now, lastExitAt, held)
}

// startPaced records that an item starts although it is refused.
func (r *runner) startPaced(t *task) {
	if !r.paced[t.key] {
		return
	}
	delete(r.paced, t.key)
	t.paced = true
	r.pacer.Start()
	logging.Info(r.store.logger, "held_item_started", "job", t.key.job, "item", t.key.item, "failures", r.heldItems[t.key].Failures)
}

// endPaced records the outcome of a paced item, at its end or once it has run well.
func (r *runner) endPaced(t *task, now time.Time) {
	if !t.paced {
		return
	}
	t.paced = false
	held := r.heldItems[t.key]
	if held == nil {
		held = &quarantine.HeldItem{}
	}
	switch {
	case t.ranWell.Load():
		r.pacer.Succeed()
	case t.workerExited:
		r.pacer.Fail(now, held)
	case t.finished:
		r.pacer.Succeed()
	default:
		r.pacer.Stop()
	}
}

// recordGoodRun reports a run that has received output for long enough to show that the item is
// harmless. It need not have ended: other items wait for what it shows.
func (t *task) recordGoodRun() {
	if t.ranWell.Load() || t.output.Duration() < quarantine.GoodRunTime {
		return
	}
	t.ranWell.Store(true)
	t.runner.store.watcher.Quarantine().RecordSuccess(clock.Now(), t.subject)
	select {
	case t.runner.ranWell <- t:
	default:
		// The runner learns it at the end of the run.
	}
}

// requestTrial asks the coordinators whether the item may run on trial.
func (r *runner) requestTrial(ctx context.Context, key itemKey, refused []quarantine.Fingerprint) {
	granted, wait := r.store.watcher.RequestTrial(ctx, refused, true)
	logging.Info(r.store.logger, "item_quarantined", "job", key.job, "item", key.item, "refused", quarantine.Format(refused), "trial", granted, "wait_ms", wait.Milliseconds())
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
func (t *task) reportOutcome(err error) {
	store := t.runner.store
	cache := store.watcher.Quarantine()
	if err == nil || t.output.Duration() >= quarantine.GoodRunTime {
		cache.RecordSuccess(clock.Now(), t.subject)
		return
	}
	if t.context.Err() != nil || !upstream.Disconnected(err) {
		return
	}
	exited := store.upstream.WorkerExited(t.context, t.lease.Endpoint, t.started)
	logging.Info(store.logger, "worker_broke_off", "job", t.key.job, "item", t.id, "request", t.subject.Request, "worker", t.lease.Endpoint.ID, "ended", exited, "parts", quarantine.FormatParts(t.owner, httpheader.PartIDs(t.runner.partsOf(t.content))), "events", t.progress.events, "wrote_ms", t.output.Duration().Milliseconds(), "ms", t.runTime.Milliseconds())
	if exited {
		t.onTrial, t.workerExited = false, true
		cache.RecordExit(clock.Now(), t.subject, t.lease.Endpoint.ID, t.started)
	}
}
