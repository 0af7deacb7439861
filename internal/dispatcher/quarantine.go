package dispatcher

import (
	"fmt"
	"strconv"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/engine"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/tenancy"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Worker exits are recorded for longer than the call during which they happened. Otherwise a
// request that is sent repeatedly could make all workers of a dispatcher exit.

// checkQuarantine returns a failure if the request may not run now because workers of this
// dispatcher exited while running it. It checks before the first attempt and, once a worker has
// exited, before every further attempt.
func (t *task) checkQuarantine(index int) error {
	local := t.dispatcher.quarantine
	if index > 0 && !t.workerExited || !local.InUse() {
		return nil
	}
	allowed, wait := local.MayRun(clock.Now(), t.subject(), t.request.Class == wire.Batch)
	if allowed {
		return nil
	}
	logging.Info(t.dispatcher.logger, "request_quarantined", "request", t.request.RequestID, "identity", t.subject().Request, "wait_ms", wait.Milliseconds())
	kind := failure.NotRun
	if t.started {
		kind = failure.OutcomeUnknown
	}
	return failure.New(kind, "change the request, or have its workers' logs looked at", "workers ended under this request or a part of its prompt, and it goes to no other").WithRetryAfter(wait)
}

// recordOutcome records in the quarantine how an attempt ended for its worker. If the stream can't
// be resumed because nothing listens at the worker's address, the worker has exited.
func (t *task) recordOutcome(err error) {
	local := t.dispatcher.quarantine
	switch {
	case err == nil:
		local.RecordSuccess(clock.Now(), t.subject())
	case failure.Is(err, failure.OutcomeUnknown) && errors.Is(err, syscall.ECONNREFUSED):
		t.workerExited = true
		local.RecordExit(clock.Now(), t.subject(), t.worker, t.startedAt)
		logging.Info(t.dispatcher.logger, "worker_broke_off", "request", t.request.RequestID, "identity", t.subject().Request, "worker", t.worker, "ended", true, "tokens", t.answer.tokens)
	}
}

// subject returns the fingerprints of the request and of the blocks of its prompt. A block's hash
// covers all blocks before it, so a block is a beginning of a prompt that other requests may have.
func (t *task) subject() *quarantine.Subject {
	if t.cachedSubject == nil {
		r := t.request
		target, owner := fmt.Sprintf("%s/%d", r.Adapter, r.MaxTokens), tenancy.Name(r.Tenant)
		var blocks []string
		for _, block := range engine.PrefixBlocks(r.Model, r.Adapter, r.Prompt) {
			blocks = append(blocks, strconv.FormatUint(block, 16))
		}
		t.cachedSubject = &quarantine.Subject{
			Request: quarantine.FingerprintOf(owner, r.Model, "", target, []byte(r.Prompt)),
			Parts:   quarantine.PartFingerprints(owner, blocks),
		}
	}
	return t.cachedSubject
}
