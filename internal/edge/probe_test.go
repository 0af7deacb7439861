package edge

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/upstream"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

// TestProbesNeedAnotherAttempt checks that a request may be a probe only while another attempt
// would remain.
func TestProbesNeedAnotherAttempt(t *testing.T) {
	for _, test := range []struct {
		resumable       bool
		attempts        int
		tried, redialed int
		want            bool
	}{
		{true, 0, 0, 0, false},
		{true, 1, 0, 0, false},
		{true, 2, 0, 0, true},
		{false, 2, 0, 0, false},
		{true, 3, 1, 0, false},
		{true, 3, 0, 1, false},
	} {
		route := streamRoute(test.resumable, test.attempts)
		c := &call{route: &route, attempts: test.tried, failedDials: test.redialed}
		if c.canProbe() != test.want {
			t.Errorf("%+v: can probe %t", test, c.canProbe())
		}
	}
}

// newProbe returns a table in which the worker at the address is avoided, and the lease of a
// probe of it.
func newProbe(t *testing.T, address string) (*balance.Table, *balance.Lease) {
	t.Helper()
	table := balance.NewTable("z", rand.New(rand.NewPCG(1, 1)))
	rows := []wire.PoolWorker{{ID: "a", Pool: "p", Zone: "z", Address: address, Slots: 4}}
	for _, id := range []string{"b", "c"} {
		rows = append(rows, wire.PoolWorker{ID: id, Pool: "p", Zone: "z", Slots: 4})
	}
	table.Update(clock.Now(), workerset.Of(rows), nil)
	now := clock.Now()
	avoided := loadshare.Hash("a")
	table.SetPeerLoads(now, []wire.WorkerLoad{{Worker: avoided, Failing: true}}, balance.ScopeAll)
	table.SetProbes(now, []uint32{avoided})
	lease := table.Acquire(now, &balance.Request{Pool: "p", Repeatable: true})
	if !lease.IsProbe() {
		t.Fatal("no probe")
	}
	return table, lease
}

// TestContentDecidesProbe checks how answers to a probe count: the first content counts as one
// success, headers alone count as nothing, and a broken connection counts as a failure unless the
// caller disconnected.
func TestContentDecidesProbe(t *testing.T) {
	_, e := startEdge(t, streamRoute(true, 2), startWorkers(t, 1)...)
	// The workers of this test are in no list.
	e.upstream = upstream.NewClient(e.headerNames)
	const event = "id: 1\ndata: x\n\n"
	head := func(writer http.ResponseWriter, length int) {
		writer.Header().Set("Content-Length", strconv.Itoa(length))
		writer.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(writer).Flush()
	}
	large := strings.Repeat("x", 4*relayBufferBytes)
	var disconnect context.CancelFunc
	for _, test := range []struct {
		name                     string
		whole                    bool
		serve                    http.HandlerFunc
		proofs, answered, failed int
	}{
		{"events", false, func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, event) }, 1, 1, 0},
		{"events, then a reset", false, func(writer http.ResponseWriter, _ *http.Request) {
			head(writer, 2*len(event))
			_, _ = io.WriteString(writer, event)
			_ = http.NewResponseController(writer).Flush()
			panic(http.ErrAbortHandler)
		}, 1, 1, 1},
		{"a head, then a reset", false, func(writer http.ResponseWriter, _ *http.Request) {
			head(writer, len(event))
			panic(http.ErrAbortHandler)
		}, 0, 0, 1},
		{"a head, then silence", false, func(writer http.ResponseWriter, request *http.Request) {
			head(writer, len(event))
			<-request.Context().Done()
		}, 0, 0, 1},
		{"a head, then the caller disconnects", false, func(writer http.ResponseWriter, request *http.Request) {
			head(writer, len(event))
			disconnect()
			<-request.Context().Done()
		}, 0, 0, 0},
		{"a stream without events", false, func(writer http.ResponseWriter, _ *http.Request) { head(writer, 0) }, 0, 0, 0},
		{"a whole body", true, func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "x") }, 1, 1, 0},
		{"a large body", true, func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, large) }, 1, 1, 0},
		{"a large body, then a reset", true, func(writer http.ResponseWriter, _ *http.Request) {
			head(writer, 2*len(large))
			_, _ = io.WriteString(writer, large)
			panic(http.ErrAbortHandler)
		}, 0, 0, 1},
		{"a failure", true, func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusBadGateway) }, 0, 0, 1},
	} {
		server := httptest.NewServer(test.serve)
		table, lease := newProbe(t, server.Listener.Addr().String())
		ctx, cancel := context.WithCancel(context.Background())
		disconnect = cancel
		route := streamRoute(true, 2)
		if test.whole {
			route.Kind = routetable.KindRepeatable
		}
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, "http://h.example/a", nil)
		newCall(e, ctx, e.Table(), &route, nil, recorder, http.NewResponseController(recorder), request, nil, time.Now(), time.Now().Add(testTimeout)).attempt(lease)
		proofs, answered, failed := 0, 0, 0
		for _, proof := range table.ProbeResults() {
			proofs += int(proof.Well)
		}
		for _, load := range table.Loads() {
			answered, failed = answered+int(load.Answered), failed+int(load.Failed)
		}
		if proofs != test.proofs || answered != test.answered || failed != test.failed {
			t.Errorf("%s: %d proofs, %d answered, %d failed", test.name, proofs, answered, failed)
		}
		cancel()
		server.Close()
	}
}
