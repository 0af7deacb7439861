package forecast

import (
	"math"
	"time"
)

const (
	// scoreHorizon is how many bins ahead predictions are scored: about the time from the report
	// that a stop rests on until the slot is free.
	scoreHorizon = 4
	// scoreWindow is the number of values over which the score is averaged exponentially, about 12
	// seconds, so that it covers both waves and valleys.
	scoreWindow = 256
	// marginFactor sets by how much a forecast is raised, as a multiple of its mean error. It is
	// raised because errors go both ways, and a request that finds no free slot waits for an item
	// to stop.
	marginFactor = 2
)

// score compares predictions with the observed demand. The zero value is ready for use.
type score struct {
	// predictions holds the predictions for the bins to come, indexed by bin number. scored counts
	// the predictions that were compared with the observed demand.
	predictions [scoreHorizon + 1]prediction
	scored      int
	// meanError is the mean absolute error of the predictions, in slots; baselineError is the mean
	// absolute error that results if the demand is assumed to stay as it was at the time of the
	// prediction.
	meanError     float64
	baselineError float64
	// errorDeviations is meanError in standard deviations of a count, that is, relative to the
	// square root of the demand.
	errorDeviations float64
	// lastDifferences holds by how much the last bins differed from the profile. covariance is the
	// mean product of such differences scoreHorizon bins apart, variance the mean of their squares.
	lastDifferences [scoreHorizon]float64
	covariance      float64
	variance        float64
}

// prediction is the predicted demand in a bin, and as a baseline the demand at the time of the
// prediction.
type prediction struct {
	number   int
	demand   float64
	baseline float64
}

// recordPrediction keeps the prediction made after a bin was closed.
func (s *score) recordPrediction(f *Forecast, number int) {
	if !f.pattern.confident {
		return
	}
	target := number + scoreHorizon
	demand, known := f.predict(target)
	if !known {
		return
	}
	s.predictions[target%len(s.predictions)] = prediction{number: target, demand: demand, baseline: f.current}
}

// compare updates the errors with the observed demand in a bin.
func (s *score) compare(f *Forecast, number int, value float64) {
	if !f.pattern.confident {
		return
	}
	predicted := &s.predictions[number%len(s.predictions)]
	if predicted.number == number && number > 0 {
		predictionError := math.Abs(predicted.demand - value)
		s.scored++
		weight := 1 / float64(min(s.scored, scoreWindow))
		s.meanError += weight * (predictionError - s.meanError)
		s.errorDeviations += weight * (predictionError/math.Sqrt(max(predicted.demand, 1)) - s.errorDeviations)
		s.baselineError += weight * (math.Abs(predicted.baseline-value) - s.baselineError)
	}
	if usual, known := f.profileMean(number); known {
		s.updatePersistence(number, value-usual)
	}
}

// updatePersistence updates the covariance and variance with a bin's difference from the profile.
func (s *score) updatePersistence(number int, difference float64) {
	at := number % scoreHorizon
	s.covariance += (difference*s.lastDifferences[at] - s.covariance) / scoreWindow
	s.variance += (difference*difference - s.variance) / scoreWindow
	s.lastDifferences[at] = difference
}

// persistence returns the fraction of a difference from the profile that is left after the given
// number of bins.
func (s *score) persistence(bins int) float64 {
	if s.variance <= 0 || s.covariance <= 0 {
		return 0
	}
	return math.Pow(min(s.covariance/s.variance, 1), float64(bins)/scoreHorizon)
}

// margin returns what is added to a predicted demand.
func (s *score) margin(demand float64) float64 {
	return marginFactor * s.errorDeviations * math.Sqrt(max(demand, 1))
}

// Score is the accuracy of recent forecasts, in slots.
type Score struct {
	// MeanError is the mean absolute error of the forecasts. BaselineError is the mean absolute
	// error that results if the demand is assumed to stay as it is.
	MeanError     float64
	BaselineError float64
}

// Score returns the accuracy of recent forecasts, zero without a pattern.
func (f *Forecast) Score() Score {
	return Score{MeanError: f.score.meanError, BaselineError: f.score.baselineError}
}

// Change is a pattern that was learned or abandoned.
type Change struct {
	Learned   bool
	Abandoned bool
	// Period is the length of a cycle, and Waves the number of waves in it.
	Period time.Duration
	Waves  int
	// Duration is the mean length of a wave, and Amplitude the mean demand in it, in slots.
	Duration  time.Duration
	Amplitude float64
}

// Changes returns the last change since the previous call, zero if there was none.
func (f *Forecast) Changes() Change {
	change := f.change
	f.change = Change{}
	return change
}
