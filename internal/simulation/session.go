package simulation

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/configuration"
	"github.com/sedgemast/sedgemast/internal/controlclient"
	"github.com/sedgemast/sedgemast/internal/membership"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = time.Second
)

// session keeps a daemon's leases, configuration and view, like controlclient.Session in the real
// daemons.
type session struct {
	world             *World
	process           *process
	role              wire.Role
	incarnation       uint64
	leaders           map[int]string
	config            *configuration.Store
	lease             membership.Lease
	configLease       membership.Lease
	viewVersion       uint64
	view              map[string]wire.DaemonView
	viewChanges       int
	assignments       []wire.Assignment
	assignmentVersion uint64
	// draining is set when a dispatcher begins a planned stop. leaving is set when a daemon ends its
	// planned stop.
	draining         bool
	leaving          bool
	fillHeartbeat    func(*wire.HeartbeatRequest)
	onUpdate         func()
	heartbeatPending bool
}

// newSession returns the session of a daemon that starts, and begins its heartbeats. previous is the
// session before a restart, or nil; only MutationStaleConfiguration uses it.
func (w *World) newSession(p *process, role wire.Role, previous *session) *session {
	w.incarnations++
	s := &session{
		world:       w,
		process:     p,
		role:        role,
		incarnation: w.incarnations,
		leaders:     map[int]string{},
		config:      configuration.NewStore(),
		view:        map[string]wire.DaemonView{},
	}
	if previous != nil && w.mutation == MutationStaleConfiguration {
		s.config = previous.config
		s.configLease.Renew(w.clock.now, time.Hour)
		s.lease.Renew(w.clock.now, time.Hour)
		s.view = previous.view
	}
	w.timer(p, time.Millisecond, s.sendHeartbeat)
	w.every(p, heartbeatInterval, s.sendHeartbeat)
	return s
}

// serves reports whether the daemon holds valid leases and is not draining, so that it may serve
// requests with its configuration.
func (s *session) serves() bool {
	now := s.world.clock.now
	if s.world.mutation == MutationNoConfigurationLease {
		return s.config.Current().Revision > 0
	}
	return s.lease.Valid(now) && s.configLease.Valid(now) && !s.draining
}

// sendHeartbeat sends a heartbeat unless one is under way.
func (s *session) sendHeartbeat() {
	if s.heartbeatPending {
		return
	}
	s.heartbeatPending = true
	request := &wire.HeartbeatRequest{
		Daemon:            s.process.name,
		Incarnation:       s.incarnation,
		Role:              s.role,
		Zone:              zoneName(s.process.zone),
		Address:           s.process.name,
		Draining:          s.draining,
		Leaving:           s.leaving,
		ConfigRevision:    s.config.Current().Revision,
		ViewVersion:       s.viewVersion,
		AssignmentVersion: s.assignmentVersion,
	}
	if s.fillHeartbeat != nil {
		s.fillHeartbeat(request)
	}
	sentAt := s.world.clock.now
	callControl(s.world, s.process, s.leaders, controlclient.MetaGroup, heartbeatTimeout, func(c *controlProcess, answer reply[*wire.HeartbeatResponse]) {
		c.heartbeat(request, answer)
	}, func(response *wire.HeartbeatResponse, err error) {
		s.heartbeatPending = false
		if err == nil {
			s.handleResponse(sentAt, response)
		}
	})
}

// handleResponse applies the answer to the heartbeat that was sent at sentAt. The leases in the
// answer run from sentAt.
func (s *session) handleResponse(sentAt time.Time, response *wire.HeartbeatResponse) {
	before := s.config.Current().Revision
	if _, err := s.config.Apply(response.Config); err != nil {
		s.world.ledger.violate("configuration", "%s could not apply revision %d: %v", s.process.name, response.ConfigRevision, err)
		return
	}
	current := s.config.Current().Revision
	s.world.ledger.revisionInForce(s.process.name, s.incarnation, before, current)
	s.lease.Renew(sentAt, time.Duration(response.LeaseMillis)*time.Millisecond)
	if current >= response.ConfigRevision {
		s.configLease.Renew(sentAt, time.Duration(response.ConfigLeaseMillis)*time.Millisecond)
	}
	s.applyView(response.View)
	if response.AssignmentVersion != s.assignmentVersion {
		s.assignmentVersion = response.AssignmentVersion
		s.assignments = response.Assignments
	}
	if s.onUpdate != nil {
		s.onUpdate()
	}
}

func (s *session) applyView(delta *wire.ViewDelta) {
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
