package dispatcher

import (
	"fmt"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/tenancy"
)

// What a request did to workers outlives the call that brought it, so that it can't end
// all workers of a dispatcher by coming again.

// quarantined returns the refusal of a request under which workers of this dispatcher
// ended, before its first attempt and after one that ended a worker.
func (t *task) quarantined(number int) error {
	local := t.dispatcher.quarantine
	if number > 0 && !t.underEnd || !local.InUse() {
		return nil
	}
	may, wait := local.MayRun(clock.Now(), t.fingerprint())
	if may {
		return nil
	}
	logging.Info(t.dispatcher.logger, "request_quarantined", "request", t.request.RequestID, "identity", t.fingerprint(), "wait_ms", wait.Milliseconds())
	kind := failure.NotRun
	if t.started {
		kind = failure.OutcomeUnknown
	}
	return failure.New(kind, "change the request, or have its workers' logs looked at", "workers ended under this request, and it goes to no other").WithRetryAfter(wait)
}

// tellRun takes in what an attempt did to its worker. One whose stream can't be picked up
// again, because nobody listens at the worker's address, has ended.
func (t *task) tellRun(err error) {
	local := t.dispatcher.quarantine
	switch {
	case err == nil:
		if local.InUse() {
			local.RecordSuccess(clock.Now(), t.fingerprint())
		}
	case failure.Is(err, failure.OutcomeUnknown) && errors.Is(err, syscall.ECONNREFUSED):
		t.underEnd = true
		local.RecordExit(clock.Now(), t.fingerprint(), t.worker, t.began)
		logging.Info(t.dispatcher.logger, "worker_broke_off", "request", t.request.RequestID, "identity", t.fingerprint(), "worker", t.worker, "ended", true, "tokens", t.answer.tokens)
	}
}

// fingerprint returns the request's identity.
func (t *task) fingerprint() quarantine.Fingerprint {
	r := t.request
	target := fmt.Sprintf("%s/%d", r.Adapter, r.MaxTokens)
	return quarantine.FingerprintOf(tenancy.Name(r.Tenant), r.Model, "", target, []byte(r.Prompt))
}
