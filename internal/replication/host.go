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
	// slowHelloInterval is the interval after slowHelloAfter consecutive successful
	// exchanges. It must stay well below helloTTL.
	slowHelloInterval = 800 * time.Millisecond
	slowHelloAfter    = 15
	// maxEvents limits the events between two flushes, and so the size of one sync.
	maxEvents = 1024
	// transferPoll is the interval between checks whether a leadership transfer is complete.
	transferPoll = 10 * time.Millisecond
)

// Transport carries messages between control processes.
type Transport interface {
	// Send sends a message without blocking; the message may be lost.
	Send(address string, message wire.PeerMessage)
	// Hello sends this process's hello and returns that of the other process.
	Hello(ctx context.Context, address string, hello *wire.Hello) (*wire.Hello, error)
	Close()
}

// Host runs a node in a single goroutine, which processes ticks, messages and proposals.
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

// NewHost opens a node and runs it until Close. It sets options.Send.
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
			h.startHelloLoops(ctx, h.peers)
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

// runEvents runs the first event and those queued behind it, so that they share a sync.
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

// submit queues an event for the event loop.
func (h *Host) submit(ctx context.Context, event func(now time.Time)) error {
	select {
	case h.events <- event:
		return nil
	case <-h.closing:
		return failure.New(failure.NotRun, "try another control process", "control is stopping")
	case <-ctx.Done():
		return failure.Wrap(ctx.Err(), failure.NotRun, "try again", "control did not take the message in time")
	}
}

func (h *Host) startHelloLoops(ctx context.Context, peers []string) {
	for _, peer := range peers {
		if peer != h.address {
			h.loops.Add(1)
			go h.runHelloLoop(ctx, peer)
		}
	}
}

// runHelloLoop exchanges hellos with a peer until ctx ends. It uses helloInterval at first,
// after a failure, and while either process belongs to no cluster; otherwise
// slowHelloInterval.
func (h *Host) runHelloLoop(ctx context.Context, peer string) {
	defer h.loops.Done()
	successes := 0
	for ctx.Err() == nil {
		if h.exchangeHello(ctx, peer) {
			successes++
		} else {
			successes = 0
		}
		interval := helloInterval
		if successes > slowHelloAfter {
			interval = slowHelloInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// exchangeHello exchanges hellos with a peer. It reports whether that succeeded and both
// processes belong to a cluster.
func (h *Host) exchangeHello(ctx context.Context, peer string) bool {
	own, err := query(ctx, h, func(time.Time) wire.Hello { return h.node.Hello() })
	if err != nil {
		return false
	}
	callContext, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	answer, err := h.transport.Hello(callContext, peer, &own)
	if err != nil {
		return false
	}
	// The only possible errors are that the host is closing or that ctx has ended.
	_ = h.submit(ctx, func(now time.Time) { h.node.HandleHello(now, answer) })
	return own.Formed && answer.Formed
}

// HandleHello records the hello of another process and returns this process's own.
func (h *Host) HandleHello(ctx context.Context, hello *wire.Hello) (*wire.Hello, error) {
	own, err := query(ctx, h, func(now time.Time) wire.Hello {
		h.node.HandleHello(now, hello)
		return h.node.Hello()
	})
	return &own, err
}

// Receive processes a batch of messages from another process.
func (h *Host) Receive(ctx context.Context, batch *wire.PeerBatch) error {
	return h.submit(ctx, func(now time.Time) {
		for i := range batch.Messages {
			h.node.Receive(now, &batch.Messages[i])
		}
	})
}

// query runs a function in the event loop and returns its result.
func query[Answer any](ctx context.Context, h *Host, call func(now time.Time) Answer) (Answer, error) {
	answers := make(chan Answer, 1)
	var zero Answer
	if err := h.submit(ctx, func(now time.Time) { answers <- call(now) }); err != nil {
		return zero, err
	}
	select {
	case answer := <-answers:
		return answer, nil
	case <-h.stopped:
		return zero, failure.New(failure.NotRun, "try another control process", "control has stopped")
	case <-ctx.Done():
		return zero, failure.Wrap(ctx.Err(), failure.NotRun, "try again", "control did not answer in time")
	}
}

// outcome is the result of a proposal.
type outcome struct {
	answer []byte
	err    error
}

// Propose commits a command and returns the state machine's answer. If ctx ends after the
// command is queued, the outcome is unknown: the command may still be committed.
func (h *Host) Propose(ctx context.Context, number int, command []byte) ([]byte, error) {
	outcomes := make(chan outcome, 1)
	err := h.submit(ctx, func(time.Time) {
		h.node.Propose(number, command, func(answer []byte, err error) { outcomes <- outcome{answer, err} })
	})
	if err != nil {
		return nil, err
	}
	select {
	case result := <-outcomes:
		return result.answer, result.err
	case <-h.stopped:
		return nil, failure.New(failure.OutcomeUnknown, "send the same command again", "control stopped while the command was on its way")
	case <-ctx.Done():
		return nil, failure.Wrap(ctx.Err(), failure.OutcomeUnknown, "send the same command again", "the command was not committed in time")
	}
}

// Statuses returns the status of the local replica of every group.
func (h *Host) Statuses(ctx context.Context) ([]consensus.Status, error) {
	return query(ctx, h, h.node.Statuses)
}

// Processes returns this process, followed by the peers that have sent a hello.
func (h *Host) Processes(ctx context.Context) ([]wire.Process, error) {
	return query(ctx, h, h.node.Processes)
}

// GroupCount returns the number of groups.
func (h *Host) GroupCount() int { return len(h.node.groups) }

// TransferAllLeadership transfers the leadership of all groups to other processes. It returns
// when that is done or ctx ends.
func (h *Host) TransferAllLeadership(ctx context.Context) {
	for ctx.Err() == nil {
		done, err := query(ctx, h, h.node.TransferAllLeadership)
		if err != nil || done {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(transferPoll):
		}
	}
}

// TransferLeadership transfers the leadership of a group to the given replica, and reports
// whether the transfer started.
func (h *Host) TransferLeadership(ctx context.Context, number int, to uint64) (bool, error) {
	return query(ctx, h, func(now time.Time) bool { return h.node.TransferLeadership(now, number, to) })
}

// Close rejects further events, and waits until the queued events and the loops have ended.
func (h *Host) Close() {
	h.closeOnce.Do(func() {
		h.cancel()
		close(h.closing)
	})
	<-h.stopped
	h.loops.Wait()
	h.transport.Close()
}
