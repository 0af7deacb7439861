package controlclient

import (
	"context"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/rpc/rpctest"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// TestRejectionAfterUnknownAttemptIsNoPromise guards against a promise that a command was not executed
// while an earlier attempt at it may still reach the log.
func TestRejectionAfterUnknownAttemptIsNoPromise(t *testing.T) {
	const method = "command"
	var calls atomic.Int64
	mux := rpctest.NewMux()
	rpc.Handle(mux, method, func(context.Context, *wire.Empty) (msgp.Marshaler, error) {
		if calls.Add(1) == 1 {
			return nil, failure.New(failure.OutcomeUnknown, "send it again", "leadership changed")
		}
		return nil, failure.New(failure.OverLimit, "wait", "over the limit")
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	client := New([]string{server.Listener.Addr().String()})
	t.Cleanup(client.Close)
	for _, want := range []failure.Kind{failure.OutcomeUnknown, failure.OverLimit} {
		ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
		_, err := Call[wire.Empty](ctx, client, 0, method, &wire.Empty{})
		cancel()
		if got := failure.KindOf(err); got != want {
			t.Errorf("%s, want %s: %v", got, want, err)
		}
	}
}
