package fleetsim

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// restartDown bounds how long processes are away that begin anew at once: within a
	// lease granted before.
	restartDown = electionTimeout / 5
	// restartApart bounds for how long the leader is cut off from them, some leases long.
	restartApart = 2 * electionTimeout
	restartPause = 2 * time.Second
)

// beginRestarts lets coordinators begin anew at once, in each fifth seed.
func (w *World) beginRestarts() {
	if w.manyRestarts {
		w.after(faultsFrom, w.nextRestart)
	}
}

func (w *World) nextRestart() {
	if w.now.Sub(began) > faultsUntil {
		return
	}
	w.restartCoordinators()
	w.after(restartPause/2+time.Duration(w.restarts.Int64N(int64(restartPause))), w.nextRestart)
}

// restartCoordinators kills all coordinators that run. At times the leader goes on, cut off
// from all others: its lease is in force, and they have forgotten it.
func (w *World) restartCoordinators() {
	spared := w.leadingCoordinator()
	if w.restarts.IntN(3) == 0 {
		spared = nil
	}
	for _, core := range w.of(kindCoordinator) {
		if !core.alive || core.frozen {
			continue
		}
		if core == spared {
			w.log("%s is cut off, all others begin anew", core.name)
			w.isolate(core, restartApart)
			continue
		}
		w.log("%s begins anew", core.name)
		core.die()
		w.after(time.Duration(w.restarts.Int64N(int64(restartDown))), func() { core.comeBack(false) })
	}
}

func (w *World) leadingCoordinator() *machine {
	for _, core := range w.of(kindCoordinator) {
		if core.alive && !core.frozen && core.node.Statuses(core.clock())[0].Role == consensus.Leader {
			return core
		}
	}
	return nil
}

// isolate cuts a machine off from all others for a while.
func (w *World) isolate(m *machine, down time.Duration) {
	for _, other := range w.machines {
		if other != m {
			m.cut[other.name], other.cut[m.name] = true, true
		}
	}
	w.after(down, func() {
		for _, other := range w.machines {
			delete(m.cut, other.name)
			delete(other.cut, m.name)
		}
	})
}

// hardStateStore changes hard states on their way to the disk and back.
type hardStateStore struct {
	storage.Store
	stored, read func(hard *wire.HardState)
}

// isHardState reports whether a key is that of a group's hard state.
func isHardState(key []byte) bool { return len(key) == 4 && key[0] == 'g' && key[3] == 'h' }

// Get implements storage.Reader.
func (s hardStateStore) Get(key []byte) ([]byte, error) {
	value, err := s.Store.Get(key)
	if err != nil || value == nil || !isHardState(key) {
		return value, err
	}
	return changed(value, s.read), nil
}

// Commit implements storage.Store.
func (s hardStateStore) Commit(mutations []storage.Mutation, sync bool) error {
	written := append([]storage.Mutation(nil), mutations...)
	for i := range written {
		if isHardState(written[i].Key) {
			written[i].Value = changed(written[i].Value, s.stored)
		}
	}
	return s.Store.Commit(written, sync)
}

func changed(value []byte, change func(hard *wire.HardState)) []byte {
	var hard wire.HardState
	if _, err := hard.UnmarshalMsg(value); err != nil {
		panic(err)
	}
	change(&hard)
	return encode(&hard)
}

// storeOfBuild returns the machine's store as its build uses it: the first generation knows
// nobody whose lease it may have granted.
func (m *machine) storeOfBuild(store storage.Store) storage.Store {
	forget := func(hard *wire.HardState) { hard.Leader = 0 }
	switch {
	case m.older:
		return hardStateStore{Store: store, stored: forget, read: forget}
	case m.world.mutation == MutationEarlyVotes && m.node != nil:
		id := m.node.ID()
		return hardStateStore{Store: store, stored: func(*wire.HardState) {}, read: func(hard *wire.HardState) { hard.Leader = id }}
	}
	return store
}

// receive takes in a message of another machine's replica.
func (m *machine) receive(message *wire.PeerMessage) {
	asksVote := message.Kind == wire.MessagePreVote || message.Kind == wire.MessageVote
	if m.world.mutation == MutationEarlyVotes && asksVote && m.clock().Sub(m.startedAt) < electionTimeout {
		message.Forced = true
	}
	m.node.Receive(m.clock(), message)
}
