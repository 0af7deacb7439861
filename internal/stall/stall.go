// Package stall detects that this process did not run for a while: it was stopped by a signal, got
// no processor time, or its machine was suspended. After a stall, the state of the process is
// outdated by the length of the stall. The first data that it reads after the stall may be as old.
// The package reads no clock: callers pass times of package clock.
package stall

import (
	"sync"
	"time"
)

const (
	// Interval is the time between two checks in a process that has nothing else to do.
	Interval = 50 * time.Millisecond
	// MinDuration is the shortest gap between checks that counts as a stall. A process that shares
	// a processor may wait some tenths of a second without a stall.
	MinDuration = 500 * time.Millisecond
)

// Detector records the last stall of the process. It is safe for concurrent use.
type Detector struct {
	mutex      sync.Mutex
	lastCheck  time.Time
	stallStart time.Time
	stallEnd   time.Time
}

// New returns a detector for a process that runs at the time now.
func New(now time.Time) *Detector { return &Detector{lastCheck: now} }

// Assume records a stall as if Check had detected it. It is meant for tests of code that depends on
// stalls.
func (d *Detector) Assume(from, until time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stallStart, d.stallEnd, d.lastCheck = from, until, until
}

// Check records that the process runs now. It returns the start and the end of the last stall, both
// zero if there was none, and whether this call detected it.
func (d *Detector) Check(now time.Time) (from, until time.Time, detected bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if now.Sub(d.lastCheck) >= MinDuration {
		d.stallStart, d.stallEnd, detected = d.lastCheck, now, true
	}
	if now.After(d.lastCheck) {
		d.lastCheck = now
	}
	return d.stallStart, d.stallEnd, detected
}
