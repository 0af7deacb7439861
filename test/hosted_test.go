package test

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/emulator"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/placement"
)

// events returns the body of a stream with the events from..to.
func events(id string, from, to int) string {
	var text strings.Builder
	for number := from; number <= to; number++ {
		fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", number, emulator.HostedEvent(emulator.HostedVersion, id, number))
	}
	return text.String()
}

// TestHostedFleet runs a fleet as the users' platform does and injects the faults that it must
// tolerate.
func TestHostedFleet(t *testing.T) {
	f := newHostedFleet(t, hostedWorkers)
	edge := f.address(f.machines["front-21"], portCallers)
	second := f.address(f.machines["front-22"], portCallers)
	eventually(t, "the first configuration", func() bool { return f.putConfiguration("core-2", f.configuration(5, "")) == http.StatusOK })
	for _, name := range []string{"front-21", "front-22"} {
		eventually(t, name+" ready", func() bool {
			status, _, _, err := f.call(http.MethodGet, f.address(f.machines[name], portReady), "/-/ready", nil, "")
			return err == nil && status == http.StatusOK
		})
	}
	t.Run("configuration", f.testConfiguration)
	t.Run("stream", func(t *testing.T) { f.testStream(t, edge) })
	t.Run("resumed", func(t *testing.T) { f.testResumed(t, edge) })
	t.Run("once", func(t *testing.T) { f.testNotResumable(t, edge) })
	t.Run("not run", func(t *testing.T) { f.testNotRun(t, edge) })
	t.Run("wrong input", func(t *testing.T) { f.testWrongInput(t, edge) })
	t.Run("job over a killed store", func(t *testing.T) { f.testJob(t, edge, second) })
	t.Run("in force", func(t *testing.T) { f.testRouteUpdate(t, edge, second) })
	t.Run("failing worker", func(t *testing.T) { f.testFailingWorker(t, edge) })
	t.Run("leaving worker", func(t *testing.T) { f.testDraining(t, edge) })
	t.Run("failure after the start", func(t *testing.T) { f.testFailureAfterStart(t, edge) })
	t.Run("planned stop", func(t *testing.T) { f.testPlannedStop(t) })
}

func (f *hostedFleet) testConfiguration(t *testing.T) {
	core := f.address(f.machines["core-3"], portControl)
	read := func() string {
		body := ""
		eventually(t, "a read of the configuration", func() bool {
			status, _, text, err := f.call(http.MethodGet, core, "/-/config", nil, "")
			body = text
			return err == nil && status == http.StatusOK
		})
		return body
	}
	if read() != f.configuration(5, "") {
		t.Error("the configuration that is read differs from the one that was sent")
	}
	if status := f.putConfiguration("core-1", f.configuration(4, "")); status != http.StatusOK {
		t.Errorf("sending an older version: status %d, want 200", status)
	}
	other := strings.Replace(f.configuration(5, ""), "/stream/", "/other/", 1)
	if status := f.putConfiguration("core-1", other); status != http.StatusOK {
		t.Errorf("sending other content under the current version: status %d, want 200", status)
	}
	if status := f.putConfiguration("core-1", f.configuration(9, "")[:100]); status != http.StatusBadRequest {
		t.Errorf("sending a truncated document: status %d, want 400", status)
	}
	if read() != f.configuration(5, "") {
		t.Error("a document whose version is not newer replaced the configuration")
	}
}

