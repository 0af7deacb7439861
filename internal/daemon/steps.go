package daemon

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/logging"
)

// StartupStep is a step of a process's start, as used in logs and metrics.
type StartupStep string

// The steps of a start. Which there are, and their order, differs by role.
const (
	// StepSettings: the settings are read, and the process listens.
	StepSettings StartupStep = "settings_read"
	// StepStorage: the data folder is open, and what it holds is restored.
	StepStorage StartupStep = "storage_open"
	// StepPeer: another process of the same role was heard.
	StepPeer StartupStep = "peer_heard"
	// StepLeader: the fleet group has a leader, and this process heard it.
	StepLeader StartupStep = "leader_heard"
	// StepConfiguration: a configuration is in force here.
	StepConfiguration StartupStep = "configuration_known"
	// StepWorkers: the list of workers is known, or a part of it.
	StepWorkers StartupStep = "workers_known"
	// StepReady: the process said that it is ready.
	StepReady StartupStep = "ready"
	// StepServed: the first request, or item of a job, was answered as it should be.
	StepServed StartupStep = "first_served"
)

// processBegan is when this operating-system process began, to within some milliseconds.
var processBegan = clock.Now()

// steps remembers which steps of the start were taken. It is safe for concurrent use.
type steps struct {
	began   time.Time
	seconds *prometheus.GaugeVec

	mutex sync.Mutex
	taken map[StartupStep]bool
}

// newSteps returns the steps of a process. Those that share an operating-system process begin
// one by one.
func newSteps(embedded bool) *steps {
	s := &steps{
		began:   processBegan,
		seconds: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "process_start_seconds", Help: "Time from the start of the process to each step of it."}, []string{"step"}),
		taken:   map[StartupStep]bool{},
	}
	if embedded {
		s.began = clock.Now()
	}
	return s
}

// take reports whether the step is taken for the first time, and after how long.
func (s *steps) take(now time.Time, step StartupStep) (after time.Duration, first bool) {
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

// CompleteStep takes in that a step of the start is done; repeated, it does nothing.
func (d *Daemon) CompleteStep(step StartupStep) {
	if after, first := d.steps.take(clock.Now(), step); first {
		logging.Info(d.Logger, "start_step", "step", string(step), "ms", after.Milliseconds())
	}
}

// SetFleetKnown takes in what is known of the fleet: a leader has told it.
func (d *Daemon) SetFleetKnown(configuration, workers bool) {
	d.CompleteStep(StepLeader)
	if configuration {
		d.CompleteStep(StepConfiguration)
	}
	if workers {
		d.CompleteStep(StepWorkers)
	}
}
