package edge

import (
	"net/http"

	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/upstream"
)

// Quarantine outlasts the call, because the same request may be sent again under another id and at
// any edge, and would then end one worker after the other.

// rejectedByQuarantine rejects a request under which workers exited before, at any edge, unless
// the request is granted a trial.
func (c *call) rejectedByQuarantine() bool {
	if c.quarantineStanding() != quarantine.Refused {
		return false
	}
	granted, wait := c.edge.watcher.RequestTrial(c.context, c.fingerprint())
	logging.Info(c.edge.logger, "request_quarantined", "id", c.id, "request", c.fingerprint(), "route", c.route.Name, "trial", granted, "wait_ms", wait.Milliseconds(), "revision", c.edge.watcher.Quarantine().Revision(), "heard_ms", clock.Since(c.edge.watcher.Current().LeaderSeenAt).Milliseconds())
	if granted {
		c.onTrial = true
		return false
	}
	c.edge.metrics.quarantined.Inc()
	c.reject(failure.New(failure.NotRun, "change the request, or have its workers' logs looked at", "workers ended under this request, and it goes to no other").WithRetryAfter(max(wait, shortRetryAfter)))
	return true
}

// quarantineStanding returns the request's standing, which says whether the request is suspected of
// making workers exit. It does not compute the fingerprint while no request is recorded.
func (c *call) quarantineStanding() quarantine.Standing {
	records := c.edge.watcher.Quarantine()
	if !records.InUse() {
		return quarantine.Unknown
	}
	return records.Standing(clock.Now(), c.fingerprint())
}

// retryQuarantined reports whether a request under which a worker has just exited must not go to
// another worker: it has ended too many workers, or was only allowed a trial.
func (c *call) retryQuarantined() bool {
	return c.workerExited && (c.onTrial || c.quarantineStanding() == quarantine.Refused)
}

// detectWorkerExit finds out whether the worker of an attempt that broke off has exited.
func (c *call) detectWorkerExit(lease *balance.Lease, result outcome) {
	if result != failed || !upstream.Disconnected(c.lastErr) {
		return
	}
	c.workerExited = c.edge.upstream.WorkerExited(c.context, lease.Endpoint, c.sentAt)
	logging.Info(c.edge.logger, "worker_broke_off", "id", c.id, "request", c.fingerprint(), "worker", lease.Endpoint.ID, "ended", c.workerExited, "parts", httpheader.FormatPartIDs(c.demand.Parts), "last_event", c.lastEventID, "ms", c.elapsed())
	if c.workerExited {
		c.edge.metrics.workerExits.Inc()
		c.edge.watcher.Quarantine().RecordExit(clock.Now(), c.fingerprint(), lease.Endpoint.ID, c.sentAt)
	}
}

// recordSuccess records that a worker completed the request. An error response of the worker
// proves nothing, as the worker may not have started to run the request.
func (c *call) recordSuccess() {
	if book := c.edge.watcher.Quarantine(); book.InUse() && c.status < http.StatusBadRequest {
		book.RecordSuccess(clock.Now(), c.fingerprint())
	}
}

// fingerprint returns the request's fingerprint for quarantine.
func (c *call) fingerprint() quarantine.Fingerprint {
	if c.cachedFingerprint == 0 {
		r := &c.request
		c.cachedFingerprint = quarantine.FingerprintOf(c.tenant.Owner(), r.Host, r.Method, r.Target, r.Body)
	}
	return c.cachedFingerprint
}
