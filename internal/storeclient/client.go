// Package storeclient submits jobs to the leaders of their store groups, and reads results from a
// nearby store. All calls are idempotent, so a failed call is retried at the next candidate until
// the context ends.
package storeclient

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/placement"
	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/traffic"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// RPC methods of the stores.
const (
	MethodSubmit = "batch_submit"
	MethodRead   = "batch_read"
	MethodBody   = "batch_body"
	MethodEnd    = "batch_end"
)

const (
	// attemptTimeout bounds one call, in addition to the time that the store may wait before it
	// responds.
	attemptTimeout = 700 * time.Millisecond
	retryInterval  = 40 * time.Millisecond
)

// Client calls the stores.
type Client struct {
	client *rpc.Client
	fleet  func() *wire.FleetView
	nearby [placement.MaxGroups]nearbyStore
	mutex  sync.Mutex
	groups [placement.MaxGroups]groupLeader
	next   int
}

// groupLeader is what the client knows about the leader of a store group.
type groupLeader struct {
	// leader is the address that last responded as the leader or was named as such; empty if
	// unknown.
	leader string
	// lastFailed is the address whose last call failed.
	lastFailed string
}

// New returns a client for a process in the zone; fleet returns the current view of the fleet. The
// meter counts the calls and may be nil.
func New(meter *traffic.Meter, zone string, fleet func() *wire.FleetView) *Client {
	client := rpc.NewClient()
	client.SetMeter(meter)
	c := &Client{client: client, fleet: fleet}
	for number := range c.nearby {
		c.nearby[number] = nearbyStore{zone: zone, avoidedUntil: map[string]time.Time{}}
	}
	return c
}

// LimitConnections bounds the open connections to stores, zero for no limit. It must be called before the
// first call.
func (c *Client) LimitConnections(max int) { c.client.LimitConnections(max) }

// groupOf returns the group that stores the job, or -1 while the groups are unknown.
func (c *Client) groupOf(job string) int {
	return placement.GroupOf(job, min(len(c.fleet().Initial), placement.MaxGroups))
}

// target returns the address to call for a group: the leader known from earlier calls, else the
// leader in the view of the fleet, else the members in turn. It is empty if no store is known.
func (c *Client) target(group int) string {
	if group < 0 {
		return ""
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := &c.groups[group]
	if state.leader != "" {
		return state.leader
	}
	fleet := c.fleet()
	groupView := fleet.Group(group)
	if groupView.Leader != "" && groupView.Leader != state.lastFailed {
		return groupView.Leader
	}
	candidates := groupView.Members
	if len(candidates) == 0 {
		candidates = fleet.StoreAddresses()
	}
	if len(candidates) == 0 {
		return ""
	}
	c.next++
	return candidates[c.next%len(candidates)]
}

// recordResult updates the known leader of a group from the result of a call to the address.
func (c *Client) recordResult(group int, address string, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := &c.groups[group]
	if err == nil {
		*state = groupLeader{leader: address}
		return
	}
	state.lastFailed = address
	leader := consensus.LeaderFromError(err)
	switch {
	case leader != "":
		state.leader = leader
	case state.leader == address:
		state.leader = ""
	}
}

// call calls the leader of the job's group until it responds or ctx ends. Once an attempt may have been
// executed, no failure promises that nothing was: a store may reject the call while an earlier attempt is
// still on its way to the log. wait is how long the store may wait before it responds.
func call[Response any, Pointer rpc.Decodable[Response]](ctx context.Context, c *Client, job, method string, request msgp.Marshaler, wait time.Duration) (*Response, error) {
	outcomeUnknown := false
	for {
		group := c.groupOf(job)
		address := c.target(group)
		err := error(failure.New(failure.NotRun, "try again", "no store is known yet"))
		if address != "" {
			var response *Response
			attempt, cancel := context.WithTimeout(ctx, attemptTimeout+wait)
			response, err = rpc.Call[Response, Pointer](attempt, c.client, address, method, request)
			cancel()
			c.recordResult(group, address, err)
			if err == nil {
				return response, nil
			}
		}
		switch failure.KindOf(err) {
		case failure.OutcomeUnknown:
			outcomeUnknown = true
		case failure.NotRun:
		default:
			return nil, failure.Truthful(err, outcomeUnknown)
		}
		select {
		case <-ctx.Done():
			err = failure.Wrap(err, failure.NotRun, "send it again", "no store could take it").WithRetryAfter(attemptTimeout)
			return nil, failure.Truthful(err, outcomeUnknown)
		case <-time.After(retryInterval):
		}
	}
}

// Submit submits a job. If it returns no error, the job is stored.
func (c *Client) Submit(ctx context.Context, job *wire.SubmitBatch) (*wire.BatchResult, error) {
	return call[wire.BatchResult](ctx, c, job.ID, MethodSubmit, job, 0)
}

// replicas returns the stores that hold a group's data, or all stores if the members of the group
// are unknown.
func (c *Client) replicas(group int) []wire.ProcessAddress {
	fleet := c.fleet()
	members := fleet.Group(group).Members
	if len(members) == 0 {
		return fleet.Stores
	}
	var replicas []wire.ProcessAddress
	for _, store := range fleet.Stores {
		if slices.Contains(members, store.Address) {
			replicas = append(replicas, store)
		}
	}
	return replicas
}

// read calls a nearby store, and the leader if that store does not respond or can't serve the read.
func read[Response any, Pointer rpc.Decodable[Response]](ctx context.Context, c *Client, job, method string, request msgp.Marshaler, wait time.Duration) (*Response, error) {
	group := c.groupOf(job)
	if group < 0 {
		return call[Response, Pointer](ctx, c, job, method, request, wait)
	}
	address := c.nearby[group].pick(time.Now(), c.replicas(group))
	if address == "" {
		return call[Response, Pointer](ctx, c, job, method, request, wait)
	}
	attempt, cancel := context.WithTimeout(ctx, attemptTimeout+wait)
	defer cancel()
	response, err := rpc.Call[Response, Pointer](attempt, c.client, address, method, request)
	if err == nil || !failure.Is(err, failure.NotRun) && !failure.Is(err, failure.OutcomeUnknown) {
		return response, err
	}
	if ctx.Err() == nil {
		c.nearby[group].avoid(time.Now(), address)
	}
	return call[Response, Pointer](ctx, c, job, method, request, wait)
}

// Read reads results of a job.
func (c *Client) Read(ctx context.Context, request *wire.BatchReadRequest) (*wire.BatchReadResponse, error) {
	return read[wire.BatchReadResponse](ctx, c, request.ID, MethodRead, request, time.Duration(request.WaitMillis)*time.Millisecond)
}

// Body reads the body of an item that has no result yet.
func (c *Client) Body(ctx context.Context, request *wire.ItemBodyRequest) (*wire.ItemBody, error) {
	return read[wire.ItemBody](ctx, c, request.Job, MethodBody, request, 0)
}

// EndJob ends the job with the id.
func (c *Client) EndJob(ctx context.Context, id string) (*wire.BatchResult, error) {
	return call[wire.BatchResult](ctx, c, id, MethodEnd, &wire.BatchName{ID: id}, 0)
}
