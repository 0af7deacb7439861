package forecast

import (
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/proptest"
)

var start = time.Unix(1000, 0)

// tick is the time between two values of a trace.
const tick = 10 * time.Millisecond

// shape says when requests come: so many a second times low or high, in turn.
type shape struct {
	perSecond  float64
	hold       time.Duration
	low, high  float64
	calm, wave time.Duration
}

// factor returns by how much the rate differs from the mean at a time.
func (s *shape) factor(at time.Duration) float64 {
	if s.wave == 0 {
		return 1
	}
	if at%(s.calm+s.wave) < s.calm {
		return s.low
	}
	return s.high
}

// trace draws how many requests hold a slot, tick by tick.
func (s *shape) trace(random *rand.Rand, length time.Duration) []float64 {
	count := int(length / tick)
	arrivals := make([]int, count)
	trace := make([]float64, count)
	hold := int(s.hold / tick)
	held := 0
	for i := range count {
		arrivals[i] = poisson(random, s.perSecond*s.factor(time.Duration(i)*tick)*tick.Seconds())
		held += arrivals[i]
		if i >= hold {
			held -= arrivals[i-hold]
		}
		trace[i] = float64(held)
	}
	return trace
}

func poisson(random *rand.Rand, mean float64) int {
	limit, product, count := math.Exp(-mean), random.Float64(), 0
	for product > limit {
		product *= random.Float64()
		count++
	}
	return count
}

// waves is a fleet of 360 slots, 130 of which are needed in the mean.
func waves() *shape {
	return &shape{perSecond: 171, hold: 760 * time.Millisecond, low: 0.378, high: 1.85, calm: 3 * time.Second, wave: 2200 * time.Millisecond}
}

// way forecasts the need so many ticks ahead.
type way interface {
	take(now time.Time, need float64)
	expect(now time.Time, ahead time.Duration) float64
}

// presentWay takes what is for what comes.
type presentWay struct{ need float64 }

func (w *presentWay) take(_ time.Time, need float64)              { w.need = need }
func (w *presentWay) expect(_ time.Time, _ time.Duration) float64 { return w.need }

// burstWay is an exponentially weighted level with a margin for bursts: the mean deviation.
type burstWay struct{ level, deviation float64 }

func (w *burstWay) take(_ time.Time, need float64) {
	const part = 30
	w.level += (need - w.level) / part
	w.deviation += (math.Abs(need-w.level) - w.deviation) / part
}
func (w *burstWay) expect(time.Time, time.Duration) float64 { return w.level + w.deviation }

// autoWay finds the lag at which the need is most like itself, and takes the middle of what
// was one, two and three lags ago.
type autoWay struct {
	bins []float64
	lag  int
	due  time.Time
}

func (w *autoWay) take(now time.Time, need float64) {
	if at := int(now.Sub(start) / binTime); at >= len(w.bins) {
		w.bins = append(w.bins, need)
	}
	w.bins[len(w.bins)-1] = need
	if now.Before(w.due) {
		return
	}
	w.due = now.Add(time.Second)
	w.seek()
}

func (w *autoWay) seek() {
	mean := 0.0
	for _, value := range w.bins {
		mean += value / float64(len(w.bins))
	}
	best := 0.5
	w.lag = 0
	for lag := 10; lag < len(w.bins)/2; lag++ {
		with, square := 0.0, 0.0
		for i := lag; i < len(w.bins); i++ {
			with += (w.bins[i] - mean) * (w.bins[i-lag] - mean)
			square += (w.bins[i] - mean) * (w.bins[i] - mean)
		}
		if square > 0 && with/square > best+0.02 && lag > 20 {
			best, w.lag = with/square, lag
		}
	}
}

func (w *autoWay) expect(now time.Time, ahead time.Duration) float64 {
	at := int(now.Add(ahead).Sub(start) / binTime)
	sum, count := 0.0, 0
	for back := 1; w.lag > 0 && back <= 3; back++ {
		if i := at - back*w.lag; i >= 0 && i < len(w.bins) {
			sum += w.bins[i]
			count++
		}
	}
	if count == 0 {
		return w.bins[len(w.bins)-1]
	}
	return sum / float64(count)
}

// middleWay keeps begin, length and height of the last waves and takes them for boxes.
type middleWay struct{ f *Forecast }

func (w *middleWay) take(now time.Time, need float64) { w.f.Observe(now, need) }
func (w *middleWay) expect(now time.Time, ahead time.Duration) float64 {
	p := &w.f.pattern
	if !p.sure {
		return w.f.present
	}
	at := int(now.Add(ahead).Sub(w.f.began) / binTime)
	if next := p.next; at >= next || at < p.anchor+p.length {
		return p.height
	}
	return w.f.levels.low
}

