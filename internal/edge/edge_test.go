package edge

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/daemon"
	"github.com/sedgemast/sedgemast/internal/emulator"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/incarnation"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/rpc/rpctest"
	"github.com/sedgemast/sedgemast/internal/settings"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

// testTimeout limits every wait of a test. No result depends on it.
const testTimeout = 30 * time.Second

// testHeaderNames returns the header names that the emulated workers use.
func testHeaderNames() *httpheader.Names {
	names := httpheader.Default()
	names.RequestID, names.Deadline, names.ExpectWorker = "Request-Id", "Deadline-Ms", "Expect-Instance"
	names.NotRun, names.Tokens, names.WorkerID = "Not-Run", "Token-Count", "Instance"
	return names
}

// startCoordinator starts a coordinator that answers watches with a configuration and the
// workers.
func startCoordinator(tb testing.TB, configuration *routetable.Configuration, workers []wire.PoolWorker) string {
	tb.Helper()
	document, err := configuration.Encode()
	if err != nil {
		tb.Fatal(err)
	}
	mux := rpctest.NewMux()
	rpc.Handle(mux, wire.MethodWatch, func(ctx context.Context, request *wire.WatchRequest) (msgp.Marshaler, error) {
		response := &wire.WatchResponse{Version: configuration.Version, Term: 1, View: 1}
		if request.Version == configuration.Version && request.View == 1 {
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(request.WaitMillis) * time.Millisecond):
			}
			return response, nil
		}
		response.Document = document
		response.Fleet = &wire.FleetView{Listed: true, News: workerset.Of(workers).FullUpdate()}
		return response, nil
	})
	server := httptest.NewServer(mux)
	tb.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// startEdge runs an edge with the workers, each alone in its pool or all in pool p.
func startEdge(tb testing.TB, route routetable.Route, workers ...*emulator.HostedWorker) (*httptest.Server, *Edge) {
	tb.Helper()
	configuration := &routetable.Configuration{Version: 1, Routes: []routetable.Route{route}}
	var listed []wire.PoolWorker
	for i, worker := range workers {
		pool := route.Parts[min(i, len(route.Parts)-1)].Pool
		listed = append(listed, wire.PoolWorker{ID: incarnation.Name(worker.ID, 0, incarnation.Version(worker.Version)), Pool: pool, Address: worker.Address(), Slots: worker.Slots})
	}
	for _, part := range route.Parts {
		configuration.Pools = append(configuration.Pools, routetable.Pool{Name: part.Pool})
	}
	if err := configuration.Check(); err != nil {
		tb.Fatal(err)
	}
	e := newEdge(tb, startCoordinator(tb, configuration, listed))
	for end := time.Now().Add(testTimeout); !e.daemon.Ready(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			tb.Fatal("the edge did not become ready")
		}
	}
	server := httptest.NewServer(e)
	tb.Cleanup(server.Close)
	return server, e
}

func newEdge(tb testing.TB, seed string) *Edge {
	tb.Helper()
	d, err := daemon.New(daemon.Options{Role: "edge", Name: "edge-1", Listen: "127.0.0.1:0", Embedded: true})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = d.Kill() })
	config := settings.DefaultEdge()
	config.Seeds = []string{seed}
	return New(d, config, testHeaderNames())
}

func startWorkers(tb testing.TB, count int) []*emulator.HostedWorker {
	tb.Helper()
	var workers []*emulator.HostedWorker
	for i := 0; i < count; i++ {
		worker := emulator.NewHostedWorker(fmt.Sprintf("w-%d", i), 8, 0)
		tb.Cleanup(worker.Close)
		workers = append(workers, worker)
	}
	return workers
}

func streamRoute(resumable bool, attempts int) routetable.Route {
	return routetable.Route{
		Name: "r", Host: "h.example", PathPrefix: "/", Kind: routetable.KindStream, Resumable: resumable,
		TimeoutMillis: testTimeout.Milliseconds(), GoalMillis: 50, GapGoalMillis: 50, MaxAttempts: attempts,
		Parts: []routetable.PoolWeight{{Pool: "p", Weight: 1}},
	}
}

// send sends a request for the given number of events and returns its status, headers, body and
// error.
func send(ctx context.Context, tb testing.TB, server *httptest.Server, id string, events int, deadline time.Duration) (int, http.Header, string, error) {
	tb.Helper()
	return sendAs(ctx, tb, server, http.MethodPost, id, events, deadline)
}

