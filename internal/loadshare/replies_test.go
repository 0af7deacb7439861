package loadshare

import (
	"context"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// TestRepliesAreCounted sends reports and gets answers: an answer counts for the earliest report
// that waits, until that is forgotten.
func TestRepliesAreCounted(t *testing.T) {
	r := replies{keep: replyTime}
	const ms = time.Millisecond
	step := func(now time.Duration, sends bool, sent, answered uint64) {
		t.Helper()
		if sends {
			r.add(now)
		} else {
			r.reply(now)
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
	// The fourth is lost: the answer to the fifth counts for it at first.
	step(8*ms, true, 4, 3)
	step(9*ms, true, 5, 3)
	step(10*ms, false, 5, 4)
	step(10*ms+2*replyTime, true, 6, 4)
	step(11*ms+2*replyTime, false, 6, 6)
}

// TestEarlyAnswersAreNotTheClaims puts a claim while a report that was sent before it is still
// to be answered: that answer says nothing of the claim.
func TestEarlyAnswersAreNotTheClaims(t *testing.T) {
	const patience = 10 * time.Second
	h := &roomHub{hold: make(chan struct{})}
	h.over.Store(true)
	x := exchangeWith(t, h, time.Hour)
	x.mutex.Lock()
	x.replies = replies{keep: time.Hour}
	x.mutex.Unlock()
	go x.Query(context.Background(), patience, []uint32{1}, false)
	<-h.hold
	go func() {
		// The hub has the question, and answers once the claim is on its way.
		for waits := false; !waits; time.Sleep(100 * time.Microsecond) {
			x.mutex.Lock()
			waits = x.replies.sent == 2
			x.mutex.Unlock()
		}
		h.hold <- struct{}{}
	}()
	standing, answered := x.QueryClaim(context.Background(), patience, nil, &wire.RoomClaim{Ticket: 8}, false)
	if !answered || standing == nil || standing.Ticket != 8 {
		t.Errorf("%+v, answered %t", standing, answered)
	}
}
