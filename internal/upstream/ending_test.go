package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/httpheader"
)

// TestUnmarkedEndDuringUpload guards against taking a part of an answer for the whole one if the worker ends
// it, without a mark, before it has received the whole request.
func TestUnmarkedEndDuringUpload(t *testing.T) {
	for name, test := range map[string]struct {
		reads, resets, whole bool
	}{
		"ends after the upload":  {reads: true, whole: true},
		"ends during the upload": {},
		"resets the upload":      {resets: true},
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		go func() {
			answer := "HTTP/1.1 200 OK\r\nSedgemast-Worker: w-1\r\nConnection: close\r\n\r\npart"
			for {
				connection, err := listener.Accept()
				if err != nil {
					return
				}
				go func() {
					defer connection.Close()
					if test.reads {
						_ = connection.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
						_, _ = io.Copy(io.Discard, connection)
					}
					_, _ = io.WriteString(connection, answer)
					if !test.resets {
						_ = connection.(*net.TCPConn).CloseWrite()
						time.Sleep(time.Second)
					}
				}()
			}
		}()
		for _, discards := range []bool{false, true} {
			sentAt := clock.Now()
			request := &Request{Method: http.MethodPost, Target: "/", Host: "h", ID: "1", Body: make([]byte, 2<<20)}
			response, err := NewClient(httpheader.Default()).Send(context.Background(), Endpoint{ID: "w-1", Address: listener.Addr().String()}, request, time.Now().Add(testTimeout))
			if err == nil {
				if discards {
					response.Discard()
				} else {
					_, err = io.Copy(io.Discard, response)
				}
				if err == nil {
					err = response.VerifyEnd(context.Background(), sentAt)
				}
				response.Close()
			}
			if (err == nil) != test.whole {
				t.Errorf("%s, discards %t: %v", name, discards, err)
			}
		}
	}
}
