// Package standstill notices that this process stood still: stopped by a signal, starved of
// its processor, or on a machine that was suspended. What it knew is as old then as the
// standstill was long, and so may be what it reads first. It is pure: the time, by package
// clock, is the caller's.
package stall

import (
	"sync"
	"time"
)

const (
	// Interval is the time between two looks of a process that has nothing else to do.
	Interval = 50 * time.Millisecond
	// MinDuration is the shortest standstill. A process that shares a processor is kept waiting for
	// some tenths of a second without having stood still.
	MinDuration = 500 * time.Millisecond
)

// Detector keeps when a process stood still last. It is safe for concurrent use.
type Detector struct {
	mutex sync.Mutex
	seen  time.Time
	from  time.Time
	until time.Time
}

// New returns a watch of a process that runs now.
func New(now time.Time) *Detector { return &Detector{seen: now} }

// Assume takes in a standstill as if it had been noticed, for tests of who goes by it.
func (w *Detector) Assume(from, until time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.from, w.until, w.seen = from, until, until
}

// Check takes in that the process runs now. It returns from when until when it stood still
// last, and whether that was noticed by this look. Both are zero where it never did.
func (w *Detector) Check(now time.Time) (from, until time.Time, noticed bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if now.Sub(w.seen) >= MinDuration {
		w.from, w.until, noticed = w.seen, now, true
	}
	if now.After(w.seen) {
		w.seen = now
	}
	return w.from, w.until, noticed
}
