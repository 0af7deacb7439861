package test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/emulator"
)

// drainStream is traffic over all edges of a fleet, online requests and items of jobs.
type drainStream struct {
	f      *hostedFleet
	edges  []string
	sent   int
	served int
}

// run sends requests, and a job each half second, until the time.
func (s *drainStream) run(until time.Time) {
	for nextJob := time.Now(); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		s.sent++
		edge := s.edges[s.sent%len(s.edges)]
		if time.Now().After(nextJob) {
			nextJob = time.Now().Add(500 * time.Millisecond)
			id := fmt.Sprintf("job-%d", s.sent)
			_, _, _, _ = s.f.call(http.MethodPost, edge, "/batch/"+id, map[string]string{"Request-Id": id}, jobDocument(id, 4, 2))
		}
		status, _, _, err := s.f.call(http.MethodPost, edge, "/stream/a", map[string]string{"Request-Id": fmt.Sprintf("d-%d", s.sent), "Token-Count": "1,1"}, "p")
		if err == nil && status == http.StatusOK {
			s.served++
		}
	}
}

// startDrainFleet starts a fleet and waits until both edges and a store serve.
func startDrainFleet(t *testing.T, workers int) (*hostedFleet, *drainStream) {
	f := newHostedFleet(t, workers)
	eventually(t, "the first configuration", func() bool { return f.putConfiguration("core-2", f.configuration(5, "")) == http.StatusOK })
	stream := &drainStream{f: f}
	for _, name := range []string{"front-21", "front-22"} {
		edge := f.address(f.machines[name], portCallers)
		f.waitServing(t, edge)
		stream.edges = append(stream.edges, edge)
	}
	eventually(t, "a job accepted", func() bool {
		status, _, _, err := f.call(http.MethodPost, stream.edges[0], "/batch/first", map[string]string{"Request-Id": "first"}, jobDocument("first", 4, 2))
		return err == nil && status == http.StatusAccepted
	})
	eventually(t, "its results", func() bool {
		page, _ := f.readResults(stream.edges[0], "first", 0)
		return page != nil && len(page.Results) == 4
	})
	return f, stream
}

// killCoordinators kills all coordinators and returns them.
func (f *hostedFleet) killCoordinators() (killed []*hostedMachine) {
	for _, name := range []string{"core-1", "core-2", "core-3"} {
		f.kill(f.machines[name])
		killed = append(killed, f.machines[name])
	}
	return killed
}

// expectDrained drains a worker, and checks that it gets nothing later than hostedDrainTime after that
// while callers are served by the others.
func expectDrained(t *testing.T, draining *emulator.HostedWorker, stream *drainStream) {
	t.Helper()
	draining.Drain()
	stream.run(time.Now().Add(hostedDrainTime))
	before := len(draining.Requests())
	sent, served := stream.sent, stream.served
	stream.run(time.Now().Add(3 * time.Second))
	if late := draining.Requests()[before:]; len(late) > 0 {
		t.Errorf("a leaving worker got %d requests more than %s after it was listed as leaving, the first %s %s", len(late), hostedDrainTime, late[0].Method, late[0].Target)
	}
	sent, served = stream.sent-sent, stream.served-served
	if served < sent*9/10 {
		t.Errorf("%d of %d callers were served", served, sent)
	}
}

// TestLeavingWorkerWithoutCoordinators guards against sends that rest on a list of any age.
func TestLeavingWorkerWithoutCoordinators(t *testing.T) {
	f, stream := startDrainFleet(t, 4)
	f.killCoordinators()
	expectDrained(t, f.workers[0], stream)
}

// TestLeavingWorkerBehindSlowList guards against a first reading of the list that never ends.
func TestLeavingWorkerBehindSlowList(t *testing.T) {
	f, stream := startDrainFleet(t, 14)
	f.list.SetPageDelay(350 * time.Millisecond)
	for _, machine := range f.killCoordinators() {
		f.start(machine, false)
	}
	expectDrained(t, f.workers[0], stream)
	if !f.logged("core-", "event=workers_changed workers=14 leaving=1") {
		t.Error("no coordinator has read the whole list")
	}
}

// logged reports whether a machine whose name begins with prefix has logged the text.
func (f *hostedFleet) logged(prefix, text string) bool {
	for _, machine := range f.machines {
		log, err := os.ReadFile(filepath.Join(machine.folder, "log"))
		if err != nil {
			f.t.Fatal(err)
		}
		if strings.HasPrefix(machine.name, prefix) && strings.Contains(string(log), text) {
			return true
		}
	}
	return false
}
