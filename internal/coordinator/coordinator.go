// Package coordinator is the daemon that runs the fleet group, a consensus group that stores
// the configuration of routes and the membership of the fleet. Its leader reads the
// platform's list of workers and sends changes to all processes.
package coordinator

import (
	"context"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/daemon"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/fleetstate"
	"github.com/sedgemast/sedgemast/internal/fleetview"
	"github.com/sedgemast/sedgemast/internal/fleetwatch"
	"github.com/sedgemast/sedgemast/internal/listreader"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/replication"
	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/settings"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

const (
	// fleetGroup is the number of the only consensus group of coordinators.
	fleetGroup = 0
	// maxVoters bounds the voters of the group; further coordinators are spares.
	maxVoters       = 9
	refreshInterval = 100 * time.Millisecond
	// leaderCheckInterval is the time between checks whether this process leads the group.
	leaderCheckInterval = 25 * time.Millisecond
	transferTimeout     = 2 * time.Second
	// heartbeatsPerTimeout is the number of heartbeats that a leader sends within the
	// shortest election timeout.
	heartbeatsPerTimeout = 5
)

// Coordinator is a coordinator process.
type Coordinator struct {
	daemon   *daemon.Daemon
	settings *settings.Coordinator
	logger   logging.Logger
	store    storage.Store
	host     *replication.Host
	client   *rpc.Client
	machine  *fleetstate.Machine
	list     *listreader.Reader
	changes  prometheus.Counter
	watches  prometheus.Counter
	// invalidEntries counts entries of the platform's list that can't be used.
	invalidEntries prometheus.Counter

	updates updateCache
	relay   *relay
	// appliedQuarantine holds the quarantine's revisions after the last command. Only the
	// goroutine that applies commands may use it.
	appliedQuarantine quarantineRevisions

	// mutex guards the fields below.
	mutex   sync.Mutex
	view    *fleetview.View
	timers  *quarantine.Timers
	gate    quarantine.Gate
	changed chan struct{}
	// pendingRows are the rows of a first reading that are not in the view yet; partialAt is
	// when rows of a first reading were last added to the view. readingFrom is when the reading in
	// progress began.
	pendingRows []wire.PoolWorker
	readingFrom time.Time
	partialAt   time.Time
}

// New opens the store in the data folder and registers the coordinator's handlers and loops with
// d; d.Run starts to serve. pages reads the platform's list of workers.
func New(d *daemon.Daemon, config *settings.Coordinator, pages listreader.Pager) (*Coordinator, error) {
	store, err := storage.OpenPebble(config.DataFolder, vfs.Default)
	if err != nil {
		return nil, err
	}
	d.ReserveMemory(storage.NativeBytes)
	c := &Coordinator{
		daemon:   d,
		settings: config,
		logger:   d.Logger,
		store:    store,
		client:   rpc.NewClient(),
		machine:  fleetstate.New(),
		list:     listreader.New(pages, config.Zones),
		changes:  prometheus.NewCounter(prometheus.CounterOpts{Name: "coordinator_configurations_total", Help: "Configurations committed here."}),
		watches:  prometheus.NewCounter(prometheus.CounterOpts{Name: "coordinator_watches_total", Help: "Watches answered as leader."}),
		changed:  make(chan struct{}),

		invalidEntries: prometheus.NewCounter(prometheus.CounterOpts{Name: "coordinator_odd_entries_total", Help: "Entries of the list of workers that name none to use, counted at each reading."}),
	}
	listAge := prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "coordinator_list_age_seconds", Help: "Time since the reading began by which this process, as the leader, knows the list of workers; -1 elsewhere."}, c.listAge)
	c.host, err = replication.NewHost(c.replicationOptions(), replication.NewPeerTransport(d.Traffic))
	if err != nil {
		return nil, errors.CombineErrors(err, store.Close())
	}
	d.CompleteStep(daemon.StepStorage)
	d.Registry.MustRegister(c.changes, c.watches, c.invalidEntries, listAge)
	c.relay = newRelay(c)
	c.list.OnPage = c.addWorkers
	c.register()
	d.BeforeStop(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, transferTimeout)
		defer cancel()
		c.host.TransferAllLeadership(ctx)
	})
	d.Go(c.refreshLoop)
	d.Go(c.pollLoop)
	d.Go(c.relay.watcher.Run)
	return c, nil
}

