package consensus

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// campaign asks whether votes would be given, without disturbing anyone
// (thesis 9.6).
func (r *Replica) campaign(now time.Time) {
	r.role = PreCandidate
	r.leader = 0
	r.votes = map[uint64]bool{r.config.ID: true}
	r.askVotes(wire.MessagePreVote, r.term+1, false)
	r.tally(now, PreCandidate)
}

// earlyTries is how often a replica that may be elected early asks for votes within a
// heartbeat interval: after a start of all at once the others come one by one.
const earlyTries = 2

// mayPrecede reports whether a replica may be elected before the time is over for which a
// lease may be in force that this one granted in its last life. That lease can only be the
// holder's, who stands for election and so does not count on it any more: it began anew, or
// it stepped down. Nobody else may, and nobody once another leader has been followed.
func (r *Replica) mayPrecede(id uint64) bool { return r.holder != 0 && r.holder == id }

// standsEarly reports whether the replica is to stand for election before the shortest
// election timeout after its start: it led before, and asks again until it has won, heard
// another leader, or waited as long as all others.
func (r *Replica) standsEarly(now time.Time) bool {
	if !r.mayPrecede(r.config.ID) || r.role == Candidate || now.Before(r.earlyDue) {
		return false
	}
	r.earlyDue = now.Add(r.config.HeartbeatInterval / earlyTries)
	return now.Sub(r.started) < r.config.ElectionTimeout
}

// stand asks for votes in a new term. A forced candidate was named by the leader
// itself.
func (r *Replica) stand(now time.Time, forced bool) {
	r.role = Candidate
	r.leader = 0
	r.term++
	r.vote = r.config.ID
	r.followed = 0
	r.votes = map[uint64]bool{r.config.ID: true}
	r.resetElectionDeadline(now)
	r.askVotes(wire.MessageVote, r.term, forced)
	r.tally(now, Candidate)
}

func (r *Replica) askVotes(kind wire.MessageKind, term uint64, forced bool) {
	for _, member := range Members(&r.membership) {
		if member.ID == r.config.ID || !IsVoter(&r.membership, member.ID) {
			continue
		}
		r.sendDurable(wire.PeerMessage{
			Kind:    kind,
			To:      member.ID,
			Term:    term,
			Index:   r.log.lastIndex(),
			LogTerm: r.log.lastTerm(),
			Forced:  forced,
		})
	}
}

// answerVote gives at most one vote per term, and only to a candidate whose log
// is at least as complete (thesis 3.6.1).
func (r *Replica) answerVote(now time.Time, message *wire.PeerMessage) {
	preVote := message.Kind == wire.MessagePreVote
	free := r.vote == message.From || (r.vote == 0 && r.leader == 0) || (preVote && message.Term > r.term)
	complete := r.log.upToDate(message.Index, message.LogTerm)
	if !complete {
		r.refusedAt = now
	}
	grant := free && complete
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
	r.sendDurable(response)
}

func (r *Replica) countVote(now time.Time, message *wire.PeerMessage, role Role) {
	if r.role != role {
		return
	}
	if role == PreCandidate && !message.Reject && message.Term != r.term+1 {
		return
	}
	r.votes[message.From] = !message.Reject
	r.tally(now, role)
}

// tally ends the election once a majority has decided.
func (r *Replica) tally(now time.Time, role Role) {
	won := quorumOf(&r.membership, func(id uint64) bool { return r.votes[id] })
	switch {
	case won && role == PreCandidate:
		r.stand(now, false)
	case won:
		r.becomeLeader(now)
	case r.lost():
		r.becomeFollower(now, r.term, 0)
	}
}

// lost reports whether so many have refused that no majority can be reached.
func (r *Replica) lost() bool {
	return !quorumOf(&r.membership, func(id uint64) bool {
		granted, answered := r.votes[id]
		return granted || !answered
	})
}

// becomeLeader opens the term with an empty entry: older entries count as
// committed only with one of the leader's own (thesis 3.6.2).
func (r *Replica) becomeLeader(now time.Time) {
	r.role = Leader
	r.leader = r.config.ID
	r.followed = r.config.ID
	r.holder = 0
	r.leaderSince = now
	r.yielded = false
	r.transferee = 0
	r.votes = nil
	r.heartbeatDue = now.Add(r.config.HeartbeatInterval)
	r.progress = map[uint64]*Progress{}
	for _, member := range Members(&r.membership) {
		r.progress[member.ID] = &Progress{Next: r.log.lastIndex() + 1, heardAt: now}
	}
	r.termStart = r.log.lastIndex() + 1
	r.appendEntry(wire.EntryNoop, nil)
	r.broadcast(false)
}
