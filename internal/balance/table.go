package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/incarnation"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/upstream"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

// Table holds the workers of all pools. The cost of a choice depends on the number of workers that
// it compares, the cost of peer loads or of a change of the worker list on the number of workers
// that these name. None depends on the size of the list.
type Table struct {
	mutex  sync.Mutex
	random *rand.Rand
	zone   string
	// set is the worker list applied last.
	set     *workerset.Set
	workers map[string]*worker
	byHash  map[uint32]*worker
	pools   map[string]*pool
	// memory is the number of tokens that a worker of each pool holds.
	memory map[string]int64
	// allLoadsAt and zoneLoadsAt are when peer loads last covered all workers, or all of this
	// zone.
	allLoadsAt  time.Time
	zoneLoadsAt time.Time
	// busy lists the workers at which this process has requests or something to report. peerLoaded
	// lists the workers with a peer load, which is the load that other processes reported.
	// withOrders lists the workers with orders of the batch planner.
	busy       []*worker
	peerLoaded []*worker
	withOrders []*worker
	// unlistedRate is the rate of online requests, per rateSeconds, of workers without a listed
	// peer load.
	unlistedRate int
	// suspects lists the workers that gave this process no answer, until suspectTime has passed.
	suspects []*worker
	// blocked lists the workers at whose address another worker answered. A worker stays in the
	// list until blockTime has passed.
	blocked []*worker
	// probeWorkers lists the avoided workers that a request may probe, as the hub granted at
	// probesAt.
	probeWorkers []uint32
	probesAt     time.Time
	// intervalScratch is scratch space of medianInterval.
	intervalScratch []uint32
	// candidates are the workers that the current choice compares.
	candidates []*worker
	// affinity holds the affinity workers of the request being placed. coldStart is set if they
	// must not be preferred (isColdStart).
	affinity  []*worker
	coldStart bool
	// paceReportedAt is when a worker of each pool last reported its pace. latestTime is the
	// latest time passed by a caller.
	paceReportedAt map[string]time.Time
	latestTime     time.Time
	// fewerSlots is the set of listed workers that reported fewer slots than the list says.
	fewerSlots map[*worker]bool
	// slotMismatches holds the workers that reported other slots than the list says, until
	// SlotMismatches returns them.
	slotMismatches []SlotMismatch
	// scoring selects how workers are compared.
	scoring scoring
	// nearOnly is set while a choice excludes workers of other zones.
	nearOnly bool
	// acquired counts all leases given.
	acquired uint64
	// startedAt is when this process began to choose workers, perhaps together with many others.
	startedAt time.Time
}

// NewTable returns an empty table for a process in the zone.
func NewTable(zone string, random *rand.Rand) *Table {
	return &Table{zone: zone, random: random, workers: map[string]*worker{}, byHash: map[uint32]*worker{}, pools: map[string]*pool{}, memory: map[string]int64{}, paceReportedAt: map[string]time.Time{}, fewerSlots: map[*worker]bool{}}
}

// Update applies the list of workers, and the number of tokens that a worker of each pool holds.
// A worker that is no longer listed gets no new requests; running ones continue.
func (t *Table) Update(now time.Time, set *workerset.Set, memory map[string]int64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.memory = memory
	set.Diff(t.set, t.addWorker, t.removeWorker)
	t.set = set
	for _, p := range t.pools {
		p.updateSoleVersion(now)
	}
}

// addWorker applies a new or changed row of the list.
func (t *Table) addWorker(row *wire.PoolWorker) {
	w := t.workers[row.ID]
	if w == nil {
		hash := loadshare.WorkerHash(row.ID)
		w = &worker{hash: hash, version: incarnation.VersionOf(row.ID), point: splitMix64(uint64(hash))}
		t.workers[row.ID], t.byHash[hash] = w, w
	} else {
		t.pools[w.listed.Pool].remove(t, w)
		changeCount(&t.pools[w.listed.Pool].listedVersions, w.version, -1)
	}
	if w.listed.Address != row.Address && !w.blockedUntil.IsZero() {
		// Another worker answered at the previous address; the new one may be right.
		w.blocked = false
	}
	// Once an incarnation is leaving, it remains so, even if an outdated list says otherwise.
	leaving := row.Leaving || w.listed.Leaving
	w.listed = *row
	w.listed.Leaving = leaving
	t.updateFewerSlots(w)
	if t.pools[row.Pool] == nil {
		t.pools[row.Pool] = &pool{}
	}
	changeCount(&t.pools[row.Pool].listedVersions, w.version, 1)
	if w.usable() {
		t.pools[row.Pool].add(t, w)
	}
}

