package simulation

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/controlclient"
	"github.com/sedgemast/sedgemast/internal/coordination"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/jobstate"
	"github.com/sedgemast/sedgemast/internal/membership"
	"github.com/sedgemast/sedgemast/internal/metastate"
	"github.com/sedgemast/sedgemast/internal/replication"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	tickInterval                 = 20 * time.Millisecond
	helloInterval                = 200 * time.Millisecond
	planInterval                 = 50 * time.Millisecond
	platformInterval             = 500 * time.Millisecond
	electionTimeout              = 500 * time.Millisecond
	heartbeatsPerElectionTimeout = 5
	replaceAfter                 = 3 * time.Second
	faultRunLogBytes             = 8 << 10
	experimentLogBytes           = 4 << 20
	controlVoters                = 5
	controlCount                 = 6
	jobGroups                    = 2
	// firstBackoff and maxBackoff equal those of controlclient.
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
	callTimeout  = time.Second
	// powerLossRestart is the time until a process restarts after its disk has lost power.
	powerLossRestart = time.Second
)

func (w *World) policy() coordination.Policy {
	return coordination.Policy{
		DaemonLease:     2500 * time.Millisecond,
		ConfigLease:     4 * time.Second,
		ItemLease:       5 * time.Second,
		WorkerRetention: 30 * time.Second,
		JobGroups:       jobGroups,
	}
}

// controlProcess is a simulated control process: a replication node on a disk, and the volatile
// state of the groups that the process leads.
type controlProcess struct {
	process
	world *World
	disk  *disk
	node  *replication.Node
	// removed processes are never restarted.
	removed    bool
	meta       *metastate.Machine
	metaTerm   uint64
	metaLeader *coordination.MetaLeader
	planning   bool
	jobs       []*jobstate.Machine
	jobTerms   []uint64
	jobLeaders []*coordination.JobLeader
}

func controlName(number int) string { return [...]string{"c1", "c2", "c3", "c4", "c5", "c6"}[number] }

func (w *World) addControl(number int) {
	c := &controlProcess{process: process{name: controlName(number), zone: number % w.profile.Zones}, world: w, disk: newDisk()}
	w.controls = append(w.controls, c)
}

func (w *World) controlByName(name string) *controlProcess {
	for _, c := range w.controls {
		if c.name == name {
			return c
		}
	}
	return nil
}

// start starts the process from the contents of its disk.
func (c *controlProcess) start() {
	w := c.world
	c.alive = true
	c.generation++
	c.meta = metastate.New()
	c.metaLeader, c.planning = nil, false
	c.jobs, c.jobTerms, c.jobLeaders = nil, make([]uint64, jobGroups), make([]*coordination.JobLeader, jobGroups)
	machines := []replication.StateMachine{w.mutation.wrap(0, c.meta)}
	for number := 1; number <= jobGroups; number++ {
		machine := jobstate.New(number)
		c.jobs = append(c.jobs, machine)
		machines = append(machines, w.mutation.wrap(number, machine))
	}
	var err error
	c.node, err = replication.Open(replication.Options{
		Store:             c.disk,
		Machines:          machines,
		Name:              c.name,
		Address:           c.name,
		Peers:             controlNames(),
		Voters:            controlVoters,
		NewID:             w.newIdentity(c),
		ElectionTimeout:   electionTimeout,
		HeartbeatInterval: electionTimeout / heartbeatsPerElectionTimeout,
		ReplaceAfter:      replaceAfter,
		RetainedLogBytes:  w.retainedLogBytes(),
		Random:            w.random,
		Send:              c.send,
		OnApplied: func(group int, entry *wire.LogEntry) {
			w.ledger.entryApplied(c.node, group, entry)
		},
	}, w.clock.now)
	if err != nil {
		w.ledger.violate("storage", "%s could not start on its disk: %v", c.name, err)
		c.alive = false
		return
	}
	c.handlePowerLoss(func() { c.node.Flush(w.clock.now) })
	w.every(&c.process, tickInterval, func() { c.runOnNode(func() { c.node.Tick(w.clock.now) }) })
	w.every(&c.process, helloInterval, c.exchangeHellos)
	w.every(&c.process, planInterval, c.plan)
	w.every(&c.process, platformInterval, c.pollPlatform)
}

// retainedLogBytes returns how much of the log a replica retains. The log is short in runs with
// faults, so that replicas that were down need snapshots.
func (w *World) retainedLogBytes() int {
	if w.experiment != nil || w.profile.Engine != nil {
		return experimentLogBytes
	}
	return faultRunLogBytes
}

func controlNames() []string {
	names := make([]string, 0, controlCount)
	for number := 0; number < controlCount; number++ {
		names = append(names, controlName(number))
	}
	return names
}