func (f *hostedFleet) testStream(t *testing.T, edge string) {
	headers := map[string]string{"Request-Id": "r-1", "Token-Count": "10,6", "Deadline-Ms": "15000", "X-Other": "kept"}
	status, header, body, err := f.call(http.MethodPost, edge, "/stream/a?b=c%20d", headers, "prompt")
	if err != nil || status != http.StatusOK || body != events("r-1", 1, 6) {
		t.Fatalf("%d, %v: %q", status, err, body)
	}
	if seal := header.Get("Server-Seal"); !strings.HasSuffix(seal, ".r-1") {
		t.Errorf("seal %q", seal)
	}
	for _, worker := range f.workers {
		for _, request := range worker.Requests() {
			if request.ID != "r-1" {
				continue
			}
			if request.Method != http.MethodPost || request.Target != "/stream/a?b=c%20d" || request.Host != hostedHost || request.Body != "prompt" || request.Header.Get("X-Other") != "kept" || request.Header.Get("Expect-Instance") != worker.ID {
				t.Errorf("the worker received %+v", request)
			}
		}
	}
}

func (f *hostedFleet) injectFaults(faultFor func(request *emulator.HostedRequest) emulator.HostedFault) {
	for _, worker := range f.workers {
		worker.InjectFaults(faultFor)
	}
}

func (f *hostedFleet) runCount(id string) (runs int) {
	for _, worker := range f.workers {
		for _, request := range worker.Requests() {
			if request.ID == id {
				runs++
			}
		}
	}
	return runs
}

// testResumed closes the connection of the first run after three events. Another worker must
// continue, and the caller must get each event once.
func (f *hostedFleet) testResumed(t *testing.T, edge string) {
	f.injectFaults(func(request *emulator.HostedRequest) emulator.HostedFault {
		if request.LastEventID == 0 {
			return emulator.HostedFault{BreakAfter: 3}
		}
		return emulator.HostedFault{}
	})
	defer f.injectFaults(nil)
	headers := map[string]string{"Request-Id": "r-2", "Token-Count": "10,7"}
	status, _, body, err := f.call(http.MethodPost, edge, "/stream/a", headers, "p")
	if err != nil || status != http.StatusOK || body != events("r-2", 1, 7) {
		t.Errorf("%d, %v: %q", status, err, body)
	}
	if runs := f.runCount("r-2"); runs != 2 {
		t.Errorf("%d runs", runs)
	}
}

// testNotResumable closes the connection of a stream that may not be resumed. The answer must not
// look complete, and the request must not run again.
func (f *hostedFleet) testNotResumable(t *testing.T, edge string) {
	f.injectFaults(func(*emulator.HostedRequest) emulator.HostedFault { return emulator.HostedFault{BreakAfter: 2} })
	defer f.injectFaults(nil)
	headers := map[string]string{"Request-Id": "r-3", "Token-Count": "10,7"}
	_, _, body, err := f.call(http.MethodPost, edge, "/once/a", headers, "p")
	if err == nil {
		t.Errorf("the answer of a broken stream looks complete: %q", body)
	}
	if runs := f.runCount("r-3"); runs != 1 {
		t.Errorf("%d runs", runs)
	}
}

func (f *hostedFleet) testNotRun(t *testing.T, edge string) {
	f.injectFaults(func(*emulator.HostedRequest) emulator.HostedFault { return emulator.HostedFault{NotRun: true} })
	defer f.injectFaults(nil)
	for _, path := range []string{"/stream/a", "/once/a"} {
		headers := map[string]string{"Request-Id": "r-4" + path, "Token-Count": "10,7"}
		status, header, _, err := f.call(http.MethodPost, edge, path, headers, "p")
		if err != nil || status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
			t.Errorf("%s: %d, Retry-After %q, %v", path, status, header.Get("Retry-After"), err)
		}
	}
}

// testFailureAfterStart lets workers begin a request and fail with each status, and checks that no caller
// is told that its request did not run.
func (f *hostedFleet) testFailureAfterStart(t *testing.T, edge string) {
	defer f.injectFaults(nil)
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusServiceUnavailable} {
		f.injectFaults(func(*emulator.HostedRequest) emulator.HostedFault {
			return emulator.HostedFault{Status: status, RunFor: 5 * time.Millisecond}
		})
		for _, path := range []string{"/stream/a", "/once/a"} {
			id := fmt.Sprintf("r-5%s-%d", path, status)
			got, _, _, err := f.call(http.MethodPost, edge, path, map[string]string{"Request-Id": id, "Token-Count": "10,7"}, "p")
			if err != nil || f.runCount(id) == 0 || failure.PromisesNotRun(got) {
				t.Errorf("%s: status %d after %d runs that failed with %d, %v", path, got, f.runCount(id), status, err)
			}
		}
	}
}

