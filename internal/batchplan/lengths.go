package batchplan

import "math"

const (
	// maxLengthSamples limits the number of items over which Lengths averages. Callers'
	// expectations are often far off, so it takes many items to see how far they predict the
	// length.
	maxLengthSamples = 64
	// minLengthSamples is how many items must have completed before callers' expectations count.
	minLengthSamples = 8
	// minLengthFraction is the shortest length that Expect returns, as a fraction of the mean
	// length.
	minLengthFraction = 0.1
)

// Lengths predicts the number of events of an item from the number that its caller expects, by
// linear regression over completed items. If expectations say nothing about the results, the
// slope is zero and every item is predicted to have the mean length. The zero value is ready for
// use.
type Lengths struct {
	count        float64
	meanExpected float64
	meanEvents   float64
	// variance is the variance of the expected numbers, covariance their covariance with the
	// numbers of events.
	variance   float64
	covariance float64
}

// Add records a completed item. An item without an expectation is ignored.
func (l *Lengths) Add(expected, events float64) {
	if expected <= 0 || events <= 0 {
		return
	}
	l.count++
	weight := 1 / min(l.count, maxLengthSamples)
	expectedDeviation, eventsDeviation := expected-l.meanExpected, events-l.meanEvents
	l.meanExpected += weight * expectedDeviation
	l.meanEvents += weight * eventsDeviation
	l.variance = (1 - weight) * (l.variance + weight*expectedDeviation*expectedDeviation)
	l.covariance = (1 - weight) * (l.covariance + weight*expectedDeviation*eventsDeviation)
}

// Expect returns the predicted number of events of an item, or zero if it can't be predicted.
func (l *Lengths) Expect(expected float64) float64 {
	if l.count < minLengthSamples || expected <= 0 {
		return 0
	}
	slope := 0.0
	if l.variance > 0 {
		slope = math.Max(l.covariance/l.variance, 0)
	}
	return max(l.meanEvents+slope*(expected-l.meanExpected), minLengthFraction*l.meanEvents)
}
