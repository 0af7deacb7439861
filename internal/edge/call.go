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
	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/upstream"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// maxDials bounds the workers to which no connection came about, and
	// maxDialTime the time that this took: a dead port answers at once, a dark
	// machine not at all.
	maxDials    = 10
	maxDialTime = 1200 * time.Millisecond
	// firstPatience and gapPatience are how many times the goals of a stream a
	// silent worker is waited for while another may be tried.
	firstPatience = 3
	gapPatience   = 2
	// minPatience bounds both from below.
	minPatience = 400 * time.Millisecond
)

// call is one request on its way through the edge. It is used by one goroutine.
type call struct {
	edge    *Edge
	context context.Context
	version uint64
	route   *routetable.Route
	// tenant is whose request it is, nil for nobody's.
	tenant     *routetable.Tenant
	writer     http.ResponseWriter
	controller *http.ResponseController
	id         string
	request    upstream.Request
	demand     balance.Request
	// arrived and deadline go by the clock of connections and contexts, which stands still
	// while the machine is suspended. bootDeadline is the same moment as deadline by package
	// clock, which goes on.
	arrived      time.Time
	deadline     time.Time
	bootDeadline time.Time
	// takenIn is when the request went on from where it was held, by package clock.
	takenIn  time.Time
	attempts int
	dials    int
	dialTime time.Duration
	worker   string
	// sentAt is when the request went to that worker.
	sentAt time.Time
	// started is set once the head of the answer has been written, broken once
	// that answer can't be ended as it should.
	started bool
	broken  bool
	firstAt time.Time
	// pacedAt is when the last events came from the worker of pacedLease.
	pacedLease *balance.Lease
	pacedAt    time.Time
	lastEvent  int64
	hasEvent   bool
	// mayHaveRun is set once a worker may have begun.
	mayHaveRun bool
	lastErr    error
	// status is that of the last worker's answer.
	status int
	// print is the request's identity, zero while nobody has asked for it. onTrial is set
	// where it is refused and may be tried, underEnd once a worker ended under it here.
	print    quarantine.Fingerprint
	onTrial  bool
	underEnd bool
	// token is the question for a token of the tenant's limit, hasToken set while it
	// was granted and is not given back. informed is set where its answer has told of
	// the workers, too, and no choice has rested on that yet.
	token    wire.TokenQuestion
	hasToken bool
	informed bool
	share    shareState
	// waited is set once the request has waited in a queue of this process.
	waited bool
}

func newCall(e *Edge, ctx context.Context, table *routetable.Table, route *routetable.Route, tenant *routetable.Tenant, writer http.ResponseWriter, controller *http.ResponseController, request *http.Request, body []byte, arrived, deadline time.Time) *call {
	header := request.Header
	prompt, _ := httpheader.ParseTokenCounts(header.Get(e.dialect.Tokens))
	c := &call{
		edge:         e,
		context:      ctx,
		version:      table.Configuration.Version,
		route:        route,
		tenant:       tenant,
		writer:       writer,
		controller:   controller,
		id:           header.Get(e.dialect.RequestID),
		arrived:      arrived,
		deadline:     deadline,
		bootDeadline: clock.Now().Add(time.Until(deadline)),
		share:        newShareState(table, tenant, route),
		demand: balance.Request{
			Pool:         e.pool(route),
			Exclude:      map[string]bool{},
			Parts:        httpheader.ParseParts(header.Get(e.dialect.PromptParts)),
			PromptTokens: prompt,
		},
	}
	c.request = upstream.Request{
		Method:  request.Method,
		Target:  request.RequestURI,
		Host:    request.Host,
		Headers: e.dialect.ForTenant(httpheader.Forwardable(header), tenant.Owner()),
		Body:    body,
		ID:      c.id,
	}
	if last, err := strconv.ParseInt(header.Get(e.dialect.LastEvent), 10, 64); err == nil {
		c.lastEvent, c.hasEvent = last, true
	}
	return c
}

// outcome says how an attempt ended.
type outcome uint8

const (
	// delivered means that the caller has its final answer.
	delivered outcome = iota
	// notRun means that the worker did not run the request and will not.
	notRun
	// failed means that the worker may have run the request, wholly or in part.
	failed
)

// freedAt returns the worker at which the end of an attempt has left a slot that who waits here
// may take unseen, empty for none: one that has just failed or refused is no better for the next
// request, and others may know more of it.
func freedAt(worker string, result outcome, status int) string {
	if result != delivered || status >= http.StatusInternalServerError {
		return ""
	}
	return worker
}

