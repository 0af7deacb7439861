// Package storage keeps the log and the state of replicated groups in one
// ordered key space. A write whose Sync is set has returned only once it
// survives the loss of the process and of power.
package storage

// Mutation is one change of the key space.
type Mutation struct {
	Key   []byte
	Value []byte
	// Delete removes Key.
	Delete bool
	// DeletePrefix removes every key that begins with Key.
	DeletePrefix bool
	// DeleteTo, where it is set, removes the keys from Key (inclusive) to
	// DeleteTo (exclusive).
	DeleteTo []byte
}

// Reader reads the key space.
type Reader interface {
	// Get returns a copy of the value under key, or nil if there is none.
	Get(key []byte) ([]byte, error)
	// Scan visits keys from lower (inclusive) to upper (exclusive) in order
	// until visit returns false. The slices are valid during the visit only.
	Scan(lower, upper []byte, visit func(key, value []byte) bool) error
}

// Store is an ordered key space with atomic batches. Batches become durable in
// the order in which they were committed.
type Store interface {
	Reader
	// Commit applies the mutations, all or none. With sync set it returns once
	// they, and all committed before them, are durable.
	Commit(mutations []Mutation, sync bool) error
	// Snapshot returns the key space as it is now, unmoved by later commits.
	Snapshot() Snapshot
	Close() error
}

// Snapshot is a consistent copy of the key space; it must be closed.
type Snapshot interface {
	Reader
	Close() error
}

// PrefixEnd returns the first key after all keys that begin with prefix, or
// nil where there is none.
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

// WithPrefix returns a reader of the keys that begin with prefix, named without it.
func WithPrefix(reader Reader, prefix []byte) Reader {
	return scopedReader{reader: reader, prefix: prefix}
}

type scopedReader struct {
	reader Reader
	prefix []byte
}

// Get implements Reader.
func (s scopedReader) Get(key []byte) ([]byte, error) {
	return s.reader.Get(s.join(key))
}

// Scan implements Reader.
func (s scopedReader) Scan(lower, upper []byte, visit func(key, value []byte) bool) error {
	end := PrefixEnd(s.prefix)
	if upper != nil {
		end = s.join(upper)
	}
	return s.reader.Scan(s.join(lower), end, func(key, value []byte) bool {
		return visit(key[len(s.prefix):], value)
	})
}

func (s scopedReader) join(key []byte) []byte {
	return append(append([]byte(nil), s.prefix...), key...)
}
