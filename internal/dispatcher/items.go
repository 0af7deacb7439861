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
	// renewInterval is the time between two renewals of the leases of held items. The items of a
	// cancelled job stop within it.
	renewInterval = 750 * time.Millisecond
	// requestBackoff is the wait after a failed request before a group is asked for items again.
	requestBackoff = 250 * time.Millisecond
	// probeItems limits the items requested from a group whose last response contained none.
	probeItems = 8
	// maxReportItems limits the results in one report.
	maxReportItems = 512
	reportTimeout  = 10 * time.Second
	minItemBackoff = 100 * time.Millisecond
	maxItemBackoff = 5 * time.Second
	releaseTimeout = 2 * time.Second
)

// itemSet holds the batch items that this dispatcher has on lease, from the grant until control has
// answered the report of their results.
type itemSet struct {
	dispatcher     *Dispatcher
	mutex          sync.Mutex
	held           map[wire.ItemRef]*heldItem
	pendingResults []wire.ItemResult
	groups         map[int]*groupPull
	stopped        bool
}

// heldItem is a batch item whose lease this dispatcher holds.
type heldItem struct {
	cancel context.CancelFunc
	lease  membership.Lease
	// hasResult is set once the item has a result that waits to be reported.
	hasResult bool
}

// groupPull is the state of the requests to one job group.
type groupPull struct {
	requestPending bool
	lastRenew      time.Time
	nextRequest    time.Time
	// hadItems is set if the last response to a request for items contained any.
	hadItems bool
	// released is set if items were released since the last request, so that the next request is
	// needed to tell control.
	released bool
}

func newItemSet(d *Dispatcher) *itemSet {
	return &itemSet{dispatcher: d, held: map[wire.ItemRef]*heldItem{}, groups: map[int]*groupPull{}}
}

// pullLoop renews leases and requests items, with at most one request per group at a time.
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
	s.stopExpired(clock.Exact())
	groups := s.dispatcher.session.JobGroupCount()
	want, models := s.itemsWanted()
	for number := 1; number <= groups; number++ {
		request := s.dueRequest(now, number, want, models)
		if request == nil {
			continue
		}
		go s.pull(ctx, request)
	}
}

// stopExpired stops the work on items whose lease could not be renewed in time: their jobs may have
// been cancelled, or other dispatchers may be working on them.
func (s *itemSet) stopExpired(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for ref, held := range s.held {
		if !held.lease.Valid(now) {
			s.stopItem(ref)
		}
	}
}

// itemsWanted returns how many items to request, and for which models.
func (s *itemSet) itemsWanted() (int, []string) {
	if s.dispatcher.checkAccepting() != nil {
		return 0, nil
	}
	d := s.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	capacity, models := d.scheduler.BatchCapacity()
	_, queued := d.scheduler.Queued()
	return max(0, capacity+d.settings.ItemBacklog-queued), models
}

// dueRequest returns the request that is due to a group, or nil if none is.
func (s *itemSet) dueRequest(now time.Time, number, want int, models []string) *wire.LeaseItemsRequest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	group := s.groups[number]
	if group == nil {
		group = &groupPull{}
		s.groups[number] = group
	}
	if !group.hadItems {
		// A group that had no items must not claim the capacity that other groups could fill.
		want = min(want, probeItems)
	}
	if now.Before(group.nextRequest) || s.stopped {
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
	renewalDue := (len(request.Held) > 0 || group.released) && now.Sub(group.lastRenew) >= renewInterval
	if group.requestPending || (want == 0 && !renewalDue) {
		return nil
	}
	group.requestPending = true
	group.released = false
	group.lastRenew = now
	return request
}

func groupOfItem(ref wire.ItemRef) int {
	// The item comes from control, which always generates well-formed IDs.
	group, _ := jobstate.GroupOf(ref.JobID)
	return group
}

func (s *itemSet) pull(ctx context.Context, request *wire.LeaseItemsRequest) {
	sent := clock.Exact()
	response, err := controlclient.CallOnce[wire.LeaseItemsResponse](ctx, s.dispatcher.control, request.Group, controlclient.MethodLeaseItems, request, 0)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	group := s.groups[request.Group]
	group.requestPending = false
	if err != nil {
		group.nextRequest = time.Now().Add(requestBackoff)
		return
	}
	for _, ref := range response.Stop {
		s.stopItem(ref)
	}
	duration := time.Duration(response.LeaseMillis) * time.Millisecond
	for _, ref := range request.Held {
		if held := s.held[ref]; held != nil {
			held.lease.Renew(sent, duration)
		}
	}
	for i := range response.Items {
		var lease membership.Lease
		lease.Renew(sent, duration)
		s.startItem(ctx, &response.Items[i], lease)
	}
	if request.Want > 0 {
		group.hadItems = len(response.Items) > 0
	}
	if request.Want > 0 && !group.hadItems {
		group.nextRequest = time.Now().Add(time.Duration(response.IdleMillis) * time.Millisecond)
	}
}

