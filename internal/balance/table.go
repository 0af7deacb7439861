package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/upstream"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

// Table holds the workers of all pools. What it does for a choice, for news of loads and
// for a change of the list grows with what these name, not with the list.
type Table struct {
	mutex  sync.Mutex
	random *rand.Rand
	zone   string
	// set is the list taken in last.
	set     *workerset.Set
	workers map[string]*worker
	byHash  map[uint32]*worker
	pools   map[string]*pool
	// memory is how many tokens a worker of a pool holds.
	memory map[string]int64
	// allAt and nearAt are when news last told of all workers, or of all of the zone.
	allAt  time.Time
	nearAt time.Time
	// busy lists the workers that this process has something at or something to tell of,
	// told those that others told of, ordered those with orders of the planner of items.
	busy    []*worker
	told    []*worker
	ordered []*worker
	// rest is how many online requests workers that nothing was told of answer in ten seconds.
	rest int
	// suspects lists those that gave this process no answer, until their time is over.
	suspects []*worker
	// refusals lists those at whose address another worker answered, until their time is over.
	refusals []*worker
	// probes holds the avoided workers to which a request may go to learn whether they are
	// well, as the hub told at probesAt.
	probes   []uint32
	probesAt time.Time
	// steps is scratch space of middleStep.
	steps []uint32
	// compared is scratch space of choose.
	compared []*worker
	// homes are the homes of the prompt that is being placed. cold is set while they count
	// for nothing.
	homes []*worker
	cold  bool
	// telling holds when a worker of a pool told its pace last, newest is the newest time that
	// a caller has told.
	telling map[string]time.Time
	newest  time.Time
	// fewer holds the listed workers that told fewer slots than the list says.
	fewer map[*worker]bool
	// doubts holds workers that tell other slots than the list says, until they are taken.
	doubts []SlotMismatch
	// scoring is how workers are compared.
	scoring scoring
	// nearOnly is set while the workers of other zones are left out of a choice.
	nearOnly bool
	// acquired counts the leases ever given.
	acquired uint64
	// beganAt is when a process began to choose that may have begun with many others.
	beganAt time.Time
}

// NewTable returns an empty table of a process in the zone.
func NewTable(zone string, random *rand.Rand) *Table {
	return &Table{zone: zone, random: random, workers: map[string]*worker{}, byHash: map[uint32]*worker{}, pools: map[string]*pool{}, memory: map[string]int64{}, telling: map[string]time.Time{}, fewer: map[*worker]bool{}}
}

// Update takes in the list of workers and how many tokens the workers of each pool hold.
// A worker that is gone from the list takes no new requests; what runs there goes on.
func (t *Table) Update(set *workerset.Set, memory map[string]int64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.memory = memory
	set.Diff(t.set, t.join, t.drop)
	t.set = set
}

// join takes in a worker that is new in the list, or listed otherwise than before.
func (t *Table) join(row *wire.PoolWorker) {
	known := t.workers[row.ID]
	if known == nil {
		hash := loadshare.WorkerHash(row.ID)
		known = &worker{hash: hash, point: mix(uint64(hash))}
		t.workers[row.ID], t.byHash[hash] = known, known
	} else {
		t.pools[known.listed.Pool].leave(t, known)
	}
	if known.listed.Address != row.Address && !known.refusedUntil.IsZero() {
		// It was another address at which another worker answered.
		known.refused = false
	}
	// Leaving is final in a life: a list that lags may contradict it.
	leaving := row.Leaving || known.listed.Leaving
	known.listed = *row
	known.listed.Leaving = leaving
	t.noteFewer(known)
	if t.pools[row.Pool] == nil {
		t.pools[row.Pool] = &pool{}
	}
	if known.usable() {
		t.pools[row.Pool].enter(t, known)
	}
}

// drop takes out a worker that left the list.
func (t *Table) drop(row *wire.PoolWorker) {
	known := t.workers[row.ID]
	if known == nil {
		return
	}
	t.pools[known.listed.Pool].leave(t, known)
	delete(t.workers, row.ID)
	delete(t.fewer, known)
	if t.byHash[known.hash] == known {
		delete(t.byHash, known.hash)
	}
	known.refused = true
}

// Start takes in that this process begins to choose, as perhaps many others do that know no
// more than it does.
func (t *Table) Start(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.beganAt = now
}

// AcquiredCount returns how many leases have been given so far.
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
	return t.pools[pool].usable() > 0
}

// Request describes a request to the choice.
type Request struct {
	Pool string
	// Exclude names workers that were tried already.
	Exclude map[string]bool
	Parts   []httpheader.Part
	// PromptTokens is the length of the prompt.
	PromptTokens int64
	// Batch is set for items of jobs. They start where the planner of all items
	// lets them; while it is not heard, they take at most BatchShare hundredths of
	// the slots.
	Batch      bool
	BatchShare int
	// Repeatable is set for an online request that may run more than once. It may be sent to
	// an avoided worker to learn whether that is well again.
	Repeatable bool
	// NoProbe is set for an item that has failed as a probe: it may be what the workers fail at.
	NoProbe bool
	// LastWorker names the worker that an item ran at before, which it returns to if it may.
	LastWorker string
}

