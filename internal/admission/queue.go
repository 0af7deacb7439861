package admission

import (
	"math"
	"slices"
	"time"
)

// Bounds limit the requests that wait in a queue.
type Bounds struct {
	// Requests is the maximum number of requests, Bytes the memory that they may occupy together.
	Requests int
	Bytes    int64
}

// Queue holds the requests of a pool that wait in a process until a worker has a free slot. It
// decides which are dispatched, which wait and which are rejected. It is pure: times, randomness
// and the state of the workers come from the caller. It is not safe for concurrent use.
type Queue struct {
	bounds   Bounds
	entries  []*Entry
	bytes    int64
	sequence uint64
	// dispatched is the rate of all requests sent to workers, onTimeDispatched that of those in
	// tierOnTime, which precede all retries.
	dispatched       decayingRate
	onTimeDispatched decayingRate
}

// NewQueue returns an empty queue.
func NewQueue(bounds Bounds) *Queue { return &Queue{bounds: bounds} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.entries) }

// Bytes returns the memory that the waiting requests occupy.
func (q *Queue) Bytes() int64 { return q.bytes }

// Candidate is the best worker that was found for a request: the part of balance.Candidate that
// the queue decides by.
type Candidate struct {
	// Full is set if all slots of the worker are in use. Wait is the expected time until the
	// request gets one, MaxWait an upper bound that holds in nearly all cases; both are zero if
	// they are unknown.
	Full    bool
	Wait    time.Duration
	MaxWait time.Duration
	// Spare is set if more slots are free than the requests waiting in other processes are about
	// to use.
	Spare bool
	// LeftToPeers is set if a slot is free but a random choice leaves it to other processes.
	LeftToPeers bool
}

// accepts reports whether the entry may be dispatched to the worker. An entry that can meet its
// goal may wait briefly at the worker, so that no slot stays empty between two requests. A late
// entry needs a free slot that no other request is about to use: entries that can meet their goals
// may be waiting in another process. An entry without an attainable goal takes any free slot: more
// delay would not help it.
func (c Candidate) accepts(now time.Time, entry *Entry) bool {
	if c.LeftToPeers {
		return false
	}
	if c.Wait <= 0 {
		return !c.Full && (c.Spare || entry.meetsGoal(now, 0) || entry.lacksAttainableGoal())
	}
	return entry.meetsGoal(now, c.MaxWait)
}

// Supply is what a process can expect of a pool.
type Supply struct {
	// Throughput is how many of this process's requests the workers can take, in requests a
	// second; zero if unknown.
	Throughput float64
	// OverloadTimeLeft is the expected time until the overload ends, zero if unknown.
	OverloadTimeLeft time.Duration
}

// Result is the outcome for a request that arrived.
type Result uint8

const (
	// Dispatched sends the request to the candidate.
	Dispatched Result = iota
	// Queued lets the request wait.
	Queued
	// RetryLater rejects the request because it should not wait, for the reason given in the
	// Decision, and its caller has time for a retry.
	RetryLater
	// DeadlineTooSoon rejects the request because its caller's deadline will pass before its turn.
	DeadlineTooSoon
	// QueueFull rejects the request because requests that go before it fill the queue.
	QueueFull
)

// String returns the name of the result in logs and metrics.
func (r Result) String() string {
	return [...]string{"go", "wait", "sent_back", "hopeless", "crowded"}[r]
}

// Decision is the outcome for a request that arrived and for those that it displaced.
type Decision struct {
	Result Result
	// Reason says why the request is rejected if Result is RetryLater.
	Reason Reason
	// Ahead is the number of waiting requests that go before it, Predicted the time that it would
	// wait here.
	Ahead     int
	Predicted time.Duration
	// RetryAfter is the time after which a rejected caller may send the request again.
	RetryAfter time.Duration
	// Displaced are the waiting requests that are rejected in favor of this one.
	Displaced []Displaced
}

// Displaced is a waiting entry that is rejected.
type Displaced struct {
	Entry *Entry
	Decision
}

// Arrival is a request that arrived.
type Arrival struct {
	Entry *Entry
	// Candidate is the best worker that was found for it.
	Candidate Candidate
	Supply    Supply
	// TimeLeft is the time until the caller's deadline, MaxTimeLeft the time that callers of the
	// route have at their first attempt.
	TimeLeft    time.Duration
	MaxTimeLeft time.Duration
}

