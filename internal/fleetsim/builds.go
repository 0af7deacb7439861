package fleetsim

import (
	"reflect"
	"time"

	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/replication"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// upgradeInterval is the time between the upgrades of two coordinators to the newer build,
	// upgradeDowntime how long each of them is down.
	upgradeInterval = 3 * time.Second
	upgradeDowntime = 200 * time.Millisecond
	// From downgradeAt to secondUpgradeAt, one coordinator runs the older build again.
	downgradeAt     = faultsFrom + (coordinators+1)*upgradeInterval
	secondUpgradeAt = downgradeAt + 4*time.Second
)

// firstGenerationMachine is a state machine as in a build of the first generation: it skips the
// commands that such a build does not know.
type firstGenerationMachine struct{ replication.StateMachine }

// Apply implements replication.StateMachine.
func (f firstGenerationMachine) Apply(command []byte) ([]byte, []storage.Mutation) {
	if isQuarantine(command) {
		command = encode(&wire.FleetCommand{})
	}
	return f.StateMachine.Apply(command)
}

// stateMachineOfBuild returns the state machine as the machine's build executes it.
func (m *machine) stateMachineOfBuild(current replication.StateMachine) replication.StateMachine {
	if m.firstGeneration {
		return firstGenerationMachine{current}
	}
	return current
}

// earlierBatchMachine is a state machine of a store group as in a build that knows neither saved
// progress nor the version under which a job was accepted.
type earlierBatchMachine struct{ replication.StateMachine }

// Apply implements replication.StateMachine.
func (e earlierBatchMachine) Apply(command []byte) ([]byte, []storage.Mutation) {
	var batch wire.BatchCommand
	if _, err := batch.UnmarshalMsg(command); err == nil && (batch.Save != nil || batch.Submit != nil) {
		batch.Save = nil
		if batch.Submit != nil {
			batch.Submit.Accepted = 0
		}
		command = encode(&batch)
	}
	return e.StateMachine.Apply(command)
}

// batchMachineOfBuild returns the state machine of a store group as the store's build executes it.
func (m *machine) batchMachineOfBuild(current replication.StateMachine) replication.StateMachine {
	if m.earlierBuild {
		return earlierBatchMachine{current}
	}
	return current
}

// hello returns the hello message of the machine's build.
func (m *machine) hello() wire.Hello {
	hello := m.node.Hello()
	if m.firstGeneration {
		hello.SetGeneration(wire.GenerationFirst)
	}
	return hello
}

// updateGate updates the quarantine's gate from the processes that the node knows, as the daemon
// does. MutationNoGate keeps the gate open.
func (m *machine) updateGate() {
	if m.world.mutation == MutationNoGate {
		m.gate = quarantine.Gate{}
		return
	}
	m.gate.ApplyProcesses(m.node.Processes(m.clock()))
}

// startUpgrades schedules the upgrades of the coordinators and the stores, which start on older builds.
func (w *World) startUpgrades() {
	if !w.twoBuilds {
		return
	}
	coordinators := w.machinesOf(kindCoordinator)
	for i, coordinator := range coordinators {
		w.after(faultsFrom+time.Duration(i+1)*upgradeInterval, func() { coordinator.switchBuild(false) })
	}
	stores := w.machinesOf(kindStore)
	for i, store := range stores {
		w.after(faultsFrom+time.Duration(2*i+1)*upgradeInterval, func() { store.switchBuild(false) })
	}
	w.after(downgradeAt, func() { stores[0].switchBuild(true) })
	w.after(secondUpgradeAt, func() { stores[0].switchBuild(false) })
	downgraded := coordinators[w.extraRandom.IntN(len(coordinators))]
	w.after(downgradeAt, func() { downgraded.switchBuild(true) })
	w.after(secondUpgradeAt, func() { downgraded.switchBuild(false) })
}

// switchBuild restarts the machine on the given build. A machine that is down gets the build at
// its next start.
func (m *machine) switchBuild(older bool) {
	w := m.world
	runsOlder := &m.firstGeneration
	if m.kind == kindStore {
		runsOlder = &m.earlierBuild
	}
	if m.removed || *runsOlder == older {
		return
	}
	if m.alive && m.frozen {
		w.after(upgradeDowntime, func() { m.switchBuild(older) })
		return
	}
	w.log("%s switches builds, to the older one: %v", m.name, older)
	*runsOlder = older
	if m.alive {
		m.kill()
		w.after(upgradeDowntime, func() { m.restart(false) })
	}
}

// checkSameState checks that coordinators that have executed the same log entries have the same
// quarantine state.
func (w *World) checkSameState() {
	type state struct {
		name       string
		quarantine *wire.QuarantineState
	}
	states := map[uint64]state{}
	for _, coordinator := range w.machinesOf(kindCoordinator) {
		if !coordinator.alive || coordinator.frozen {
			continue
		}
		statuses := coordinator.node.Statuses(coordinator.clock())
		applied, table := statuses[0].AppliedIndex, coordinator.fleet.Quarantine().State()
		other, found := states[applied]
		if found && !reflect.DeepEqual(other.quarantine, table) {
			w.ledger.recordViolation("%s and %s have different quarantine states at log index %d: %+v, %+v", coordinator.name, other.name, applied, table, other.quarantine)
		}
		states[applied] = state{coordinator.name, table}
	}
}
