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

// lateCoordinator refuses watches until it is elected, and tells of workers once it has
// listed them.
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
			return nil, failure.New(failure.NotRun, "ask the leader", "nobody leads")
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

// startNew runs an edge that has just begun, and goes on to, so that nothing depends on the
// time that a test takes.
func startNew(tb testing.TB, seed string) (*httptest.Server, *Edge) {
	tb.Helper()
	e := newEdge(tb, seed)
	e.started = clock.Now().Add(patience)
	e.gate.longest = patience
	server := httptest.NewServer(&API{Edge: e})
	tb.Cleanup(server.Close)
	return server, e
}

func awaitHeld(tb testing.TB, e *Edge, want int) {
	tb.Helper()
	await(tb, strconv.Itoa(want)+" requests held", func() bool { count, _ := e.gate.held(); return count == want })
}

// answerOf is what a caller got.
type answerOf struct {
	status int
	header http.Header
	body   string
	err    error
}

// sendAll sends requests of ids from 0 on at the same time.
func sendAll(ctx context.Context, tb testing.TB, server *httptest.Server, count int) []chan answerOf {
	tb.Helper()
	var answers []chan answerOf
	for i := range count {
		answer := make(chan answerOf, 1)
		answers = append(answers, answer)
		go func() {
			status, header, body, err := send(ctx, tb, server, strconv.Itoa(i), 3, patience)
			answer <- answerOf{status, header, body, err}
		}()
	}
	return answers
}

// refusedTruly reports whether an answer says that the request was not run and when to come
// back.
func refusedTruly(answer answerOf) bool {
	return answer.err == nil && answer.status == http.StatusServiceUnavailable && answer.header.Get("Retry-After") != ""
}

// TestHeldUntilConfigured sends requests to an edge before any coordinator leads: each is
// answered by a worker once configuration and workers are known.
func TestHeldUntilConfigured(t *testing.T) {
	const requests = 20
	workers := startWorkers(t, 3)
	coordinator := startLateCoordinator(t, stream(false, 1), workers)
	server, e := startNew(t, coordinator.address)
	answers := sendAll(context.Background(), t, server, requests)
	awaitHeld(t, e, requests)
	coordinator.elected.Store(true)
	await(t, "the configuration", func() bool { return e.Table() != nil })
	if e.daemon.Ready() {
		t.Error("ready without workers")
	}
	coordinator.listed.Store(true)
	for i, answer := range answers {
		if got := <-answer; got.err != nil || got.status != http.StatusOK || strings.Count(got.body, "data:") != 3 {
			t.Errorf("request %d: status %d, %v, %q", i, got.status, got.err, got.body)
		}
	}
	if runs(workers) != requests {
		t.Errorf("%d runs of %d requests", runs(workers), requests)
	}
	awaitHeld(t, e, 0)
	if _, bytes := e.gate.held(); bytes != 0 {
		t.Errorf("%d bytes are counted as held", bytes)
	}
}

// TestHeldOnlyForAWhile leaves the edge without a coordinator: what was held is answered
// truly, and what comes later is too.
func TestHeldOnlyForAWhile(t *testing.T) {
	server, e := startNew(t, "127.0.0.1:1")
	e.gate.longest = holdTime
	for i, answer := range sendAll(context.Background(), t, server, 5) {
		if got := <-answer; !refusedTruly(got) {
			t.Errorf("request %d: status %d, %v", i, got.status, got.err)
		}
	}
	e.started = clock.Now().Add(-startTime)
	if got := <-sendAll(context.Background(), t, server, 1)[0]; !refusedTruly(got) {
		t.Errorf("later: status %d, %v", got.status, got.err)
	}
	awaitHeld(t, e, 0)
}

// TestHoldFor lists for how long requests may be held.
func TestHoldFor(t *testing.T) {
	for _, test := range []struct {
		name            string
		age, left, want time.Duration
	}{
		{"a new process, a patient caller", 0, time.Minute, holdTime},
		{"a caller with little time", 0, holdTime, holdTime / holdShare},
		{"a caller without time", 0, 0, 0},
		{"a start that is nearly over", startTime - time.Millisecond, time.Minute, time.Millisecond},
		{"a process that has been here for long", time.Hour, time.Minute, startTime - time.Hour},
	} {
		if got := newStartGate().holdFor(test.age, test.left); got != test.want {
			t.Errorf("%s: %s, want %s", test.name, got, test.want)
		}
	}
}

