package scheduling

import "time"

// ActionKind is the type of an action.
type ActionKind uint8

const (
	// Start runs the attempt on the worker.
	Start ActionKind = iota
	// Preempt cancels a running batch attempt whose capacity an online attempt needs.
	Preempt
	// Abandon gives up an attempt on a worker that is unresponsive or was replaced.
	Abandon
	// Reject ends an attempt that was not started.
	Reject
)

// Reason is the reason for a rejection.
type Reason uint8

const (
	// ReasonNone is the reason of all actions other than Reject.
	ReasonNone Reason = iota
	// ReasonSaturated means that the queue is full or the expected wait exceeds the deadline.
	ReasonSaturated
	// ReasonNoWorker means that no worker of this dispatcher can serve the attempt.
	ReasonNoWorker
	// ReasonDeadline means that the deadline passed while the attempt was queued.
	ReasonDeadline
)

// Action is an instruction to the caller of Step.
type Action struct {
	Kind      ActionKind
	AttemptID string
	Worker    string
	Address   string
	Epoch     uint64
	Reason    Reason
	// RetryAfter is the time after which a rejected attempt may be sent again.
	RetryAfter time.Duration
}

const (
	noWorkerRetryAfter = time.Second
	maxWait            = 30 * time.Second
	rateWindow         = 5 * time.Second
)

// completionRate estimates the wait in the queue from the rate at which online attempts ended
// recently.
type completionRate struct {
	windowStart time.Time
	count       int
	rate        float64
}

func (c *completionRate) recordEnd(now time.Time) {
	if c.windowStart.IsZero() {
		c.windowStart = now
	}
	c.count++
	if elapsed := now.Sub(c.windowStart); elapsed >= rateWindow {
		c.rate = float64(c.count) / elapsed.Seconds()
		c.windowStart, c.count = now, 0
	}
}

// expectedWait returns the expected wait of the attempt at the given queue position. Before the
// first measurement it is zero, so that only MaxQueue limits the queue.
func (c *completionRate) expectedWait(now time.Time, position int) time.Duration {
	rate := c.rate
	if elapsed := now.Sub(c.windowStart); rate == 0 && c.count > 0 && elapsed > time.Second {
		rate = float64(c.count) / elapsed.Seconds()
	}
	if rate == 0 {
		return 0
	}
	return min(time.Duration(float64(position)/rate*float64(time.Second)), maxWait)
}
