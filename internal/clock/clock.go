// Package clock provides the time for leases, the ages of reports and timeouts of unresponsive
// processes. The monotonic clock of time.Now stops while the machine is suspended. After a
// suspension, a lease that has expired for other machines would still be valid by that clock, and
// an old report would seem recent. The clock of this package includes suspensions, and steps of the
// wall clock don't affect it.
//
// Times are counted from the boot of the machine, with suspensions, and returned as time.Time. They
// may be compared only with other times of this package: they are not the time of day, and can't be
// used as deadlines of connections or contexts.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Exact returns the current time, read by a system call. Leases are measured with it.
func Exact() time.Time {
	if !countsSuspensions() {
		return time.Now()
	}
	var now unix.Timespec
	// countsSuspensions has read this clock without an error, so that this call can't fail.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &now)
	return time.Unix(now.Unix())
}

// Now returns the current time, usually without a system call, because an edge reads the clock many
// times for each request. The error is at most a few milliseconds. The first reading after a
// suspension includes it, because the wall clock has advanced against the monotonic clock. If the
// wall clock was stepped back by the same amount, the suspension is included within
// refreshInterval.
func Now() time.Time {
	if !countsSuspensions() {
		return time.Now()
	}
	return processClock.now()
}

// Since returns the time that has passed since an earlier result of Now.
func Since(earlier time.Time) time.Duration { return Now().Sub(earlier) }

// countsSuspensions reports whether the system has a clock that includes suspensions. Without one,
// the machine is assumed never to be suspended.
var countsSuspensions = sync.OnceValue(func() bool {
	var now unix.Timespec
	return unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) == nil
})

const (
	// refreshInterval is the time after a reading of the exact clock at which it is read again.
	refreshInterval = 5 * time.Millisecond
	// maxDrift is the difference between the advances of the wall clock and of the monotonic clock
	// above which the exact clock is read again.
	maxDrift = time.Millisecond
)

// processClock is the clock of the process.
var processClock = &offsetClock{read: readBoth, exact: Exact}

// processStart is the start of the process, from which the monotonic time is counted.
var processStart = time.Now()

// readBoth returns the wall time and the monotonic time of the same moment.
func readBoth() (wall, monotonic time.Duration) {
	now := time.Now()
	return time.Duration(now.UnixNano()), now.Sub(processStart)
}

// offsetClock returns the exact time, advanced by the monotonic clock since it was last read.
type offsetClock struct {
	read  func() (wall, monotonic time.Duration)
	exact func() time.Time

	mutex sync.Mutex
	// exactTime is the exact time that was read last, wall and monotonic are the times of the other
	// two clocks at that moment.
	exactTime       time.Time
	wall, monotonic time.Duration
}

func (c *offsetClock) now() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	wall, monotonic := c.read()
	passed := monotonic - c.monotonic
	drift := wall - c.wall - passed
	if c.exactTime.IsZero() || passed > refreshInterval || max(drift, -drift) > maxDrift {
		c.exactTime, c.wall, c.monotonic = c.exact(), wall, monotonic
		return c.exactTime
	}
	return c.exactTime.Add(passed)
}
