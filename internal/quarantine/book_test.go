package quarantine

import (
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// TestBookOfAProcess follows one process: what it saw counts beside what it is told, each
// worker once, also while no coordinator hears it; what is reported is not reported again.
func TestBookOfAProcess(t *testing.T) {
	book, table, now := NewCache(), NewTable(), time.Unix(1000, 0)
	stands := func(want Standing, when string) {
		t.Helper()
		if got := book.Standing(now, 1); got != want {
			t.Errorf("%s: %d, want %d", when, got, want)
		}
	}
	if book.InUse() || book.Report(now) != nil {
		t.Error("an empty book is in use")
	}
	book.RecordSuccess(now, 1)
	if book.InUse() {
		t.Error("a good end of an unknown request is told")
	}
	book.RecordExit(now, 1, "a", time.Time{})
	stands(Suspect, "one worker")
	book.RecordExit(now, 1, "b", time.Time{})
	book.RecordExit(now, 1, "b", time.Time{})
	stands(Suspect, "two workers")

	report := book.Report(now)
	table.Apply(&wire.QuarantineCommand{Runs: report.Runs})
	told := table.Since(report.Known)
	book.Apply(&told)
	stands(Suspect, "told of what it reported before the answer has come")
	book.RecordAnswer(&told)
	if book.Report(now) != nil {
		t.Error("what was taken in is reported again")
	}
	book.RecordExit(now, 1, "c", time.Time{})
	stands(Refused, "a third worker, seen here alone")
	if book.TrialDelay(now, 1) == 0 {
		t.Error("a trial is asked for before its end is reported")
	}
	book.Report(now)
	book.RecordAnswer(nil)
	stands(Refused, "no coordinator answers")
	now = now.Add(ownTime + time.Second)
	stands(Suspect, "none has for long")
	if book.Report(now) != nil {
		t.Error("old ends are reported")
	}
	book.RecordSuccess(now, 1)
	stands(Unknown, "a good end")
	good := book.Report(now)
	table.Apply(&wire.QuarantineCommand{Runs: good.Runs})
	news := table.Since(good.Known)
	book.RecordAnswer(&news)
	stands(Unknown, "a good end that is known")
	if book.InUse() {
		t.Error("the book is in use for nothing")
	}
}

// TestBookIsBounded floods a process that reaches no coordinator.
func TestBookIsBounded(t *testing.T) {
	book, now := NewCache(), time.Unix(1000, 0)
	for request := Fingerprint(1); request <= 3*maxOwn; request++ {
		book.RecordExit(now, request, "a", time.Time{})
		book.DenyTrial(now, request, time.Minute)
	}
	if len(book.own) != maxOwn || book.DroppedReportCount() != 2*maxOwn || len(book.waits) > maxRows {
		t.Errorf("%d runs, %d lost, %d waits", len(book.own), book.DroppedReportCount(), len(book.waits))
	}
}

// TestOlderNewsAreNotTakenIn lets answers overtake one another.
func TestOlderNewsAreNotTakenIn(t *testing.T) {
	book, table := NewCache(), NewTable()
	table.Apply(&wire.QuarantineCommand{Runs: []wire.RunReport{end(1, 1), end(1, 2)}})
	older := table.Since(0)
	table.Apply(&wire.QuarantineCommand{Runs: []wire.RunReport{end(1, 3)}})
	newer := table.Since(0)
	book.Apply(&newer)
	book.Apply(&older)
	if book.Standing(time.Time{}, 1) != Refused {
		t.Error("older news put a refused request back")
	}
}

// TestBookCountsEndsOfOneWorker lets a worker end again and again under its id: a run that
// began after an end tells of another one, those that it broke off together do not.
func TestBookCountsEndsOfOneWorker(t *testing.T) {
	book, now := NewCache(), time.Unix(1000, 0)
	for _, step := range []struct {
		name  string
		after time.Duration
		ran   time.Duration
		want  Standing
	}{
		{"a first end", time.Second, 100 * time.Millisecond, Suspect},
		{"another run that it broke off", time.Millisecond, 300 * time.Millisecond, Suspect},
		{"a second end", 200 * time.Millisecond, 50 * time.Millisecond, Suspect},
		{"a third one", 200 * time.Millisecond, 50 * time.Millisecond, Refused},
	} {
		now = now.Add(step.after)
		book.RecordExit(now, 1, "a", now.Add(-step.ran))
		if got := book.Standing(now, 1); got != step.want {
			t.Errorf("%s: %d, want %d", step.name, got, step.want)
		}
	}
	report := book.Report(now.Add(time.Second))
	if first := report.Runs[0]; first.AgoMillis != 1501 {
		t.Errorf("the first run is told to have begun %d ms ago", first.AgoMillis)
	}
}
