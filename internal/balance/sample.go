package balance

import (
	"math"
	"slices"
	"time"

	"github.com/sedgemast/sedgemast/internal/loadshare"
)

const (
	// unseenHalving is the number of unseen requests that halves the number of workers compared.
	// minCandidates is the minimum number compared.
	unseenHalving = 4.0
	minCandidates = 2
	// maxCandidates is the maximum number of workers compared in this zone, and the maximum in
	// all others. The best of 64 random workers is among the best twentieth of any number of
	// workers in 96 of 100 choices, and a choice takes 53 us at 10,000 workers
	// (BenchmarkChooseOnline).
	maxCandidates = 64
	// minLag is the minimum age of peer loads on arrival. A choice is reported at once, but the
	// report and the answer by which another process learns of it take this long.
	minLag = 5 * time.Millisecond
)

// choose returns the best of some sampled workers. Suspects are considered only if suspects is set.
// Failing workers are avoided, unless suspects is set and the request may probe, most of the pool
// is failing, or the batch planner granted a probe.
func (t *Table) choose(now time.Time, request *Request, suspects bool) *worker {
	p := t.pools[request.Pool]
	if p == nil {
		return nil
	}
	avoid := (!suspects || request.NoProbe) && !t.mostFailing(now, request.Pool)
	fit := func(w *worker) bool {
		return t.admits(now, w, request, suspects) && !(avoid && t.failing(now, w) && !w.hasProbeGrant(request))
	}
	t.findAffinity(request, fit)
	t.candidates = t.candidates[:0]
	if request.Batch {
		t.sampleGranted(now, p, fit)
	} else {
		t.sampleOnline(now, request.Pool, p, fit)
	}
	return t.pick(now, p, request)
}

// pick returns the best of the candidates.
func (t *Table) pick(now time.Time, p *pool, request *Request) *worker {
	if !request.Batch && t.comparesByTime(request.Pool) {
		return t.bestByTime(now, p, request, t.candidates)
	}
	return t.bestByCost(now, request, t.candidates)
}

// sampleGranted collects the workers at which an item may start: those that the batch planner
// named, or a sample of all workers if the loads have expired (the planner is unreachable).
func (t *Table) sampleGranted(now time.Time, p *pool, fit func(w *worker) bool) {
	for _, candidate := range t.withOrders {
		if t.pools[candidate.listed.Pool] == p && candidate.inGroup && fit(candidate) {
			t.candidates = append(t.candidates, candidate)
		}
	}
	if len(t.candidates) > 0 || isFresh(now, t.allLoadsAt) {
		return
	}
	t.sampleGroup(p.near, maxCandidates, fit)
	t.sampleGroup(p.far, maxCandidates, fit)
}

// sampleOnline collects the candidates for an online request: a sample of the near workers, a
// sample of the far workers, and the affinity workers of the prompt. All processes see the same
// reported loads, so the worker that looks best to one process looks best to all, and would be
// overloaded if each of them took it. Therefore the more requests may have been sent since the
// loads were reported, the fewer workers are compared. Near workers are sampled separately for two
// reasons: the processes with the same view of them are those of the same zone, and in a large
// fleet they are enough to choose among.
func (t *Table) sampleOnline(now time.Time, name string, p *pool, fit func(w *worker) bool) {
	nearKnown := t.sampleNear(now, name, p, fit)
	near := len(t.candidates)
	if !t.nearOnly {
		t.sampleFar(now, name, p, fit, near > 0 && nearKnown)
	}
	for _, w := range t.affinity {
		if !slices.Contains(t.candidates, w) {
			t.candidates = append(t.candidates, w)
		}
	}
}

// sampleNear samples workers of this zone, and reports whether their loads are known.
func (t *Table) sampleNear(now time.Time, name string, p *pool, fit func(w *worker) bool) bool {
	at := later(t.allLoadsAt, t.zoneLoadsAt)
	if isFresh(now, at) {
		t.sampleGroup(p.near, candidateCount(len(p.near), unseenRequests(p.nearRate, now.Sub(at), 0)), fit)
		return true
	}
	if t.samplePeerLoaded(now, name, 0, 0, fit) > 0 {
		return true
	}
	t.sampleGroup(p.near, len(p.near), fit)
	return false
}

