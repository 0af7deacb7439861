package promise

import (
	"net/http"
	"testing"
)

// TestOnlyMarkedRejectionsStateNotRun guards against concluding from a status alone that a worker did not
// run a request.
func TestOnlyMarkedRejectionsStateNotRun(t *testing.T) {
	for _, test := range []struct {
		status           int
		unmarked, marked Statement
	}{
		{http.StatusOK, Answer, Nothing},
		{http.StatusBadRequest, Answer, NotRun},
		{http.StatusRequestTimeout, Nothing, NotRun},
		{http.StatusMisdirectedRequest, NotRun, NotRun},
		{http.StatusUnprocessableEntity, Answer, NotRun},
		{http.StatusTooManyRequests, Nothing, NotRun},
		{http.StatusInternalServerError, Answer, Nothing},
		{http.StatusBadGateway, Answer, Nothing},
		{http.StatusServiceUnavailable, Nothing, NotRun},
		{http.StatusGatewayTimeout, Answer, Nothing},
	} {
		if got := StatementOf(test.status, false); got != test.unmarked {
			t.Errorf("%d: %d, want %d", test.status, got, test.unmarked)
		}
		if got := StatementOf(test.status, true); got != test.marked {
			t.Errorf("%d, marked: %d, want %d", test.status, got, test.marked)
		}
	}
}

// TestPromiseNeedsProofOfEachSend guards against a promise after an earlier send whose outcome is not known.
func TestPromiseNeedsProofOfEachSend(t *testing.T) {
	var sends Sends
	allows := func(want bool) {
		t.Helper()
		for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
			if sends.Allows(status) != want {
				t.Errorf("%d allowed: %t", status, !want)
			}
		}
		if !sends.Allows(http.StatusOK) || !sends.Allows(http.StatusBadGateway) {
			t.Error("a status that promises nothing is not allowed")
		}
	}
	allows(true)
	sends.Begin()
	allows(false)
	sends.Disprove()
	allows(true)
	sends.Begin()
	sends.Begin()
	sends.Disprove()
	allows(false)
}
