package balance

import (
	"math"
	"time"

	"github.com/sedgemast/sedgemast/internal/loadshare"
)

const (
	// PollInterval is the time between two polls for a free slot by a process that has requests
	// waiting.
	PollInterval = 10 * time.Millisecond
	// visibilityDelay is how long a choice stays invisible to other processes of the zone: until
	// it is reported, and until an answer that was already in transit has been used.
	visibilityDelay = 1500 * time.Microsecond
	// turnoverTime is the longest time that a slot stays free while requests wait for one in its
	// zone: until the next poll, plus the time to query the hub and report the choice.
	turnoverTime = 2 * PollInterval
	// reservedDivisor limits the reserve for waiting requests that are about to take released
	// slots: at most 1/reservedDivisor of the slots.
	reservedDivisor = 8
)

// SearchOptions holds what FindCandidate needs to know about the caller and its peers.
type SearchOptions struct {
	// Peers is the number of processes in all zones that choose workers, including this one.
	Peers int
	// ReleasedWorker is the worker at which this process has just released a slot, if any. No
	// peer knows of that slot yet.
	ReleasedWorker string
}

// Candidate is the worker that FindCandidate chose for one request. It holds no slot;
// AcquireCandidate turns it into a lease.
type Candidate struct {
	// Worker is the worker's id. Slowness is the factor by which it takes longer than the median
	// of its pool.
	Worker   string
	Slowness float64
	// Full is set if online requests hold all slots of the worker. Wait is the predicted mean
	// time until one more request gets a slot, MaxWait a bound that nearly all waits stay below.
	// Both are zero if unknown.
	Full    bool
	Wait    time.Duration
	MaxWait time.Duration
	// Spare is set if more slots are free than the requests waiting in other processes are about to
	// take. LeftToPeers is set if a slot is free, but this process leaves it to its peers by a
	// random draw.
	Spare       bool
	LeftToPeers bool
	// PeerLoadAge is the age of the peer load behind these predictions, negative if there is
	// none.
	PeerLoadAge time.Duration

	worker *worker
	// probe is set if the hub granted one request as a probe of this worker, which is avoided
	// otherwise.
	probe bool
}

// FindCandidate chooses a worker for a request that can also wait in this process. It chooses as
// Acquire does, but prefers a worker with a slot free for online requests. If few slots are free,
// all processes see the same ones. The request then takes a slot with some probability, and
// otherwise leaves it to the peers. Slots in other zones are known only from older reports, so a
// second random draw decides whether the request may go there (mayUseFar). FindCandidate returns
// nil if there is no worker.
func (t *Table) FindCandidate(now time.Time, request *Request, search SearchOptions) *Candidate {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.advanceClock(now)
	t.unblockExpired(now)
	p := t.pools[request.Pool]
	if p == nil {
		return nil
	}
	t.coldStart = t.isColdStart(now)
	chosen := t.freeProbe(now, request)
	probe := chosen != nil
	if chosen == nil {
		chosen = t.chooseReleased(now, request, search.ReleasedWorker)
	}
	if chosen == nil {
		chosen = t.chooseBySlots(now, request, p, search.Peers)
	}
	if chosen == nil {
		return nil
	}
	candidate := &Candidate{
		Worker:      chosen.listed.ID,
		Slowness:    t.slownessOf(now, chosen),
		Full:        !t.hasFreeSlot(now, chosen),
		Wait:        t.predictWait(now, chosen),
		MaxWait:     t.predictMaxWait(now, chosen),
		PeerLoadAge: t.peerLoadAge(now, chosen),
		worker:      chosen,
		probe:       probe,
	}
	switch {
	case probe:
		// The hub granted the probe to a single request, so no peer is about to take the slot.
		candidate.Spare = true
	case !candidate.Full:
		t.assessFreeSlot(now, request, p, candidate, search)
	}
	return candidate
}

// assessFreeSlot sets Spare and LeftToPeers for a candidate with a free slot.
func (t *Table) assessFreeSlot(now time.Time, request *Request, p *pool, candidate *Candidate, search SearchOptions) {
	if t.effectiveSlots(candidate.worker) <= 0 {
		// The number of slots is unknown, so there is nothing to wait for.
		candidate.Spare = true
		return
	}
	if t.zoneDistance(candidate.worker) > 0 {
		candidate.Spare = t.farSlots(now, request, p) > reservedSlots(p.farRate, p.slots-p.nearSlots)
		candidate.LeftToPeers = len(p.near) == 0 && !t.mayUseFar(now, request, p, search.Peers)
		return
	}
	near := t.nearSlots(now, request, p)
	candidate.Spare = near > reservedSlots(p.nearRate, p.nearSlots)
	candidate.LeftToPeers = candidate.Worker != search.ReleasedWorker && !mostlyFree(near, p.nearSlots) && t.leavesToPeers(near, p.nearPeers(search.Peers))
}

