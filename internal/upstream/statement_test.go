package upstream

import (
	"net/http"
	"testing"

	"github.com/sedgemast/sedgemast/internal/httpheader"
)

// TestOnlyMarkedRejectionsStateNotRun guards against concluding from a status alone that a worker did not
// run a request.
func TestOnlyMarkedRejectionsStateNotRun(t *testing.T) {
	names := httpheader.Default()
	for _, test := range []struct {
		status           int
		unmarked, marked Statement
	}{
		{http.StatusOK, StatesAnswer, StatesNothing},
		{http.StatusBadRequest, StatesAnswer, StatesNotRun},
		{http.StatusRequestTimeout, StatesNothing, StatesNotRun},
		{http.StatusMisdirectedRequest, StatesNotRun, StatesNotRun},
		{http.StatusUnprocessableEntity, StatesAnswer, StatesNotRun},
		{http.StatusTooManyRequests, StatesNothing, StatesNotRun},
		{http.StatusInternalServerError, StatesAnswer, StatesNothing},
		{http.StatusBadGateway, StatesAnswer, StatesNothing},
		{http.StatusServiceUnavailable, StatesNothing, StatesNotRun},
		{http.StatusGatewayTimeout, StatesAnswer, StatesNothing},
	} {
		for _, marked := range []bool{false, true} {
			response := &Response{client: NewClient(names), Status: test.status, Header: http.Header{}}
			want := test.unmarked
			if marked {
				response.Header.Set(names.NotRun, "1")
				want = test.marked
			}
			if got := response.Statement(); got != want {
				t.Errorf("%d, marked %t: %d, want %d", test.status, marked, got, want)
			}
		}
	}
}
