package rpc

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/rpc/rpctest"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// TestLongBodiesAreCompressed calls an echo handler and checks how many bytes the request
// and the response took on the connection.
func TestLongBodiesAreCompressed(t *testing.T) {
	mux := rpctest.NewMux()
	Handle(mux, "echo", func(_ context.Context, body *wire.ItemBody) (msgp.Marshaler, error) { return body, nil })
	server := httptest.NewServer(mux)
	defer server.Close()
	for name, test := range map[string]struct {
		body     []byte
		maxBytes uint64
	}{
		"empty": {nil, 400},
		"short": {[]byte("a few words"), 400},
		"long":  {[]byte(strings.Repeat("0123456789abcdef", 16<<10)), 4000},
	} {
		c := NewClient()
		answer, err := Call[wire.ItemBody](context.Background(), c, server.Listener.Addr().String(), "echo", &wire.ItemBody{Body: test.body})
		if err != nil || !bytes.Equal(answer.Body, test.body) {
			t.Errorf("%s: %d of %d bytes returned, %v", name, len(answer.Body), len(test.body), err)
		}
		if traffic := c.Traffic(); traffic.SentBytes > test.maxBytes || traffic.ReceivedBytes > test.maxBytes {
			t.Errorf("%s: %d bytes sent, %d received", name, traffic.SentBytes, traffic.ReceivedBytes)
		}
		c.Close()
	}
}

// TestWrongEncodings checks that a body that does not decompress, or that would decompress
// to more than MaxBodyBytes, is rejected and does not crash the process.
func TestWrongEncodings(t *testing.T) {
	e, err := encoder()
	if err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct {
		encoding string
		body     []byte
	}{
		"unknown encoding":     {"br", []byte{0xc0}},
		"not compressed":       {encodingZstd, []byte("plain")},
		"cut short":            {encodingZstd, e.EncodeAll(make([]byte, 4096), nil)[:9]},
		"longer than allowed":  {encodingZstd, e.EncodeAll(make([]byte, MaxBodyBytes+1), nil)},
		"no message within":    {encodingZstd, e.EncodeAll([]byte{0xc1}, nil)},
		"two messages, no end": {encodingZstd, e.EncodeAll([]byte{0x80, 0x80}, nil)},
	} {
		err := ReadMessage(context.Background(), http.Header{encodingHeader: {test.encoding}}, bytes.NewReader(test.body), &wire.Empty{})
		if !failure.Is(err, failure.BadRequest) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestEncodedResponse checks that a response encoded in advance is decoded to the message, once
// with a body short enough to stay uncompressed and once with a compressed body.
func TestEncodedResponse(t *testing.T) {
	for _, size := range []int{3, 64 << 10} {
		body := &wire.ItemBody{Body: bytes.Repeat([]byte("ab"), size)}
		encoded, err := Encode(body)
		if err != nil {
			t.Fatal(err)
		}
		mux := rpctest.NewMux()
		Handle(mux, "echo", func(context.Context, *wire.Empty) (msgp.Marshaler, error) { return encoded, nil })
		server := httptest.NewServer(mux)
		c := NewClient()
		answer, err := Call[wire.ItemBody](context.Background(), c, server.Listener.Addr().String(), "echo", &wire.Empty{})
		if err != nil || !bytes.Equal(answer.Body, body.Body) {
			t.Errorf("%d bytes: %v", size, err)
		}
		c.Close()
		server.Close()
	}
}
