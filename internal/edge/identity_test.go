package edge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/emulator"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/placement"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/rpc/rpctest"
	"github.com/sedgemast/sedgemast/internal/storeclient"
	"github.com/sedgemast/sedgemast/internal/tenancy"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

// tenantFleet is an edge with tenants, a fake coordinator whose configuration may change, and a
// fake store that is the hub and records the names of jobs.
type tenantFleet struct {
	server  *httptest.Server
	edge    *Edge
	workers []*emulator.HostedWorker

	mutex         sync.Mutex
	configuration *routetable.Configuration
	jobs          map[string]*wire.SubmitBatch
	// tokenRequests counts requests for tokens, and tokensReturned counts the tokens returned.
	// rejectTokens makes the hub reject token requests. unresponsive makes it send no answer.
	tokenRequests, tokensReturned int
	rejectTokens, unresponsive    bool
	// claims holds the claims on capacity, by ticket. overShare makes the hub answer every claim
	// with a standing that says that the tenant is over its share. started and shortages are the
	// last reported counts.
	claims             map[uint64]wire.RoomClaim
	overShare          bool
	started, shortages uint32
}

const (
	keyA, keyB, keyC = "key-of-a", "key-of-b", "key-of-c"
	keyHeader        = "Sedgemast-Key"
	tenantHeader     = "Sedgemast-Tenant"
)

func tenant(name tenancy.Name, rate float64, keys ...string) routetable.Tenant {
	t := routetable.Tenant{Name: name, RatePerSecond: rate, Burst: rate}
	for _, key := range keys {
		t.KeyHashes = append(t.KeyHashes, tenancy.HashKey(key))
	}
	return t
}

func startTenants(t *testing.T) *tenantFleet {
	t.Helper()
	online := streamRoute(true, 2)
	open := online
	open.Name, open.Host, open.Public = "open", "open.example", true
	jobs := online
	jobs.Name, jobs.Host, jobs.Kind, jobs.MaxQueuedTokens = "jobs", "jobs.example", routetable.KindBatch, 100
	f := &tenantFleet{workers: startWorkers(t, 2), jobs: map[string]*wire.SubmitBatch{}, claims: map[uint64]wire.RoomClaim{}, configuration: &routetable.Configuration{
		Version: 1, Routes: []routetable.Route{online, open, jobs}, Pools: []routetable.Pool{{Name: "p"}},
		Tenants: []routetable.Tenant{tenant("a", 0, keyA), tenant("b", 5, keyB)},
	}}
	if err := f.configuration.Check(); err != nil {
		t.Fatal(err)
	}
	store := f.startStore(t)
	f.edge = newEdge(t, f.startCoordinator(t, store))
	for end := time.Now().Add(testTimeout); !f.edge.daemon.Ready(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the edge did not become ready")
		}
	}
	f.server = httptest.NewServer(&API{Edge: f.edge})
	t.Cleanup(f.server.Close)
	return f
}

// startStore starts the fake store and returns its address.
func (f *tenantFleet) startStore(t *testing.T) string {
	mux := rpctest.NewMux()
	known := func(name string) error {
		if f.jobs[name] == nil {
			return failure.New(failure.NotFound, "check the id", "there is no job %q", name)
		}
		return nil
	}
	rpc.Handle(mux, storeclient.MethodSubmit, func(_ context.Context, job *wire.SubmitBatch) (msgp.Marshaler, error) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.jobs[job.ID] = job
		return &wire.BatchResult{}, nil
	})
	rpc.Handle(mux, storeclient.MethodRead, func(_ context.Context, request *wire.BatchReadRequest) (msgp.Marshaler, error) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		return &wire.BatchReadResponse{Total: 1}, known(request.ID)
	})
	rpc.Handle(mux, storeclient.MethodBody, func(_ context.Context, request *wire.ItemBodyRequest) (msgp.Marshaler, error) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		return &wire.ItemBody{Body: []byte("body")}, known(request.Job)
	})
	rpc.Handle(mux, storeclient.MethodEnd, func(_ context.Context, request *wire.BatchName) (msgp.Marshaler, error) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		return &wire.BatchResult{}, known(request.ID)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = loadshare.Serve(ctx, server.Listener.Addr().String(), f.answer) }()
	return server.Listener.Addr().String()
}

