package fleetsim

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/sedgemast/sedgemast/internal/fleetview"
	"github.com/sedgemast/sedgemast/internal/origin"
	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	edges = 4
	// An exited worker restarts after restartDelay plus a random time below restartJitter.
	restartDelay  = time.Second
	restartJitter = time.Second
	// In a world with fixed ids there are only fixedIDWorkers workers. Each keeps its id over
	// restarts, and restarts after fixedIDRestartDelay plus a random time below restartJitter.
	fixedIDWorkers      = 2
	fixedIDRestartDelay = 100 * time.Millisecond
	workerCount         = 6
	// maxAttempts limits the workers to which an edge sends one request.
	maxAttempts = 2
	// reportInterval is the time between two checks for runs to report. A report without an answer
	// is sent again after reportTimeout.
	reportInterval = 20 * time.Millisecond
	reportTimeout  = 300 * time.Millisecond
	// A send of a crashing kind of request is late if it comes more than settleTime after the kind's
	// exit number crashLimit. It is counted only if the sending edge and the coordinators have been
	// undisturbed for settleTime. All edges of a run together may make at most maxLateSends such
	// sends.
	settleTime   = 3 * time.Second
	maxLateSends = 3
	// ownExitsAt is when most workers exit without any request being the reason.
	ownExitsAt = serveCheckFrom + 500*time.Millisecond
	// coordinatorsOffAt is when all coordinators lose power once more, after the heal.
	coordinatorsOffAt = healAt + 4*time.Second
	// Between serveCheckFrom and serveCheckUntil, after all faults were repaired, the harmless
	// request must not be rejected.
	serveCheckFrom  = coordinatorsOffAt + settleTime
	serveCheckUntil = endAt - time.Second
)

// simWorker is a simulated worker. It starts each request at once, without a queue.
type simWorker struct {
	number      int
	incarnation int
	fixedID     bool
	// owed is set for a worker of items.
	owed    bool
	up      bool
	running map[*simRun]bool
}

// id returns the worker's id in its current incarnation.
func (s *simWorker) id() string {
	if s.fixedID {
		return fmt.Sprintf("w-%d", s.number)
	}
	return fmt.Sprintf("w-%d.%d", s.number, s.incarnation)
}

// simRun is one request with its attempts.
type simRun struct {
	edge        *edge
	incarnation int
	kind        requestKind
	subject     *quarantine.Subject
	attempts    int
	trial       bool
	// owed and runner are set if the run is one of an item.
	owed   *owedItem
	runner *runner
	// startedAt is when the edge sent the last attempt, by the edge's clock.
	startedAt time.Time
}

// edge is a process that serves callers. It stores nothing on disk.
type edge struct {
	*machine
	cache *quarantine.Cache
	// pendingReport is the number of the report that waits for an answer, zero for none.
	pendingReport int
	reportCount   int
	streams       streamKnowledge
	// endlessAnswers is the number of answers without end that the edge reads now, endlessBytes what it
	// keeps of them.
	endlessAnswers int
	endlessBytes   int64
	// undisturbedSince is when the edge's last fault ends. Before the first fault it is when the
	// edge's process started.
	undisturbedSince time.Time
}

// startEdges starts the edges, the workers and the callers of both requests.
func (w *World) startEdges() {
	count := workerCount
	if w.fixedIDs {
		count = fixedIDWorkers
	}
	for number := 1; number <= count; number++ {
		w.workers = append(w.workers, &simWorker{number: number, fixedID: w.fixedIDs, up: true, running: map[*simRun]bool{}})
	}
	for number := 1; number <= edges; number++ {
		e := &edge{machine: &machine{world: w, name: fmt.Sprintf("edge-%d", number), blocked: map[string]bool{}}}
		w.edges = append(w.edges, e)
		e.startProcess()
	}
	w.every(50*time.Millisecond, func() bool { w.arrive(harmlessRequest); return true })
	w.after(faultsFrom, func() {
		w.every(270*time.Millisecond, func() bool { w.arrive(crashingRequest); return true })
	})
	if w.promptParts {
		w.startPromptParts()
		w.startLopsidedConnections()
	}
	w.after(faultsFrom, w.nextEdgeFault)
	w.after(coordinatorsOffAt, w.powerOffCoordinators)
}

// powerOffCoordinators powers off all coordinators once more while there is no other fault. What
// they knew about the crashing request must be on their disks, so the bound on late sends holds
// during this fault, too.
func (w *World) powerOffCoordinators() {
	w.log("power off all coordinators")
	for _, coordinator := range w.machinesOf(kindCoordinator) {
		coordinator.powerOff()
		w.after(300*time.Millisecond, func() { coordinator.restart(false) })
	}
}

