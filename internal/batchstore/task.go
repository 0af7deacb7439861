package batchstore

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/upstream"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// firstSilence and gapSilence are how long a worker may keep silent before
	// and within the answer to an item.
	firstSilence = 6 * time.Second
	gapSilence   = 2 * time.Second
	// progressInterval is the time between two notes of an item's progress.
	progressInterval = 1500 * time.Millisecond
	readBufferBytes  = 8 << 10
	// failedPause is how long an item rests after an attempt that failed.
	failedPause = 50 * time.Millisecond
)

// task is one attempt at an item, from where it had come before.
type task struct {
	runner   *runner
	key      itemKey
	id       string
	host     string
	route    *routetable.Route
	content  *wire.ItemContent
	progress wire.ItemRecord
	lease    *balance.Lease
	context  context.Context
	cancel   context.CancelFunc
	noted    time.Time
	worker   string
	// The following say how the task ended.
	finished bool
	rest     time.Duration
}

func (t *task) run() {
	started := time.Now()
	t.noted = started
	t.worker = t.lease.Endpoint.ID
	before := t.progress.Events
	err := t.attempt()
	t.lease.Release()
	switch {
	case err == nil:
		t.progress.State = wire.ItemCompleted
		t.finish()
	case t.context.Err() != nil:
	case t.hopeless(err):
		t.progress.State = wire.ItemAbandoned
		t.finish()
	case t.progress.Events > before || failure.Is(err, failure.Internal):
		t.note()
	}
	if t.rest == 0 && !t.finished {
		t.rest = failedPause
	}
	logging.Info(t.runner.store.logger, "item_attempt", "job", t.key.job, "item", t.id, "worker", t.worker, "from_event", before, "events", t.progress.Events, "failures", t.progress.Failures, "state", t.progress.State, "ms", time.Since(started).Milliseconds(), "error", err)
	t.runner.ended <- t
}

// hopeless reports whether the item will never be done: the worker said so, or
// it has failed as often as its route allows.
func (t *task) hopeless(err error) bool {
	if failure.Is(err, failure.BadRequest) {
		return true
	}
	return t.progress.Failures >= max(t.route.MaxAttempts, 1)
}

func (t *task) finish() {
	t.finished = true
	t.note()
}

// note hands the item's state to the recorder.
func (t *task) note() {
	t.noted = time.Now()
	t.progress.Job, t.progress.Item = t.key.job, t.key.item
	t.runner.enqueue(t.progress)
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
	response, err := store.upstream.Send(t.context, t.lease.Endpoint, request, time.Now().Add(firstSilence))
	if err != nil {
		if t.context.Err() == nil {
			t.lease.Suspect(time.Now())
		}
		return err
	}
	defer response.Close()
	switch {
	case response.Status == http.StatusMisdirectedRequest:
		t.lease.Refuse()
		return t.pass(response, failure.New(failure.NotRun, "", "another worker has the address"))
	case response.Header.Get(store.dialect.NotRun) != "":
		t.rest = notRunPause
		return t.pass(response, failure.New(failure.NotRun, "", "the worker answered %d and did not run it", response.Status))
	case response.Status == http.StatusUnprocessableEntity:
		return t.pass(response, failure.New(failure.BadRequest, "", "the worker can't ever do it"))
	case response.Status == http.StatusInternalServerError:
		t.progress.Failures++
		return t.pass(response, failure.New(failure.Internal, "", "the worker failed at it"))
	case response.Status != http.StatusOK:
		return t.pass(response, failure.New(failure.OutcomeUnknown, "", "the worker answered %d", response.Status))
	}
	return t.readEvents(response)
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
	for _, field := range t.content.Headers {
		switch http.CanonicalHeaderKey(field.Name) {
		case names.RequestID, names.ExpectWorker, names.LastEvent, "Host", "Content-Length", "Connection", "Transfer-Encoding":
		default:
			fields = append(fields, field)
		}
	}
	fields = append(fields,
		wire.HeaderField{Name: names.RequestID, Value: t.id},
		wire.HeaderField{Name: names.ExpectWorker, Value: t.lease.Endpoint.ID},
	)
	if t.progress.Events > 0 {
		fields = append(fields, wire.HeaderField{Name: names.LastEvent, Value: strconv.FormatInt(t.progress.LastEvent, 10)})
	}
	return fields
}

// readEvents adds the events to the item's text until the answer ends.
func (t *task) readEvents(response *upstream.Response) error {
	var parser upstream.EventParser
	buffer := make([]byte, readBufferBytes)
	silence := firstSilence
	for {
		if err := response.SetReadDeadline(time.Now().Add(silence)); err != nil {
			return err
		}
		count, err := response.Read(buffer)
		if orderErr := t.take(parser.Feed(buffer[:count])); orderErr != nil {
			return orderErr
		}
		if t.progress.Events > 0 {
			silence = gapSilence
		}
		switch {
		case err == io.EOF && parser.Rest() == 0 && t.progress.Events > 0:
			return nil
		case err == io.EOF:
			return failure.New(failure.OutcomeUnknown, "", "the answer ended within an event")
		case err != nil:
			if upstream.TimedOut(err) {
				t.lease.Suspect(time.Now())
			}
			return failure.Wrap(err, failure.OutcomeUnknown, "", "the worker broke off")
		}
		if time.Since(t.noted) > progressInterval && t.progress.Events > 0 {
			t.note()
		}
	}
}

func (t *task) take(events []upstream.Event) error {
	if len(events) == 0 {
		return nil
	}
	t.lease.Begun()
	var text strings.Builder
	text.WriteString(t.progress.Text)
	for i := range events {
		event := &events[i]
		if !event.HasID || t.progress.Events > 0 && event.ID <= t.progress.LastEvent {
			continue
		}
		if t.progress.Events > 0 && event.ID != t.progress.LastEvent+1 {
			return failure.New(failure.OutcomeUnknown, "", "event %d came after event %d", event.ID, t.progress.LastEvent)
		}
		if t.progress.Events > 0 {
			text.WriteByte('\n')
		}
		text.WriteString(event.Data)
		t.progress.Events++
		t.progress.LastEvent = event.ID
	}
	t.progress.Text = text.String()
	return nil
}

func headerOf(headers []wire.HeaderField, name string) string {
	for _, field := range headers {
		if http.CanonicalHeaderKey(field.Name) == name {
			return field.Value
		}
	}
	return ""
}

// pathOf returns the path of a request's target without its query.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}
