package retry

import (
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
)

func TestNext(t *testing.T) {
	now := time.Unix(1000, 0)
	later := now.Add(time.Second)
	cases := []struct {
		name     string
		policy   Policy
		attempts int
		kind     failure.Kind
		want     Decision
	}{
		{"not run", Policy{MaxAttempts: 3, Deadline: later}, 1, failure.NotRun, Retry},
		{"not run, not repeatable", Policy{MaxAttempts: 3, NotRepeatable: true, Deadline: later}, 1, failure.NotRun, Retry},
		{"unknown", Policy{MaxAttempts: 3, Deadline: later}, 1, failure.OutcomeUnknown, Retry},
		{"unknown, not repeatable", Policy{MaxAttempts: 3, NotRepeatable: true, Deadline: later}, 1, failure.OutcomeUnknown, GiveUp},
		{"bad request", Policy{MaxAttempts: 3, Deadline: later}, 1, failure.BadRequest, GiveUp},
		{"last attempt", Policy{MaxAttempts: 3, Deadline: later}, 3, failure.NotRun, GiveUp},
		{"past the deadline", Policy{MaxAttempts: 3, Deadline: now}, 1, failure.NotRun, GiveUp},
	}
	for _, c := range cases {
		err := failure.New(c.kind, "", "failed")
		if got := c.policy.Next(now, c.attempts, err, NewBudget(10)); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
}

func TestBudgetBoundsRetries(t *testing.T) {
	budget := NewBudget(10)
	retries := 0
	for range 10_000 {
		budget.Deposit()
		for budget.TryWithdraw() {
			retries++
		}
	}
	if want := 1000 + int(startTokens); retries > want {
		t.Errorf("%d retries for 10000 requests, want at most %d", retries, want)
	}
}
