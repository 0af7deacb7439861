package control

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sedgemast/sedgemast/internal/failure"
)

// metrics holds the Prometheus metrics of a control process.
type metrics struct {
	proposals  *prometheus.HistogramVec
	heartbeats *prometheus.CounterVec
	items      *prometheus.CounterVec
	assigned   prometheus.Counter
}

func newMetrics(registry *prometheus.Registry) *metrics {
	m := &metrics{
		proposals: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "sedgemast_control_proposal_seconds",
			Help:    "Time from a command's arrival to its answer, by kind of group and outcome.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}, []string{"group", "outcome"}),
		heartbeats: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sedgemast_control_heartbeats_total",
			Help: "Heartbeats answered, by role.",
		}, []string{"role"}),
		items: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sedgemast_control_items_total",
			Help: "Batch items leased and reported, by outcome.",
		}, []string{"outcome"}),
		assigned: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sedgemast_control_assignments_total",
			Help: "Assignments of workers to dispatchers committed.",
		}),
	}
	registry.MustRegister(m.proposals, m.heartbeats, m.items, m.assigned)
	return m
}

func (m *metrics) observeProposal(meta bool, started time.Time, err error) {
	group, outcome := "jobs", "committed"
	if meta {
		group = "meta"
	}
	if err != nil {
		outcome = failure.KindOf(err).String()
	}
	m.proposals.WithLabelValues(group, outcome).Observe(time.Since(started).Seconds())
}
