// Package forecast predicts how many slots online requests will need in the next moments from how
// many they needed so far. It does no I/O; times come from the caller.
//
// A Forecast learns recurring waves of demand. It divides time into bins, records the onsets at
// which the demand rises through the middle between its low and its high level, and is confident of
// a pattern once the times between onsets repeat. From then on it predicts the mean demand at the
// same distance from earlier onsets, corrected by how much the current demand differs from it. It
// abandons the pattern after two consecutive waves that did not come in time, and then needs more
// repetitions to be confident again. Without a confident pattern the forecast is the current
// demand, or extrapolates a rise that has just begun; Demand says which (Confident, Rising).
package forecast

import (
	"math"
	"time"
)

// Demand is the number of slots that online requests will need at a time.
type Demand struct {
	Slots float64
	// At is the time of the demand. Until is when the level changes next, zero if unknown.
	At    time.Time
	Until time.Time
	// Confident is set if the level follows from a pattern that has held; otherwise the level is
	// the current one.
	Confident bool
	// Rising is set if there is no confident pattern and the level is extrapolated from a rise that
	// has just begun.
	Rising bool
}

const (
	// binTime is the width of a bin. Reports don't come more often, so narrower bins would hold no
	// more information.
	binTime = 50 * time.Millisecond
	// maxBins is the number of bins that trim keeps, two minutes. Longer waves are not learned: an
	// item that stops for such a wave waits for long afterwards in any case, so a forecast gains
	// little.
	maxBins = 2400
	// maxGap is the longest time without observations before everything is forgotten: after it, too
	// much of the demand in between is unknown.
	maxGap = time.Second
	// warmUpBins is how many bins must pass without a rise by more than chance for the first rise
	// of the demand to count as over. That takes two of the longest times between reports, so that
	// all processes have reported by then as well. maxWarmUpTime limits the wait.
	warmUpBins    = 5
	maxWarmUpTime = time.Second
	// riseBins is the number of bins over which a rise is measured, two reports. minRiseDeviations
	// is how many standard deviations of a count the rise must exceed to count as more than chance.
	riseBins          = 2
	minRiseDeviations = 3
)

// Forecast holds what is known about the online demand of a pool. It is not safe for concurrent
// use.
type Forecast struct {
	// startedAt is the start of bin zero, zero before the first observation; lastObserved is the
	// time of the latest one.
	startedAt    time.Time
	lastObserved time.Time
	// bins holds the closed bins; the first of them has the number dropped.
	bins    []float64
	dropped int
	// sum and count cover the observations in the open bin; current is the demand observed last.
	sum     float64
	count   int
	current float64

	// learnFrom is the first bin that waves are learned from. Until warmedUp is set, learnFrom is
	// the bin of the highest value so far, warmUpPeak. It moves on when a pattern is abandoned.
	learnFrom  int
	warmedUp   bool
	warmUpPeak float64

	levels  levels
	pattern pattern
	score   score
	change  Change
}

// New returns an empty forecast.
func New() *Forecast { return &Forecast{} }

// Observe adds the current demand, in slots. Requests that wait for a slot count as demand.
func (f *Forecast) Observe(now time.Time, demand float64) {
	if f.startedAt.IsZero() || now.Sub(f.lastObserved) > maxGap || now.Before(f.lastObserved) {
		*f = Forecast{startedAt: now}
	}
	f.lastObserved = now
	for open := f.openBin(); open < int(now.Sub(f.startedAt)/binTime); open++ {
		f.closeBin()
	}
	f.current = demand
	f.sum += demand
	f.count++
}

// openBin returns the number of the open bin.
func (f *Forecast) openBin() int { return f.dropped + len(f.bins) }

// closeBin closes the open bin and learns from its value.
func (f *Forecast) closeBin() {
	value := f.current
	if f.count > 0 {
		value = f.sum / float64(f.count)
	}
	f.sum, f.count = 0, 0
	number := f.openBin()
	f.score.compare(f, number, value)
	f.bins = append(f.bins, value)
	f.trim()
	f.updateWarmUp(number, value)
	if f.levels.update(f.learnedBins(), number) {
		f.rebuildOnsets(number)
	}
	f.observeWave(number, value)
	f.score.recordPrediction(f, number)
}

