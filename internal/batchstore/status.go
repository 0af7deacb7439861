package batchstore

import (
	"context"
	"time"

	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const statusInterval = 100 * time.Millisecond

// statusLoop updates the status that this process reports to the coordinator.
func (s *Store) statusLoop(ctx context.Context) {
	roles := make([]consensus.Role, len(s.groups))
	for ctx.Err() == nil {
		if statuses, err := s.host.Statuses(ctx); err == nil {
			s.logRoleChanges(roles, statuses)
			s.setStatus(statuses)
		}
		select {
		case <-ctx.Done():
		case <-time.After(statusInterval):
		}
	}
}

// logRoleChanges logs the roles that differ from roles, and updates roles.
func (s *Store) logRoleChanges(roles []consensus.Role, statuses []consensus.Status) {
	for number := range statuses {
		status := &statuses[number]
		if status.Role == roles[number] {
			continue
		}
		roles[number] = status.Role
		logging.Info(s.logger, "role", "group", number, "role", status.Role, "term", status.Term, "applied", status.AppliedIndex, "voters", len(status.Membership.Voters), "learners", len(status.Membership.Learners))
	}
}

func (s *Store) setStatus(statuses []consensus.Status) {
	formed := false
	var led []wire.GroupReport
	for number := range statuses {
		status := &statuses[number]
		var members []string
		for _, member := range consensus.Members(&status.Membership) {
			members = append(members, member.Name)
		}
		formed = formed || len(members) > 0
		if status.Role == consensus.Leader && status.MembershipStable {
			led = append(led, wire.GroupReport{Group: number, Term: status.Term, Members: members})
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.status.Led, s.status.Formed = led, formed
}