// newIdentity returns a function that makes an identity for an empty disk.
func (w *World) newIdentity(c *controlProcess) func() uint64 {
	return func() uint64 {
		w.identities++
		if w.mutation == MutationKeepIdentity {
			return uint64(c.name[1])
		}
		return 1000 + w.identities
	}
}

// runOnNode runs an action on the node and flushes the writes and messages that result from it.
func (c *controlProcess) runOnNode(action func()) {
	c.handlePowerLoss(func() {
		action()
		c.node.Flush(c.world.clock.now)
	})
}

// handlePowerLoss runs an action. If the disk loses power in the middle of a write, the process is
// killed and restarts later.
func (c *controlProcess) handlePowerLoss(action func()) {
	defer func() {
		if c.disk.lostPower {
			// The user of the store panics when a write fails: that ends the process.
			_ = recover()
			c.world.killControl(c, false)
			c.world.restartControl(c, powerLossRestart)
		}
	}()
	action()
}

func (c *controlProcess) send(address string, message wire.PeerMessage) {
	to := c.world.controlByName(address)
	c.world.transmit(&c.process, &to.process, func() {
		to.runOnNode(func() { to.node.Receive(c.world.clock.now, &message) })
	}, nil)
}

// exchangeHellos exchanges hello messages with all other control processes.
func (c *controlProcess) exchangeHellos() {
	for _, other := range c.world.controls {
		if other == c {
			continue
		}
		hello := c.node.Hello()
		call(c.world, &c.process, &other.process, time.Second, func(answer reply[wire.Hello]) {
			other.runOnNode(func() { other.node.HandleHello(c.world.clock.now, &hello) })
			answer(other.node.Hello(), nil)
		}, func(answer wire.Hello, err error) {
			if err == nil {
				c.node.HandleHello(c.world.clock.now, &answer)
			}
		})
	}
}

// readMeta calls read with the state of the meta group if this process leads it.
func (c *controlProcess) readMeta(read func(leader *coordination.MetaLeader) error) error {
	now := c.world.clock.now
	return c.node.Read(now, controlclient.MetaGroup, func(term uint64, _ storage.Reader) error {
		if c.metaLeader == nil || c.metaTerm != term {
			c.metaTerm = term
			c.metaLeader = coordination.NewMetaLeader(c.meta, c.world.policy(), term, now)
		}
		return read(c.metaLeader)
	})
}

// readJobs calls read with the state of the job group if this process leads it.
func (c *controlProcess) readJobs(group int, read func(leader *coordination.JobLeader, reader storage.Reader) error) error {
	now := c.world.clock.now
	return c.node.Read(now, group, func(term uint64, reader storage.Reader) error {
		index := group - 1
		if c.jobLeaders[index] == nil || c.jobTerms[index] != term {
			c.jobTerms[index] = term
			c.jobLeaders[index] = coordination.NewJobLeader(c.jobs[index], c.world.policy(), now)
		}
		return read(c.jobLeaders[index], reader)
	})
}

// plan proposes the next changes of assignments if this process leads the meta group. It waits for
// the result of one command before it proposes another.
func (c *controlProcess) plan() {
	if c.planning {
		return
	}
	var command wire.AssignCommand
	err := c.readMeta(func(leader *coordination.MetaLeader) error {
		_, command = leader.Plan(c.world.clock.now)
		return nil
	})
	if err != nil || len(command.Assignments)+len(command.Forget) == 0 {
		return
	}
	c.planning = true
	c.propose(controlclient.MetaGroup, &wire.MetaCommand{Assign: &command}, func([]byte, error) { c.planning = false })
}

// propose commits an encoded command to a group.
func (c *controlProcess) propose(group int, command interface {
	MarshalMsg([]byte) ([]byte, error)
}, done replication.Done) {
	encoded, err := command.MarshalMsg(nil)
	if err != nil {
		panic(err)
	}
	c.runOnNode(func() {
		c.node.Propose(group, encoded, func(answer []byte, err error) {
			// The callback must not call the node while it flushes, so it runs as a separate event.
			c.world.timer(&c.process, 0, func() { done(answer, err) })
		})
	})
}

// proposeMeta commits a command to the meta group and answers with its result.
func (c *controlProcess) proposeMeta(command *wire.MetaCommand, answer reply[*wire.MetaResult]) {
	command.AtMillis = c.world.clock.now.UnixMilli()
	c.propose(controlclient.MetaGroup, command, func(encoded []byte, err error) {
		if err != nil {
			answer(nil, err)
			return
		}
		result := &wire.MetaResult{}
		if _, err = result.UnmarshalMsg(encoded); err == nil {
			err = result.Failure.Err()
		}
		answer(result, err)
	})
}

