package test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/emulator"
)

// These tests guard against one request that makes many workers exit. If an edge forgets the exits
// when its call ends, a request (same path, caller and body, a new id each time) makes one worker
// exit per attempt, about 0.1 s after it starts there: the edge retries on the next worker, which
// exits too; the caller gets 502 and retries at another edge, which knows nothing of the exits.
// Workers restarted after a second and exited again, for as long as the request was repeated, and
// only a quarter of all requests in those ten seconds were served. The exits stop when the request
// stops: 20 calls with two attempts each caused 40 exits, and harmless requests under the same load
// caused none.

const (
	exitBody     = "ends its worker"
	frequentBody = "harmless and frequent"
	// exitRounds is how often the request is sent. Each worker has restarted before the round
	// after the next.
	exitRounds    = 60
	roundInterval = 40 * time.Millisecond
	// maxExits is the maximum number of exits that the request may cause: the three that
	// quarantine it, two on workers that got it before both edges knew, and one in the trial
	// that is due while the test runs.
	maxExits = 3 + 2 + 1
)

// restartDelay is the time from a worker's exit to its restart.
const restartDelay = 60 * time.Millisecond

// injectExits makes workers exit when they run the request with exitBody.
func (f *hostedFleet) injectExits(restartAfter time.Duration) {
	f.injectFaults(func(request *emulator.HostedRequest) emulator.HostedFault {
		if request.Body == exitBody {
			return emulator.HostedFault{ExitAfter: 15 * time.Millisecond, RestartAfter: restartAfter}
		}
		return emulator.HostedFault{}
	})
}

func (f *hostedFleet) exits() (count int) {
	for _, worker := range f.workers {
		count += worker.Exits()
	}
	return count
}

// answerCounts counts the answers to one kind of request by outcome.
type answerCounts struct{ completed, rejected, failed atomic.Int64 }

func (s *answerCounts) String() string {
	return fmt.Sprintf("%d complete, %d rejected, %d failed", s.completed.Load(), s.rejected.Load(), s.failed.Load())
}

// sendAndCount sends a request to an edge and counts the outcome.
func (f *hostedFleet) sendAndCount(edge, id, body string, count *answerCounts) {
	headers := map[string]string{"Request-Id": id, "Token-Count": "10,6", "Deadline-Ms": "15000"}
	status, _, text, err := f.call(http.MethodPost, edge, "/stream/a", headers, body)
	switch {
	case err == nil && status == http.StatusOK && text == events(id, 1, 6):
		count.completed.Add(1)
	case err == nil && status == http.StatusServiceUnavailable:
		count.rejected.Add(1)
	default:
		count.failed.Add(1)
	}
}

// TestRequestThatMakesWorkersExit sends both edges a request that makes workers exit, again and
// again. Beside it, a harmless request is sent as often, and other requests are sent once. The
// request that makes workers exit must be quarantined, also after edges and coordinators were
// killed, and the harmless requests must be served.
func TestRequestThatMakesWorkersExit(t *testing.T) {
	f := newHostedFleet(t, 8)
	edges := f.configure(t)
	f.injectExits(restartDelay)
	var repeated, frequent, others answerCounts
	var callers sync.WaitGroup
	for round := range exitRounds {
		edge := edges[round%len(edges)]
		for _, caller := range []struct {
			id, body string
			count    *answerCounts
		}{
			{fmt.Sprintf("f-%d", round), frequentBody, &frequent},
			{fmt.Sprintf("o-%d", round), fmt.Sprintf("harmless %d", round), &others},
		} {
			callers.Go(func() { f.sendAndCount(edge, caller.id, caller.body, caller.count) })
		}
		// Once its caller has the answer, it retries at the other edge.
		f.sendAndCount(edge, fmt.Sprintf("e-%d", round), exitBody, &repeated)
		time.Sleep(roundInterval)
	}
	callers.Wait()
	t.Logf("%d exits of workers in %d rounds; the request: %s; the frequent one: %s; others: %s", f.exits(), exitRounds, &repeated, &frequent, &others)
	if count := f.exits(); count > maxExits {
		t.Errorf("%d exits of workers, want at most %d", count, maxExits)
	}
	if repeated.completed.Load() > 0 {
		t.Error("the request that makes workers exit was answered")
	}

	// The quarantine must survive a kill of all edges and coordinators.
	before := f.exits()
	for name, machine := range f.machines {
		if !strings.HasPrefix(name, "store") {
			f.kill(machine)
		}
	}
	for name, machine := range f.machines {
		if !strings.HasPrefix(name, "store") {
			f.start(machine, false)
		}
	}
	edges = f.configure(t)
	for round := range 8 {
		f.sendAndCount(edges[round%len(edges)], fmt.Sprintf("again-%d", round), exitBody, &repeated)
	}
	if more := f.exits() - before; more > 1 {
		t.Errorf("%d more exits after a restart, want at most 1, in a trial", more)
	}
	eventually(t, "the frequent request is served", func() bool {
		var now answerCounts
		f.sendAndCount(edges[0], "last", frequentBody, &now)
		return now.completed.Load() == 1
	})
}

