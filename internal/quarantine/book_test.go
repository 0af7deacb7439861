package quarantine

import (
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// TestBookOfAProcess follows one process: what it saw counts beside what it is told, each
// worker once, also while no coordinator hears it; what is reported is not reported again.
func TestBookOfAProcess(t *testing.T) {
	book, table, now := NewBook(), NewTable(), time.Unix(1000, 0)
	stands := func(want Standing, when string) {
		t.Helper()
		if got := book.Standing(now, 1); got != want {
			t.Errorf("%s: %d, want %d", when, got, want)
		}
	}
	if book.InUse() || book.Report(now) != nil {
		t.Error("an empty book is in use")
	}
	book.Good(now, 1)
	if book.InUse() {
		t.Error("a good end of an unknown request is told")
	}
	book.Ended(now, 1, "a")
	stands(Suspect, "one worker")
	book.Ended(now, 1, "b")
	book.Ended(now, 1, "b")
	stands(Suspect, "two workers")

	report := book.Report(now)
	table.Apply(&wire.QuarantineCommand{Runs: report.Runs})
	told := table.Since(report.Known)
	book.Learn(&told)
	stands(Suspect, "told of what it reported before the answer has come")
	book.Sent(&told)
	if book.Report(now) != nil {
		t.Error("what was taken in is reported again")
	}
	book.Ended(now, 1, "c")
	stands(Refused, "a third worker, seen here alone")
	if book.Wait(now, 1) == 0 {
		t.Error("a trial is asked for before its end is reported")
	}
	book.Report(now)
	book.Sent(nil)
	stands(Refused, "no coordinator answers")
	now = now.Add(ownTime + time.Second)
	stands(Suspect, "none has for long")
	if book.Report(now) != nil {
		t.Error("old ends are reported")
	}
	book.Good(now, 1)
	stands(Unknown, "a good end")
	good := book.Report(now)
	table.Apply(&wire.QuarantineCommand{Runs: good.Runs})
	news := table.Since(good.Known)
	book.Sent(&news)
	stands(Unknown, "a good end that is known")
	if book.InUse() {
		t.Error("the book is in use for nothing")
	}
}

// TestBookIsBounded floods a process that reaches no coordinator.
func TestBookIsBounded(t *testing.T) {
	book, now := NewBook(), time.Unix(1000, 0)
	for request := Fingerprint(1); request <= 3*maxOwn; request++ {
		book.Ended(now, request, "a")
		book.Deny(now, request, time.Minute)
	}
	if len(book.own) != maxOwn || book.Lost() != 2*maxOwn || len(book.waits) > maxRows {
		t.Errorf("%d runs, %d lost, %d waits", len(book.own), book.Lost(), len(book.waits))
	}
}

// TestOlderNewsAreNotTakenIn lets answers overtake one another.
func TestOlderNewsAreNotTakenIn(t *testing.T) {
	book, table := NewBook(), NewTable()
	table.Apply(&wire.QuarantineCommand{Runs: []wire.RunReport{end(1, 1), end(1, 2)}})
	older := table.Since(0)
	table.Apply(&wire.QuarantineCommand{Runs: []wire.RunReport{end(1, 3)}})
	newer := table.Since(0)
	book.Learn(&newer)
	book.Learn(&older)
	if book.Standing(time.Time{}, 1) != Refused {
		t.Error("older news put a refused request back")
	}
}
