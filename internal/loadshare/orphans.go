package loadshare

import "time"

const (
	// orphanSamples is the number of a worker's answers that an estimate rests on, and
	// orphanSampleTTL how old they may be.
	orphanSamples   = 4
	orphanSampleTTL = time.Second
)

// orphans estimates how many requests a worker runs that belong to no living process. A process
// that lost power, froze or was cut off leaves its requests behind, and the worker continues them
// until it notices. The count that a worker reports about itself is slightly old and lags in
// bursts, so the estimate is the minimum excess of several answers: noise comes and goes, orphans
// stay. The zero value is ready for use.
type orphans struct {
	samples [orphanSamples]orphanSample
	next    int
}

// orphanSample is the excess of a worker's own request count over the number of known requests.
type orphanSample struct {
	at     time.Time
	excess int
}

// addSample adds the excess of one answer, replacing the oldest sample.
func (o *orphans) addSample(now time.Time, excess int) {
	o.samples[o.next] = orphanSample{at: now, excess: excess}
	o.next = (o.next + 1) % orphanSamples
}

// count returns the estimated number of orphans, zero until all samples are recent.
func (o *orphans) count(now time.Time) int {
	minimum := o.samples[0].excess
	for _, sample := range o.samples {
		if sample.at.IsZero() || now.Sub(sample.at) > orphanSampleTTL {
			return 0
		}
		minimum = min(minimum, sample.excess)
	}
	return max(minimum, 0)
}

// stale reports whether all samples have expired.
func (o *orphans) stale(now time.Time) bool {
	last := o.samples[(o.next+orphanSamples-1)%orphanSamples]
	return now.Sub(last.at) > orphanSampleTTL
}
