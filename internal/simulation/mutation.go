package simulation

import (
	"fmt"

	"github.com/sedgemast/sedgemast/internal/controlclient"
	"github.com/sedgemast/sedgemast/internal/jobstate"
	"github.com/sedgemast/sedgemast/internal/replication"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Mutation takes one mechanism away from the simulated fleet, to show that the
// checks would notice. Mutations live in the simulation's shells; the product
// has no such switch.
type Mutation string

// The mutations.
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

// machine wraps a state machine as the mutation wants it.
func (m Mutation) machine(group int, machine replication.StateMachine) replication.StateMachine {
	switch {
	case m == MutationNoRevisionCheck && group == controlclient.MetaGroup:
		return &mutatedMachine{StateMachine: machine, change: freeRevision()}
	case m == MutationNoIdempotency && group != controlclient.MetaGroup:
		return &mutatedMachine{StateMachine: machine, change: freshKeys()}
	case m == MutationLastCompletionWins && group != controlclient.MetaGroup:
		return &lastCompletion{StateMachine: machine}
	}
	return machine
}

// mutatedMachine changes commands before they are applied.
type mutatedMachine struct {
	replication.StateMachine
	change func(command []byte) []byte
}

// Apply implements replication.StateMachine.
func (m *mutatedMachine) Apply(command []byte) ([]byte, []storage.Mutation) {
	return m.StateMachine.Apply(m.change(command))
}

func freeRevision() func([]byte) []byte {
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

func freshKeys() func([]byte) []byte {
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

// lastCompletion lets a later completion of an item replace the first, here by
// one that says so.
type lastCompletion struct {
	replication.StateMachine
}

// Apply implements replication.StateMachine.
func (m *lastCompletion) Apply(encoded []byte) ([]byte, []storage.Mutation) {
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