func (c *Coordinator) replicationOptions() replication.Options {
	now := uint64(time.Now().UnixNano())
	return replication.Options{
		Store:             c.store,
		Machines:          []replication.StateMachine{&replication.NotifyingStateMachine{StateMachine: c.machine, Notify: c.onApplied}},
		Name:              c.settings.Name,
		Address:           c.daemon.Address(),
		Peers:             c.settings.Seeds,
		Voters:            maxVoters,
		MinVoters:         2*c.settings.Tolerate + 1,
		BootstrapMode:     replication.BootstrapFromSeeds,
		Bootstrap:         c.settings.Bootstrap,
		NewID:             replication.NewID,
		ElectionTimeout:   c.settings.ElectionTimeout.Std(),
		HeartbeatInterval: c.settings.ElectionTimeout.Std() / heartbeatsPerTimeout,
		ReplaceAfter:      c.settings.ReplaceAfter.Std(),
		RetainedLogBytes:  c.settings.RetainedLogBytes(),
		Random:            mathrand.New(mathrand.NewPCG(now, now)),
	}
}

// notify wakes the watches that wait for a change.
func (c *Coordinator) notify() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

// readLeader calls read with the view if this process leads, and returns an error otherwise. It
// may be called from any goroutine. It holds the mutex, so read must not call notify.
func (c *Coordinator) readLeader(read func(now time.Time, v *fleetview.View)) error {
	return c.host.Read(fleetGroup, func(term uint64, _ storage.Reader) error {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		if c.view == nil || c.view.Term != term {
			c.view, c.timers = fleetview.New(term), quarantine.NewTimers()
			c.gate.StartTerm(c.machine.Quarantine())
			c.pendingRows = nil
			if list := c.continuedList(); list != nil {
				c.view.ContinueList(list.Workers, list.ListReadAt)
			}
			logging.Info(c.logger, "leading", "term", term)
		}
		read(clock.Now(), c.view)
		return nil
	})
}

// refreshLoop keeps the leader's view up to date, bootstraps the store groups once the view names
// their initial voters, and maintains the quarantine.
func (c *Coordinator) refreshLoop(ctx context.Context) {
	daemon.Every(ctx, refreshInterval, func() {
		processes, err := c.host.Processes(ctx)
		if err != nil {
			return
		}
		c.applyGenerations(processes)
		var coordinators []string
		if len(processes) > 1 {
			// This process is listed first, followed by those that it has heard from.
			c.daemon.CompleteStep(daemon.StepPeer)
		}
		for i := range processes {
			if processes[i].SilentMillis <= fleetview.ProcessTTL.Milliseconds() {
				coordinators = append(coordinators, processes[i].Hello.Replica.Address)
			}
		}
		changed := false
		var initialVoters [][]wire.Replica
		err = c.readLeader(func(now time.Time, v *fleetview.View) {
			changed = v.Refresh(now, coordinators, c.machine.InitialVoters(), c.machine.Retiring())
			if len(c.machine.InitialVoters()) == 0 {
				initialVoters = v.InitialVoters(now, c.settings.Tolerate)
			}
		})
		if err != nil {
			return
		}
		if changed {
			c.notify()
		}
		c.maintainQuarantine(ctx)
		if len(initialVoters) > 0 {
			_, err := c.propose(ctx, &wire.FleetCommand{Form: &wire.FormStores{Groups: initialVoters}})
			logging.Info(c.logger, "store_groups_forming", "groups", len(initialVoters), "voters", len(initialVoters[0]), "error", err)
		}
	})
}

