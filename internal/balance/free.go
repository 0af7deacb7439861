package balance

import (
	"math"
	"time"

	"github.com/sedgemast/sedgemast/internal/loadshare"
)

const (
	// PollInterval is the time between two looks for room of a process where something waits.
	PollInterval = 10 * time.Millisecond
	// unseenTime is for how long others of the zone don't see a choice: until it is told, and
	// until an answer that was on its way before has been used.
	unseenTime = 1500 * time.Microsecond
	// retakeTime is how long a slot is free at most where somebody waits for one in its zone:
	// until the next look for room, and for what is asked and told then.
	retakeTime = 2 * PollInterval
	// reservedParts is the part of the slots, one in so many, that is left at most for those who
	// are about to take what is given back.
	reservedParts = 8
)

// SearchOptions says how room is looked for.
type SearchOptions struct {
	// Peers is how many processes of all zones choose workers, this one included.
	Peers int
	// ReleasedWorker is the worker at which this process has just given a slot back, if any: nobody
	// else has been told of that slot.
	ReleasedWorker string
}

// Candidate is the worker that Look chose for one request, and what is known of it. It holds no
// slot; Take makes a lease of it. (batchroom.Place is another thing: a worker, as the planner of
// items sees it.)
type Candidate struct {
	// Worker is the worker's id, Slow how many times as long as elsewhere it takes.
	Worker   string
	Slowness float64
	// Full is set where online requests hold all slots of the worker. Wait is how long one
	// more is predicted to wait for one in the mean, WaitMost in nearly all cases; both are
	// zero if that is unknown.
	Full    bool
	Wait    time.Duration
	MaxWait time.Duration
	// Spare is set where more slots are free than those who wait elsewhere are about to
	// take, LeftToOthers where one is free and is left to others by lot.
	Spare       bool
	LeftToPeers bool
	// PeerLoadAge is how old the news of the others is that this rests on, negative where there
	// is none.
	PeerLoadAge time.Duration

	worker *worker
	// probe is set where the hub lets a request probe the worker, which is avoided.
	probe bool
}

// FindCandidate chooses a worker for a request that can wait at this process instead: as Acquire does,
// but one that has a slot free for online requests before any other. Where few slots are
// free, all processes see the same ones; so a request takes one by lot, and leaves it to
// others otherwise. Slots of other zones are known by older news, and are drawn for as well.
// It returns nil if there is no worker.
func (t *Table) FindCandidate(now time.Time, demand *Request, search SearchOptions) *Candidate {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.see(now)
	t.readmit(now)
	known := t.pools[demand.Pool]
	if known == nil {
		return nil
	}
	t.cold = t.isCold(now)
	chosen := t.freeProbe(now, demand)
	probe := chosen != nil
	if chosen == nil {
		chosen = t.chooseGiven(now, demand, search.ReleasedWorker)
	}
	if chosen == nil {
		chosen = t.chooseBySlots(now, demand, known, search.Peers)
	}
	if chosen == nil {
		return nil
	}
	choice := &Candidate{
		Worker:      chosen.listed.ID,
		Slowness:    t.slownessOf(now, chosen),
		Full:        !t.hasFree(now, chosen),
		Wait:        t.waitAt(now, chosen),
		MaxWait:     t.waitMostAt(now, chosen),
		PeerLoadAge: t.newsAge(now, chosen),
		worker:      chosen,
		probe:       probe,
	}
	switch {
	case probe:
		// The hub has let one request go there: nobody else is about to.
		choice.Spare = true
	case !choice.Full:
		t.weigh(now, demand, known, choice, search)
	}
	return choice
}

// weigh finds out whether a free slot is to spare, and whether it is left to others.
func (t *Table) weigh(now time.Time, demand *Request, known *pool, choice *Candidate, search SearchOptions) {
	if t.slotsOf(choice.worker) <= 0 {
		// Nothing says how many slots there are to wait for.
		choice.Spare = true
		return
	}
	if t.away(choice.worker) > 0 {
		choice.Spare = t.farSlots(now, demand, known) > reserved(known.farRate, known.slots-known.nearSlots)
		choice.LeftToPeers = len(known.near) == 0 && !t.drawsFar(now, demand, known, search.Peers)
		return
	}
	near := t.nearSlots(now, demand, known)
	choice.Spare = near > reserved(known.nearRate, known.nearSlots)
	choice.LeftToPeers = choice.Worker != search.ReleasedWorker && !mostFree(near, known.nearSlots) && t.leavesByLot(near, known.nearPeers(search.Peers))
}