// run makes attempts until the caller has an answer.
func (c *call) run() {
	c.arrive()
	if c.quarantined() || c.limited() {
		return
	}
	for c.mayTry() {
		lease, done := c.place()
		if done {
			return
		}
		if lease == nil {
			c.lastErr = failure.New(failure.NotRun, "try again", "pool %q has no worker for the request", c.demand.Pool)
			break
		}
		if c.stoodStill() {
			c.release(lease)
			return
		}
		result := c.attempt(lease)
		lease.Release()
		c.edge.released(c.demand.Pool, freedAt(lease.Endpoint.ID, result, c.status))
		c.edge.metrics.attempts.WithLabelValues(result.String()).Inc()
		if result == delivered {
			c.ranWell()
			c.edge.served.Do(func() { c.edge.daemon.CompleteStep(daemon.StepServed) })
			c.finish("delivered", nil)
			return
		}
		c.demand.Exclude[lease.Endpoint.ID] = true
		if result == failed {
			c.mayHaveRun = true
		}
		c.lookAt(lease, result)
		logging.Info(c.edge.logger, "attempt_failed", "id", c.id, "attempt", c.attempts, "worker", lease.Endpoint.ID, "outcome", result, "last_event", c.lastEvent, "ms", c.elapsed(), "error", c.lastErr)
		if result == failed && (!c.route.Idempotent() || c.standsRefused()) {
			break
		}
	}
	c.giveUp()
}

// newsPatience is how long a request waits for news of the workers before one is chosen:
// several times what an answer takes within a zone, and nothing beside any goal.
const newsPatience = 6 * time.Millisecond

// acquire chooses a worker by what the hub of the zone knows now, and tells the hub what
// came of it, so that the next one to choose knows. Otherwise all edges of a zone choose
// by news of a report's age, and crowd the workers that looked idle then.
func (c *call) acquire() *balance.Lease {
	c.hear()
	lease := c.edge.workers.Acquire(clock.Now(), &c.demand)
	c.countAsked(lease == nil || lease.Wait > 0)
	if lease != nil {
		c.edge.loads.Report()
		c.edge.noteChoice(c.demand.Pool, lease)
	}
	return lease
}

// hear asks the hub for news of the workers, unless they came a moment ago.
func (c *call) hear() {
	if !c.informed {
		c.learnLoads()
	}
	c.informed = false
	c.demand.Repeatable = c.mayProbe()
}

// mayProbe reports whether the request may be sent to a worker that is avoided: if that fails
// it, another one takes it over. mayMove would not do: it is asked once the attempt is counted.
func (c *call) mayProbe() bool {
	return c.attempts == 0 && c.dials == 0 && c.route.Idempotent() && c.route.MaxAttempts > 1
}

// String returns the outcome as used in logs and metrics.
func (o outcome) String() string { return [...]string{"delivered", "not_run", "failed"}[o] }

func (c *call) mayTry() bool {
	return c.context.Err() == nil && !c.late() && c.attempts < max(c.route.MaxAttempts, 1) && c.dials < maxDials && c.dialTime < maxDialTime
}

// mayMove reports whether another worker could take over.
func (c *call) mayMove() bool {
	return c.route.Idempotent() && c.attempts < max(c.route.MaxAttempts, 1)
}

// late reports whether the caller's time is over.
func (c *call) late() bool {
	return !time.Now().Before(c.deadline) || !clock.Now().Before(c.bootDeadline)
}

func (c *call) elapsed() int64 { return time.Since(c.arrived).Milliseconds() }

// giveUp gives the final answer at once.
func (c *call) giveUp() {
	switch {
	case c.started:
		c.broken = true
		c.finish("broken", c.lastErr)
	case c.context.Err() != nil && !c.late():
		c.broken = true
		if !c.mayHaveRun {
			c.giveBack()
		}
		c.finish("caller_gone", nil)
	case c.mayHaveRun && c.late():
		c.refuse(failure.New(failure.DeadlineExceeded, "allow more time", "no worker answered in time"))
	case c.mayHaveRun:
		c.refuse(failure.New(failure.OutcomeUnknown, "ask again if the request may be repeated", "the worker broke off"))
	default:
		c.refuse(failure.New(failure.NotRun, "try again", "no worker took the request").WithRetryAfter(shortRetry))
	}
}

func (c *call) refuse(err *failure.Error) {
	if err.Kind == failure.NotRun {
		c.giveBack()
	}
	httpapi.WriteFailure(c.writer, err.Kind.HTTPStatus(), err)
	c.finish(err.Kind.String(), c.lastErr)
}

