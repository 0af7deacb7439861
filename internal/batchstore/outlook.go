package batchstore

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/batchroom"
	"github.com/sedgemast/sedgemast/internal/forecast"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/routetable"
)

// foresees reports whether the need of online requests is forecast for a pool: where
// tenants share it, or where its workers tell their pace.
func (s *Store) foresees(table *routetable.Table, pool string) bool {
	return table.RequiresKeys() || s.workers.ReportsPace(pool)
}

// foresee takes in the present need and returns what is known of the next moments. The
// lock of the hubs is held.
func (s *Store) foresee(now time.Time, table *routetable.Table, places *batchroom.Workers) []batchroom.Forecast {
	var pools []string
	for _, pool := range s.workers.Pools() {
		if s.foresees(table, pool) {
			pools = append(pools, pool)
		} else {
			delete(s.loads.forecasts, pool)
		}
	}
	var foreseen []batchroom.Forecast
	for _, outlook := range s.workers.Forecasts(places, pools) {
		known := s.forecastOf(outlook.Pool)
		known.Observe(now, float64(outlook.Online))
		outlook.ReportAge = loadshare.HubReportInterval(s.workers.RequestRate(), s.loads.listed.Len())
		outlook.Paused = !known.WarmedUp()
		outlook.Peak = func(ahead time.Duration) forecast.Demand { return known.Peak(now, ahead) }
		foreseen = append(foreseen, outlook)
		s.tellForecast(outlook.Pool, known)
	}
	return foreseen
}

// forecastOf returns the forecast of a pool.
func (s *Store) forecastOf(pool string) *forecast.Forecast {
	known := s.loads.forecasts[pool]
	if known == nil {
		known = forecast.New()
		s.loads.forecasts[pool] = known
	}
	return known
}

// tellForecast writes down what a forecast has learnt or given up, and how good it is.
func (s *Store) tellForecast(pool string, known *forecast.Forecast) {
	score := known.Score()
	s.metrics.forecastOff.WithLabelValues(pool, "forecast").Set(score.MeanError)
	s.metrics.forecastOff.WithLabelValues(pool, "present").Set(score.BaselineError)
	switch news := known.Changes(); {
	case news.Learned:
		logging.Info(s.logger, "pattern_learnt", "pool", pool, "cycle_ms", news.Period.Milliseconds(), "waves", news.Waves, "length_ms", news.Duration.Milliseconds(), "height", int(news.Amplitude))
	case news.Abandoned:
		logging.Info(s.logger, "pattern_given_up", "pool", pool, "cycle_ms", news.Period.Milliseconds(), "waves", news.Waves)
	}
}

// untilMillis returns how long it is until the level changes, zero where that is unknown.
func untilMillis(now time.Time, need forecast.Demand) int64 {
	if need.Until.IsZero() {
		return 0
	}
	return max(need.Until.Sub(now), 0).Milliseconds()
}
