package edge

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/emulator"
	"github.com/sedgemast/sedgemast/internal/quarantine"
)

// testFingerprint is the fingerprint of the requests that send makes.
var testFingerprint = quarantine.FingerprintOf("", "h.example", http.MethodPost, "/a", []byte("prompt"))

// TestOnlySuccessClearsSuspicion checks that a request under which two workers exited stays
// suspect after an error response and is cleared by a success.
func TestOnlySuccessClearsSuspicion(t *testing.T) {
	workers := startWorkers(t, 1)
	server, e := startEdge(t, streamRoute(false, 1), workers...)
	book := e.watcher.Quarantine()
	for _, worker := range []string{"a", "b"} {
		book.RecordExit(clock.Now(), &quarantine.Subject{Request: testFingerprint}, worker, time.Time{})
	}
	injectFaults(workers, emulator.HostedFault{Status: http.StatusInternalServerError})
	if status, _, _, err := send(context.Background(), t, server, "1", 2, testTimeout); err != nil || status != http.StatusInternalServerError {
		t.Fatalf("status %d, %v", status, err)
	}
	if got := book.Standing(clock.Now(), testFingerprint); got != quarantine.Suspect {
		t.Errorf("standing after a failure: %d", got)
	}
	injectFaults(workers, emulator.HostedFault{})
	if status, _, _, err := send(context.Background(), t, server, "2", 2, testTimeout); err != nil || status != http.StatusOK {
		t.Fatalf("status %d, %v", status, err)
	}
	if got := book.Standing(clock.Now(), testFingerprint); got != quarantine.Unknown {
		t.Errorf("standing after a success: %d", got)
	}
}

// TestQuarantinedRequestsReachNoWorker checks that a quarantined request is rejected at once, as
// not run and with Retry-After, while no coordinator decides on trials.
func TestQuarantinedRequestsReachNoWorker(t *testing.T) {
	workers := startWorkers(t, 2)
	server, e := startEdge(t, streamRoute(true, 2), workers...)
	for _, worker := range []string{"a", "b", "c"} {
		e.watcher.Quarantine().RecordExit(clock.Now(), &quarantine.Subject{Request: testFingerprint}, worker, time.Time{})
	}
	status, header, _, err := send(context.Background(), t, server, "1", 2, testTimeout)
	if err != nil || status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || runCount(workers) != 0 {
		t.Errorf("status %d, Retry-After %q, %v, %d runs", status, header.Get("Retry-After"), err, runCount(workers))
	}
}
