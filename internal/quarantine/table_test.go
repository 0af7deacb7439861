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

// exitReport is the report of a run that a worker's exit broke off.
func exitReport(request Fingerprint, worker uint32) wire.RunReport {
	return wire.RunReport{Request: uint64(request), Worker: worker}
}

// exitOfRun is the report of a run that started ago milliseconds earlier and that a worker's exit
// broke off.
func exitOfRun(request Fingerprint, worker, ago uint32) wire.RunReport {
	return wire.RunReport{Request: uint64(request), Worker: worker, AgoMillis: ago}
}

func successReport(request Fingerprint) wire.RunReport {
	return wire.RunReport{Request: uint64(request)}
}

func refused(t *Table, request Fingerprint) bool {
	entry := t.Entry(request)
	return entry != nil && entry.Refused
}

// TestFingerprintTellsRequestsApart changes one part of a request at a time.
func TestFingerprintTellsRequestsApart(t *testing.T) {
	names := map[Fingerprint]string{}
	for name, fingerprint := range map[string]Fingerprint{
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
		if other, taken := names[fingerprint]; taken {
			t.Errorf("%s has the fingerprint of %s", name, other)
		}
		names[fingerprint] = name
	}
}

// TestRefusedAfterThreeExits checks the rules of refusal one by one.
func TestRefusedAfterThreeExits(t *testing.T) {
	const harmful, intermittent, bystander = 1, 2, 3
	for _, test := range []struct {
		name     string
		commands []wire.QuarantineCommand
		refused  map[Fingerprint]bool
	}{
		{"three workers", []wire.QuarantineCommand{
			{Runs: []wire.RunReport{exitReport(harmful, 11)}}, {Runs: []wire.RunReport{exitReport(harmful, 12)}}, {Runs: []wire.RunReport{exitReport(harmful, 13)}},
		}, map[Fingerprint]bool{harmful: true}},
		{"two workers", []wire.QuarantineCommand{{Runs: []wire.RunReport{exitReport(harmful, 11), exitReport(harmful, 12)}}}, nil},
		{"one worker, reported by three processes", []wire.QuarantineCommand{
			{Runs: []wire.RunReport{exitReport(harmful, 11)}}, {AtMillis: 400, Runs: []wire.RunReport{exitReport(harmful, 11)}}, {AtMillis: 900, Runs: []wire.RunReport{exitReport(harmful, 11)}},
		}, nil},
		{"one worker that restarts under its id", []wire.QuarantineCommand{
			{Runs: []wire.RunReport{exitReport(harmful, 11)}}, {AtMillis: 4000, Runs: []wire.RunReport{exitReport(harmful, 11)}}, {AtMillis: 8000, Runs: []wire.RunReport{exitReport(harmful, 11)}},
		}, map[Fingerprint]bool{harmful: true}},
		{"one worker that restarts each time within a second", []wire.QuarantineCommand{
			{Runs: []wire.RunReport{exitOfRun(harmful, 11, 40)}}, {AtMillis: 400, Runs: []wire.RunReport{exitOfRun(harmful, 11, 200)}},
			{AtMillis: 500, Runs: []wire.RunReport{exitOfRun(harmful, 11, 300)}}, {AtMillis: 900, Runs: []wire.RunReport{exitOfRun(harmful, 11, 30)}},
		}, map[Fingerprint]bool{harmful: true}},
		{"one exit, reported for runs that started before it", []wire.QuarantineCommand{
			{Runs: []wire.RunReport{exitOfRun(harmful, 11, 40)}}, {AtMillis: 10, Runs: []wire.RunReport{exitOfRun(harmful, 11, 5)}},
			{AtMillis: 400, Runs: []wire.RunReport{exitOfRun(harmful, 11, 500)}}, {AtMillis: 900, Runs: []wire.RunReport{exitOfRun(harmful, 11, 880)}},
		}, nil},
		{"a success in between", []wire.QuarantineCommand{
			{Runs: []wire.RunReport{exitReport(intermittent, 11), exitReport(intermittent, 12), successReport(intermittent)}}, {Runs: []wire.RunReport{exitReport(intermittent, 13), exitReport(intermittent, 14)}},
		}, nil},
		{"readmitted by a success", []wire.QuarantineCommand{
			{Runs: []wire.RunReport{exitReport(intermittent, 11), exitReport(intermittent, 12), exitReport(intermittent, 13)}}, {Runs: []wire.RunReport{successReport(intermittent)}},
		}, nil},
		{"both refused if both ran on all three workers", []wire.QuarantineCommand{
			{Runs: []wire.RunReport{exitReport(intermittent, 11), exitReport(harmful, 11)}}, {Runs: []wire.RunReport{exitReport(intermittent, 12), exitReport(harmful, 12)}},
			{Runs: []wire.RunReport{exitReport(intermittent, 13)}}, {AtMillis: 20, Runs: []wire.RunReport{exitReport(harmful, 13)}},
		}, map[Fingerprint]bool{harmful: true, intermittent: true}},
		{"shared exits do not count against others once settled", []wire.QuarantineCommand{
			{Runs: []wire.RunReport{exitReport(bystander, 11), exitReport(harmful, 11), exitReport(bystander, 12), exitReport(harmful, 12), exitReport(harmful, 13)}},
			{AtMillis: 2000, Settled: []uint64{harmful}},
			{AtMillis: 2100, Runs: []wire.RunReport{exitReport(bystander, 14), exitReport(bystander, 15)}},
		}, map[Fingerprint]bool{harmful: true}},
		{"a later exit under a settled request does not count against another", []wire.QuarantineCommand{
			{Runs: []wire.RunReport{exitReport(harmful, 11), exitReport(harmful, 12), exitReport(harmful, 13)}}, {AtMillis: 2000, Settled: []uint64{harmful}},
			{AtMillis: 3000, Runs: []wire.RunReport{exitReport(harmful, 14), exitReport(bystander, 14)}},
			{AtMillis: 3100, Runs: []wire.RunReport{exitReport(bystander, 15), exitReport(bystander, 16)}},
		}, map[Fingerprint]bool{harmful: true}},
		{"expired", []wire.QuarantineCommand{
			{Runs: []wire.RunReport{exitReport(harmful, 11), exitReport(harmful, 12), exitReport(harmful, 13)}}, {Expired: []uint64{harmful}},
		}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := NewTable()
			for i := range test.commands {
				table.Apply(&test.commands[i])
			}
			for _, request := range []Fingerprint{harmful, intermittent, bystander} {
				if got := refused(table, request); got != test.refused[request] {
					t.Errorf("request %d: refused %t", request, got)
				}
			}
		})
	}
}

