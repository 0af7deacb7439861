package edge

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/daemon"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/httpapi"
	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/incarnation"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/promise"
	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/upstream"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// maxFailedDials limits the number of workers that could not be connected to. maxFailedDialTime
	// limits the time spent on them. Both are needed: a closed port fails immediately, an
	// unreachable machine only at a timeout.
	maxFailedDials    = 10
	maxFailedDialTime = 1200 * time.Millisecond
	// While another worker may be tried, an unresponsive worker is given up after
	// headTimeoutFactor times the route's goal for the first event, or gapTimeoutFactor times its
	// goal for the gap between events.
	headTimeoutFactor = 3
	gapTimeoutFactor  = 2
	// minFailoverTimeout is the lower limit of both timeouts.
	minFailoverTimeout = 400 * time.Millisecond
)

// call is one request while the edge handles it. A call is used by one goroutine.
type call struct {
	edge    *Edge
	context context.Context
	// waitContext is that of a call which waits and of which nothing has run. Unlike context it ends as
	// soon as a planned stop begins that would cut the call.
	waitContext context.Context
	version     uint64
	route       *routetable.Route
	// tenant is the tenant that sent the request, nil if it belongs to none.
	tenant     *routetable.Tenant
	writer     http.ResponseWriter
	controller *http.ResponseController
	id         string
	request    upstream.Request
	demand     balance.Request
	// arrived and deadline use the clock of connections and contexts, which stops while the
	// machine is suspended. bootDeadline is the same moment as deadline on the clock of package
	// clock, which does not stop.
	arrived      time.Time
	deadline     time.Time
	bootDeadline time.Time
	// routingStartedAt is when the edge began to route the request, after any hold and any wait for
	// a coordinator, on the clock of package clock.
	routingStartedAt time.Time
	attempts         int
	failedDials      int
	failedDialTime   time.Duration
	worker           string
	// sentAt is when the request was sent to that worker, and listAge was the age of the list of workers
	// then.
	sentAt  time.Time
	listAge time.Duration
	// responseStarted is set once the response headers have been written. aborted is set if that
	// response can't be completed, or the caller has disconnected.
	responseStarted bool
	aborted         bool
	firstByteAt     time.Time
	// lastEventsAt is when the last events arrived from the worker of paceLease.
	paceLease    *balance.Lease
	lastEventsAt time.Time
	lastEventID  int64
	hasLastEvent bool
	// relayedEvents is the number of events with an id that were passed on, relayedBytes the size of all.
	relayedEvents int
	relayedBytes  int64
	stream        streamState
	// sends tells whether a worker may have run the request. Every answer to the caller asks it.
	sends   promise.Sends
	lastErr error
	// answered is the status that the caller got, 0 if none, and answerSource says whose it is.
	answered     int
	answerSource answerSource
	// status is the HTTP status of the last worker's answer.
	status int
	// cachedSubject identifies the request for quarantine, nil until it is first needed. onTrial is
	// set if the request is quarantined but was granted a trial. workerExited is set if a worker
	// exited while it ran this call. output is that of the current attempt.
	cachedSubject *quarantine.Subject
	onTrial       bool
	workerExited  bool
	output        quarantine.Output
	// tokenRequest asks for a token of the tenant's rate limit; hasToken is set while the token is
	// granted and not returned. loadsFresh is set if the hub's answer also carried worker loads
	// that no choice of a worker has used yet.
	tokenRequest wire.TokenQuestion
	hasToken     bool
	loadsFresh   bool
	share        shareState
	// wasQueued is set once the request has waited in a queue of this process.
	wasQueued bool
}

func newCall(e *Edge, ctx context.Context, table *routetable.Table, route *routetable.Route, tenant *routetable.Tenant, writer http.ResponseWriter, controller *http.ResponseController, request *http.Request, body []byte, arrived, deadline time.Time) *call {
	header := request.Header
	prompt, _ := httpheader.ParseTokenCounts(header.Get(e.headerNames.Tokens))
	c := &call{
		edge:         e,
		context:      ctx,
		waitContext:  ctx,
		version:      table.Configuration.Version,
		route:        route,
		tenant:       tenant,
		writer:       writer,
		controller:   controller,
		id:           header.Get(e.headerNames.RequestID),
		arrived:      arrived,
		deadline:     deadline,
		bootDeadline: clock.Now().Add(time.Until(deadline)),
		share:        newShareState(table, tenant, route),
		demand: balance.Request{
			Pool:         e.nextPool(route),
			Exclude:      map[string]bool{},
			Parts:        httpheader.ParseParts(header.Get(e.headerNames.PromptParts)),
			PromptTokens: prompt,
		},
	}
	c.request = upstream.Request{
		Method:  request.Method,
		Target:  request.RequestURI,
		Host:    request.Host,
		Headers: e.headerNames.ForTenant(httpheader.Forwardable(header), tenant.Owner()),
		Body:    body,
		ID:      c.id,
	}
	if last, err := strconv.ParseInt(header.Get(e.headerNames.LastEvent), 10, 64); err == nil {
		c.lastEventID, c.hasLastEvent = last, true
	}
	c.answerSource = sourceNone
	c.stream = e.newStreamState(header, c.lastEventID, c.hasLastEvent)
	return c
}

