// Package controlclient is used by the other daemons to talk to control. Client finds the leader of
// a group and calls it; Session keeps the daemon's lease and its copy of the configuration.
package controlclient

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/rpc"
)

// RPC methods of control.
const (
	MethodHeartbeat    = "heartbeat"
	MethodStatus       = "status"
	MethodApply        = "apply"
	MethodDocuments    = "documents"
	MethodHistory      = "history"
	MethodBeginFile    = "begin_file"
	MethodAppendFile   = "append_file"
	MethodCompleteFile = "complete_file"
	MethodDeleteFile   = "delete_file"
	MethodGetFile      = "get_file"
	MethodReadLines    = "read_lines"
	MethodCreateJob    = "create_job"
	MethodGetJob       = "get_job"
	MethodListJobs     = "list_jobs"
	MethodCancelJob    = "cancel_job"
	MethodReadResults  = "read_results"
	MethodLeaseItems   = "lease_items"
	MethodComplete     = "complete_items"
)

// MetaGroup is the number of the group that holds the configuration and the assignments of workers.
const MetaGroup = 0

// LeaderFieldPrefix is the prefix of the failure field that names a group's leader.
const LeaderFieldPrefix = consensus.LeaderFieldPrefix

const (
	attemptTimeout = time.Second
	minBackoff     = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// Client calls control. It caches the address of each group's leader.
type Client struct {
	rpc       *rpc.Client
	addresses []string
	mutex     sync.Mutex
	leaders   map[int]string
}

// New returns a client of the control processes at the addresses.
func New(addresses []string) *Client {
	return &Client{rpc: rpc.NewClient(), addresses: addresses, leaders: map[int]string{}}
}

// Traffic returns the counts of the traffic between the client and control.
func (c *Client) Traffic() rpc.Traffic { return c.rpc.Traffic() }

// Close closes the idle connections.
func (c *Client) Close() { c.rpc.Close() }

func (c *Client) leaderAddress(group, attempt int) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if address := c.leaders[group]; address != "" {
		return address
	}
	return c.addresses[(group+attempt)%len(c.addresses)]
}

func (c *Client) updateLeader(group int, address string, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err == nil {
		c.leaders[group] = address
		return
	}
	delete(c.leaders, group)
	if hint, found := strings.CutPrefix(failure.From(err).Field, LeaderFieldPrefix); found && hint != address {
		c.leaders[group] = hint
	}
}

// decodable is satisfied by *T if it decodes MessagePack.
type decodable[T any] interface {
	*T
	msgp.Unmarshaler
}

// Call calls the leader of the group and tries the control processes in turn until ctx ends. Every
// call to control may be repeated, because commands contain what makes them idempotent. Responses
// of the state machine, including failures, are final. Once an attempt may have been executed, no failure
// promises that nothing was.
func Call[Response any, Pointer decodable[Response]](ctx context.Context, c *Client, group int, method string, request msgp.Marshaler) (*Response, error) {
	backoff := minBackoff
	mayHaveRun := false
	for attempt := 0; ; attempt++ {
		response, err := CallOnce[Response, Pointer](ctx, c, group, method, request, attempt)
		if err == nil || !retryable(err) || ctx.Err() != nil {
			return response, failure.Truthful(err, mayHaveRun)
		}
		mayHaveRun = mayHaveRun || failure.Is(err, failure.OutcomeUnknown)
		if attempt%len(c.addresses) != len(c.addresses)-1 {
			continue
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// CallOnce makes one call to the process that is believed to lead the group. If the leader is not
// known, attempt selects one of the control processes.
func CallOnce[Response any, Pointer decodable[Response]](ctx context.Context, c *Client, group int, method string, request msgp.Marshaler, attempt int) (*Response, error) {
	address := c.leaderAddress(group, attempt)
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	response, err := rpc.Call[Response, Pointer](ctx, c.rpc, address, method, request)
	if err == nil || retryable(err) {
		c.updateLeader(group, address, err)
	}
	return response, err
}

func retryable(err error) bool {
	kind := failure.KindOf(err)
	return kind == failure.NotRun || kind == failure.OutcomeUnknown
}
