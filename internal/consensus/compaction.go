package consensus

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// LogBytes returns the size of the log in memory.
func (r *Replica) LogBytes() int { return r.log.bytes() }

// AppliedBase describes the position of the state machine, for compaction and
// snapshots.
func (r *Replica) AppliedBase() wire.LogBase {
	term, _ := r.log.term(r.log.applied)
	membership, _ := r.log.membershipAt(r.log.applied)
	return wire.LogBase{Index: r.log.applied, Term: term, Membership: membership}
}

// Base returns the position at which the log begins.
func (r *Replica) Base() wire.LogBase { return r.log.base }

// Compact drops the entries up to the index, which must be applied, and returns
// the new base for storing.
func (r *Replica) Compact(index uint64) wire.LogBase {
	index = min(index, r.log.applied)
	if index <= r.log.base.Index {
		return r.log.base
	}
	term, _ := r.log.term(index)
	membership, _ := r.log.membershipAt(index)
	r.log.compact(wire.LogBase{Index: index, Term: term, Membership: membership})
	return r.log.base
}

// CompactionPoint returns the index up to which the log may be dropped so that
// about keepBytes of it remain.
func (r *Replica) CompactionPoint(keepBytes int) uint64 {
	excess := r.log.bytes() - keepBytes
	if excess <= 0 {
		return r.log.base.Index
	}
	position := 0
	for position < len(r.log.sizes) && r.log.sizes[position] <= excess {
		position++
	}
	return min(r.log.base.Index+uint64(position), r.log.applied)
}

// IsFromLeader reports whether the sender leads this replica in the current term.
func (r *Replica) IsFromLeader(message *wire.PeerMessage) bool {
	return r.role == Follower && message.Term == r.term && message.From == r.leader
}

// ShouldInstallSnapshot reports whether a snapshot with the base is needed. Where the
// log holds the base's entry it is not: the entries after it may have been
// counted for a majority and must be kept (thesis 5.3). The leader is told how
// far the log reaches instead.
func (r *Replica) ShouldInstallSnapshot(from uint64, base *wire.LogBase) bool {
	if base.Index > r.log.commit && !r.log.matches(base.Index, base.Term) {
		return true
	}
	if base.Index > r.log.commit {
		r.log.commit = base.Index
	}
	r.sendDurable(wire.PeerMessage{Kind: wire.MessageAppendResponse, To: from, Index: r.log.commit})
	return false
}

// InstallSnapshot replaces the log by the base of a snapshot that has been
// stored, and tells the leader.
func (r *Replica) InstallSnapshot(now time.Time, from uint64, base wire.LogBase) {
	r.now = now
	r.log = newLog(base, nil, base.Index)
	r.truncateFrom, r.truncateTo = 0, 0
	r.adoptMembership()
	r.sendDurable(wire.PeerMessage{Kind: wire.MessageAppendResponse, To: from, Index: base.Index})
}

// AwaitsSnapshot reports whether a leader waits for the follower to take in a
// snapshot.
func (r *Replica) AwaitsSnapshot(to uint64) bool {
	progress := r.progress[to]
	return r.role == Leader && progress != nil && progress.State == Snapshot
}

// SnapshotTransferEnded takes in that the transfer to the follower is over. Whether it
// helped shows by the next append.
func (r *Replica) SnapshotTransferEnded(to uint64) {
	if r.AwaitsSnapshot(to) {
		r.progress[to].becomeProbe()
	}
}
