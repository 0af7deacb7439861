package loadshare

import (
	"math"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// speedHalfLife is the time in which the weight of an observation halves.
	speedHalfLife = time.Second
	// minIntervals is the minimum weight of event intervals that a mean rests on.
	minIntervals = 2.0
	// reportedRateSeconds is the time span, in seconds, that reported rates refer to.
	reportedRateSeconds = 10
)

// workerSpeed measures a worker's time between events and its rate of answered online requests,
// over all processes. The zero value is ready for use.
type workerSpeed struct {
	updatedAt time.Time
	answered  float64
	intervals float64
	// intervalMicros is the sum of the intervals between events, in microseconds.
	intervalMicros float64
}

// applyReport adds what a process observed since its last report.
func (w *workerSpeed) applyReport(now time.Time, load *wire.WorkerLoad) {
	w.decay(now)
	w.answered += float64(load.Answered)
	w.intervals += float64(load.Steps)
	w.intervalMicros += float64(load.StepMicros)
}

func (w *workerSpeed) decay(now time.Time) {
	if !w.updatedAt.IsZero() {
		weight := math.Exp2(-float64(now.Sub(w.updatedAt)) / float64(speedHalfLife))
		w.answered *= weight
		w.intervals *= weight
		w.intervalMicros *= weight
	}
	w.updatedAt = now
}

// eventInterval returns the mean time between events in microseconds, zero if unknown.
func (w *workerSpeed) eventInterval(now time.Time) uint32 {
	w.decay(now)
	if w.intervals < minIntervals {
		return 0
	}
	return uint32(min(w.intervalMicros/w.intervals, math.MaxUint32))
}

// rate returns the number of online requests answered in ten seconds. At a constant rate, the
// decaying sum equals the rate times the mean lifetime of an observation, which is the half-life
// divided by ln 2.
func (w *workerSpeed) rate(now time.Time) uint16 {
	w.decay(now)
	perSecond := w.answered * math.Ln2 / speedHalfLife.Seconds()
	return clamp16(int(math.Round(perSecond * reportedRateSeconds)))
}

// stale reports whether all observations have decayed.
func (w *workerSpeed) stale(now time.Time) bool { return w.eventInterval(now) == 0 && w.rate(now) == 0 }
