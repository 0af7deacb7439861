package balance

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/capacity"
)

const (
	// slownessHalfLife is the age at which a worker's measured slowness counts half. The decay
	// lets a worker that is avoided for its slowness get requests again.
	slownessHalfLife = 5 * time.Second
	// paceTTL is how long a pool counts as reporting its pace after a report with one. It is
	// longer than the time between two answers of a pool in use.
	paceTTL = time.Minute
)

// updateIntervalRatios applies the event intervals of the pool's workers and their median.
func (p *pool) updateIntervalRatios(now time.Time, workers []*worker, median uint32) {
	if median == 0 {
		return
	}
	p.medianInterval = time.Duration(median) * time.Microsecond
	for _, candidate := range workers {
		if step := candidate.peerLoad.Step; step > 0 {
			candidate.intervalRatio, candidate.intervalRatioAt = float64(step)/float64(median), now
		}
	}
}

// decayedSlowness returns the worker's event interval relative to the median of its pool, decayed
// by its age. It doesn't use the pace that workers report: a reported pace is so old on arrival
// that it says less about a request than these measurements (docs/design/0020).
func (w *worker) decayedSlowness(now time.Time) float64 {
	if w.intervalRatio == 0 {
		return 1
	}
	return capacity.DecaySlowness(w.intervalRatio, now.Sub(w.intervalRatioAt), slownessHalfLife)
}

// comparesByTime reports whether workers of the pool are compared by predicted times, which they
// are if they report their pace.
func (t *Table) comparesByTime(pool string) bool {
	switch {
	case t.scoring == scoringCost || t.pools[pool] == nil:
		return false
	case t.scoring == scoringAuto:
		return t.poolReportsPace(pool)
	}
	return true
}

// poolReportsPace is ReportsPace with the table's lock held.
func (t *Table) poolReportsPace(pool string) bool {
	reportedAt, found := t.paceReportedAt[pool]
	return found && t.latestTime.Sub(reportedAt) < paceTTL
}

// advanceClock records the time of a call. Reports of workers come without one.
func (t *Table) advanceClock(now time.Time) {
	if now.After(t.latestTime) {
		t.latestTime = now
	}
}
