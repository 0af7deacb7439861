package batchplan

import (
	"testing"
	"time"
)

// TestKnowledgeCoversJob guards against verdicts on a job by a configuration older than the one under
// which it was accepted, in either order of events.
func TestKnowledgeCoversJob(t *testing.T) {
	seen := time.Unix(100, 0)
	for _, test := range []struct {
		name      string
		version   uint64
		confirmed time.Duration
		accepted  uint64
		want      bool
	}{
		{"accepted under a newer version", 4, time.Second, 5, false},
		{"accepted under this version, no leader heard since", 5, -time.Second, 5, false},
		{"accepted under this version, confirmed since", 5, time.Second, 5, true},
		{"accepted under an older version, confirmed since", 6, time.Second, 5, true},
		{"accepted by a build that tells no version, no leader heard since", 5, 0, 0, false},
		{"accepted by a build that tells no version, confirmed since", 5, time.Second, 0, true},
	} {
		known := Knowledge{Version: test.version, ConfirmedAt: seen.Add(test.confirmed)}
		if got := known.Covers(test.accepted, seen); got != test.want {
			t.Errorf("%s: covered %t", test.name, got)
		}
	}
	if (Knowledge{Version: 9}).Covers(5, time.Time{}) {
		t.Error("a configuration that no leader has confirmed covers a job")
	}
}

// TestAbsenceCountsConfirmedTime guards against routes that end by the passing of time in which no
// leader is heard, and against routes that never end.
func TestAbsenceCountsConfirmedTime(t *testing.T) {
	start := time.Unix(100, 0)
	at := func(after time.Duration) Knowledge { return Knowledge{Version: 1, ConfirmedAt: start.Add(after)} }
	var absence RouteAbsence
	for range 100 {
		if absence.RecordMissing(at(0), true) {
			t.Fatal("the route ended although no leader was heard")
		}
	}
	if absence.RecordMissing(at(RouteGrace), true) {
		t.Error("the route ended too early")
	}
	if absence.RecordMissing(at(2*RouteGrace), false) || absence.RecordMissing(at(2*RouteGrace), true) {
		t.Error("time counts in which the configuration did not cover the job")
	}
	absence.RecordPresent()
	if absence.RecordMissing(at(4*RouteGrace), true) {
		t.Error("the route ended although it had come back")
	}
	if !absence.RecordMissing(at(5*RouteGrace+1), true) {
		t.Error("the route has not ended")
	}
}
