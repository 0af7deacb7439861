package wire

//msgp:limit arrays:65536 maps:65536

// Role is the role of a daemon.
type Role uint8

const (
	// RoleGateway serves callers and operators.
	RoleGateway Role = iota
	// RoleDispatcher owns workers.
	RoleDispatcher
	// RoleControl stores the durable state.
	RoleControl
)

// String returns the role as used in logs and tables.
func (r Role) String() string {
	switch r {
	case RoleGateway:
		return "gateway"
	case RoleDispatcher:
		return "dispatcher"
	case RoleControl:
		return "control"
	}
	return "unknown"
}

// WorkerReport is a dispatcher's summary of one of its workers.
type WorkerReport struct {
	Worker string   `msg:"worker"`
	Epoch  uint64   `msg:"epoch"`
	Models []string `msg:"models"`
	// Leaving is set once the engine has reported that it is leaving.
	Leaving bool `msg:"leaving"`
	// Unreachable is set while the engine does not answer.
	Unreachable bool `msg:"unreachable"`
}

// HeartbeatRequest renews a daemon's lease. It names the versions that the daemon has, so that
// the response carries only what has changed since.
type HeartbeatRequest struct {
	Daemon string `msg:"daemon"`
	// Incarnation distinguishes processes with the same name, as before and after a restart.
	Incarnation       uint64         `msg:"incarnation"`
	Role              Role           `msg:"role"`
	Zone              string         `msg:"zone"`
	Address           string         `msg:"address"`
	Draining          bool           `msg:"draining"`
	Leaving           bool           `msg:"leaving"`
	Utilization       uint8          `msg:"utilization"`
	Models            []string       `msg:"models"`
	ConfigRevision    uint64         `msg:"config_revision"`
	ViewVersion       uint64         `msg:"view_version"`
	AssignmentVersion uint64         `msg:"assignment_version"`
	Workers           []WorkerReport `msg:"workers"`
}

// HeartbeatResponse carries what has changed since the versions in the request.
type HeartbeatResponse struct {
	// LeaseMillis is the duration of the renewed lease, counted from the moment at which
	// the daemon sent the heartbeat.
	LeaseMillis int64 `msg:"lease"`
	// ConfigLeaseMillis is how long the daemon may use the configuration, counted from the moment
	// at which the daemon sent the heartbeat.
	ConfigLeaseMillis int64        `msg:"config_lease"`
	ConfigRevision    uint64       `msg:"config_revision"`
	Config            *ConfigDelta `msg:"config"`
	View              *ViewDelta   `msg:"view"`
	AssignmentVersion uint64       `msg:"assignment_version"`
	// Assignments lists all of the daemon's workers if AssignmentVersion differs from the
	// one in the request.
	Assignments []Assignment `msg:"assignments"`
	// JobGroups is the number of job groups.
	JobGroups int `msg:"job_groups"`
	// Gateways is the number of live gateways, which share tenants' limits; zero if
	// control does not know it.
	Gateways int  `msg:"gateways"`
	Drain    bool `msg:"drain"`
}

// ViewDelta lists the dispatchers that changed since the requested version. A full delta
// replaces all dispatchers that the reader has.
type ViewDelta struct {
	Version     uint64       `msg:"version"`
	Full        bool         `msg:"full"`
	Dispatchers []DaemonView `msg:"dispatchers"`
	Removed     []string     `msg:"removed"`
}

// DaemonView describes a dispatcher to other daemons.
type DaemonView struct {
	Name        string   `msg:"name"`
	Zone        string   `msg:"zone"`
	Address     string   `msg:"address"`
	Draining    bool     `msg:"draining"`
	Utilization uint8    `msg:"utilization"`
	Models      []string `msg:"models"`
}

// Assignment assigns a worker to a dispatcher under a fencing epoch.
type Assignment struct {
	Worker      string `msg:"worker"`
	Address     string `msg:"address"`
	Zone        string `msg:"zone"`
	Incarnation uint64 `msg:"incarnation"`
	Dispatcher  string `msg:"dispatcher"`
	Epoch       uint64 `msg:"epoch"`
	Leaving     bool   `msg:"leaving"`
	// Version is the software version of the worker, empty if the platform doesn't tell it.
	Version string `msg:"version,omitempty"`
}

// DaemonStatus is one row of the operators' status table. LeaseLeft is the time for which the
// daemon's lease still runs, in milliseconds.
type DaemonStatus struct {
	Name           string `msg:"name" json:"name"`
	Role           string `msg:"role" json:"role"`
	Zone           string `msg:"zone" json:"zone"`
	Address        string `msg:"address" json:"address"`
	ConfigRevision uint64 `msg:"config_revision" json:"config_revision"`
	Draining       bool   `msg:"draining" json:"draining"`
	Utilization    uint8  `msg:"utilization" json:"utilization"`
	Workers        int    `msg:"workers" json:"workers"`
	LeaseLeft      int64  `msg:"lease_left" json:"lease_left_ms"`
}

// StatusRequest asks for the state of the fleet.
type StatusRequest struct{}

// StatusResponse is the state of the fleet as control knows it. InForce is the number of
// daemons that have the current configuration.
type StatusResponse struct {
	ConfigRevision uint64         `msg:"config_revision" json:"config_revision"`
	InForce        int            `msg:"in_force" json:"in_force"`
	Daemons        []DaemonStatus `msg:"daemons" json:"daemons"`
	Workers        []Assignment   `msg:"workers" json:"workers"`
	// Replicas are the control processes.
	Replicas []ReplicaStatus `msg:"replicas" json:"replicas"`
}

// ReplicaStatus is the state of one control process as the meta group's leader knows it.
type ReplicaStatus struct {
	Name    string `msg:"name" json:"name"`
	Address string `msg:"address" json:"address"`
	// State is leader, voter or spare.
	State string `msg:"state" json:"state"`
	// Behind is the lag of the process: the number of log entries that it has not stored
	// yet. SilentMillis is the time since its last message.
	Behind       uint64 `msg:"behind" json:"behind"`
	SilentMillis int64  `msg:"silent" json:"silent_ms"`
}
