package storage

import (
	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/sstable"
	"github.com/cockroachdb/pebble/v2/vfs"

	"github.com/sedgemast/sedgemast/internal/failure"
)

// These sizes bound the disk space that a store needs in addition to its data, because disks may be
// small. A write stays in the write-ahead log until its memtable is flushed: there are at most two
// memtables with their logs, and one more log file that is kept for reuse. Then the write is in
// level 0, and it is stored twice during a compaction, of which one runs at a time.
const (
	cacheBytes    = 8 << 20
	memtableBytes = 1 << 20
	// baseLevelBytes is the size of the first level below level 0. baseFileBytes is the size of the
	// files of that level. Both sizes increase with each further level.
	baseLevelBytes = 4 << 20
	baseFileBytes  = 512 << 10
	// level0Tables is the number of tables in level 0 at which a compaction starts.
	level0Tables = 2
	// maxOpenFiles bounds the number of file descriptors.
	maxOpenFiles = 500
)

// NativeBytes is the memory that a store takes outside Go's heap: the cache, the memtables, and blocks
// of long values while they are read or written.
const NativeBytes = 24 << 20

// Pebble is a Store on disk, kept by a pebble database.
type Pebble struct {
	database *pebble.DB
	cache    *pebble.Cache
}

// discardLogger discards pebble's messages, except for fatal errors, at which it panics.
type discardLogger struct{}

func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Fatalf(format string, arguments ...any) {
	panic(errors.Newf(format, arguments...))
}

// OpenPebble opens the store in folder, which is created if it does not exist.
func OpenPebble(folder string, files vfs.FS) (*Pebble, error) {
	cache := pebble.NewCache(cacheBytes)
	options := &pebble.Options{
		FS:           files,
		Cache:        cache,
		MemTableSize: memtableBytes,
		Logger:       discardLogger{},

		L0CompactionThreshold: level0Tables,
		LBaseMaxBytes:         baseLevelBytes,
		MaxOpenFiles:          maxOpenFiles,
	}
	options.TargetFileSizes[0] = baseFileBytes
	for i := range options.Levels {
		options.Levels[i].Compression = func() *sstable.CompressionProfile { return sstable.ZstdCompression }
	}
	database, err := pebble.Open(folder, options)
	if err != nil {
		cache.Unref()
		return nil, failure.Wrap(err, failure.Internal, "check that the folder is writable and used by no other process", "the store in %q does not open", folder)
	}
	return &Pebble{database: database, cache: cache}, nil
}

// Get implements Reader.
func (p *Pebble) Get(key []byte) ([]byte, error) { return get(p.database, key) }

// Scan implements Reader.
func (p *Pebble) Scan(lower, upper []byte, visit func(key, value []byte) bool) error {
	return scan(p.database, lower, upper, visit)
}

// Snapshot implements Store.
func (p *Pebble) Snapshot() Snapshot { return pebbleSnapshot{snapshot: p.database.NewSnapshot()} }

// pebbleSnapshot is a Snapshot of a Pebble store.
type pebbleSnapshot struct{ snapshot *pebble.Snapshot }

// Get implements Reader.
func (v pebbleSnapshot) Get(key []byte) ([]byte, error) { return get(v.snapshot, key) }

// Scan implements Reader.
func (v pebbleSnapshot) Scan(lower, upper []byte, visit func(key, value []byte) bool) error {
	return scan(v.snapshot, lower, upper, visit)
}

// Close implements Snapshot.
func (v pebbleSnapshot) Close() error { return v.snapshot.Close() }

func get(from pebble.Reader, key []byte) ([]byte, error) {
	value, closer, err := from.Get(key)
	if errors.Is(err, pebble.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer closer.Close()
	return append([]byte{}, value...), nil
}

func scan(from pebble.Reader, lower, upper []byte, visit func(key, value []byte) bool) error {
	iterator, err := from.NewIter(&pebble.IterOptions{LowerBound: lower, UpperBound: upper})
	if err != nil {
		return err
	}
	for valid := iterator.First(); valid; valid = iterator.Next() {
		if !visit(iterator.Key(), iterator.Value()) {
			break
		}
	}
	return errors.CombineErrors(iterator.Error(), iterator.Close())
}

// Commit implements Store.
func (p *Pebble) Commit(mutations []Mutation, sync bool) error {
	batch := p.database.NewBatch()
	defer batch.Close()
	for _, mutation := range mutations {
		if err := addToBatch(batch, mutation); err != nil {
			return err
		}
	}
	options := pebble.NoSync
	if sync {
		options = pebble.Sync
	}
	return batch.Commit(options)
}

func addToBatch(batch *pebble.Batch, mutation Mutation) error {
	switch {
	case mutation.DeleteTo != nil:
		return batch.DeleteRange(mutation.Key, mutation.DeleteTo, nil)
	case mutation.DeletePrefix:
		return batch.DeleteRange(mutation.Key, PrefixEnd(mutation.Key), nil)
	case mutation.Delete:
		return batch.Delete(mutation.Key, nil)
	}
	return batch.Set(mutation.Key, mutation.Value, nil)
}

// Close implements Store.
func (p *Pebble) Close() error {
	err := p.database.Close()
	p.cache.Unref()
	return err
}
