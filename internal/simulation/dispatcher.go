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

// dispatcherProcess is a dispatcher: the real scheduler with a shell that stands
// for its connections.
type dispatcherProcess struct {
	process
	world     *World
	session   *session
	scheduler *scheduling.Scheduler
	tasks     map[string]*task
	workers   map[string]*ownedWorker
	items     *itemSet
	online    int
	streams   streamSet
}

// ownedWorker is an assigned worker.
type ownedWorker struct {
	assignment wire.Assignment
	claimed    bool
	settled    bool
}

func (w *World) addDispatcher(number int) {
	d := &dispatcherProcess{process: process{name: fmt.Sprintf("d%d", number+1), zone: number % w.profile.Zones}, world: w}
	w.dispatchers = append(w.dispatchers, d)
	w.dispatchersNamed[d.name] = d
	d.start()
}

func (w *World) dispatcherByName(name string) *dispatcherProcess {
	return w.dispatchersNamed[name]
}

func (d *dispatcherProcess) start() {
	w := d.world
	d.alive = true
	d.life++
	d.scheduler = scheduling.New(scheduling.Config{MaxQueue: maxOnlineQueue, ReservePercent: w.profile.ReservePercent, AdaptiveReserve: w.variant.AdaptiveReserve, EnginePriorities: w.variant.EnginePriorities, WorkerTimeout: workerTimeout}, w.random)
	d.tasks = map[string]*task{}
	d.workers = map[string]*ownedWorker{}
	d.items = newItemSet(d)
	d.online = 0
	d.streams = nil
	previous := d.session
	d.session = w.newSession(&d.process, wire.RoleDispatcher, previous)
	d.session.report = d.report
	d.session.changed = d.reconcile
	w.every(&d.process, loadInterval, d.pollLoads)
	w.every(&d.process, tickInterval*5, func() { d.step(scheduling.Tick{}) })
	w.every(&d.process, pullInterval, d.items.pull)
	w.every(&d.process, reportInterval, d.items.report)
}

func (d *dispatcherProcess) report(request *wire.HeartbeatRequest) {
	_, request.Models = d.scheduler.BatchCapacity()
	request.Utilization = d.scheduler.Utilization() &^ 31
	for _, name := range sortedKeys(d.workers) {
		e := d.world.engineByName(name)
		owned := d.workers[name]
		// Leaving is learnt from the engine's own reports.
		leaving := owned.claimed && e.alive && e.load().Leaving && e.incarnation == owned.assignment.Incarnation
		request.Workers = append(request.Workers, wire.WorkerReport{Worker: name, Epoch: owned.assignment.Epoch, Leaving: leaving && d.world.mutation != MutationIgnoreLeaving})
	}
}

// reconcile follows the assignments.
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
			// The next load report takes it to the scheduler.
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

// claim takes a worker over under the assignment's epoch.
func (d *dispatcherProcess) claim(owned *ownedWorker) {
	e := d.world.engineByName(owned.assignment.Worker)
	call(d.world, &d.process, &e.process, engineCallTimeout, func(answer reply[bool]) {
		answer(e.incarnation == owned.assignment.Incarnation && e.own(owned.assignment.Epoch), nil)
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
		d.update(owned)
	})
}

func (d *dispatcherProcess) update(owned *ownedWorker) {
	if !owned.claimed {
		return
	}
	e := d.world.engineByName(owned.assignment.Worker)
	load := e.load()
	if load.Epoch < owned.assignment.Epoch {
		// The report is from before the claim.
		return
	}
	foreign := 0
	if !owned.settled {
		foreign = load.Running + load.Waiting - d.scheduler.RunningSince(owned.assignment.Worker, d.world.clock.now.Add(-2*loadLag))
		owned.settled = foreign <= 0
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
		PreviousOwnerSlots: max(0, foreign),
	}})
}

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
			d.update(owned)
		})
	}
}

// step feeds the scheduler and carries out its actions.
func (d *dispatcherProcess) step(happened scheduling.Event) {
	actions := d.scheduler.Step(d.world.clock.now, happened)
	if w := d.world; w.experiment != nil {
		// Every step is checked in failure runs; here it would take the time.
	} else if err := d.scheduler.CheckInvariants(); err != nil {
		d.world.ledger.violate("priority", "%s: %v", d.name, err)
	}
	for _, action := range actions {
		found := d.tasks[action.AttemptID]
		if found == nil {
			continue
		}
		switch action.Kind {
		case scheduling.Start:
			d.world.ledger.sent(d, action.Worker)
			found.generate(action)
		case scheduling.Preempt:
			d.world.ledger.preemptions++
			found.leaveWorker(d.world.mutation != MutationNoPreemption)
			d.world.timer(&d.process, 0, found.begin)
		case scheduling.Abandon:
			found.started = true
			found.leaveWorker(true)
			found.failed(failure.New(failure.OutcomeUnknown, "send it again if it may be repeated", "the worker stopped answering"))
		case scheduling.Reject:
			delete(d.tasks, action.AttemptID)
			found.failed(failure.New(failure.NotRun, "send it again", "refused for reason %d", action.Reason))
		}
	}
}

// serve runs an online request for a gateway.
func (d *dispatcherProcess) serve(request *wire.GenerateRequest, frames func(*wire.GenerateFrame), done func(error)) {
	if !d.session.serves() {
		done(failure.New(failure.NotRun, "send it again", "the dispatcher takes no new work"))
		return
	}
	d.online++
	t := newTask(d, request, maxOnlineAttempts)
	t.frames = frames
	t.done = func(err error) {
		d.online--
		done(err)
	}
	t.begin()
}

// resume reads on in a stream that another dispatcher started.
func (d *dispatcherProcess) resume(worker, attemptID string, offset int, frames func(*wire.GenerateFrame), done func(error)) {
	e := d.world.engineByName(worker)
	order := engine.Sequencer{AttemptID: attemptID, Offset: offset}
	over := false
	end := func(err error) {
		if !over {
			over = true
			done(err)
		}
	}
	unknown := failure.New(failure.OutcomeUnknown, "send it again if it may be repeated", "the stream can't be resumed")
	reader := &engineReader{connection: d.world.connect(&e.process, &d.process), deliver: func(event *engine.Event, err error) {
		if over {
			return
		}
		keep := false
		if err == nil {
			keep, err = order.Accept(event)
		}
		switch {
		case err != nil:
			end(err)
		case keep && event.Type == engine.EventTokens:
			frames(&wire.GenerateFrame{Kind: wire.FrameTokens, AttemptID: attemptID, Offset: event.Offset, Tokens: event.Tokens, Text: event.Text})
		case keep:
			end(nil)
		}
	}}
	call(d.world, &d.process, &e.process, engineCallTimeout, func(answer reply[bool]) {
		answer(e.resume(attemptID, offset, reader), nil)
	}, func(known bool, err error) {
		if err != nil || !known {
			end(unknown)
		}
	})
}

// stop is the planned stop: no new work, everything handed back, what runs is
// finished.
func (d *dispatcherProcess) stop(then func()) {
	d.session.draining = true
	d.items.giveBack()
	d.session.beat()
	deadline := d.world.clock.now.Add(drainTimeout)
	var wait func()
	wait = func() {
		if d.online > 0 && d.world.clock.now.Before(deadline) {
			d.world.timer(&d.process, drainPoll, wait)
			return
		}
		d.session.leaving = true
		d.session.beat()
		d.world.timer(&d.process, drainPoll, then)
	}
	d.world.timer(&d.process, drainPoll, wait)
}
