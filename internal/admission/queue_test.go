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
	testGoal  = 300 * ms
	testBegin = 80 * ms
	testTime  = 5000 * ms
)

// claimOf returns the claim of a caller who asked first so long ago, and now.
func claimOf(now time.Time, age time.Duration) *Entry {
	claim := &Entry{
		GoalDeadline:   now.Add(testGoal - age),
		Deadline:       now.Add(testTime - age),
		Retried:        age > 0,
		Arrived:        now,
		Goal:           testGoal,
		FirstEventTime: testBegin,
		Bytes:          100,
	}
	claim.prepare(0)
	return claim
}

// fullOffer is a place where a request waits for so long.
func fullOffer(wait time.Duration) Candidate {
	return Candidate{Full: true, Wait: wait, MaxWait: wait}
}

// arrivalOf returns the arrival of a claim at the place.
func arrivalOf(now time.Time, claim *Entry, offer Candidate) *Arrival {
	return &Arrival{Entry: claim, Candidate: offer, Supply: Supply{Throughput: 10}, TimeLeft: claim.Deadline.Sub(now), MaxTimeLeft: testTime}
}

// TestArrivals compares what becomes of requests with testdata/arrivals.txt.
func TestArrivals(t *testing.T) {
	var trace strings.Builder
	for _, waiting := range []int{0, 20} {
		for _, age := range []time.Duration{0, 1500 * ms, 4000 * ms} {
			for _, offer := range []Candidate{{Spare: true}, {}, {LeftToPeers: true}, fullOffer(0), fullOffer(100 * ms), fullOffer(250 * ms), {Wait: 250 * ms, MaxWait: 250 * ms}} {
				queue := NewQueue(Bounds{Requests: 64, Bytes: 1 << 20})
				for range waiting {
					queue.enter(claimOf(queueStart.Add(-time.Second), 1000*ms))
				}
				decision := queue.Admit(queueStart, arrivalOf(queueStart, claimOf(queueStart, age), offer), 0.5)
				fmt.Fprintf(&trace, "%d late ones wait, first asked %s ago, full %t wait %s spare %t left %t: %s, %d ahead, predicted %s, comeback %s, displaced %d\n",
					waiting, age, offer.Full, offer.Wait, offer.Spare, offer.LeftToPeers, decision.Result, decision.Ahead, decision.Predicted.Round(ms), decision.RetryAfter, len(decision.Displaced))
			}
		}
	}
	compareGolden(t, "arrivals.txt", trace.String())
}

// randomClaim returns some claim.
func randomClaim(random *rand.Rand, now time.Time) *Entry {
	claim := claimOf(now, time.Duration(random.Intn(4000))*ms)
	if claim.Retried = random.Intn(2) == 0; !claim.Retried {
		claim.GoalDeadline = now.Add(testGoal)
	}
	claim.Arrived = now.Add(-time.Duration(random.Intn(500)) * ms)
	claim.Rank, claim.OverShare = random.Intn(3), random.Intn(2) == 0
	claim.Bytes = int64(random.Intn(1000))
	if random.Intn(4) == 0 {
		// Without a goal the due time that is told counts for nothing.
		claim.Goal, claim.GoalDeadline = 0, claim.Arrived.Add(time.Duration(random.Intn(1000))*ms)
	}
	return claim
}

// served takes all claims out in the order in which they go at the moment.
func served(queue *Queue, now time.Time) (order []*Entry) {
	for first := queue.First(now); first != nil; first = queue.First(now) {
		if !queue.TryDispatch(now, first, Candidate{Spare: true}) {
			return order
		}
		order = append(order, first)
	}
	return order
}

