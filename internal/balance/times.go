package balance

import (
	"math"
	"time"

	"github.com/sedgemast/sedgemast/internal/capacity"
	"github.com/sedgemast/sedgemast/internal/loadshare"
)

// scoring selects how workers are compared.
type scoring uint8

const (
	// scoringAuto compares by cost, or by predicted times if the workers of the pool report their
	// pace. All processes use it; tests compare it with the others.
	scoringAuto scoring = iota
	scoringCost
	scoringPredictedTime
	// scoringWait compares only by the time until a slot is free.
	scoringWait
)

const (
	// preemptionTime is how long the preemption of an item takes: until the next report of its
	// runner and the runner's next poll.
	preemptionTime = 3 * loadshare.Interval / 2
	// holdWeight is the weight of the slot time that a request uses, relative to the waiting time
	// of its caller. It is high enough that a slower worker is chosen before the last slot of a
	// faster one.
	holdWeight = 0.05
	// waitWeight is the weight of a predicted wait relative to a known time. The prediction is
	// the mean of waits from zero to several times its value.
	waitWeight = 3
	// minSpareSlots is the number of slots that some worker of a zone must have left after the
	// request for the zone to have spare slots: the last one may be taken by a request that is
	// not reported yet. Workers with one slot need none left. Only a zone without spare slots
	// sends requests to one with them, so no two zones send to each other.
	minSpareSlots = 1
	// defaultHoldTime is assumed until a pool's hold time is known, so that workers are compared
	// by request counts meanwhile.
	defaultHoldTime = time.Second
	// prefillUnit is the number of tokens that capacity.Pool.PrefillTime refers to.
	prefillUnit = 1000
	// zoneTimePenalty is the cost of a worker in another zone. It applies only if this zone has
	// no spare slots, where a short wait is still better than traffic between zones.
	zoneTimePenalty = 20 * time.Millisecond
)

// bestByTime returns the worker of the lowest score, a random one among equals. It is a worker of
// this zone if any of these has a spare slot, even if other zones have idle workers.
func (t *Table) bestByTime(now time.Time, known *pool, demand *Request, fit []*worker) *worker {
	usual := t.poolModel(known, demand)
	near := t.bestInZones(now, demand, usual, fit, 0)
	if near.spare {
		return near.best
	}
	far := t.bestInZones(now, demand, usual, fit, 1)
	switch {
	case near.best == nil:
		return far.best
	case far.spare && far.score+zoneTimePenalty.Seconds() < near.score:
		return far.best
	}
	return near.best
}

// bestInZones returns the best worker of this zone (distance 0) or of the others (distance 1).
func (t *Table) bestInZones(now time.Time, demand *Request, usual capacity.Pool, fit []*worker, away int) bestWorker {
	var best bestWorker
	for _, candidate := range fit {
		if t.zoneDistance(candidate) != away {
			continue
		}
		prediction, score := t.score(now, candidate, usual, demand)
		best.consider(t, candidate, score, prediction.FreeSlots >= min(minSpareSlots, max(t.effectiveSlots(candidate), 1)-1))
	}
	return best
}

// bestWorker accumulates the best of a series of workers.
type bestWorker struct {
	best   *worker
	score  float64
	equals int
	// spare is set if any of the workers has a spare slot (minSpareSlots).
	spare bool
}

