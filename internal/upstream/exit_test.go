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

// TestWorkerExited checks that an exited worker is told apart from one that only closed a
// connection.
func TestWorkerExited(t *testing.T) {
	disconnect := script{func(_ *http.Request, _ string, _ net.Conn) {}}
	for _, test := range []struct {
		name  string
		exits bool
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
				if test.exits {
					_ = listener.Close()
				}
				w.serve(disconnect, connection)
			}()
			client := NewClient(httpheader.Default())
			_, err = client.Send(context.Background(), w.endpoint, &Request{Method: http.MethodPost, Target: "/", Host: "h", ID: "a"}, time.Now().Add(testTimeout))
			if !Disconnected(err) {
				t.Fatalf("the error is not a disconnect: %v", err)
			}
			if exited := client.WorkerExited(context.Background(), w.endpoint, clock.Now()); exited != test.exits {
				t.Errorf("exited %t", exited)
			}
			if kept := len(client.idle[w.endpoint.ID]); kept > 0 == test.exits {
				t.Errorf("%d idle connections", kept)
			}
		})
	}
}

// TestExitedByStartTime checks the decision on the results of an exit check: the start time of the
// worker and the one from an earlier check.
func TestExitedByStartTime(t *testing.T) {
	now := time.Now().UnixMilli()
	began := clock.Now().Add(-time.Second)
	for _, test := range []struct {
		name  string
		check exitCheck
		want  bool
	}{
		{"connection refused", exitCheck{refused: true}, true},
		{"start time not reported", exitCheck{}, false},
		{"started before the request", exitCheck{startTime: now - 5000}, false},
		{"started after the request", exitCheck{startTime: now - 500}, true},
		{"start time differs from the earlier check", exitCheck{startTime: now - 5000, previousStart: now - 9000}, true},
		{"same start time as in the earlier check", exitCheck{startTime: now - 5000, previousStart: now - 5000}, false},
		{"same start time as in the earlier check, after the request", exitCheck{startTime: now - 500, previousStart: now - 500}, true},
	} {
		if got := test.check.exited(began); got != test.want {
			t.Errorf("%s: exited %t", test.name, got)
		}
	}
}
