package admission

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/proptest"
)

var queueStart = time.Unix(1000, 0)

const (
	testGoal           = 300 * ms
	testFirstEventTime = 80 * ms
	testTimeLeft       = 5000 * ms
)

// newTestEntry returns the entry of a request that arrives now and whose caller made its first
// attempt the given time ago.
func newTestEntry(now time.Time, age time.Duration) *Entry {
	entry := &Entry{
		GoalDeadline:   now.Add(testGoal - age),
		Deadline:       now.Add(testTimeLeft - age),
		Retried:        age > 0,
		Arrived:        now,
		Goal:           testGoal,
		FirstEventTime: testFirstEventTime,
		Bytes:          100,
	}
	entry.prepare(0)
	return entry
}

// fullCandidate returns a worker without a free slot, where a request waits for the given time.
func fullCandidate(wait time.Duration) Candidate {
	return Candidate{Full: true, Wait: wait, MaxWait: wait}
}

// newTestArrival returns the arrival of an entry for which the candidate was found.
func newTestArrival(now time.Time, entry *Entry, candidate Candidate) *Arrival {
	return &Arrival{Entry: entry, Candidate: candidate, Supply: Supply{Throughput: 10}, TimeLeft: entry.Deadline.Sub(now), MaxTimeLeft: testTimeLeft}
}

// TestAdmit compares the decisions on requests with testdata/arrivals.txt.
func TestAdmit(t *testing.T) {
	var trace strings.Builder
	for _, waiting := range []int{0, 20} {
		for _, age := range []time.Duration{0, 1500 * ms, 4000 * ms} {
			for _, candidate := range []Candidate{{Spare: true}, {}, {LeftToPeers: true}, fullCandidate(0), fullCandidate(100 * ms), fullCandidate(250 * ms), {Wait: 250 * ms, MaxWait: 250 * ms}} {
				queue := NewQueue(Bounds{Requests: 64, Bytes: 1 << 20})
				for range waiting {
					queue.enqueue(newTestEntry(queueStart.Add(-time.Second), 1000*ms))
				}
				decision := queue.Admit(queueStart, newTestArrival(queueStart, newTestEntry(queueStart, age), candidate), 0.5)
				fmt.Fprintf(&trace, "%d late ones wait, first asked %s ago, full %t wait %s spare %t left %t: %s, %d ahead, predicted %s, comeback %s, displaced %d\n",
					waiting, age, candidate.Full, candidate.Wait, candidate.Spare, candidate.LeftToPeers, decision.Result, decision.Ahead, decision.Predicted.Round(ms), decision.RetryAfter, len(decision.Displaced))
			}
		}
	}
	compareGolden(t, "arrivals.txt", trace.String())
}

// randomEntry returns an entry with random attributes.
func randomEntry(random *rand.Rand, now time.Time) *Entry {
	entry := newTestEntry(now, time.Duration(random.Intn(4000))*ms)
	if entry.Retried = random.Intn(2) == 0; !entry.Retried {
		entry.GoalDeadline = now.Add(testGoal)
	}
	entry.Arrived = now.Add(-time.Duration(random.Intn(500)) * ms)
	entry.Rank, entry.OverShare = random.Intn(3), random.Intn(2) == 0
	entry.Bytes = int64(random.Intn(1000))
	if random.Intn(4) == 0 {
		// Without a goal the goal deadline must have no effect.
		entry.Goal, entry.GoalDeadline = 0, entry.Arrived.Add(time.Duration(random.Intn(1000))*ms)
	}
	return entry
}

// dispatchAll dispatches all entries at the given time and returns them in their order.
func dispatchAll(queue *Queue, now time.Time) (order []*Entry) {
	for first := queue.First(now); first != nil; first = queue.First(now) {
		if !queue.TryDispatch(now, first, Candidate{Spare: true}) {
			return order
		}
		order = append(order, first)
	}
	return order
}

