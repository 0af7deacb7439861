package edge

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/emulator"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/routetable"
)

// TestFailureAfterStartIsNotPassedOnAsNotRun guards against passing on a worker's 408, 429 or 503 as a
// promise that nothing ran although the worker did not state it.
func TestFailureAfterStartIsNotPassedOnAsNotRun(t *testing.T) {
	for _, kind := range []routetable.Kind{routetable.KindStream, routetable.KindRepeatable, routetable.KindAtMostOnce} {
		for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusGatewayTimeout} {
			for _, resumable := range []bool{false, true} {
				for _, method := range []string{http.MethodPost, http.MethodHead} {
					t.Run(fmt.Sprintf("%s, %s, %d, resumable %t", kind, method, status, resumable), func(t *testing.T) {
						workers := startWorkers(t, 2)
						route := streamRoute(resumable, 2)
						route.Kind = kind
						server, e := startEdge(t, route, workers...)
						injectFaults(workers, emulator.HostedFault{Status: status, RunFor: 2 * time.Millisecond})
						got, header, _, err := sendAs(context.Background(), t, server, method, "a", 3, testTimeout)
						if err != nil || runCount(workers) == 0 {
							t.Fatalf("%v, %d runs", err, runCount(workers))
						}
						if failure.PromisesNotRun(got) {
							t.Errorf("status %d after %d runs", got, runCount(workers))
						}
						if got != status && header.Get("Server-Seal") != "" {
							t.Errorf("the seal of a worker that answered %d under status %d", status, got)
						}
						if promised := promisesAfterRuns(t, e); promised != 0 {
							t.Errorf("%g promises counted for requests that may have run", promised)
						}
					})
				}
			}
		}
	}
}

// TestMarkOnAnswerOfRunIsNotBelieved guards against taking an answer that only a run can give for a
// rejection because it bears the mark of one, and so running the request again.
func TestMarkOnAnswerOfRunIsNotBelieved(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError, http.StatusGatewayTimeout} {
		workers := startWorkers(t, 3)
		server, _ := startEdge(t, streamRoute(false, 3), workers...)
		injectFaults(workers, emulator.HostedFault{Status: status, Marked: true})
		got, _, _, err := send(context.Background(), t, server, "a", 3, testTimeout)
		if err != nil || runCount(workers) != 1 || got < http.StatusInternalServerError || failure.PromisesNotRun(got) {
			t.Errorf("worker's status %d: status %d, %v, %d runs", status, got, err, runCount(workers))
		}
	}
}

// TestRejectionAfterRunIsNoPromise guards against a 503 for a request whose first worker may have run it,
// because the second rejected it.
func TestRejectionAfterRunIsNoPromise(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusServiceUnavailable} {
		workers := startWorkers(t, 2)
		server, _ := startEdge(t, streamRoute(true, 4), workers...)
		first := make(chan struct{}, 1)
		first <- struct{}{}
		for _, worker := range workers {
			worker.InjectFaults(func(*emulator.HostedRequest) emulator.HostedFault {
				select {
				case <-first:
					return emulator.HostedFault{Status: status}
				default:
					return emulator.HostedFault{NotRun: true}
				}
			})
		}
		got, _, _, err := send(context.Background(), t, server, "a", 3, testTimeout)
		if err != nil || runCount(workers) != 1 || got != http.StatusBadGateway {
			t.Errorf("first %d: status %d, %v, %d runs", status, got, err, runCount(workers))
		}
	}
}

// TestOwnRefusalAfterRunIsNoPromise guards against a refusal by any of the edge's own checks after a
// worker may have run the request.
func TestOwnRefusalAfterRunIsNoPromise(t *testing.T) {
	for _, kind := range []failure.Kind{failure.NotRun, failure.OverLimit} {
		for _, mayHaveRun := range []bool{false, true} {
			f := startQueue(t, testTenant)
			recorder := httptest.NewRecorder()
			c := f.call(recorder, testTimeout, testTimeout)
			c.sends.Begin()
			if !mayHaveRun {
				c.sends.Disprove()
			}
			c.reject(failure.New(kind, "try again", "a refusal").WithRetryAfter(time.Second))
			want := kind.HTTPStatus()
			if mayHaveRun {
				want = http.StatusBadGateway
			}
			if recorder.Code != want || (recorder.Header().Get("Retry-After") == "") != mayHaveRun {
				t.Errorf("%s, may have run %t: status %d, Retry-After %q", kind, mayHaveRun, recorder.Code, recorder.Header().Get("Retry-After"))
			}
		}
	}
}

// promisesAfterRuns returns how many promises that nothing ran the edge has counted for requests that may
// have run.
func promisesAfterRuns(t *testing.T, e *Edge) (count float64) {
	t.Helper()
	families, err := e.daemon.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			labels := map[string]string{}
			for _, label := range metric.GetLabel() {
				labels[label.GetName()] = label.GetValue()
			}
			status, _ := strconv.Atoi(labels["status"])
			if family.GetName() == "edge_failed_answers_total" && failure.PromisesNotRun(status) && labels["may_have_run"] == "true" {
				count += metric.GetCounter().GetValue()
			}
		}
	}
	return count
}
