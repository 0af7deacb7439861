package loadshare

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/decodeerror"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/traffic"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// maxDatagram bounds a report; what does not fit is left out.
const maxDatagram = 60 << 10

// Serve answers reports at the address until ctx ends. answer returns what the
// sender is told, or nothing if it is to ask elsewhere.
func Serve(ctx context.Context, address string, answer func(report *wire.LoadReport) *wire.LoadReport) error {
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "correct the address", "load reports have no address")
	}
	socket, err := net.ListenUDP("udp", udpAddress)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "free the address", "load reports can't be taken")
	}
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		count, sender, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			continue
		}
		report := read(buffer[:count], sender)
		if report == nil {
			continue
		}
		if reply := answer(report); reply != nil {
			// A lost answer is made good by the next.
			if encoded, err := reply.MarshalMsg(nil); err == nil {
				_, _ = socket.WriteToUDPAddrPort(encoded, sender)
			}
		}
	}
}

// read returns the report in a datagram, or nil where it can't be read.
func read(datagram []byte, sender netip.AddrPort) *wire.LoadReport {
	report := &wire.LoadReport{}
	if _, err := report.UnmarshalMsg(datagram); err != nil {
		// A datagram tells no generation where it can't be read.
		decodeerror.Record(string(traffic.Loads), sender.String(), 0, err)
		return nil
	}
	return report
}

// Reporter is what a process tells a hub and learns from it.
type Reporter struct {
	// Hubs returns the addresses among which a hub is looked for, the best first.
	Hubs func() []string
	// PreferFirst is set where the first of them is to be gone back to whenever it answers.
	// Otherwise the reporter stays with the hub that answers, or that it is referred to.
	PreferFirst bool
	// Report returns what this process has, or nil if there is nothing to tell.
	Report func() *wire.LoadReport
	// OnAnswer takes in the hub's answer, which says what the others have.
	OnAnswer func(now time.Time, answer *wire.LoadReport)
	// Interval returns the time to the next report, see Interval.
	Interval func() time.Duration
	// Meter counts the exchanges; it may be nil.
	Meter *traffic.Meter
}

// Report tells a hub what this process has, again and again, until ctx ends.
func Report(ctx context.Context, p *Reporter) error { return NewExchange(p).Run(ctx) }

// Exchange tells a hub what a process has, at intervals and whenever it is asked to.
type Exchange struct {
	reporter *Reporter
	began    time.Time

	// mutex guards what follows.
	mutex   sync.Mutex
	chooser chooser
	// socket is nil while Run does not run.
	socket *net.UDPConn
	// asked is when a report was sent last that is to be answered, answered is closed
	// at the next answer.
	asked    time.Duration
	answered chan struct{}
	// replies says which reports have been answered.
	replies replies
	// questions holds who waits for verdicts, by ticket.
	questions map[uint64]chan wire.TokenVerdict
	// claims holds the standings told of requests that claim room, by ticket; nil while
	// none was told.
	claims map[uint64]*wire.RoomStanding
}

// NewExchange returns an exchange; Run runs it.
func NewExchange(p *Reporter) *Exchange {
	return &Exchange{reporter: p, began: clock.Now(), chooser: chooser{home: p.PreferFirst}, answered: make(chan struct{}), replies: replies{keep: replyTime}, questions: map[uint64]chan wire.TokenVerdict{}, claims: map[uint64]*wire.RoomStanding{}}
}

// Run reports at the reporter's pauses until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{})
	if err != nil {
		return failure.Wrap(err, failure.Internal, "free descriptors", "loads can't be told")
	}
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	x.mutex.Lock()
	x.socket = socket
	x.mutex.Unlock()
	go x.receive(ctx, socket)
	timer := time.NewTimer(Interval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		x.report(message{})
		timer.Reset(x.reporter.Interval())
	}
}

// sameAsk is how close together two questions share an answer: less than it takes to
// come within a zone.
const sameAsk = time.Millisecond

