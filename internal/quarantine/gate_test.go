package quarantine

import (
	"testing"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// TestGate mixes processes of both generations. While a process of the first generation is present,
// or became unresponsive only recently, no command is written. Once that process is replaced, the
// table is restated. Each new leader whose table is not empty restates it again.
func TestGate(t *testing.T) {
	process := func(address string, generation wire.Generation) wire.Process {
		known := wire.Process{Hello: wire.Hello{Replica: wire.Replica{Address: address}}}
		known.Hello.SetGeneration(generation)
		return known
	}
	own, newer, older := process("a", 0), process("b", wire.GenerationCurrent), process("c", wire.GenerationFirst)
	older.SilentMillis = 6_000
	removed := older
	removed.SilentMillis = 60_000
	due, table := &wire.QuarantineCommand{Expired: []uint64{1}}, NewTable()
	var gate Gate
	for _, step := range []struct {
		name              string
		processes         []wire.Process
		changed, closed   bool
		restated, wantDue bool
	}{
		{"all of the current generation", []wire.Process{own, newer}, false, false, false, true},
		{"one of the first generation, unresponsive", []wire.Process{own, older, newer}, true, true, false, false},
		{"it is still present", []wire.Process{own, older, newer}, false, true, false, false},
		{"it has been unresponsive for longer than the limit", []wire.Process{own, removed, newer}, true, false, true, false},
		{"it is replaced", []wire.Process{own, newer}, false, false, true, false},
	} {
		if changed := gate.ApplyProcesses(step.processes); changed != step.changed {
			t.Errorf("%s: gate changed %t", step.name, changed)
		}
		if err := gate.Err(); (err != nil) != step.closed || err != nil && (!failure.Is(err, failure.NotRun) || gate.OlderProcess() != "c") {
			t.Errorf("%s: %v, older %q", step.name, err, gate.OlderProcess())
		}
		command := gate.Command(due, table)
		if (command == due) != step.wantDue || (command != nil && command.Restated != nil) != step.restated {
			t.Errorf("%s: %+v", step.name, command)
		}
	}
	gate.RecordRestatement()
	if gate.StartTerm(table); gate.Command(due, table) != due {
		t.Error("a leader with an empty table restates it")
	}
	table.Apply(&wire.QuarantineCommand{Runs: []wire.RunReport{exitReport(1, 11)}})
	if gate.StartTerm(table); gate.Command(due, table).Restated == nil {
		t.Error("a new leader does not restate its table")
	}
}