// referenceBefore is an independent implementation of the order that the design specifies.
func referenceBefore(a, b *Entry, now time.Time) bool {
	tier := func(c *Entry) int {
		firstEventAt := now.Add(c.FirstEventTime + c.Goal/10)
		switch {
		case c.Goal == 0 || !firstEventAt.After(c.GoalDeadline):
			return 0
		case c.Retried && !firstEventAt.After(c.Arrived.Add(c.Goal)):
			return 1
		}
		return 2
	}
	overShare := map[bool]int{true: 1}
	keys := func(c *Entry) []int64 {
		deadline := c.GoalDeadline
		if tier(c) == 2 || c.Goal == 0 {
			deadline = c.Deadline
		}
		return []int64{int64(tier(c)), int64(overShare[c.OverShare]), int64(c.Rank), deadline.UnixNano(), int64(c.sequence)}
	}
	return slices.Compare(keys(a), keys(b)) < 0
}

// TestDispatchOrder dispatches random entries: first those that meet their goals from the first
// attempt, then those that meet them from the retry, then the late ones; each of these by share,
// rank and time.
func TestDispatchOrder(t *testing.T) {
	proptest.Run(t, "order", func(random *rand.Rand) error {
		queue := NewQueue(Bounds{Requests: 100, Bytes: 1 << 20})
		for range 1 + random.Intn(40) {
			queue.Admit(queueStart, newTestArrival(queueStart, randomEntry(random, queueStart), Candidate{LeftToPeers: true}), 0)
		}
		waiting := queue.Len()
		order := dispatchAll(queue, queueStart)
		if len(order) != waiting {
			return errors.Newf("%d of %d entries were dispatched", len(order), waiting)
		}
		for i := 1; i < len(order); i++ {
			if !referenceBefore(order[i-1], order[i], queueStart) {
				return errors.Newf("%+v went before %+v", order[i-1], order[i])
			}
		}
		return nil
	})
}

// TestOrderIsTransitive compares triples of random entries that differ in their times and in
// whether they have a goal, but not in rank and share.
func TestOrderIsTransitive(t *testing.T) {
	proptest.Run(t, "transitive", func(random *rand.Rand) error {
		entries := make([]*Entry, 30)
		for i := range entries {
			entries[i] = randomEntry(random, queueStart)
			entries[i].Rank, entries[i].OverShare = 0, false
			entries[i].prepare(uint64(i))
		}
		before := func(a, b *Entry) bool { return a.before(a.tierAt(queueStart), b, b.tierAt(queueStart)) }
		for i, a := range entries {
			for _, b := range entries[:i] {
				if before(a, b) == before(b, a) {
					return errors.Newf("neither or both go before the other: %+v, %+v", a, b)
				}
				for _, c := range entries {
					if before(a, b) && before(b, c) && before(c, a) {
						return errors.Newf("the order is circular: %+v, %+v, %+v", a, b, c)
					}
				}
			}
		}
		return nil
	})
}

// TestEntryWithGoalGoesBeforeEntriesWithout queues requests without a goal beside one whose goal
// deadline is before their callers' deadlines: the request with the goal goes first.
func TestEntryWithGoalGoesBeforeEntriesWithout(t *testing.T) {
	queue := NewQueue(Bounds{Requests: 64, Bytes: 1 << 20})
	for range 10 {
		entry := newTestEntry(queueStart.Add(-time.Second), 0)
		entry.Goal, entry.GoalDeadline = 0, entry.Arrived
		queue.Admit(queueStart, newTestArrival(queueStart, entry, Candidate{LeftToPeers: true}), 0)
	}
	withGoal := newTestEntry(queueStart, 0)
	queue.Admit(queueStart, newTestArrival(queueStart, withGoal, Candidate{LeftToPeers: true}), 0)
	if first := queue.First(queueStart); first != withGoal {
		t.Errorf("%+v goes first", first)
	}
}

// TestSharesGoBeforeRanks queues a flood of requests of the first rank, over their tenant's share,
// beside requests of all ranks within their shares: the latter go first.
func TestSharesGoBeforeRanks(t *testing.T) {
	queue := NewQueue(Bounds{Requests: 64, Bytes: 1 << 20})
	for number := range 40 {
		entry := newTestEntry(queueStart, 0)
		entry.Rank, entry.OverShare = 0, true
		if number%4 == 3 {
			entry.Rank, entry.OverShare = number%3, false
		}
		queue.enqueue(entry)
	}
	order := dispatchAll(queue, queueStart)
	if len(order) != 40 {
		t.Fatalf("%d entries were dispatched, want 40", len(order))
	}
	for position, entry := range order {
		if entry.OverShare != (position >= 10) {
			t.Errorf("%+v is dispatched at position %d", entry, position)
		}
	}
}

