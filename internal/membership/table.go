// Package membership keeps the state of the control leader that is not replicated: which daemons
// hold a lease, which workers exist, and which dispatcher should own each worker. It does no
// I/O and reads no clock; assignments take effect only after the meta group has committed
// them.
//
// A daemon counts its lease from the time at which it sent the heartbeat. Control counts the lease
// from the time at which it received the heartbeat, so that the lease expires at the daemon first.
package membership

import (
	"sort"
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// versionTermShift is the number of low bits of a version that count the changes within a term;
// the bits above hold the term.
const versionTermShift = 32

// LeaseTable holds the daemons' leases.
type LeaseTable struct {
	leaseDuration time.Duration
	readyAt       time.Time
	version       uint64
	daemons       map[string]*daemon
	removed       map[string]uint64
}

// daemon is the last report of a daemon and the expiry of the lease that the report renewed.
type daemon struct {
	report  wire.HeartbeatRequest
	expires time.Time
	// changed is the version at which the entry of this daemon in View last changed.
	changed uint64
}

// NewLeaseTable returns the table of a leader whose term began at now. It expires no daemon for
// the duration of one lease, because leases that the former leader granted may still be
// valid.
func NewLeaseTable(term uint64, lease time.Duration, now time.Time) *LeaseTable {
	return &LeaseTable{
		leaseDuration: lease,
		readyAt:       now.Add(lease),
		version:       term<<versionTermShift + 1,
		daemons:       map[string]*daemon{},
		removed:       map[string]uint64{},
	}
}

// Ready reports whether every lease that a former leader granted has expired.
func (t *LeaseTable) Ready(now time.Time) bool { return !now.Before(t.readyAt) }

// LeaseDuration returns the duration of a lease.
func (t *LeaseTable) LeaseDuration() time.Duration { return t.leaseDuration }

// Heartbeat renews a daemon's lease, or removes the daemon if it is leaving. It rejects a heartbeat
// of an older incarnation than the known one: two processes must not share a name.
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
	known.expires = now.Add(t.leaseDuration)
	return nil
}

// viewChanged reports whether two reports of a daemon differ in what other daemons use.
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

// Expire removes the daemons whose lease has expired and returns their names, sorted. It removes
// none before the table is ready.
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

// View returns the changes of dispatchers since the known version, or nil if there are none. The
// result is full if the known version is of another term.
func (t *LeaseTable) View(now time.Time, known uint64) *wire.ViewDelta {
	if known == t.version {
		return nil
	}
	// Versions of different terms can't be compared.
	full := known>>versionTermShift != t.version>>versionTermShift
	if full && known != 0 && !t.Ready(now) {
		// Not every dispatcher has reported to this leader yet; the view that the daemon
		// got from the former leader is more complete.
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

// Dispatchers returns the dispatchers that may own workers: those that are not draining.
func (t *LeaseTable) Dispatchers() []Owner {
	var owners []Owner
	for _, name := range sortedNames(t.daemons) {
		if report := &t.daemons[name].report; report.Role == wire.RoleDispatcher && !report.Draining {
			owners = append(owners, Owner{Name: name, Zone: report.Zone})
		}
	}
	return owners
}

// Status returns the daemons' status for operators, sorted by name.
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

// sortedNames returns the keys of the map in order.
func sortedNames[Value any](from map[string]Value) []string {
	names := make([]string, 0, len(from))
	for name := range from {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Count returns the number of live daemons of the role, or zero before the table is ready,
// because not all daemons may have reported to a new leader by then.
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
