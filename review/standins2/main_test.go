package standins2

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

var cases = map[string]func(r *record, trouble bool) int{
	"refused": refusedCase,
	"garble":  garbleCase,
	"quota":   quotaCase,
	"smuggle": smuggleCase,
	"mixed":   mixedCase,
}

// TestMain plays the case that the arguments name.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE RECORD")
		os.Exit(notRun)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, with the disruption: %t, begun %s", os.Args[1], trouble, time.Now().UTC().Format(time.RFC3339))
	code := cases[os.Args[1]](r, trouble)
	r.printf("exit code %d", code)
	os.Exit(code)
}

// deployment starts a small deployment with workers, and configures it.
func deployment(r *record, workers, slots int, prefill, gap time.Duration, document string) (*fleet, []*worker, error) {
	f, err := newFleet(r)
	if err != nil {
		return nil, nil, err
	}
	var all []*worker
	for i := range workers {
		w, err := newWorker(r, fmt.Sprintf("i-%08x", 0x5a000000+i), fmt.Sprintf("%s:%d", f.ip(100+i), workerPort), zones[i%len(zones)], slots, prefill, gap)
		if err != nil {
			return f, nil, err
		}
		all = append(all, w)
	}
	if f.list, err = newWorkerList(fmt.Sprintf("%s:%d", f.ip(200), workerPort), all); err != nil {
		return f, nil, err
	}
	f.addSmallDeployment()
	if err := f.startAll(); err != nil {
		return f, nil, err
	}
	if !f.configure(document, 30*time.Second) {
		return f, nil, fmt.Errorf("no configuration was acknowledged")
	}
	f.first = false
	if !f.awaitReady(30 * time.Second) {
		return f, nil, fmt.Errorf("the fronts are not ready")
	}
	return f, all, nil
}
