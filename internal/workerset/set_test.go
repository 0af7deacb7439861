package workerset

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/sedgemast/sedgemast/internal/wire"
)

func row(number int) wire.PoolWorker {
	return wire.PoolWorker{ID: fmt.Sprintf("i-%08x", number), Pool: "p", Address: fmt.Sprintf("10.1.%d.%d:8342", number/256, number%256), Zone: "z", Slots: 8}
}

func rowsOf(count int) []wire.PoolWorker {
	var rows []wire.PoolWorker
	for number := range count {
		rows = append(rows, row(number))
	}
	return rows
}

// TestSetIsItsRows checks that a set holds the rows that it was made of, and that the
// digest tells sets apart, however they were made.
func TestSetIsItsRows(t *testing.T) {
	rows := rowsOf(300)
	s := Of(rows)
	if s.Len() != 300 || !slices.Equal(s.Rows(), rows) {
		t.Fatalf("%d rows of 300", s.Len())
	}
	other := rows[7]
	other.Leaving = true
	changed := s.With([]wire.PoolWorker{other}, []string{rows[9].ID, "unknown"})
	if changed.Len() != 299 || changed.Digest() == s.Digest() {
		t.Errorf("%d rows after one left", changed.Len())
	}
	back := changed.With([]wire.PoolWorker{rows[7], rows[9]}, nil)
	if back.Digest() != s.Digest() || !slices.Equal(back.Rows(), rows) {
		t.Error("a set that is made again differs")
	}
	if s.Replaced(rows) != s || s.With(nil, nil) != s {
		t.Error("no change makes another set")
	}
	var none *Set
	if none.Len() != 0 || none.Digest() != 0 || none.Digests() != nil || len(none.Rows()) != 0 {
		t.Error("the nil set is not empty")
	}
}

// reader is a process that follows the list.
type reader struct {
	set    *Set
	number uint64
}

// TestReadersFollow changes a list at random, among it more removals than are remembered,
// and lets readers ask with a list of any age, with digests, of another origin or with
// none: what they are told makes the list.
func TestReadersFollow(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	log := NewLog(0)
	readers := make([]reader, 8)
	next := 0
	for number := uint64(1); number <= 2000; number++ {
		var rows []wire.PoolWorker
		var gone []string
		for range random.IntN(8) {
			rows = append(rows, row(next))
			next++
		}
		for range random.IntN(5) {
			leaving := row(random.IntN(next + 1))
			leaving.Leaving = true
			rows = append(rows, leaving)
		}
		for range random.IntN(7) {
			gone = append(gone, row(random.IntN(next+1)).ID)
		}
		log.Put(number, log.Set().With(rows, gone))
		r := &readers[random.IntN(len(readers))]
		var digests []byte
		switch random.IntN(20) {
		case 0:
			*r = reader{}
		case 1:
			// A list that came from elsewhere.
			r.number, digests = 0, r.set.Digests()
		}
		news := log.Since(r.number, digests)
		r.set, r.number = r.set.Apply(&news), number
		if r.set.Digest() != news.Digest || !slices.Equal(r.set.Rows(), log.Set().Rows()) {
			t.Fatalf("change %d: a reader has another list", number)
		}
	}
	if len(log.gone) > maxGone {
		t.Errorf("%d removals are remembered", len(log.gone))
	}
}

// TestForgottenRemovalsAreTold checks that a reader who was away for more removals than
// are remembered does not keep what is gone.
func TestForgottenRemovalsAreTold(t *testing.T) {
	rows := rowsOf(2*maxGone + 100)
	log := NewLog(0)
	log.Put(1, Of(rows))
	r := Of(rows)
	log.Put(2, Of(rows[:maxGone+100]))
	log.Put(3, Of(rows[:100]))
	for _, digests := range [][]byte{r.Digests(), nil} {
		news := log.Since(1, digests)
		if learnt := r.Apply(&news); learnt.Digest() != log.Set().Digest() {
			t.Errorf("%d workers, want 100", learnt.Len())
		}
	}
	if news := log.Since(2, nil); news.Whole || len(news.Gone) != maxGone {
		t.Errorf("whole %v, %d gone", news.Whole, len(news.Gone))
	}
}

// TestAChangeCostsTheSame counts what one worker that comes, changes and goes makes of
// bytes told and buckets copied, at two sizes of the list: what is told is the same, where
// the whole list, told before, takes 56 bytes a row.
func TestAChangeCostsTheSame(t *testing.T) {
	told := func(count int) (bytes, buckets int) {
		rows := rowsOf(count)
		log := NewLog(0)
		log.Put(1, Of(rows))
		leaving := rows[count/2]
		leaving.Leaving = true
		after := log.Set().With([]wire.PoolWorker{row(count), leaving}, []string{rows[1].ID})
		for number := range Buckets {
			if after.bucket(number) != log.Set().bucket(number) {
				buckets++
			}
		}
		log.Put(2, after)
		news := log.Since(1, nil)
		encoded, err := news.MarshalMsg(nil)
		if err != nil {
			t.Fatal(err)
		}
		return len(encoded), buckets
	}
	small, smallBuckets := told(10_000)
	large, largeBuckets := told(20_000)
	if 2*large > 3*small || small > 300 {
		t.Errorf("three changes are told in %d bytes at 10,000 workers, in %d at 20,000", small, large)
	}
	if smallBuckets > 3 || largeBuckets > 3 {
		t.Errorf("%d and %d buckets are copied", smallBuckets, largeBuckets)
	}
}

// BenchmarkLearn takes in news of one worker: 14.4 ms, 2.3 MB and 41,000 allocations at
// 10,000 workers where each process made maps of the whole list; now 12 us
// and 10 kB, 10.5 us and 11 kB at 20,000.
func BenchmarkLearn(b *testing.B) {
	for _, count := range []int{100, 10_000, 20_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			s := Of(rowsOf(count))
			news := [2]wire.WorkerNews{}
			for turn := range news {
				changed := row(count / 2)
				changed.Leaving = turn == 1
				news[turn].Rows = []wire.PoolWorker{changed}
			}
			for turn := 0; b.Loop(); turn++ {
				s = s.Apply(&news[turn%2])
			}
		})
	}
}