// Query tells the hub what this process has and waits for the answer, for patience at
// most. It reports whether there was one in time. Where the hub has not answered lately
// it does not wait. asked are the short names of workers that the answer is to tell of.
// repeatable is set where the request to be placed may run more than once.
func (x *Exchange) Query(ctx context.Context, patience time.Duration, asked []uint32, repeatable bool) bool {
	x.mutex.Lock()
	now := clock.Since(x.began)
	answered, silent := x.answered, now-x.chooser.heard > ReportTTL || x.chooser.heard == 0
	shared := x.asked > 0 && now-x.asked < sameAsk
	x.mutex.Unlock()
	if silent {
		return false
	}
	if !shared {
		x.report(message{choosing: true, asked: asked, repeatable: repeatable})
	}
	timeout := time.NewTimer(patience)
	defer timeout.Stop()
	select {
	case <-answered:
		return true
	case <-timeout.C:
	case <-ctx.Done():
	}
	return false
}

// Report tells the hub what this process has, without an answer.
func (x *Exchange) Report() { x.report(message{quiet: true}) }

const (
	// tokenPause is the time between two sendings of a question for a token: several
	// times what an answer takes within a zone.
	tokenPause = 12 * time.Millisecond
	// tokenDoubt is after how many of them without an answer another hub is asked, and
	// tokenTries how many there are.
	tokenDoubt = 4
	tokenTries = 9
)

// AcquireToken asks the hub for a token of a tenant. The answer also tells what the hub knows of
// the workers, and how the claim stands where one goes with the question: nil means within
// the share. It reports whether there was an answer. repeatable is as for Ask.
func (x *Exchange) AcquireToken(ctx context.Context, question wire.TokenQuestion, claim *wire.RoomClaim, repeatable bool) (wire.TokenVerdict, *wire.RoomStanding, bool) {
	verdict := make(chan wire.TokenVerdict, 1)
	m := message{choosing: true, tokens: []wire.TokenQuestion{question}, repeatable: repeatable}
	if claim != nil {
		m.claims = []wire.RoomClaim{*claim}
		defer x.forgetClaim(x.expect(claim))
	}
	x.mutex.Lock()
	x.questions[question.Ticket] = verdict
	x.mutex.Unlock()
	defer func() {
		x.mutex.Lock()
		delete(x.questions, question.Ticket)
		x.mutex.Unlock()
	}()
	timer := time.NewTimer(tokenPause)
	defer timer.Stop()
	for try := 1; try <= tokenTries; try++ {
		x.report(m)
		select {
		case answer := <-verdict:
			return answer, x.standing(claim), true
		case <-timer.C:
			timer.Reset(tokenPause)
		case <-ctx.Done():
			return wire.TokenVerdict{}, nil, false
		}
		if try%tokenDoubt == 0 {
			x.doubt()
		}
	}
	return wire.TokenVerdict{}, nil, false
}

// claimTries is how many times a claim is sent within the patience of its request.
const claimTries = 2

// QueryClaim puts a request's claim of room to the hub with the question of what the others have
// at the workers (Ask). It returns how the claim stands, nil for within the share, and
// whether there was an answer in time, to a report that was sent with the claim or after it: the
// answer to an earlier one says nothing of it. repeatable is as for Ask.
func (x *Exchange) QueryClaim(ctx context.Context, patience time.Duration, asked []uint32, claim *wire.RoomClaim, repeatable bool) (*wire.RoomStanding, bool) {
	x.mutex.Lock()
	silent := clock.Since(x.began)-x.chooser.heard > ReportTTL || x.chooser.heard == 0
	x.mutex.Unlock()
	if silent {
		return nil, false
	}
	defer x.forgetClaim(x.expect(claim))
	timer := time.NewTimer(patience / claimTries)
	defer timer.Stop()
	first := uint64(0)
	for range claimTries {
		number := x.report(message{choosing: true, asked: asked, claims: []wire.RoomClaim{*claim}, repeatable: repeatable})
		first = cmp.Or(first, number)
		if x.awaitStanding(ctx, timer, first, claim) {
			return x.standing(claim), true
		}
		if ctx.Err() != nil {
			return nil, false
		}
		timer.Reset(patience / claimTries)
	}
	return nil, false
}

