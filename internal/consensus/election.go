package consensus

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// startPreVote asks the voters whether they would grant a vote. It doesn't increase
// the term, so it cannot depose a leader (thesis 9.6).
func (r *Replica) startPreVote(now time.Time) {
	r.role = PreCandidate
	r.leader = 0
	r.votes = map[uint64]bool{r.config.ID: true}
	r.requestVotes(wire.MessagePreVote, r.term+1, false)
	r.tally(now, PreCandidate)
}

// earlyCampaignsPerHeartbeat is how often per heartbeat interval a replica that may be
// elected early starts a pre-vote. It retries because after a restart of the whole group
// the other replicas come up one by one.
const earlyCampaignsPerHeartbeat = 2

// canBeElectedEarly reports whether the replica with the given ID may be elected although a lease
// that this replica granted before its restart may still be valid. Only the holder of that lease
// may be elected early: by campaigning the holder shows that it no longer relies on the lease,
// because it restarted or stepped down. Once this replica has followed a leader again, or become
// leader itself, no replica may be elected early.
func (r *Replica) canBeElectedEarly(id uint64) bool {
	return r.priorLeaseHolder != 0 && r.priorLeaseHolder == id
}

// shouldCampaignEarly reports whether the replica should campaign before the shortest
// election timeout after its start has passed. It does if it was the leader before its
// restart, and it retries until it wins, hears from another leader, or that timeout has
// passed.
func (r *Replica) shouldCampaignEarly(now time.Time) bool {
	if !r.canBeElectedEarly(r.config.ID) || r.role == Candidate || now.Before(r.nextEarlyCampaign) {
		return false
	}
	r.nextEarlyCampaign = now.Add(r.config.HeartbeatInterval / earlyCampaignsPerHeartbeat)
	return now.Sub(r.started) < r.config.ElectionTimeout
}

// startElection requests votes in a new term. forced is set if the current leader asked for
// the election, to transfer its leadership.
func (r *Replica) startElection(now time.Time, forced bool) {
	r.role = Candidate
	r.leader = 0
	r.term++
	r.vote = r.config.ID
	r.termLeader = 0
	r.votes = map[uint64]bool{r.config.ID: true}
	r.resetElectionDeadline(now)
	r.requestVotes(wire.MessageVote, r.term, forced)
	r.tally(now, Candidate)
}

func (r *Replica) requestVotes(kind wire.MessageKind, term uint64, forced bool) {
	for _, member := range Members(&r.membership) {
		if member.ID == r.config.ID || !IsVoter(&r.membership, member.ID) {
			continue
		}
		r.sendAfterSync(wire.PeerMessage{
			Kind:    kind,
			To:      member.ID,
			Term:    term,
			Index:   r.log.lastIndex(),
			LogTerm: r.log.lastTerm(),
			Forced:  forced,
		})
	}
}

// handleVoteRequest grants at most one vote per term, and only to a candidate whose log
// is at least as up to date as this replica's (thesis 3.6.1).
func (r *Replica) handleVoteRequest(now time.Time, message *wire.PeerMessage) {
	preVote := message.Kind == wire.MessagePreVote
	canVote := r.vote == message.From || (r.vote == 0 && r.leader == 0) || (preVote && message.Term > r.term)
	upToDate := r.log.upToDate(message.Index, message.LogTerm)
	if !upToDate {
		r.voteRejectedAt = now
	}
	grant := canVote && upToDate
	response := wire.PeerMessage{Kind: wire.MessageVoteResponse, To: message.From, Reject: !grant}
	if preVote {
		response.Kind = wire.MessagePreVoteResponse
		if grant {
			response.Term = message.Term
		}
	} else if grant {
		r.vote = message.From
		r.resetElectionDeadline(now)
	}
	r.sendAfterSync(response)
}

func (r *Replica) handleVoteResponse(now time.Time, message *wire.PeerMessage, role Role) {
	if r.role != role {
		return
	}
	if role == PreCandidate && !message.Reject && message.Term != r.term+1 {
		return
	}
	r.votes[message.From] = !message.Reject
	r.tally(now, role)
}

// tally ends the pre-vote or election once it is won or can no longer be won.
func (r *Replica) tally(now time.Time, role Role) {
	won := hasQuorum(&r.membership, func(id uint64) bool { return r.votes[id] })
	switch {
	case won && role == PreCandidate:
		r.startElection(now, false)
	case won:
		r.becomeLeader(now)
	case r.electionLost():
		r.becomeFollower(now, r.term, 0)
	}
}

// electionLost reports whether the rejections make a majority impossible.
func (r *Replica) electionLost() bool {
	return !hasQuorum(&r.membership, func(id uint64) bool {
		granted, answered := r.votes[id]
		return granted || !answered
	})
}

// becomeLeader appends an empty entry: a leader may commit entries of older terms only
// together with an entry of its own term (thesis 3.6.2).
func (r *Replica) becomeLeader(now time.Time) {
	r.role = Leader
	r.leader = r.config.ID
	r.termLeader = r.config.ID
	r.priorLeaseHolder = 0
	r.leaderSince = now
	r.timeoutNowSent = false
	r.transferee = 0
	r.votes = nil
	r.nextHeartbeat = now.Add(r.config.HeartbeatInterval)
	r.progress = map[uint64]*Progress{}
	for _, member := range Members(&r.membership) {
		r.progress[member.ID] = &Progress{Next: r.log.lastIndex() + 1, lastResponse: now}
	}
	r.termStartIndex = r.log.lastIndex() + 1
	r.appendEntry(wire.EntryNoop, nil)
	r.broadcast(false)
}
