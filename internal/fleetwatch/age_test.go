package fleetwatch_test

import (
	"context"
	"net/http/httptest"
	"sync/atomic"
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
	seenAt, most := w.Current().LeaderSeenAt, <-latest
	// On a busy machine a second answer may have been applied.
	for len(latest) > 0 {
		most = <-latest
	}
	if seenAt.After(most) {
		t.Errorf("an answer counts as %s newer than it can be", seenAt.Sub(most))
	}
}

// TestSilenceOfLeaderIsRemembered guards against counting time in which this process heard nothing as
// time in which nothing changed.
func TestSilenceOfLeaderIsRemembered(t *testing.T) {
	var silent atomic.Bool
	mux := rpctest.NewMux()
	rpc.Handle(mux, wire.MethodWatch, func(ctx context.Context, request *wire.WatchRequest) (msgp.Marshaler, error) {
		if silent.Load() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		time.Sleep(time.Duration(request.WaitMillis) * time.Millisecond)
		return &wire.WatchResponse{Term: 1, View: 1}, nil
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	w := fleetwatch.New(logging.Discard(), nil, []string{server.Listener.Addr().String()}, func() wire.ProcessReport { return wire.ProcessReport{} })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.Run(ctx)
	waitFor(t, func() bool { return !w.Current().HeardSince.IsZero() })
	first := w.Current()
	waitFor(t, func() bool { return w.Current().LeaderSeenAt.Sub(first.LeaderSeenAt) > time.Second })
	if !w.Current().HeardSince.Equal(first.HeardSince) {
		t.Error("regular answers count as a gap")
	}
	silent.Store(true)
	time.Sleep(2500 * time.Millisecond)
	silentUntil := clock.Now()
	silent.Store(false)
	waitFor(t, func() bool { return w.Current().LeaderSeenAt.After(silentUntil) })
	if w.Current().HeardSince.Before(silentUntil) {
		t.Error("the silence of the leader is not remembered")
	}
}
