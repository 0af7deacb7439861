package standins

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	abandonRounds = 6
	// coreDown is how long the control processes are down after the operator's change.
	coreDown = 3600 * time.Millisecond
	// changeWithin bounds the time until the change is acknowledged and a front machine serves it.
	changeWithin = 5 * time.Second
	// settleTime is the time from a round's first change to the standstill of the leader, and
	// electionTime the time from then to the second change.
	settleTime   = 20 * time.Millisecond
	electionTime = 800 * time.Millisecond
	jobsEach     = 6
	itemsEach    = 10
	eventsEach   = 10
)

// abandoned checks that no item is given up while its batch job is open, its route is there and no
// attempt has failed. In each round the operator adds a stream route and a batch route, and clients
// submit batch jobs on the latter to a front machine that serves the change. The disruption: the control
// process that leads stands still while the change is made, and all control processes are killed once
// a front machine serves it.
func abandoned(f *fleet, trouble bool) int {
	for i := range truncatedWorkers {
		f.must(f.addWorker(i))
	}
	f.must(f.start())
	routes := []route{streamRoute("r-1", "/lohu930/"), batchRoute("r-2", "/pule252/")}
	f.must(f.putConfiguration(1, 20*time.Second, routes...))
	f.must(f.awaitReady(20 * time.Second))
	f.must(f.awaitRoute("/lohu930/", 10*time.Second))
	before := newJob("1a0e09b52d6a3f80", "/pule252/", itemsEach, eventsEach)
	f.must(f.submit(before, 20*time.Second))
	broken := f.checkAbandoned(before, f.readAll(before, 20*time.Second))
	for round := range abandonRounds {
		online, batch := fmt.Sprintf("/tuke%d/", round), fmt.Sprintf("/wami%d/", round)
		// After a change all processes ask for the next one at the same time.
		routes = append(routes, streamRoute(fmt.Sprintf("i-%d", round), fmt.Sprintf("/idle%d/", round)))
		f.must(f.putConfiguration(2+2*round, changeWithin, routes...))
		time.Sleep(settleTime)
		routes = append(routes, streamRoute(fmt.Sprintf("s-%d", round), online), batchRoute(fmt.Sprintf("b-%d", round), batch))
		if trouble {
			leader := f.coreLeader()
			f.firstControl = 1 + slices.Index(f.class("core"), leader)
			f.signal(syscall.SIGSTOP, leader)
		}
		// By then another control process leads.
		time.Sleep(electionTime)
		f.must(f.putConfiguration(3+2*round, changeWithin, routes...))
		front, err := f.awaitFront(online, changeWithin)
		f.must(err)
		changed := time.Now()
		if trouble {
			f.signal(syscall.SIGKILL, f.class("core")...)
		}
		var jobs []*job
		for i := range jobsEach {
			j := newJob(fmt.Sprintf("%x%x1e09b52d6a3f8%d", 7+i, round, i), batch, itemsEach, eventsEach)
			f.must(f.submitTo(j, front, 10*time.Second))
			jobs = append(jobs, j)
		}
		time.Sleep(coreDown - time.Since(changed))
		if trouble {
			for _, m := range f.class("core") {
				<-m.waited
				f.must(f.startMachine(m))
			}
			f.must(f.awaitRoute(online, 15*time.Second))
		}
		for _, j := range jobs {
			results := f.readAll(j, 10*time.Second)
			f.record.write("%d of %d items of %s listed", len(results), len(j.items), j.id)
			broken += f.checkAbandoned(j, results) + f.checkTexts(j, results)
		}
		time.Sleep(3 * time.Second)
	}
	return broken
}

// coreLeader returns the core machine whose process has last taken the lead, as its log says.
func (f *fleet) coreLeader() *machine {
	leader, newest := f.class("core")[0], ""
	for _, m := range f.class("core") {
		content, err := os.ReadFile(filepath.Join(f.folder, m.name, "log"))
		f.must(err)
		for _, line := range strings.Split(string(content), "\n") {
			_, at, _ := strings.Cut(line, "time=")
			at, _, _ = strings.Cut(at, " ")
			if strings.Contains(line, "event=leading ") && at > newest {
				newest, leader = at, m
			}
		}
	}
	return leader
}

// awaitFront waits until a front machine serves a request on a new stream route, and returns it.
func (f *fleet) awaitFront(prefix string, timeout time.Duration) (*machine, error) {
	for until := time.Now().Add(timeout); time.Now().Before(until); {
		var mutex sync.Mutex
		var found *machine
		var probes sync.WaitGroup
		for i, m := range f.class("front") {
			probes.Go(func() {
				if f.probe(m, prefix, i) == 200 {
					mutex.Lock()
					found = m
					mutex.Unlock()
				}
			})
		}
		probes.Wait()
		if found != nil {
			return found, nil
		}
		time.Sleep(3 * time.Millisecond)
	}
	return nil, fmt.Errorf("no front machine serves %s", prefix)
}

// probe sends a short request on a stream route to a front machine and returns the status.
func (f *fleet) probe(m *machine, prefix string, number int) int {
	id := fmt.Sprintf("%014x%02x", time.Now().UnixNano()&0xffffffffffffff, number)
	header := map[string]string{"Request-Id": id, "Deadline-Ms": "2000", "Model": "m", "Token-Count": "10,6", "Prompt-Prefix": id[8:] + ":10"}
	status, _, err := call("POST", fmt.Sprintf("%s:%d", m.ip, portFront), hostName, prefix+"1", header, []byte("x"), 2*time.Second)
	f.record.write("client sends request %s on %s to %s: %d %v", id, prefix, m.name, status, err)
	return status
}

// awaitRoute waits until all front machines serve a request on a stream route.
func (f *fleet) awaitRoute(prefix string, timeout time.Duration) error {
	for until := time.Now().Add(timeout); time.Now().Before(until); {
		served := 0
		for i, m := range f.class("front") {
			if f.probe(m, prefix, i) == 200 {
				served++
			}
		}
		if served == len(f.class("front")) {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("not all front machines serve %s", prefix)
}

// checkAbandoned counts the items that are listed as abandoned. The stand-in workers answer no item
// with 500 or 422, no batch job is ended, and no route is removed.
func (f *fleet) checkAbandoned(j *job, results []result) int {
	broken := 0
	for position, row := range results {
		if row.State == "abandoned" {
			f.record.write("BROKEN: position %d of %s: item %s is abandoned", position, j.id, row.ID)
			broken++
		}
	}
	return broken
}