// mostlyFree reports whether more than half of the slots are free. Then no request needs to wait,
// and a request that left its slot to peers would wait although slots are free.
func mostlyFree(free float64, slots int) bool { return 2*free > float64(slots) }

// nearPeers estimates how many processes compete for the slots of one zone. Their zones are
// unknown, so they are taken to be spread evenly over the zones that have workers.
func (p *pool) nearPeers(peers int) float64 {
	return max(float64(peers)/float64(max(len(p.zoneSlots), 1)), 1)
}

// turnoverSlots returns the mean number of slots that are free only because waiting requests have
// not taken them yet. The rate is in requests per rateSeconds.
func turnoverSlots(rate int) float64 { return float64(rate) / rateSeconds * turnoverTime.Seconds() }

// reservedSlots returns how many free slots to leave to waiting requests: the turnover
// (turnoverSlots), but at most 1/reservedDivisor of the slots. Without this limit, the turnover of
// very short requests could cover all free slots, and no process would ever find a spare slot.
func reservedSlots(rate, slots int) float64 {
	return min(turnoverSlots(rate), float64(slots)/reservedDivisor)
}

// AcquireCandidate gives the request a lease of the worker that FindCandidate has just chosen.
func (t *Table) AcquireCandidate(now time.Time, request *Request, candidate *Candidate) *Lease {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if candidate.probe {
		t.removeProbe(candidate.worker)
	}
	return t.lease(now, candidate.worker, request)
}

// freeProbe returns an avoided worker for the request to probe, if it has a free slot.
func (t *Table) freeProbe(now time.Time, request *Request) *worker {
	probed := t.findProbe(now, request)
	if probed == nil || !t.hasFreeSlot(now, probed) {
		return nil
	}
	return probed
}

// chooseReleased returns the worker at which this process released a slot, if the request may use
// it.
func (t *Table) chooseReleased(now time.Time, request *Request, id string) *worker {
	released := t.workers[id]
	if released == nil || released.listed.Pool != request.Pool || !t.hasSlotFor(now, request, released) {
		return nil
	}
	return released
}

// hasSlotFor reports whether the request may take a free slot of the worker.
func (t *Table) hasSlotFor(now time.Time, request *Request, w *worker) bool {
	return t.hasFreeSlot(now, w) && t.admits(now, w, request, false) && !t.failing(now, w)
}

// chooseBySlots chooses a worker, one with a free slot if there is any.
func (t *Table) chooseBySlots(now time.Time, request *Request, p *pool, peers int) *worker {
	t.nearOnly = len(p.near) > 0 && !t.mayUseFar(now, request, p, peers)
	chosen := t.choose(now, request, false)
	if chosen == nil || !t.hasFreeSlot(now, chosen) {
		if free := t.chooseFree(now, request, p); free != nil {
			chosen = free
		}
	}
	t.nearOnly = false
	if chosen == nil {
		chosen = t.choose(now, request, false)
	}
	if chosen == nil {
		chosen = t.choose(now, request, true)
	}
	return chosen
}

// leavesToPeers decides at random whether to leave a free slot to the peers. While this choice is
// still invisible to them (visibilityDelay), some of the peers poll too. If there may be more
// pollers than free slots, each poller takes a slot with the probability slots / pollers.
func (t *Table) leavesToPeers(slots, peers float64) bool {
	pollers := 1 + (peers-1)*float64(visibilityDelay)/float64(PollInterval)
	return t.random.Float64()*pollers > slots
}

// mayUseFar reports whether the request may go to another zone. While most slots in other zones are
// free, or nothing is known of them, it always may. Otherwise a random draw decides: the
// probability is chosen so that all peers together take about as many slots per reporting interval
// as are free in other zones beyond the reserve (reservedSlots).
func (t *Table) mayUseFar(now time.Time, request *Request, p *pool, peers int) bool {
	elapsed := min(now.Sub(p.lastFarDraw), loadshare.Interval)
	p.lastFarDraw = now
	free := t.farSlots(now, request, p)
	if math.IsInf(free, 1) || mostlyFree(free, p.slots-p.nearSlots) {
		return true
	}
	slots := free - reservedSlots(p.farRate, p.slots-p.nearSlots)
	chance := slots / float64(max(peers, 1)) * float64(elapsed) / float64(loadshare.Interval)
	return t.random.Float64() < chance
}

