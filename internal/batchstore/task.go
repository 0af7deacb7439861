package batchstore

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/batchplan"
	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/incarnation"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/tenancy"
	"github.com/sedgemast/sedgemast/internal/upstream"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// firstSilence and gapSilence are how long a worker may keep silent before
	// and within the answer to an item.
	firstSilence = 6 * time.Second
	gapSilence   = 2 * time.Second
	// progressInterval is the time between two notes of an item's progress.
	progressInterval = 600 * time.Millisecond
	readBufferBytes  = 8 << 10
	// readPause is the time between two readings of an answer.
	readPause = 80 * time.Millisecond
	// failedPause is how long an item rests after an attempt that failed.
	failedPause = 50 * time.Millisecond
	// probeGoals is how many times the tightest goal of its pool a worker that is probed may
	// keep silent at first, leastProbeSilence bounds that from below.
	probeGoals        = 3
	leastProbeSilence = 400 * time.Millisecond
)

// carry is how far an item has come at this store. It is handed from one task of
// the item to the next.
type carry struct {
	// events counts the events received, lastEvent is the id of the last one.
	events    int
	lastEvent int64
	// text is that of the events after the first noted ones, which the log has.
	text  string
	noted int
	// chain names this run and those before it here, opened is set once the
	// log was handed its first record.
	chain  uint64
	opened bool
	// worker is the one that read its prompt last, empty if that was not here.
	worker string
}

// task is one attempt at an item, from where it had come before.
//
// Its goroutine owns carry; the runner's loop may read chain, which stays.
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
	carry    carry
	failures int
	// print is the request's identity. onTrial is set while it runs though it is refused,
	// and no worker has ended under it.
	print   quarantine.Fingerprint
	onTrial bool
	// expected is how many tokens the caller expects.
	expected int64
	lease    *balance.Lease
	// goal is the tightest goal of the pool's online requests.
	goal    time.Duration
	context context.Context
	cancel  context.CancelFunc
	started time.Time
	notedAt time.Time
	// pacedAt is when the last events came.
	pacedAt time.Time
	// yielded is set by the runner where the item gives way to online requests,
	// unusable where its carry does not follow on the log.
	yielded  bool
	unusable bool
	// begun is set once this run has brought an event.
	begun bool
	// probeFailed is set where the worker was avoided, and this run shows that it still fails.
	probeFailed bool
	// ahead is set by the runner where it gives way to requests that are still to come,
	// and plan is what it went by then.
	ahead bool
	plan  batchplan.Item
	// The following say how the task ended.
	finished bool
	state    wire.ItemState
	rest     time.Duration
	// ran is how long it took, ranWhole is set where it ran from the first
	// event to the last.
	ran      time.Duration
	ranWhole bool
}

// mayYield reports whether the item has run long enough to be stopped.
func (t *task) mayYield(now time.Time) bool {
	return t.context.Err() == nil && now.Sub(t.started) >= leastRun
}

func (t *task) run() {
	t.notedAt = t.started
	before := t.carry.events
	failuresBefore := t.failures
	err := t.attempt()
	t.probeFailed = t.failedAsProbe(err)
	t.lease.Release()
	t.ran = clock.Since(t.started)
	t.tellRun(err, t.carry.events > before)
	t.ranWhole = err == nil && before == 0
	switch {
	case err == nil:
		t.finish(wire.ItemCompleted)
	case t.context.Err() != nil:
		// What it has must outlive this store, too, while it waits.
		if t.carry.text != "" {
			t.note(wire.ItemWaiting)
		}
	case t.hopeless(err):
		t.finish(wire.ItemAbandoned)
	case t.failures > failuresBefore:
		t.note(wire.ItemWaiting)
	}
	if t.rest == 0 && !t.finished {
		t.rest = failedPause
	}
	t.runner.store.metrics.attempts.WithLabelValues(t.outcomeOf(err)).Inc()
	t.runner.store.metrics.runTime.Observe(t.ran.Seconds())
	logging.Info(t.runner.store.logger, "item_attempt", "job", t.key.job, "item", t.id, "worker", t.lease.Endpoint.ID, "from_event", before, "events", t.carry.events, "failures", t.failures, "state", t.state, "yielded", t.context.Err() != nil, "ms", clock.Since(t.started).Milliseconds(), "error", err)
	t.runner.ended <- t
}

