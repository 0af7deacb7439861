// Package storeclient hands jobs to the leaders of their store groups, and reads from
// a store nearby. Every call may be repeated without harm, so it goes on to the
// next leader until its time is over.
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

// Methods of the stores.
const (
	MethodSubmit = "batch_submit"
	MethodRead   = "batch_read"
	MethodBody   = "batch_body"
	MethodEnd    = "batch_end"
)

const (
	// attemptTime bounds one call, beside the time that it is held on purpose.
	attemptTime = 700 * time.Millisecond
	pause       = 40 * time.Millisecond
)

// Client calls the stores.
type Client struct {
	client *rpc.Client
	fleet  func() *wire.FleetView
	near   [placement.MaxGroups]near
	mutex  sync.Mutex
	groups [placement.MaxGroups]groupTarget
	next   int
}

// groupTarget is what is known of the leader of a store group.
type groupTarget struct {
	// leader is the one that answered last, or was named, empty where none is known.
	leader string
	// failed is the one that was asked last and did not lead.
	failed string
}

// New returns a client for a process in the zone; fleet returns the view of the fleet.
// The meter, which may be nil, counts the calls.
func New(meter *traffic.Meter, zone string, fleet func() *wire.FleetView) *Client {
	client := rpc.NewClient()
	client.SetMeter(meter)
	c := &Client{client: client, fleet: fleet}
	for number := range c.near {
		c.near[number] = near{zone: zone, shunned: map[string]time.Time{}}
	}
	return c
}

// groupOf returns the group that keeps the job, or -1 while the groups are not known.
func (c *Client) groupOf(job string) int {
	return placement.GroupOf(job, min(len(c.fleet().Initial), placement.MaxGroups))
}

// target returns whom to ask about a group: the leader as it is known here, or by the
// view of the fleet, or else one member after the other.
func (c *Client) target(group int) string {
	if group < 0 {
		return ""
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := &c.groups[group]
	if known.leader != "" {
		return known.leader
	}
	fleet := c.fleet()
	place := fleet.Group(group)
	if place.Leader != "" && place.Leader != known.failed {
		return place.Leader
	}
	candidates := place.Members
	if len(candidates) == 0 {
		candidates = fleet.StoreAddresses()
	}
	if len(candidates) == 0 {
		return ""
	}
	c.next++
	return candidates[c.next%len(candidates)]
}

// learn takes in how a call about a group to the address ended.
func (c *Client) learn(group int, address string, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := &c.groups[group]
	if err == nil {
		*known = groupTarget{leader: address}
		return
	}
	known.failed = address
	leader := consensus.LeaderFromError(err)
	switch {
	case leader != "":
		known.leader = leader
	case known.leader == address:
		known.leader = ""
	}
}

// call asks the leader of the job's group until ctx ends. Where any try may have been carried out
// and none was answered, the failure is OutcomeUnknown.
func call[Response any, Pointer rpc.Decodable[Response]](ctx context.Context, c *Client, job, method string, request msgp.Marshaler, hold time.Duration) (*Response, error) {
	unknown := false
	for {
		group := c.groupOf(job)
		address := c.target(group)
		err := error(failure.New(failure.NotRun, "try again", "no store is known yet"))
		if address != "" {
			var response *Response
			attempt, cancel := context.WithTimeout(ctx, attemptTime+hold)
			response, err = rpc.Call[Response, Pointer](attempt, c.client, address, method, request)
			cancel()
			c.learn(group, address, err)
			if err == nil {
				return response, nil
			}
		}
		switch failure.KindOf(err) {
		case failure.OutcomeUnknown:
			unknown = true
		case failure.NotRun:
		default:
			return nil, err
		}
		select {
		case <-ctx.Done():
			if unknown {
				return nil, failure.Wrap(err, failure.OutcomeUnknown, "send it again", "no store answered in time")
			}
			return nil, failure.Wrap(err, failure.NotRun, "send it again", "no store could take it").WithRetryAfter(attemptTime)
		case <-time.After(pause):
		}
	}
}

// Submit hands in a job. Once it returns without a failure the job is kept.
func (c *Client) Submit(ctx context.Context, job *wire.SubmitBatch) (*wire.BatchResult, error) {
	return call[wire.BatchResult](ctx, c, job.ID, MethodSubmit, job, 0)
}

// holders returns the stores that hold a group's data, or all where that is not known.
func (c *Client) holders(group int) []wire.ProcessAddress {
	fleet := c.fleet()
	members := fleet.Group(group).Members
	if len(members) == 0 {
		return fleet.Stores
	}
	var holders []wire.ProcessAddress
	for _, store := range fleet.Stores {
		if slices.Contains(members, store.Address) {
			holders = append(holders, store)
		}
	}
	return holders
}

// read asks a store nearby, and the leader where that one does not answer.
func read[Response any, Pointer rpc.Decodable[Response]](ctx context.Context, c *Client, job, method string, request msgp.Marshaler, hold time.Duration) (*Response, error) {
	group := c.groupOf(job)
	if group < 0 {
		return call[Response, Pointer](ctx, c, job, method, request, hold)
	}
	address := c.near[group].pick(time.Now(), c.holders(group))
	if address == "" {
		return call[Response, Pointer](ctx, c, job, method, request, hold)
	}
	attempt, cancel := context.WithTimeout(ctx, attemptTime+hold)
	defer cancel()
	response, err := rpc.Call[Response, Pointer](attempt, c.client, address, method, request)
	if err == nil || !failure.Is(err, failure.NotRun) && !failure.Is(err, failure.OutcomeUnknown) {
		return response, err
	}
	if ctx.Err() == nil {
		c.near[group].shun(time.Now(), address)
	}
	return call[Response, Pointer](ctx, c, job, method, request, hold)
}

// Read reads results.
func (c *Client) Read(ctx context.Context, request *wire.BatchReadRequest) (*wire.BatchReadResponse, error) {
	return read[wire.BatchReadResponse](ctx, c, request.ID, MethodRead, request, time.Duration(request.WaitMillis)*time.Millisecond)
}

// Body reads the body of an item without a result.
func (c *Client) Body(ctx context.Context, request *wire.ItemBodyRequest) (*wire.ItemBody, error) {
	return read[wire.ItemBody](ctx, c, request.Job, MethodBody, request, 0)
}

// End ends a job.
func (c *Client) End(ctx context.Context, id string) (*wire.BatchResult, error) {
	return call[wire.BatchResult](ctx, c, id, MethodEnd, &wire.BatchName{ID: id}, 0)
}
