package fleetsim

import (
	"fmt"
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
	// A send of the crashing request is late if it comes more than settleTime after the exit that
	// reaches quarantine.Threshold. It is counted only if the sending edge and the coordinators have
	// been undisturbed for settleTime. All edges of a run together may make at most maxLateSends
	// such sends.
	settleTime   = 3 * time.Second
	maxLateSends = 3
	// coordinatorsOffAt is when all coordinators lose power once more, after the heal.
	coordinatorsOffAt = healAt + 4*time.Second
	// Between serveCheckFrom and serveCheckUntil, after all faults were repaired, the harmless
	// request must not be rejected.
	serveCheckFrom  = coordinatorsOffAt + settleTime
	serveCheckUntil = endAt - time.Second
)

// Every worker that runs crashingRequest exits; harmlessRequest makes no worker exit.
const (
	crashingRequest = quarantine.Fingerprint(1)
	harmlessRequest = quarantine.Fingerprint(2)
)

// simWorker is a simulated worker. It starts each request at once, without a queue.
type simWorker struct {
	number      int
	incarnation int
	fixedID     bool
	up          bool
	running     map[*simRun]bool
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
	request     quarantine.Fingerprint
	attempts    int
	trial       bool
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
	e.streams = streamKnowledge{origins: origin.NewRegistry()}
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
func (w *World) arrive(request quarantine.Fingerprint) {
	e := w.edges[w.extraRandom.IntN(len(w.edges))]
	if !e.alive || e.frozen {
		return
	}
	run := &simRun{edge: e, incarnation: e.incarnation, request: request}
	if !e.cache.InUse() || e.cache.Standing(e.clock(), request) != quarantine.Refused {
		e.sendToWorker(run)
		return
	}
	if e.cache.TrialDelay(e.clock(), request) > 0 {
		e.reject(request)
		return
	}
	e.requestTrial(run)
}

// reject answers a request without running it.
func (e *edge) reject(request quarantine.Fingerprint) {
	at := e.world.now.Sub(startTime)
	if request == harmlessRequest && at > serveCheckFrom && at < serveCheckUntil {
		e.world.ledger.recordViolation("%s rejects the harmless request", e.name)
	}
}

// sendToWorker sends a request to a random worker that is up.
func (e *edge) sendToWorker(run *simRun) {
	w := e.world
	var up []*simWorker
	for _, worker := range w.workers {
		if worker.up {
			up = append(up, worker)
		}
	}
	if len(up) == 0 {
		return
	}
	worker := up[w.extraRandom.IntN(len(up))]
	run.attempts++
	run.startedAt = e.clock()
	worker.running[run] = true
	if run.request == crashingRequest {
		w.recordCrashingSend(e)
		w.after(20*time.Millisecond, func() { w.exitWorker(worker, run) })
		return
	}
	w.after(30*time.Millisecond+time.Duration(w.extraRandom.Int64N(int64(70*time.Millisecond))), func() {
		if !worker.running[run] {
			return
		}
		delete(worker.running, run)
		if e.incarnation == run.incarnation {
			e.cache.RecordSuccess(e.clock(), run.request)
		}
	})
}

// recordCrashingSend counts the sends of the crashing request, and checks that the late ones among
// them are at most maxLateSends.
func (w *World) recordCrashingSend(e *edge) {
	w.crashingSent++
	if w.crashExits < quarantine.Threshold || !e.isUndisturbed() || w.now.Sub(w.thresholdExitAt) <= settleTime {
		return
	}
	if w.crashingSentLate++; w.crashingSentLate > maxLateSends {
		w.ledger.recordViolation("after %d worker exits, %s sends the crashing request to another worker; late sends: %d", w.crashExits, e.name, w.crashingSentLate)
	}
}

// exitWorker makes a worker exit during a run, which aborts everything that it runs.
func (w *World) exitWorker(worker *simWorker, cause *simRun) {
	if !worker.running[cause] {
		return
	}
	w.crashExits++
	if w.crashExits == quarantine.Threshold {
		w.thresholdExitAt = w.now
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
	w.after(delay+time.Duration(w.extraRandom.Int64N(int64(restartJitter))), func() {
		worker.incarnation++
		worker.up = true
	})
}

// sortRuns returns the runs by edge and request, so that a seed always gives the same order.
func (w *World) sortRuns(runs map[*simRun]bool) []*simRun {
	var ordered []*simRun
	for _, e := range w.edges {
		for _, request := range []quarantine.Fingerprint{harmlessRequest, crashingRequest} {
			for run := range runs {
				if run.edge == e && run.request == request {
					ordered = append(ordered, run)
				}
			}
		}
	}
	return ordered
}

// handleWorkerExit records at the run's edge that the worker exited. It then tries another worker,
// unless the run is a trial, has used up maxAttempts, or its request is refused by now.
func (r *simRun) handleWorkerExit(worker string) {
	e := r.edge
	e.runWhenAwake(r.incarnation, func() {
		e.cache.RecordExit(e.clock(), r.request, worker, r.startedAt)
		if !r.trial && r.attempts < maxAttempts && e.cache.Standing(e.clock(), r.request) != quarantine.Refused {
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
					coordinator.transmit(e.machine, func() { e.runWhenAwake(incarnation, func() { e.cache.Apply(&update) }) })
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
			e.cache.RecordAnswer(nil)
		}
	})
	e.callQuarantine(report, func(answer *wire.QuarantineAnswer) {
		if e.incarnation == incarnation && e.pendingReport == number {
			e.pendingReport = 0
			e.cache.RecordAnswer(&answer.News)
		}
	})
}

// requestTrial asks the coordinators for a trial run of a refused request. The request is sent to a
// worker only if the coordinators grant the trial.
func (e *edge) requestTrial(run *simRun) {
	answered := false
	report := &wire.QuarantineReport{Trial: uint64(run.request), Known: e.cache.Revision()}
	e.callQuarantine(report, func(answer *wire.QuarantineAnswer) {
		if answered || e.incarnation != run.incarnation {
			return
		}
		answered = true
		e.cache.Apply(&answer.News)
		if !answer.Granted {
			e.cache.DenyTrial(e.clock(), run.request, time.Duration(answer.WaitMillis)*time.Millisecond)
			e.reject(run.request)
			return
		}
		run.trial = true
		e.sendToWorker(run)
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
	command := &wire.QuarantineCommand{Runs: report.Runs, AtMillis: m.clock().UnixMilli()}
	leads := false
	m.readAsLeader(func(*fleetview.View) {
		leads = !m.firstGeneration && m.gate.Err() == nil
		if report.Trial == 0 {
			return
		}
		request := quarantine.Fingerprint(report.Trial)
		granted, wait := m.quarantineTimers.GrantTrial(m.clock(), m.fleet.Quarantine(), request)
		answer.Granted, answer.WaitMillis = granted, wait.Milliseconds()
		if granted && m.fleet.Quarantine().Entry(request) != nil {
			command.Trial = report.Trial
		}
	})
	if !leads {
		return
	}
	m.propose(0, &wire.FleetCommand{Quarantine: command}, func(_ []byte, err error) {
		if err != nil {
			return
		}
		_ = m.node.Read(m.clock(), 0, func(uint64, storage.Reader) error {
			answer.News = m.fleet.Quarantine().Since(report.Known)
			onAnswer(answer)
			return nil
		})
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
