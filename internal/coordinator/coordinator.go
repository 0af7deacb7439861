// Package coordinator is the daemon that keeps the fleet group: the
// configuration of routes, and who belongs to the fleet. Its leader reads the
// platform's list of workers and tells every process what has changed.
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
	"github.com/sedgemast/sedgemast/internal/listreader"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/replication"
	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/settings"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// fleetGroup is the number of the only group.
	fleetGroup = 0
	// maxVoters bounds the group; further coordinators are spares.
	maxVoters       = 9
	refreshInterval = 100 * time.Millisecond
	// leadInterval is the time between looks whether this process leads now.
	leadInterval    = 25 * time.Millisecond
	handOverTimeout = 2 * time.Second
	// heartbeatsPerTimeout is how many heartbeats a leader sends within the
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
	// oddEntries counts entries of the platform's list that name no worker to use.
	oddEntries prometheus.Counter

	news  newsCache
	relay *relay
	// quarantineAt is the quarantine's state after the last command. It belongs to the
	// goroutine that applies commands.
	quarantineAt quarantineMark

	// mutex guards what follows.
	mutex   sync.Mutex
	view    *fleetview.View
	warden  *quarantine.Timers
	gate    quarantine.Gate
	changed chan struct{}
	// pages are those of a first reading that are still to be told, pagesAt is when some
	// were told last.
	pages   []wire.PoolWorker
	pagesAt time.Time
}

// New opens the data folder and prepares the process; d.Run serves it.
// The pages are those of the platform's list of workers.
func New(d *daemon.Daemon, config *settings.Coordinator, pages listreader.Pager) (*Coordinator, error) {
	store, err := storage.OpenPebble(config.DataFolder, vfs.Default)
	if err != nil {
		return nil, err
	}
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

		oddEntries: prometheus.NewCounter(prometheus.CounterOpts{Name: "coordinator_odd_entries_total", Help: "Entries of the list of workers that name none to use, counted at each reading."}),
	}
	c.host, err = replication.NewHost(c.replicationOptions(), replication.NewPeerTransport(d.Traffic))
	if err != nil {
		return nil, errors.CombineErrors(err, store.Close())
	}
	d.CompleteStep(daemon.StepStorage)
	d.Registry.MustRegister(c.changes, c.watches, c.oddEntries)
	c.relay = newRelay(c)
	c.list.OnPage = c.addWorkers
	c.register()
	d.BeforeStop(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
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
		Machines:          []replication.StateMachine{&replication.NotifyingStateMachine{StateMachine: c.machine, Notify: c.applied}},
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

// notify wakes the calls that wait for news.
func (c *Coordinator) notify() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

// readLeader calls read with the leader's view, if this process leads; it may
// be called from any goroutine. read must not call notify.
func (c *Coordinator) readLeader(read func(now time.Time, v *fleetview.View)) error {
	return c.host.Read(fleetGroup, func(term uint64, _ storage.Reader) error {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		if c.view == nil || c.view.Term != term {
			c.view, c.warden = fleetview.New(term), quarantine.NewTimers()
			c.gate.StartTerm(c.machine.Quarantine())
			c.pages = nil
			logging.Info(c.logger, "leading", "term", term)
		}
		read(clock.Now(), c.view)
		return nil
	})
}

// refreshLoop keeps the leader's view up to date and carries out what follows
// from it.
func (c *Coordinator) refreshLoop(ctx context.Context) {
	daemon.Every(ctx, refreshInterval, func() {
		processes, err := c.host.Processes(ctx)
		if err != nil {
			return
		}
		c.noteGenerations(processes)
		var coordinators []string
		if len(processes) > 1 {
			// This process comes first, then those that were heard.
			c.daemon.CompleteStep(daemon.StepPeer)
		}
		for i := range processes {
			if processes[i].SilentMillis <= fleetview.ProcessTTL.Milliseconds() {
				coordinators = append(coordinators, processes[i].Hello.Replica.Address)
			}
		}
		changed := false
		var form [][]wire.Replica
		err = c.readLeader(func(now time.Time, v *fleetview.View) {
			changed = v.Refresh(now, coordinators, c.machine.InitialVoters(), c.machine.Retiring())
			if len(c.machine.InitialVoters()) == 0 {
				form = v.InitialVoters(now, c.settings.Tolerate)
			}
		})
		if err != nil {
			return
		}
		if changed {
			c.notify()
		}
		c.keepQuarantine(ctx)
		if len(form) > 0 {
			_, err := c.propose(ctx, &wire.FleetCommand{Form: &wire.FormStores{Groups: form}})
			logging.Info(c.logger, "store_groups_forming", "groups", len(form), "voters", len(form[0]), "error", err)
		}
	})
}

// listTimeout bounds a reading of the platform's list: a hundred pages of 20 ms.
const listTimeout = 2 * time.Second

// pollLoop reads the platform's list while this process leads: at once when it
// begins to, because nobody is served before, and then at intervals.
func (c *Coordinator) pollLoop(ctx context.Context) {
	var term uint64
	var due time.Time
	var seen listLog
	daemon.Every(ctx, leadInterval, func() {
		began := uint64(0)
		if c.readLeader(func(_ time.Time, v *fleetview.View) { began = v.Term }) != nil {
			return
		}
		now := clock.Now()
		if began == term && now.Before(due) {
			return
		}
		if began != term {
			c.list.Reset()
		}
		term = began
		calls := c.readList(ctx, &seen)
		due = now.Add(listreader.PollInterval(c.settings.PollInterval.Std(), calls, c.settings.PlatformRate))
	})
}

// listLog remembers what was written last of readings.
type listLog struct {
	failing bool
	// odd is how many entries named no worker to use.
	odd int
}

// readList reads the list and takes it in. It returns how many calls that took.
func (c *Coordinator) readList(ctx context.Context, seen *listLog) int {
	began := clock.Now()
	callContext, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	reading, err := c.list.Read(callContext)
	failing := err != nil || len(reading.StaleZones) > 0
	if failing != seen.failing {
		seen.failing = failing
		logging.Info(c.logger, "worker_list", "readable", !failing, "error", err)
	}
	if err != nil {
		return 0
	}
	c.oddEntries.Add(float64(reading.Invalid))
	if reading.Invalid != seen.odd {
		seen.odd = reading.Invalid
		logging.Warn(c.logger, "worker_list_entries", "odd", reading.Invalid, "workers", len(reading.Rows), "last", reading.InvalidErr)
	}
	changed, number := false, uint64(0)
	// An error means that another process leads now; it reads the list itself.
	_ = c.readLeader(func(_ time.Time, v *fleetview.View) {
		c.pages = nil
		changed = v.SetWorkers(reading.Rows)
		number = v.Number
	})
	if changed {
		logging.Info(c.logger, "workers_changed", "workers", len(reading.Rows), "view", number, "calls", reading.Calls, "kept", len(reading.StaleZones), "ms", clock.Now().Sub(began).Milliseconds())
		c.notify()
	}
	return reading.Calls
}

// partialPause is the shortest time between two parts of a first reading that are told: each
// wakes all watches, and a reading has 51 pages at 10,000 workers.
const partialPause = 200 * time.Millisecond

// addWorkers takes in a page of the list's first reading: after all processes were killed at
// once, nobody is served until some workers are known, and 51 pages take a second beside
// the questions of a thousand processes.
func (c *Coordinator) addWorkers(rows []wire.PoolWorker) {
	added := false
	// An error means that another process leads now; it reads the list itself.
	_ = c.readLeader(func(now time.Time, v *fleetview.View) {
		c.pages = append(c.pages, rows...)
		if now.Sub(c.pagesAt) < partialPause {
			return
		}
		if added = v.AddWorkers(c.pages); added {
			c.pages, c.pagesAt = nil, now
		}
	})
	if added {
		c.notify()
	}
}

// propose commits a command on this process, if it leads.
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
	// leadPause is the time between two tries to reach the leader.
	leadPause = 40 * time.Millisecond
	// leadPatience bounds them.
	leadPatience = 800 * time.Millisecond
)

