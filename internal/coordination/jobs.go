package coordination

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/jobstate"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// adoptionTime is how long a new leader waits for dispatchers to renew the
	// item leases that its predecessor granted.
	adoptionTime = 1500 * time.Millisecond
	// maxLeasedItems bounds the items given in one answer, and so its size.
	maxLeasedItems = 256
	// idlePerAsker bounds the asking for items that are not there to 200 a
	// second in each job group, whatever the number of dispatchers.
	idlePerAsker = 5 * time.Millisecond
	minIdle      = 100 * time.Millisecond
	maxIdle      = 5 * time.Second
	askerMemory  = 10 * time.Second
)

// JobLeader is the soft state of a job group's leader in one term.
type JobLeader struct {
	policy  Policy
	machine *jobstate.Machine
	leases  *jobstate.Leases
	// askers holds when each dispatcher asked for items last.
	askers map[string]time.Time
	pruned time.Time
}

// NewJobLeader begins a term.
func NewJobLeader(machine *jobstate.Machine, policy Policy, now time.Time) *JobLeader {
	return &JobLeader{
		policy:  policy,
		machine: machine,
		leases:  jobstate.NewLeases(machine, policy.ItemLease, adoptionTime, now),
		askers:  map[string]time.Time{},
	}
}

// LeaseItems renews what a dispatcher holds and grants it waiting items. The
// reader is the group's state.
func (j *JobLeader) LeaseItems(now time.Time, request *wire.LeaseItemsRequest, reader storage.Reader) (*wire.LeaseItemsResponse, error) {
	response := &wire.LeaseItemsResponse{
		LeaseMillis: j.policy.ItemLease.Milliseconds(),
		IdleMillis:  j.idle(now, request.Dispatcher).Milliseconds(),
	}
	j.leases.Expire(now)
	response.Stop = j.leases.Renew(now, request.Dispatcher, request.Incarnation, request.Held)
	granted := j.leases.Grant(now, request.Dispatcher, request.Incarnation, min(request.Want, maxLeasedItems), request.Models)
	for _, ref := range granted {
		item, err := j.read(reader, ref)
		if err != nil {
			return nil, err
		}
		response.Items = append(response.Items, item)
	}
	return response, nil
}

// idle returns when a dispatcher that got no items may ask again: the more
// dispatchers there are, the later, so that their number does not multiply the
// asking.
func (j *JobLeader) idle(now time.Time, asker string) time.Duration {
	j.askers[asker] = now
	if now.Sub(j.pruned) > askerMemory {
		j.pruned = now
		for name, asked := range j.askers {
			if now.Sub(asked) > askerMemory {
				delete(j.askers, name)
			}
		}
	}
	return min(max(time.Duration(len(j.askers))*idlePerAsker, minIdle), maxIdle)
}

func (j *JobLeader) read(reader storage.Reader, ref wire.ItemRef) (wire.LeasedItem, error) {
	record, err := j.machine.Job("", ref.JobID)
	if err != nil {
		return wire.LeasedItem{}, err
	}
	line, err := jobstate.ReadLine(reader, record.FileID, ref.Item)
	return wire.LeasedItem{
		Ref:            ref,
		Tenant:         record.Tenant,
		Rank:           record.Rank,
		DeadlineMillis: record.DeadlineMillis,
		Model:          record.Model,
		Adapter:        record.Adapter,
		Line:           line,
	}, err
}

// Release forgets the leases of items whose results are committed.
func (j *JobLeader) Release(results []wire.ItemResult) { j.leases.Release(results) }
