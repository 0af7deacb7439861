package test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/emulator"
	"github.com/sedgemast/sedgemast/internal/engine"
	"github.com/sedgemast/sedgemast/internal/operator"
	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerlist"
	"github.com/sedgemast/sedgemast/platform"
)

// equivalentForms mean the same to net/http as their author may have meant, and are passed on by no reader
// of documents.
var equivalentForms = []emulator.Broken{emulator.BrokenInterimBody, emulator.BrokenInterimName, emulator.BrokenFolded, emulator.BrokenLengthAndChunks}

// unmarkedForms are whole documents whose end is not marked. Only calls between own processes need a mark.
var unmarkedForms = []emulator.Broken{emulator.BrokenReset, emulator.BrokenChunksOld}

// serveText answers each request with the text, byte by byte, and closes the connection.
func serveText(t *testing.T, text string) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				request, err := http.ReadRequest(bufio.NewReader(connection))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				for _, octet := range []byte(text) {
					if _, err := connection.Write([]byte{octet}); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// TestReadersRejectBrokenAnswers guards against engines, peers, gateways and lists whose broken answers pass
// for sound ones.
func TestReadersRejectBrokenAnswers(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), hostedTimeout)
	defer cancel()
	message, err := (&wire.Failure{}).MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	engines, peers := engine.NewClient(), rpc.NewClient()
	defer engines.Close()
	defer peers.Close()
	for name, reader := range map[string]struct {
		body string
		// marked is set if the reader needs a mark of the answer's end.
		marked bool
		read   func(address string) error
	}{
		"engine": {"{}", false, func(address string) error {
			_, err := engines.Load(ctx, address)
			return err
		}},
		"list": {`{"workers":[]}`, false, func(address string) error {
			_, err := workerlist.NewClient(address).Workers(ctx)
			return err
		}},
		"platform's list": {`{"instances":[]}`, false, func(address string) error {
			_, err := platform.NewInstanceList(address).Page(ctx, "", "")
			return err
		}},
		"gateway": {"{}", true, func(address string) error {
			_, err := operator.NewClient(address, "key").Status(ctx)
			return err
		}},
		"peer": {string(message), true, func(address string) error {
			_, err := rpc.Call[wire.Failure](ctx, peers, address, "any", &wire.Failure{})
			return err
		}},
	} {
		t.Run(name, func(t *testing.T) {
			sound := "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + strconv.Itoa(len(reader.body)) + "\r\n\r\n" + reader.body
			if err := reader.read(serveText(t, sound)); err != nil {
				t.Errorf("a sound answer: %v", err)
			}
			for _, form := range emulator.BrokenForms {
				if slices.Contains(equivalentForms, form) || !reader.marked && slices.Contains(unmarkedForms, form) {
					continue
				}
				startedAt := time.Now()
				if reader.read(serveText(t, form.Text("", reader.body))) == nil {
					t.Errorf("%s: the answer was taken", form)
				}
				if took := time.Since(startedAt); took > maxFailover {
					t.Errorf("%s: failed after %s", form, took)
				}
			}
		})
	}
}
