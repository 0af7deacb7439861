package upstream

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/httpheader"
)

// TestEndedIsSeen tells a worker that has ended from one that only broke a connection
// off, and from a machine that says nothing.
func TestEndedIsSeen(t *testing.T) {
	breakOff := script{func(_ *http.Request, _ string, _ net.Conn) {}}
	for _, test := range []struct {
		name string
		ends bool
	}{{"ended", true}, {"broke off", false}} {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			w := &worker{endpoint: Endpoint{ID: "w-1", Address: listener.Addr().String()}}
			go func() {
				connection, err := listener.Accept()
				if err != nil {
					return
				}
				if test.ends {
					_ = listener.Close()
				}
				w.play(breakOff, connection)
			}()
			client := NewClient(httpheader.Default())
			_, err = client.Send(context.Background(), w.endpoint, &Request{Method: http.MethodPost, Target: "/", Host: "h", ID: "a"}, time.Now().Add(patience))
			if !Disconnected(err) {
				t.Fatalf("the end of the exchange is %v", err)
			}
			if ended := client.WorkerExited(context.Background(), w.endpoint, clock.Now()); ended != test.ends {
				t.Errorf("ended %t", ended)
			}
			if kept := len(client.idle[w.endpoint.ID]); kept > 0 == test.ends {
				t.Errorf("%d connections are kept", kept)
			}
		})
	}
}

// TestEndedByStart judges by what a look has found: since when the worker has been there,
// and what an earlier look found.
func TestEndedByStart(t *testing.T) {
	now := time.Now().UnixMilli()
	began := clock.Now().Add(-time.Second)
	for _, test := range []struct {
		name string
		look look
		want bool
	}{
		{"nobody listens", look{refused: true}, true},
		{"it does not tell", look{}, false},
		{"there before the request", look{born: now - 5000}, false},
		{"started since", look{born: now - 500}, true},
		{"another start than at an earlier look", look{born: now - 5000, before: now - 9000}, true},
		{"the same as at an earlier look", look{born: now - 5000, before: now - 5000}, false},
		{"seen by an earlier look, and started since", look{born: now - 500, before: now - 500}, true},
	} {
		if got := test.look.ended(began); got != test.want {
			t.Errorf("%s: ended %t", test.name, got)
		}
	}
}