// sendAs is send with the given method.
func sendAs(ctx context.Context, tb testing.TB, server *httptest.Server, method, id string, events int, deadline time.Duration) (int, http.Header, string, error) {
	tb.Helper()
	request, err := http.NewRequestWithContext(ctx, method, server.URL+"/a", strings.NewReader("prompt"))
	if err != nil {
		tb.Fatal(err)
	}
	request.Host = "h.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Token-Count", "10,"+strconv.Itoa(events))
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := server.Client().Do(request)
	if err != nil {
		return 0, nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(body), err
}

func injectFaults(workers []*emulator.HostedWorker, fault emulator.HostedFault) {
	for _, worker := range workers {
		worker.InjectFaults(func(*emulator.HostedRequest) emulator.HostedFault { return fault })
	}
}

func runCount(workers []*emulator.HostedWorker) (count int) {
	for _, worker := range workers {
		count += len(worker.Requests())
	}
	return count
}

// TestAttemptsAreBounded checks that a request whose runs all fail goes to no more workers than
// the route allows, and to only one if it may not run again.
func TestAttemptsAreBounded(t *testing.T) {
	for _, test := range []struct {
		resumable bool
		attempts  int
		want      int
	}{{true, 1, 1}, {true, 2, 2}, {true, 3, 3}, {false, 3, 1}} {
		workers := startWorkers(t, 5)
		server, _ := startEdge(t, streamRoute(test.resumable, test.attempts), workers...)
		injectFaults(workers, emulator.HostedFault{Status: http.StatusInternalServerError})
		status, _, _, err := send(context.Background(), t, server, "a", 3, testTimeout)
		if err != nil || status < http.StatusInternalServerError || runCount(workers) != test.want {
			t.Errorf("%+v: status %d, %v, %d runs", test, status, err, runCount(workers))
		}
	}
}

// TestRejectionReportsNotRun checks that a request which all workers reject is answered as not
// run, with Retry-After.
func TestRejectionReportsNotRun(t *testing.T) {
	workers := startWorkers(t, 3)
	server, _ := startEdge(t, streamRoute(false, 3), workers...)
	injectFaults(workers, emulator.HostedFault{NotRun: true})
	status, header, _, err := send(context.Background(), t, server, "a", 3, testTimeout)
	if err != nil || status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || runCount(workers) != 0 {
		t.Errorf("status %d, Retry-After %q, %v, %d runs", status, header.Get("Retry-After"), err, runCount(workers))
	}
}

// TestUnresponsiveWorkerIsReplaced checks that another worker takes over a resumable stream whose
// first worker hangs, and that the first one sees a disconnect.
func TestUnresponsiveWorkerIsReplaced(t *testing.T) {
	workers := startWorkers(t, 2)
	server, _ := startEdge(t, streamRoute(true, 2), workers...)
	first := make(chan struct{}, 1)
	first <- struct{}{}
	for _, worker := range workers {
		worker.InjectFaults(func(*emulator.HostedRequest) emulator.HostedFault {
			select {
			case <-first:
				return emulator.HostedFault{Hang: true}
			default:
				return emulator.HostedFault{}
			}
		})
	}
	status, _, body, err := send(context.Background(), t, server, "a", 3, testTimeout)
	if err != nil || status != http.StatusOK || strings.Count(body, "data:") != 3 {
		t.Fatalf("status %d, %v: %q", status, err, body)
	}
	waitFor(t, "the disconnect from the unresponsive worker", func() bool { return workers[0].Disconnects()+workers[1].Disconnects() == 1 })
}

// TestDeadlineExceededIsReported checks that a request whose only worker hangs gets its final
// answer at its deadline, and that the run at the worker is ended.
func TestDeadlineExceededIsReported(t *testing.T) {
	workers := startWorkers(t, 1)
	server, _ := startEdge(t, streamRoute(false, 1), workers...)
	injectFaults(workers, emulator.HostedFault{Hang: true})
	status, _, _, err := send(context.Background(), t, server, "a", 3, 200*time.Millisecond)
	if err != nil || status != http.StatusGatewayTimeout {
		t.Errorf("status %d, %v", status, err)
	}
	waitFor(t, "the end of the run", func() bool { return workers[0].Disconnects() == 1 })
}

