package storage

import (
	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/sstable"
	"github.com/cockroachdb/pebble/v2/vfs"

	"github.com/sedgemast/sedgemast/internal/failure"
)

// Disks may be small: what a store holds beside its data is bounded by these. A
// logged write stands in the write-ahead log until its memtable is flushed, in two
// memtables at most and in one log more that is kept for reuse; then in level 0,
// and twice for the length of a compaction, of which one runs at a time.
const (
	cacheBytes    = 8 << 20
	memtableBytes = 1 << 20
	// baseBytes is the size of the first level below level 0, fileBytes that of
	// its files; both grow from level to level.
	baseBytes = 4 << 20
	fileBytes = 512 << 10
	// flushedTables is how many tables of level 0 start a compaction.
	flushedTables = 2
	// openFiles bounds the descriptors.
	openFiles = 500
)

// Pebble is a Store on disk.
type Pebble struct {
	database *pebble.DB
	cache    *pebble.Cache
}

// quietLogger keeps pebble's own messages out of the process's log.
type quietLogger struct{}

func (quietLogger) Infof(string, ...any)  {}
func (quietLogger) Errorf(string, ...any) {}
func (quietLogger) Fatalf(format string, arguments ...any) {
	panic(errors.Newf(format, arguments...))
}

// OpenPebble opens the store in folder, which it makes if it is not there.
func OpenPebble(folder string, files vfs.FS) (*Pebble, error) {
	cache := pebble.NewCache(cacheBytes)
	options := &pebble.Options{
		FS:           files,
		Cache:        cache,
		MemTableSize: memtableBytes,
		Logger:       quietLogger{},

		L0CompactionThreshold: flushedTables,
		LBaseMaxBytes:         baseBytes,
		MaxOpenFiles:          openFiles,
	}
	options.TargetFileSizes[0] = fileBytes
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
func (p *Pebble) Snapshot() Snapshot { return pebbleView{snapshot: p.database.NewSnapshot()} }

// pebbleView is a View of a Pebble store.
type pebbleView struct{ snapshot *pebble.Snapshot }

// Get implements Reader.
func (v pebbleView) Get(key []byte) ([]byte, error) { return get(v.snapshot, key) }

// Scan implements Reader.
func (v pebbleView) Scan(lower, upper []byte, visit func(key, value []byte) bool) error {
	return scan(v.snapshot, lower, upper, visit)
}

// Close implements View.
func (v pebbleView) Close() error { return v.snapshot.Close() }

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
		if err := stage(batch, mutation); err != nil {
			return err
		}
	}
	options := pebble.NoSync
	if sync {
		options = pebble.Sync
	}
	return batch.Commit(options)
}

func stage(batch *pebble.Batch, mutation Mutation) error {
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
