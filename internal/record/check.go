package record

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// cancelBound is how long after a cancel an item may still be started: the lease
// of an item, a call, and room.
const cancelBound = 8 * time.Second

// Violation is a promise that the record shows broken.
type Violation struct {
	Promise string
	At      time.Time
	Text    string
}

// Report is what a check found.
type Report struct {
	Violations []Violation
	// Counts says how many facts each check looked at: a check that saw none
	// has shown nothing.
	Counts map[string]int
}

// checker holds what the events have shown so far.
type checker struct {
	report     Report
	revisions  map[uint64]string
	changes    map[string]uint64
	inForce    map[string]uint64
	leaders    map[string]string
	owners     map[string]string
	epochs     map[string]uint64
	starts     map[string]int
	atMostOnce map[string]bool
	notRun     map[string]bool
	jobs       map[string]bool
	cancelled  map[string]time.Time
}

// Check checks the events of a run, which must be in the order of time.
func Check(events []Event) *Report {
	c := &checker{
		report:     Report{Counts: map[string]int{}},
		revisions:  map[uint64]string{},
		changes:    map[string]uint64{},
		inForce:    map[string]uint64{},
		leaders:    map[string]string{},
		owners:     map[string]string{},
		epochs:     map[string]uint64{},
		starts:     map[string]int{},
		atMostOnce: map[string]bool{},
		notRun:     map[string]bool{},
		jobs:       map[string]bool{},
		cancelled:  map[string]time.Time{},
	}
	for i := range events {
		c.take(&events[i])
	}
	c.finish(events)
	return &c.report
}

// Promises as the checks name them.
const (
	promiseRevisions  = "configuration: one line of revisions"
	promiseForward    = "configuration never goes back"
	promiseLeader     = "one leader of a group in a term"
	promiseOwner      = "one owner of a worker in an epoch"
	promiseAtMostOnce = "at most once"
	promiseNotRun     = "not run is true"
	promiseResend     = "a resent job is the same job"
	promiseCancel     = "a cancelled job stops"
)

func (c *checker) violate(event *Event, promise, format string, arguments ...any) {
	c.report.Violations = append(c.report.Violations, Violation{Promise: promise, At: event.At, Text: fmt.Sprintf(format, arguments...)})
}

func (c *checker) saw(promise string) { c.report.Counts[promise]++ }

func (c *checker) take(event *Event) {
	switch event.Name {
	case "configuration_accepted":
		c.takeAccepted(event)
	case "started":
		delete(c.inForce, event.Process)
	case "configuration_in_force":
		c.takeInForce(event)
	case "leading":
		c.takeLeading(event)
	case "worker_assigned":
		c.takeAssigned(event)
	case "attempt_started":
		c.takeStart(event)
	case "request_accepted":
		c.atMostOnce[event.Field("request")] = event.Field("at_most_once") == "true"
	case "request_refused":
		if event.Field("kind") == "not_run" {
			c.notRun[event.Field("request")] = true
		}
	case "job_accepted":
		c.takeJob(event)
	case "job_cancelled":
		if event.Field("state") == "cancelled" {
			c.cancelled[event.Field("job")] = event.At
		}
	}
}

func (c *checker) takeAccepted(event *Event) {
	c.saw(promiseRevisions)
	revision, change := event.Uint("revision"), event.Field("change")
	if other, taken := c.revisions[revision]; taken && other != change {
		c.violate(event, promiseRevisions, "revision %d is change %s and change %s", revision, other, change)
	}
	if other, known := c.changes[change]; known && other != revision {
		c.violate(event, promiseRevisions, "change %s is revision %d and revision %d", change, other, revision)
	}
	c.revisions[revision] = change
	c.changes[change] = revision
}

func (c *checker) takeInForce(event *Event) {
	c.saw(promiseForward)
	revision := event.Uint("revision")
	if before := c.inForce[event.Process]; revision < before {
		c.violate(event, promiseForward, "%s went from revision %d to %d", event.Process, before, revision)
	}
	c.inForce[event.Process] = revision
}

func (c *checker) takeLeading(event *Event) {
	c.saw(promiseLeader)
	key := event.Field("group") + " in term " + event.Field("term")
	if other, led := c.leaders[key]; led && other != event.Process {
		c.violate(event, promiseLeader, "%s and %s led group %s", other, event.Process, key)
	}
	c.leaders[key] = event.Process
}

func (c *checker) takeAssigned(event *Event) {
	c.saw(promiseOwner)
	worker, owner, epoch := event.Field("worker"), event.Field("dispatcher"), event.Uint("epoch")
	key := fmt.Sprintf("%s in epoch %d", worker, epoch)
	if other, owned := c.owners[key]; owned && other != owner {
		c.violate(event, promiseOwner, "%s and %s own %s", other, owner, key)
	}
	if epoch < c.epochs[worker] {
		c.violate(event, promiseOwner, "%s went back from epoch %d to %d", worker, c.epochs[worker], epoch)
	}
	c.owners[key] = owner
	c.epochs[worker] = epoch
}

func (c *checker) takeStart(event *Event) {
	attempt := event.Field("attempt")
	request := attempt[:max(0, strings.LastIndexByte(attempt, '-'))]
	c.starts[request]++
	job := request[:max(0, strings.LastIndexByte(request, '-'))]
	since, cancelled := c.cancelled[job]
	if !cancelled {
		return
	}
	c.saw(promiseCancel)
	if late := event.At.Sub(since); late > cancelBound {
		c.violate(event, promiseCancel, "an item of %s was started %s after its cancel", job, late)
	}
}

func (c *checker) takeJob(event *Event) {
	c.saw(promiseResend)
	job := event.Field("job")
	if event.Field("repeated") == "false" && c.jobs[job] {
		c.violate(event, promiseResend, "job %s was accepted twice as a new one", job)
	}
	c.jobs[job] = true
}

// finish checks what only the whole record shows.
func (c *checker) finish(events []Event) {
	if len(events) == 0 {
		return
	}
	last := &events[len(events)-1]
	for request, once := range c.atMostOnce {
		if once {
			c.saw(promiseAtMostOnce)
		}
		if once && c.starts[request] > 1 {
			c.violate(last, promiseAtMostOnce, "request %s, which may not be repeated, was started %d times", request, c.starts[request])
		}
	}
	for request := range c.notRun {
		c.saw(promiseNotRun)
		if c.starts[request] > 0 {
			c.violate(last, promiseNotRun, "request %s was answered not run and was started %d times", request, c.starts[request])
		}
	}
}

// Print writes the report as text.
func (r *Report) Print(out io.Writer) {
	for _, promise := range []string{promiseRevisions, promiseForward, promiseLeader, promiseOwner, promiseAtMostOnce, promiseNotRun, promiseResend, promiseCancel} {
		fmt.Fprintf(out, "%-40s %6d facts, %d violations\n", promise, r.Counts[promise], r.broken(promise))
	}
	for _, violation := range r.Violations {
		fmt.Fprintf(out, "VIOLATION of %q at %s: %s\n", violation.Promise, violation.At.Format(time.RFC3339Nano), violation.Text)
	}
}

func (r *Report) broken(promise string) int {
	count := 0
	for i := range r.Violations {
		if r.Violations[i].Promise == promise {
			count++
		}
	}
	return count
}
