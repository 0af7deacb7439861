package edge

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// TestBodyThatStopsEndsAtDeadline guards against callers that hold a connection and its memory for good by
// never sending the end of a body.
func TestBodyThatStopsEndsAtDeadline(t *testing.T) {
	workers := startWorkers(t, 1)
	server, _ := startEdge(t, streamRoute(true, 1), workers...)
	connection, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(testTimeout / 3))
	if _, err := io.WriteString(connection, "POST /a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: 1\r\nDeadline-Ms: 200\r\nContent-Length: 100\r\n\r\nslow"); err != nil {
		t.Fatal(err)
	}
	answer := make([]byte, 64)
	count, err := connection.Read(answer)
	if err != nil || !strings.Contains(string(answer[:count]), " 504 ") || runCount(workers) > 0 {
		t.Errorf("%q, %v, %d runs", answer[:count], err, runCount(workers))
	}
}
