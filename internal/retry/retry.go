// Package retry decides whether an attempt that failed may be followed by
// another. It is pure.
//
// Rules:
//   - an attempt that truly did not run may always be repeated, within bounds;
//   - an attempt whose outcome is unknown may be repeated only if the request
//     may, and a request that may not be repeated is never started twice;
//   - retries draw on a budget that grows with the requests, so that they can't
//     multiply a load.
package retry

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
)

// Policy bounds the attempts at one request.
type Policy struct {
	// MaxAttempts bounds the attempts, the first included.
	MaxAttempts int
	// NotRepeatable forbids an attempt after one whose outcome is unknown.
	NotRepeatable bool
	Deadline      time.Time
}

// Decision is what follows a failed attempt.
type Decision uint8

const (
	// GiveUp answers the failure at once.
	GiveUp Decision = iota
	// Retry makes another attempt.
	Retry
)

// Next decides what follows the given number of attempts, of which the last
// failed with err at now.
func (p *Policy) Next(now time.Time, attempts int, err error, budget *Budget) Decision {
	if attempts >= p.MaxAttempts || !now.Before(p.Deadline) {
		return GiveUp
	}
	switch failure.KindOf(err) {
	case failure.NotRun:
	case failure.OutcomeUnknown:
		if p.NotRepeatable {
			return GiveUp
		}
	default:
		return GiveUp
	}
	if !budget.TryWithdraw() {
		return GiveUp
	}
	return Retry
}

// Budget limits retries to a share of the requests.
type Budget struct {
	percent int
	tokens  float64
}

const (
	// maxTokens bounds the retries saved up in quiet times.
	maxTokens = 100.0
	// startTokens lets a process retry before it has seen many requests.
	startTokens = 20.0
)

// NewBudget returns a budget of the given number of retries per 100 requests.
func NewBudget(percent int) *Budget {
	return &Budget{percent: percent, tokens: startTokens}
}

// Deposit adds what one request contributes.
func (b *Budget) Deposit() {
	b.tokens = min(maxTokens, b.tokens+float64(b.percent)/100)
}

// TryWithdraw draws one retry and reports whether the budget allowed it.
func (b *Budget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
