package edge

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/emulator"
	"github.com/sedgemast/sedgemast/internal/origin"
)

// takeUp sends a request that takes up a stream of 5 events.
func takeUp(t *testing.T, server *httptest.Server, resumes, lastEvent string) (status int, retryAfter, body string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, server.URL+"/a", strings.NewReader("prompt"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h.example"
	for name, value := range map[string]string{"Request-Id": "again", "Token-Count": "10,5", "Deadline-Ms": "3000", "Sedgemast-Resumes": resumes, "Last-Event-Id": lastEvent} {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	response, err := server.Client().Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, response.Header.Get("Retry-After"), string(text)
}

// startVersions starts an edge with two workers of each version. The edge knows where a few streams
// began.
func startVersions(t *testing.T, versions ...string) (*httptest.Server, *Edge, []*emulator.HostedWorker) {
	t.Helper()
	workers := startWorkers(t, 2*len(versions))
	for i, worker := range workers {
		worker.Version = versions[i%len(versions)]
	}
	server, e := startEdge(t, streamRoute(true, 3), workers...)
	e.ageList()
	for id, began := range map[string]origin.Origin{"began-v1": {Pool: "p", Version: "v1"}, "began-v2": {Pool: "p", Version: "v2"}, "moved": {Pool: "q", Version: "v2"}, "gone": {Pool: "p", Version: "v0"}} {
		e.origins.put(origin.KeyOf("", id), began, time.Minute)
	}
	return server, e, workers
}

// ageList makes the list of workers an hour old, as if it had not changed for that long.
func (e *Edge) ageList() {
	before := clock.Now().Add(-time.Hour)
	e.workers.Update(before, nil, nil)
	e.workers.Update(before, e.watcher.Current().Workers, nil)
}

// TestTakenUpStreams takes up streams while several versions are listed, or a single one.
func TestTakenUpStreams(t *testing.T) {
	for _, test := range []struct {
		name, resumes, lastEvent string
		versions                 []string
		// want is the version that must continue the stream, empty if the request must be rejected.
		want       string
		retryAfter bool
	}{
		{"began at v1", "began-v1", "2", []string{"v1", "v2"}, "v1", false},
		{"began at v2", "began-v2", "2", []string{"v1", "v2"}, "v2", false},
		{"of three versions", "began-v2", "2", []string{"v1", "v2", "v3"}, "v2", false},
		{"without the last event", "began-v2", "", []string{"v1", "v2"}, "v2", false},
		{"the route has moved", "moved", "2", []string{"v1", "v2"}, "v2", false},
		{"version gone", "gone", "2", []string{"v1", "v2"}, "", false},
		{"version gone, a single one left", "gone", "2", []string{"v2"}, "", false},
		{"no hub to ask", "unheard-of", "2", []string{"v1", "v2"}, "", true},
		{"not named", "", "2", []string{"v1", "v2"}, "", false},
		{"not known, a single version", "unheard-of", "2", []string{"v1"}, "v1", false},
		{"not named, a single version", "", "2", []string{"v1"}, "v1", false},
		{"versions unknown", "", "2", []string{""}, "", false},
		{"a version unknown", "unheard-of", "2", []string{"v1", ""}, "", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			server, _, workers := startVersions(t, test.versions...)
			for range 6 {
				status, retryAfter, body := takeUp(t, server, test.resumes, test.lastEvent)
				switch {
				case test.want == "":
					if status != http.StatusServiceUnavailable || (retryAfter != "") != test.retryAfter {
						t.Errorf("%d, Retry-After %q: %s", status, retryAfter, body)
					}
				case status != http.StatusOK || strings.Count(body, "@"+test.want+"\n") != strings.Count(body, "data:") || !strings.Contains(body, "id: 5"):
					t.Errorf("%d: %s", status, body)
				}
			}
			if runs := runCount(workers); test.want == "" && runs > 0 {
				t.Errorf("a rejected request ran %d times", runs)
			}
		})
	}
}

// TestUnknownVersionGoesOnAtAnotherUnknownOne guards against a stream that began at a worker without
// a listed version and goes on at another such worker.
func TestUnknownVersionGoesOnAtAnotherUnknownOne(t *testing.T) {
	server, e, workers := startVersions(t, "")
	injectFaults(workers, emulator.HostedFault{BreakAfter: 2})
	_, _, body, err := send(t.Context(), t, server, "began", 5, 5*time.Second)
	if err == nil || runCount(workers) != 1 {
		t.Errorf("%d runs, error %v: %q", runCount(workers), err, body)
	}
	if began, found := e.origins.get(origin.KeyOf("", "began")); found {
		t.Errorf("the stream has the origin %+v", began)
	}
}

// TestFirstEventSharesTheOrigin checks under which ids the origin of a stream is known after its first
// event: the id of the request that brought it, also after the stream was taken up.
func TestFirstEventSharesTheOrigin(t *testing.T) {
	server, e, _ := startVersions(t, "v1")
	if _, _, _, err := send(t.Context(), t, server, "began", 5, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	if status, _, _ := takeUp(t, server, "unheard-of", "2"); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	for _, id := range []string{"began", "unheard-of"} {
		if began, _ := e.origins.get(origin.KeyOf("", id)); began != (origin.Origin{Pool: "p", Version: "v1"}) {
			t.Errorf("%s began at %+v", id, began)
		}
	}
	if began, found := e.origins.get(origin.KeyOf("", "again")); found {
		t.Errorf("the request that took the stream up is the origin of %+v", began)
	}
}

// TestSoleVersionNeedsTime guards against a stream that goes on at the only version listed although
// another one was listed when it may have begun, or this process may have started since.
func TestSoleVersionNeedsTime(t *testing.T) {
	for _, versions := range [][]string{{"v1", "v2"}, {"v1", "v1"}} {
		workers := startWorkers(t, 2)
		workers[0].Version, workers[1].Version = versions[0], versions[1]
		server, e := startEdge(t, streamRoute(true, 3), workers...)
		e.workers.Update(clock.Now(), e.watcher.Current().Workers.With(nil, []string{"w-1 0 v2"}), nil)
		if status, _, body := takeUp(t, server, "", "2"); status != http.StatusServiceUnavailable {
			t.Errorf("versions %v: %d: %s", versions, status, body)
		}
	}
}

// TestTakenUpStreamWaitsForItsVersion takes up a stream while the only worker of its version is down for
// a moment. New streams would go to another worker.
func TestTakenUpStreamWaitsForItsVersion(t *testing.T) {
	workers := startWorkers(t, 2)
	workers[1].Version, workers[0].KeepID = "v2", true
	server, e := startEdge(t, streamRoute(true, 3), workers...)
	e.origins.put(origin.KeyOf("", "began-v1"), origin.Origin{Pool: "p", Version: "v1"}, time.Minute)
	workers[0].Restart("v1", 2*boundInterval)
	status, _, body := takeUp(t, server, "began-v1", "2")
	if status != http.StatusOK || strings.Count(body, "@v1\n") != 3 {
		t.Errorf("%d: %s", status, body)
	}
}
