package simulation

import (
	"bytes"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sedgemast/sedgemast/internal/emulator"
	"github.com/sedgemast/sedgemast/internal/engine"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/replication"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Time bounds of the promises.
const (
	// cancelBound covers an item's lease and the timeout of a call.
	cancelBound = 8 * time.Second
	// leavingBound covers the lag of the platform's list, a heartbeat and the election of a new
	// leader of the meta group.
	leavingBound = 6 * time.Second
	// configurationBound is the target for a revision to be in force at all daemons.
	configurationBound = 6 * time.Second
	// blockedBound covers a retransmission, in case the message of a preemption is lost, and a few
	// steps of the engine.
	blockedBound = 500 * time.Millisecond
	// faultFreeCancelBound replaces cancelBound until the first fault: it covers a renewal of
	// leases with its call.
	faultFreeCancelBound = 2500 * time.Millisecond
)

// Violation is a broken promise, with the virtual time at which it was detected.
type Violation struct {
	Promise string
	At      time.Duration
	Text    string
}

// ledger records the answers that callers got, the work of engines and the entries that control
// applied, and checks them against the promises.
type ledger struct {
	clock      *clock
	violations []Violation

	requests     map[string]*requestRecord
	requestOrder []*requestRecord
	jobs         []*jobRecord
	jobsByID     map[string]*jobRecord
	entries      map[entryPosition]entryDigest
	changes      map[string]*changeRecord
	changeByBase map[uint64]string
	revisions    map[string]uint64
	accepted     []acceptedRevision
	leavingSince map[string]time.Time

	// faultFree reports whether no fault has been injected so far.
	faultFree   func() bool
	preemptions int
	resumes     int
	timings     timings
}

type entryPosition struct {
	group int
	index uint64
}

type entryDigest struct {
	term uint64
	hash uint64
}

// acceptedRevision is an accepted revision and when its operator got the answer.
type acceptedRevision struct {
	revision uint64
	at       time.Time
}

func newLedger(c *clock) *ledger {
	return &ledger{
		clock:        c,
		requests:     map[string]*requestRecord{},
		jobsByID:     map[string]*jobRecord{},
		entries:      map[entryPosition]entryDigest{},
		changes:      map[string]*changeRecord{},
		changeByBase: map[uint64]string{},
		revisions:    map[string]uint64{},
		leavingSince: map[string]time.Time{},
	}
}

// violate records a violation of a promise.
func (l *ledger) violate(promise, format string, arguments ...any) {
	l.violations = append(l.violations, Violation{Promise: promise, At: l.clock.now.Sub(simulationStart), Text: fmt.Sprintf(format, arguments...)})
}

// requestRecord is one online request as its caller knows it.
type requestRecord struct {
	ledger        *ledger
	id            string
	expected      string
	text          strings.Builder
	notRepeatable bool
	starts        int
	finished      bool
	err           error
	sentAt        time.Time
	lastTokenAt   time.Time
	experiment    *experiment
}

// requestSent records a request with the answer that is expected.
func (l *ledger) requestSent(request *wire.GenerateRequest, expected string) *requestRecord {
	record := &requestRecord{ledger: l, id: request.RequestID, expected: expected, notRepeatable: request.NotRepeatable, sentAt: l.clock.now}
	l.requests[record.id] = record
	l.requestOrder = append(l.requestOrder, record)
	return record
}

// receiveText records text that reached the caller and checks it.
func (r *requestRecord) receiveText(text string) {
	if r.finished {
		return
	}
	r.text.WriteString(text)
	r.measureToken()
	if !strings.HasPrefix(r.expected, r.text.String()) {
		r.finished = true
		r.err = errStreamCut
		r.ledger.violate("whole answer", "request %s received text that is not part of its answer", r.id)
	}
}

// measureToken records when a part of the answer reached the caller of an experiment.
func (r *requestRecord) measureToken() {
	x, now := r.experiment, r.ledger.clock.now
	if x == nil || r.sentAt.Before(x.start) || !r.sentAt.Before(x.end) {
		return
	}
	if r.lastTokenAt.IsZero() {
		recordDuration(x.measurement.FirstToken, now.Sub(r.sentAt))
	} else {
		recordDuration(x.measurement.Gap, now.Sub(r.lastTokenAt))
	}
	r.lastTokenAt = now
}

// finish records the outcome of the request and checks it.
func (r *requestRecord) finish(w *World, err error) {
	if r.finished {
		return
	}
	r.finished, r.err = true, err
	r.measureEnd()
	switch {
	case err == nil && r.text.String() != r.expected:
		r.ledger.violate("whole answer", "request %s succeeded with %d of %d bytes", r.id, r.text.Len(), len(r.expected))
	case failure.Is(err, failure.NotRun) && r.starts > 0:
		r.ledger.violate("not run is true", "request %s failed with NotRun after engines had started it %d times", r.id, r.starts)
	case err != nil && w.plannedStopsOnly && !failure.Is(err, failure.NotRun):
		r.ledger.violate("planned stop", "request %s failed during a planned stop: %v", r.id, err)
	}
}

// measureEnd records the end of a request in an experiment.
func (r *requestRecord) measureEnd() {
	x, now := r.experiment, r.ledger.clock.now
	if x == nil || r.sentAt.Before(x.start) {
		return
	}
	if r.err != nil {
		recordDuration(x.measurement.RejectionLatency, now.Sub(r.sentAt))
		return
	}
	second := int(now.Sub(x.start) / time.Second)
	for len(x.measurement.Goodput) <= second {
		x.measurement.Goodput = append(x.measurement.Goodput, 0)
	}
	x.measurement.Goodput[second]++
}

// attemptStarted records that an engine starts an attempt. It checks the epoch of the attempt, that
// a request that must not be repeated is started at most once, and that no request is started after
// it has failed with NotRun.
func (l *ledger) attemptStarted(e *engineProcess, request *engine.GenerateRequest) {
	if request.Epoch < e.fencingEpoch {
		l.violate("fencing", "engine %s accepted an attempt of epoch %d after epoch %d", e.name, request.Epoch, e.fencingEpoch)
	}
	if record := l.requests[onlineRequestOf(request.AttemptID)]; record != nil {
		record.starts++
		if record.notRepeatable && record.starts > 1 {
			l.violate("at most once", "request %s must not be repeated but was started %d times", record.id, record.starts)
		}
		if record.finished && failure.Is(record.err, failure.NotRun) {
			l.violate("not run is true", "request %s was started after it had failed with NotRun", record.id)
		}
		return
	}
}

// checkBatchAttempt checks a batch attempt that still runs on an engine: its job must not have been
// cancelled more than cancelBound ago, or faultFreeCancelBound before the first fault.
func (l *ledger) checkBatchAttempt(attemptID string) {
	job := l.jobsByID[jobOf(attemptID)]
	if job == nil || job.cancelledAt.IsZero() {
		return
	}
	bound := cancelBound
	if l.faultFree() {
		bound = faultFreeCancelBound
	}
	if since := l.clock.now.Sub(job.cancelledAt); since > bound {
		l.violate("cancel stops", "an item of job %s still ran %s after the cancel", job.id, since)
	}
}

// onlineRequestOf returns the id of the request that an attempt belongs to. The id of an attempt is
// the id of its request, followed by the numbers of the gateway's and the dispatcher's attempts.
func onlineRequestOf(attemptID string) string {
	dash := strings.LastIndexByte(attemptID, '-')
	if dash < 0 {
		return attemptID
	}
	return attemptID[:dash]
}

// jobOf returns the id of the job that a batch attempt belongs to.
func jobOf(attemptID string) string {
	requestID, _, _ := strings.Cut(attemptID, "@")
	return requestID[:max(0, strings.LastIndexByte(requestID, '-'))]
}

// checkWorkSent checks that no dispatcher sends work to a worker that began to leave more than
// leavingBound ago.
func (l *ledger) checkWorkSent(d *dispatcherProcess, worker string) {
	since, leaving := l.leavingSince[worker]
	if leaving && l.clock.now.Sub(since) > leavingBound {
		l.violate("leaving gets no work", "%s sent work to %s, which has been leaving for %s", d.name, worker, l.clock.now.Sub(since))
	}
}

// checkBlocked checks that online work waits on an engine at most for blockedBound while batch work
// runs there. Variants that leave the order of work to the engines are not checked.
func (l *ledger) checkBlocked(e *engineProcess, duration time.Duration) {
	if duration > blockedBound && !e.world.variant.EnginePriorities {
		l.violate("online before batch", "online work waited %s on %s while batch work ran", duration, e.name)
		e.onlineBlockedSince = l.clock.now
	}
}

// workerClaimed records that a dispatcher has claimed a worker, and checks that the epoch of the
// claim is not older than the worker's.
func (l *ledger) workerClaimed(e *engineProcess, newEpoch uint64) {
	if newEpoch < e.fencingEpoch {
		l.violate("fencing", "engine %s had epoch %d and was claimed with the older epoch %d", e.name, e.fencingEpoch, newEpoch)
	}
	l.timings.workerClaimed(l.clock.now, e.name)
}

// entryApplied records an entry that a replica has applied, and checks that replicas agree on it.
func (l *ledger) entryApplied(_ *replication.Node, group int, entry *wire.LogEntry) {
	position := entryPosition{group, entry.Index}
	digest := entryDigest{entry.Term, xxhash.Sum64(entry.Data)}
	known, found := l.entries[position]
	if found && known != digest {
		l.violate("agreement", "replicas applied different entries at index %d of group %d", entry.Index, group)
	}
	if found {
		return
	}
	l.entries[position] = digest
	l.timings.entryApplied(l.clock.now, group, entry)
}

// jobRecord is one batch job as its caller knows it. results holds the texts read last, by item.
type jobRecord struct {
	key             string
	tenant          string
	lines           []wire.BatchLine
	expected        []string
	id              string
	cancelRequested bool
	cancelledAt     time.Time
	results         map[uint32]string
	succeeded       int
	completed       bool
}

// newJob makes a job with random items and the results that are expected.
func (l *ledger) newJob(w *World, key string, items int) *jobRecord {
	job := &jobRecord{key: key, tenant: fmt.Sprintf("tenant-%d", w.workload.IntN(6)), results: map[uint32]string{}}
	for number := 0; number < items; number++ {
		prompt := fmt.Sprintf("draft %s item %d", key, number)
		limit := 8 + w.workload.IntN(24)
		job.lines = append(job.lines, wire.BatchLine{CustomID: fmt.Sprint(number), Prompt: prompt, MaxTokens: limit})
		job.expected = append(job.expected, emulator.NewAnswer(simulatedModel, "", prompt).Text(limit))
	}
	l.jobs = append(l.jobs, job)
	return job
}

func (l *ledger) jobAccepted(_ *World, job *jobRecord, response *wire.JobResponse) {
	id := response.Job.ID
	if job.id != "" && job.id != id {
		l.violate("resend", "job %s was accepted under two ids: %s and %s", job.key, job.id, id)
	}
	job.id = id
	l.jobsByID[id] = job
}

// jobRejected checks that a job is rejected only with a failure after which it may be sent again.
func (l *ledger) jobRejected(job *jobRecord, err error) {
	kind := failure.KindOf(err)
	if kind != failure.NotRun && kind != failure.OutcomeUnknown {
		l.violate("resend", "job %s was rejected: %v", job.key, err)
	}
}

func (l *ledger) jobCancelled(_ *World, job *jobRecord, state wire.JobState) {
	if state == wire.JobCancelled && job.cancelledAt.IsZero() {
		job.cancelledAt = l.clock.now
	}
}

// jobRead checks a job that was read against the expected results, and against what earlier reads
// of the job returned.
func (l *ledger) jobRead(job *jobRecord, view jobView, err error) {
	if err != nil {
		l.violate("readable", "accepted job %s can't be read: %v", job.id, err)
		return
	}
	if int(view.record.Succeeded) < job.succeeded {
		l.violate("readable", "job %s had %d succeeded items and now has %d", job.id, job.succeeded, view.record.Succeeded)
	}
	job.succeeded = int(view.record.Succeeded)
	results := map[uint32]string{}
	for i := range view.results.Results {
		result := &view.results.Results[i]
		results[result.Item] = result.Text
		if result.Text != job.expected[result.Item] {
			l.violate("exactly once", "item %d of %s has a wrong result", result.Item, job.id)
		}
	}
	for item := range job.results {
		if _, found := results[item]; !found {
			l.violate("readable", "the result of item %d of %s was readable before and is missing", item, job.id)
			return
		}
	}
	job.results = results
}

// hasFinalState reports whether the stored job has reached its final state. A job must end as
// cancelled if the answer to a cancel confirmed it, otherwise as completed. If a cancel was
// requested but not confirmed, either state is allowed.
func (job *jobRecord) hasFinalState(record *wire.JobRecord) bool {
	if !job.cancelledAt.IsZero() {
		return record.State == wire.JobCancelled
	}
	return record.State == wire.JobCompleted || (job.cancelRequested && record.State == wire.JobCancelled)
}

// changeRecord is one change of the configuration as its operator knows it.
type changeRecord struct {
	request  *wire.ApplyRequest
	revision uint64
	rejected bool
}

func (l *ledger) changeSent(_ *World, request *wire.ApplyRequest) {
	l.changes[request.ChangeID] = &changeRecord{request: request}
}

func (l *ledger) changeAccepted(w *World, request *wire.ApplyRequest, response *wire.ApplyResponse) {
	change := l.changes[request.ChangeID]
	if change.revision != 0 && change.revision != response.Revision {
		l.violate("configuration", "change %s was accepted twice, as revisions %d and %d", request.ChangeID, change.revision, response.Revision)
	}
	if other := l.changeByBase[request.ExpectedRevision]; other != "" && other != request.ChangeID {
		l.violate("configuration", "changes %s and %s were both accepted with expected revision %d", other, request.ChangeID, request.ExpectedRevision)
	}
	l.changeByBase[request.ExpectedRevision] = request.ChangeID
	if change.revision == 0 {
		l.accepted = append(l.accepted, acceptedRevision{response.Revision, w.clock.now})
	}
	change.revision = response.Revision
}

func (l *ledger) changeRejected(request *wire.ApplyRequest) {
	change := l.changes[request.ChangeID]
	change.rejected = true
	if change.revision != 0 {
		l.violate("configuration", "change %s was accepted and later rejected", request.ChangeID)
	}
}

// revisionInForce records the revision that a daemon has in force, and checks that it never goes
// back while the daemon runs.
func (l *ledger) revisionInForce(daemon string, incarnation, before, current uint64) {
	name := fmt.Sprintf("%s/%d", daemon, incarnation)
	if current < before || current < l.revisions[name] {
		l.violate("configuration", "%s changed from revision %d to the older revision %d", daemon, max(before, l.revisions[name]), current)
	}
	l.revisions[name] = current
	l.timings.inForce(l.clock.now, daemon, current)
}

// checkRevisionUsed checks a revision on which a daemon acts: no newer one may have been accepted
// more than configurationBound ago.
func (l *ledger) checkRevisionUsed(daemon string, revision uint64) {
	for i := len(l.accepted) - 1; i >= 0; i-- {
		change := &l.accepted[i]
		if l.clock.now.Sub(change.at) <= configurationBound {
			continue
		}
		if change.revision > revision {
			l.violate("configuration", "%s used revision %d, %s after revision %d was accepted", daemon, revision, l.clock.now.Sub(change.at), change.revision)
		}
		return
	}
}

// checkHistory compares the history at the end of the run with the answers that operators got.
func (l *ledger) checkHistory(history []wire.Change) {
	byID := map[string]uint64{}
	for _, change := range history {
		byID[change.ChangeID] = change.Revision
	}
	for _, id := range sortedKeys(l.changes) {
		change := l.changes[id]
		revision, found := byID[id]
		switch {
		case change.revision != 0 && revision != change.revision:
			l.violate("configuration", "change %s was accepted as revision %d, but is revision %d in the history", id, change.revision, revision)
		case change.rejected && found:
			l.violate("configuration", "change %s was rejected but is in the history", id)
		}
	}
}

func sortedKeys[Value any](m map[string]Value) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func sortRefs(refs []wire.ItemRef) {
	sort.Slice(refs, func(a, b int) bool {
		if order := bytes.Compare([]byte(refs[a].JobID), []byte(refs[b].JobID)); order != 0 {
			return order < 0
		}
		return refs[a].Item < refs[b].Item
	})
}
