package quarantine

import (
	"testing"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// TestGate lets processes of both generations be known: while one of the first is, silent
// ones included, no command is written, and what is known is restated once it is replaced,
// and again by each new leader that knows anything.
func TestGate(t *testing.T) {
	process := func(address string, generation wire.Generation) wire.Process {
		known := wire.Process{Hello: wire.Hello{Replica: wire.Replica{Address: address}}}
		known.Hello.WrittenBy(generation)
		return known
	}
	own, newer, older := process("a", 0), process("b", wire.GenerationCurrent), process("c", wire.GenerationFirst)
	older.SilentMillis = 6_000
	gone := older
	gone.SilentMillis = 60_000
	due, table := &wire.QuarantineCommand{Expired: []uint64{1}}, NewTable()
	var gate Gate
	for _, step := range []struct {
		name               string
		processes          []wire.Process
		turned, closed     bool
		restated, carryOut bool
	}{
		{"all of this build", []wire.Process{own, newer}, false, false, false, true},
		{"one of the first, silent", []wire.Process{own, older, newer}, true, true, false, false},
		{"it is still there", []wire.Process{own, older, newer}, false, true, false, false},
		{"it is gone", []wire.Process{own, gone, newer}, true, false, true, false},
		{"it is replaced", []wire.Process{own, newer}, false, false, true, false},
	} {
		if turned := gate.ApplyProcesses(step.processes); turned != step.turned {
			t.Errorf("%s: turned %t", step.name, turned)
		}
		if refusal := gate.Err(); (refusal != nil) != step.closed || refusal != nil && (!failure.Is(refusal, failure.NotRun) || gate.OlderProcess() != "c") {
			t.Errorf("%s: %v, older %q", step.name, refusal, gate.OlderProcess())
		}
		command := gate.Command(due, table)
		if (command == due) != step.carryOut || (command != nil && command.Restated != nil) != step.restated {
			t.Errorf("%s: %+v", step.name, command)
		}
	}
	gate.RecordRestatement()
	if gate.StartTerm(table); gate.Command(due, table) != due {
		t.Error("a leader that knows nothing restates it")
	}
	table.Apply(&wire.QuarantineCommand{Runs: []wire.RunReport{end(1, 11)}})
	if gate.StartTerm(table); gate.Command(due, table).Restated == nil {
		t.Error("a new leader does not restate what it knows")
	}
}
