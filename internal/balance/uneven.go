package balance

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/capacity"
)

const (
	// unevenFrom is how many times as long as in the middle an event takes at a worker that
	// is clearly slower, unevenParts the part of a pool, one in so many, that must be so for
	// its workers to count as uneven: one slow worker is found by slowFrom.
	unevenFrom  = 1.3
	unevenParts = 8
	// leastPaced is how many workers must have been seen for that.
	leastPaced = 4
	// unevenAfter is for how long they must be so, and evenAfter for how long not, before the
	// choice changes.
	unevenAfter = time.Second
	evenAfter   = 10 * time.Second
	// lastingTime is over how long a worker's slowness is a mean that counts for that: full
	// workers, and those that read a long prompt, are slower for some seconds.
	lastingTime = 7 * time.Second
	// ratioHalf is the age at which a worker's slowness counts half where nothing more is
	// seen of it: it is tried again.
	ratioHalf = 5 * time.Second
)

// speeds is what is learnt of the speeds of a pool's workers.
type speeds struct {
	// uneven is set where its workers differ clearly, changing since when that is otherwise.
	uneven   bool
	changing time.Time
	// middle is the time between events in the middle.
	middle time.Duration
}

// take takes in the times between events of the pool's workers that something is known of,
// and that in the middle.
func (s *speeds) take(now time.Time, workers []*worker, middle uint32) {
	if middle == 0 {
		return
	}
	s.middle = time.Duration(middle) * time.Microsecond
	seen, slower := 0, 0
	for _, candidate := range workers {
		step := candidate.others.Step
		if step == 0 {
			continue
		}
		seen++
		candidate.paced(now, float64(step)/float64(middle))
		if candidate.lasting >= unevenFrom {
			slower++
		}
	}
	if seen >= leastPaced {
		s.judge(now, slower*unevenParts >= seen)
	}
}

// paced takes in how many times as long as in the middle an event takes at the worker.
func (w *worker) paced(now time.Time, ratio float64) {
	if w.ratioAt.IsZero() {
		w.lasting, w.ratioAt = 1, now
	}
	passed := min(now.Sub(w.ratioAt), lastingTime)
	w.lasting += (ratio - w.lasting) * float64(passed) / float64(lastingTime)
	w.ratio, w.ratioAt = ratio, now
}

// judge takes in whether the workers differ now.
func (s *speeds) judge(now time.Time, differ bool) {
	if differ == s.uneven {
		s.changing = time.Time{}
		return
	}
	if s.changing.IsZero() {
		s.changing = now
	}
	after := unevenAfter
	if s.uneven {
		after = evenAfter
	}
	if now.Sub(s.changing) >= after {
		s.uneven, s.changing = differ, time.Time{}
	}
}

// slownessNow returns how many times as long as in the middle of its pool an event takes at
// the worker, by what was seen. What workers tell of their pace says less of a request than these
// times do, once it is as old as it comes (docs/design/0020).
func (w *worker) slownessNow(now time.Time) float64 {
	if w.ratio == 0 {
		return 1
	}
	return capacity.Faded(w.ratio, now.Sub(w.ratioAt), ratioHalf)
}

// byTimes reports whether workers of the pool are compared by predicted times: where they
// tell their pace, or differ clearly.
func (t *Table) byTimes(pool string) bool {
	switch known := t.pools[pool]; {
	case t.scoring == byCost || known == nil:
		return false
	case t.scoring == byCostUnlessUneven:
		return t.telling[pool] || known.speeds.uneven
	}
	return true
}