// failedAsProbe reports whether a run that ended so shows that an avoided worker still fails.
func (t *task) failedAsProbe(err error) bool {
	if err == nil || !t.lease.IsProbe() || t.begun || t.context.Err() != nil {
		return false
	}
	return !failure.Is(err, failure.NotRun) && !failure.Is(err, failure.BadRequest)
}

// hopeless reports whether the item will never be done: the worker said so, or
// it has failed as often as its route allows.
func (t *task) hopeless(err error) bool {
	if failure.Is(err, failure.BadRequest) {
		return true
	}
	return t.failures >= max(t.route.MaxAttempts, 1)
}

func (t *task) finish(state wire.ItemState) {
	t.state = state
	t.finished = t.note(state)
}

// note hands the item's news to the recorder and reports whether they were
// taken.
func (t *task) note(state wire.ItemState) bool {
	t.notedAt = time.Now()
	taken := t.runner.enqueue(wire.ItemRecord{
		Job:       t.key.job,
		Item:      t.key.item,
		State:     state,
		From:      t.carry.noted,
		Text:      t.carry.text,
		Events:    t.carry.events,
		LastEvent: t.carry.lastEvent,
		Failures:  t.failures,
		Chain:     t.carry.chain,
		Opens:     !t.carry.opened,
	})
	if taken {
		t.carry.noted, t.carry.text, t.carry.opened = t.carry.events, "", true
	}
	return taken
}

// attempt runs the item at the worker of the lease. A failure of kind BadRequest
// means that it can never be done, Internal that the worker failed at it, and
// any other that it may be tried again.
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
	response, err := store.upstream.Send(t.context, t.lease.Endpoint, request, time.Now().Add(t.silence()))
	if err != nil {
		if t.context.Err() == nil {
			t.lease.RecordNoAnswer(clock.Now())
		}
		return err
	}
	defer response.Close()
	if told, found := httpheader.ParseLoad(response.Header.Get(store.dialect.Load)); found {
		t.lease.ApplyReport(told)
		store.noteDoubts()
	}
	switch {
	case response.Status == http.StatusMisdirectedRequest:
		t.lease.RecordWrongWorker(clock.Now())
		return t.pass(response, failure.New(failure.NotRun, "", "another worker has the address"))
	case response.Header.Get(store.dialect.NotRun) != "":
		t.rest = notRunPause
		return t.pass(response, failure.New(failure.NotRun, "", "the worker answered %d and did not run it", response.Status))
	case response.Status == http.StatusUnprocessableEntity:
		return t.pass(response, failure.New(failure.BadRequest, "", "the worker can't ever do it"))
	case response.Status == http.StatusInternalServerError:
		t.lease.RecordItemStart(clock.Now(), false)
		if !t.lease.IsProbe() {
			// A worker that is known to fail says nothing of the item.
			t.failures++
		}
		return t.pass(response, failure.New(failure.Internal, "", "the worker failed at it"))
	case response.Status > http.StatusInternalServerError:
		t.lease.RecordDisconnect()
		return t.pass(response, failure.New(failure.OutcomeUnknown, "", "the worker answered %d", response.Status))
	case response.Status != http.StatusOK:
		return t.pass(response, failure.New(failure.OutcomeUnknown, "", "the worker answered %d", response.Status))
	}
	return t.readEvents(response)
}