// testWrongInput sends requests that can't be served. Each must get its status, and none may run.
func (f *hostedFleet) testWrongInput(t *testing.T, edge string) {
	long := strings.Repeat("x", 1_000_001)
	cases := []struct {
		name, method, target, id, body string
		status                         int
	}{
		{"unknown path", http.MethodPost, "/none/a", "b-1", "p", http.StatusNotFound},
		{"prefix without its slash", http.MethodPost, "/stream", "b-2", "p", http.StatusNotFound},
		{"body too long", http.MethodPost, "/stream/a", "b-3", long, http.StatusRequestEntityTooLarge},
		{"job that is no JSON", http.MethodPost, "/batch/a", "b-4", "{", http.StatusBadRequest},
		{"job without items", http.MethodPost, "/batch/a", "b-5", `{"items":[]}`, http.StatusBadRequest},
		{"job without id", http.MethodPost, "/batch/a", "", `{"items":[{"id":"i","path":"/batch/i"}]}`, http.StatusBadRequest},
		{"item twice", http.MethodPost, "/batch/a", "b-6", `{"items":[{"id":"i","path":"/batch/i"},{"id":"i","path":"/batch/i"}]}`, http.StatusBadRequest},
		{"body that is no base64", http.MethodPost, "/batch/a", "b-7", `{"items":[{"id":"i","path":"/batch/i","body":"%%"}]}`, http.StatusBadRequest},
		{"job over the quota", http.MethodPost, "/batch/a", "b-8", `{"items":[{"id":"i","path":"/batch/i","tokens":100001}]}`, http.StatusTooManyRequests},
		{"job too long", http.MethodPost, "/batch/a", "b-9", long, http.StatusRequestEntityTooLarge},
		{"results of an unknown job", http.MethodGet, "/-/lots/none", "", "", http.StatusNotFound},
		{"position that is none", http.MethodGet, "/-/lots/none?sinceRev=x", "", "", http.StatusBadRequest},
		{"body of an unknown item", http.MethodGet, "/-/items/none?id=i", "", "", http.StatusNotFound},
		{"end of an unknown job", http.MethodDelete, "/-/lots/none", "", "", http.StatusNotFound},
	}
	for _, test := range cases {
		headers := map[string]string{"Token-Count": "10,3"}
		if test.id != "" {
			headers["Request-Id"] = test.id
		}
		status, _, _, err := f.call(test.method, edge, test.target, headers, test.body)
		if err != nil || status != test.status {
			t.Errorf("%s: %d, %v; want %d", test.name, status, err, test.status)
		}
		if test.id != "" && (f.runCount(test.id) > 0 || f.runCount("i") > 0) {
			t.Errorf("%s: the request ran", test.name)
		}
	}
	f.testRawInput(t, edge)
}

