package coordinator

import (
	"testing"

	"github.com/sedgemast/sedgemast/internal/fleetstate"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// TestOnlyRefusalsWakeWatches applies reports: suspects wake nobody, a refusal, the end of
// it and every other change do, and who knows of it need not be told at once.
func TestOnlyRefusalsWakeWatches(t *testing.T) {
	c := &Coordinator{machine: fleetstate.New(), changed: make(chan struct{})}
	end := func(worker uint32) *wire.FleetCommand {
		return &wire.FleetCommand{Quarantine: &wire.QuarantineCommand{Runs: []wire.RunReport{{Request: 1, Worker: worker}}}}
	}
	for _, step := range []struct {
		name    string
		command *wire.FleetCommand
		wakes   bool
	}{
		{"a first end", end(11), false},
		{"a second one", end(12), false},
		{"the same again", end(12), true}, // nothing has changed, as with any other command
		{"a third one", end(13), true},
		{"a further one", end(14), false},
		{"a configuration", &wire.FleetCommand{Apply: &wire.ApplyRoutes{Version: 1, Source: []byte("a")}}, true},
		{"a good end", end(0), true},
	} {
		encoded, err := step.command.MarshalMsg(nil)
		if err != nil {
			t.Fatal(err)
		}
		waiting, known := c.changed, c.machine.Quarantine().Revision()
		c.machine.Apply(encoded)
		c.applied()
		select {
		case <-waiting:
			if !step.wakes {
				t.Errorf("%s wakes the watches", step.name)
			}
		default:
			if step.wakes {
				t.Errorf("%s wakes nobody", step.name)
			}
		}
		if now := c.machine.Quarantine().Revision(); c.mustKnow(now) || c.mustKnow(known) != (step.wakes && now != known) {
			t.Errorf("%s: who knows revision %d of %d must be told: %t", step.name, known, now, c.mustKnow(known))
		}
	}
}
