// Package operator defines the operators' API: the JSON bodies of requests to gateways and of their
// responses, and a client for the command line and automation.
package operator

import (
	"encoding/json"
	"sort"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// Paths of the operators' API.
const (
	PathChanges   = "/operator/v1/changes"
	PathDocuments = "/operator/v1/documents"
	PathStatus    = "/operator/v1/status"
	PathJobs      = "/operator/v1/jobs"
)

// Document is a configuration document.
type Document struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Delete means that the change deletes the document. Spec is then empty.
	Delete   bool            `json:"delete,omitempty"`
	Revision uint64          `json:"revision,omitempty"`
	Spec     json.RawMessage `json:"spec,omitempty"`
}

// Documents is a list of documents and the revision at which it was read.
type Documents struct {
	Revision  uint64     `json:"revision"`
	Documents []Document `json:"documents"`
}

// Change is a change of one or more documents. It is applied atomically.
type Change struct {
	ChangeID         string     `json:"change_id"`
	ExpectedRevision *uint64    `json:"expected_revision"`
	Documents        []Document `json:"documents"`
}

// Applied is the response to an accepted change.
type Applied struct {
	Revision uint64 `json:"revision"`
	Repeated bool   `json:"repeated"`
}

// Status is the state of the fleet. InForce is the number of daemons that use the configuration at
// ConfigRevision.
type Status struct {
	ConfigRevision uint64              `json:"config_revision"`
	InForce        int                 `json:"in_force"`
	Daemons        []wire.DaemonStatus `json:"daemons"`
	Workers        []Worker            `json:"workers"`
	// Control lists the control processes.
	Control []wire.ReplicaStatus `json:"control"`
}

// Worker is a worker with the dispatcher that owns it and the fencing epoch of that assignment.
type Worker struct {
	Name       string `json:"name"`
	Zone       string `json:"zone"`
	Address    string `json:"address"`
	Dispatcher string `json:"dispatcher"`
	Epoch      uint64 `json:"epoch"`
	Leaving    bool   `json:"leaving"`
}

// NewStatus converts a status response of control.
func NewStatus(response *wire.StatusResponse) Status {
	status := Status{
		ConfigRevision: response.ConfigRevision,
		InForce:        response.InForce,
		Daemons:        response.Daemons,
		Workers:        []Worker{},
		Control:        response.Replicas,
	}
	for _, assignment := range response.Workers {
		status.Workers = append(status.Workers, Worker{
			Name:       assignment.Worker,
			Zone:       assignment.Zone,
			Address:    assignment.Address,
			Dispatcher: assignment.Dispatcher,
			Epoch:      assignment.Epoch,
			Leaving:    assignment.Leaving,
		})
	}
	return status
}

// Job is a batch job in the operators' API.
type Job struct {
	ID             string `json:"id"`
	Tenant         string `json:"tenant"`
	State          string `json:"state"`
	Model          string `json:"model"`
	Items          uint32 `json:"items"`
	Succeeded      uint32 `json:"succeeded"`
	Failed         uint32 `json:"failed"`
	CreatedMillis  int64  `json:"created_ms"`
	DeadlineMillis int64  `json:"deadline_ms"`
}

// NewJob converts a job record of control.
func NewJob(record *wire.JobRecord) Job {
	return Job{
		ID:             record.ID,
		Tenant:         record.Tenant,
		State:          record.State.String(),
		Model:          record.Model,
		Items:          record.Items,
		Succeeded:      record.Succeeded,
		Failed:         record.Failed,
		CreatedMillis:  record.CreatedMillis,
		DeadlineMillis: record.DeadlineMillis,
	}
}

// Jobs is a list of jobs, newest first.
type Jobs struct {
	Jobs []Job `json:"jobs"`
}

// Trim sorts the jobs, newest first, and removes all after the first limit.
func (j *Jobs) Trim(limit int) {
	sort.Slice(j.Jobs, func(a, b int) bool { return j.Jobs[a].CreatedMillis > j.Jobs[b].CreatedMillis })
	if len(j.Jobs) > limit {
		j.Jobs = j.Jobs[:limit]
	}
}

// Changes is a list of accepted changes, newest first.
type Changes struct {
	Changes []wire.Change `json:"changes"`
}