// proposeJob commits a command to a job group and answers with its result.
func (c *controlProcess) proposeJob(group int, command *wire.JobCommand, answer reply[*wire.JobResult]) {
	command.AtMillis = c.world.clock.now.UnixMilli()
	c.propose(group, command, func(encoded []byte, err error) {
		if err != nil {
			answer(nil, err)
			return
		}
		result := &wire.JobResult{}
		if _, err = result.UnmarshalMsg(encoded); err == nil {
			err = result.Failure.Err()
		}
		answer(result, err)
	})
}

func (c *controlProcess) heartbeat(request *wire.HeartbeatRequest, answer reply[*wire.HeartbeatResponse]) {
	var response *wire.HeartbeatResponse
	err := c.readMeta(func(leader *coordination.MetaLeader) (err error) {
		response, err = leader.Heartbeat(c.world.clock.now, request)
		return err
	})
	answer(response, err)
}

func (c *controlProcess) leaseItems(request *wire.LeaseItemsRequest, answer reply[*wire.LeaseItemsResponse]) {
	var response *wire.LeaseItemsResponse
	err := c.readJobs(request.Group, func(leader *coordination.JobLeader, reader storage.Reader) (err error) {
		response, err = leader.LeaseItems(c.world.clock.now, request, reader)
		return err
	})
	answer(response, err)
}

func (c *controlProcess) completeItems(group int, request *wire.CompleteItemsRequest, answer reply[*wire.JobResult]) {
	c.proposeJob(group, &wire.JobCommand{Complete: request}, func(result *wire.JobResult, err error) {
		if err == nil {
			// An error means that another process leads the group now and keeps the leases.
			_ = c.readJobs(group, func(leader *coordination.JobLeader, _ storage.Reader) error {
				leader.Release(request.Results)
				return nil
			})
		}
		answer(result, err)
	})
}

// jobView is a job with its results, as a caller reads it.
type jobView struct {
	record  wire.JobRecord
	results *wire.ReadResultsResponse
}

func (c *controlProcess) readJob(group int, tenant, id string, answer reply[jobView]) {
	var view jobView
	err := c.readJobs(group, func(_ *coordination.JobLeader, reader storage.Reader) (err error) {
		if view.record, err = c.jobs[group-1].Job(tenant, id); err != nil {
			return err
		}
		view.results, err = jobstate.ReadResults(reader, &wire.ReadResultsRequest{JobID: id, Tenant: tenant, Limit: readResultsLimit})
		return err
	})
	answer(view, err)
}

// pollPlatform applies the platform's list of workers, which lags, if this process leads the meta
// group.
func (c *controlProcess) pollPlatform() {
	if c.readMeta(func(*coordination.MetaLeader) error { return nil }) != nil {
		return
	}
	w := c.world
	call(w, &c.process, &w.platform.process, time.Second, func(answer reply[[]membership.ListedWorker]) {
		answer(w.platform.list(), nil)
	}, func(workers []membership.ListedWorker, err error) {
		if err != nil {
			return
		}
		_ = c.readMeta(func(leader *coordination.MetaLeader) error {
			leader.ApplyList(w.clock.now, workers)
			return nil
		})
	})
}

// callControl calls the leader of a group. It tries one control process after another, or the
// leader that one of them names, until it gets an answer or the timeout has passed. A failure other
// than NotRun and OutcomeUnknown is an answer. leaders caches the leader of each group.
func callControl[Answer any](w *World, from *process, leaders map[int]string, group int, timeout time.Duration, serve func(*controlProcess, reply[Answer]), done reply[Answer]) {
	deadline := w.clock.now.Add(timeout)
	backoff := firstBackoff
	first := w.random.IntN(controlCount)
	var attempt func(number int)
	attempt = func(number int) {
		target := leaders[group]
		if target == "" {
			target = controlName((first + number) % controlCount)
		}
		c := w.controlByName(target)
		w.controlCalls[w.clock.now.Unix()]++
		call(w, from, &c.process, callTimeout, func(answer reply[Answer]) { serve(c, answer) }, func(answer Answer, err error) {
			if !failure.Is(err, failure.NotRun) && !failure.Is(err, failure.OutcomeUnknown) {
				leaders[group] = target
				done(answer, err)
				return
			}
			leaders[group] = leaderHint(err, target)
			if w.clock.now.After(deadline) {
				done(answer, err)
				return
			}
			delay := time.Duration(0)
			if number%controlCount == controlCount-1 {
				delay = backoff
				backoff = min(2*backoff, maxBackoff)
			}
			w.timer(from, delay, func() { attempt(number + 1) })
		})
	}
	attempt(0)
}

// leaderHint returns the leader that a failure names, or nothing if it names none or the target
// itself.
func leaderHint(err error, target string) string {
	field := failure.From(err).Field
	if len(field) <= len(controlclient.LeaderFieldPrefix) || field[len(controlclient.LeaderFieldPrefix):] == target {
		return ""
	}
	return field[len(controlclient.LeaderFieldPrefix):]
}
