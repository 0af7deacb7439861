package quarantine

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/proptest"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// end and good are reports of runs.
func end(request Fingerprint, worker uint32) wire.RunReport {
	return wire.RunReport{Request: uint64(request), Worker: worker}
}

// begun is the end of a run that began so many milliseconds before the report.
func begun(request Fingerprint, worker, ago uint32) wire.RunReport {
	return wire.RunReport{Request: uint64(request), Worker: worker, AgoMillis: ago}
}

func good(request Fingerprint) wire.RunReport { return wire.RunReport{Request: uint64(request)} }

func refused(t *Table, request Fingerprint) bool {
	entry := t.Entry(request)
	return entry != nil && entry.Refused
}

// TestFingerprintTellsRequestsApart changes one part after the other.
func TestFingerprintTellsRequestsApart(t *testing.T) {
	prints := map[Fingerprint]string{}
	for name, print := range map[string]Fingerprint{
		"whole":      FingerprintOf("owner", "host", "POST", "/a", []byte("body")),
		"owner":      FingerprintOf("other", "host", "POST", "/a", []byte("body")),
		"host":       FingerprintOf("owner", "other", "POST", "/a", []byte("body")),
		"method":     FingerprintOf("owner", "host", "PUT", "/a", []byte("body")),
		"target":     FingerprintOf("owner", "host", "POST", "/a?b", []byte("body")),
		"body":       FingerprintOf("owner", "host", "POST", "/a", []byte("bodY")),
		"run over":   FingerprintOf("ownerh", "ost", "POST", "/a", []byte("body")),
		"into body":  FingerprintOf("owner", "host", "POST", "/", []byte("abody")),
		"empty body": FingerprintOf("owner", "host", "POST", "/abody", nil),
	} {
		if other, taken := prints[print]; taken {
			t.Errorf("%s has the identity of %s", name, other)
		}
		prints[print] = name
	}
}

// TestRefusedAfterThreeEnds gives the rules one by one.
func TestRefusedAfterThreeEnds(t *testing.T) {
	const deadly, frequent, bystander = 1, 2, 3
	for _, test := range []struct {
		name     string
		commands []wire.QuarantineCommand
		refused  map[Fingerprint]bool
	}{
		{"three workers", []wire.QuarantineCommand{
			{Runs: []wire.RunReport{end(deadly, 11)}}, {Runs: []wire.RunReport{end(deadly, 12)}}, {Runs: []wire.RunReport{end(deadly, 13)}},
		}, map[Fingerprint]bool{deadly: true}},
		{"two workers", []wire.QuarantineCommand{{Runs: []wire.RunReport{end(deadly, 11), end(deadly, 12)}}}, nil},
		{"one worker, told by three", []wire.QuarantineCommand{
			{Runs: []wire.RunReport{end(deadly, 11)}}, {AtMillis: 400, Runs: []wire.RunReport{end(deadly, 11)}}, {AtMillis: 900, Runs: []wire.RunReport{end(deadly, 11)}},
		}, nil},
		{"one worker that keeps its name", []wire.QuarantineCommand{
			{Runs: []wire.RunReport{end(deadly, 11)}}, {AtMillis: 4000, Runs: []wire.RunReport{end(deadly, 11)}}, {AtMillis: 8000, Runs: []wire.RunReport{end(deadly, 11)}},
		}, map[Fingerprint]bool{deadly: true}},
		{"one worker that is back each time within the second", []wire.QuarantineCommand{
			{Runs: []wire.RunReport{begun(deadly, 11, 40)}}, {AtMillis: 400, Runs: []wire.RunReport{begun(deadly, 11, 200)}},
			{AtMillis: 500, Runs: []wire.RunReport{begun(deadly, 11, 300)}}, {AtMillis: 900, Runs: []wire.RunReport{begun(deadly, 11, 30)}},
		}, map[Fingerprint]bool{deadly: true}},
		{"one end, told by those whose runs began before it", []wire.QuarantineCommand{
			{Runs: []wire.RunReport{begun(deadly, 11, 40)}}, {AtMillis: 10, Runs: []wire.RunReport{begun(deadly, 11, 5)}},
			{AtMillis: 400, Runs: []wire.RunReport{begun(deadly, 11, 500)}}, {AtMillis: 900, Runs: []wire.RunReport{begun(deadly, 11, 880)}},
		}, nil},
		{"a good end between", []wire.QuarantineCommand{
			{Runs: []wire.RunReport{end(frequent, 11), end(frequent, 12), good(frequent)}}, {Runs: []wire.RunReport{end(frequent, 13), end(frequent, 14)}},
		}, nil},
		{"let in again by a good end", []wire.QuarantineCommand{
			{Runs: []wire.RunReport{end(frequent, 11), end(frequent, 12), end(frequent, 13)}}, {Runs: []wire.RunReport{good(frequent)}},
		}, nil},
		{"both refused where both were on all three", []wire.QuarantineCommand{
			{Runs: []wire.RunReport{end(frequent, 11), end(deadly, 11)}}, {Runs: []wire.RunReport{end(frequent, 12), end(deadly, 12)}},
			{Runs: []wire.RunReport{end(frequent, 13)}}, {AtMillis: 20, Runs: []wire.RunReport{end(deadly, 13)}},
		}, map[Fingerprint]bool{deadly: true, frequent: true}},
		{"not held against others once it is settled", []wire.QuarantineCommand{
			{Runs: []wire.RunReport{end(bystander, 11), end(deadly, 11), end(bystander, 12), end(deadly, 12), end(deadly, 13)}},
			{AtMillis: 2000, Settled: []uint64{deadly}},
			{AtMillis: 2100, Runs: []wire.RunReport{end(bystander, 14), end(bystander, 15)}},
		}, map[Fingerprint]bool{deadly: true}},
		{"a later end under a known one explains another's", []wire.QuarantineCommand{
			{Runs: []wire.RunReport{end(deadly, 11), end(deadly, 12), end(deadly, 13)}}, {AtMillis: 2000, Settled: []uint64{deadly}},
			{AtMillis: 3000, Runs: []wire.RunReport{end(deadly, 14), end(bystander, 14)}},
			{AtMillis: 3100, Runs: []wire.RunReport{end(bystander, 15), end(bystander, 16)}},
		}, map[Fingerprint]bool{deadly: true}},
		{"expired", []wire.QuarantineCommand{
			{Runs: []wire.RunReport{end(deadly, 11), end(deadly, 12), end(deadly, 13)}}, {Expired: []uint64{deadly}},
		}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := NewTable()
			for i := range test.commands {
				table.Apply(&test.commands[i])
			}
			for _, request := range []Fingerprint{deadly, frequent, bystander} {
				if got := refused(table, request); got != test.refused[request] {
					t.Errorf("request %d refused %t", request, got)
				}
			}
		})
	}
}