// goesBefore is the order as the design tells it, written anew.
func goesBefore(a, b *Entry, now time.Time) bool {
	group := func(c *Entry) int {
		first := now.Add(c.FirstEventTime + c.Goal/10)
		switch {
		case c.Goal == 0 || !first.After(c.GoalDeadline):
			return 0
		case c.Retried && !first.After(c.Arrived.Add(c.Goal)):
			return 1
		}
		return 2
	}
	over := map[bool]int{true: 1}
	keys := func(c *Entry) []int64 {
		last := c.GoalDeadline
		if group(c) == 2 || c.Goal == 0 {
			last = c.Deadline
		}
		return []int64{int64(group(c)), int64(over[c.OverShare]), int64(c.Rank), last.UnixNano(), int64(c.number)}
	}
	return slices.Compare(keys(a), keys(b)) < 0
}

// TestOrder serves random claims: those in time from the first attempt, then those in time
// from their return, then the late ones, and each by share, rank and time.
func TestOrder(t *testing.T) {
	proptest.Run(t, "order", func(random *rand.Rand) error {
		queue := NewQueue(Bounds{Requests: 100, Bytes: 1 << 20})
		for range 1 + random.Intn(40) {
			queue.Admit(queueStart, arrivalOf(queueStart, randomClaim(random, queueStart), Candidate{LeftToPeers: true}), 0)
		}
		waiting := queue.Len()
		order := served(queue, queueStart)
		if len(order) != waiting {
			return errors.Newf("%d of %d were served", len(order), waiting)
		}
		for i := 1; i < len(order); i++ {
			if !goesBefore(order[i-1], order[i], queueStart) {
				return errors.Newf("%+v went before %+v", order[i-1], order[i])
			}
		}
		return nil
	})
}

// TestOrderIsTransitive compares random claims of one kind in threes, with and without goals.
func TestOrderIsTransitive(t *testing.T) {
	proptest.Run(t, "transitive", func(random *rand.Rand) error {
		claims := make([]*Entry, 30)
		for i := range claims {
			claims[i] = randomClaim(random, queueStart)
			claims[i].Rank, claims[i].OverShare = 0, false
			claims[i].prepare(uint64(i))
		}
		before := func(a, b *Entry) bool { return a.before(a.classAt(queueStart), b, b.classAt(queueStart)) }
		for i, a := range claims {
			for _, b := range claims[:i] {
				if before(a, b) == before(b, a) {
					return errors.Newf("no order: %+v, %+v", a, b)
				}
				for _, c := range claims {
					if before(a, b) && before(b, c) && before(c, a) {
						return errors.Newf("a ring: %+v, %+v, %+v", a, b, c)
					}
				}
			}
		}
		return nil
	})
}

// TestNoGoalsTakeTheirTurn lets claims without a goal come again and again beside one that is
// due sooner than their callers leave: that goes first.
func TestNoGoalsTakeTheirTurn(t *testing.T) {
	queue := NewQueue(Bounds{Requests: 64, Bytes: 1 << 20})
	for range 10 {
		claim := claimOf(queueStart.Add(-time.Second), 0)
		claim.Goal, claim.GoalDeadline = 0, claim.Arrived
		queue.Admit(queueStart, arrivalOf(queueStart, claim, Candidate{LeftToPeers: true}), 0)
	}
	aimed := claimOf(queueStart, 0)
	queue.Admit(queueStart, arrivalOf(queueStart, aimed, Candidate{LeftToPeers: true}), 0)
	if first := queue.First(queueStart); first != aimed {
		t.Errorf("%+v goes first", first)
	}
}

// TestSharesGoBeforeRanks lets a flood of the first rank, which is over its share, wait beside
// claims of later ranks within theirs: those go first.
func TestSharesGoBeforeRanks(t *testing.T) {
	queue := NewQueue(Bounds{Requests: 64, Bytes: 1 << 20})
	for number := range 40 {
		claim := claimOf(queueStart, 0)
		claim.Rank, claim.OverShare = 0, true
		if number%4 == 3 {
			claim.Rank, claim.OverShare = number%3, false
		}
		queue.enter(claim)
	}
	order := served(queue, queueStart)
	if len(order) != 40 {
		t.Fatalf("%d were served", len(order))
	}
	for place, claim := range order {
		if claim.OverShare != (place >= 10) {
			t.Errorf("%+v is served as number %d", claim, place)
		}
	}
}

