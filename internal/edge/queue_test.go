package edge

import (
	"bytes"
	"context"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/admission"
	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/daemon"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/proptest"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/settings"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// queueFixture is an edge with one worker, which completes requests only when the test allows it.
// The worker list gives the worker one slot by default.
type queueFixture struct {
	server *httptest.Server
	edge   *Edge
	worker *blockingWorker
	log    *lockedBuffer
}

// blockingWorker blocks all requests until unblock is closed, and answers each with one event.
type blockingWorker struct {
	server  *httptest.Server
	unblock chan struct{}
	// runTime is how long each request takes after that.
	runTime    time.Duration
	mutex      sync.Mutex
	requestIDs []string
	// running counts the requests at the worker, maxRunning is their highest number.
	running    int
	maxRunning int
}

func startBlockingWorker(t *testing.T) *blockingWorker {
	t.Helper()
	w := &blockingWorker{unblock: make(chan struct{})}
	w.server = httptest.NewServer(w)
	t.Cleanup(w.server.Close)
	return w
}

// ServeHTTP implements http.Handler.
func (w *blockingWorker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	w.count(id)
	defer w.count("")
	select {
	case <-w.unblock:
	case <-request.Context().Done():
		return
	}
	time.Sleep(w.runTime)
	writer.Header().Set("Request-Id", id)
	writer.Header().Set("Content-Type", "text/event-stream")
	// A failed write means that the caller has disconnected.
	_, _ = io.WriteString(writer, "id: 1\ndata: x\n\n")
}

// count records the arrival of a request or, with an empty id, the end of one.
func (w *blockingWorker) count(id string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if id == "" {
		w.running--
		return
	}
	w.requestIDs = append(w.requestIDs, id)
	w.running++
	w.maxRunning = max(w.maxRunning, w.running)
}

// RequestIDs returns the ids of the requests that arrived.
func (w *blockingWorker) RequestIDs() []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.requestIDs)
}

// lockedBuffer is a log that may be read while it is written.
type lockedBuffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(line []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.Write(line)
}

// events returns the names of the request's log events, in order.
func (b *lockedBuffer) events(id string) (events []string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, line := range strings.Split(b.text.String(), "\n") {
		if !strings.Contains(line, " id="+id+" ") {
			continue
		}
		_, event, _ := strings.Cut(line, "event=")
		event, _, _ = strings.Cut(event, " ")
		events = append(events, event)
	}
	return events
}

// startQueue runs an edge whose requests wait in a queue if tenants are given.
func startQueue(t *testing.T, tenants ...routetable.Tenant) *queueFixture {
	t.Helper()
	return startQueueAt(t, startBlockingWorker(t), "edge-1", 1, tenants...)
}

// startQueueAt runs an edge of the given name, whose worker list has the given number of slots for
// the worker.
func startQueueAt(t *testing.T, worker *blockingWorker, name string, slots int, tenants ...routetable.Tenant) *queueFixture {
	t.Helper()
	route := streamRoute(false, 1)
	route.Public = true
	// Callers wait as long as a test does.
	route.GapGoalMillis = testTimeout.Milliseconds() / 8
	configuration := &routetable.Configuration{
		Version: 1,
		Routes:  []routetable.Route{route},
		Pools:   []routetable.Pool{{Name: "p"}},
		Tenants: tenants,
	}
	if err := configuration.Check(); err != nil {
		t.Fatal(err)
	}
	listed := []wire.PoolWorker{{ID: "w-0", Pool: "p", Address: worker.server.Listener.Addr().String(), Slots: slots}}
	f := &queueFixture{worker: worker, log: &lockedBuffer{}}
	d, err := daemon.New(daemon.Options{Role: "edge", Name: name, Listen: "127.0.0.1:0", Embedded: true, Logger: logging.New(f.log, "info"), StopTimeout: testTimeout / 4})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Kill() })
	config := settings.DefaultEdge()
	config.Name = name
	config.Seeds = []string{startCoordinator(t, configuration, listed)}
	config.UnreadyTime = settings.Duration(10 * time.Millisecond)
	f.edge = New(d, config, testHeaderNames())
	for end := time.Now().Add(testTimeout); !f.edge.daemon.Ready(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the edge did not become ready")
		}
	}
	f.server = httptest.NewServer(f.edge)
	t.Cleanup(f.server.Close)
	return f
}

var testTenant = routetable.Tenant{Name: "t"}

