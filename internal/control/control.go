// Package control implements the control process, which keeps the durable state in replicated
// groups: the meta group holds the configuration and the assignments of workers, the job groups
// hold the batch jobs. The packages consensus, metastate, jobstate, membership and coordination
// make all decisions without doing any I/O; this package provides them with messages, time and
// storage.
package control

import (
	"context"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/controlclient"
	"github.com/sedgemast/sedgemast/internal/coordination"
	"github.com/sedgemast/sedgemast/internal/daemon"
	"github.com/sedgemast/sedgemast/internal/jobstate"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/metastate"
	"github.com/sedgemast/sedgemast/internal/replication"
	"github.com/sedgemast/sedgemast/internal/settings"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/workerlist"
)

const (
	planInterval   = 50 * time.Millisecond
	expireInterval = time.Second
	// transferTimeout bounds the transfer of leadership during a planned stop.
	transferTimeout = 3 * time.Second
	readyInterval   = 20 * time.Millisecond
)

// Control is a control process.
type Control struct {
	daemon   *daemon.Daemon
	settings *settings.Control
	logger   logging.Logger
	store    storage.Store
	host     *replication.Host
	metrics  *metrics
	meta     *metaGroup
	groups   []*jobGroup
}

// metaGroup is the meta group. leader is the leader's unreplicated state for term. term is the last
// term in which this process was seen to lead the group.
type metaGroup struct {
	machine *metastate.Machine
	mutex   sync.Mutex
	term    uint64
	leader  *coordination.MetaLeader
}

// jobGroup is a job group. leader is the leader's unreplicated state for term. term is the last
// term in which this process was seen to lead the group.
type jobGroup struct {
	number  int
	machine *jobstate.Machine
	mutex   sync.Mutex
	term    uint64
	leader  *coordination.JobLeader
}

// New opens the data folder and registers the handlers and loops with d; d.Run serves them.
func New(d *daemon.Daemon, config *settings.Control) (*Control, error) {
	store, err := storage.OpenPebble(config.DataFolder, vfs.Default)
	if err != nil {
		return nil, err
	}
	d.ReserveMemory(storage.NativeBytes)
	c := &Control{
		daemon:   d,
		settings: config,
		logger:   d.Logger,
		store:    store,
		metrics:  newMetrics(d.Registry),
		meta:     &metaGroup{machine: metastate.New()},
	}
	machines := []replication.StateMachine{c.meta.machine}
	for number := 1; number <= config.JobGroups; number++ {
		group := &jobGroup{number: number, machine: jobstate.New(number)}
		c.groups = append(c.groups, group)
		machines = append(machines, group.machine)
	}
	c.host, err = replication.NewHost(c.replicationOptions(machines), replication.NewPeerTransport(d.Traffic))
	if err != nil {
		return nil, errors.CombineErrors(err, store.Close())
	}
	c.register()
	d.BeforeStop(c.transferLeadership)
	d.Go(c.readyLoop)
	d.Go(c.planLoop)
	d.Go(c.expireLoop)
	if config.Platform != "" {
		d.Go(c.platformLoop)
	}
	return c, nil
}

func (c *Control) replicationOptions(machines []replication.StateMachine) replication.Options {
	peers := c.settings.Peers
	if len(peers) == 0 {
		peers = []string{c.daemon.Address()}
	}
	now := uint64(time.Now().UnixNano())
	return replication.Options{
		Store:             c.store,
		Machines:          machines,
		Name:              c.settings.Name,
		Address:           c.daemon.Address(),
		Peers:             peers,
		Voters:            c.settings.Voters,
		NewID:             replication.NewID,
		ElectionTimeout:   c.settings.ElectionTimeout.Std(),
		HeartbeatInterval: c.settings.ElectionTimeout.Std() / heartbeatsPerTimeout,
		ReplaceAfter:      c.settings.ReplaceAfter.Std(),
		RetainedLogBytes:  c.settings.LogBytes,
		Random:            mathrand.New(mathrand.NewPCG(now, now)),
	}
}

// heartbeatsPerTimeout is how many heartbeats a leader sends within the shortest
// election timeout.
const heartbeatsPerTimeout = 5

