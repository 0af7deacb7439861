package consensus

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// Ready holds the work that the caller must do, in this order: send
// MessagesBeforeSync; store HardState, the removal of the entries from TruncateFrom to
// TruncateTo, and Entries, with a sync; send MessagesAfterSync; apply Committed; call
// Advance.
type Ready struct {
	MessagesBeforeSync []wire.PeerMessage
	HardState          *wire.HardState
	TruncateFrom       uint64
	TruncateTo         uint64
	Entries            []wire.LogEntry
	MessagesAfterSync  []wire.PeerMessage
	Committed          []wire.LogEntry
	// SnapshotTargets lists the IDs of the followers that need a snapshot.
	SnapshotTargets []uint64
}

// Empty reports whether there is no work.
func (r *Ready) Empty() bool {
	return len(r.MessagesBeforeSync)+len(r.MessagesAfterSync)+len(r.Entries)+len(r.Committed)+len(r.SnapshotTargets) == 0 &&
		r.HardState == nil && r.TruncateFrom == 0
}

// maxApplyBytes limits the committed entries of one Ready.
const maxApplyBytes = 16 << 20

// Ready returns the work that arose since the last call.
func (r *Replica) Ready() Ready {
	ready := Ready{
		MessagesBeforeSync: r.messagesBeforeSync,
		MessagesAfterSync:  r.messagesAfterSync,
		TruncateFrom:       r.truncateFrom,
		TruncateTo:         r.truncateTo,
		SnapshotTargets:    r.snapshotTargets,
		Entries:            r.unpersistedEntries(),
	}
	if hard := (wire.HardState{Term: r.term, Vote: r.vote, Leader: r.termLeader}); hard != r.persistedHardState {
		ready.HardState = &hard
		r.persistedHardState = hard
	}
	if r.log.commit > r.log.applied {
		ready.Committed = r.log.slice(r.log.applied+1, r.log.commit, maxApplyBytes)
	}
	r.messagesBeforeSync, r.messagesAfterSync, r.snapshotTargets = nil, nil, nil
	r.truncateFrom, r.truncateTo = 0, 0
	return ready
}

func (r *Replica) unpersistedEntries() []wire.LogEntry {
	if r.log.persisted == r.log.lastIndex() {
		return nil
	}
	first := r.log.persisted - r.log.base.Index
	return r.log.entries[first:len(r.log.entries):len(r.log.entries)]
}

// Advance records that the caller has done all the work of a Ready.
func (r *Replica) Advance(now time.Time, done *Ready) {
	r.now = now
	if count := len(done.Entries); count > 0 {
		r.log.persisted = done.Entries[count-1].Index
	}
	if count := len(done.Committed); count > 0 {
		r.log.applied = done.Committed[count-1].Index
	}
	if r.role == Leader {
		r.advanceCommit()
	}
}
