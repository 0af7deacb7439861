package batchstore

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/batchplan"
	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/settings"
	"github.com/sedgemast/sedgemast/internal/upstream"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

// contents is a storage reader that holds the same content for each item.
type contents struct{}

func (contents) Get([]byte) ([]byte, error) {
	return (&wire.ItemContent{Path: "/"}).MarshalMsg(nil)
}

func (contents) Scan(_, _ []byte, _ func(key, value []byte) bool) error { return nil }

// probeRunner returns a runner with the given number of items, an avoided worker at the address,
// and two workers whose slots are all taken.
func probeRunner(t *testing.T, items int, address string) *runner {
	t.Helper()
	r := testRunner(t, items)
	s := r.store
	s.settings = &settings.Store{}
	s.metrics = newMetrics(prometheus.NewRegistry())
	s.headerNames = &httpheader.Names{NotRun: "Not-Run", Load: "Load", RequestID: "Request-Id", ExpectWorker: "Expect-Worker", LastEvent: "Last-Event"}
	s.upstream = upstream.NewClient(s.headerNames)
	s.workers.Update(clock.Now(), workerset.Of([]wire.PoolWorker{
		{ID: "w", Pool: "p", Zone: "z", Slots: slots, Address: address},
		{ID: "x", Pool: "p", Zone: "z", Slots: slots},
		{ID: "y", Pool: "p", Zone: "z", Slots: slots},
	}), nil)
	r.grantProbe()
	return r
}

// grantProbe lets one item start at the avoided worker.
func (r *runner) grantProbe() {
	r.store.workers.SetPeerLoads(clock.Now(), []wire.WorkerLoad{
		{Worker: loadshare.Hash("w"), Failing: true, Start: 1},
		{Worker: loadshare.Hash("x"), Online: slots},
		{Worker: loadshare.Hash("y"), Online: slots},
	}, balance.ScopeAll)
}

// prepareItem returns a task for the item if it can run now.
func (r *runner) prepareItem(t *testing.T, number int, full map[string]bool) *task {
	t.Helper()
	table := routetable.NewTable(&routetable.Configuration{Routes: []routetable.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: routetable.KindStream, MaxAttempts: 3, Parts: []routetable.PoolWeight{{Pool: "p", Weight: 1}}}}})
	job, err := r.group.machine.Job("j")
	if err != nil {
		t.Fatal(err)
	}
	r.waitingItems(clock.Now(), table)
	return r.tryPrepare(context.Background(), clock.Now(), contents{}, table, job, batchplan.Item{Job: "j", Number: number}, full)
}

// TestFailedProbesLetOthersProbe lets an item fail as a probe. That item must not probe again until
// it has finished elsewhere or this store becomes the leader anew. It must not hold up other items.
func TestFailedProbesLetOthersProbe(t *testing.T) {
	r := probeRunner(t, 3, "")
	r.setLeading(clock.Now(), 1)
	first := r.prepareItem(t, 0, map[string]bool{})
	if first == nil || !first.lease.IsProbe() {
		t.Fatal("the first item is not a probe")
	}
	first.probeFailed = true
	first.lease.Release()
	r.finishTask(first)
	r.grantProbe()
	full := map[string]bool{}
	if again := r.prepareItem(t, 0, full); again != nil || full["r"] {
		t.Fatalf("the item probes again: %t, the route counts as full: %t", again != nil, full["r"])
	}
	second := r.prepareItem(t, 1, full)
	if second == nil || !second.lease.IsProbe() {
		t.Fatal("the next item is not a probe")
	}
	if r.prepareItem(t, 2, full) != nil || !full["r"] {
		t.Error("a third item started, or the route does not count as full")
	}
	first.finished, first.probeFailed = true, false
	r.finishTask(first)
	if len(r.failedProbes) != 0 {
		t.Error("a finished item was kept in failedProbes")
	}
	r.failedProbes[first.key] = true
	r.stopLeading()
	if len(r.failedProbes) != 0 {
		t.Error("failedProbes was kept after the store stopped leading")
	}
}

