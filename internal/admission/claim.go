package admission

import (
	"cmp"
	"time"
)

// Entry is what a request brings to the order in which scarce room is given out.
type Entry struct {
	// Rank goes first where it is smaller: the tenant's, or else the route's.
	Rank int
	// OverShare is set where its tenant has more than its share of the room. It counts before the
	// rank.
	OverShare bool
	// GoalDeadline is until when the first event is in time, counted from the caller's first attempt,
	// and Leaves until when the caller waits at all.
	GoalDeadline time.Time
	Deadline     time.Time
	// Retried is set where the caller was sent back before.
	Retried bool

	// Arrived is when this attempt came, Goal the time to the first event that is aimed at,
	// zero for none.
	Arrived time.Time
	Goal    time.Duration
	// FirstEventTime is how long the first event takes once the request runs, zero if unknown.
	FirstEventTime time.Duration
	// Bytes is what the request keeps in memory while it waits.
	Bytes int64
	// number orders claims that are alike by when they came.
	number uint64
	// punctualUntil and returnedUntil are until when a request that is sent to a free slot
	// is in time from the first attempt, and from the return. These, due and leaves are in
	// nanoseconds: each decision compares them for all that wait.
	punctualUntil int64
	returnedUntil int64
	due           int64
	leaves        int64
	// class is the claim's at the moment of the last decision.
	class class
}

// prepare works out what the order of claims rests on.
func (c *Entry) prepare(number uint64) {
	c.number = number
	// Predictions err, so a part of the goal is left.
	least := c.FirstEventTime + c.Goal - c.Goal*goalPart/hundreds
	c.due, c.leaves = c.GoalDeadline.UnixNano(), c.Deadline.UnixNano()
	if c.Goal <= 0 {
		// Nothing is due before the caller leaves.
		c.due = c.leaves
	}
	c.punctualUntil = c.due - int64(least)
	c.returnedUntil = c.punctualUntil
	if c.Retried {
		c.returnedUntil = c.Arrived.Add(c.Goal - least).UnixNano()
	}
}

// class orders claims before all else.
type class uint8

const (
	// punctual claims can be in time from their caller's first attempt.
	punctual class = iota
	// returned claims can be in time from their caller's return.
	returned
	// late claims can't be in time any more.
	late
)

// classAt returns the claim's class if its request is sent to a free slot at that moment.
func (c *Entry) classAt(sent time.Time) class { return c.classOf(sent.UnixNano()) }

func (c *Entry) classOf(sent int64) class {
	switch {
	case c.Goal <= 0 || sent <= c.punctualUntil:
		return punctual
	case sent <= c.returnedUntil:
		return returned
	}
	return late
}

// inTime reports whether the first event will be in time, from the first attempt or from the
// return, if the request waits so long for a slot from now on. Where no time is aimed at,
// nothing says that a wait is short enough.
func (c *Entry) inTime(now time.Time, wait time.Duration) bool {
	return c.classAt(now.Add(wait)) < late && (c.Goal > 0 || wait <= 0)
}

// indifferent reports whether no wait is short enough or too long for the claim: it has no goal, or
// one that no request of its kind keeps, however soon it is sent.
func (c *Entry) indifferent() bool { return c.FirstEventTime >= c.Goal*goalPart/hundreds }

// compare orders claims of one class: the one that goes first is smaller. The shares are divided
// by rank already, less what is kept for later ranks. So who is within its share goes before
// all who are over theirs: otherwise nothing would be kept for anybody.
func (c *Entry) compare(other *Entry, of class) int {
	if c.OverShare != other.OverShare {
		if other.OverShare {
			return -1
		}
		return 1
	}
	if c.Rank != other.Rank {
		return cmp.Compare(c.Rank, other.Rank)
	}
	order := cmp.Compare(c.due, other.due)
	if of == late {
		order = cmp.Compare(c.leaves, other.leaves)
	}
	if order != 0 {
		return order
	}
	return cmp.Compare(c.number, other.number)
}

// before reports whether the claim goes before the other, by the classes given.
func (c *Entry) before(own class, other *Entry, others class) bool {
	if own != others {
		return own < others
	}
	return c.compare(other, own) < 0
}

const (
	// goalPatience and gapPatience are how many times the goal, and the goal of pauses, a
	// caller waits for the first event of a stream before it gives up; nobody gives up in less
	// than leastPatience.
	leastPatience = 2 * time.Second
	goalPatience  = 4
	gapPatience   = 8
)

// FirstEventTimeout returns how long a caller waits for the first event of a stream with the goals.
func FirstEventTimeout(goal, gapGoal time.Duration) time.Duration {
	return max(leastPatience, goalPatience*goal, gapPatience*gapGoal)
}