// callResult is how a request ended.
type callResult struct {
	id     string
	status int
	retry  string
	err    error
}

// sendAsync sends a request whose result is sent to the channel.
func (f *queueFixture) sendAsync(ctx context.Context, t *testing.T, id string, answers chan<- callResult) {
	t.Helper()
	go func() {
		status, header, _, err := send(ctx, t, f.server, id, 1, testTimeout)
		answers <- callResult{id, status, header.Get("Retry-After"), err}
	}()
}

// block makes requests hang at the worker until release is called. Requests that arrive later run
// at once.
func (f *queueFixture) block(t *testing.T) (release func()) {
	t.Helper()
	var once sync.Once
	release = func() { once.Do(func() { close(f.worker.unblock) }) }
	t.Cleanup(release)
	return release
}

// queuedCount returns the number of requests in the queue.
func (f *queueFixture) queuedCount() int {
	queue := f.edge.queueFor("p")
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.queue.Len()
}

// inFlight returns the number of requests that the edge has at the worker.
func (f *queueFixture) inFlight() int {
	count := 0
	for _, load := range f.edge.workers.Loads() {
		count += int(load.Online)
	}
	return count
}

// metric returns the value of the metric with the label.
func (f *queueFixture) metric(t *testing.T, name, label string) float64 {
	t.Helper()
	families, err := f.edge.daemon.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			if family.GetName() == name && metric.GetLabel()[0].GetValue() == label {
				return metric.GetGauge().GetValue() + metric.GetCounter().GetValue()
			}
		}
	}
	return 0
}

// occupy sends a request that takes the only slot, and count more that have to wait.
func (f *queueFixture) occupy(ctx context.Context, t *testing.T, count int, answers chan<- callResult) {
	t.Helper()
	f.sendAsync(context.Background(), t, "first", answers)
	waitFor(t, "the first request", func() bool { return f.inFlight() == 1 })
	for i := range count {
		f.sendAsync(ctx, t, strconv.Itoa(i), answers)
		waitFor(t, "a queued request", func() bool { return f.queuedCount() == i+1 })
	}
}

// TestWaitingRequestsAreSent checks that requests that wait for the only slot go to the worker
// one by one, and that each is logged and counted.
func TestWaitingRequestsAreSent(t *testing.T) {
	const count = 5
	f := startQueue(t, testTenant)
	release := f.block(t)
	answers := make(chan callResult, count+1)
	f.occupy(context.Background(), t, count, answers)
	if at := f.inFlight(); at != 1 {
		t.Errorf("%d requests are at a worker of one slot", at)
	}
	if length := f.metric(t, "edge_queue_length", "p"); length != count {
		t.Errorf("the queue length metric is %g", length)
	}
	release()
	for range count + 1 {
		if a := <-answers; a.err != nil || a.status != http.StatusOK {
			t.Errorf("%+v", a)
		}
	}
	if seen := len(f.worker.RequestIDs()); seen != count+1 || f.queuedCount() != 0 {
		t.Errorf("%d requests ran, %d still wait", seen, f.queuedCount())
	}
	if got := strings.Join(f.log.events("0"), " "); got != "queue_decided queue_sent request_done" {
		t.Errorf("logged: %s", got)
	}
	if sent := f.metric(t, "edge_queue_requests_total", "sent"); sent != count {
		t.Errorf("%g requests are counted as sent", sent)
	}
}

// TestNoQueueWithoutTenants checks that without tenants all requests go to the worker's own
// queue.
func TestNoQueueWithoutTenants(t *testing.T) {
	const count = 5
	f := startQueue(t)
	release := f.block(t)
	answers := make(chan callResult, count)
	for i := range count {
		f.sendAsync(context.Background(), t, strconv.Itoa(i), answers)
	}
	waitFor(t, "all requests at the worker", func() bool { return f.inFlight() == count })
	release()
	for range count {
		if a := <-answers; a.err != nil || a.status != http.StatusOK {
			t.Errorf("%+v", a)
		}
	}
}

