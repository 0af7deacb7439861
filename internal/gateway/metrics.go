package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sedgemast/sedgemast/internal/failure"
)

// metrics holds the metrics that the gateway updates itself.
type metrics struct {
	requests *prometheus.HistogramVec
	retries  prometheus.Counter
	resumes  prometheus.Counter
}

func newMetrics(registry *prometheus.Registry, g *Gateway) *metrics {
	m := &metrics{
		requests: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "sedgemast_gateway_request_seconds",
			Help:    "Time from a request's arrival to the end of its answer, by API and outcome.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 18),
		}, []string{"api", "outcome"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sedgemast_gateway_retries_total",
			Help: "Attempts made after one that failed.",
		}),
		resumes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sedgemast_gateway_resumes_total",
			Help: "Streams that another dispatcher went on reading.",
		}),
	}
	registry.MustRegister(m.requests, m.retries, m.resumes, &collector{gateway: g})
	return m
}

func (m *metrics) request(api string, started time.Time, err error) {
	outcome := "answered"
	if err != nil {
		outcome = failure.KindOf(err).String()
	}
	m.requests.WithLabelValues(api, outcome).Observe(time.Since(started).Seconds())
}

// collector exports the gateway's state when metrics are scraped.
type collector struct{ gateway *Gateway }

var (
	inFlightDescription = prometheus.NewDesc("sedgemast_gateway_in_flight", "Requests in flight.", nil, nil)
	revisionDescription = prometheus.NewDesc("sedgemast_gateway_config_revision", "Configuration revision in force.", nil, nil)
	routingDescription  = prometheus.NewDesc("sedgemast_gateway_routing_steps_total", "What the routing steps did.", []string{"step"}, nil)
)

// Describe implements prometheus.Collector.
func (c *collector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- inFlightDescription
	descriptions <- revisionDescription
	descriptions <- routingDescription
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(collected chan<- prometheus.Metric) {
	collected <- prometheus.MustNewConstMetric(inFlightDescription, prometheus.GaugeValue, float64(c.gateway.inFlight.Load()))
	collected <- prometheus.MustNewConstMetric(revisionDescription, prometheus.GaugeValue, float64(c.gateway.session.Config().Revision))
	for _, step := range c.gateway.chooser.pipeline.Counts() {
		collected <- prometheus.MustNewConstMetric(routingDescription, prometheus.CounterValue, float64(step.Count), step.Step)
	}
}
