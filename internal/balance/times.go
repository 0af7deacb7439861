package balance

import (
	"math"
	"time"

	"github.com/sedgemast/sedgemast/internal/capacity"
	"github.com/sedgemast/sedgemast/internal/loadshare"
)

// scoring is how workers are compared.
type scoring uint8

const (
	// byCostUnlessTold compares by cost, and by predicted times where the workers tell their
	// pace. All processes do. The others are what tests compare it with.
	byCostUnlessTold scoring = iota
	byCost
	byTimes
	// byFreeAt compares by the time to a slot alone.
	byFreeAt
)

const (
	// giveWay is how long an item takes to give way: until the next report of its runner and
	// its next look.
	giveWay = 3 * loadshare.Interval / 2
	// holdWeight is what the slot-time that a request takes weighs against the time that its
	// caller waits: a slower worker is taken before the last slot of a faster one.
	holdWeight = 0.05
	// waitWeight is what a predicted wait weighs against a time that is known: it is a mean, of
	// waits from nothing to several times as much.
	waitWeight = 3
	// leastSpare is how many slots some worker of a zone must have left beside the request for
	// the zone to have one to spare: its last one may be taken by a request that nobody has told
	// of yet. Workers of one slot have none to leave. A zone without one sends to one with
	// it, so two never send to each other.
	leastSpare = 1
	// unknownHold stands in for how long a request holds a slot until that is known, so that
	// counts are compared meanwhile.
	unknownHold = time.Second
	// thousand is the number of tokens that the time to read them is told for.
	thousand = 1000
	// zonePrice is what another zone costs, in time. It counts only where the own zone has no
	// slot to spare, and then says that a little waiting is better than the bytes.
	zonePrice = 20 * time.Millisecond
)

// soonest returns the worker of the least score, by lot among equals: one of the zone where
// any of these has a slot to spare, whatever idles elsewhere.
func (t *Table) soonest(now time.Time, known *pool, demand *Request, fit []*worker) *worker {
	usual := t.usualOf(known, demand)
	near := t.bestOf(now, demand, usual, fit, 0)
	if near.spare {
		return near.best
	}
	far := t.bestOf(now, demand, usual, fit, 1)
	switch {
	case near.best == nil:
		return far.best
	case far.spare && far.score+zonePrice.Seconds() < near.score:
		return far.best
	}
	return near.best
}

// bestOf returns the best worker of the zone, or of the others.
func (t *Table) bestOf(now time.Time, demand *Request, usual capacity.Pool, fit []*worker, away int) scored {
	var best scored
	for _, candidate := range fit {
		if t.away(candidate) != away {
			continue
		}
		prediction, score := t.score(now, candidate, usual, demand)
		best.take(t, candidate, score, prediction.FreeSlots >= min(leastSpare, max(t.slotsOf(candidate), 1)-1))
	}
	return best
}

// scored is the best worker of some.
type scored struct {
	best   *worker
	score  float64
	equals int
	// spare is set where any of them has a slot to spare (leastSpare).
	spare bool
}

func (s *scored) take(t *Table, candidate *worker, score float64, spare bool) {
	s.spare = s.spare || spare
	switch {
	case s.best == nil || score < s.score-tieMargin:
		s.best, s.score, s.equals = candidate, score, 1
	case score < s.score+tieMargin:
		s.equals++
		if t.random.IntN(s.equals) == 0 {
			s.best = candidate
		}
	}
}

// score rates a worker, the lower the better, in seconds.
func (t *Table) score(now time.Time, candidate *worker, usual capacity.Pool, demand *Request) (capacity.Prediction, float64) {
	model := t.modelOf(now, candidate)
	prediction := model.Predict(usual, demand.PromptTokens-t.cachedTokens(candidate, demand))
	if t.scoring == byFreeAt {
		return prediction, prediction.Wait.Seconds()
	}
	score := (prediction.FirstEvent - prediction.Wait).Seconds() + waitWeight*max(prediction.Wait, prediction.RiskAdjustedWait).Seconds()
	score += holdWeight * (prediction.LastEvent - prediction.FirstEvent + prediction.AddedDelay).Seconds()
	return prediction, score
}

