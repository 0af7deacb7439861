package consensus

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// LogBytes returns the size in bytes of the log in memory.
func (r *Replica) LogBytes() int { return r.log.bytes() }

// AppliedBase returns the index, term and membership at the last applied entry. It
// is the base of a snapshot of the state machine.
func (r *Replica) AppliedBase() wire.LogBase {
	term, _ := r.log.term(r.log.applied)
	membership, _ := r.log.membershipAt(r.log.applied)
	return wire.LogBase{Index: r.log.applied, Term: term, Membership: membership}
}

// Base returns the base of the log: the position of the last compacted entry.
func (r *Replica) Base() wire.LogBase { return r.log.base }

// Compact drops the applied entries up to index; it keeps those that are not applied yet. It
// returns the new base, which the caller must store.
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

// CompactionPoint returns the index to pass to Compact so that about keepBytes of the
// log remain.
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

// IsFromLeader reports whether this replica is a follower and the message comes from
// its leader in the current term.
func (r *Replica) IsFromLeader(message *wire.PeerMessage) bool {
	return r.role == Follower && message.Term == r.term && message.From == r.leader
}

// ShouldInstallSnapshot reports whether a snapshot with the given base is needed. None is needed if
// the log already holds the entry at the base: the entries after it may have been counted towards a
// majority and must be kept (thesis 5.3). In that case the replica sends the leader its commit
// index instead.
func (r *Replica) ShouldInstallSnapshot(from uint64, base *wire.LogBase) bool {
	if base.Index > r.log.commit && !r.log.matches(base.Index, base.Term) {
		return true
	}
	if base.Index > r.log.commit {
		r.log.commit = base.Index
	}
	r.sendAfterSync(wire.PeerMessage{Kind: wire.MessageAppendResponse, To: from, Index: r.log.commit})
	return false
}

// InstallSnapshot replaces the log by the base of a snapshot that has been stored,
// and acknowledges it to the leader.
func (r *Replica) InstallSnapshot(now time.Time, from uint64, base wire.LogBase) {
	r.now = now
	r.log = newLog(base, nil, base.Index)
	r.truncateFrom, r.truncateTo = 0, 0
	r.adoptMembership()
	r.sendAfterSync(wire.PeerMessage{Kind: wire.MessageAppendResponse, To: from, Index: base.Index})
}

// AwaitsSnapshot reports whether this replica is the leader and the follower must
// install a snapshot before it can receive entries.
func (r *Replica) AwaitsSnapshot(to uint64) bool {
	progress := r.progress[to]
	return r.role == Leader && progress != nil && progress.State == Snapshot
}

// SnapshotTransferEnded records that the snapshot transfer to the follower ended,
// successfully or not. The follower's response to the next append shows which.
func (r *Replica) SnapshotTransferEnded(to uint64) {
	if r.AwaitsSnapshot(to) {
		r.progress[to].becomeProbe()
	}
}
