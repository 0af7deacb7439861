// Package batchstore is the daemon that keeps batch jobs. All stores hold the
// batch group's log and answer reads; its leader also runs the items, because it
// has their whole state at hand. What is accepted and recorded goes through the
// log.
package batchstore

import (
	"context"
	mathrand "math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"

	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/batchstate"
	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/daemon"
	"github.com/sedgemast/sedgemast/internal/dialect"
	"github.com/sedgemast/sedgemast/internal/fleetwatch"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/replication"
	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/settings"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/upstream"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// batchGroup is the number of the only group.
	batchGroup      = 0
	statusInterval  = 100 * time.Millisecond
	handOverTimeout = 2 * time.Second
	// heartbeatsPerTimeout is how many heartbeats a leader sends within the
	// shortest election timeout.
	heartbeatsPerTimeout = 5
)

// Store is a store process.
type Store struct {
	daemon   *daemon.Daemon
	settings *settings.Store
	logger   logging.Logger
	store    storage.Store
	host     *replication.Host
	machine  *batchstate.Machine
	watcher  *fleetwatch.Watcher
	workers  *balance.Table
	upstream *upstream.Client
	dialect  *dialect.Dialect
	identity wire.Hello
	runner   *runner
	metrics  *metrics
	hub      *loadshare.Hub
	client   *rpc.Client
	// reporting counts the processes that tell this one their loads.
	reporting atomic.Int64

	// mutex guards what follows.
	mutex   sync.Mutex
	changed chan struct{}
	status  wire.ProcessReport
}

// New opens the data folder and prepares the process; d.Run serves it.
func New(d *daemon.Daemon, config *settings.Store, names *dialect.Dialect) (*Store, error) {
	store, err := storage.OpenPebble(config.DataFolder, vfs.Default)
	if err != nil {
		return nil, err
	}
	now := uint64(time.Now().UnixNano())
	random := mathrand.New(mathrand.NewPCG(now, now))
	s := &Store{
		daemon:   d,
		settings: config,
		logger:   d.Logger,
		store:    store,
		machine:  batchstate.New(),
		workers:  balance.NewTable(config.Zone, mathrand.New(mathrand.NewPCG(now, 1))),
		upstream: upstream.NewClient(names),
		dialect:  names,
		hub:      loadshare.NewHub(),
		client:   rpc.NewClient(),
		metrics:  newMetrics(d.Registry),
		changed:  make(chan struct{}),
	}
	s.runner = newRunner(s)
	s.host, err = replication.NewHost(s.replicationOptions(random), replication.NewPeerTransport())
	if err != nil {
		return nil, errors.CombineErrors(err, store.Close())
	}
	if s.identity, err = s.host.Identity(d.Context()); err != nil {
		return nil, errors.CombineErrors(err, store.Close())
	}
	s.status = wire.ProcessReport{Kind: wire.ProcessStore, Name: config.Name, Zone: config.Zone, Replica: s.identity.Replica}
	s.watcher = fleetwatch.New(d.Logger, config.Seeds, s.report)
	s.watcher.OnChange(s.adopt)
	s.register()
	d.BeforeStop(s.handOver)
	d.Go(s.watcher.Run)
	d.Go(s.statusLoop)
	d.Go(s.takeLoads)
	d.Go(s.runner.run)
	d.Go(s.runner.recordLoop)
	d.SetReady(true)
	return s, nil
}

