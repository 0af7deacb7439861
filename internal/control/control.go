// Package control is the daemon that keeps the durable state: the meta group
// with the configuration and the assignment of workers, and the job groups. All
// decisions are made by the pure packages metastate, jobstate and membership;
// this package feeds them with messages, time and storage.
package control

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/controlclient"
	"github.com/sedgemast/sedgemast/internal/daemon"
	"github.com/sedgemast/sedgemast/internal/jobstate"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/membership"
	"github.com/sedgemast/sedgemast/internal/metastate"
	"github.com/sedgemast/sedgemast/internal/platform"
	"github.com/sedgemast/sedgemast/internal/replication"
	"github.com/sedgemast/sedgemast/internal/settings"
	"github.com/sedgemast/sedgemast/internal/storage"
)

const (
	planInterval   = 50 * time.Millisecond
	expireInterval = time.Second
	// adoptionTime is how long a new leader waits for dispatchers to renew the
	// item leases that its predecessor granted.
	adoptionTime = 1500 * time.Millisecond
)

// Control is a control process.
type Control struct {
	daemon   *daemon.Daemon
	settings *settings.Control
	logger   logging.Logger
	store    storage.Store
	host     *replication.Host
	meta     *metastate.Machine
	groups   []*jobGroup
	metrics  *metrics

	mutex   sync.Mutex
	table   *membership.Table
	workers *membership.Workers
}

// jobGroup is a job group with its leader's leases.
type jobGroup struct {
	number  int
	machine *jobstate.Machine
	mutex   sync.Mutex
	leases  *jobstate.Leases
}

// New opens the data folder and prepares the process; d.Run serves it.
func New(d *daemon.Daemon, config *settings.Control) (*Control, error) {
	store, err := storage.OpenPebble(config.DataFolder, vfs.Default)
	if err != nil {
		return nil, err
	}
	c := &Control{
		daemon:   d,
		settings: config,
		logger:   d.Logger,
		store:    store,
		meta:     metastate.New(),
		metrics:  newMetrics(d.Registry),
	}
	machines := []replication.StateMachine{c.meta}
	for number := 1; number <= config.JobGroups; number++ {
		group := &jobGroup{number: number, machine: jobstate.New(number)}
		c.groups = append(c.groups, group)
		machines = append(machines, group.machine)
	}
	c.host, err = replication.NewHost(store, machines)
	if err != nil {
		return nil, err
	}
	c.lead(time.Now())
	c.register()
	d.Go(c.planLoop)
	d.Go(c.expireLoop)
	if config.Platform != "" {
		d.Go(c.platformLoop)
	}
	d.SetReady(true)
	return c, nil
}

// lead begins a term as leader with fresh soft state.
func (c *Control) lead(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	term := uint64(now.Unix())
	c.table = membership.NewTable(term, c.settings.DaemonLease.Std(), now)
	c.workers = membership.NewWorkers(c.settings.ForgetWorkers.Std())
	c.workers.Restore(now, c.meta.Assignments())
	for _, group := range c.groups {
		group.leases = jobstate.NewLeases(group.machine, c.settings.ItemLease.Std(), adoptionTime, now)
	}
}

// Close stops the log and closes the store. It is called after the server has
// stopped.
func (c *Control) Close() error {
	c.host.Close()
	return c.store.Close()
}

func (c *Control) planLoop(ctx context.Context) {
	every(ctx, planInterval, func() { c.plan(ctx) })
}

func (c *Control) expireLoop(ctx context.Context) {
	every(ctx, expireInterval, func() { c.expireJobs(ctx) })
}

func (c *Control) platformLoop(ctx context.Context) {
	client := platform.NewClient(c.settings.Platform)
	failing := false
	every(ctx, c.settings.PlatformInterval.Std(), func() {
		listed, err := client.Workers(ctx)
		if err != nil {
			if !failing {
				logging.Warn(c.logger, "platform_list_unread", "error", err)
			}
			failing = true
			return
		}
		failing = false
		c.listWorkers(listed)
	})
}

func every(ctx context.Context, interval time.Duration, action func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		action()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// propose commits a command to a group and decodes the answer.
func propose[Result any, Pointer interface {
	*Result
	msgp.Unmarshaler
}](ctx context.Context, c *Control, group int, command msgp.Marshaler) (*Result, error) {
	encoded, err := command.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	started := time.Now()
	answer, err := c.host.Propose(ctx, group, encoded)
	c.metrics.proposal(group == controlclient.MetaGroup, started, err)
	if err != nil {
		return nil, err
	}
	result := new(Result)
	_, err = Pointer(result).UnmarshalMsg(answer)
	return result, err
}
