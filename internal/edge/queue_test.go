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

// queueFixture is an edge before one worker that runs one request at a time, as the edge is
// told, and ends a request when the test says so.
type queueFixture struct {
	server *httptest.Server
	edge   *Edge
	worker *heldWorker
	log    *lockedBuffer
}

// heldWorker holds all requests until end is closed, and answers each with one event.
type heldWorker struct {
	server *httptest.Server
	end    chan struct{}
	// pause is how long it takes for each request after that.
	pause time.Duration
	mutex sync.Mutex
	seen  []string
	// running counts the requests that are there, most those that were there at once.
	running int
	most    int
}

func startHeldWorker(t *testing.T) *heldWorker {
	t.Helper()
	w := &heldWorker{end: make(chan struct{})}
	w.server = httptest.NewServer(w)
	t.Cleanup(w.server.Close)
	return w
}

// ServeHTTP implements http.Handler.
func (w *heldWorker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	w.count(id)
	defer w.count("")
	select {
	case <-w.end:
	case <-request.Context().Done():
		return
	}
	time.Sleep(w.pause)
	writer.Header().Set("Request-Id", id)
	writer.Header().Set("Content-Type", "text/event-stream")
	// A failed write means that the caller has gone.
	_, _ = io.WriteString(writer, "id: 1\ndata: x\n\n")
}

// count takes in a request that came, or without an id one that ended.
func (w *heldWorker) count(id string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if id == "" {
		w.running--
		return
	}
	w.seen = append(w.seen, id)
	w.running++
	w.most = max(w.most, w.running)
}

// Seen returns the ids of the requests that came.
func (w *heldWorker) Seen() []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.seen)
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

// events returns the names of what was logged of the request, in order.
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

// startQueue runs an edge whose requests wait in a queue, if tenants are named.
func startQueue(t *testing.T, tenants ...routetable.Tenant) *queueFixture {
	t.Helper()
	return startLineAt(t, startHeldWorker(t), "edge-1", 1, tenants...)
}

// startLineAt runs an edge of the name that is told so many slots of the worker.
func startLineAt(t *testing.T, worker *heldWorker, name string, slots int, tenants ...routetable.Tenant) *queueFixture {
	t.Helper()
	route := stream(false, 1)
	route.Public = true
	// Callers bear as long as a test waits.
	route.GapGoalMillis = patience.Milliseconds() / 8
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
	d, err := daemon.New(daemon.Options{Role: "edge", Name: name, Listen: "127.0.0.1:0", Embedded: true, Logger: logging.New(f.log, "info")})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Kill() })
	config := settings.DefaultEdge()
	config.Name = name
	config.Seeds = []string{startCoordinator(t, configuration, listed)}
	config.UnreadyTime = settings.Duration(10 * time.Millisecond)
	f.edge = New(d, config, standInNames())
	for end := time.Now().Add(patience); !f.edge.daemon.Ready(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the edge does not become ready")
		}
	}
	f.server = httptest.NewServer(f.edge)
	t.Cleanup(f.server.Close)
	return f
}

var someTenant = routetable.Tenant{Name: "t"}

// answered is how a request ended.
type answered struct {
	id     string
	status int
	retry  string
	err    error
}

// ask sends a request; how it ended comes over the channel.
func (f *queueFixture) ask(ctx context.Context, t *testing.T, id string, answers chan<- answered) {
	t.Helper()
	go func() {
		status, header, _, err := send(ctx, t, f.server, id, 1, patience)
		answers <- answered{id, status, header.Get("Retry-After"), err}
	}()
}

// hold lets requests hang at the worker, and returns how to end them. All that come after the
// end run at once.
func (f *queueFixture) hold(t *testing.T) (release func()) {
	t.Helper()
	var once sync.Once
	release = func() { once.Do(func() { close(f.worker.end) }) }
	t.Cleanup(release)
	return release
}

// waits returns how many requests wait in the queue.
func (f *queueFixture) waits() int {
	known := f.edge.queueOf("p")
	known.mutex.Lock()
	defer known.mutex.Unlock()
	return known.queue.Len()
}

// inFlight returns how many requests the edge has at the worker.
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

