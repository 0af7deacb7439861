package edge

import (
	"net/http"

	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/upstream"
)

// What a request did to workers outlives the call that sent it: the same request comes
// again under another id, at any edge, and would end one worker after the other.

// quarantined refuses the request at once if workers ended under it before, wherever that
// was seen, unless it is due to be tried once more.
func (c *call) quarantined() bool {
	if c.standing() != quarantine.Refused {
		return false
	}
	granted, wait := c.edge.watcher.RequestTrial(c.context, c.fingerprint())
	logging.Info(c.edge.logger, "request_quarantined", "id", c.id, "request", c.fingerprint(), "route", c.route.Name, "trial", granted, "wait_ms", wait.Milliseconds(), "revision", c.edge.watcher.Quarantine().Revision(), "heard_ms", clock.Since(c.edge.watcher.Current().LeaderSeenAt).Milliseconds())
	if granted {
		c.onTrial = true
		return false
	}
	c.edge.metrics.quarantined.Inc()
	c.refuse(failure.New(failure.NotRun, "change the request, or have its workers' logs looked at", "workers ended under this request, and it goes to no other").WithRetryAfter(max(wait, shortRetry)))
	return true
}

// standing returns how the request is known. While no request is, it costs nothing.
func (c *call) standing() quarantine.Standing {
	book := c.edge.watcher.Quarantine()
	if !book.InUse() {
		return quarantine.Unknown
	}
	return book.Standing(clock.Now(), c.fingerprint())
}

// standsRefused reports whether a request under which a worker has just ended must not go
// to another one: it has ended enough of them by now, or had no more than a trial.
func (c *call) standsRefused() bool {
	return c.underEnd && (c.onTrial || c.standing() == quarantine.Refused)
}

// lookAt finds out whether the worker of an attempt that broke off has ended.
func (c *call) lookAt(lease *balance.Lease, result outcome) {
	if result != failed || !upstream.Disconnected(c.lastErr) {
		return
	}
	c.underEnd = c.edge.upstream.WorkerExited(c.context, lease.Endpoint, c.sentAt)
	logging.Info(c.edge.logger, "worker_broke_off", "id", c.id, "request", c.fingerprint(), "worker", lease.Endpoint.ID, "ended", c.underEnd, "last_event", c.lastEvent, "ms", c.elapsed())
	if c.underEnd {
		c.edge.metrics.ended.Inc()
		c.edge.watcher.Quarantine().RecordExit(clock.Now(), c.fingerprint(), lease.Endpoint.ID, c.sentAt)
	}
}

// ranWell tells that a worker ran the request to its end. A failure that a worker answered
// says nothing: it may not have begun.
func (c *call) ranWell() {
	if book := c.edge.watcher.Quarantine(); book.InUse() && c.status < http.StatusBadRequest {
		book.RecordSuccess(clock.Now(), c.fingerprint())
	}
}

// fingerprint returns the request's identity.
func (c *call) fingerprint() quarantine.Fingerprint {
	if c.print == 0 {
		r := &c.request
		c.print = quarantine.FingerprintOf(c.tenant.Owner(), r.Host, r.Method, r.Target, r.Body)
	}
	return c.print
}
