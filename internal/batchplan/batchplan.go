// Package batchplan says in which order the items of jobs run, and which of them
// give way to online requests. It is pure.
//
// The order is by due time among the jobs that can still be done in time; the
// others come after them, in the same order. So an overload makes some jobs late
// rather than all of them, and what is late runs as soon as there is room.
package batchplan

import (
	"sort"
	"time"
)

// Urgency says how near a job's due time is.
type Urgency uint8

const (
	// Patient jobs have time to spare: their items give way to online requests.
	Patient Urgency = iota
	// Urgent jobs are done in time only if they go on now.
	Urgent
	// Overdue jobs can't be done in time any more.
	Overdue
)

// Shares of a run's time, in hundredths: a job is urgent while less than
// urgentShare of it is left until its due time, and overdue with less than
// overdueShare.
const (
	urgentShare  = 200
	overdueShare = 70
	hundredths   = 100
)

// Classify returns the urgency of a job of the given age, whose results are due
// at the age due (zero for never), where one item takes run.
func Classify(age, due, run time.Duration) Urgency {
	left := due - age
	switch {
	case due <= 0 || left > run*urgentShare/hundredths:
		return Patient
	case left > run*overdueShare/hundredths:
		return Urgent
	}
	return Overdue
}

// Job is a job as the order sees it.
type Job struct {
	ID string
	// Order numbers jobs as they were accepted.
	Order   uint64
	Urgency Urgency
}

// Sort puts jobs in the order in which their items run.
func Sort(jobs []Job) {
	sort.Slice(jobs, func(a, b int) bool {
		first, second := jobs[a].Urgency == Overdue, jobs[b].Urgency == Overdue
		if first != second {
			return second
		}
		return jobs[a].Order < jobs[b].Order
	})
}

// YieldsBefore reports whether an item of the first job gives way before one of
// the second: overdue ones first, then those of later jobs.
func YieldsBefore(first, second Job) bool {
	if (first.Urgency == Overdue) != (second.Urgency == Overdue) {
		return first.Urgency == Overdue
	}
	return first.Order > second.Order
}

// Yields reports whether items of the job give way to online requests at all.
func (j Job) Yields() bool { return j.Urgency != Urgent }

// RunTime is a running mean of how long items run.
type RunTime struct{ mean time.Duration }

const (
	// firstRunTime stands in before any item has run.
	firstRunTime = 2 * time.Second
	// weight is the part of a new value in the mean: one in so many.
	weight = 16
)

// Mean returns the mean.
func (r *RunTime) Mean() time.Duration {
	if r.mean == 0 {
		return firstRunTime
	}
	return r.mean
}

// Add takes in how long an item ran that was never stopped.
func (r *RunTime) Add(run time.Duration) { r.mean = r.Mean() + (run-r.Mean())/weight }
