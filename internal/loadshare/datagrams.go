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

// maxDatagram is the size limit of a report in bytes; rows that do not fit are omitted.
const maxDatagram = 60 << 10

// Serve answers reports that arrive at the UDP address until ctx ends. answer returns the reply to
// the sender, or nil to send none. It returns an error if the socket can't be opened.
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
		report := decodeReport(buffer[:count], sender)
		if report == nil {
			continue
		}
		if reply := answer(report); reply != nil {
			// A lost answer is replaced by the next one.
			if encoded, err := reply.MarshalMsg(nil); err == nil {
				_, _ = socket.WriteToUDPAddrPort(encoded, sender)
			}
		}
	}
}

// decodeReport returns the report in a datagram, or nil if it can't be decoded.
func decodeReport(datagram []byte, sender netip.AddrPort) *wire.LoadReport {
	report := &wire.LoadReport{}
	if _, err := report.UnmarshalMsg(datagram); err != nil {
		// The sender's generation is unknown if the datagram can't be decoded.
		decodeerror.Record(string(traffic.Loads), sender.String(), 0, err)
		return nil
	}
	return report
}

// Reporter connects a process to its hub: it supplies the reports and receives the answers.
type Reporter struct {
	// Hubs returns the addresses of the candidate hubs, in order of preference.
	Hubs func() []string
	// PreferFirst makes the reporter return to the first candidate whenever that one answers. If
	// PreferFirst is not set, the reporter stays with the hub that answers or that it was referred
	// to.
	PreferFirst bool
	// Report returns the loads of this process, or nil if there is nothing to report.
	Report func() *wire.LoadReport
	// OnAnswer handles the hub's answer, which holds the loads of the other processes.
	OnAnswer func(now time.Time, answer *wire.LoadReport)
	// Interval returns the time until the next report, between Interval and MaxInterval.
	Interval func() time.Duration
	// Meter counts the datagrams and their bytes; it may be nil.
	Meter *traffic.Meter
}

// Report sends the loads of this process to a hub at intervals until ctx ends.
func Report(ctx context.Context, r *Reporter) error { return NewExchange(r).Run(ctx) }

// Exchange sends the loads of a process to a hub, at intervals and on request, and matches the
// answers to the callers that wait for them.
type Exchange struct {
	reporter  *Reporter
	startedAt time.Time

	// mutex guards the fields below.
	mutex sync.Mutex
	hubs  hubSelector
	// socket is nil until Run has opened it.
	socket *net.UDPConn
	// lastRequest is when the last report that asks for an answer was sent; answerReceived is
	// closed and replaced when an answer arrives.
	lastRequest    time.Duration
	answerReceived chan struct{}
	// replies tracks which reports were answered.
	replies replyTracker
	// tokenWaiters holds the callers that wait for verdicts, by ticket.
	tokenWaiters map[uint64]chan wire.TokenVerdict
	// standings holds the answers to capacity claims by ticket, nil until the hub sends a standing.
	standings map[uint64]*wire.RoomStanding
	// lookups holds the lookups of origins in progress, by stream.
	lookups map[uint64][]chan originAnswer
}

// NewExchange returns an exchange that starts when Run is called.
func NewExchange(r *Reporter) *Exchange {
	return &Exchange{reporter: r, startedAt: clock.Now(), hubs: hubSelector{preferFirst: r.PreferFirst}, answerReceived: make(chan struct{}), replies: replyTracker{timeout: replyTimeout}, tokenWaiters: map[uint64]chan wire.TokenVerdict{}, standings: map[uint64]*wire.RoomStanding{}, lookups: map[uint64][]chan originAnswer{}}
}

// Run sends reports at the reporter's intervals until ctx ends. It returns an error if no socket
// can be opened.
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
		x.sendReport(message{})
		timer.Reset(x.reporter.Interval())
	}
}

// sharedAnswerWindow is the time within which a second query waits for the answer to the first
// instead of sending its own: less than a round trip within a zone.
const sharedAnswerWindow = time.Millisecond

