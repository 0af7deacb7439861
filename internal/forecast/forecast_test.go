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

// traceStep is the time between two values of a trace.
const traceStep = 10 * time.Millisecond

// shape describes the arrivals of requests: the mean rate perSecond, multiplied by low for lowTime
// and by high for highTime in turn. Without highTime the rate is constant.
type shape struct {
	perSecond         float64
	holdTime          time.Duration
	low, high         float64
	lowTime, highTime time.Duration
}

// factor returns the factor of the mean rate at a time.
func (s *shape) factor(at time.Duration) float64 {
	if s.highTime == 0 {
		return 1
	}
	if at%(s.lowTime+s.highTime) < s.lowTime {
		return s.low
	}
	return s.high
}

// trace returns a random trace of how many requests hold a slot, one value each traceStep.
func (s *shape) trace(random *rand.Rand, length time.Duration) []float64 {
	count := int(length / traceStep)
	arrivals := make([]int, count)
	trace := make([]float64, count)
	hold := int(s.holdTime / traceStep)
	held := 0
	for i := range count {
		arrivals[i] = poisson(random, s.perSecond*s.factor(time.Duration(i)*traceStep)*traceStep.Seconds())
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

// waves returns the shape for a fleet of 360 slots, 130 of which are used on average.
func waves() *shape {
	return &shape{perSecond: 171, holdTime: 760 * time.Millisecond, low: 0.378, high: 1.85, lowTime: 3 * time.Second, highTime: 2200 * time.Millisecond}
}

// method is a way to forecast the demand.
type method interface {
	observe(now time.Time, demand float64)
	predict(now time.Time, ahead time.Duration) float64
}

// currentMethod forecasts the current demand.
type currentMethod struct{ demand float64 }

func (m *currentMethod) observe(_ time.Time, demand float64)          { m.demand = demand }
func (m *currentMethod) predict(_ time.Time, _ time.Duration) float64 { return m.demand }

// ewmaMethod forecasts an exponentially weighted mean, plus the mean deviation as a margin for
// bursts.
type ewmaMethod struct{ level, deviation float64 }

func (m *ewmaMethod) observe(_ time.Time, demand float64) {
	const window = 30
	m.level += (demand - m.level) / window
	m.deviation += (math.Abs(demand-m.level) - m.deviation) / window
}
func (m *ewmaMethod) predict(time.Time, time.Duration) float64 { return m.level + m.deviation }

// autocorrelationMethod finds the lag with the highest autocorrelation, and forecasts the mean of
// the values one, two and three lags ago.
type autocorrelationMethod struct {
	bins       []float64
	lag        int
	nextSearch time.Time
}

func (m *autocorrelationMethod) observe(now time.Time, demand float64) {
	if at := int(now.Sub(start) / binTime); at >= len(m.bins) {
		m.bins = append(m.bins, demand)
	}
	m.bins[len(m.bins)-1] = demand
	if now.Before(m.nextSearch) {
		return
	}
	m.nextSearch = now.Add(time.Second)
	m.findLag()
}

func (m *autocorrelationMethod) findLag() {
	mean := 0.0
	for _, value := range m.bins {
		mean += value / float64(len(m.bins))
	}
	best := 0.5
	m.lag = 0
	for lag := 10; lag < len(m.bins)/2; lag++ {
		covariance, variance := 0.0, 0.0
		for i := lag; i < len(m.bins); i++ {
			covariance += (m.bins[i] - mean) * (m.bins[i-lag] - mean)
			variance += (m.bins[i] - mean) * (m.bins[i] - mean)
		}
		if variance > 0 && covariance/variance > best+0.02 && lag > 20 {
			best, m.lag = covariance/variance, lag
		}
	}
}

func (m *autocorrelationMethod) predict(now time.Time, ahead time.Duration) float64 {
	at := int(now.Add(ahead).Sub(start) / binTime)
	sum, count := 0.0, 0
	for back := 1; m.lag > 0 && back <= 3; back++ {
		if i := at - back*m.lag; i >= 0 && i < len(m.bins) {
			sum += m.bins[i]
			count++
		}
	}
	if count == 0 {
		return m.bins[len(m.bins)-1]
	}
	return sum / float64(count)
}

// boxMethod forecasts the mean height during the mean length of the last waves, and the low level
// otherwise.
type boxMethod struct{ f *Forecast }

func (m *boxMethod) observe(now time.Time, demand float64) { m.f.Observe(now, demand) }
func (m *boxMethod) predict(now time.Time, ahead time.Duration) float64 {
	p := &m.f.pattern
	if !p.confident {
		return m.f.current
	}
	at := int(now.Add(ahead).Sub(m.f.startedAt) / binTime)
	if next := p.next; at >= next || at < p.anchor+p.length {
		return p.height
	}
	return m.f.levels.low
}

// phaseMethod is the method of Forecast.
type phaseMethod struct{ f *Forecast }

func (m *phaseMethod) observe(now time.Time, demand float64) { m.f.Observe(now, demand) }
func (m *phaseMethod) predict(now time.Time, ahead time.Duration) float64 {
	if !m.f.pattern.confident {
		return m.f.current
	}
	number := int(now.Add(ahead).Sub(m.f.startedAt) / binTime)
	level, known := m.f.predict(number)
	if !known {
		return m.f.current
	}
	return level
}

// meanError returns the mean absolute error of a method 200 ms ahead, in slots, from the given
// time on.
func meanError(m method, trace []float64, after time.Duration) float64 {
	const ahead = 200 * time.Millisecond
	sum, count := 0.0, 0
	for i := 0; i+int(ahead/traceStep) < len(trace); i++ {
		now := start.Add(time.Duration(i) * traceStep)
		m.observe(now, trace[i])
		if time.Duration(i)*traceStep >= after {
			sum += math.Abs(m.predict(now, ahead) - trace[i+int(ahead/traceStep)])
			count++
		}
	}
	return sum / float64(count)
}

// TestForecastErrorAgainstOtherMethods compares the forecast 200 ms ahead with other methods: its
// error must be the smallest with waves, and about that of the current demand without.
func TestForecastErrorAgainstOtherMethods(t *testing.T) {
	constant := &shape{perSecond: 171, holdTime: 760 * time.Millisecond}
	for _, test := range []struct {
		name  string
		shape *shape
	}{{"waves", waves()}, {"none", constant}} {
		errorOf := map[string]float64{}
		const runs = 5
		for seed := range int64(runs) {
			trace := test.shape.trace(rand.New(rand.NewSource(seed)), 60*time.Second)
			after := 30 * time.Second
			errorOf["present"] += meanError(&currentMethod{}, trace, after) / runs
			errorOf["burst"] += meanError(&ewmaMethod{}, trace, after) / runs
			errorOf["autocorrelation"] += meanError(&autocorrelationMethod{}, trace, after) / runs
			errorOf["middle"] += meanError(&boxMethod{New()}, trace, after) / runs
			errorOf["phase"] += meanError(&phaseMethod{New()}, trace, after) / runs
		}
		t.Logf("%s: mean errors %v", test.name, errorOf)
		for method, value := range errorOf {
			if test.shape.highTime > 0 && errorOf["phase"] > value {
				t.Errorf("%s: the mean error of the phase method is %.1f slots, that of the %s method %.1f", test.name, errorOf["phase"], method, value)
			}
		}
		if test.shape.highTime == 0 && errorOf["phase"] > 1.01*errorOf["present"] {
			t.Errorf("%s: mean error of %.2f slots, %.2f with the current demand as forecast", test.name, errorOf["phase"], errorOf["present"])
		}
	}
}

// feed feeds a trace to a forecast and returns when patterns were learned and abandoned.
func feed(f *Forecast, from time.Time, trace []float64) (learned, abandoned []time.Duration) {
	for i, demand := range trace {
		at := time.Duration(i) * traceStep
		f.Observe(from.Add(at), demand)
		change := f.Changes()
		if change.Learned {
			learned = append(learned, at)
		}
		if change.Abandoned {
			abandoned = append(abandoned, at)
		}
	}
	return learned, abandoned
}

// TestPatternIsLearned checks with random waves that a pattern is learned by the fourth cycle, and
// kept while the waves go on.
func TestPatternIsLearned(t *testing.T) {
	proptest.Run(t, "waves", func(random *rand.Rand) error {
		waveShape := waves()
		waveShape.lowTime = time.Duration(2000+random.Intn(4000)) * time.Millisecond
		waveShape.highTime = time.Duration(1500+random.Intn(2500)) * time.Millisecond
		waveShape.low, waveShape.high = 0.2+0.3*random.Float64(), 1.6+0.6*random.Float64()
		cycle := waveShape.lowTime + waveShape.highTime
		f := New()
		learned, abandoned := feed(f, start, waveShape.trace(random, 10*cycle))
		if len(learned) != 1 || learned[0] > 4*cycle || len(abandoned) > 0 {
			return errors.Newf("%+v: pattern learned at %v, abandoned at %v; want it learned once, by the fourth cycle", waveShape, learned, abandoned)
		}
		if off := time.Duration(f.pattern.cycle)*binTime - cycle; max(off, -off) > cycle/toleranceDivisor {
			return errors.Newf("a cycle of %s is learned as %s", cycle, time.Duration(f.pattern.cycle)*binTime)
		}
		if s := f.Score(); s.MeanError > s.BaselineError {
			return errors.Newf("mean error above the baseline: %+v", s)
		}
		return nil
	})
}

// TestNoPatternWithoutWaves checks with random demand without waves that no pattern is learned and
// that the forecast is the current demand.
func TestNoPatternWithoutWaves(t *testing.T) {
	proptest.Run(t, "none", func(random *rand.Rand) error {
		constant := &shape{perSecond: 40 + 400*random.Float64(), holdTime: 760 * time.Millisecond}
		f := New()
		if learned, _ := feed(f, start, constant.trace(random, 60*time.Second)); len(learned) > 0 {
			return errors.Newf("%+v: pattern learned at %v without waves: %+v", constant, learned, f.pattern)
		}
		if demand := f.Peak(start.Add(60*time.Second), time.Second); demand.Confident || demand.Slots != f.current {
			return errors.Newf("forecast without a pattern: %+v, want the current demand", demand)
		}
		return nil
	})
}

// TestPatternIsAbandoned stops the waves, and shifts them by half a cycle: the pattern must be
// abandoned after two misses, and learned again after the shift.
func TestPatternIsAbandoned(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	waveShape := waves()
	cycle := waveShape.lowTime + waveShape.highTime
	f := New()
	feed(f, start, waveShape.trace(random, 6*cycle))
	if !f.pattern.confident {
		t.Fatal("pattern not learned after six cycles")
	}
	constant := &shape{perSecond: 171 * waveShape.low, holdTime: waveShape.holdTime}
	if _, abandoned := feed(f, start.Add(6*cycle), constant.trace(random, 4*cycle)); len(abandoned) != 1 || abandoned[0] > 3*cycle {
		t.Errorf("pattern abandoned at %v, want once within three cycles", abandoned)
	}
	f = New()
	trace := waveShape.trace(random, 12*cycle)
	shifted := append(trace[:6*cycle/traceStep:6*cycle/traceStep], trace[(6*cycle+cycle/2)/traceStep:]...)
	feed(f, start, shifted)
	if off := f.pattern.next - int(11*cycle/binTime) - int((waveShape.lowTime+waveShape.highTime/4)/binTime); !f.pattern.confident || max(off, -off) > int(cycle/binTime) {
		t.Errorf("after a shift: confident %t, next wave off by %d bins", f.pattern.confident, off)
	}
}

// TestGapResetsForecast checks that a forecast starts over after a time without observations.
func TestGapResetsForecast(t *testing.T) {
	f := New()
	waveShape := waves()
	feed(f, start, waveShape.trace(rand.New(rand.NewSource(1)), 30*time.Second))
	now := start.Add(30*time.Second + maxGap + traceStep)
	f.Observe(now, 100)
	if demand := f.Peak(now, time.Second); demand.Confident || demand.Slots != 100 {
		t.Errorf("forecast after a gap: %+v, want the current demand of 100", demand)
	}
}

// TestRiseIsCappedAtHighLevel makes the demand rise steeply: the rise must be extrapolated up to
// the high level if one is known, but not to less than the current demand.
func TestRiseIsCappedAtHighLevel(t *testing.T) {
	for _, test := range []struct {
		name  string
		known levels
		want  float64
	}{
		{"nothing known", levels{}, 250},
		{"a higher level", levels{low: 10, high: 400, known: true}, 250},
		{"a level in between", levels{low: 10, high: 90, known: true}, 90},
		{"a level already exceeded", levels{low: 10, high: 30, known: true}, 50},
	} {
		f := New()
		for now := time.Duration(0); now <= 2*time.Second; now += binTime {
			f.Observe(start.Add(now), 10)
		}
		now := start.Add(2*time.Second + binTime)
		f.Observe(now, 50)
		f.levels = test.known
		// A rise of 40 slots in two bins, extrapolated over ten more bins.
		if demand := f.Peak(now, 10*binTime); !demand.Rising || demand.Slots != test.want {
			t.Errorf("%s: %+v", test.name, demand)
		}
	}
}

// TestWarmUp checks when a new forecast is warmed up: once the demand stops rising, not while
// there is none, and after a second at the latest.
func TestWarmUp(t *testing.T) {
	const delay = 400 * time.Millisecond
	for _, test := range []struct {
		name   string
		demand func(at time.Duration) float64
		after  time.Duration
	}{
		{"a constant demand", func(time.Duration) float64 { return 50 }, (warmUpBins + 1) * binTime},
		{"nothing", func(time.Duration) float64 { return 0 }, maxWarmUpTime},
		{"a burst that comes late", func(at time.Duration) float64 {
			return 200 * min(max((at-delay).Seconds(), 0)/0.2, 1)
		}, delay + 200*time.Millisecond + warmUpBins*binTime},
		{"an endless rise", func(at time.Duration) float64 { return 1000 * at.Seconds() }, maxWarmUpTime},
	} {
		f := New()
		at := time.Duration(0)
		for ; !f.WarmedUp() && at < 10*maxWarmUpTime; at += traceStep {
			f.Observe(start.Add(at), test.demand(at))
		}
		if off := at - test.after; max(off, -off) > 3*binTime {
			t.Errorf("%s: warmed up after %s, want %s", test.name, at, test.after)
		}
	}
}

// BenchmarkObserveAndPeak measures one observation and one forecast with a known pattern.
func BenchmarkObserveAndPeak(b *testing.B) {
	f := New()
	trace := waves().trace(rand.New(rand.NewSource(1)), 60*time.Second)
	feed(f, start, trace)
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		i++
		now := start.Add(60*time.Second + time.Duration(i)*traceStep)
		f.Observe(now, trace[i%len(trace)])
		f.Peak(now, 200*time.Millisecond)
	}
}
