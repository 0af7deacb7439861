package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/httpheader"
)

// fixedDirectory knows the same about all workers.
type fixedDirectory WorkerState

func (d fixedDirectory) WorkerState(string) WorkerState { return WorkerState(d) }

// TestOldListNeedsHealthCheck guards against requests to a leaving worker that rest on an old list.
func TestOldListNeedsHealthCheck(t *testing.T) {
	const drainTime = 3 * time.Second
	now := clock.Now()
	for _, test := range []struct {
		name           string
		state          WorkerState
		status         int
		id             string
		checks, served int64
	}{
		{"young list", WorkerState{Ready: true, ListReadAt: now.Add(-time.Second)}, http.StatusServiceUnavailable, "w-1", 0, 2},
		{"listed as leaving", WorkerState{ListReadAt: now}, http.StatusOK, "w-1", 0, 0},
		{"old list, ready", WorkerState{Ready: true, ListReadAt: now.Add(-drainTime)}, http.StatusOK, "w-1", 1, 2},
		{"old list, no id", WorkerState{Ready: true, ListReadAt: now.Add(-drainTime)}, http.StatusOK, "", 1, 2},
		{"old list, leaving", WorkerState{Ready: true, ListReadAt: now.Add(-drainTime)}, http.StatusServiceUnavailable, "w-1", 1, 0},
		{"old list, another worker", WorkerState{Ready: true, ListReadAt: now.Add(-drainTime)}, http.StatusOK, "w-2", 1, 0},
		{"old list, no such path", WorkerState{Ready: true, ListReadAt: now.Add(-drainTime)}, http.StatusNotFound, "w-1", 1, 0},
		{"unknown age", WorkerState{Ready: true, HealthPath: "/up"}, http.StatusOK, "w-1", 1, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			var checks, served atomic.Int64
			path := test.state.HealthPath
			if path == "" {
				path = defaultHealthPath
			}
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				if request.URL.Path == path {
					checks.Add(1)
					writer.Header().Set("Sedgemast-Worker", test.id)
					writer.WriteHeader(test.status)
					return
				}
				served.Add(1)
			}))
			defer server.Close()
			client := NewClient(httpheader.Default())
			client.BoundListAge(fixedDirectory(test.state), drainTime)
			w := &worker{endpoint: Endpoint{ID: "w-1", Address: server.Listener.Addr().String()}}
			for range 2 {
				if _, err := send(t, client, w, "r"); (err == nil) != (test.served > 0) || err != nil && !TakesNoRequests(err) {
					t.Errorf("send: %v", err)
				}
			}
			if checks.Load() != test.checks || served.Load() != test.served {
				t.Errorf("%d health checks and %d requests", checks.Load(), served.Load())
			}
		})
	}
}

// TestHealthCheckAnsweredTwiceIsNoAnswer guards against a client that gets the answer to a health check, or
// a worker's report, as its own, because it came once more on the connection that then carried the client's
// request.
func TestHealthCheckAnsweredTwiceIsNoAnswer(t *testing.T) {
	names := httpheader.Default()
	names.ReportPath = "/report"
	for name, ask := range map[string]func(client *Client, endpoint Endpoint){
		"health check": func(client *Client, endpoint Endpoint) {
			if err := client.confirmReady(context.Background(), endpoint, ""); err != nil {
				t.Error(err)
			}
		},
		"report": func(client *Client, endpoint Endpoint) {
			client.WorkerExited(context.Background(), endpoint, clock.Now())
		},
	} {
		// Each answer on a connection comes once more in the place of the next one.
		answersTwice := func() script {
			before := ""
			step := func(request *http.Request, body string, connection net.Conn) {
				answer := "HTTP/1.1 200 OK\r\nSedgemast-Worker: w-1\r\nContent-Length: 0\r\n\r\n"
				if id := request.Header.Get("Sedgemast-Request-Id"); id != "" {
					answer = okResponse(id, "own")
				}
				respondWith(before+answer)(request, body, connection)
				before = answer
			}
			return script{step, step, step, step}
		}
		w := startWorker(t, answersTwice(), answersTwice(), answersTwice())
		client := NewClient(names)
		for _, id := range []string{"1", "2"} {
			ask(client, w.endpoint)
			if body, err := send(t, client, w, id); err != nil || body != "own" {
				t.Errorf("%s, request %s: %q, %v", name, id, body, err)
			}
			client.mutex.Lock()
			clear(client.healthChecks)
			client.mutex.Unlock()
		}
	}
}
