package fleetsim

import (
	"fmt"
	"time"

	"github.com/sedgemast/sedgemast/internal/fleetview"
	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	edges = 4
	// A worker that ended is back after backAfter, and up to backWithin more.
	backAfter  = time.Second
	backWithin = time.Second
	// In a world of few workers, sameWorkers, each keeps its id over its lives and may be
	// back soonBack after an end.
	sameWorkers = 2
	soonBack    = 100 * time.Millisecond
	simWorkers  = 6
	// maxTries is how many workers one arrival may go to.
	maxTries = 2
	// reportEvery is the time between two looks for runs to report, and reportTimeout when
	// a report without an answer is sent again.
	reportEvery   = 20 * time.Millisecond
	reportTimeout = 300 * time.Millisecond
	// contact is how long an edge and the coordinators must have been undisturbed for the
	// bound on what the edge sends to hold, and mostLate that bound.
	contact  = 3 * time.Second
	mostLate = 3
	// coresOffAt is when all coordinators lose power once more.
	coresOffAt = healAt + 4*time.Second
	// calmFrom and calmUntil is the time, after all was mended, in which a harmless request
	// must be served.
	calmFrom  = coresOffAt + contact
	calmUntil = endAt - time.Second
)

// deadly ends each worker that begins it, frequent none.
const (
	deadly   = quarantine.Fingerprint(1)
	frequent = quarantine.Fingerprint(2)
)

// simWorker is a worker. It runs what it gets at once.
type simWorker struct {
	number  int
	lives   int
	keepsID bool
	up      bool
	running map[*simRun]bool
}

// id is the worker's in its present life.
func (s *simWorker) id() string {
	if s.keepsID {
		return fmt.Sprintf("w-%d", s.number)
	}
	return fmt.Sprintf("w-%d.%d", s.number, s.lives)
}

// simRun is a run of a request.
type simRun struct {
	edge    *edge
	life    int
	request quarantine.Fingerprint
	tries   int
	trial   bool
	// began is when its edge sent it, by the edge's clock.
	began time.Time
}

// edge is a process that serves callers. It keeps nothing on disk.
type edge struct {
	*machine
	book *quarantine.Cache
	// reporting is the number of the report on its way, zero for none.
	reporting int
	reports   int
	// disturbed is when anything befell it last.
	disturbed time.Time
}

// beginEdges starts edges, workers and the callers of both requests.
func (w *World) beginEdges() {
	count := simWorkers
	if w.sameIDs {
		count = sameWorkers
	}
	for number := 1; number <= count; number++ {
		w.workers = append(w.workers, &simWorker{number: number, keepsID: w.sameIDs, up: true, running: map[*simRun]bool{}})
	}
	for number := 1; number <= edges; number++ {
		e := &edge{machine: &machine{world: w, name: fmt.Sprintf("edge-%d", number), cut: map[string]bool{}}}
		w.edges = append(w.edges, e)
		e.begin()
	}
	w.every(50*time.Millisecond, func() bool { w.arrive(frequent); return true })
	w.after(faultsFrom, func() {
		w.every(270*time.Millisecond, func() bool { w.arrive(deadly); return true })
	})
	w.after(faultsFrom, w.nextEdgeFault)
	w.after(coresOffAt, w.losePowerOfCores)
}

// losePowerOfCores takes the power of all coordinators once more, when all else is calm:
// what they knew of the deadly request must be on their disks. The bound on late sends is
// not lifted for it.
func (w *World) losePowerOfCores() {
	w.log("power off all coordinators")
	for _, core := range w.of(kindCoordinator) {
		core.losePower()
		w.after(300*time.Millisecond, func() { core.comeBack(false) })
	}
}

// begin begins a life of the process.
func (e *edge) begin() {
	e.life++
	e.alive, e.frozen, e.backlog = true, false, nil
	e.book, e.reporting, e.disturbed = quarantine.NewCache(), 0, e.world.now
	life := e.life
	running := func(action func()) func() bool {
		return func() bool {
			if e.life == life && e.alive && !e.frozen {
				action()
			}
			return e.life == life && e.alive
		}
	}
	e.world.every(watchInterval, running(e.watchQuarantine))
	e.world.every(reportEvery, running(e.report))
}