// outcome is the result of one attempt.
type outcome uint8

const (
	// delivered means that the caller has its final answer.
	delivered outcome = iota
	// notRun means that the worker did not run the request and will not.
	notRun
	// failed means that the worker may have run the request, completely or in part.
	failed
)

// releasedSlotWorker returns the worker at which this attempt released a slot, if a request queued
// here may take the slot without first updating the loads; otherwise it returns an empty string.
// After a failure or a rejection the worker is no better for the next request than before, and
// other processes may know more about it.
func releasedSlotWorker(worker string, result outcome, status int) string {
	if result != delivered || status >= http.StatusInternalServerError {
		return ""
	}
	return worker
}

// run makes attempts until the caller has an answer.
func (c *call) run() {
	c.recordArrival()
	if c.rejectedByQuarantine() || c.rejectedByOrigin() || c.rejectedByLimit() {
		return
	}
	for c.canAttempt() {
		lease, done := c.selectWorker()
		if done {
			return
		}
		if lease == nil && c.awaitBoundWorker() {
			continue
		}
		if lease == nil {
			c.lastErr = failure.New(failure.NotRun, "try again", "pool %q has no worker for the request", c.demand.Pool)
			break
		}
		if c.rejectedAfterStall() || c.rejectedByStop() {
			c.releaseLease(lease)
			return
		}
		if c.refusedSinceArrival() {
			c.releaseLease(lease)
			c.giveUpQuarantined()
			return
		}
		result := c.attempt(lease)
		lease.Release()
		c.edge.slotReleased(c.demand.Pool, releasedSlotWorker(lease.Endpoint.ID, result, c.status))
		c.edge.metrics.attempts.WithLabelValues(result.String()).Inc()
		if result == delivered {
			c.recordSuccess()
			c.edge.firstServed.Do(func() { c.edge.daemon.CompleteStep(daemon.StepServed) })
			c.finish("delivered", nil)
			return
		}
		c.demand.Exclude[lease.Endpoint.ID] = true
		if result == notRun {
			c.sends.Disprove()
			c.stream.rejectedBy = append(c.stream.rejectedBy, lease.Endpoint.ID)
		}
		c.detectWorkerExit(lease, result)
		logging.Info(c.edge.logger, "attempt_failed", "id", c.id, "attempt", c.attempts, "worker", lease.Endpoint.ID, "outcome", result, "status", c.status, "may_have_run", c.sends.MayHaveRun(), "last_event", c.lastEventID, "ms", c.elapsed(), "error", c.lastErr)
		if result == failed && (!c.route.Idempotent() || c.retryQuarantined()) {
			break
		}
	}
	c.giveUp()
}

// loadQueryTimeout limits how long a request waits for current worker loads before it chooses a
// worker: several times the duration of a round trip within a zone, and negligible against any
// goal.
const loadQueryTimeout = 6 * time.Millisecond

// acquire chooses a worker by the loads that the hub of the zone has now. It reports the choice to
// the hub at once, so that the next choice can take it into account. Otherwise all edges of a zone
// would choose by loads as old as a report interval, and overload the workers that looked idle.
func (c *call) acquire() *balance.Lease {
	c.refreshLoads()
	lease := c.edge.workers.Acquire(clock.Now(), &c.demand)
	c.countDemand(lease == nil || lease.Wait > 0)
	if lease != nil {
		c.edge.loads.Report()
		c.edge.recordSelection(c.demand.Pool, lease)
	}
	return lease
}

// refreshLoads asks the hub for worker loads, unless a token answer has just carried them.
func (c *call) refreshLoads() {
	if !c.loadsFresh {
		c.queryLoads()
	}
	c.loadsFresh = false
	c.demand.Repeatable = c.canProbe()
}

// canProbe reports whether the request may be sent to an avoided worker, because another worker can
// take over if this one fails. canFailOver can't be used here: it expects that the attempt has been
// counted already, and here it has not.
func (c *call) canProbe() bool {
	return c.attempts == 0 && c.failedDials == 0 && c.route.Idempotent() && c.route.MaxAttempts > 1
}