// nearSlots estimates the number of free slots in this zone. It returns infinity if no peer loads
// are known.
func (t *Table) nearSlots(now time.Time, request *Request, p *pool) float64 {
	t.candidates = t.candidates[:0]
	if isFresh(now, later(t.allLoadsAt, t.zoneLoadsAt)) {
		t.sampleGroup(p.near, maxCandidates, anyWorker)
	} else if t.samplePeerLoaded(now, request.Pool, 0, 0, anyWorker) == 0 {
		return math.Inf(1)
	}
	return t.freeSlots(now, request, len(p.near))
}

// farSlots estimates the number of free slots in other zones. It returns infinity if no peer
// loads are known.
func (t *Table) farSlots(now time.Time, request *Request, p *pool) float64 {
	t.candidates = t.candidates[:0]
	if isFresh(now, t.allLoadsAt) {
		t.sampleGroup(p.far, maxCandidates, anyWorker)
	} else if t.samplePeerLoaded(now, request.Pool, 1, 0, anyWorker) == 0 {
		return math.Inf(1)
	}
	return t.freeSlots(now, request, len(p.far))
}

func anyWorker(*worker) bool { return true }

// freeSlots extrapolates the free slots of the sampled workers to a group of the given size.
func (t *Table) freeSlots(now time.Time, request *Request, groupSize int) float64 {
	if len(t.candidates) == 0 {
		return 0
	}
	slots := 0
	for _, w := range t.candidates {
		if t.hasSlotFor(now, request, w) {
			own := t.effectiveSlots(w)
			slots += max(own, 1) - min(t.onlineAt(now, w), own)
		}
	}
	return float64(slots) * float64(groupSize) / float64(len(t.candidates))
}

// chooseFree chooses among the workers with a free slot. In a pool of up to maxCandidates workers
// it considers every worker, unlike choose: otherwise a request could wait although a slot is free,
// only because the slot's worker was not sampled.
func (t *Table) chooseFree(now time.Time, request *Request, p *pool) *worker {
	fit := func(w *worker) bool { return t.hasSlotFor(now, request, w) }
	t.findAffinity(request, fit)
	t.candidates = t.candidates[:0]
	t.sampleFree(now, request.Pool, p, fit)
	return t.pick(now, p, request)
}

// sampleFree samples the workers that fit. If the peer loads name only some workers, the unnamed
// ones would look idle and are left out. If no load is known of any worker of the pool, workers of
// all zones are sampled.
func (t *Table) sampleFree(now time.Time, name string, p *pool, fit func(w *worker) bool) {
	nearKnown := isFresh(now, later(t.allLoadsAt, t.zoneLoadsAt))
	if nearKnown {
		t.sampleGroup(p.near, maxCandidates, fit)
	} else {
		t.samplePeerLoaded(now, name, 0, 0, fit)
	}
	if t.nearOnly {
		return
	}
	if isFresh(now, t.allLoadsAt) {
		t.sampleGroup(p.far, maxCandidates, fit)
		return
	}
	t.samplePeerLoaded(now, name, 1, 0, fit)
	if !nearKnown && !t.poolHasFreshLoad(now, name) {
		t.sampleGroup(p.near, maxCandidates, fit)
		t.sampleGroup(p.far, maxCandidates, fit)
	}
}

// poolHasFreshLoad reports whether the peer load of any worker of the pool is fresh.
func (t *Table) poolHasFreshLoad(now time.Time, name string) bool {
	for _, candidate := range t.peerLoaded {
		if candidate.listed.Pool == name && t.hasFreshPeerLoad(now, candidate) {
			return true
		}
	}
	return false
}

// hasFreeSlot reports whether the worker has a slot that no online request holds; batch items are
// preempted. It returns true if the number of slots is unknown.
func (t *Table) hasFreeSlot(now time.Time, w *worker) bool {
	slots := t.effectiveSlots(w)
	return slots <= 0 || t.onlineAt(now, w) < slots
}

// peerLoadAge returns the age of the worker's peer load, negative if there is none.
func (t *Table) peerLoadAge(now time.Time, w *worker) time.Duration {
	if !t.hasFreshPeerLoad(now, w) {
		return -1
	}
	return now.Sub(t.peerLoadTime(w))
}

// Throughput estimates how many online requests per second this process can send to the pool; peers
// is the number of processes that share the pool. Its slots are an equal share of the pool's slots,
// or the slots that it uses now if these are more. It returns zero if the hold time is unknown.
func (t *Table) Throughput(pool string, peers int) float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p := t.pools[pool]
	if p == nil || p.holdTime <= 0 {
		return 0
	}
	own := 0
	for _, w := range t.busy {
		if w.listed.Pool == pool {
			own += w.inFlight - w.batch
		}
	}
	slots := max(float64(p.slots)/float64(max(peers, 1)), float64(min(own, p.slots)))
	return slots / p.holdTime.Seconds()
}