// testRawInput sends bytes that are not a valid HTTP request. No answer may be a success, and no
// request may run.
func (f *hostedFleet) testRawInput(t *testing.T, edge string) {
	cases := map[string]string{
		"no HTTP":                 "hello\r\n\r\n",
		"no host":                 "POST /stream/a HTTP/1.1\r\nRequest-Id: q-1\r\n\r\n",
		"two lengths":             "POST /stream/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q-2\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"length that is none":     "POST /stream/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q-3\r\nContent-Length: -1\r\n\r\n",
		"chunk that is none":      "POST /stream/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q-4\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n",
		"header without a colon":  "POST /stream/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id q-5\r\n\r\n",
		"head over the bound":     "POST /stream/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q-6\r\nX: " + strings.Repeat("x", 200<<10) + "\r\n\r\n",
		"unknown coding":          "POST /stream/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q-7\r\nTransfer-Encoding: odd\r\n\r\nab",
		"blank in a header name":  "POST /stream/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id : q-8\r\n\r\n",
		"version that is unknown": "POST /stream/a HTTP/9.9\r\nHost: h.example\r\nRequest-Id: q-9\r\n\r\n",
	}
	for name, text := range cases {
		connection, err := net.Dial("tcp", edge)
		if err != nil {
			t.Fatal(err)
		}
		_ = connection.SetDeadline(time.Now().Add(hostedTimeout))
		_, _ = connection.Write([]byte(text))
		answer := make([]byte, 64)
		count, _ := connection.Read(answer)
		_ = connection.Close()
		if status := string(answer[:count]); count > 0 && !strings.Contains(status, " 4") && !strings.Contains(status, " 5") {
			t.Errorf("%s: %q", name, status)
		}
	}
	for number := 1; number <= 9; number++ {
		if id := fmt.Sprintf("q-%d", number); f.runCount(id) > 0 {
			t.Errorf("%s ran", id)
		}
	}
}

// hostedPage is a page of a job's results.
type hostedPage struct {
	Total     int
	NextToken int
	Results   []struct{ ID, State, Message string }
}

func (f *hostedFleet) readResults(edge, id string, since int) (*hostedPage, int) {
	status, _, body, err := f.call(http.MethodGet, edge, fmt.Sprintf("/-/lots/%s?sinceRev=%d", id, since), map[string]string{"Wait-Ms": "200"}, "")
	if err != nil || status != http.StatusOK {
		return nil, status
	}
	page, err := parsePage(body)
	if err != nil {
		return nil, status
	}
	return page, status
}

// parsePage decodes a page of results.
func parsePage(body string) (*hostedPage, error) {
	page := &hostedPage{}
	if err := json.Unmarshal([]byte(body), page); err != nil {
		return nil, err
	}
	return page, nil
}

func jobDocument(id string, items, tokens int) string {
	var document bytes.Buffer
	for i := 0; i < items; i++ {
		body := base64.StdEncoding.EncodeToString([]byte(fmt.Sprintf("body of %s-%d", id, i)))
		fmt.Fprintf(&document, `,{"id":"%s-%d","path":"/batch/%d","headers":{"Token-Count":"10,%d"},"body":%q,"tokens":%d}`, id, i, i, tokens, body, tokens)
	}
	return `{"items":[` + document.String()[1:] + `]}`
}

// submitJob submits a job and repeats it until it is accepted.
func (f *hostedFleet) submitJob(t *testing.T, edge, path, id, document string) {
	t.Helper()
	eventually(t, "the job accepted", func() bool {
		status, _, _, err := f.call(http.MethodPost, edge, path+id, map[string]string{"Request-Id": id}, document)
		return err == nil && status == http.StatusAccepted
	})
}

// testJob submits a job twice, kills and restarts the leading store while items run, and reads all
// results. Results that were read before must keep their positions.
func (f *hostedFleet) testJob(t *testing.T, edge, second string) {
	const items, tokens = 12, 120
	document := jobDocument("j1", items, tokens)
	for _, address := range []string{edge, second} {
		f.submitJob(t, address, "/batch/", "j1", document)
	}
	status, _, body, err := f.call(http.MethodGet, second, "/-/items/j1?id=j1-11", nil, "")
	if err != nil || status != http.StatusOK || body != "body of j1-11" {
		t.Errorf("reading the body of an item: status %d, %q, %v", status, body, err)
	}
	eventually(t, "items at workers", func() bool { return f.runCount("j1-0") > 0 })
	leader := f.storeLeader(t, "j1")
	f.kill(leader)
	f.start(leader, false)
	idByPosition := map[int]string{}
	eventually(t, "all results", func() bool {
		page, _ := f.readResults(second, "j1", 0)
		if page == nil {
			return false
		}
		for position, row := range page.Results {
			if before := idByPosition[position]; before != "" && before != row.ID {
				t.Fatalf("position %d changed from %s to %s", position, before, row.ID)
			}
			idByPosition[position] = row.ID
		}
		return len(page.Results) == items
	})
	page, _ := f.readResults(edge, "j1", 0)
	for _, row := range page.Results {
		var want []string
		for number := 1; number <= tokens; number++ {
			want = append(want, emulator.HostedEvent(emulator.HostedVersion, row.ID, number))
		}
		if row.State != "completed" || row.Message != strings.Join(want, "\n") {
			t.Errorf("item %s is %s with a result of %d bytes", row.ID, row.State, len(row.Message))
		}
	}
	f.testEndJob(t, edge, second)
}

