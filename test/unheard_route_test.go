package test

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/emulator"
)

const (
	// pollHoldTime is longer than a coordinator holds a poll that has nothing new.
	pollHoldTime = 700 * time.Millisecond
	// coreOutage is how long the coordinators are down while a route is known to edges only.
	coreOutage = 4 * time.Second
	// endedRouteBound is the longest time from the acknowledgement of a change that removes a route to
	// the end of its items, while a coordinator leads.
	endedRouteBound = 5 * time.Second
)

// addedRoute is a batch route that fleets of these tests add and remove.
var addedRoute = "," + batchRoute("added", 100_000)

// stop stops the processes of the machines whose names begin with prefix, and waits until they stand
// still.
func (f *hostedFleet) stop(t *testing.T, prefix string) {
	for name, machine := range f.machines {
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		if err := machine.command.Process.Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
		eventually(t, name+" stopped", func() bool { return isStopped(machine.command.Process.Pid) })
	}
}

// isStopped reports whether all threads of the process are stopped by a signal.
func isStopped(pid int) bool {
	threads, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return false
	}
	for _, thread := range threads {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%s/stat", pid, thread.Name()))
		if err != nil {
			return false
		}
		// The state follows the name, which stands in parentheses.
		_, state, _ := strings.Cut(string(text), ") ")
		if !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

// resume lets stopped processes go on.
func (f *hostedFleet) resume(t *testing.T, prefix string) {
	for name, machine := range f.machines {
		if strings.HasPrefix(name, prefix) {
			if err := machine.command.Process.Signal(syscall.SIGCONT); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// submitAdded submits a job on the added route.
func (f *hostedFleet) submitAdded(t *testing.T, edge, id string, items int) {
	document := strings.ReplaceAll(jobDocument(id, items, 3), "/batch/", "/added/")
	f.submitJob(t, edge, "/added/", id, document)
}

// expectStates waits until all items of a job have a result and checks its state.
func (f *hostedFleet) expectStates(t *testing.T, edge, id string, items int, state string) {
	t.Helper()
	eventually(t, "results of "+id, func() bool {
		page, _ := f.readResults(edge, id, 0)
		return page != nil && len(page.Results) == items
	})
	f.checkStates(t, edge, id, state)
}

// checkStates checks the state of all results that a job has.
func (f *hostedFleet) checkStates(t *testing.T, edge, id, state string) {
	t.Helper()
	page, status := f.readResults(edge, id, 0)
	if page == nil {
		t.Fatalf("the results of %s can't be read: status %d", id, status)
	}
	for _, row := range page.Results {
		if row.State != state {
			t.Errorf("item %s is %s, want %s", row.ID, row.State, state)
		}
	}
}

// TestItemsOfUnheardRouteAreNotAbandoned guards against items that stores give up because they have not
// heard of the route under which an edge accepted them.
func TestItemsOfUnheardRouteAreNotAbandoned(t *testing.T) {
	const items = 12
	f, stream := startDrainFleet(t, hostedWorkers)
	edges := stream.edges
	f.stop(t, "store-")
	time.Sleep(pollHoldTime)
	eventually(t, "the route added", func() bool {
		return f.putConfiguration("core-1", f.configuration(6, addedRoute)) == http.StatusOK
	})
	eventually(t, "an edge that knows the route", func() bool {
		return f.logged("front-21", "event=configuration_in_force version=6")
	})
	killed := f.killCoordinators()
	f.resume(t, "store-")
	f.submitAdded(t, edges[0], "new", items)
	time.Sleep(coreOutage)
	if page, _ := f.readResults(edges[0], "new", 0); page == nil || len(page.Results) > 0 {
		t.Errorf("results without a coordinator: %+v", page)
	}
	for _, machine := range killed {
		f.start(machine, false)
	}
	f.expectStates(t, edges[0], "new", items, "completed")
}

// TestItemsOfEndedRouteAreAbandoned guards against items that wait for ever for a route that has ended.
// A route that comes back, and a job that comes with it, must not be taken for the ended one.
func TestItemsOfEndedRouteAreAbandoned(t *testing.T) {
	const items = 4
	f, stream := startDrainFleet(t, hostedWorkers)
	edges := stream.edges
	apply := func(version int, routes string) {
		eventually(t, fmt.Sprintf("version %d", version), func() bool {
			return f.putConfiguration("core-1", f.configuration(version, routes)) == http.StatusOK
		})
		eventually(t, "an edge that knows it", func() bool {
			return f.logged("front-21", fmt.Sprintf("event=configuration_in_force version=%d", version))
		})
	}
	apply(6, addedRoute)
	f.injectFaults(func(*emulator.HostedRequest) emulator.HostedFault { return emulator.HostedFault{NotRun: true} })
	f.submitAdded(t, edges[0], "ended", items)
	apply(7, "")
	changed := time.Now()
	f.expectStates(t, edges[0], "ended", items, "abandoned")
	if took := time.Since(changed); took > endedRouteBound {
		t.Errorf("the items of a route that has ended were abandoned after %s", took)
	}
	f.injectFaults(nil)
	apply(8, addedRoute)
	f.submitAdded(t, edges[0], "back", items)
	f.expectStates(t, edges[0], "back", items, "completed")
}
