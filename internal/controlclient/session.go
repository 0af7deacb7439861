package controlclient

import (
	"context"
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"

	"github.com/sedgemast/sedgemast/internal/configuration"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/membership"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// SessionOptions describe a daemon's session with control.
type SessionOptions struct {
	Client   *Client
	Logger   logging.Logger
	Interval time.Duration
	Timeout  time.Duration
	// Report fills in the daemon's part of a heartbeat.
	Report func(*wire.HeartbeatRequest)
	// OnChange is called after a heartbeat that brought news; may be nil.
	OnChange func(*wire.HeartbeatResponse)
}

// Session keeps a daemon's lease, its view of the dispatchers and its copy of
// the configuration. Until the first heartbeat is answered nothing is valid:
// a daemon never starts from an old copy.
type Session struct {
	options SessionOptions
	config  *configuration.Store

	mutex             sync.Mutex
	lease             membership.Lease
	configLease       membership.Lease
	viewVersion       uint64
	view              map[string]wire.DaemonView
	viewChanges       uint64
	assignmentVersion uint64
	gateways          int
	jobGroups         int
	failures          int
	kick              chan struct{}
}

// NewSession returns a session that begins with Run.
func NewSession(options SessionOptions) *Session {
	return &Session{
		options:  options,
		config:   configuration.NewStore(),
		view:     map[string]wire.DaemonView{},
		gateways: 1,
		kick:     make(chan struct{}, 1),
	}
}

// Config returns the configuration in force here.
func (s *Session) Config() *configuration.Snapshot { return s.config.Current() }

// LeaseValid reports whether control still counts this daemon as living.
func (s *Session) LeaseValid(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lease.Valid(now)
}

// ConfigValid reports whether the configuration may still be acted on.
func (s *Session) ConfigValid(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.configLease.Valid(now)
}

// GatewayCount returns the number of living gateways, at least one.
func (s *Session) GatewayCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return max(1, s.gateways)
}

// JobGroupCount returns the number of job groups, zero before the first heartbeat.
func (s *Session) JobGroupCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.jobGroups
}

// View returns the dispatchers and a number that changes whenever they do.
func (s *Session) View() ([]wire.DaemonView, uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	dispatchers := make([]wire.DaemonView, 0, len(s.view))
	for _, dispatcher := range s.view {
		dispatchers = append(dispatchers, dispatcher)
	}
	return dispatchers, s.viewChanges
}

// ViewVersion returns the number that changes whenever the view does.
func (s *Session) ViewVersion() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.viewChanges
}

// Run sends heartbeats until ctx ends.
func (s *Session) Run(ctx context.Context) {
	ticker := time.NewTicker(s.options.Interval)
	defer ticker.Stop()
	for {
		s.SendHeartbeat(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.kick:
		}
	}
}

// HeartbeatNow makes the next heartbeat go out at once.
func (s *Session) HeartbeatNow() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// SendHeartbeat sends one heartbeat, trying every control process until the timeout.
func (s *Session) SendHeartbeat(ctx context.Context) {
	request := s.request()
	for attempt := 0; attempt <= len(s.options.Client.addresses); attempt++ {
		sent := clock.Exact()
		callContext, cancel := context.WithTimeout(ctx, s.options.Timeout)
		response, err := CallOnce[wire.HeartbeatResponse](callContext, s.options.Client, MetaGroup, MethodHeartbeat, request, attempt)
		cancel()
		if err == nil {
			s.accept(sent, response)
			return
		}
		if ctx.Err() != nil {
			return
		}
		s.failed(err)
	}
}

func (s *Session) request() *wire.HeartbeatRequest {
	request := &wire.HeartbeatRequest{}
	s.options.Report(request)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	request.ConfigRevision = s.config.Current().Revision
	request.ViewVersion = s.viewVersion
	request.AssignmentVersion = s.assignmentVersion
	return request
}

func (s *Session) failed(err error) {
	s.mutex.Lock()
	s.failures++
	first := s.failures == 1
	s.mutex.Unlock()
	if first {
		logging.Warn(s.options.Logger, "heartbeat_failed", "error", err)
	}
}

// accept takes in an answer. The leases count from the sending.
func (s *Session) accept(sent time.Time, response *wire.HeartbeatResponse) {
	changed, err := s.config.Apply(response.Config)
	if err != nil {
		// Without the configuration its lease must not be renewed.
		logging.Error(s.options.Logger, "configuration_refused", "revision", response.ConfigRevision, "error", err)
		return
	}
	if changed {
		logging.Info(s.options.Logger, "configuration_in_force", "revision", s.config.Current().Revision)
		// Control learns at once that the change is in force here.
		s.HeartbeatNow()
	}
	s.mutex.Lock()
	if s.failures > 0 {
		logging.Info(s.options.Logger, "heartbeat_restored", "failures", s.failures)
	}
	s.failures = 0
	s.lease.Renew(sent, time.Duration(response.LeaseMillis)*time.Millisecond)
	if s.config.Current().Revision >= response.ConfigRevision {
		s.configLease.Renew(sent, time.Duration(response.ConfigLeaseMillis)*time.Millisecond)
	}
	if response.Gateways > 0 {
		s.gateways = response.Gateways
	}
	s.jobGroups = response.JobGroups
	s.applyView(response.View)
	s.assignmentVersion = response.AssignmentVersion
	s.mutex.Unlock()
	if s.options.OnChange != nil {
		s.options.OnChange(response)
	}
}

func (s *Session) applyView(delta *wire.ViewDelta) {
	if delta == nil {
		return
	}
	if delta.Full {
		s.view = map[string]wire.DaemonView{}
	}
	for _, dispatcher := range delta.Dispatchers {
		s.view[dispatcher.Name] = dispatcher
	}
	for _, name := range delta.Removed {
		delete(s.view, name)
	}
	s.viewVersion = delta.Version
	s.viewChanges++
}