func (s *Store) replicationOptions(random consensus.Random) replication.Options {
	voters := 2*s.settings.Tolerate + 1
	return replication.Options{
		Store:             s.store,
		Machines:          []replication.StateMachine{&replication.Notifying{StateMachine: s.machine, Notify: s.notify}},
		Name:              s.settings.Name,
		Address:           s.daemon.Address(),
		Voters:            voters,
		MinVoters:         voters,
		Formation:         replication.FormByOrder,
		NewID:             replication.NewIdentity,
		ElectionTimeout:   s.settings.ElectionTimeout.Std(),
		HeartbeatInterval: s.settings.ElectionTimeout.Std() / heartbeatsPerTimeout,
		ReplaceAfter:      s.settings.ReplaceAfter.Std(),
		LogBytes:          s.settings.KeptLogBytes(),
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

// SetSeeds replaces the coordinators that are asked first.
func (s *Store) SetSeeds(seeds []string) { s.watcher.SetSeeds(seeds) }

// adopt takes in a new snapshot of the fleet.
func (s *Store) adopt(snapshot *fleetwatch.Snapshot) {
	s.workers.Update(snapshot.Fleet.Workers, snapshot.Table.Memory())
	s.upstream.Forget(s.workers.Knows)
	ctx := s.daemon.Context()
	err := s.host.AddPeers(ctx, snapshot.Fleet.StoreAddresses())
	err = errors.CombineErrors(err, s.host.SetRetiring(ctx, snapshot.Fleet.Retiring))
	err = errors.CombineErrors(err, s.host.Form(ctx, snapshot.Fleet.Initial))
	if err != nil && ctx.Err() == nil {
		logging.Warn(s.logger, "fleet_view_unused", "error", err)
	}
}

// statusLoop keeps what the process tells the coordinator of itself.
func (s *Store) statusLoop(ctx context.Context) {
	role := consensus.Follower
	for ctx.Err() == nil {
		if statuses, err := s.host.Statuses(ctx); err == nil {
			status := &statuses[batchGroup]
			if status.Role != role {
				role = status.Role
				logging.Info(s.logger, "role", "role", role, "term", status.Term, "applied", status.Applied, "voters", len(status.Membership.Voters), "learners", len(status.Membership.Learners))
			}
			s.setStatus(status)
		}
		select {
		case <-ctx.Done():
		case <-time.After(statusInterval):
		}
	}
}

func (s *Store) setStatus(status *consensus.Status) {
	var members []string
	for _, member := range consensus.Members(&status.Membership) {
		members = append(members, member.Name)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.status.Leads = status.Role == consensus.Leader && status.Settled
	s.status.Members = members
	s.status.Formed = len(members) > 0
}

// takeLoads is the hub of all processes' loads while this process leads: it tells
// each what the others have, its own batch items included.
func (s *Store) takeLoads(ctx context.Context) {
	err := loadshare.Serve(ctx, s.daemon.Address(), func(report *wire.LoadReport) *wire.LoadReport {
		if s.read(func(storage.Reader) error { return nil }) != nil {
			return nil
		}
		now := time.Now()
		s.hub.Take(now, report)
		s.hub.Take(now, &wire.LoadReport{Workers: s.workers.Loads()})
		s.workers.SetOthers(now, s.hub.Others(now, 0))
		s.reporting.Store(int64(s.hub.Sources(now)) - 1)
		return &wire.LoadReport{Workers: s.hub.Others(now, report.Source)}
	})
	if err != nil {
		logging.Warn(s.logger, "loads_not_taken", "error", err)
	}
}

// drainTimeout bounds the stop of the items that run here.
const drainTimeout = 500 * time.Millisecond

// handOver is a step of the planned stop: items stop where they are, and other
// processes lead before this one goes.
func (s *Store) handOver(ctx context.Context) {
	drainContext, cancelDrain := context.WithTimeout(ctx, drainTimeout)
	s.runner.drain(drainContext)
	cancelDrain()
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	s.host.HandOver(ctx)
}

// read calls read with the state, if this process leads and may answer reads.
func (s *Store) read(read func(reader storage.Reader) error) error {
	return s.host.Read(batchGroup, func(_ uint64, reader storage.Reader) error { return read(reader) })
}

// propose commits a command.
func (s *Store) propose(ctx context.Context, command *wire.BatchCommand) (*wire.BatchResult, error) {
	encoded, err := command.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	answer, err := s.host.Propose(ctx, batchGroup, encoded)
	if err != nil {
		return nil, err
	}
	result := &wire.BatchResult{}
	if _, err := result.UnmarshalMsg(answer); err != nil {
		return nil, err
	}
	return result, result.Failure.Err()
}

// Close stops the log and closes the store. It is called after the server has
// stopped.
func (s *Store) Close() error {
	s.host.Close()
	s.client.Close()
	return s.store.Close()
}