// TestDisconnectedCallersLeaveTheQueue checks that queued requests are removed at once when their
// callers disconnect, and reach no worker.
func TestDisconnectedCallersLeaveTheQueue(t *testing.T) {
	const count = 3
	f := startQueue(t, testTenant)
	release := f.block(t)
	answers := make(chan callResult, count+1)
	ctx, cancel := context.WithCancel(context.Background())
	f.occupy(ctx, t, count, answers)
	cancel()
	waitFor(t, "an empty queue", func() bool { return f.queuedCount() == 0 })
	release()
	for range count + 1 {
		if a := <-answers; (a.err == nil) != (a.id == "first") {
			t.Errorf("%+v", a)
		}
	}
	if seen := len(f.worker.RequestIDs()); seen != 1 {
		t.Errorf("%d requests ran, want 1", seen)
	}
	if at := f.inFlight(); at != 0 {
		t.Errorf("%d slots are still held", at)
	}
}

// TestStopRejectsQueuedRequests checks that a stopping process rejects all queued requests as not
// run, with Retry-After, before the running request has ended. A later request that would have to
// wait is rejected too.
func TestStopRejectsQueuedRequests(t *testing.T) {
	const count = 20
	f := startQueue(t, testTenant)
	release := f.block(t)
	answers := make(chan callResult, count+2)
	f.occupy(context.Background(), t, count, answers)
	ran := make(chan error, 1)
	go func() { ran <- f.edge.daemon.Run() }()
	waitFor(t, "the daemon", func() bool { return f.edge.daemon.Ready() })
	stopped := make(chan error, 1)
	go func() { stopped <- f.edge.daemon.Stop() }()
	expectRejected := func() {
		if a := <-answers; a.err != nil || a.status != http.StatusServiceUnavailable || a.retry == "" {
			t.Errorf("%+v", a)
		}
	}
	for range count {
		expectRejected()
	}
	f.sendAsync(context.Background(), t, "later", answers)
	expectRejected()
	release()
	if a := <-answers; a.id != "first" || a.status != http.StatusOK {
		t.Errorf("%+v", a)
	}
	if seen := len(f.worker.RequestIDs()); seen != 1 {
		t.Errorf("%d requests ran, want 1", seen)
	}
	for _, end := range []chan error{stopped, ran} {
		if err := <-end; err != nil {
			t.Error(err)
		}
	}
}

// TestQueueRejectionClosesConnectionWhenStopping checks that a rejection by the queue tells the
// caller to close its connection only while the process stops.
func TestQueueRejectionClosesConnectionWhenStopping(t *testing.T) {
	f := startQueue(t, testTenant)
	reject := func() string {
		recorder := httptest.NewRecorder()
		f.call(recorder, testTimeout, testTimeout).rejectQueued(&rejection{reason: reasonStopping, retryAfter: shortRetryAfter})
		return recorder.Header().Get("Connection")
	}
	if got := reject(); got != "" {
		t.Errorf("Connection header %q while the process serves", got)
	}
	ran := make(chan error, 1)
	go func() { ran <- f.edge.daemon.Run() }()
	waitFor(t, "the daemon", func() bool { return f.edge.daemon.Ready() })
	if err := f.edge.daemon.Stop(); err != nil {
		t.Error(err)
	}
	if got := reject(); got != "close" {
		t.Errorf("Connection header %q while the process stops", got)
	}
	if err := <-ran; err != nil {
		t.Error(err)
	}
}

// TestQueueRetryAfterIsJittered checks that the retry times of requests that are rejected
// together, as expired or because the process stops, are spread over an interval.
func TestQueueRetryAfterIsJittered(t *testing.T) {
	const count = 20
	f := startQueue(t, testTenant)
	for _, test := range []struct {
		minimum time.Duration
		reject  func(q *poolQueue)
	}{
		{admission.MinRetryAfter, func(q *poolQueue) { q.rejectExpired(clock.Now().Add(time.Hour)) }},
		{shortRetryAfter, (*poolQueue).close},
	} {
		q := newPoolQueue(f.edge, "p")
		waiters := make([]*waiter, 0, count)
		for range count {
			w, _ := f.call(httptest.NewRecorder(), testTimeout, testTimeout).newWaiter()
			q.queue.Admit(clock.Now(), &admission.Arrival{Entry: &w.entry, Candidate: admission.Candidate{LeftToPeers: true}}, 0)
			q.waiters[&w.entry] = w
			waiters = append(waiters, w)
		}
		test.reject(q)
		seen := map[time.Duration]bool{}
		for _, w := range waiters {
			a := <-w.result
			if a.rejection == nil || a.rejection.retryAfter < test.minimum || a.rejection.retryAfter >= 2*test.minimum {
				t.Fatalf("%+v", a.rejection)
			}
			seen[a.rejection.retryAfter] = true
		}
		if len(seen) < count/2 {
			t.Errorf("minimum %s: %d of %d retry times differ", test.minimum, len(seen), count)
		}
	}
}

