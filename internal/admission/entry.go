package admission

import (
	"cmp"
	"time"
)

// Entry is a queued request, with the attributes that determine its position in the queue.
type Entry struct {
	// Rank is the tenant's rank, or the route's rank if the tenant has none. The smaller rank goes
	// first.
	Rank int
	// OverShare is set if the tenant uses more than its share of the capacity. Entries are ordered
	// by OverShare before they are ordered by rank.
	OverShare bool
	// GoalDeadline is until when the first event meets its goal, counted from the caller's first
	// attempt. Deadline is until when the caller waits at all.
	GoalDeadline time.Time
	Deadline     time.Time
	// Retried is set if the caller was rejected before and this is its retry.
	Retried bool

	// Arrived is when this attempt came. Goal is the target time to the first event, zero for
	// none.
	Arrived time.Time
	Goal    time.Duration
	// FirstEventTime is the time to the first event once the request runs, zero if unknown.
	FirstEventTime time.Duration
	// Bytes is the memory that the request occupies while it waits.
	Bytes int64
	// sequence numbers the entries in the order of arrival; it breaks ties.
	sequence uint64
	// dispatchBy and retryDispatchBy are the latest times at which dispatch to a free slot still
	// meets the goal, counted from the first attempt and from the retry. These two and the
	// deadlines below are in Unix nanoseconds because each decision compares them for all
	// waiting entries.
	dispatchBy        int64
	retryDispatchBy   int64
	goalDeadlineNanos int64
	deadlineNanos     int64
	// tier is the entry's tier as of the last decision.
	tier tier
}

// prepare computes the fields that the order of entries depends on.
func (e *Entry) prepare(sequence uint64) {
	e.sequence = sequence
	// Keeps a part of the goal as a margin because predictions are inexact.
	minLead := e.FirstEventTime + e.Goal - e.Goal*goalPercent/hundredPercent
	e.goalDeadlineNanos, e.deadlineNanos = e.GoalDeadline.UnixNano(), e.Deadline.UnixNano()
	if e.Goal <= 0 {
		// Without a goal, the entry is due at the caller's deadline.
		e.goalDeadlineNanos = e.deadlineNanos
	}
	e.dispatchBy = e.goalDeadlineNanos - int64(minLead)
	e.retryDispatchBy = e.dispatchBy
	if e.Retried {
		e.retryDispatchBy = e.Arrived.Add(e.Goal - minLead).UnixNano()
	}
}

// tier is the first criterion in the order of entries.
type tier uint8

const (
	// tierOnTime entries can still meet the goal counted from the caller's first attempt.
	tierOnTime tier = iota
	// tierRetryOnTime entries can still meet the goal counted from the caller's retry.
	tierRetryOnTime
	// tierLate entries can't meet the goal any more.
	tierLate
)

// tierAt returns the entry's tier if it is dispatched to a free slot at the given time.
func (e *Entry) tierAt(dispatchedAt time.Time) tier { return e.tierAtNanos(dispatchedAt.UnixNano()) }

func (e *Entry) tierAtNanos(dispatchedAt int64) tier {
	switch {
	case e.Goal <= 0 || dispatchedAt <= e.dispatchBy:
		return tierOnTime
	case dispatchedAt <= e.retryDispatchBy:
		return tierRetryOnTime
	}
	return tierLate
}

// meetsGoal reports whether the first event meets the goal, from the first attempt or from the
// retry, if the entry waits for a slot for the given time from now on. Without a goal, no wait can
// be called short enough, so only an entry that need not wait meets it.
func (e *Entry) meetsGoal(now time.Time, wait time.Duration) bool {
	return e.tierAt(now.Add(wait)) < tierLate && (e.Goal > 0 || wait <= 0)
}

// lacksAttainableGoal reports whether the wait makes no difference to the entry's goal: it has
// none, or one that requests of its kind miss even if they are dispatched at once.
func (e *Entry) lacksAttainableGoal() bool {
	return e.FirstEventTime >= e.Goal*goalPercent/hundredPercent
}

// compare orders two entries of the same tier, ownTier: the smaller one goes first. The shares are
// divided by rank already, after a part is reserved for later ranks. So entries within their
// tenants' shares go before all entries over them, whatever the rank: otherwise nothing would stay
// reserved for later ranks.
func (e *Entry) compare(other *Entry, ownTier tier) int {
	if e.OverShare != other.OverShare {
		if other.OverShare {
			return -1
		}
		return 1
	}
	if e.Rank != other.Rank {
		return cmp.Compare(e.Rank, other.Rank)
	}
	order := cmp.Compare(e.goalDeadlineNanos, other.goalDeadlineNanos)
	if ownTier == tierLate {
		order = cmp.Compare(e.deadlineNanos, other.deadlineNanos)
	}
	if order != 0 {
		return order
	}
	return cmp.Compare(e.sequence, other.sequence)
}

// before reports whether the entry goes before the other, given their tiers.
func (e *Entry) before(ownTier tier, other *Entry, otherTier tier) bool {
	if ownTier != otherTier {
		return ownTier < otherTier
	}
	return e.compare(other, ownTier) < 0
}

const (
	// goalTimeoutFactor and gapTimeoutFactor set how long a caller waits for the first event of a
	// stream, as multiples of the goal for that event and of the goal for the gap between events.
	// minFirstEventTimeout is the lower bound.
	minFirstEventTimeout = 2 * time.Second
	goalTimeoutFactor    = 4
	gapTimeoutFactor     = 8
)

// FirstEventTimeout returns how long a caller waits for the first event of a stream. goal is the
// goal for the time to that event, gapGoal the goal for the gap between events.
func FirstEventTimeout(goal, gapGoal time.Duration) time.Duration {
	return max(minFirstEventTimeout, goalTimeoutFactor*goal, gapTimeoutFactor*gapGoal)
}
