package fleetsim

import (
	"slices"

	"github.com/sedgemast/sedgemast/internal/fleetview"
	"github.com/sedgemast/sedgemast/internal/replication"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Mutation disables or breaks one mechanism, so that a test can check that violations are found.
type Mutation string

const (
	// MutationNone changes nothing.
	MutationNone Mutation = ""
	// MutationForgetSync makes disks report writes as synced without syncing them.
	MutationForgetSync Mutation = "forget_sync"
	// MutationKeepIdentity gives a replica on an emptied disk the id that it had before.
	MutationKeepIdentity Mutation = "keep_identity"
	// MutationAnyVersion accepts configurations with an older version.
	MutationAnyVersion Mutation = "any_version"
	// MutationGaps drops the first part of an item's text, so that later parts are joined with a
	// gap.
	MutationGaps Mutation = "join_with_gaps"
	// MutationMixChains joins parts of different chains of runs if their event numbers fit.
	MutationMixChains Mutation = "mix_chains"
	// MutationLoseBodies does not store the request bodies of accepted items.
	MutationLoseBodies Mutation = "lose_bodies"
	// MutationLoseOwner accepts jobs without their owner.
	MutationLoseOwner Mutation = "lose_owner"
	// MutationNoQuota accepts jobs regardless of the tokens that wait.
	MutationNoQuota Mutation = "no_quota"
	// MutationSteadyClock measures leases and ages with a clock that stops while a machine is
	// suspended.
	MutationSteadyClock Mutation = "steady_clock"
	// MutationLocalExits keeps an edge from reporting the exits of workers that it observes.
	MutationLocalExits Mutation = "own_ends"
	// MutationForgetExits keeps the coordinators from storing quarantine commands on disk.
	MutationForgetExits Mutation = "forget_ends"
	// MutationIgnoreSuccess drops reports of successful runs.
	MutationIgnoreSuccess Mutation = "no_acquittal"
	// MutationWholeRequests judges requests only as a whole, not by the parts of their prompts.
	MutationWholeRequests Mutation = "whole_requests"
	// MutationNoCredit forgets the successes of parts under which no worker is known to have exited.
	MutationNoCredit Mutation = "no_credit"
	// MutationTrustEnd takes the end of a connection for the end of an answer without checking whether
	// the worker has exited.
	MutationTrustEnd Mutation = "trust_end"
	// MutationNoConnectionLimit accepts all connections.
	MutationNoConnectionLimit Mutation = "no_connection_limit"
	// MutationOneIncarnation counts only one exit for each worker id and request, over all
	// incarnations of the worker.
	MutationOneIncarnation Mutation = "one_life"
	// MutationNoGate writes quarantine commands whatever builds are running, and never restates
	// the table.
	MutationNoGate Mutation = "no_gate"
	// MutationEarlyVotes lets restarted replicas vote for any candidate and stand for election
	// at once, without waiting for leases that they may have helped to grant.
	MutationEarlyVotes Mutation = "early_votes"
	// MutationAnyWorkerVersion continues streams and the saved texts of items at a worker of any
	// version.
	MutationAnyWorkerVersion Mutation = "any_worker_version"
	// MutationAssumeVersion takes the only version in an edge's list of workers for that of every
	// stream, however old the list is and for how short a time it has been the only one.
	MutationAssumeVersion Mutation = "assume_version"
	// MutationTrustOldConfiguration abandons items by the configuration that a store knows, whatever its
	// age.
	MutationTrustOldConfiguration Mutation = "trust_old_configuration"
	// MutationTrustVersion abandons items by a configuration of at least the job's version, whether or
	// not a leader has confirmed it since.
	MutationTrustVersion Mutation = "trust_version"
	// MutationNoVerdict never abandons items of a route that has ended.
	MutationNoVerdict Mutation = "no_verdict"
	// MutationHoldItems holds items back like requests of callers.
	MutationHoldItems Mutation = "hold_items"
	// MutationNoPace runs all refused items at the first calm moment.
	MutationNoPace Mutation = "no_pace"
	// MutationUnlistedExits keeps from the leader which exits the list of workers shows.
	MutationUnlistedExits Mutation = "unlisted_exits"
	// MutationTrustOldList sends requests by the list of workers whatever its age.
	MutationTrustOldList Mutation = "trust_old_list"
	// MutationListAgeFromAnswer takes the time of an answer for that of the reading of its list.
	MutationListAgeFromAnswer Mutation = "list_age_from_answer"
	// MutationTrustStatus passes on the status of any worker, whether or not the worker states that
	// nothing ran.
	MutationTrustStatus Mutation = "trust_status"
	// MutationTrustMark takes the mark of a rejection for one on any status.
	MutationTrustMark Mutation = "trust_mark"
	// MutationForgetSends forgets earlier sends of a request at each attempt.
	MutationForgetSends Mutation = "forget_sends"
	// MutationNoAnswerBounds reads all that workers send, and lets each byte put the deadline off.
	MutationNoAnswerBounds Mutation = "no_answer_bounds"
	// MutationAnyEvents passes on more events than a request asks tokens for.
	MutationAnyEvents Mutation = "any_events"
	// MutationAnyHead takes every head that net/http does.
	MutationAnyHead Mutation = "any_head"
	// MutationTrustEarlyEnd takes an end without a mark for the answer's, also during the upload.
	MutationTrustEarlyEnd Mutation = "trust_early_end"
)

// Mutations lists all mutations except MutationNone.
var Mutations = []Mutation{MutationForgetSync, MutationKeepIdentity, MutationAnyVersion, MutationGaps, MutationMixChains, MutationLoseBodies, MutationLoseOwner, MutationNoQuota, MutationSteadyClock, MutationLocalExits, MutationForgetExits, MutationIgnoreSuccess, MutationWholeRequests, MutationNoCredit, MutationTrustEnd, MutationNoConnectionLimit, MutationOneIncarnation, MutationNoGate, MutationEarlyVotes, MutationAnyWorkerVersion, MutationAssumeVersion, MutationTrustOldList, MutationListAgeFromAnswer, MutationTrustOldConfiguration, MutationTrustVersion, MutationNoVerdict, MutationHoldItems, MutationNoPace, MutationUnlistedExits, MutationTrustStatus, MutationTrustMark, MutationForgetSends, MutationNoAnswerBounds, MutationAnyEvents, MutationAnyHead, MutationTrustEarlyEnd}

// mutatedStore returns the machine's disk, or one that never syncs with MutationForgetSync.
func (m *machine) mutatedStore() storage.Store {
	if m.world.mutation == MutationForgetSync {
		return unsyncedStore{m.disk}
	}
	return m.disk
}

// unsyncedStore is a store that ignores requests to sync.
type unsyncedStore struct{ *storage.Memory }

// Commit implements storage.Store.
func (l unsyncedStore) Commit(mutations []storage.Mutation, _ bool) error {
	return l.Memory.Commit(mutations, false)
}

// mutate returns the state machine, wrapped in a mutatedMachine if the mutation concerns commands.
func (m Mutation) mutate(machine replication.StateMachine) replication.StateMachine {
	switch m {
	case MutationAnyVersion, MutationGaps, MutationMixChains, MutationLoseBodies, MutationLoseOwner, MutationNoQuota, MutationForgetExits, MutationIgnoreSuccess, MutationOneIncarnation:
		return &mutatedMachine{StateMachine: machine, mutation: m}
	}
	return machine
}

// mutatedMachine changes the commands that a state machine executes, or what it stores for them.
type mutatedMachine struct {
	replication.StateMachine
	mutation       Mutation
	highestVersion uint64
	// exits holds the exits reported so far, for MutationOneIncarnation.
	exits map[wire.RunReport]bool
}

// Apply implements replication.StateMachine.
func (m *mutatedMachine) Apply(command []byte) ([]byte, []storage.Mutation) {
	switch m.mutation {
	case MutationAnyVersion:
		return m.StateMachine.Apply(m.raiseVersion(command))
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
		return m.StateMachine.Apply(withoutRuns(command, m.isRepeatedExit))
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

// raiseVersion gives every configuration a version above the previous one.
func (m *mutatedMachine) raiseVersion(command []byte) []byte {
	var fleet wire.FleetCommand
	if _, err := fleet.UnmarshalMsg(command); err != nil || fleet.Apply == nil {
		return command
	}
	m.highestVersion = max(m.highestVersion+1, fleet.Apply.Version)
	fleet.Apply.Version = m.highestVersion
	return encode(&fleet)
}

// isRepeatedExit reports whether an exit of this worker under this request was reported before.
func (m *mutatedMachine) isRepeatedExit(run *wire.RunReport) bool {
	if run.Worker == 0 {
		return false
	}
	if m.exits == nil {
		m.exits = map[wire.RunReport]bool{}
	}
	exit := wire.RunReport{Request: run.Request, Worker: run.Worker}
	reported := m.exits[exit]
	m.exits[exit] = true
	return reported
}

// withoutRuns removes the unwanted runs from a quarantine command.
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

// withRecords changes the item records of a command.
func withRecords(command []byte, change func(record *wire.ItemRecord)) []byte {
	var batch wire.BatchCommand
	if _, err := batch.UnmarshalMsg(command); err != nil {
		return command
	}
	for _, records := range []*wire.RecordItems{batch.Record, batch.Save} {
		for i := 0; records != nil && i < len(records.Items); i++ {
			change(&records.Items[i])
		}
	}
	return encode(&batch)
}

// withSubmit changes the job that a command submits.
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

// proposeRetire asks this coordinator to drain a store. Like the daemon, it does so only if enough
// other stores remain.
func (m *machine) proposeRetire(name string) {
	rejected := true
	command := &wire.RetireStore{Name: name}
	m.readAsLeader(func(v *fleetview.View) {
		command.Counted = len(m.fleet.Retiring())
		retiring, _ := m.fleet.Retirement(name)
		rejected = retiring || !v.HasStore(name) || v.RemainingStoreCount(m.clock(), name, m.fleet.Retiring()) < 2*toleratedFailures+1
	})
	if !rejected {
		m.propose(0, &wire.FleetCommand{Retire: command}, nil)
	}
}
