package balance

import (
	"math"
	"slices"
	"time"
)

const (
	// slownessThreshold is the factor over the pool's median event interval from which a worker
	// counts as slow. It is well above 1 because a full worker, or one that processes a long
	// prompt, is somewhat slower than an idle one without being faulty.
	slownessThreshold = 1.6
	// slownessTTL is how long a slow worker stays marked as slow without new measurements. The mark
	// must expire because a worker that is avoided produces no events to measure.
	slownessTTL = 3 * time.Second
	// rateSeconds is the period, in seconds, that reported request rates refer to.
	rateSeconds = 10
	// minRate is the number of online requests that a pool must answer per rateSeconds before its
	// hold time is estimated.
	minRate = 10
	// maxHoldTime bounds the estimate of how long a request holds a slot.
	maxHoldTime = 10 * time.Second
)

// RecordPace records that the worker took the given time for the given number of events.
func (l *Lease) RecordPace(events int, took time.Duration) {
	l.table.mutex.Lock()
	defer l.table.mutex.Unlock()
	l.table.markBusy(l.worker)
	l.worker.intervals += events
	l.worker.intervalSum += took
}

// updatePools updates slow workers, rates, hold time and capacity of each pool from the peer
// loads.
func (t *Table) updatePools(now time.Time) {
	total := 0
	for _, p := range t.pools {
		total += p.usableCount()
	}
	for name, p := range t.pools {
		active := t.activeWorkers(name)
		// The rate of workers without a listed load is split among the pools by their sizes.
		unlisted := 0
		if total > 0 {
			unlisted = t.unlistedRate * p.usableCount() / total
		}
		p.holdTime = estimateHoldTime(active, unlisted)
		p.nearRate, p.farRate = 0, unlisted
		for _, candidate := range active {
			if t.zoneDistance(candidate) == 0 {
				p.nearRate += int(candidate.peerLoad.Rate)
			} else {
				p.farRate += int(candidate.peerLoad.Rate)
			}
		}
		median := t.medianInterval(active)
		updateSlowFactors(now, active, median)
		p.updateIntervalRatios(now, active, median)
		t.updateCapacity(now, p, active)
	}
}

// RequestRate returns the rate of online requests that all workers answer, per second, from peer
// loads.
func (t *Table) RequestRate() float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	rate := 0
	for _, p := range t.pools {
		rate += p.nearRate + p.farRate
	}
	return float64(rate) / rateSeconds
}

// activeWorkers returns the pool's workers at which this process or a peer has requests or
// something to report.
func (t *Table) activeWorkers(pool string) []*worker {
	active := make([]*worker, 0, len(t.peerLoaded)+len(t.busy))
	for _, candidate := range t.peerLoaded {
		if candidate.listed.Pool == pool {
			active = append(active, candidate)
		}
	}
	for _, candidate := range t.busy {
		if !candidate.hasPeerLoad && candidate.listed.Pool == pool {
			active = append(active, candidate)
		}
	}
	return active
}

// medianInterval returns the median event interval of the workers in microseconds, zero if none
// is known.
func (t *Table) medianInterval(workers []*worker) uint32 {
	t.intervalScratch = t.intervalScratch[:0]
	for _, candidate := range workers {
		if candidate.peerLoad.Step > 0 {
			t.intervalScratch = append(t.intervalScratch, candidate.peerLoad.Step)
		}
	}
	if len(t.intervalScratch) == 0 {
		return 0
	}
	slices.Sort(t.intervalScratch)
	return t.intervalScratch[(len(t.intervalScratch)-1)/2]
}

// updateSlowFactors compares the event interval of each worker with the median.
func updateSlowFactors(now time.Time, workers []*worker, median uint32) {
	if median == 0 {
		return
	}
	for _, candidate := range workers {
		switch ratio := float64(candidate.peerLoad.Step) / float64(median); {
		case candidate.peerLoad.Step == 0:
		case ratio >= slownessThreshold:
			candidate.slowFactor, candidate.slowFactorAt = ratio, now
		default:
			candidate.slowFactor = 1
		}
	}
}

// thresholdedSlowness returns the worker's event interval relative to the median of its pool. It
// returns 1 if the worker is below slownessThreshold or the measurement has expired.
func (w *worker) thresholdedSlowness(now time.Time) float64 {
	if w.slowFactor <= 1 || now.Sub(w.slowFactorAt) > slownessTTL {
		return 1
	}
	return w.slowFactor
}

// holdTimeOf returns how long an online request holds a slot in the worker's pool.
func (t *Table) holdTimeOf(w *worker) time.Duration {
	if p := t.pools[w.listed.Pool]; p != nil {
		return p.holdTime
	}
	return 0
}

// estimateHoldTime returns how long an online request holds a slot, zero if unknown. By Little's
// law it is the number of requests that hold a slot divided by the request rate. unlistedRate is
// the rate of workers without a listed load, per rateSeconds.
func estimateHoldTime(workers []*worker, unlistedRate int) time.Duration {
	online, rate := 0, unlistedRate
	for _, candidate := range workers {
		rate += int(candidate.peerLoad.Rate)
		load := candidate.inFlight - candidate.batch + int(candidate.peerLoad.Online)
		// Requests that wait for a slot hold none.
		online += min(load, max(candidate.listed.Slots, 1))
	}
	if rate < minRate {
		return 0
	}
	return min(time.Duration(float64(online)/float64(rate)*float64(rateSeconds*time.Second)), maxHoldTime)
}

// predictWait predicts the mean time until one more online request gets a slot at the worker.
// Batch items don't count, because they are preempted.
func (t *Table) predictWait(now time.Time, candidate *worker) time.Duration {
	slots, deficit := t.slotDeficit(now, candidate)
	if deficit <= 0 {
		return 0
	}
	// Releases are assumed to be spread evenly over the hold time: the k-th of n slots is
	// released after k/(n+1) of it.
	return time.Duration(float64(t.holdTimeAt(now, candidate)) * float64(deficit) / float64(slots+1))
}

// maxWaitDeviations is the number of standard deviations from the mean to the predicted maximum:
// 19 of 20 waits stay below it (TestMaxWaitIsRarelyExceeded).
const maxWaitDeviations = 2.05

// predictMaxWait predicts a bound that nearly all waits for a slot at the worker stay below. The
// releases of n slots are taken as independent and uniform over the hold time, so the k-th one
// follows a beta distribution.
func (t *Table) predictMaxWait(now time.Time, candidate *worker) time.Duration {
	slots, deficit := t.slotDeficit(now, candidate)
	if deficit <= 0 {
		return 0
	}
	k, n := float64(deficit), float64(slots)
	variance := max(k*(n+1-k), n) / ((n + 1) * (n + 1) * (n + 2))
	return time.Duration(float64(t.holdTimeAt(now, candidate)) * (k/(n+1) + maxWaitDeviations*math.Sqrt(variance)))
}

// slotDeficit returns the worker's slots, and how many must be released before one more online
// request can start.
func (t *Table) slotDeficit(now time.Time, candidate *worker) (slots, deficit int) {
	slots = max(t.effectiveSlots(candidate), 1)
	return slots, t.onlineAt(now, candidate) + 1 - slots
}

// onlineAt returns the number of online requests at the worker, as far as is known.
func (t *Table) onlineAt(now time.Time, candidate *worker) int {
	online := candidate.inFlight - candidate.batch + t.orphansAt(now, candidate)
	if load, ok := t.peerLoadOf(now, candidate); ok {
		online += int(load.Online)
	}
	return online
}
