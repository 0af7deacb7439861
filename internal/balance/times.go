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
	// pace. All processes use it. The other modes exist for tests, which compare scoringAuto with
	// them.
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
	// request for the zone to have spare slots. It is not zero because the last slot may be taken
	// by a request that is not reported yet. Workers with one slot need none left. Only a zone
	// without spare slots sends requests to a zone with spare slots, so no two zones send to each
	// other.
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
func (t *Table) bestByTime(now time.Time, p *pool, request *Request, candidates []*worker) *worker {
	normal := t.poolModel(p, request)
	near := t.bestInZones(now, request, normal, candidates, 0)
	if near.spare {
		return near.best
	}
	far := t.bestInZones(now, request, normal, candidates, 1)
	switch {
	case near.best == nil:
		return far.best
	case far.spare && far.score+zoneTimePenalty.Seconds() < near.score:
		return far.best
	}
	return near.best
}

// bestInZones returns the best worker of this zone (distance 0) or of the others (distance 1).
func (t *Table) bestInZones(now time.Time, request *Request, normal capacity.Pool, candidates []*worker, distance int) bestWorker {
	var best bestWorker
	for _, candidate := range candidates {
		if t.zoneDistance(candidate) != distance {
			continue
		}
		prediction, score := t.score(now, candidate, normal, request)
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
func (t *Table) score(now time.Time, candidate *worker, normal capacity.Pool, request *Request) (capacity.Prediction, float64) {
	model := t.workerModel(now, candidate)
	prediction := model.Predict(normal, request.PromptTokens-t.cachedTokens(candidate, request))
	if t.scoring == scoringWait {
		return prediction, prediction.Wait.Seconds()
	}
	score := (prediction.FirstEvent - prediction.Wait).Seconds() + waitWeight*max(prediction.Wait, prediction.RiskAdjustedWait).Seconds()
	score += holdWeight * (prediction.LastEvent - prediction.FirstEvent + prediction.AddedDelay).Seconds()
	return prediction, score
}

// poolModel returns what a request of the pool takes at a worker of median speed.
func (t *Table) poolModel(p *pool, request *Request) capacity.Pool {
	holdTime := p.normalHoldTime()
	if holdTime == 0 {
		holdTime = defaultHoldTime
	}
	prefill := float64(holdTime) * prefillUnit / (float64(t.memoryOf(request.Pool)) * pendingTokensShare)
	return capacity.Pool{HoldTime: holdTime, EventInterval: p.medianInterval, PrefillTime: time.Duration(math.Min(prefill, float64(time.Second))), PreemptionTime: preemptionTime}
}

// normalHoldTime returns how long an online request holds a slot at a worker of median speed, zero
// if unknown. It is derived from the measured hold time, which applies to a worker of mean speed.
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
	if load, ok := t.peerLoadOf(now, w); ok {
		model.Online += int(load.Online)
		model.Items += int(load.Batch)
		model.PendingPromptTokens += int64(load.Unread)
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

// slownessOf returns the worker's slowness: decayedSlowness if its pool is compared by predicted
// times, else thresholdedSlowness.
func (t *Table) slownessOf(now time.Time, w *worker) float64 {
	if t.comparesByTime(w.listed.Pool) {
		return capacity.ClampSlowness(w.decayedSlowness(now))
	}
	return w.thresholdedSlowness(now)
}

// holdTimeAt returns how long an online request holds a slot at the worker, zero if unknown.
func (t *Table) holdTimeAt(now time.Time, w *worker) time.Duration {
	holdTime := t.holdTimeOf(w)
	if t.comparesByTime(w.listed.Pool) {
		holdTime = t.pools[w.listed.Pool].normalHoldTime()
	}
	return time.Duration(float64(holdTime) * t.slownessOf(now, w))
}

// updateCapacity sums up the capacity of the pool's workers. Workers without measurements count
// with median speed.
func (t *Table) updateCapacity(now time.Time, p *pool, active []*worker) {
	p.nearSum = capacity.Sum{Slots: p.nearSlots, NormalizedSlots: float64(p.nearSlots), AsOf: now}
	far := p.slots - p.nearSlots
	p.farSum = capacity.Sum{Slots: far, NormalizedSlots: float64(far), AsOf: now}
	for _, candidate := range active {
		if !candidate.inGroup {
			continue
		}
		sum := &p.farSum
		if t.zoneDistance(candidate) == 0 {
			sum = &p.nearSum
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
	if p := t.pools[pool]; p != nil {
		return p.nearSum, p.farSum
	}
	return capacity.Sum{}, capacity.Sum{}
}
