// Package storeclient hands jobs to the leader of the store group, and reads from
// a store nearby. Every call may be repeated without harm, so it goes on to the
// next leader until its time is over.
package storeclient

import (
	"context"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/rpc"
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
	stores func() []wire.StoreAddress
	near   near
	mutex  sync.Mutex
	leader string
	next   int
}

// New returns a client for a process in the zone; stores lists the stores known.
func New(zone string, stores func() []wire.StoreAddress) *Client {
	return &Client{
		client: rpc.NewClient(),
		stores: stores,
		near:   near{zone: zone, shunned: map[string]time.Time{}},
	}
}

// target returns whom to ask.
func (c *Client) target() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leader != "" {
		return c.leader
	}
	stores := c.stores()
	if len(stores) == 0 {
		return ""
	}
	c.next++
	return stores[c.next%len(stores)].Address
}

// learn takes in how a call to the address ended.
func (c *Client) learn(address string, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err == nil {
		c.leader = address
		return
	}
	leader := consensus.LeaderOf(err)
	switch {
	case leader != "":
		c.leader = leader
	case c.leader == address:
		c.leader = ""
	}
}

// call asks the leader until ctx ends. Where any try may have been carried out
// and none was answered, the failure is OutcomeUnknown.
func call[Response any, Pointer rpc.Decodable[Response]](ctx context.Context, c *Client, method string, request msgp.Marshaler, hold time.Duration) (*Response, error) {
	unknown := false
	for {
		address := c.target()
		err := error(failure.New(failure.NotRun, "try again", "no store is known yet"))
		if address != "" {
			var response *Response
			attempt, cancel := context.WithTimeout(ctx, attemptTime+hold)
			response, err = rpc.Call[Response, Pointer](attempt, c.client, address, method, request)
			cancel()
			c.learn(address, err)
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
	return call[wire.BatchResult](ctx, c, MethodSubmit, job, 0)
}

// read asks a store nearby, and the leader where that one does not answer.
func read[Response any, Pointer rpc.Decodable[Response]](ctx context.Context, c *Client, method string, request msgp.Marshaler, hold time.Duration) (*Response, error) {
	address := c.near.pick(time.Now(), c.stores())
	if address == "" {
		return call[Response, Pointer](ctx, c, method, request, hold)
	}
	attempt, cancel := context.WithTimeout(ctx, attemptTime+hold)
	defer cancel()
	response, err := rpc.Call[Response, Pointer](attempt, c.client, address, method, request)
	if err == nil || !failure.Is(err, failure.NotRun) && !failure.Is(err, failure.OutcomeUnknown) {
		return response, err
	}
	if ctx.Err() == nil {
		c.near.shun(time.Now(), address)
	}
	return call[Response, Pointer](ctx, c, method, request, hold)
}

// Read reads results.
func (c *Client) Read(ctx context.Context, request *wire.BatchReadRequest) (*wire.BatchReadResponse, error) {
	return read[wire.BatchReadResponse](ctx, c, MethodRead, request, time.Duration(request.WaitMillis)*time.Millisecond)
}

// Body reads the body of an item without a result.
func (c *Client) Body(ctx context.Context, request *wire.ItemBodyRequest) (*wire.ItemBody, error) {
	return read[wire.ItemBody](ctx, c, MethodBody, request, 0)
}

// End ends a job.
func (c *Client) End(ctx context.Context, id string) (*wire.BatchResult, error) {
	return call[wire.BatchResult](ctx, c, MethodEnd, &wire.BatchName{ID: id}, 0)
}
