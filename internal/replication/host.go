package replication

import (
	"context"
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"

	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	tickInterval  = 10 * time.Millisecond
	helloInterval = 200 * time.Millisecond
	helloTimeout  = time.Second
	// seldomHelloInterval follows acquaintedAfter exchanges without a failure; it
	// must stay well below helloFresh.
	seldomHelloInterval = 800 * time.Millisecond
	acquaintedAfter     = 15
	// maxEvents bounds the events between two flushes, and so the size of one
	// sync.
	maxEvents = 1024
	// transferPoll is the time between looks at a hand-over of leadership.
	transferPoll = 10 * time.Millisecond
)

// Transport carries messages between control processes.
type Transport interface {
	// Send sends a message without waiting; it may be lost.
	Send(address string, message wire.PeerMessage)
	// Hello introduces this process and returns who the other is.
	Hello(ctx context.Context, address string, hello *wire.Hello) (*wire.Hello, error)
	Close()
}

// Host runs a node: one goroutine feeds it with time, messages and proposals.
type Host struct {
	node      *Node
	transport Transport
	peers     []string
	address   string
	events    chan func(now time.Time)
	closing   chan struct{}
	stopped   chan struct{}
	closeOnce sync.Once
	cancel    context.CancelFunc
	loops     sync.WaitGroup
}

// NewHost opens a node and runs it until Close. options.Send is set by it.
func NewHost(options Options, transport Transport) (*Host, error) {
	options.Send = transport.Send
	now := clock.Exact()
	node, err := Open(options, now)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{
		node:      node,
		transport: transport,
		peers:     options.Peers,
		address:   options.Address,
		events:    make(chan func(time.Time), maxEvents),
		closing:   make(chan struct{}),
		stopped:   make(chan struct{}),
		cancel:    cancel,
	}
	h.node.Tick(now)
	h.node.Flush(now)
	go h.run()
	h.loops.Add(1)
	if options.BootstrapMode == BootstrapStatic {
		go func() {
			defer h.loops.Done()
			h.introduceAll(ctx, h.peers)
		}()
		return h, nil
	}
	go h.discover(ctx)
	return h, nil
}

func (h *Host) run() {
	defer close(h.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			h.node.Tick(clock.Exact())
		case event := <-h.events:
			h.runEvents(event)
		case <-h.closing:
			h.drain()
			return
		}
		h.node.Flush(clock.Exact())
	}
}

// runEvents runs the first event and those that wait behind it, so that they
// share a sync.
func (h *Host) runEvents(first func(time.Time)) {
	now := clock.Exact()
	first(now)
	for count := 1; count < maxEvents; count++ {
		select {
		case event := <-h.events:
			event(now)
		default:
			return
		}
	}
}

func (h *Host) drain() {
	for {
		select {
		case event := <-h.events:
			h.runEvents(event)
			h.node.Flush(clock.Exact())
		default:
			return
		}
	}
}

// enter hands an event to the loop.
func (h *Host) enter(ctx context.Context, event func(now time.Time)) error {
	select {
	case h.events <- event:
		return nil
	case <-h.closing:
		return failure.New(failure.NotRun, "try another control process", "control is stopping")
	case <-ctx.Done():
		return failure.Wrap(ctx.Err(), failure.NotRun, "try again", "control did not take the message in time")
	}
}

func (h *Host) introduceAll(ctx context.Context, peers []string) {
	for _, peer := range peers {
		if peer != h.address {
			h.loops.Add(1)
			go h.introduce(ctx, peer)
		}
	}
}

