package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/daemon"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/fleetwatch"
	"github.com/sedgemast/sedgemast/internal/httpapi"
	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/routetable"
)

const (
	// shortRetryAfter is the retry time where the only obstacle is a short load peak.
	shortRetryAfter = 150 * time.Millisecond
	// configurationTime is how long a new process takes to learn the configuration if the
	// coordinators start at the same time.
	configurationTime = 1200 * time.Millisecond
	// writeMargin is how long after the deadline a caller may still read the answer.
	writeMargin = time.Second
	// jobBodyTimeout bounds the time for which the body of a job is read.
	jobBodyTimeout = 30 * time.Second
)

// ServeHTTP relays an opaque request to a worker.
func (e *Edge) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	e.serve(writer, request, time.Now())
}

// Submit submits the job in a request, with the given body, that matched the batch route.
type Submit func(request *http.Request, body []byte, table *routetable.Table, route *routetable.Route) error

// ServeWithJobs passes a request to submit if it matches a batch route, and otherwise relays it
// as ServeHTTP does. If submit returns nil, the request is answered with 202 Accepted.
func (e *Edge) ServeWithJobs(writer http.ResponseWriter, request *http.Request, submit Submit) {
	arrived := time.Now()
	if err := e.awaitPrerequisite(writer, request, arrived, needsConfiguration); err != nil {
		e.Reject(writer, request, err)
		return
	}
	table := e.Table()
	route := table.MatchBatch(request.Method, request.Host, request.URL.Path)
	if route == nil {
		e.serve(writer, request, arrived)
		return
	}
	body, err := readBody(request.Context(), writer, request, table, arrived.Add(jobBodyTimeout))
	if err == nil {
		err = submit(request, body, table, route)
	}
	if err != nil {
		e.Reject(writer, request, err)
		return
	}
	writer.WriteHeader(http.StatusAccepted)
}

// serve relays a request that arrived at the given time.
func (e *Edge) serve(writer http.ResponseWriter, request *http.Request, arrived time.Time) {
	e.endConnection(writer)
	if err := e.awaitPrerequisite(writer, request, arrived, needsWorkers); err != nil {
		e.Reject(writer, request, err)
		return
	}
	stalledFor, err := e.recoverFromStall(request.Context(), arrived)
	now, table := clock.Now(), e.Table()
	if err == nil {
		err = e.checkFreeze(now)
	}
	if err == nil {
		err = httpapi.CheckHeaderSize(request, table.Configuration.Limits.MaxHeaderBytes)
	}
	if err != nil {
		e.Reject(writer, request, err)
		return
	}
	route := table.Match(request.Host, request.URL.Path)
	if route == nil || route.Kind == routetable.KindBatch {
		e.Reject(writer, request, e.noRouteError(now, table, request))
		return
	}
	tenant, err := e.identify(now, table, route.Public, request)
	if err != nil {
		e.Reject(writer, request, err)
		return
	}
	timeLeft := httpheader.ParseTimeLeft(request.Header.Get(e.headerNames.Deadline), route.Timeout())
	deadline := arrived.Add(timeLeft - stalledFor)
	waitContext, cancelWait := e.daemon.WaitContext(request.Context(), deadline)
	defer cancelWait()
	if e.daemon.CutsBefore(deadline) {
		e.Reject(writer, request, stopError())
		return
	}
	body, err := readBody(waitContext, writer, request, table, arrived.Add(timeLeft))
	if err != nil {
		e.Reject(writer, request, err)
		return
	}
	if stalledFor > 0 && !time.Now().Before(deadline) {
		e.Reject(writer, request, stallError())
		return
	}
	ctx, cancel := context.WithDeadline(request.Context(), deadline)
	defer cancel()
	controller := http.NewResponseController(writer)
	// Only the writers of tests do not support deadlines.
	_ = controller.SetWriteDeadline(deadline.Add(writeMargin))
	call := newCall(e, ctx, table, route, tenant, writer, controller, request, body, arrived, deadline)
	call.routingStartedAt, call.waitContext = now, waitContext
	call.run()
	_ = controller.SetWriteDeadline(time.Time{})
	if call.aborted {
		// Abort the connection, so that the caller does not take a partial answer for a complete
		// one.
		panic(http.ErrAbortHandler)
	}
}

