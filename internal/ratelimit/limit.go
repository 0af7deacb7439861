// Package ratelimit keeps the requests of each tenant within a rate and a burst over
// the whole fleet. It is pure: times come from the caller.
//
// The tokens of a tenant are one bucket. The top (Top) keeps it, and the hub of each zone
// (Hub) works on a copy: an edge asks its zone's hub for a token with the question that it
// puts before each choice of a worker anyway; the hub takes it from its copy, tells the top
// what it has taken with its next report of loads, and learns what is left.
//
// Between two reports a hub takes no more than its part of what was left, so the copies of
// all hubs together overdraw the bucket by Spare at most, and what is overdrawn is paid back
// before anything else is given out. A hub that hears no top goes on with a share: the
// part of the bucket that its zone used of late. The top sets that part aside for as
// long. An edge that hears no hub has a reserve (Reserve) of its own.
package ratelimit

import (
	"time"
)

// Tenant is the short name of a tenant.
type Tenant = uint32

// Limit is what a tenant may send.
type Limit struct {
	// Rate is in requests a second, Burst in requests.
	Rate  float64
	Burst float64
}

// Tolerance is by how much the sum over the fleet may exceed a limit: in each Window, by
// the part Excess of what the limit allows in it, and by Slack requests more.
type Tolerance struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// spareParts divides the tolerance, one part in so many each: one is held in the bucket
// beyond the burst, one may be overdrawn between reports, one is for edges that hear no
// hub, and three are kept for tops and hubs that are lost while reports are. With five parts
// 2 of 6,000 drawn floods exceeded it, by less than 1%.
const spareParts = 6

// Spare returns a part of the tolerance of a limit, in requests.
func (t Tolerance) Spare(limit Limit) float64 {
	allowed := limit.Rate*t.Window.Seconds() + limit.Burst
	return (allowed*t.Excess + t.Slack) / spareParts
}

// capacity is how many tokens a tenant's bucket holds. It holds one at least: with less
// nothing would ever be let in.
func (t Tolerance) capacity(limit Limit) float64 { return max(limit.Burst+t.Spare(limit), 1) }

// startParts is the part of a burst, one in so many, that a bucket holds beside its spare
// part when nothing is known of what was taken before: after all processes were lost
// nothing was let in for a while.
const startParts = 4

// start is how many tokens a bucket holds of which nothing is known.
func (t Tolerance) start(limit Limit) float64 { return t.Spare(limit) + limit.Burst/startParts }

const (
	// UpdateTTL is how long news of the other side count. A hub reports each 50 ms, and
	// some reports in a row may be lost.
	UpdateTTL = 400 * time.Millisecond
	// lapse is for how long a hub that hears no top goes on with its whole share, and
	// lapsedPart the part of it, one in so many, that it goes on with after that. A zone
	// that is cut off for longer is not waited for: the others get what it had.
	lapse      = 5 * time.Second
	lapsedPart = 4
)

// Verdict is the answer to the question for a token.
type Verdict struct {
	Granted bool
	// Uncertain is set where a token may be there that this hub does not know of: the
	// question is to be asked again, here or elsewhere.
	Uncertain bool
	// RetryAfter is when one more request would be let in, if it is not now.
	RetryAfter time.Duration
	// Level is how many tokens were left by what was known, Age how old that was.
	Level float64
	Age   time.Duration
}

// bucket is a number of tokens that refills.
type bucket struct {
	level float64
	at    time.Time
}

// refill adds what came since the last time, at a rate and up to a capacity. A clock that
// stands still or goes back adds nothing.
func (b *bucket) refill(now time.Time, rate, capacity float64) {
	if passed := now.Sub(b.at); passed > 0 {
		b.level += rate * passed.Seconds()
		b.at = now
	}
	b.level = min(b.level, capacity)
}

// until returns how long it takes to a level of one token, at a rate.
func (b *bucket) until(rate float64) time.Duration {
	const longest = time.Minute
	if b.level >= 1 {
		return 0
	}
	if rate <= 0 {
		return longest
	}
	return min(time.Duration((1-b.level)/rate*float64(time.Second)), longest)
}
