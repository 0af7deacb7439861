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
	// replaceBuildEvery is the time between two coordinators that are replaced by the newer
	// build, replaceDown how long each is down.
	replaceBuildEvery = 3 * time.Second
	replaceDown       = 200 * time.Millisecond
	// backAt is when one goes back to the older build, until againAt.
	backAt  = faultsFrom + (coordinators+1)*replaceBuildEvery
	againAt = backAt + 4*time.Second
)

// passing is a state machine as a build of the first generation has it: it passes over
// commands that it does not know.
type passing struct{ replication.StateMachine }

// Apply implements replication.StateMachine.
func (p passing) Apply(command []byte) ([]byte, []storage.Mutation) {
	if isQuarantine(command) {
		command = encode(&wire.FleetCommand{})
	}
	return p.StateMachine.Apply(command)
}

// builtAs returns the state machine as the machine's build has it.
func (m *machine) builtAs(whole replication.StateMachine) replication.StateMachine {
	if m.older {
		return passing{whole}
	}
	return whole
}

// hello is how the machine introduces itself.
func (m *machine) hello() wire.Hello {
	hello := m.node.Hello()
	if m.older {
		hello.WrittenBy(wire.GenerationFirst)
	}
	return hello
}

// noteGenerations is what the daemon does with the processes that it knows.
func (m *machine) noteGenerations() {
	if m.world.mutation == MutationNoGate {
		m.gate = quarantine.Gate{}
		return
	}
	m.gate.ApplyProcesses(m.node.Processes(m.clock()))
}

// beginBuilds plans the replacement of the coordinators, which begin on the older build.
func (w *World) beginBuilds() {
	if !w.twoBuilds {
		return
	}
	cores := w.of(kindCoordinator)
	for i, core := range cores {
		w.after(faultsFrom+time.Duration(i+1)*replaceBuildEvery, func() { core.rebuild(false) })
	}
	back := cores[w.luck.IntN(len(cores))]
	w.after(backAt, func() { back.rebuild(true) })
	w.after(againAt, func() { back.rebuild(false) })
}

// rebuild starts the machine on a build. One that is down then starts on it later.
func (m *machine) rebuild(older bool) {
	w := m.world
	if m.gone || m.older == older {
		return
	}
	if m.alive && m.frozen {
		w.after(replaceDown, func() { m.rebuild(older) })
		return
	}
	w.log("%s on the older build: %v", m.name, older)
	m.older = older
	if m.alive {
		m.die()
		w.after(replaceDown, func() { m.comeBack(false) })
	}
}

// checkAlike checks that coordinators which have executed the same log have the same state.
func (w *World) checkAlike() {
	type state struct {
		name  string
		known *wire.QuarantineState
	}
	states := map[uint64]state{}
	for _, core := range w.of(kindCoordinator) {
		if !core.alive || core.frozen {
			continue
		}
		statuses := core.node.Statuses(core.clock())
		applied, known := statuses[0].AppliedIndex, core.fleet.Quarantine().State()
		other, found := states[applied]
		if found && !reflect.DeepEqual(other.known, known) {
			w.ledger.violate("%s and %s differ at entry %d: %+v, %+v", core.name, other.name, applied, known, other.known)
		}
		states[applied] = state{core.name, known}
	}
}
