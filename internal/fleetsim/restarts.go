package fleetsim

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// maxRestartDowntime limits how long restarted coordinators are down. It is shorter than a
	// lease, so that a lease granted before a restart may still be in force after it.
	maxRestartDowntime = electionTimeout / 5
	// leaderIsolation is how long the leader is cut off from the restarted coordinators, a few
	// times the length of a lease.
	leaderIsolation = 2 * electionTimeout
	restartInterval = 2 * time.Second
)

// startRestarts schedules simultaneous restarts of the coordinators, in every fifth seed.
func (w *World) startRestarts() {
	if w.fastRestarts {
		w.after(faultsFrom, w.nextRestart)
	}
}

func (w *World) nextRestart() {
	if w.now.Sub(startTime) > faultsUntil {
		return
	}
	w.restartCoordinators()
	w.after(restartInterval/2+time.Duration(w.restartRandom.Int64N(int64(restartInterval))), w.nextRestart)
}

// restartCoordinators kills all running coordinators, each of which restarts within
// maxRestartDowntime. In two of three cases a leader is not killed, but cut off from all other
// machines. Its lease is then still in force, while the coordinators that helped to grant the lease
// have lost their memory of it.
func (w *World) restartCoordinators() {
	isolated := w.leader()
	if w.restartRandom.IntN(3) == 0 {
		isolated = nil
	}
	for _, coordinator := range w.machinesOf(kindCoordinator) {
		if !coordinator.alive || coordinator.frozen {
			continue
		}
		if coordinator == isolated {
			w.log("isolate %s, restart all other coordinators", coordinator.name)
			w.isolate(coordinator, leaderIsolation)
			continue
		}
		w.log("restart %s", coordinator.name)
		coordinator.kill()
		w.after(time.Duration(w.restartRandom.Int64N(int64(maxRestartDowntime))), func() { coordinator.restart(false) })
	}
}

// leader returns a running coordinator that considers itself the leader, nil if there is none.
func (w *World) leader() *machine {
	for _, coordinator := range w.machinesOf(kindCoordinator) {
		if coordinator.alive && !coordinator.frozen && coordinator.node.Statuses(coordinator.clock())[0].Role == consensus.Leader {
			return coordinator
		}
	}
	return nil
}

// isolate cuts a machine off from all others for the given time.
func (w *World) isolate(m *machine, down time.Duration) {
	for _, other := range w.machines {
		if other != m {
			m.blocked[other.name], other.blocked[m.name] = true, true
		}
	}
	w.after(down, func() {
		for _, other := range w.machines {
			delete(m.blocked, other.name)
			delete(other.blocked, m.name)
		}
	})
}

// hardStateStore changes hard states when they are written to the disk and when they are read.
type hardStateStore struct {
	storage.Store
	onWrite, onRead func(hard *wire.HardState)
}

// isHardState reports whether a key belongs to the hard state of a group.
func isHardState(key []byte) bool { return len(key) == 4 && key[0] == 'g' && key[3] == 'h' }

// Get implements storage.Reader.
func (s hardStateStore) Get(key []byte) ([]byte, error) {
	value, err := s.Store.Get(key)
	if err != nil || value == nil || !isHardState(key) {
		return value, err
	}
	return rewriteHardState(value, s.onRead), nil
}

// Commit implements storage.Store.
func (s hardStateStore) Commit(mutations []storage.Mutation, sync bool) error {
	written := append([]storage.Mutation(nil), mutations...)
	for i := range written {
		if isHardState(written[i].Key) {
			written[i].Value = rewriteHardState(written[i].Value, s.onWrite)
		}
	}
	return s.Store.Commit(written, sync)
}

// rewriteHardState applies a change to an encoded hard state.
func rewriteHardState(value []byte, change func(hard *wire.HardState)) []byte {
	var hard wire.HardState
	if _, err := hard.UnmarshalMsg(value); err != nil {
		panic(err)
	}
	change(&hard)
	return encode(&hard)
}

// storeOfBuild returns the machine's store as its build uses it. The first generation does not
// store the leader whose lease it may have helped to grant.
func (m *machine) storeOfBuild(store storage.Store) storage.Store {
	forget := func(hard *wire.HardState) { hard.Leader = 0 }
	switch {
	case m.firstGeneration:
		return hardStateStore{Store: store, onWrite: forget, onRead: forget}
	case m.world.mutation == MutationEarlyVotes && m.node != nil:
		id := m.node.ID()
		return hardStateStore{Store: store, onWrite: func(*wire.HardState) {}, onRead: func(hard *wire.HardState) { hard.Leader = id }}
	}
	return store
}

// receive passes a message from another machine's replica to the node.
func (m *machine) receive(message *wire.PeerMessage) {
	asksVote := message.Kind == wire.MessagePreVote || message.Kind == wire.MessageVote
	if m.world.mutation == MutationEarlyVotes && asksVote && m.clock().Sub(m.startedAt) < electionTimeout {
		message.Forced = true
	}
	m.node.Receive(m.clock(), message)
}
