package fleetsim

import (
	"slices"

	"github.com/sedgemast/sedgemast/internal/fleetview"
	"github.com/sedgemast/sedgemast/internal/replication"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Mutation takes one mechanism away, so that a test can see the checks turn red.
type Mutation string

const (
	// MutationNone takes nothing away.
	MutationNone Mutation = ""
	// MutationForgetSync makes disks claim to sync and not do it.
	MutationForgetSync Mutation = "forget_sync"
	// MutationKeepIdentity lets an emptied disk answer as the one before.
	MutationKeepIdentity Mutation = "keep_identity"
	// MutationAnyVersion puts older configurations in force.
	MutationAnyVersion Mutation = "any_version"
	// MutationGaps joins an item's parts whatever came before.
	MutationGaps Mutation = "join_with_gaps"
	// MutationMixChains joins the parts of different chains of runs where their
	// events fit.
	MutationMixChains Mutation = "mix_chains"
	// MutationLoseBodies forgets the requests of accepted items.
	MutationLoseBodies Mutation = "lose_bodies"
	// MutationLoseOwner takes jobs in as nobody's.
	MutationLoseOwner Mutation = "lose_owner"
	// MutationNoQuota takes jobs in whatever waits.
	MutationNoQuota Mutation = "no_quota"
	// MutationSteadyClock lets leases and ages go by a clock that stands still while a
	// machine is suspended.
	MutationSteadyClock Mutation = "steady_clock"
	// MutationLocalExits keeps what an edge sees of workers' ends to itself.
	MutationLocalExits Mutation = "own_ends"
	// MutationForgetExits keeps the coordinators' knowledge of ends off their disks.
	MutationForgetExits Mutation = "forget_ends"
	// MutationIgnoreSuccess lets good ends count for nothing.
	MutationIgnoreSuccess Mutation = "no_acquittal"
	// MutationOneIncarnation keeps over a worker's lives that it ended under a request: a further
	// end under its id is none.
	MutationOneIncarnation Mutation = "one_life"
	// MutationNoGate writes commands of the quarantine whatever builds are there, and
	// restates nothing.
	MutationNoGate Mutation = "no_gate"
	// MutationEarlyVotes lets replicas that began anew vote for anybody at once, and stand
	// for election.
	MutationEarlyVotes Mutation = "early_votes"
)

// Mutations lists all that take something away.
var Mutations = []Mutation{MutationForgetSync, MutationKeepIdentity, MutationAnyVersion, MutationGaps, MutationMixChains, MutationLoseBodies, MutationLoseOwner, MutationNoQuota, MutationSteadyClock, MutationLocalExits, MutationForgetExits, MutationIgnoreSuccess, MutationOneIncarnation, MutationNoGate, MutationEarlyVotes}

// mutatedStore returns the machine's disk, or one that lies.
func (m *machine) mutatedStore() storage.Store {
	if m.world.mutation == MutationForgetSync {
		return lyingStore{m.disk}
	}
	return m.disk
}

// lyingStore never syncs.
type lyingStore struct{ *storage.Memory }

// Commit implements storage.Store.
func (l lyingStore) Commit(mutations []storage.Mutation, _ bool) error {
	return l.Memory.Commit(mutations, false)
}

// machine returns the state machine, or a mutated one.
func (m Mutation) machine(whole replication.StateMachine) replication.StateMachine {
	switch m {
	case MutationAnyVersion, MutationGaps, MutationMixChains, MutationLoseBodies, MutationLoseOwner, MutationNoQuota, MutationForgetExits, MutationIgnoreSuccess, MutationOneIncarnation:
		return &mutated{StateMachine: whole, mutation: m}
	}
	return whole
}

// mutated changes the commands of a state machine or what it stores.
type mutated struct {
	replication.StateMachine
	mutation Mutation
	highest  uint64
	// ends holds the ends reported so far, for MutationOneLife.
	ends map[wire.RunReport]bool
}

// Apply implements replication.StateMachine.
func (m *mutated) Apply(command []byte) ([]byte, []storage.Mutation) {
	switch m.mutation {
	case MutationAnyVersion:
		return m.StateMachine.Apply(m.anyVersion(command))
	case MutationGaps:
		return m.StateMachine.Apply(withRecords(command, func(record *wire.ItemRecord) {
			if record.From == 0 && record.State == wire.ItemWaiting {
				record.Text = ""
			}
		}))
	case MutationMixChains:
		return m.StateMachine.Apply(withRecords(command, func(record *wire.ItemRecord) { record.Opens = true }))
	case MutationIgnoreSuccess:
		return m.StateMachine.Apply(withoutRuns(command, func(run *wire.RunReport) bool { return run.Worker == 0 }))
	case MutationOneIncarnation:
		return m.StateMachine.Apply(withoutRuns(command, m.repeated))
	case MutationForgetExits:
		answer, mutations := m.StateMachine.Apply(command)
		if isQuarantine(command) {
			mutations = nil
		}
		return answer, mutations
	case MutationLoseOwner:
		return m.StateMachine.Apply(withSubmit(command, func(submit *wire.SubmitBatch) { submit.Owner = "" }))
	case MutationNoQuota:
		return m.StateMachine.Apply(withSubmit(command, func(submit *wire.SubmitBatch) { submit.Limit = 0 }))
	}
	answer, mutations := m.StateMachine.Apply(command)
	var batch wire.BatchCommand
	if _, err := batch.UnmarshalMsg(command); err != nil || batch.Submit == nil {
		return answer, mutations
	}
	return answer, mutations[min(1, len(mutations)):]
}

// anyVersion gives every configuration a version above the last one.
func (m *mutated) anyVersion(command []byte) []byte {
	var fleet wire.FleetCommand
	if _, err := fleet.UnmarshalMsg(command); err != nil || fleet.Apply == nil {
		return command
	}
	m.highest = max(m.highest+1, fleet.Apply.Version)
	fleet.Apply.Version = m.highest
	return encode(&fleet)
}

// repeated reports whether an end of the worker under the request has been reported before.
func (m *mutated) repeated(run *wire.RunReport) bool {
	if run.Worker == 0 {
		return false
	}
	if m.ends == nil {
		m.ends = map[wire.RunReport]bool{}
	}
	known := wire.RunReport{Request: run.Request, Worker: run.Worker}
	before := m.ends[known]
	m.ends[known] = true
	return before
}

// withoutRuns takes runs off a report.
func withoutRuns(command []byte, unwanted func(run *wire.RunReport) bool) []byte {
	var fleet wire.FleetCommand
	if _, err := fleet.UnmarshalMsg(command); err != nil || fleet.Quarantine == nil {
		return command
	}
	fleet.Quarantine.Runs = slices.DeleteFunc(fleet.Quarantine.Runs, func(run wire.RunReport) bool { return unwanted(&run) })
	return encode(&fleet)
}

func isQuarantine(command []byte) bool {
	var fleet wire.FleetCommand
	_, err := fleet.UnmarshalMsg(command)
	return err == nil && fleet.Quarantine != nil
}

// withRecords changes the news of items in a command.
func withRecords(command []byte, change func(record *wire.ItemRecord)) []byte {
	var batch wire.BatchCommand
	if _, err := batch.UnmarshalMsg(command); err != nil || batch.Record == nil {
		return command
	}
	for i := range batch.Record.Items {
		change(&batch.Record.Items[i])
	}
	return encode(&batch)
}

// withSubmit changes the job that a command hands in.
func withSubmit(command []byte, change func(submit *wire.SubmitBatch)) []byte {
	var batch wire.BatchCommand
	if _, err := batch.UnmarshalMsg(command); err != nil || batch.Submit == nil {
		return command
	}
	change(batch.Submit)
	return encode(&batch)
}

func encode(message interface {
	MarshalMsg([]byte) ([]byte, error)
}) []byte {
	data, err := message.MarshalMsg(nil)
	if err != nil {
		panic(err)
	}
	return data
}

// proposeRetire asks this coordinator for a store to be emptied, as the daemon
// does: only where enough are left.
func (m *machine) proposeRetire(name string) {
	refused := true
	command := &wire.RetireStore{Name: name}
	m.lead(func(v *fleetview.View) {
		command.Counted = len(m.fleet.Retiring())
		asked, _ := m.fleet.Retirement(name)
		refused = asked || !v.HasStore(name) || v.RemainingStoreCount(m.clock(), name, m.fleet.Retiring()) < 2*tolerate+1
	})
	if !refused {
		m.propose(0, &wire.FleetCommand{Retire: command}, nil)
	}
}
