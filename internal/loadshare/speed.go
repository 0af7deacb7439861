package loadshare

import (
	"math"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// speedHalfLife is the time in which the weight of an observation halves.
	speedHalfLife = time.Second
	// minSteps is the minimum weight of steps that a mean rests on. A step is the time between two
	// events.
	minSteps = 2.0
	// reportedRateSeconds is the time span, in seconds, that reported rates refer to.
	reportedRateSeconds = 10
)

// workerSpeed measures a worker's time between events and its rate of answered online requests,
// over all processes. The zero value is ready for use.
type workerSpeed struct {
	updatedAt time.Time
	answered  float64
	steps     float64
	// stepMicros is the sum of the times between events, in microseconds.
	stepMicros float64
}

// applyReport adds what a process observed since its last report.
func (w *workerSpeed) applyReport(now time.Time, load *wire.WorkerLoad) {
	w.decay(now)
	w.answered += float64(load.Answered)
	w.steps += float64(load.Steps)
	w.stepMicros += float64(load.StepMicros)
}

func (w *workerSpeed) decay(now time.Time) {
	if !w.updatedAt.IsZero() {
		weight := math.Exp2(-float64(now.Sub(w.updatedAt)) / float64(speedHalfLife))
		w.answered *= weight
		w.steps *= weight
		w.stepMicros *= weight
	}
	w.updatedAt = now
}

// step returns the mean time between events in microseconds, zero if unknown.
func (w *workerSpeed) step(now time.Time) uint32 {
	w.decay(now)
	if w.steps < minSteps {
		return 0
	}
	return uint32(min(w.stepMicros/w.steps, math.MaxUint32))
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
func (w *workerSpeed) stale(now time.Time) bool { return w.step(now) == 0 && w.rate(now) == 0 }
