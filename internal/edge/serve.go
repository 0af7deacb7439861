package edge

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sedgemast/sedgemast/internal/dialect"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/routetable"
)

const (
	// defaultMaxBody bounds a body where the configuration does not.
	defaultMaxBody = 16 << 20
	// shortRetry is when to come back where nothing stands in the way but a
	// moment's load.
	shortRetry = 150 * time.Millisecond
	// learnTime is how long a new process takes to learn the configuration where
	// the coordinators start at the same time.
	learnTime = 1200 * time.Millisecond
	// writeMargin is how long after the deadline a caller may take to read.
	writeMargin = time.Second
)

// ServeHTTP passes an opaque request on.
func (e *Edge) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	arrived := time.Now()
	e.closeWhenStopping(writer)
	table := e.Table()
	if table == nil {
		e.Refuse(writer, request, noConfiguration(arrived.Sub(e.started)))
		return
	}
	route := table.Match(request.Host, request.URL.Path)
	if route == nil || route.Kind == routetable.KindBatch {
		e.Refuse(writer, request, failure.New(failure.NotFound, "check host and path", "no route leads to %s%s in version %d", request.Host, request.URL.Path, table.Configuration.Version))
		return
	}
	body, err := ReadBody(request, table.Configuration.Limits.MaxBodyBytes)
	if err != nil {
		e.Refuse(writer, request, err)
		return
	}
	left := dialect.TimeLeft(request.Header.Get(e.dialect.Deadline), route.Timeout())
	deadline := arrived.Add(left)
	ctx, cancel := context.WithDeadline(request.Context(), deadline)
	defer cancel()
	controller := http.NewResponseController(writer)
	// Writers without deadlines serve tests only.
	_ = controller.SetWriteDeadline(deadline.Add(writeMargin))
	call := newCall(e, ctx, table, route, writer, controller, request, body, arrived, deadline)
	call.run()
	_ = controller.SetWriteDeadline(time.Time{})
	if call.broken {
		// The caller must not take what it has for a whole answer.
		panic(http.ErrAbortHandler)
	}
}

// noConfiguration refuses a request to a process that has not heard a coordinator
// in the given time since its start, and says when it will probably have: where
// all began at once, an election comes first.
func noConfiguration(age time.Duration) error {
	retry := max(learnTime-age, shortRetry)
	return failure.New(failure.NotRun, "try again", "no configuration is known here yet").WithRetryAfter(retry)
}

// closeWhenStopping tells the caller to take another connection.
func (e *Edge) closeWhenStopping(writer http.ResponseWriter) {
	if e.daemon.Stopping() {
		writer.Header().Set("Connection", "close")
	}
}

// ReadBody reads a whole body of at most limit bytes, where zero means a default.
func ReadBody(request *http.Request, limit int64) ([]byte, error) {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if request.ContentLength > limit {
		return nil, refuseLong(request, limit)
	}
	if request.ContentLength == 0 {
		return nil, nil
	}
	if request.ContentLength > 0 {
		body := make([]byte, request.ContentLength)
		if _, err := io.ReadFull(request.Body, body); err != nil {
			return nil, failure.Wrap(err, failure.BadRequest, "send the whole body", "the body broke off")
		}
		// The end must be seen, or the end of the connection is not noticed.
		_, _ = request.Body.Read(make([]byte, 1))
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, limit+1))
	if err != nil {
		return nil, failure.Wrap(err, failure.BadRequest, "send the whole body", "the body broke off")
	}
	if int64(len(body)) > limit {
		return nil, refuseLong(request, limit)
	}
	return body, nil
}

// TooLongField marks the refusal of a body over the bound.
const TooLongField = "body"

// refuseLong passes over as much again as is allowed, because a caller that still
// writes when the connection closes does not see the answer.
func refuseLong(request *http.Request, limit int64) error {
	// What breaks off here is refused all the same.
	_, _ = io.CopyN(io.Discard, request.Body, limit)
	return failure.New(failure.BadRequest, "send a shorter body", "the body is longer than %d bytes", limit).WithField(TooLongField)
}

// Refuse answers a request that was not passed on.
func (e *Edge) Refuse(writer http.ResponseWriter, request *http.Request, err error) {
	typed := failure.From(err)
	status := typed.Kind.HTTPStatus()
	if typed.Field == TooLongField {
		status = http.StatusRequestEntityTooLarge
	}
	logging.Info(e.logger, "request_refused", "id", request.Header.Get(e.dialect.RequestID), "host", request.Host, "path", request.URL.Path, "status", status, "error", err)
	WriteFailure(writer, status, typed)
}

// WriteFailure answers with a typed failure, and with when to come back where
// the request has not run.
func WriteFailure(writer http.ResponseWriter, status int, typed *failure.Error) {
	if typed.RetryAfter > 0 {
		writer.Header().Set("Retry-After", strconv.FormatFloat(typed.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body := []byte(typed.Kind.String() + ": " + typed.Message + "\n")
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	// A failed write means that the caller has gone.
	_, _ = writer.Write(body)
}
