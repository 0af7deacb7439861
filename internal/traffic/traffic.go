// Package traffic counts the bytes that a process exchanges with other processes, by kind of
// message and by the peer's zone. Only the process that sends the request counts an exchange, so
// the sum over all processes counts each byte once.
package traffic

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// Kind is the purpose of messages.
type Kind string

// Kinds of messages that are not RPC calls. RPC calls are counted under the name of their method.
const (
	// Loads are load reports to a hub or between hubs, and the responses.
	Loads Kind = "loads"
	// Requests are requests that are forwarded to workers, and the responses.
	Requests Kind = "requests"
)

// Unknown is the zone of a process that is not in any view of the fleet.
const Unknown = "unknown"

// flow is the key of a counter.
type flow struct {
	kind Kind
	zone string
}

// counter counts the exchanges of one flow. It is safe for concurrent use.
type counter struct {
	exchanges atomic.Uint64
	sent      atomic.Uint64
	received  atomic.Uint64
}

// Meter counts the exchanges of a process. A nil Meter counts nothing. It is safe for concurrent
// use.
type Meter struct {
	mutex    sync.RWMutex
	zones    map[string]string
	counters map[flow]*counter
}

// NewMeter returns a meter without known zones.
func NewMeter() *Meter {
	return &Meter{counters: map[flow]*counter{}}
}

// AddZones adds the zones of addresses (IP:port). If an address is reused, exchanges count for the
// zone of its current process. Addresses of processes that have exited are kept, because their last
// exchanges may not be counted yet.
func (m *Meter) AddZones(zones map[string]string) {
	if m == nil {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.zones == nil || len(m.zones) > maxZones {
		m.zones = map[string]string{}
	}
	maps.Copy(m.zones, zones)
}

// maxZones bounds the number of known addresses, so that they take about 2 MB. When there are more,
// AddZones drops all of them and starts over. Exchanges with an address count for an unknown zone
// until the address is added again.
const maxZones = 1 << 15

// Add counts an exchange with the process at the address, with the bytes sent and received.
func (m *Meter) Add(kind Kind, address string, sent, received int) {
	if m == nil {
		return
	}
	c := m.counterOf(kind, address)
	c.exchanges.Add(1)
	c.sent.Add(uint64(sent))
	c.received.Add(uint64(received))
}

// AddReceived counts received bytes of an exchange that was already counted.
func (m *Meter) AddReceived(kind Kind, address string, received int) {
	if m == nil {
		return
	}
	m.counterOf(kind, address).received.Add(uint64(received))
}

func (m *Meter) counterOf(kind Kind, address string) *counter {
	m.mutex.RLock()
	key := m.flowOf(kind, address)
	known := m.counters[key]
	m.mutex.RUnlock()
	if known != nil {
		return known
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if known = m.counters[key]; known == nil {
		known = &counter{}
		m.counters[key] = known
	}
	return known
}

func (m *Meter) flowOf(kind Kind, address string) flow {
	zone, known := m.zones[address]
	if !known {
		zone = Unknown
	}
	return flow{kind: kind, zone: zone}
}

// Row is the total of one kind of message with one zone.
type Row struct {
	Kind      Kind
	Zone      string
	Exchanges uint64
	Sent      uint64
	Received  uint64
}

// Rows returns the totals so far, sorted by kind and zone.
func (m *Meter) Rows() []Row {
	if m == nil {
		return nil
	}
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	rows := make([]Row, 0, len(m.counters))
	for key, c := range m.counters {
		rows = append(rows, Row{Kind: key.kind, Zone: key.zone, Exchanges: c.exchanges.Load(), Sent: c.sent.Load(), Received: c.received.Load()})
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Zone, b.Zone)) })
	return rows
}

var (
	labels    = []string{"kind", "zone"}
	exchanges = prometheus.NewDesc("peer_exchanges_total", "Exchanges with other processes, by kind of message and the other's zone.", labels, nil)
	sent      = prometheus.NewDesc("peer_sent_bytes_total", "Bytes sent in them.", labels, nil)
	received  = prometheus.NewDesc("peer_received_bytes_total", "Bytes received in them.", labels, nil)
)

// Describe implements prometheus.Collector.
func (m *Meter) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- exchanges
	descriptions <- sent
	descriptions <- received
}

// Collect implements prometheus.Collector.
func (m *Meter) Collect(metrics chan<- prometheus.Metric) {
	for _, row := range m.Rows() {
		metrics <- prometheus.MustNewConstMetric(exchanges, prometheus.CounterValue, float64(row.Exchanges), string(row.Kind), row.Zone)
		metrics <- prometheus.MustNewConstMetric(sent, prometheus.CounterValue, float64(row.Sent), string(row.Kind), row.Zone)
		metrics <- prometheus.MustNewConstMetric(received, prometheus.CounterValue, float64(row.Received), string(row.Kind), row.Zone)
	}
}