// TestOverShareIsSentBackThroughTheLine lets a request come that would wait so long that only
// one over its share is sent back: at a worker, and behind others.
func TestOverShareIsSentBackThroughTheLine(t *testing.T) {
	const short = 80 * ms
	for _, over := range []bool{false, true} {
		for _, waiting := range []int{0, 1} {
			queue := NewQueue(Bounds{Requests: 64, Bytes: 1 << 20})
			for range waiting {
				queue.enter(claimOf(queueStart.Add(-time.Millisecond), 0))
			}
			arrival := arrivalOf(queueStart, claimOf(queueStart, 0), fullOffer(short))
			arrival.Entry.OverShare, arrival.Supply.Throughput = over, 100
			decision := queue.Admit(queueStart, arrival, 0.5)
			if (decision.Result == RetryLater) != over || over && decision.Reason != OverShare {
				t.Errorf("over %t, %d wait: %+v", over, waiting, decision)
			}
		}
	}
	// One that comes back is not sent back again.
	queue := NewQueue(Bounds{Requests: 64, Bytes: 1 << 20})
	arrival := arrivalOf(queueStart, claimOf(queueStart, 1500*ms), fullOffer(short))
	arrival.Entry.OverShare = true
	if decision := queue.Admit(queueStart, arrival, 0.5); decision.Result != Dispatched {
		t.Errorf("after the return: %+v", decision)
	}
}

// TestRefusedIsServedLast fills a small queue: its bounds hold, and whoever is displaced would
// have been served after all who stay.
func TestRefusedIsServedLast(t *testing.T) {
	proptest.Run(t, "bounds", func(random *rand.Rand) error {
		bounds := Bounds{Requests: 1 + random.Intn(10), Bytes: int64(1000 + random.Intn(3000))}
		queue := NewQueue(bounds)
		for range 50 {
			claim := randomClaim(random, queueStart)
			decision := queue.Admit(queueStart, arrivalOf(queueStart, claim, fullOffer(time.Duration(random.Intn(400))*ms)), random.Float64())
			if queue.Len() > bounds.Requests || queue.Bytes() > bounds.Bytes {
				return errors.Newf("%d claims with %d bytes wait of %+v", queue.Len(), queue.Bytes(), bounds)
			}
			refused := make([]*Entry, 0, len(decision.Displaced))
			for i := range decision.Displaced {
				refused = append(refused, decision.Displaced[i].Entry)
			}
			if decision.Result == QueueFull {
				refused = append(refused, claim)
			}
			for _, last := range refused {
				for _, other := range queue.claims {
					if !goesBefore(other, last, queueStart) {
						return errors.Newf("%+v was refused and %+v kept", last, other)
					}
				}
			}
		}
		return nil
	})
}

// TestNoRefusalBesideFreeSlots lets claims come while a slot is free: none is refused, but for
// want of space to wait in.
func TestNoRefusalBesideFreeSlots(t *testing.T) {
	proptest.Run(t, "free slots", func(random *rand.Rand) error {
		queue := NewQueue(Bounds{Requests: 50, Bytes: 1 << 20})
		for range 50 {
			offer := Candidate{Spare: random.Intn(2) == 0, LeftToPeers: random.Intn(2) == 0}
			arrival := arrivalOf(queueStart, randomClaim(random, queueStart), offer)
			arrival.Supply = Supply{Throughput: random.Float64() * 10, OverloadTimeLeft: time.Duration(random.Intn(5000)) * ms}
			decision := queue.Admit(queueStart, arrival, random.Float64())
			if decision.Result != Dispatched && decision.Result != Queued || len(decision.Displaced) > 0 {
				return errors.Newf("%s of %+v, %d displaced, at %+v", decision.Result, arrival.Entry, len(decision.Displaced), offer)
			}
		}
		return nil
	})
}