// occupy sends a request that holds the only slot, and count more that have to wait.
func (f *queueFixture) occupy(ctx context.Context, t *testing.T, count int, answers chan<- answered) {
	t.Helper()
	f.ask(context.Background(), t, "first", answers)
	await(t, "the first request", func() bool { return f.inFlight() == 1 })
	for i := range count {
		f.ask(ctx, t, strconv.Itoa(i), answers)
		await(t, "a request that waits", func() bool { return f.waits() == i+1 })
	}
}

// TestWaitingRequestsAreSent lets requests wait at the edge for the only slot: the worker gets
// them one by one, and each is told of by the log and counted.
func TestWaitingRequestsAreSent(t *testing.T) {
	const count = 5
	f := startQueue(t, someTenant)
	release := f.hold(t)
	answers := make(chan answered, count+1)
	f.occupy(context.Background(), t, count, answers)
	if at := f.inFlight(); at != 1 {
		t.Errorf("%d requests are at a worker of one slot", at)
	}
	if length := f.metric(t, "edge_queue_length", "p"); length != count {
		t.Errorf("the length told is %g", length)
	}
	release()
	for range count + 1 {
		if a := <-answers; a.err != nil || a.status != http.StatusOK {
			t.Errorf("%+v", a)
		}
	}
	if seen := len(f.worker.Seen()); seen != count+1 || f.waits() != 0 {
		t.Errorf("%d were run, %d wait", seen, f.waits())
	}
	if got := strings.Join(f.log.events("0"), " "); got != "queue_decided queue_sent request_done" {
		t.Errorf("logged: %s", got)
	}
	if sent := f.metric(t, "edge_queue_requests_total", "sent"); sent != count {
		t.Errorf("%g are counted as sent", sent)
	}
}

// TestWithoutTenantsNothingWaits sends the same requests where the queue is off: all go to the
// worker's own queue.
func TestWithoutTenantsNothingWaits(t *testing.T) {
	const count = 5
	f := startQueue(t)
	release := f.hold(t)
	answers := make(chan answered, count)
	for i := range count {
		f.ask(context.Background(), t, strconv.Itoa(i), answers)
	}
	await(t, "all requests at the worker", func() bool { return f.inFlight() == count })
	release()
	for range count {
		if a := <-answers; a.err != nil || a.status != http.StatusOK {
			t.Errorf("%+v", a)
		}
	}
}

// TestGoneCallersLeaveTheLine ends the callers of waiting requests: they are out at once, and
// no worker sees them.
func TestGoneCallersLeaveTheLine(t *testing.T) {
	const count = 3
	f := startQueue(t, someTenant)
	release := f.hold(t)
	answers := make(chan answered, count+1)
	ctx, cancel := context.WithCancel(context.Background())
	f.occupy(ctx, t, count, answers)
	cancel()
	await(t, "an empty queue", func() bool { return f.waits() == 0 })
	release()
	for range count + 1 {
		if a := <-answers; (a.err == nil) != (a.id == "first") {
			t.Errorf("%+v", a)
		}
	}
	if seen := len(f.worker.Seen()); seen != 1 {
		t.Errorf("%d were run", seen)
	}
	if at := f.inFlight(); at != 0 {
		t.Errorf("%d slots are still held", at)
	}
}

// TestStopAnswersTheQueue stops the process with a full queue: all that wait are told that
// nothing ran and when to come back, before what runs has ended. Who would have to wait after
// that is refused as well.
func TestStopAnswersTheQueue(t *testing.T) {
	const count = 20
	f := startQueue(t, someTenant)
	release := f.hold(t)
	answers := make(chan answered, count+2)
	f.occupy(context.Background(), t, count, answers)
	ran := make(chan error, 1)
	go func() { ran <- f.edge.daemon.Run() }()
	await(t, "the daemon", func() bool { return f.edge.daemon.Ready() })
	stopped := make(chan error, 1)
	go func() { stopped <- f.edge.daemon.Stop() }()
	refused := func() {
		if a := <-answers; a.err != nil || a.status != http.StatusServiceUnavailable || a.retry == "" {
			t.Errorf("%+v", a)
		}
	}
	for range count {
		refused()
	}
	f.ask(context.Background(), t, "later", answers)
	refused()
	release()
	if a := <-answers; a.id != "first" || a.status != http.StatusOK {
		t.Errorf("%+v", a)
	}
	if seen := len(f.worker.Seen()); seen != 1 {
		t.Errorf("%d were run", seen)
	}
	for _, end := range []chan error{stopped, ran} {
		if err := <-end; err != nil {
			t.Error(err)
		}
	}
}

