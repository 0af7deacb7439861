package quarantine

import (
	"slices"
	"time"
)

// maxRecentExits bounds the memory that a burst of exits takes.
const maxRecentExits = 256

// recentExits are the exits of workers that a process has seen lately, oldest first.
type recentExits struct{ exits []recentExit }

type recentExit struct {
	worker uint32
	at     time.Time
}

// record records an exit.
func (e *recentExits) record(now time.Time, worker uint32) {
	if len(e.exits) >= maxRecentExits {
		e.exits = slices.Delete(e.exits, 0, 1)
	}
	e.exits = append(e.exits, recentExit{worker, now})
}

// lastAt returns when the last exit was seen, the zero time for none.
func (e *recentExits) lastAt() time.Time {
	if len(e.exits) == 0 {
		return time.Time{}
	}
	return e.exits[len(e.exits)-1].at
}

// othersSince reports whether another worker than the given one exited since the time.
func (e *recentExits) othersSince(since time.Time, worker uint32) bool {
	return slices.ContainsFunc(e.exits, func(exit recentExit) bool {
		return exit.worker != worker && !exit.at.Before(since)
	})
}
