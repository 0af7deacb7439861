// Package quota divides a route's limit of waiting tokens among the store groups. It
// is pure.
//
// Each group admits jobs by itself. While it hears from all others it may take what
// they leave of the limit; without that it keeps to an even share, and the others
// count a silent group with its share, or with what it had if that is more. So the
// sum stays within the limit but for what is accepted while news are on their way,
// and within Fresh of the moment at which they cease.
package quota

import "time"

// ReportTTL is how long news of a group count.
const ReportTTL = 500 * time.Millisecond

// Tracker is what one process knows of the tokens that wait in each group. It is not
// safe for concurrent use.
type Tracker struct {
	groups []group
}

// group is what is known of a group.
type group struct {
	at      time.Time
	waiting map[uint32]int64
}

// New returns a ledger of so many groups of which nothing is known.
func New(groups int) *Tracker { return &Tracker{groups: make([]group, groups)} }

// GroupCount returns how many groups the ledger is for.
func (l *Tracker) GroupCount() int { return len(l.groups) }

// Update takes in the tokens that wait in a group by route, as they were at a moment.
// A route that is not named has none.
func (l *Tracker) Update(at time.Time, number int, waiting map[uint32]int64) {
	if number >= 0 && number < len(l.groups) && at.After(l.groups[number].at) {
		l.groups[number] = group{at: at, waiting: waiting}
	}
}

// Each calls visit with each group of which anything is known.
func (l *Tracker) Each(visit func(number int, at time.Time, waiting map[uint32]int64)) {
	for number := range l.groups {
		if known := &l.groups[number]; !known.at.IsZero() {
			visit(number, known.at, known.waiting)
		}
	}
}

// Limit returns how many tokens may wait on the route in one group, of the limit for
// all together; at least 1, because 0 means that there is no limit.
func (l *Tracker) Limit(now time.Time, number int, route uint32, limit int64) int64 {
	if limit <= 0 || len(l.groups) == 1 {
		return limit
	}
	share := limit / int64(len(l.groups))
	others, informed := int64(0), true
	for other := range l.groups {
		if other == number {
			continue
		}
		known := &l.groups[other]
		waiting := known.waiting[route]
		if known.at.IsZero() || now.Sub(known.at) > ReportTTL {
			informed = false
			waiting = max(waiting, share)
		}
		others += waiting
	}
	left := limit - others
	if !informed {
		left = min(left, share)
	}
	return max(left, 1)
}
