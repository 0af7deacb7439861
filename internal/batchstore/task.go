package batchstore

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/batchplan"
	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/incarnation"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/promise"
	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/tenancy"
	"github.com/sedgemast/sedgemast/internal/upstream"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// firstEventTimeout and eventGapTimeout bound how long a worker may send nothing. The first
	// applies before the first event of an item, the second between two reads of the item's answer.
	firstEventTimeout = 6 * time.Second
	eventGapTimeout   = 2 * time.Second
	// progressInterval is the time between two progress records of an item.
	progressInterval = 600 * time.Millisecond
	readBufferBytes  = 8 << 10
	// maxTextBytes bounds the text of an item, which must fit into one read of results. If the item says
	// how many tokens it asks for, the bound is maxTokenTextBytes for each.
	maxTextBytes      = 1 << 20
	maxTokenTextBytes = 1 << 10
	// readInterval is the time between two reads of an answer.
	readInterval = 80 * time.Millisecond
	// failedBackoff is how long an item waits after a failed attempt.
	failedBackoff = 50 * time.Millisecond
	// The timeout for the first event of a probe is at least probeGoalMultiple times the tightest
	// goal of the pool, and at least minProbeTimeout.
	probeGoalMultiple = 3
	minProbeTimeout   = 400 * time.Millisecond
)

// progress is how far an item has come at this store. Each task of the item passes it on to the
// next.
type progress struct {
	// events is the number of events received, and lastEvent is the id of the last one.
	events    int
	lastEvent int64
	// prefix is the text in the log from which the chain continues, and text is the text after it.
	// The log has the first recordedEvents events and the first recordedBytes bytes of text.
	prefix         string
	text           []byte
	recordedEvents int
	recordedBytes  int
	// version is the software version of the workers that sent the events, empty if unknown. Only
	// workers of this version may continue the text.
	version incarnation.Version
	// recorded is set if the log has the beginning of the text as part of the result, see
	// batchstate.Item.Recorded. restarts is set if the log has the text of an earlier chain, which
	// the first record replaces.
	recorded bool
	restarts bool
	// runTime is how long the runs of the chain took.
	runTime time.Duration
	// chain identifies this run together with the earlier runs at this store that it continues.
	// opened is set once the first record of the chain has been enqueued.
	chain  uint64
	opened bool
	// lastWorker is the worker that last processed the prompt, empty if this store did not run it.
	lastWorker string
}

// discard drops the text, so that the next run starts it anew. A text that the log has as part of the
// result stays.
func (p *progress) discard() {
	if p.recorded {
		return
	}
	*p = progress{chain: rand.Uint64(), restarts: p.recordedEvents > 0 || p.restarts, lastWorker: p.lastWorker}
}

// task is one attempt at an item, which continues from its earlier progress.
//
// Its goroutine owns progress; the runner's loop may read chain, which does not change.
type task struct {
	runner   *runner
	key      itemKey
	id       string
	host     string
	owner    tenancy.Name
	route    *routetable.Route
	pool     string
	content  *wire.ItemContent
	chain    uint64
	progress progress
	failures int
	// subject is what the outcome of the run counts for. onTrial is set if the item runs on trial
	// although it is refused. It is cleared if the worker exits during the run.
	subject *quarantine.Subject
	onTrial bool
	// paced is set while the run counts for the runner's pacer; only the runner's loop uses it.
	// workerExited is set if the worker exited during the run, ranWell once the run shows that the item
	// is harmless.
	paced        bool
	workerExited bool
	ranWell      atomic.Bool
	// expected is the number of tokens that the caller expects.
	expected int64
	lease    *balance.Lease
	// goal is the tightest goal of the pool's online requests.
	goal    time.Duration
	context context.Context
	cancel  context.CancelFunc
	started time.Time
	// listAge is the age of the list of workers when the item was sent.
	listAge    time.Duration
	recordedAt time.Time
	// lastEventsAt is when the last events arrived.
	lastEventsAt time.Time
	// preempted is set by the runner if the item stops for online requests. unusable is set by the
	// runner if no other run may continue from this run's progress, because it is not certain that
	// this progress continues from the state in the log.
	preempted bool
	unusable  bool
	// output is the output of this run.
	output quarantine.Output
	// probeFailed is set if the worker was avoided and this run shows that it still fails.
	probeFailed bool
	// inAdvance is set by the runner if the item is preempted for requests that are forecast,
	// and plan is the item as it was planned then.
	inAdvance bool
	plan      batchplan.Item
	// The following fields say how the task ended.
	finished bool
	state    wire.ItemState
	backoff  time.Duration
	// runTime is how long the attempt took. ranUninterrupted is set if it ran from the first
	// event to the last.
	runTime          time.Duration
	ranUninterrupted bool
}

