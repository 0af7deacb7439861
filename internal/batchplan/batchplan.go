// Package batchplan decides in which order the items of jobs run, and which of them are preempted
// for online requests. It does no I/O and reads no clock.
//
// Items that can still meet their deadline run first, in the order of their slack: how much later
// they could start. Of items with the same deadline, long ones therefore start before short ones,
// so that both finish in time. Overdue items follow, in the same order. An overload thus makes
// only some items late rather than all of them, and overdue items still run as soon as a slot is
// free.
package batchplan

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// requiredTimePercent is the time that an item must have until its deadline to count as in
	// time, in percent of its remaining run time. It is above 100 because under load an item is
	// also preempted now and then, and slowed down by the prefill of other prompts.
	requiredTimePercent = 110
	hundredPercent      = 100
)

// Overdue reports whether an item is expected to miss its deadline: age is the time since it was
// submitted, due the age at which its result is due (zero for never), and remaining its remaining
// run time.
func Overdue(age, due, remaining time.Duration) bool {
	return due > 0 && due-age <= remaining*requiredTimePercent/hundredPercent
}

// Item is what the order of items depends on.
type Item struct {
	Job    string
	Number int
	// Sequence is the number of the job in the order of acceptance.
	Sequence uint64
	// Overdue is set if the item is expected to miss its deadline.
	Overdue bool
	// Slack is how much later than now the item could start and still meet its deadline.
	Slack time.Duration
	// Remaining is the remaining run time. Owner is the tenant whose item it is, for ApplyShares.
	Remaining time.Duration
	Owner     Owner
}

// noDeadlineSlack is the slack of an item without a deadline.
const noDeadlineSlack = time.Duration(math.MaxInt64)

// Slack returns how much later than now an item could start and still meet its deadline. The
// parameters are those of Overdue.
func Slack(age, due, remaining time.Duration) time.Duration {
	if due <= 0 {
		return noDeadlineSlack
	}
	return due - age - remaining
}

// Sort sorts items into the order in which they run.
func Sort(items []Item) {
	slices.SortFunc(items, func(a, b Item) int {
		if a.Overdue != b.Overdue {
			return boolOrder(a.Overdue)
		}
		return cmp.Or(cmp.Compare(a.Slack, b.Slack), cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.Number, b.Number))
	})
}

// boolOrder compares two different flags, of which set is the first: a flag that is set sorts
// last.
func boolOrder(set bool) int {
	if set {
		return 1
	}
	return -1
}

// PreemptedBefore reports whether the first item is preempted before the second: overdue items
// first, then those with more slack, then those of later jobs.
func PreemptedBefore(first, second Item) bool {
	if first.Overdue != second.Overdue {
		return first.Overdue
	}
	if first.Slack != second.Slack {
		return first.Slack > second.Slack
	}
	return first.Sequence > second.Sequence
}

// PreemptedInAdvanceBefore reports whether the first item is preempted before the second for online
// requests that have not arrived yet, so that there is time to choose. A preempted item waits for
// about wait before it runs again. Overdue items come first. Items that meet their deadline despite
// the wait come next; of these, the ones nearest to their end come last, because they soon free
// their slots anyway. The remaining items are ordered by PreemptedBefore.
func PreemptedInAdvanceBefore(first, second Item, wait time.Duration) bool {
	if first.Overdue != second.Overdue {
		return first.Overdue
	}
	firstSafe, secondSafe := first.Slack > wait, second.Slack > wait
	if firstSafe != secondSafe {
		return firstSafe
	}
	if firstSafe && first.Remaining != second.Remaining {
		return first.Remaining > second.Remaining
	}
	return PreemptedBefore(first, second)
}

// RunTime keeps moving means of the run time of items and of their number of events. The zero
// value is ready for use.
type RunTime struct {
	mean   time.Duration
	events float64
}

const (
	// initialRunTime is the mean before any item has run.
	initialRunTime = 2 * time.Second
	// meanSamples is the inverse of the weight of a new sample in the means.
	meanSamples = 16
	// minRemainingDivisor sets the least remaining part of a run, as its inverse: at least a sixth
	// of the run is assumed to remain, because items differ in length.
	minRemainingDivisor = 6
)

// Mean returns the mean time of a whole run.
func (r *RunTime) Mean() time.Duration {
	if r.mean == 0 {
		return initialRunTime
	}
	return r.mean
}

// Add records the run time and the number of events of an item that was never preempted.
func (r *RunTime) Add(run time.Duration, events int) {
	r.mean = r.Mean() + (run-r.Mean())/meanSamples
	if r.events == 0 {
		r.events = float64(events)
	}
	r.events += (float64(events) - r.events) / meanSamples
}

// Remaining returns the remaining run time of an item that has produced the given number of
// events and is expected to produce expected in total. If expected is zero, the mean number of
// events is used.
func (r *RunTime) Remaining(events int, expected float64) time.Duration {
	if r.events == 0 {
		return r.Mean()
	}
	if expected <= 0 {
		expected = r.events
	}
	remainingEvents := max(expected-float64(events), expected/minRemainingDivisor)
	return time.Duration(remainingEvents / r.events * float64(r.Mean()))
}
