// Package fleetsim simulates coordinators and stores in virtual time, driven by a seed. It runs the
// same code as the daemons: replication over storage that loses unsynced writes, fleetstate,
// fleetview and batchstate. Machines are killed, lose power or their disks, freeze, are cut off,
// replaced and added. Simulated callers, operators and readers check what they were promised.
package fleetsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sedgemast/sedgemast/internal/origin"
	"github.com/sedgemast/sedgemast/internal/quarantine"
)

// World is the state of one simulation run.
type World struct {
	random *rand.Rand
	// extraRandom supplies the random numbers of suspensions, edges and builds. It is separate from
	// random, so that the other faults of a seed come at the same moments with and without
	// suspensions, edges and builds.
	extraRandom *rand.Rand
	// restartRandom supplies the random numbers of the simultaneous restarts of all coordinators, in
	// seeds with fastRestarts.
	restartRandom *rand.Rand
	fastRestarts  bool
	// versionRandom supplies the random worker versions of items.
	versionRandom *rand.Rand
	// streamRandom supplies the random numbers of streams. lastStream is the last stream begun.
	streamRandom *rand.Rand
	lastStream   origin.Key
	streamCounts streamCounts
	mutation     Mutation
	now          time.Time
	events       eventQueue
	sequence     uint64
	machines     []*machine
	ledger       *ledger
	lastID       uint64
	// nextLossAt is the earliest time at which another disk may be lost.
	nextLossAt time.Time
	healed     bool
	// fullMeshLimit is the replication.Options.FullMeshLimit of the stores. In every other seed it
	// is 1, so that the stores exchange hellos with few peers, as in a large fleet.
	fullMeshLimit int
	edges         []*edge
	workers       []*simWorker
	// fixedIDs is set in every fourth seed: there are few workers, which restart under their ids.
	fixedIDs bool
	// twoBuilds is set in two of eight seeds: the coordinators start on a build of the first
	// generation, the stores on one that doesn't know saved progress. They are upgraded one after the
	// other, and one of each is downgraded again for a while.
	twoBuilds bool
	// promptParts is set in every sixth seed: there are requests with parts in their prompts, and one
	// part makes workers exit. partRandom supplies their random numbers, lastRequest counts them.
	promptParts bool
	partRandom  *rand.Rand
	lastRequest quarantine.Fingerprint
	crashCounts [kindCount]crashCount
	// pool are the workers of the pool from which workers leave, leaveRandom supplies their random
	// numbers. losesLeaders is set in every seventh seed: the leader is lost when a worker leaves.
	pool           []*poolWorker
	lastPoolWorker int
	leaveRandom    *rand.Rand
	losesLeaders   bool
	listCounts     listCounts
	// owedPool are the workers of items, in some seeds, see startOwed. owedRandom supplies their
	// random numbers.
	owedPool   []*simWorker
	owedRandom *rand.Rand
	bursts     burstPlan
	owedCounts owedCounts
	runners    []*runner
	// answerRandom supplies the random numbers of requests whose workers may fail in any way.
	answerRandom *rand.Rand
	answerCounts answerCounts
	// verdicts is set in two of nine seeds, see startVerdicts.
	verdicts *verdicts
	// Log holds the injected faults with their times, to be printed with the violations of a
	// seed.
	Log []string
}

// event is an action that runs at a point in virtual time.
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

// after schedules an action after the given virtual time.
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

// randomDuration returns a random duration of at least least and less than most.
func (w *World) randomDuration(least, most time.Duration) time.Duration {
	return randomDuration(w.random, least, most)
}

func randomDuration(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

func (w *World) log(format string, arguments ...any) {
	w.Log = append(w.Log, fmt.Sprintf("%8.3f ", w.now.Sub(startTime).Seconds())+fmt.Sprintf(format, arguments...))
}

var startTime = time.Unix(1_000_000, 0)

const (
	coordinators      = 5
	stores            = 3
	toleratedFailures = 1
	// The last fault starts before faultsUntil. All faults are repaired at healAt, and the promises
	// are checked for the last time at endAt.
	faultsFrom  = 3 * time.Second
	faultsUntil = 32 * time.Second
	healAt      = 36 * time.Second
	endAt       = 50 * time.Second
)

// Run simulates a seed with a mutation and returns the world and the violations found.
func Run(seed uint64, mutation Mutation) (*World, []string) {
	w := &World{random: rand.New(rand.NewPCG(seed, 7)), extraRandom: rand.New(rand.NewPCG(seed, 8)), restartRandom: rand.New(rand.NewPCG(seed, 9)), fastRestarts: seed%5 == 2, versionRandom: rand.New(rand.NewPCG(seed, 10)), streamRandom: rand.New(rand.NewPCG(seed, 11)), partRandom: rand.New(rand.NewPCG(seed, 12)), promptParts: seed%6 == 5, leaveRandom: rand.New(rand.NewPCG(seed, 13)), losesLeaders: seed%7 == 1, mutation: mutation, now: startTime, fixedIDs: seed%4 == 2, twoBuilds: seed%8 == 1 || seed%8 == 3}
	if seed%2 == 1 {
		w.fullMeshLimit = 1
	}
	w.ledger = newLedger(w)
	for i := 1; i <= coordinators; i++ {
		w.add(kindCoordinator, true)
	}
	for i := 1; i <= stores; i++ {
		w.add(kindStore, true)
	}
	w.nextLossAt = startTime.Add(faultsFrom)
	w.ledger.start()
	w.startFaults()
	w.startEdges()
	w.startStreams()
	w.startUpgrades()
	w.startRestarts()
	w.startLeaving()
	w.startVerdicts(seed)
	w.startOwed(seed)
	w.startAnswers(seed)
	w.after(healAt, w.heal)
	end := startTime.Add(endAt)
	for w.events.Len() > 0 {
		next := heap.Pop(&w.events).(*event)
		if next.at.After(end) {
			break
		}
		w.now = next.at
		next.action()
	}
	w.now = end
	w.ledger.checkFinalState()
	w.checkSameState()
	return w, w.ledger.violations
}
