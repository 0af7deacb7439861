package batchstore

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/batchroom"
	"github.com/sedgemast/sedgemast/internal/forecast"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/routetable"
)

// forecastEnabled reports whether online demand is forecast for a pool. It is if the configuration
// has tenants, which share the pool, or if the pool's workers report their pace.
func (s *Store) forecastEnabled(table *routetable.Table, pool string) bool {
	return table.RequiresKeys() || s.workers.ReportsPace(pool)
}

// updateForecasts records the present demand and returns the forecasts of the pools that have
// one. The caller holds hubsMutex.
func (s *Store) updateForecasts(now time.Time, table *routetable.Table, workers *batchroom.Workers) []batchroom.Forecast {
	var pools []string
	for _, pool := range s.workers.Pools() {
		if s.forecastEnabled(table, pool) {
			pools = append(pools, pool)
		} else {
			delete(s.loads.forecasts, pool)
		}
	}
	var forecasts []batchroom.Forecast
	for _, poolForecast := range s.workers.Forecasts(workers, pools) {
		predictor := s.forecastFor(poolForecast.Pool)
		predictor.Observe(now, float64(poolForecast.Online))
		poolForecast.ReportAge = loadshare.HubReportInterval(s.workers.RequestRate(), s.loads.workers.Len())
		poolForecast.Paused = !predictor.WarmedUp()
		poolForecast.Peak = func(ahead time.Duration) forecast.Demand { return predictor.Peak(now, ahead) }
		forecasts = append(forecasts, poolForecast)
		s.reportForecast(poolForecast.Pool, predictor)
	}
	return forecasts
}

// forecastFor returns the forecast of a pool, creating it if needed.
func (s *Store) forecastFor(pool string) *forecast.Forecast {
	predictor := s.loads.forecasts[pool]
	if predictor == nil {
		predictor = forecast.New()
		s.loads.forecasts[pool] = predictor
	}
	return predictor
}

// reportForecast logs patterns that were learned or abandoned, and updates the error metrics.
func (s *Store) reportForecast(pool string, predictor *forecast.Forecast) {
	score := predictor.Score()
	s.metrics.forecastError.WithLabelValues(pool, "forecast").Set(score.MeanError)
	s.metrics.forecastError.WithLabelValues(pool, "present").Set(score.BaselineError)
	switch changes := predictor.Changes(); {
	case changes.Learned:
		logging.Info(s.logger, "pattern_learnt", "pool", pool, "cycle_ms", changes.Period.Milliseconds(), "waves", changes.Waves, "length_ms", changes.Duration.Milliseconds(), "height", int(changes.Amplitude))
	case changes.Abandoned:
		logging.Info(s.logger, "pattern_given_up", "pool", pool, "cycle_ms", changes.Period.Milliseconds(), "waves", changes.Waves)
	}
}

// untilMillis returns the milliseconds until the forecast demand changes, or zero if unknown.
func untilMillis(now time.Time, demand forecast.Demand) int64 {
	if demand.Until.IsZero() {
		return 0
	}
	return max(demand.Until.Sub(now), 0).Milliseconds()
}
