package simulation

import (
	"fmt"

	"github.com/sedgemast/sedgemast/internal/controlclient"
	"github.com/sedgemast/sedgemast/internal/jobstate"
	"github.com/sedgemast/sedgemast/internal/replication"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Mutation disables one mechanism of the simulated fleet, to show that the checks detect its
// absence. Mutations are implemented in this package only; the product has no such switch.
type Mutation string

const (
	MutationNone                 Mutation = ""
	MutationKeepIdentity         Mutation = "emptied disk keeps its identity"
	MutationNoSync               Mutation = "disks acknowledge before they sync"
	MutationLastCompletionWins   Mutation = "the last completion of an item wins"
	MutationNoIdempotency        Mutation = "a resent job is a new job"
	MutationIgnoreCancel         Mutation = "dispatchers ignore cancelled and lapsed items"
	MutationNoPreemption         Mutation = "preempted items stay on their worker"
	MutationFalseNotRun          Mutation = "an unknown outcome is called not run"
	MutationRetryNotRepeatable   Mutation = "requests that may not be repeated are"
	MutationNoSequencer          Mutation = "events of streams are not checked"
	MutationIgnoreLeaving        Mutation = "leaving is not learnt"
	MutationNoGracefulStop       Mutation = "a planned stop waits for nothing"
	MutationNoConfigurationLease Mutation = "daemons act on a configuration without lease"
	MutationStaleConfiguration   Mutation = "a restarted daemon begins with its old configuration"
	MutationNoFencing            Mutation = "engines take orders of any epoch"
	MutationNoRevisionCheck      Mutation = "changes are not compared with the revision they expect"
)

// wrap returns the state machine of a group with the mutation applied.
func (m Mutation) wrap(group int, machine replication.StateMachine) replication.StateMachine {
	switch {
	case m == MutationNoRevisionCheck && group == controlclient.MetaGroup:
		return &mutatedMachine{StateMachine: machine, mutate: ignoreExpectedRevision()}
	case m == MutationNoIdempotency && group != controlclient.MetaGroup:
		return &mutatedMachine{StateMachine: machine, mutate: uniqueKeys()}
	case m == MutationLastCompletionWins && group != controlclient.MetaGroup:
		return &lastCompletionMachine{StateMachine: machine}
	}
	return machine
}

// mutatedMachine changes commands before they are applied.
type mutatedMachine struct {
	replication.StateMachine
	mutate func(command []byte) []byte
}

// Apply implements replication.StateMachine.
func (m *mutatedMachine) Apply(command []byte) ([]byte, []storage.Mutation) {
	return m.StateMachine.Apply(m.mutate(command))
}

// ignoreExpectedRevision makes every change of the configuration expect the current revision.
func ignoreExpectedRevision() func([]byte) []byte {
	revision := uint64(0)
	return func(encoded []byte) []byte {
		var command wire.MetaCommand
		if _, err := command.UnmarshalMsg(encoded); err != nil || command.Apply == nil {
			return encoded
		}
		command.Apply.ExpectedRevision = revision
		revision++
		return mustEncode(&command)
	}
}

// uniqueKeys gives every new job an idempotency key of its own.
func uniqueKeys() func([]byte) []byte {
	count := 0
	return func(encoded []byte) []byte {
		var command wire.JobCommand
		if _, err := command.UnmarshalMsg(encoded); err != nil || command.CreateJob == nil {
			return encoded
		}
		count++
		command.CreateJob.IdempotencyKey = fmt.Sprint(count)
		return mustEncode(&command)
	}
}

func mustEncode(message interface {
	MarshalMsg([]byte) ([]byte, error)
}) []byte {
	encoded, err := message.MarshalMsg(nil)
	if err != nil {
		panic(err)
	}
	return encoded
}

// lastCompletionMachine lets a later completion of an item replace the first one. The text of the
// replacement differs, so that it can be detected.
type lastCompletionMachine struct {
	replication.StateMachine
}

// Apply implements replication.StateMachine.
func (m *lastCompletionMachine) Apply(encoded []byte) ([]byte, []storage.Mutation) {
	answer, mutations := m.StateMachine.Apply(encoded)
	var command wire.JobCommand
	var result wire.JobResult
	if _, err := command.UnmarshalMsg(encoded); err != nil || command.Complete == nil {
		return answer, mutations
	}
	if _, err := result.UnmarshalMsg(answer); err != nil || result.Complete.Duplicates == 0 {
		return answer, mutations
	}
	for i := range command.Complete.Results {
		replaced := command.Complete.Results[i]
		replaced.Text = "a later result"
		mutations = append(mutations, storage.Mutation{Key: jobstate.ResultKey(replaced.JobID, replaced.Item), Value: mustEncode(&replaced)})
	}
	return answer, mutations
}