// TestDisconnectReleasesToken checks that the token of a disconnected caller is returned if
// nothing may have run.
func TestDisconnectReleasesToken(t *testing.T) {
	f := startQueue(t, testTenant)
	for _, mayHaveRun := range []bool{false, true} {
		c := f.call(httptest.NewRecorder(), testTimeout, testTimeout)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		c.context, c.hasToken = ctx, true
		if mayHaveRun {
			c.sends.Begin()
		}
		c.giveUp()
		if c.hasToken != mayHaveRun {
			t.Errorf("may have run %t: the token is kept %t", mayHaveRun, c.hasToken)
		}
	}
}

// TestSuspendedProcessDispatchesNothingExpired checks that a process that was suspended until all
// queued requests expired sends none of them to a worker, though a slot is free.
func TestSuspendedProcessDispatchesNothingExpired(t *testing.T) {
	const count = 5
	f := startQueue(t, testTenant)
	release := f.block(t)
	answers := make(chan callResult, count+1)
	f.occupy(context.Background(), t, count, answers)
	f.edge.queueFor("p").dispatch(clock.Now().Add(time.Hour), "w-0")
	for range count {
		if a := <-answers; a.err != nil || a.status != http.StatusServiceUnavailable || a.retry == "" {
			t.Errorf("%+v", a)
		}
	}
	release()
	<-answers
	if seen := len(f.worker.RequestIDs()); seen != 1 {
		t.Errorf("%d requests ran, want 1", seen)
	}
}

// TestExpiredRequestReleasesLease checks a request that gets a lease too late: it has expired by
// the clock that includes suspensions, though not by the other clock. Nothing is sent, and the slot
// is released.
func TestExpiredRequestReleasesLease(t *testing.T) {
	f := startQueue(t, testTenant)
	recorder := httptest.NewRecorder()
	c := f.call(recorder, testTimeout, testTimeout)
	c.bootDeadline = clock.Now().Add(-time.Millisecond)
	lease := f.edge.workers.Acquire(clock.Now(), &c.demand)
	if got, done := c.confirmDispatch(lease); got != nil || !done {
		t.Error("the request goes to the worker")
	}
	if recorder.Code != http.StatusServiceUnavailable || f.inFlight() != 0 {
		t.Errorf("status %d, %d in flight", recorder.Code, f.inFlight())
	}
}

// call returns a call whose caller has timeLeft left, on a route whose callers first have
// maxTimeLeft.
func (f *queueFixture) call(writer http.ResponseWriter, timeLeft, maxTimeLeft time.Duration) *call {
	table := f.edge.Table()
	route := &table.Configuration.Routes[0]
	f.edge.withRouteStats(route, func(stats *admission.Route) { stats.ObserveArrival(maxTimeLeft) })
	request := httptest.NewRequest(http.MethodPost, "/a", nil)
	now := time.Now()
	return newCall(f.edge, request.Context(), table, route, nil, writer, http.NewResponseController(writer), request, nil, now, now.Add(timeLeft))
}

// TestDecisionsWithoutQueue checks that with the queue off, random requests are dispatched or
// rejected as a single admission decision says.
func TestDecisionsWithoutQueue(t *testing.T) {
	f := startQueue(t)
	const slots, firstEventTime = 1, 10 * time.Millisecond
	rejected, dispatched := 0, 0
	hash := loadshare.WorkerHash("w-0")
	proptest.Run(t, "decisions without a queue", func(random *rand.Rand) error {
		online := uint16(random.Intn(6))
		f.edge.workers.SetPeerLoads(clock.Now(), []wire.WorkerLoad{{Worker: hash, Online: online, Rate: uint16(random.Intn(400))}}, balance.ScopeAll)
		left := time.Duration(300+random.Intn(6000)) * time.Millisecond
		recorder := httptest.NewRecorder()
		c := f.call(recorder, left, testTimeout/5)
		var maxTimeLeft time.Duration
		f.edge.withRouteStats(c.route, func(stats *admission.Route) {
			stats.ObserveFirstEvent(firstEventTime)
			maxTimeLeft = stats.MaxTimeLeft()
		})
		wait := time.Duration(0)
		if perSecond := f.edge.workers.Throughput("p", 1); perSecond > 0 {
			wait = time.Duration(float64(time.Second) * slots / perSecond * float64(max(int(online)+1-slots, 0)) / (slots + 1))
		}
		want := admission.Decide(&admission.Request{TimeLeft: left, MaxTimeLeft: maxTimeLeft, Goal: c.route.Goal(), FirstEventTime: firstEventTime, Wait: wait}, 0) > 0
		lease, done := c.selectWorker()
		if done != want || (lease == nil) != want || (recorder.Code == http.StatusServiceUnavailable) != want {
			return errors.Newf("rejected %t, lease %t, with %d online, %s left of %s, %s to wait: want %t", done, lease != nil, online, left, maxTimeLeft, wait, want)
		}
		if lease == nil {
			rejected++
		} else {
			dispatched++
			c.releaseLease(lease)
		}
		if len(f.edge.allQueues()) > 0 {
			return errors.New("the edge created a queue")
		}
		return nil
	})
	if rejected == 0 || dispatched == 0 {
		t.Errorf("%d rejected, %d dispatched: the random requests do not cover both", rejected, dispatched)
	}
}

