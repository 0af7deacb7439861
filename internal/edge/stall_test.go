package edge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"
)

func TestWaitedInStall(t *testing.T) {
	at := func(millis int) time.Time { return time.UnixMilli(int64(millis)) }
	for _, test := range []struct {
		name        string
		readAt      int
		from, until int
		want        time.Duration
		readBefore  bool
	}{
		{"read long before", 500, 1000, 4000, 0, true},
		{"read just before, unseen since", 1040, 1000, 4000, 0, true},
		{"read by the check that detects the stall", 3999, 1000, 4000, 2999 * time.Millisecond, false},
		{"read soon after", 4100, 1000, 4000, 3100 * time.Millisecond, false},
		{"read later", 4250, 1000, 4000, 0, false},
		{"read before a short stall, checked when it is detected", 3850, 3900, 4000, 0, false},
	} {
		waited, readBefore := waitedInStall(at(test.readAt), at(test.from), at(test.until))
		if waited != test.want || readBefore != test.readBefore {
			t.Errorf("%s: waited %s, read before %t", test.name, waited, readBefore)
		}
	}
	if waited, readBefore := waitedInStall(at(5), time.Time{}, time.Time{}); waited != 0 || readBefore {
		t.Errorf("without a stall: waited %s, read before %t", waited, readBefore)
	}
}

// simulateStall makes the edge see a stall of the given length that ends now.
func simulateStall(e *Edge, length time.Duration) {
	now := clock.Now()
	e.stallDetector.Assume(now.Add(-length), now)
}

// serveAt passes a request to the edge as if it had arrived the given time ago.
func serveAt(e *Edge, ago time.Duration, left time.Duration) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, "http://h.example/a", strings.NewReader("prompt"))
	request.Header.Set("Request-Id", "a")
	request.Header.Set("Token-Count", "10,3")
	request.Header.Set("Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	recorder := httptest.NewRecorder()
	e.serve(recorder, request, time.Now().Add(-ago))
	return recorder
}

// TestRequestsAfterStall checks requests around a stall. A request that was read before the stall
// is rejected as not run. So is a request read after the stall whose deadline may have passed. A
// request read after the stall with time left is served.
func TestRequestsAfterStall(t *testing.T) {
	const stall = 10 * time.Second
	workers := startWorkers(t, 1)
	_, e := startEdge(t, streamRoute(false, 1), workers...)
	for _, test := range []struct {
		name      string
		ago, left time.Duration
		status    int
	}{
		{"read before", stall + time.Second, testTimeout, http.StatusServiceUnavailable},
		{"read afterwards, deadline passed", 0, stall, http.StatusServiceUnavailable},
		{"read afterwards, with time left", 0, testTimeout, http.StatusOK},
	} {
		simulateStall(e, stall)
		before := runCount(workers)
		answer := serveAt(e, test.ago, test.left)
		if answer.Code != test.status || (answer.Code != http.StatusOK) != (answer.Header().Get("Retry-After") != "") {
			t.Errorf("%s: status %d, Retry-After %q", test.name, answer.Code, answer.Header().Get("Retry-After"))
		}
		if ran := runCount(workers) - before; ran != 0 && test.status != http.StatusOK {
			t.Errorf("%s: %d runs", test.name, ran)
		}
	}
}

// TestHoldAndStallAreSubtractedOnce checks that the time left of a request that waits for a
// coordinator after a stall is reduced once by the stall and once by that wait.
func TestHoldAndStallAreSubtractedOnce(t *testing.T) {
	const stall, held = 5 * time.Second, 200 * time.Millisecond
	workers := startWorkers(t, 1)
	_, e := startEdge(t, streamRoute(false, 1), workers...)
	for _, left := range []time.Duration{stall + time.Second, stall} {
		woke := time.Now()
		simulateStall(e, stall)
		before := runCount(workers)
		answer := serveAt(e, held, left)
		took := time.Since(woke)
		if left == stall {
			if answer.Code != http.StatusServiceUnavailable || runCount(workers) != before {
				t.Errorf("without time left: status %d, %d runs", answer.Code, runCount(workers)-before)
			}
			continue
		}
		if answer.Code != http.StatusOK || runCount(workers) != before+1 {
			t.Fatalf("status %d, %d runs", answer.Code, runCount(workers)-before)
		}
		headerMillis, _ := strconv.Atoi(workers[0].Requests()[before].Header.Get("Deadline-Ms"))
		// The header has whole milliseconds.
		if got := time.Duration(headerMillis) * time.Millisecond; got > left-stall+time.Millisecond || got < left-stall-took-time.Millisecond {
			t.Errorf("the worker got a time left of %s after %s, of %s", got, took, left-stall)
		}
	}
}

// TestStallBeforeFirstAttempt checks that a request is rejected as not run if the edge stalled
// after accepting it and before sending it. Once a worker may have it, the request continues.
func TestStallBeforeFirstAttempt(t *testing.T) {
	workers := startWorkers(t, 1)
	_, e := startEdge(t, streamRoute(false, 1), workers...)
	request := httptest.NewRequest(http.MethodPost, "http://h.example/a", nil)
	recorder := httptest.NewRecorder()
	table := e.Table()
	deadline := time.Now().Add(testTimeout)
	c := newCall(e, context.Background(), table, table.Match("h.example", "/a"), nil, recorder, http.NewResponseController(recorder), request, nil, time.Now(), deadline)
	c.routingStartedAt = clock.Now()
	if c.rejectedAfterStall() {
		t.Error("rejected without a stall")
	}
	simulateStall(e, time.Minute)
	c.attempts = 1
	if c.rejectedAfterStall() {
		t.Error("rejected though a worker may have it")
	}
	c.attempts = 0
	if !c.rejectedAfterStall() || recorder.Code != http.StatusServiceUnavailable || recorder.Header().Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", recorder.Code, recorder.Header().Get("Retry-After"))
	}
}