// TestQueueRejectsOverShareSooner decides on requests within and over their tenants' shares, at a
// worker and behind another entry. Their wait is so short that only the request over its tenant's
// share is rejected.
func TestQueueRejectsOverShareSooner(t *testing.T) {
	const shortWait = 80 * ms
	for _, over := range []bool{false, true} {
		for _, waiting := range []int{0, 1} {
			queue := NewQueue(Bounds{Requests: 64, Bytes: 1 << 20})
			for range waiting {
				queue.enqueue(newTestEntry(queueStart.Add(-time.Millisecond), 0))
			}
			arrival := newTestArrival(queueStart, newTestEntry(queueStart, 0), fullCandidate(shortWait))
			arrival.Entry.OverShare, arrival.Supply.Throughput = over, 100
			decision := queue.Admit(queueStart, arrival, 0.5)
			if (decision.Result == RetryLater) != over || over && decision.Reason != OverShare {
				t.Errorf("over %t, %d wait: %+v", over, waiting, decision)
			}
		}
	}
	// A retry is not rejected again.
	queue := NewQueue(Bounds{Requests: 64, Bytes: 1 << 20})
	arrival := newTestArrival(queueStart, newTestEntry(queueStart, 1500*ms), fullCandidate(shortWait))
	arrival.Entry.OverShare = true
	if decision := queue.Admit(queueStart, arrival, 0.5); decision.Result != Dispatched {
		t.Errorf("retry: %+v", decision)
	}
}

// TestDisplacedEntriesAreLastInOrder fills a small queue: its bounds hold, and every displaced
// entry would have been dispatched after all entries that stay.
func TestDisplacedEntriesAreLastInOrder(t *testing.T) {
	proptest.Run(t, "bounds", func(random *rand.Rand) error {
		bounds := Bounds{Requests: 1 + random.Intn(10), Bytes: int64(1000 + random.Intn(3000))}
		queue := NewQueue(bounds)
		for range 50 {
			entry := randomEntry(random, queueStart)
			decision := queue.Admit(queueStart, newTestArrival(queueStart, entry, fullCandidate(time.Duration(random.Intn(400))*ms)), random.Float64())
			if queue.Len() > bounds.Requests || queue.Bytes() > bounds.Bytes {
				return errors.Newf("%d entries with %d bytes wait, bounds %+v", queue.Len(), queue.Bytes(), bounds)
			}
			rejected := make([]*Entry, 0, len(decision.Displaced))
			for i := range decision.Displaced {
				rejected = append(rejected, decision.Displaced[i].Entry)
			}
			if decision.Result == QueueFull {
				rejected = append(rejected, entry)
			}
			for _, last := range rejected {
				for _, other := range queue.entries {
					if !referenceBefore(other, last, queueStart) {
						return errors.Newf("%+v was rejected and %+v kept", last, other)
					}
				}
			}
		}
		return nil
	})
}

// TestNoRejectionWhileSlotsAreFree admits requests while a slot is free: none is rejected unless
// the queue is full.
func TestNoRejectionWhileSlotsAreFree(t *testing.T) {
	proptest.Run(t, "free slots", func(random *rand.Rand) error {
		queue := NewQueue(Bounds{Requests: 50, Bytes: 1 << 20})
		for range 50 {
			candidate := Candidate{Spare: random.Intn(2) == 0, LeftToPeers: random.Intn(2) == 0}
			arrival := newTestArrival(queueStart, randomEntry(random, queueStart), candidate)
			arrival.Supply = Supply{Throughput: random.Float64() * 10, OverloadTimeLeft: time.Duration(random.Intn(5000)) * ms}
			decision := queue.Admit(queueStart, arrival, random.Float64())
			if decision.Result != Dispatched && decision.Result != Queued || len(decision.Displaced) > 0 {
				return errors.Newf("%s of %+v, %d displaced, at %+v", decision.Result, arrival.Entry, len(decision.Displaced), candidate)
			}
		}
		return nil
	})
}

