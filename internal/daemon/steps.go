package daemon

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/logging"
)

// Step is a step of a process's start, as used in logs and metrics.
type Step string

// The steps of a start. Which there are, and their order, differs by role.
const (
	// StepSettings: the settings are read, and the process listens.
	StepSettings Step = "settings_read"
	// StepStorage: the data folder is open, and what it holds is restored.
	StepStorage Step = "storage_open"
	// StepPeer: another process of the same role was heard.
	StepPeer Step = "peer_heard"
	// StepLeader: the fleet group has a leader, and this process heard it.
	StepLeader Step = "leader_heard"
	// StepConfiguration: a configuration is in force here.
	StepConfiguration Step = "configuration_known"
	// StepWorkers: the list of workers is known, or a part of it.
	StepWorkers Step = "workers_known"
	// StepReady: the process said that it is ready.
	StepReady Step = "ready"
	// StepServed: the first request, or item of a job, was answered as it should be.
	StepServed Step = "first_served"
)

// processBegan is when this operating-system process began, to within some milliseconds.
var processBegan = clock.Now()

// steps remembers which steps of the start were taken. It is safe for concurrent use.
type steps struct {
	began   time.Time
	seconds *prometheus.GaugeVec

	mutex sync.Mutex
	taken map[Step]bool
}

// newSteps returns the steps of a process. Those that share an operating-system process begin
// one by one.
func newSteps(embedded bool) *steps {
	s := &steps{
		began:   processBegan,
		seconds: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "process_start_seconds", Help: "Time from the start of the process to each step of it."}, []string{"step"}),
		taken:   map[Step]bool{},
	}
	if embedded {
		s.began = clock.Now()
	}
	return s
}

// take reports whether the step is taken for the first time, and after how long.
func (s *steps) take(now time.Time, step Step) (after time.Duration, first bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.taken[step] {
		return 0, false
	}
	s.taken[step] = true
	after = now.Sub(s.began)
	s.seconds.WithLabelValues(string(step)).Set(after.Seconds())
	return after, true
}

// MarkStep takes in that a step of the start is done; repeated, it does nothing.
func (d *Daemon) MarkStep(step Step) {
	if after, first := d.steps.take(clock.Now(), step); first {
		logging.Info(d.Logger, "start_step", "step", string(step), "ms", after.Milliseconds())
	}
}

// MarkFleet takes in what is known of the fleet: a leader has told it.
func (d *Daemon) MarkFleet(configuration, workers bool) {
	d.MarkStep(StepLeader)
	if configuration {
		d.MarkStep(StepConfiguration)
	}
	if workers {
		d.MarkStep(StepWorkers)
	}
}
