package loadshare

import (
	"context"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// TestRepliesMatchReports checks that an answer is matched to the oldest pending report, until that
// one times out.
func TestRepliesMatchReports(t *testing.T) {
	r := replyTracker{timeout: replyTimeout}
	const ms = time.Millisecond
	step := func(now time.Duration, sends bool, sent, answered uint64) {
		t.Helper()
		if sends {
			r.recordSent(now)
		} else {
			r.recordReply(now)
		}
		if r.sent != sent || r.answered != answered {
			t.Errorf("at %s: %+v, want %d sent and %d answered", now, r, sent, answered)
		}
	}
	step(0, false, 0, 0)
	step(1*ms, true, 1, 0)
	step(2*ms, true, 2, 0)
	step(3*ms, false, 2, 1)
	step(4*ms, true, 3, 1)
	step(5*ms, false, 3, 2)
	step(6*ms, false, 3, 3)
	step(7*ms, false, 3, 3)
	// The fourth report is lost: the answer to the fifth is matched to the fourth.
	step(8*ms, true, 4, 3)
	step(9*ms, true, 5, 3)
	step(10*ms, false, 5, 4)
	step(10*ms+2*replyTimeout, true, 6, 4)
	step(11*ms+2*replyTimeout, false, 6, 6)
}

// TestEarlierAnswersDoNotAnswerClaims sends a claim while an earlier report is still unanswered: the
// answer to the earlier report must not be taken for the answer to the claim.
func TestEarlierAnswersDoNotAnswerClaims(t *testing.T) {
	const timeout = 10 * time.Second
	h := &claimHub{workerQuery: make(chan struct{})}
	h.sendStandings.Store(true)
	x := exchangeWith(t, h, time.Hour)
	x.mutex.Lock()
	x.replies = replyTracker{timeout: time.Hour}
	x.mutex.Unlock()
	go x.Query(context.Background(), timeout, []uint32{1}, false)
	<-h.workerQuery
	go func() {
		// The hub answers the earlier query only after the claim was sent.
		for claimSent := false; !claimSent; time.Sleep(100 * time.Microsecond) {
			x.mutex.Lock()
			claimSent = x.replies.sent == 2
			x.mutex.Unlock()
		}
		h.workerQuery <- struct{}{}
	}()
	standing, answered := x.QueryClaim(context.Background(), timeout, nil, &wire.RoomClaim{Ticket: 8}, false)
	if !answered || standing == nil || standing.Ticket != 8 {
		t.Errorf("standing %+v, answered %t", standing, answered)
	}
}
