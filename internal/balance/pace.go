package balance

import (
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

// Paced takes in that the worker took so long for so many events.
func (l *Lease) Paced(events int, took time.Duration) {
	l.table.mutex.Lock()
	defer l.table.mutex.Unlock()
	l.worker.steps += events
	l.worker.stepTime += took
}

// learn finds the slow workers and the hold of each pool from what was told.
func (t *Table) learn(now time.Time) {
	t.holds = make(map[string]time.Duration, len(t.pools))
	for pool, workers := range t.pools {
		t.holds[pool] = holdOf(workers)
		learnSlow(now, workers)
	}
}

// learnSlow compares each worker's time between events with the middle of all.
func learnSlow(now time.Time, workers []*worker) {
	var steps []uint32
	for _, candidate := range workers {
		if candidate.others.Step > 0 {
			steps = append(steps, candidate.others.Step)
		}
	}
	if len(steps) == 0 {
		return
	}
	slices.Sort(steps)
	middle := float64(steps[(len(steps)-1)/2])
	for _, candidate := range workers {
		switch ratio := float64(candidate.others.Step) / middle; {
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

// holdOf returns how long an online request holds a slot, zero if unknown: by
// Little's law, what is in flight over what is answered in a time.
func holdOf(workers []*worker) time.Duration {
	online, rate := 0, rateOf(workers)
	for _, candidate := range workers {
		here := candidate.inFlight - candidate.batch + int(candidate.others.Online)
		// Those that wait for a slot hold none.
		online += min(here, max(candidate.listed.Slots, 1))
	}
	if rate < leastRate {
		return 0
	}
	return min(time.Duration(float64(online)/float64(rate)*float64(rateSeconds*time.Second)), maxHold)
}

// rateOf returns how many online requests the workers answer in ten seconds.
func rateOf(workers []*worker) int {
	rate := 0
	for _, candidate := range workers {
		rate += int(candidate.others.Rate)
	}
	return rate
}

// waitAt predicts how long one more online request would wait for a slot at the
// worker. Items of jobs don't count: they give way.
func (t *Table) waitAt(now time.Time, candidate *worker) time.Duration {
	others, known := candidate.toldByOthers(now)
	slots := max(candidate.listed.Slots, 1)
	online := candidate.inFlight - candidate.batch + candidate.orphaned(now)
	if known {
		online += int(others.Online)
	}
	over := online + 1 - slots
	if over <= 0 {
		return 0
	}
	// Slots are given back evenly over the time that one is held: the k-th of n after k
	// of n + 1 parts of it.
	wait := float64(t.holds[candidate.listed.Pool]) * float64(over) / float64(slots+1)
	return time.Duration(wait * candidate.slowness(now))
}
