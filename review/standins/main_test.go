// Package standins plays the cases of the review: it starts a small deployment of sedgemast's own
// programs on loopback addresses, with stand-ins for workers, clients, the operator and the
// platform, and checks one rule. It consists of test files only, and is built as a test program
// (review/build.sh), because it is no part of the product.
package standins

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cleanUp = func() {}

// fail ends a case that could not run.
func fail(format string, values ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", values...)
	cleanUp()
	os.Exit(exitNotRun)
}

// TestMain plays the case that the arguments name, or serves as a worker.
func TestMain(*testing.M) {
	if len(os.Args) == 6 && os.Args[1] == "worker" {
		interval, _ := time.ParseDuration(os.Args[4])
		unframed, _ := strconv.Atoi(os.Args[5])
		if err := runWorker(workerSettings{ID: os.Args[2], Address: os.Args[3], Slots: workerSlots, Interval: interval, UnframedEvery: unframed}); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNotRun)
		}
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standins CASE ROOT RECORD")
		os.Exit(exitNotRun)
	}
	record, err := newRecord(os.Args[3])
	if err != nil {
		fail("%v", err)
	}
	f, err := newFleet(os.Args[2], record)
	if err != nil {
		fail("%v", err)
	}
	cleanUp = f.stop
	time.AfterFunc(115*time.Second, func() { fail("the case took too long") })
	broken := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	f.stop()
	record.write("broken: %d", broken)
	fmt.Printf("%d breaks\n", broken)
	if broken > 0 {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// cases holds the cases by name. A case returns how often its rule was broken.
var cases = map[string]func(f *fleet, trouble bool) int{
	"truncated": truncated,
	"abandoned": abandoned,
	"outage":    outage,
}

func (f *fleet) must(err error) {
	if err != nil {
		f.record.write("not run: %v", err)
		fail("%v", err)
	}
}