// pollLoop reads the platform's list while this process leads: immediately when it becomes leader,
// because no request is served before the list is known, and periodically after that.
func (c *Coordinator) pollLoop(ctx context.Context) {
	var polledTerm uint64
	var nextPoll time.Time
	var logged listLog
	daemon.Every(ctx, leaderCheckInterval, func() {
		term := uint64(0)
		if c.readLeader(func(_ time.Time, v *fleetview.View) { term = v.Term }) != nil {
			return
		}
		now := clock.Now()
		if term == polledTerm && now.Before(nextPoll) {
			return
		}
		if term != polledTerm {
			c.takeOverList()
		}
		polledTerm = term
		calls := c.readList(ctx, &logged)
		nextPoll = now.Add(listreader.PollInterval(c.settings.PollInterval.Std(), calls, c.settings.PlatformRate))
	})
}

// maxContinuedAge is the largest age of a list with which a new leader begins.
const maxContinuedAge = 5 * time.Second

// continuedList returns the copy of the list from which a new leader goes on, nil if there is none:
// its own relay's, if that is whole and young. All processes have that list or one close to it, so a
// change of leaders costs no more than the changes meanwhile.
func (c *Coordinator) continuedList() *fleetwatch.Snapshot {
	snapshot := c.relay.watcher.Current()
	if !snapshot.Fleet.Listed || snapshot.ListAge(clock.Now()) > maxContinuedAge {
		return nil
	}
	return snapshot
}

// takeOverList prepares the first reading of a term.
func (c *Coordinator) takeOverList() {
	var continued *workerset.Set
	var readAt time.Time
	// An error means that another process leads now.
	_ = c.readLeader(func(_ time.Time, v *fleetview.View) {
		if v.Current.Listed {
			continued, readAt = v.Workers(), v.ListReadAt
		}
	})
	if continued == nil {
		c.list.Reset()
		return
	}
	logging.Info(c.logger, "worker_list_continued", "workers", continued.Len(), "age_ms", clock.Since(readAt).Milliseconds())
	c.list.Continue(continued.Rows(), readAt)
}

// listLog is the state of the list that was logged last; only changes are logged.
type listLog struct {
	failing bool
	// invalid is the number of entries that could not be used.
	invalid int
}

// readList reads the list and updates the view. It returns the number of calls.
func (c *Coordinator) readList(ctx context.Context, logged *listLog) int {
	start := clock.Now()
	c.mutex.Lock()
	c.readingFrom = start
	c.mutex.Unlock()
	reading, err := c.list.Read(ctx)
	failing := err != nil || len(reading.StaleZones) > 0
	if failing != logged.failing {
		logged.failing = failing
		logging.Info(c.logger, "worker_list", "readable", !failing, "error", err)
	}
	if err != nil {
		return 0
	}
	c.invalidEntries.Add(float64(reading.Invalid))
	if reading.Invalid != logged.invalid {
		logged.invalid = reading.Invalid
		logging.Warn(c.logger, "worker_list_entries", "odd", reading.Invalid, "workers", len(reading.Rows), "last", reading.InvalidErr)
	}
	changed, viewNumber := false, uint64(0)
	var exited []string
	// An error means that another process leads now; that one reads the list itself.
	_ = c.readLeader(func(now time.Time, v *fleetview.View) {
		c.pendingRows = nil
		before := v.Workers()
		changed = v.SetWorkers(reading.Rows, reading.ReadAt)
		viewNumber = v.Number
		exited = v.Workers().Exited(before)
		c.timers.RecordList(now, reading.ReadAt, exited)
	})
	if changed {
		logging.Info(c.logger, "workers_changed", "workers", len(reading.Rows), "leaving", workerset.CountLeaving(reading.Rows), "exited", len(exited), "view", viewNumber, "calls", reading.Calls, "kept", len(reading.StaleZones), "ms", clock.Now().Sub(start).Milliseconds(), "age_ms", clock.Since(reading.ReadAt).Milliseconds())
		c.notify()
	}
	return reading.Calls
}

