package fleetwatch_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/fleetwatch"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/rpc/rpctest"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// TestDelayedAnswerIsNotNew guards against taking an answer for new that a suspended process finds when
// it wakes up.
func TestDelayedAnswerIsNotNew(t *testing.T) {
	const delay = 200 * time.Millisecond
	latest := make(chan time.Time, 100)
	mux := rpctest.NewMux()
	rpc.Handle(mux, wire.MethodWatch, func(_ context.Context, request *wire.WatchRequest) (msgp.Marshaler, error) {
		latest <- clock.Now().Add(time.Duration(request.WaitMillis) * time.Millisecond)
		time.Sleep(time.Duration(request.WaitMillis)*time.Millisecond + delay)
		return &wire.WatchResponse{Term: 1, View: 1}, nil
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	w := fleetwatch.New(logging.Discard(), nil, []string{server.Listener.Addr().String()}, func() wire.ProcessReport { return wire.ProcessReport{} })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.Run(ctx)
	waitFor(t, func() bool { return !w.Current().LeaderSeenAt.IsZero() })
	if seenAt, most := w.Current().LeaderSeenAt, <-latest; seenAt.After(most) {
		t.Errorf("an answer counts as %s newer than it can be", seenAt.Sub(most))
	}
}
