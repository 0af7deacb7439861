// Package coordination holds what the leader of a group knows beyond the replicated state: the
// leases of daemons, the workers, and the leases of batch items. It does no I/O, and its state is
// not replicated: a new leader rebuilds it from the daemons' next messages, and revokes nothing
// until one lease duration has passed.
package coordination

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sedgemast/sedgemast/internal/membership"
	"github.com/sedgemast/sedgemast/internal/metastate"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Policy holds the durations of the leases that a leader grants.
type Policy struct {
	DaemonLease time.Duration
	ConfigLease time.Duration
	ItemLease   time.Duration
	// WorkerRetention is how long a worker may be missing from the platform's list before it is
	// removed.
	WorkerRetention time.Duration
	JobGroups       int
}

// MetaLeader is the unreplicated state of the meta group's leader in one term.
type MetaLeader struct {
	policy       Policy
	machine      *metastate.Machine
	daemonLeases *membership.LeaseTable
	workers      *membership.Workers
}

// NewMetaLeader returns the state of a leader whose term begins now.
func NewMetaLeader(machine *metastate.Machine, policy Policy, term uint64, now time.Time) *MetaLeader {
	m := &MetaLeader{
		policy:       policy,
		machine:      machine,
		daemonLeases: membership.NewLeaseTable(term, policy.DaemonLease, now),
		workers:      membership.NewWorkers(policy.WorkerRetention),
	}
	m.workers.Restore(now, machine.Assignments())
	return m
}

// Heartbeat renews a daemon's leases and returns the changes that the daemon does not have yet.
func (m *MetaLeader) Heartbeat(now time.Time, request *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
	if err := m.daemonLeases.Heartbeat(now, request); err != nil {
		return nil, err
	}
	for i := range request.Workers {
		m.workers.ApplyReport(&request.Workers[i])
	}
	response := &wire.HeartbeatResponse{
		LeaseMillis:       m.policy.DaemonLease.Milliseconds(),
		ConfigLeaseMillis: m.policy.ConfigLease.Milliseconds(),
		JobGroups:         m.policy.JobGroups,
		Gateways:          m.daemonLeases.Count(now, wire.RoleGateway),
		ConfigRevision:    m.machine.Revision(),
		Config:            m.machine.ChangedSince(request.ConfigRevision),
	}
	switch request.Role {
	case wire.RoleGateway:
		response.View = m.daemonLeases.View(now, request.ViewVersion)
	case wire.RoleDispatcher:
		m.fillAssignments(request, response)
	}
	return response, nil
}

// fillAssignments adds the dispatcher's assignments to the response unless the dispatcher has them
// already. Their version is a hash of the list, so that it stays valid when the leader changes.
func (m *MetaLeader) fillAssignments(request *wire.HeartbeatRequest, response *wire.HeartbeatResponse) {
	owned := m.machine.AssignmentsOf(request.Daemon)
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

// ApplyList applies one reading of the platform's worker list.
func (m *MetaLeader) ApplyList(now time.Time, rows []membership.ListedWorker) {
	m.workers.ApplyList(now, rows)
}

// Plan ends the expired daemon leases and computes the resulting assignments. It returns the former
// holders of these leases, and the command to commit; an empty command changes nothing.
func (m *MetaLeader) Plan(now time.Time) (expired []string, command wire.AssignCommand) {
	expired = m.daemonLeases.Expire(now)
	if m.daemonLeases.Ready(now) {
		command = membership.Plan(m.workers, m.daemonLeases.Dispatchers(), m.machine.Assignments(), m.drainRequested)
	}
	return expired, command
}

// drainRequested reports whether an operator has requested to drain the worker.
func (m *MetaLeader) drainRequested(name string) bool {
	return len(m.machine.Documents(metastate.KindDrain, name)) > 0
}

// Status returns the operators' view of the fleet.
func (m *MetaLeader) Status(now time.Time) *wire.StatusResponse {
	response := &wire.StatusResponse{
		ConfigRevision: m.machine.Revision(),
		Daemons:        m.daemonLeases.Status(now),
		Workers:        m.machine.SortedAssignments(),
	}
	for i := range response.Daemons {
		if response.Daemons[i].ConfigRevision == response.ConfigRevision {
			response.InForce++
		}
	}
	return response
}
