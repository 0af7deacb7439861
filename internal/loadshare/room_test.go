package loadshare

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// roomHub is a hub on a socket of its own that answers claims as it is told to.
type roomHub struct {
	// asked counts the claims that came, leave how many of them are left unanswered.
	asked, leave atomic.Int32
	// over is set where standings are told, as no older hub does.
	over atomic.Bool
	// hold is sent to when a report without a claim has come that asks for workers, and is
	// received from before it is answered; nil for no wait.
	hold chan struct{}
}

func (h *roomHub) answer(report *wire.LoadReport) *wire.LoadReport {
	answer := &wire.LoadReport{}
	if len(report.Asked) > 0 && len(report.Claims) == 0 {
		h.hold <- struct{}{}
		<-h.hold
	}
	for _, claim := range report.Claims {
		h.asked.Add(1)
		if h.leave.Add(-1) >= 0 {
			return nil
		}
		if h.over.Load() {
			answer.Standings = append(answer.Standings, wire.RoomStanding{Ticket: claim.Ticket, Share: 7}, wire.RoomStanding{Ticket: claim.Ticket + 1})
		}
	}
	for _, question := range report.Tokens {
		answer.Verdicts = append(answer.Verdicts, wire.TokenVerdict{Ticket: question.Ticket, Granted: true})
	}
	return answer
}

// exchangeWith returns a running exchange that has heard the hub, and reports after each
// pause.
func exchangeWith(t *testing.T, h *roomHub, pause time.Duration) *Exchange {
	t.Helper()
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := socket.LocalAddr().String()
	_ = socket.Close()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = Serve(ctx, address, h.answer) }()
	x := NewExchange(&Reporter{
		Hubs:     func() []string { return []string{address} },
		Report:   func() *wire.LoadReport { return &wire.LoadReport{Source: 1} },
		OnAnswer: func(time.Time, *wire.LoadReport) {},
		Interval: func() time.Duration { return pause },
	})
	go func() { _ = x.Run(ctx) }()
	for heard := false; !heard; time.Sleep(time.Millisecond) {
		x.mutex.Lock()
		heard = x.chooser.heard > 0
		x.mutex.Unlock()
	}
	return x
}

// TestRoomIsClaimed puts claims to a hub that tells standings, to one that doesn't know of
// them, and to one that leaves the first of two unanswered, or all.
func TestRoomIsClaimed(t *testing.T) {
	const patience = 10 * time.Second
	h := &roomHub{}
	x := exchangeWith(t, h, Interval)
	ctx := context.Background()
	claim := &wire.RoomClaim{Ticket: 40, Tenant: 3}
	if standing, answered := x.QueryClaim(ctx, patience, nil, claim, false); standing != nil || !answered {
		t.Errorf("an older hub: %+v, %t", standing, answered)
	}
	h.over.Store(true)
	// A report's answer that takes longer than replyTime may be taken for the claim's.
	told := 0
	for range 20 {
		if standing, answered := x.QueryClaim(ctx, patience, nil, claim, false); answered && standing != nil && standing.Share == 7 && standing.Ticket == 40 {
			told++
		}
	}
	if told < 18 {
		t.Errorf("%d of 20 claims were told their standing", told)
	}
	verdict, standing, answered := x.AcquireToken(ctx, wire.TokenQuestion{Ticket: 40}, claim, false)
	if !answered || !verdict.Granted || standing == nil || standing.Share != 7 {
		t.Errorf("with a token: %+v, %+v, %t", verdict, standing, answered)
	}
	if _, standing, _ := x.AcquireToken(ctx, wire.TokenQuestion{Ticket: 40}, nil, false); standing != nil {
		t.Errorf("without a claim: %+v", standing)
	}
	x.mutex.Lock()
	if len(x.claims)+len(x.questions) > 0 {
		t.Errorf("%d claims and %d questions are kept", len(x.claims), len(x.questions))
	}
	x.mutex.Unlock()
}

// TestLostClaimIsSentAgain leaves the first of two claims unanswered, and all.
func TestLostClaimIsSentAgain(t *testing.T) {
	const patience = 300 * time.Millisecond
	h := &roomHub{}
	h.over.Store(true)
	x := exchangeWith(t, h, time.Hour)
	h.leave.Store(1)
	standing, answered := x.QueryClaim(context.Background(), patience, nil, &wire.RoomClaim{Ticket: 1}, false)
	if asked := h.asked.Load(); !answered || standing == nil || asked != 2 {
		t.Errorf("%+v, %t, asked %d times", standing, answered, asked)
	}
	h.leave.Store(1000)
	if _, answered := x.QueryClaim(context.Background(), patience, nil, &wire.RoomClaim{Ticket: 2}, false); answered {
		t.Error("answered by a silent hub")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, answered := x.QueryClaim(ctx, time.Hour, nil, &wire.RoomClaim{Ticket: 3}, false); answered {
		t.Error("answered though nobody waits")
	}
}
