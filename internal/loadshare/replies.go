package loadshare

import "time"

// replyTimeout is how long the answer to a report may be outstanding: several times the round trip
// within a zone.
const replyTimeout = 12 * time.Millisecond

// replyTracker matches answers to reports. Answers carry no report number, but a hub answers in the
// order of the reports. After a report or its answer is lost, each answer is matched to an earlier
// report than the one it belongs to, until the report without an answer times out. It does no I/O;
// times are relative to the start of the process.
type replyTracker struct {
	// timeout is how long a report waits for its answer.
	timeout time.Duration
	// sent and answered are the numbers of the last report sent and of the last one answered.
	sent     uint64
	answered uint64
	// pending holds the send times of unanswered reports, oldest first. The last of these reports
	// has the number in the field sent.
	pending []time.Duration
}

// recordSent records that a report was sent and returns its number.
func (r *replyTracker) recordSent(now time.Duration) uint64 {
	r.expire(now)
	r.sent++
	r.pending = append(r.pending, now)
	return r.sent
}

// recordReply records that an answer arrived.
func (r *replyTracker) recordReply(now time.Duration) {
	r.expire(now)
	if len(r.pending) == 0 {
		// The answer is so late that its report has timed out.
		return
	}
	r.pending = r.pending[1:]
	r.answered = r.sent - uint64(len(r.pending))
}

// expire drops reports whose answers have timed out.
func (r *replyTracker) expire(now time.Duration) {
	for len(r.pending) > 0 && now-r.pending[0] > r.timeout {
		r.pending = r.pending[1:]
	}
}
