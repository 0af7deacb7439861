package replication

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// StateMachine is the replicated state of one group. It must be deterministic.
type StateMachine interface {
	// Apply executes a committed command. It returns the answer for the proposer and
	// the changes to the stored state, with keys relative to the group.
	Apply(command []byte) (answer []byte, mutations []storage.Mutation)
	// Restore loads the state from the store.
	Restore(reader storage.Reader) error
}

// Done receives the answer to a proposed command, or the error if there is none.
type Done func(answer []byte, err error)

// group is the local replica of one group, with its state machine.
type group struct {
	number          int
	machine         StateMachine
	replica         *consensus.Replica
	generation      uint64
	pending         map[uint64]pendingProposal
	wasLeader       bool
	snapshotSenders map[uint64]*snapshotSender
	receiver        *snapshotReceiver

	// mutex guards the machine and its stored state against readers.
	mutex sync.RWMutex
	// leadership is a copy of the leader state for readers outside the event loop.
	leadership atomic.Pointer[leadership]
	// applied is the index of the last entry applied to the machine. It is changed only
	// with the mutex held.
	applied atomic.Uint64
}

// pendingProposal is a proposal whose entry is not applied yet.
type pendingProposal struct {
	term uint64
	done Done
}

// leadership states whether, and until when, the replica may serve reads.
type leadership struct {
	term        uint64
	leaseExpiry time.Time
	err         error
}

// open restores a group from the store.
func (n *Node) open(number int, machine StateMachine, now time.Time) (*group, error) {
	g := &group{number: number, machine: machine, pending: map[uint64]pendingProposal{}, snapshotSenders: map[uint64]*snapshotSender{}}
	restored, err := n.loadPersistedState(number)
	if err != nil {
		return nil, err
	}
	generation, err := n.options.Store.Get(groupKey(number, sectionGeneration))
	if err != nil {
		return nil, err
	}
	g.generation = decodeUint64(generation)
	if err := machine.Restore(n.reader(g)); err != nil {
		return nil, err
	}
	g.replica = consensus.New(n.consensusConfig(number), restored, now)
	g.applied.Store(restored.AppliedIndex)
	g.publish(now)
	return g, nil
}

func (n *Node) consensusConfig(number int) consensus.Config {
	return consensus.Config{
		ID:                n.identity.Replica.ID,
		Group:             number,
		ElectionTimeout:   n.options.ElectionTimeout,
		HeartbeatInterval: n.options.HeartbeatInterval,
		MaxAppendBytes:    maxAppendBytes,
		MaxInflightBytes:  maxInflightBytes,
		Random:            n.options.Random,
	}
}

// loadPersistedState reads the Raft state of a group from the store.
func (n *Node) loadPersistedState(number int) (consensus.PersistedState, error) {
	var restored consensus.PersistedState
	store := n.options.Store
	applied, err := store.Get(groupKey(number, sectionApplied))
	if err != nil {
		return restored, err
	}
	restored.AppliedIndex = decodeUint64(applied)
	if err := readMessage(store, groupKey(number, sectionHardState), &restored.HardState); err != nil {
		return restored, err
	}
	if err := readMessage(store, groupKey(number, sectionBase), &restored.Base); err != nil {
		return restored, err
	}
	var decodeErr error
	prefix := groupKey(number, sectionLog)
	err = store.Scan(prefix, storage.PrefixEnd(prefix), func(_, value []byte) bool {
		var entry wire.LogEntry
		if _, decodeErr = entry.UnmarshalMsg(append([]byte(nil), value...)); decodeErr != nil {
			return false
		}
		if entry.Index > restored.Base.Index {
			restored.Entries = append(restored.Entries, entry)
		}
		return true
	})
	return restored, errors.CombineErrors(err, decodeErr)
}

func (n *Node) reader(g *group) storage.Reader {
	return storage.WithPrefix(n.options.Store, statePrefix(g.number, g.generation))
}

