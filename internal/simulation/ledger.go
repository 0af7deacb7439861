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

// Bounds within which a promise that speaks of time must hold.
const (
	// cancelBound is the length of an item's lease with a call's timeout.
	cancelBound = 8 * time.Second
	// leavingBound is the lag of the platform's list, a heartbeat, and room for
	// a new leader of control.
	leavingBound = 6 * time.Second
	// configurationBound is the target: in force everywhere within it.
	configurationBound = 6 * time.Second
	// blockedBound is room for the loss of a preemption's message, which costs a
	// retransmission, and for a few steps of the engine.
	blockedBound = 500 * time.Millisecond
	// calmCancelBound holds while no fault has struck: a renewal with its call.
	calmCancelBound = 2500 * time.Millisecond
)

// Violation is a promise that was broken.
type Violation struct {
	Promise string
	At      time.Duration
	Text    string
}

// ledger records what callers were told, what engines did and what control
// applied, and compares them with the promises.
type ledger struct {
	clock      *clock
	violations []Violation

	requests  map[string]*requestRecord
	order     []*requestRecord
	jobs      []*jobRecord
	jobsByID  map[string]*jobRecord
	entries   map[entryPosition]entryDigest
	changes   map[string]*changeRecord
	byBase    map[uint64]string
	revisions map[string]uint64
	accepted  []acceptedRevision
	leavingAt map[string]time.Time

	// calm reports whether no fault has struck so far.
	calm        func() bool
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

// acceptedRevision is a revision with the moment its operator learnt of it.
type acceptedRevision struct {
	revision uint64
	at       time.Time
}

func newLedger(c *clock) *ledger {
	return &ledger{
		clock:     c,
		requests:  map[string]*requestRecord{},
		jobsByID:  map[string]*jobRecord{},
		entries:   map[entryPosition]entryDigest{},
		changes:   map[string]*changeRecord{},
		byBase:    map[uint64]string{},
		revisions: map[string]uint64{},
		leavingAt: map[string]time.Time{},
	}
}

func (l *ledger) violate(promise, format string, arguments ...any) {
	l.violations = append(l.violations, Violation{Promise: promise, At: l.clock.now.Sub(epoch), Text: fmt.Sprintf(format, arguments...)})
}

// requestRecord is one online request.
type requestRecord struct {
	ledger        *ledger
	id            string
	want          string
	text          strings.Builder
	notRepeatable bool
	starts        int
	over          bool
	err           error
	asked         time.Time
	last          time.Time
	experiment    *experiment
}

func (l *ledger) asked(request *wire.GenerateRequest, want string) *requestRecord {
	record := &requestRecord{ledger: l, id: request.RequestID, want: want, notRepeatable: request.NotRepeatable, asked: l.clock.now}
	l.requests[record.id] = record
	l.order = append(l.order, record)
	return record
}

// heard takes in text that reached the caller.
func (r *requestRecord) heard(text string) {
	if r.over {
		return
	}
	r.text.WriteString(text)
	r.time()
	if !strings.HasPrefix(r.want, r.text.String()) {
		r.over = true
		r.err = errStreamCut
		r.ledger.violate("whole answer", "request %s got text that is not its own", r.id)
	}
}

// time takes in when a piece of the answer reached the caller.
func (r *requestRecord) time() {
	x, now := r.experiment, r.ledger.clock.now
	if x == nil || r.asked.Before(x.from) || !r.asked.Before(x.till) {
		return
	}
	if r.last.IsZero() {
		recordDuration(x.measured.FirstToken, now.Sub(r.asked))
	} else {
		recordDuration(x.measured.Gap, now.Sub(r.last))
	}
	r.last = now
}

// ended takes in the final answer.
func (r *requestRecord) ended(w *World, err error) {
	if r.over {
		return
	}
	r.over, r.err = true, err
	r.count()
	switch {
	case err == nil && r.text.String() != r.want:
		r.ledger.violate("whole answer", "request %s ended with %d of %d bytes", r.id, r.text.Len(), len(r.want))
	case failure.Is(err, failure.NotRun) && r.starts > 0:
		r.ledger.violate("not run is true", "request %s was answered not run after %d starts", r.id, r.starts)
	case err != nil && w.plannedStopsOnly && !failure.Is(err, failure.NotRun):
		r.ledger.violate("planned stop", "request %s was cut: %v", r.id, err)
	}
}

// count takes in the end of a request in an experiment.
func (r *requestRecord) count() {
	x, now := r.experiment, r.ledger.clock.now
	if x == nil || r.asked.Before(x.from) {
		return
	}
	if r.err != nil {
		recordDuration(x.measured.RejectionLatency, now.Sub(r.asked))
		return
	}
	second := int(now.Sub(x.from) / time.Second)
	for len(x.measured.Goodput) <= second {
		x.measured.Goodput = append(x.measured.Goodput, 0)
	}
	x.measured.Goodput[second]++
}

// engineStarted takes in that an engine began an attempt.
func (l *ledger) engineStarted(e *engineProcess, request *engine.GenerateRequest) {
	if request.Epoch < e.fence {
		l.violate("fencing", "engine %s took epoch %d after %d", e.name, request.Epoch, e.fence)
	}
	if record := l.requests[onlineRequestOf(request.AttemptID)]; record != nil {
		record.starts++
		if record.notRepeatable && record.starts > 1 {
			l.violate("at most once", "request %s, which may not be repeated, was started %d times", record.id, record.starts)
		}
		if record.over && failure.Is(record.err, failure.NotRun) {
			l.violate("not run is true", "request %s was started after it was answered not run", record.id)
		}
		return
	}
}

// working takes in that an engine works on a batch attempt.
func (l *ledger) working(attemptID string) {
	job := l.jobsByID[jobOf(attemptID)]
	if job == nil || job.cancelledAt.IsZero() {
		return
	}
	bound := cancelBound
	if l.calm() {
		bound = calmCancelBound
	}
	if since := l.clock.now.Sub(job.cancelledAt); since > bound {
		l.violate("cancel stops", "an item of %s was worked on %s after the cancel", job.id, since)
	}
}

// onlineRequestOf returns the request that an attempt belongs to: attempt ids
// add a gateway's and a dispatcher's number to it.
func onlineRequestOf(attemptID string) string {
	dash := strings.LastIndexByte(attemptID, '-')
	if dash < 0 {
		return attemptID
	}
	return attemptID[:dash]
}

// jobOf returns the job that a batch attempt belongs to.
func jobOf(attemptID string) string {
	item, _, _ := strings.Cut(attemptID, "@")
	return item[:max(0, strings.LastIndexByte(item, '-'))]
}

// sent takes in that a dispatcher gave new work to a worker.
func (l *ledger) sent(d *dispatcherProcess, worker string) {
	since, leaving := l.leavingAt[worker]
	if leaving && l.clock.now.Sub(since) > leavingBound {
		l.violate("leaving gets no work", "%s sent work to %s, leaving for %s", d.name, worker, l.clock.now.Sub(since))
	}
}

// blocked takes in for how long an engine's online work has waited while batch
// work ran there.
func (l *ledger) blocked(e *engineProcess, length time.Duration) {
	if length > blockedBound && !e.world.variant.EnginePriorities {
		l.violate("online before batch", "online work waited %s on %s while batch ran", length, e.name)
		e.blocked = l.clock.now
	}
}

// fenced takes in that a dispatcher took a worker over.
func (l *ledger) fenced(e *engineProcess, fence uint64) {
	if fence < e.fence {
		l.violate("fencing", "engine %s went back from epoch %d to %d", e.name, e.fence, fence)
	}
	l.timings.owned(l.clock.now, e.name)
}

// applied takes in an entry that a replica has applied.
func (l *ledger) applied(_ *replication.Node, group int, entry *wire.LogEntry) {
	position := entryPosition{group, entry.Index}
	digest := entryDigest{entry.Term, xxhash.Sum64(entry.Data)}
	known, found := l.entries[position]
	if found && known != digest {
		l.violate("agreement", "replicas applied different entries at %d of group %d", entry.Index, group)
	}
	if found {
		return
	}
	l.entries[position] = digest
	l.timings.committed(l.clock.now, group, entry)
}

// jobRecord is one batch job as its caller knows it.
type jobRecord struct {
	key         string
	tenant      string
	lines       []wire.BatchLine
	want        []string
	id          string
	cancelling  bool
	cancelledAt time.Time
	seen        map[uint32]string
	succeeded   int
	done        bool
}

func (l *ledger) newJob(w *World, key string, items int) *jobRecord {
	job := &jobRecord{key: key, tenant: fmt.Sprintf("tenant-%d", w.workload.IntN(6)), seen: map[uint32]string{}}
	for number := 0; number < items; number++ {
		prompt := fmt.Sprintf("draft %s item %d", key, number)
		limit := 8 + w.workload.IntN(24)
		job.lines = append(job.lines, wire.BatchLine{CustomID: fmt.Sprint(number), Prompt: prompt, MaxTokens: limit})
		job.want = append(job.want, emulator.NewAnswer(simulatedModel, "", prompt).Text(limit))
	}
	l.jobs = append(l.jobs, job)
	return job
}

func (l *ledger) jobAccepted(_ *World, job *jobRecord, response *wire.JobResponse) {
	id := response.Job.ID
	if job.id != "" && job.id != id {
		l.violate("resend", "job %s is %s and %s", job.key, job.id, id)
	}
	job.id = id
	l.jobsByID[id] = job
}

func (l *ledger) jobRefused(job *jobRecord, err error) {
	kind := failure.KindOf(err)
	if kind != failure.NotRun && kind != failure.OutcomeUnknown {
		l.violate("resend", "job %s was refused: %v", job.key, err)
	}
}

func (l *ledger) jobCancelled(_ *World, job *jobRecord, state wire.JobState) {
	if state == wire.JobCancelled && job.cancelledAt.IsZero() {
		job.cancelledAt = l.clock.now
	}
}

// jobRead compares what a reader saw of a job with what was seen before.
func (l *ledger) jobRead(job *jobRecord, view jobView, err error) {
	if err != nil {
		l.violate("readable", "job %s, which was accepted, is gone: %v", job.id, err)
		return
	}
	if int(view.record.Succeeded) < job.succeeded {
		l.violate("readable", "job %s had %d items done and has %d", job.id, job.succeeded, view.record.Succeeded)
	}
	job.succeeded = int(view.record.Succeeded)
	now := map[uint32]string{}
	for i := range view.results.Results {
		result := &view.results.Results[i]
		now[result.Item] = result.Text
		if result.Text != job.want[result.Item] {
			l.violate("exactly once", "item %d of %s has a wrong result", result.Item, job.id)
		}
	}
	for item := range job.seen {
		if _, there := now[item]; !there {
			l.violate("readable", "the result of item %d of %s is gone", item, job.id)
			return
		}
	}
	job.seen = now
}

// finished reports whether the job has come to the end that it must come to.
func (job *jobRecord) finished(record *wire.JobRecord) bool {
	if !job.cancelledAt.IsZero() {
		return record.State == wire.JobCancelled
	}
	return record.State == wire.JobCompleted || (job.cancelling && record.State == wire.JobCancelled)
}

// changeRecord is one change of the configuration as its operator knows it.
type changeRecord struct {
	request  *wire.ApplyRequest
	revision uint64
	refused  bool
}

func (l *ledger) changeSent(_ *World, request *wire.ApplyRequest) {
	l.changes[request.ChangeID] = &changeRecord{request: request}
}

func (l *ledger) changeAccepted(w *World, request *wire.ApplyRequest, response *wire.ApplyResponse) {
	change := l.changes[request.ChangeID]
	if change.revision != 0 && change.revision != response.Revision {
		l.violate("configuration", "change %s is revision %d and %d", request.ChangeID, change.revision, response.Revision)
	}
	if other := l.byBase[request.ExpectedRevision]; other != "" && other != request.ChangeID {
		l.violate("configuration", "changes %s and %s were both accepted on revision %d", other, request.ChangeID, request.ExpectedRevision)
	}
	l.byBase[request.ExpectedRevision] = request.ChangeID
	if change.revision == 0 {
		l.accepted = append(l.accepted, acceptedRevision{response.Revision, w.clock.now})
	}
	change.revision = response.Revision
}

func (l *ledger) changeRefused(request *wire.ApplyRequest) {
	change := l.changes[request.ChangeID]
	change.refused = true
	if change.revision != 0 {
		l.violate("configuration", "change %s was accepted and then refused", request.ChangeID)
	}
}

// inForce takes in that a daemon moved from one revision to another.
func (l *ledger) inForce(daemon string, incarnation, before, current uint64) {
	name := fmt.Sprintf("%s/%d", daemon, incarnation)
	if current < before || current < l.revisions[name] {
		l.violate("configuration", "%s went back from revision %d to %d", daemon, max(before, l.revisions[name]), current)
	}
	l.revisions[name] = current
	l.timings.inForce(l.clock.now, daemon, current)
}

// acted takes in that a daemon acted on a revision.
func (l *ledger) acted(daemon string, revision uint64) {
	for i := len(l.accepted) - 1; i >= 0; i-- {
		change := &l.accepted[i]
		if l.clock.now.Sub(change.at) <= configurationBound {
			continue
		}
		if change.revision > revision {
			l.violate("configuration", "%s acted on revision %d, %s after %d was accepted", daemon, revision, l.clock.now.Sub(change.at), change.revision)
		}
		return
	}
}

// checkHistory compares the history at the end with what operators were told.
func (l *ledger) checkHistory(history []wire.Change) {
	byID := map[string]uint64{}
	for _, change := range history {
		byID[change.ChangeID] = change.Revision
	}
	for _, id := range sortedKeys(l.changes) {
		change := l.changes[id]
		revision, there := byID[id]
		switch {
		case change.revision != 0 && revision != change.revision:
			l.violate("configuration", "change %s was accepted as revision %d; the history has %d", id, change.revision, revision)
		case change.refused && there:
			l.violate("configuration", "change %s was refused but stands in the history", id)
		}
	}
}

func sortedKeys[Value any](from map[string]Value) []string {
	keys := make([]string, 0, len(from))
	for key := range from {
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
