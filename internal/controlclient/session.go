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

// SessionOptions configures a daemon's session with control.
type SessionOptions struct {
	Client   *Client
	Logger   logging.Logger
	Interval time.Duration
	Timeout  time.Duration
	// Report sets the fields of a heartbeat that describe the daemon.
	Report func(*wire.HeartbeatRequest)
	// OnResponse is called after each heartbeat whose response was applied; may be nil.
	OnResponse func(*wire.HeartbeatResponse)
}

// Session keeps a daemon's lease, its view of the dispatchers and its copy of the configuration.
// The daemon's lease and the lease on the configuration are invalid until the first heartbeat is
// answered, so a daemon never starts with an old copy of the configuration.
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
	wake              chan struct{}
}

// NewSession returns a session; Run starts its heartbeats.
func NewSession(options SessionOptions) *Session {
	return &Session{
		options:  options,
		config:   configuration.NewStore(),
		view:     map[string]wire.DaemonView{},
		gateways: 1,
		wake:     make(chan struct{}, 1),
	}
}

// Config returns the configuration in force in this process.
func (s *Session) Config() *configuration.Snapshot { return s.config.Current() }

// LeaseValid reports whether this daemon's lease with control still runs.
func (s *Session) LeaseValid(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lease.Valid(now)
}

// ConfigValid reports whether the daemon may still act on its configuration.
func (s *Session) ConfigValid(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.configLease.Valid(now)
}

// GatewayCount returns the number of live gateways, at least one.
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

// View returns the dispatchers and the version of the view, as returned by ViewVersion.
func (s *Session) View() ([]wire.DaemonView, uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	dispatchers := make([]wire.DaemonView, 0, len(s.view))
	for _, dispatcher := range s.view {
		dispatchers = append(dispatchers, dispatcher)
	}
	return dispatchers, s.viewChanges
}

// ViewVersion returns a number that increases with every update of the view.
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
		case <-s.wake:
		}
	}
}

// HeartbeatNow makes Run send the next heartbeat at once.
func (s *Session) HeartbeatNow() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// SendHeartbeat sends one heartbeat. It tries the control processes in turn, each for at most the
// session's timeout.
func (s *Session) SendHeartbeat(ctx context.Context) {
	request := s.newRequest()
	for attempt := 0; attempt <= len(s.options.Client.addresses); attempt++ {
		sent := clock.Exact()
		callContext, cancel := context.WithTimeout(ctx, s.options.Timeout)
		response, err := CallOnce[wire.HeartbeatResponse](callContext, s.options.Client, MetaGroup, MethodHeartbeat, request, attempt)
		cancel()
		if err == nil {
			s.applyResponse(sent, response)
			return
		}
		if ctx.Err() != nil {
			return
		}
		s.recordFailure(err)
	}
}

func (s *Session) newRequest() *wire.HeartbeatRequest {
	request := &wire.HeartbeatRequest{}
	s.options.Report(request)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	request.ConfigRevision = s.config.Current().Revision
	request.ViewVersion = s.viewVersion
	request.AssignmentVersion = s.assignmentVersion
	return request
}

func (s *Session) recordFailure(err error) {
	s.mutex.Lock()
	s.failures++
	first := s.failures == 1
	s.mutex.Unlock()
	if first {
		logging.Warn(s.options.Logger, "heartbeat_failed", "error", err)
	}
}

// applyResponse applies the response to a heartbeat. The leases run from the time at which the
// heartbeat was sent.
func (s *Session) applyResponse(sent time.Time, response *wire.HeartbeatResponse) {
	changed, err := s.config.Apply(response.Config)
	if err != nil {
		// The lease of a configuration that was not applied must not be renewed.
		logging.Error(s.options.Logger, "configuration_refused", "revision", response.ConfigRevision, "error", err)
		return
	}
	if changed {
		logging.Info(s.options.Logger, "configuration_in_force", "revision", s.config.Current().Revision)
		// Tell control at once that the new revision is in force here.
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
	if s.options.OnResponse != nil {
		s.options.OnResponse(response)
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
