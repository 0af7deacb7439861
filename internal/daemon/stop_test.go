package daemon

import (
	"context"
	"net/http"
	"testing"
	"time"
)

// TestStopCutsWhatStillRuns checks that a planned stop ends the context of a request that still runs in time
// for its answer, and closes the connection of one that goes on, so that Run returns without an error.
func TestStopCutsWhatStillRuns(t *testing.T) {
	const stopTimeout, slack = 2 * time.Second, time.Second
	d, err := New(Options{Role: "edge", Name: "edge-1", Listen: "127.0.0.1:0", Embedded: true, StopTimeout: stopTimeout})
	if err != nil {
		t.Fatal(err)
	}
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	defer close(release)
	d.Server.HandleFunc("/waits", func(writer http.ResponseWriter, request *http.Request) {
		arrived <- struct{}{}
		<-request.Context().Done()
		if IsCut(request.Context()) {
			writer.WriteHeader(http.StatusBadGateway)
		}
	})
	d.Server.HandleFunc("/goes-on", func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	})
	ended := make(chan error, 1)
	go func() { ended <- d.Run() }()
	statuses := map[string]chan int{}
	for _, path := range []string{"/waits", "/goes-on"} {
		status := make(chan int, 1)
		statuses[path] = status
		go func() {
			response, err := http.Post("http://"+d.Address()+path, "text/plain", nil)
			if err != nil {
				status <- 0
				return
			}
			_ = response.Body.Close()
			status <- response.StatusCode
		}()
		<-arrived
	}
	soon, later := time.Now().Add(stopTimeout/4), time.Now().Add(2*stopTimeout)
	waiting, cancel := d.WaitContext(context.Background(), later)
	defer cancel()
	if d.CutsBefore(later) || waiting.Err() != nil {
		t.Error("requests are cut before the stop has begun")
	}
	startedAt := time.Now()
	go func() { _ = d.Stop() }()
	<-waiting.Done()
	if !IsCut(waiting) || !d.CutsBefore(later) || d.CutsBefore(soon) {
		t.Errorf("cut %t, before a late deadline %t, before an early one %t", IsCut(waiting), d.CutsBefore(later), d.CutsBefore(soon))
	}
	if status := <-statuses["/waits"]; status != http.StatusBadGateway {
		t.Errorf("the request that waits got %d", status)
	}
	if status := <-statuses["/goes-on"]; status != 0 {
		t.Errorf("the request that goes on got %d", status)
	}
	if err := <-ended; err != nil || time.Since(startedAt) > stopTimeout+slack {
		t.Errorf("ended after %s: %v", time.Since(startedAt), err)
	}
}