// introduce says hello to a peer again and again: often while either is new to
// the other, and seldom once they have known each other for a while.
func (h *Host) introduce(ctx context.Context, peer string) {
	defer h.loops.Done()
	acquainted := 0
	for ctx.Err() == nil {
		if h.exchangeHello(ctx, peer) {
			acquainted++
		} else {
			acquainted = 0
		}
		interval := helloInterval
		if acquainted > acquaintedAfter {
			interval = seldomHelloInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// exchangeHello reports whether both belong to a cluster.
func (h *Host) exchangeHello(ctx context.Context, peer string) bool {
	own, err := ask(ctx, h, func(time.Time) wire.Hello { return h.node.Hello() })
	if err != nil {
		return false
	}
	callContext, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	answer, err := h.transport.Hello(callContext, peer, &own)
	if err != nil {
		return false
	}
	// An error means that the host is closing.
	_ = h.enter(ctx, func(now time.Time) { h.node.HandleHello(now, answer) })
	return own.Formed && answer.Formed
}

// HandleHello answers the introduction of another process.
func (h *Host) HandleHello(ctx context.Context, hello *wire.Hello) (*wire.Hello, error) {
	own, err := ask(ctx, h, func(now time.Time) wire.Hello {
		h.node.HandleHello(now, hello)
		return h.node.Hello()
	})
	return &own, err
}

// Receive takes in messages of another process.
func (h *Host) Receive(ctx context.Context, batch *wire.PeerBatch) error {
	return h.enter(ctx, func(now time.Time) {
		for i := range batch.Messages {
			h.node.Receive(now, &batch.Messages[i])
		}
	})
}

// ask runs a question in the loop and returns its answer.
func ask[Answer any](ctx context.Context, h *Host, question func(now time.Time) Answer) (Answer, error) {
	answers := make(chan Answer, 1)
	var none Answer
	if err := h.enter(ctx, func(now time.Time) { answers <- question(now) }); err != nil {
		return none, err
	}
	select {
	case answer := <-answers:
		return answer, nil
	case <-h.stopped:
		return none, failure.New(failure.NotRun, "try another control process", "control has stopped")
	case <-ctx.Done():
		return none, failure.Wrap(ctx.Err(), failure.NotRun, "try again", "control did not answer in time")
	}
}

// outcome is the end of a proposal.
type outcome struct {
	answer []byte
	err    error
}

// Propose commits a command and returns the state machine's answer. If ctx ends
// first the outcome is not known: the command may still be committed.
func (h *Host) Propose(ctx context.Context, number int, command []byte) ([]byte, error) {
	outcomes := make(chan outcome, 1)
	err := h.enter(ctx, func(time.Time) {
		h.node.Propose(number, command, func(answer []byte, err error) { outcomes <- outcome{answer, err} })
	})
	if err != nil {
		return nil, err
	}
	select {
	case ended := <-outcomes:
		return ended.answer, ended.err
	case <-h.stopped:
		return nil, failure.New(failure.OutcomeUnknown, "send the same command again", "control stopped while the command was on its way")
	case <-ctx.Done():
		return nil, failure.Wrap(ctx.Err(), failure.OutcomeUnknown, "send the same command again", "the command was not committed in time")
	}
}

// Statuses returns the state of every replica.
func (h *Host) Statuses(ctx context.Context) ([]consensus.Status, error) {
	return ask(ctx, h, h.node.Statuses)
}

// Processes returns the control processes known here, this one first.
func (h *Host) Processes(ctx context.Context) ([]wire.Process, error) {
	return ask(ctx, h, h.node.Processes)
}

// GroupCount returns the number of groups.
func (h *Host) GroupCount() int { return len(h.node.groups) }

// TransferAllLeadership gives the leadership of all groups to other processes, until ctx
// ends.
func (h *Host) TransferAllLeadership(ctx context.Context) {
	for ctx.Err() == nil {
		done, err := ask(ctx, h, h.node.TransferAllLeadership)
		if err != nil || done {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(transferPoll):
		}
	}
}

// TransferLeadership hands leadership of a group to another process, and reports whether that
// has begun.
func (h *Host) TransferLeadership(ctx context.Context, number int, to uint64) (bool, error) {
	return ask(ctx, h, func(now time.Time) bool { return h.node.TransferLeadership(now, number, to) })
}

// Close stops taking events and waits for those on their way.
func (h *Host) Close() {
	h.closeOnce.Do(func() {
		h.cancel()
		close(h.closing)
	})
	<-h.stopped
	h.loops.Wait()
	h.transport.Close()
}
