package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/httpapi"
	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/routetable"
)

const (
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
	e.serve(writer, request, time.Now())
}

// Submit hands in the job that a request brings, by the batch route that takes it.
type Submit func(request *http.Request, table *routetable.Table, route *routetable.Route) error

// ServeWithJobs gives a request to submit, if a batch route takes it, and passes it on as
// ServeHTTP does otherwise. Once submit has returned without a failure, the request is
// answered as accepted.
func (e *Edge) ServeWithJobs(writer http.ResponseWriter, request *http.Request, submit Submit) {
	arrived := time.Now()
	if err := e.await(writer, request, arrived, needConfiguration); err != nil {
		e.Reject(writer, request, err)
		return
	}
	table := e.Table()
	route := table.MatchBatch(request.Method, request.Host, request.URL.Path)
	if route == nil {
		e.serve(writer, request, arrived)
		return
	}
	if err := submit(request, table, route); err != nil {
		e.Reject(writer, request, err)
		return
	}
	writer.WriteHeader(http.StatusAccepted)
}

// serve passes on a request that arrived at the given time.
func (e *Edge) serve(writer http.ResponseWriter, request *http.Request, arrived time.Time) {
	e.closeWhenStopping(writer)
	if err := e.await(writer, request, arrived, needWorkers); err != nil {
		e.Reject(writer, request, err)
		return
	}
	waited, err := e.wake(request.Context(), arrived)
	now, table := clock.Now(), e.Table()
	if err == nil {
		err = e.frozen(now)
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
		e.Reject(writer, request, failure.New(failure.NotFound, "check host and path", "no route leads to %s%s in version %d", request.Host, request.URL.Path, table.Configuration.Version))
		return
	}
	tenant, err := e.identify(now, table, route.Public, request)
	if err != nil {
		e.Reject(writer, request, err)
		return
	}
	body, err := httpapi.ReadBody(request, table.Configuration.Limits.MaxBodyBytes)
	if err != nil {
		e.Reject(writer, request, err)
		return
	}
	left := httpheader.ParseTimeLeft(request.Header.Get(e.dialect.Deadline), route.Timeout())
	deadline := arrived.Add(left - waited)
	if waited > 0 && !time.Now().Before(deadline) {
		e.Reject(writer, request, stoodStill())
		return
	}
	ctx, cancel := context.WithDeadline(request.Context(), deadline)
	defer cancel()
	controller := http.NewResponseController(writer)
	// Writers without deadlines serve tests only.
	_ = controller.SetWriteDeadline(deadline.Add(writeMargin))
	call := newCall(e, ctx, table, route, tenant, writer, controller, request, body, arrived, deadline)
	call.takenIn = now
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

// frozen refuses requests once the process has reached no coordinator for longer
// than the settings allow.
func (e *Edge) frozen(now time.Time) error {
	limit := e.settings.FreezeTime.Std()
	silent := now.Sub(e.watcher.Current().LeaderSeenAt)
	if limit == 0 || silent <= limit {
		return nil
	}
	return failure.New(failure.NotRun, "ask another edge, or raise freeze_time", "no coordinator has been reached for %s", silent.Round(time.Millisecond)).WithRetryAfter(time.Second)
}

// closeWhenStopping tells the caller to take another connection.
func (e *Edge) closeWhenStopping(writer http.ResponseWriter) {
	if e.daemon.Stopping() {
		writer.Header().Set("Connection", "close")
	}
}

// Reject answers a request that was not passed on.
func (e *Edge) Reject(writer http.ResponseWriter, request *http.Request, err error) {
	// The stop may have begun while the request was held.
	e.closeWhenStopping(writer)
	typed := failure.From(err)
	status := httpapi.StatusCode(typed)
	logging.Info(e.logger, "request_refused", "id", request.Header.Get(e.dialect.RequestID), "host", request.Host, "path", request.URL.Path, "status", status, "error", err)
	httpapi.WriteFailure(writer, status, typed)
}
