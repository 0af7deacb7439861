// Package dispatcher is the daemon that owns workers: it starts attempts on
// them, streams the answers back, and fills what online work leaves over with
// batch items. Where attempts run is decided by package scheduling; this
// package feeds it with events and carries out its actions.
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

// Methods of a dispatcher.
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

	// mutex guards the scheduler and the tasks that its actions name.
	mutex     sync.Mutex
	scheduler *scheduling.Scheduler
	tasks     map[string]*task
	// quarantine holds the requests under which workers of this dispatcher ended.
	quarantine *quarantine.Local
	workers    *workerSet
	items      *itemSet
}

// New prepares the process; d.Run serves it.
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
		Client:   dispatcher.control,
		Logger:   d.Logger,
		Interval: config.Heartbeat.Interval.Std(),
		Timeout:  config.Heartbeat.Timeout.Std(),
		Report:   dispatcher.report,
		OnChange: dispatcher.heard,
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

// newRandom returns a source of random numbers for one process.
func newRandom(now time.Time) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(now.UnixNano()), 1))
}

// report fills in the dispatcher's part of a heartbeat.
func (d *Dispatcher) report(request *wire.HeartbeatRequest) {
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
	request.Utilization = coarse(d.scheduler.Utilization())
}

// utilizationStep is the precision of the utilization in heartbeats: finer
// changes would make every heartbeat news to every gateway.
const utilizationStep = 32

func coarse(utilization uint8) uint8 {
	return utilization / utilizationStep * utilizationStep
}

func (d *Dispatcher) isDraining() bool {
	return d.draining.Load() || d.session.Config().Draining[d.settings.Name]
}

// heard takes in the answer to a heartbeat.
func (d *Dispatcher) heard(response *wire.HeartbeatResponse) {
	d.workers.assign(response.AssignmentVersion, response.Assignments)
	d.mutex.Lock()
	d.scheduler.SetReserve(d.session.Config().ReservePercent)
	d.mutex.Unlock()
	d.daemon.SetReady(!d.draining.Load())
}

// step gives the scheduler one event and hands its actions to their tasks.
func (d *Dispatcher) step(event scheduling.Event) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stepLocked(event)
}

func (d *Dispatcher) stepLocked(event scheduling.Event) {
	for _, action := range d.scheduler.Step(time.Now(), event) {
		if found := d.tasks[action.AttemptID]; found != nil {
			found.deliver(action)
		}
	}
}

// arrive registers a task under its attempt and lets it arrive.
func (d *Dispatcher) arrive(arriving *task) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.tasks[arriving.attempt.ID] = arriving
	d.stepLocked(scheduling.AttemptArrived{Attempt: arriving.attempt})
}

// finish ends a task's current attempt.
func (d *Dispatcher) finish(ended *task, cachedBlocks int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.tasks, ended.attempt.ID)
	d.stepLocked(scheduling.AttemptEnded{AttemptID: ended.attempt.ID, CachedBlocks: cachedBlocks})
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

// drain is the planned stop: no new work is taken, batch items are given back,
// online requests run to their end, and the workers go to other dispatchers.
func (d *Dispatcher) drain(ctx context.Context) {
	d.draining.Store(true)
	d.session.SendHeartbeat(ctx)
	d.items.giveBack(ctx)
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

// leave tells control that the lease is no longer needed.
func (d *Dispatcher) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveCallTimeout)
	defer cancel()
	request := &wire.HeartbeatRequest{Leaving: true}
	d.report(request)
	// Without an answer the lease runs out by itself.
	_, _ = controlclient.Call[wire.HeartbeatResponse](ctx, d.control, controlclient.MetaGroup, controlclient.MethodHeartbeat, request)
}

// accepts returns a NotRun failure while the dispatcher must take no new work.
func (d *Dispatcher) accepts() error {
	now := clock.Exact()
	switch {
	case d.isDraining():
		return errDraining()
	case !d.session.LeaseValid(now):
		return errLeaseLapsed()
	case !d.session.ConfigValid(now):
		return errConfigLapsed()
	}
	return nil
}