// TestRefusalsOfTheQueueEndConnections refuses requests of the queue before and while the process
// stops: then their callers are to take other connections.
func TestRefusalsOfTheQueueEndConnections(t *testing.T) {
	f := startQueue(t, someTenant)
	refuse := func() string {
		recorder := httptest.NewRecorder()
		f.call(recorder, patience, patience).refuseQueued(&refusal{reason: reasonStopping, comeback: shortRetry})
		return recorder.Header().Get("Connection")
	}
	if got := refuse(); got != "" {
		t.Errorf("told %q while it serves", got)
	}
	ran := make(chan error, 1)
	go func() { ran <- f.edge.daemon.Run() }()
	await(t, "the daemon", func() bool { return f.edge.daemon.Ready() })
	if err := f.edge.daemon.Stop(); err != nil {
		t.Error(err)
	}
	if got := refuse(); got != "close" {
		t.Errorf("told %q while it stops", got)
	}
	if err := <-ran; err != nil {
		t.Error(err)
	}
}

// TestComebacksOfTheLineAreSpread refuses all that wait, because their time is over or because
// the process stops: they are to come back within a time, not at one moment.
func TestComebacksOfTheLineAreSpread(t *testing.T) {
	const count = 20
	f := startQueue(t, someTenant)
	for _, test := range []struct {
		least  time.Duration
		refuse func(l *poolQueue)
	}{
		{admission.MinRetryAfter, func(l *poolQueue) { l.expire(clock.Now().Add(time.Hour)) }},
		{shortRetry, (*poolQueue).close},
	} {
		l := newPoolQueue(f.edge, "p")
		turns := make([]*waiter, 0, count)
		for range count {
			turn, _ := f.call(httptest.NewRecorder(), patience, patience).newWaiter()
			l.queue.Admit(clock.Now(), &admission.Arrival{Entry: &turn.claim, Candidate: admission.Candidate{LeftToPeers: true}}, 0)
			l.waiting[&turn.claim] = turn
			turns = append(turns, turn)
		}
		test.refuse(l)
		seen := map[time.Duration]bool{}
		for _, turn := range turns {
			a := <-turn.answers
			if a.refusal == nil || a.refusal.comeback < test.least || a.refusal.comeback >= 2*test.least {
				t.Fatalf("%+v", a.refusal)
			}
			seen[a.refusal.comeback] = true
		}
		if len(seen) < count/2 {
			t.Errorf("%s at least: %d comebacks of %d differ", test.least, len(seen), count)
		}
	}
}

// TestGoneCallersGiveTokensBack lets callers go who were granted a token: it is given back
// where nothing may have run.
func TestGoneCallersGiveTokensBack(t *testing.T) {
	f := startQueue(t, someTenant)
	for _, mayHaveRun := range []bool{false, true} {
		c := f.call(httptest.NewRecorder(), patience, patience)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		c.context, c.hasToken, c.mayHaveRun = ctx, true, mayHaveRun
		c.giveUp()
		if c.hasToken != mayHaveRun {
			t.Errorf("may have run %t: the token is kept %t", mayHaveRun, c.hasToken)
		}
	}
}

// TestFrozenProcessSendsNothingLate looks for room as a process does that was suspended until
// the time of all that wait is over, while a slot is free: none goes to the worker.
func TestFrozenProcessSendsNothingLate(t *testing.T) {
	const count = 5
	f := startQueue(t, someTenant)
	release := f.hold(t)
	answers := make(chan answered, count+1)
	f.occupy(context.Background(), t, count, answers)
	f.edge.queueOf("p").serve(clock.Now().Add(time.Hour), "w-0")
	for range count {
		if a := <-answers; a.err != nil || a.status != http.StatusServiceUnavailable || a.retry == "" {
			t.Errorf("%+v", a)
		}
	}
	release()
	<-answers
	if seen := len(f.worker.Seen()); seen != 1 {
		t.Errorf("%d were run", seen)
	}
}

