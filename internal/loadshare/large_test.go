package loadshare

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// TestLoadsOfMatchesPeerLoads checks with random reports, with and without a parent hub, that LoadsOf
// returns the same row for a worker as PeerLoads.
func TestLoadsOfMatchesPeerLoads(t *testing.T) {
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
		peers := map[uint32]wire.WorkerLoad{}
		for _, row := range h.PeerLoads(now, source) {
			peers[row.Worker] = row
		}
		for _, row := range h.LoadsOf(now, source, names) {
			want := peers[row.Worker]
			want.Worker = row.Worker
			if row != want {
				t.Fatalf("step %d: LoadsOf returns %+v, PeerLoads %+v", step, row, want)
			}
		}
	}
}

// TestUpdateFitsDatagram checks which rows an update omits: none while there are few, then rows without
// load, then the least loaded ones, which are counted.
func TestUpdateFitsDatagram(t *testing.T) {
	for _, test := range []struct{ idle, loaded, kept, omitted int }{
		{200, 50, 250, 0}, {2000, 300, 300, 0}, {0, 1400, 1400, 0}, {100, 4000, maxUpdateRows, 4000 - maxUpdateRows},
	} {
		loads := map[uint32]wire.WorkerLoad{}
		for worker := range uint32(test.idle) {
			loads[worker] = wire.WorkerLoad{Worker: worker, Rate: 5, Step: 20_000}
		}
		for worker := range uint32(test.loaded) {
			loads[10_000+worker] = wire.WorkerLoad{Worker: 10_000 + worker, Online: uint16(1 + worker%8)}
		}
		update := newUpdate(loads)
		kept, omitted := update.Rows, update.Omitted
		if len(kept) != test.kept || omitted != test.omitted {
			t.Errorf("%+v: kept %d rows, omitted %d", test, len(kept), omitted)
		}
		if dropped := test.idle + test.loaded - len(kept) - omitted; update.UnlistedRate != 5*dropped {
			t.Errorf("%+v: an unlisted rate of %d answers in ten seconds", test, update.UnlistedRate)
		}
		report := &wire.LoadReport{Workers: kept}
		if encoded, err := report.MarshalMsg(nil); err != nil || len(encoded) > maxDatagram {
			t.Errorf("%+v: a report of %d bytes, %v", test, len(encoded), err)
		}
		if omitted > 0 && !slices.ContainsFunc(kept, func(row wire.WorkerLoad) bool { return row.Online == 8 }) {
			t.Errorf("%+v: the busiest workers are omitted", test)
		}
	}
}

// TestSampledAnswerFitsPacket measures the answer to an edge that is about to choose, with all
// workers loaded, at 10,000 and 20,000 workers. It must fit into a packet and contain the workers
// that were asked for; over many answers every worker of the zone must appear.
func TestSampledAnswerFitsPacket(t *testing.T) {
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
		if !IsLargeZone(&near) {
			t.Fatal("the zone is not large")
		}
		seen, maxBytes := map[uint32]bool{}, 0
		for range 2500 {
			sampled := Sample(random, []uint32{5, 10}, &near, &far)
			if !slices.Contains(sampled, 5) || !slices.Contains(sampled, 10) {
				t.Fatal("a requested worker is missing from the sample")
			}
			answer := &wire.LoadReport{Workers: h.LoadsOf(start, 2, sampled), Drawn: true}
			encoded, err := answer.MarshalMsg(nil)
			if err != nil {
				t.Fatal(err)
			}
			maxBytes = max(maxBytes, len(encoded))
			for _, worker := range sampled {
				seen[worker] = true
			}
		}
		if maxBytes > 1400 {
			t.Errorf("%d workers: an answer of %d bytes", count, maxBytes)
		}
		for worker := uint32(0); worker < uint32(count); worker += 5 {
			if !seen[worker] {
				t.Errorf("%d workers: worker %d of the zone never appears", count, worker)
			}
		}
	}
}

// TestSetRemove checks that a removed worker is not sampled any more, and that one added twice is
// in the set once.
func TestSetRemove(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	var set Set
	set.Remove(1)
	for _, worker := range []uint32{1, 2, 3, 2} {
		set.Add(worker)
	}
	set.Remove(2)
	set.Remove(2)
	if sampled := set.sample(random, 9, nil); set.Len() != 2 || len(sampled) != 2 || slices.Contains(sampled, 2) {
		t.Errorf("sampled %v from a set of %d", sampled, set.Len())
	}
}

// TestHubReportInterval checks that hubs report at the shortest interval except in a mostly idle fleet.
func TestHubReportInterval(t *testing.T) {
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

// BenchmarkAnswer measures a hub's answer to an edge if all workers have load. Without sampling it
// takes 0.06, 9.0 and 17.0 ms at these sizes, and 1.2 MB at 10,000 workers.
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
				if !IsLargeZone(&near) {
					Subset(h.PeerLoads(start, 2), "a", func(worker uint32) string { return zone[worker] }, random)
					continue
				}
				h.LoadsOf(start, 2, Sample(random, nil, &near, &far))
			}
		})
	}
}
