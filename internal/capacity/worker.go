package capacity

import (
	"math"
	"time"
)

const (
	// countNoise is the usual error of the number of requests counted at a worker: some requests
	// are on their way to it, and others have just ended. So even a slot that is free by the counts
	// carries some risk of a wait.
	countNoise = 0.75
	// minSlowness and maxSlowness bound a worker's slowness. Values beyond them are impossible, or
	// indicate a fault that is detected by other means.
	minSlowness = 1.0 / 8
	maxSlowness = 16.0
	// maxSmoothedExcess is the excess, in multiples of countNoise, above which smoothing makes no
	// difference.
	maxSmoothedExcess = 30.0
)

// Worker is the state of a worker that predictions are made from.
type Worker struct {
	// Slots is how many requests it runs at once.
	Slots int
	// Online is the number of online requests there, and Items the number of batch items. Online
	// requests preempt batch items.
	Online int
	Items  int
	// PendingPromptTokens is how many prompt tokens are still to be prefilled there.
	PendingPromptTokens int64
	// Slowness is the factor by which events take longer here than at the median of the pool, 1 if
	// unknown.
	Slowness float64
}

// Pool holds what is known of the requests of a pool, for a worker of median speed. Unknown values are
// zero.
type Pool struct {
	// HoldTime is how long an online request holds a slot. EventInterval is the time between two
	// events. PrefillTime is the time to process a thousand prompt tokens.
	HoldTime      time.Duration
	EventInterval time.Duration
	PrefillTime   time.Duration
	// PreemptionTime is how long it takes to preempt a batch item.
	PreemptionTime time.Duration
}

// Prediction is the predicted timing of one more online request at a worker, counted from now.
type Prediction struct {
	// Wait is the time to a slot, FirstEvent is the time to the first event, and LastEvent is the
	// time to the last event.
	Wait       time.Duration
	FirstEvent time.Duration
	LastEvent  time.Duration
	// RiskAdjustedWait is the expected wait if the counts of requests are off by the usual error
	// (countNoise). AddedDelay is how long the request delays those that come after it. Both grow
	// gradually, without a jump, from an idle to a fully loaded worker.
	RiskAdjustedWait time.Duration
	AddedDelay       time.Duration
	// FreeSlots is how many slots stay free; it is negative if requests queue.
	FreeSlots int
}

// Predict returns the prediction for a request with the given number of prompt tokens.
func (w *Worker) Predict(pool Pool, tokens int64) Prediction {
	slots := max(w.Slots, 1)
	slowness := ClampSlowness(w.Slowness)
	holdTime := float64(pool.HoldTime) * slowness
	// Slots are released evenly over the hold time.
	releaseInterval := holdTime / float64(slots+1)
	excess := float64(w.Online + 1 - slots)
	p := Prediction{FreeSlots: slots - w.Online - 1, Wait: time.Duration(max(excess, 0) * releaseInterval)}
	// All slots are in use, but some by batch items: one of these is preempted.
	if p.Wait == 0 && w.Online+w.Items+1 > slots {
		p.Wait = pool.PreemptionTime
	}
	p.RiskAdjustedWait = time.Duration(releaseInterval * smoothExcess(excess))
	prefill := float64(pool.PrefillTime) * float64(w.PendingPromptTokens+tokens) / 1000
	p.FirstEvent = p.Wait + time.Duration((prefill+float64(pool.EventInterval))*slowness)
	p.LastEvent = p.FirstEvent + time.Duration(holdTime)
	p.AddedDelay = time.Duration(holdTime * float64(w.Online) / float64(slots*slots))
	return p
}

// smoothExcess returns the expected number of requests in excess of the slots. The argument is the
// excess by the counts, which may be negative; the result is its positive part, smoothed by
// countNoise.
func smoothExcess(excess float64) float64 {
	if excess > maxSmoothedExcess*countNoise {
		return excess
	}
	return countNoise * math.Log1p(math.Exp(excess/countNoise))
}

// ClampSlowness bounds a worker's slowness. Impossible values count as 1.
func ClampSlowness(slowness float64) float64 {
	if math.IsNaN(slowness) || slowness <= 0 {
		return 1
	}
	return min(max(slowness, minSlowness), maxSlowness)
}

// EffectiveSlots returns how many requests a worker runs at once, from the number in the worker list
// and the number that the worker reported: the smaller one, or the listed one if none was reported.
func EffectiveSlots(listed, reported int) int {
	if reported > 0 && reported < listed {
		return reported
	}
	return listed
}

// DecaySlowness returns what remains of a slowness that was observed the given time ago: its difference
// from 1 halves with each halfLife.
func DecaySlowness(slowness float64, age, halfLife time.Duration) float64 {
	if age <= 0 {
		return slowness
	}
	return 1 + (slowness-1)*math.Exp2(-float64(age)/float64(halfLife))
}
