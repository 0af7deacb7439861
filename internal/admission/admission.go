// Package admission decides whether an online request is admitted or rejected at once with a
// Retry-After. It is pure: times and randomness come from the caller.
//
// When all workers are full, an admitted request waits, and one that waits too long misses its
// goal. The same request, rejected and retried later, finds capacity then and meets its goal. So
// a request is rejected if its first event is predicted to miss the goal, but only once and only
// if its caller has time for a retry.
package admission

import "time"

const (
	// goalPercent is the percentage of the goal up to which a predicted first event counts as in
	// time. The rest is a margin for prediction errors.
	goalPercent    = 90
	hundredPercent = 100
	// maxRetryAfterDivisor limits Retry-After to 1/maxRetryAfterDivisor of the caller's time left.
	maxRetryAfterDivisor = 3
	// overShareWaitDivisor limits the wait of a request over its tenant's share to 1/4 of the wait
	// tolerated for others. The limit may be zero: a request that finds a free slot doesn't wait
	// and is admitted whatever its tenant's share.
	overShareWaitDivisor = 4
	// MinRetryAfter is the shortest Retry-After. A caller whose time left is below the route's
	// maximum by at least MinRetryAfter counts as one that already retries.
	MinRetryAfter = 250 * time.Millisecond
)

// Request is an online request before it is sent to a worker.
type Request struct {
	// TimeLeft is the time until the caller's deadline, MaxTimeLeft the time that callers of the
	// route have at their first attempt.
	TimeLeft    time.Duration
	MaxTimeLeft time.Duration
	// Goal is the target time to the first event.
	Goal time.Duration
	// FirstEventTime is the time to the first event once the request runs at the chosen worker,
	// zero if unknown. Wait is the predicted time before it runs.
	FirstEventTime time.Duration
	Wait           time.Duration
	// OverShare is set if the tenant uses more than its share of the capacity while others
	// compete for it.
	OverShare bool
	// OverloadTimeLeft is the expected time until the overload ends, zero if unknown.
	OverloadTimeLeft time.Duration
}

// DetectRetry returns by how much timeLeft, the time until the caller's deadline, is below
// maxTimeLeft, the time that callers of the route have at their first attempt. It reports whether
// that difference indicates a retry after a rejection: a rejected caller is asked to wait for at
// most a fixed fraction of its time, and gets the rejection within the goal. A larger difference
// means that the caller has a shorter deadline than others.
func DetectRetry(maxTimeLeft, timeLeft, goal time.Duration) (elapsed time.Duration, retried bool) {
	elapsed = maxTimeLeft - timeLeft
	return elapsed, elapsed >= MinRetryAfter && elapsed <= maxTimeLeft/maxRetryAfterDivisor+goal
}

// Reason says why a request is admitted or should be rejected.
type Reason uint8

const (
	// Admitted requests will probably meet their goal, or gain nothing by a retry.
	Admitted Reason = iota
	// TooLate requests would probably miss their goal.
	TooLate
	// OverShare requests might meet their goal, but would wait at the expense of requests whose
	// tenants are within their shares.
	OverShare
)

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string { return [...]string{"taken_in", "too_late", "over_share"}[r] }

// Evaluate says whether a request should be rejected for a later retry rather than wait. A request
// that doesn't wait is always admitted. Decide checks whether a retry is possible.
func Evaluate(request *Request) Reason {
	if request.Wait <= 0 || request.FirstEventTime <= 0 || request.Goal <= 0 {
		return Admitted
	}
	maxWait := request.Goal*goalPercent/hundredPercent - request.FirstEventTime
	switch {
	case request.Wait > maxWait:
		return TooLate
	case request.OverShare && request.Wait > maxWait/overShareWaitDivisor:
		return OverShare
	}
	return Admitted
}

// Decide returns the Retry-After of the rejection, or zero if the request is admitted. random, from
// 0 to 1, spreads the retries.
func Decide(request *Request, random float64) time.Duration {
	if Evaluate(request) == Admitted {
		return 0
	}
	if request.TimeLeft <= request.MaxTimeLeft-MinRetryAfter {
		return 0
	}
	latest := request.TimeLeft / maxRetryAfterDivisor
	earliest := max(latest/2, MinRetryAfter)
	if request.OverloadTimeLeft > 0 {
		// A retry before the end of the overload would find no capacity either, or take it from
		// another request.
		earliest = max(min(request.OverloadTimeLeft, latest), MinRetryAfter)
	}
	if latest < earliest {
		return 0
	}
	return earliest + time.Duration(random*float64(latest-earliest))
}
