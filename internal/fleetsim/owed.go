package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

const (
	owedItems   = 24
	owedParts   = 3
	owedWorkers = 4
	runners     = 2
	// owedBound is the longest time from the last burst to the end of the last item.
	owedBound = 15 * time.Second
	// runnerKillAt is when a runner loses all that it knew.
	runnerKillAt   = 28 * time.Second
	planInterval   = 100 * time.Millisecond
	firstOwed      = quarantine.Fingerprint(1 << 40)
	firstOwedPart  = quarantine.Fingerprint(1 << 41)
	owedRunTime    = 1500 * time.Millisecond
	trialRetryTime = 250 * time.Millisecond
)

// burstPlan says when items are handed in, and how many of their workers exit how often, whatever they run.
type burstPlan struct {
	itemsAt, from, until, interval time.Duration
	exits                          int
	// restartDelay is how long each worker is down, zero for as long as others.
	restartDelay time.Duration
	// commonPart gives the prompts of all items one more part.
	commonPart bool
}

var (
	// halfBursts break off many runs.
	halfBursts = burstPlan{itemsAt: 23 * time.Second, from: 24 * time.Second, until: 30 * time.Second, interval: 700 * time.Millisecond, exits: owedWorkers / 2}
	// idleBursts go on for long after a part of all items is refused, so that only trials run.
	idleBursts = burstPlan{itemsAt: 17800 * time.Millisecond, from: 18 * time.Second, until: 33 * time.Second, interval: 450 * time.Millisecond, exits: owedWorkers - 1, restartDelay: 400 * time.Millisecond, commonPart: true}
)

// owedItem is an item of a batch job, which no worker exits under by itself.
type owedItem struct {
	number  int
	subject *quarantine.Subject
	done    bool
	// run is the item's present run, nil if it waits. paced is set while the run counts for the pacer.
	run     *simRun
	paced   bool
	held    *quarantine.HeldItem
	granted bool
	retryAt time.Time
}

// runner is the process that runs items. What it knows of exits is lost when it is killed.
type runner struct {
	*edge
	pacer quarantine.Pacer
	items []*owedItem
	// pacedRunning and pacedWell count the paced items that run, and those that ran well since the last
	// exit.
	pacedRunning, pacedWell int
}

// startOwed starts the items, and the bursts in which workers exit under them.
func (w *World) startOwed(seed uint64) {
	switch {
	case seed%9 == 8 || seed%11 == 3:
		w.bursts = halfBursts
	case seed%11 == 5 && !w.twoBuilds:
		// A coordinator of an older build keeps the others from granting trials.
		w.bursts = idleBursts
	default:
		return
	}
	w.owedRandom = rand.New(rand.NewPCG(seed, 15))
	for number := 1; number <= owedWorkers; number++ {
		w.owedPool = append(w.owedPool, &simWorker{number: 100 + number, owed: true, up: true, running: map[*simRun]bool{}})
	}
	for number := range runners {
		r := &runner{edge: &edge{machine: &machine{world: w, name: fmt.Sprintf("runner-%d", number+1), blocked: map[string]bool{}}}}
		r.startProcess()
		w.runners = append(w.runners, r)
	}
	for number := range owedItems {
		r := w.runners[number%runners]
		s := &quarantine.Subject{Request: firstOwed + quarantine.Fingerprint(number)}
		if w.bursts.commonPart {
			s.Parts = append(s.Parts, firstOwedPart)
		}
		s.Parts = append(s.Parts, firstOwedPart+1+quarantine.Fingerprint(number%owedParts))
		r.items = append(r.items, &owedItem{number: number, subject: s})
	}
	w.after(w.bursts.itemsAt, func() {
		w.every(planInterval, func() bool {
			for _, r := range w.runners {
				r.plan()
			}
			return true
		})
	})
	w.after(w.bursts.from, w.burst)
	w.after(runnerKillAt, func() { w.runners[0].restart() })
	w.after(w.bursts.until+owedBound, w.checkOwed)
}

// burst makes some workers of items exit, and schedules the next burst.
func (w *World) burst() {
	if w.now.Sub(startTime) > w.bursts.until {
		return
	}
	w.log("%d workers of items exit", w.bursts.exits)
	for _, number := range w.owedRandom.Perm(owedWorkers)[:w.bursts.exits] {
		w.exitWorker(w.owedPool[number])
	}
	w.after(w.bursts.interval, w.burst)
}