// atLeader runs a call here, if this process leads, or else at the leader. While
// there is none it tries again for a moment. Only refusals are repeated: a call
// whose outcome is unknown is not.
func atLeader[Response any, Pointer rpc.Decodable[Response]](ctx context.Context, c *Coordinator, method string, request msgp.Marshaler, local func(context.Context) (*Response, error)) (*Response, error) {
	deadline := time.Now().Add(leadPatience)
	for {
		response, err := local(ctx)
		if err == nil {
			return response, nil
		}
		if leader := consensus.LeaderFromError(err); leader != "" && leader != c.daemon.Address() {
			callContext, cancel := context.WithDeadline(ctx, deadline.Add(leadPatience))
			response, err = rpc.Call[Response, Pointer](callContext, c.client, leader, method, request)
			cancel()
		}
		if err == nil || !failure.Is(err, failure.NotRun) || time.Now().After(deadline) {
			return response, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(leadPause):
		}
	}
}

// Close stops the log and closes the store. It is called after the server has
// stopped.
func (c *Coordinator) Close() error {
	c.host.Close()
	c.client.Close()
	return c.store.Close()
}

// AddSeeds takes in addresses of further coordinators.
func (c *Coordinator) AddSeeds(ctx context.Context, seeds []string) error {
	c.relay.watcher.SetSeeds(append([]string{c.daemon.Address()}, seeds...))
	return c.host.AddPeers(ctx, seeds)
}