// TestHopelessIsRefusedAtOnce refuses who can't be served before leaving, and nobody else:
// where nothing is known of the workers, all wait.
func TestHopelessIsRefusedAtOnce(t *testing.T) {
	proptest.Run(t, "hopeless", func(random *rand.Rand) error {
		queue := NewQueue(Bounds{Requests: 200, Bytes: 1 << 20})
		perSecond := float64(random.Intn(20))
		for range 100 {
			claim := randomClaim(random, queueStart)
			arrival := arrivalOf(queueStart, claim, fullOffer(250*ms))
			arrival.Supply.Throughput, arrival.MaxTimeLeft = perSecond, 0
			decision := queue.Admit(queueStart, arrival, random.Float64())
			switch bears := claim.Deadline.Sub(queueStart); {
			case decision.Result == DeadlineTooSoon && (decision.Predicted <= bears || decision.RetryAfter < MinRetryAfter):
				return errors.Newf("refused though %s of %s are predicted, or without a time: %+v", decision.Predicted, bears, decision)
			case slices.ContainsFunc(decision.Displaced, func(d Displaced) bool { return queueStart.Sub(d.Entry.Arrived) > testGoal/4 }):
				return errors.Newf("refused by prediction after a quarter of the goal: %+v", decision.Displaced)
			case decision.Result == DeadlineTooSoon && perSecond == 0:
				return errors.New("refused though nothing is known")
			case decision.Result == Queued && decision.Predicted > bears:
				return errors.Newf("%s are predicted, and the caller leaves after %s", decision.Predicted, bears)
			}
		}
		return nil
	})
}

// TestSlowBeginsTakeFreeSlots lets claims come whose first event takes longer than the goal, as no
// goal at all: they take a free slot that is not to spare, but don't wait at a worker.
func TestSlowBeginsTakeFreeSlots(t *testing.T) {
	for _, test := range []struct {
		begin, goal time.Duration
		want        bool
	}{
		{0, 0, true},
		{testGoal, testGoal, true},
		{testGoal*goalPart/hundreds + ms, testGoal, true},
		{testGoal*goalPart/hundreds - ms, testGoal, false},
		{0, testGoal, false},
	} {
		claim := claimOf(queueStart.Add(-time.Second), 0)
		claim.FirstEventTime, claim.Goal = test.begin, test.goal
		claim.prepare(0)
		if got := (Candidate{}).takes(queueStart, claim); got != test.want {
			t.Errorf("%s of %s: takes a free slot: %t", test.begin, test.goal, got)
		}
		for _, offer := range []Candidate{{LeftToPeers: true}, fullOffer(0), fullOffer(ms)} {
			if offer.takes(queueStart, claim) {
				t.Errorf("%s of %s: takes %+v", test.begin, test.goal, offer)
			}
		}
	}
}

// TestLateOnesAreServed lets late claims wait beside a load that leaves room: all are served
// before they leave. While those who are in time take all, none is.
func TestLateOnesAreServed(t *testing.T) {
	queue := NewQueue(Bounds{Requests: 64, Bytes: 1 << 20})
	for range 10 {
		queue.Admit(queueStart, arrivalOf(queueStart, claimOf(queueStart, 2000*ms), fullOffer(0)), 0)
	}
	late := queueStart.Add(testGoal)
	if first := queue.First(late); queue.TryDispatch(late, first, Candidate{}) || queue.TryDispatch(late, first, fullOffer(10*ms)) || queue.TryDispatch(late, first, Candidate{Spare: true, LeftToPeers: true}) {
		t.Error("a late one went where others are about to go")
	}
	for tick := late; tick.Before(queueStart.Add(2500 * ms)); tick = tick.Add(100 * ms) {
		fresh := claimOf(tick, 0)
		if decision := queue.Admit(tick, arrivalOf(tick, fresh, Candidate{}), 0); decision.Result != Dispatched {
			t.Fatalf("one that is in time: %+v", decision)
		}
		if first := queue.First(tick); first != nil && !queue.TryDispatch(tick, first, Candidate{Spare: true}) {
			t.Fatalf("%+v is not served", first)
		}
	}
	if queue.Len() > 0 || queue.Bytes() != 0 {
		t.Errorf("%d still wait, %d bytes", queue.Len(), queue.Bytes())
	}
}

