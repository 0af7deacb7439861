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
	entries  []memoryEntry
	unsynced [][]Mutation
	durable  []memoryEntry
	syncs    uint64
}

type memoryEntry struct {
	key   []byte
	value []byte
}

// NewMemory returns an empty store.
func NewMemory() *Memory { return &Memory{} }

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
	survivor := &Memory{entries: cloneEntries(m.durable)}
	for i := 0; i < keep && i < len(m.unsynced); i++ {
		survivor.apply(m.unsynced[i])
	}
	survivor.durable = cloneEntries(survivor.entries)
	return survivor
}

// Unsynced returns the number of batches that a crash could lose.
func (m *Memory) Unsynced() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.unsynced)
}

func cloneEntries(entries []memoryEntry) []memoryEntry {
	return append([]memoryEntry(nil), entries...)
}

// Get implements Reader.
func (m *Memory) Get(key []byte) ([]byte, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	index := m.search(key)
	if index == len(m.entries) || !bytes.Equal(m.entries[index].key, key) {
		return nil, nil
	}
	return append([]byte{}, m.entries[index].value...), nil
}

// Scan implements Reader.
func (m *Memory) Scan(lower, upper []byte, visit func(key, value []byte) bool) error {
	m.mutex.Lock()
	entries := cloneEntries(m.entries[m.search(lower):])
	m.mutex.Unlock()
	for _, entry := range entries {
		if upper != nil && bytes.Compare(entry.key, upper) >= 0 {
			return nil
		}
		if !visit(entry.key, entry.value) {
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
	m.apply(kept)
	m.unsynced = append(m.unsynced, kept)
	if sync {
		m.syncs++
		m.unsynced = nil
		m.durable = cloneEntries(m.entries)
	}
	return nil
}

func cloneMutations(mutations []Mutation) []Mutation {
	kept := make([]Mutation, len(mutations))
	for i, mutation := range mutations {
		kept[i] = mutation
		kept[i].Key = append([]byte(nil), mutation.Key...)
		kept[i].Value = append([]byte(nil), mutation.Value...)
	}
	return kept
}

// Close implements Store.
func (m *Memory) Close() error { return nil }

func (m *Memory) search(key []byte) int {
	return sort.Search(len(m.entries), func(i int) bool {
		return bytes.Compare(m.entries[i].key, key) >= 0
	})
}

func (m *Memory) apply(mutations []Mutation) {
	for _, mutation := range mutations {
		switch {
		case mutation.DeletePrefix:
			m.deleteRange(m.search(mutation.Key), mutation.Key)
		case mutation.Delete:
			m.deleteKey(mutation.Key)
		default:
			m.set(mutation.Key, mutation.Value)
		}
	}
}

func (m *Memory) set(key, value []byte) {
	index := m.search(key)
	if index < len(m.entries) && bytes.Equal(m.entries[index].key, key) {
		m.entries[index] = memoryEntry{key: key, value: value}
		return
	}
	m.entries = append(m.entries, memoryEntry{})
	copy(m.entries[index+1:], m.entries[index:])
	m.entries[index] = memoryEntry{key: key, value: value}
}

func (m *Memory) deleteKey(key []byte) {
	index := m.search(key)
	if index < len(m.entries) && bytes.Equal(m.entries[index].key, key) {
		m.entries = append(m.entries[:index], m.entries[index+1:]...)
	}
}

func (m *Memory) deleteRange(first int, prefix []byte) {
	last := first
	for last < len(m.entries) && bytes.HasPrefix(m.entries[last].key, prefix) {
		last++
	}
	m.entries = append(m.entries[:first], m.entries[last:]...)
}
