package dispatcher

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"

	"github.com/sedgemast/sedgemast/internal/controlclient"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/jobstate"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/membership"
	"github.com/sedgemast/sedgemast/internal/retry"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// renewInterval is the time between renewals of the leases of held items;
	// within it a cancelled job's items stop.
	renewInterval = 750 * time.Millisecond
	// idleInterval is when to ask again after a request that failed.
	idleInterval = 250 * time.Millisecond
	// probeItems is how many items a group is asked for that gave none lately.
	probeItems = 8
	// maxReportItems bounds the results in one report.
	maxReportItems  = 512
	reportTimeout   = 10 * time.Second
	firstItemDelay  = 100 * time.Millisecond
	maxItemDelay    = 5 * time.Second
	giveBackTimeout = 2 * time.Second
)

// itemSet holds the batch items that this dispatcher has on lease, from the
// grant until control has settled their results.
type itemSet struct {
	dispatcher *Dispatcher
	mutex      sync.Mutex
	held       map[wire.ItemRef]*heldItem
	finished   []wire.ItemResult
	groups     map[int]*groupPull
	stopped    bool
}

// heldItem is an item on lease.
type heldItem struct {
	cancel context.CancelFunc
	lease  membership.Lease
	// done is set once the result waits to be reported.
	done bool
}

// groupPull is the state of the requests to one job group.
type groupPull struct {
	busy      bool
	lastRenew time.Time
	nextAsk   time.Time
	// giving is set while the group's last answer held items.
	giving bool
	// released is set while control has not been told of items given back.
	released bool
}

func newItemSet(d *Dispatcher) *itemSet {
	return &itemSet{dispatcher: d, held: map[wire.ItemRef]*heldItem{}, groups: map[int]*groupPull{}}
}

// pullLoop renews leases and asks for items, one request per group at a time.
func (s *itemSet) pullLoop(ctx context.Context) {
	ticker := time.NewTicker(s.dispatcher.settings.ItemInterval.Std())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.pullGroups(ctx, now)
		}
	}
}

func (s *itemSet) pullGroups(ctx context.Context, now time.Time) {
	s.stopLapsed(clock.Exact())
	groups := s.dispatcher.session.JobGroupCount()
	want, models := s.room()
	for number := 1; number <= groups; number++ {
		request := s.dueRequest(now, number, want, models)
		if request == nil {
			continue
		}
		go s.pull(ctx, request)
	}
}

// stopLapsed ends the work on items whose lease could not be renewed: their job
// may have been cancelled, or others may work on them by now.
func (s *itemSet) stopLapsed(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for ref, held := range s.held {
		if !held.lease.Valid(now) {
			s.stopItem(ref)
		}
	}
}

// room returns how many items to ask for, and for which models.
func (s *itemSet) room() (int, []string) {
	if s.dispatcher.accepts() != nil {
		return 0, nil
	}
	d := s.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	room, models := d.scheduler.BatchCapacity()
	_, queued := d.scheduler.Queued()
	return max(0, room+d.settings.ItemBacklog-queued), models
}

// dueRequest returns the request to a group, or nil if none is due.
func (s *itemSet) dueRequest(now time.Time, number, want int, models []string) *wire.LeaseItemsRequest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	group := s.groups[number]
	if group == nil {
		group = &groupPull{}
		s.groups[number] = group
	}
	if !group.giving {
		// A group that had nothing to give must not take the room that the
		// others could fill.
		want = min(want, probeItems)
	}
	if now.Before(group.nextAsk) || s.stopped {
		want = 0
	}
	request := &wire.LeaseItemsRequest{
		Group:       number,
		Dispatcher:  s.dispatcher.settings.Name,
		Incarnation: s.dispatcher.incarnation,
		Want:        want,
		Models:      models,
	}
	for ref := range s.held {
		if groupOfItem(ref) == number {
			request.Held = append(request.Held, ref)
		}
	}
	renew := (len(request.Held) > 0 || group.released) && now.Sub(group.lastRenew) >= renewInterval
	if group.busy || (want == 0 && !renew) {
		return nil
	}
	group.busy = true
	group.released = false
	group.lastRenew = now
	return request
}

