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

func TestMissed(t *testing.T) {
	at := func(millis int) time.Time { return time.UnixMilli(int64(millis)) }
	for _, test := range []struct {
		name        string
		came        int
		from, until int
		want        time.Duration
		inside      bool
	}{
		{"taken in long before", 500, 1000, 4000, 0, true},
		{"taken in just before, unseen since", 1040, 1000, 4000, 0, true},
		{"read by the look that notices", 3999, 1000, 4000, 2999 * time.Millisecond, false},
		{"read soon after", 4100, 1000, 4000, 3100 * time.Millisecond, false},
		{"read later", 4250, 1000, 4000, 0, false},
		{"read by a look that notices a short one, taken in before", 3850, 3900, 4000, 0, false},
	} {
		waited, inside := missed(at(test.came), at(test.from), at(test.until))
		if waited != test.want || inside != test.inside {
			t.Errorf("%s: waited %s, inside %t", test.name, waited, inside)
		}
	}
	if waited, inside := missed(at(5), time.Time{}, time.Time{}); waited != 0 || inside {
		t.Errorf("never: waited %s, inside %t", waited, inside)
	}
}

// wake lets the edge notice that it stood still until now, for so long.
func wake(e *Edge, length time.Duration) {
	now := clock.Now()
	e.standstill.Assume(now.Add(-length), now)
}

// serveAt sends a request straight to the edge as if it had arrived so long ago.
func serveAt(e *Edge, ago time.Duration, left time.Duration) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, "http://h.example/a", strings.NewReader("prompt"))
	request.Header.Set("Request-Id", "a")
	request.Header.Set("Token-Count", "10,3")
	request.Header.Set("Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	recorder := httptest.NewRecorder()
	e.serve(recorder, request, time.Now().Add(-ago))
	return recorder
}

// TestStandstillIsAnswered lets an edge stand still: what it had taken in before, and what it
// reads afterwards whose caller's time may be over, is refused truly and sent to nobody; what
// has time left is served.
func TestStandstillIsAnswered(t *testing.T) {
	const stood = 10 * time.Second
	workers := startWorkers(t, 1)
	_, e := startEdge(t, stream(false, 1), workers...)
	for _, test := range []struct {
		name      string
		ago, left time.Duration
		status    int
	}{
		{"taken in before", stood + time.Second, patience, http.StatusServiceUnavailable},
		{"read afterwards, its time over", 0, stood, http.StatusServiceUnavailable},
		{"read afterwards, with time left", 0, patience, http.StatusOK},
	} {
		wake(e, stood)
		before := runs(workers)
		answer := serveAt(e, test.ago, test.left)
		if answer.Code != test.status || (answer.Code != http.StatusOK) != (answer.Header().Get("Retry-After") != "") {
			t.Errorf("%s: status %d, Retry-After %q", test.name, answer.Code, answer.Header().Get("Retry-After"))
		}
		if ran := runs(workers) - before; ran != 0 && test.status != http.StatusOK {
			t.Errorf("%s: %d runs", test.name, ran)
		}
	}
}

// TestHeldTimeIsTakenOffOnce lets a request be held for news after a standstill: it has what is
// left of its time after the standstill, less what it was held.
func TestHeldTimeIsTakenOffOnce(t *testing.T) {
	const stood, held = 5 * time.Second, 200 * time.Millisecond
	workers := startWorkers(t, 1)
	_, e := startEdge(t, stream(false, 1), workers...)
	for _, left := range []time.Duration{stood + time.Second, stood} {
		woke := time.Now()
		wake(e, stood)
		before := runs(workers)
		answer := serveAt(e, held, left)
		took := time.Since(woke)
		if left == stood {
			if answer.Code != http.StatusServiceUnavailable || runs(workers) != before {
				t.Errorf("without any time left: status %d, %d runs", answer.Code, runs(workers)-before)
			}
			continue
		}
		if answer.Code != http.StatusOK || runs(workers) != before+1 {
			t.Fatalf("status %d, %d runs", answer.Code, runs(workers)-before)
		}
		told, _ := strconv.Atoi(workers[0].Requests()[before].Header.Get("Deadline-Ms"))
		// The header tells whole milliseconds.
		if got := time.Duration(told) * time.Millisecond; got > left-stood+time.Millisecond || got < left-stood-took-time.Millisecond {
			t.Errorf("the worker was told of %s after %s, of %s", got, took, left-stood)
		}
	}
}

// TestStandstillBeforeTheFirstAttempt lets the edge stand still between taking a request in
// and sending it: it is refused truly. Once a worker may have it, the request goes on.
func TestStandstillBeforeTheFirstAttempt(t *testing.T) {
	workers := startWorkers(t, 1)
	_, e := startEdge(t, stream(false, 1), workers...)
	request := httptest.NewRequest(http.MethodPost, "http://h.example/a", nil)
	recorder := httptest.NewRecorder()
	table := e.Table()
	deadline := time.Now().Add(patience)
	c := newCall(e, context.Background(), table, table.Match("h.example", "/a"), nil, recorder, http.NewResponseController(recorder), request, nil, time.Now(), deadline)
	c.takenIn = clock.Now()
	if c.stoodStill() {
		t.Error("refused without a standstill")
	}
	wake(e, time.Minute)
	c.attempts = 1
	if c.stoodStill() {
		t.Error("refused though a worker may have it")
	}
	c.attempts = 0
	if !c.stoodStill() || recorder.Code != http.StatusServiceUnavailable || recorder.Header().Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", recorder.Code, recorder.Header().Get("Retry-After"))
	}
}
