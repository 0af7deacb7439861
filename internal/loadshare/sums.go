package loadshare

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// gathered is what processes saw of a worker since a zone's hub last told the hub
// above. The zero value is ready for use.
type gathered struct {
	// told is one more than the least count that the worker told of itself; zero
	// means that it told none.
	told     uint16
	answered int
	failed   int
	steps    int
	micros   int
	proofs   int
}

// take takes in a row of a report.
func (g *gathered) take(load *wire.WorkerLoad) {
	if load.Told > 0 && (g.told == 0 || load.Told < g.told) {
		g.told = load.Told
	}
	g.answered += int(load.Answered)
	g.failed += int(load.Failed)
	g.steps += int(load.Steps)
	g.micros += int(load.StepMicros)
}

// Sums returns the sums over all who report here, and what they saw of the workers
// since the last call, as one report under the name. Once nobody reports any more it
// returns a last report, which takes back the sums told before, and then nil.
func (h *Hub) Sums(now time.Time, name uint32) *wire.LoadReport {
	h.expire(now)
	loads := make(map[uint32]wire.WorkerLoad, len(h.totals))
	for worker, sum := range h.totals {
		loads[worker] = sum.load(worker)
	}
	var proofs []wire.WorkerProof
	for worker, known := range h.watched {
		if known.gathered == (gathered{}) {
			continue
		}
		if known.gathered.proofs > 0 {
			proofs = append(proofs, wire.WorkerProof{Worker: worker, Well: clamp16(known.gathered.proofs)})
		}
		load := loads[worker]
		load.Worker = worker
		load.Told = known.gathered.told
		load.Answered = clamp16(known.gathered.answered)
		load.Failed = clamp16(known.gathered.failed)
		load.Steps = clamp16(known.gathered.steps)
		load.StepMicros = clamp32(known.gathered.micros)
		loads[worker] = load
		known.gathered = gathered{}
	}
	if len(h.sources) == 0 && len(loads) == 0 {
		return h.leave(name)
	}
	h.toldAbove = true
	told := loadedOf(loads)
	h.left = told.Omitted
	return &wire.LoadReport{Source: name, Workers: told.Rows, Sources: clamp16(h.SourceCount(now)), Sums: true, Proofs: proofs}
}

// leave returns the report that takes back what was told above, or nil if nothing was.
func (h *Hub) leave(name uint32) *wire.LoadReport {
	if !h.toldAbove {
		return nil
	}
	h.toldAbove = false
	return &wire.LoadReport{Source: name, Sums: true, Left: true}
}
