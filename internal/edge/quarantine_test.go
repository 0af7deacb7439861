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

// identity is that of the requests that send makes.
var identity = quarantine.FingerprintOf("", "h.example", http.MethodPost, "/a", []byte("prompt"))

// TestOnlyGoodEndsCount lets two workers end under a request: a failure that a worker
// answers leaves it suspect, a good end clears it.
func TestOnlyGoodEndsCount(t *testing.T) {
	workers := startWorkers(t, 1)
	server, e := startEdge(t, stream(false, 1), workers...)
	book := e.watcher.Quarantine()
	for _, worker := range []string{"a", "b"} {
		book.RecordExit(clock.Now(), identity, worker, time.Time{})
	}
	behaveAll(workers, emulator.HostedFault{Status: http.StatusInternalServerError})
	if status, _, _, err := send(context.Background(), t, server, "1", 2, patience); err != nil || status != http.StatusInternalServerError {
		t.Fatalf("status %d, %v", status, err)
	}
	if got := book.Standing(clock.Now(), identity); got != quarantine.Suspect {
		t.Errorf("after a failure it stands as %d", got)
	}
	behaveAll(workers, emulator.HostedFault{})
	if status, _, _, err := send(context.Background(), t, server, "2", 2, patience); err != nil || status != http.StatusOK {
		t.Fatalf("status %d, %v", status, err)
	}
	if got := book.Standing(clock.Now(), identity); got != quarantine.Unknown {
		t.Errorf("after a good end it stands as %d", got)
	}
}

// TestRefusedRequestsReachNoWorker refuses a request while no coordinator decides on
// trials: at once, as not run, with when to come back; others are served.
func TestRefusedRequestsReachNoWorker(t *testing.T) {
	workers := startWorkers(t, 2)
	server, e := startEdge(t, stream(true, 2), workers...)
	for _, worker := range []string{"a", "b", "c"} {
		e.watcher.Quarantine().RecordExit(clock.Now(), identity, worker, time.Time{})
	}
	status, header, _, err := send(context.Background(), t, server, "1", 2, patience)
	if err != nil || status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || runs(workers) != 0 {
		t.Errorf("status %d, Retry-After %q, %v, %d runs", status, header.Get("Retry-After"), err, runs(workers))
	}
}
