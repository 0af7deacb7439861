package admission

import (
	"math"
	"slices"
	"time"
)

// Bounds limit what waits in a queue.
type Bounds struct {
	// Requests is how many requests may wait, Bytes what they may keep in memory together.
	Requests int
	Bytes    int64
}

// Queue holds the requests of a pool that wait at a process until a worker has room, and
// decides who goes, who waits and who is refused. It is pure: times, randomness and what is
// known of the workers come from the caller. It is not safe for concurrent use.
type Queue struct {
	bounds Bounds
	claims []*Entry
	bytes  int64
	number uint64
	// sent counts all that were sent to workers, first those among them that went before
	// all who were sent back before.
	sent  flow
	first flow
}

// NewQueue returns an empty queue.
func NewQueue(bounds Bounds) *Queue { return &Queue{bounds: bounds} }

// Len returns how many requests wait.
func (q *Queue) Len() int { return len(q.claims) }

// Bytes returns what those that wait keep in memory.
func (q *Queue) Bytes() int64 { return q.bytes }

// Candidate is what the best worker that was found offers to a request: balance.Choice, as far as the
// queue decides by it.
type Candidate struct {
	// Full is set where all slots of the worker are held. Wait is how long the request
	// would wait for one in the mean, WaitMost in nearly all cases; both are zero if that
	// is unknown.
	Full    bool
	Wait    time.Duration
	MaxWait time.Duration
	// Spare is set where more slots are free than those that wait at other processes are
	// about to take.
	Spare bool
	// LeftToPeers is set where a slot is free, and is left to other processes by lot.
	LeftToPeers bool
}

// takes reports whether the claim's request may go to the worker. What can be in time may
// wait for a moment at the worker, so that no slot stays empty between two requests; what
// is late goes only where a slot is free that nobody else is about to take, so that it stands
// in nobody's way: those that are in time may wait at another process. What is indifferent gains
// nothing by that, and is not made later still.
func (o Candidate) takes(now time.Time, claim *Entry) bool {
	if o.LeftToPeers {
		return false
	}
	if o.Wait <= 0 {
		return !o.Full && (o.Spare || claim.inTime(now, 0) || claim.indifferent())
	}
	return claim.inTime(now, o.MaxWait)
}

// Supply is what a process can expect of a pool.
type Supply struct {
	// Throughput is how many requests a second the workers can take of those that come to
	// this process, zero if unknown.
	Throughput float64
	// OverloadTimeLeft is in which time the overload will probably be over, zero if unknown.
	OverloadTimeLeft time.Duration
}

// Result is what becomes of a request that came.
type Result uint8

const (
	// Dispatched sends it to the worker that was offered.
	Dispatched Result = iota
	// Queued lets it wait.
	Queued
	// RetryLater refuses it because it would be late now and its caller has the time to come
	// back.
	RetryLater
	// DeadlineTooSoon refuses it because its caller will have left before its turn.
	DeadlineTooSoon
	// QueueFull refuses it because others that go before it fill the queue.
	QueueFull
)

// String returns the result as used in logs and metrics.
func (r Result) String() string {
	return [...]string{"go", "wait", "sent_back", "hopeless", "crowded"}[r]
}

// Decision is what becomes of a request that came, and of those that it displaced.
type Decision struct {
	Result Result
	// Reason says why it is sent back, if it is.
	Reason Reason
	// Ahead is how many that wait go before it, Predicted how long it would wait here.
	Ahead     int
	Predicted time.Duration
	// RetryAfter is when a caller that is refused is to come back.
	RetryAfter time.Duration
	// Displaced are those that waited and are refused in its favour.
	Displaced []Displaced
}

// Displaced is a claim that waited and is refused.
type Displaced struct {
	Entry *Entry
	Decision
}

// Arrival is a request that came.
type Arrival struct {
	Entry *Entry
	// Candidate is that of the best worker that was found for it.
	Candidate Candidate
	Supply    Supply
	// TimeLeft is how long its caller still waits, Longest how long callers of the route wait
	// when they ask first.
	TimeLeft    time.Duration
	MaxTimeLeft time.Duration
}

