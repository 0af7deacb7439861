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

// StateMachine is the deterministic state of one group.
type StateMachine interface {
	// Apply executes a committed command and returns its answer and the
	// changes of stored state, with keys relative to the group.
	Apply(command []byte) (answer []byte, mutations []storage.Mutation)
	// Restore loads the state from storage.
	Restore(reader storage.Reader) error
}

// Done receives the answer to a proposed command, or why there is none.
type Done func(answer []byte, err error)

// group is one replicated state machine.
type group struct {
	number     int
	machine    StateMachine
	replica    *consensus.Replica
	generation uint64
	waiting    map[uint64]waiter
	wasLeader  bool
	sending    map[uint64]*sender
	receiving  *receiver

	// mutex guards the machine and its stored state against readers.
	mutex sync.RWMutex
	// leadership is what readers outside the node's loop go by.
	leadership atomic.Pointer[leadership]
	// applied is the index of the last entry in the machine's state; it changes
	// under the mutex only.
	applied atomic.Uint64
}

// waiter is a proposal whose entry is on its way.
type waiter struct {
	term uint64
	done Done
}

// leadership says whether, and until when, the replica answers reads.
type leadership struct {
	term       uint64
	leaseUntil time.Time
	refusal    error
}

// open restores the group from the store.
func (n *Node) open(number int, machine StateMachine, now time.Time) (*group, error) {
	g := &group{number: number, machine: machine, waiting: map[uint64]waiter{}, sending: map[uint64]*sender{}}
	restored, err := n.restored(number)
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

// restored reads a group's part of the log.
func (n *Node) restored(number int) (consensus.PersistedState, error) {
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

func (n *Node) reader(of *group) storage.Reader {
	return storage.WithPrefix(n.options.Store, statePrefix(of.number, of.generation))
}

// stage adds to the batch what the Ready wants stored.
func (g *group) stage(batch []storage.Mutation, ready *consensus.Ready) []storage.Mutation {
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

// answered is a proposal that has come to its end.
type answered struct {
	done   Done
	answer []byte
	err    error
}

// apply executes committed entries. The answers go out once their effects are
// stored.
func (g *group) apply(batch []storage.Mutation, entries []wire.LogEntry) ([]storage.Mutation, []answered) {
	if len(entries) == 0 {
		return batch, nil
	}
	var answers []answered
	prefix := statePrefix(g.number, g.generation)
	for i := range entries {
		entry := &entries[i]
		var answer []byte
		if entry.Kind == wire.EntryCommand {
			var mutations []storage.Mutation
			answer, mutations = g.machine.Apply(entry.Data)
			batch = appendScoped(batch, prefix, mutations)
		}
		if waits, found := g.waiting[entry.Index]; found {
			delete(g.waiting, entry.Index)
			answers = append(answers, waits.answer(entry, answer))
		}
	}
	last := entries[len(entries)-1].Index
	batch = append(batch, storage.Mutation{Key: groupKey(g.number, sectionApplied), Value: encodeUint64(last)})
	return batch, answers
}

// noteApplied takes in that the entries are in the state.
func (g *group) noteApplied(entries []wire.LogEntry) {
	if len(entries) > 0 {
		g.applied.Store(entries[len(entries)-1].Index)
	}
}

func (w waiter) answer(entry *wire.LogEntry, answer []byte) answered {
	if entry.Term != w.term {
		refusal := failure.New(failure.NotRun, "send it again", "another leader's entry took the command's place")
		return answered{done: w.done, err: refusal}
	}
	return answered{done: w.done, answer: answer}
}

func appendScoped(batch []storage.Mutation, prefix []byte, mutations []storage.Mutation) []storage.Mutation {
	for _, mutation := range mutations {
		mutation.Key = append(append([]byte{}, prefix...), mutation.Key...)
		if mutation.DeleteTo != nil {
			mutation.DeleteTo = append(append([]byte{}, prefix...), mutation.DeleteTo...)
		}
		batch = append(batch, mutation)
	}
	return batch
}

// publish lets readers know whether this replica leads.
func (g *group) publish(now time.Time) {
	next := &leadership{term: g.replica.Term(), leaseUntil: g.replica.LeaseExpiry(now)}
	if next.leaseUntil.IsZero() {
		next.refusal = g.replica.NotLeaderError()
	}
	g.leadership.Store(next)
}

// failWaiting ends all proposals on their way: whether they are committed is for
// the next leader to decide.
func (g *group) failWaiting() {
	waiting := g.waiting
	g.waiting = map[uint64]waiter{}
	for _, index := range sortedKeys(waiting) {
		waiting[index].done(nil, failure.New(failure.OutcomeUnknown, "send the same command again", "leadership of group %d changed while the command was on its way", g.number))
	}
}

// sortedKeys returns the keys in order, so that a node's actions depend on
// nothing but its inputs.
func sortedKeys[Value any](from map[uint64]Value) []uint64 {
	keys := make([]uint64, 0, len(from))
	for key := range from {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
