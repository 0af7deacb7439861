package fleetwatch_test

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/fleetwatch"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/rpc/rpctest"
	"github.com/sedgemast/sedgemast/internal/upstream"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

// scriptedLeader answers each poll with the current response, once for each change.
type scriptedLeader struct {
	mutex    sync.Mutex
	response wire.WatchResponse
	last     wire.WatchRequest
}

func (l *scriptedLeader) watch(_ context.Context, request *wire.WatchRequest) (msgp.Marshaler, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.last = *request
	response := l.response
	if request.Term == response.Term && request.View == response.View {
		response.Fleet = nil
		time.Sleep(20 * time.Millisecond)
	}
	return &response, nil
}

// tell makes the leader answer with a view from now on.
func (l *scriptedLeader) tell(term, view uint64, fleet *wire.FleetView, digest uint64, age time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.response = wire.WatchResponse{Term: term, View: view, Fleet: fleet, ListDigest: digest, ListAgeMillis: age.Milliseconds()}
}

func (l *scriptedLeader) lastRequest() wire.WatchRequest {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.last
}

// wholeList returns a view with the whole list of the rows, and its digest.
func wholeList(rows ...wire.PoolWorker) (*wire.FleetView, uint64) {
	set := workerset.Of(rows)
	return &wire.FleetView{Listed: true, News: set.FullUpdate()}, set.Digest()
}

// TestAgeBelongsToOneList guards against a young age for a list that no reading has confirmed: that of
// another list, that of an earlier one, and that of an answer.
func TestAgeBelongsToOneList(t *testing.T) {
	leader := &scriptedLeader{}
	mux := rpctest.NewMux()
	rpc.Handle(mux, wire.MethodWatch, leader.watch)
	server := httptest.NewServer(mux)
	defer server.Close()
	ready := wire.PoolWorker{ID: "w", Address: "a:1"}
	leaving := ready
	leaving.Leaving = true
	first, firstDigest := wholeList(ready)
	second, secondDigest := wholeList(leaving, wire.PoolWorker{ID: "x", Address: "b:1"})
	leader.tell(1, 1, first, firstDigest, time.Second)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	w := fleetwatch.New(logging.Discard(), nil, []string{server.Listener.Addr().String()}, func() wire.ProcessReport { return wire.ProcessReport{Kind: wire.ProcessStore, Name: "s"} })
	go w.Run(ctx)
	age := func() time.Duration { return w.Current().ListAge(clock.Now()) }
	waitFor(t, func() bool { return w.Current().Workers.Len() == 1 && age() < time.Minute })
	if age() < time.Second {
		t.Errorf("a list that was 1 s old when it was told is %s old", age())
	}

	leader.tell(1, 1, first, secondDigest, 0)
	readAt := w.Current().ListReadAt
	seenAt := w.Current().LeaderSeenAt
	waitFor(t, func() bool { return w.Current().LeaderSeenAt.Sub(seenAt) > 100*time.Millisecond })
	if w.Current().ListReadAt.Sub(readAt) > 100*time.Millisecond {
		t.Error("the age of another list counts for the one known here")
	}

	// A new leader that has read a part of the list tells no rows to a process that has all.
	leader.tell(2, 1, &wire.FleetView{Partial: true}, secondDigest, 0)
	waitFor(t, func() bool { return w.Current().Term == 2 })
	if request := leader.lastRequest(); !request.Listed || w.Current().Workers.Len() != 1 || age() < time.Second {
		t.Errorf("listed %t, %d workers, %s old after a part of a list", request.Listed, w.Current().Workers.Len(), age())
	}

	leader.tell(2, 2, second, 0, 0)
	waitFor(t, func() bool { return w.Current().Workers.Len() == 2 })
	if !w.Current().ListReadAt.IsZero() {
		t.Error("a new list of unknown age has the age of the earlier one")
	}
	if state := w.WorkerState("w"); state.Ready {
		t.Errorf("a leaving worker is ready: %+v", state)
	}
	if state := w.WorkerState("x"); state.Readiness(clock.Now(), 3*time.Second) != upstream.Unknown {
		t.Errorf("a worker of a list of unknown age: %+v", state)
	}
	if state := w.WorkerState("y"); state.Ready {
		t.Errorf("a worker that is not listed is ready: %+v", state)
	}
}