// Query sends the loads of this process to the hub and waits for an answer, at most for the given
// time. It reports whether one arrived in time. Query returns false at once if the hub's last
// answer is older than ReportTTL, or if the hub has never answered. The answer covers the workers
// whose hashes are given. repeatable is set if the request to be placed may run more than once.
func (x *Exchange) Query(ctx context.Context, timeout time.Duration, workers []uint32, repeatable bool) bool {
	x.mutex.Lock()
	now := clock.Since(x.startedAt)
	answered, unresponsive := x.answerReceived, now-x.hubs.lastAnswer > ReportTTL || x.hubs.lastAnswer == 0
	shared := x.lastRequest > 0 && now-x.lastRequest < sharedAnswerWindow
	x.mutex.Unlock()
	if unresponsive {
		return false
	}
	if !shared {
		x.sendReport(message{choosing: true, workers: workers, repeatable: repeatable})
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-answered:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// Report sends the loads of this process to the hub without asking for an answer.
func (x *Exchange) Report() { x.sendReport(message{noAnswer: true}) }

const (
	// tokenRetryInterval is the time after which an unanswered token request is sent again: several
	// times the round trip within a zone.
	tokenRetryInterval = 12 * time.Millisecond
	// tokenTriesPerHub is the number of unanswered tries after which another hub is selected, and
	// maxTokenTries the total number of tries.
	tokenTriesPerHub = 4
	maxTokenTries    = 9
)

// AcquireToken asks the hub for a token of a tenant's limit. It returns the verdict, the standing
// of the claim sent along with it (nil if there is no claim or the tenant is within its share),
// and whether the hub answered. The answer also updates the loads of the workers. repeatable has
// the same meaning as in Query.
func (x *Exchange) AcquireToken(ctx context.Context, question wire.TokenQuestion, claim *wire.RoomClaim, repeatable bool) (wire.TokenVerdict, *wire.RoomStanding, bool) {
	verdict := make(chan wire.TokenVerdict, 1)
	m := message{choosing: true, tokens: []wire.TokenQuestion{question}, repeatable: repeatable}
	if claim != nil {
		m.claims = []wire.RoomClaim{*claim}
		defer x.unregisterClaim(x.registerClaim(claim))
	}
	x.mutex.Lock()
	x.tokenWaiters[question.Ticket] = verdict
	x.mutex.Unlock()
	defer func() {
		x.mutex.Lock()
		delete(x.tokenWaiters, question.Ticket)
		x.mutex.Unlock()
	}()
	timer := time.NewTimer(tokenRetryInterval)
	defer timer.Stop()
	for try := 1; try <= maxTokenTries; try++ {
		x.sendReport(m)
		select {
		case answer := <-verdict:
			return answer, x.standing(claim), true
		case <-timer.C:
			timer.Reset(tokenRetryInterval)
		case <-ctx.Done():
			return wire.TokenVerdict{}, nil, false
		}
		if try%tokenTriesPerHub == 0 {
			x.suspectHub()
		}
	}
	return wire.TokenVerdict{}, nil, false
}

// maxClaimTries is how often a claim is sent within the timeout of QueryClaim.
const maxClaimTries = 2

// QueryClaim sends a request's capacity claim to the hub together with a query for the loads of
// the given workers, as Query does. It returns the standing of the claim, nil if the tenant is
// within its share, and whether the hub answered in time. Only answers to the report that first
// carried the claim or to later ones count, because answers to earlier reports say nothing about
// it. repeatable has the same meaning as in Query.
func (x *Exchange) QueryClaim(ctx context.Context, timeout time.Duration, workers []uint32, claim *wire.RoomClaim, repeatable bool) (*wire.RoomStanding, bool) {
	x.mutex.Lock()
	unresponsive := clock.Since(x.startedAt)-x.hubs.lastAnswer > ReportTTL || x.hubs.lastAnswer == 0
	x.mutex.Unlock()
	if unresponsive {
		return nil, false
	}
	defer x.unregisterClaim(x.registerClaim(claim))
	timer := time.NewTimer(timeout / maxClaimTries)
	defer timer.Stop()
	first := uint64(0)
	for range maxClaimTries {
		number := x.sendReport(message{choosing: true, workers: workers, claims: []wire.RoomClaim{*claim}, repeatable: repeatable})
		first = cmp.Or(first, number)
		if x.awaitStanding(ctx, timer, first, claim) {
			return x.standing(claim), true
		}
		if ctx.Err() != nil {
			return nil, false
		}
		timer.Reset(timeout / maxClaimTries)
	}
	return nil, false
}

// awaitStanding waits until the claim is answered, the timer fires or ctx ends, and reports
// whether the claim was answered. first is the number of the first report that carried the claim,
// zero if none was sent.
func (x *Exchange) awaitStanding(ctx context.Context, timer *time.Timer, first uint64, claim *wire.RoomClaim) bool {
	for {
		x.mutex.Lock()
		next, answered := x.answerReceived, first > 0 && x.replies.answered >= first || x.standings[claim.Ticket] != nil
		x.mutex.Unlock()
		if answered {
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

// registerClaim makes handleAnswer keep the standing of the claim until unregisterClaim is called,
// and returns the claim's ticket.
func (x *Exchange) registerClaim(claim *wire.RoomClaim) uint64 {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.standings[claim.Ticket] = nil
	return claim.Ticket
}

func (x *Exchange) unregisterClaim(ticket uint64) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	delete(x.standings, ticket)
}

// standing returns the standing received for a claim, or nil.
func (x *Exchange) standing(claim *wire.RoomClaim) *wire.RoomStanding {
	if claim == nil {
		return nil
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.standings[claim.Ticket]
}

// suspectHub records that the hub leaves requests unanswered.
func (x *Exchange) suspectHub() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.hubs.suspect(clock.Since(x.startedAt))
}

// ReleaseToken returns the token acquired with the question.
func (x *Exchange) ReleaseToken(question wire.TokenQuestion) {
	question.Back = true
	x.sendReport(message{noAnswer: true, tokens: []wire.TokenQuestion{question}})
}

// message holds what a report carries in addition to the loads.
type message struct {
	// noAnswer asks the hub not to answer.
	noAnswer bool
	choosing bool
	workers  []uint32
	tokens   []wire.TokenQuestion
	// repeatable is set if the request to be placed may run more than once.
	repeatable bool
	claims     []wire.RoomClaim
}

// sendReport sends a report to the selected hub unless there is nothing to report. It returns the
// report's number in replies, zero if no answer will arrive.
func (x *Exchange) sendReport(m message) (number uint64) {
	report := x.reporter.Report()
	if report == nil {
		return 0
	}
	report.Quiet, report.Choosing, report.Asked, report.Tokens, report.Claims = m.noAnswer, m.choosing, m.workers, m.tokens, m.claims
	report.Repeatable = m.repeatable
	hubs := x.reporter.Hubs()
	x.mutex.Lock()
	now := clock.Since(x.startedAt)
	target, previous := x.hubs.next(now, hubs)
	socket := x.socket
	if !m.noAnswer {
		x.lastRequest = now
		if socket != nil && target != "" {
			number = x.replies.recordSent(now)
		}
	}
	x.mutex.Unlock()
	if socket == nil {
		return 0
	}
	if previous != "" {
		// Without this message the previous hub would count this process until the last report sent
		// there expires.
		x.sendDatagram(socket, previous, &wire.LoadReport{Source: report.Source, Sums: report.Sums, Left: true})
	}
	if target != "" {
		x.sendDatagram(socket, target, report)
	}
	return number
}

// sendDatagram sends a report. A lost report is replaced by the next one.
func (x *Exchange) sendDatagram(socket *net.UDPConn, target string, report *wire.LoadReport) {
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
		report := decodeReport(buffer[:count], sender)
		if report == nil {
			continue
		}
		if report.Hub != "" {
			x.handleReferral(report.Hub)
			continue
		}
		if isOriginAnswer(report) {
			x.handleOrigins(net.UDPAddrFromAddrPort(sender), report)
			continue
		}
		x.reporter.OnAnswer(clock.Now(), report)
		x.handleAnswer(report)
	}
}

// handleReferral records that another process is the hub.
func (x *Exchange) handleReferral(hub string) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.replies.recordReply(clock.Since(x.startedAt))
	x.hubs.recordReferral(hub)
}

// handleAnswer passes the verdicts and standings of the hub's answer to their waiting callers.
// OnAnswer has already applied the loads.
func (x *Exchange) handleAnswer(answer *wire.LoadReport) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	now := clock.Since(x.startedAt)
	x.hubs.recordAnswer(now)
	x.replies.recordReply(now)
	for i := range answer.Standings {
		if _, registered := x.standings[answer.Standings[i].Ticket]; registered {
			x.standings[answer.Standings[i].Ticket] = &answer.Standings[i]
		}
	}
	for _, verdict := range answer.Verdicts {
		if waiter := x.tokenWaiters[verdict.Ticket]; waiter != nil {
			select {
			case waiter <- verdict:
			default:
				// The request was sent twice and its first answer is already queued.
			}
		}
	}
	close(x.answerReceived)
	x.answerReceived = make(chan struct{})
}
