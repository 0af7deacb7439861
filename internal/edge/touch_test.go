package edge

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/fleetwatch"
)

// TestUnheardRouteIsNotDenied guards against edges that answer 404, after which callers don't try
// again, for a route that may have been added while they heard no coordinator.
func TestUnheardRouteIsNotDenied(t *testing.T) {
	_, e := startEdge(t, streamRoute(false, 1), startWorkers(t, 1)...)
	request := httptest.NewRequest(http.MethodPost, "/added/x", nil)
	seenAt := e.watcher.Current().LeaderSeenAt
	for _, test := range []struct {
		after time.Duration
		want  failure.Kind
	}{
		{0, failure.NotFound}, {fleetwatch.MaxUsualGap, failure.NotFound}, {fleetwatch.MaxUsualGap + 1, failure.NotRun},
	} {
		err := e.noRouteError(seenAt.Add(test.after), e.Table(), request)
		if !failure.Is(err, test.want) {
			t.Errorf("%s after the last answer of a coordinator: %v", test.after, err)
		}
		if test.want == failure.NotRun && failure.From(err).RetryAfter == 0 {
			t.Error("the caller is not told when to come back")
		}
	}
}
