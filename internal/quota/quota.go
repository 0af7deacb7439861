// Package quota divides a route's limit of waiting tokens among the store groups. It does no I/O
// and reads no clock.
//
// Each group admits jobs by itself. While a group has recent reports of all other groups, it may
// use what they leave of the limit. While a recent report of any other group is missing, it uses at
// most an even share of the limit. For a group without a recent report, the tokens that wait there
// are taken to be an even share of the limit, or the number in its last report if that is more. The
// sum over the groups thus stays within the limit, except for jobs that are accepted while reports
// are in transit, or within ReportTTL after reports cease.
package quota

import "time"

// ReportTTL is how long the report of a group counts.
const ReportTTL = 500 * time.Millisecond

// Tracker holds what one process knows of the tokens that wait in each group. It is not safe for
// concurrent use.
type Tracker struct {
	groups []group
}

// group is the last report of a group.
type group struct {
	at      time.Time
	waiting map[uint32]int64
}

// New returns a tracker of the given number of groups, without reports.
func New(groups int) *Tracker { return &Tracker{groups: make([]group, groups)} }

// GroupCount returns the number of groups.
func (t *Tracker) GroupCount() int { return len(t.groups) }

// Update stores the tokens that wait in a group, by route, as of the given time. A route that is
// absent has none. A report that is not newer than the last one is ignored.
func (t *Tracker) Update(at time.Time, number int, waiting map[uint32]int64) {
	if number >= 0 && number < len(t.groups) && at.After(t.groups[number].at) {
		t.groups[number] = group{at: at, waiting: waiting}
	}
}

// Each calls visit for each group with a report.
func (t *Tracker) Each(visit func(number int, at time.Time, waiting map[uint32]int64)) {
	for number := range t.groups {
		if last := &t.groups[number]; !last.at.IsZero() {
			visit(number, last.at, last.waiting)
		}
	}
}

// Limit returns how many tokens may wait on the route in one group, if limit is the limit for all
// groups together. The result is at least 1, because 0 means that there is no limit.
func (t *Tracker) Limit(now time.Time, number int, route uint32, limit int64) int64 {
	if limit <= 0 || len(t.groups) == 1 {
		return limit
	}
	share := limit / int64(len(t.groups))
	waitingElsewhere, complete := int64(0), true
	for other := range t.groups {
		if other == number {
			continue
		}
		last := &t.groups[other]
		waiting := last.waiting[route]
		if last.at.IsZero() || now.Sub(last.at) > ReportTTL {
			complete = false
			waiting = max(waiting, share)
		}
		waitingElsewhere += waiting
	}
	remaining := limit - waitingElsewhere
	if !complete {
		remaining = min(remaining, share)
	}
	return max(remaining, 1)
}
