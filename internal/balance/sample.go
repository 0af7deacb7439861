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
	// mostCompared is how many workers of the zone, and how many others, are compared at
	// most. The best of 64 drawn by lot is among the best twentieth of any number of
	// workers in 96 of 100 choices, and the whole choice takes 53 us at 10,000 workers
	// (BenchmarkChooseOnline, beside a running day).
	mostCompared = 64
	// leastLag is how old news are at least when they come: a choice is told at once,
	// and the answer that another one rests on takes as long.
	leastLag = 5 * time.Millisecond
)

// choose takes the best of some workers; suspects count only if allowed.
func (t *Table) choose(now time.Time, demand *Request, suspects bool) *worker {
	known := t.pools[demand.Pool]
	if known == nil {
		return nil
	}
	avoid := (!suspects || demand.NoProbe) && !t.mostFail(now, demand.Pool)
	fit := func(w *worker) bool {
		return t.admits(now, w, demand, suspects) && !(avoid && t.failing(now, w) && !w.grantedProbe(demand))
	}
	t.findHomes(demand, fit)
	t.compared = t.compared[:0]
	if demand.Batch {
		t.drawGranted(now, known, fit)
	} else {
		t.drawOnline(now, demand.Pool, known, fit)
	}
	return t.pick(now, known, demand)
}

// pick takes the best of the workers to compare.
func (t *Table) pick(now time.Time, known *pool, demand *Request) *worker {
	if !demand.Batch && t.byTimes(demand.Pool) {
		return t.soonest(now, known, demand, t.compared)
	}
	return t.best(now, demand, t.compared)
}

// drawGranted takes the workers where an item may start: those that the planner of all
// items named, or while it is not heard some of all.
func (t *Table) drawGranted(now time.Time, known *pool, fit func(w *worker) bool) {
	for _, candidate := range t.ordered {
		if t.pools[candidate.listed.Pool] == known && candidate.entered && fit(candidate) {
			t.compared = append(t.compared, candidate)
		}
	}
	if len(t.compared) > 0 || freshAt(now, t.allAt) {
		return
	}
	t.drawGroup(known.near, mostCompared, fit)
	t.drawGroup(known.far, mostCompared, fit)
}

// drawOnline takes the workers to compare: some of the zone's and some of the others,
// drawn by lot, and the homes of the prompt. Where many requests of other processes have
// come since these told their loads, the worker that looks best looks so to all of them:
// if each took the best of all, they would crowd it. The more may have come, the fewer
// are compared. The zone's workers are drawn apart, because those who see them as this
// process does are those of the zone, and they are enough to choose among in a large
// fleet.
func (t *Table) drawOnline(now time.Time, name string, known *pool, fit func(w *worker) bool) {
	nearKnown := t.drawNear(now, name, known, fit)
	near := len(t.compared)
	if !t.nearOnly {
		t.drawFar(now, name, known, fit, near > 0 && nearKnown)
	}
	for _, home := range t.homes {
		if !slices.Contains(t.compared, home) {
			t.compared = append(t.compared, home)
		}
	}
}

// drawNear draws workers of the zone, and reports whether it is known what they have.
func (t *Table) drawNear(now time.Time, name string, known *pool, fit func(w *worker) bool) bool {
	at := later(t.allAt, t.nearAt)
	if freshAt(now, at) {
		t.drawGroup(known.near, countOf(len(known.near), unseen(known.nearRate, now.Sub(at), 0)), fit)
		return true
	}
	if t.drawTold(now, name, 0, 0, fit) > 0 {
		return true
	}
	t.drawGroup(known.near, len(known.near), fit)
	return false
}

// drawFar draws workers of other zones: of those of which something is known, if that is
// so of any worker, because one of which nothing is known would look idle beside them.
// The sums of other zones come by a report more.
func (t *Table) drawFar(now time.Time, name string, known *pool, fit func(w *worker) bool, nearKnown bool) {
	if freshAt(now, t.allAt) {
		t.drawGroup(known.far, countOf(len(known.far), unseen(known.farRate, now.Sub(t.allAt), loadshare.Interval)), fit)
		return
	}
	if t.drawTold(now, name, 1, loadshare.Interval, fit) == 0 && !nearKnown {
		t.drawGroup(known.far, len(known.far), fit)
	}
}

// drawTold draws of the workers, of the zone or of others, that news named. It returns how
// many of them are fit. more is what the news of them took longer than those of the zone.
func (t *Table) drawTold(now time.Time, name string, away int, more time.Duration, fit func(w *worker) bool) int {
	var told group
	rate, age := 0, time.Duration(0)
	for _, candidate := range t.told {
		if candidate.listed.Pool == name && t.away(candidate) == away && t.fresh(now, candidate) && fit(candidate) {
			told = append(told, candidate)
			rate += int(candidate.others.Rate)
			age = max(age, now.Sub(t.othersAt(candidate)))
		}
	}
	t.drawList(told, countOf(len(told), unseen(rate, age, more)))
	return len(told)
}

// drawGroup draws so many of the fit workers of a group, mostCompared at most.
func (t *Table) drawGroup(workers group, count int, fit func(w *worker) bool) {
	if len(workers) > mostCompared {
		t.drawSome(workers, min(count, mostCompared), fit)
		return
	}
	fitting := make([]*worker, 0, mostCompared)
	for _, candidate := range workers {
		if fit(candidate) {
			fitting = append(fitting, candidate)
		}
	}
	// As large a part of the fit ones is drawn as of all.
	if len(workers) > 0 {
		count = int(math.Ceil(float64(count) * float64(len(fitting)) / float64(len(workers))))
	}
	t.drawList(fitting, count)
}

// drawSome draws so many fit ones of many workers. It changes their order.
func (t *Table) drawSome(workers group, count int, fit func(w *worker) bool) {
	for i := 0; i < len(workers) && count > 0; i++ {
		workers.swap(i, i+t.random.IntN(len(workers)-i))
		if fit(workers[i]) {
			t.compared = append(t.compared, workers[i])
			count--
		}
	}
}

// drawList draws so many of the workers. It changes their order in the list.
func (t *Table) drawList(workers []*worker, count int) {
	if count < len(workers) {
		count = min(max(count, leastCompared), len(workers))
		for i := range count {
			other := i + t.random.IntN(len(workers)-i)
			workers[i], workers[other] = workers[other], workers[i]
		}
		workers = workers[:count]
	}
	t.compared = append(t.compared, workers...)
}

// away is 1 for a worker of another zone.
func (t *Table) away(candidate *worker) int {
	if candidate.listed.Zone == t.zone {
		return 0
	}
	return 1
}

// countOf returns how many of the workers to compare when so many requests are unseen.
func countOf(workers int, unseen float64) int {
	return max(int(math.Ceil(float64(workers)/(1+unseen/unseenParts))), leastCompared)
}

// unseen estimates how many requests have come to workers that others have not told of
// yet, from the rate at which they answer in ten seconds: those since the last news, which
// were of some age by then. Where news are asked for before each choice they are fresh,
// and so is what others told the hub; where they are old, the hub did not answer, or not
// to others either. more is what the news took longer than those of the zone.
func unseen(rate int, age, more time.Duration) float64 {
	lag := min(max(age, leastLag), loadshare.Interval)
	return float64(rate) / rateSeconds * (age + lag + more).Seconds()
}