// TestTableIsBounded fills the table beyond its bounds: it stays bounded, and suspects are
// evicted before refused requests.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	table.Apply(&wire.QuarantineCommand{Runs: []wire.RunReport{exitReport(1, 1), exitReport(1, 2), exitReport(1, 3)}})
	for request := Fingerprint(2); request < 5*maxRows; request++ {
		table.Apply(&wire.QuarantineCommand{Runs: []wire.RunReport{exitReport(request, 9)}})
	}
	if len(table.rows) > maxRows || len(table.changes) > maxChanges || !refused(table, 1) {
		t.Errorf("%d rows, %d changes, the refused request is kept: %t", len(table.rows), len(table.changes), refused(table, 1))
	}
	if update := table.Since(1); !update.Whole || len(update.Rows) != maxRows {
		t.Errorf("the update for a forgotten revision has %d rows, whole %t", len(update.Rows), update.Whole)
	}
}

// TestRandomTables runs random commands: two replicas agree, a restored replica stays equal, a
// process that applies the updates has the same refusals as the table, and a request with
// Threshold exits and no success is refused.
func TestRandomTables(t *testing.T) {
	proptest.Run(t, "quarantine", func(random *rand.Rand) error {
		table, replica, cache, now := NewTable(), NewTable(), NewCache(), time.Unix(1000, 0)
		for step := range 60 {
			command := randomCommand(random, int64(step)*700)
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
				// Either replica may send the update.
				sender := []*Table{table, replica}[random.Intn(2)]
				update := sender.Since(cache.Revision())
				cache.Apply(now, &update)
			}
		}
		update := replica.Since(cache.Revision())
		cache.Apply(now, &update)
		for request := Fingerprint(1); request <= 5; request++ {
			if got, want := cache.Standing(now, request) == Refused, refused(table, request); got != want && len(table.rows[request].Ends) > 0 {
				return fmt.Errorf("request %d: refused %t in the cache, %t in the table", request, got, want)
			}
			if row := table.Entry(request); row != nil && len(row.Ends) >= Threshold && !row.Refused {
				return fmt.Errorf("request %d has %d exits and is not refused", request, len(row.Ends))
			}
		}
		if !reflect.DeepEqual(table.rows, replica.rows) || table.Revision() != replica.Revision() {
			return fmt.Errorf("a restored replica differs")
		}
		return nil
	})
}