// startProcess starts the process with empty state.
func (e *edge) startProcess() {
	e.incarnation++
	e.alive, e.frozen, e.backlog = true, false, nil
	e.cache, e.pendingReport, e.undisturbedSince = quarantine.NewCache(), 0, e.world.now
	e.lists, e.configuration = listKnowledge{}, configurationKnowledge{}
	e.streams = streamKnowledge{origins: origin.NewRegistry()}
	e.endlessAnswers, e.endlessBytes = 0, 0
	incarnation := e.incarnation
	running := func(action func()) func() bool {
		return func() bool {
			if e.incarnation == incarnation && e.alive && !e.frozen {
				action()
			}
			return e.incarnation == incarnation && e.alive
		}
	}
	e.world.every(pollInterval, running(e.pollQuarantine))
	e.world.every(reportInterval, running(e.report))
	e.world.every(pollInterval, running(e.pollVersions))
}

// nextEdgeFault injects a fault into a random edge and schedules the next one.
func (w *World) nextEdgeFault() {
	if w.now.Sub(startTime) > faultsUntil {
		return
	}
	e := w.edges[w.extraRandom.IntN(len(w.edges))]
	down := 100*time.Millisecond + time.Duration(w.extraRandom.Int64N(int64(3*time.Second)))
	if e.alive && !e.frozen {
		e.injectFault(w.extraRandom.IntN(4), down)
	}
	w.after(200*time.Millisecond+time.Duration(w.extraRandom.Int64N(int64(2*time.Second))), w.nextEdgeFault)
}

func (e *edge) injectFault(kind int, down time.Duration) {
	w := e.world
	e.undisturbedSince = w.now.Add(down)
	switch kind {
	case 0:
		w.log("kill %s for %s", e.name, down)
		e.kill()
		w.after(down, e.startProcess)
	case 1:
		w.freeze(e.machine, down)
	case 2:
		w.suspend(e.machine, down)
	case 3:
		w.log("cut %s off for %s", e.name, down)
		for _, coordinator := range w.machinesOf(kindCoordinator) {
			e.blocked[coordinator.name], coordinator.blocked[e.name] = true, true
		}
		w.after(down, func() {
			clear(e.blocked)
			for _, m := range w.machines {
				delete(m.blocked, e.name)
			}
		})
	}
}

// isUndisturbed reports whether the edge and the coordinators have been undisturbed for settleTime.
// The coordinators are taken for undisturbed from settleTime after healAt on, and never earlier:
// until healAt, their faults seldom leave them undisturbed for that long.
func (e *edge) isUndisturbed() bool {
	w := e.world
	return e.alive && !e.frozen && w.now.Sub(e.undisturbedSince) > settleTime && w.now.Sub(startTime) > healAt+settleTime
}

// arrive sends a request of a caller to a random edge.
func (w *World) arrive(kind requestKind) {
	e := w.edges[w.randomOf(kind).IntN(len(w.edges))]
	if !e.alive || e.frozen {
		return
	}
	run := &simRun{edge: e, incarnation: e.incarnation, kind: kind, subject: w.newSubject(kind)}
	refused := e.refused(run)
	if len(refused) == 0 {
		e.sendToWorker(run)
		return
	}
	if e.cache.TrialDelay(e.clock(), refused) > 0 {
		e.reject(run)
		return
	}
	e.requestTrial(run, refused)
}

// refused returns which fingerprints of a request are refused.
func (e *edge) refused(run *simRun) []quarantine.Fingerprint {
	if !e.cache.InUse() {
		return nil
	}
	return e.cache.Refused(e.clock(), run.subject)
}

// reject answers a request without running it.
func (e *edge) reject(run *simRun) {
	at := e.world.now.Sub(startTime)
	if !run.kind.crashes() && at > serveCheckFrom && at < serveCheckUntil {
		e.world.ledger.recordViolation("%s rejects the harmless request %v", e.name, *run.subject)
	}
}

