package loadshare

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// pendingStats is what processes observed at a worker since a zone's hub last reported to the
// parent hub. The zero value is ready for use.
type pendingStats struct {
	// minSelfCount is one more than the smallest request count that the worker reported about
	// itself, zero if it reported none.
	minSelfCount    uint16
	answered        int
	failed          int
	intervals       int
	intervalMicros  int
	probesSucceeded int
}

// add adds a row of a report.
func (p *pendingStats) add(load *wire.WorkerLoad) {
	if load.Told > 0 && (p.minSelfCount == 0 || load.Told < p.minSelfCount) {
		p.minSelfCount = load.Told
	}
	p.answered += int(load.Answered)
	p.failed += int(load.Failed)
	p.intervals += int(load.Steps)
	p.intervalMicros += int(load.StepMicros)
}

// Sums returns one report, sent under the given short name, with the sums over all processes that
// report here and what they observed at the workers since the last call. Once no process reports
// any more it returns a last report, which withdraws the earlier sums, and after that nil.
func (h *Hub) Sums(now time.Time, name uint32) *wire.LoadReport {
	h.expire(now)
	loads := make(map[uint32]wire.WorkerLoad, len(h.totals))
	for worker, sum := range h.totals {
		loads[worker] = sum.load(worker)
	}
	var probes []wire.WorkerProof
	for worker, stats := range h.stats {
		if stats.pending == (pendingStats{}) {
			continue
		}
		if stats.pending.probesSucceeded > 0 {
			probes = append(probes, wire.WorkerProof{Worker: worker, Well: clamp16(stats.pending.probesSucceeded)})
		}
		load := loads[worker]
		load.Worker = worker
		load.Told = stats.pending.minSelfCount
		load.Answered = clamp16(stats.pending.answered)
		load.Failed = clamp16(stats.pending.failed)
		load.Steps = clamp16(stats.pending.intervals)
		load.StepMicros = clamp32(stats.pending.intervalMicros)
		loads[worker] = load
		stats.pending = pendingStats{}
	}
	if len(h.sources) == 0 && len(loads) == 0 {
		return h.leaveReport(name)
	}
	h.reportedToParent = true
	update := newUpdate(loads)
	h.omitted = update.Omitted
	return &wire.LoadReport{Source: name, Workers: update.Rows, Sources: clamp16(h.SourceCount(now)), Sums: true, Proofs: probes}
}

// leaveReport returns the report that withdraws the sums sent to the parent hub, or nil if none
// were sent.
func (h *Hub) leaveReport(name uint32) *wire.LoadReport {
	if !h.reportedToParent {
		return nil
	}
	h.reportedToParent = false
	return &wire.LoadReport{Source: name, Sums: true, Left: true}
}
