package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// TestNewestRunsAreKept records more runs than the cache holds while no coordinator acknowledges
// any. The newest runs are kept, so that a request that makes workers exit now is refused by
// this process; an answer removes exactly the runs that were in flight.
func TestNewestRunsAreKept(t *testing.T) {
	now := time.Unix(1000, 0)
	cache := NewCache()
	for request := range maxOwnRuns {
		cache.RecordExit(now, &Subject{Request: Fingerprint(request + 1)}, "w", time.Time{})
	}
	for worker := range Threshold {
		cache.RecordExit(now, &Subject{Request: Fingerprint(99_999)}, fmt.Sprint("w", worker), time.Time{})
	}
	if cache.Standing(now, Fingerprint(99_999)) != Refused || cache.DroppedReportCount() != Threshold {
		t.Errorf("a request under which three workers exited is not refused, %d runs dropped", cache.DroppedReportCount())
	}
	report := cache.Report(now)
	cache.RecordExit(now, &Subject{Request: Fingerprint(77_777)}, "w", time.Time{})
	if len(report.Runs) != maxOwnRuns || cache.Standing(now, Fingerprint(77_777)) != Unknown {
		t.Errorf("%d runs are reported; a new run replaced one in flight", len(report.Runs))
	}
	cache.RecordAnswer(now, &wire.QuarantineNews{Revision: 1})
	if cache.Report(now) != nil {
		t.Error("runs remain after all were acknowledged")
	}
}
