package workerset

import (
	"encoding/binary"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// maxRemovals bounds the remembered removals: 4,096 ids take about 200 KB. A reader that lacks more
// removals than that gets its update by the digests of its buckets.
const maxRemovals = 4096

// Log is a list of workers that remembers the number of the change in which each row was added
// or changed last. The caller chooses the numbers, which must increase. Log is not safe for
// concurrent use.
type Log struct {
	set *Set
	// completeSince is the lowest number after which all changes are remembered.
	completeSince uint64
	// rowChangedAt holds the number of each row's last change, bucketChangedAt the number of the
	// last change in each bucket.
	rowChangedAt    map[string]uint64
	bucketChangedAt [Buckets]uint64
	// removals holds the removed workers, the oldest removal first.
	removals []removal
}

// removal is the removal of a worker.
type removal struct {
	id     string
	number uint64
}

// NewLog returns the log of an empty list as of a number. The first change must have a higher
// number.
func NewLog(number uint64) *Log {
	return &Log{completeSince: number, rowChangedAt: map[string]uint64{}}
}

// Set returns the list.
func (l *Log) Set() *Set { return l.set }

// Put stores the list as of a number, which must not be below the last one.
func (l *Log) Put(number uint64, set *Set) {
	set.Diff(l.set, func(row *wire.PoolWorker) {
		l.rowChangedAt[row.ID] = number
		l.bucketChangedAt[bucketOf(row.ID)] = number
	}, func(row *wire.PoolWorker) {
		delete(l.rowChangedAt, row.ID)
		l.bucketChangedAt[bucketOf(row.ID)] = number
		l.removals = append(l.removals, removal{row.ID, number})
	})
	l.set = set
	if excess := len(l.removals) - maxRemovals; excess > 0 {
		l.completeSince = max(l.completeSince, l.removals[excess-1].number)
		l.removals = append([]removal(nil), l.removals[excess:]...)
	}
}

// Since returns the update for a reader that has the list as of number, which is zero if the reader
// has no list. digests holds the digests of the reader's buckets if it sent them. The update has
// the changes if all of them are remembered. Otherwise it has the buckets that differ if there are
// digests, or else the whole list.
func (l *Log) Since(number uint64, digests []byte) wire.WorkerNews {
	update := wire.WorkerNews{Digest: l.set.Digest()}
	switch {
	case number > 0 && number >= l.completeSince:
		l.addChanges(&update, number)
	case len(digests) == Buckets*digestBytes:
		l.addBuckets(&update, digests)
	default:
		update.Whole = true
		update.Rows = l.set.Rows()
	}
	return update
}

func (l *Log) addChanges(update *wire.WorkerNews, number uint64) {
	for bucket, changedAt := range l.bucketChangedAt {
		if changedAt <= number {
			continue
		}
		for _, row := range l.set.bucket(bucket).allRows() {
			if l.rowChangedAt[row.ID] > number {
				update.Rows = append(update.Rows, row)
			}
		}
	}
	for i := len(l.removals) - 1; i >= 0 && l.removals[i].number > number; i-- {
		if l.rowChangedAt[l.removals[i].id] == 0 {
			update.Gone = append(update.Gone, l.removals[i].id)
		}
	}
}

func (l *Log) addBuckets(update *wire.WorkerNews, digests []byte) {
	for number := range Buckets {
		b := l.set.bucket(number)
		if uint32(b.sum()) != binary.LittleEndian.Uint32(digests[number*digestBytes:]) {
			update.Buckets = append(update.Buckets, wire.WorkerBucket{Number: uint16(number), Rows: b.allRows()})
		}
	}
}

// FullUpdate returns an update with the whole set.
func (s *Set) FullUpdate() *wire.WorkerNews {
	return &wire.WorkerNews{Whole: true, Rows: s.Rows(), Digest: s.Digest()}
}

// Apply returns the set with an update applied.
func (s *Set) Apply(update *wire.WorkerNews) *Set {
	if update.Whole {
		return s.Replaced(update.Rows)
	}
	rows, removed := update.Rows, update.Gone
	for i := range update.Buckets {
		bucket := &update.Buckets[i]
		rows = append(rows, bucket.Rows...)
		if int(bucket.Number) < Buckets {
			eachRemoved(s.bucket(int(bucket.Number)).allRows(), bucket.Rows, func(row *wire.PoolWorker) { removed = append(removed, row.ID) })
		}
	}
	if len(rows)+len(removed) == 0 {
		return s
	}
	return s.With(rows, removed)
}
