package consensus

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// Ready is what the caller must do, in this order: send Immediate; store
// HardState, the removal of entries from TruncateFrom to TruncateTo, and
// Entries, with a sync; send Durable; apply Committed; call Advance.
type Ready struct {
	MessagesBeforeSync []wire.PeerMessage
	HardState          *wire.HardState
	TruncateFrom       uint64
	TruncateTo         uint64
	Entries            []wire.LogEntry
	MessagesAfterSync  []wire.PeerMessage
	Committed          []wire.LogEntry
	// SnapshotTargets names the followers that need a snapshot.
	SnapshotTargets []uint64
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return len(r.MessagesBeforeSync)+len(r.MessagesAfterSync)+len(r.Entries)+len(r.Committed)+len(r.SnapshotTargets) == 0 &&
		r.HardState == nil && r.TruncateFrom == 0
}

// maxApplyBytes bounds what is applied between two rounds.
const maxApplyBytes = 16 << 20

// Ready returns what is to be done since the last call.
func (r *Replica) Ready() Ready {
	ready := Ready{
		MessagesBeforeSync: r.immediate,
		MessagesAfterSync:  r.durable,
		TruncateFrom:       r.truncateFrom,
		TruncateTo:         r.truncateTo,
		SnapshotTargets:    r.snapshotsTo,
		Entries:            r.unstored(),
	}
	if hard := (wire.HardState{Term: r.term, Vote: r.vote, Leader: r.followed}); hard != r.storedHard {
		ready.HardState = &hard
		r.storedHard = hard
	}
	if r.log.commit > r.log.applied {
		ready.Committed = r.log.slice(r.log.applied+1, r.log.commit, maxApplyBytes)
	}
	r.immediate, r.durable, r.snapshotsTo = nil, nil, nil
	r.truncateFrom, r.truncateTo = 0, 0
	return ready
}

func (r *Replica) unstored() []wire.LogEntry {
	if r.log.persisted == r.log.lastIndex() {
		return nil
	}
	first := r.log.persisted - r.log.base.Index
	return r.log.entries[first:len(r.log.entries):len(r.log.entries)]
}

// Advance takes in that everything of the Ready has been done.
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
