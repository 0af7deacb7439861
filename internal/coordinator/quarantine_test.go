package coordinator

import (
	"testing"

	"github.com/sedgemast/sedgemast/internal/fleetstate"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// TestOnlyRefusalChangesWakeWatches applies commands: reports that only add suspicion wake no
// watch, the start and end of a refusal and every other command do, and a process that knows
// the newest revision needs no urgent update.
func TestOnlyRefusalChangesWakeWatches(t *testing.T) {
	c := &Coordinator{machine: fleetstate.New(), changed: make(chan struct{})}
	exit := func(worker uint32) *wire.FleetCommand {
		return &wire.FleetCommand{Quarantine: &wire.QuarantineCommand{Runs: []wire.RunReport{{Request: 1, Worker: worker}}}}
	}
	for _, step := range []struct {
		name    string
		command *wire.FleetCommand
		wakes   bool
	}{
		{"a first exit", exit(11), false},
		{"a second exit", exit(12), false},
		{"the second exit again", exit(12), true}, // a command without a change wakes, as any other command
		{"a third exit", exit(13), true},
		{"a fourth exit", exit(14), false},
		{"a configuration", &wire.FleetCommand{Apply: &wire.ApplyRoutes{Version: 1, Source: []byte("a")}}, true},
		{"a successful run", exit(0), true},
	} {
		encoded, err := step.command.MarshalMsg(nil)
		if err != nil {
			t.Fatal(err)
		}
		woken, known := c.changed, c.machine.Quarantine().Revision()
		c.machine.Apply(encoded)
		c.onApplied()
		select {
		case <-woken:
			if !step.wakes {
				t.Errorf("%s wakes the watches, want none woken", step.name)
			}
		default:
			if step.wakes {
				t.Errorf("%s wakes no watch, want all woken", step.name)
			}
		}
		if now := c.machine.Quarantine().Revision(); c.needsUrgentUpdate(now) || c.needsUrgentUpdate(known) != (step.wakes && now != known) {
			t.Errorf("%s: a process that knows revision %d of %d needs an urgent update: %t", step.name, known, now, c.needsUrgentUpdate(known))
		}
	}
}