// TestSlotsOfFailedWorkersAreNotReused checks that a queued request takes a released slot at once
// only after an answer that shows that the worker is well.
func TestSlotsOfFailedWorkersAreNotReused(t *testing.T) {
	for _, test := range []struct {
		result outcome
		status int
		want   string
	}{
		{delivered, http.StatusOK, "w"},
		{delivered, http.StatusBadRequest, "w"},
		{delivered, http.StatusInternalServerError, ""},
		{delivered, http.StatusServiceUnavailable, ""},
		{notRun, http.StatusMisdirectedRequest, ""},
		{failed, http.StatusOK, ""},
		{failed, 0, ""},
	} {
		if got := releasedSlotWorker("w", test.result, test.status); got != test.want {
			t.Errorf("%s with %d: %q", test.result, test.status, got)
		}
	}
}

// TestQueueEntriesOfRetriedCalls checks the queue entries of first attempts and of retries.
func TestQueueEntriesOfRetriedCalls(t *testing.T) {
	f := startQueue(t, testTenant)
	const longest = 5 * time.Second
	for _, test := range []struct {
		left         time.Duration
		retried      bool
		goalDeadline time.Duration
	}{
		{longest, false, 50 * time.Millisecond},
		{longest - 200*time.Millisecond, false, 50 * time.Millisecond},
		{longest - time.Second, true, -950 * time.Millisecond},
		// A caller with a shorter deadline than others.
		{time.Second, false, 50 * time.Millisecond},
	} {
		c := f.call(httptest.NewRecorder(), test.left, longest)
		w, _ := c.newWaiter()
		entry := &w.entry
		goalDeadline := entry.GoalDeadline.Sub(entry.Arrived)
		if entry.Retried != test.retried || (goalDeadline-test.goalDeadline).Abs() > 10*time.Millisecond || (entry.Deadline.Sub(entry.Arrived)-test.left).Abs() > 10*time.Millisecond {
			t.Errorf("%s left: %+v, goal deadline %s after arrival", test.left, entry, goalDeadline)
		}
	}
}

// TestQueueDeadlineWithoutGoal checks until when callers of a stream wait for its first event:
// without a goal, until their own deadline.
func TestQueueDeadlineWithoutGoal(t *testing.T) {
	f := startQueue(t, testTenant)
	const timeLeft = 30 * time.Second
	for _, test := range []struct{ goal, want time.Duration }{
		{0, timeLeft},
		{50 * time.Millisecond, admission.FirstEventTimeout(50*time.Millisecond, 0)},
	} {
		c := f.call(httptest.NewRecorder(), timeLeft, timeLeft)
		route := *c.route
		route.GoalMillis, route.GapGoalMillis = test.goal.Milliseconds(), 0
		c.route = &route
		entry := c.queueEntry()
		if got := entry.Deadline.Sub(entry.Arrived); (got - test.want).Abs() > 10*time.Millisecond {
			t.Errorf("goal %s: deadline %s after arrival", test.goal, got)
		}
	}
}

// startHub starts a hub for load reports and returns its address.
func startHub(t *testing.T) string {
	t.Helper()
	listener, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	address := listener.LocalAddr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	hub := loadshare.NewHub()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		_ = loadshare.Serve(ctx, address, func(report *wire.LoadReport) *wire.LoadReport {
			hub.ApplyReport(clock.Now(), report)
			if report.Quiet {
				return nil
			}
			return &wire.LoadReport{Workers: hub.PeerLoads(clock.Now(), report.Source)}
		})
	}()
	return address
}

