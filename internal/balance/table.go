package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/dialect"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/upstream"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Table holds the workers of all pools.
type Table struct {
	mutex   sync.Mutex
	random  *rand.Rand
	zone    string
	workers map[string]*worker
	pools   map[string][]*worker
	// memory is how many tokens a worker of a pool holds.
	memory map[string]int64
	// holds is how long an online request holds a slot in each pool, as learnt.
	holds map[string]time.Duration
	// fit and compared are scratch space of choose.
	fit      []*worker
	compared []*worker
	// homes are the homes of the prompt that is being placed.
	homes []*worker
	// acquired counts the leases ever given.
	acquired uint64
}

// NewTable returns an empty table of a process in the zone.
func NewTable(zone string, random *rand.Rand) *Table {
	return &Table{zone: zone, random: random, workers: map[string]*worker{}, pools: map[string][]*worker{}, memory: map[string]int64{}}
}

// Update takes in the listed workers and how many tokens the workers of each
// pool hold. A worker that is gone from the list takes no new requests; what
// runs there goes on.
func (t *Table) Update(listed []wire.PoolWorker, memory map[string]int64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.memory = memory
	workers := make(map[string]*worker, len(listed))
	t.pools = map[string][]*worker{}
	for _, row := range listed {
		known := t.workers[row.ID]
		if known == nil {
			known = &worker{hash: loadshare.Hash(row.ID), parts: map[string]uint64{}}
		}
		// Leaving is final: a list that lags may contradict it.
		row.Leaving = row.Leaving || known.listed.Leaving
		known.listed = row
		workers[row.ID] = known
		t.pools[row.Pool] = append(t.pools[row.Pool], known)
	}
	t.workers = workers
}

// Acquired returns how many leases have been given so far.
func (t *Table) Acquired() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.acquired
}

// Knows reports whether the worker is listed.
func (t *Table) Knows(id string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.workers[id] != nil
}

// Usable reports whether the pool has a worker for new requests.
func (t *Table) Usable(pool string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, candidate := range t.pools[pool] {
		if candidate.usable() {
			return true
		}
	}
	return false
}

// Demand describes a request to the choice.
type Demand struct {
	Pool string
	// Exclude names workers that were tried already.
	Exclude map[string]bool
	Parts   []dialect.Part
	// PromptTokens is the length of the prompt.
	PromptTokens int64
	// Batch is set for items of jobs. They start where the planner of all items
	// lets them; while it is not heard, they take at most BatchShare hundredths of
	// the slots.
	Batch      bool
	BatchShare int
}

// Lease is a place of a request at a worker; it must be released.
type Lease struct {
	Endpoint upstream.Endpoint
	Zone     string
	// Wait is how long the request is predicted to wait for a slot, Slow how many
	// times as long as elsewhere the worker takes.
	Wait     time.Duration
	Slow     float64
	table    *Table
	worker   *worker
	unread   int64
	batch    bool
	begun    bool
	stopping bool
	released bool
}

// Acquire chooses a worker, or returns nil if there is none.
func (t *Table) Acquire(now time.Time, demand *Demand) *Lease {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	chosen := t.choose(now, demand, false)
	if chosen == nil {
		chosen = t.choose(now, demand, true)
	}
	if chosen == nil {
		return nil
	}
	lease := &Lease{
		Wait:     t.waitAt(now, chosen),
		Slow:     chosen.slowness(now),
		Endpoint: upstream.Endpoint{ID: chosen.listed.ID, Address: chosen.listed.Address},
		Zone:     chosen.listed.Zone,
		table:    t,
		worker:   chosen,
		batch:    demand.Batch,
		unread:   demand.PromptTokens - t.cachedTokens(chosen, demand),
	}
	t.acquired++
	chosen.inFlight++
	chosen.unread += lease.unread
	if demand.Batch {
		chosen.batch++
		chosen.starts = max(chosen.starts-1, 0)
	}
	chosen.remember(shared(demand.Parts))
	return lease
}

// choose takes the best of some workers; suspects count only if allowed.
func (t *Table) choose(now time.Time, demand *Demand, suspects bool) *worker {
	avoid := !suspects && !t.mostFail(now, demand.Pool)
	fit := t.fit[:0]
	for _, candidate := range t.pools[demand.Pool] {
		if t.admits(now, candidate, demand, suspects) && !(avoid && candidate.failing(now)) {
			fit = append(fit, candidate)
		}
	}
	t.fit = fit
	t.findHomes(demand, fit)
	return t.best(now, demand, t.drawn(now, demand, fit))
}

// best returns the worker of the least cost, by lot among equals.
func (t *Table) best(now time.Time, demand *Demand, fit []*worker) *worker {
	var best *worker
	bestCost, equals := 0.0, 0
	for _, candidate := range fit {
		cost := t.cost(now, candidate, demand)
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

func (t *Table) admits(now time.Time, candidate *worker, demand *Demand, suspects bool) bool {
	if !candidate.usable() || demand.Exclude[candidate.listed.ID] {
		return false
	}
	if !suspects && now.Before(candidate.suspectUntil) {
		return false
	}
	return !demand.Batch || candidate.admitsBatch(now, demand.BatchShare, t.memoryOf(demand.Pool))
}

// Begun takes in that the worker has read the prompt.
func (l *Lease) Begun() {
	l.table.mutex.Lock()
	defer l.table.mutex.Unlock()
	l.begin()
}

func (l *Lease) begin() {
	if !l.begun {
		l.begun = true
		l.worker.unread -= l.unread
	}
}

// Release gives the place back.
func (l *Lease) Release() {
	l.table.mutex.Lock()
	defer l.table.mutex.Unlock()
	if l.released {
		return
	}
	l.released = true
	l.begin()
	l.worker.inFlight--
	if l.batch {
		l.worker.batch--
	}
	if l.stopping {
		l.worker.stopping--
	}
}

// Stop reports whether the item is to stop as one of those that the planner of all
// items wants stopped. It is about to give its place back then.
func (l *Lease) Stop() bool {
	l.table.mutex.Lock()
	defer l.table.mutex.Unlock()
	if l.released || l.stopping || l.worker.stops == 0 {
		return false
	}
	l.stopping = true
	l.worker.stopping++
	l.worker.stops--
	return true
}

// Suspect takes in that the worker gave no answer.
func (l *Lease) Suspect(now time.Time) {
	l.table.mutex.Lock()
	defer l.table.mutex.Unlock()
	l.worker.suspectUntil = now.Add(suspectTime)
	l.worker.failed++
}

// Refuse takes in that the incarnation is no longer at the address, or leaves.
func (l *Lease) Refuse() {
	l.table.mutex.Lock()
	defer l.table.mutex.Unlock()
	l.worker.refused = true
}
