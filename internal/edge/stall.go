package edge

import (
	"context"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/stall"
)

const (
	// stallBacklogTime is for how long after a stall the requests that this process reads may have
	// arrived during the stall. Even with a small share of a CPU, the process has read the backlog
	// by then.
	stallBacklogTime = 250 * time.Millisecond
	// coordinatorWait is how long a request waits after a stall for the first answer of a
	// coordinator: enough for a few attempts to reach one.
	coordinatorWait = 200 * time.Millisecond
	// coordinatorPollInterval is the time between two checks for that answer.
	coordinatorPollInterval = 5 * time.Millisecond
)

// watchStalls detects stalls of this process also while no requests arrive, and how late the process
// runs what is due.
func (e *Edge) watchStalls(ctx context.Context) {
	ticker := time.NewTicker(stall.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case due := <-ticker.C:
			e.checkStall(clock.Now())
			e.observeLag(time.Since(due))
		}
	}
}

// checkStall returns the start and the end of this process's last stall.
func (e *Edge) checkStall(now time.Time) (from, until time.Time) {
	from, until, noticed := e.stallDetector.Check(now)
	if noticed {
		e.metrics.stalls.Inc()
		logging.Warn(e.logger, "stood_still", "ms", until.Sub(from).Milliseconds())
	}
	return from, until
}

// waitedInStall returns how long a request that was read at readAt may have waited unread because
// the process stalled between from and until, zero if it did not. readBefore is set if the request
// was read before the stall.
func waitedInStall(readAt, from, until time.Time) (waited time.Duration, readBefore bool) {
	switch {
	case until.IsZero() || readAt.Sub(until) >= stallBacklogTime:
		return 0, false
	case until.Sub(readAt) > stallBacklogTime:
		return 0, true
	}
	// The request's deadline already accounts for the time since it was read.
	return max(readAt.Sub(from), 0), false
}

// awaitCoordinator waits, after a stall, until a coordinator has answered again.
func (e *Edge) awaitCoordinator(ctx context.Context, until time.Time) {
	for end := until.Add(coordinatorWait); ctx.Err() == nil && clock.Now().Before(end); {
		if e.watcher.Current().LeaderSeenAt.After(until) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(coordinatorPollInterval):
		}
	}
}

// recoverFromStall returns how long a request that was read at the arrived time may have waited
// unread before because this process stalled. If it may have waited, recoverFromStall first waits
// for a coordinator's answer. It fails with NotRun if the request was read before the stall.
func (e *Edge) recoverFromStall(ctx context.Context, arrived time.Time) (waited time.Duration, err error) {
	now := clock.Now()
	from, until := e.checkStall(now)
	waited, readBefore := waitedInStall(now.Add(-time.Since(arrived)), from, until)
	if readBefore {
		return 0, stallError()
	}
	if waited > 0 {
		e.awaitCoordinator(ctx, until)
	}
	return waited, nil
}

// rejectedAfterStall rejects the request if this process stalled between the start of the request's
// routing and its first sending to a worker. Then the data for the routing is outdated, and the
// caller may have given up.
func (c *call) rejectedAfterStall() bool {
	if c.attempts > 0 || c.failedDials > 0 {
		return false
	}
	if _, until := c.edge.checkStall(clock.Now()); !until.After(c.routingStartedAt) {
		return false
	}
	c.reject(stallError())
	return true
}

func stallError() *failure.Error {
	return failure.New(failure.NotRun, "try again", "the process stood still before it sent the request on").WithRetryAfter(shortRetryAfter)
}
