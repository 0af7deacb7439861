package batchstore

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/batchplan"
	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/fleetwatch"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/rpc/rpctest"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// scriptedLeader answers polls with a configuration while it leads.
type scriptedLeader struct {
	mutex    sync.Mutex
	version  uint64
	document []byte
	leads    bool
}

func (l *scriptedLeader) watch(_ context.Context, request *wire.WatchRequest) (msgp.Marshaler, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.leads {
		return nil, failure.New(failure.NotRun, "ask another", "no leader")
	}
	response := &wire.WatchResponse{Version: l.version}
	if request.Version != l.version {
		response.Document = l.document
	}
	return response, nil
}

// apply makes a configuration the newest.
func (l *scriptedLeader) apply(t *testing.T, configuration *routetable.Configuration) {
	t.Helper()
	document, err := configuration.Encode()
	if err != nil {
		t.Fatal(err)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.version, l.document, l.leads = configuration.Version, document, true
}

func (l *scriptedLeader) stop() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.leads = false
}

// watchedRunner returns a runner whose store polls the leader, with a job that was accepted under the
// version.
func watchedRunner(t *testing.T, accepted uint64) (*runner, *scriptedLeader) {
	t.Helper()
	leader := &scriptedLeader{}
	mux := rpctest.NewMux()
	rpc.Handle(mux, wire.MethodWatch, leader.watch)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	r := testRunner(t, 0)
	r.store.metrics = newMetrics(prometheus.NewRegistry())
	r.store.watcher = fleetwatch.New(logging.Discard(), nil, []string{server.Listener.Addr().String()}, func() wire.ProcessReport {
		return wire.ProcessReport{Kind: wire.ProcessStore, Name: "s"}
	})
	go r.store.watcher.Run(t.Context())
	encoded, err := (&wire.BatchCommand{Submit: &wire.SubmitBatch{ID: "k", Route: "r", Host: "h", Accepted: accepted, Items: []wire.BatchItem{{ID: "i", Path: "/"}}}}).MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	r.group.machine.Apply(encoded)
	return r, leader
}

// awaitVersion waits until the store knows that the version was the newest after since.
func awaitVersion(t *testing.T, r *runner, version uint64, since time.Time) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(time.Millisecond) {
		if known := knowledgeOf(r.store.watcher.Current()); known.Version == version && known.ConfirmedAt.After(since) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("version %d is not confirmed", version)
		}
	}
}

// routes returns a configuration with the job's route.
func routes(version uint64, maxAttempts int, retain time.Duration) *routetable.Configuration {
	return &routetable.Configuration{Version: version, Routes: []routetable.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: routetable.KindBatch, MaxAttempts: maxAttempts, RetainMillis: retain.Milliseconds()}}}
}

// judge returns whether the job's item may run, and whether it was abandoned.
func judge(r *runner) (runs, abandoned bool) {
	key := itemKey{"k", 0}
	job, _ := r.group.machine.Job("k")
	snapshot := r.store.watcher.Current()
	table := snapshot.Table
	r.known = knowledgeOf(snapshot)
	route := r.routeOf(table, key, job, "/")
	runs = route != nil && !r.abandonOverdue(key, job, route)
	return runs, r.pending[key]
}

// TestItemIsNotAbandonedByOlderConfiguration guards against items that are abandoned because their route
// is missing from a configuration older than the job.
func TestItemIsNotAbandonedByOlderConfiguration(t *testing.T) {
	r, leader := watchedRunner(t, 5)
	leader.apply(t, &routetable.Configuration{Version: 4})
	awaitVersion(t, r, 4, time.Time{})
	r.seen["k"] = &observedJob{firstSeen: clock.Now()}
	awaitVersion(t, r, 4, clock.Now().Add(batchplan.RouteGrace+100*time.Millisecond))
	if runs, abandoned := judge(r); runs || abandoned {
		t.Fatalf("runs %t, abandoned %t by an older configuration", runs, abandoned)
	}
	if !r.seen["k"].unknownVersion {
		t.Error("no log line tells that the leader has no such version")
	}
	leader.apply(t, routes(5, 3, 0))
	awaitVersion(t, r, 5, time.Time{})
	if runs, abandoned := judge(r); !runs || abandoned {
		t.Errorf("runs %t, abandoned %t by the configuration of the job", runs, abandoned)
	}
}

// TestSpentAttemptsNeedCurrentConfiguration guards against items that are abandoned after as many
// attempts as an older configuration allowed, and against items that run again meanwhile.
func TestSpentAttemptsNeedCurrentConfiguration(t *testing.T) {
	r, leader := watchedRunner(t, 4)
	leader.apply(t, routes(4, 2, 0))
	awaitVersion(t, r, 4, time.Time{})
	leader.stop()
	r.seen["k"] = &observedJob{firstSeen: clock.Now()}
	r.failedItems[itemKey{"k", 0}] = failedItem{2, clock.Now()}
	time.Sleep(100 * time.Millisecond)
	if runs, abandoned := judge(r); runs || abandoned {
		t.Fatalf("runs %t, abandoned %t while no leader is heard", runs, abandoned)
	}
	leader.apply(t, routes(5, 3, 0))
	awaitVersion(t, r, 5, time.Time{})
	if runs, abandoned := judge(r); !runs || abandoned {
		t.Fatalf("runs %t, abandoned %t although another attempt is allowed", runs, abandoned)
	}
	r.failedItems[itemKey{"k", 0}] = failedItem{3, clock.Now()}
	awaitVersion(t, r, 5, clock.Now())
	if _, abandoned := judge(r); !abandoned {
		t.Error("the item is not abandoned after its last attempt")
	}
}

// TestRetentionNeedsCurrentConfiguration guards against items that are abandoned because an older
// configuration retained their results for a shorter time.
func TestRetentionNeedsCurrentConfiguration(t *testing.T) {
	r, leader := watchedRunner(t, 4)
	leader.apply(t, routes(4, 2, 50*time.Millisecond))
	awaitVersion(t, r, 4, time.Time{})
	leader.stop()
	r.seen["k"] = &observedJob{firstSeen: clock.Now()}
	time.Sleep(100 * time.Millisecond)
	if runs, abandoned := judge(r); !runs || abandoned {
		t.Fatalf("runs %t, abandoned %t while no leader is heard", runs, abandoned)
	}
	leader.apply(t, routes(5, 2, 0))
	awaitVersion(t, r, 5, time.Time{})
	if runs, abandoned := judge(r); !runs || abandoned {
		t.Fatalf("runs %t, abandoned %t although the job is retained for longer", runs, abandoned)
	}
	leader.apply(t, routes(6, 2, 50*time.Millisecond))
	awaitVersion(t, r, 6, time.Time{})
	if _, abandoned := judge(r); !abandoned {
		t.Error("the item is not abandoned at the end of its retention")
	}
}
