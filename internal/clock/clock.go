// Package clock tells the time by which leases, ages and terms of silence go. The clock
// behind time.Now's differences stands still while the machine is suspended; by it a lease
// is in force, and news are fresh, that others have counted out long ago. This one goes on,
// and no step of the time of day moves it.
//
// All times are since the machine's start, suspensions included, as a time.Time. They may
// be compared only with others from here: they are not the time of day, and not what
// deadlines of connections and contexts count by.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Exact returns the present time by a system call. Leases count by it.
func Exact() time.Time {
	if !counts() {
		return time.Now()
	}
	var now unix.Timespec
	// It has been read before, so it can be read again.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &now)
	return time.Unix(now.Unix())
}

// Now returns the present time, as a rule without a system call: each request at an edge
// takes many readings. It is some milliseconds off at most. A suspension is seen at the
// first reading after it, because the time of day has moved on; if that was stepped back by
// just as much, within refreshTime.
func Now() time.Time {
	if !counts() {
		return time.Now()
	}
	return shared.now()
}

// Since returns the time that has passed since an earlier Now.
func Since(earlier time.Time) time.Duration { return Now().Sub(earlier) }

// counts reports whether the machine has a clock that counts suspensions; where it has
// none, it is taken for one that is not suspended.
var counts = sync.OnceValue(func() bool {
	var now unix.Timespec
	return unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) == nil
})

const (
	// refreshTime is the longest time between two readings of the exact clock.
	refreshTime = 5 * time.Millisecond
	// sameTime is by how much the time of day may move against the steady clock between
	// two readings without a new one of the exact clock.
	sameTime = time.Millisecond
)

// shared is the clock of the process.
var shared = &offsetClock{read: readBoth, exact: Exact}

// began is when the process began.
var began = time.Now()

// readBoth returns the time of day and the steady time at one moment.
func readBoth() (day, steady time.Duration) {
	now := time.Now()
	return time.Duration(now.UnixNano()), now.Sub(began)
}

// offsetClock adds to the steady clock what was suspended of it.
type offsetClock struct {
	read  func() (day, steady time.Duration)
	exact func() time.Time

	mutex sync.Mutex
	// known is the exact time at the last reading of it, day and steady are those of that
	// moment.
	known       time.Time
	day, steady time.Duration
}

func (c *offsetClock) now() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	day, steady := c.read()
	passed := steady - c.steady
	moved := day - c.day - passed
	if c.known.IsZero() || passed > refreshTime || max(moved, -moved) > sameTime {
		c.known, c.day, c.steady = c.exact(), day, steady
		return c.known
	}
	return c.known.Add(passed)
}
