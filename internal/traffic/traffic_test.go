package traffic

import (
	"slices"
	"testing"
)

// TestRowsByKindAndZone counts exchanges with processes in known and unknown zones.
func TestRowsByKindAndZone(t *testing.T) {
	m := NewMeter()
	m.AddZones(map[string]string{"10.0.0.1:1": "a", "10.0.0.2:1": "b"})
	m.Add(Loads, "10.0.0.1:1", 10, 0)
	m.AddReceived(Loads, "10.0.0.1:1", 30)
	m.Add(Loads, "10.0.0.1:1", 5, 0)
	m.Add(Requests, "10.0.0.2:1", 100, 200)
	m.Add("batch_read", "10.0.0.9:1", 1, 2)
	want := []Row{
		{Kind: "batch_read", Zone: Unknown, Exchanges: 1, Sent: 1, Received: 2},
		{Kind: Loads, Zone: "a", Exchanges: 2, Sent: 15, Received: 30},
		{Kind: Requests, Zone: "b", Exchanges: 1, Sent: 100, Received: 200},
	}
	if got := m.Rows(); !slices.Equal(got, want) {
		t.Errorf("rows %+v, want %+v", got, want)
	}
}

// TestNilMeter checks that a nil Meter can be used and counts nothing.
func TestNilMeter(t *testing.T) {
	var m *Meter
	m.AddZones(nil)
	m.Add(Loads, "10.0.0.1:1", 1, 1)
	m.AddReceived(Loads, "10.0.0.1:1", 1)
	if rows := m.Rows(); rows != nil {
		t.Errorf("rows %+v", rows)
	}
}