// mostFree reports whether more than half of the slots are free: then nobody waits, and who would
// leave one to others by lot would wait beside it.
func mostFree(free float64, slots int) bool { return 2*free > float64(slots) }

// nearPeers returns how many of the processes look for the same slots of a zone as this one does:
// where they stand is not known, so each zone that has workers is taken to have as many.
func (p *pool) nearPeers(peers int) float64 {
	return max(float64(peers)/float64(max(len(p.zoneSlots), 1)), 1)
}

// retaken returns how many slots are free at a moment because those who wait have not taken
// them yet, where so many requests are answered in ten seconds.
func retaken(rate int) float64 { return float64(rate) / rateSeconds * retakeTime.Seconds() }

// reserved returns how many free slots are left for those who wait for them: what comes and goes,
// but where slots are held for a moment only that may be all there are, and then nobody else would
// ever find one to spare.
func reserved(rate, slots int) float64 {
	return min(retaken(rate), float64(slots)/reservedParts)
}

// AcquireCandidate gives the request a lease of the worker that Look chose a moment ago.
func (t *Table) AcquireCandidate(now time.Time, demand *Request, choice *Candidate) *Lease {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if choice.probe {
		t.removeProbe(choice.worker)
	}
	return t.lease(now, choice.worker, demand)
}

// freeProbe returns an avoided worker that the request is to probe, if a slot is free there.
func (t *Table) freeProbe(now time.Time, demand *Request) *worker {
	probed := t.findProbe(now, demand)
	if probed == nil || !t.hasFree(now, probed) {
		return nil
	}
	return probed
}

// chooseGiven returns the worker at which a slot was given back, if it may be taken.
func (t *Table) chooseGiven(now time.Time, demand *Request, id string) *worker {
	given := t.workers[id]
	if given == nil || given.listed.Pool != demand.Pool || !t.hasSlotFor(now, demand, given) {
		return nil
	}
	return given
}

// hasSlotFor reports whether the demand may go to a free slot of the worker.
func (t *Table) hasSlotFor(now time.Time, demand *Request, w *worker) bool {
	return t.hasFree(now, w) && t.admits(now, w, demand, false) && !t.failing(now, w)
}

// chooseBySlots chooses a worker, one with a slot free if there is any.
func (t *Table) chooseBySlots(now time.Time, demand *Request, known *pool, peers int) *worker {
	t.nearOnly = len(known.near) > 0 && !t.drawsFar(now, demand, known, peers)
	chosen := t.choose(now, demand, false)
	if chosen == nil || !t.hasFree(now, chosen) {
		if free := t.chooseFree(now, demand, known); free != nil {
			chosen = free
		}
	}
	t.nearOnly = false
	if chosen == nil {
		chosen = t.choose(now, demand, false)
	}
	if chosen == nil {
		chosen = t.choose(now, demand, true)
	}
	return chosen
}

// leavesByLot decides whether one of so many free slots is left to others: within the time
// in which a choice is not seen, more of the peers than that may look for one.
func (t *Table) leavesByLot(slots, peers float64) bool {
	looking := 1 + (peers-1)*float64(unseenTime)/float64(PollInterval)
	return t.random.Float64()*looking > slots
}

// drawsFar decides by lot whether the request may go to another zone: within the age of the
// news of it as many of the peers as there are slots to spare, and all while most are free.
func (t *Table) drawsFar(now time.Time, demand *Request, known *pool, peers int) bool {
	passed := min(now.Sub(known.farDrawn), loadshare.Interval)
	known.farDrawn = now
	free := t.farSlots(now, demand, known)
	if math.IsInf(free, 1) || mostFree(free, known.slots-known.nearSlots) {
		return true
	}
	slots := free - reserved(known.farRate, known.slots-known.nearSlots)
	chance := slots / float64(max(peers, 1)) * float64(passed) / float64(loadshare.Interval)
	return t.random.Float64() < chance
}

