package capacity

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// testPool is a pool whose requests hold a slot for 900 ms at a worker of median speed.
var testPool = Pool{HoldTime: 900 * time.Millisecond, EventInterval: 40 * time.Millisecond, PrefillTime: 100 * time.Millisecond, PreemptionTime: 75 * time.Millisecond}

// TestPredict checks waits and the times of first and last events at workers of 8 slots. A slot is
// released in each ninth of the hold time.
func TestPredict(t *testing.T) {
	const ms = time.Millisecond
	for _, test := range []struct {
		name              string
		worker            Worker
		tokens            int64
		wait, first, last time.Duration
		freeSlots         int
	}{
		{"idle", Worker{Slots: 8, Slowness: 1}, 200, 0, 60 * ms, 960 * ms, 7},
		{"half as fast", Worker{Slots: 8, Slowness: 2}, 200, 0, 120 * ms, 1920 * ms, 7},
		{"prompts to prefill", Worker{Slots: 8, Online: 1, PendingPromptTokens: 800, Slowness: 1}, 200, 0, 140 * ms, 1040 * ms, 6},
		{"the last slot", Worker{Slots: 8, Online: 7, Slowness: 1}, 0, 0, 40 * ms, 940 * ms, 0},
		{"one request waits", Worker{Slots: 8, Online: 9, Slowness: 1}, 0, 200 * ms, 240 * ms, 1140 * ms, -2},
		{"the same, half as fast", Worker{Slots: 8, Online: 9, Slowness: 2}, 0, 400 * ms, 480 * ms, 2280 * ms, -2},
		{"items are preempted", Worker{Slots: 8, Online: 3, Items: 5, Slowness: 1}, 0, 75 * ms, 115 * ms, 1015 * ms, 4},
		{"nothing known", Worker{}, 0, 0, 40 * ms, 940 * ms, 0},
	} {
		p := test.worker.Predict(testPool, test.tokens)
		if p.Wait != test.wait || p.FirstEvent != test.first || p.LastEvent != test.last || p.FreeSlots != test.freeSlots {
			t.Errorf("%s: %+v", test.name, p)
		}
	}
}

// TestRiskAdjustedWaitIsMonotonic fills a worker with requests. The risk-adjusted wait grows with each
// one, without a step, and stays close to the predicted wait.
func TestRiskAdjustedWaitIsMonotonic(t *testing.T) {
	releaseInterval, before := 100*time.Millisecond, time.Duration(0)
	for online := range 40 {
		p := (&Worker{Slots: 8, Online: online, Slowness: 1}).Predict(testPool, 0)
		if p.RiskAdjustedWait < before || p.RiskAdjustedWait < p.Wait || p.RiskAdjustedWait > p.Wait+releaseInterval {
			t.Errorf("%d online: %+v after %v", online, p, before)
		}
		before = p.RiskAdjustedWait
	}
}

// TestInvalidInputsAreBounded checks that invalid slowness and slots yield no impossible prediction.
func TestInvalidInputsAreBounded(t *testing.T) {
	for _, slowness := range []float64{0, -3, math.NaN(), math.Inf(1), math.Inf(-1), 1e300, 1e-300} {
		for _, slots := range []int{-5, 0, math.MaxInt32} {
			p := (&Worker{Slots: slots, Online: 3, Slowness: slowness}).Predict(testPool, 1000)
			if p.Wait < 0 || p.FirstEvent <= 0 || p.LastEvent < p.FirstEvent || p.RiskAdjustedWait < 0 || p.LastEvent > time.Minute {
				t.Errorf("slowness %g, %d slots: %+v", slowness, slots, p)
			}
		}
	}
	for _, test := range [][3]int{{8, 0, 8}, {8, 6, 6}, {8, 600, 8}, {8, -1, 8}, {0, 4, 0}} {
		if got := EffectiveSlots(test[0], test[1]); got != test[2] {
			t.Errorf("%d listed, %d reported: got %d", test[0], test[1], got)
		}
	}
}

// TestSumPlus checks normalized slots, the mean speed and the time of a sum.
func TestSumPlus(t *testing.T) {
	now := time.Unix(1000, 0)
	fast, slow := Sum{AsOf: now}, Sum{AsOf: now.Add(-time.Second)}
	fast.Add(8, 1)
	slow.Add(8, 2)
	both := fast.Plus(slow)
	if both.Slots != 16 || both.NormalizedSlots != 12 || both.Speed() != 0.75 || !both.AsOf.Equal(slow.AsOf) {
		t.Errorf("%+v", both)
	}
}

// TestDecaySlowness checks that half of the difference from 1 remains after each half-life.
func TestDecaySlowness(t *testing.T) {
	for _, test := range []struct {
		age  time.Duration
		want float64
	}{{-time.Second, 3}, {0, 3}, {time.Second, 2}, {2 * time.Second, 1.5}} {
		if got := DecaySlowness(3, test.age, time.Second); got != test.want {
			t.Errorf("after %v: %g, want %g", test.age, got, test.want)
		}
	}
}

// slowPhases returns the pace of a worker in each millisecond. The worker is 2.5 times slower in phases
// of 90 to 600 ms that make up 15% of the time.
func slowPhases(random *rand.Rand, millis int) []float64 {
	const slowFraction, minMillis, maxMillis = 0.15, 90, 600
	paces := make([]float64, 0, millis)
	for len(paces) < millis {
		for range int(random.ExpFloat64() * (minMillis + maxMillis) / 2 * (1 - slowFraction) / slowFraction) {
			paces = append(paces, 1)
		}
		for range minMillis + random.IntN(maxMillis-minMillis) {
			paces = append(paces, 2.5)
		}
	}
	return paces[:millis]
}

// explainedVariance returns the fraction of the variance of b that a explains.
func explainedVariance(a, b []float64) float64 {
	var sumA, sumB, squareA, squareB, both float64
	for i := range a {
		sumA, sumB = sumA+a[i], sumB+b[i]
		squareA, squareB, both = squareA+a[i]*a[i], squareB+b[i]*b[i], both+a[i]*b[i]
	}
	n := float64(len(a))
	covariance := both/n - sumA/n*sumB/n
	return covariance * covariance / ((squareA/n - sumA/n*sumA/n) * (squareB/n - sumB/n*sumB/n))
}

// TestReportedPacePredictsFirstEventOnly measures how well a reported pace of a given age predicts a
// request's times to its first and last event, as the fraction of variance explained. It predicts the
// first event well while the report is a few tens of ms old, and the last one poorly at any age.
func TestReportedPacePredictsFirstEventOnly(t *testing.T) {
	paces := slowPhases(rand.New(rand.NewPCG(1, 1)), 600_000)
	for _, test := range []struct {
		age               int
		minFirst, maxLast float64
	}{{0, 0.8, 0.2}, {20, 0.7, 0.15}, {50, 0.5, 0.1}, {100, 0.3, 0.05}, {200, 0.1, 0.03}, {400, 0, 0.01}} {
		var reported, first, last []float64
		for at := 0; at+test.age+800 < len(paces); at += 37 {
			reported = append(reported, paces[at])
			first = append(first, mean(paces[at+test.age:at+test.age+60]))
			last = append(last, mean(paces[at+test.age:at+test.age+760]))
		}
		byFirst, byLast := explainedVariance(reported, first), explainedVariance(reported, last)
		t.Logf("%d ms old: explains %.2f of the first event's variance, %.2f of the last one's", test.age, byFirst, byLast)
		if byFirst < test.minFirst || byLast > test.maxLast {
			t.Errorf("%d ms old: %.2f, %.2f", test.age, byFirst, byLast)
		}
	}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}
