// Package scale runs hollow daemons and workers beside real processes, to
// measure what a fleet of the target's size costs. A hollow daemon speaks the
// real control protocol through the real client; it serves nobody.
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
	// dispatcherShare is the part of the daemons that are dispatchers, in
	// tenths.
	dispatcherShare = 6
)

// hollowDaemon is one daemon without its work.
type hollowDaemon struct {
	name    string
	role    wire.Role
	zone    string
	client  *controlclient.Client
	session *controlclient.Session
	started uint64
	beats   atomic.Uint64

	mutex       sync.Mutex
	assignments []wire.Assignment
}

// Daemons is a set of hollow daemons.
type Daemons struct {
	control []string
	model   string
	all     []*hollowDaemon
	running sync.WaitGroup
	// itemRate is the batch items a second over all dispatchers.
	itemRate  atomic.Int64
	completed atomic.Int64
	failed    atomic.Int64
}

// NewDaemons returns an empty set.
func NewDaemons(control []string, model string) *Daemons {
	return &Daemons{control: control, model: model}
}

// Grow adds daemons until there are count. They run until ctx ends.
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
		Client:   h.client,
		Logger:   logging.Discard(),
		Interval: heartbeatInterval,
		Timeout:  heartbeatTimeout,
		Report:   func(request *wire.HeartbeatRequest) { h.report(request, number, d.model) },
		OnChange: h.heard,
	})
	d.all = append(d.all, h)
	d.run(ctx, h.session.Run)
	if h.role == wire.RoleDispatcher {
		d.run(ctx, func(ctx context.Context) { d.work(ctx, h) })
	}
}

func (d *Daemons) run(ctx context.Context, loop func(context.Context)) {
	d.running.Add(1)
	go func() {
		defer d.running.Done()
		loop(ctx)
	}()
}

// Wait waits until all daemons have ended.
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
	// The utilization changes now and then, as a real one does.
	request.Utilization = uint8((time.Now().Unix()/5 + int64(number)) % 8 * 32)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for i := range h.assignments {
		request.Workers = append(request.Workers, wire.WorkerReport{Worker: h.assignments[i].Worker, Epoch: h.assignments[i].Epoch})
	}
}

func (h *hollowDaemon) heard(response *wire.HeartbeatResponse) {
	h.beats.Add(1)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if response.Assignments != nil {
		h.assignments = response.Assignments
	}
}

// work leases batch items and reports them done at once, at the dispatcher's
// share of the rate.
func (d *Daemons) work(ctx context.Context, h *hollowDaemon) {
	ticker := time.NewTicker(itemInterval)
	defer ticker.Stop()
	owed := 0.0
	for group := 0; ; group++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		groups := h.session.JobGroupCount()
		dispatchers := max(1, len(d.all)*dispatcherShare/10)
		owed = min(owed+float64(d.itemRate.Load())*itemInterval.Seconds()/float64(dispatchers), 256)
		if groups == 0 || owed < 1 {
			continue
		}
		owed -= float64(d.leaseAndComplete(ctx, h, 1+group%groups, int(owed)))
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

// hollowResult stands for an answer of the usual length.
const hollowResult = "wmd5 w1k9o wb3t w14yq w7d w2f8k wzz1 w9ab0 wk2 w3fj1 wmd5 w1k9o wb3t w14yq w7d w2f8k wzz1 w9ab0 wk2 w3fj1 wmd5 w1k9o wb3t w14yq w7d w2f8k"

// counts adds up what the daemons have exchanged.
type counts struct {
	beats     uint64
	traffic   rpc.Traffic
	completed int64
	failed    int64
}

func (d *Daemons) counts() counts {
	total := counts{completed: d.completed.Load(), failed: d.failed.Load()}
	for _, h := range d.all {
		total.beats += h.beats.Load()
		one := h.client.Traffic()
		total.traffic.Calls += one.Calls
		total.traffic.SentBytes += one.SentBytes
		total.traffic.ReceivedBytes += one.ReceivedBytes
	}
	return total
}

// serving returns how many daemons hold a lease and a confirmed configuration.
func (d *Daemons) serving(now time.Time) int {
	count := 0
	for _, h := range d.all {
		if h.session.LeaseValid(now) && h.session.ConfigValid(now) {
			count++
		}
	}
	return count
}

// slowestRevision returns the lowest revision that a daemon acts on.
func (d *Daemons) slowestRevision() uint64 {
	lowest := ^uint64(0)
	for _, h := range d.all {
		lowest = min(lowest, h.session.Config().Revision)
	}
	return lowest
}
