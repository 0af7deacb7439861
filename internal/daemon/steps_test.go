package daemon

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// TestStartupStepsCompleteOnce completes steps of a startup: each must be reported once, with
// the time since the start, and StepReady when the process first declares itself ready.
func TestStartupStepsCompleteOnce(t *testing.T) {
	s := newStartupSteps(true)
	if elapsed, first := s.complete(s.startedAt.Add(2*time.Second), StepLeader); !first || elapsed != 2*time.Second {
		t.Errorf("after %s, first %t", elapsed, first)
	}
	if _, first := s.complete(s.startedAt.Add(3*time.Second), StepLeader); first {
		t.Error("a repeated step is reported as the first")
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
	if !d.steps.completed[StepSettings] || d.steps.completed[StepReady] {
		t.Errorf("completed steps after New: %v", d.steps.completed)
	}
	d.SetReady(false)
	if d.steps.completed[StepReady] {
		t.Error("SetReady(false) completes StepReady")
	}
	d.SetReady(true)
	if !d.steps.completed[StepReady] {
		t.Error("SetReady(true) does not complete StepReady")
	}
}