// String returns the outcome as used in logs and metrics.
func (o outcome) String() string { return [...]string{"delivered", "not_run", "failed"}[o] }

func (c *call) canAttempt() bool {
	return c.context.Err() == nil && !c.expired() && !c.hasLostOrigin() && c.attempts < max(c.route.MaxAttempts, 1) && c.failedDials < maxFailedDials && c.failedDialTime < maxFailedDialTime
}

// canFailOver reports whether another worker could take over.
func (c *call) canFailOver() bool {
	if !c.route.Idempotent() || c.attempts >= max(c.route.MaxAttempts, 1) {
		return false
	}
	return !c.stream.bound || !c.hasLostOrigin() && c.edge.workers.VersionUsable(&c.demand, c.worker)
}

// expired reports whether the caller's deadline has passed.
func (c *call) expired() bool {
	return !time.Now().Before(c.deadline) || !clock.Now().Before(c.bootDeadline)
}

func (c *call) elapsed() int64 { return time.Since(c.arrived).Milliseconds() }

// rejectedByStop rejects the request before it goes to any worker, if a planned stop would cut it.
func (c *call) rejectedByStop() bool {
	if c.sends.MayHaveRun() || !c.edge.daemon.CutsBefore(c.deadline) {
		return false
	}
	c.reject(stopError())
	return true
}

// giveUp ends the call with the answer that fits what has happened so far.
func (c *call) giveUp() {
	switch {
	case c.responseStarted:
		c.aborted = true
		c.finish("broken", c.lastErr)
	case daemon.IsCut(c.waitContext) && !c.sends.MayHaveRun():
		c.reject(stopError())
	case daemon.IsCut(c.context):
		c.reject(failure.New(failure.OutcomeUnknown, "ask again if the request may be repeated", "the process stopped before the answer"))
	case c.context.Err() != nil && !c.expired():
		c.aborted = true
		if !c.sends.MayHaveRun() {
			c.releaseToken()
		}
		c.finish("caller_gone", nil)
	case c.sends.MayHaveRun() && c.expired():
		c.reject(failure.New(failure.DeadlineExceeded, "allow more time", "no worker answered in time"))
	case c.sends.MayHaveRun():
		c.reject(failure.New(failure.OutcomeUnknown, "ask again if the request may be repeated", "the worker broke off"))
	default:
		c.reject(failure.New(failure.NotRun, "try again", "no worker took the request").WithRetryAfter(shortRetryAfter))
	}
}

// reject answers the caller with the failure, or with one that promises nothing if a worker may have run
// the request.
func (c *call) reject(err *failure.Error) {
	if !c.sends.Allows(err.Kind.HTTPStatus()) {
		err = failure.From(failure.Truthful(err, true))
	}
	if err.Kind == failure.NotRun {
		c.releaseToken()
	}
	status := err.Kind.HTTPStatus()
	// The stop may have begun while the request waited.
	c.edge.endConnection(c.writer)
	c.recordAnswer(status, sourceEdge)
	httpapi.WriteFailure(c.writer, status, err)
	c.finish(err.Kind.String(), c.lastErr)
}

func (c *call) finish(result string, err error) {
	e := c.edge
	e.metrics.requests.WithLabelValues(c.route.Name, result).Inc()
	e.metrics.responseTime.WithLabelValues(c.route.Name).Observe(time.Since(c.arrived).Seconds())
	firstMillis := int64(-1)
	if !c.firstByteAt.IsZero() {
		firstMillis = c.firstByteAt.Sub(c.arrived).Milliseconds()
		e.metrics.firstByteTime.WithLabelValues(c.route.Name).Observe(c.firstByteAt.Sub(c.arrived).Seconds())
	}
	logging.Info(e.logger, "request_done", "id", c.id, "route", c.route.Name, "tenant", c.tenant.Owner(), "version", c.version, "worker", c.worker, "list_age_ms", c.listAge.Milliseconds(), "attempts", c.attempts, "outcome", result, "status", c.answered, "status_of", string(c.answerSource), "may_have_run", c.sends.MayHaveRun(), "first_ms", firstMillis, "ms", c.elapsed(), "error", err)
}