func groupOfItem(ref wire.ItemRef) int {
	// Items come from control, whose ids are always well formed.
	group, _ := jobstate.GroupOf(ref.JobID)
	return group
}

func (s *itemSet) pull(ctx context.Context, request *wire.LeaseItemsRequest) {
	sent := clock.Exact()
	response, err := controlclient.CallOnce[wire.LeaseItemsResponse](ctx, s.dispatcher.control, request.Group, controlclient.MethodLeaseItems, request, 0)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	group := s.groups[request.Group]
	group.busy = false
	if err != nil {
		group.nextAsk = time.Now().Add(idleInterval)
		return
	}
	for _, ref := range response.Stop {
		s.stopItem(ref)
	}
	length := time.Duration(response.LeaseMillis) * time.Millisecond
	for _, ref := range request.Held {
		if held := s.held[ref]; held != nil {
			held.lease.Renew(sent, length)
		}
	}
	for i := range response.Items {
		var lease membership.Lease
		lease.Renew(sent, length)
		s.startItem(ctx, &response.Items[i], lease)
	}
	if request.Want > 0 {
		group.giving = len(response.Items) > 0
	}
	if request.Want > 0 && !group.giving {
		group.nextAsk = time.Now().Add(time.Duration(response.IdleMillis) * time.Millisecond)
	}
}

// stopItem ends the work on an item that need not be done. The mutex is held.
func (s *itemSet) stopItem(ref wire.ItemRef) {
	if held := s.held[ref]; held != nil && !held.done {
		held.cancel()
		delete(s.held, ref)
		s.dispatcher.metrics.items.WithLabelValues("stopped").Inc()
	}
}

func (s *itemSet) startItem(ctx context.Context, item *wire.LeasedItem, lease membership.Lease) {
	if s.held[item.Ref] != nil || s.stopped {
		return
	}
	itemContext, cancel := context.WithCancel(ctx)
	held := &heldItem{cancel: cancel, lease: lease}
	s.held[item.Ref] = held
	go s.runItem(itemContext, item, held)
}

// runItem runs an item until it has a result or its work is stopped. After a
// failure that a later attempt may mend it tries again with growing delays; an
// item that can't be run here is given back.
func (s *itemSet) runItem(ctx context.Context, item *wire.LeasedItem, held *heldItem) {
	defer held.cancel()
	d := s.dispatcher
	running := newTask(d, s.itemRequest(item), d.batch, 1)
	started := time.Now()
	delay := firstItemDelay
	for tries := 1; ; tries++ {
		running.request.AttemptID = fmt.Sprintf("%s-%d", running.request.RequestID, time.Now().UnixNano())
		err := running.run(ctx, retry.NewBudget(0))
		if ctx.Err() != nil {
			return
		}
		if failure.Is(err, failure.NotRun) {
			s.release(item, held)
			return
		}
		if !failure.Is(err, failure.OutcomeUnknown) || tries >= d.settings.MaxItemAttempts {
			d.metrics.request(wire.Batch, started, err)
			s.finish(item, held, running, err)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		delay = min(2*delay, maxItemDelay)
	}
}

// release gives an item back; the next renewal tells control.
func (s *itemSet) release(item *wire.LeasedItem, held *heldItem) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.held[item.Ref] == held {
		delete(s.held, item.Ref)
		s.groups[groupOfItem(item.Ref)].lastRenew = time.Time{}
		s.groups[groupOfItem(item.Ref)].released = true
		s.dispatcher.metrics.items.WithLabelValues("released").Inc()
	}
}

func (s *itemSet) itemRequest(item *wire.LeasedItem) *wire.GenerateRequest {
	return &wire.GenerateRequest{
		RequestID:      fmt.Sprintf("%s-%d", item.Ref.JobID, item.Ref.Item),
		Tenant:         item.Tenant,
		Class:          wire.Batch,
		Rank:           item.Rank,
		Model:          item.Model,
		Adapter:        item.Adapter,
		Prompt:         item.Line.Prompt,
		MaxTokens:      item.Line.MaxTokens,
		TimeLeftMillis: time.Until(time.UnixMilli(item.DeadlineMillis)).Milliseconds(),
	}
}