// removeWorker removes a worker that is no longer listed.
func (t *Table) removeWorker(row *wire.PoolWorker) {
	w := t.workers[row.ID]
	if w == nil {
		return
	}
	t.pools[w.listed.Pool].remove(t, w)
	changeCount(&t.pools[w.listed.Pool].listedVersions, w.version, -1)
	delete(t.workers, row.ID)
	delete(t.fewerSlots, w)
	if t.byHash[w.hash] == w {
		delete(t.byHash, w.hash)
	}
	w.blocked = true
}

// Start records that this process begins to choose workers, perhaps together with many others
// that have no peer loads either.
func (t *Table) Start(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.startedAt = now
}

// AcquiredCount returns the number of leases given so far.
func (t *Table) AcquiredCount() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.acquired
}

// Contains reports whether the worker is listed.
func (t *Table) Contains(id string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.workers[id] != nil
}

// Usable reports whether the pool has a worker for new requests.
func (t *Table) Usable(pool string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.pools[pool].usableCount() > 0
}

// Request describes a request for the choice of a worker.
type Request struct {
	Pool string
	// Version, if set, limits the choice to the workers of that software version.
	Version incarnation.Version
	// Exclude holds the ids of workers that were tried already.
	Exclude map[string]bool
	Parts   []httpheader.Part
	// PromptTokens is the length of the prompt.
	PromptTokens int64
	// Batch is set for batch items. They start where the batch planner grants it; while the
	// planner is unreachable they use at most BatchShare hundredths of a worker's slots.
	Batch      bool
	BatchShare int
	// Repeatable is set for an online request that may run more than once. It may be sent to an
	// avoided worker as a probe.
	Repeatable bool
	// NoProbe is set for an item that has failed as a probe: the item itself may make workers
	// fail.
	NoProbe bool
	// LastWorker is the id of the worker at which an item ran before. It is preferred if the item
	// may start there.
	LastWorker string
}

// Lease holds a slot at a worker for a request. It must be released.
type Lease struct {
	Endpoint upstream.Endpoint
	Zone     string
	// Wait is the predicted time until the request gets a slot. Slowness is the factor by which
	// the worker takes longer than the median of its pool.
	Wait     time.Duration
	Slowness float64
	// ByPredictedTime is set if workers were compared by predicted times. Slowness is then the
	// measured value, however close to 1; otherwise it is 1 below slownessThreshold.
	ByPredictedTime bool
	table           *Table
	worker          *worker
	pendingTokens   int64
	batch           bool
	pendingCleared  bool
	stopping        bool
	released        bool
	// probe is set if the worker was avoided when it was chosen. probeSucceeded is set once the
	// request has shown that the worker has recovered.
	probe          bool
	probeSucceeded bool
}

// Acquire chooses a worker and leases a slot there. It returns nil if there is no worker.
func (t *Table) Acquire(now time.Time, request *Request) *Lease {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.advanceClock(now)
	t.unblockExpired(now)
	t.coldStart = t.isColdStart(now)
	chosen := t.takeProbe(now, request)
	if chosen == nil {
		chosen = t.previousWorker(now, request)
	}
	if chosen == nil {
		chosen = t.choose(now, request, false)
	}
	if chosen == nil {
		chosen = t.choose(now, request, true)
	}
	if chosen == nil {
		return nil
	}
	return t.lease(now, chosen, request)
}

// lease gives the request a slot at the worker.
func (t *Table) lease(now time.Time, chosen *worker, request *Request) *Lease {
	lease := &Lease{
		Wait:            t.predictWait(now, chosen),
		Slowness:        t.slownessOf(now, chosen),
		ByPredictedTime: t.comparesByTime(chosen.listed.Pool),
		Endpoint:        upstream.Endpoint{ID: chosen.listed.ID, Address: chosen.listed.Address},
		Zone:            chosen.listed.Zone,
		table:           t,
		worker:          chosen,
		batch:           request.Batch,
		pendingTokens:   request.PromptTokens - t.cachedTokens(chosen, request),
		probe:           t.failing(now, chosen),
	}
	if lease.probe {
		chosen.activeProbes++
	}
	t.acquired++
	t.markBusy(chosen)
	chosen.inFlight++
	chosen.pendingTokens += lease.pendingTokens
	if request.Batch {
		chosen.batch++
		chosen.startGrants = max(chosen.startGrants-1, 0)
	}
	chosen.recordParts(sharedPartIDs(request.Parts))
	return lease
}