// sampleFar samples workers of other zones. If the load of any worker, near or far, is known, it
// samples only workers with a known load, because a worker without one would look idle beside them.
// Loads of other zones pass through one more report, which adds an interval to their age.
func (t *Table) sampleFar(now time.Time, name string, p *pool, fit func(w *worker) bool, nearKnown bool) {
	if isFresh(now, t.allLoadsAt) {
		t.sampleGroup(p.far, candidateCount(len(p.far), unseenRequests(p.farRate, now.Sub(t.allLoadsAt), loadshare.Interval)), fit)
		return
	}
	if t.samplePeerLoaded(now, name, 1, loadshare.Interval, fit) == 0 && !nearKnown {
		t.sampleGroup(p.far, len(p.far), fit)
	}
}

// samplePeerLoaded samples the workers with a fresh peer load, of this zone (distance 0) or of
// other zones (distance 1). It returns how many workers with a fresh load fit. extraLag is how much
// older their loads are than the loads of this zone.
func (t *Table) samplePeerLoaded(now time.Time, name string, distance int, extraLag time.Duration, fit func(w *worker) bool) int {
	var loaded group
	rate, age := 0, time.Duration(0)
	for _, candidate := range t.peerLoaded {
		if candidate.listed.Pool == name && t.zoneDistance(candidate) == distance && t.hasFreshPeerLoad(now, candidate) && fit(candidate) {
			loaded = append(loaded, candidate)
			rate += int(candidate.peerLoad.Rate)
			age = max(age, now.Sub(t.peerLoadTime(candidate)))
		}
	}
	t.sampleList(loaded, candidateCount(len(loaded), unseenRequests(rate, age, extraLag)))
	return len(loaded)
}

// sampleGroup samples count of the group's workers that fit, at most maxCandidates.
func (t *Table) sampleGroup(workers group, count int, fit func(w *worker) bool) {
	if len(workers) > maxCandidates {
		t.sampleLargeGroup(workers, min(count, maxCandidates), fit)
		return
	}
	fitting := make([]*worker, 0, maxCandidates)
	for _, candidate := range workers {
		if fit(candidate) {
			fitting = append(fitting, candidate)
		}
	}
	// The sample is the same fraction of the fitting workers as count is of all.
	if len(workers) > 0 {
		count = int(math.Ceil(float64(count) * float64(len(fitting)) / float64(len(workers))))
	}
	t.sampleList(fitting, count)
}

// sampleLargeGroup visits the group in random order until it has found count workers that fit. It
// changes the order of the group.
func (t *Table) sampleLargeGroup(workers group, count int, fit func(w *worker) bool) {
	for i := 0; i < len(workers) && count > 0; i++ {
		workers.swap(i, i+t.random.IntN(len(workers)-i))
		if fit(workers[i]) {
			t.candidates = append(t.candidates, workers[i])
			count--
		}
	}
}

// sampleList samples count of the workers. It changes the order of the list.
func (t *Table) sampleList(workers []*worker, count int) {
	if count < len(workers) {
		count = min(max(count, minCandidates), len(workers))
		for i := range count {
			other := i + t.random.IntN(len(workers)-i)
			workers[i], workers[other] = workers[other], workers[i]
		}
		workers = workers[:count]
	}
	t.candidates = append(t.candidates, workers...)
}

// zoneDistance returns 0 for a worker of this zone, 1 for one of another zone.
func (t *Table) zoneDistance(candidate *worker) int {
	if candidate.listed.Zone == t.zone {
		return 0
	}
	return 1
}

// candidateCount returns how many of the workers to compare, given the number of unseen requests.
func candidateCount(workers int, unseen float64) int {
	return max(int(math.Ceil(float64(workers)/(1+unseen/unseenHalving))), minCandidates)
}

// unseenRequests estimates how many requests workers have received that peers have not reported
// yet, from the rate of requests per rateSeconds. It counts the requests since the last update of
// the loads, and those that were not yet reported when the update arrived. A process that queries
// the hub before each choice has fresh loads, and so do its peers. If its loads are old, the hub
// didn't answer, and perhaps didn't answer the peers either. extraLag is how much older the loads
// are than the loads of this zone.
func unseenRequests(rate int, age, extraLag time.Duration) float64 {
	lag := min(max(age, minLag), loadshare.Interval)
	return float64(rate) / rateSeconds * (age + lag + extraLag).Seconds()
}
