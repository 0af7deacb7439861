package simulation

import (
	"fmt"
	"time"

	"github.com/sedgemast/sedgemast/internal/engine"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/scheduling"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	loadInterval      = 250 * time.Millisecond
	workerTimeout     = time.Second
	engineCallTimeout = 2 * time.Second
	drainPoll         = 50 * time.Millisecond
	drainTimeout      = 20 * time.Second
	maxOnlineQueue    = 32
)

// dispatcherProcess is a simulated dispatcher: the real scheduler behind simulated connections.
type dispatcherProcess struct {
	process
	world          *World
	session        *session
	scheduler      *scheduling.Scheduler
	tasks          map[string]*task
	workers        map[string]*ownedWorker
	items          *itemSet
	onlineRequests int
	streams        streamSet
}

// ownedWorker is a worker that is assigned to the dispatcher.
type ownedWorker struct {
	assignment wire.Assignment
	// claimed is set once the worker has accepted the assignment's epoch.
	claimed bool
	// previousOwnerDone is set once no attempts of the previous owner run on the worker.
	previousOwnerDone bool
}

func (w *World) addDispatcher(number int) {
	d := &dispatcherProcess{process: process{name: fmt.Sprintf("d%d", number+1), zone: number % w.profile.Zones}, world: w}
	w.dispatchers = append(w.dispatchers, d)
	w.dispatchersByName[d.name] = d
	d.start()
}

func (w *World) dispatcherByName(name string) *dispatcherProcess {
	return w.dispatchersByName[name]
}

func (d *dispatcherProcess) start() {
	w := d.world
	d.alive = true
	d.generation++
	d.scheduler = scheduling.New(scheduling.Config{MaxQueue: maxOnlineQueue, ReservePercent: w.profile.ReservePercent, AdaptiveReserve: w.variant.AdaptiveReserve, EnginePriorities: w.variant.EnginePriorities, WorkerTimeout: workerTimeout}, w.random)
	d.tasks = map[string]*task{}
	d.workers = map[string]*ownedWorker{}
	d.items = newItemSet(d)
	d.onlineRequests = 0
	d.streams = nil
	previous := d.session
	d.session = w.newSession(&d.process, wire.RoleDispatcher, previous)
	d.session.fillHeartbeat = d.fillHeartbeat
	d.session.onUpdate = d.reconcile
	w.every(&d.process, loadInterval, d.pollLoads)
	w.every(&d.process, tickInterval*5, func() { d.step(scheduling.Tick{}) })
	w.every(&d.process, pullInterval, d.items.pull)
	w.every(&d.process, reportInterval, d.items.report)
}

// fillHeartbeat adds the state of the dispatcher and its workers to a heartbeat.
func (d *dispatcherProcess) fillHeartbeat(request *wire.HeartbeatRequest) {
	_, request.Models = d.scheduler.BatchCapacity()
	request.Utilization = d.scheduler.Utilization() &^ 31
	for _, name := range sortedKeys(d.workers) {
		e := d.world.engineByName(name)
		owned := d.workers[name]
		// Whether a worker leaves is taken from its own load reports.
		leaving := owned.claimed && e.alive && e.load().Leaving && e.incarnation == owned.assignment.Incarnation
		request.Workers = append(request.Workers, wire.WorkerReport{Worker: name, Epoch: owned.assignment.Epoch, Leaving: leaving && d.world.mutation != MutationIgnoreLeaving})
	}
}

// reconcile removes workers that are no longer assigned and claims newly assigned ones.
func (d *dispatcherProcess) reconcile() {
	wanted := map[string]wire.Assignment{}
	for _, assignment := range d.session.assignments {
		wanted[assignment.Worker] = assignment
	}
	for _, name := range sortedKeys(d.workers) {
		replacement, kept := wanted[name]
		owned := d.workers[name]
		switch {
		case kept && replacement == owned.assignment:
		case kept && replacement.Epoch == owned.assignment.Epoch && replacement.Incarnation == owned.assignment.Incarnation:
			// The next load report passes the change on to the scheduler.
			owned.assignment = replacement
		default:
			delete(d.workers, name)
			d.step(scheduling.WorkerRemoved{Worker: name, Abandon: kept && replacement.Incarnation != owned.assignment.Incarnation})
		}
	}
	for _, name := range sortedKeys(wanted) {
		if d.workers[name] == nil {
			d.workers[name] = &ownedWorker{assignment: wanted[name]}
			d.claim(d.workers[name])
		}
	}
}

// claim makes the worker accept the assignment's epoch, with retries.
func (d *dispatcherProcess) claim(owned *ownedWorker) {
	e := d.world.engineByName(owned.assignment.Worker)
	call(d.world, &d.process, &e.process, engineCallTimeout, func(answer reply[bool]) {
		answer(e.incarnation == owned.assignment.Incarnation && e.claim(owned.assignment.Epoch), nil)
	}, func(owns bool, err error) {
		if d.workers[owned.assignment.Worker] != owned {
			return
		}
		if err != nil || !owns {
			d.world.timer(&d.process, loadInterval, func() {
				if d.workers[owned.assignment.Worker] == owned {
					d.claim(owned)
				}
			})
			return
		}
		owned.claimed = true
		d.updateScheduler(owned)
	})
}

