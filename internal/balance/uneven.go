package balance

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/capacity"
)

const (
	// ratioHalf is the age at which a worker's slowness counts half where nothing more is
	// seen of it: it is tried again.
	ratioHalf = 5 * time.Second
	// tellingTime is for how long a pool counts as one whose workers tell their pace after an
	// answer told one: longer than the time between two answers of a pool in use.
	tellingTime = time.Minute
)

// takeSteps takes in the times between events of the pool's workers that something is known
// of, and that in the middle.
func (p *pool) takeSteps(now time.Time, workers []*worker, middle uint32) {
	if middle == 0 {
		return
	}
	p.middle = time.Duration(middle) * time.Microsecond
	for _, candidate := range workers {
		if step := candidate.others.Step; step > 0 {
			candidate.ratio, candidate.ratioAt = float64(step)/float64(middle), now
		}
	}
}

// slownessNow returns how many times as long as in the middle of its pool an event takes at
// the worker, by what was seen. What workers tell of their pace says less of a request than these
// times do, once it is as old as it comes (docs/design/0020).
func (w *worker) slownessNow(now time.Time) float64 {
	if w.ratio == 0 {
		return 1
	}
	return capacity.DecaySlowness(w.ratio, now.Sub(w.ratioAt), ratioHalf)
}

// byTimes reports whether workers of the pool are compared by predicted times: where they
// tell their pace.
func (t *Table) byTimes(pool string) bool {
	switch {
	case t.scoring == byCost || t.pools[pool] == nil:
		return false
	case t.scoring == byCostUnlessTold:
		return t.tellsPace(pool)
	}
	return true
}

// tellsPace reports whether a worker of the pool told its pace within the last minute. The
// lock of the table is held.
func (t *Table) tellsPace(pool string) bool {
	told, found := t.telling[pool]
	return found && t.newest.Sub(told) < tellingTime
}

// see takes in the time of a call. Answers tell without one.
func (t *Table) see(now time.Time) {
	if now.After(t.newest) {
		t.newest = now
	}
}