// preemptible reports whether the item has run long enough to be stopped.
func (t *task) preemptible(now time.Time) bool {
	return t.context.Err() == nil && now.Sub(t.started) >= minRunTime
}

func (t *task) run() {
	t.recordedAt = t.started
	before := t.progress.events
	failuresBefore := t.failures
	err := t.attempt()
	t.probeFailed = t.failedAsProbe(err)
	t.lease.Release()
	t.runTime = clock.Since(t.started)
	t.progress.runTime += t.runTime
	t.reportOutcome(err)
	t.ranUninterrupted = err == nil && before == 0
	switch {
	case err == nil:
		t.finish(wire.ItemCompleted)
	case t.context.Err() != nil:
		// The progress of a stopped item must survive this store while the item waits.
		if t.progress.recordedBytes < len(t.progress.text) {
			t.enqueueRecord(wire.ItemWaiting)
		}
	case failure.Is(err, failure.BadRequest):
		t.finish(wire.ItemAbandoned)
	case t.failures > failuresBefore:
		t.enqueueRecord(wire.ItemWaiting)
	}
	if t.backoff == 0 && !t.finished {
		t.backoff = failedBackoff
	}
	t.runner.store.metrics.attempts.WithLabelValues(t.outcome(err)).Inc()
	t.runner.store.metrics.runTime.Observe(t.runTime.Seconds())
	logging.Info(t.runner.store.logger, "item_attempt", "job", t.key.job, "item", t.id, "worker", t.lease.Endpoint.ID, "list_age_ms", t.listAge.Milliseconds(), "from_event", before, "began", string(t.progress.version), "events", t.progress.events, "failures", t.failures, "state", t.state, "yielded", t.context.Err() != nil, "ms", clock.Since(t.started).Milliseconds(), "error", err)
	t.runner.ended <- t
}

// failedAsProbe reports whether the end of the run shows that an avoided worker still fails.
func (t *task) failedAsProbe(err error) bool {
	if err == nil || !t.lease.IsProbe() || t.output.Received() || t.context.Err() != nil {
		return false
	}
	return !failure.Is(err, failure.NotRun) && !failure.Is(err, failure.BadRequest)
}

func (t *task) finish(state wire.ItemState) {
	t.state = state
	t.finished = t.enqueueRecord(state)
}

// enqueueRecord hands the item's new state to the record loop and reports whether there was
// space for it. A result holds the whole text, unless the log has its beginning as part of the result.
func (t *task) enqueueRecord(state wire.ItemState) bool {
	t.recordedAt = time.Now()
	p := &t.progress
	record := itemRecord{
		ItemRecord: wire.ItemRecord{
			Job:       t.key.job,
			Item:      t.key.item,
			State:     state,
			From:      p.recordedEvents,
			Text:      string(p.text[p.recordedBytes:]),
			Events:    p.events,
			LastEvent: p.lastEvent,
			Failures:  t.failures,
			Chain:     p.chain,
			Opens:     !p.opened,
		},
		saves: state == wire.ItemWaiting && !p.recorded,
	}
	switch {
	case record.saves:
		record.Version, record.Restarts = string(p.version), p.restarts && !p.opened
	case !p.recorded:
		record.From, record.Opens, record.Text = 0, true, p.prefix+string(p.text)
	}
	enqueued := t.runner.enqueue(record)
	if enqueued {
		p.recordedEvents, p.recordedBytes, p.opened = p.events, len(p.text), true
	}
	return enqueued
}

