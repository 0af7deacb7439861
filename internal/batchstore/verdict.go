package batchstore

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/batchplan"
	"github.com/sedgemast/sedgemast/internal/batchstate"
	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/fleetwatch"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// An abandoned item is lost for good. This store's configuration may be older than the one under
// which an edge accepted the item's job, so it decides only once it covers the job
// (batchplan.Knowledge). Until then the item waits.

// knowledgeOf returns what a snapshot knows of its configuration.
func knowledgeOf(snapshot *fleetwatch.Snapshot) batchplan.Knowledge {
	return batchplan.Knowledge{Version: snapshot.Version(), ConfirmedAt: snapshot.ConfirmedAt}
}

// routeOf returns the route of an item, or nil if this store knows none. It abandons an item whose
// route has ended.
func (r *runner) routeOf(table *routetable.Table, key itemKey, job *batchstate.Job, path string) *routetable.Route {
	route := table.Match(job.Host, path)
	if route != nil && route.Name != job.Route && r.known.Version < job.Accepted {
		// The newer configuration may have the route under which the job was accepted.
		route = nil
	}
	if route != nil {
		delete(r.absences, key)
		return route
	}
	absence := r.absences[key]
	ended := absence.RecordMissing(r.known, r.covers(job, r.seen[job.ID].firstSeen))
	r.absences[key] = absence
	if ended {
		r.abandon(key, "route_gone")
	}
	return nil
}

// covers reports whether the known configuration covers the job, and was confirmed after since.
func (r *runner) covers(job *batchstate.Job, since time.Time) bool {
	known := r.known
	if known.Covers(job.Accepted, since) {
		return true
	}
	observed := r.seen[job.ID]
	age := clock.Since(known.ConfirmedAt)
	if (known.Version < job.Accepted || age > fleetwatch.MaxUsualGap) && !observed.awaitsConfiguration {
		observed.awaitsConfiguration = true
		r.store.metrics.awaitConfiguration.Inc()
		logging.Info(r.store.logger, "job_awaits_configuration", "job", job.ID, "route", job.Route, "accepted", job.Accepted, "version", known.Version, "confirmed_ms", age.Milliseconds())
	}
	if known.ConfirmedAt.After(since) && !observed.unknownVersion {
		observed.unknownVersion = true
		err := failure.New(failure.Conflict, "end the job, or apply a configuration of a higher version", "job %q was accepted under version %d, and the newest is %d", job.ID, job.Accepted, known.Version)
		logging.Warn(r.store.logger, "job_of_unknown_version", "job", job.ID, "error", err)
	}
	return false
}

// abandonOverdue abandons an item whose job has been retained for long enough, or whose attempts are
// spent. It reports whether the item must not run.
func (r *runner) abandonOverdue(key itemKey, job *batchstate.Job, route *routetable.Route) bool {
	firstSeen := r.seen[job.ID].firstSeen
	retain := time.Duration(route.RetainMillis) * time.Millisecond
	if retain > 0 && clock.Since(firstSeen) > retain && r.covers(job, firstSeen.Add(retain)) {
		r.abandon(key, "retained_long_enough")
		return true
	}
	failed := r.failedItems[key]
	if max(job.Items[key.item].Failures, failed.count) < max(route.MaxAttempts, 1) {
		return false
	}
	if failed.at.IsZero() {
		failed.at = firstSeen
	}
	if r.covers(job, failed.at) {
		r.abandon(key, "attempts_spent")
	}
	return true
}

// failedItem is an item that failed at workers during runs at this store.
type failedItem struct {
	// count is the number of failures, those in the log included. at is the time of the last one.
	count int
	at    time.Time
}

func (r *runner) abandon(key itemKey, reason string) {
	known := r.known
	logging.Info(r.store.logger, "item_abandoned", "job", key.job, "item", key.item, "reason", reason, "version", known.Version, "confirmed_ms", clock.Since(known.ConfirmedAt).Milliseconds())
	if r.enqueue(itemRecord{ItemRecord: wire.ItemRecord{Job: key.job, Item: key.item, State: wire.ItemAbandoned}}) {
		r.recordFinal(key)
	}
}
