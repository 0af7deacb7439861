package replication

import (
	"context"
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/traffic"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// RPC methods between control processes.
const (
	MethodHello    = "peer_hello"
	MethodMessages = "peer_messages"
)

const (
	// maxQueuedMessages limits the queue of each peer. Messages beyond it are dropped.
	maxQueuedMessages = 4096
	// maxBatchMessages limits the messages of one call.
	maxBatchMessages = 256
	// maxBatchBytes is the size of entries and snapshot chunks from which on no further message
	// is added to a call.
	maxBatchBytes = 4 << 20
	sendTimeout   = time.Second
)

// PeerTransport is a Transport over RPC. Each peer has a queue and at most one call in
// progress. The next call carries the messages that were queued during the previous one.
type PeerTransport struct {
	client  *rpc.Client
	context context.Context
	cancel  context.CancelFunc
	mutex   sync.Mutex
	queues  map[string]chan wire.PeerMessage
	senders sync.WaitGroup
}

// NewPeerTransport returns a transport without open connections. The meter counts the
// traffic that it sends; it may be nil.
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
		queue = make(chan wire.PeerMessage, maxQueuedMessages)
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
			p.sendBatch(address, collectBatch(first, queue))
		}
	}
}

// collectBatch returns a batch of the first message and those queued, up to the size of a call.
func collectBatch(first wire.PeerMessage, queue <-chan wire.PeerMessage) *wire.PeerBatch {
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

// sendBatch sends a batch. It ignores errors: the messages are lost, and consensus retries
// those that matter.
func (p *PeerTransport) sendBatch(address string, batch *wire.PeerBatch) {
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
