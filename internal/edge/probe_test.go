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
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

// TestOnlyAttemptsAreNoProbes checks that a request is a probe only while another attempt would
// be left to it.
func TestOnlyAttemptsAreNoProbes(t *testing.T) {
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
		route := stream(test.resumable, test.attempts)
		c := &call{route: &route, attempts: test.tried, dials: test.redialed}
		if c.mayProbe() != test.want {
			t.Errorf("%+v: may probe %t", test, c.mayProbe())
		}
	}
}

// probed returns a table in which the worker at the address is avoided, and a probe of it.
func probed(t *testing.T, address string) (*balance.Table, *balance.Lease) {
	t.Helper()
	table := balance.NewTable("z", rand.New(rand.NewPCG(1, 1)))
	rows := []wire.PoolWorker{{ID: "a", Pool: "p", Zone: "z", Address: address, Slots: 4}}
	for _, id := range []string{"b", "c"} {
		rows = append(rows, wire.PoolWorker{ID: id, Pool: "p", Zone: "z", Slots: 4})
	}
	table.Update(workerset.Of(rows), nil)
	now := clock.Now()
	ill := loadshare.Hash("a")
	table.SetPeerLoads(now, []wire.WorkerLoad{{Worker: ill, Failing: true}}, balance.ScopeAll)
	table.SetProbes(now, []uint32{ill})
	lease := table.Acquire(now, &balance.Request{Pool: "p", Repeatable: true})
	if !lease.IsProbe() {
		t.Fatal("no probe")
	}
	return table, lease
}

// TestContentProves checks what an answer to a probe says of the worker: its content proves
// that it is well, once; a head alone proves nothing, and what breaks off counts against it
// unless the caller has left.
func TestContentProves(t *testing.T) {
	_, e := startEdge(t, stream(true, 2), startWorkers(t, 1)...)
	const event = "id: 1\ndata: x\n\n"
	head := func(writer http.ResponseWriter, length int) {
		writer.Header().Set("Content-Length", strconv.Itoa(length))
		writer.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(writer).Flush()
	}
	large := strings.Repeat("x", 4*relayBufferBytes)
	var leave context.CancelFunc
	for _, test := range []struct {
		name                   string
		whole                  bool
		serve                  http.HandlerFunc
		proofs, answered, fail int
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
		{"a head, then the caller leaves", false, func(writer http.ResponseWriter, request *http.Request) {
			head(writer, len(event))
			leave()
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
		table, lease := probed(t, server.Listener.Addr().String())
		ctx, cancel := context.WithCancel(context.Background())
		leave = cancel
		route := stream(true, 2)
		if test.whole {
			route.Kind = routetable.KindRepeatable
		}
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, "http://h.example/a", nil)
		newCall(e, ctx, e.Table(), &route, nil, recorder, http.NewResponseController(recorder), request, nil, time.Now(), time.Now().Add(patience)).attempt(lease)
		proofs, answered, failed := 0, 0, 0
		for _, proof := range table.ProbeResults() {
			proofs += int(proof.Well)
		}
		for _, load := range table.Loads() {
			answered, failed = answered+int(load.Answered), failed+int(load.Failed)
		}
		if proofs != test.proofs || answered != test.answered || failed != test.fail {
			t.Errorf("%s: %d proofs, %d answered, %d failed", test.name, proofs, answered, failed)
		}
		cancel()
		server.Close()
	}
}