// TestCallerDisconnects checks that the run at the worker ends when the caller disconnects.
func TestCallerDisconnects(t *testing.T) {
	workers := startWorkers(t, 1)
	server, _ := startEdge(t, streamRoute(false, 1), workers...)
	injectFaults(workers, emulator.HostedFault{Hang: true})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		waitFor(t, "the run", func() bool { return runCount(workers) == 1 })
		cancel()
	}()
	if status, _, _, err := send(ctx, t, server, "a", 3, testTimeout); err == nil {
		t.Errorf("status %d for a caller that disconnected", status)
	}
	waitFor(t, "the end of the run", func() bool { return workers[0].Disconnects() == 1 })
}

// TestPoolsGetTheirWeight checks a split of 90 to 10 between two pools.
func TestPoolsGetTheirWeight(t *testing.T) {
	workers := startWorkers(t, 2)
	route := streamRoute(false, 1)
	route.Parts = []routetable.PoolWeight{{Pool: "p", Weight: 90}, {Pool: "q", Weight: 10}}
	server, _ := startEdge(t, route, workers...)
	for i := 0; i < 100; i++ {
		if status, _, _, err := send(context.Background(), t, server, strconv.Itoa(i), 1, testTimeout); err != nil || status != http.StatusOK {
			t.Fatalf("status %d, %v", status, err)
		}
	}
	if first, second := len(workers[0].Requests()), len(workers[1].Requests()); first != 90 || second != 10 {
		t.Errorf("got %d and %d of 100 requests, want 90 and 10", first, second)
	}
}

// TestRejectsWithoutConfiguration checks that an edge that reaches no coordinator is not ready,
// and rejects requests with Retry-After.
func TestRejectsWithoutConfiguration(t *testing.T) {
	e := newEdge(t, "127.0.0.1:1")
	server := httptest.NewServer(e)
	defer server.Close()
	status, header, _, err := send(context.Background(), t, server, "a", 1, testTimeout)
	if err != nil || status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || e.daemon.Ready() {
		t.Errorf("status %d, Retry-After %q, %v, ready %t", status, header.Get("Retry-After"), err, e.daemon.Ready())
	}
}

// TestDeadWorkersAreSkipped checks that a request reaches the only live worker of a pool whose
// other workers are dead but still listed.
func TestDeadWorkersAreSkipped(t *testing.T) {
	workers := startWorkers(t, 7)
	server, _ := startEdge(t, streamRoute(false, 1), workers...)
	for _, worker := range workers[1:] {
		worker.Close()
	}
	status, _, _, err := send(context.Background(), t, server, "a", 1, testTimeout)
	if err != nil || status != http.StatusOK || len(workers[0].Requests()) != 1 {
		t.Errorf("status %d, %v", status, err)
	}
}

// TestFreezeTimeIsLimited checks that an edge without a coordinator serves for as long as its
// settings allow, and then rejects with a retry time.
func TestFreezeTimeIsLimited(t *testing.T) {
	workers := startWorkers(t, 1)
	server, e := startEdge(t, streamRoute(false, 1), workers...)
	e.settings.FreezeTime = settings.Duration(time.Hour)
	if status, _, _, err := send(context.Background(), t, server, "a", 1, testTimeout); err != nil || status != http.StatusOK {
		t.Fatalf("status %d, %v", status, err)
	}
	now := e.watcher.Current().LeaderSeenAt.Add(time.Hour)
	if err := e.checkFreeze(now); err != nil {
		t.Error(err)
	}
	if err := e.checkFreeze(now.Add(time.Minute)); !failure.Is(err, failure.NotRun) || failure.From(err).RetryAfter == 0 {
		t.Errorf("after the freeze time: %v", err)
	}
	e.settings.FreezeTime = 0
	if err := e.checkFreeze(now.Add(time.Minute)); err != nil {
		t.Errorf("without a freeze time: %v", err)
	}
}

func waitFor(tb testing.TB, what string, holds func() bool) {
	tb.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			tb.Errorf("timed out waiting for %s", what)
			return
		}
	}
}

// BenchmarkRelay relays streams of 100 events through an edge. It reports time, allocations and
// bytes per event; these include the worker and the caller, which run in this process too.
func BenchmarkRelay(b *testing.B) {
	const events = 100
	workers := startWorkers(b, 1)
	server, _ := startEdge(b, streamRoute(false, 1), workers...)
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; i < b.N; i += events {
		if status, _, _, err := send(context.Background(), b, server, strconv.Itoa(i), events, testTimeout); err != nil || status != http.StatusOK {
			b.Fatalf("status %d, %v", status, err)
		}
	}
}