// testEndJob checks that items which fail permanently are abandoned, and that ending the job
// can be repeated and adds no results.
func (f *hostedFleet) testEndJob(t *testing.T, edge, second string) {
	f.injectFaults(func(request *emulator.HostedRequest) emulator.HostedFault {
		if strings.HasPrefix(request.ID, "j2") {
			return emulator.HostedFault{Status: http.StatusUnprocessableEntity}
		}
		return emulator.HostedFault{}
	})
	defer f.injectFaults(nil)
	eventually(t, "the second job accepted", func() bool {
		status, _, _, err := f.call(http.MethodPost, edge, "/batch/j2", map[string]string{"Request-Id": "j2"}, jobDocument("j2", 2, 5))
		return err == nil && status == http.StatusAccepted
	})
	eventually(t, "abandonment of the failing items", func() bool {
		page, _ := f.readResults(second, "j2", 0)
		return page != nil && len(page.Results) == 2 && page.Results[0].State == "abandoned"
	})
	for i := 0; i < 2; i++ {
		eventually(t, "the end acknowledged", func() bool {
			status, _, _, err := f.call(http.MethodDelete, second, "/-/lots/j2", nil, "")
			return err == nil && status == http.StatusOK
		})
	}
	if page, _ := f.readResults(edge, "j2", 1); page == nil || len(page.Results) != 1 {
		t.Errorf("results from position 1 after the job was ended: %+v, want one", page)
	}
}

// storeLeader returns the store that leads the group of a job and so runs its items.
func (f *hostedFleet) storeLeader(t *testing.T, job string) *hostedMachine {
	role := []byte(fmt.Sprintf("event=running_items group=%d leading=", placement.GroupOf(job, placement.GroupCount(3, 3))))
	var leader *hostedMachine
	eventually(t, "a leading store", func() bool {
		for name, machine := range f.machines {
			text, _ := os.ReadFile(filepath.Join(machine.folder, "log"))
			at := bytes.LastIndex(text, role)
			if strings.HasPrefix(name, "store") && at >= 0 && bytes.HasPrefix(text[at+len(role):], []byte("true")) {
				leader = machine
			}
		}
		return leader != nil
	})
	return leader
}

func (f *hostedFleet) testRouteUpdate(t *testing.T, edge, second string) {
	added := fmt.Sprintf(`,{"name":"added","host":%q,"pathPrefix":"/added/","routeKind":"safe","timeoutMs":20000,"service":%q,"maxAttempts":1}`, hostedHost, hostedService)
	eventually(t, "the change", func() bool { return f.putConfiguration("core-1", f.configuration(20, added)) == http.StatusOK })
	for _, address := range []string{edge, second} {
		eventually(t, "the added route", func() bool {
			status, _, _, err := f.call(http.MethodPost, address, "/added/a", map[string]string{"Request-Id": "c-1", "Token-Count": "1,1"}, "p")
			return err == nil && status == http.StatusOK
		})
	}
}

