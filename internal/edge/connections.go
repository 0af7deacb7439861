package edge

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/stall"
)

// observeLag tells the limiter of connections how late this process runs what is due. A stall says
// nothing of the load: the process did not run at all.
func (e *Edge) observeLag(lag time.Duration) {
	if lag >= stall.MinDuration || !e.Connections.ObserveLag(lag) {
		return
	}
	stats := e.Connections.Stats()
	logging.Warn(e.logger, "connections_limited", "overloaded", stats.Share < 1, "lag_ms", lag.Milliseconds(), "open", stats.Open, "closed_unread", stats.Overloaded, "over_limit", stats.OverLimit)
}

// registerConnections registers the metrics of callers' connections.
func (e *Edge) registerConnections(registry *prometheus.Registry) {
	registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "edge_connections", Help: "Open connections of callers."}, func() float64 { return float64(e.Connections.Stats().Open) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "edge_connections_closed_unread_total", Help: "New connections that were closed because the process was overloaded."}, func() float64 { return float64(e.Connections.Stats().Overloaded) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "edge_connections_over_limit_total", Help: "New connections that were closed because too many were open."}, func() float64 { return float64(e.Connections.Stats().OverLimit) }),
	)
}
