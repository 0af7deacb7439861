package replication

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	snapshotChunkBytes = 256 << 10
	// chunkTimeout is the time after which an unacknowledged chunk is sent again.
	// transferTimeout is the time without a response after which the transfer is aborted.
	chunkTimeout    = time.Second
	transferTimeout = 10 * time.Second
)

// snapshotSender is the leader's side of a snapshot transfer. At most one chunk is
// unacknowledged at a time.
type snapshotSender struct {
	to           uint64
	transfer     uint64
	base         wire.LogBase
	snapshot     storage.Snapshot
	prefix       []byte
	cursor       []byte
	chunk        wire.SnapshotChunk
	sentAt       time.Time
	lastResponse time.Time
}

// snapshotReceiver is the follower's side of a snapshot transfer. It stores the chunks as the
// next generation of the state.
type snapshotReceiver struct {
	from     uint64
	transfer uint64
	next     uint64
}

func (n *Node) startSnapshot(g *group, to uint64, now time.Time) {
	if g.snapshotSenders[to] != nil {
		return
	}
	n.lastTransferID++
	prefix := statePrefix(g.number, g.generation)
	s := &snapshotSender{
		to:           to,
		transfer:     uint64(now.UnixNano()) + n.lastTransferID,
		base:         g.replica.AppliedBase(),
		snapshot:     n.options.Store.Snapshot(),
		prefix:       prefix,
		cursor:       prefix,
		lastResponse: now,
	}
	g.snapshotSenders[to] = s
	s.loadChunk(0)
	n.sendChunk(g, s, now)
}

// loadChunk reads the chunk with the given sequence number from the store snapshot.
func (s *snapshotSender) loadChunk(sequence uint64) {
	s.chunk = wire.SnapshotChunk{Base: s.base, Transfer: s.transfer, Sequence: sequence, Last: true}
	size := 0
	err := s.snapshot.Scan(s.cursor, storage.PrefixEnd(s.prefix), func(key, value []byte) bool {
		if size >= snapshotChunkBytes {
			s.cursor = append([]byte(nil), key...)
			s.chunk.Last = false
			return false
		}
		size += len(key) + len(value)
		s.chunk.Pairs = append(s.chunk.Pairs, wire.KeyPair{
			Key:   append([]byte(nil), key[len(s.prefix):]...),
			Value: append([]byte(nil), value...),
		})
		return true
	})
	if err != nil {
		panic(errors.Wrap(err, "the store can't be read"))
	}
}

func (n *Node) sendChunk(g *group, s *snapshotSender, now time.Time) {
	s.sentAt = now
	chunk := s.chunk
	n.sendAll([]wire.PeerMessage{{
		Kind:     wire.MessageSnapshotChunk,
		Group:    g.number,
		From:     n.ID(),
		To:       s.to,
		Term:     g.replica.Term(),
		Snapshot: &chunk,
	}})
}

// tickSenders resends unacknowledged chunks and ends the transfers that are stale or timed out.
func (n *Node) tickSenders(g *group, now time.Time) {
	for _, to := range sortedKeys(g.snapshotSenders) {
		s := g.snapshotSenders[to]
		switch {
		case !g.replica.AwaitsSnapshot(s.to) || now.Sub(s.lastResponse) > transferTimeout:
			n.endSnapshot(g, s)
		case now.Sub(s.sentAt) > chunkTimeout:
			n.sendChunk(g, s, now)
		}
	}
}

func (n *Node) endSnapshot(g *group, s *snapshotSender) {
	delete(g.snapshotSenders, s.to)
	if err := s.snapshot.Close(); err != nil {
		panic(errors.Wrap(err, "the store can't be read"))
	}
	g.replica.SnapshotTransferEnded(s.to)
}

func (n *Node) handleChunkResponse(g *group, now time.Time, message *wire.PeerMessage) {
	s := g.snapshotSenders[message.From]
	if s == nil || message.Snapshot == nil || message.Snapshot.Transfer != s.transfer || message.Snapshot.Sequence != s.chunk.Sequence {
		return
	}
	s.lastResponse = now
	if s.chunk.Last {
		n.endSnapshot(g, s)
		return
	}
	s.loadChunk(s.chunk.Sequence + 1)
	n.sendChunk(g, s, now)
}

// handleChunk stores a chunk of a snapshot, and replaces the state by the snapshot when the
// last chunk has arrived.
func (n *Node) handleChunk(g *group, now time.Time, message *wire.PeerMessage) {
	chunk := message.Snapshot
	if chunk == nil || !g.replica.IsFromLeader(message) {
		return
	}
	if chunk.Sequence == 0 && !n.startReceiving(g, message) {
		return
	}
	r := g.receiver
	if r == nil || r.from != message.From || r.transfer != chunk.Transfer || chunk.Sequence > r.next {
		return
	}
	if chunk.Sequence == r.next {
		n.storeChunk(g, chunk)
		r.next++
	}
	if chunk.Last {
		g.receiver = nil
		if !g.replica.ShouldInstallSnapshot(message.From, &chunk.Base) {
			return
		}
		n.installSnapshot(g, now, message)
	}
	n.sendAll([]wire.PeerMessage{{
		Kind:     wire.MessageSnapshotResponse,
		Group:    g.number,
		From:     n.ID(),
		To:       message.From,
		Term:     message.Term,
		Snapshot: &wire.SnapshotChunk{Transfer: chunk.Transfer, Sequence: chunk.Sequence},
	}})
}

func (n *Node) startReceiving(g *group, message *wire.PeerMessage) bool {
	if r := g.receiver; r != nil && r.transfer == message.Snapshot.Transfer {
		return true
	}
	if !g.replica.ShouldInstallSnapshot(message.From, &message.Snapshot.Base) {
		return false
	}
	g.receiver = &snapshotReceiver{from: message.From, transfer: message.Snapshot.Transfer}
	n.commit([]storage.Mutation{{Key: statePrefix(g.number, g.generation+1), DeletePrefix: true}}, false)
	return true
}

func (n *Node) storeChunk(g *group, chunk *wire.SnapshotChunk) {
	prefix := statePrefix(g.number, g.generation+1)
	batch := make([]storage.Mutation, 0, len(chunk.Pairs))
	for i := range chunk.Pairs {
		key := append(append([]byte{}, prefix...), chunk.Pairs[i].Key...)
		batch = append(batch, storage.Mutation{Key: key, Value: chunk.Pairs[i].Value})
	}
	if len(batch) > 0 {
		n.commit(batch, false)
	}
}

// installSnapshot makes the received generation the current state. Its sync also covers
// the chunks, which were written before it.
func (n *Node) installSnapshot(g *group, now time.Time, message *wire.PeerMessage) {
	base := message.Snapshot.Base
	g.mutex.Lock()
	defer g.mutex.Unlock()
	n.commit([]storage.Mutation{
		{Key: groupKey(g.number, sectionGeneration), Value: encodeUint64(g.generation + 1)},
		{Key: groupKey(g.number, sectionApplied), Value: encodeUint64(base.Index)},
		{Key: groupKey(g.number, sectionBase), Value: encode(&base)},
		{Key: groupKey(g.number, sectionLog), DeletePrefix: true},
		{Key: statePrefix(g.number, g.generation), DeletePrefix: true},
	}, true)
	g.generation++
	if err := g.machine.Restore(n.reader(g)); err != nil {
		panic(errors.Wrapf(err, "restore the snapshot of group %d", g.number))
	}
	g.applied.Store(base.Index)
	g.replica.InstallSnapshot(now, message.From, base)
}
