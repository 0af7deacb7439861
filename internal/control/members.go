package control

import (
	"context"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/controlclient"
	"github.com/sedgemast/sedgemast/internal/coordination"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/membership"
	"github.com/sedgemast/sedgemast/internal/metastate"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerlist"
)

func (c *Control) heartbeat(_ context.Context, request *wire.HeartbeatRequest) (msgp.Marshaler, error) {
	var response *wire.HeartbeatResponse
	err := c.readMeta(func(now time.Time, leader *coordination.MetaLeader, _ *metastate.Machine) (err error) {
		response, err = leader.Heartbeat(now, request)
		return err
	})
	if err != nil {
		return nil, err
	}
	c.metrics.heartbeats.WithLabelValues(request.Role.String()).Inc()
	return response, nil
}

func (c *Control) leadsMeta() bool {
	return c.readMeta(func(time.Time, *coordination.MetaLeader, *metastate.Machine) error { return nil }) == nil
}

func (c *Control) applyWorkerList(listed []workerlist.Worker) {
	rows := make([]membership.ListedWorker, 0, len(listed))
	for _, row := range listed {
		if row.Pool != "" {
			// Workers in pools serve opaque requests and belong to the edge processes.
			continue
		}
		rows = append(rows, membership.ListedWorker{ID: row.ID, Address: row.Address, Zone: row.Zone, Incarnation: row.Incarnation, Leaving: row.Leaving, Version: row.Version})
	}
	// An error means that another process leads now; that process reads the list itself.
	_ = c.readMeta(func(now time.Time, leader *coordination.MetaLeader, _ *metastate.Machine) error {
		leader.ApplyList(now, rows)
		return nil
	})
}

// plan ends the expired daemon leases and commits the resulting assignments. It plans from committed
// state only; the state machine issues the epochs.
func (c *Control) plan(ctx context.Context) {
	var expired []string
	var command wire.AssignCommand
	err := c.readMeta(func(now time.Time, leader *coordination.MetaLeader, _ *metastate.Machine) error {
		expired, command = leader.Plan(now)
		return nil
	})
	if err != nil {
		return
	}
	for _, name := range expired {
		logging.Warn(c.logger, "daemon_lease_expired", "daemon", name)
	}
	if len(command.Assignments)+len(command.Forget) == 0 {
		return
	}
	result, err := propose[wire.MetaResult](ctx, c, controlclient.MetaGroup, &wire.MetaCommand{AtMillis: time.Now().UnixMilli(), Assign: &command})
	if err != nil {
		logging.Warn(c.logger, "assignment_failed", "error", err)
		return
	}
	c.metrics.assigned.Add(float64(len(result.Assignments)))
	for _, assignment := range result.Assignments {
		logging.Info(c.logger, "worker_assigned", "worker", assignment.Worker, "dispatcher", assignment.Dispatcher, "epoch", assignment.Epoch, "leaving", assignment.Leaving)
	}
}

func (c *Control) status(ctx context.Context, _ *wire.StatusRequest) (msgp.Marshaler, error) {
	var response *wire.StatusResponse
	err := c.readMeta(func(now time.Time, leader *coordination.MetaLeader, _ *metastate.Machine) error {
		response = leader.Status(now)
		return nil
	})
	if err != nil {
		return nil, err
	}
	statuses, err := c.host.Statuses(ctx)
	if err != nil {
		return nil, err
	}
	response.Replicas = replicaStatuses(&statuses[controlclient.MetaGroup], c.settings.Name)
	return response, nil
}

// replicaStatuses describes the meta group's replicas as seen by its leader.
func replicaStatuses(status *consensus.Status, leader string) []wire.ReplicaStatus {
	rows := []wire.ReplicaStatus{{Name: leader, State: "leader"}}
	for i := range status.Peers {
		peer := &status.Peers[i]
		row := wire.ReplicaStatus{
			Name:         peer.Replica.Name,
			Address:      peer.Replica.Address,
			State:        "spare",
			Behind:       peer.Lag,
			SilentMillis: peer.SinceResponse.Milliseconds(),
		}
		if consensus.IsVoter(&status.Membership, peer.Replica.ID) {
			row.State = "voter"
		}
		rows = append(rows, row)
	}
	return rows
}
