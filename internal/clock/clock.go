// Package clock tells the time by which leases, ages and terms of silence go. The clock
// behind time.Now's differences stands still while the machine is suspended; by it a lease
// is in force, and news are fresh, that others have counted out long ago. This one goes on,
// and no step of the time of day moves it.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's start, suspensions included, as a time. It may
// be compared only with others from here: it is not the time of day, and not what
// deadlines of connections and contexts count by. It costs a system call, 0.3 us.
func Now() time.Time {
	if !counts() {
		return time.Now()
	}
	var now unix.Timespec
	// It has been read before, so it can be read again.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &now)
	return time.Unix(now.Unix())
}

// Since returns the time that has passed since an earlier Now.
func Since(earlier time.Time) time.Duration { return Now().Sub(earlier) }

// counts reports whether the machine has a clock that counts suspensions; where it has
// none, it is taken for one that is not suspended.
var counts = sync.OnceValue(func() bool {
	var now unix.Timespec
	return unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) == nil
})