// Admit decides what becomes of a request that came. Its claim waits from now on if the
// result is Wait. random is from 0 to 1; it spreads those who come back.
func (q *Queue) Admit(now time.Time, a *Arrival, random float64) Decision {
	q.number++
	a.Entry.prepare(q.number)
	q.classify(now)
	a.Entry.class = a.Entry.classAt(now)
	ahead := q.ahead(a.Entry, a.Entry.class)
	if ahead == 0 && q.goes(now, a) {
		q.RecordDispatch(now, a.Entry)
		return Decision{Result: Dispatched}
	}
	decision := Decision{Result: Queued, Ahead: ahead, Predicted: q.predict(now, a.Entry, ahead, a)}
	if !a.Candidate.free() {
		if comeback := a.sendBack(decision.Predicted, random); comeback > 0 {
			decision.Result, decision.RetryAfter = RetryLater, comeback
			decision.Reason = Evaluate(a.request(decision.Predicted))
			return decision
		}
		if a.Entry.classAt(now.Add(decision.Predicted)) == late {
			// By its turn it goes behind all that can be in time.
			decision.Ahead = q.ahead(a.Entry, late)
			decision.Predicted = q.predict(now, a.Entry, decision.Ahead, a)
		}
		if decision.Predicted > a.Entry.Deadline.Sub(now) {
			decision.Result, decision.RetryAfter = DeadlineTooSoon, RetryAfter(a.TimeLeft, a.Supply.OverloadTimeLeft, random)
			return decision
		}
	}
	q.enter(a.Entry)
	decision.Displaced = q.displace(now, a, random)
	last := len(decision.Displaced) - 1
	if last >= 0 && decision.Displaced[last].Entry == a.Entry {
		others := decision.Displaced[:last]
		decision = decision.Displaced[last].Decision
		decision.Displaced = others
	}
	return decision
}

// free reports whether a slot is free at the worker.
func (o Candidate) free() bool { return !o.Full && o.Wait <= 0 }

// goes reports whether the request goes to the worker offered though nobody says that it will be
// in time there: where the workers don't tell their slots there is no moment to wait for. One that
// is over its share waits at a worker at the cost of others, so it is sent back if it can be.
func (q *Queue) goes(now time.Time, a *Arrival) bool {
	if a.Entry.OverShare && a.sendBack(a.Candidate.Wait, 0) > 0 {
		return false
	}
	if a.Candidate.takes(now, a.Entry) {
		return true
	}
	return a.Candidate.untold() && a.sendBack(a.Candidate.Wait, 0) == 0
}

// sendBack returns after which time a caller who asks first and would wait so long is to come
// back, or zero if it need not, or has not the time.
func (a *Arrival) sendBack(wait time.Duration, random float64) time.Duration {
	return Decide(a.request(wait), random)
}

// request returns the request as it is judged if it would wait so long.
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

// enter lets the claim wait.
func (q *Queue) enter(claim *Entry) {
	q.claims = append(q.claims, claim)
	q.bytes += claim.Bytes
}

// soonPart is the part of the goal, one in so many, within which a refusal by prediction comes:
// whoever has waited for longer goes on waiting.
const soonPart = 4

// displace refuses those that would be served last until the rest can be kept. The claim of
// the arrival may be among them, and is the last one then.
func (q *Queue) displace(now time.Time, a *Arrival, random float64) []Displaced {
	var displaced []Displaced
	for len(q.claims) > 0 {
		last, ahead := q.last()
		predicted := q.predict(now, last, ahead, a)
		result := QueueFull
		if !q.overflows() {
			if a.Candidate.free() || predicted <= last.Deadline.Sub(now) || now.Sub(last.Arrived) > last.Goal/soonPart {
				break
			}
			result = DeadlineTooSoon
		}
		q.Remove(last)
		left := last.Deadline.Sub(now)
		displaced = append(displaced, Displaced{last, Decision{Result: result, Ahead: ahead, Predicted: predicted, RetryAfter: RetryAfter(left, a.Supply.OverloadTimeLeft, random)}})
		if last == a.Entry {
			break
		}
	}
	return displaced
}

func (q *Queue) overflows() bool {
	return len(q.claims) > q.bounds.Requests || q.bytes > q.bounds.Bytes
}

// Remove takes a claim out, and reports whether it waited.
func (q *Queue) Remove(claim *Entry) bool {
	at := slices.Index(q.claims, claim)
	if at < 0 {
		return false
	}
	last := len(q.claims) - 1
	q.claims[at] = q.claims[last]
	q.claims[last] = nil
	q.claims = q.claims[:last]
	q.bytes -= claim.Bytes
	return true
}

// RemoveExpired takes out the claims whose callers have left by now, and returns them.
func (q *Queue) RemoveExpired(now time.Time) []*Entry {
	var expired []*Entry
	for at := 0; at < len(q.claims); {
		claim := q.claims[at]
		if now.Before(claim.Deadline) {
			at++
			continue
		}
		q.Remove(claim)
		expired = append(expired, claim)
	}
	return expired
}