func (f *tenantFleet) answer(report *wire.LoadReport) *wire.LoadReport {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	answer := &wire.LoadReport{}
	for _, question := range report.Tokens {
		if question.Back {
			f.tokensReturned++
			continue
		}
		f.tokenRequests++
		answer.Verdicts = append(answer.Verdicts, wire.TokenVerdict{Ticket: question.Ticket, Granted: !f.rejectTokens, RetryMillis: 700})
	}
	f.started, f.shortages = report.Begun, report.Short
	for _, claim := range report.Claims {
		f.claims[claim.Ticket] = claim
		if f.overShare {
			answer.Standings = append(answer.Standings, wire.RoomStanding{Ticket: claim.Ticket, Asked: 80, Share: 10, Room: 100, AgeMillis: 7})
		}
	}
	if f.unresponsive || report.Quiet {
		return nil
	}
	return answer
}

func (f *tenantFleet) startCoordinator(t *testing.T, store string) string {
	mux := rpctest.NewMux()
	rpc.Handle(mux, wire.MethodWatch, func(_ context.Context, request *wire.WatchRequest) (msgp.Marshaler, error) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		response := &wire.WatchResponse{Version: f.configuration.Version, Term: 1, View: 1}
		if request.Version != f.configuration.Version {
			document, err := f.configuration.Encode()
			if err != nil {
				return nil, err
			}
			response.Document = document
		}
		if request.View != 1 {
			var workers []wire.PoolWorker
			for _, worker := range f.workers {
				workers = append(workers, wire.PoolWorker{ID: worker.ID, Pool: "p", Address: worker.Address(), Slots: worker.Slots})
			}
			response.Fleet = &wire.FleetView{Listed: true, News: workerset.Of(workers).FullUpdate(), Stores: []wire.ProcessAddress{{Address: store}}, Initial: make([][]wire.Replica, placement.MaxGroups), Edges: 1}
		}
		if response.Document == nil && response.Fleet == nil {
			time.Sleep(time.Millisecond)
		}
		return response, nil
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// call sends a request with keys and returns the status and Retry-After.
func (f *tenantFleet) call(t *testing.T, method, host, path, body string, keys ...string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, f.server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = host
	request.Header.Set("Request-Id", "j")
	request.Header.Set("Token-Count", "10,3")
	request.Header.Set(tenantHeader, "forged")
	request.Header[keyHeader] = keys
	response, err := f.server.Client().Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	return response.StatusCode, response.Header.Get("Retry-After")
}

// requests returns all requests that the workers have run.
func (f *tenantFleet) requests() []emulator.HostedRequest {
	var seen []emulator.HostedRequest
	for _, worker := range f.workers {
		seen = append(seen, worker.Requests()...)
	}
	return seen
}

func TestKeyIdentifiesTenant(t *testing.T) {
	f := startTenants(t)
	ran := 0
	for _, test := range []struct {
		name   string
		host   string
		keys   []string
		status int
		tenant string
	}{
		{"a key", "h.example", []string{keyA}, http.StatusOK, "a"},
		{"no key", "h.example", nil, http.StatusUnauthorized, ""},
		{"an empty key", "h.example", []string{""}, http.StatusUnauthorized, ""},
		{"an unknown key", "h.example", []string{keyC}, http.StatusUnauthorized, ""},
		{"two keys", "h.example", []string{keyA, keyB}, http.StatusUnauthorized, ""},
		{"a key with a suffix", "h.example", []string{keyA + "x"}, http.StatusUnauthorized, ""},
		{"a public route", "open.example", nil, http.StatusOK, ""},
		{"a public route with a key", "open.example", []string{keyB}, http.StatusOK, "b"},
		{"no route", "none.example", []string{keyA}, http.StatusNotFound, ""},
	} {
		status, _ := f.call(t, http.MethodPost, test.host, "/x", "prompt", test.keys...)
		if status != test.status {
			t.Errorf("%s: status %d, want %d", test.name, status, test.status)
		}
		if status == http.StatusOK {
			ran++
		}
		seen := f.requests()
		if len(seen) != ran {
			t.Fatalf("%s: %d requests ran, want %d", test.name, len(seen), ran)
		}
		tenants := map[string]bool{}
		for i := range seen {
			if header := seen[i].Header; header.Get(keyHeader) != "" || header.Get(tenantHeader) == "forged" {
				t.Errorf("%s: a worker got %v", test.name, header)
			}
			tenants[seen[i].Header.Get(tenantHeader)] = true
		}
		if status == http.StatusOK && !tenants[test.tenant] {
			t.Errorf("%s: workers got tenants %v, want %q", test.name, tenants, test.tenant)
		}
	}
}

// TestSecondAttemptKeepsTheTenant checks that the second attempt, after a first one that failed,
// also carries the tenant's name and no key.
func TestSecondAttemptKeepsTheTenant(t *testing.T) {
	f := startTenants(t)
	first := make(chan struct{}, 1)
	first <- struct{}{}
	for _, worker := range f.workers {
		worker.InjectFaults(func(*emulator.HostedRequest) emulator.HostedFault {
			select {
			case <-first:
				return emulator.HostedFault{Status: http.StatusInternalServerError}
			default:
				return emulator.HostedFault{}
			}
		})
	}
	if status, _ := f.call(t, http.MethodPost, "h.example", "/x", "prompt", keyA); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	seen := f.requests()
	for i := range seen {
		if seen[i].Header.Get(tenantHeader) != "a" || seen[i].Header.Get(keyHeader) != "" {
			t.Errorf("run %d got %v", i, seen[i].Header)
		}
	}
	if len(seen) != 2 {
		t.Errorf("%d runs", len(seen))
	}
}

// TestRemovedKeyIsRejected checks that a removed key is rejected once the edge has the new
// configuration, and that an unknown key is answered as not run while no coordinator answers.
func TestRemovedKeyIsRejected(t *testing.T) {
	f := startTenants(t)
	f.mutex.Lock()
	changed := *f.configuration
	changed.Version, changed.Tenants = 2, []routetable.Tenant{tenant("a", 0, keyC)}
	f.configuration = &changed
	f.mutex.Unlock()
	waitFor(t, "the new configuration", func() bool { return f.edge.Table().Configuration.Version == 2 })
	for key, want := range map[string]int{keyA: http.StatusUnauthorized, keyB: http.StatusUnauthorized, keyC: http.StatusOK} {
		if status, _ := f.call(t, http.MethodPost, "h.example", "/x", "prompt", key); status != want {
			t.Errorf("%s: status %d, want %d", key, status, want)
		}
	}
	request := httptest.NewRequest(http.MethodPost, "/x", nil)
	request.Header.Set(keyHeader, "added elsewhere")
	late := f.edge.watcher.Current().LeaderSeenAt.Add(time.Minute)
	if _, err := f.edge.identify(late, f.edge.Table(), false, request); !failure.Is(err, failure.NotRun) {
		t.Errorf("a key that may have been added meanwhile: %v", err)
	}
	// The job of a new tenant must neither be denied nor taken for one without an owner.
	for at, want := range map[time.Time]bool{late: true, f.edge.watcher.Current().LeaderSeenAt: false} {
		if err := f.edge.checkNewKey(at, f.edge.Table(), request); (err != nil) != want {
			t.Errorf("a job with a key that may have been added meanwhile: %v", err)
		}
	}
}

// TestJobsHaveAnOwner checks that callers access only their own jobs, also where two tenants use
// the same job id.
func TestJobsHaveAnOwner(t *testing.T) {
	f := startTenants(t)
	job := `{"items":[{"id":"i","path":"/x","headers":{"Sedgemast-Key":"k"},"tokens":3}]}`
	for key, want := range map[string]int{keyA: http.StatusAccepted, keyB: http.StatusAccepted, keyC: http.StatusUnauthorized, "": http.StatusUnauthorized} {
		if status, _ := f.call(t, http.MethodPost, "jobs.example", "/x", job, key); status != want {
			t.Errorf("submitted with %q: status %d", key, status)
		}
	}
	f.mutex.Lock()
	if len(f.jobs) != 2 || f.jobs[tenancy.ScopedName("a", "j")].Owner != "a" || f.jobs[tenancy.ScopedName("b", "j")].Owner != "b" {
		t.Errorf("stored jobs: %v", f.jobs)
	}
	delete(f.jobs, tenancy.ScopedName("b", "j"))
	f.jobs["old"] = &wire.SubmitBatch{}
	f.mutex.Unlock()
	for _, call := range []struct{ method, path string }{
		{http.MethodGet, "/results"}, {http.MethodGet, "/items/i"}, {http.MethodDelete, ""},
	} {
		for _, test := range []struct {
			key, id string
			want    int
		}{
			{keyA, "j", http.StatusOK},
			{keyB, "j", http.StatusNotFound},
			{keyB, "a%1fj", http.StatusNotFound},
			{keyC, "j", http.StatusUnauthorized},
			{"", "j", http.StatusUnauthorized},
			{keyA, "old", http.StatusOK},
		} {
			if status, _ := f.call(t, call.method, "jobs.example", PathJobs+test.id+call.path, "", test.key); status != test.want {
				t.Errorf("%s %s of %q with %q: status %d, want %d", call.method, call.path, test.id, test.key, status, test.want)
			}
		}
	}
}

// TestTokensAreRequestedFromHub checks a hub that grants tokens, one that rejects requests for them
// and one that does not answer. No token is requested for a tenant without a limit. A rejected
// request reaches no worker and gets Retry-After. A request that no worker ran returns its token.
func TestTokensAreRequestedFromHub(t *testing.T) {
	f := startTenants(t)
	setHub := func(rejectTokens, unresponsive bool) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.rejectTokens, f.unresponsive = rejectTokens, unresponsive
	}
	counts := func() (int, int) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		return f.tokenRequests, f.tokensReturned
	}
	if status, _ := f.call(t, http.MethodPost, "h.example", "/x", "prompt", keyA); status != http.StatusOK {
		t.Fatalf("status %d without a limit", status)
	}
	if requested, _ := counts(); requested != 0 {
		t.Errorf("%d token requests for a tenant without a limit", requested)
	}
	if status, _ := f.call(t, http.MethodPost, "h.example", "/x", "prompt", keyB); status != http.StatusOK {
		t.Fatalf("status %d within the limit", status)
	}
	if requested, returned := counts(); requested != 1 || returned != 0 {
		t.Errorf("%d tokens requested, %d returned", requested, returned)
	}
	ran := len(f.requests())
	setHub(true, false)
	if status, retry := f.call(t, http.MethodPost, "h.example", "/x", "prompt", keyB); status != http.StatusTooManyRequests || retry != "0.700" {
		t.Errorf("beyond the limit: status %d, Retry-After %q", status, retry)
	}
	if len(f.requests()) != ran {
		t.Error("a request beyond the limit ran")
	}
	setHub(false, false)
	injectFaults(f.workers, emulator.HostedFault{NotRun: true})
	if status, _ := f.call(t, http.MethodPost, "h.example", "/x", "prompt", keyB); status != http.StatusServiceUnavailable {
		t.Errorf("status %d where all workers reject the request", status)
	}
	waitFor(t, "the returned token", func() bool { _, returned := counts(); return returned == 1 })
	injectFaults(f.workers, emulator.HostedFault{})
	setHub(false, true)
	statuses := map[int]int{}
	for range 20 {
		status, _ := f.call(t, http.MethodPost, "h.example", "/x", "prompt", keyB)
		statuses[status]++
	}
	if statuses[http.StatusOK] == 0 || statuses[http.StatusOK] > 6 || statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable] != 20 {
		t.Errorf("statuses with a reserve of about 4.6 and no hub: %v", statuses)
	}
}

// BenchmarkIdentify looks up the tenant of a key among a thousand tenants.
func BenchmarkIdentify(b *testing.B) {
	configuration := &routetable.Configuration{}
	for i := range 1000 {
		configuration.Tenants = append(configuration.Tenants, tenant(tenancy.Name("t"+strings.Repeat("x", i%9)+string(rune('a'+i%26))), 1, keyA+string(rune(i))))
	}
	e := &Edge{headerNames: testHeaderNames()}
	table := routetable.NewTable(configuration)
	request := httptest.NewRequest(http.MethodPost, "/x", nil)
	request.Header.Set(keyHeader, keyA+string(rune(500)))
	b.ReportAllocs()
	for range b.N {
		if _, err := e.identify(time.Time{}, table, false, request); err != nil {
			b.Fatal(err)
		}
	}
}
