package edge

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/emulator"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/rpc/rpctest"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

// lateCoordinator rejects watches until it is elected, and sends workers once it has listed them.
type lateCoordinator struct {
	address         string
	elected, listed atomic.Bool
}

func startLateCoordinator(tb testing.TB, route routetable.Route, workers []*emulator.HostedWorker) *lateCoordinator {
	tb.Helper()
	configuration := &routetable.Configuration{Version: 1, Routes: []routetable.Route{route}, Pools: []routetable.Pool{{Name: "p"}}}
	document, err := configuration.Encode()
	if err != nil {
		tb.Fatal(err)
	}
	var rows []wire.PoolWorker
	for _, worker := range workers {
		rows = append(rows, wire.PoolWorker{ID: worker.ID, Pool: "p", Address: worker.Address(), Slots: worker.Slots})
	}
	c := &lateCoordinator{}
	mux := rpctest.NewMux()
	rpc.Handle(mux, wire.MethodWatch, func(_ context.Context, request *wire.WatchRequest) (msgp.Marshaler, error) {
		if !c.elected.Load() {
			return nil, failure.New(failure.NotRun, "ask the leader", "no leader is elected")
		}
		response := &wire.WatchResponse{Version: 1, Term: 1, View: 1}
		if request.Version == 0 {
			response.Document = document
			response.Fleet = &wire.FleetView{}
		}
		if c.listed.Load() {
			response.View = 2
			if request.View < 2 {
				response.Fleet = &wire.FleetView{Listed: true, News: workerset.Of(rows).FullUpdate()}
			}
		}
		if response.Fleet == nil {
			time.Sleep(time.Millisecond)
		}
		return response, nil
	})
	server := httptest.NewServer(mux)
	tb.Cleanup(server.Close)
	c.address = server.Listener.Addr().String()
	return c
}

// startUnconfigured runs an edge that stays within its startup period, so that no result depends
// on how long a test takes.
func startUnconfigured(tb testing.TB, seed string) (*httptest.Server, *Edge) {
	tb.Helper()
	e := newEdge(tb, seed)
	e.started = clock.Now().Add(testTimeout)
	e.gate.maxHoldTime = testTimeout
	server := httptest.NewServer(&API{Edge: e})
	tb.Cleanup(server.Close)
	return server, e
}

func awaitHeld(tb testing.TB, e *Edge, want int) {
	tb.Helper()
	waitFor(tb, strconv.Itoa(want)+" requests held", func() bool { count, _ := e.gate.held(); return count == want })
}

// callerResponse is what a caller received.
type callerResponse struct {
	status int
	header http.Header
	body   string
	err    error
}

// sendAll sends count requests concurrently, with ids from 0 on.
func sendAll(ctx context.Context, tb testing.TB, server *httptest.Server, count int) []chan callerResponse {
	tb.Helper()
	var answers []chan callerResponse
	for i := range count {
		answer := make(chan callerResponse, 1)
		answers = append(answers, answer)
		go func() {
			status, header, body, err := send(ctx, tb, server, strconv.Itoa(i), 3, testTimeout)
			answer <- callerResponse{status, header, body, err}
		}()
	}
	return answers
}

// isRejectedWithRetryAfter reports whether a response is a rejection without a run, with a retry
// time.
func isRejectedWithRetryAfter(answer callerResponse) bool {
	return answer.err == nil && answer.status == http.StatusServiceUnavailable && answer.header.Get("Retry-After") != ""
}

// TestHeldUntilConfigured checks that requests sent before any coordinator leads are all answered
// by a worker once configuration and workers are known.
func TestHeldUntilConfigured(t *testing.T) {
	const requests = 20
	workers := startWorkers(t, 3)
	coordinator := startLateCoordinator(t, streamRoute(false, 1), workers)
	server, e := startUnconfigured(t, coordinator.address)
	answers := sendAll(context.Background(), t, server, requests)
	awaitHeld(t, e, requests)
	coordinator.elected.Store(true)
	waitFor(t, "the configuration", func() bool { return e.Table() != nil })
	if e.daemon.Ready() {
		t.Error("ready without workers")
	}
	coordinator.listed.Store(true)
	for i, answer := range answers {
		if got := <-answer; got.err != nil || got.status != http.StatusOK || strings.Count(got.body, "data:") != 3 {
			t.Errorf("request %d: status %d, %v, %q", i, got.status, got.err, got.body)
		}
	}
	if runCount(workers) != requests {
		t.Errorf("%d runs of %d requests", runCount(workers), requests)
	}
	awaitHeld(t, e, 0)
	if _, bytes := e.gate.held(); bytes != 0 {
		t.Errorf("%d bytes are counted as held", bytes)
	}
}

