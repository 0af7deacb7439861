package batchplan

import "math"

const (
	// lengthWeight is the part of a new item in what is learnt of lengths, one in so many:
	// expectations are often far off, so it takes some to see what they are worth.
	lengthWeight = 64
	// leastLengths is how many items must be done before callers' expectations count.
	leastLengths = 8
	// shortest is the least part of the mean length that is ever expected.
	shortest = 0.1
)

// Lengths learns how many events items have from what their callers expect: the line
// through what was expected and what came. Where expectations are worth nothing the line is
// flat, and all items are taken to be of the mean length. The zero value is ready for use.
type Lengths struct {
	count        float64
	meanExpected float64
	meanEvents   float64
	// variance is that of what was expected, covariance that with what came.
	variance   float64
	covariance float64
}

// Add takes in an item that is done. Without an expectation it says nothing.
func (l *Lengths) Add(expected, events float64) {
	if expected <= 0 || events <= 0 {
		return
	}
	l.count++
	weight := 1 / min(l.count, lengthWeight)
	offExpected, offEvents := expected-l.meanExpected, events-l.meanEvents
	l.meanExpected += weight * offExpected
	l.meanEvents += weight * offEvents
	l.variance = (1 - weight) * (l.variance + weight*offExpected*offExpected)
	l.covariance = (1 - weight) * (l.covariance + weight*offExpected*offEvents)
}

// Expect returns how many events an item probably has, zero if that is not known.
func (l *Lengths) Expect(expected float64) float64 {
	if l.count < leastLengths || expected <= 0 {
		return 0
	}
	slope := 0.0
	if l.variance > 0 {
		slope = math.Max(l.covariance/l.variance, 0)
	}
	return max(l.meanEvents+slope*(expected-l.meanExpected), shortest*l.meanEvents)
}
