package standins

import (
	"syscall"
	"time"
)

const (
	// startSpread is how much later than the first seed the other machines start.
	startSpread = 250 * time.Millisecond
	// killAfter is how long after its first start the first seed's process is killed, and killedFor
	// how long it is down. Its disk stays.
	killAfter = 150 * time.Millisecond
	killedFor = 500 * time.Millisecond
	// ackWithin bounds the wait for the acknowledgement of the first configuration, and serveWithin
	// the wait for the first request that is served.
	ackWithin   = 60 * time.Second
	serveWithin = 15 * time.Second
)

// outage checks that the system serves requests after one control process was killed and started
// again.
func outage(f *fleet, trouble bool) int {
	for i := range 3 {
		f.must(f.addWorker(i))
	}
	f.spread = startSpread
	if trouble {
		time.AfterFunc(killAfter, func() {
			seed := f.machines["core1"]
			f.signal(syscall.SIGKILL, seed)
			<-seed.waited
			time.Sleep(killedFor)
			f.must(f.startMachine(seed))
		})
	}
	f.must(f.start())
	if err := f.putConfiguration(1, ackWithin, streamRoute("r-1", "/lohu930/")); err != nil {
		f.record.write("%v", err)
	}
	if err := f.awaitRoute("/lohu930/", serveWithin); err != nil {
		f.record.write("BROKEN: no request was served: %v", err)
		return 1
	}
	return 0
}