// attempt runs the item at the worker of the lease. If it fails, the kind of the failure says what
// follows. BadRequest means that the item can never be run. Internal means that the worker failed
// at the item. Any other kind means that the item may be tried again.
func (t *task) attempt() error {
	request := &upstream.Request{
		Method:  http.MethodPost,
		Target:  t.content.Path,
		Host:    t.host,
		Headers: t.headers(),
		Body:    t.content.Body,
		ID:      t.id,
	}
	store := t.runner.store
	t.listAge = store.watcher.Current().ListAge(clock.Now())
	store.metrics.listAge.Observe(t.listAge.Seconds())
	response, err := store.upstream.Send(t.context, t.lease.Endpoint, request, time.Now().Add(t.responseTimeout()))
	if err != nil {
		switch {
		case t.context.Err() != nil:
		case upstream.ExceededLimit(err) != "":
			store.metrics.exceeded.WithLabelValues(upstream.ExceededLimit(err)).Inc()
			t.lease.RecordNoAnswer(clock.Now())
		case upstream.TakesNoRequests(err):
			t.backoff = notRunBackoff
			t.lease.RecordNotReady(clock.Now())
		default:
			t.lease.RecordNoAnswer(clock.Now())
		}
		return err
	}
	defer response.Close()
	if report, found := httpheader.ParseLoad(response.Header.Get(store.headerNames.Load)); found {
		t.lease.ApplyReport(report)
		store.logSlotMismatches()
	}
	statement := response.Statement()
	switch {
	case response.Status == http.StatusMisdirectedRequest:
		t.lease.RecordWrongWorker(clock.Now())
		return t.discardBody(response, failure.New(failure.NotRun, "", "another worker has the address"))
	case statement == promise.NotRun:
		t.backoff = notRunBackoff
		return t.discardBody(response, failure.New(failure.NotRun, "", "the worker answered %d and did not run it", response.Status))
	case statement == promise.Nothing:
		t.lease.RecordItemStart(clock.Now(), false)
		return t.discardBody(response, failure.New(failure.OutcomeUnknown, "", "the worker answered %d and may have run it", response.Status))
	case response.Status == http.StatusUnprocessableEntity:
		if !t.isWholeFailure(response) {
			return t.cutFailure(response.Status)
		}
		return failure.New(failure.BadRequest, "", "the worker can't ever do it")
	case response.Status == http.StatusInternalServerError:
		t.lease.RecordItemStart(clock.Now(), false)
		if !t.isWholeFailure(response) {
			return t.cutFailure(response.Status)
		}
		if !t.lease.IsProbe() {
			// A probe runs at a worker that is known to fail, so its failure says nothing about the
			// item.
			t.failures++
		}
		return failure.New(failure.Internal, "", "the worker failed at it")
	case response.Status > http.StatusInternalServerError:
		t.lease.RecordDisconnect()
		return t.discardBody(response, failure.New(failure.OutcomeUnknown, "", "the worker answered %d", response.Status))
	case response.Status != http.StatusOK:
		return t.discardBody(response, failure.New(failure.OutcomeUnknown, "", "the worker answered %d", response.Status))
	}
	return t.readEvents(response)
}

// responseTimeout returns how long to wait for the first event. It is short for a probe, because
// that worker is known to have failed.
func (t *task) responseTimeout() time.Duration {
	if !t.lease.IsProbe() {
		return firstEventTimeout
	}
	least := max(probeGoalMultiple*t.goal, minProbeTimeout)
	return t.lease.ProbeTimeout(least, firstEventTimeout)
}

// discardBody discards the rest of an answer and returns result.
func (t *task) discardBody(response *upstream.Response, result error) error {
	response.Discard()
	return result
}

// isWholeFailure discards the body of a failure and reports whether it was whole.
func (t *task) isWholeFailure(response *upstream.Response) bool {
	return response.Discard() && response.VerifyEnd(t.context, t.started) == nil
}

// cutFailure returns the error for an answer with the given status that did not end. It says nothing about
// the item.
func (t *task) cutFailure(status int) error {
	return failure.New(failure.OutcomeUnknown, "", "the worker's answer of %d did not end", status)
}

func (t *task) headers() []wire.HeaderField {
	names := t.runner.store.headerNames
	fields := make([]wire.HeaderField, 0, len(t.content.Headers)+3)
	for _, field := range names.ForTenant(t.content.Headers, t.owner) {
		switch http.CanonicalHeaderKey(field.Name) {
		case names.RequestID, names.ExpectWorker, names.LastEvent, "Host", "Content-Length", "Connection", "Transfer-Encoding":
		default:
			fields = append(fields, field)
		}
	}
	fields = append(fields,
		wire.HeaderField{Name: names.RequestID, Value: t.id},
		wire.HeaderField{Name: names.ExpectWorker, Value: incarnation.WorkerID(t.lease.Endpoint.ID)},
	)
	if t.progress.events > 0 {
		fields = append(fields, wire.HeaderField{Name: names.LastEvent, Value: strconv.FormatInt(t.progress.lastEvent, 10)})
	}
	return fields
}

