package capacity

import (
	"math"
	"time"
)

const (
	// spareNoise is by how many requests, about, a worker's count differs from what is told
	// of it: some are on their way there, others have just ended. A free slot counts as one
	// only as far as that leaves it free.
	spareNoise = 0.75
	// leastSlowness and mostSlowness bound what is believed of a worker's speed: beyond that
	// it is a fault, which is learnt by other means, or a figure that can't be.
	leastSlowness = 1.0 / 8
	mostSlowness  = 16.0
	// mostOver is from how many times the noise on smoothing makes no difference.
	mostOver = 30.0
)

// Worker is a worker as the prediction sees it.
type Worker struct {
	// Slots is how many requests it runs at once.
	Slots int
	// Online and Items count the requests there; items of jobs give way to online ones.
	Online int
	Items  int
	// PendingPromptTokens is how many prompt tokens are still to be read there.
	PendingPromptTokens int64
	// Slowness is how many times as long as in the middle of its pool an event takes here,
	// 1 where that is not known.
	Slowness float64
}

// Pool is what is known of the requests of a pool, at a worker of the middle speed.
type Pool struct {
	// HoldTime is how long an online request holds a slot, Step the time between two events, and
	// Read what it takes to read a thousand prompt tokens. Zero where not known.
	HoldTime      time.Duration
	EventInterval time.Duration
	PrefillTime   time.Duration
	// PreemptionTime is how long it takes until an item gives way.
	PreemptionTime time.Duration
}

// Prediction is when one more online request would get on at a worker, from now on.
type Prediction struct {
	// Wait is the time to a slot, First to the first event, Last to the last one.
	Wait       time.Duration
	FirstEvent time.Duration
	LastEvent  time.Duration
	// RiskAdjustedWait is the wait that is to be expected if the counts are wrong by as much as they
	// usually are, and Delay how long the request holds up those that come after it. Both
	// grow without a step from an idle worker to a crowded one.
	RiskAdjustedWait time.Duration
	AddedDelay       time.Duration
	// FreeSlots is how many slots stay free, less than zero where requests queue.
	FreeSlots int
}

// Predict predicts for a request with so many prompt tokens to read.
func (w *Worker) Predict(pool Pool, tokens int64) Prediction {
	slots := max(w.Slots, 1)
	slowness := ClampSlowness(w.Slowness)
	hold := float64(pool.HoldTime) * slowness
	// Slots are given back evenly over the time that one is held.
	each := hold / float64(slots+1)
	over := float64(w.Online + 1 - slots)
	p := Prediction{FreeSlots: slots - w.Online - 1, Wait: time.Duration(max(over, 0) * each)}
	// Items hold slots that become free within a moment, as long as there are any.
	if p.Wait == 0 && w.Online+w.Items+1 > slots {
		p.Wait = pool.PreemptionTime
	}
	p.RiskAdjustedWait = time.Duration(each * soften(over))
	read := float64(pool.PrefillTime) * float64(w.PendingPromptTokens+tokens) / 1000
	p.FirstEvent = p.Wait + time.Duration((read+float64(pool.EventInterval))*slowness)
	p.LastEvent = p.FirstEvent + time.Duration(hold)
	p.AddedDelay = time.Duration(hold * float64(w.Online) / float64(slots*slots))
	return p
}

// soften is how many requests are expected to be over where that many are by the counts: the
// positive part, smoothed by the noise of counts.
func soften(over float64) float64 {
	if over > mostOver*spareNoise {
		return over
	}
	return spareNoise * math.Log1p(math.Exp(over/spareNoise))
}

// ClampSlowness bounds a worker's slowness; what can't be is taken for the usual.
func ClampSlowness(slowness float64) float64 {
	if math.IsNaN(slowness) || slowness <= 0 {
		return 1
	}
	return min(max(slowness, leastSlowness), mostSlowness)
}

// EffectiveSlots returns how many requests a worker runs at once, by the list and by what it told:
// the smaller, where it told any.
func EffectiveSlots(listed, told int) int {
	if told > 0 && told < listed {
		return told
	}
	return listed
}

// DecaySlowness returns a slowness that was learnt so long ago: half of what it differs from the usual
// is left after each half.
func DecaySlowness(slowness float64, age, half time.Duration) float64 {
	if age <= 0 {
		return slowness
	}
	return 1 + (slowness-1)*math.Exp2(-float64(age)/float64(half))
}
