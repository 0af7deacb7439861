package upstream

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/dialect"
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
			client := NewClient(dialect.Own())
			_, err = client.Send(context.Background(), w.endpoint, &Request{Method: http.MethodPost, Target: "/", Host: "h", ID: "a"}, time.Now().Add(patience))
			if !BrokeOff(err) {
				t.Fatalf("the end of the exchange is %v", err)
			}
			if ended := client.Ended(context.Background(), w.endpoint, clock.Now()); ended != test.ends {
				t.Errorf("ended %t", ended)
			}
			if kept := len(client.idle[w.endpoint.ID]); kept > 0 == test.ends {
				t.Errorf("%d connections are kept", kept)
			}
		})
	}
}
