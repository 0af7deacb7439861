package loadshare

import "time"

// replyTime is for how long a report counts as one whose answer may still come: several times
// what that takes within a zone.
const replyTime = 12 * time.Millisecond

// replies finds out which report an answer belongs to, since answers don't say so: a hub answers
// in the order in which it is asked. While a lost report or answer is not forgotten, answers count
// for earlier reports than theirs. It is pure; times are those since its process began.
type replies struct {
	// keep is for how long a report waits for its answer.
	keep time.Duration
	// sent and answered are the numbers of the last report that was sent and of the last one
	// that was answered.
	sent     uint64
	answered uint64
	// waiting holds when the reports were sent that wait for answers, the earliest first. The
	// last one has the number sent.
	waiting []time.Duration
}

// add takes in that a report was sent, and returns its number.
func (r *replies) add(now time.Duration) uint64 {
	r.forget(now)
	r.sent++
	r.waiting = append(r.waiting, now)
	return r.sent
}

// reply takes in that an answer came.
func (r *replies) reply(now time.Duration) {
	r.forget(now)
	if len(r.waiting) == 0 {
		// It is so late that its report does not count any more.
		return
	}
	r.waiting = r.waiting[1:]
	r.answered = r.sent - uint64(len(r.waiting))
}

// forget passes over reports whose answers come no more.
func (r *replies) forget(now time.Duration) {
	for len(r.waiting) > 0 && now-r.waiting[0] > r.keep {
		r.waiting = r.waiting[1:]
	}
}