// randomUp returns a random one of the workers that are up, nil if none is.
func randomUp(workers []*simWorker, random *rand.Rand) *simWorker {
	var up []*simWorker
	for _, worker := range workers {
		if worker.up {
			up = append(up, worker)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[random.IntN(len(up))]
}

// sendToWorker sends a request to a random worker that is up.
func (e *edge) sendToWorker(run *simRun) {
	w := e.world
	random := w.randomOf(run.kind)
	worker := randomUp(w.workers, random)
	if worker == nil {
		return
	}
	run.attempts++
	run.startedAt = e.clock()
	worker.running[run] = true
	if run.kind.crashes() {
		w.recordCrashingSend(e, run.kind)
		w.after(20*time.Millisecond, func() {
			if worker.running[run] {
				w.countCrash(run.kind)
				w.exitWorker(worker)
			}
		})
		return
	}
	w.after(30*time.Millisecond+time.Duration(random.Int64N(int64(70*time.Millisecond))), func() {
		if !worker.running[run] {
			return
		}
		delete(worker.running, run)
		if e.incarnation == run.incarnation {
			e.recordSuccess(run.subject)
		}
	})
}

// exitWorker makes a worker exit, which aborts everything that it runs.
func (w *World) exitWorker(worker *simWorker) {
	if !worker.up {
		return
	}
	exited, aborted := worker.id(), worker.running
	worker.up, worker.running = false, map[*simRun]bool{}
	for _, run := range w.sortRuns(aborted) {
		run.handleWorkerExit(exited)
	}
	delay := restartDelay
	if worker.fixedID {
		delay = fixedIDRestartDelay
	}
	delay += time.Duration(w.extraRandom.Int64N(int64(restartJitter)))
	if worker.owed && w.bursts.restartDelay > 0 {
		delay = w.bursts.restartDelay
	}
	w.after(delay, func() {
		worker.incarnation++
		worker.up = true
	})
}

// sortRuns returns the runs in an order that is the same whenever a seed is run.
func (w *World) sortRuns(runs map[*simRun]bool) []*simRun {
	ordered := make([]*simRun, 0, len(runs))
	for run := range runs {
		ordered = append(ordered, run)
	}
	slices.SortFunc(ordered, func(a, b *simRun) int {
		return cmp.Or(strings.Compare(a.edge.name, b.edge.name), cmp.Compare(a.kind, b.kind), cmp.Compare(a.subject.Request, b.subject.Request), a.startedAt.Compare(b.startedAt))
	})
	return ordered
}

// handleWorkerExit records at the run's edge that the worker exited. It then tries another worker,
// unless the run is a trial, has used up maxAttempts, or its request is refused by now.
func (r *simRun) handleWorkerExit(worker string) {
	e := r.edge
	e.runWhenAwake(r.incarnation, func() {
		if r.owed != nil {
			r.runner.handleExit(r.owed, worker)
			return
		}
		e.cache.RecordExit(e.clock(), r.subject, worker, r.startedAt)
		if !r.trial && r.attempts < maxAttempts && len(e.refused(r)) == 0 {
			e.sendToWorker(r)
		}
	})
}

// runWhenAwake runs an action in the given incarnation of the process. If the process is frozen,
// the action runs after the freeze.
func (e *edge) runWhenAwake(incarnation int, action func()) {
	switch {
	case e.incarnation != incarnation || !e.alive:
	case e.frozen:
		e.backlog = append(e.backlog, action)
	default:
		action()
	}
}

// pollQuarantine asks the coordinators for updates of the quarantine table.
func (e *edge) pollQuarantine() {
	known, incarnation := e.cache.Revision(), e.incarnation
	for _, coordinator := range e.world.machinesOf(kindCoordinator) {
		e.transmit(coordinator, func() {
			if coordinator.firstGeneration {
				return
			}
			coordinator.readAsLeader(func(*fleetview.View) {
				update := coordinator.fleet.Quarantine().Since(known)
				if update.Revision != known {
					coordinator.transmit(e.machine, func() { e.runWhenAwake(incarnation, func() { e.cache.Apply(e.clock(), &update) }) })
				}
			})
		})
	}
}

// report sends the coordinators a report about runs, one report at a time.
func (e *edge) report() {
	if e.pendingReport != 0 || e.world.mutation == MutationLocalExits {
		return
	}
	report := e.cache.Report(e.clock())
	if report == nil {
		return
	}
	e.reportCount++
	number, incarnation := e.reportCount, e.incarnation
	e.pendingReport = number
	e.world.after(reportTimeout, func() {
		if e.incarnation == incarnation && e.pendingReport == number {
			e.pendingReport = 0
			e.cache.RecordAnswer(e.clock(), nil)
		}
	})
	e.callQuarantine(report, func(answer *wire.QuarantineAnswer) {
		if e.incarnation == incarnation && e.pendingReport == number {
			e.pendingReport = 0
			e.cache.RecordAnswer(e.clock(), &answer.News)
		}
	})
}

// requestTrial asks the coordinators for a trial run of a refused request. The request is sent to a
// worker only if the coordinators grant the trial.
func (e *edge) requestTrial(run *simRun, refused []quarantine.Fingerprint) {
	e.askTrial(refused, false, func(granted bool) {
		if !granted {
			e.reject(run)
			return
		}
		run.trial = true
		e.sendToWorker(run)
	})
}

// askTrial asks the coordinators for a trial, and calls onAnswer with the first answer that this process
// gets. owed is set for an item of a batch job.
func (e *edge) askTrial(refused []quarantine.Fingerprint, owed bool, onAnswer func(granted bool)) {
	answered, incarnation := false, e.incarnation
	report := &wire.QuarantineReport{Known: e.cache.Revision(), Owed: owed}
	report.RequestTrial(quarantine.Uint64s(refused))
	e.callQuarantine(report, func(answer *wire.QuarantineAnswer) {
		if answered || e.incarnation != incarnation {
			return
		}
		answered = true
		e.cache.Apply(e.clock(), &answer.News)
		if !answer.Granted {
			e.cache.DenyTrial(e.clock(), refused, time.Duration(answer.WaitMillis)*time.Millisecond)
		}
		onAnswer(answer.Granted)
	})
}

// callQuarantine sends a report to all coordinators. Only the leader answers.
func (e *edge) callQuarantine(report *wire.QuarantineReport, onAnswer func(answer *wire.QuarantineAnswer)) {
	incarnation := e.incarnation
	for _, coordinator := range e.world.machinesOf(kindCoordinator) {
		e.transmit(coordinator, func() {
			coordinator.handleQuarantineReport(report, func(answer *wire.QuarantineAnswer) {
				coordinator.transmit(e.machine, func() { e.runWhenAwake(incarnation, func() { onAnswer(answer) }) })
			})
		})
	}
}

// handleQuarantineReport handles a report as the daemon does: the leader commits it, then answers.
func (m *machine) handleQuarantineReport(report *wire.QuarantineReport, onAnswer func(answer *wire.QuarantineAnswer)) {
	answer := &wire.QuarantineAnswer{}
	commands := []*wire.QuarantineCommand{{Runs: report.Runs, AtMillis: m.clock().UnixMilli()}}
	leads := false
	m.readAsLeader(func(*fleetview.View) {
		leads = !m.firstGeneration && m.gate.Err() == nil
		if report.Trial == 0 {
			return
		}
		refused := quarantine.Fingerprints(report.RequestedTrial())
		granted, wait := m.quarantineTimers.GrantTrial(m.clock(), m.fleet.Quarantine(), refused, report.Owed)
		answer.Granted, answer.WaitMillis = granted, wait.Milliseconds()
		for _, fingerprint := range refused {
			if granted && m.fleet.Quarantine().Entry(fingerprint) != nil {
				commands = append(commands, &wire.QuarantineCommand{AtMillis: m.clock().UnixMilli(), Trial: uint64(fingerprint)})
			}
		}
	})
	if !leads {
		return
	}
	m.proposeQuarantine(commands, func() {
		_ = m.node.Read(m.clock(), 0, func(uint64, storage.Reader) error {
			answer.News = m.fleet.Quarantine().Since(report.Known)
			onAnswer(answer)
			return nil
		})
	})
}

// proposeQuarantine commits the commands one after the other, then calls done.
func (m *machine) proposeQuarantine(commands []*wire.QuarantineCommand, done func()) {
	if len(commands) == 0 {
		done()
		return
	}
	m.propose(0, &wire.FleetCommand{Quarantine: commands[0]}, func(_ []byte, err error) {
		if err == nil {
			m.proposeQuarantine(commands[1:], done)
		}
	})
}

// tickQuarantine proposes the quarantine command that is due at the current time, if this
// coordinator leads.
func (m *machine) tickQuarantine() {
	if m.firstGeneration {
		return
	}
	m.updateGate()
	var command *wire.QuarantineCommand
	m.readAsLeader(func(*fleetview.View) {
		m.readOwedWorkers()
		command = m.gate.Command(m.quarantineTimers.Tick(m.clock(), m.fleet.Quarantine()), m.fleet.Quarantine())
	})
	if command == nil {
		return
	}
	m.propose(0, &wire.FleetCommand{Quarantine: command}, func(_ []byte, err error) {
		if err == nil && command.Restated != nil {
			m.gate.RecordRestatement()
		}
	})
}
