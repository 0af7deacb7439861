package control

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/controlclient"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/membership"
	"github.com/sedgemast/sedgemast/internal/metastate"
	"github.com/sedgemast/sedgemast/internal/platform"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

func (c *Control) heartbeat(_ context.Context, request *wire.HeartbeatRequest) (msgp.Marshaler, error) {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err := c.table.Heartbeat(now, request); err != nil {
		return nil, err
	}
	c.metrics.heartbeats.WithLabelValues(request.Role.String()).Inc()
	for i := range request.Workers {
		c.workers.Reported(&request.Workers[i])
	}
	response := &wire.HeartbeatResponse{
		LeaseMillis:       c.settings.DaemonLease.Std().Milliseconds(),
		ConfigLeaseMillis: c.settings.ConfigLease.Std().Milliseconds(),
		JobGroups:         len(c.groups),
		Gateways:          c.table.Count(wire.RoleGateway),
	}
	if request.Role == wire.RoleGateway {
		response.View = c.table.View(request.ViewVersion)
	}
	err := c.host.Read(controlclient.MetaGroup, func(storage.Reader) error {
		response.ConfigRevision = c.meta.Revision()
		response.Config = c.meta.Changed(request.ConfigRevision)
		if request.Role == wire.RoleDispatcher {
			c.fillAssignments(request, response)
		}
		return nil
	})
	return response, err
}

// fillAssignments lists a dispatcher's workers unless it knows them already.
// The version is a digest of the list, which no change of leader invalidates.
func (c *Control) fillAssignments(request *wire.HeartbeatRequest, response *wire.HeartbeatResponse) {
	owned := c.meta.AssignmentsOf(request.Daemon)
	var encoded []byte
	for i := range owned {
		var err error
		if encoded, err = owned[i].MarshalMsg(encoded); err != nil {
			return
		}
	}
	response.AssignmentVersion = xxhash.Sum64(encoded)
	if response.AssignmentVersion != request.AssignmentVersion {
		response.Assignments = owned
	}
}

func (c *Control) listWorkers(listed []platform.Worker) {
	rows := make([]membership.ListedWorker, 0, len(listed))
	for _, row := range listed {
		rows = append(rows, membership.ListedWorker(row))
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.workers.Listed(time.Now(), rows)
}

// plan ends the leases that have run out and commits the assignments that
// follow. The plan is made from what is committed; the epochs are given by the
// state machine.
func (c *Control) plan(ctx context.Context) {
	now := time.Now()
	var command wire.AssignCommand
	c.mutex.Lock()
	for _, name := range c.table.Expire(now) {
		logging.Warn(c.logger, "daemon_lease_expired", "daemon", name)
	}
	if c.table.Ready(now) {
		// Read fails for unknown groups only.
		_ = c.host.Read(controlclient.MetaGroup, func(storage.Reader) error {
			command = membership.Plan(c.workers, c.table.Dispatchers(), c.meta.Assignments(), c.drained)
			return nil
		})
	}
	c.mutex.Unlock()
	if len(command.Assignments)+len(command.Forget) == 0 {
		return
	}
	result, err := propose[wire.MetaResult](ctx, c, controlclient.MetaGroup, &wire.MetaCommand{AtMillis: now.UnixMilli(), Assign: &command})
	if err != nil {
		logging.Warn(c.logger, "assignment_failed", "error", err)
		return
	}
	c.metrics.assigned.Add(float64(len(result.Assignments)))
	for _, assignment := range result.Assignments {
		logging.Info(c.logger, "worker_assigned", "worker", assignment.Worker, "dispatcher", assignment.Dispatcher, "epoch", assignment.Epoch, "leaving", assignment.Leaving)
	}
}

// drained reports whether an operator drains the worker. The meta group is held
// by the caller.
func (c *Control) drained(name string) bool {
	return len(c.meta.Documents(metastate.KindDrain, name)) > 0
}

func (c *Control) status(_ context.Context, _ *wire.StatusRequest) (msgp.Marshaler, error) {
	response := &wire.StatusResponse{}
	c.mutex.Lock()
	response.Daemons = c.table.Status(time.Now())
	c.mutex.Unlock()
	err := c.host.Read(controlclient.MetaGroup, func(storage.Reader) error {
		response.ConfigRevision = c.meta.Revision()
		response.Workers = c.meta.SortedAssignments()
		return nil
	})
	for _, row := range response.Daemons {
		if row.ConfigRevision == response.ConfigRevision {
			response.InForce++
		}
	}
	return response, err
}
