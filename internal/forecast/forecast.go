// Package forecast says how many slots online requests will need in the next moments, by
// what they needed so far. It is pure: times come from the caller.
package forecast

import "time"

// Need is how many slots online requests will need at a moment.
type Need struct {
	Slots float64
	// At is the moment, and Until when the level changes next, zero where that is unknown.
	At    time.Time
	Until time.Time
	// Sure is set where the level follows from a pattern that has held; otherwise it is the
	// present level.
	Sure bool
}