func (s *itemSet) finish(item *wire.LeasedItem, held *heldItem, ended *task, err error) {
	result := wire.ItemResult{
		JobID:     item.Ref.JobID,
		Item:      item.Ref.Item,
		CustomID:  item.Line.CustomID,
		RequestID: ended.request.RequestID,
		Model:     item.Model,
	}
	if err != nil {
		result.Failure = wire.NewFailure(err)
	} else {
		result.Text = ended.answer.text.String()
		result.FinishReason = ended.answer.finishReason
		result.PromptTokens = ended.answer.promptTokens
		result.CompletionTokens = ended.answer.tokens
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.held[item.Ref] != held {
		// The lease ended meanwhile; whoever holds it now reports.
		return
	}
	held.done = true
	s.finished = append(s.finished, result)
}

// reportLoop reports finished items in groups.
func (s *itemSet) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(s.dispatcher.settings.ReportInterval.Std())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.reportFinished(ctx)
		}
	}
}

// reportFinished reports what is finished, each job group's results together.
func (s *itemSet) reportFinished(ctx context.Context) {
	s.mutex.Lock()
	finished := s.finished
	s.finished = nil
	s.mutex.Unlock()
	byGroup := map[int][]wire.ItemResult{}
	for i := range finished {
		group := groupOfItem(wire.ItemRef{JobID: finished[i].JobID})
		byGroup[group] = append(byGroup[group], finished[i])
	}
	var pending sync.WaitGroup
	for group, results := range byGroup {
		for start := 0; start < len(results); start += maxReportItems {
			chunk := results[start:min(start+maxReportItems, len(results))]
			pending.Add(1)
			go func() {
				defer pending.Done()
				s.report(ctx, group, chunk)
			}()
		}
	}
	pending.Wait()
}

// report sends results until control has settled them.
func (s *itemSet) report(ctx context.Context, group int, results []wire.ItemResult) {
	request := &wire.CompleteItemsRequest{Dispatcher: s.dispatcher.settings.Name, Results: results}
	callContext, cancel := context.WithTimeout(ctx, reportTimeout)
	response, err := controlclient.Call[wire.CompleteItemsResponse](callContext, s.dispatcher.control, group, controlclient.MethodComplete, request)
	cancel()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil {
		logging.Warn(s.dispatcher.logger, "report_failed", "items", len(results), "error", err)
		s.finished = append(s.finished, results...)
		return
	}
	for i := range results {
		delete(s.held, wire.ItemRef{JobID: results[i].JobID, Item: results[i].Item})
	}
	metrics := s.dispatcher.metrics.items
	metrics.WithLabelValues("accepted").Add(float64(response.Accepted))
	metrics.WithLabelValues("duplicate").Add(float64(response.Duplicates))
	metrics.WithLabelValues("refused").Add(float64(response.Refused))
}

// giveBack stops the work on all items, reports what is finished and ends the
// leases, so that other dispatchers go on at once.
func (s *itemSet) giveBack(ctx context.Context) {
	s.mutex.Lock()
	s.stopped = true
	for ref, held := range s.held {
		if !held.done {
			held.cancel()
			delete(s.held, ref)
		}
	}
	s.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, giveBackTimeout)
	defer cancel()
	s.reportFinished(ctx)
	for number := 1; number <= s.dispatcher.session.JobGroupCount(); number++ {
		request := &wire.LeaseItemsRequest{Group: number, Dispatcher: s.dispatcher.settings.Name, Incarnation: s.dispatcher.incarnation}
		// Without an answer the leases run out by themselves.
		_, _ = controlclient.CallOnce[wire.LeaseItemsResponse](ctx, s.dispatcher.control, number, controlclient.MethodLeaseItems, request, 0)
	}
}