// awaitStanding waits until the claim is answered, the timer fires or ctx ends. It reports
// whether the answer came. first is the number of the first report that the claim went with, zero
// where none was sent.
func (x *Exchange) awaitStanding(ctx context.Context, timer *time.Timer, first uint64, claim *wire.RoomClaim) bool {
	for {
		x.mutex.Lock()
		next, known := x.answered, first > 0 && x.replies.answered >= first || x.claims[claim.Ticket] != nil
		x.mutex.Unlock()
		if known {
			return true
		}
		select {
		case <-next:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// expect lets the standing of a claim be kept until forgetClaim, and returns its ticket.
func (x *Exchange) expect(claim *wire.RoomClaim) uint64 {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.claims[claim.Ticket] = nil
	return claim.Ticket
}

func (x *Exchange) forgetClaim(ticket uint64) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	delete(x.claims, ticket)
}

// standing returns what was told of a claim, which may be nil.
func (x *Exchange) standing(claim *wire.RoomClaim) *wire.RoomStanding {
	if claim == nil {
		return nil
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.claims[claim.Ticket]
}

// doubt takes in that the hub has left questions unanswered.
func (x *Exchange) doubt() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.chooser.doubt(clock.Since(x.began))
}

// ReleaseToken gives the token of a question back.
func (x *Exchange) ReleaseToken(question wire.TokenQuestion) {
	question.Back = true
	x.report(message{quiet: true, tokens: []wire.TokenQuestion{question}})
}

// message is what a report says beside the loads.
type message struct {
	// quiet is set where it is not to be answered.
	quiet    bool
	choosing bool
	asked    []uint32
	tokens   []wire.TokenQuestion
	// repeatable is set where the request to be placed may run more than once.
	repeatable bool
	claims     []wire.RoomClaim
}

// report sends a report to the hub chosen, if there is anything to tell. It returns the number
// by which the answer is found, zero where none will come.
func (x *Exchange) report(m message) (number uint64) {
	own := x.reporter.Report()
	if own == nil {
		return 0
	}
	own.Quiet, own.Choosing, own.Asked, own.Tokens, own.Claims = m.quiet, m.choosing, m.asked, m.tokens, m.claims
	own.Repeatable = m.repeatable
	hubs := x.reporter.Hubs()
	x.mutex.Lock()
	now := clock.Since(x.began)
	target, left := x.chooser.next(now, hubs)
	socket := x.socket
	if !m.quiet {
		x.asked = now
		if socket != nil && target != "" {
			number = x.replies.add(now)
		}
	}
	x.mutex.Unlock()
	if socket == nil {
		return 0
	}
	if left != "" {
		// The hub that is left would count this process until its report is too old.
		x.send(socket, left, &wire.LoadReport{Source: own.Source, Sums: own.Sums, Left: true})
	}
	if target != "" {
		x.send(socket, target, own)
	}
	return number
}

// send sends a report. One that is lost is made good by the next.
func (x *Exchange) send(socket *net.UDPConn, target string, report *wire.LoadReport) {
	encoded, err := report.MarshalMsg(nil)
	if err != nil {
		return
	}
	address, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return
	}
	_, _ = socket.WriteToUDP(encoded, address)
	x.reporter.Meter.Add(traffic.Loads, target, len(encoded), 0)
}

func (x *Exchange) receive(ctx context.Context, socket *net.UDPConn) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		count, sender, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			continue
		}
		x.reporter.Meter.AddReceived(traffic.Loads, sender.String(), count)
		report := read(buffer[:count], sender)
		if report == nil {
			continue
		}
		if report.Hub != "" {
			x.refer(report.Hub)
			continue
		}
		x.reporter.OnAnswer(clock.Now(), report)
		x.heard(report)
	}
}

// refer takes in that another process is the hub.
func (x *Exchange) refer(hub string) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.replies.reply(clock.Since(x.began))
	x.chooser.refer(hub)
}

// heard takes in that the hub has answered, and what it said has been learnt. The
// verdicts and standings go to those who wait for them.
func (x *Exchange) heard(answer *wire.LoadReport) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	now := clock.Since(x.began)
	x.chooser.answered(now)
	x.replies.reply(now)
	for i := range answer.Standings {
		if _, claimed := x.claims[answer.Standings[i].Ticket]; claimed {
			x.claims[answer.Standings[i].Ticket] = &answer.Standings[i]
		}
	}
	for _, verdict := range answer.Verdicts {
		if waiting := x.questions[verdict.Ticket]; waiting != nil {
			select {
			case waiting <- verdict:
			default:
				// The question was sent again, and has its answer.
			}
		}
	}
	close(x.answered)
	x.answered = make(chan struct{})
}