// phaseWay is what is built.
type phaseWay struct{ f *Forecast }

func (w *phaseWay) take(now time.Time, need float64) { w.f.Observe(now, need) }
func (w *phaseWay) expect(now time.Time, ahead time.Duration) float64 {
	if !w.f.pattern.sure {
		return w.f.present
	}
	number := int(now.Add(ahead).Sub(w.f.began) / binTime)
	level, known := w.f.expect(number)
	if !known {
		return w.f.present
	}
	return level
}

// offOf returns by how much a way is off in the mean, 200 ms ahead, after so long.
func offOf(w way, trace []float64, after time.Duration) float64 {
	const ahead = 200 * time.Millisecond
	off, count := 0.0, 0
	for i := 0; i+int(ahead/tick) < len(trace); i++ {
		now := start.Add(time.Duration(i) * tick)
		w.take(now, trace[i])
		if time.Duration(i)*tick >= after {
			off += math.Abs(w.expect(now, ahead) - trace[i+int(ahead/tick)])
			count++
		}
	}
	return off / float64(count)
}

// TestWaysAreWeighed compares ways to forecast the need 200 ms ahead, in slots.
func TestWaysAreWeighed(t *testing.T) {
	calm := &shape{perSecond: 171, hold: 760 * time.Millisecond}
	for _, test := range []struct {
		name  string
		shape *shape
	}{{"waves", waves()}, {"none", calm}} {
		off := map[string]float64{}
		const plays = 5
		for seed := range int64(plays) {
			trace := test.shape.trace(rand.New(rand.NewSource(seed)), 60*time.Second)
			after := 30 * time.Second
			off["present"] += offOf(&presentWay{}, trace, after) / plays
			off["burst"] += offOf(&burstWay{}, trace, after) / plays
			off["autocorrelation"] += offOf(&autoWay{}, trace, after) / plays
			off["middle"] += offOf(&middleWay{New()}, trace, after) / plays
			off["phase"] += offOf(&phaseWay{New()}, trace, after) / plays
		}
		t.Logf("%s: off by %v", test.name, off)
		for way, value := range off {
			if test.shape.wave > 0 && off["phase"] > value {
				t.Errorf("%s: the phase is off by %.1f slots, %s by %.1f", test.name, off["phase"], way, value)
			}
		}
		if test.shape.wave == 0 && off["phase"] > 1.01*off["present"] {
			t.Errorf("%s: off by %.2f slots, %.2f with the present need", test.name, off["phase"], off["present"])
		}
	}
}

// feed hands a trace to a forecast and returns what became known when.
func feed(f *Forecast, from time.Time, trace []float64) (learnt, given []time.Duration) {
	for i, need := range trace {
		at := time.Duration(i) * tick
		f.Observe(from.Add(at), need)
		news := f.Changes()
		if news.Learned {
			learnt = append(learnt, at)
		}
		if news.Abandoned {
			given = append(given, at)
		}
	}
	return learnt, given
}

// TestPatternIsLearnt draws waves: a pattern is sure at the fourth begin at the latest,
// and stays so while they come.
func TestPatternIsLearnt(t *testing.T) {
	proptest.Run(t, "waves", func(random *rand.Rand) error {
		drawn := waves()
		drawn.calm = time.Duration(2000+random.Intn(4000)) * time.Millisecond
		drawn.wave = time.Duration(1500+random.Intn(2500)) * time.Millisecond
		drawn.low, drawn.high = 0.2+0.3*random.Float64(), 1.6+0.6*random.Float64()
		cycle := drawn.calm + drawn.wave
		f := New()
		learnt, given := feed(f, start, drawn.trace(random, 10*cycle))
		if len(learnt) != 1 || learnt[0] > 4*cycle || len(given) > 0 {
			return errors.Newf("%+v: learnt at %v, given up at %v", drawn, learnt, given)
		}
		if off := time.Duration(f.pattern.cycle)*binTime - cycle; max(off, -off) > cycle/toleranceParts {
			return errors.Newf("a cycle of %s is taken for one of %s", cycle, time.Duration(f.pattern.cycle)*binTime)
		}
		if s := f.Score(); s.MeanError > s.BaselineError {
			return errors.Newf("off by %+v", s)
		}
		return nil
	})
}

// TestNoPatternIsSaidSo draws needs without waves, and waves at random times: what is not
// there is not believed for long.
func TestNoPatternIsSaidSo(t *testing.T) {
	proptest.Run(t, "none", func(random *rand.Rand) error {
		calm := &shape{perSecond: 40 + 400*random.Float64(), hold: 760 * time.Millisecond}
		f := New()
		if learnt, _ := feed(f, start, calm.trace(random, 60*time.Second)); len(learnt) > 0 {
			return errors.Newf("%+v: learnt at %v %+v", calm, learnt, f.pattern)
		}
		if need := f.Peak(start.Add(60*time.Second), time.Second); need.Confident || need.Slots != f.present {
			return errors.Newf("without a pattern: %+v", need)
		}
		return nil
	})
}