// TestHoldTimeIsLimited checks that an edge without a coordinator rejects held requests, and
// later ones, as not run.
func TestHoldTimeIsLimited(t *testing.T) {
	server, e := startUnconfigured(t, "127.0.0.1:1")
	e.gate.maxHoldTime = maxHoldTime
	for i, answer := range sendAll(context.Background(), t, server, 5) {
		if got := <-answer; !isRejectedWithRetryAfter(got) {
			t.Errorf("request %d: status %d, %v", i, got.status, got.err)
		}
	}
	e.started = clock.Now().Add(-startupPeriod)
	if got := <-sendAll(context.Background(), t, server, 1)[0]; !isRejectedWithRetryAfter(got) {
		t.Errorf("later: status %d, %v", got.status, got.err)
	}
	awaitHeld(t, e, 0)
}

// TestHoldDuration checks how long requests may be held.
func TestHoldDuration(t *testing.T) {
	for _, test := range []struct {
		name            string
		age, left, want time.Duration
	}{
		{"a new process, a caller with much time", 0, time.Minute, maxHoldTime},
		{"a caller with little time", 0, maxHoldTime, maxHoldTime / holdTimeDivisor},
		{"a caller without time", 0, 0, 0},
		{"a startup period that is nearly over", startupPeriod - time.Millisecond, time.Minute, time.Millisecond},
		{"a process that has run for long", time.Hour, time.Minute, startupPeriod - time.Hour},
	} {
		if got := newStartGate().holdDuration(test.age, test.left); got != test.want {
			t.Errorf("%s: %s, want %s", test.name, got, test.want)
		}
	}
}

// TestHeldRequestsAreLimited checks that a request beyond the limit of count or bytes is rejected
// at once, while the others stay held.
func TestHeldRequestsAreLimited(t *testing.T) {
	for name, setLimit := range map[string]func(h *startGate){
		"count": func(g *startGate) { g.maxCount = 2 },
		"bytes": func(g *startGate) { _, bytes := g.held(); g.maxBytes = bytes + 1 },
	} {
		t.Run(name, func(t *testing.T) {
			coordinator := startLateCoordinator(t, streamRoute(false, 1), startWorkers(t, 1))
			server, e := startUnconfigured(t, coordinator.address)
			answers := sendAll(context.Background(), t, server, 2)
			awaitHeld(t, e, 2)
			setLimit(e.gate)
			if got := <-sendAll(context.Background(), t, server, 1)[0]; !isRejectedWithRetryAfter(got) {
				t.Errorf("the third: status %d, %v", got.status, got.err)
			}
			coordinator.elected.Store(true)
			coordinator.listed.Store(true)
			for i, answer := range answers {
				if got := <-answer; got.err != nil || got.status != http.StatusOK {
					t.Errorf("request %d: status %d, %v", i, got.status, got.err)
				}
			}
		})
	}
}

// TestHeldCallersDisconnect checks that held requests whose callers disconnect are dropped, and
// that nothing runs.
func TestHeldCallersDisconnect(t *testing.T) {
	workers := startWorkers(t, 1)
	coordinator := startLateCoordinator(t, streamRoute(false, 1), workers)
	server, e := startUnconfigured(t, coordinator.address)
	// Only the disconnect ends the hold.
	ctx, disconnect := context.WithCancel(context.Background())
	answers := sendAll(ctx, t, server, 3)
	awaitHeld(t, e, 3)
	disconnect()
	for _, answer := range answers {
		if got := <-answer; got.err == nil {
			t.Errorf("status %d for a caller that disconnected", got.status)
		}
	}
	awaitHeld(t, e, 0)
	coordinator.elected.Store(true)
	coordinator.listed.Store(true)
	waitFor(t, "the workers", e.daemon.Ready)
	if runCount(workers) != 0 {
		t.Errorf("%d runs", runCount(workers))
	}
}