// TestDeadlineTooSoonIsRejectedOnArrival checks that requests are rejected if they can't be
// dispatched before their deadlines, and that no others are: if nothing is known of the workers,
// all wait.
func TestDeadlineTooSoonIsRejectedOnArrival(t *testing.T) {
	proptest.Run(t, "hopeless", func(random *rand.Rand) error {
		queue := NewQueue(Bounds{Requests: 200, Bytes: 1 << 20})
		perSecond := float64(random.Intn(20))
		for range 100 {
			entry := randomEntry(random, queueStart)
			arrival := newTestArrival(queueStart, entry, fullCandidate(250*ms))
			arrival.Supply.Throughput, arrival.MaxTimeLeft = perSecond, 0
			decision := queue.Admit(queueStart, arrival, random.Float64())
			switch timeLeft := entry.Deadline.Sub(queueStart); {
			case decision.Result == DeadlineTooSoon && (decision.Predicted <= timeLeft || decision.RetryAfter < MinRetryAfter):
				return errors.Newf("rejected though a wait of %s is predicted and %s are left, or without a Retry-After: %+v", decision.Predicted, timeLeft, decision)
			case slices.ContainsFunc(decision.Displaced, func(d Displaced) bool { return queueStart.Sub(d.Entry.Arrived) > testGoal/4 }):
				return errors.Newf("rejected by prediction after a quarter of the goal: %+v", decision.Displaced)
			case decision.Result == DeadlineTooSoon && perSecond == 0:
				return errors.New("rejected though the throughput is unknown")
			case decision.Result == Queued && decision.Predicted > timeLeft:
				return errors.Newf("queued though a wait of %s is predicted and the deadline is in %s", decision.Predicted, timeLeft)
			}
		}
		return nil
	})
}

// TestUnattainableGoalTakesFreeSlot checks entries whose first event takes longer than the goal,
// and entries without a goal: they take a free slot even if it is not spare, but don't wait at a
// worker.
func TestUnattainableGoalTakesFreeSlot(t *testing.T) {
	for _, test := range []struct {
		firstEventTime, goal time.Duration
		want                 bool
	}{
		{0, 0, true},
		{testGoal, testGoal, true},
		{testGoal*goalPercent/hundredPercent + ms, testGoal, true},
		{testGoal*goalPercent/hundredPercent - ms, testGoal, false},
		{0, testGoal, false},
	} {
		entry := newTestEntry(queueStart.Add(-time.Second), 0)
		entry.FirstEventTime, entry.Goal = test.firstEventTime, test.goal
		entry.prepare(0)
		if got := (Candidate{}).accepts(queueStart, entry); got != test.want {
			t.Errorf("%s of %s: takes a free slot: %t", test.firstEventTime, test.goal, got)
		}
		for _, candidate := range []Candidate{{LeftToPeers: true}, fullCandidate(0), fullCandidate(ms)} {
			if candidate.accepts(queueStart, entry) {
				t.Errorf("%s of %s: takes %+v", test.firstEventTime, test.goal, candidate)
			}
		}
	}
}

// TestLateEntriesAreDispatched queues late entries beside a load that leaves capacity: all are
// dispatched before their deadlines. While on-time entries use all slots, none is.
func TestLateEntriesAreDispatched(t *testing.T) {
	queue := NewQueue(Bounds{Requests: 64, Bytes: 1 << 20})
	for range 10 {
		queue.Admit(queueStart, newTestArrival(queueStart, newTestEntry(queueStart, 2000*ms), fullCandidate(0)), 0)
	}
	late := queueStart.Add(testGoal)
	if first := queue.First(late); queue.TryDispatch(late, first, Candidate{}) || queue.TryDispatch(late, first, fullCandidate(10*ms)) || queue.TryDispatch(late, first, Candidate{Spare: true, LeftToPeers: true}) {
		t.Error("a late entry took a slot that other requests are about to use")
	}
	for tick := late; tick.Before(queueStart.Add(2500 * ms)); tick = tick.Add(100 * ms) {
		fresh := newTestEntry(tick, 0)
		if decision := queue.Admit(tick, newTestArrival(tick, fresh, Candidate{}), 0); decision.Result != Dispatched {
			t.Fatalf("entry that meets its goal: %+v", decision)
		}
		if first := queue.First(tick); first != nil && !queue.TryDispatch(tick, first, Candidate{Spare: true}) {
			t.Fatalf("%+v is not dispatched", first)
		}
	}
	if queue.Len() > 0 || queue.Bytes() != 0 {
		t.Errorf("%d entries still wait, %d bytes", queue.Len(), queue.Bytes())
	}
}

