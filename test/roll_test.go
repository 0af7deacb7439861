package test

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// firstRollVersion is the first configuration version that adds a route while machines are replaced.
const firstRollVersion = 30

// rollStats counts what callers saw while machines were replaced.
type rollStats struct {
	served, rejected, failed  atomic.Int64
	inForce, notFound         atomic.Int64
	jobs, accepted, completed atomic.Int64
}

// String returns the counts on one line.
func (r *rollStats) String() string {
	total := r.served.Load() + r.rejected.Load() + r.failed.Load()
	return fmt.Sprintf("calls served %.4f of %d (%d rejected, %d failed); routes %d served, %d not found 2 s after their acknowledgement; jobs %d accepted of %d, %d completed",
		float64(r.served.Load())/float64(max(total, 1)), total, r.rejected.Load(), r.failed.Load(), r.inForce.Load(), r.notFound.Load(), r.accepted.Load(), r.jobs.Load(), r.completed.Load())
}

// TestRollUnderLoad replaces all machines one after the other while requests, new routes and jobs
// arrive, on one build and between the released build and this one, and logs what callers saw. It
// takes minutes and its results depend on timing, so it is run by hand:
// SEDGEMAST_ROLL=1 go test -run TestRollUnderLoad -v ./test
func TestRollUnderLoad(t *testing.T) {
	if os.Getenv("SEDGEMAST_ROLL") == "" {
		t.Skip("set SEDGEMAST_ROLL=1")
	}
	released, newest := buildReleased(t), buildHosted(t)
	mixed := "store-11 core-1 front-21 store-12 core-2 front-22 store-13 core-3"
	for _, roll := range []struct{ name, from, to, order string }{
		{"one build", newest, newest, mixed},
		{"two builds, mixed", released, newest, mixed},
		{"two builds, edges first", released, newest, "front-21 front-22 store-11 store-12 store-13 core-1 core-2 core-3"},
		{"two builds, coordinators first", released, newest, "core-1 core-2 core-3 store-11 store-12 store-13 front-21 front-22"},
		{"back to the older build, mixed", newest, released, mixed},
	} {
		t.Run(roll.name, func(t *testing.T) {
			f := newHostedFleetWith(t, roll.from, 6)
			t.Log(f.roll(t, roll.to, strings.Fields(roll.order)))
		})
	}
}

// roll replaces one machine every two seconds, in the given order, under load.
func (f *hostedFleet) roll(t *testing.T, to string, machines []string) *rollStats {
	stats := &rollStats{}
	edges := f.configure(t)
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	every := func(interval time.Duration, call func(number int)) {
		callers.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				case <-time.After(interval):
					callers.Go(func() { call(number) })
				}
			}
		})
	}
	every(25*time.Millisecond, func(number int) { f.rollCall(edges, number, stats) })
	every(time.Second, func(number int) { f.rollRoute(edges, firstRollVersion+number, stats) })
	every(200*time.Millisecond, func(number int) { f.rollJob(edges, number, stats) })
	for _, name := range machines {
		time.Sleep(2 * time.Second)
		f.replace(f.machines[name], to)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	callers.Wait()
	return stats
}

// rollCall sends a request as callers do: if an edge rejects it or does not answer, the caller
// tries the other edge, up to three attempts in all.
func (f *hostedFleet) rollCall(edges []string, number int, stats *rollStats) {
	headers := map[string]string{"Request-Id": fmt.Sprintf("r-%d", number), "Token-Count": "10,6", "Deadline-Ms": "3000"}
	for try := range 3 {
		status, _, body, err := f.call(http.MethodPost, edges[(number+try)%len(edges)], "/stream/a", headers, "p")
		switch {
		case err == nil && status == http.StatusOK && strings.HasSuffix(body, fmt.Sprintf("r-%d-6\n\n", number)):
			stats.served.Add(1)
			return
		case try == 2 && err == nil && status == http.StatusServiceUnavailable:
			stats.rejected.Add(1)
		case try == 2:
			stats.failed.Add(1)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// rollRoute adds a route and calls it at both edges 2 s after the configuration was acknowledged.
func (f *hostedFleet) rollRoute(edges []string, version int, stats *rollStats) {
	added := ""
	for earlier := firstRollVersion; earlier <= version; earlier++ {
		added += fmt.Sprintf(`,{"name":"added-%d","host":%q,"pathPrefix":"/added-%d/","routeKind":"safe","timeoutMs":20000,"service":%q,"maxAttempts":3}`, earlier, hostedHost, earlier, hostedService)
	}
	for try := 0; ; try++ {
		if try == 30 {
			return
		}
		if f.putConfiguration(fmt.Sprintf("core-%d", 1+(version+try)%3), f.configuration(version, added)) == http.StatusOK {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	for _, edge := range edges {
		status, _, _, err := f.call(http.MethodPost, edge, fmt.Sprintf("/added-%d/a", version), map[string]string{"Request-Id": fmt.Sprintf("c-%d", version), "Token-Count": "1,1"}, "p")
		switch {
		case err != nil || status == http.StatusServiceUnavailable:
		case status == http.StatusNotFound:
			stats.notFound.Add(1)
		default:
			stats.inForce.Add(1)
		}
	}
}

// rollJob submits a job of four items and waits for its results.
func (f *hostedFleet) rollJob(edges []string, number int, stats *rollStats) {
	const items = 4
	job := fmt.Sprintf("rj-%d", number)
	stats.jobs.Add(1)
	accepted := false
	for try := 0; try < 10 && !accepted; try++ {
		status, _, _, err := f.call(http.MethodPost, edges[(number+try)%len(edges)], "/batch/a", map[string]string{"Request-Id": job}, jobDocument(job, items, 10))
		if accepted = err == nil && status == http.StatusAccepted; !accepted {
			time.Sleep(200 * time.Millisecond)
		}
	}
	if !accepted {
		return
	}
	stats.accepted.Add(1)
	for try := range 100 {
		if page, _ := f.readResults(edges[try%len(edges)], job, 0); page != nil && len(page.Results) == items {
			stats.completed.Add(1)
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}