func (s *bestWorker) consider(t *Table, candidate *worker, score float64, spare bool) {
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

// score rates a worker, in seconds; lower is better.
func (t *Table) score(now time.Time, candidate *worker, usual capacity.Pool, demand *Request) (capacity.Prediction, float64) {
	model := t.workerModel(now, candidate)
	prediction := model.Predict(usual, demand.PromptTokens-t.cachedTokens(candidate, demand))
	if t.scoring == scoringWait {
		return prediction, prediction.Wait.Seconds()
	}
	score := (prediction.FirstEvent - prediction.Wait).Seconds() + waitWeight*max(prediction.Wait, prediction.RiskAdjustedWait).Seconds()
	score += holdWeight * (prediction.LastEvent - prediction.FirstEvent + prediction.AddedDelay).Seconds()
	return prediction, score
}

// poolModel returns what a request of the pool takes at a worker of median speed.
func (t *Table) poolModel(known *pool, demand *Request) capacity.Pool {
	hold := known.normalHoldTime()
	if hold == 0 {
		hold = defaultHoldTime
	}
	read := float64(hold) * prefillUnit / (float64(t.memoryOf(demand.Pool)) * pendingTokensShare)
	return capacity.Pool{HoldTime: hold, EventInterval: known.medianInterval, PrefillTime: time.Duration(math.Min(read, float64(time.Second))), PreemptionTime: preemptionTime}
}

// normalHoldTime returns how long an online request holds a slot at a worker of median speed,
// zero if unknown. The measured hold time is that at the mean speed of the workers.
func (p *pool) normalHoldTime() time.Duration {
	return time.Duration(float64(p.holdTime) * p.nearSum.Plus(p.farSum).Speed())
}

// workerModel returns what is known of a worker.
func (t *Table) workerModel(now time.Time, w *worker) capacity.Worker {
	model := capacity.Worker{
		Slots:               t.effectiveSlots(w),
		Online:              w.inFlight - w.batch + t.orphansAt(now, w),
		Items:               w.batch,
		PendingPromptTokens: w.pendingTokens,
		Slowness:            w.decayedSlowness(now),
	}
	if others, known := t.peerLoadOf(now, w); known {
		model.Online += int(others.Online)
		model.Items += int(others.Batch)
		model.PendingPromptTokens += int64(others.Unread)
	}
	return model
}

// effectiveSlots returns how many requests a worker runs at once: the listed slots, limited to
// the reported ones if workers of its pool report their pace.
func (t *Table) effectiveSlots(w *worker) int {
	if !t.poolReportsPace(w.listed.Pool) {
		return w.listed.Slots
	}
	return capacity.EffectiveSlots(w.listed.Slots, w.reportedSlots)
}

// slownessOf returns the worker's slowness as the scoring of its pool uses it.
func (t *Table) slownessOf(now time.Time, w *worker) float64 {
	if t.comparesByTime(w.listed.Pool) {
		return capacity.ClampSlowness(w.decayedSlowness(now))
	}
	return w.thresholdedSlowness(now)
}

// holdTimeAt returns how long an online request holds a slot at the worker, zero if unknown.
func (t *Table) holdTimeAt(now time.Time, w *worker) time.Duration {
	hold := t.holdTimeOf(w)
	if t.comparesByTime(w.listed.Pool) {
		hold = t.pools[w.listed.Pool].normalHoldTime()
	}
	return time.Duration(float64(hold) * t.slownessOf(now, w))
}

// updateCapacity sums up the capacity of the pool's workers. Workers without measurements count
// with median speed.
func (t *Table) updateCapacity(now time.Time, known *pool, active []*worker) {
	known.nearSum = capacity.Sum{Slots: known.nearSlots, NormalizedSlots: float64(known.nearSlots), AsOf: now}
	far := known.slots - known.nearSlots
	known.farSum = capacity.Sum{Slots: far, NormalizedSlots: float64(far), AsOf: now}
	for _, candidate := range active {
		if !candidate.inGroup {
			continue
		}
		sum := &known.farSum
		if t.zoneDistance(candidate) == 0 {
			sum = &known.nearSum
		}
		slots := candidate.listed.Slots
		sum.Slots -= slots
		sum.NormalizedSlots -= float64(slots)
		if !candidate.peerLoad.Failing && !now.Before(candidate.suspectUntil) {
			sum.Add(t.effectiveSlots(candidate), candidate.decayedSlowness(now))
		}
	}
}

// Capacity returns the capacity of the pool's usable workers in this process's zone and in all
// other zones.
func (t *Table) Capacity(pool string) (near, far capacity.Sum) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.pools[pool]; known != nil {
		return known.nearSum, known.farSum
	}
	return capacity.Sum{}, capacity.Sum{}
}