// Admit decides what happens to a request that arrived. If the result is Queued, its entry waits
// from now on. random, from 0 to 1, spreads the retries.
func (q *Queue) Admit(now time.Time, a *Arrival, random float64) Decision {
	q.sequence++
	a.Entry.prepare(q.sequence)
	q.updateTiers(now)
	a.Entry.tier = a.Entry.tierAt(now)
	ahead := q.countAhead(a.Entry, a.Entry.tier)
	if ahead == 0 && q.canDispatch(now, a) {
		q.RecordDispatch(now, a.Entry)
		return Decision{Result: Dispatched}
	}
	decision := Decision{Result: Queued, Ahead: ahead, Predicted: q.predictWait(now, a.Entry, ahead, a)}
	if !a.Candidate.hasFreeSlot() {
		if retryAfter := a.retryAfter(decision.Predicted, random); retryAfter > 0 {
			decision.Result, decision.RetryAfter = RetryLater, retryAfter
			decision.Reason = Evaluate(a.request(decision.Predicted))
			return decision
		}
		if a.Entry.tierAt(now.Add(decision.Predicted)) == tierLate {
			// By its turn it will be late, and go behind all entries that can meet their goals.
			decision.Ahead = q.countAhead(a.Entry, tierLate)
			decision.Predicted = q.predictWait(now, a.Entry, decision.Ahead, a)
		}
		if decision.Predicted > a.Entry.Deadline.Sub(now) {
			decision.Result, decision.RetryAfter = DeadlineTooSoon, RetryAfter(a.TimeLeft, a.Supply.OverloadTimeLeft, random)
			return decision
		}
	}
	q.enqueue(a.Entry)
	decision.Displaced = q.displace(now, a, random)
	last := len(decision.Displaced) - 1
	if last >= 0 && decision.Displaced[last].Entry == a.Entry {
		displaced := decision.Displaced[:last]
		decision = decision.Displaced[last].Decision
		decision.Displaced = displaced
	}
	return decision
}

// hasFreeSlot reports whether the worker has a free slot.
func (c Candidate) hasFreeSlot() bool { return !c.Full && c.Wait <= 0 }

// canDispatch reports whether the request is sent to the candidate at once. If the workers don't
// report their slots, there is no point in time to wait for, so it may go even if it is not known
// to meet its goal there. A request over its tenant's share would wait at a worker at the expense
// of others, so it is rejected if its caller has time for a retry.
func (q *Queue) canDispatch(now time.Time, a *Arrival) bool {
	if a.Entry.OverShare && a.retryAfter(a.Candidate.Wait, 0) > 0 {
		return false
	}
	if a.Candidate.accepts(now, a.Entry) {
		return true
	}
	return a.Candidate.slotsUnknown() && a.retryAfter(a.Candidate.Wait, 0) == 0
}

// retryAfter returns the Retry-After for a first attempt that would wait for the given time. It is
// zero if the request need not be rejected or its caller has no time for a retry.
func (a *Arrival) retryAfter(wait time.Duration, random float64) time.Duration {
	return Decide(a.request(wait), random)
}

// request returns the request to evaluate if it would wait for the given time.
func (a *Arrival) request(wait time.Duration) *Request {
	return &Request{
		TimeLeft:         a.TimeLeft,
		MaxTimeLeft:      a.MaxTimeLeft,
		Goal:             a.Entry.Goal,
		FirstEventTime:   a.Entry.FirstEventTime,
		Wait:             wait,
		OverShare:        a.Entry.OverShare,
		OverloadTimeLeft: a.Supply.OverloadTimeLeft,
	}
}

// enqueue adds the entry to those that wait.
func (q *Queue) enqueue(entry *Entry) {
	q.entries = append(q.entries, entry)
	q.bytes += entry.Bytes
}

// earlyRejectionDivisor limits rejection of waiting entries by prediction to the first 1/4 of the
// goal after their arrival. Entries that have waited longer stay.
const earlyRejectionDivisor = 4

// displace rejects the entries that would be dispatched last until the rest fit the bounds and can
// be dispatched before their deadlines. The entry of the arrival may be among them; it is the last
// one then.
func (q *Queue) displace(now time.Time, a *Arrival, random float64) []Displaced {
	var displaced []Displaced
	for len(q.entries) > 0 {
		last, ahead := q.last()
		predicted := q.predictWait(now, last, ahead, a)
		result := QueueFull
		if !q.exceedsBounds() {
			if a.Candidate.hasFreeSlot() || predicted <= last.Deadline.Sub(now) || now.Sub(last.Arrived) > last.Goal/earlyRejectionDivisor {
				break
			}
			result = DeadlineTooSoon
		}
		q.Remove(last)
		timeLeft := last.Deadline.Sub(now)
		displaced = append(displaced, Displaced{last, Decision{Result: result, Ahead: ahead, Predicted: predicted, RetryAfter: RetryAfter(timeLeft, a.Supply.OverloadTimeLeft, random)}})
		if last == a.Entry {
			break
		}
	}
	return displaced
}

func (q *Queue) exceedsBounds() bool {
	return len(q.entries) > q.bounds.Requests || q.bytes > q.bounds.Bytes
}

// Remove removes the entry and reports whether it was waiting.
func (q *Queue) Remove(entry *Entry) bool {
	index := slices.Index(q.entries, entry)
	if index < 0 {
		return false
	}
	last := len(q.entries) - 1
	q.entries[index] = q.entries[last]
	q.entries[last] = nil
	q.entries = q.entries[:last]
	q.bytes -= entry.Bytes
	return true
}

// RemoveExpired removes the entries whose deadlines have passed, and returns them.
func (q *Queue) RemoveExpired(now time.Time) []*Entry {
	var expired []*Entry
	for index := 0; index < len(q.entries); {
		entry := q.entries[index]
		if now.Before(entry.Deadline) {
			index++
			continue
		}
		q.Remove(entry)
		expired = append(expired, entry)
	}
	return expired
}

