// Package batchstore is the daemon that keeps batch jobs. Jobs are spread over store groups. A
// store holds the groups' logs and answers reads. The leader of a group also runs the items of
// its jobs, because it holds their whole state. Jobs, progress and results are committed through
// the group's log.
package batchstore

import (
	"context"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"

	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/daemon"
	"github.com/sedgemast/sedgemast/internal/fleetwatch"
	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/placement"
	"github.com/sedgemast/sedgemast/internal/replication"
	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/settings"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/upstream"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	transferTimeout = 2 * time.Second
	// heartbeatsPerTimeout is how many heartbeats a leader sends within the shortest election
	// timeout.
	heartbeatsPerTimeout = 5
	// typicalGroupReplicas is the number of groups of which a store usually holds replicas: all
	// three in a small fleet, one or two in a large one.
	typicalGroupReplicas = 3
)

// Store is the store process: it keeps batch jobs and runs their items.
type Store struct {
	daemon      *daemon.Daemon
	settings    *settings.Store
	logger      logging.Logger
	store       storage.Store
	host        *replication.Host
	groups      []*group
	watcher     *fleetwatch.Watcher
	workers     *balance.Table
	upstream    *upstream.Client
	headerNames *httpheader.Names
	identity    wire.Hello
	metrics     *metrics
	bodySizes   bodySizes
	loads       *loads
	origins     *origins
	originLog   *originLog
	runTimes    runTimes
	client      *rpc.Client

	// mutex guards the fields below.
	mutex   sync.Mutex
	changed chan struct{}
	status  wire.ProcessReport
}

// New opens the data folder and prepares the process, which d.Run then serves.
func New(d *daemon.Daemon, config *settings.Store, names *httpheader.Names) (*Store, error) {
	store, err := storage.OpenPebble(config.DataFolder, vfs.Default)
	if err != nil {
		return nil, err
	}
	now := uint64(time.Now().UnixNano())
	random := mathrand.New(mathrand.NewPCG(now, now))
	s := &Store{
		daemon:      d,
		settings:    config,
		logger:      d.Logger,
		store:       store,
		workers:     balance.NewTable(config.Zone, mathrand.New(mathrand.NewPCG(now, 1))),
		upstream:    upstream.NewClient(names),
		headerNames: names,
		loads:       newLoads(config.RateTolerance.Limits()),
		origins:     newOrigins(),
		client:      rpc.NewClient(),
		metrics:     newMetrics(d.Registry),
		changed:     make(chan struct{}),
	}
	s.client.LimitConnections(d.OutgoingConnections())
	d.ReserveMemory(storage.NativeBytes)
	for number := range placement.MaxGroups {
		s.groups = append(s.groups, newGroup(s, number))
	}
	s.host, err = replication.NewHost(s.replicationOptions(random), replication.NewPeerTransport(d.Traffic))
	if err != nil {
		return nil, errors.CombineErrors(err, store.Close())
	}
	var stored []wire.StreamOrigin
	if s.originLog, stored, err = openOriginLog(config.DataFolder, time.Now()); err != nil {
		logging.Warn(d.Logger, "origins_not_stored", "error", err)
	}
	s.origins.restore(clock.Now(), stored)
	d.CompleteStep(daemon.StepStorage)
	if s.identity, err = s.host.Hello(d.Context()); err != nil {
		return nil, errors.CombineErrors(err, store.Close())
	}
	s.status = wire.ProcessReport{Kind: wire.ProcessStore, Name: config.Name, Zone: config.Zone, Replica: s.identity.Replica}
	s.watcher = fleetwatch.New(d.Logger, d.Traffic, config.Seeds, s.report)
	s.watcher.OnChange(s.applySnapshot)
	s.upstream.SetMeter(d.Traffic)
	s.upstream.BoundListAge(s.watcher, config.DrainTime.Std())
	d.Registry.MustRegister(s.upstream.HealthMetrics("store")...)
	d.Registry.MustRegister(newCapacityCollector(s.loads))
	s.client.SetMeter(d.Traffic)
	s.register()
	d.BeforeStop(s.transferLeadership)
	d.Go(s.watcher.Run)
	d.Go(s.statusLoop)
	d.Go(s.serveLoads)
	d.Go(s.writeOrigins)
	d.Go(s.reportLoads)
	d.Go(s.reportZone)
	d.Go(s.rebalanceLoop)
	for _, g := range s.groups {
		d.Go(g.runner.run)
		d.Go(g.runner.recordLoop)
	}
	d.SetReady(true)
	return s, nil
}