// TestHeldAreBounded fills the room, by count and by bytes: one more is refused at once,
// while the others are held.
func TestHeldAreBounded(t *testing.T) {
	for name, bound := range map[string]func(h *startGate){
		"count": func(h *startGate) { h.maxCount = 2 },
		"bytes": func(h *startGate) { _, bytes := h.held(); h.maxBytes = bytes + 1 },
	} {
		t.Run(name, func(t *testing.T) {
			coordinator := startLateCoordinator(t, stream(false, 1), startWorkers(t, 1))
			server, e := startNew(t, coordinator.address)
			answers := sendAll(context.Background(), t, server, 2)
			awaitHeld(t, e, 2)
			bound(e.gate)
			if got := <-sendAll(context.Background(), t, server, 1)[0]; !refusedTruly(got) {
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

// TestHeldCallersMayLeave ends the callers' requests: they are forgotten, and nothing runs.
func TestHeldCallersMayLeave(t *testing.T) {
	workers := startWorkers(t, 1)
	coordinator := startLateCoordinator(t, stream(false, 1), workers)
	server, e := startNew(t, coordinator.address)
	// Nothing but their leaving ends the hold.
	ctx, leave := context.WithCancel(context.Background())
	answers := sendAll(ctx, t, server, 3)
	awaitHeld(t, e, 3)
	leave()
	for _, answer := range answers {
		if got := <-answer; got.err == nil {
			t.Errorf("status %d for a caller that has gone", got.status)
		}
	}
	awaitHeld(t, e, 0)
	coordinator.elected.Store(true)
	coordinator.listed.Store(true)
	await(t, "the workers", e.daemon.Ready)
	if runs(workers) != 0 {
		t.Errorf("%d runs", runs(workers))
	}
}

// TestStopAnswersWhatIsHeld stops an edge that holds requests: all are answered at once, and
// no further one is held.
func TestStopAnswersWhatIsHeld(t *testing.T) {
	server, e := startNew(t, "127.0.0.1:1")
	answers := sendAll(context.Background(), t, server, 3)
	awaitHeld(t, e, 3)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	e.drain(ctx)
	for i, answer := range answers {
		if got := <-answer; !refusedTruly(got) {
			t.Errorf("request %d: status %d, %v", i, got.status, got.err)
		}
	}
	if e.gate.admit(0) {
		t.Error("a stopping process takes a request to hold")
	}
}

// TestLongBodiesAreNotHeld sends a request whose body is longer than what may be read
// before a bound is known: it is refused though its body never comes.
func TestLongBodiesAreNotHeld(t *testing.T) {
	server, e := startNew(t, "127.0.0.1:1")
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

// TestBodiesWithoutLengthAreHeld sends bodies whose length is not told: one within the bound
// is held and run, one beyond it refused.
func TestBodiesWithoutLengthAreHeld(t *testing.T) {
	workers := startWorkers(t, 1)
	coordinator := startLateCoordinator(t, stream(false, 1), workers)
	server, e := startNew(t, coordinator.address)
	post := func(body io.Reader) (int, error) {
		// A reader of a type unknown to net/http has no length.
		request, err := http.NewRequest(http.MethodPost, server.URL+"/a", io.MultiReader(body))
		if err != nil {
			return 0, err
		}
		request.Host = "h.example"
		request.Header.Set("Request-Id", "a")
		request.Header.Set("Token-Count", "10,3")
		request.Header.Set("Deadline-Ms", strconv.FormatInt(patience.Milliseconds(), 10))
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

// TestJobCallsAreHeld asks for results, and hands in a job, before the configuration is
// known: both go on once it is. Here no store is known, which is another refusal.
func TestJobCallsAreHeld(t *testing.T) {
	route := stream(false, 1)
	route.Kind = routetable.KindBatch
	coordinator := startLateCoordinator(t, route, nil)
	server, e := startNew(t, coordinator.address)
	refusals := make(chan string, 2)
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
				refusals <- err.Error()
				return
			}
			body, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			refusals <- string(body)
		}()
	}
	awaitHeld(t, e, 2)
	coordinator.elected.Store(true)
	for range 2 {
		if refusal := <-refusals; strings.Contains(refusal, "no configuration") {
			t.Errorf("refused as if nothing were known: %s", refusal)
		}
	}
}
