package loadshare

import "time"

const (
	// toldSamples is how many of a worker's answers an estimate rests on, and
	// toldFresh how old they may be.
	toldSamples = 4
	toldFresh   = time.Second
)

// orphans estimates how many requests a worker has that no living process answers
// for. A process that lost power, froze or was cut off leaves its requests behind,
// and the worker goes on with them until it notices. What a worker tells of itself
// is a moment old and lags in bursts, so the estimate is the least difference of
// several answers: noise comes and goes, orphans stay. The zero value is ready for
// use.
type orphans struct {
	samples [toldSamples]toldSample
	next    int
}

// toldSample is by how much a worker's own count exceeded what was known.
type toldSample struct {
	at     time.Time
	excess int
}

// take takes in an answer.
func (o *orphans) take(now time.Time, excess int) {
	o.samples[o.next] = toldSample{at: now, excess: excess}
	o.next = (o.next + 1) % toldSamples
}

// count returns the estimate.
func (o *orphans) count(now time.Time) int {
	least := o.samples[0].excess
	for _, sample := range o.samples {
		if sample.at.IsZero() || now.Sub(sample.at) > toldFresh {
			return 0
		}
		least = min(least, sample.excess)
	}
	return max(least, 0)
}

// stale reports whether no sample counts any more.
func (o *orphans) stale(now time.Time) bool {
	last := o.samples[(o.next+toldSamples-1)%toldSamples]
	return now.Sub(last.at) > toldFresh
}