func (c *call) finish(result string, err error) {
	e := c.edge
	e.metrics.requests.WithLabelValues(c.route.Name, result).Inc()
	e.metrics.wholeTime.WithLabelValues(c.route.Name).Observe(time.Since(c.arrived).Seconds())
	first := int64(-1)
	if !c.firstAt.IsZero() {
		first = c.firstAt.Sub(c.arrived).Milliseconds()
		e.metrics.firstTime.WithLabelValues(c.route.Name).Observe(c.firstAt.Sub(c.arrived).Seconds())
	}
	logging.Info(e.logger, "request_done", "id", c.id, "route", c.route.Name, "tenant", c.tenant.Owner(), "version", c.version, "worker", c.worker, "attempts", c.attempts, "outcome", result, "first_ms", first, "ms", c.elapsed(), "error", err)
}

// headers returns the headers of one attempt: the caller's, with those that the
// edge sets.
func (c *call) headers(lease *balance.Lease) []wire.HeaderField {
	names := c.edge.dialect
	fields := make([]wire.HeaderField, 0, len(c.request.Headers)+3)
	for _, field := range c.request.Headers {
		if field.Name != names.Deadline && field.Name != names.ExpectWorker && field.Name != names.LastEvent {
			fields = append(fields, field)
		}
	}
	left := max(min(time.Until(c.deadline), c.bootDeadline.Sub(clock.Now())).Milliseconds(), 1)
	fields = append(fields,
		wire.HeaderField{Name: names.Deadline, Value: strconv.FormatInt(left, 10)},
		wire.HeaderField{Name: names.ExpectWorker, Value: incarnation.WorkerID(lease.Endpoint.ID)},
	)
	if c.hasEvent {
		fields = append(fields, wire.HeaderField{Name: names.LastEvent, Value: strconv.FormatInt(c.lastEvent, 10)})
	}
	return fields
}

// attempt sends the request to one worker and passes its answer on.
func (c *call) attempt(lease *balance.Lease) outcome {
	c.worker = lease.Endpoint.ID
	request := c.request
	request.Headers = c.headers(lease)
	c.attempts++
	c.sentAt = clock.Now()
	if lease.IsProbe() {
		c.edge.metrics.probes.Inc()
	}
	response, err := c.edge.upstream.Send(c.context, lease.Endpoint, &request, c.headBy())
	if err != nil {
		return c.sendFailed(lease, err, clock.Since(c.sentAt))
	}
	defer response.Close()
	c.status = response.Status
	if told, found := httpheader.ParseLoad(response.Header.Get(c.edge.dialect.Load)); found {
		lease.ApplyReport(told)
		c.edge.noteDoubts()
	}
	notRunHere := response.Status == http.StatusMisdirectedRequest || response.Header.Get(c.edge.dialect.NotRun) != ""
	if !notRunHere {
		lease.RecordAnswer(clock.Now(), response.Status < http.StatusInternalServerError)
	}
	switch {
	case response.Status == http.StatusMisdirectedRequest:
		lease.RecordWrongWorker(clock.Now())
		c.lastErr = failure.New(failure.NotRun, "", "another worker has the address")
		return c.passOver(response, notRun)
	case notRunHere:
		c.lastErr = failure.New(failure.NotRun, "", "the worker answered %d and did not run it", response.Status)
		return c.passOver(response, notRun)
	case response.Status >= http.StatusInternalServerError && (c.started || c.mayMove()):
		c.lastErr = failure.New(failure.OutcomeUnknown, "", "the worker answered %d", response.Status)
		return c.passOver(response, failed)
	case c.route.Kind == routetable.KindStream && response.Status == http.StatusOK:
		return c.relayStream(lease, response)
	case c.started:
		c.lastErr = failure.New(failure.OutcomeUnknown, "", "the worker answered %d to a stream that goes on", response.Status)
		return c.passOver(response, failed)
	}
	return c.relayWhole(lease, response)
}

func (c *call) sendFailed(lease *balance.Lease, err error, took time.Duration) outcome {
	c.lastErr = err
	if c.context.Err() == nil {
		lease.RecordNoAnswer(clock.Now())
	}
	if failure.Is(err, failure.NotRun) {
		// Nothing was sent: this worker does not count as an attempt.
		c.attempts--
		c.dials++
		c.dialTime += took
		return notRun
	}
	return failed
}

// headBy returns until when a worker may keep silent before its answer.
func (c *call) headBy() time.Time {
	if !c.mayMove() {
		return c.deadline
	}
	return c.earlier(max(firstPatience*c.route.Goal(), minPatience))
}

// gapBy returns until when a worker may keep silent within a stream.
func (c *call) gapBy() time.Time {
	if !c.mayMove() {
		return c.deadline
	}
	return c.earlier(max(gapPatience*c.route.GapGoal(), minPatience))
}

func (c *call) earlier(wait time.Duration) time.Time {
	return earliest(time.Now().Add(wait), c.deadline)
}
