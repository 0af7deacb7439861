// Package storage stores the logs and the state of replicated groups in one ordered key space. A
// synced commit returns only when it will survive a crash of the process and a power loss.
package storage

// Mutation is one change of the key space: it sets Key to Value or deletes keys.
type Mutation struct {
	Key   []byte
	Value []byte
	// Delete removes Key.
	Delete bool
	// DeletePrefix removes every key that begins with Key.
	DeletePrefix bool
	// DeleteTo, if not nil, removes the keys from Key (inclusive) to DeleteTo (exclusive).
	DeleteTo []byte
}

// Reader reads the key space.
type Reader interface {
	// Get returns a copy of the value under key, or nil if there is none.
	Get(key []byte) ([]byte, error)
	// Scan visits the keys from lower (inclusive) to upper (exclusive) in order, until visit
	// returns false. The slices are valid only until visit returns.
	Scan(lower, upper []byte, visit func(key, value []byte) bool) error
}

// Store is an ordered key space with atomic batches. Batches become durable in
// the order in which they were committed.
type Store interface {
	Reader
	// Commit applies the mutations atomically. With sync set it returns when they, and all commits
	// before them, are durable.
	Commit(mutations []Mutation, sync bool) error
	// Snapshot returns the current key space. Later commits don't change it.
	Snapshot() Snapshot
	Close() error
}

// Snapshot is a consistent, read-only copy of the key space. It must be closed after use.
type Snapshot interface {
	Reader
	Close() error
}

// PrefixEnd returns the lowest key above all keys that begin with prefix, or nil if there is none.
func PrefixEnd(prefix []byte) []byte {
	end := append([]byte(nil), prefix...)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] != 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return nil
}

// WithPrefix returns a reader of the keys that begin with prefix. Its keys don't contain the prefix.
func WithPrefix(reader Reader, prefix []byte) Reader {
	return prefixReader{reader: reader, prefix: prefix}
}

type prefixReader struct {
	reader Reader
	prefix []byte
}

// Get implements Reader.
func (s prefixReader) Get(key []byte) ([]byte, error) {
	return s.reader.Get(s.withPrefix(key))
}

// Scan implements Reader.
func (s prefixReader) Scan(lower, upper []byte, visit func(key, value []byte) bool) error {
	end := PrefixEnd(s.prefix)
	if upper != nil {
		end = s.withPrefix(upper)
	}
	return s.reader.Scan(s.withPrefix(lower), end, func(key, value []byte) bool {
		return visit(key[len(s.prefix):], value)
	})
}

func (s prefixReader) withPrefix(key []byte) []byte {
	return append(append([]byte(nil), s.prefix...), key...)
}
