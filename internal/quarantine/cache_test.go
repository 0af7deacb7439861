package quarantine

import (
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// TestCacheOfOneProcess follows the cache of one process: its own observations count in addition
// to the coordinators' rows, each worker once, also while no coordinator answers. Acknowledged
// runs are not reported again.
func TestCacheOfOneProcess(t *testing.T) {
	cache, table, now := NewCache(), NewTable(), time.Unix(1000, 0)
	wantStanding := func(want Standing, when string) {
		t.Helper()
		if got := cache.Standing(now, 1); got != want {
			t.Errorf("%s: %d, want %d", when, got, want)
		}
	}
	if cache.InUse() || cache.Report(now) != nil {
		t.Error("an empty cache is in use")
	}
	cache.RecordSuccess(now, &Subject{Request: 1})
	if cache.InUse() {
		t.Error("the success of an unknown request is reported")
	}
	cache.RecordExit(now, &Subject{Request: 1}, "a", time.Time{})
	wantStanding(Suspect, "one worker")
	cache.RecordExit(now, &Subject{Request: 1}, "b", time.Time{})
	cache.RecordExit(now, &Subject{Request: 1}, "b", time.Time{})
	wantStanding(Suspect, "two workers")

	report := cache.Report(now)
	table.Apply(&wire.QuarantineCommand{Runs: report.Runs})
	update := table.Since(report.Known)
	cache.Apply(now, &update)
	wantStanding(Suspect, "updated with its own report before the answer to it")
	cache.RecordAnswer(now, &update)
	if cache.Report(now) != nil {
		t.Error("an acknowledged run is reported again")
	}
	cache.RecordExit(now, &Subject{Request: 1}, "c", time.Time{})
	wantStanding(Refused, "a third worker, observed by this process only")
	if cache.TrialDelay(now, []Fingerprint{1}) == 0 {
		t.Error("a trial may be requested before the exit is reported")
	}
	cache.Report(now)
	cache.RecordAnswer(now, nil)
	wantStanding(Refused, "no coordinator answers")
	now = now.Add(ownRunTTL + time.Second)
	wantStanding(Suspect, "no coordinator answers for longer than ownRunTTL")
	if cache.Report(now) != nil {
		t.Error("expired exits are reported")
	}
	cache.RecordSuccess(now, &Subject{Request: 1})
	wantStanding(Unknown, "a success")
	success := cache.Report(now)
	table.Apply(&wire.QuarantineCommand{Runs: success.Runs})
	successUpdate := table.Since(success.Known)
	cache.RecordAnswer(now, &successUpdate)
	wantStanding(Unknown, "an acknowledged success")
	if cache.InUse() {
		t.Error("the cache is in use although no request is known")
	}
}

// TestCacheIsBounded records more exits than the cache holds while no coordinator answers.
func TestCacheIsBounded(t *testing.T) {
	cache, now := NewCache(), time.Unix(1000, 0)
	for request := Fingerprint(1); request <= 3*maxOwnRuns; request++ {
		cache.RecordExit(now, &Subject{Request: request}, "a", time.Time{})
		cache.DenyTrial(now, []Fingerprint{request}, time.Minute)
	}
	if len(cache.ownRuns) != maxOwnRuns || cache.DroppedReportCount() != 2*maxOwnRuns || len(cache.trialNotBefore) > maxRows {
		t.Errorf("%d runs, %d dropped, %d trial times", len(cache.ownRuns), cache.DroppedReportCount(), len(cache.trialNotBefore))
	}
}

// TestOlderUpdatesAreIgnored lets two answers arrive in the wrong order.
func TestOlderUpdatesAreIgnored(t *testing.T) {
	cache, table, now := NewCache(), NewTable(), time.Unix(1000, 0)
	table.Apply(&wire.QuarantineCommand{Runs: []wire.RunReport{exitReport(1, 1), exitReport(1, 2)}})
	older := table.Since(0)
	table.Apply(&wire.QuarantineCommand{Runs: []wire.RunReport{exitReport(1, 3)}})
	newer := table.Since(0)
	cache.Apply(now, &newer)
	cache.Apply(now, &older)
	if cache.Standing(now, 1) != Refused {
		t.Error("an older update readmitted a refused request")
	}
}

// TestCacheCountsExitsOfOneWorker lets a worker exit repeatedly under the same id. A run that
// started after an exit is evidence of another exit; runs that were broken off together count as
// one.
func TestCacheCountsExitsOfOneWorker(t *testing.T) {
	cache, now := NewCache(), time.Unix(1000, 0)
	for _, step := range []struct {
		name  string
		after time.Duration
		ran   time.Duration
		want  Standing
	}{
		{"a first exit", time.Second, 100 * time.Millisecond, Suspect},
		{"another run broken off by the first exit", time.Millisecond, 300 * time.Millisecond, Suspect},
		{"a second exit", 200 * time.Millisecond, 50 * time.Millisecond, Suspect},
		{"a third exit", 200 * time.Millisecond, 50 * time.Millisecond, Refused},
	} {
		now = now.Add(step.after)
		cache.RecordExit(now, &Subject{Request: 1}, "a", now.Add(-step.ran))
		if got := cache.Standing(now, 1); got != step.want {
			t.Errorf("%s: %d, want %d", step.name, got, step.want)
		}
	}
	report := cache.Report(now.Add(time.Second))
	if first := report.Runs[0]; first.AgoMillis != 1501 {
		t.Errorf("the first run is reported to have started %d ms ago, want 1501", first.AgoMillis)
	}
}
