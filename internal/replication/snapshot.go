package replication

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	snapshotChunkBytes = 256 << 10
	// chunkTimeout is when an unanswered chunk is sent again, transferTimeout
	// when the transfer is given up.
	chunkTimeout    = time.Second
	transferTimeout = 10 * time.Second
)

// sender is the leader's side of one snapshot transfer. One chunk is on its way
// at a time.
type sender struct {
	to       uint64
	transfer uint64
	base     wire.LogBase
	view     storage.Snapshot
	prefix   []byte
	cursor   []byte
	chunk    wire.SnapshotChunk
	sentAt   time.Time
	heardAt  time.Time
}

// receiver is a follower's side of a transfer, whose chunks go into the next
// generation of the state.
type receiver struct {
	from     uint64
	transfer uint64
	next     uint64
}

func (n *Node) beginSnapshot(g *group, to uint64, now time.Time) {
	if g.sending[to] != nil {
		return
	}
	n.transferID++
	prefix := statePrefix(g.number, g.generation)
	s := &sender{
		to:       to,
		transfer: uint64(now.UnixNano()) + n.transferID,
		base:     g.replica.AppliedBase(),
		view:     n.options.Store.Snapshot(),
		prefix:   prefix,
		cursor:   prefix,
		heardAt:  now,
	}
	g.sending[to] = s
	s.nextChunk(0)
	n.sendChunk(g, s, now)
}

// nextChunk reads the chunk with the given number from the view.
func (s *sender) nextChunk(sequence uint64) {
	s.chunk = wire.SnapshotChunk{Base: s.base, Transfer: s.transfer, Sequence: sequence, Last: true}
	size := 0
	err := s.view.Scan(s.cursor, storage.PrefixEnd(s.prefix), func(key, value []byte) bool {
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

func (n *Node) sendChunk(g *group, s *sender, now time.Time) {
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

// tickSenders sends lost chunks again and ends the transfers that lead nowhere.
func (n *Node) tickSenders(g *group, now time.Time) {
	for _, to := range sortedKeys(g.sending) {
		s := g.sending[to]
		switch {
		case !g.replica.AwaitsSnapshot(s.to) || now.Sub(s.heardAt) > transferTimeout:
			n.endSnapshot(g, s)
		case now.Sub(s.sentAt) > chunkTimeout:
			n.sendChunk(g, s, now)
		}
	}
}

func (n *Node) endSnapshot(g *group, s *sender) {
	delete(g.sending, s.to)
	if err := s.view.Close(); err != nil {
		panic(errors.Wrap(err, "the store can't be read"))
	}
	g.replica.SnapshotTransferEnded(s.to)
}

func (n *Node) takeChunkResponse(g *group, now time.Time, message *wire.PeerMessage) {
	s := g.sending[message.From]
	if s == nil || message.Snapshot == nil || message.Snapshot.Transfer != s.transfer || message.Snapshot.Sequence != s.chunk.Sequence {
		return
	}
	s.heardAt = now
	if s.chunk.Last {
		n.endSnapshot(g, s)
		return
	}
	s.nextChunk(s.chunk.Sequence + 1)
	n.sendChunk(g, s, now)
}

// takeChunk stores a chunk of a snapshot, and puts the snapshot in the state's
// place once it is whole.
func (n *Node) takeChunk(g *group, now time.Time, message *wire.PeerMessage) {
	chunk := message.Snapshot
	if chunk == nil || !g.replica.IsFromLeader(message) {
		return
	}
	if chunk.Sequence == 0 && !n.beginReceiving(g, message) {
		return
	}
	r := g.receiving
	if r == nil || r.from != message.From || r.transfer != chunk.Transfer || chunk.Sequence > r.next {
		return
	}
	if chunk.Sequence == r.next {
		n.storeChunk(g, chunk)
		r.next++
	}
	if chunk.Last {
		g.receiving = nil
		if !g.replica.ShouldInstallSnapshot(message.From, &chunk.Base) {
			return
		}
		n.install(g, now, message)
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

func (n *Node) beginReceiving(g *group, message *wire.PeerMessage) bool {
	if r := g.receiving; r != nil && r.transfer == message.Snapshot.Transfer {
		return true
	}
	if !g.replica.ShouldInstallSnapshot(message.From, &message.Snapshot.Base) {
		return false
	}
	g.receiving = &receiver{from: message.From, transfer: message.Snapshot.Transfer}
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

// install makes the received generation the state. The sync covers the chunks,
// which were stored before it.
func (n *Node) install(g *group, now time.Time, message *wire.PeerMessage) {
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
		panic(errors.Wrapf(err, "the snapshot of group %d does not restore", g.number))
	}
	g.applied.Store(base.Index)
	g.replica.InstallSnapshot(now, message.From, base)
}
