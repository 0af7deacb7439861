package dispatcher

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// metrics holds the Prometheus metrics of a dispatcher.
type metrics struct {
	requests  *prometheus.HistogramVec
	items     *prometheus.CounterVec
	dropped   *prometheus.CounterVec
	preempted prometheus.Counter
	abandoned prometheus.Counter
	resumed   prometheus.Counter
}

func newMetrics(registry *prometheus.Registry, d *Dispatcher) *metrics {
	m := &metrics{
		requests: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "sedgemast_dispatcher_request_seconds",
			Help:    "Time from a request's arrival to its end, by class and outcome.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 16),
		}, []string{"class", "outcome"}),
		items: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sedgemast_dispatcher_items_total",
			Help: "Batch items reported or stopped, by outcome.",
		}, []string{"outcome"}),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sedgemast_dispatcher_events_dropped_total",
			Help: "Stream events dropped because they belonged to another attempt or had been seen.",
		}, []string{"reason"}),
		preempted: newCounter("sedgemast_dispatcher_preemptions_total", "Batch attempts that yielded to online work."),
		abandoned: newCounter("sedgemast_dispatcher_abandoned_total", "Attempts given up on workers that fell silent."),
		resumed:   newCounter("sedgemast_dispatcher_resumes_total", "Streams picked up again after a cut."),
	}
	registry.MustRegister(m.requests, m.items, m.dropped, m.preempted, m.abandoned, m.resumed, &collector{dispatcher: d})
	return m
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

func (m *metrics) observeRequest(class wire.Class, started time.Time, err error) {
	outcome := "whole"
	if err != nil {
		outcome = failure.KindOf(err).String()
	}
	m.requests.WithLabelValues(class.String(), outcome).Observe(time.Since(started).Seconds())
}

// collector exports the scheduler's state each time metrics are collected.
type collector struct{ dispatcher *Dispatcher }

var (
	inFlightDescription = prometheus.NewDesc("sedgemast_dispatcher_in_flight", "Attempts running, by class.", []string{"class"}, nil)
	queuedDescription   = prometheus.NewDesc("sedgemast_dispatcher_queued", "Attempts waiting, by class.", []string{"class"}, nil)
	routingDescription  = prometheus.NewDesc("sedgemast_dispatcher_routing_steps_total", "What the routing steps did.", []string{"step"}, nil)
)

// Describe implements prometheus.Collector.
func (c *collector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- inFlightDescription
	descriptions <- queuedDescription
	descriptions <- routingDescription
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(collected chan<- prometheus.Metric) {
	c.dispatcher.mutex.Lock()
	onlineRunning, batchRunning := c.dispatcher.scheduler.InFlight()
	onlineQueued, batchQueued := c.dispatcher.scheduler.Queued()
	steps := c.dispatcher.scheduler.Pipeline().Counts()
	c.dispatcher.mutex.Unlock()
	gauge := func(description *prometheus.Desc, class wire.Class, value int) {
		collected <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, float64(value), class.String())
	}
	gauge(inFlightDescription, wire.Online, onlineRunning)
	gauge(inFlightDescription, wire.Batch, batchRunning)
	gauge(queuedDescription, wire.Online, onlineQueued)
	gauge(queuedDescription, wire.Batch, batchQueued)
	for _, step := range steps {
		collected <- prometheus.MustNewConstMetric(routingDescription, prometheus.CounterValue, float64(step.Count), step.Step)
	}
}
