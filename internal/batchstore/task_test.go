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
	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/settings"
	"github.com/sedgemast/sedgemast/internal/upstream"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

// contents holds the same content for each item.
type contents struct{}

func (contents) Get([]byte) ([]byte, error) {
	return (&wire.ItemContent{Path: "/"}).MarshalMsg(nil)
}

func (contents) Scan(_, _ []byte, _ func(key, value []byte) bool) error { return nil }

// probeRunner returns a runner of so many items before an avoided worker at the address and two
// that are full.
func probeRunner(t *testing.T, items int, address string) *runner {
	t.Helper()
	r := testRunner(t, items)
	s := r.store
	s.settings = &settings.Store{}
	s.metrics = newMetrics(prometheus.NewRegistry())
	s.dialect = &httpheader.Names{NotRun: "Not-Run", Load: "Load", RequestID: "Request-Id", ExpectWorker: "Expect-Worker", LastEvent: "Last-Event"}
	s.upstream = upstream.NewClient(s.dialect)
	s.workers.Update(workerset.Of([]wire.PoolWorker{
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

// considered returns a task for the item if it can run now.
func (r *runner) considered(t *testing.T, number int, full map[string]bool) *task {
	t.Helper()
	table := routetable.NewTable(&routetable.Configuration{Routes: []routetable.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: routetable.KindStream, MaxAttempts: 3, Parts: []routetable.PoolWeight{{Pool: "p", Weight: 1}}}}})
	job, err := r.group.machine.Job("j")
	if err != nil {
		t.Fatal(err)
	}
	r.order(clock.Now(), table)
	return r.consider(context.Background(), clock.Now(), contents{}, table, job, batchplan.Item{Job: "j", Number: number}, full)
}

// TestFailedProbesLetOthersProbe lets an item fail as a probe: it does not probe again until it
// has run elsewhere or this store leads anew, and holds no other item up.
func TestFailedProbesLetOthersProbe(t *testing.T) {
	r := probeRunner(t, 3, "")
	r.lead(clock.Now(), 1)
	first := r.considered(t, 0, map[string]bool{})
	if first == nil || !first.lease.IsProbe() {
		t.Fatal("no item is the probe")
	}
	first.probeFailed = true
	first.lease.Release()
	r.end(first)
	r.grantProbe()
	full := map[string]bool{}
	if again := r.considered(t, 0, full); again != nil || full["r"] {
		t.Fatalf("it probes again %t, the route counts as full %t", again != nil, full["r"])
	}
	second := r.considered(t, 1, full)
	if second == nil || !second.lease.IsProbe() {
		t.Fatal("the next item is not the probe")
	}
	if r.considered(t, 2, full) != nil || !full["r"] {
		t.Error("the route does not count as full")
	}
	first.finished, first.probeFailed = true, false
	r.end(first)
	if len(r.unproven) != 0 {
		t.Error("a finished item is kept")
	}
	r.unproven[first.key] = true
	r.unlead()
	if len(r.unproven) != 0 {
		t.Error("an item is kept by who leads no more")
	}
}

// TestItemProbesCount checks what an item that is a probe says of its worker by how it ends.
func TestItemProbesCount(t *testing.T) {
	const event = "id: 1\ndata: x\n\n"
	var leave context.CancelFunc
	status := func(code int) http.HandlerFunc {
		return func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(code) }
	}
	head := func(writer http.ResponseWriter, body string) {
		writer.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(writer, body)
		_ = http.NewResponseController(writer).Flush()
	}
	for _, test := range []struct {
		name           string
		serve          http.HandlerFunc
		proofs, failed int
		unproven       bool
	}{
		{"events", func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, event) }, 1, 0, false},
		{"500", status(http.StatusInternalServerError), 0, 1, true},
		{"502", status(http.StatusBadGateway), 0, 1, true},
		{"503", status(http.StatusServiceUnavailable), 0, 1, true},
		{"503, not run", func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Not-Run", "1")
			writer.WriteHeader(http.StatusServiceUnavailable)
		}, 0, 0, false},
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
		{"a head, then silence", func(writer http.ResponseWriter, request *http.Request) {
			head(writer, "")
			<-request.Context().Done()
		}, 0, 1, true},
		{"a head, then it is stopped", func(writer http.ResponseWriter, request *http.Request) {
			head(writer, "")
			leave()
			<-request.Context().Done()
		}, 0, 0, false},
	} {
		server := httptest.NewServer(test.serve)
		r := probeRunner(t, 1, server.Listener.Addr().String())
		probe := r.considered(t, 0, map[string]bool{})
		if probe == nil || !probe.lease.IsProbe() {
			t.Fatalf("%s: no probe", test.name)
		}
		leave = probe.cancel
		probe.run()
		proofs, failed := 0, 0
		for _, proof := range r.store.workers.ProbeResults() {
			proofs += int(proof.Well)
		}
		for _, load := range r.store.workers.Loads() {
			failed += int(load.Failed)
		}
		if proofs != test.proofs || failed != test.failed || probe.probeFailed != test.unproven {
			t.Errorf("%s: %d proofs, %d failed, failed as a probe %t", test.name, proofs, failed, probe.probeFailed)
		}
		server.Close()
	}
}
