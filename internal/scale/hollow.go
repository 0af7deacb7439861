// Package scale runs hollow daemons and workers beside real processes, to measure the cost of a
// fleet of the target size. A hollow daemon speaks the real control protocol through the real
// client, but serves no callers.
package scale

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sedgemast/sedgemast/internal/controlclient"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = time.Second
	itemInterval      = 100 * time.Millisecond
	zones             = 9
	// dispatcherShare is the number of dispatchers in every ten daemons.
	dispatcherShare = 6
)

// hollowDaemon is a gateway or dispatcher reduced to its exchange with control.
type hollowDaemon struct {
	name       string
	role       wire.Role
	zone       string
	client     *controlclient.Client
	session    *controlclient.Session
	started    uint64
	heartbeats atomic.Uint64

	mutex       sync.Mutex
	assignments []wire.Assignment
}

// Daemons is a set of hollow daemons.
type Daemons struct {
	control []string
	model   string
	all     []*hollowDaemon
	running sync.WaitGroup
	// itemRate is the target of completed batch items per second, over all dispatchers.
	itemRate  atomic.Int64
	completed atomic.Int64
	failed    atomic.Int64
}

// NewDaemons returns an empty set of daemons that use the control processes at the given
// addresses.
func NewDaemons(control []string, model string) *Daemons {
	return &Daemons{control: control, model: model}
}

// Grow adds daemons until there are count in the set. They run until ctx ends.
func (d *Daemons) Grow(ctx context.Context, count int) {
	for len(d.all) < count {
		d.add(ctx, len(d.all))
	}
}

func (d *Daemons) add(ctx context.Context, number int) {
	h := &hollowDaemon{role: wire.RoleGateway, zone: fmt.Sprintf("zone-%c", 'a'+number%zones), started: uint64(time.Now().UnixNano())}
	h.name = fmt.Sprintf("hollow-gateway-%d", number)
	if number%10 < dispatcherShare {
		h.role = wire.RoleDispatcher
		h.name = fmt.Sprintf("hollow-dispatcher-%d", number)
	}
	h.client = controlclient.New(d.control)
	h.session = controlclient.NewSession(controlclient.SessionOptions{
		Client:     h.client,
		Logger:     logging.Discard(),
		Interval:   heartbeatInterval,
		Timeout:    heartbeatTimeout,
		Report:     func(request *wire.HeartbeatRequest) { h.report(request, number, d.model) },
		OnResponse: h.handleResponse,
	})
	d.all = append(d.all, h)
	d.run(ctx, h.session.Run)
	if h.role == wire.RoleDispatcher {
		d.run(ctx, func(ctx context.Context) { d.completeItems(ctx, h) })
	}
}

func (d *Daemons) run(ctx context.Context, loop func(context.Context)) {
	d.running.Add(1)
	go func() {
		defer d.running.Done()
		loop(ctx)
	}()
}

// Wait waits until all daemons have stopped.
func (d *Daemons) Wait() { d.running.Wait() }

func (h *hollowDaemon) report(request *wire.HeartbeatRequest, number int, model string) {
	request.Daemon = h.name
	request.Incarnation = h.started
	request.Role = h.role
	request.Zone = h.zone
	request.Address = fmt.Sprintf("127.0.0.1:%d", 1+number)
	if h.role != wire.RoleDispatcher {
		return
	}
	request.Models = []string{model}
	// The utilization changes every five seconds, as that of a real dispatcher does now and then.
	request.Utilization = uint8((time.Now().Unix()/5 + int64(number)) % 8 * 32)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for i := range h.assignments {
		request.Workers = append(request.Workers, wire.WorkerReport{Worker: h.assignments[i].Worker, Epoch: h.assignments[i].Epoch})
	}
}

func (h *hollowDaemon) handleResponse(response *wire.HeartbeatResponse) {
	h.heartbeats.Add(1)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if response.Assignments != nil {
		h.assignments = response.Assignments
	}
}

// completeItems leases batch items and reports them completed at once, at the dispatcher's share of
// the item rate.
func (d *Daemons) completeItems(ctx context.Context, h *hollowDaemon) {
	ticker := time.NewTicker(itemInterval)
	defer ticker.Stop()
	budget := 0.0
	for group := 0; ; group++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		groups := h.session.JobGroupCount()
		dispatchers := max(1, len(d.all)*dispatcherShare/10)
		budget = min(budget+float64(d.itemRate.Load())*itemInterval.Seconds()/float64(dispatchers), 256)
		if groups == 0 || budget < 1 {
			continue
		}
		budget -= float64(d.leaseAndComplete(ctx, h, 1+group%groups, int(budget)))
	}
}

func (d *Daemons) leaseAndComplete(ctx context.Context, h *hollowDaemon, group, want int) int {
	request := &wire.LeaseItemsRequest{Group: group, Dispatcher: h.name, Incarnation: h.started, Want: want, Models: []string{d.model}}
	leased, err := controlclient.CallOnce[wire.LeaseItemsResponse](ctx, h.client, group, controlclient.MethodLeaseItems, request, 0)
	if err != nil || len(leased.Items) == 0 {
		return 0
	}
	report := &wire.CompleteItemsRequest{Dispatcher: h.name}
	for i := range leased.Items {
		item := &leased.Items[i]
		report.Results = append(report.Results, wire.ItemResult{JobID: item.Ref.JobID, Item: item.Ref.Item, CustomID: item.Line.CustomID, Text: hollowResult, FinishReason: "stop"})
	}
	if _, err := controlclient.Call[wire.CompleteItemsResponse](ctx, h.client, group, controlclient.MethodComplete, report); err != nil {
		d.failed.Add(int64(len(report.Results)))
		return 0
	}
	d.completed.Add(int64(len(report.Results)))
	return len(report.Results)
}

// hollowResult is the text of every result, as long as a typical answer.
const hollowResult = "wmd5 w1k9o wb3t w14yq w7d w2f8k wzz1 w9ab0 wk2 w3fj1 wmd5 w1k9o wb3t w14yq w7d w2f8k wzz1 w9ab0 wk2 w3fj1 wmd5 w1k9o wb3t w14yq w7d w2f8k"

// counts holds totals over all hollow daemons.
type counts struct {
	heartbeats uint64
	traffic    rpc.Traffic
	completed  int64
	failed     int64
}

func (d *Daemons) counts() counts {
	total := counts{completed: d.completed.Load(), failed: d.failed.Load()}
	for _, h := range d.all {
		total.heartbeats += h.heartbeats.Load()
		traffic := h.client.Traffic()
		total.traffic.Calls += traffic.Calls
		total.traffic.SentBytes += traffic.SentBytes
		total.traffic.ReceivedBytes += traffic.ReceivedBytes
	}
	return total
}

// serving returns the number of daemons with a valid lease and a valid configuration.
func (d *Daemons) serving(now time.Time) int {
	count := 0
	for _, h := range d.all {
		if h.session.LeaseValid(now) && h.session.ConfigValid(now) {
			count++
		}
	}
	return count
}

// lowestRevision returns the lowest configuration revision in force at any daemon.
func (d *Daemons) lowestRevision() uint64 {
	lowest := ^uint64(0)
	for _, h := range d.all {
		lowest = min(lowest, h.session.Config().Revision)
	}
	return lowest
}
