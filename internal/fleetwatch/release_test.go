package fleetwatch_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"testing"

	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/fleetwatch"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/rpc/rpctest"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/wire/corpus"
)

// encodedAnswer is an answer that is encoded already.
type encodedAnswer []byte

// MarshalMsg implements msgp.Marshaler.
func (r encodedAnswer) MarshalMsg(before []byte) ([]byte, error) { return append(before, r...), nil }

// TestWatchOfReleasedLeader lets a process of this build poll a leader of the released build, as
// happens while machines are replaced one after the other. A process that can't read the answer
// has no configuration and no workers until a leader of its own build is elected: edges reject
// all requests or answer 404 on new routes, and stores that lead run no items.
func TestWatchOfReleasedLeader(t *testing.T) {
	document, err := (&routetable.Configuration{Version: 7}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	answer := releasedAnswer(t, document)
	mux := rpctest.NewMux()
	rpc.Handle(mux, wire.MethodWatch, func(context.Context, *wire.WatchRequest) (msgp.Marshaler, error) { return encodedAnswer(answer), nil })
	leader := httptest.NewServer(mux)
	defer leader.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	report := func() wire.ProcessReport { return wire.ProcessReport{Kind: wire.ProcessStore, Name: "store-1"} }
	w := fleetwatch.New(logging.Discard(), nil, []string{leader.Listener.Addr().String()}, report)
	go w.Run(ctx)
	waitFor(t, func() bool { return !w.Current().LeaderSeenAt.IsZero() || ctx.Err() != nil })
	known := w.Current()
	if known.Version() != 7 || known.Workers.Len() != 2 || !known.Fleet.Listed || len(known.Fleet.Stores) != 2 {
		t.Fatalf("version %d, %d workers, listed %v, %d stores; want 7, 2, true, 2", known.Version(), known.Workers.Len(), known.Fleet.Listed, len(known.Fleet.Stores))
	}
}

// releasedAnswer returns the answer to a watch that the released build encoded as a sample, with
// the document and version 7 of a configuration put in place of the sample's.
func releasedAnswer(t *testing.T, document []byte) []byte {
	t.Helper()
	content, err := os.ReadFile("../wire/testdata/releases/8cf60d7/written.json")
	if err != nil {
		t.Fatal(err)
	}
	var samples map[string]corpus.Sample
	if err := json.Unmarshal(content, &samples); err != nil {
		t.Fatal(err)
	}
	fields, _, err := msgp.ReadMapStrIntfBytes(samples["WatchResponse"].Bytes, nil)
	if err != nil {
		t.Fatal(err)
	}
	fields["version"], fields["document"] = uint64(7), document
	fleet := fields["fleet"].(map[string]any)
	fleet["same_workers"], fleet["same_stores"] = false, false
	encoded, err := msgp.AppendMapStrIntf(nil, fields)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}
