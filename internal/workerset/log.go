package workerset

import (
	"encoding/binary"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// maxGone bounds the workers that are remembered as gone: 4,096 ids take some 200 KB.
// A reader who was away for longer is told by the digests of its buckets.
const maxGone = 4096

// Log is a list of workers with the number of the change that each row came with. Numbers
// grow; whoever keeps the log gives them. It is not safe for concurrent use.
type Log struct {
	set *Set
	// since is the oldest number after which all changes are remembered.
	since uint64
	// rowAt holds the number of the change that a row came with, bucketAt the number of
	// the last change in a bucket.
	rowAt    map[string]uint64
	bucketAt [Buckets]uint64
	// gone holds the workers that were taken away, the oldest first.
	gone []removal
}

// removal is a worker that was taken away.
type removal struct {
	id     string
	number uint64
}

// NewLog returns the log of an empty list, in which the first change has a higher number.
func NewLog(number uint64) *Log {
	return &Log{since: number, rowAt: map[string]uint64{}}
}

// Set returns the list.
func (l *Log) Set() *Set { return l.set }

// Put takes in the list as of a number. The number must not be below the last one.
func (l *Log) Put(number uint64, set *Set) {
	set.Diff(l.set, func(row *wire.PoolWorker) {
		l.rowAt[row.ID] = number
		l.bucketAt[bucketOf(row.ID)] = number
	}, func(row *wire.PoolWorker) {
		delete(l.rowAt, row.ID)
		l.bucketAt[bucketOf(row.ID)] = number
		l.gone = append(l.gone, removal{row.ID, number})
	})
	l.set = set
	if over := len(l.gone) - maxGone; over > 0 {
		l.since = max(l.since, l.gone[over-1].number)
		l.gone = append([]removal(nil), l.gone[over:]...)
	}
}

// Since returns what a reader lacks who has the list as of a number, zero for none, and
// sent the digests of its buckets or none: the changes, where they are remembered; else
// the buckets that differ; else all.
func (l *Log) Since(number uint64, digests []byte) wire.WorkerNews {
	news := wire.WorkerNews{Digest: l.set.Digest()}
	switch {
	case number > 0 && number >= l.since:
		l.addChanges(&news, number)
	case len(digests) == Buckets*digestBytes:
		l.addBuckets(&news, digests)
	default:
		news.Whole = true
		news.Rows = l.set.Rows()
	}
	return news
}

func (l *Log) addChanges(news *wire.WorkerNews, number uint64) {
	for bucket, at := range l.bucketAt {
		if at <= number {
			continue
		}
		for _, row := range l.set.bucket(bucket).all() {
			if l.rowAt[row.ID] > number {
				news.Rows = append(news.Rows, row)
			}
		}
	}
	for i := len(l.gone) - 1; i >= 0 && l.gone[i].number > number; i-- {
		if l.rowAt[l.gone[i].id] == 0 {
			news.Gone = append(news.Gone, l.gone[i].id)
		}
	}
}

func (l *Log) addBuckets(news *wire.WorkerNews, digests []byte) {
	for number := range Buckets {
		b := l.set.bucket(number)
		if uint32(b.sum()) != binary.LittleEndian.Uint32(digests[number*digestBytes:]) {
			news.Buckets = append(news.Buckets, wire.WorkerBucket{Number: uint16(number), Rows: b.all()})
		}
	}
}

// FullUpdate returns news that tell the whole set.
func (s *Set) FullUpdate() *wire.WorkerNews {
	return &wire.WorkerNews{Whole: true, Rows: s.Rows(), Digest: s.Digest()}
}

// Apply returns the set of a reader who is told the news.
func (s *Set) Apply(news *wire.WorkerNews) *Set {
	if news.Whole {
		return s.Replaced(news.Rows)
	}
	rows, gone := news.Rows, news.Gone
	for i := range news.Buckets {
		bucket := &news.Buckets[i]
		rows = append(rows, bucket.Rows...)
		if int(bucket.Number) < Buckets {
			eachGone(s.bucket(int(bucket.Number)).all(), bucket.Rows, func(row *wire.PoolWorker) { gone = append(gone, row.ID) })
		}
	}
	if len(rows)+len(gone) == 0 {
		return s
	}
	return s.With(rows, gone)
}
