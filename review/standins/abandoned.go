package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// storesFrozen is how long the stores stand still before the operator's change, and
	// coreDown how long the core is down after it.
	storesFrozen = 900 * time.Millisecond
	coreDown     = 3600 * time.Millisecond
)

// abandoned checks that no item is given up while its batch job is open, its route is there and no
// attempt has failed.
func abandoned(f *fleet, trouble bool) int {
	for i := range 6 {
		f.must(f.addWorker(i))
	}
	f.must(f.start())
	online, first, second := streamRoute("r-1", "/lohu930/"), batchRoute("r-2", "/pule252/"), batchRoute("r-3", "/wami481/")
	f.must(f.putConfiguration(1, 20*time.Second, online, first))
	f.must(f.awaitReady(20 * time.Second))
	before := newJob("1a0e09b52d6a3f80", "/pule252/", 20, 20)
	f.must(f.submit(before, 20*time.Second))
	broken := f.checkAbandoned(before, f.readAll(before, 20*time.Second))

	if trouble {
		f.signal(syscall.SIGSTOP, f.class("store")...)
		time.Sleep(storesFrozen)
	}
	f.must(f.putConfiguration(2, 5*time.Second, online, first, second, streamRoute("r-4", "/tuke662/")))
	f.must(f.awaitRoute("/tuke662/", 3*time.Second))
	if trouble {
		f.signal(syscall.SIGKILL, f.class("core")...)
		down := time.Now()
		f.signal(syscall.SIGCONT, f.class("store")...)
		time.AfterFunc(coreDown-time.Since(down), func() {
			for _, m := range f.class("core") {
				f.must(f.startMachine(m))
			}
		})
	}
	var jobs []*job
	for i := range 6 {
		j := newJob(fmt.Sprintf("%x41e09b52d6a3f8%d", 7+i, i), "/wami481/", 20, 20)
		f.must(f.submit(j, 10*time.Second))
		jobs = append(jobs, j)
	}
	time.Sleep(6 * time.Second)
	for _, j := range jobs {
		results := f.readAll(j, 20*time.Second)
		f.record.write("%d of %d items of %s listed", len(results), len(j.items), j.id)
		broken += f.checkAbandoned(j, results) + f.checkTexts(j, results)
	}
	return broken
}

// awaitRoute waits until all front machines serve a request on a stream route.
func (f *fleet) awaitRoute(prefix string, timeout time.Duration) error {
	until := time.Now().Add(timeout)
	for time.Now().Before(until) {
		served := 0
		for i, m := range f.class("front") {
			id := fmt.Sprintf("c0ffee%04x%d", time.Now().UnixNano()&0xffff, i)
			status, _, err := call("POST", fmt.Sprintf("%s:%d", m.ip, portFront), hostName, prefix+"1", map[string]string{"Request-Id": id, "Deadline-Ms": "2000", "Model": "m", "Token-Count": "100,12", "Prompt-Prefix": "5c1e07a2:100"}, []byte("x"), 2*time.Second)
			f.record.write("client sends request %s on %s to %s: %d %v", id, prefix, m.name, status, err)
			if status == 200 {
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
