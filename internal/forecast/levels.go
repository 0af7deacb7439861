package forecast

import (
	"math"
	"slices"
)

const (
	// levelInterval is the number of bins, one second, after which the levels are recomputed:
	// sorting the kept bins is the most expensive step of the forecast.
	levelInterval = 20
	// lowQuantile and highQuantile are the fractions of the time in which the demand is below the
	// low and the high level: a wave or a valley that takes less than a twentieth of the time is
	// not detected.
	lowQuantile  = 0.05
	highQuantile = 0.95
	// levelCycles is the number of cycles of a known pattern that the levels are computed over.
	levelCycles = 4
	// minLiftDeviations is the minimum distance between the levels, in standard deviations of a
	// count as large as the high level, at which the difference counts as waves rather than chance:
	// the two quantiles of a count that varies by chance alone are 3.3 standard deviations apart.
	minLiftDeviations = 5
	// bandDivisor sets how far the demand must go beyond the middle between the levels to have
	// crossed it: a tenth of the distance between them.
	bandDivisor = 10
	// minBandDeviations is the minimum of how far beyond the middle the demand must go, in standard
	// deviations of a count as large as the middle.
	minBandDeviations = 2
	// maxBandDivisor limits the band to a third of the distance between the levels, so that a small
	// lift can be crossed at all.
	maxBandDivisor = 3
)

// levels are the demand in valleys and in waves. The zero value knows none.
type levels struct {
	low  float64
	high float64
	// known is set if the levels are far enough apart for waves.
	known  bool
	cycle  int
	sorted []float64
}

// update recomputes the levels on every levelInterval-th bin if there are enough bins, and reports
// whether it did. number is that of the last bin.
func (l *levels) update(bins []float64, number int) bool {
	if number%levelInterval != 0 || len(bins) < levelInterval {
		return false
	}
	span := maxBins
	if l.cycle > 0 {
		span = max(levelCycles*l.cycle, levelInterval)
	}
	l.sorted = append(l.sorted[:0], bins[max(len(bins)-span, 0):]...)
	slices.Sort(l.sorted)
	l.low = l.quantile(lowQuantile)
	l.high = l.quantile(highQuantile)
	l.known = l.high-l.low > minLiftDeviations*math.Sqrt(max(l.high, 1))
	return true
}

func (l *levels) quantile(fraction float64) float64 {
	return l.sorted[int(fraction*float64(len(l.sorted)-1))]
}

// isHigh returns whether the demand is high now, given whether it was before. Near the middle
// between the levels it stays as it was.
func (l *levels) isHigh(high bool, value float64) bool {
	middle := (l.low + l.high) / 2
	lift := l.high - l.low
	// A count varies by its square root, which must not count as a crossing.
	band := min(max(lift/bandDivisor, minBandDeviations*math.Sqrt(middle)), lift/maxBandDivisor)
	if high {
		return value >= middle-band
	}
	return value > middle+band
}