// stageReady adds to the batch the writes that the Ready requires.
func (g *group) stageReady(batch []storage.Mutation, ready *consensus.Ready) []storage.Mutation {
	if ready.HardState != nil {
		batch = append(batch, storage.Mutation{Key: groupKey(g.number, sectionHardState), Value: encode(ready.HardState)})
	}
	if ready.TruncateFrom > 0 {
		batch = append(batch, storage.Mutation{Key: logKey(g.number, ready.TruncateFrom), DeleteTo: logKey(g.number, ready.TruncateTo+1)})
	}
	for i := range ready.Entries {
		entry := &ready.Entries[i]
		batch = append(batch, storage.Mutation{Key: logKey(g.number, entry.Index), Value: encode(entry)})
	}
	return batch
}

// completedProposal is a proposal with its result.
type completedProposal struct {
	done   Done
	answer []byte
	err    error
}

// apply executes committed entries. The caller must store the batch before it delivers
// the answers.
func (g *group) apply(batch []storage.Mutation, entries []wire.LogEntry) ([]storage.Mutation, []completedProposal) {
	if len(entries) == 0 {
		return batch, nil
	}
	var completions []completedProposal
	prefix := statePrefix(g.number, g.generation)
	for i := range entries {
		entry := &entries[i]
		var answer []byte
		if entry.Kind == wire.EntryCommand {
			var mutations []storage.Mutation
			answer, mutations = g.machine.Apply(entry.Data)
			batch = appendWithPrefix(batch, prefix, mutations)
		}
		if proposal, found := g.pending[entry.Index]; found {
			delete(g.pending, entry.Index)
			completions = append(completions, proposal.complete(entry, answer))
		}
	}
	last := entries[len(entries)-1].Index
	batch = append(batch, storage.Mutation{Key: groupKey(g.number, sectionApplied), Value: encodeUint64(last)})
	return batch, completions
}

// recordApplied records that the entries are part of the state.
func (g *group) recordApplied(entries []wire.LogEntry) {
	if len(entries) > 0 {
		g.applied.Store(entries[len(entries)-1].Index)
	}
}

func (p pendingProposal) complete(entry *wire.LogEntry, answer []byte) completedProposal {
	if entry.Term != p.term {
		err := failure.New(failure.NotRun, "send it again", "another leader's entry took the command's place")
		return completedProposal{done: p.done, err: err}
	}
	return completedProposal{done: p.done, answer: answer}
}

func appendWithPrefix(batch []storage.Mutation, prefix []byte, mutations []storage.Mutation) []storage.Mutation {
	for _, mutation := range mutations {
		mutation.Key = append(append([]byte{}, prefix...), mutation.Key...)
		if mutation.DeleteTo != nil {
			mutation.DeleteTo = append(append([]byte{}, prefix...), mutation.DeleteTo...)
		}
		batch = append(batch, mutation)
	}
	return batch
}

// publish updates the leader state for readers.
func (g *group) publish(now time.Time) {
	next := &leadership{term: g.replica.Term(), leaseExpiry: g.replica.LeaseExpiry(now)}
	if next.leaseExpiry.IsZero() {
		next.err = g.replica.NotLeaderError()
	}
	g.leadership.Store(next)
}

// failProposals ends all pending proposals with an unknown outcome: the next leader
// may still commit their entries.
func (g *group) failProposals() {
	pending := g.pending
	g.pending = map[uint64]pendingProposal{}
	for _, index := range sortedKeys(pending) {
		pending[index].done(nil, failure.New(failure.OutcomeUnknown, "send the same command again", "leadership of group %d changed while the command was on its way", g.number))
	}
}

// sortedKeys returns the keys in ascending order, which keeps a node's actions deterministic.
func sortedKeys[Value any](from map[uint64]Value) []uint64 {
	keys := make([]uint64, 0, len(from))
	for key := range from {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