func randomCommand(random *rand.Rand, at int64) *wire.QuarantineCommand {
	command := &wire.QuarantineCommand{AtMillis: at}
	for range random.Intn(4) {
		run := exitReport(Fingerprint(1+random.Intn(5)), uint32(1+random.Intn(6)))
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

// TestTrials checks the times of trials, settling and expiry: trials after a second, 2.5 s, a minute,
// two minutes and so on up to an hour, by the own clock of each leader.
func TestTrials(t *testing.T) {
	table, timers, now := NewTable(), NewTimers(), time.Unix(1000, 0)
	table.Apply(&wire.QuarantineCommand{Runs: []wire.RunReport{exitReport(1, 1), exitReport(1, 2), exitReport(1, 3), exitReport(2, 1)}})
	if timers.Tick(now, table) != nil {
		t.Error("a command is due at once")
	}
	var delays []time.Duration
	last := now
	for range 9 {
		granted, wait := timers.GrantTrial(now, table, []Fingerprint{1}, false)
		if granted {
			t.Fatalf("a trial is granted %s early", wait)
		}
		now = now.Add(wait)
		delays = append(delays, now.Sub(last))
		last = now
		if granted, _ := timers.GrantTrial(now, table, []Fingerprint{1}, false); !granted {
			t.Fatal("no trial is granted when it is due")
		}
		if granted, wait := timers.GrantTrial(now, table, []Fingerprint{1}, false); granted || wait != trialPollInterval {
			t.Fatalf("while a trial runs: granted %t, retry after %s", granted, wait)
		}
		table.Apply(&wire.QuarantineCommand{Trial: 1})
		timers.Tick(now, table)
		now = now.Add(trialTimeout)
	}
	want := []time.Duration{time.Second, 2500 * time.Millisecond, time.Minute, 2 * time.Minute, 4 * time.Minute, 8 * time.Minute, 16 * time.Minute, 32 * time.Minute, time.Hour}
	if !reflect.DeepEqual(delays, want) {
		t.Errorf("trials after %v, want %v", delays, want)
	}
	if command := timers.Tick(now, table); command == nil || !reflect.DeepEqual(command.Expired, []uint64{2}) || !reflect.DeepEqual(command.Settled, []uint64{1}) {
		t.Errorf("the due command is %+v", command)
	}
	if command := NewTimers().Tick(now, table); command != nil {
		t.Errorf("a new leader's due command is %+v, want none", command)
	}
	if granted, _ := timers.GrantTrial(now, table, []Fingerprint{7}, false); !granted {
		t.Error("a request that is not refused may not run")
	}
}

// BenchmarkFingerprintOf measures the fingerprint of a request with a body of 8 KB, which is
// computed only while any request is known: 7.0 us, 192 B.
func BenchmarkFingerprintOf(b *testing.B) {
	body := make([]byte, 8<<10)
	b.ReportAllocs()
	for b.Loop() {
		FingerprintOf("owner", "host.example", "POST", "/a/b", body)
	}
}

// BenchmarkStanding measures the lookup with a full table: 77 ns, no allocation.
func BenchmarkStanding(b *testing.B) {
	table, cache := NewTable(), NewCache()
	for request := Fingerprint(1); request <= maxRows; request++ {
		table.Apply(&wire.QuarantineCommand{Runs: []wire.RunReport{exitReport(request, 1), exitReport(request, 2), exitReport(request, 3)}})
	}
	update := table.Since(0)
	now := time.Unix(1000, 0)
	cache.Apply(now, &update)
	b.ReportAllocs()
	for b.Loop() {
		cache.Standing(now, 77)
	}
}

// BenchmarkFullCache measures the cache of a process with the maximum of requests and exits: 300
// kB, from an update of 47 kB.
func BenchmarkFullCache(b *testing.B) {
	table := NewTable()
	for request := Fingerprint(1); request <= maxRows; request++ {
		command := &wire.QuarantineCommand{}
		for worker := uint32(1); worker <= maxExits; worker++ {
			command.Runs = append(command.Runs, exitReport(request, worker<<28|worker))
		}
		table.Apply(command)
	}
	update := table.Since(0)
	encoded, err := update.MarshalMsg(nil)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		var decoded wire.QuarantineNews
		if _, err := decoded.UnmarshalMsg(encoded); err != nil {
			b.Fatal(err)
		}
		NewCache().Apply(time.Unix(1000, 0), &decoded)
	}
	b.ReportMetric(float64(len(encoded)), "bytes/news")
}
