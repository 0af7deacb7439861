package storage

import (
	"bytes"
	"sort"
	"sync"
)

// Memory is a Store in memory that loses, when it crashes, what was not synced.
// It serves simulations and tests.
type Memory struct {
	mutex    sync.Mutex
	live     keySpace
	durable  keySpace
	unsynced [][]Mutation
	syncs    uint64
}

// keySpace is a sorted list of keys with their values.
type keySpace struct {
	keys   []string
	values map[string][]byte
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{live: keySpace{values: map[string][]byte{}}, durable: keySpace{values: map[string][]byte{}}}
}

// Syncs returns how many synced commits there have been.
func (m *Memory) Syncs() uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.syncs
}

// Crash returns the store as it is after a loss of power: the first keep of
// the unsynced batches survive, the rest are gone.
func (m *Memory) Crash(keep int) *Memory {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for i := 0; i < keep && i < len(m.unsynced); i++ {
		m.durable.apply(m.unsynced[i])
	}
	return &Memory{live: m.durable.clone(), durable: m.durable.clone()}
}

// Unsynced returns the number of batches that a crash could lose.
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
	pairs := m.live.between(lower, upper)
	m.mutex.Unlock()
	for _, pair := range pairs {
		if !visit(pair.Key, pair.Value) {
			return nil
		}
	}
	return nil
}

// Commit implements Store.
func (m *Memory) Commit(mutations []Mutation, sync bool) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	kept := cloneMutations(mutations)
	m.live.apply(kept)
	m.unsynced = append(m.unsynced, kept)
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

// View implements Store.
func (m *Memory) View() View {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	clone := m.live.clone()
	return &Memory{live: clone, durable: keySpace{values: map[string][]byte{}}}
}

// Close implements Store.
func (m *Memory) Close() error { return nil }

func cloneMutations(mutations []Mutation) []Mutation {
	kept := make([]Mutation, len(mutations))
	for i, mutation := range mutations {
		kept[i] = mutation
		kept[i].Key = bytes.Clone(mutation.Key)
		kept[i].Value = bytes.Clone(mutation.Value)
		kept[i].DeleteTo = bytes.Clone(mutation.DeleteTo)
	}
	return kept
}

func (k *keySpace) clone() keySpace {
	values := make(map[string][]byte, len(k.values))
	for key, value := range k.values {
		values[key] = value
	}
	return keySpace{keys: append([]string(nil), k.keys...), values: values}
}

func (k *keySpace) get(key []byte) []byte {
	value, found := k.values[string(key)]
	if !found {
		return nil
	}
	return append([]byte{}, value...)
}

func (k *keySpace) search(key []byte) int { return sort.SearchStrings(k.keys, string(key)) }

// bounds returns the positions of the keys from lower to upper; a nil upper is
// the end.
func (k *keySpace) bounds(lower, upper []byte) (first, last int) {
	first, last = k.search(lower), len(k.keys)
	if upper != nil {
		last = max(first, k.search(upper))
	}
	return first, last
}

func (k *keySpace) between(lower, upper []byte) []Mutation {
	first, last := k.bounds(lower, upper)
	pairs := make([]Mutation, 0, last-first)
	for _, key := range k.keys[first:last] {
		pairs = append(pairs, Mutation{Key: []byte(key), Value: k.values[key]})
	}
	return pairs
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
			k.remove(mutation.Key, append(bytes.Clone(mutation.Key), 0))
		default:
			k.set(mutation.Key, mutation.Value)
		}
	}
}

func (k *keySpace) set(key, value []byte) {
	if _, found := k.values[string(key)]; !found {
		position := k.search(key)
		k.keys = append(k.keys, "")
		copy(k.keys[position+1:], k.keys[position:])
		k.keys[position] = string(key)
	}
	k.values[string(key)] = value
}

func (k *keySpace) remove(lower, upper []byte) {
	first, last := k.bounds(lower, upper)
	for _, key := range k.keys[first:last] {
		delete(k.values, key)
	}
	k.keys = append(k.keys[:first], k.keys[last:]...)
}
