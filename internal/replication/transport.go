package replication

import (
	"context"
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/traffic"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Methods of control processes among themselves.
const (
	MethodHello    = "peer_hello"
	MethodMessages = "peer_messages"
)

const (
	// maxQueued bounds the messages that wait for a peer; later ones are lost,
	// as on a bad link.
	maxQueued = 4096
	// maxBatchMessages bounds the messages of one call.
	maxBatchMessages = 256
	// maxBatchBytes bounds their entries and chunks.
	maxBatchBytes = 4 << 20
	sendTimeout   = time.Second
)

// PeerTransport is the Transport of real processes. Each peer has a queue and
// one call on its way, which carries all that has gathered meanwhile.
type PeerTransport struct {
	client  *rpc.Client
	context context.Context
	cancel  context.CancelFunc
	mutex   sync.Mutex
	queues  map[string]chan wire.PeerMessage
	senders sync.WaitGroup
}

// NewPeerTransport returns a transport without connections. The meter, which may be
// nil, counts what it sends.
func NewPeerTransport(meter *traffic.Meter) *PeerTransport {
	ctx, cancel := context.WithCancel(context.Background())
	client := rpc.NewClientWithDialTimeout(rpc.ShortDial)
	client.SetMeter(meter)
	return &PeerTransport{client: client, context: ctx, cancel: cancel, queues: map[string]chan wire.PeerMessage{}}
}

// Send implements Transport.
func (p *PeerTransport) Send(address string, message wire.PeerMessage) {
	select {
	case p.queue(address) <- message:
	default:
	}
}

func (p *PeerTransport) queue(address string) chan wire.PeerMessage {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	queue := p.queues[address]
	if queue == nil {
		queue = make(chan wire.PeerMessage, maxQueued)
		p.queues[address] = queue
		p.senders.Add(1)
		go p.serve(address, queue)
	}
	return queue
}

func (p *PeerTransport) serve(address string, queue <-chan wire.PeerMessage) {
	defer p.senders.Done()
	for {
		select {
		case <-p.context.Done():
			return
		case first := <-queue:
			p.post(address, gather(first, queue))
		}
	}
}

// gather takes the messages that wait, up to the size of one call.
func gather(first wire.PeerMessage, queue <-chan wire.PeerMessage) *wire.PeerBatch {
	batch := &wire.PeerBatch{Messages: []wire.PeerMessage{first}}
	size := messageBytes(&first)
	for len(batch.Messages) < maxBatchMessages && size < maxBatchBytes {
		select {
		case next := <-queue:
			batch.Messages = append(batch.Messages, next)
			size += messageBytes(&next)
		default:
			return batch
		}
	}
	return batch
}

func messageBytes(message *wire.PeerMessage) int {
	size := 0
	for i := range message.Entries {
		size += len(message.Entries[i].Data)
	}
	if message.Snapshot != nil {
		size += snapshotChunkBytes
	}
	return size
}

// post sends a batch. A failure loses it; consensus sends again what matters.
func (p *PeerTransport) post(address string, batch *wire.PeerBatch) {
	ctx, cancel := context.WithTimeout(p.context, sendTimeout)
	defer cancel()
	_, _ = rpc.Call[wire.Empty](ctx, p.client, address, MethodMessages, batch)
}

// Hello implements Transport.
func (p *PeerTransport) Hello(ctx context.Context, address string, hello *wire.Hello) (*wire.Hello, error) {
	return rpc.Call[wire.Hello](ctx, p.client, address, MethodHello, hello)
}

// Close implements Transport.
func (p *PeerTransport) Close() {
	p.cancel()
	p.senders.Wait()
	p.client.Close()
}