// updateTiers recomputes the tiers of all waiting entries.
func (q *Queue) updateTiers(now time.Time) {
	at := now.UnixNano()
	for _, entry := range q.entries {
		entry.tier = entry.tierAtNanos(at)
	}
}

// First returns the entry that goes first now, or nil if none waits.
func (q *Queue) First(now time.Time) *Entry {
	q.updateTiers(now)
	var first *Entry
	for _, entry := range q.entries {
		if first == nil || entry.before(entry.tier, first, first.tier) {
			first = entry
		}
	}
	return first
}

// TryDispatch removes the first entry if its request may go to the candidate, and reports whether
// it may.
func (q *Queue) TryDispatch(now time.Time, first *Entry, candidate Candidate) bool {
	if !candidate.accepts(now, first) && !candidate.slotsUnknown() {
		return false
	}
	if !q.Remove(first) {
		return false
	}
	q.RecordDispatch(now, first)
	return true
}

// slotsUnknown reports whether the worker does not report its slots.
func (c Candidate) slotsUnknown() bool { return !c.Full && c.Wait > 0 }

// RecordDispatch records that a request was sent to a worker.
func (q *Queue) RecordDispatch(now time.Time, entry *Entry) {
	q.dispatched.add(now)
	if entry.tierAt(now) == tierOnTime {
		q.onTimeDispatched.add(now)
	}
}

// last returns the entry that goes last, and the number of entries before it.
func (q *Queue) last() (last *Entry, ahead int) {
	for _, entry := range q.entries {
		if last == nil || last.before(last.tier, entry, entry.tier) {
			last = entry
		}
	}
	return last, len(q.entries) - 1
}

// countAhead returns how many waiting entries go before the entry while it is in entryTier.
func (q *Queue) countAhead(entry *Entry, entryTier tier) int {
	count := 0
	for _, other := range q.entries {
		if other != entry && other.before(other.tier, entry, entryTier) {
			count++
		}
	}
	return count
}

// minSparePercent is the percentage of the dispatch rate that the entries of tierOnTime must leave
// for other entries if a wait is to be derived from that remaining rate. A smaller remaining rate
// varies by chance.
const minSparePercent = 10

// predictWait returns how long an entry waits with the given number of entries ahead, in the state
// of the pool that the arrival found: until those entries have been dispatched, along with later
// arrivals that go before this entry, and until a slot is released for itself. If the requests that
// go before it use the whole throughput, its turn comes after the overload, if the end of the
// overload is known.
func (q *Queue) predictWait(now time.Time, entry *Entry, ahead int, a *Arrival) time.Duration {
	if a.Supply.Throughput <= 0 {
		return a.Candidate.Wait
	}
	perSecond := max(a.Supply.Throughput, q.dispatched.perSecond(now))
	onTimeRate := 0.0
	if entry.tierAt(now) != tierOnTime {
		onTimeRate = q.onTimeDispatched.perSecond(now)
	}
	if spareRate := perSecond - onTimeRate; spareRate*hundredPercent > perSecond*minSparePercent {
		return a.Candidate.Wait + seconds(float64(ahead)/spareRate)
	}
	return a.Candidate.Wait + a.Supply.OverloadTimeLeft + seconds(float64(ahead)/perSecond)
}

func seconds(count float64) time.Duration { return time.Duration(count * float64(time.Second)) }

// RetryAfter returns the Retry-After for a caller that must be rejected though it may have retried
// already: after the overload if that leaves time for a retry before the deadline, and otherwise
// when a new request would find capacity.
func RetryAfter(timeLeft, overloadTimeLeft time.Duration, random float64) time.Duration {
	latest := timeLeft / maxRetryAfterDivisor
	earliest := max(min(overloadTimeLeft, latest), MinRetryAfter)
	if latest < earliest {
		earliest = max(overloadTimeLeft, MinRetryAfter)
		latest = 2 * earliest
	}
	return earliest + time.Duration(random*float64(latest-earliest))
}

// decayingRate measures events a second. The weight of an event decays exponentially with its age,
// by rateDecayTime. The zero value is ready for use.
type decayingRate struct {
	count float64
	at    time.Time
}

// rateDecayTime is the time in which an event's weight falls to 1/e: about as long as a request
// holds a slot, and shorter than any caller waits.
const rateDecayTime = time.Second

func (r *decayingRate) add(now time.Time) {
	r.count = r.decayedCount(now) + 1
	r.at = now
}

func (r *decayingRate) decayedCount(now time.Time) float64 {
	elapsed := now.Sub(r.at)
	if r.count == 0 || elapsed <= 0 {
		return r.count
	}
	return r.count * math.Exp(-elapsed.Seconds()/rateDecayTime.Seconds())
}

// perSecond returns the number of events a second.
func (r *decayingRate) perSecond(now time.Time) float64 {
	return r.decayedCount(now) / rateDecayTime.Seconds()
}