// stopItem cancels and removes an item that has no result yet. The caller holds the mutex.
func (s *itemSet) stopItem(ref wire.ItemRef) {
	if held := s.held[ref]; held != nil && !held.hasResult {
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

// runItem runs an item until it has a result or is cancelled. After a failure with unknown outcome
// it retries with growing backoff, up to the configured number of attempts. An item that can't be
// run here is released.
func (s *itemSet) runItem(ctx context.Context, item *wire.LeasedItem, held *heldItem) {
	defer held.cancel()
	d := s.dispatcher
	t := newTask(d, s.itemRequest(item), d.batch, 1)
	started := time.Now()
	backoff := minItemBackoff
	for attempts := 1; ; attempts++ {
		t.request.AttemptID = fmt.Sprintf("%s-%d", t.request.RequestID, time.Now().UnixNano())
		err := t.run(ctx, retry.NewBudget(0))
		if ctx.Err() != nil {
			return
		}
		if failure.Is(err, failure.NotRun) {
			s.release(item, held)
			return
		}
		if !failure.Is(err, failure.OutcomeUnknown) || attempts >= d.settings.MaxItemAttempts {
			d.metrics.observeRequest(wire.Batch, started, err)
			s.recordResult(item, held, t, err)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxItemBackoff)
	}
}

// release removes an item without a result; the next renewal, due at once, tells control.
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

func (s *itemSet) recordResult(item *wire.LeasedItem, held *heldItem, t *task, err error) {
	result := wire.ItemResult{
		JobID:     item.Ref.JobID,
		Item:      item.Ref.Item,
		CustomID:  item.Line.CustomID,
		RequestID: t.request.RequestID,
		Model:     item.Model,
	}
	if err != nil {
		result.Failure = wire.NewFailure(err)
	} else {
		result.Text = t.answer.text.String()
		result.FinishReason = t.answer.finishReason
		result.PromptTokens = t.answer.promptTokens
		result.CompletionTokens = t.answer.tokens
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.held[item.Ref] != held {
		// The lease was lost in the meantime; the dispatcher that holds it now reports the result.
		return
	}
	held.hasResult = true
	s.pendingResults = append(s.pendingResults, result)
}

// reportLoop reports the pending results at the configured interval.
func (s *itemSet) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(s.dispatcher.settings.ReportInterval.Std())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.reportResults(ctx)
		}
	}
}

// reportResults sends the pending results to control, with separate reports for each job group.
func (s *itemSet) reportResults(ctx context.Context) {
	s.mutex.Lock()
	finished := s.pendingResults
	s.pendingResults = nil
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

// report sends results to control and forgets the items once control has answered. After an error
// the results are kept for the next report.
func (s *itemSet) report(ctx context.Context, group int, results []wire.ItemResult) {
	request := &wire.CompleteItemsRequest{Dispatcher: s.dispatcher.settings.Name, Results: results}
	callContext, cancel := context.WithTimeout(ctx, reportTimeout)
	response, err := controlclient.Call[wire.CompleteItemsResponse](callContext, s.dispatcher.control, group, controlclient.MethodComplete, request)
	cancel()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil {
		logging.Warn(s.dispatcher.logger, "report_failed", "items", len(results), "error", err)
		s.pendingResults = append(s.pendingResults, results...)
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

// releaseAll cancels all items without a result, reports the pending results and ends the leases,
// so that other dispatchers can start the items at once.
func (s *itemSet) releaseAll(ctx context.Context) {
	s.mutex.Lock()
	s.stopped = true
	for ref, held := range s.held {
		if !held.hasResult {
			held.cancel()
			delete(s.held, ref)
		}
	}
	s.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	s.reportResults(ctx)
	for number := 1; number <= s.dispatcher.session.JobGroupCount(); number++ {
		request := &wire.LeaseItemsRequest{Group: number, Dispatcher: s.dispatcher.settings.Name, Incarnation: s.dispatcher.incarnation}
		// Without a response the leases expire by themselves.
		_, _ = controlclient.CallOnce[wire.LeaseItemsResponse](ctx, s.dispatcher.control, number, controlclient.MethodLeaseItems, request, 0)
	}
}