// nearSlots returns how many slots are free in the zone, as many as it likes where nothing is
// known of what the others have.
func (t *Table) nearSlots(now time.Time, demand *Request, known *pool) float64 {
	t.compared = t.compared[:0]
	if freshAt(now, later(t.allAt, t.nearAt)) {
		t.drawGroup(known.near, mostCompared, anyWorker)
	} else if t.drawTold(now, demand.Pool, 0, 0, anyWorker) == 0 {
		return math.Inf(1)
	}
	return t.freeSlots(now, demand, len(known.near))
}

// farSlots returns how many slots are free in other zones.
func (t *Table) farSlots(now time.Time, demand *Request, known *pool) float64 {
	t.compared = t.compared[:0]
	if freshAt(now, t.allAt) {
		t.drawGroup(known.far, mostCompared, anyWorker)
	} else if t.drawTold(now, demand.Pool, 1, 0, anyWorker) == 0 {
		return math.Inf(1)
	}
	return t.freeSlots(now, demand, len(known.far))
}

func anyWorker(*worker) bool { return true }

// freeSlots returns how many slots so many workers have free, by those that are compared.
func (t *Table) freeSlots(now time.Time, demand *Request, all int) float64 {
	if len(t.compared) == 0 {
		return 0
	}
	slots := 0
	for _, w := range t.compared {
		if t.hasSlotFor(now, demand, w) {
			own := t.slotsOf(w)
			slots += max(own, 1) - min(t.onlineAt(now, w), own)
		}
	}
	return float64(slots) * float64(all) / float64(len(t.compared))
}

// chooseFree chooses among the workers with a slot free. Unlike choose it leaves none out of
// a pool that is not larger than what is compared at most, so that nobody is kept waiting
// beside a free slot by lot alone.
func (t *Table) chooseFree(now time.Time, demand *Request, known *pool) *worker {
	fit := func(w *worker) bool { return t.hasSlotFor(now, demand, w) }
	t.findHomes(demand, fit)
	t.compared = t.compared[:0]
	t.drawFree(now, demand.Pool, known, fit)
	return t.pick(now, known, demand)
}

// drawFree takes the fit workers to compare. Where news tells of some workers only, the
// others look idle and are left out, unless nothing is known of any.
func (t *Table) drawFree(now time.Time, name string, known *pool, fit func(w *worker) bool) {
	nearKnown := freshAt(now, later(t.allAt, t.nearAt))
	if nearKnown {
		t.drawGroup(known.near, mostCompared, fit)
	} else {
		t.drawTold(now, name, 0, 0, fit)
	}
	if t.nearOnly {
		return
	}
	if freshAt(now, t.allAt) {
		t.drawGroup(known.far, mostCompared, fit)
		return
	}
	t.drawTold(now, name, 1, 0, fit)
	if !nearKnown && !t.hearsOf(now, name) {
		t.drawGroup(known.near, mostCompared, fit)
		t.drawGroup(known.far, mostCompared, fit)
	}
}

// hearsOf reports whether news of any worker of the pool is fresh.
func (t *Table) hearsOf(now time.Time, name string) bool {
	for _, candidate := range t.told {
		if candidate.listed.Pool == name && t.fresh(now, candidate) {
			return true
		}
	}
	return false
}

// hasFree reports whether the worker has a slot that no online request holds. Items of jobs
// give theirs back. Where the number of slots is not known, it always has one.
func (t *Table) hasFree(now time.Time, w *worker) bool {
	slots := t.slotsOf(w)
	return slots <= 0 || t.onlineAt(now, w) < slots
}

// newsAge returns how old the news is of what others have at the worker, negative where
// there is none.
func (t *Table) newsAge(now time.Time, w *worker) time.Duration {
	if !t.fresh(now, w) {
		return -1
	}
	return now.Sub(t.othersAt(w))
}

// Throughput returns how many online requests a second the pool's workers can take of this
// process, one of so many peers: an equal part of what they can take at all, or what it has there now,
// if that is more. It is zero where it is unknown how long a request holds a slot.
func (t *Table) Throughput(pool string, peers int) float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.pools[pool]
	if known == nil || known.hold <= 0 {
		return 0
	}
	own := 0
	for _, w := range t.busy {
		if w.listed.Pool == pool {
			own += w.inFlight - w.batch
		}
	}
	slots := max(float64(known.slots)/float64(max(peers, 1)), float64(min(own, known.slots)))
	return slots / known.hold.Seconds()
}
