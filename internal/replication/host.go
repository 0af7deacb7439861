// Package replication turns proposed commands into committed ones and applies
// them to the state machines of several groups. All groups of a process share
// one store and one sync: proposals that arrive while a sync runs go into the
// next one together.
//
// A command is committed once it is in the synced log; its effects are then
// applied without a sync of their own, because the log can replay them.
package replication

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/storage"
)

// StateMachine is the deterministic state of one group.
type StateMachine interface {
	// Apply executes a committed command and returns its answer and the
	// changes of stored state, with keys relative to the group.
	Apply(command []byte) (answer []byte, mutations []storage.Mutation)
	// Restore loads the state from storage.
	Restore(reader storage.Reader) error
}

const (
	maxBatchProposals = 512
	maxBatchBytes     = 8 << 20
)

// Host runs the groups of one process.
type Host struct {
	store     storage.Store
	groups    []*group
	proposals chan *proposal
	stopped   chan struct{}
	closing   chan struct{}
	closeOnce sync.Once
}

// group is one replicated state machine with the position of its log.
type group struct {
	number  int
	mutex   sync.RWMutex
	machine StateMachine
	last    uint64
	applied uint64
}

// proposal is a command on its way through the log.
type proposal struct {
	group   *group
	command []byte
	index   uint64
	done    chan outcome
}

type outcome struct {
	answer []byte
	err    error
}

// NewHost restores the machines from the store, replays what the log holds
// beyond them, and begins to take proposals. The group number is the position
// in machines.
func NewHost(store storage.Store, machines []StateMachine) (*Host, error) {
	host := &Host{
		store:     store,
		proposals: make(chan *proposal, maxBatchProposals),
		stopped:   make(chan struct{}),
		closing:   make(chan struct{}),
	}
	for number, machine := range machines {
		restored := &group{number: number, machine: machine}
		if err := host.restore(restored); err != nil {
			return nil, errors.Wrapf(err, "group %d does not restore", number)
		}
		host.groups = append(host.groups, restored)
	}
	go host.run()
	return host, nil
}

func (h *Host) restore(restored *group) error {
	applied, err := h.store.Get(appliedKey(restored.number))
	if err != nil {
		return err
	}
	restored.applied = decodeIndex(applied)
	restored.last = restored.applied
	if err := restored.machine.Restore(h.reader(restored)); err != nil {
		return err
	}
	var commands [][]byte
	end := storage.PrefixEnd(logPrefix(restored.number))
	err = h.store.Scan(logKey(restored.number, restored.applied+1), end, func(_, value []byte) bool {
		commands = append(commands, append([]byte(nil), value...))
		return true
	})
	if err != nil {
		return err
	}
	for _, command := range commands {
		restored.last++
		if _, err := h.apply(restored, restored.last, command); err != nil {
			return err
		}
	}
	return nil
}

func (h *Host) reader(of *group) storage.Reader {
	return storage.Scoped(h.store, statePrefix(of.number))
}

// Propose commits a command and returns the state machine's answer. If ctx ends
// first the outcome is not known: the command may still be committed.
func (h *Host) Propose(ctx context.Context, number int, command []byte) ([]byte, error) {
	if number < 0 || number >= len(h.groups) {
		return nil, failure.New(failure.NotFound, "check the id", "there is no group %d", number)
	}
	made := &proposal{group: h.groups[number], command: command, done: make(chan outcome, 1)}
	select {
	case h.proposals <- made:
	case <-h.closing:
		return nil, errClosing()
	case <-ctx.Done():
		return nil, failure.Wrap(ctx.Err(), failure.NotRun, "try again", "the log did not take the command in time")
	}
	select {
	case result := <-made.done:
		return result.answer, result.err
	case <-h.stopped:
		return nil, failure.New(failure.OutcomeUnknown, "send the same command again", "control stopped while the command was on its way")
	case <-ctx.Done():
		return nil, failure.Wrap(ctx.Err(), failure.OutcomeUnknown, "send the same command again", "the command was not committed in time")
	}
}

func errClosing() error {
	return failure.New(failure.NotRun, "try another control process", "control is stopping")
}

// Read calls read while the group's state does not change.
func (h *Host) Read(number int, read func(reader storage.Reader) error) error {
	if number < 0 || number >= len(h.groups) {
		return failure.New(failure.NotFound, "check the id", "there is no group %d", number)
	}
	target := h.groups[number]
	target.mutex.RLock()
	defer target.mutex.RUnlock()
	return read(h.reader(target))
}

// Groups returns the number of groups.
func (h *Host) Groups() int { return len(h.groups) }

// Close stops taking proposals and waits for those on their way.
func (h *Host) Close() {
	h.closeOnce.Do(func() { close(h.closing) })
	<-h.stopped
}

func (h *Host) run() {
	defer close(h.stopped)
	for {
		select {
		case first := <-h.proposals:
			h.commit(h.gather(first))
		case <-h.closing:
			h.drain()
			return
		}
	}
}

func (h *Host) drain() {
	for {
		select {
		case first := <-h.proposals:
			h.commit(h.gather(first))
		default:
			return
		}
	}
}

// gather takes the proposals that wait, up to the size of one batch.
func (h *Host) gather(first *proposal) []*proposal {
	batch := []*proposal{first}
	size := len(first.command)
	for len(batch) < maxBatchProposals && size < maxBatchBytes {
		select {
		case next := <-h.proposals:
			batch = append(batch, next)
			size += len(next.command)
		default:
			return batch
		}
	}
	return batch
}

// commit writes the batch to the log with one sync, then applies it.
func (h *Host) commit(batch []*proposal) {
	mutations := make([]storage.Mutation, 0, len(batch))
	for _, made := range batch {
		made.group.last++
		made.index = made.group.last
		mutations = append(mutations, storage.Mutation{Key: logKey(made.group.number, made.index), Value: made.command})
	}
	if err := h.store.Commit(mutations, true); err != nil {
		// A log that can't be written makes every later answer a lie.
		panic(errors.Wrap(err, "the log can't be written"))
	}
	for _, made := range batch {
		answer, err := h.apply(made.group, made.index, made.command)
		made.done <- outcome{answer: answer, err: err}
	}
}

// apply executes one committed command and stores its effects, the position
// reached and the removal of the log entry in one batch.
func (h *Host) apply(target *group, index uint64, command []byte) ([]byte, error) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	answer, mutations := target.machine.Apply(command)
	prefix := statePrefix(target.number)
	stored := make([]storage.Mutation, 0, len(mutations)+2)
	for _, mutation := range mutations {
		mutation.Key = append(append([]byte{}, prefix...), mutation.Key...)
		stored = append(stored, mutation)
	}
	stored = append(stored,
		storage.Mutation{Key: appliedKey(target.number), Value: encodeIndex(index)},
		storage.Mutation{Key: logKey(target.number, index), Delete: true})
	if err := h.store.Commit(stored, false); err != nil {
		panic(errors.Wrap(err, "the state can't be written"))
	}
	target.applied = index
	return answer, nil
}