func (c *Control) policy() coordination.Policy {
	return coordination.Policy{
		DaemonLease:     c.settings.DaemonLease.Std(),
		ConfigLease:     c.settings.ConfigLease.Std(),
		ItemLease:       c.settings.ItemLease.Std(),
		WorkerRetention: c.settings.ForgetWorkers.Std(),
		JobGroups:       len(c.groups),
	}
}

// readMeta calls read with the leader's unreplicated state and the replicated state of the meta
// group. It returns an error if this process does not lead the group.
func (c *Control) readMeta(read func(now time.Time, leader *coordination.MetaLeader, machine *metastate.Machine) error) error {
	return c.host.Read(controlclient.MetaGroup, func(term uint64, _ storage.Reader) error {
		c.meta.mutex.Lock()
		defer c.meta.mutex.Unlock()
		now := clock.Exact()
		if c.meta.leader == nil || c.meta.term != term {
			c.meta.term = term
			c.meta.leader = coordination.NewMetaLeader(c.meta.machine, c.policy(), term, now)
			logging.Info(c.logger, "leading", "group", controlclient.MetaGroup, "term", term)
		}
		return read(now, c.meta.leader, c.meta.machine)
	})
}

// readJobs calls read with the leader's unreplicated state and the replicated state of a job group.
// It returns an error if this process does not lead the group.
func (c *Control) readJobs(group *jobGroup, read func(now time.Time, leader *coordination.JobLeader, reader storage.Reader) error) error {
	return c.host.Read(group.number, func(term uint64, reader storage.Reader) error {
		group.mutex.Lock()
		defer group.mutex.Unlock()
		now := clock.Exact()
		if group.leader == nil || group.term != term {
			group.term = term
			group.leader = coordination.NewJobLeader(group.machine, c.policy(), now)
			logging.Info(c.logger, "leading", "group", group.number, "term", term)
		}
		return read(now, group.leader, reader)
	})
}

// transferLeadership is a step of a planned stop: it makes other processes the leaders before this
// one exits.
func (c *Control) transferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	c.host.TransferAllLeadership(ctx)
}

// Close stops replication and closes the store. Call it after the server has stopped.
func (c *Control) Close() error {
	c.host.Close()
	return c.store.Close()
}

// readyLoop marks the process as ready once it belongs to a cluster and knows the leader of every
// group.
func (c *Control) readyLoop(ctx context.Context) {
	daemon.Every(ctx, readyInterval, func() {
		statuses, err := c.host.Statuses(ctx)
		if err != nil {
			return
		}
		ready := true
		for i := range statuses {
			ready = ready && statuses[i].Leader != 0
		}
		if ready && !c.daemon.Stopping() {
			c.daemon.SetReady(true)
		}
	})
}

func (c *Control) planLoop(ctx context.Context) {
	daemon.Every(ctx, planInterval, func() { c.plan(ctx) })
}

func (c *Control) expireLoop(ctx context.Context) {
	daemon.Every(ctx, expireInterval, func() { c.expireJobs(ctx) })
}

func (c *Control) platformLoop(ctx context.Context) {
	client := workerlist.NewClient(c.settings.Platform)
	failing := false
	daemon.Every(ctx, c.settings.PlatformInterval.Std(), func() {
		if !c.leadsMeta() {
			return
		}
		listed, err := client.Workers(ctx)
		if err != nil {
			if !failing {
				logging.Warn(c.logger, "platform_list_unread", "error", err)
			}
			failing = true
			return
		}
		failing = false
		c.applyWorkerList(listed)
	})
}

// propose commits a command to a group and decodes the state machine's response.
func propose[Result any, Pointer interface {
	*Result
	msgp.Unmarshaler
}](ctx context.Context, c *Control, group int, command msgp.Marshaler) (*Result, error) {
	encoded, err := command.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	started := time.Now()
	encodedResult, err := c.host.Propose(ctx, group, encoded)
	c.metrics.observeProposal(group == controlclient.MetaGroup, started, err)
	if err != nil {
		return nil, err
	}
	result := new(Result)
	_, err = Pointer(result).UnmarshalMsg(encodedResult)
	return result, err
}
