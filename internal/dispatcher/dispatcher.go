// Package dispatcher implements the dispatcher process, which owns a set of workers. It starts
// attempts on them, streams the answers back to the callers, and fills the capacity that online
// requests leave free with batch items. Package scheduling decides where attempts run; this package
// passes events to it and carries out its actions.
package dispatcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/quarantine"

	"github.com/sedgemast/sedgemast/internal/controlclient"
	"github.com/sedgemast/sedgemast/internal/daemon"
	"github.com/sedgemast/sedgemast/internal/engine"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/scheduling"
	"github.com/sedgemast/sedgemast/internal/settings"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// RPC methods of a dispatcher.
const (
	MethodGenerate = "generate"
	MethodResume   = "resume"
)

const (
	tickInterval     = 20 * time.Millisecond
	drainPoll        = 20 * time.Millisecond
	leaveCallTimeout = time.Second
)

// Dispatcher is a dispatcher process.
type Dispatcher struct {
	daemon      *daemon.Daemon
	settings    *settings.Dispatcher
	logger      logging.Logger
	control     *controlclient.Client
	session     *controlclient.Session
	online      *engine.Client
	batch       *engine.Client
	metrics     *metrics
	incarnation uint64
	draining    atomic.Bool

	// mutex guards scheduler and tasks.
	mutex     sync.Mutex
	scheduler *scheduling.Scheduler
	tasks     map[string]*task
	// quarantine tracks the requests during which workers of this dispatcher exited.
	quarantine *quarantine.Local
	workers    *workerSet
	items      *itemSet
}

// New creates the dispatcher and registers its handlers and loops with d; d.Run serves it.
func New(d *daemon.Daemon, config *settings.Dispatcher) *Dispatcher {
	now := time.Now()
	dispatcher := &Dispatcher{
		daemon:      d,
		settings:    config,
		logger:      d.Logger,
		control:     controlclient.New(config.Control),
		online:      engine.NewClient(),
		batch:       engine.NewClient(),
		incarnation: uint64(now.UnixNano()),
		scheduler:   scheduling.New(scheduling.Config{MaxQueue: config.MaxQueue, WorkerTimeout: config.WorkerTimeout.Std()}, newRandom(now)),
		tasks:       map[string]*task{},
		quarantine:  quarantine.NewLocal(),
	}
	dispatcher.session = controlclient.NewSession(controlclient.SessionOptions{
		Client:     dispatcher.control,
		Logger:     d.Logger,
		Interval:   config.Heartbeat.Interval.Std(),
		Timeout:    config.Heartbeat.Timeout.Std(),
		Report:     dispatcher.fillHeartbeat,
		OnResponse: dispatcher.applyHeartbeat,
	})
	dispatcher.metrics = newMetrics(d.Registry, dispatcher)
	dispatcher.workers = newWorkerSet(dispatcher)
	dispatcher.items = newItemSet(dispatcher)
	rpc.HandleStream(d.Server, MethodGenerate, dispatcher.handleGenerate)
	rpc.HandleStream(d.Server, MethodResume, dispatcher.handleResume)
	d.BeforeStop(dispatcher.drain)
	d.Go(dispatcher.session.Run)
	d.Go(dispatcher.tickLoop)
	d.Go(dispatcher.items.pullLoop)
	d.Go(dispatcher.items.reportLoop)
	return dispatcher
}

// newRandom returns a random source that is seeded with now.
func newRandom(now time.Time) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(now.UnixNano()), 1))
}

// fillHeartbeat sets the fields of a heartbeat that describe this dispatcher.
func (d *Dispatcher) fillHeartbeat(request *wire.HeartbeatRequest) {
	request.Daemon = d.settings.Name
	request.Incarnation = d.incarnation
	request.Role = wire.RoleDispatcher
	request.Zone = d.settings.Zone
	request.Address = d.daemon.Address()
	request.Draining = d.isDraining()
	request.Workers = d.workers.reports()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	_, request.Models = d.scheduler.BatchCapacity()
	request.Utilization = roundUtilization(d.scheduler.Utilization())
}

// utilizationStep is the step to which the utilization in heartbeats is rounded down. With a finer
// step nearly every heartbeat would change the view that control sends to every gateway.
const utilizationStep = 32

func roundUtilization(utilization uint8) uint8 {
	return utilization / utilizationStep * utilizationStep
}

func (d *Dispatcher) isDraining() bool {
	return d.draining.Load() || d.session.Config().Draining[d.settings.Name]
}

// applyHeartbeat applies the response to a heartbeat.
func (d *Dispatcher) applyHeartbeat(response *wire.HeartbeatResponse) {
	d.workers.assign(response.AssignmentVersion, response.Assignments)
	d.mutex.Lock()
	d.scheduler.SetReserve(d.session.Config().ReservePercent)
	d.mutex.Unlock()
	d.daemon.SetReady(!d.draining.Load())
}

// step passes an event to the scheduler and delivers the resulting actions to their tasks.
func (d *Dispatcher) step(event scheduling.Event) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stepLocked(event)
}

func (d *Dispatcher) stepLocked(event scheduling.Event) {
	for _, action := range d.scheduler.Step(time.Now(), event) {
		if t := d.tasks[action.AttemptID]; t != nil {
			t.deliver(action)
		}
	}
}

// submitAttempt registers a task under its current attempt and passes the attempt to the scheduler.
func (d *Dispatcher) submitAttempt(t *task) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.tasks[t.attempt.ID] = t
	d.stepLocked(scheduling.AttemptArrived{Attempt: t.attempt})
}

// finishAttempt tells the scheduler that a task's current attempt has ended. A negative
// cachedBlocks means that the number is not known.
func (d *Dispatcher) finishAttempt(t *task, cachedBlocks int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.tasks, t.attempt.ID)
	d.stepLocked(scheduling.AttemptEnded{AttemptID: t.attempt.ID, CachedBlocks: cachedBlocks})
}

func (d *Dispatcher) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.step(scheduling.Tick{})
		}
	}
}

// drain performs a planned stop: it accepts no new work, releases the batch items, waits until the
// online requests have ended, and leaves, so that control assigns the workers to other dispatchers.
func (d *Dispatcher) drain(ctx context.Context) {
	d.draining.Store(true)
	d.session.SendHeartbeat(ctx)
	d.items.releaseAll(ctx)
	for ctx.Err() == nil && d.busy() {
		time.Sleep(drainPoll)
	}
	d.leave()
	logging.Info(d.logger, "drained", "complete", ctx.Err() == nil)
}

func (d *Dispatcher) busy() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.tasks) > 0
}

// leave tells control that the dispatcher no longer needs its lease.
func (d *Dispatcher) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveCallTimeout)
	defer cancel()
	request := &wire.HeartbeatRequest{Leaving: true}
	d.fillHeartbeat(request)
	// Without a response the lease expires by itself.
	_, _ = controlclient.Call[wire.HeartbeatResponse](ctx, d.control, controlclient.MetaGroup, controlclient.MethodHeartbeat, request)
}

// checkAccepting returns a NotRun failure if the dispatcher must not accept new work.
func (d *Dispatcher) checkAccepting() error {
	now := clock.Exact()
	switch {
	case d.isDraining():
		return errDraining()
	case !d.session.LeaseValid(now):
		return errLeaseExpired()
	case !d.session.ConfigValid(now):
		return errConfigExpired()
	}
	return nil
}