// TestReleasedSlotsAreReportedWhenSaturated checks that a released slot is reported to the hub at
// once only if the pool was full a moment ago.
func TestReleasedSlotsAreReportedWhenSaturated(t *testing.T) {
	q := newPoolQueue(&Edge{}, "p")
	now := time.Unix(1000, 0)
	if q.recentlyFull(now) {
		t.Error("recently full before any request arrived")
	}
	q.fullAt = now
	for after, want := range map[time.Duration]bool{0: true, saturationWindow - 1: true, saturationWindow: false} {
		if got := q.recentlyFull(now.Add(after)); got != want {
			t.Errorf("%s after a request found the pool full: recently full %t", after, got)
		}
	}
}

// TestQueuesShareWorker checks three edges with a hub that send a worker many times the number of
// requests that it can run at once. Each request is run, or is rejected as not run with
// Retry-After. The worker never runs more requests at once than its slots times the number of
// edges, and no goroutine polls once the queues are empty.
func TestQueuesShareWorker(t *testing.T) {
	const edges, slots, count = 3, 2, 60
	worker := startBlockingWorker(t)
	worker.runTime = 5 * time.Millisecond
	close(worker.unblock)
	hub := startHub(t)
	var fixtures []*queueFixture
	for number := range edges {
		f := startQueueAt(t, worker, "edge-"+strconv.Itoa(number), slots, testTenant)
		f.edge.setHubs([]wire.ProcessAddress{{Address: hub}})
		fixtures = append(fixtures, f)
	}
	answers := make(chan callResult, count)
	for number := range count {
		fixtures[number%edges].sendAsync(context.Background(), t, strconv.Itoa(number), answers)
	}
	ran := map[string]bool{}
	for range count {
		switch a := <-answers; {
		case a.err == nil && a.status == http.StatusOK:
			ran[a.id] = true
		case a.err != nil || a.status != http.StatusServiceUnavailable || a.retry == "":
			t.Errorf("%+v", a)
		}
	}
	worker.mutex.Lock()
	t.Logf("%d of %d requests ran, %d at once at a worker of %d slots", len(ran), count, worker.maxRunning, slots)
	if worker.maxRunning > edges*slots || len(worker.requestIDs) != len(ran) {
		t.Errorf("%d requests at once, %d in all", worker.maxRunning, len(worker.requestIDs))
	}
	for _, id := range worker.requestIDs {
		if !ran[id] {
			t.Errorf("%s was rejected and ran", id)
		}
	}
	worker.mutex.Unlock()
	for _, f := range fixtures {
		queue := f.edge.queueFor("p")
		waitFor(t, "the end of polling", func() bool {
			queue.mutex.Lock()
			defer queue.mutex.Unlock()
			return !queue.polling && queue.queue.Len() == 0
		})
	}
}

// TestQueuedRequestIsRejectedWhenStopWouldCutIt checks that a request whose deadline is after a planned stop
// leaves the queue when the stop begins, and one that ends before stays.
func TestQueuedRequestIsRejectedWhenStopWouldCutIt(t *testing.T) {
	f := startQueue(t, testTenant)
	const unready = 2 * time.Second
	f.edge.settings.UnreadyTime = settings.Duration(unready)
	release := f.block(t)
	answers := make(chan callResult, 3)
	f.occupy(context.Background(), t, 1, answers)
	go func() {
		status, _, _, err := send(context.Background(), t, f.server, "in time", 1, testTimeout/8)
		answers <- callResult{"in time", status, "", err}
	}()
	waitFor(t, "both queued", func() bool { return f.queuedCount() == 2 })
	startedAt := time.Now()
	go func() { _ = f.edge.daemon.Stop() }()
	answer := <-answers
	if took := time.Since(startedAt); answer.id != "0" || answer.status != http.StatusServiceUnavailable || answer.retry == "" || took >= unready {
		t.Errorf("%+v after %s", answer, took)
	}
	if f.queuedCount() != 1 {
		t.Error("a request that there is time for has left the queue")
	}
	release()
	for range 2 {
		if answer := <-answers; answer.status != http.StatusOK || answer.err != nil {
			t.Errorf("%+v", answer)
		}
	}
}
