package daemon

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// TestStepsAreTakenOnce takes steps of a start: each is told once, with the time since the
// start, and ready is told when the process says so first.
func TestStepsAreTakenOnce(t *testing.T) {
	s := newSteps(true)
	if after, first := s.take(s.began.Add(2*time.Second), StepLeader); !first || after != 2*time.Second {
		t.Errorf("after %s, first %t", after, first)
	}
	if _, first := s.take(s.began.Add(3*time.Second), StepLeader); first {
		t.Error("a step is told twice")
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(s.seconds)
	families, err := registry.Gather()
	if err != nil || len(families) != 1 || families[0].GetMetric()[0].GetGauge().GetValue() != 2 {
		t.Errorf("%v, %v", families, err)
	}
	d, err := New(Options{Role: "edge", Name: "edge-1", Listen: "127.0.0.1:0", Embedded: true})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = d.Kill() }()
	if !d.steps.taken[StepSettings] || d.steps.taken[StepReady] {
		t.Errorf("at the start: %v", d.steps.taken)
	}
	d.SetReady(false)
	if d.steps.taken[StepReady] {
		t.Error("not ready counts as ready")
	}
	d.SetReady(true)
	if !d.steps.taken[StepReady] {
		t.Error("ready does not count")
	}
}
