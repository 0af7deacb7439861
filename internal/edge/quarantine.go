package edge

import (
	"net/http"
	"time"

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

// rejectedByQuarantine rejects a request if workers exited before under it or under a part of its
// prompt, at any edge, unless the request is granted a trial.
func (c *call) rejectedByQuarantine() bool {
	refused := c.refused()
	if len(refused) == 0 {
		return false
	}
	granted, wait := c.edge.watcher.RequestTrial(c.context, refused, false)
	logging.Info(c.edge.logger, "request_quarantined", "id", c.id, "request", c.subject().Request, "refused", quarantine.Format(refused), "parts", quarantine.FormatParts(c.tenant.Owner(), httpheader.PartIDs(c.demand.Parts)), "route", c.route.Name, "trial", granted, "wait_ms", wait.Milliseconds(), "revision", c.edge.watcher.Quarantine().Revision(), "heard_ms", clock.Since(c.edge.watcher.Current().LeaderSeenAt).Milliseconds())
	if granted {
		c.onTrial = true
		return false
	}
	c.rejectQuarantined(wait)
	return true
}

// rejectQuarantined rejects a refused request, which no worker has run.
func (c *call) rejectQuarantined(wait time.Duration) {
	c.edge.metrics.quarantined.Inc()
	c.reject(failure.New(failure.NotRun, "change the request, or have its workers' logs looked at", "workers ended under this request or a part of its prompt, and it goes to no other").WithRetryAfter(max(wait, shortRetryAfter)))
}

// giveUpQuarantined ends a request that became refused after its arrival.
func (c *call) giveUpQuarantined() {
	if c.sends.MayHaveRun() || c.responseStarted {
		c.giveUp()
		return
	}
	c.rejectQuarantined(0)
}

// refusedSinceArrival reports whether the request must not be sent to a worker, because more is known
// than when it arrived.
func (c *call) refusedSinceArrival() bool {
	return !c.onTrial && len(c.refused()) > 0
}

// refused returns which of the request and the parts of its prompt must not be sent to a worker. It
// computes no fingerprints while none is recorded.
func (c *call) refused() []quarantine.Fingerprint {
	records := c.edge.watcher.Quarantine()
	if !records.InUse() {
		return nil
	}
	return records.Refused(clock.Now(), c.subject())
}

// retryQuarantined reports whether a request under which a worker has just exited must not go to
// another worker: it has ended too many workers, or was only allowed a trial.
func (c *call) retryQuarantined() bool {
	return c.workerExited && (c.onTrial || len(c.refused()) > 0)
}

// detectWorkerExit finds out whether the worker of an attempt that broke off has exited. A run that
// received output for a while speaks for the request nevertheless.
func (c *call) detectWorkerExit(lease *balance.Lease, result outcome) {
	if result != failed || !upstream.Disconnected(c.lastErr) {
		return
	}
	c.workerExited = c.edge.upstream.WorkerExited(c.context, lease.Endpoint, c.sentAt)
	logging.Info(c.edge.logger, "worker_broke_off", "id", c.id, "request", c.subject().Request, "worker", lease.Endpoint.ID, "ended", c.workerExited, "parts", quarantine.FormatParts(c.tenant.Owner(), httpheader.PartIDs(c.demand.Parts)), "last_event", c.lastEventID, "wrote_ms", c.output.Duration().Milliseconds(), "ms", c.elapsed())
	if !c.workerExited {
		return
	}
	c.edge.metrics.workerExits.Inc()
	if c.output.Duration() >= quarantine.GoodRunTime {
		c.edge.watcher.Quarantine().RecordSuccess(clock.Now(), c.subject())
		return
	}
	c.edge.watcher.Quarantine().RecordExit(clock.Now(), c.subject(), lease.Endpoint.ID, c.sentAt)
}

// recordSuccess records that a worker completed the request. An error response of the worker
// proves nothing, as the worker may not have started to run the request, and neither does an answer
// without output.
func (c *call) recordSuccess() {
	if c.status >= http.StatusBadRequest || !c.output.Received() {
		return
	}
	records := c.edge.watcher.Quarantine()
	if !records.InUse() {
		records.RecordSuccess(clock.Now(), &quarantine.Subject{Parts: c.promptParts()})
		return
	}
	records.RecordSuccess(clock.Now(), c.subject())
}

// subject returns the fingerprints of the request and of the parts of its prompt.
func (c *call) subject() *quarantine.Subject {
	if c.cachedSubject == nil {
		r := &c.request
		c.cachedSubject = &quarantine.Subject{
			Request: quarantine.FingerprintOf(c.tenant.Owner(), r.Host, r.Method, r.Target, r.Body),
			Parts:   c.promptParts(),
		}
	}
	return c.cachedSubject
}

func (c *call) promptParts() []quarantine.Fingerprint {
	return quarantine.SharedParts(c.tenant.Owner(), httpheader.PartIDs(c.demand.Parts))
}
