// Package ratelimit limits the requests of each tenant to a rate and a burst over the whole
// fleet. It does no I/O; the caller passes the time.
//
// Each tenant has one token bucket. The top (Top) keeps it, and the hub of each zone (Hub) works
// on a copy. An edge asks the hub of its zone for a token in the request that it sends before
// each choice of a worker anyway. The hub takes the token from its copy, tells the top with its
// next load report what it has taken, and gets the new level in the answer.
//
// Between two reports a hub takes at most its part of the tokens that were left, so that the
// copies of all hubs together overdraw the bucket by at most Tolerance.Spare. An overdraft is
// paid back before any other token is given out. A hub without answers from a top continues with
// its share: the part of the bucket that its zone used recently. The top reserves that part
// meanwhile. An edge without answers from a hub has a reserve of its own (Reserve).
package ratelimit

import (
	"time"
)

// Tenant is the short name of a tenant.
type Tenant = uint32

// Limit is the rate limit of a tenant.
type Limit struct {
	// Rate is in requests per second, Burst in requests.
	Rate  float64
	Burst float64
}

// Tolerance is by how much the requests of the whole fleet may exceed a limit in each Window: by
// the fraction Excess of what the limit allows, plus Slack requests.
type Tolerance struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// spareDivisor divides the tolerance into equal parts: one is held in the bucket beyond the
// burst, one may be overdrawn between reports, one is for edges without a hub, and three are for
// tops and hubs that fail while reports are lost. With five parts, 2 of 6,000 random floods
// exceeded the tolerance, by less than 1%.
const spareDivisor = 6

// Spare returns one part of the tolerance of a limit, in requests.
func (t Tolerance) Spare(limit Limit) float64 {
	allowed := limit.Rate*t.Window.Seconds() + limit.Burst
	return (allowed*t.Excess + t.Slack) / spareDivisor
}

// capacity returns how many tokens a tenant's bucket holds. It is at least one: with less, no
// request would ever be admitted.
func (t Tolerance) capacity(limit Limit) float64 { return max(limit.Burst+t.Spare(limit), 1) }

// startDivisor sets the initial level of a bucket whose use is unknown: the spare part and a
// quarter of the burst. The use of a bucket is unknown after all processes failed, and no request
// was admitted during that time.
const startDivisor = 4

// start returns the initial level of a bucket whose use is unknown.
func (t Tolerance) start(limit Limit) float64 { return t.Spare(limit) + limit.Burst/startDivisor }

const (
	// UpdateTTL is how long an update from the other side counts. A hub reports every 50 ms, and
	// several reports in a row may be lost.
	UpdateTTL = 400 * time.Millisecond
	// fullShareTime is how long a hub without answers from a top continues with its whole share.
	// After that, it continues with the share divided by expiredShareDivisor, and its share goes to
	// the other hubs: the other hubs do not wait any longer for a zone that is disconnected.
	fullShareTime       = 5 * time.Second
	expiredShareDivisor = 4
)

// Verdict is the answer to a request for a token.
type Verdict struct {
	Granted bool
	// Uncertain is set if there may be a token that this hub does not know of. The caller should
	// ask again, here or at another hub.
	Uncertain bool
	// RetryAfter is the time after which one more request is admitted. It is set if this request is
	// not admitted.
	RetryAfter time.Duration
	// Level is the number of tokens left by the last update from the top, Age the age of that
	// update.
	Level float64
	Age   time.Duration
}

// bucket is a token bucket.
type bucket struct {
	level float64
	at    time.Time
}

// refill adds the tokens since the last call, at the given rate per second and up to the
// capacity. A clock that stands still or goes back adds none.
func (b *bucket) refill(now time.Time, rate, capacity float64) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level += rate * elapsed.Seconds()
		b.at = now
	}
	b.level = min(b.level, capacity)
}

// timeToToken returns how long it takes until the bucket holds one token, at the given rate per
// second.
func (b *bucket) timeToToken(rate float64) time.Duration {
	const maxWait = time.Minute
	if b.level >= 1 {
		return 0
	}
	if rate <= 0 {
		return maxWait
	}
	return min(time.Duration((1-b.level)/rate*float64(time.Second)), maxWait)
}