// bestByCost returns the worker of the lowest cost, a random one among equals.
func (t *Table) bestByCost(now time.Time, request *Request, candidates []*worker) *worker {
	var best *worker
	bestCost, equals := 0.0, 0
	for _, candidate := range candidates {
		cost := t.cost(now, candidate, request)
		switch {
		case best == nil || cost < bestCost-tieMargin:
			best, bestCost, equals = candidate, cost, 1
		case cost < bestCost+tieMargin:
			equals++
			if t.random.IntN(equals) == 0 {
				best = candidate
			}
		}
	}
	return best
}

func (t *Table) admits(now time.Time, candidate *worker, request *Request, suspects bool) bool {
	if !candidate.usable() || request.Exclude[candidate.listed.ID] || !request.fitsVersion(candidate) {
		return false
	}
	if !suspects && now.Before(candidate.suspectUntil) {
		return false
	}
	return !request.Batch || t.admitsBatch(now, candidate, request.BatchShare)
}

// markBusy adds the worker to the list of those at which this process has requests or something
// to report.
func (t *Table) markBusy(w *worker) {
	if !w.busy {
		w.busy = true
		t.busy = append(t.busy, w)
	}
}

// suspect records that the worker gave no answer.
func (t *Table) suspect(now time.Time, w *worker) {
	t.currentSuspects(now)
	if w.suspectUntil.IsZero() {
		t.suspects = append(t.suspects, w)
	}
	w.suspectUntil = now.Add(suspectTime)
}

// block excludes the worker from new requests, because another worker answered at its address.
func (t *Table) block(now time.Time, w *worker) {
	if !w.blocked {
		t.blocked = append(t.blocked, w)
	}
	w.blocked, w.blockedUntil = true, now.Add(blockTime)
	if p := t.pools[w.listed.Pool]; p != nil {
		p.remove(t, w)
	}
}

// unblockExpired makes workers available again once their blocking time has passed.
func (t *Table) unblockExpired(now time.Time) {
	if len(t.blocked) == 0 {
		return
	}
	t.blocked = slices.DeleteFunc(t.blocked, func(w *worker) bool {
		if now.Before(w.blockedUntil) {
			return false
		}
		if !w.unlisted(t) {
			w.blocked = false
			if w.usable() && !w.inGroup {
				t.pools[w.listed.Pool].add(t, w)
			}
		}
		return true
	})
}

// RecordPrefill records that the worker has processed the prompt.
func (l *Lease) RecordPrefill() {
	l.table.mutex.Lock()
	defer l.table.mutex.Unlock()
	l.clearPending()
}

func (l *Lease) clearPending() {
	if !l.pendingCleared {
		l.pendingCleared = true
		l.worker.pendingTokens -= l.pendingTokens
	}
}

// Release gives the slot back.
func (l *Lease) Release() {
	l.table.mutex.Lock()
	defer l.table.mutex.Unlock()
	if l.released {
		return
	}
	l.released = true
	l.clearPending()
	l.worker.inFlight--
	if l.batch {
		l.worker.batch--
	}
	if l.stopping {
		l.worker.stopping--
	}
	if l.probe {
		l.worker.activeProbes--
	}
}

// ShouldStop reports whether the item is to stop to meet the batch planner's order. If so, the
// caller must stop it and release the lease.
func (l *Lease) ShouldStop() bool {
	l.table.mutex.Lock()
	defer l.table.mutex.Unlock()
	if l.released || l.stopping || l.worker.pendingStops == 0 {
		return false
	}
	l.stopping = true
	l.worker.stopping++
	l.worker.pendingStops--
	return true
}

// RecordNoAnswer records that the worker gave no answer.
func (l *Lease) RecordNoAnswer(now time.Time) {
	l.table.mutex.Lock()
	defer l.table.mutex.Unlock()
	l.table.suspect(now, l.worker)
	l.table.markBusy(l.worker)
	l.worker.failed++
	if l.probe {
		l.worker.unansweredProbes++
	}
}

// RecordNotReady records that the worker takes no requests, although the list says otherwise.
func (l *Lease) RecordNotReady(now time.Time) {
	l.table.mutex.Lock()
	defer l.table.mutex.Unlock()
	l.table.suspect(now, l.worker)
}

// RecordWrongWorker records that another worker answered at the address.
func (l *Lease) RecordWrongWorker(now time.Time) {
	l.table.mutex.Lock()
	defer l.table.mutex.Unlock()
	l.table.block(now, l.worker)
}
