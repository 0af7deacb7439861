// Package workerset holds the list of workers and tells what changed of it. A Set never
// changes: sets that follow one another share all buckets but those with a change, so a
// change costs the same however long the list is. A Log remembers which changes came
// when, and tells a reader those that it lacks. The package is pure and does no input or
// output.
package workerset

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// Buckets is how many parts the list is divided into by the hash of a worker's id. A
	// change copies this many pointers (8 KB) and the rows of one bucket, ten at 10,000
	// workers and twenty at twice as many; and a reader with an unknown list sends one
	// digest for each (4 KB, against 560 KB for 10,000 rows).
	Buckets = 1024
	// digestBytes is the length of a bucket's digest as it is sent. Two lists whose
	// buckets look alike by chance, once in 4 billion, are told apart by the digest of
	// the whole set.
	digestBytes = 4
	// rowBytes is about how long a row is on the wire.
	rowBytes = 56
)

// Set is a list of workers. The nil Set is empty.
type Set struct {
	buckets [Buckets]*bucket
	count   int
	digest  uint64
}

// bucket is a part of a set: its rows in the order of their ids, and their digest.
type bucket struct {
	rows   []wire.PoolWorker
	digest uint64
}

// Of returns the set of the rows. Of rows with the same id the last one counts.
func Of(rows []wire.PoolWorker) *Set { return (*Set)(nil).Replaced(rows) }

// Len returns the number of workers.
func (s *Set) Len() int {
	if s == nil {
		return 0
	}
	return s.count
}

// Digest returns a number that differs, but for chance, between sets that differ.
func (s *Set) Digest() uint64 {
	if s == nil {
		return 0
	}
	return s.digest
}

// Digests returns the digests of all buckets, to be sent to a Log that does not know
// which list this is. It returns nil where the whole list is shorter.
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

// Each calls visit with each worker, in no special order. visit must not change it.
func (s *Set) Each(visit func(row *wire.PoolWorker)) {
	if s == nil {
		return
	}
	for _, b := range s.buckets {
		for i := range b.all() {
			visit(&b.rows[i])
		}
	}
}

// Rows returns all workers in the order of their ids.
func (s *Set) Rows() []wire.PoolWorker {
	rows := make([]wire.PoolWorker, 0, s.Len())
	s.Each(func(row *wire.PoolWorker) { rows = append(rows, *row) })
	slices.SortFunc(rows, byID)
	return rows
}

// Diff calls joined with each worker that is not in the set before as it is in this
// one, and left with each one whose id was there and is here no more. It looks only at
// buckets that are not shared.
func (s *Set) Diff(before *Set, joined, left func(row *wire.PoolWorker)) {
	for number := range Buckets {
		was, is := before.bucket(number), s.bucket(number)
		if was == is {
			continue
		}
		eachMissing(is.all(), was.all(), joined)
		eachGone(was.all(), is.all(), left)
	}
}

// eachMissing calls visit with the rows that do not stand the same among the others.
func eachMissing(rows, others []wire.PoolWorker, visit func(row *wire.PoolWorker)) {
	for i := range rows {
		if at, found := find(others, rows[i].ID); !found || others[at] != rows[i] {
			visit(&rows[i])
		}
	}
}

// eachGone calls visit with the rows whose ids do not stand among the others.
func eachGone(rows, others []wire.PoolWorker, visit func(row *wire.PoolWorker)) {
	for i := range rows {
		if _, found := find(others, rows[i].ID); !found {
			visit(&rows[i])
		}
	}
}

// Replaced returns the set of the rows, which shares with this one the buckets that are
// the same. Of rows with the same id the last one counts.
func (s *Set) Replaced(rows []wire.PoolWorker) *Set {
	var parts [Buckets][]wire.PoolWorker
	for i := range rows {
		number := bucketOf(rows[i].ID)
		parts[number] = put(parts[number], rows[i])
	}
	change := s.change()
	for number := range parts {
		change.set(number, parts[number])
	}
	return change.done(s)
}

// With returns the set with some rows added or replaced and some ids taken away.
func (s *Set) With(rows []wire.PoolWorker, gone []string) *Set {
	touched := map[int][]wire.PoolWorker{}
	rowsOf := func(number int) []wire.PoolWorker {
		if _, copied := touched[number]; !copied {
			touched[number] = slices.Clone(s.bucket(number).all())
		}
		return touched[number]
	}
	for i := range rows {
		number := bucketOf(rows[i].ID)
		touched[number] = put(rowsOf(number), rows[i])
	}
	for _, id := range gone {
		number := bucketOf(id)
		before := rowsOf(number)
		if at, found := find(before, id); found {
			touched[number] = slices.Delete(before, at, at+1)
		}
	}
	change := s.change()
	for number, part := range touched {
		change.set(number, part)
	}
	return change.done(s)
}

// change is a set in the making.
type change struct {
	next *Set
	// changed is set once it differs from the one that it began as.
	changed bool
}

// change begins with a copy of the set.
func (s *Set) change() *change {
	next := &Set{}
	if s != nil {
		*next = *s
	}
	return &change{next: next}
}

// set gives a bucket its rows, in order. A bucket that is the same stays shared.
func (c *change) set(number int, rows []wire.PoolWorker) {
	before := c.next.buckets[number]
	if slices.Equal(before.all(), rows) {
		return
	}
	after := newBucket(rows)
	c.changed = true
	c.next.buckets[number] = after
	c.next.count += len(rows) - len(before.all())
	c.next.digest += after.sum() - before.sum()
}

// done returns the set, or the one before where nothing has changed.
func (c *change) done(before *Set) *Set {
	if !c.changed && before != nil {
		return before
	}
	return c.next
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

func (b *bucket) all() []wire.PoolWorker {
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

// digestOf hashes a row with all its fields.
func digestOf(row *wire.PoolWorker) uint64 {
	// A row encodes into memory, which can't fail.
	encoded, _ := row.MarshalMsg(make([]byte, 0, 2*rowBytes))
	return xxhash.Sum64(encoded)
}

func bucketOf(id string) int { return int(xxhash.Sum64String(id) % Buckets) }

func byID(a, b wire.PoolWorker) int { return cmp.Compare(a.ID, b.ID) }

func find(rows []wire.PoolWorker, id string) (int, bool) {
	return slices.BinarySearchFunc(rows, id, func(row wire.PoolWorker, id string) int { return cmp.Compare(row.ID, id) })
}

// put adds a row in order, or replaces the one with its id.
func put(rows []wire.PoolWorker, row wire.PoolWorker) []wire.PoolWorker {
	at, found := find(rows, row.ID)
	if found {
		rows[at] = row
		return rows
	}
	return slices.Insert(rows, at, row)
}
