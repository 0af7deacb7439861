package consensus

import (
	"strings"
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Role is the role of a replica in its group.
type Role uint8

const (
	// Follower receives entries from a leader.
	Follower Role = iota
	// PreCandidate asks the voters whether it could win an election.
	PreCandidate
	// Candidate requests votes.
	Candidate
	// Leader appends entries, replicates them and advances the commit index.
	Leader
)

// String returns the role's name as written to logs.
func (r Role) String() string {
	return [...]string{"follower", "pre_candidate", "candidate", "leader"}[r]
}

// Random is the caller's source of random numbers; *rand.Rand implements it.
type Random interface {
	// IntN returns a number from 0 (inclusive) to n (exclusive).
	IntN(n int) int
}

// Config holds the settings of a replica.
type Config struct {
	// ID is the identity of the replica's storage.
	ID uint64
	// Group is the number of the group, set in every message that the replica sends.
	Group int
	// ElectionTimeout is the shortest time without a leader after which a replica
	// campaigns. The actual time is random, up to twice as long.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between a leader's heartbeats.
	HeartbeatInterval time.Duration
	// MaxAppendBytes limits the size of the entries in one message. MaxInflightBytes limits the
	// size of the entries that were sent to one follower and are not yet acknowledged.
	MaxAppendBytes   int
	MaxInflightBytes int
	Random           Random
}

// PersistedState is the state of a replica as read from storage.
type PersistedState struct {
	HardState wire.HardState
	Base      wire.LogBase
	Entries   []wire.LogEntry
	// AppliedIndex is the index of the last entry applied to the stored state.
	AppliedIndex uint64
}

// Replica is one replica of a group.
type Replica struct {
	config Config
	log    *replicaLog

	term uint64
	vote uint64
	// termLeader is the ID of the leader of term: the one that this replica followed, or
	// itself. It is zero if none is known yet.
	termLeader         uint64
	persistedHardState wire.HardState
	role               Role
	leader             uint64

	membership      wire.Membership
	membershipIndex uint64

	// priorLeaseHolder is the ID of the only replica that may hold a lease which this replica
	// granted before its restart. It is zero if that replica is not known, or if this replica has
	// followed a leader or become leader since.
	priorLeaseHolder uint64
	// nextEarlyCampaign is the earliest time of the next early campaign (shouldCampaignEarly).
	nextEarlyCampaign time.Time
	started           time.Time
	lastContact       time.Time
	electionDeadline  time.Time
	// voteRejectedAt is when this replica last rejected a candidate because this replica's own log
	// was more up to date.
	voteRejectedAt time.Time

	votes map[uint64]bool

	// The fields from here to timeoutNowSent are used by a leader only.
	progress         map[uint64]*Progress
	termStartIndex   uint64
	leaderSince      time.Time
	nextHeartbeat    time.Time
	transferee       uint64
	transferDeadline time.Time
	timeoutNowSent   bool
	now              time.Time

	messagesBeforeSync []wire.PeerMessage
	messagesAfterSync  []wire.PeerMessage
	truncateFrom       uint64
	truncateTo         uint64
	snapshotTargets    []uint64
}

// New returns a replica in the state read from storage. Its start counts as contact with
// a leader, so that it doesn't help to elect another leader while a lease that it granted
// before the restart may be valid. Only the holder of that lease may be elected earlier;
// see canBeElectedEarly.
func New(config Config, restored PersistedState, now time.Time) *Replica {
	r := &Replica{
		config:             config,
		log:                newLog(restored.Base, restored.Entries, restored.AppliedIndex),
		term:               restored.HardState.Term,
		vote:               restored.HardState.Vote,
		termLeader:         restored.HardState.Leader,
		priorLeaseHolder:   restored.HardState.Leader,
		persistedHardState: restored.HardState,
		started:            now,
		lastContact:        now,
		now:                now,
	}
	r.adoptMembership()
	r.resetElectionDeadline(now)
	return r
}

// Bootstrap gives a replica with an empty log its first membership.
func (r *Replica) Bootstrap(now time.Time, membership wire.Membership) {
	r.now = now
	r.log = newLog(wire.LogBase{Membership: membership}, nil, 0)
	r.adoptMembership()
}

// Tick advances the time: it starts elections and sends heartbeats that are due. It must be
// called several times per heartbeat interval.
func (r *Replica) Tick(now time.Time) {
	r.now = now
	if r.role == Leader {
		r.tickLeader(now)
		return
	}
	if !r.canCampaign(now) {
		return
	}
	switch {
	case r.isSoleVoter() || !now.Before(r.electionDeadline):
		r.resetElectionDeadline(now)
		r.startPreVote(now)
	case r.shouldCampaignEarly(now):
		r.startPreVote(now)
	}
}

// learnerCampaignTimeouts is how long a learner may campaign after it rejected a candidate,
// in shortest election timeouts. A candidate campaigns again within two of them.
const learnerCampaignTimeouts = 3

// canCampaign reports whether the replica may start an election: a voter may, and so may a learner
// that recently rejected a candidate because the learner's own log is more up to date. If a voter
// loses its disk during a membership change, the only log that can win may be that of a learner:
// voters whose log already makes the learner a voter need the learner's vote, but the learner must
// deny its vote to candidates with less complete logs. Such a learner counts the votes of the
// membership in its own log, where its own vote does not count, and steps down once the first entry
// of its term is committed. By then a voter has the learner's log too.
func (r *Replica) canCampaign(now time.Time) bool {
	if IsVoter(&r.membership, r.config.ID) {
		return true
	}
	rejectedRecently := !r.voteRejectedAt.IsZero() && now.Sub(r.voteRejectedAt) < learnerCampaignTimeouts*r.config.ElectionTimeout
	return rejectedRecently && Contains(r.membership.Learners, r.config.ID)
}

func (r *Replica) isSoleVoter() bool {
	return len(r.membership.Voters) == 1 && len(r.membership.Outgoing) == 0 && r.membership.Voters[0].ID == r.config.ID
}

func (r *Replica) tickLeader(now time.Time) {
	lastQuorum := r.lastQuorumContact(now)
	if lastQuorum.Before(r.leaderSince) {
		lastQuorum = r.leaderSince
	}
	if now.Sub(lastQuorum) > r.config.ElectionTimeout {
		// Check quorum (thesis 6.2): a leader without contact with a majority steps down, so
		// that callers don't wait for commits that it cannot make.
		r.becomeFollower(now, r.term, 0)
		return
	}
	if r.transferee != 0 && !now.Before(r.transferDeadline) {
		r.handleTransferTimeout(now)
		if r.role != Leader {
			return
		}
	}
	if !now.Before(r.nextHeartbeat) {
		r.nextHeartbeat = now.Add(r.config.HeartbeatInterval)
		r.broadcast(true)
	}
}

// Step processes a message.
func (r *Replica) Step(now time.Time, message *wire.PeerMessage) {
	r.now = now
	if message.To != r.config.ID || !r.acceptTerm(now, message) {
		return
	}
	switch message.Kind {
	case wire.MessagePreVote, wire.MessageVote:
		r.handleVoteRequest(now, message)
	case wire.MessagePreVoteResponse:
		r.handleVoteResponse(now, message, PreCandidate)
	case wire.MessageVoteResponse:
		r.handleVoteResponse(now, message, Candidate)
	case wire.MessageAppend:
		r.followLeader(now, message)
		r.handleAppend(message)
	case wire.MessageHeartbeat, wire.MessageSnapshotChunk:
		r.followLeader(now, message)
		if message.Kind == wire.MessageHeartbeat {
			r.handleHeartbeat(message)
		}
	case wire.MessageAppendResponse:
		r.handleAppendResponse(message)
	case wire.MessageHeartbeatResponse:
		r.handleHeartbeatResponse(message)
	case wire.MessageTimeoutNow:
		if message.From == r.leader && IsVoter(&r.membership, r.config.ID) {
			r.startElection(now, true)
		}
	}
}

// acceptTerm compares the message's term with the replica's own and reports whether to
// process the message. A newer term makes the replica a follower in that term, unless the
// message belongs to a pre-vote.
func (r *Replica) acceptTerm(now time.Time, message *wire.PeerMessage) bool {
	isVoteRequest := message.Kind == wire.MessagePreVote || message.Kind == wire.MessageVote
	switch {
	case message.Term > r.term:
		if isVoteRequest && !message.Forced && r.hasLeader(now) && !r.canBeElectedEarly(message.From) {
			return false
		}
		isPreVoteGrant := message.Kind == wire.MessagePreVoteResponse && !message.Reject
		if message.Kind == wire.MessagePreVote || isPreVoteGrant {
			return true
		}
		r.becomeFollower(now, message.Term, 0)
		return true
	case message.Term < r.term:
		r.respondStaleTerm(message)
		return false
	}
	return true
}

// respondStaleTerm tells a leader or pre-candidate with an outdated term about the newer
// term, so that it stops.
func (r *Replica) respondStaleTerm(message *wire.PeerMessage) {
	switch message.Kind {
	case wire.MessageAppend, wire.MessageHeartbeat, wire.MessageSnapshotChunk:
		r.sendAfterSync(wire.PeerMessage{Kind: wire.MessageAppendResponse, To: message.From, Reject: true})
	case wire.MessagePreVote:
		r.sendAfterSync(wire.PeerMessage{Kind: wire.MessagePreVoteResponse, To: message.From, Reject: true})
	}
}

// hasLeader reports whether the replica heard from a leader within the shortest election timeout.
// For a leader, the time of its last contact with a majority counts instead.
func (r *Replica) hasLeader(now time.Time) bool {
	contact := r.lastContact
	if r.role == Leader {
		contact = r.lastQuorumContact(now)
	}
	return now.Sub(contact) < r.config.ElectionTimeout
}

func (r *Replica) followLeader(now time.Time, message *wire.PeerMessage) {
	if r.role != Follower {
		r.becomeFollower(now, r.term, message.From)
	}
	r.leader = message.From
	r.termLeader = message.From
	r.priorLeaseHolder = 0
	r.lastContact = now
	r.resetElectionDeadline(now)
}

func (r *Replica) becomeFollower(now time.Time, term, leader uint64) {
	if term > r.term {
		r.term = term
		r.vote = 0
		r.termLeader = 0
	}
	r.role = Follower
	r.leader = leader
	r.progress = nil
	r.votes = nil
	r.transferee = 0
	r.timeoutNowSent = false
	r.resetElectionDeadline(now)
}

func (r *Replica) resetElectionDeadline(now time.Time) {
	spread := time.Duration(r.config.Random.IntN(int(r.config.ElectionTimeout)))
	r.electionDeadline = now.Add(r.config.ElectionTimeout + spread)
}

// Propose appends a command to the log and returns its index and term. It fails with NotRun
// if this replica is not the leader or is transferring leadership; the error names the leader
// if another replica is known to lead.
func (r *Replica) Propose(command []byte) (index, term uint64, err error) {
	if !r.canPropose() {
		return 0, 0, r.notLeader()
	}
	r.appendEntry(wire.EntryCommand, command)
	r.broadcast(false)
	return r.log.lastIndex(), r.term, nil
}

func (r *Replica) canPropose() bool {
	return r.role == Leader && r.transferee == 0 && !r.timeoutNowSent
}

// LeaderFieldPrefix is the prefix in an error's Field that precedes the leader's address.
const LeaderFieldPrefix = "leader="

// LeaderFromError returns the leader's address that the error names, or an empty string.
func LeaderFromError(err error) string {
	address, named := strings.CutPrefix(failure.From(err).Field, LeaderFieldPrefix)
	if !named {
		return ""
	}
	return address
}

func (r *Replica) notLeader() error {
	err := failure.New(failure.NotRun, "ask the leader", "this replica of group %d does not lead", r.config.Group)
	for _, member := range Members(&r.membership) {
		if member.ID == r.leader && r.leader != r.config.ID {
			return err.WithField(LeaderFieldPrefix + member.Address)
		}
	}
	return err
}

func (r *Replica) sendAfterSync(message wire.PeerMessage) {
	r.messagesAfterSync = append(r.messagesAfterSync, r.stamp(message))
}

func (r *Replica) sendBeforeSync(message wire.PeerMessage) {
	message.SentNanos = int64(r.now.Sub(r.started))
	r.messagesBeforeSync = append(r.messagesBeforeSync, r.stamp(message))
}

func (r *Replica) stamp(message wire.PeerMessage) wire.PeerMessage {
	message.Group = r.config.Group
	message.From = r.config.ID
	if message.Term == 0 {
		message.Term = r.term
	}
	return message
}