// classify works out the classes of all that wait.
func (q *Queue) classify(now time.Time) {
	at := now.UnixNano()
	for _, claim := range q.claims {
		claim.class = claim.classOf(at)
	}
}

// First returns the claim that goes first now, or nil if none waits.
func (q *Queue) First(now time.Time) *Entry {
	q.classify(now)
	var first *Entry
	for _, claim := range q.claims {
		if first == nil || claim.before(claim.class, first, first.class) {
			first = claim
		}
	}
	return first
}

// TryDispatch takes the claim that goes first out if its request may go to the worker offered, and reports
// whether it may.
func (q *Queue) TryDispatch(now time.Time, first *Entry, offer Candidate) bool {
	if !offer.takes(now, first) && !offer.untold() {
		return false
	}
	if !q.Remove(first) {
		return false
	}
	q.RecordDispatch(now, first)
	return true
}

// untold reports whether the worker does not tell its slots.
func (o Candidate) untold() bool { return !o.Full && o.Wait > 0 }

// RecordDispatch takes in that a request went to a worker.
func (q *Queue) RecordDispatch(now time.Time, claim *Entry) {
	q.sent.add(now)
	if claim.classAt(now) == punctual {
		q.first.add(now)
	}
}

// last returns the claim that goes last, and how many go before it.
func (q *Queue) last() (last *Entry, ahead int) {
	for _, claim := range q.claims {
		if last == nil || last.before(last.class, claim, claim.class) {
			last = claim
		}
	}
	return last, len(q.claims) - 1
}

// ahead returns how many of those that wait go before the claim while it is of the class.
func (q *Queue) ahead(claim *Entry, of class) int {
	count := 0
	for _, other := range q.claims {
		if other != claim && other.before(other.class, claim, of) {
			count++
		}
	}
	return count
}

// leastSpare is the part, in hundredths, of what is sent that must be left by those that go
// first for the wait to follow from it: less comes and goes by chance.
const leastSpare = 10

// predict returns how long a claim waits with so many ahead, as the arrival found the pool:
// until those have been sent, beside others that come meanwhile and go before it, and a slot
// is given back for itself. Where those who go before it take all, its turn comes after the
// overload, if its end is known.
func (q *Queue) predict(now time.Time, claim *Entry, ahead int, a *Arrival) time.Duration {
	if a.Supply.Throughput <= 0 {
		return a.Candidate.Wait
	}
	perSecond := max(a.Supply.Throughput, q.sent.perSecond(now))
	before := 0.0
	if claim.classAt(now) != punctual {
		before = q.first.perSecond(now)
	}
	if spare := perSecond - before; spare*hundreds > perSecond*leastSpare {
		return a.Candidate.Wait + seconds(float64(ahead)/spare)
	}
	return a.Candidate.Wait + a.Supply.OverloadTimeLeft + seconds(float64(ahead)/perSecond)
}

func seconds(count float64) time.Duration { return time.Duration(count * float64(time.Second)) }

// RetryAfter returns after which time a caller that has so much time left and is refused, though
// it came back before, is to ask again: after the overload if there is time, and otherwise
// when a new request would find room.
func RetryAfter(left, ends time.Duration, random float64) time.Duration {
	latest := left / comebackParts
	earliest := max(min(ends, latest), MinRetryAfter)
	if latest < earliest {
		earliest = max(ends, MinRetryAfter)
		latest = 2 * earliest
	}
	return earliest + time.Duration(random*float64(latest-earliest))
}

// flow tells how many events there are in a second. An event counts less the older it is, by
// flowTime. The zero value is ready for use.
type flow struct {
	count float64
	at    time.Time
}

// flowTime is in which time an event's weight falls to 1/e: about as long as a request holds a
// slot, and shorter than anybody waits.
const flowTime = time.Second

func (f *flow) add(now time.Time) {
	f.count = f.left(now) + 1
	f.at = now
}

func (f *flow) left(now time.Time) float64 {
	passed := now.Sub(f.at)
	if f.count == 0 || passed <= 0 {
		return f.count
	}
	return f.count * math.Exp(-passed.Seconds()/flowTime.Seconds())
}

// perSecond returns how many events there are in a second.
func (f *flow) perSecond(now time.Time) float64 { return f.left(now) / flowTime.Seconds() }
