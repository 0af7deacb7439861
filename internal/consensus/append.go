package consensus

import (
	"slices"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// appendEntry appends an entry to the log of the leader.
func (r *Replica) appendEntry(kind wire.EntryKind, data []byte) {
	entry := wire.LogEntry{Index: r.log.lastIndex() + 1, Term: r.term, Kind: kind, Data: data}
	r.log.push([]wire.LogEntry{entry})
	if kind == wire.EntryMembership {
		r.adoptMembership()
	}
}

// broadcast sends pending entries to every other member. If always is set, members
// without pending entries receive a message too, as a heartbeat.
func (r *Replica) broadcast(always bool) {
	for _, member := range Members(&r.membership) {
		if member.ID != r.config.ID {
			r.sendAppend(member.ID, always)
		}
	}
}

// sendAppend sends a follower the next entries that it lacks. If always is set, it
// sends a message even without entries, as a heartbeat.
func (r *Replica) sendAppend(to uint64, always bool) {
	progress := r.progress[to]
	if progress.State == Snapshot {
		if always {
			r.sendBeforeSync(wire.PeerMessage{Kind: wire.MessageHeartbeat, To: to})
		}
		return
	}
	if progress.State == Probe && progress.probeSent && !always {
		return
	}
	previous := progress.Next - 1
	previousTerm, known := r.log.term(previous)
	if !known {
		progress.State = Snapshot
		r.snapshotTargets = append(r.snapshotTargets, to)
		r.sendBeforeSync(wire.PeerMessage{Kind: wire.MessageHeartbeat, To: to})
		return
	}
	entries := r.entriesFor(progress)
	if len(entries) == 0 && !always {
		return
	}
	r.sendBeforeSync(wire.PeerMessage{
		Kind:    wire.MessageAppend,
		To:      to,
		Index:   previous,
		LogTerm: previousTerm,
		Commit:  r.log.commit,
		Entries: entries,
	})
	if progress.State == Probe {
		progress.probeSent = true
		return
	}
	progress.Next += uint64(len(entries))
}

func (r *Replica) entriesFor(progress *Progress) []wire.LogEntry {
	inflight := r.log.bytesBetween(progress.Match, progress.Next-1)
	if progress.State == Replicate && inflight >= r.config.MaxInflightBytes {
		return nil
	}
	return r.log.slice(progress.Next, r.log.lastIndex(), r.config.MaxAppendBytes)
}

// handleAppend processes an append message as a follower (thesis 3.5).
func (r *Replica) handleAppend(message *wire.PeerMessage) {
	response := wire.PeerMessage{Kind: wire.MessageAppendResponse, To: message.From, SentNanos: message.SentNanos}
	switch {
	case message.Index < r.log.commit:
		response.Index = r.log.commit
	case !r.log.matches(message.Index, message.LogTerm):
		response.Reject = true
		response.Index = message.Index
		response.Hint = r.conflictHint(message.Index, message.LogTerm)
	default:
		last := r.acceptEntries(message)
		r.log.commit = max(r.log.commit, min(message.Commit, last))
		response.Index = last
	}
	r.sendAfterSync(response)
}

// conflictHint returns the last index at or before index whose term is at most
// term, but not less than the commit index. The logs cannot match after the hint.
func (r *Replica) conflictHint(index, term uint64) uint64 {
	hint := min(index, r.log.lastIndex())
	for hint > r.log.commit {
		hintTerm, ok := r.log.term(hint)
		if !ok || hintTerm <= term {
			break
		}
		hint--
	}
	return hint
}

func (r *Replica) acceptEntries(message *wire.PeerMessage) uint64 {
	last := message.Index + uint64(len(message.Entries))
	conflict := r.log.firstConflict(message.Entries)
	if conflict == 0 {
		return last
	}
	if conflict <= r.log.lastIndex() {
		r.recordTruncation(conflict, r.log.lastIndex())
		r.log.truncate(conflict)
	}
	newEntries := message.Entries[conflict-message.Index-1:]
	r.log.push(newEntries)
	// adoptMembership scans the whole log, so call it only if the membership may have changed.
	if conflict <= r.membershipIndex || containsMembership(newEntries) {
		r.adoptMembership()
	}
	return last
}

func containsMembership(entries []wire.LogEntry) bool {
	return slices.ContainsFunc(entries, func(entry wire.LogEntry) bool { return entry.Kind == wire.EntryMembership })
}

// recordTruncation extends the range of stored entries that the next Ready removes.
func (r *Replica) recordTruncation(first, last uint64) {
	if r.truncateFrom == 0 || first < r.truncateFrom {
		r.truncateFrom = first
	}
	r.truncateTo = max(r.truncateTo, last)
}

func (r *Replica) handleHeartbeat(message *wire.PeerMessage) {
	r.sendAfterSync(wire.PeerMessage{Kind: wire.MessageHeartbeatResponse, To: message.From, SentNanos: message.SentNanos})
}

// recordResponse records that a follower responded, and returns the follower's
// progress; nil if this replica is not the leader or the sender is not a member.
func (r *Replica) recordResponse(message *wire.PeerMessage) *Progress {
	if r.role != Leader {
		return nil
	}
	progress := r.progress[message.From]
	if progress == nil {
		return nil
	}
	progress.lastResponse = r.now
	// The response to a message of an older term carries no SentNanos, because such a response does
	// not show that the follower has heard from this leader in the current term.
	if sent := r.started.Add(time.Duration(message.SentNanos)); message.SentNanos > 0 && sent.After(progress.ackedSendTime) {
		progress.ackedSendTime = sent
	}
	return progress
}

func (r *Replica) handleHeartbeatResponse(message *wire.PeerMessage) { r.recordResponse(message) }

func (r *Replica) handleAppendResponse(message *wire.PeerMessage) {
	progress := r.recordResponse(message)
	if progress == nil {
		return
	}
	if message.Reject {
		if progress.handleReject(message.Index, message.Hint) {
			r.sendAppend(message.From, false)
		}
		return
	}
	wasProbe := progress.State == Probe
	advanced := progress.acknowledge(message.Index)
	if progress.State == Snapshot {
		if !r.canResumeFromLog(progress) {
			return
		}
		progress.becomeProbe()
		wasProbe = true
	}
	if wasProbe {
		progress.becomeReplicate()
	}
	if advanced {
		r.advanceCommit()
	}
	if r.role != Leader || r.progress[message.From] == nil {
		// Committing the entry ended this leadership or the sender's membership.
		return
	}
	r.sendAppend(message.From, false)
	r.continueTransfer(message.From)
}

// canResumeFromLog reports whether the log still holds the entry at the follower's
// match index, so that the follower needs no snapshot.
func (r *Replica) canResumeFromLog(progress *Progress) bool {
	_, known := r.log.term(progress.Match)
	return known
}

// advanceCommit advances the commit index to the last entry that a majority has
// stored, if that entry is of the leader's own term (thesis 3.6.2).
func (r *Replica) advanceCommit() {
	index := uint64(quorumValue(&r.membership, func(id uint64) int64 { return int64(r.storedIndex(id)) }))
	if index <= r.log.commit {
		return
	}
	if term, _ := r.log.term(index); term != r.term {
		return
	}
	r.log.commit = index
	r.leaveJoint()
	if r.membershipIndex <= r.log.commit && len(r.membership.Outgoing) == 0 && !IsVoter(&r.membership, r.config.ID) {
		// Either the committed change removed this leader, or the leader is a learner. A voter now
		// has this replica's whole log, so the earlier rejection of a candidate no longer justifies
		// a campaign by this replica.
		r.voteRejectedAt = time.Time{}
		r.becomeFollower(r.now, r.term, 0)
	}
}

func (r *Replica) storedIndex(id uint64) uint64 {
	if id == r.config.ID {
		return r.log.persisted
	}
	if progress := r.progress[id]; progress != nil {
		return progress.Match
	}
	return 0
}
