// Package coordination is what the leader of a group knows beyond the replicated
// state: the leases of daemons, the workers, and the leases of batch items. It is
// pure and soft: a new leader begins with none of it and learns it from the
// daemons' next messages; it waits one lease before it takes anything from
// anyone.
package coordination

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sedgemast/sedgemast/internal/membership"
	"github.com/sedgemast/sedgemast/internal/metastate"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Policy holds the lengths of the leases that a leader grants.
type Policy struct {
	DaemonLease time.Duration
	ConfigLease time.Duration
	ItemLease   time.Duration
	// WorkerRetention is how long a worker may be missing from the platform's
	// list.
	WorkerRetention time.Duration
	JobGroups       int
}

// MetaLeader is the soft state of the meta group's leader in one term.
type MetaLeader struct {
	policy  Policy
	machine *metastate.Machine
	table   *membership.LeaseTable
	workers *membership.Workers
}

// NewMetaLeader begins a term.
func NewMetaLeader(machine *metastate.Machine, policy Policy, term uint64, now time.Time) *MetaLeader {
	m := &MetaLeader{
		policy:  policy,
		machine: machine,
		table:   membership.NewLeaseTable(term, policy.DaemonLease, now),
		workers: membership.NewWorkers(policy.WorkerRetention),
	}
	m.workers.Restore(now, machine.Assignments())
	return m
}

// Heartbeat renews a daemon's leases and answers with what it does not know yet.
func (m *MetaLeader) Heartbeat(now time.Time, request *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
	if err := m.table.Heartbeat(now, request); err != nil {
		return nil, err
	}
	for i := range request.Workers {
		m.workers.ApplyReport(&request.Workers[i])
	}
	response := &wire.HeartbeatResponse{
		LeaseMillis:       m.policy.DaemonLease.Milliseconds(),
		ConfigLeaseMillis: m.policy.ConfigLease.Milliseconds(),
		JobGroups:         m.policy.JobGroups,
		Gateways:          m.table.Count(now, wire.RoleGateway),
		ConfigRevision:    m.machine.Revision(),
		Config:            m.machine.ChangedSince(request.ConfigRevision),
	}
	switch request.Role {
	case wire.RoleGateway:
		response.View = m.table.View(now, request.ViewVersion)
	case wire.RoleDispatcher:
		m.fillAssignments(request, response)
	}
	return response, nil
}

// fillAssignments lists a dispatcher's workers unless it knows them already.
// The version is a digest of the list, which no change of leader invalidates.
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

// ApplyList takes in one reading of the platform's list.
func (m *MetaLeader) ApplyList(now time.Time, rows []membership.ListedWorker) {
	m.workers.ApplyList(now, rows)
}

// Plan ends the daemon leases that have run out, whose holders it returns, and
// works out the assignments that follow; an empty command changes nothing.
func (m *MetaLeader) Plan(now time.Time) (expired []string, command wire.AssignCommand) {
	expired = m.table.Expire(now)
	if m.table.Ready(now) {
		command = membership.Plan(m.workers, m.table.Dispatchers(), m.machine.Assignments(), m.drained)
	}
	return expired, command
}

// drained reports whether an operator drains the worker.
func (m *MetaLeader) drained(name string) bool {
	return len(m.machine.Documents(metastate.KindDrain, name)) > 0
}

// Status returns the operators' view of the fleet.
func (m *MetaLeader) Status(now time.Time) *wire.StatusResponse {
	response := &wire.StatusResponse{
		ConfigRevision: m.machine.Revision(),
		Daemons:        m.table.Status(now),
		Workers:        m.machine.SortedAssignments(),
	}
	for i := range response.Daemons {
		if response.Daemons[i].ConfigRevision == response.ConfigRevision {
			response.InForce++
		}
	}
	return response
}
