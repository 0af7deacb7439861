package loadshare

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// TestNamedAreAsOthers lets processes report at random, with and without a hub above: what
// a hub tells of workers by name is what it tells of all of them.
func TestNamedAreAsOthers(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 4))
	h, now := NewHub(), start
	names := make([]uint32, 30)
	for i := range names {
		names[i] = uint32(i)
	}
	loads := func() []wire.WorkerLoad {
		var rows []wire.WorkerLoad
		for _, worker := range names {
			if random.IntN(3) == 0 {
				rows = append(rows, wire.WorkerLoad{Worker: worker, Online: uint16(random.IntN(4)), Batch: uint16(random.IntN(3)), Unread: uint32(random.IntN(900)), Answered: uint16(random.IntN(2)), Failed: uint16(random.IntN(2)), Steps: 3, StepMicros: 60_000})
			}
		}
		return rows
	}
	for step := range 500 {
		now = now.Add(time.Duration(random.IntN(80)) * time.Millisecond)
		source := uint32(random.IntN(5))
		h.ApplyReport(now, &wire.LoadReport{Source: source, Workers: loads()})
		if random.IntN(9) == 0 {
			h.SetParentLoads(now, loads(), 0, random.IntN(2) == 0)
		}
		told := map[uint32]wire.WorkerLoad{}
		for _, row := range h.PeerLoads(now, source) {
			told[row.Worker] = row
		}
		for _, row := range h.LoadsOf(now, source, names) {
			want := told[row.Worker]
			want.Worker = row.Worker
			if row != want {
				t.Fatalf("step %d: %+v by name, %+v among all", step, row, want)
			}
		}
	}
}

// TestLoadedFits checks what a hub leaves out: nothing while there is little, then the rows
// that tell of no load, then those of the least load, which are counted.
func TestLoadedFits(t *testing.T) {
	for _, test := range []struct{ idle, loaded, kept, left int }{
		{200, 50, 250, 0}, {2000, 300, 300, 0}, {0, 1400, 1400, 0}, {100, 4000, maxTold, 4000 - maxTold},
	} {
		loads := map[uint32]wire.WorkerLoad{}
		for worker := range uint32(test.idle) {
			loads[worker] = wire.WorkerLoad{Worker: worker, Rate: 5, Step: 20_000}
		}
		for worker := range uint32(test.loaded) {
			loads[10_000+worker] = wire.WorkerLoad{Worker: 10_000 + worker, Online: uint16(1 + worker%8)}
		}
		told := loadedOf(loads)
		kept, left := told.Rows, told.Omitted
		if len(kept) != test.kept || left != test.left {
			t.Errorf("%+v: kept %d, left %d", test, len(kept), left)
		}
		if dropped := test.idle + test.loaded - len(kept) - left; told.UnlistedRate != 5*dropped {
			t.Errorf("%+v: %d answers in ten seconds at the rest", test, told.UnlistedRate)
		}
		report := &wire.LoadReport{Workers: kept}
		if encoded, err := report.MarshalMsg(nil); err != nil || len(encoded) > maxDatagram {
			t.Errorf("%+v: a report of %d bytes, %v", test, len(encoded), err)
		}
		if left > 0 && !slices.ContainsFunc(kept, func(row wire.WorkerLoad) bool { return row.Online == 8 }) {
			t.Errorf("%+v: the busiest workers are left out", test)
		}
	}
}

// TestDrawnStaysTheSame counts rows and bytes of an answer to an edge that is about to
// choose, with all workers loaded, at 10,000 workers and at twice as many; every worker of
// the zone comes up, and the asked ones each time.
func TestDrawnStaysTheSame(t *testing.T) {
	random := rand.New(rand.NewPCG(6, 6))
	for _, count := range []int{10_000, 20_000} {
		h := NewHub()
		var near, far Set
		var rows []wire.WorkerLoad
		for worker := range uint32(count) {
			if worker%5 == 0 {
				near.Add(worker)
			} else {
				far.Add(worker)
			}
			rows = append(rows, wire.WorkerLoad{Worker: worker, Online: 3, Batch: 2, Unread: 700, Answered: 1})
		}
		h.ApplyReport(start, &wire.LoadReport{Source: 1, Workers: rows})
		if !Large(&near) {
			t.Fatal("the zone counts as small")
		}
		seen, most := map[uint32]bool{}, 0
		for range 2500 {
			drawn := Sample(random, []uint32{5, 10}, &near, &far)
			if !slices.Contains(drawn, 5) || !slices.Contains(drawn, 10) {
				t.Fatal("a worker that was asked for is not told of")
			}
			answer := &wire.LoadReport{Workers: h.LoadsOf(start, 2, drawn), Drawn: true}
			encoded, err := answer.MarshalMsg(nil)
			if err != nil {
				t.Fatal(err)
			}
			most = max(most, len(encoded))
			for _, worker := range drawn {
				seen[worker] = true
			}
		}
		if most > 1400 {
			t.Errorf("%d workers: an answer of %d bytes", count, most)
		}
		for worker := uint32(0); worker < uint32(count); worker += 5 {
			if !seen[worker] {
				t.Errorf("%d workers: worker %d of the zone never comes up", count, worker)
			}
		}
	}
}

// TestLotForgets checks that a worker that left is drawn no more, and one that came twice
// is there once.
func TestLotForgets(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	var lot Set
	lot.Remove(1)
	for _, worker := range []uint32{1, 2, 3, 2} {
		lot.Add(worker)
	}
	lot.Remove(2)
	lot.Remove(2)
	if drawn := lot.draw(random, 9, nil); lot.Len() != 2 || len(drawn) != 2 || slices.Contains(drawn, 2) {
		t.Errorf("drawn %v of %d", drawn, lot.Len())
	}
}

// TestHubPause checks that hubs report fast but in a fleet that mostly idles.
func TestHubPause(t *testing.T) {
	for _, test := range []struct {
		perSecond float64
		workers   int
		want      time.Duration
	}{{460, 90, Interval}, {25, 12, Interval}, {1900, 3000, Interval}, {365, 10_000, MaxInterval}, {0, 12, Interval}} {
		if got := HubReportInterval(test.perSecond, test.workers); got != test.want {
			t.Errorf("%+v: %v", test, got)
		}
	}
}

// BenchmarkAnswer is a hub's answer to an edge where all workers have work. Before, by the
// issue's figures, 0.06, 9.0 and 17.0 ms and 1.2 MB at 10,000 workers.
func BenchmarkAnswer(b *testing.B) {
	for _, count := range []int{100, 10_000, 20_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			h := NewHub()
			var near, far Set
			var rows []wire.WorkerLoad
			for worker := range uint32(count) {
				if worker%5 == 0 {
					near.Add(worker)
				} else {
					far.Add(worker)
				}
				rows = append(rows, wire.WorkerLoad{Worker: worker, Online: 3})
			}
			h.ApplyReport(start, &wire.LoadReport{Source: 1, Workers: rows})
			random := rand.New(rand.NewPCG(6, 6))
			zone := map[uint32]string{}
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				if !Large(&near) {
					Subset(h.PeerLoads(start, 2), "a", func(worker uint32) string { return zone[worker] }, random)
					continue
				}
				h.LoadsOf(start, 2, Sample(random, nil, &near, &far))
			}
		})
	}
}
