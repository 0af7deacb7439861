package balance

import (
	"math"
	"slices"
	"time"
)

const (
	// slowFrom is how many times as long as in the middle of its pool a worker's
	// events take before that counts: a full worker is somewhat slower than an
	// idle one, and so is one that reads a long prompt.
	slowFrom = 1.6
	// slowMemory is how long a slow worker is remembered as one when nothing is
	// heard of it: one that is avoided makes no events.
	slowMemory = 3 * time.Second
	// rateSeconds is the span of time that rates are told for.
	rateSeconds = 10
	// leastRate is how many online requests a pool must answer in ten seconds for
	// its hold to be known.
	leastRate = 10
	// maxHold bounds what is taken for the time that a request holds a slot.
	maxHold = 10 * time.Second
)

// RecordPace takes in that the worker took so long for so many events.
func (l *Lease) RecordPace(events int, took time.Duration) {
	l.table.mutex.Lock()
	defer l.table.mutex.Unlock()
	l.table.occupy(l.worker)
	l.worker.steps += events
	l.worker.stepTime += took
}

// learn finds the slow workers and the hold of each pool from what was told.
func (t *Table) learn(now time.Time) {
	all := 0
	for _, known := range t.pools {
		all += known.usable()
	}
	for name, known := range t.pools {
		active := t.active(name)
		// What workers answer that nothing was told of counts to the pools by their sizes.
		rest := 0
		if all > 0 {
			rest = t.rest * known.usable() / all
		}
		known.hold = holdOf(active, rest)
		known.nearRate, known.farRate = 0, rest
		for _, candidate := range active {
			if t.away(candidate) == 0 {
				known.nearRate += int(candidate.others.Rate)
			} else {
				known.farRate += int(candidate.others.Rate)
			}
		}
		middle := t.middleStep(active)
		learnSlow(now, active, middle)
		known.takeSteps(now, active, middle)
		t.sumUp(now, known, active)
	}
}

// RequestRate returns how many online requests the workers answer, as far as others told.
func (t *Table) RequestRate() float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	rate := 0
	for _, known := range t.pools {
		rate += known.nearRate + known.farRate
	}
	return float64(rate) / rateSeconds
}

// active returns the pool's workers at which this process or others have anything.
func (t *Table) active(pool string) []*worker {
	active := make([]*worker, 0, len(t.told)+len(t.busy))
	for _, candidate := range t.told {
		if candidate.listed.Pool == pool {
			active = append(active, candidate)
		}
	}
	for _, candidate := range t.busy {
		if !candidate.told && candidate.listed.Pool == pool {
			active = append(active, candidate)
		}
	}
	return active
}

// middleStep returns the workers' time between events in the middle, zero where none is known.
func (t *Table) middleStep(workers []*worker) uint32 {
	t.steps = t.steps[:0]
	for _, candidate := range workers {
		if candidate.others.Step > 0 {
			t.steps = append(t.steps, candidate.others.Step)
		}
	}
	if len(t.steps) == 0 {
		return 0
	}
	slices.Sort(t.steps)
	return t.steps[(len(t.steps)-1)/2]
}

// learnSlow compares each worker's time between events with the middle of all.
func learnSlow(now time.Time, workers []*worker, middle uint32) {
	if middle == 0 {
		return
	}
	for _, candidate := range workers {
		switch ratio := float64(candidate.others.Step) / float64(middle); {
		case candidate.others.Step == 0:
		case ratio >= slowFrom:
			candidate.slow, candidate.slowAt = ratio, now
		default:
			candidate.slow = 1
		}
	}
}

// slowness returns how many times as long as elsewhere an event takes here.
func (w *worker) slowness(now time.Time) float64 {
	if w.slow <= 1 || now.Sub(w.slowAt) > slowMemory {
		return 1
	}
	return w.slow
}

// holdOf returns how long an online request holds a slot in the worker's pool.
func (t *Table) holdOf(w *worker) time.Duration {
	if known := t.pools[w.listed.Pool]; known != nil {
		return known.hold
	}
	return 0
}

// holdOf returns how long an online request holds a slot, zero if unknown: by
// Little's law, what is in flight over what is answered in a time.
// rest is what else is answered in ten seconds.
func holdOf(workers []*worker, rest int) time.Duration {
	online, rate := 0, rest
	for _, candidate := range workers {
		rate += int(candidate.others.Rate)
		here := candidate.inFlight - candidate.batch + int(candidate.others.Online)
		// Those that wait for a slot hold none.
		online += min(here, max(candidate.listed.Slots, 1))
	}
	if rate < leastRate {
		return 0
	}
	return min(time.Duration(float64(online)/float64(rate)*float64(rateSeconds*time.Second)), maxHold)
}

// waitAt predicts how long one more online request would wait for a slot at the
// worker. Items of jobs don't count: they give way.
func (t *Table) waitAt(now time.Time, candidate *worker) time.Duration {
	slots, over := t.overAt(now, candidate)
	if over <= 0 {
		return 0
	}
	// Slots are given back evenly over the time that one is held: the k-th of n after k
	// of n + 1 parts of it.
	return time.Duration(float64(t.holdAt(now, candidate)) * float64(over) / float64(slots+1))
}

// mostDeviations is by how many standard deviations waitMostAt lies above the mean: 19 of 20 waits end
// below it (TestWaitsAtMost).
const mostDeviations = 2.05

// waitMostAt predicts how long one more online request would wait for a slot at the worker
// in nearly all cases: when the k-th of n evenly spread ends comes spreads by itself.
func (t *Table) waitMostAt(now time.Time, candidate *worker) time.Duration {
	slots, over := t.overAt(now, candidate)
	if over <= 0 {
		return 0
	}
	k, n := float64(over), float64(slots)
	variance := max(k*(n+1-k), n) / ((n + 1) * (n + 1) * (n + 2))
	return time.Duration(float64(t.holdAt(now, candidate)) * (k/(n+1) + mostDeviations*math.Sqrt(variance)))
}

// overAt returns the worker's slots, and how many must be given back before one more online
// request begins.
func (t *Table) overAt(now time.Time, candidate *worker) (slots, over int) {
	slots = max(t.slotsOf(candidate), 1)
	return slots, t.onlineAt(now, candidate) + 1 - slots
}

// onlineAt returns how many online requests are at the worker, as far as is known.
func (t *Table) onlineAt(now time.Time, candidate *worker) int {
	online := candidate.inFlight - candidate.batch + t.orphaned(now, candidate)
	if others, known := t.toldByOthers(now, candidate); known {
		online += int(others.Online)
	}
	return online
}
