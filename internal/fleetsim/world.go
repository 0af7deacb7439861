// Package fleetsim runs coordinators and stores in virtual time, by seed, with the
// cores that the daemons run: replication over storage that loses what was not
// synced, fleetstate, fleetview and batchstate. Machines are killed, lose power or
// their disks, freeze, are cut off, replaced and added; callers, operators and
// readers check what was promised to them.
package fleetsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// World is one run.
type World struct {
	random *rand.Rand
	// luck draws what random did not draw from the start, so that a seed's other faults
	// come at the same moments.
	luck *rand.Rand
	// restarts draws when coordinators begin anew at once, which happens in each fifth seed.
	restarts     *rand.Rand
	manyRestarts bool
	mutation     Mutation
	now          time.Time
	events       eventQueue
	sequence     uint64
	machines     []*machine
	ledger       *ledger
	identity     uint64
	// lossSafeAt is when a further disk may be lost.
	lossSafeAt time.Time
	healed     bool
	// greetAll is the stores' replication.Options.GreetAll: in every other seed they
	// say hello as few do in a large fleet.
	greetAll int
	edges    []*edge
	workers  []*simWorker
	// sameIDs is set in each fourth seed: few workers, which start again under their ids.
	sameIDs bool
	// twoBuilds is set in each fourth seed, too: the coordinators begin on a build of the
	// first generation and are replaced one after the other; one goes back for a while.
	twoBuilds bool
	// deadlySent, deadlyEnds and deadlyLate count how often the deadly request was sent to
	// workers, those that ended under it, and what edges in touch sent later than contact
	// after thirdEnd.
	deadlySent, deadlyEnds, deadlyLate int
	thirdEnd                           time.Time
	// Log holds the faults and what was done, for a failing seed.
	Log []string
}

// event is something that happens at a moment.
type event struct {
	at       time.Time
	sequence uint64
	action   func()
}

type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(a, b int) bool {
	if !q[a].at.Equal(q[b].at) {
		return q[a].at.Before(q[b].at)
	}
	return q[a].sequence < q[b].sequence
}

func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

// Push implements heap.Interface.
func (q *eventQueue) Push(added any) { *q = append(*q, added.(*event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	*q = (*q)[:last]
	return popped
}

func (w *World) after(wait time.Duration, action func()) {
	w.sequence++
	heap.Push(&w.events, &event{at: w.now.Add(wait), sequence: w.sequence, action: action})
}

// every repeats an action until it returns false.
func (w *World) every(interval time.Duration, action func() bool) {
	w.after(interval, func() {
		if action() {
			w.every(interval, action)
		}
	})
}

// between returns a random time.
func (w *World) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)))
}

func (w *World) log(format string, arguments ...any) {
	w.Log = append(w.Log, fmt.Sprintf("%8.3f ", w.now.Sub(began).Seconds())+fmt.Sprintf(format, arguments...))
}

var began = time.Unix(1_000_000, 0)

const (
	coordinators = 5
	stores       = 3
	tolerate     = 1
	// faultsUntil is when the last fault begins, healAt when all is mended, and
	// endAt when the promises are checked for the last time.
	faultsFrom  = 3 * time.Second
	faultsUntil = 32 * time.Second
	healAt      = 36 * time.Second
	endAt       = 50 * time.Second
)

// Run runs a seed and returns the violations found.
func Run(seed uint64, mutation Mutation) (*World, []string) {
	w := &World{random: rand.New(rand.NewPCG(seed, 7)), luck: rand.New(rand.NewPCG(seed, 8)), restarts: rand.New(rand.NewPCG(seed, 9)), manyRestarts: seed%5 == 2, mutation: mutation, now: began, sameIDs: seed%4 == 2, twoBuilds: seed%8 == 1 || seed%8 == 3}
	if seed%2 == 1 {
		w.greetAll = 1
	}
	w.ledger = newLedger(w)
	for i := 1; i <= coordinators; i++ {
		w.add(kindCoordinator, true)
	}
	for i := 1; i <= stores; i++ {
		w.add(kindStore, true)
	}
	w.lossSafeAt = began.Add(faultsFrom)
	w.ledger.begin()
	w.beginFaults()
	w.beginEdges()
	w.beginBuilds()
	w.beginRestarts()
	w.after(healAt, w.heal)
	end := began.Add(endAt)
	for w.events.Len() > 0 {
		next := heap.Pop(&w.events).(*event)
		if next.at.After(end) {
			break
		}
		w.now = next.at
		next.action()
	}
	w.now = end
	w.ledger.finish()
	w.checkAlike()
	return w, w.ledger.violations
}