// TestTableIsBounded floods the table: it stays bounded, and what is refused stays while
// suspects go.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	table.Apply(&wire.QuarantineCommand{Runs: []wire.RunReport{end(1, 1), end(1, 2), end(1, 3)}})
	for request := Fingerprint(2); request < 5*maxRows; request++ {
		table.Apply(&wire.QuarantineCommand{Runs: []wire.RunReport{end(request, 9)}})
	}
	if len(table.rows) > maxRows || len(table.changes) > maxChanges || !refused(table, 1) {
		t.Errorf("%d rows, %d changes, the refused one is there: %t", len(table.rows), len(table.changes), refused(table, 1))
	}
	if news := table.Since(1); !news.Whole || len(news.Rows) != maxRows {
		t.Errorf("who knows what is forgotten is told %d rows, whole %t", len(news.Rows), news.Whole)
	}
}

// TestRandomTables draws commands: two replicas agree, one that is restored goes on alike,
// a process that follows the news knows what the table does, and a request that never has
// a good end is refused from its third worker on.
func TestRandomTables(t *testing.T) {
	proptest.Run(t, "quarantine", func(random *rand.Rand) error {
		table, replica, book := NewTable(), NewTable(), NewCache()
		for step := range 60 {
			command := drawnCommand(random, int64(step)*700)
			if !reflect.DeepEqual(table.Apply(command), replica.Apply(command)) {
				return fmt.Errorf("step %d: replicas differ", step)
			}
			if random.Intn(10) == 0 {
				var entries []wire.QuarantineEntry
				for _, row := range replica.rows {
					entries = append(entries, *row)
				}
				replica.Restore(replica.Revision(), entries)
			}
			if random.Intn(3) == 0 {
				// The news come from either.
				from := []*Table{table, replica}[random.Intn(2)]
				news := from.Since(book.Revision())
				book.Apply(&news)
			}
		}
		news := replica.Since(book.Revision())
		book.Apply(&news)
		for request := Fingerprint(1); request <= 5; request++ {
			if got, want := book.Standing(time.Time{}, request) == Refused, refused(table, request); got != want && len(table.rows[request].Ends) > 0 {
				return fmt.Errorf("request %d: refused %t by the news, %t by the table", request, got, want)
			}
			if row := table.Entry(request); row != nil && len(row.Ends) >= Threshold && !row.Refused {
				return fmt.Errorf("request %d has %d ends and is not refused", request, len(row.Ends))
			}
		}
		if !reflect.DeepEqual(table.rows, replica.rows) || table.Revision() != replica.Revision() {
			return fmt.Errorf("a restored replica differs")
		}
		return nil
	})
}

