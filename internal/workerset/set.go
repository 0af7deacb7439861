// Package workerset holds the list of workers and finds what changed in it. A Set is immutable:
// successive sets share all buckets without a change, so the cost of a change does not depend on
// the length of the list. A Log remembers the number of each change, and returns the changes that a
// reader lacks. The package performs no I/O.
package workerset

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// Buckets is the number of parts into which the list is divided, by the hash of the worker's
	// id. A change copies this many pointers (8 KB) and the rows of one bucket, ten at 10,000
	// workers and twenty at 20,000. A reader with an unknown list sends one digest for each bucket
	// (4 KB, against 560 KB for 10,000 rows).
	Buckets = 1024
	// digestBytes is the length of a bucket's digest on the wire. If two different buckets have
	// the same digest, with a probability of 1 in 4 billion, the digest of the whole set still
	// differs.
	digestBytes = 4
	// rowBytes is the approximate length of a row on the wire.
	rowBytes = 56
)

// Set is a list of workers. The nil Set is empty.
type Set struct {
	buckets [Buckets]*bucket
	count   int
	digest  uint64
}

// bucket is a part of a set: its rows, ordered by id, and their digest.
type bucket struct {
	rows   []wire.PoolWorker
	digest uint64
}

// Of returns the set of the rows. If rows have the same id, the last one counts.
func Of(rows []wire.PoolWorker) *Set { return (*Set)(nil).Replaced(rows) }

// Len returns the number of workers.
func (s *Set) Len() int {
	if s == nil {
		return 0
	}
	return s.count
}

// CountLeaving returns the number of rows of workers that are leaving.
func CountLeaving(rows []wire.PoolWorker) (leaving int) {
	for i := range rows {
		if rows[i].Leaving {
			leaving++
		}
	}
	return leaving
}

// Get returns the row of a worker.
func (s *Set) Get(id string) (row wire.PoolWorker, found bool) {
	rows := s.bucket(bucketOf(id)).allRows()
	at, found := find(rows, id)
	if !found {
		return wire.PoolWorker{}, false
	}
	return rows[at], true
}

// Digest returns a digest of the set's rows. Different sets have the same digest only by chance.
func (s *Set) Digest() uint64 {
	if s == nil {
		return 0
	}
	return s.digest
}

// Digests returns the digests of all buckets, for a Log that does not know the reader's list. It
// returns nil if the whole list is shorter than the digests.
func (s *Set) Digests() []byte {
	if s.Len()*rowBytes < Buckets*digestBytes {
		return nil
	}
	digests := make([]byte, 0, Buckets*digestBytes)
	for _, b := range s.buckets {
		digests = binary.LittleEndian.AppendUint32(digests, uint32(b.sum()))
	}
	return digests
}

// Each calls visit with each worker, in no particular order. visit must not change the row.
func (s *Set) Each(visit func(row *wire.PoolWorker)) {
	if s == nil {
		return
	}
	for _, b := range s.buckets {
		for i := range b.allRows() {
			visit(&b.rows[i])
		}
	}
}

// Rows returns all workers ordered by id.
func (s *Set) Rows() []wire.PoolWorker {
	rows := make([]wire.PoolWorker, 0, s.Len())
	s.Each(func(row *wire.PoolWorker) { rows = append(rows, *row) })
	slices.SortFunc(rows, byID)
	return rows
}

// Diff calls joined with each worker that was added or changed since the set before, and left
// with each one that was removed. It compares only buckets that the two sets do not share.
func (s *Set) Diff(before *Set, joined, left func(row *wire.PoolWorker)) {
	for number := range Buckets {
		previous, current := before.bucket(number), s.bucket(number)
		if previous == current {
			continue
		}
		eachChanged(current.allRows(), previous.allRows(), joined)
		eachRemoved(previous.allRows(), current.allRows(), left)
	}
}

// Exited returns the ids of the workers of the set before that are missing here although they were not
// listed as leaving. A worker that has restarted has another id.
func (s *Set) Exited(before *Set) []string {
	var exited []string
	s.Diff(before, func(*wire.PoolWorker) {}, func(row *wire.PoolWorker) {
		if !row.Leaving {
			exited = append(exited, row.ID)
		}
	})
	return exited
}

// eachChanged calls visit with the rows that are missing from others or have different content
// there.
func eachChanged(rows, others []wire.PoolWorker, visit func(row *wire.PoolWorker)) {
	for i := range rows {
		if at, found := find(others, rows[i].ID); !found || others[at] != rows[i] {
			visit(&rows[i])
		}
	}
}

