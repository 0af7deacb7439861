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

// firstRolled is the first version that adds a route while machines are replaced.
const firstRolled = 30

// rolled is what callers saw while machines were replaced.
type rolled struct {
	served, refused, failed atomic.Int64
	inForce, notFound       atomic.Int64
	jobs, accepted, done    atomic.Int64
}

// String returns the counts as a row.
func (r *rolled) String() string {
	asked := r.served.Load() + r.refused.Load() + r.failed.Load()
	return fmt.Sprintf("calls served %.4f of %d (%d refused, %d failed); routes %d served, %d not found 2 s after their acknowledgement; jobs %d accepted of %d, %d done",
		float64(r.served.Load())/float64(max(asked, 1)), asked, r.refused.Load(), r.failed.Load(), r.inForce.Load(), r.notFound.Load(), r.accepted.Load(), r.jobs.Load(), r.done.Load())
}

// TestRollUnderLoad replaces all machines one after the other under calls, routes added and
// jobs handed in, on one build and from the released one to this one, and prints what
// callers saw. It takes minutes and judges by time, so it is run by hand:
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
			f := newHostedFleetOf(t, roll.from, 6)
			t.Log(f.roll(t, roll.to, strings.Fields(roll.order)))
		})
	}
}

// roll replaces the machines, one each two seconds, while callers come.
func (f *hostedFleet) roll(t *testing.T, to string, machines []string) *rolled {
	seen := &rolled{}
	fronts := f.ready(t)
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	every := func(pause time.Duration, call func(number int)) {
		callers.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				case <-time.After(pause):
					callers.Go(func() { call(number) })
				}
			}
		})
	}
	every(25*time.Millisecond, func(number int) { f.rollCall(fronts, number, seen) })
	every(time.Second, func(number int) { f.rollRoute(fronts, firstRolled+number, seen) })
	every(200*time.Millisecond, func(number int) { f.rollJob(fronts, number, seen) })
	for _, name := range machines {
		time.Sleep(2 * time.Second)
		f.replace(f.machines[name], to)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	callers.Wait()
	return seen
}

// rollCall sends a request as callers do: an edge that refuses or is gone is left for the
// other one, twice.
func (f *hostedFleet) rollCall(fronts []string, number int, seen *rolled) {
	headers := map[string]string{"Request-Id": fmt.Sprintf("r-%d", number), "Token-Count": "10,6", "Deadline-Ms": "3000"}
	for try := range 3 {
		status, _, body, err := f.call(http.MethodPost, fronts[(number+try)%len(fronts)], "/stream/a", headers, "p")
		switch {
		case err == nil && status == http.StatusOK && strings.HasSuffix(body, fmt.Sprintf("r-%d-6\n\n", number)):
			seen.served.Add(1)
			return
		case try == 2 && err == nil && status == http.StatusServiceUnavailable:
			seen.refused.Add(1)
		case try == 2:
			seen.failed.Add(1)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// rollRoute adds a route and asks both edges for it 2 s after it was acknowledged.
func (f *hostedFleet) rollRoute(fronts []string, version int, seen *rolled) {
	added := ""
	for earlier := firstRolled; earlier <= version; earlier++ {
		added += fmt.Sprintf(`,{"name":"added-%d","host":%q,"pathPrefix":"/added-%d/","routeKind":"safe","timeoutMs":20000,"service":%q,"maxAttempts":3}`, earlier, hostedHost, earlier, hostedService)
	}
	for try := 0; ; try++ {
		if try == 30 {
			return
		}
		if f.put(fmt.Sprintf("core-%d", 1+(version+try)%3), f.configuration(version, added)) == http.StatusOK {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	for _, front := range fronts {
		status, _, _, err := f.call(http.MethodPost, front, fmt.Sprintf("/added-%d/a", version), map[string]string{"Request-Id": fmt.Sprintf("c-%d", version), "Token-Count": "1,1"}, "p")
		switch {
		case err != nil || status == http.StatusServiceUnavailable:
		case status == http.StatusNotFound:
			seen.notFound.Add(1)
		default:
			seen.inForce.Add(1)
		}
	}
}

// rollJob hands in a job of four items and waits for its results.
func (f *hostedFleet) rollJob(fronts []string, number int, seen *rolled) {
	const items = 4
	job := fmt.Sprintf("rj-%d", number)
	seen.jobs.Add(1)
	accepted := false
	for try := 0; try < 10 && !accepted; try++ {
		status, _, _, err := f.call(http.MethodPost, fronts[(number+try)%len(fronts)], "/batch/a", map[string]string{"Request-Id": job}, jobDocument(job, items, 10))
		if accepted = err == nil && status == http.StatusAccepted; !accepted {
			time.Sleep(200 * time.Millisecond)
		}
	}
	if !accepted {
		return
	}
	seen.accepted.Add(1)
	for try := range 100 {
		if page, _ := f.read(fronts[try%len(fronts)], job, 0); page != nil && len(page.Results) == items {
			seen.done.Add(1)
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}