func drawnCommand(random *rand.Rand, at int64) *wire.QuarantineCommand {
	command := &wire.QuarantineCommand{AtMillis: at}
	for range random.Intn(4) {
		run := end(Fingerprint(1+random.Intn(5)), uint32(1+random.Intn(6)))
		if random.Intn(5) == 0 {
			run.Worker = 0
		}
		command.Runs = append(command.Runs, run)
	}
	switch request := uint64(1 + random.Intn(5)); random.Intn(6) {
	case 0:
		command.Trial = request
	case 1:
		command.Settled = []uint64{request}
	case 2:
		command.Expired = []uint64{request}
	}
	return command
}

// TestTrials gives trials and terms: after a second, a minute, two, an hour at most, by each
// leader's own time.
func TestTrials(t *testing.T) {
	table, warden, now := NewTable(), NewTimers(), time.Unix(1000, 0)
	table.Apply(&wire.QuarantineCommand{Runs: []wire.RunReport{end(1, 1), end(1, 2), end(1, 3), end(2, 1)}})
	if warden.Tick(now, table) != nil {
		t.Error("something follows at once")
	}
	var pauses []time.Duration
	last := now
	for range 9 {
		granted, wait := warden.GrantTrial(now, table, 1)
		if granted {
			t.Fatalf("a trial is granted %s early", wait)
		}
		now = now.Add(wait)
		pauses = append(pauses, now.Sub(last))
		last = now
		if granted, _ := warden.GrantTrial(now, table, 1); !granted {
			t.Fatal("no trial is granted when it is due")
		}
		if granted, wait := warden.GrantTrial(now, table, 1); granted || wait != trialPoll {
			t.Fatalf("while a trial runs: granted %t, come back after %s", granted, wait)
		}
		table.Apply(&wire.QuarantineCommand{Trial: 1})
		warden.Tick(now, table)
		now = now.Add(trialTime)
	}
	want := []time.Duration{time.Second, time.Minute, 2 * time.Minute, 4 * time.Minute, 8 * time.Minute, 16 * time.Minute, 32 * time.Minute, time.Hour, time.Hour}
	if !reflect.DeepEqual(pauses, want) {
		t.Errorf("trials after %v, want %v", pauses, want)
	}
	if command := warden.Tick(now, table); command == nil || !reflect.DeepEqual(command.Expired, []uint64{2}) || !reflect.DeepEqual(command.Settled, []uint64{1}) {
		t.Errorf("what follows is %+v", command)
	}
	if command := NewTimers().Tick(now, table); command != nil {
		t.Errorf("a new leader does %+v at once", command)
	}
	if granted, _ := warden.GrantTrial(now, table, 7); !granted {
		t.Error("a request that is not refused may not run")
	}
}

// BenchmarkOf: the cost of an identity for a body of 8 KB, paid only while any request is
// known: 7.0 us, 192 B.
func BenchmarkOf(b *testing.B) {
	body := make([]byte, 8<<10)
	b.ReportAllocs()
	for b.Loop() {
		FingerprintOf("owner", "host.example", "POST", "/a/b", body)
	}
}

// BenchmarkStanding: the look-up with a full table, 77 ns, no allocation.
func BenchmarkStanding(b *testing.B) {
	table, book := NewTable(), NewCache()
	for request := Fingerprint(1); request <= maxRows; request++ {
		table.Apply(&wire.QuarantineCommand{Runs: []wire.RunReport{end(request, 1), end(request, 2), end(request, 3)}})
	}
	news := table.Since(0)
	book.Apply(&news)
	b.ReportAllocs()
	for b.Loop() {
		book.Standing(time.Time{}, 77)
	}
}

// BenchmarkFullBook: what a process keeps when it knows as many requests as there may be,
// each with as many ends: 300 kB, told in 47 kB.
func BenchmarkFullBook(b *testing.B) {
	table := NewTable()
	for request := Fingerprint(1); request <= maxRows; request++ {
		command := &wire.QuarantineCommand{}
		for worker := uint32(1); worker <= maxEnds; worker++ {
			command.Runs = append(command.Runs, end(request, worker<<28|worker))
		}
		table.Apply(command)
	}
	news := table.Since(0)
	encoded, err := news.MarshalMsg(nil)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		var told wire.QuarantineNews
		if _, err := told.UnmarshalMsg(encoded); err != nil {
			b.Fatal(err)
		}
		NewCache().Apply(&told)
	}
	b.ReportMetric(float64(len(encoded)), "bytes/news")
}