// usualOf returns what requests of the pool take at a worker of the middle speed.
func (t *Table) usualOf(known *pool, demand *Request) capacity.Pool {
	hold := known.usualHold()
	if hold == 0 {
		hold = unknownHold
	}
	read := float64(hold) * thousand / (float64(t.memoryOf(demand.Pool)) * unreadShare)
	return capacity.Pool{HoldTime: hold, EventInterval: known.middle, PrefillTime: time.Duration(math.Min(read, float64(time.Second))), PreemptionTime: giveWay}
}

// usualHold returns how long an online request holds a slot at a worker of the middle speed,
// zero if unknown. What is learnt is the hold at the mean of those that run them.
func (p *pool) usualHold() time.Duration {
	return time.Duration(float64(p.hold) * p.nearSum.Plus(p.farSum).Speed())
}

// modelOf returns what is known of a worker.
func (t *Table) modelOf(now time.Time, w *worker) capacity.Worker {
	model := capacity.Worker{
		Slots:               t.slotsOf(w),
		Online:              w.inFlight - w.batch + t.orphaned(now, w),
		Items:               w.batch,
		PendingPromptTokens: w.unread,
		Slowness:            w.slownessNow(now),
	}
	if others, known := t.toldByOthers(now, w); known {
		model.Online += int(others.Online)
		model.Items += int(others.Batch)
		model.PendingPromptTokens += int64(others.Unread)
	}
	return model
}

// slotsOf returns how many requests a worker runs at once: by the list, and by what it told
// where its pool tells its pace.
func (t *Table) slotsOf(w *worker) int {
	if !t.tellsPace(w.listed.Pool) {
		return w.listed.Slots
	}
	return capacity.EffectiveSlots(w.listed.Slots, w.toldSlots)
}

// slownessOf returns how many times as long as elsewhere an event takes at the worker, as the
// scoring of its pool sees it.
func (t *Table) slownessOf(now time.Time, w *worker) float64 {
	if t.byTimes(w.listed.Pool) {
		return capacity.ClampSlowness(w.slownessNow(now))
	}
	return w.slowness(now)
}

// holdAt returns how long an online request holds a slot at the worker, zero if unknown.
func (t *Table) holdAt(now time.Time, w *worker) time.Duration {
	hold := t.holdOf(w)
	if t.byTimes(w.listed.Pool) {
		hold = t.pools[w.listed.Pool].usualHold()
	}
	return time.Duration(float64(hold) * t.slownessOf(now, w))
}

// sumUp adds up what the pool's workers can carry. Those that nothing is known of are of the
// middle speed.
func (t *Table) sumUp(now time.Time, known *pool, active []*worker) {
	known.nearSum = capacity.Sum{Slots: known.nearSlots, NormalizedSlots: float64(known.nearSlots), AsOf: now}
	far := known.slots - known.nearSlots
	known.farSum = capacity.Sum{Slots: far, NormalizedSlots: float64(far), AsOf: now}
	for _, candidate := range active {
		if !candidate.entered {
			continue
		}
		sum := &known.farSum
		if t.away(candidate) == 0 {
			sum = &known.nearSum
		}
		slots := candidate.listed.Slots
		sum.Slots -= slots
		sum.NormalizedSlots -= float64(slots)
		if !candidate.others.Failing && !now.Before(candidate.suspectUntil) {
			sum.Add(t.slotsOf(candidate), candidate.slownessNow(now))
		}
	}
}

// Capacity returns what the usable workers of the pool can carry, those of this process's zone
// and those of the others.
func (t *Table) Capacity(pool string) (near, far capacity.Sum) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.pools[pool]; known != nil {
		return known.nearSum, known.farSum
	}
	return capacity.Sum{}, capacity.Sum{}
}