// configure applies the first configuration, waits until the first two edges are ready, and returns
// their addresses.
func (f *hostedFleet) configure(t *testing.T) []string {
	eventually(t, "the first configuration", func() bool { return f.putConfiguration("core-2", f.configuration(5, "")) == http.StatusOK })
	var edges []string
	for _, name := range []string{"front-21", "front-22"} {
		edges = append(edges, f.address(f.machines[name], portCallers))
		eventually(t, name+" ready", func() bool {
			status, _, _, err := f.call(http.MethodGet, f.address(f.machines[name], portReady), "/-/ready", nil, "")
			return err == nil && status == http.StatusOK
		})
	}
	return edges
}

// TestItemThatMakesWorkersExit submits a job with one item that makes workers exit. The other items
// must complete, and this item must be held back. It must not be abandoned, because no worker
// reported that it failed.
func TestItemThatMakesWorkersExit(t *testing.T) {
	const items, tokens = 12, 20
	f := newHostedFleet(t, 8)
	edges := f.configure(t)
	f.injectFaults(func(request *emulator.HostedRequest) emulator.HostedFault {
		if request.ID == "j1-3" {
			return emulator.HostedFault{ExitAfter: 15 * time.Millisecond, RestartAfter: 60 * time.Millisecond}
		}
		return emulator.HostedFault{}
	})
	f.submitJob(t, edges[0], "/batch/", "j1", jobDocument("j1", items, tokens))
	eventually(t, "all other results", func() bool {
		page, _ := f.readResults(edges[1], "j1", 0)
		return page != nil && len(page.Results) == items-1
	})
	page, _ := f.readResults(edges[0], "j1", 0)
	for _, row := range page.Results {
		if row.ID == "j1-3" || row.State != "completed" {
			t.Errorf("item %s is %s", row.ID, row.State)
		}
	}
	eventually(t, "the trial", func() bool { return f.exits() > 3 })
	// Without the quarantine, the runner would start the item often enough in this time to make
	// all workers exit many times.
	time.Sleep(2 * time.Second)
	t.Logf("%d exits of workers", f.exits())
	if count := f.exits(); count > maxExits {
		t.Errorf("%d exits of workers, want no more than %d", count, maxExits)
	}
}

// TestWorkersRestartUnderTheirIDs repeats a request that makes workers exit, with two workers that
// restart under the same id, after 60 ms or almost at once. Each exit must count. The test guards
// against two faults: several exits of one worker count as one, so the request is never
// quarantined; or an exit does not count because the worker has restarted by the time the edge
// checks it.
func TestWorkersRestartUnderTheirIDs(t *testing.T) {
	for _, restartAfter := range []time.Duration{restartDelay, 500 * time.Microsecond} {
		t.Run(restartAfter.String(), func(t *testing.T) {
			f := newHostedFleet(t, 2)
			for _, worker := range f.workers {
				worker.KeepID = true
			}
			edges := f.configure(t)
			f.injectExits(restartAfter)
			var repeated answerCounts
			for round := range exitRounds {
				f.sendAndCount(edges[round%len(edges)], fmt.Sprintf("e-%d", round), exitBody, &repeated)
				time.Sleep(roundInterval + restartAfter)
			}
			t.Logf("%d exits of workers in %d rounds; the request: %s", f.exits(), exitRounds, &repeated)
			if count := f.exits(); count > maxExits {
				t.Errorf("workers exited %d times, want at most %d", count, maxExits)
			}
			eventually(t, "another request is served", func() bool {
				var now answerCounts
				f.sendAndCount(edges[0], "last", frequentBody, &now)
				return now.completed.Load() == 1
			})
		})
	}
}