// readBody reads the body of a request until the given time, or until a planned stop ends ctx.
func readBody(ctx context.Context, writer http.ResponseWriter, request *http.Request, table *routetable.Table, until time.Time) ([]byte, error) {
	controller := http.NewResponseController(writer)
	// Only the writers of tests do not support deadlines.
	_ = controller.SetReadDeadline(until)
	release := context.AfterFunc(ctx, func() { _ = controller.SetReadDeadline(time.Now()) })
	defer release()
	body, err := httpapi.ReadBody(request, table.Configuration.Limits.MaxBodyBytes)
	switch {
	case err == nil:
	case daemon.IsCut(ctx):
		return nil, stopError()
	case !time.Now().Before(until):
		return nil, failure.Wrap(err, failure.DeadlineExceeded, "send the body sooner", "the body was not whole in time")
	default:
		return nil, err
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

// stopError returns the error for a request of which nothing has run and that a planned stop would cut.
func stopError() *failure.Error {
	return failure.New(failure.NotRun, "send it again, to another edge", "the process stops before the deadline of the request").WithRetryAfter(shortRetryAfter)
}

// noConfigurationError returns the error of a process of the given age that has no configuration
// yet. Its retry time is when the process will probably have one: if all processes started
// together, an election comes first.
func noConfigurationError(age time.Duration) error {
	retry := max(configurationTime-age, shortRetryAfter)
	return failure.New(failure.NotRun, "try again", "no configuration is known here yet").WithRetryAfter(retry)
}

// noRouteError returns the error for a request without a route. A route may have been added a moment
// ago, so a process denies it only while it is in touch with the coordinators.
func (e *Edge) noRouteError(now time.Time, table *routetable.Table, request *http.Request) error {
	if !e.inTouch(now) {
		return failure.New(failure.NotRun, "ask another edge", "no route leads to %s%s in version %d, and no coordinator is heard", request.Host, request.URL.Path, table.Configuration.Version).WithRetryAfter(shortRetryAfter)
	}
	return failure.New(failure.NotFound, "check host and path", "no route leads to %s%s in version %d", request.Host, request.URL.Path, table.Configuration.Version)
}

// inTouch reports whether a coordinator has answered lately, so that this process knows the routes and
// keys that were in force then.
func (e *Edge) inTouch(now time.Time) bool {
	return now.Sub(e.watcher.Current().LeaderSeenAt) <= fleetwatch.MaxUsualGap
}

// checkFreeze returns an error once the process has reached no coordinator for longer than the
// settings allow.
func (e *Edge) checkFreeze(now time.Time) error {
	limit := e.settings.FreezeTime.Std()
	sinceLeader := now.Sub(e.watcher.Current().LeaderSeenAt)
	if limit == 0 || sinceLeader <= limit {
		return nil
	}
	return failure.New(failure.NotRun, "ask another edge, or raise freeze_time", "no coordinator has been reached for %s", sinceLeader.Round(time.Millisecond)).WithRetryAfter(time.Second)
}

// endConnection makes the caller use another connection for its next request, if the process stops or
// has too many open connections.
func (e *Edge) endConnection(writer http.ResponseWriter) {
	if e.daemon.Stopping() || e.Connections.Crowded() {
		writer.Header().Set("Connection", "close")
	}
}

// Reject answers a request that was not relayed.
func (e *Edge) Reject(writer http.ResponseWriter, request *http.Request, err error) {
	// The stop may have begun while the request was held.
	e.endConnection(writer)
	typed := failure.From(err)
	status := httpapi.StatusCode(typed)
	e.countAnswer(status, sourceEdge, false)
	logging.Info(e.logger, "request_refused", "id", request.Header.Get(e.headerNames.RequestID), "host", request.Host, "path", request.URL.Path, "status", status, "error", err)
	httpapi.WriteFailure(writer, status, typed)
}
