package coordination

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/jobstate"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// adoptionTime is how long a new leader waits for dispatchers to renew the item leases that its
	// predecessor granted.
	adoptionTime = 1500 * time.Millisecond
	// maxLeasedItems limits the items, and thus the size, of one response.
	maxLeasedItems = 256
	// idleTimePerDispatcher is what each dispatcher adds to the idle time of all dispatchers. It
	// limits the requests that find no items to 200 per second in each job group, whatever the
	// number of dispatchers.
	idleTimePerDispatcher = 5 * time.Millisecond
	minIdleTime           = 100 * time.Millisecond
	maxIdleTime           = 5 * time.Second
	// lastRequestTTL is the shortest time for which a dispatcher counts for the idle time after its
	// last request.
	lastRequestTTL = 10 * time.Second
)

// JobLeader is the unreplicated state of a job group's leader in one term.
type JobLeader struct {
	policy  Policy
	machine *jobstate.Machine
	leases  *jobstate.Leases
	// lastRequests holds when each dispatcher last requested items.
	lastRequests map[string]time.Time
	lastPrune    time.Time
}

// NewJobLeader returns the state of a leader whose term begins now.
func NewJobLeader(machine *jobstate.Machine, policy Policy, now time.Time) *JobLeader {
	return &JobLeader{
		policy:       policy,
		machine:      machine,
		leases:       jobstate.NewLeases(machine, policy.ItemLease, adoptionTime, now),
		lastRequests: map[string]time.Time{},
	}
}

// LeaseItems renews the leases that a dispatcher holds and grants it waiting items, whose contents
// it reads from the group's state with reader.
func (j *JobLeader) LeaseItems(now time.Time, request *wire.LeaseItemsRequest, reader storage.Reader) (*wire.LeaseItemsResponse, error) {
	response := &wire.LeaseItemsResponse{
		LeaseMillis: j.policy.ItemLease.Milliseconds(),
		IdleMillis:  j.idleTime(now, request.Dispatcher).Milliseconds(),
	}
	j.leases.Expire(now)
	response.Stop = j.leases.Renew(now, request.Dispatcher, request.Incarnation, request.Held)
	granted := j.leases.Grant(now, request.Dispatcher, request.Incarnation, min(request.Want, maxLeasedItems), request.Models)
	for _, ref := range granted {
		item, err := j.readItem(reader, ref)
		if err != nil {
			return nil, err
		}
		response.Items = append(response.Items, item)
	}
	return response, nil
}

// idleTime returns how long a dispatcher that got no items waits before it requests items again. It
// grows with the number of dispatchers, so that the total rate of requests does not grow with it.
func (j *JobLeader) idleTime(now time.Time, dispatcher string) time.Duration {
	j.lastRequests[dispatcher] = now
	if now.Sub(j.lastPrune) > lastRequestTTL {
		j.lastPrune = now
		for name, lastRequest := range j.lastRequests {
			if now.Sub(lastRequest) > lastRequestTTL {
				delete(j.lastRequests, name)
			}
		}
	}
	return min(max(time.Duration(len(j.lastRequests))*idleTimePerDispatcher, minIdleTime), maxIdleTime)
}

func (j *JobLeader) readItem(reader storage.Reader, ref wire.ItemRef) (wire.LeasedItem, error) {
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

// Release removes the leases of items whose results are committed.
func (j *JobLeader) Release(results []wire.ItemResult) { j.leases.Release(results) }