// updateWarmUp waits until the demand has stopped rising: its first rise from zero is not a wave.
func (f *Forecast) updateWarmUp(number int, value float64) {
	if f.warmedUp {
		return
	}
	if value > f.warmUpPeak+math.Sqrt(f.warmUpPeak) {
		f.warmUpPeak, f.learnFrom = value, number
	}
	// Without any demand, the burst of requests after a restart is still to come.
	settled := f.warmUpPeak > 0 && number-f.learnFrom >= warmUpBins
	f.warmedUp = settled || time.Duration(number)*binTime >= maxWarmUpTime
}

// WarmedUp reports whether there are enough observations: all processes had time to report, and
// the burst of requests that follows a restart has arrived.
func (f *Forecast) WarmedUp() bool { return f.warmedUp }

// learnedBins returns the bins that waves are learned from.
func (f *Forecast) learnedBins() []float64 {
	if !f.warmedUp {
		return nil
	}
	return f.bins[max(f.learnFrom-f.dropped, 0):]
}

// trim drops the oldest bins, many at a time to keep the cost per bin low.
func (f *Forecast) trim() {
	if len(f.bins) < 2*maxBins {
		return
	}
	surplus := len(f.bins) - maxBins
	f.bins = append(f.bins[:0], f.bins[surplus:]...)
	f.dropped += surplus
}

// bin returns the value of a closed bin, and false if it is not kept.
func (f *Forecast) bin(number int) (float64, bool) {
	if number < f.dropped || number >= f.openBin() {
		return 0, false
	}
	return f.bins[number-f.dropped], true
}

// Peak returns the highest expected demand from now until ahead has passed.
func (f *Forecast) Peak(now time.Time, ahead time.Duration) Demand {
	demand := Demand{Slots: f.current, At: now}
	if f.startedAt.IsZero() {
		return demand
	}
	if !f.pattern.confident {
		return f.extrapolateRise(demand, ahead)
	}
	demand.Confident, demand.Until = true, f.changeAfter(now)
	open := f.openBin()
	last := int(now.Add(ahead).Sub(f.startedAt) / binTime)
	for number := open + 1; number <= last; number++ {
		level, known := f.predict(number)
		if !known {
			continue
		}
		if level += f.score.margin(level); level > demand.Slots {
			demand.Slots, demand.At = level, f.timeOf(number)
		}
	}
	return demand
}

// extrapolateRise returns the demand with a rise that has just begun extrapolated until ahead has
// passed.
func (f *Forecast) extrapolateRise(demand Demand, ahead time.Duration) Demand {
	before, known := f.bin(f.openBin() - riseBins)
	if !known || !f.warmedUp {
		return demand
	}
	rise := f.current - before
	if rise <= minRiseDeviations*math.Sqrt(max(before, 1)) {
		return demand
	}
	demand.Rising = true
	reached := f.current + rise*float64(ahead)/float64(riseBins*binTime)
	if f.levels.known {
		// Waves have not been higher so far.
		reached = min(reached, max(f.levels.high, f.current))
	}
	demand.Slots = reached
	return demand
}

// predict returns the expected demand in a future bin, and false if it is unknown.
func (f *Forecast) predict(number int) (float64, bool) {
	usual, known := f.profileMean(number)
	if !known {
		return 0, false
	}
	open := f.openBin()
	usualNow, known := f.profileMean(open)
	if !known {
		return usual, true
	}
	// A difference from the usual demand persists for a while because requests hold their slots.
	return max(usual+f.score.persistence(number-open)*(f.current-usualNow), 0), true
}

// timeOf returns the start of a bin.
func (f *Forecast) timeOf(number int) time.Time {
	return f.startedAt.Add(time.Duration(number) * binTime)
}

// changeAfter returns when the level changes next: at the end of the current wave or at the onset
// of the next one.
func (f *Forecast) changeAfter(now time.Time) time.Time {
	if end := f.timeOf(f.pattern.anchor + f.pattern.length); f.pattern.high && end.After(now) {
		return end
	}
	return f.timeOf(f.pattern.next)
}
