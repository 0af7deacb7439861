package balance

import (
	"math"
	"slices"
	"time"

	"github.com/sedgemast/sedgemast/internal/loadshare"
)

const (
	// unseenParts is how many unseen requests halve the workers that are compared,
	// leastCompared how many are compared at least.
	unseenParts   = 4.0
	leastCompared = 2
	// leastLag is how old news are at least when they come: a choice is told at once,
	// and the answer that another one rests on takes as long.
	leastLag = 5 * time.Millisecond
)

// drawn returns the workers to compare: some of the zone's and some of the others,
// drawn by lot. Where many requests of other processes have come since these told
// their loads, the worker that looks best looks so to all of them: if each took the
// best of all, they would crowd it. The more may have come, the fewer are compared.
// The zone's workers are drawn apart, because those who see them as this process does
// are those of the zone, and they are enough to choose among in a large fleet.
func (t *Table) drawn(now time.Time, demand *Demand, fit []*worker) []*worker {
	if demand.Batch {
		return fit
	}
	slices.SortStableFunc(fit, func(a, b *worker) int { return t.away(a) - t.away(b) })
	near := 0
	for near < len(fit) && t.away(fit[near]) == 0 {
		near++
	}
	t.compared = append(t.compared[:0], t.sample(now, fit[:near], 0)...)
	// The sums of other zones come by a report more.
	t.compared = append(t.compared, t.sample(now, comparable(now, fit[:near], fit[near:]), loadshare.Interval)...)
	for _, home := range t.homes {
		if !slices.Contains(t.compared, home) {
			t.compared = append(t.compared, home)
		}
	}
	return t.compared
}

// comparable returns the workers of other zones of which something is known, if that is
// so of any worker: one of which nothing is known would look idle beside them. It
// changes the order of those given.
func comparable(now time.Time, near, far []*worker) []*worker {
	known := 0
	for i, candidate := range far {
		if candidate.fresh(now) {
			far[known], far[i] = far[i], far[known]
			known++
		}
	}
	if known == 0 && (len(near) == 0 || !near[0].fresh(now)) {
		return far
	}
	return far[:known]
}

// away is 1 for a worker of another zone.
func (t *Table) away(candidate *worker) int {
	if candidate.listed.Zone == t.zone {
		return 0
	}
	return 1
}

// sample brings so many workers, drawn by lot, to the front as are to be compared, and
// returns them. more is what the news of them took longer than those of the zone.
func (t *Table) sample(now time.Time, workers []*worker, more time.Duration) []*worker {
	count := int(math.Ceil(float64(len(workers)) / (1 + unseen(now, workers, more)/unseenParts)))
	if count >= len(workers) {
		return workers
	}
	count = min(max(count, leastCompared), len(workers))
	for i := range count {
		other := i + t.random.IntN(len(workers)-i)
		workers[i], workers[other] = workers[other], workers[i]
	}
	return workers[:count]
}

// unseen estimates how many requests have come to the workers that others have not
// told of yet: those since the last news, which were of some age by then. Where news are
// asked for before each choice they are fresh, and so is what others told the hub; where
// they are old, the hub did not answer, or not to others either.
func unseen(now time.Time, workers []*worker, more time.Duration) float64 {
	if len(workers) == 0 {
		return 0
	}
	var age time.Duration
	for _, candidate := range workers {
		if !candidate.fresh(now) {
			return 0
		}
		age = max(age, now.Sub(candidate.othersAt))
	}
	lag := min(max(age, leastLag), loadshare.Interval)
	return float64(rateOf(workers)) / rateSeconds * (age + lag + more).Seconds()
}