// updateScheduler passes the last load report of a claimed worker to the scheduler. If the report
// shows more work than this dispatcher's attempts explain, the excess counts as slots that the
// previous owner of the worker still uses, until a report shows no excess.
func (d *dispatcherProcess) updateScheduler(owned *ownedWorker) {
	if !owned.claimed {
		return
	}
	e := d.world.engineByName(owned.assignment.Worker)
	load := e.load()
	if load.Epoch < owned.assignment.Epoch {
		// The report is older than the claim.
		return
	}
	previousOwnerSlots := 0
	if !owned.previousOwnerDone {
		previousOwnerSlots = load.Running + load.Waiting - d.scheduler.RunningStartedBy(owned.assignment.Worker, d.world.clock.now.Add(-2*loadLag))
		owned.previousOwnerDone = previousOwnerSlots <= 0
	}
	d.step(scheduling.WorkerUpdated{Spec: scheduling.WorkerSpec{
		ID:                 owned.assignment.Worker,
		Address:            owned.assignment.Worker,
		Zone:               owned.assignment.Zone,
		Epoch:              owned.assignment.Epoch,
		Slots:              d.world.profile.capacity().Slots,
		KVTokens:           d.world.profile.capacity().KVTokens,
		Models:             map[string]bool{simulatedModel: true},
		Leaving:            owned.assignment.Leaving || (load.Leaving && d.world.mutation != MutationIgnoreLeaving),
		PreviousOwnerSlots: max(0, previousOwnerSlots),
	}})
}

// pollLoads reads the load reports of the claimed workers.
func (d *dispatcherProcess) pollLoads() {
	for _, name := range sortedKeys(d.workers) {
		owned := d.workers[name]
		if !owned.claimed {
			continue
		}
		e := d.world.engineByName(name)
		call(d.world, &d.process, &e.process, workerTimeout, func(answer reply[engine.Load]) { answer(e.load(), nil) }, func(load engine.Load, err error) {
			if err != nil || d.workers[name] != owned || load.Incarnation > owned.assignment.Incarnation {
				return
			}
			if load.Leaving && d.world.mutation != MutationIgnoreLeaving {
				owned.assignment.Leaving = true
			}
			d.updateScheduler(owned)
		})
	}
}

// step passes an event to the scheduler and runs the actions that it returns.
func (d *dispatcherProcess) step(event scheduling.Event) {
	actions := d.scheduler.Step(d.world.clock.now, event)
	if w := d.world; w.experiment != nil {
		// Checking the invariants at every step is too slow for experiments.
	} else if err := d.scheduler.CheckInvariants(); err != nil {
		d.world.ledger.violate("priority", "%s: %v", d.name, err)
	}
	for _, action := range actions {
		t := d.tasks[action.AttemptID]
		if t == nil {
			continue
		}
		switch action.Kind {
		case scheduling.Start:
			d.world.ledger.checkWorkSent(d, action.Worker)
			t.generate(action)
		case scheduling.Preempt:
			d.world.ledger.preemptions++
			t.detachAttempt(d.world.mutation != MutationNoPreemption)
			d.world.timer(&d.process, 0, t.startAttempt)
		case scheduling.Abandon:
			t.started = true
			t.detachAttempt(true)
			t.attemptFailed(failure.New(failure.OutcomeUnknown, "send it again if it may be repeated", "the worker stopped answering"))
		case scheduling.Reject:
			delete(d.tasks, action.AttemptID)
			t.attemptFailed(failure.New(failure.NotRun, "send it again", "refused for reason %d", action.Reason))
		}
	}
}

// serve runs an online request for a gateway and streams its frames to onFrame.
func (d *dispatcherProcess) serve(request *wire.GenerateRequest, onFrame func(*wire.GenerateFrame), done func(error)) {
	if !d.session.serves() {
		done(failure.New(failure.NotRun, "send it again", "the dispatcher takes no new work"))
		return
	}
	d.onlineRequests++
	t := newTask(d, request, maxOnlineAttempts)
	t.onFrame = onFrame
	t.done = func(err error) {
		d.onlineRequests--
		done(err)
	}
	t.startAttempt()
}

// resume continues, at an offset, a stream that another dispatcher started.
func (d *dispatcherProcess) resume(worker, attemptID string, offset int, onFrame func(*wire.GenerateFrame), done func(error)) {
	e := d.world.engineByName(worker)
	sequencer := engine.Sequencer{AttemptID: attemptID, Offset: offset}
	finished := false
	finish := func(err error) {
		if !finished {
			finished = true
			done(err)
		}
	}
	errNotResumable := failure.New(failure.OutcomeUnknown, "send it again if it may be repeated", "the stream can't be resumed")
	reader := &engineReader{connection: d.world.connect(&e.process, &d.process), deliver: func(event *engine.Event, err error) {
		if finished {
			return
		}
		keep := false
		if err == nil {
			keep, err = sequencer.Accept(event)
		}
		switch {
		case err != nil:
			finish(err)
		case keep && event.Type == engine.EventTokens:
			onFrame(&wire.GenerateFrame{Kind: wire.FrameTokens, AttemptID: attemptID, Offset: event.Offset, Tokens: event.Tokens, Text: event.Text})
		case keep:
			finish(nil)
		}
	}}
	call(d.world, &d.process, &e.process, engineCallTimeout, func(answer reply[bool]) {
		answer(e.resume(attemptID, offset, reader), nil)
	}, func(known bool, err error) {
		if err != nil || !known {
			finish(errNotResumable)
		}
	})
}

// stop is the planned stop: the dispatcher takes no new work, returns its batch items and waits for
// its online requests, at most for drainTimeout.
func (d *dispatcherProcess) stop(onStopped func()) {
	d.session.draining = true
	d.items.returnAll()
	d.session.sendHeartbeat()
	deadline := d.world.clock.now.Add(drainTimeout)
	var wait func()
	wait = func() {
		if d.onlineRequests > 0 && d.world.clock.now.Before(deadline) {
			d.world.timer(&d.process, drainPoll, wait)
			return
		}
		d.session.leaving = true
		d.session.sendHeartbeat()
		d.world.timer(&d.process, drainPoll, onStopped)
	}
	d.world.timer(&d.process, drainPoll, wait)
}
