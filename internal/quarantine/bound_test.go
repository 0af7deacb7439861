package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// TestNewRunsStay reports more runs than are kept while no coordinator takes any: the newest
// are kept, so that a request that ends workers now is refused here; and what is on its
// way is taken off by its answer, no more.
func TestNewRunsStay(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewCache()
	for request := range maxOwn {
		b.RecordExit(now, Fingerprint(request+1), "w", time.Time{})
	}
	for number := range Threshold {
		b.RecordExit(now, Fingerprint(99_999), fmt.Sprint("w", number), time.Time{})
	}
	if b.Standing(now, Fingerprint(99_999)) != Refused || b.DroppedReportCount() != Threshold {
		t.Errorf("a request under which three workers ended is not refused, %d reports lost", b.DroppedReportCount())
	}
	report := b.Report(now)
	b.RecordExit(now, Fingerprint(77_777), "w", time.Time{})
	if len(report.Runs) != maxOwn || b.Standing(now, Fingerprint(77_777)) != Unknown {
		t.Errorf("%d runs are told; one came in their place", len(report.Runs))
	}
	b.RecordAnswer(&wire.QuarantineNews{Revision: 1})
	if b.Report(now) != nil {
		t.Error("runs are left after all were taken in")
	}
}
