package scheduling

import "time"

// ActionKind tells actions apart.
type ActionKind uint8

const (
	// Start hands the attempt to the worker.
	Start ActionKind = iota
	// Preempt cancels a batch attempt whose place is needed.
	Preempt
	// Abandon gives up an attempt on a worker that does not answer.
	Abandon
	// Reject ends an attempt that did not run.
	Reject
)

// Reason says why an attempt was refused.
type Reason uint8

const (
	// ReasonNone is the reason of actions that are no refusal.
	ReasonNone Reason = iota
	// ReasonSaturated means that the wait would be too long.
	ReasonSaturated
	// ReasonNoWorker means that no worker here can serve the attempt.
	ReasonNoWorker
	// ReasonDeadline means that the deadline passed while it waited.
	ReasonDeadline
)

// Action is something for the input and output side to carry out.
type Action struct {
	Kind      ActionKind
	AttemptID string
	Worker    string
	Address   string
	Epoch     uint64
	Reason    Reason
	// RetryAfter is when a refused attempt may come back.
	RetryAfter time.Duration
}

const (
	noWorkerRetryAfter = time.Second
	maxWait            = 30 * time.Second
	rateWindow         = 5 * time.Second
)

// finishRate estimates the wait in the queue from recent finishes.
type finishRate struct {
	started time.Time
	count   int
	rate    float64
}

func (f *finishRate) finished(now time.Time) {
	if f.started.IsZero() {
		f.started = now
	}
	f.count++
	if elapsed := now.Sub(f.started); elapsed >= rateWindow {
		f.rate = float64(f.count) / elapsed.Seconds()
		f.started, f.count = now, 0
	}
}

// expectedWait returns how long the attempt at the position will wait. Without
// any measurement yet it is zero, so that the queue's bound alone decides.
func (f *finishRate) expectedWait(now time.Time, position int) time.Duration {
	rate := f.rate
	if elapsed := now.Sub(f.started); rate == 0 && f.count > 0 && elapsed > time.Second {
		rate = float64(f.count) / elapsed.Seconds()
	}
	if rate == 0 {
		return 0
	}
	return min(time.Duration(float64(position)/rate*float64(time.Second)), maxWait)
}
