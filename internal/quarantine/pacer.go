package quarantine

import "time"

const (
	// CalmTime is how long no worker may have exited for the workers to count as calm.
	CalmTime = 2 * time.Second
	// maxRetryDelay is the longest time for which an item of a batch job waits for its next run if
	// it is refused. It also bounds what an item costs that does make workers exit.
	maxRetryDelay = 30 * time.Second
	// maxPace is the largest number of refused items that run at once.
	maxPace = 64
)

// Pacer decides when refused items of batch jobs run again. An item is owed to its caller, so its
// worker exits hold it back only until the workers are calm. The first of many refused items then runs
// alone, and each success lets one more run at a time. An exit brings the number back to one. The zero
// value is ready for use. Pacer is not safe for concurrent use.
type Pacer struct {
	pace       int
	running    int
	lastExitAt time.Time
}

// HeldItem is a refused item that waits for its next run.
type HeldItem struct {
	// Since is when the item was first refused here, or when its last run ended.
	Since time.Time
	// Failures counts the runs that a worker's exit broke off although the workers had been calm.
	Failures int
}

// retryDelay is how long an item waits at least after its last run.
func (h *HeldItem) retryDelay() time.Duration {
	if h.Failures == 0 {
		return 0
	}
	return min(CalmTime<<min(h.Failures, 10), maxRetryDelay)
}

// MayRun reports whether the item may run now. lastExitAt is when the last exit of any worker was seen.
// An item that has waited for maxRetryDelay runs alone even if the workers are never calm.
func (p *Pacer) MayRun(now, lastExitAt time.Time, h *HeldItem) bool {
	if lastExitAt.After(p.lastExitAt) {
		p.pace, p.lastExitAt = 1, lastExitAt
	}
	waited := now.Sub(h.Since)
	if now.Sub(lastExitAt) >= CalmTime && waited >= h.retryDelay() {
		return p.running < max(p.pace, 1)
	}
	return waited >= maxRetryDelay && p.running == 0
}

// Start records that a refused item has started.
func (p *Pacer) Start() { p.running++ }

// Succeed records that a refused item has run well. It need not have ended.
func (p *Pacer) Succeed() {
	p.running--
	p.pace = min(max(p.pace, 1)+1, maxPace)
}

// Stop records that a refused item has ended without showing whether it is harmless.
func (p *Pacer) Stop() { p.running-- }

// Fail records that a worker exited under a refused item.
func (p *Pacer) Fail(now time.Time, h *HeldItem) {
	p.running--
	p.pace = 1
	h.Since = now
	h.Failures++
}