// eachRemoved calls visit with the rows whose ids others lacks.
func eachRemoved(rows, others []wire.PoolWorker, visit func(row *wire.PoolWorker)) {
	for i := range rows {
		if _, found := find(others, rows[i].ID); !found {
			visit(&rows[i])
		}
	}
}

// Replaced returns the set of the rows. It shares the unchanged buckets with this set. If rows
// have the same id, the last one counts.
func (s *Set) Replaced(rows []wire.PoolWorker) *Set {
	var parts [Buckets][]wire.PoolWorker
	for i := range rows {
		number := bucketOf(rows[i].ID)
		parts[number] = upsert(parts[number], rows[i])
	}
	builder := s.builder()
	for number := range parts {
		builder.setBucket(number, parts[number])
	}
	return builder.finish(s)
}

// With returns the set with rows added or replaced, and then the rows with the removed ids dropped.
func (s *Set) With(rows []wire.PoolWorker, removed []string) *Set {
	changedRows := map[int][]wire.PoolWorker{}
	rowsOf := func(number int) []wire.PoolWorker {
		if _, copied := changedRows[number]; !copied {
			changedRows[number] = slices.Clone(s.bucket(number).allRows())
		}
		return changedRows[number]
	}
	for i := range rows {
		number := bucketOf(rows[i].ID)
		changedRows[number] = upsert(rowsOf(number), rows[i])
	}
	for _, id := range removed {
		number := bucketOf(id)
		before := rowsOf(number)
		if at, found := find(before, id); found {
			changedRows[number] = slices.Delete(before, at, at+1)
		}
	}
	builder := s.builder()
	for number, part := range changedRows {
		builder.setBucket(number, part)
	}
	return builder.finish(s)
}

// builder builds a set from another one.
type builder struct {
	next *Set
	// changed is set once next differs from the initial set.
	changed bool
}

// builder returns a builder that starts with a copy of the set.
func (s *Set) builder() *builder {
	next := &Set{}
	if s != nil {
		*next = *s
	}
	return &builder{next: next}
}

// setBucket sets the rows of a bucket, which must be ordered by id. An unchanged bucket stays
// shared.
func (b *builder) setBucket(number int, rows []wire.PoolWorker) {
	before := b.next.buckets[number]
	if slices.Equal(before.allRows(), rows) {
		return
	}
	after := newBucket(rows)
	b.changed = true
	b.next.buckets[number] = after
	b.next.count += len(rows) - len(before.allRows())
	b.next.digest += after.sum() - before.sum()
}

// finish returns the new set, or before, the set from which the builder started, if nothing
// changed.
func (b *builder) finish(before *Set) *Set {
	if !b.changed && before != nil {
		return before
	}
	return b.next
}

func (s *Set) bucket(number int) *bucket {
	if s == nil {
		return nil
	}
	return s.buckets[number]
}

func newBucket(rows []wire.PoolWorker) *bucket {
	if len(rows) == 0 {
		return nil
	}
	b := &bucket{rows: rows}
	for i := range rows {
		b.digest += digestOf(&rows[i])
	}
	return b
}

func (b *bucket) allRows() []wire.PoolWorker {
	if b == nil {
		return nil
	}
	return b.rows
}

func (b *bucket) sum() uint64 {
	if b == nil {
		return 0
	}
	return b.digest
}

// digestOf returns the hash of all fields of a row.
func digestOf(row *wire.PoolWorker) uint64 {
	// Encoding into memory can't fail.
	encoded, _ := row.MarshalMsg(make([]byte, 0, 2*rowBytes))
	return xxhash.Sum64(encoded)
}

func bucketOf(id string) int { return int(xxhash.Sum64String(id) % Buckets) }

func byID(a, b wire.PoolWorker) int { return cmp.Compare(a.ID, b.ID) }

func find(rows []wire.PoolWorker, id string) (int, bool) {
	return slices.BinarySearchFunc(rows, id, func(row wire.PoolWorker, id string) int { return cmp.Compare(row.ID, id) })
}

// upsert inserts a row by its id, or replaces the row with the same id.
func upsert(rows []wire.PoolWorker, row wire.PoolWorker) []wire.PoolWorker {
	at, found := find(rows, row.ID)
	if found {
		rows[at] = row
		return rows
	}
	return slices.Insert(rows, at, row)
}