// TestExpired takes out who has left, as after a suspension of the machine.
func TestExpired(t *testing.T) {
	queue := NewQueue(Bounds{Requests: 64, Bytes: 1 << 20})
	soon, later := claimOf(queueStart, 4000*ms), claimOf(queueStart, 0)
	queue.enter(soon)
	queue.enter(later)
	if expired := queue.RemoveExpired(queueStart.Add(1500 * ms)); len(expired) != 1 || expired[0] != soon || queue.Len() != 1 {
		t.Errorf("%v expired, %d wait", expired, queue.Len())
	}
	if expired := queue.RemoveExpired(queueStart.Add(time.Minute)); len(expired) != 1 || queue.Len() != 0 || queue.Bytes() != 0 {
		t.Errorf("%v expired, %d wait with %d bytes", expired, queue.Len(), queue.Bytes())
	}
}

// TestPatience works out how long callers wait for a first event.
func TestPatience(t *testing.T) {
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

// TestComebacks tells callers who must be refused again to come after the overload, within a
// third of their time, or, where that is over, when a new request would find room.
func TestComebacks(t *testing.T) {
	proptest.Run(t, "comebacks", func(random *rand.Rand) error {
		left, ends := time.Duration(random.Intn(6000))*ms, time.Duration(random.Intn(3000))*ms
		comeback := RetryAfter(left, ends, random.Float64())
		latest := left / comebackParts
		switch {
		case comeback < MinRetryAfter:
			return errors.Newf("%s", comeback)
		case latest >= MinRetryAfter && comeback > latest:
			return errors.Newf("%s of %s", comeback, left)
		case latest < MinRetryAfter && comeback < ends:
			return errors.Newf("%s, and the overload ends in %s", comeback, ends)
		}
		return nil
	})
}

// BenchmarkArrive decides on a request that finds 64 waiting, and takes it out again.
func BenchmarkArrive(b *testing.B) {
	const waiting = 64
	random := rand.New(rand.NewSource(1))
	queue := NewQueue(Bounds{Requests: 2 * waiting, Bytes: 1 << 20})
	for range waiting {
		claim := randomClaim(random, queueStart)
		claim.Deadline = queueStart.Add(time.Hour)
		claim.prepare(0)
		queue.enter(claim)
	}
	claim := claimOf(queueStart, 1500*ms)
	claim.Deadline = queueStart.Add(time.Hour)
	arrival := arrivalOf(queueStart, claim, fullOffer(250*ms))
	arrival.MaxTimeLeft = claim.Deadline.Sub(queueStart) + time.Second
	b.ReportAllocs()
	for b.Loop() {
		if decision := queue.Admit(queueStart, arrival, 0.5); decision.Result != Queued {
			b.Fatalf("%+v", decision)
		}
		queue.Remove(claim)
	}
}

// BenchmarkFirst chooses who goes first of 64 that wait.
func BenchmarkFirst(b *testing.B) {
	random := rand.New(rand.NewSource(1))
	queue := NewQueue(Bounds{Requests: 64, Bytes: 1 << 20})
	for range 64 {
		claim := randomClaim(random, queueStart)
		claim.prepare(0)
		queue.enter(claim)
	}
	b.ReportAllocs()
	for b.Loop() {
		if queue.First(queueStart) == nil {
			b.Fatal("none waits")
		}
	}
}
