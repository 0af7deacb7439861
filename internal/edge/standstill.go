package edge

import (
	"context"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/daemon"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/stall"
)

const (
	// wakeTime is how long after a standstill what is read may have come during it: all that
	// waits is read by then, also with a small part of a processor.
	wakeTime = 250 * time.Millisecond
	// wakeNews is how long a request waits for the first news after a standstill: a few tries
	// to reach a coordinator.
	wakeNews = 200 * time.Millisecond
	// wakeLook is the time between two looks for them.
	wakeLook = 5 * time.Millisecond
)

// watchStandstills notices standstills of this process, also while no request comes.
func (e *Edge) watchStandstills(ctx context.Context) {
	daemon.Every(ctx, stall.Interval, func() { e.checkStandstill(clock.Now()) })
}

// checkStandstill returns from when until when this process stood still last.
func (e *Edge) checkStandstill(now time.Time) (from, until time.Time) {
	from, until, noticed := e.standstill.Check(now)
	if noticed {
		e.metrics.standstills.Inc()
		logging.Warn(e.logger, "stood_still", "ms", until.Sub(from).Milliseconds())
	}
	return from, until
}

// missed returns for how long a request that was taken in at came may have waited before,
// because this process stood still, zero where it did not. inside is set where it had been
// taken in before that.
func missed(came, from, until time.Time) (waited time.Duration, inside bool) {
	switch {
	case until.IsZero() || came.Sub(until) >= wakeTime:
		return 0, false
	case until.Sub(came) > wakeTime:
		return 0, true
	}
	// What passed since then, its deadline counts already.
	return max(came.Sub(from), 0), false
}

// awaitNews waits, after a standstill, until the coordinators have been heard again.
func (e *Edge) awaitNews(ctx context.Context, until time.Time) {
	for end := until.Add(wakeNews); ctx.Err() == nil && clock.Now().Before(end); {
		if e.watcher.Current().LeaderSeenAt.After(until) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(wakeLook):
		}
	}
}

// wake returns for how long a request that arrived at the given time may have waited before,
// because this process stood still. After that it waits for news. It fails with NotRun where
// the request had been taken in before the standstill.
func (e *Edge) wake(ctx context.Context, arrived time.Time) (waited time.Duration, err error) {
	now := clock.Now()
	from, until := e.checkStandstill(now)
	waited, inside := missed(now.Add(-time.Since(arrived)), from, until)
	if inside {
		return 0, stoodStill()
	}
	if waited > 0 {
		e.awaitNews(ctx, until)
	}
	return waited, nil
}

// stoodStill refuses the request if this process stood still since it came, before it went
// to any worker: what it was to be decided by is old, and its caller may have given it up.
func (c *call) stoodStill() bool {
	if c.attempts > 0 || c.dials > 0 {
		return false
	}
	if _, until := c.edge.checkStandstill(clock.Now()); !until.After(c.takenIn) {
		return false
	}
	c.refuse(stoodStill())
	return true
}

func stoodStill() *failure.Error {
	return failure.New(failure.NotRun, "try again", "the process stood still before it sent the request on").WithRetryAfter(shortRetry)
}
