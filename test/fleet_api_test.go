package test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/coordinator"
	"github.com/sedgemast/sedgemast/internal/edge"
	"github.com/sedgemast/sedgemast/internal/emulator"
	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/workerlist"
)

// nativeFleet is a fleet of an edge, a coordinator and stores that run the product's own program
// with its native interface, not that of the users' platform.
type nativeFleet struct {
	t       *testing.T
	binary  string
	port    int
	workers []*emulator.HostedWorker
}

// Offsets from the first port. Each process has its own IP address.
const (
	operatorPort = 1
	callerPort   = 2
)

func (f *nativeFleet) address(host, port int) string {
	return fmt.Sprintf("127.0.78.%d:%d", host, f.port+port)
}

// start runs a process, which is killed at the end of the test.
func (f *nativeFleet) start(host int, role string, flags ...string) {
	folder := f.t.TempDir()
	log, err := os.Create(filepath.Join(folder, "log"))
	if err != nil {
		f.t.Fatal(err)
	}
	flags = append([]string{role, "--name", fmt.Sprintf("%s-%d", role, host), "--listen", f.address(host, 0), "--seeds", f.address(1, 0)}, flags...)
	if role != "edge" {
		flags = append(flags, "--data-folder", filepath.Join(folder, "data"))
	}
	command := exec.Command(f.binary, flags...)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
		_ = log.Close()
		if text, _ := os.ReadFile(log.Name()); f.t.Failed() {
			f.t.Logf("log of %s %d:\n%s", role, host, text[max(0, len(text)-3000):])
		}
	})
}

func newNativeFleet(t *testing.T) *nativeFleet {
	t.Helper()
	folder := t.TempDir()
	if output, err := exec.Command("go", "build", "-o", folder+"/", "../cmd/sedgemast").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	f := &nativeFleet{t: t, binary: filepath.Join(folder, "sedgemast"), port: freePorts(t)}
	for i := range 2 {
		worker := emulator.NewHostedWorker(fmt.Sprintf("w-%d", i), 8, time.Millisecond)
		worker.HeaderNames = httpheader.Default()
		t.Cleanup(worker.Close)
		f.workers = append(f.workers, worker)
	}
	platform := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		list := &workerlist.List{}
		for _, worker := range f.workers {
			list.Workers = append(list.Workers, workerlist.Worker{ID: worker.Incarnation(), Address: worker.Address(), Zone: "zone-a", Pool: "pool", Slots: 8, Version: worker.Version})
		}
		// A failed write means that the caller disconnected.
		_ = json.NewEncoder(writer).Encode(list)
	}))
	t.Cleanup(platform.Close)
	f.start(1, "coordinator", "--bootstrap", "--operators", f.address(1, operatorPort), "--platform", platform.Listener.Addr().String())
	for host := 11; host <= 13; host++ {
		f.start(host, "store")
	}
	f.start(21, "edge", "--callers", f.address(21, callerPort))
	return f
}

func (f *nativeFleet) call(method, address, target, id, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+address+target, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	request.Host = hostedHost
	request.Header.Set(httpheader.Default().RequestID, id)
	request.Header.Set(httpheader.Default().Tokens, "5,4")
	response, err := hostedClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

func nativeRoutes() *routetable.Configuration {
	parts := []routetable.PoolWeight{{Pool: "pool", Weight: 1}}
	return &routetable.Configuration{
		Version: 3,
		Pools:   []routetable.Pool{{Name: "pool", Slots: 8, MemoryTokens: 100_000}},
		Routes: []routetable.Route{
			{Name: "ask", Host: hostedHost, PathPrefix: "/ask/", Kind: routetable.KindStream, Resumable: true, TimeoutMillis: 20000, GoalMillis: 500, GapGoalMillis: 500, MaxAttempts: 2, Parts: parts},
			{Name: "jobs", Host: hostedHost, PathPrefix: "/jobs/", Kind: routetable.KindBatch, TimeoutMillis: 20000, RunGoalMillis: 20000, RetainMillis: 60000, MaxAttempts: 3, Parts: parts},
		},
	}
}

// TestNativeFleet serves a stream and a job through the native interface and sends invalid input to
// each of its calls.
func TestNativeFleet(t *testing.T) {
	f := newNativeFleet(t)
	operators, callers := f.address(1, operatorPort), f.address(21, callerPort)
	document, err := nativeRoutes().Encode()
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the first configuration", func() bool {
		status, _ := f.call(http.MethodPut, operators, coordinator.PathRoutes, "", string(document))
		return status == http.StatusOK
	})
	if status, text := f.call(http.MethodGet, operators, coordinator.PathRoutes, "", ""); status != http.StatusOK || text != string(document) {
		t.Errorf("reading the configuration back: status %d, %q", status, text)
	}
	eventually(t, "a stream", func() bool {
		status, text := f.call(http.MethodPost, callers, "/ask/a", "r-1", "prompt")
		return status == http.StatusOK && text == events("r-1", 1, 4)
	})
	f.testJob(callers)
	f.testWrongInput(operators, callers)
	f.testQuarantine(operators, callers)
}