// TestRemoveExpired removes entries whose deadlines have passed, as after a suspension of the
// machine.
func TestRemoveExpired(t *testing.T) {
	queue := NewQueue(Bounds{Requests: 64, Bytes: 1 << 20})
	soon, later := newTestEntry(queueStart, 4000*ms), newTestEntry(queueStart, 0)
	queue.enqueue(soon)
	queue.enqueue(later)
	if expired := queue.RemoveExpired(queueStart.Add(1500 * ms)); len(expired) != 1 || expired[0] != soon || queue.Len() != 1 {
		t.Errorf("%v expired, %d wait", expired, queue.Len())
	}
	if expired := queue.RemoveExpired(queueStart.Add(time.Minute)); len(expired) != 1 || queue.Len() != 0 || queue.Bytes() != 0 {
		t.Errorf("%v expired, %d wait with %d bytes", expired, queue.Len(), queue.Bytes())
	}
}

// TestFirstEventTimeout checks how long callers wait for a first event.
func TestFirstEventTimeout(t *testing.T) {
	for _, test := range []struct{ goal, gap, want time.Duration }{
		{300 * ms, 100 * ms, 2000 * ms},
		{1000 * ms, 100 * ms, 4000 * ms},
		{300 * ms, 500 * ms, 4000 * ms},
	} {
		if got := FirstEventTimeout(test.goal, test.gap); got != test.want {
			t.Errorf("%+v: %s", test, got)
		}
	}
}

// TestRetryAfter checks the Retry-After of callers that must be rejected again: after the overload,
// within a third of their time left, or, if less time than that is left, when a new request would
// find capacity.
func TestRetryAfter(t *testing.T) {
	proptest.Run(t, "comebacks", func(random *rand.Rand) error {
		timeLeft, overloadTimeLeft := time.Duration(random.Intn(6000))*ms, time.Duration(random.Intn(3000))*ms
		retryAfter := RetryAfter(timeLeft, overloadTimeLeft, random.Float64())
		latest := timeLeft / maxRetryAfterDivisor
		switch {
		case retryAfter < MinRetryAfter:
			return errors.Newf("%s", retryAfter)
		case latest >= MinRetryAfter && retryAfter > latest:
			return errors.Newf("%s of %s", retryAfter, timeLeft)
		case latest < MinRetryAfter && retryAfter < overloadTimeLeft:
			return errors.Newf("%s, and the overload ends in %s", retryAfter, overloadTimeLeft)
		}
		return nil
	})
}

// BenchmarkAdmit decides on a request that finds 64 entries waiting, and removes it again.
func BenchmarkAdmit(b *testing.B) {
	const waiting = 64
	random := rand.New(rand.NewSource(1))
	queue := NewQueue(Bounds{Requests: 2 * waiting, Bytes: 1 << 20})
	for range waiting {
		entry := randomEntry(random, queueStart)
		entry.Deadline = queueStart.Add(time.Hour)
		entry.prepare(0)
		queue.enqueue(entry)
	}
	entry := newTestEntry(queueStart, 1500*ms)
	entry.Deadline = queueStart.Add(time.Hour)
	arrival := newTestArrival(queueStart, entry, fullCandidate(250*ms))
	arrival.MaxTimeLeft = entry.Deadline.Sub(queueStart) + time.Second
	b.ReportAllocs()
	for b.Loop() {
		if decision := queue.Admit(queueStart, arrival, 0.5); decision.Result != Queued {
			b.Fatalf("%+v", decision)
		}
		queue.Remove(entry)
	}
}

// BenchmarkFirst finds the entry that goes first of 64 waiting ones.
func BenchmarkFirst(b *testing.B) {
	random := rand.New(rand.NewSource(1))
	queue := NewQueue(Bounds{Requests: 64, Bytes: 1 << 20})
	for range 64 {
		entry := randomEntry(random, queueStart)
		entry.prepare(0)
		queue.enqueue(entry)
	}
	b.ReportAllocs()
	for b.Loop() {
		if queue.First(queueStart) == nil {
			b.Fatal("no entry waits")
		}
	}
}