// silence returns how long the worker may keep silent before the first event. Nobody waits
// long for one that is probed: it is known to have failed.
func (t *task) silence() time.Duration {
	if !t.lease.IsProbe() {
		return firstSilence
	}
	least := max(probeGoals*t.goal, leastProbeSilence)
	return t.lease.ProbeTimeout(least, firstSilence)
}

// pass reads the rest of an answer, so that the connection can be kept.
func (t *task) pass(response *upstream.Response, result error) error {
	buffer := make([]byte, readBufferBytes)
	for {
		if _, err := response.Read(buffer); err != nil {
			return result
		}
	}
}

func (t *task) headers() []wire.HeaderField {
	names := t.runner.store.dialect
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
	if t.carry.events > 0 {
		fields = append(fields, wire.HeaderField{Name: names.LastEvent, Value: strconv.FormatInt(t.carry.lastEvent, 10)})
	}
	return fields
}

// readEvents adds the events to the item's text until the answer ends.
func (t *task) readEvents(response *upstream.Response) error {
	var parser upstream.EventParser
	buffer := make([]byte, readBufferBytes)
	silence := t.silence()
	for {
		if err := response.SetReadDeadline(time.Now().Add(silence)); err != nil {
			return err
		}
		t.pace()
		count, err := response.Read(buffer)
		if orderErr := t.take(parser.Feed(buffer[:count])); orderErr != nil {
			return orderErr
		}
		if t.carry.events > 0 {
			silence = gapSilence
		}
		switch {
		case err == io.EOF && parser.Buffered() == 0 && t.carry.events > 0:
			return nil
		case err == io.EOF:
			t.brokeOff()
			return failure.Wrap(io.ErrUnexpectedEOF, failure.OutcomeUnknown, "", "the answer ended within an event")
		case err != nil:
			if upstream.TimedOut(err) {
				t.lease.RecordNoAnswer(clock.Now())
			} else {
				t.brokeOff()
			}
			return failure.Wrap(err, failure.OutcomeUnknown, "", "the worker broke off")
		}
		if time.Since(t.notedAt) > progressInterval && t.carry.events > 0 {
			t.note(wire.ItemWaiting)
		}
	}
}

// brokeOff takes in that the worker ended its answer too early. After an event that says
// nothing of it: the probe has proved what it can.
func (t *task) brokeOff() {
	if !t.begun && t.context.Err() == nil {
		t.lease.RecordDisconnect()
	}
}

// pace waits until more events have gathered: nobody waits for one of them, and
// each reading costs processor time, whatever it brings. The first event is not
// waited for, because it says that the prompt has been read.
func (t *task) pace() {
	if t.carry.events == 0 {
		return
	}
	select {
	case <-t.context.Done():
	case <-time.After(readPause):
	}
}

func (t *task) take(events []upstream.Event) error {
	if len(events) == 0 {
		return nil
	}
	t.lease.RecordPrefill()
	if !t.begun {
		t.begun = true
		t.lease.RecordItemStart(clock.Now(), true)
	}
	t.pacing(len(events))
	var text strings.Builder
	text.WriteString(t.carry.text)
	defer func() { t.carry.text = text.String() }()
	for i := range events {
		event := &events[i]
		if !event.HasID || t.carry.events > 0 && event.ID <= t.carry.lastEvent {
			continue
		}
		if t.carry.events > 0 && event.ID != t.carry.lastEvent+1 {
			return failure.New(failure.OutcomeUnknown, "", "event %d came after event %d", event.ID, t.carry.lastEvent)
		}
		if t.carry.events > 0 {
			text.WriteByte('\n')
		}
		text.WriteString(event.Data)
		t.carry.events++
		t.carry.lastEvent = event.ID
	}
	return nil
}

// pacing takes in that so many events came since the last ones.
func (t *task) pacing(events int) {
	now := time.Now()
	if !t.pacedAt.IsZero() {
		t.lease.RecordPace(events, now.Sub(t.pacedAt))
	}
	t.pacedAt = now
}

// pathOf returns the path of a request's target without its query.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}
