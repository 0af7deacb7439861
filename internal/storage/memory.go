package storage

import (
	"bytes"
	"sync"

	"github.com/tidwall/btree"
)

// Memory is an in-memory Store for simulations and tests. Crash simulates the loss of commits that
// were not synced.
type Memory struct {
	mutex sync.Mutex
	// live holds all commits; durable holds only the synced ones.
	live    keySpace
	durable keySpace
	// unsynced holds the commits since the last synced one, in order.
	unsynced [][]Mutation
	syncs    uint64
}

// keySpace is an ordered map. A clone shares its nodes until one of the two is written to.
type keySpace struct {
	tree *btree.Map[string, []byte]
}

func newKeySpace() keySpace { return keySpace{tree: &btree.Map[string, []byte]{}} }

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{live: newKeySpace(), durable: newKeySpace()}
}

// Syncs returns the number of synced commits.
func (m *Memory) Syncs() uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.syncs
}

// Crash returns the store as a restart after a power loss finds it: with the synced batches and the
// first keep of the unsynced ones.
func (m *Memory) Crash(keep int) *Memory {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for i := 0; i < keep && i < len(m.unsynced); i++ {
		m.durable.apply(m.unsynced[i])
	}
	return &Memory{live: m.durable.clone(), durable: m.durable.clone()}
}

// Unsynced returns the number of batches that are not synced.
func (m *Memory) Unsynced() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.unsynced)
}

// Get implements Reader.
func (m *Memory) Get(key []byte) ([]byte, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.live.get(key), nil
}

// Scan implements Reader.
func (m *Memory) Scan(lower, upper []byte, visit func(key, value []byte) bool) error {
	m.mutex.Lock()
	snapshot := m.live.clone()
	m.mutex.Unlock()
	snapshot.scan(lower, upper, visit)
	return nil
}

// Commit implements Store.
func (m *Memory) Commit(mutations []Mutation, sync bool) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	cloned := cloneMutations(mutations)
	m.live.apply(cloned)
	m.unsynced = append(m.unsynced, cloned)
	if !sync {
		return nil
	}
	m.syncs++
	for _, batch := range m.unsynced {
		m.durable.apply(batch)
	}
	m.unsynced = nil
	return nil
}

// Snapshot implements Store.
func (m *Memory) Snapshot() Snapshot {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return &Memory{live: m.live.clone(), durable: newKeySpace()}
}

// Close implements Store.
func (m *Memory) Close() error { return nil }

func cloneMutations(mutations []Mutation) []Mutation {
	cloned := make([]Mutation, len(mutations))
	for i, mutation := range mutations {
		cloned[i] = mutation
		cloned[i].Key = bytes.Clone(mutation.Key)
		cloned[i].Value = bytes.Clone(mutation.Value)
		cloned[i].DeleteTo = bytes.Clone(mutation.DeleteTo)
	}
	return cloned
}

func (k *keySpace) clone() keySpace { return keySpace{tree: k.tree.Copy()} }

func (k *keySpace) get(key []byte) []byte {
	value, found := k.tree.Get(string(key))
	if !found {
		return nil
	}
	return append([]byte{}, value...)
}

// scan visits the pairs from lower (inclusive) to upper (exclusive); a nil upper means no upper
// bound.
func (k *keySpace) scan(lower, upper []byte, visit func(key, value []byte) bool) {
	k.tree.Ascend(string(lower), func(key string, value []byte) bool {
		if upper != nil && key >= string(upper) {
			return false
		}
		return visit([]byte(key), value)
	})
}

func (k *keySpace) apply(mutations []Mutation) {
	for i := range mutations {
		mutation := &mutations[i]
		switch {
		case mutation.DeleteTo != nil:
			k.remove(mutation.Key, mutation.DeleteTo)
		case mutation.DeletePrefix:
			k.remove(mutation.Key, PrefixEnd(mutation.Key))
		case mutation.Delete:
			k.tree.Delete(string(mutation.Key))
		default:
			k.tree.Set(string(mutation.Key), mutation.Value)
		}
	}
}

func (k *keySpace) remove(lower, upper []byte) {
	var keys []string
	k.scan(lower, upper, func(key, _ []byte) bool {
		keys = append(keys, string(key))
		return true
	})
	for _, key := range keys {
		k.tree.Delete(key)
	}
}
