// Package membership keeps the soft state of the control leader: which daemons
// hold a lease, which workers there are, and who should own each worker. It is
// pure; assignments take effect only once the meta group has committed them.
//
// A daemon counts its lease from the moment it sent the heartbeat, control from
// the moment it received it, so that a daemon's lease always ends first.
package membership

import (
	"sort"
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// versionTermShift leaves the low bits of a version to changes within a term.
const versionTermShift = 32

// LeaseTable holds the daemons' leases.
type LeaseTable struct {
	lease   time.Duration
	ready   time.Time
	version uint64
	daemons map[string]*daemon
	removed map[string]uint64
}

// daemon is the last report of a daemon with the lease it renewed.
type daemon struct {
	report  wire.HeartbeatRequest
	expires time.Time
	// changed is the version at which other daemons' view of it changed.
	changed uint64
}

// NewLeaseTable returns the table of a leader whose term began at now. For one whole
// lease it reports no daemon as gone, because leases that the former leader
// granted may still run.
func NewLeaseTable(term uint64, lease time.Duration, now time.Time) *LeaseTable {
	return &LeaseTable{
		lease:   lease,
		ready:   now.Add(lease),
		version: term<<versionTermShift + 1,
		daemons: map[string]*daemon{},
		removed: map[string]uint64{},
	}
}

// Ready reports whether every lease of a former leader has run out.
func (t *LeaseTable) Ready(now time.Time) bool { return !now.Before(t.ready) }

// LeaseDuration returns the length of a lease.
func (t *LeaseTable) LeaseDuration() time.Duration { return t.lease }

// Heartbeat renews a daemon's lease. A heartbeat of an older incarnation than
// the one known is refused: two processes must not share a name.
func (t *LeaseTable) Heartbeat(now time.Time, report *wire.HeartbeatRequest) error {
	known := t.daemons[report.Daemon]
	if known != nil && report.Incarnation < known.report.Incarnation {
		return failure.New(failure.Conflict, "give each process a name of its own", "a newer process uses the name %q", report.Daemon)
	}
	if report.Leaving {
		t.remove(report.Daemon)
		return nil
	}
	if known == nil {
		known = &daemon{}
		t.daemons[report.Daemon] = known
		delete(t.removed, report.Daemon)
	}
	if known.changed == 0 || viewChanged(&known.report, report) {
		t.version++
		known.changed = t.version
	}
	known.report = *report
	known.expires = now.Add(t.lease)
	return nil
}

func viewChanged(before, after *wire.HeartbeatRequest) bool {
	if before.Incarnation != after.Incarnation || before.Draining != after.Draining {
		return true
	}
	if before.Address != after.Address || before.Utilization != after.Utilization || len(before.Models) != len(after.Models) {
		return true
	}
	for i, model := range before.Models {
		if after.Models[i] != model {
			return true
		}
	}
	return false
}

func (t *LeaseTable) remove(name string) {
	if t.daemons[name] == nil {
		return
	}
	delete(t.daemons, name)
	t.version++
	t.removed[name] = t.version
}

// Expire removes the daemons whose lease has run out and returns their names.
func (t *LeaseTable) Expire(now time.Time) []string {
	if !t.Ready(now) {
		return nil
	}
	var expired []string
	for name, known := range t.daemons {
		if now.After(known.expires) {
			expired = append(expired, name)
		}
	}
	sort.Strings(expired)
	for _, name := range expired {
		t.remove(name)
	}
	return expired
}

// View returns what has changed among the dispatchers since the version known,
// or nil if nothing has.
func (t *LeaseTable) View(now time.Time, known uint64) *wire.ViewDelta {
	if known == t.version {
		return nil
	}
	// Versions of another term can't be compared with this term's.
	full := known>>versionTermShift != t.version>>versionTermShift
	if full && known != 0 && !t.Ready(now) {
		// Not every dispatcher has reported to the new leader yet; what the
		// daemon knows from the last one is the better view.
		return nil
	}
	delta := &wire.ViewDelta{Version: t.version, Full: full}
	for _, name := range sortedNames(t.daemons) {
		candidate := t.daemons[name]
		if candidate.report.Role != wire.RoleDispatcher || (!full && candidate.changed <= known) {
			continue
		}
		delta.Dispatchers = append(delta.Dispatchers, wire.DaemonView{
			Name:        name,
			Zone:        candidate.report.Zone,
			Address:     candidate.report.Address,
			Draining:    candidate.report.Draining,
			Utilization: candidate.report.Utilization,
			Models:      candidate.report.Models,
		})
	}
	if full {
		return delta
	}
	for _, name := range sortedNames(t.removed) {
		if t.removed[name] > known {
			delta.Removed = append(delta.Removed, name)
		}
	}
	return delta
}

// Dispatchers returns the dispatchers that may own workers.
func (t *LeaseTable) Dispatchers() []Owner {
	var owners []Owner
	for _, name := range sortedNames(t.daemons) {
		if report := &t.daemons[name].report; report.Role == wire.RoleDispatcher && !report.Draining {
			owners = append(owners, Owner{Name: name, Zone: report.Zone})
		}
	}
	return owners
}

// Status returns the operators' rows, by name.
func (t *LeaseTable) Status(now time.Time) []wire.DaemonStatus {
	var rows []wire.DaemonStatus
	for _, name := range sortedNames(t.daemons) {
		known := t.daemons[name]
		rows = append(rows, wire.DaemonStatus{
			Name:           name,
			Role:           known.report.Role.String(),
			Zone:           known.report.Zone,
			Address:        known.report.Address,
			ConfigRevision: known.report.ConfigRevision,
			Draining:       known.report.Draining,
			Utilization:    known.report.Utilization,
			Workers:        len(known.report.Workers),
			LeaseLeft:      known.expires.Sub(now).Milliseconds(),
		})
	}
	return rows
}

func sortedNames[Value any](from map[string]Value) []string {
	names := make([]string, 0, len(from))
	for name := range from {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Count returns the number of living daemons of the role; zero while a new
// leader has not heard of all of them.
func (t *LeaseTable) Count(now time.Time, role wire.Role) int {
	if !t.Ready(now) {
		return 0
	}
	count := 0
	for _, known := range t.daemons {
		if known.report.Role == role {
			count++
		}
	}
	return count
}
