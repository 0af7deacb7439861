// Package retry decides whether a failed attempt may be followed by another. It
// does no I/O and reads no clock.
//
// Rules:
//   - an attempt that is known not to have run may be repeated, up to
//     MaxAttempts and the deadline;
//   - an attempt whose outcome is unknown may be repeated only if the request is
//     repeatable: a request that is not never runs twice;
//   - retries draw on a budget that grows with the number of requests, so that
//     they can't multiply the load.
package retry

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
)

// Policy bounds the attempts at one request.
type Policy struct {
	// MaxAttempts bounds the attempts, including the first.
	MaxAttempts int
	// NotRepeatable forbids an attempt after one whose outcome is unknown.
	NotRepeatable bool
	Deadline      time.Time
}

// Decision says what to do after a failed attempt.
type Decision uint8

const (
	// GiveUp answers the request with the failure.
	GiveUp Decision = iota
	// Retry makes another attempt.
	Retry
)

// Next decides whether to retry after the given number of attempts, the last of
// which failed with err. A retry withdraws from the budget.
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

// Budget limits retries to a percentage of the requests.
type Budget struct {
	percent int
	tokens  float64
}

const (
	// maxTokens bounds the retries that accumulate while few requests fail.
	maxTokens = 100.0
	// startTokens is the initial budget; it allows retries before many requests
	// have arrived.
	startTokens = 20.0
)

// NewBudget returns a budget of the given number of retries per 100 requests.
func NewBudget(percent int) *Budget {
	return &Budget{percent: percent, tokens: startTokens}
}

// Deposit adds the contribution of one request to the budget.
func (b *Budget) Deposit() {
	b.tokens = min(maxTokens, b.tokens+float64(b.percent)/100)
}

// TryWithdraw takes one retry from the budget and reports whether there was one left.
func (b *Budget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
