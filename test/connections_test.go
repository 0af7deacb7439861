package test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestMostConnectionsAtOneEdge guards against an edge that rejects requests because it gets most
// connections of the fleet, and more of them than usual.
func TestMostConnectionsAtOneEdge(t *testing.T) {
	f := newHostedFleet(t, 8)
	edges := f.configure(t)
	spread := startPartTraffic(f, "spread", edges, false)
	time.Sleep(2 * time.Second)
	spread.end()
	var lopsided []*partTraffic
	for number := range 3 {
		lopsided = append(lopsided, startPartTraffic(f, fmt.Sprintf("one-%d", number), edges[:1], false))
	}
	time.Sleep(4 * time.Second)
	var sent, complete int64
	for _, traffic := range lopsided {
		traffic.end()
		sent, complete = sent+traffic.early.sent.Load(), complete+traffic.early.complete.Load()
	}
	share := float64(complete) / float64(max(sent, 1))
	t.Logf("served: %.3f of %d while spread, %.3f of %d at one edge", spread.early.share(), spread.early.sent.Load(), share, sent)
	if share < 0.75*spread.early.share() {
		t.Errorf("%.3f of the requests at one edge are served, %.3f before, want at least three quarters of that", share, spread.early.share())
	}
}

// TestCrowdedEdgeGivesUpConnections guards against an edge that runs out of descriptors, or of places for
// callers, because callers keep their connections open.
func TestCrowdedEdgeGivesUpConnections(t *testing.T) {
	f := newHostedFleet(t, 2)
	edges := f.configure(t)
	var idle []net.Conn
	defer func() {
		for _, conn := range idle {
			_ = conn.Close()
		}
	}()
	keptOpen := func() bool {
		request, err := http.NewRequest(http.MethodPost, "http://"+edges[0]+"/stream/a", strings.NewReader("p"))
		if err != nil {
			t.Fatal(err)
		}
		request.Host = hostedHost
		for name, value := range partRequest("kept", "b") {
			request.Header.Set(name, value)
		}
		response, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			return true
		}
		defer response.Body.Close()
		_, _ = io.Copy(io.Discard, response.Body)
		return !response.Close
	}
	if !keptOpen() {
		t.Error("a connection is given up although few are open")
	}
	for range hostedMaxFDs/2*3/4 - 1 {
		conn, err := net.Dial("tcp", edges[0])
		if err != nil {
			t.Fatal(err)
		}
		idle = append(idle, conn)
	}
	eventually(t, "answers ask callers to close their connections", func() bool { return !keptOpen() })
	for range hostedMaxFDs {
		if conn, err := net.Dial("tcp", edges[0]); err == nil {
			idle = append(idle, conn)
		}
	}
	if open := openDescriptors(f.machines["front-21"].pid.Load()); open > hostedMaxFDs {
		t.Errorf("%d descriptors of %d are open", open, hostedMaxFDs)
	}
	// A caller takes the place of a connection that asks nothing.
	if _, complete := f.sendPart(edges[0], "/stream/a", "over", "b"); !complete {
		t.Error("a request over the limit was not answered")
	}
	if open := openDescriptors(f.machines["front-21"].pid.Load()); open > hostedMaxFDs {
		t.Errorf("%d descriptors of %d are open", open, hostedMaxFDs)
	}
	for _, conn := range idle {
		_ = conn.Close()
	}
	eventually(t, "requests are served once the connections are closed", func() bool {
		_, complete := f.sendPart(edges[0], "/stream/a", "after", "b")
		return complete
	})
}