// headers returns the headers of one attempt: the caller's and those that the edge sets.
func (c *call) headers(lease *balance.Lease) []wire.HeaderField {
	names := c.edge.headerNames
	fields := make([]wire.HeaderField, 0, len(c.request.Headers)+3)
	for _, field := range c.request.Headers {
		if field.Name != names.Deadline && field.Name != names.ExpectWorker && field.Name != names.LastEvent {
			fields = append(fields, field)
		}
	}
	timeLeft := max(min(time.Until(c.deadline), c.bootDeadline.Sub(clock.Now())).Milliseconds(), 1)
	fields = append(fields,
		wire.HeaderField{Name: names.Deadline, Value: strconv.FormatInt(timeLeft, 10)},
		wire.HeaderField{Name: names.ExpectWorker, Value: incarnation.WorkerID(lease.Endpoint.ID)},
	)
	if c.hasLastEvent {
		fields = append(fields, wire.HeaderField{Name: names.LastEvent, Value: strconv.FormatInt(c.lastEventID, 10)})
	}
	return fields
}

// attempt sends the request to one worker and relays its answer.
func (c *call) attempt(lease *balance.Lease) outcome {
	c.worker = lease.Endpoint.ID
	request := c.request
	request.Headers = c.headers(lease)
	c.attempts++
	c.sentAt, c.output, c.status = clock.Now(), quarantine.Output{}, 0
	c.sends.Begin()
	c.listAge = c.edge.watcher.Current().ListAge(c.sentAt)
	c.edge.metrics.listAge.Observe(c.listAge.Seconds())
	if lease.IsProbe() {
		c.edge.metrics.probes.Inc()
	}
	response, err := c.edge.upstream.Send(c.context, lease.Endpoint, &request, c.headDeadline())
	if err != nil {
		return c.sendFailed(lease, err, clock.Since(c.sentAt))
	}
	defer response.Close()
	c.status = response.Status
	if load, found := httpheader.ParseLoad(response.Header.Get(c.edge.headerNames.Load)); found {
		lease.ApplyReport(load)
		c.edge.logSlotMismatches()
	}
	statement := response.Statement()
	if statement != promise.NotRun {
		lease.RecordAnswer(clock.Now(), statement == promise.Answer && response.Status < http.StatusInternalServerError)
	}
	switch {
	case response.Status == http.StatusMisdirectedRequest:
		lease.RecordWrongWorker(clock.Now())
		c.lastErr = failure.New(failure.NotRun, "", "another worker has the address")
		return c.discardResponse(response, notRun)
	case statement == promise.NotRun:
		c.lastErr = failure.New(failure.NotRun, "", "the worker answered %d and did not run it", response.Status)
		return c.discardResponse(response, notRun)
	case statement == promise.Nothing || !c.sends.Allows(response.Status):
		c.lastErr = failure.New(failure.OutcomeUnknown, "", "the worker answered %d and may have run it", response.Status)
		return c.discardResponse(response, failed)
	case response.Status >= http.StatusInternalServerError && (c.responseStarted || c.canFailOver()):
		c.lastErr = failure.New(failure.OutcomeUnknown, "", "the worker answered %d", response.Status)
		return c.discardResponse(response, failed)
	case c.route.Kind == routetable.KindStream && response.Status == http.StatusOK:
		return c.relayStream(lease, response)
	case c.responseStarted:
		c.lastErr = failure.New(failure.OutcomeUnknown, "", "the worker answered %d to a stream that goes on", response.Status)
		return c.discardResponse(response, failed)
	}
	return c.relayBody(lease, response)
}

func (c *call) sendFailed(lease *balance.Lease, err error, dialTime time.Duration) outcome {
	c.lastErr = err
	c.countExceeded(err)
	switch {
	case c.context.Err() != nil:
	case upstream.TakesNoRequests(err):
		lease.RecordNotReady(clock.Now())
	default:
		lease.RecordNoAnswer(clock.Now())
	}
	if failure.Is(err, failure.NotRun) {
		// Nothing was sent, so this worker does not count as an attempt.
		c.attempts--
		c.failedDials++
		c.failedDialTime += dialTime
		return notRun
	}
	return failed
}

// headDeadline returns until when the edge waits for the response headers of a worker.
func (c *call) headDeadline() time.Time {
	if !c.canFailOver() {
		return c.deadline
	}
	return c.deadlineIn(max(headTimeoutFactor*c.route.Goal(), minFailoverTimeout))
}

// gapDeadline returns until when the edge waits for the next event of a stream.
func (c *call) gapDeadline() time.Time {
	if !c.canFailOver() {
		return c.deadline
	}
	return c.deadlineIn(max(gapTimeoutFactor*c.route.GapGoal(), minFailoverTimeout))
}

func (c *call) deadlineIn(wait time.Duration) time.Time {
	return earliest(time.Now().Add(wait), c.deadline)
}