// testQuarantine makes workers exit under a request until the quarantine refuses it. The operators'
// list must show the request. Once workers no longer exit under it and an operator has readmitted
// it, it must be served.
func (f *nativeFleet) testQuarantine(operators, callers string) {
	t := f.t
	var fatal atomic.Bool
	fatal.Store(true)
	for _, worker := range f.workers {
		worker.InjectFaults(func(request *emulator.HostedRequest) emulator.HostedFault {
			if request.Body == exitBody && fatal.Load() {
				return emulator.HostedFault{ExitAfter: time.Millisecond, RestartAfter: 20 * time.Millisecond}
			}
			return emulator.HostedFault{}
		})
	}
	list := func() (requests []coordinator.Quarantined) {
		if status, text := f.call(http.MethodGet, operators, coordinator.PathQuarantine, "", ""); status != http.StatusOK || json.Unmarshal([]byte(text), &requests) != nil {
			t.Errorf("listing the quarantine: status %d, %q", status, text)
		}
		return requests
	}
	eventually(t, "the request is refused", func() bool {
		_, _ = f.call(http.MethodPost, callers, "/ask/a", "r-2", exitBody)
		requests := list()
		return len(requests) == 1 && requests[0].Refused && requests[0].Ends >= quarantine.Threshold
	})
	fatal.Store(false)
	path := coordinator.PathQuarantine + "/" + list()[0].Request
	for _, test := range []struct {
		target string
		want   int
	}{{path, http.StatusOK}, {path, http.StatusNotFound}, {coordinator.PathQuarantine + "/x", http.StatusBadRequest}} {
		if status, text := f.call(http.MethodDelete, operators, test.target, "", ""); status != test.want {
			t.Errorf("DELETE %s: %d, want %d: %s", test.target, status, test.want, text)
		}
	}
	eventually(t, "the request is served", func() bool {
		status, text := f.call(http.MethodPost, callers, "/ask/a", "r-3", exitBody)
		return status == http.StatusOK && text == events("r-3", 1, 4)
	})
}

func (f *nativeFleet) testJob(callers string) {
	t := f.t
	job := edge.JobDocument{Items: []edge.JobItem{
		{ID: "i-1", Path: "/jobs/x", Headers: edge.ItemHeaders{{Name: httpheader.Default().Tokens, Value: "5,3"}}, Body: []byte("one"), Tokens: 8},
		{ID: "i-2", Path: "/jobs/x", Headers: edge.ItemHeaders{{Name: httpheader.Default().Tokens, Value: "5,2"}}, Body: []byte("two"), Tokens: 7},
	}}
	body, err := json.Marshal(job)
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the job is accepted", func() bool {
		status, _ := f.call(http.MethodPost, callers, "/jobs/", "j-1", string(body))
		return status == http.StatusAccepted
	})
	page := edge.JobPage{}
	eventually(t, "both results", func() bool {
		status, text := f.call(http.MethodGet, callers, edge.PathJobs+"j-1/results?since=0&wait_ms=500", "", "")
		page = edge.JobPage{}
		return status == http.StatusOK && json.Unmarshal([]byte(text), &page) == nil && len(page.Results) == 2
	})
	if page.Total != 2 || page.Next != 2 {
		t.Errorf("%+v", page)
	}
	want := map[string]int{"i-1": 3, "i-2": 2}
	for _, result := range page.Results {
		if result.State != "completed" || !isItemText(result.ID, result.Text, want[result.ID]) {
			t.Errorf("%+v", result)
		}
	}
	if status, _ := f.call(http.MethodDelete, callers, edge.PathJobs+"j-1", "", ""); status != http.StatusOK {
		t.Errorf("ending the job: status %d, want 200", status)
	}
}

func (f *nativeFleet) testWrongInput(operators, callers string) {
	for _, test := range []struct {
		method, address, target, body string
		want                          int
	}{
		{http.MethodPut, operators, coordinator.PathRoutes, `{"version":`, http.StatusBadRequest},
		{http.MethodPut, operators, coordinator.PathRoutes, `{"version":9,"routes":[{"name":"r"}]}`, http.StatusBadRequest},
		{http.MethodDelete, operators, coordinator.PathRoutes, "", http.StatusNotFound},
		{http.MethodPost, operators, coordinator.PathStores + "nobody/retirement", "", http.StatusNotFound},
		{http.MethodPost, operators, coordinator.PathStores + "store-11/retirement", "", http.StatusConflict},
		{http.MethodGet, operators, coordinator.PathStores + "store-11/retirement", "", http.StatusNotFound},
		{http.MethodPost, callers, "/jobs/", "{", http.StatusBadRequest},
		{http.MethodPost, callers, "/jobs/", `{"items":[]}`, http.StatusBadRequest},
		{http.MethodGet, callers, "/nowhere/", "", http.StatusNotFound},
		{http.MethodGet, callers, edge.PathJobs + "nothing/results", "", http.StatusNotFound},
		{http.MethodGet, callers, edge.PathJobs + "j-1/results?since=-1", "", http.StatusBadRequest},
		{http.MethodGet, callers, edge.PathJobs + "j-1/results?wait_ms=x", "", http.StatusBadRequest},
		{http.MethodGet, callers, edge.PathJobs + "j-1/items/i-9", "", http.StatusNotFound},
		{http.MethodPut, callers, edge.PathJobs + "j-1", "", http.StatusNotFound},
	} {
		if status, text := f.call(test.method, test.address, test.target, "j-2", test.body); status != test.want {
			f.t.Errorf("%s %s: %d, want %d: %s", test.method, test.target, status, test.want, text)
		}
	}
}