// TestTurnAfterTimeIsGivenBack lets a request have its turn when its time is over by the clock
// that counts suspensions, though its deadline has not come: nothing is sent, and the slot is
// free again.
func TestTurnAfterTimeIsGivenBack(t *testing.T) {
	f := startQueue(t, someTenant)
	recorder := httptest.NewRecorder()
	c := f.call(recorder, patience, patience)
	c.bootDeadline = clock.Now().Add(-time.Millisecond)
	lease := f.edge.workers.Acquire(clock.Now(), &c.demand)
	if got, done := c.goes(lease); got != nil || !done {
		t.Error("the request goes to the worker")
	}
	if recorder.Code != http.StatusServiceUnavailable || f.inFlight() != 0 {
		t.Errorf("status %d, %d in flight", recorder.Code, f.inFlight())
	}
}

// call returns a call whose caller still waits so long, and would have waited so long first.
func (f *queueFixture) call(writer http.ResponseWriter, left, longest time.Duration) *call {
	table := f.edge.Table()
	route := &table.Configuration.Routes[0]
	f.edge.observe(route, func(known *admission.Route) { known.ObserveArrival(longest) })
	request := httptest.NewRequest(http.MethodPost, "/a", nil)
	now := time.Now()
	return newCall(f.edge, request.Context(), table, route, nil, writer, http.NewResponseController(writer), request, nil, now, now.Add(left))
}

// TestDecisionsWithoutQueue asks random questions of a process whose queue is off: the worker
// and the refusal are those that one prediction gives, as they are without a queue.
func TestDecisionsWithoutQueue(t *testing.T) {
	f := startQueue(t)
	const slots, begin = 1, 10 * time.Millisecond
	refused, sent := 0, 0
	hash := loadshare.WorkerHash("w-0")
	proptest.Run(t, "without a line", func(random *rand.Rand) error {
		online := uint16(random.Intn(6))
		f.edge.workers.SetPeerLoads(clock.Now(), []wire.WorkerLoad{{Worker: hash, Online: online, Rate: uint16(random.Intn(400))}}, balance.ScopeAll)
		left := time.Duration(300+random.Intn(6000)) * time.Millisecond
		recorder := httptest.NewRecorder()
		c := f.call(recorder, left, patience/5)
		var longest time.Duration
		f.edge.observe(c.route, func(known *admission.Route) {
			known.ObserveFirstEvent(begin)
			longest = known.MaxTimeLeft()
		})
		wait := time.Duration(0)
		if perSecond := f.edge.workers.Throughput("p", 1); perSecond > 0 {
			wait = time.Duration(float64(time.Second) * slots / perSecond * float64(max(int(online)+1-slots, 0)) / (slots + 1))
		}
		want := admission.Decide(&admission.Request{TimeLeft: left, MaxTimeLeft: longest, Goal: c.route.Goal(), FirstEventTime: begin, Wait: wait}, 0) > 0
		lease, done := c.place()
		if done != want || (lease == nil) != want || (recorder.Code == http.StatusServiceUnavailable) != want {
			return errors.Newf("refused %t, lease %t, with %d online, %s left of %s, %s to wait: want %t", done, lease != nil, online, left, longest, wait, want)
		}
		if lease == nil {
			refused++
		} else {
			sent++
			c.release(lease)
		}
		if len(f.edge.allQueues()) > 0 {
			return errors.New("there is a queue")
		}
		return nil
	})
	if refused == 0 || sent == 0 {
		t.Errorf("%d were refused, %d sent: the questions prove nothing", refused, sent)
	}
}

// TestSlotsOfFailedWorkersAreNotHandedOn ends attempts in all ways: only after an answer that
// shows the worker well its slot goes to the next in the queue at once.
func TestSlotsOfFailedWorkersAreNotHandedOn(t *testing.T) {
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
		if got := freedAt("w", test.result, test.status); got != test.want {
			t.Errorf("%s with %d: %q", test.result, test.status, got)
		}
	}
}

