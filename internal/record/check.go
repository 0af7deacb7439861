package record

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// maxStartAfterCancel is the time after the cancellation of a job in which its items may still be
// started. It covers the lease of an item, one call and a margin.
const maxStartAfterCancel = 8 * time.Second

// Violation is a broken promise, found at the event at time At.
type Violation struct {
	Promise string
	At      time.Time
	Text    string
}

// Report is the result of a check.
type Report struct {
	Violations []Violation
	// Counts holds, for each promise, the number of facts that were checked. A promise without a
	// checked fact was not tested by the run.
	Counts map[string]int
}

// checker holds what the events so far have shown.
type checker struct {
	report Report
	// revisions holds the change of each revision, changes the revision of each change.
	revisions map[uint64]string
	changes   map[string]uint64
	// inForce holds the configuration revision of each process.
	inForce map[string]uint64
	// leaders holds the leader of each group and term.
	leaders map[string]string
	// owners holds the dispatcher of each worker and epoch, epochs the latest epoch of each worker.
	owners map[string]string
	epochs map[string]uint64
	// starts holds the number of attempts that were started for each request.
	starts     map[string]int
	atMostOnce map[string]bool
	notRun     map[string]bool
	jobs       map[string]bool
	// cancelled holds the time at which each job was cancelled.
	cancelled map[string]time.Time
}

// Check checks the events of a run, which must be sorted by time.
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
		c.observe(&events[i])
	}
	c.checkWholeRun(events)
	return &c.report
}

// Promises, as the report names them.
const (
	promiseRevisions  = "one configuration change per revision"
	promiseMonotonic  = "configuration revisions never decrease"
	promiseLeader     = "one leader of a group in a term"
	promiseOwner      = "one owner of a worker in an epoch"
	promiseAtMostOnce = "at most once"
	promiseNotRun     = "a request answered not_run never ran"
	promiseResend     = "a resent job is the same job"
	promiseCancel     = "a cancelled job stops"
)

func (c *checker) addViolation(event *Event, promise, format string, arguments ...any) {
	c.report.Violations = append(c.report.Violations, Violation{Promise: promise, At: event.At, Text: fmt.Sprintf(format, arguments...)})
}

func (c *checker) count(promise string) { c.report.Counts[promise]++ }

func (c *checker) observe(event *Event) {
	switch event.Name {
	case "configuration_accepted":
		c.observeAccepted(event)
	case "started":
		delete(c.inForce, event.Process)
	case "configuration_in_force":
		c.observeInForce(event)
	case "leading":
		c.observeLeading(event)
	case "worker_assigned":
		c.observeAssigned(event)
	case "attempt_started":
		c.observeStart(event)
	case "request_accepted":
		c.atMostOnce[event.Field("request")] = event.Field("at_most_once") == "true"
	case "request_refused":
		if event.Field("kind") == "not_run" {
			c.notRun[event.Field("request")] = true
		}
	case "job_accepted":
		c.observeJob(event)
	case "job_cancelled":
		if event.Field("state") == "cancelled" {
			c.cancelled[event.Field("job")] = event.At
		}
	}
}

func (c *checker) observeAccepted(event *Event) {
	c.count(promiseRevisions)
	revision, change := event.Uint("revision"), event.Field("change")
	if other, known := c.revisions[revision]; known && other != change {
		c.addViolation(event, promiseRevisions, "revision %d was assigned to change %s and to change %s", revision, other, change)
	}
	if other, known := c.changes[change]; known && other != revision {
		c.addViolation(event, promiseRevisions, "change %s was accepted as revision %d and as revision %d", change, other, revision)
	}
	c.revisions[revision] = change
	c.changes[change] = revision
}

func (c *checker) observeInForce(event *Event) {
	c.count(promiseMonotonic)
	revision := event.Uint("revision")
	if before := c.inForce[event.Process]; revision < before {
		c.addViolation(event, promiseMonotonic, "%s went from revision %d to %d", event.Process, before, revision)
	}
	c.inForce[event.Process] = revision
}

func (c *checker) observeLeading(event *Event) {
	c.count(promiseLeader)
	key := event.Field("group") + " in term " + event.Field("term")
	if other, led := c.leaders[key]; led && other != event.Process {
		c.addViolation(event, promiseLeader, "%s and %s led group %s", other, event.Process, key)
	}
	c.leaders[key] = event.Process
}

func (c *checker) observeAssigned(event *Event) {
	c.count(promiseOwner)
	worker, owner, epoch := event.Field("worker"), event.Field("dispatcher"), event.Uint("epoch")
	key := fmt.Sprintf("%s in epoch %d", worker, epoch)
	if other, owned := c.owners[key]; owned && other != owner {
		c.addViolation(event, promiseOwner, "%s and %s own %s", other, owner, key)
	}
	if epoch < c.epochs[worker] {
		c.addViolation(event, promiseOwner, "%s went from epoch %d to %d", worker, c.epochs[worker], epoch)
	}
	c.owners[key] = owner
	c.epochs[worker] = epoch
}

func (c *checker) observeStart(event *Event) {
	attempt := event.Field("attempt")
	request := attempt[:max(0, strings.LastIndexByte(attempt, '-'))]
	c.starts[request]++
	job := request[:max(0, strings.LastIndexByte(request, '-'))]
	cancelledAt, cancelled := c.cancelled[job]
	if !cancelled {
		return
	}
	c.count(promiseCancel)
	if delay := event.At.Sub(cancelledAt); delay > maxStartAfterCancel {
		c.addViolation(event, promiseCancel, "an item of job %s was started %s after the job was cancelled", job, delay)
	}
}

func (c *checker) observeJob(event *Event) {
	c.count(promiseResend)
	job := event.Field("job")
	if event.Field("repeated") == "false" && c.jobs[job] {
		c.addViolation(event, promiseResend, "job %s was accepted twice as a new one", job)
	}
	c.jobs[job] = true
}

// checkWholeRun checks the promises that depend on all events of the run.
func (c *checker) checkWholeRun(events []Event) {
	if len(events) == 0 {
		return
	}
	last := &events[len(events)-1]
	for request, once := range c.atMostOnce {
		if once {
			c.count(promiseAtMostOnce)
		}
		if once && c.starts[request] > 1 {
			c.addViolation(last, promiseAtMostOnce, "request %s, which must run at most once, was started %d times", request, c.starts[request])
		}
	}
	for request := range c.notRun {
		c.count(promiseNotRun)
		if c.starts[request] > 0 {
			c.addViolation(last, promiseNotRun, "request %s was answered not_run but was started %d times", request, c.starts[request])
		}
	}
}

// Print writes the report as text: one line per promise, then the violations.
func (r *Report) Print(out io.Writer) {
	for _, promise := range []string{promiseRevisions, promiseMonotonic, promiseLeader, promiseOwner, promiseAtMostOnce, promiseNotRun, promiseResend, promiseCancel} {
		fmt.Fprintf(out, "%-40s %6d facts, %d violations\n", promise, r.Counts[promise], r.violationCount(promise))
	}
	for _, violation := range r.Violations {
		fmt.Fprintf(out, "VIOLATION of %q at %s: %s\n", violation.Promise, violation.At.Format(time.RFC3339Nano), violation.Text)
	}
}

func (r *Report) violationCount(promise string) int {
	count := 0
	for i := range r.Violations {
		if r.Violations[i].Promise == promise {
			count++
		}
	}
	return count
}
