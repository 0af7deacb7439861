package batchplan

import "time"

// RouteGrace is how long a route must be missing before its items are abandoned.
const RouteGrace = 2 * time.Second

// Knowledge is a store's knowledge of the configuration. What ends an item for good may rest only on
// knowledge that covers the item's job.
type Knowledge struct {
	// Version is the version of the configuration.
	Version uint64
	// ConfirmedAt is a time at which the configuration was still the newest.
	ConfirmedAt time.Time
}

// Covers reports whether the configuration is at least as new as the one under which a job was
// accepted. accepted is the version of that configuration, zero if unknown. The job was accepted
// before firstSeen, so any configuration that was the newest after firstSeen will do as well.
func (k Knowledge) Covers(accepted uint64, firstSeen time.Time) bool {
	return k.Version >= accepted && k.ConfirmedAt.After(firstSeen)
}

// RouteAbsence tracks for how long the route of a job has been missing. The zero value is ready for
// use.
type RouteAbsence struct{ since time.Time }

// RecordPresent records that the route is there.
func (a *RouteAbsence) RecordPresent() { a.since = time.Time{} }

// RecordMissing records that the configuration lacks the route and reports whether the route has
// ended. covered says whether the knowledge covers the job. Time counts only up to ConfirmedAt:
// beyond it, the route may have come back.
func (a *RouteAbsence) RecordMissing(k Knowledge, covered bool) bool {
	switch {
	case !covered:
		a.since = time.Time{}
	case a.since.IsZero():
		a.since = k.ConfirmedAt
	}
	return covered && k.ConfirmedAt.Sub(a.since) > RouteGrace
}
