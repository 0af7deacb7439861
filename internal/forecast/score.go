package forecast

import (
	"math"
	"time"
)

const (
	// scoredAhead is how many bins ahead forecasts are compared with what came: about as
	// long as a stop takes from the report that it rests on to the free slot.
	scoredAhead = 4
	// scoreParts is the part of a new value in the score, one in so many: some 12 seconds,
	// so that calm parts and waves are both in it.
	scoreParts = 256
	// marginTimes is by how many times its mean error a forecast is raised. Errors go both
	// ways, and a request that finds no slot waits for an item to leave.
	marginTimes = 2
)

// score compares what was forecast with what came. The zero value is ready for use.
type score struct {
	// forecast holds what was forecast for the bins to come, plain the need when that was
	// done, both by the bin's number.
	forecast [scoredAhead + 1]guess
	scored   int
	// meanError and plainError are the mean differences of the forecast, and of the need when
	// it was made, from what came, in slots.
	meanError  float64
	plainError float64
	// deviations is meanError in standard deviations of a count: the root of the need.
	deviations float64
	// last is by how much the last bins differed from what is usual; covariance and variance
	// are the means of the products of such differences scoredAhead bins apart, and of their
	// squares.
	last       [scoredAhead]float64
	covariance float64
	variance   float64
}

// guess is a forecast for the bin of a number, and the need when it was made.
type guess struct {
	number int
	need   float64
	plain  float64
}

// note keeps what is forecast after a bin was closed.
func (s *score) note(f *Forecast, number int) {
	if !f.pattern.sure {
		return
	}
	target := number + scoredAhead
	need, known := f.expect(target)
	if !known {
		return
	}
	s.forecast[target%len(s.forecast)] = guess{number: target, need: need, plain: f.present}
}

// compare takes in what came in a bin.
func (s *score) compare(f *Forecast, number int, value float64) {
	if !f.pattern.sure {
		return
	}
	guess := &s.forecast[number%len(s.forecast)]
	if guess.number == number && number > 0 {
		miss := math.Abs(guess.need - value)
		s.scored++
		part := 1 / float64(min(s.scored, scoreParts))
		s.meanError += part * (miss - s.meanError)
		s.deviations += part * (miss/math.Sqrt(max(guess.need, 1)) - s.deviations)
		s.plainError += part * (math.Abs(guess.plain-value) - s.plainError)
	}
	if usual, known := f.usual(number); known {
		s.learnLasting(number, value-usual)
	}
}

// learnLasting takes in by how much a bin differs from what is usual.
func (s *score) learnLasting(number int, difference float64) {
	at := number % scoredAhead
	s.covariance += (difference*s.last[at] - s.covariance) / scoreParts
	s.variance += (difference*difference - s.variance) / scoreParts
	s.last[at] = difference
}

// lasting returns which part of a difference from what is usual is left so many bins later.
func (s *score) lasting(bins int) float64 {
	if s.variance <= 0 || s.covariance <= 0 {
		return 0
	}
	return math.Pow(min(s.covariance/s.variance, 1), float64(bins)/scoredAhead)
}

// margin returns what is added to a forecast of so much.
func (s *score) margin(need float64) float64 {
	return marginTimes * s.deviations * math.Sqrt(max(need, 1))
}

// Score is how good forecasts were of late, in slots.
type Score struct {
	// MeanError is by how much they differ from what came in the mean, PlainError by how much
	// the need at their time did.
	MeanError     float64
	BaselineError float64
}

// Score returns how good forecasts were, zeros without a pattern.
func (f *Forecast) Score() Score {
	return Score{MeanError: f.score.meanError, BaselineError: f.score.plainError}
}

// Change is what has changed in what is learnt.
type Change struct {
	Learned   bool
	Abandoned bool
	// Period is the time after which so many waves recur.
	Period time.Duration
	Waves  int
	// Duration and Height are those of a wave, in time and slots.
	Duration  time.Duration
	Amplitude float64
}

// Changes returns what has changed since it was asked last.
func (f *Forecast) Changes() Change {
	news := f.news
	f.news = Change{}
	return news
}
