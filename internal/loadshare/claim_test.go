package loadshare

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// claimHub is a hub with its own socket whose answers to claims are set by the test.
type claimHub struct {
	// claimCount counts the claims received; unanswered is how many of the next claims stay
	// unanswered.
	claimCount, unanswered atomic.Int32
	// sendStandings makes the hub send standings, which older hubs don't.
	sendStandings atomic.Bool
	// workerQuery is sent to when a query for workers without a claim arrives, and received from
	// before that query is answered. Tests without such queries leave it nil.
	workerQuery chan struct{}
}

func (h *claimHub) answer(report *wire.LoadReport) *wire.LoadReport {
	answer := &wire.LoadReport{}
	if len(report.Asked) > 0 && len(report.Claims) == 0 {
		h.workerQuery <- struct{}{}
		<-h.workerQuery
	}
	for _, claim := range report.Claims {
		h.claimCount.Add(1)
		if h.unanswered.Add(-1) >= 0 {
			return nil
		}
		if h.sendStandings.Load() {
			answer.Standings = append(answer.Standings, wire.RoomStanding{Ticket: claim.Ticket, Share: 7}, wire.RoomStanding{Ticket: claim.Ticket + 1})
		}
	}
	for _, question := range report.Tokens {
		answer.Verdicts = append(answer.Verdicts, wire.TokenVerdict{Ticket: question.Ticket, Granted: true})
	}
	return answer
}

// exchangeWith returns a running exchange that has received an answer from the hub and reports at
// the interval.
func exchangeWith(t *testing.T, h *claimHub, interval time.Duration) *Exchange {
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
		Interval: func() time.Duration { return interval },
	})
	go func() { _ = x.Run(ctx) }()
	for answered := false; !answered; time.Sleep(time.Millisecond) {
		x.mutex.Lock()
		answered = x.hubs.lastAnswer > 0
		x.mutex.Unlock()
	}
	return x
}

// TestQueryClaim sends claims to a hub that doesn't know standings, to one that sends them, and
// together with a token request.
func TestQueryClaim(t *testing.T) {
	const timeout = 10 * time.Second
	h := &claimHub{}
	x := exchangeWith(t, h, Interval)
	ctx := context.Background()
	claim := &wire.RoomClaim{Ticket: 40, Tenant: 3}
	if standing, answered := x.QueryClaim(ctx, timeout, nil, claim, false); standing != nil || !answered {
		t.Errorf("older hub: standing %+v, answered %t", standing, answered)
	}
	h.sendStandings.Store(true)
	// An answer to a report may be taken for the claim's if it takes longer than replyTimeout.
	received := 0
	for range 20 {
		if standing, answered := x.QueryClaim(ctx, timeout, nil, claim, false); answered && standing != nil && standing.Share == 7 && standing.Ticket == 40 {
			received++
		}
	}
	if received < 18 {
		t.Errorf("%d of 20 claims received their standing", received)
	}
	verdict, standing, answered := x.AcquireToken(ctx, wire.TokenQuestion{Ticket: 40}, claim, false)
	if !answered || !verdict.Granted || standing == nil || standing.Share != 7 {
		t.Errorf("token with a claim: verdict %+v, standing %+v, answered %t", verdict, standing, answered)
	}
	if _, standing, _ := x.AcquireToken(ctx, wire.TokenQuestion{Ticket: 40}, nil, false); standing != nil {
		t.Errorf("token without a claim: standing %+v", standing)
	}
	x.mutex.Lock()
	if len(x.standings)+len(x.tokenWaiters) > 0 {
		t.Errorf("%d standings and %d token waiters are kept", len(x.standings), len(x.tokenWaiters))
	}
	x.mutex.Unlock()
}

// TestLostClaimIsSentAgain leaves the first of two claims unanswered, and then all claims.
func TestLostClaimIsSentAgain(t *testing.T) {
	const timeout = 300 * time.Millisecond
	h := &claimHub{}
	h.sendStandings.Store(true)
	x := exchangeWith(t, h, time.Hour)
	h.unanswered.Store(1)
	standing, answered := x.QueryClaim(context.Background(), timeout, nil, &wire.RoomClaim{Ticket: 1}, false)
	if sent := h.claimCount.Load(); !answered || standing == nil || sent != 2 {
		t.Errorf("standing %+v, answered %t, claim sent %d times", standing, answered, sent)
	}
	h.unanswered.Store(1000)
	if _, answered := x.QueryClaim(context.Background(), timeout, nil, &wire.RoomClaim{Ticket: 2}, false); answered {
		t.Error("an unresponsive hub has answered")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, answered := x.QueryClaim(ctx, time.Hour, nil, &wire.RoomClaim{Ticket: 3}, false); answered {
		t.Error("answered after the context was canceled")
	}
}