// testDraining lists a worker as draining and checks that the worker gets no new requests once the
// edge has applied the new worker list.
func (f *hostedFleet) testDraining(t *testing.T, edge string) {
	draining := f.workers[0]
	draining.Drain()
	number := 0
	send := func() {
		number++
		_, _, _, _ = f.call(http.MethodPost, edge, "/stream/a", map[string]string{"Request-Id": fmt.Sprintf("l-%d", number), "Token-Count": "1,1"}, "p")
	}
	eventually(t, "no more requests to the draining worker", func() bool {
		before := len(draining.Requests())
		// A worker that is not draining gets none of 60 requests with a probability of about
		// 1 in 10^10. With 12 requests it was 1 in 130 at each of about ten checks.
		for i := 0; i < 60; i++ {
			send()
		}
		return len(draining.Requests()) == before
	})
	before := len(draining.Requests())
	for i := 0; i < 40; i++ {
		send()
	}
	if after := len(draining.Requests()); after != before {
		t.Errorf("%d requests were sent to a draining worker", after-before)
	}
}

// testFailingWorker makes a worker fail all requests until it is avoided, then recover. The requests
// may run more than once, so no caller may see a failure. After the recovery the worker must get
// its share of requests again; the time that this takes is logged, not bounded, as the machine may
// be busy.
func (f *hostedFleet) testFailingWorker(t *testing.T, edge string) {
	failing := f.workers[1]
	failing.InjectFaults(func(*emulator.HostedRequest) emulator.HostedFault {
		return emulator.HostedFault{Status: http.StatusInternalServerError}
	})
	number := 0
	send := func(count int) (received int) {
		before := len(failing.Requests())
		for range count {
			number++
			headers := map[string]string{"Request-Id": fmt.Sprintf("f-%d", number), "Token-Count": "1,1"}
			if status, _, _, err := f.call(http.MethodPost, edge, "/stream/a", headers, "p"); err != nil || status != http.StatusOK {
				t.Errorf("call %d: %d, %v", number, status, err)
			}
		}
		return len(failing.Requests()) - before
	}
	// This is long enough for the whole zone to avoid the worker. An edge that is alone in avoiding
	// the worker does so for one second only.
	for start := time.Now(); time.Since(start) < 3*time.Second; time.Sleep(20 * time.Millisecond) {
		send(1)
	}
	eventually(t, "at most two of 60 requests, the probes, to the failing worker", func() bool { return send(60) <= 2 })
	failing.InjectFaults(nil)
	recovered := time.Now()
	eventually(t, "requests to the recovered worker", func() bool { return send(20) >= 4 })
	t.Logf("the worker got its share of requests again after %v", time.Since(recovered))
}

// testPlannedStop stops an edge while streams run through it. All streams must complete, and the
// process must exit without an error.
func (f *hostedFleet) testPlannedStop(t *testing.T) {
	machine := f.machines["front-22"]
	address := f.address(machine, portCallers)
	var streams sync.WaitGroup
	for i := 0; i < 4; i++ {
		streams.Add(1)
		go func() {
			defer streams.Done()
			id := fmt.Sprintf("s-%d", i)
			status, _, body, err := f.call(http.MethodPost, address, "/once/a", map[string]string{"Request-Id": id, "Token-Count": "10,200"}, "p")
			if err != nil || status != http.StatusOK || body != events(id, 1, 200) {
				t.Errorf("%s: %d, %v, %d bytes", id, status, err, len(body))
			}
		}()
	}
	eventually(t, "running streams", func() bool { return f.runCount("s-0")+f.runCount("s-1")+f.runCount("s-2")+f.runCount("s-3") == 4 })
	_ = machine.command.Process.Signal(syscall.SIGTERM)
	eventually(t, "not ready", func() bool {
		status, _, _, err := f.call(http.MethodGet, f.address(machine, portReady), "/-/ready", nil, "")
		return err != nil || status == http.StatusServiceUnavailable
	})
	streams.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), hostedTimeout)
	defer cancel()
	select {
	case err := <-machine.exited:
		if err != nil {
			t.Errorf("the edge exited with %v", err)
		}
	case <-ctx.Done():
		t.Error("the edge did not exit in time")
	}
}