// TestPatternIsGivenUp lets waves end for good, and shifts them by half a cycle: two that
// fail are enough.
func TestPatternIsGivenUp(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	drawn := waves()
	cycle := drawn.calm + drawn.wave
	f := New()
	feed(f, start, drawn.trace(random, 6*cycle))
	if !f.pattern.sure {
		t.Fatal("not learnt")
	}
	calm := &shape{perSecond: 171 * drawn.low, hold: drawn.hold}
	if _, given := feed(f, start.Add(6*cycle), calm.trace(random, 4*cycle)); len(given) != 1 || given[0] > 3*cycle {
		t.Errorf("given up at %v", given)
	}
	f = New()
	trace := drawn.trace(random, 12*cycle)
	shifted := append(trace[:6*cycle/tick:6*cycle/tick], trace[(6*cycle+cycle/2)/tick:]...)
	feed(f, start, shifted)
	if off := f.pattern.next - int(11*cycle/binTime) - int((drawn.calm+drawn.wave/4)/binTime); !f.pattern.sure || max(off, -off) > int(cycle/binTime) {
		t.Errorf("after a shift: sure %t, off by %d bins", f.pattern.sure, off)
	}
}

// TestGapForgets checks that whoever has heard nothing for a while begins anew.
func TestGapForgets(t *testing.T) {
	f := New()
	drawn := waves()
	feed(f, start, drawn.trace(rand.New(rand.NewSource(1)), 30*time.Second))
	now := start.Add(30*time.Second + longestGap + tick)
	f.Observe(now, 100)
	if need := f.Peak(now, time.Second); need.Confident || need.Slots != 100 {
		t.Errorf("after a gap: %+v", need)
	}
}

// TestRisesEndAtTheKnownLevel lets the need rise steeply: it is expected to go on rising, up to
// the high level where one is known, and to what it is at least.
func TestRisesEndAtTheKnownLevel(t *testing.T) {
	for _, test := range []struct {
		name  string
		known levels
		want  float64
	}{
		{"nothing known", levels{}, 250},
		{"a higher level", levels{low: 10, high: 400, known: true}, 250},
		{"a level between", levels{low: 10, high: 90, known: true}, 90},
		{"a level that is passed", levels{low: 10, high: 30, known: true}, 50},
	} {
		f := New()
		for now := time.Duration(0); now <= 2*time.Second; now += binTime {
			f.Observe(start.Add(now), 10)
		}
		now := start.Add(2*time.Second + binTime)
		f.Observe(now, 50)
		f.levels = test.known
		// Forty slots in two bins; ten more bins are looked ahead.
		if need := f.Peak(now, 10*binTime); !need.Rising || need.Slots != test.want {
			t.Errorf("%s: %+v", test.name, need)
		}
	}
}

// TestWarmOnceTheCrowdHasCome checks when a forecast that is new has heard enough: once the
// need stops rising, not while there is none, and after a second at the latest.
func TestWarmOnceTheCrowdHasCome(t *testing.T) {
	const late = 400 * time.Millisecond
	for _, test := range []struct {
		name  string
		need  func(at time.Duration) float64
		after time.Duration
	}{
		{"a steady need", func(time.Duration) float64 { return 50 }, (warmBins + 1) * binTime},
		{"nothing", func(time.Duration) float64 { return 0 }, warmTime},
		{"a crowd that comes late", func(at time.Duration) float64 {
			return 200 * min(max((at-late).Seconds(), 0)/0.2, 1)
		}, late + 200*time.Millisecond + warmBins*binTime},
		{"a rise without an end", func(at time.Duration) float64 { return 1000 * at.Seconds() }, warmTime},
	} {
		f := New()
		at := time.Duration(0)
		for ; !f.WarmedUp() && at < 10*warmTime; at += tick {
			f.Observe(start.Add(at), test.need(at))
		}
		if off := at - test.after; max(off, -off) > 3*binTime {
			t.Errorf("%s: warm after %s, want %s", test.name, at, test.after)
		}
	}
}

// BenchmarkTake is a report, with a question, of a pattern that is known.
func BenchmarkTake(b *testing.B) {
	f := New()
	trace := waves().trace(rand.New(rand.NewSource(1)), 60*time.Second)
	feed(f, start, trace)
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		i++
		now := start.Add(60*time.Second + time.Duration(i)*tick)
		f.Observe(now, trace[i%len(trace)])
		f.Peak(now, 200*time.Millisecond)
	}
}