// TestItemProbeOutcomes checks what each end of a probing item records about its worker.
func TestItemProbeOutcomes(t *testing.T) {
	const event = "id: 1\ndata: x\n\n"
	var cancelProbe context.CancelFunc
	status := func(code int) http.HandlerFunc {
		return func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(code) }
	}
	head := func(writer http.ResponseWriter, body string) {
		writer.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(writer, body)
		_ = http.NewResponseController(writer).Flush()
	}
	for _, test := range []struct {
		name              string
		serve             http.HandlerFunc
		succeeded, failed int
		probeFailed       bool
	}{
		{"events", func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, event) }, 1, 0, false},
		{"500", status(http.StatusInternalServerError), 0, 1, true},
		{"502", status(http.StatusBadGateway), 0, 1, true},
		{"503", status(http.StatusServiceUnavailable), 0, 1, true},
		{"503, not run", func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Not-Run", "1")
			writer.WriteHeader(http.StatusServiceUnavailable)
		}, 0, 0, false},
		{"408", status(http.StatusRequestTimeout), 0, 1, true},
		{"429", status(http.StatusTooManyRequests), 0, 1, true},
		{"500, not run", func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Not-Run", "1")
			writer.WriteHeader(http.StatusInternalServerError)
		}, 0, 1, true},
		{"422", status(http.StatusUnprocessableEntity), 0, 0, false},
		{"an empty answer", status(http.StatusOK), 0, 1, true},
		{"a head, then a reset", func(writer http.ResponseWriter, _ *http.Request) {
			head(writer, "")
			panic(http.ErrAbortHandler)
		}, 0, 1, true},
		{"an event, then a reset", func(writer http.ResponseWriter, _ *http.Request) {
			head(writer, event)
			panic(http.ErrAbortHandler)
		}, 1, 0, false},
		{"a head, then no data", func(writer http.ResponseWriter, request *http.Request) {
			head(writer, "")
			<-request.Context().Done()
		}, 0, 1, true},
		{"a head, then the item is canceled", func(writer http.ResponseWriter, request *http.Request) {
			head(writer, "")
			cancelProbe()
			<-request.Context().Done()
		}, 0, 0, false},
	} {
		server := httptest.NewServer(test.serve)
		r := probeRunner(t, 1, server.Listener.Addr().String())
		probe := r.prepareItem(t, 0, map[string]bool{})
		if probe == nil || !probe.lease.IsProbe() {
			t.Fatalf("%s: the item is not a probe", test.name)
		}
		cancelProbe = probe.cancel
		probe.run()
		succeeded, failed := 0, 0
		for _, proof := range r.store.workers.ProbeResults() {
			succeeded += int(proof.Well)
		}
		for _, load := range r.store.workers.Loads() {
			failed += int(load.Failed)
		}
		if succeeded != test.succeeded || failed != test.failed || probe.probeFailed != test.probeFailed {
			t.Errorf("%s: %d probes succeeded, %d failed, failed as a probe: %t", test.name, succeeded, failed, probe.probeFailed)
		}
		server.Close()
	}
}

// TestCutFailureIsNoAnswer lets a worker answer with a failure whose body never ends. Unlike a whole one
// it must state neither that the worker failed at the item nor that the item can't be run.
func TestCutFailureIsNoAnswer(t *testing.T) {
	for _, test := range []struct {
		status  int
		endless bool
		kind    failure.Kind
		state   wire.ItemState
	}{
		{http.StatusInternalServerError, false, failure.Internal, wire.ItemWaiting},
		{http.StatusInternalServerError, true, failure.OutcomeUnknown, wire.ItemWaiting},
		{http.StatusUnprocessableEntity, false, failure.BadRequest, wire.ItemAbandoned},
		{http.StatusUnprocessableEntity, true, failure.OutcomeUnknown, wire.ItemWaiting},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			writer.WriteHeader(test.status)
			_ = http.NewResponseController(writer).Flush()
			for test.endless && request.Context().Err() == nil {
				_, _ = io.WriteString(writer, "more ")
			}
		}))
		r := probeRunner(t, 1, server.Listener.Addr().String())
		run := r.prepareItem(t, 0, map[string]bool{})
		if run == nil {
			t.Fatalf("%d: the item does not run", test.status)
		}
		if err := run.attempt(); failure.KindOf(err) != test.kind {
			t.Errorf("%d, without an end %t: %v", test.status, test.endless, err)
		}
		run.run()
		if run.state != test.state {
			t.Errorf("%d, without an end %t: state %v, want %v", test.status, test.endless, run.state, test.state)
		}
		server.CloseClientConnections()
		server.Close()
	}
}