// TestStopRejectsHeldRequests checks that a stopping edge answers all held requests at once and
// holds no more.
func TestStopRejectsHeldRequests(t *testing.T) {
	server, e := startUnconfigured(t, "127.0.0.1:1")
	answers := sendAll(context.Background(), t, server, 3)
	awaitHeld(t, e, 3)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	e.drain(ctx)
	for i, answer := range answers {
		if got := <-answer; !isRejectedWithRetryAfter(got) {
			t.Errorf("request %d: status %d, %v", i, got.status, got.err)
		}
	}
	if e.gate.admit(0) {
		t.Error("a stopping process admitted a request to hold")
	}
}

// TestLongBodiesAreNotHeld checks that a request whose body is longer than the limit for held
// bodies is rejected, though its body never arrives.
func TestLongBodiesAreNotHeld(t *testing.T) {
	server, e := startUnconfigured(t, "127.0.0.1:1")
	connection, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	head := "POST /a HTTP/1.1\r\nHost: h.example\r\nDeadline-Ms: 60000\r\nContent-Length: " + strconv.Itoa(maxHeldBody+1) + "\r\n\r\n"
	if _, err := io.WriteString(connection, head); err != nil {
		t.Fatal(err)
	}
	answer := make([]byte, len("HTTP/1.1 503"))
	if _, err := io.ReadFull(connection, answer); err != nil || string(answer) != "HTTP/1.1 503" {
		t.Errorf("%q, %v", answer, err)
	}
	awaitHeld(t, e, 0)
}

// TestBodiesWithoutLengthAreHeld checks bodies sent without a length: one within the limit is
// held and run, a longer one rejected.
func TestBodiesWithoutLengthAreHeld(t *testing.T) {
	workers := startWorkers(t, 1)
	coordinator := startLateCoordinator(t, streamRoute(false, 1), workers)
	server, e := startUnconfigured(t, coordinator.address)
	post := func(body io.Reader) (int, error) {
		// net/http knows no length for a reader of an unknown type.
		request, err := http.NewRequest(http.MethodPost, server.URL+"/a", io.MultiReader(body))
		if err != nil {
			return 0, err
		}
		request.Host = "h.example"
		request.Header.Set("Request-Id", "a")
		request.Header.Set("Token-Count", "10,3")
		request.Header.Set("Deadline-Ms", strconv.FormatInt(testTimeout.Milliseconds(), 10))
		response, err := server.Client().Do(request)
		if err != nil {
			return 0, err
		}
		return response.StatusCode, response.Body.Close()
	}
	if status, err := post(strings.NewReader(strings.Repeat("x", maxHeldBody+1))); err != nil || status != http.StatusServiceUnavailable {
		t.Errorf("a long body: status %d, %v", status, err)
	}
	var held sync.WaitGroup
	held.Add(1)
	go func() {
		defer held.Done()
		if status, err := post(strings.NewReader("prompt")); err != nil || status != http.StatusOK {
			t.Errorf("a short body: status %d, %v", status, err)
		}
	}()
	awaitHeld(t, e, 1)
	coordinator.elected.Store(true)
	coordinator.listed.Store(true)
	held.Wait()
	seen := workers[0].Requests()
	if len(seen) != 1 {
		t.Errorf("%d runs", len(seen))
	}
}

// TestJobCallsAreHeld checks that calls on jobs made before the configuration is known continue
// once it is. They are then rejected for another reason, as no store is known here.
func TestJobCallsAreHeld(t *testing.T) {
	route := streamRoute(false, 1)
	route.Kind = routetable.KindBatch
	coordinator := startLateCoordinator(t, route, nil)
	server, e := startUnconfigured(t, coordinator.address)
	rejections := make(chan string, 2)
	for _, call := range []struct{ method, path, body string }{
		{http.MethodGet, PathJobs + "j/results", ""},
		{http.MethodPost, "/a", `{"items":[{"id":"i","path":"/p"}]}`},
	} {
		go func() {
			request, err := http.NewRequest(call.method, server.URL+call.path, strings.NewReader(call.body))
			if err != nil {
				t.Error(err)
				return
			}
			request.Host = "h.example"
			request.Header.Set("Request-Id", "j")
			response, err := server.Client().Do(request)
			if err != nil {
				rejections <- err.Error()
				return
			}
			body, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			rejections <- string(body)
		}()
	}
	awaitHeld(t, e, 2)
	coordinator.elected.Store(true)
	for range 2 {
		if rejection := <-rejections; strings.Contains(rejection, "no configuration") {
			t.Errorf("rejected as if no configuration were known: %s", rejection)
		}
	}
}