// readOwedWorkers reads the list of the workers of items, if it is due, and tells the timers of the leader
// which exits it shows.
func (m *machine) readOwedWorkers() {
	now := m.clock()
	if len(m.world.owedPool) == 0 || m.world.mutation == MutationUnlistedExits || now.Sub(m.owedReadAt) < readingInterval {
		return
	}
	var rows []wire.PoolWorker
	for _, worker := range m.world.owedPool {
		if worker.up {
			rows = append(rows, wire.PoolWorker{ID: worker.id()})
		}
	}
	before := m.owedWorkers
	m.owedWorkers, m.owedReadAt = workerset.Of(rows), now
	m.quarantineTimers.RecordList(now, now, m.owedWorkers.Exited(before))
}

// restart kills the runner, whose items are then run by its next process.
func (r *runner) restart() {
	r.world.log("kill %s", r.name)
	r.kill()
	for _, item := range r.items {
		if item.run != nil {
			for _, worker := range r.world.owedPool {
				delete(worker.running, item.run)
			}
		}
		item.run, item.paced, item.held, item.granted = nil, false, nil, false
	}
	r.pacer, r.pacedRunning, r.pacedWell = quarantine.Pacer{}, 0, 0
	r.startProcess()
}

// plan starts the items that may start, as the store does.
func (r *runner) plan() {
	for _, item := range r.items {
		if item.done || item.run != nil || r.world.now.Before(item.retryAt) {
			continue
		}
		if r.mayStart(item) {
			r.start(item)
		}
	}
}

// mayStart reports whether an item may start. It asks the coordinators for a trial if a part of the
// prompt is refused.
func (r *runner) mayStart(item *owedItem) bool {
	now := r.clock()
	refused := r.cache.Refused(now, item.subject)
	if len(refused) == 0 {
		item.held = nil
		return true
	}
	if item.granted {
		return true
	}
	item.retryAt = r.world.now.Add(trialRetryTime)
	holds := r.world.mutation == MutationHoldItems
	if item.subject.OnlyRequest(refused) && !holds {
		if item.held == nil {
			item.held = &quarantine.HeldItem{Since: now}
		}
		item.paced = r.pacer.MayRun(now, r.cache.LastExitAt(), item.held) || r.world.mutation == MutationNoPace && now.Sub(r.cache.LastExitAt()) > quarantine.CalmTime
		return item.paced
	}
	if r.cache.TrialDelay(now, refused) > 0 {
		return false
	}
	r.askTrial(refused, !holds, func(granted bool) { item.granted = item.granted || granted })
	return false
}

// start runs an item at a worker that is up.
func (r *runner) start(item *owedItem) {
	w := r.world
	worker := randomUp(w.owedPool, w.owedRandom)
	if worker == nil {
		item.paced = false
		return
	}
	run := &simRun{edge: r.edge, incarnation: r.incarnation, subject: item.subject, startedAt: r.clock(), owed: item, runner: r}
	item.run, item.granted = run, false
	worker.running[run] = true
	if item.paced {
		r.pacer.Start()
		if r.pacedRunning++; r.pacedRunning > 1+r.pacedWell {
			w.ledger.recordViolation("%s runs %d refused items at once after %d ran well", r.name, r.pacedRunning, r.pacedWell)
		}
	}
	w.after(quarantine.GoodRunTime+100*time.Millisecond, func() {
		if item.run == run && worker.running[run] {
			r.cache.RecordSuccess(r.clock(), item.subject)
			r.endPaced(item, func() { r.pacer.Succeed(); r.pacedWell++ })
		}
	})
	w.after(owedRunTime, func() {
		if item.run == run && worker.running[run] {
			delete(worker.running, run)
			item.run, item.done = nil, true
			w.owedCounts.done++
		}
	})
}

// endPaced counts the outcome of a paced item once.
func (r *runner) endPaced(item *owedItem, outcome func()) {
	if item.paced {
		item.paced = false
		r.pacedRunning--
		outcome()
	}
}

// handleExit records that a worker exited under an item.
func (r *runner) handleExit(item *owedItem, worker string) {
	now := r.clock()
	r.world.owedCounts.exits++
	if item.run != nil && now.Sub(item.run.startedAt) < quarantine.GoodRunTime {
		r.cache.RecordExit(now, item.subject, worker, item.run.startedAt)
	}
	r.endPaced(item, func() { r.pacer.Fail(now, item.held); r.pacedWell = 0 })
	item.run = nil
}

// checkOwed checks that all items are done, well after the last exit.
func (w *World) checkOwed() {
	for _, r := range w.runners {
		for _, item := range r.items {
			if !item.done {
				w.ledger.recordViolation("item %d still waits %s after the last burst of exits", item.number, owedBound)
			}
		}
	}
}

// owedCounts counts the items done and the exits under items.
type owedCounts struct{ done, exits int }
