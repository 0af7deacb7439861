// Package admission decides whether an online request is taken in or told at once
// to come back. It is pure: times and randomness come from the caller.
//
// A request that is taken in while all workers are full waits, and what waits too
// long is late; the same request told to come back finds room later and is in time
// then. So a request is refused where its first event is predicted to miss its goal,
// once, and only if its caller has the time to come back.
package admission

import "time"

const (
	// goalPart is the part of the goal, in hundredths, up to which a prediction
	// counts as in time: predictions err.
	goalPart = 90
	hundreds = 100
	// comebackParts is the part of a caller's time, one in so many, that it is
	// asked to wait at most.
	comebackParts = 3
	// overParts is the part, one in so many, of the wait that others are let in for, for
	// which a request over its tenant's share is. It may be none: a request that finds room
	// doesn't wait, and is let in whatever its share.
	overParts = 4
	// MinRetryAfter is the shortest time after which a caller is asked to come
	// back. A caller who has that much less than others has come back already.
	MinRetryAfter = 250 * time.Millisecond
)

// Request is an online request before it is sent to a worker.
type Request struct {
	// TimeLeft is how long its caller still waits, Longest how long callers of the
	// route wait when they ask first.
	TimeLeft    time.Duration
	MaxTimeLeft time.Duration
	// Goal is the time to the first event that is aimed at.
	Goal time.Duration
	// FirstEventTime is how long the first event takes at the chosen worker once the
	// request runs there, zero if unknown, and Wait how long it waits before.
	FirstEventTime time.Duration
	Wait           time.Duration
	// OverShare is set where its tenant has more than its share of the room, and others ask.
	OverShare bool
	// OverloadTimeLeft is in which time the overload will probably be over, zero if unknown.
	OverloadTimeLeft time.Duration
}

// DetectRetry returns by how much less time than its route's callers have, who wait for longest
// when they ask first, a caller has that still waits for left. It reports whether that shows
// that the caller was sent back before: one is asked to wait for a part of its time, and gets
// that answer within the goal. Who has less time still has a shorter deadline than others.
func DetectRetry(longest, left, goal time.Duration) (before time.Duration, returned bool) {
	before = longest - left
	return before, before >= MinRetryAfter && before <= longest/comebackParts+goal
}

// Reason says why a request is taken in, or is not.
type Reason uint8

const (
	// Admitted requests are probably in time, or gain nothing by coming back.
	Admitted Reason = iota
	// TooLate requests would probably miss their goal.
	TooLate
	// OverShare requests may be in time, but would wait at the cost of those whose tenants
	// are within their shares.
	OverShare
)

// String returns the reason as used in logs and metrics.
func (r Reason) String() string { return [...]string{"taken_in", "too_late", "over_share"}[r] }

// Evaluate says whether a request should come back rather than wait, if it can. A request that
// doesn't wait never should.
func Evaluate(request *Request) Reason {
	if request.Wait <= 0 || request.FirstEventTime <= 0 || request.Goal <= 0 {
		return Admitted
	}
	tolerated := request.Goal*goalPart/hundreds - request.FirstEventTime
	switch {
	case request.Wait > tolerated:
		return TooLate
	case request.OverShare && request.Wait > tolerated/overParts:
		return OverShare
	}
	return Admitted
}

// Decide returns after which time the caller is to come back, or zero if the request
// is taken in. random is from 0 to 1; it spreads those who come back.
func Decide(request *Request, random float64) time.Duration {
	if Evaluate(request) == Admitted {
		return 0
	}
	if request.TimeLeft <= request.MaxTimeLeft-MinRetryAfter {
		return 0
	}
	latest := request.TimeLeft / comebackParts
	earliest := max(latest/2, MinRetryAfter)
	if request.OverloadTimeLeft > 0 {
		// Before that the caller would find the same, and take a place from another.
		earliest = max(min(request.OverloadTimeLeft, latest), MinRetryAfter)
	}
	if latest < earliest {
		return 0
	}
	return earliest + time.Duration(random*float64(latest-earliest))
}