// listAge returns the age of the list of workers in seconds, or -1 if this process does not lead or
// has no list.
func (c *Coordinator) listAge() float64 {
	age := -1.0
	// An error means that another process leads.
	_ = c.readLeader(func(now time.Time, v *fleetview.View) {
		if !v.ListReadAt.IsZero() {
			age = now.Sub(v.ListReadAt).Seconds()
		}
	})
	return age
}

// minPartialInterval is the minimum time between two updates with pages of a first reading: each
// update wakes all watches, and a reading of 10,000 workers has 51 pages.
const minPartialInterval = 200 * time.Millisecond

// addWorkers adds a page of the list's first reading to the view, so that requests are served
// before the whole list has been read. After all processes were killed at once, no request is
// served until some workers are known, and reading all 51 pages takes a second while a thousand
// processes send their watches.
func (c *Coordinator) addWorkers(rows []wire.PoolWorker) {
	added := false
	// An error means that another process leads now; that one reads the list itself.
	_ = c.readLeader(func(now time.Time, v *fleetview.View) {
		c.pendingRows = append(c.pendingRows, rows...)
		if now.Sub(c.partialAt) < minPartialInterval {
			return
		}
		if added = v.AddWorkers(c.pendingRows, c.readingFrom); added {
			c.pendingRows, c.partialAt = nil, now
		}
	})
	if added {
		c.notify()
	}
}

// propose commits a command to the group's log and returns its result. It fails if this process
// does not lead.
func (c *Coordinator) propose(ctx context.Context, command *wire.FleetCommand) (*wire.FleetResult, error) {
	encoded, err := command.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	answer, err := c.host.Propose(ctx, fleetGroup, encoded)
	if err != nil {
		return nil, err
	}
	result := &wire.FleetResult{}
	if _, err := result.UnmarshalMsg(answer); err != nil {
		return nil, err
	}
	return result, result.Failure.Err()
}

const (
	// leaderRetryInterval is the time between two attempts to reach the leader.
	leaderRetryInterval = 40 * time.Millisecond
	// leaderRetryTimeout is the time within which attempts may start; the last call to the leader
	// must end within twice that.
	leaderRetryTimeout = 800 * time.Millisecond
)

// runAtLeader runs a call locally if this process leads, or else sends it to the leader. It retries
// for leaderRetryTimeout while there is no leader. Only calls that certainly did not run are
// retried, never one whose outcome is unknown.
func runAtLeader[Response any, Pointer rpc.Decodable[Response]](ctx context.Context, c *Coordinator, method string, request msgp.Marshaler, local func(context.Context) (*Response, error)) (*Response, error) {
	deadline := time.Now().Add(leaderRetryTimeout)
	for {
		response, err := local(ctx)
		if err == nil {
			return response, nil
		}
		if leader := consensus.LeaderFromError(err); leader != "" && leader != c.daemon.Address() {
			callContext, cancel := context.WithDeadline(ctx, deadline.Add(leaderRetryTimeout))
			response, err = rpc.Call[Response, Pointer](callContext, c.client, leader, method, request)
			cancel()
		}
		if err == nil || !failure.Is(err, failure.NotRun) || time.Now().After(deadline) {
			return response, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(leaderRetryInterval):
		}
	}
}

// Close stops the consensus group and closes the store. It must be called after the server has
// stopped.
func (c *Coordinator) Close() error {
	c.host.Close()
	c.client.Close()
	return c.store.Close()
}

// AddSeeds adds the addresses of further coordinators to the peers, and makes them and this process
// the seeds of the relay's watcher.
func (c *Coordinator) AddSeeds(ctx context.Context, seeds []string) error {
	c.relay.watcher.SetSeeds(append([]string{c.daemon.Address()}, seeds...))
	return c.host.AddPeers(ctx, seeds)
}