// nextEdgeFault brings one fault of an edge after another.
func (w *World) nextEdgeFault() {
	if w.now.Sub(began) > faultsUntil {
		return
	}
	e := w.edges[w.luck.IntN(len(w.edges))]
	down := 100*time.Millisecond + time.Duration(w.luck.Int64N(int64(3*time.Second)))
	if e.alive && !e.frozen {
		e.disturb(w.luck.IntN(4), down)
	}
	w.after(200*time.Millisecond+time.Duration(w.luck.Int64N(int64(2*time.Second))), w.nextEdgeFault)
}

func (e *edge) disturb(kind int, down time.Duration) {
	w := e.world
	e.disturbed = w.now.Add(down)
	switch kind {
	case 0:
		w.log("kill %s for %s", e.name, down)
		e.die()
		w.after(down, e.begin)
	case 1:
		w.freeze(e.machine, down)
	case 2:
		w.suspend(e.machine, down)
	case 3:
		w.log("cut %s off for %s", e.name, down)
		for _, core := range w.of(kindCoordinator) {
			e.cut[core.name], core.cut[e.name] = true, true
		}
		w.after(down, func() {
			clear(e.cut)
			for _, core := range w.machines {
				delete(core.cut, e.name)
			}
		})
	}
}

// inTouch reports whether the edge and the coordinators have been undisturbed for contact.
// After the last fault was mended that is taken to be so; before, coordinators hardly rest
// for so long.
func (e *edge) inTouch() bool {
	w := e.world
	return e.alive && !e.frozen && w.now.Sub(e.disturbed) > contact && w.now.Sub(began) > healAt+contact
}

// arrive lets a request come to some edge.
func (w *World) arrive(request quarantine.Fingerprint) {
	e := w.edges[w.luck.IntN(len(w.edges))]
	if !e.alive || e.frozen {
		return
	}
	run := &simRun{edge: e, life: e.life, request: request}
	if !e.book.InUse() || e.book.Standing(e.clock(), request) != quarantine.Refused {
		e.try(run)
		return
	}
	if e.book.TrialDelay(e.clock(), request) > 0 {
		e.refuse(request)
		return
	}
	e.askTrial(run)
}

// refuse answers a request that goes to no worker.
func (e *edge) refuse(request quarantine.Fingerprint) {
	at := e.world.now.Sub(began)
	if request == frequent && at > calmFrom && at < calmUntil {
		e.world.ledger.violate("%s refuses the harmless request", e.name)
	}
}

// try sends a request to a worker that is up.
func (e *edge) try(run *simRun) {
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
	worker := up[w.luck.IntN(len(up))]
	run.tries++
	run.began = e.clock()
	worker.running[run] = true
	if run.request == deadly {
		w.sentDeadly(e)
		w.after(20*time.Millisecond, func() { w.endWorker(worker, run) })
		return
	}
	w.after(30*time.Millisecond+time.Duration(w.luck.Int64N(int64(70*time.Millisecond))), func() {
		if !worker.running[run] {
			return
		}
		delete(worker.running, run)
		if e.life == run.life {
			e.book.RecordSuccess(e.clock(), run.request)
		}
	})
}

// sentDeadly counts what goes to workers after three have ended under it.
func (w *World) sentDeadly(e *edge) {
	w.deadlySent++
	if w.deadlyEnds < quarantine.Threshold || !e.inTouch() || w.now.Sub(w.thirdEnd) <= contact {
		return
	}
	if w.deadlyLate++; w.deadlyLate > mostLate {
		w.ledger.violate("a request that ended %d workers goes to another from %s, %d times so late", w.deadlyEnds, e.name, w.deadlyLate)
	}
}

// endWorker ends a worker under a run, with all that it runs.
func (w *World) endWorker(worker *simWorker, cause *simRun) {
	if !worker.running[cause] {
		return
	}
	w.deadlyEnds++
	if w.deadlyEnds == quarantine.Threshold {
		w.thirdEnd = w.now
	}
	ended, broken := worker.id(), worker.running
	worker.up, worker.running = false, map[*simRun]bool{}
	for _, run := range w.inOrder(broken) {
		run.broke(ended)
	}
	back := backAfter
	if worker.keepsID {
		back = soonBack
	}
	w.after(back+time.Duration(w.luck.Int64N(int64(backWithin))), func() {
		worker.lives++
		worker.up = true
	})
}

