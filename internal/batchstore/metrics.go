package batchstore

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sedgemast/sedgemast/internal/fleetwatch"
)

// metrics are the metrics of the process.
type metrics struct {
	jobs     *prometheus.CounterVec
	attempts *prometheus.CounterVec
	runTime  prometheus.Histogram
	// listAge is the age of the list of workers at each send of an item.
	listAge prometheus.Histogram
	// restarted counts items that started again because no worker of their text's version had room.
	restarted prometheus.Counter
	// awaitConfiguration counts jobs that waited for a configuration as new as the one under which
	// they were accepted.
	awaitConfiguration prometheus.Counter
	// healthChanges counts changes in the health rating of workers, by the new rating.
	healthChanges *prometheus.CounterVec
	// forecastError is the mean error, in slots, of the forecasts of online demand. As a baseline
	// it also has the mean error of a forecast that demand stays as it is.
	forecastError *prometheus.GaugeVec
	// exceeded counts parts of answers that were longer than a sound worker's.
	exceeded *prometheus.CounterVec
}

func newMetrics(registry *prometheus.Registry) *metrics {
	m := &metrics{
		jobs:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "store_jobs_total", Help: "Jobs handed in, by outcome."}, []string{"outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "store_item_attempts_total", Help: "Attempts at items, by how they ended."}, []string{"outcome"}),
		runTime:  prometheus.NewHistogram(prometheus.HistogramOpts{Name: "store_item_seconds", Help: "How long attempts took.", Buckets: []float64{.1, .3, 1, 2, 3, 5, 7, 10, 15, 20, 30}}),
	}
	m.healthChanges = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "store_workers_judged_total", Help: "Changes in the judgement of workers that fail requests: avoided, probed, readmitted."}, []string{"change"})
	m.forecastError = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "store_forecast_off_slots", Help: "By how many slots the online need differs from what was forecast 200 ms before, in the mean, by pool and way; zero without a pattern."}, []string{"pool", "way"})
	m.listAge = prometheus.NewHistogram(prometheus.HistogramOpts{Name: "store_send_list_age_seconds", Help: "Age of the list of workers when an item was sent to a worker.", Buckets: fleetwatch.ListAgeBuckets})
	m.restarted = prometheus.NewCounter(prometheus.CounterOpts{Name: "store_items_restarted_total", Help: "Items that started again from their first event, because no worker of their text's software version had room."})
	m.awaitConfiguration = prometheus.NewCounter(prometheus.CounterOpts{Name: "store_jobs_awaiting_configuration_total", Help: "Jobs about which this store could not decide, because its configuration may be older than the one under which they were accepted."})
	m.exceeded = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "store_exceeded_limits_total", Help: "Parts of workers' answers that were cut because they were longer than a sound worker's, by part."}, []string{"part"})
	registry.MustRegister(m.exceeded, m.awaitConfiguration, m.restarted, m.healthChanges, m.jobs, m.attempts, m.runTime, m.listAge, m.forecastError)
	return m
}

// outcome returns the metric label for how an attempt at an item ended.
func (t *task) outcome(err error) string {
	switch {
	case t.finished:
		return "finished"
	case t.context.Err() != nil:
		return "stopped"
	case err != nil:
		return "failed"
	}
	return "not_recorded"
}
