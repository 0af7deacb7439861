package forecast

import (
	"math"
	"slices"
)

const (
	// levelBins is after how many bins levels are learnt anew, a second: sorting what is
	// kept is the dearest step here.
	levelBins = 20
	// lowPart and highPart are the parts of the time in which the need is below the low and
	// the high level: a wave or a valley that takes less than a twentieth of the time is
	// not seen as one.
	lowPart  = 0.05
	highPart = 0.95
	// levelCycles is over how many cycles of a known pattern levels are learnt.
	levelCycles = 4
	// leastLift is how far apart the levels must be, in standard deviations of a count as
	// large as the high one, to be a wave rather than chance: of counts that vary by chance
	// alone nine tenths lie within three and a third.
	leastLift = 5
	// bandParts is the part of the lift, one in so many, that the need must go beyond the
	// middle between the levels to have crossed it.
	bandParts = 10
	// bandDeviations is how many standard deviations of a count there it must be at least.
	bandDeviations = 2
	// widestBandParts bounds it, so that a small lift can be crossed at all.
	widestBandParts = 3
)

// levels are the need in valleys and in waves. The zero value knows none.
type levels struct {
	low  float64
	high float64
	// known is set where they are apart enough.
	known  bool
	cycle  int
	sorted []float64
}

// learn takes in the bins that count, the last of which has the number. It reports whether
// the levels were learnt anew.
func (l *levels) learn(bins []float64, number int) bool {
	if number%levelBins != 0 || len(bins) < levelBins {
		return false
	}
	span := keptBins
	if l.cycle > 0 {
		span = max(levelCycles*l.cycle, levelBins)
	}
	l.sorted = append(l.sorted[:0], bins[max(len(bins)-span, 0):]...)
	slices.Sort(l.sorted)
	l.low = l.quantile(lowPart)
	l.high = l.quantile(highPart)
	l.known = l.high-l.low > leastLift*math.Sqrt(max(l.high, 1))
	return true
}

func (l *levels) quantile(part float64) float64 {
	return l.sorted[int(part*float64(len(l.sorted)-1))]
}

// crossed returns whether the need is high now, which stays as it was between the levels.
func (l *levels) crossed(high bool, value float64) bool {
	middle := (l.low + l.high) / 2
	lift := l.high - l.low
	// Counts vary by their root, and that must not look like a crossing.
	band := min(max(lift/bandParts, bandDeviations*math.Sqrt(middle)), lift/widestBandParts)
	if high {
		return value >= middle-band
	}
	return value > middle+band
}