// TestClaimsOfCalls works out the claims of a first and of a returned caller.
func TestClaimsOfCalls(t *testing.T) {
	f := startQueue(t, someTenant)
	const longest = 5 * time.Second
	for _, test := range []struct {
		left     time.Duration
		returned bool
		due      time.Duration
	}{
		{longest, false, 50 * time.Millisecond},
		{longest - 200*time.Millisecond, false, 50 * time.Millisecond},
		{longest - time.Second, true, -950 * time.Millisecond},
		// A shorter deadline than others have.
		{time.Second, false, 50 * time.Millisecond},
	} {
		c := f.call(httptest.NewRecorder(), test.left, longest)
		turn, _ := c.newWaiter()
		claim := &turn.claim
		due := claim.GoalDeadline.Sub(claim.Arrived)
		if claim.Retried != test.returned || (due-test.due).Abs() > 10*time.Millisecond || (claim.Deadline.Sub(claim.Arrived)-test.left).Abs() > 10*time.Millisecond {
			t.Errorf("%s left: %+v, due %s after it came", test.left, claim, due)
		}
	}
}

// TestCallersWithoutGoalStay works out until when callers of a stream wait for its first event:
// without a goal as long as they say.
func TestCallersWithoutGoalStay(t *testing.T) {
	f := startQueue(t, someTenant)
	const left = 30 * time.Second
	for _, test := range []struct{ goal, want time.Duration }{
		{0, left},
		{50 * time.Millisecond, admission.FirstEventTimeout(50*time.Millisecond, 0)},
	} {
		c := f.call(httptest.NewRecorder(), left, left)
		route := *c.route
		route.GoalMillis, route.GapGoalMillis = test.goal.Milliseconds(), 0
		c.route = &route
		claim := c.claim()
		if got := claim.Deadline.Sub(claim.Arrived); (got - test.want).Abs() > 10*time.Millisecond {
			t.Errorf("goal %s: leaves after %s", test.goal, got)
		}
	}
}

// startHub answers reports of loads, and returns where.
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

// TestSlotsAreToldWhileOthersWait gives a slot back where nobody waits: the hub is told at once
// while the pool was full a moment ago, and with the next report otherwise.
func TestSlotsAreToldWhileOthersWait(t *testing.T) {
	l := newPoolQueue(&Edge{}, "p")
	now := time.Unix(1000, 0)
	if l.crowded(now) {
		t.Error("crowded before anything came")
	}
	l.fullAt = now
	for after, want := range map[time.Duration]bool{0: true, crowdedTime - 1: true, crowdedTime: false} {
		if got := l.crowded(now.Add(after)); got != want {
			t.Errorf("%s after a request found the pool full: crowded %t", after, got)
		}
	}
}

// TestLinesShareAWorker lets three edges with a hub ask for many times what a worker runs at
// once: each is run, or told that it was not and when to come back. The worker never has more than the edges' own knowledge
// allows, and no goroutine goes on looking when nothing waits.
func TestLinesShareAWorker(t *testing.T) {
	const edges, slots, count = 3, 2, 60
	worker := startHeldWorker(t)
	worker.pause = 5 * time.Millisecond
	close(worker.end)
	hub := startHub(t)
	var fixtures []*queueFixture
	for number := range edges {
		f := startLineAt(t, worker, "edge-"+strconv.Itoa(number), slots, someTenant)
		f.edge.setHubs([]wire.ProcessAddress{{Address: hub}})
		fixtures = append(fixtures, f)
	}
	answers := make(chan answered, count)
	for number := range count {
		fixtures[number%edges].ask(context.Background(), t, strconv.Itoa(number), answers)
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
	t.Logf("%d of %d were run, %d at once at a worker of %d slots", len(ran), count, worker.most, slots)
	if worker.most > edges*slots || len(worker.seen) != len(ran) {
		t.Errorf("%d at once, %d in all", worker.most, len(worker.seen))
	}
	for _, id := range worker.seen {
		if !ran[id] {
			t.Errorf("%s was refused, and run", id)
		}
	}
	worker.mutex.Unlock()
	for _, f := range fixtures {
		known := f.edge.queueOf("p")
		await(t, "the end of the look", func() bool {
			known.mutex.Lock()
			defer known.mutex.Unlock()
			return !known.looking && known.queue.Len() == 0
		})
	}
}