// Lease is a place of a request at a worker; it must be released.
type Lease struct {
	Endpoint upstream.Endpoint
	Zone     string
	// Wait is how long the request is predicted to wait for a slot, Slow how many
	// times as long as elsewhere the worker takes.
	Wait     time.Duration
	Slowness float64
	// ByPredictedTime is set where workers were compared by predicted times. Slow then is what the
	// worker was seen to take, however near to that of the others; without it Slow is 1 below
	// slowFrom.
	ByPredictedTime bool
	table           *Table
	worker          *worker
	unread          int64
	batch           bool
	begun           bool
	stopping        bool
	released        bool
	// probe is set where the worker was avoided when it was chosen, proven once it has shown
	// that it is well.
	probe  bool
	proven bool
}

// Acquire chooses a worker, or returns nil if there is none.
func (t *Table) Acquire(now time.Time, demand *Request) *Lease {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.see(now)
	t.readmit(now)
	t.cold = t.isCold(now)
	chosen := t.takeProbe(now, demand)
	if chosen == nil {
		chosen = t.lastOf(now, demand)
	}
	if chosen == nil {
		chosen = t.choose(now, demand, false)
	}
	if chosen == nil {
		chosen = t.choose(now, demand, true)
	}
	if chosen == nil {
		return nil
	}
	return t.lease(now, chosen, demand)
}

// lease gives a place at the worker to the request.
func (t *Table) lease(now time.Time, chosen *worker, demand *Request) *Lease {
	lease := &Lease{
		Wait:            t.waitAt(now, chosen),
		Slowness:        t.slownessOf(now, chosen),
		ByPredictedTime: t.byTimes(chosen.listed.Pool),
		Endpoint:        upstream.Endpoint{ID: chosen.listed.ID, Address: chosen.listed.Address},
		Zone:            chosen.listed.Zone,
		table:           t,
		worker:          chosen,
		batch:           demand.Batch,
		unread:          demand.PromptTokens - t.cachedTokens(chosen, demand),
		probe:           t.failing(now, chosen),
	}
	if lease.probe {
		chosen.probing++
	}
	t.acquired++
	t.occupy(chosen)
	chosen.inFlight++
	chosen.unread += lease.unread
	if demand.Batch {
		chosen.batch++
		chosen.starts = max(chosen.starts-1, 0)
	}
	chosen.remember(shared(demand.Parts))
	return lease
}

// best returns the worker of the least cost, by lot among equals.
func (t *Table) best(now time.Time, demand *Request, fit []*worker) *worker {
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

func (t *Table) admits(now time.Time, candidate *worker, demand *Request, suspects bool) bool {
	if !candidate.usable() || demand.Exclude[candidate.listed.ID] {
		return false
	}
	if !suspects && now.Before(candidate.suspectUntil) {
		return false
	}
	return !demand.Batch || t.admitsBatch(now, candidate, demand.BatchShare)
}

// occupy keeps the worker among those that this process has something at.
func (t *Table) occupy(w *worker) {
	if !w.busy {
		w.busy = true
		t.busy = append(t.busy, w)
	}
}

// suspect takes in that the worker gave no answer.
func (t *Table) suspect(now time.Time, w *worker) {
	t.suspected(now)
	if w.suspectUntil.IsZero() {
		t.suspects = append(t.suspects, w)
	}
	w.suspectUntil = now.Add(suspectTime)
}

// refuse takes in that another worker is at the address.
func (t *Table) refuse(now time.Time, w *worker) {
	if !w.refused {
		t.refusals = append(t.refusals, w)
	}
	w.refused, w.refusedUntil = true, now.Add(refusedTime)
	if known := t.pools[w.listed.Pool]; known != nil {
		known.leave(t, w)
	}
}

// readmit lets those that were refused a while ago be chosen again.
func (t *Table) readmit(now time.Time) {
	if len(t.refusals) == 0 {
		return
	}
	t.refusals = slices.DeleteFunc(t.refusals, func(w *worker) bool {
		if now.Before(w.refusedUntil) {
			return false
		}
		if !w.gone(t) {
			w.refused = false
			if w.usable() && !w.entered {
				t.pools[w.listed.Pool].enter(t, w)
			}
		}
		return true
	})
}

// RecordPrefill takes in that the worker has read the prompt.
func (l *Lease) RecordPrefill() {
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
	if l.probe {
		l.worker.probing--
	}
}

// ShouldStop reports whether the item is to stop as one of those that the planner of all
// items wants stopped. It is about to give its place back then.
func (l *Lease) ShouldStop() bool {
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

// RecordNoAnswer takes in that the worker gave no answer.
func (l *Lease) RecordNoAnswer(now time.Time) {
	l.table.mutex.Lock()
	defer l.table.mutex.Unlock()
	l.table.suspect(now, l.worker)
	l.table.occupy(l.worker)
	l.worker.failed++
	if l.probe {
		l.worker.silent++
	}
}

// RecordWrongWorker takes in that another worker is at the address.
func (l *Lease) RecordWrongWorker(now time.Time) {
	l.table.mutex.Lock()
	defer l.table.mutex.Unlock()
	l.table.refuse(now, l.worker)
}
