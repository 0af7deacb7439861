package consensus

import (
	"slices"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// appendEntry adds an entry to a leader's log.
func (r *Replica) appendEntry(kind wire.EntryKind, data []byte) {
	entry := wire.LogEntry{Index: r.log.lastIndex() + 1, Term: r.term, Kind: kind, Data: data}
	r.log.push([]wire.LogEntry{entry})
	if kind == wire.EntryMembership {
		r.adoptMembership()
	}
}

// broadcast sends every follower what it may be sent now; with always set also
// those to whom there is nothing to send, as a heartbeat.
func (r *Replica) broadcast(always bool) {
	for _, member := range Members(&r.membership) {
		if member.ID != r.config.ID {
			r.sendAppend(member.ID, always)
		}
	}
}

// sendAppend sends a follower entries that it lacks. With always set it sends a
// message in any case, as a heartbeat.
func (r *Replica) sendAppend(to uint64, always bool) {
	progress := r.progress[to]
	if progress.State == Snapshot {
		if always {
			r.sendNow(wire.PeerMessage{Kind: wire.MessageHeartbeat, To: to})
		}
		return
	}
	if progress.State == Probe && progress.waiting && !always {
		return
	}
	previous := progress.Next - 1
	previousTerm, known := r.log.term(previous)
	if !known {
		progress.State = Snapshot
		r.snapshotsTo = append(r.snapshotsTo, to)
		r.sendNow(wire.PeerMessage{Kind: wire.MessageHeartbeat, To: to})
		return
	}
	entries := r.entriesFor(progress)
	if len(entries) == 0 && !always {
		return
	}
	r.sendNow(wire.PeerMessage{
		Kind:    wire.MessageAppend,
		To:      to,
		Index:   previous,
		LogTerm: previousTerm,
		Commit:  r.log.commit,
		Entries: entries,
	})
	if progress.State == Probe {
		progress.waiting = true
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

// takeAppend is a follower's part of replication (thesis 3.5).
func (r *Replica) takeAppend(message *wire.PeerMessage) {
	response := wire.PeerMessage{Kind: wire.MessageAppendResponse, To: message.From, SentNanos: message.SentNanos}
	switch {
	case message.Index < r.log.commit:
		response.Index = r.log.commit
	case !r.log.matches(message.Index, message.LogTerm):
		response.Reject = true
		response.Index = message.Index
		response.Hint = r.agreeableIndex(message.Index, message.LogTerm)
	default:
		last := r.takeEntries(message)
		r.log.commit = max(r.log.commit, min(message.Commit, last))
		response.Index = last
	}
	r.sendDurable(response)
}

// agreeableIndex returns the last index at or before index whose term is not
// newer than term: the logs can't agree after it.
func (r *Replica) agreeableIndex(index, term uint64) uint64 {
	hint := min(index, r.log.lastIndex())
	for hint > r.log.commit {
		known, ok := r.log.term(hint)
		if !ok || known <= term {
			break
		}
		hint--
	}
	return hint
}

func (r *Replica) takeEntries(message *wire.PeerMessage) uint64 {
	last := message.Index + uint64(len(message.Entries))
	conflict := r.log.firstConflict(message.Entries)
	if conflict == 0 {
		return last
	}
	if conflict <= r.log.lastIndex() {
		r.noteTruncation(conflict, r.log.lastIndex())
		r.log.truncate(conflict)
	}
	fresh := message.Entries[conflict-message.Index-1:]
	r.log.push(fresh)
	// Finding the newest membership looks through the whole log.
	if conflict <= r.membershipIndex || holdsMembership(fresh) {
		r.adoptMembership()
	}
	return last
}

func holdsMembership(entries []wire.LogEntry) bool {
	return slices.ContainsFunc(entries, func(entry wire.LogEntry) bool { return entry.Kind == wire.EntryMembership })
}

// noteTruncation remembers which stored entries must be removed.
func (r *Replica) noteTruncation(first, last uint64) {
	if r.truncateFrom == 0 || first < r.truncateFrom {
		r.truncateFrom = first
	}
	r.truncateTo = max(r.truncateTo, last)
}

func (r *Replica) answerHeartbeat(message *wire.PeerMessage) {
	r.sendDurable(wire.PeerMessage{Kind: wire.MessageHeartbeatResponse, To: message.From, SentNanos: message.SentNanos})
}

// heard takes in that a follower has answered, and returns its progress.
func (r *Replica) heard(message *wire.PeerMessage) *Progress {
	if r.role != Leader {
		return nil
	}
	progress := r.progress[message.From]
	if progress == nil {
		return nil
	}
	progress.heardAt = r.now
	// Answers to an old term's messages carry none of this leader's times.
	if sent := r.started.Add(time.Duration(message.SentNanos)); message.SentNanos > 0 && sent.After(progress.ackedAt) {
		progress.ackedAt = sent
	}
	return progress
}

func (r *Replica) takeHeartbeatResponse(message *wire.PeerMessage) { r.heard(message) }

func (r *Replica) takeAppendResponse(message *wire.PeerMessage) {
	progress := r.heard(message)
	if progress == nil {
		return
	}
	if message.Reject {
		if progress.refuse(message.Index, message.Hint) {
			r.sendAppend(message.From, false)
		}
		return
	}
	wasProbe := progress.State == Probe
	news := progress.acknowledge(message.Index)
	if progress.State == Snapshot {
		if !r.coveredByLog(progress) {
			return
		}
		progress.becomeProbe()
		wasProbe = true
	}
	if wasProbe {
		progress.becomeReplicate()
	}
	if news {
		r.advanceCommit()
	}
	if r.role != Leader || r.progress[message.From] == nil {
		// The commit ended this leadership, or the sender's membership.
		return
	}
	r.sendAppend(message.From, false)
	r.continueTransfer(message.From)
}

// coveredByLog reports whether the follower can go on from the log alone.
func (r *Replica) coveredByLog(progress *Progress) bool {
	_, known := r.log.term(progress.Match)
	return known
}

// advanceCommit commits what a majority has stored, provided that it is an entry
// of the leader's own term (thesis 3.6.2).
func (r *Replica) advanceCommit() {
	index := uint64(quorumValue(&r.membership, func(id uint64) int64 { return int64(r.storedAt(id)) }))
	if index <= r.log.commit {
		return
	}
	if term, _ := r.log.term(index); term != r.term {
		return
	}
	r.log.commit = index
	r.leaveJoint()
	if r.membershipIndex <= r.log.commit && len(r.membership.Outgoing) == 0 && !IsVoter(&r.membership, r.config.ID) {
		// The leader has been replaced by the change that it has committed, or is a learner: then
		// a voter has its log now, and what it refused before is no reason to stand again.
		r.refusedAt = time.Time{}
		r.becomeFollower(r.now, r.term, 0)
	}
}

func (r *Replica) storedAt(id uint64) uint64 {
	if id == r.config.ID {
		return r.log.persisted
	}
	if progress := r.progress[id]; progress != nil {
		return progress.Match
	}
	return 0
}