// readEvents adds the events to the item's text until the answer ends.
func (t *task) readEvents(response *upstream.Response) error {
	var parser upstream.EventParser
	buffer := make([]byte, readBufferBytes)
	response.SetLimit(upstream.AnswerLimit(t.tokenCounts()))
	deadline := time.Now().Add(t.responseTimeout())
	for {
		if err := response.SetReadDeadline(deadline); err != nil {
			return err
		}
		t.waitForMoreEvents()
		count, err := response.Read(buffer)
		eventsBefore := t.progress.events
		if eventsErr := t.applyEvents(parser.Feed(buffer[:count])); eventsErr != nil {
			return eventsErr
		}
		if t.progress.events > eventsBefore {
			// Only events put the deadline off: bytes alone may come without end.
			deadline = time.Now().Add(eventGapTimeout)
		}
		if err == nil {
			err = parser.Err()
		}
		switch {
		case upstream.ExceededLimit(err) != "":
			return t.exceeded(err)
		case err == io.EOF && parser.Buffered() == 0 && t.progress.events > 0:
			return response.VerifyEnd(t.context, t.started)
		case err == io.EOF:
			t.recordDisconnect()
			return failure.Wrap(io.ErrUnexpectedEOF, failure.OutcomeUnknown, "", "the answer ended within an event")
		case err != nil:
			if upstream.TimedOut(err) {
				t.lease.RecordNoAnswer(clock.Now())
			} else {
				t.recordDisconnect()
			}
			return failure.Wrap(err, failure.OutcomeUnknown, "", "the worker broke off")
		}
		if time.Since(t.recordedAt) > progressInterval && t.progress.events > 0 {
			t.enqueueRecord(wire.ItemWaiting)
		}
	}
}

// exceeded records that a part of an answer was longer than a sound worker's.
func (t *task) exceeded(err error) error {
	t.runner.store.metrics.exceeded.WithLabelValues(upstream.ExceededLimit(err)).Inc()
	t.lease.RecordNoAnswer(clock.Now())
	return failure.Wrap(err, failure.OutcomeUnknown, "", "the worker sent too much")
}

// tokenCounts returns the item's header that says how many tokens it has and asks for.
func (t *task) tokenCounts() string {
	return httpheader.Value(t.content.Headers, t.runner.store.headerNames.Tokens)
}

// textLimit returns the bound of the item's text in bytes.
func (t *task) textLimit() int64 {
	_, most := httpheader.ParseTokenCounts(t.tokenCounts())
	if most <= 0 || most > maxTextBytes/maxTokenTextBytes {
		return maxTextBytes
	}
	return most * maxTokenTextBytes
}

// recordDisconnect records that the worker ended its answer too early. A disconnect after the
// first event is not recorded: by then the worker has shown that it serves requests.
func (t *task) recordDisconnect() {
	if !t.output.Received() && t.context.Err() == nil {
		t.lease.RecordDisconnect()
	}
}

// waitForMoreEvents waits until more events have arrived: no caller waits for a single one, and
// each read costs processor time however little it returns. It does not wait before the first
// event, because that one shows that the prompt has been processed.
func (t *task) waitForMoreEvents() {
	if t.progress.events == 0 {
		return
	}
	select {
	case <-t.context.Done():
	case <-time.After(readInterval):
	}
}

func (t *task) applyEvents(events []upstream.Event) error {
	if len(events) == 0 {
		return nil
	}
	t.lease.RecordPrefill()
	now := clock.Now()
	if !t.output.Received() {
		t.lease.RecordItemStart(now, true)
	}
	t.output.Record(now)
	t.recordGoodRun()
	t.recordPace(len(events))
	for i := range events {
		event := &events[i]
		if !event.HasID || t.progress.events > 0 && event.ID <= t.progress.lastEvent {
			continue
		}
		if t.progress.events > 0 && event.ID != t.progress.lastEvent+1 {
			return failure.New(failure.OutcomeUnknown, "", "event %d came after event %d", event.ID, t.progress.lastEvent)
		}
		if t.progress.events > 0 {
			t.progress.text = append(t.progress.text, '\n')
		} else {
			t.progress.version = incarnation.VersionOf(t.lease.Endpoint.ID)
		}
		t.progress.text = append(t.progress.text, event.Data...)
		t.progress.events++
		t.progress.lastEvent = event.ID
	}
	// A text that is too long is no sound answer's, so nothing may continue it.
	limit := t.textLimit()
	if int64(len(t.progress.prefix)+len(t.progress.text)) > limit || upstream.TooManyEvents(t.progress.events, t.tokenCounts()) {
		t.progress.discard()
		return t.exceeded(&upstream.LimitError{What: "an item's text", Bytes: limit})
	}
	return nil
}

// recordPace records how many events have arrived now, and the time since events last arrived.
func (t *task) recordPace(events int) {
	now := time.Now()
	if !t.lastEventsAt.IsZero() {
		t.lease.RecordPace(events, now.Sub(t.lastEventsAt))
	}
	t.lastEventsAt = now
}

// pathOf returns the path of a request's target without its query.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}
