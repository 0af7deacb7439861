// Package batchplan says in which order the items of jobs run, and which of them
// give way to online requests. It is pure.
//
// The order is by slack among the items that can still be done in time: how much later
// they could begin. So long items begin sooner than short ones that are due with them, and
// both come in time alike. The others come after them, in the same order. So an overload makes
// some items late rather than all of them, and what is late runs as soon as a slot is free.
package batchplan

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// overdueShare is the part, in hundredths, of the time that an item still takes
	// without a stop, below which it is not worth the try. It is more than all of it:
	// where items are late at all, they are also stopped now and then, and slowed down
	// by the prompts of others.
	overdueShare = 110
	hundredths   = 100
)

// Overdue reports whether an item of the given age, whose result is due at the age
// due (zero for never) and which takes remaining until its end, will be late.
func Overdue(age, due, remaining time.Duration) bool {
	return due > 0 && due-age <= remaining*overdueShare/hundredths
}

// Item is an item as the order sees it.
type Item struct {
	Job    string
	Number int
	// Sequence numbers jobs as they were accepted.
	Sequence uint64
	// Overdue is set where it will be late.
	Overdue bool
	// Slack is how much later than now it could begin and still be in time.
	Slack time.Duration
	// Remaining is how long it takes until its end, and Holder whose item it is, for Share.
	Remaining time.Duration
	Owner     Owner
}

// neverDue is the slack of an item whose result is due at no time.
const neverDue = time.Duration(math.MaxInt64)

// Slack returns how much later an item could begin, see Overdue.
func Slack(age, due, remaining time.Duration) time.Duration {
	if due <= 0 {
		return neverDue
	}
	return due - age - remaining
}

// Sort puts items in the order in which they run.
func Sort(items []Item) {
	slices.SortFunc(items, func(a, b Item) int {
		if a.Overdue != b.Overdue {
			return boolOrder(a.Overdue)
		}
		return cmp.Or(cmp.Compare(a.Slack, b.Slack), cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.Number, b.Number))
	})
}

// boolOrder puts what is set last.
func boolOrder(set bool) int {
	if set {
		return 1
	}
	return -1
}

// PreemptedBefore reports whether the first item gives way before the second:
// overdue ones first, then those with more slack, then those of later jobs.
func PreemptedBefore(first, second Item) bool {
	if first.Overdue != second.Overdue {
		return first.Overdue
	}
	if first.Slack != second.Slack {
		return first.Slack > second.Slack
	}
	return first.Sequence > second.Sequence
}

// PreemptedInAdvanceBefore reports whether the first item leaves before the second where requests are
// still to come, so that it may be chosen who leaves, and each will wait so long about:
// overdue ones first, then those that will be in time all the same, those nearest to their
// end last, because they are the next to make room by themselves; then those with more
// slack, and those of later jobs.
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

// RunTime is a running mean of how long items run and how many events they have.
// The zero value is ready for use.
type RunTime struct {
	mean   time.Duration
	events float64
}

const (
	// firstRunTime stands in before any item has run.
	firstRunTime = 2 * time.Second
	// weight is the part of a new value in the mean: one in so many.
	weight = 16
	// leastLeft is the part of a run, one in so many, that is always taken to
	// be left: items are of different lengths.
	leastLeft = 6
)

// Mean returns how long a whole run takes.
func (r *RunTime) Mean() time.Duration {
	if r.mean == 0 {
		return firstRunTime
	}
	return r.mean
}

// Add takes in how long an item ran that was never stopped, and its events.
func (r *RunTime) Add(run time.Duration, events int) {
	r.mean = r.Mean() + (run-r.Mean())/weight
	if r.events == 0 {
		r.events = float64(events)
	}
	r.events += (float64(events) - r.events) / weight
}

// Remaining returns how long an item takes that has so many events, of so many expected;
// zero where none are expected.
func (r *RunTime) Remaining(events int, expected float64) time.Duration {
	if r.events == 0 {
		return r.Mean()
	}
	if expected <= 0 {
		expected = r.events
	}
	left := max(expected-float64(events), expected/leastLeft)
	return time.Duration(left / r.events * float64(r.Mean()))
}