func (s *Store) replicationOptions(random consensus.Random) replication.Options {
	voters := 2*s.settings.Tolerate + 1
	var machines []replication.StateMachine
	for _, g := range s.groups {
		machines = append(machines, &replication.NotifyingStateMachine{StateMachine: g.machine, Notify: s.notify})
	}
	return replication.Options{
		Store:             s.store,
		Machines:          machines,
		Name:              s.settings.Name,
		Address:           s.daemon.Address(),
		Voters:            voters,
		MinVoters:         voters,
		BootstrapMode:     replication.BootstrapManual,
		NewID:             replication.NewID,
		ElectionTimeout:   s.settings.ElectionTimeout.Std(),
		HeartbeatInterval: s.settings.ElectionTimeout.Std() / heartbeatsPerTimeout,
		ReplaceAfter:      s.settings.ReplaceAfter.Std(),
		RetainedLogBytes:  s.settings.RetainedLogBytes() / typicalGroupReplicas,
		Random:            random,
	}
}

// notify wakes the calls and loops that wait for a change.
func (s *Store) notify() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// changes returns a channel that is closed at the next change.
func (s *Store) changes() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

func (s *Store) report() wire.ProcessReport {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.status
}

// SetSeeds replaces the coordinators that are polled first.
func (s *Store) SetSeeds(seeds []string) { s.watcher.SetSeeds(seeds) }

// applySnapshot applies a new snapshot of the fleet.
func (s *Store) applySnapshot(snapshot *fleetwatch.Snapshot) {
	s.workers.Update(clock.Now(), snapshot.Workers, snapshot.Table.MemoryTokens())
	s.loads.setWorkers(snapshot.Workers, s.settings.Zone)
	s.loads.setLimits(snapshot)
	s.loads.setGroupCount(s.groupCount())
	s.upstream.CloseIdle(s.workers.Contains)
	s.daemon.SetFleetKnown(snapshot.Table != nil, snapshot.Fleet.Listed || snapshot.Fleet.Partial)
	ctx := s.daemon.Context()
	err := s.host.SetPeers(ctx, snapshot.Fleet.StoreAddresses())
	err = errors.CombineErrors(err, s.host.SetRetiring(ctx, snapshot.Fleet.Retiring))
	err = errors.CombineErrors(err, s.host.Bootstrap(ctx, snapshot.Fleet.Initial))
	if err != nil && ctx.Err() == nil {
		logging.Warn(s.logger, "fleet_view_unused", "error", err)
	}
}

// drainTimeout bounds the stop of the items that run here.
const drainTimeout = 500 * time.Millisecond

// transferLeadership is a step of the planned stop: items stop where they are, and other
// processes take over the leadership before this one stops.
func (s *Store) transferLeadership(ctx context.Context) {
	drainContext, cancelDrain := context.WithTimeout(ctx, drainTimeout)
	var drains sync.WaitGroup
	for _, g := range s.groups {
		drains.Go(func() { g.runner.drain(drainContext) })
	}
	drains.Wait()
	cancelDrain()
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	s.host.TransferAllLeadership(ctx)
}

// Close stops the log and closes the store. It is called after the server has stopped.
func (s *Store) Close() error {
	s.host.Close()
	s.client.Close()
	return s.store.Close()
}
