package daemon

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/logging"
)

// StartupStep is a step of a process's startup. Its text stands in logs and metrics.
type StartupStep string

// The steps of a startup. Which of them occur, and in which order, depends on the role.
const (
	// StepSettings: the settings are read, and the process listens.
	StepSettings StartupStep = "settings_read"
	// StepStorage: the data folder is open, and what it holds is restored.
	StepStorage StartupStep = "storage_open"
	// StepPeer: a message of another process of the same role was received.
	StepPeer StartupStep = "peer_heard"
	// StepLeader: the fleet group has a leader, and this process received its update.
	StepLeader StartupStep = "leader_heard"
	// StepConfiguration: this process has a configuration and applies it.
	StepConfiguration StartupStep = "configuration_known"
	// StepWorkers: the list of workers, or a part of it, was received.
	StepWorkers StartupStep = "workers_known"
	// StepReady: the process has declared itself ready, see SetReady.
	StepReady StartupStep = "ready"
	// StepServed: the first request, or item of a job, was completed successfully.
	StepServed StartupStep = "first_served"
)

// processStartedAt is when this operating-system process started, to within a few milliseconds.
var processStartedAt = clock.Now()

// startupSteps records which steps of the startup are complete. It is safe for concurrent use.
type startupSteps struct {
	startedAt time.Time
	seconds   *prometheus.GaugeVec

	mutex     sync.Mutex
	completed map[StartupStep]bool
}

// newStartupSteps returns the steps of a process, none of them complete. Embedded processes
// start one after another in one operating-system process, so each has its own start time.
func newStartupSteps(embedded bool) *startupSteps {
	s := &startupSteps{
		startedAt: processStartedAt,
		seconds:   prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "process_start_seconds", Help: "Time from the start of the process to each step of it."}, []string{"step"}),
		completed: map[StartupStep]bool{},
	}
	if embedded {
		s.startedAt = clock.Now()
	}
	return s
}

// complete records that the step is complete. It reports whether this is the first time, and
// the time since the start.
func (s *startupSteps) complete(now time.Time, step StartupStep) (elapsed time.Duration, first bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.completed[step] {
		return 0, false
	}
	s.completed[step] = true
	elapsed = now.Sub(s.startedAt)
	s.seconds.WithLabelValues(string(step)).Set(elapsed.Seconds())
	return elapsed, true
}

// CompleteStep records and logs that a step of the startup is complete. Repeated calls do nothing.
func (d *Daemon) CompleteStep(step StartupStep) {
	if elapsed, first := d.steps.complete(clock.Now(), step); first {
		logging.Info(d.Logger, "start_step", "step", string(step), "ms", elapsed.Milliseconds())
	}
}

// SetFleetKnown is called after an update of the fleet group's leader and completes the steps that
// follow from it: StepLeader always, StepConfiguration and StepWorkers if the process now has a
// configuration and workers.
func (d *Daemon) SetFleetKnown(configuration, workers bool) {
	d.CompleteStep(StepLeader)
	if configuration {
		d.CompleteStep(StepConfiguration)
	}
	if workers {
		d.CompleteStep(StepWorkers)
	}
}