// inOrder returns runs in an order that a seed repeats.
func (w *World) inOrder(runs map[*simRun]bool) []*simRun {
	var ordered []*simRun
	for _, e := range w.edges {
		for _, request := range []quarantine.Fingerprint{frequent, deadly} {
			for run := range runs {
				if run.edge == e && run.request == request {
					ordered = append(ordered, run)
				}
			}
		}
	}
	return ordered
}

// broke is what the edge of a run does once its worker has ended.
func (r *simRun) broke(worker string) {
	e := r.edge
	e.whenAwake(r.life, func() {
		e.book.RecordExit(e.clock(), r.request, worker, r.began)
		if !r.trial && r.tries < maxTries && e.book.Standing(e.clock(), r.request) != quarantine.Refused {
			e.try(r)
		}
	})
}

// whenAwake runs something in a life of the process, after a freeze if there is one.
func (e *edge) whenAwake(life int, action func()) {
	switch {
	case e.life != life || !e.alive:
	case e.frozen:
		e.backlog = append(e.backlog, action)
	default:
		action()
	}
}

// watchQuarantine asks the coordinators for what is new.
func (e *edge) watchQuarantine() {
	known, life := e.book.Revision(), e.life
	for _, core := range e.world.of(kindCoordinator) {
		e.transmit(core, func() {
			if core.older {
				return
			}
			core.lead(func(*fleetview.View) {
				news := core.fleet.Quarantine().Since(known)
				if news.Revision != known {
					core.transmit(e.machine, func() { e.whenAwake(life, func() { e.book.Apply(&news) }) })
				}
			})
		})
	}
}

// report tells the coordinators of runs, one report at a time.
func (e *edge) report() {
	if e.reporting != 0 || e.world.mutation == MutationLocalExits {
		return
	}
	report := e.book.Report(e.clock())
	if report == nil {
		return
	}
	e.reports++
	number, life := e.reports, e.life
	e.reporting = number
	e.world.after(reportTimeout, func() {
		if e.life == life && e.reporting == number {
			e.reporting = 0
			e.book.RecordAnswer(nil)
		}
	})
	e.callQuarantine(report, func(answer *wire.QuarantineAnswer) {
		if e.life == life && e.reporting == number {
			e.reporting = 0
			e.book.RecordAnswer(&answer.News)
		}
	})
}

// askTrial asks for a trial of a refused request; without an answer it is refused.
func (e *edge) askTrial(run *simRun) {
	asked := false
	report := &wire.QuarantineReport{Trial: uint64(run.request), Known: e.book.Revision()}
	e.callQuarantine(report, func(answer *wire.QuarantineAnswer) {
		if asked || e.life != run.life {
			return
		}
		asked = true
		e.book.Apply(&answer.News)
		if !answer.Granted {
			e.book.DenyTrial(e.clock(), run.request, time.Duration(answer.WaitMillis)*time.Millisecond)
			e.refuse(run.request)
			return
		}
		run.trial = true
		e.try(run)
	})
}

// callQuarantine sends a report to all coordinators, of which the leader answers.
func (e *edge) callQuarantine(report *wire.QuarantineReport, done func(answer *wire.QuarantineAnswer)) {
	life := e.life
	for _, core := range e.world.of(kindCoordinator) {
		e.transmit(core, func() {
			core.takeReport(report, func(answer *wire.QuarantineAnswer) {
				core.transmit(e.machine, func() { e.whenAwake(life, func() { done(answer) }) })
			})
		})
	}
}

// takeReport is what the daemon does with a report: a leader commits it, then answers.
func (m *machine) takeReport(report *wire.QuarantineReport, done func(answer *wire.QuarantineAnswer)) {
	answer := &wire.QuarantineAnswer{}
	command := &wire.QuarantineCommand{Runs: report.Runs, AtMillis: m.clock().UnixMilli()}
	leads := false
	m.lead(func(*fleetview.View) {
		leads = !m.older && m.gate.Err() == nil
		if report.Trial == 0 {
			return
		}
		request := quarantine.Fingerprint(report.Trial)
		granted, wait := m.warden.GrantTrial(m.clock(), m.fleet.Quarantine(), request)
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
			done(answer)
			return nil
		})
	})
}

// keepQuarantine carries out what follows from the time that has passed.
func (m *machine) keepQuarantine() {
	if m.older {
		return
	}
	m.noteGenerations()
	var command *wire.QuarantineCommand
	m.lead(func(*fleetview.View) {
		command = m.gate.Command(m.warden.Tick(m.clock(), m.fleet.Quarantine()), m.fleet.Quarantine())
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
