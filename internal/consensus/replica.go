package consensus

import (
	"strings"
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Role is what a replica currently is.
type Role uint8

const (
	// Follower takes entries from a leader.
	Follower Role = iota
	// PreCandidate asks whether it could win an election.
	PreCandidate
	// Candidate stands for election.
	Candidate
	// Leader appends entries and decides what is committed.
	Leader
)

// String returns the role as used in logs.
func (r Role) String() string {
	return [...]string{"follower", "pre_candidate", "candidate", "leader"}[r]
}

// Random is the caller's source of random numbers; *rand.Rand implements it.
type Random interface {
	// IntN returns a number from 0 (inclusive) to n (exclusive).
	IntN(n int) int
}

// Config describes a replica.
type Config struct {
	// ID is the identity of the replica's storage.
	ID uint64
	// Group is put into every message.
	Group int
	// ElectionTimeout is the shortest time without a leader after which a
	// replica stands for election; the longest is twice as long.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between a leader's heartbeats.
	HeartbeatInterval time.Duration
	// MaxAppendBytes bounds the entries of one message, MaxInflightBytes those
	// sent to one follower and not yet answered.
	MaxAppendBytes   int
	MaxInflightBytes int
	Random           Random
}

// PersistedState is what storage holds of a replica.
type PersistedState struct {
	HardState wire.HardState
	Base      wire.LogBase
	Entries   []wire.LogEntry
	// AppliedIndex is the index up to which the stored state has come.
	AppliedIndex uint64
}

// Replica is the state of one replica of one group.
type Replica struct {
	config Config
	log    *replicaLog

	term uint64
	vote uint64
	// followed is who was followed in term, or led it, zero for nobody yet.
	followed   uint64
	storedHard wire.HardState
	role       Role
	leader     uint64

	membership      wire.Membership
	membershipIndex uint64

	// holder is who alone may hold a lease that this replica granted in its last life, zero
	// if that is not known, and once it has followed a leader in this one.
	holder uint64
	// earlyDue is from when on it may stand early again (standsEarly).
	earlyDue         time.Time
	started          time.Time
	lastContact      time.Time
	electionDeadline time.Time
	// refusedAt is when a candidate was last refused because this log is more complete.
	refusedAt time.Time

	votes map[uint64]bool

	// The following are a leader's.
	progress     map[uint64]*Progress
	termStart    uint64
	leaderSince  time.Time
	heartbeatDue time.Time
	transferee   uint64
	transferEnds time.Time
	yielded      bool
	now          time.Time

	immediate    []wire.PeerMessage
	durable      []wire.PeerMessage
	truncateFrom uint64
	truncateTo   uint64
	snapshotsTo  []uint64
}

// New returns a replica in the state that storage holds. Its start counts as
// contact with a leader, so that it can't break a lease that it has forgotten. Only the
// holder of that lease may be elected before; see mayPrecede.
func New(config Config, restored PersistedState, now time.Time) *Replica {
	r := &Replica{
		config:      config,
		log:         newLog(restored.Base, restored.Entries, restored.AppliedIndex),
		term:        restored.HardState.Term,
		vote:        restored.HardState.Vote,
		followed:    restored.HardState.Leader,
		holder:      restored.HardState.Leader,
		storedHard:  restored.HardState,
		started:     now,
		lastContact: now,
		now:         now,
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

// Tick lets time pass. It must be called a few times per heartbeat interval.
func (r *Replica) Tick(now time.Time) {
	r.now = now
	if r.role == Leader {
		r.tickLeader(now)
		return
	}
	if !r.mayStand(now) {
		return
	}
	switch {
	case r.soleVoter() || !now.Before(r.electionDeadline):
		r.resetElectionDeadline(now)
		r.campaign(now)
	case r.standsEarly(now):
		r.campaign(now)
	}
}

// refusalCounts is how many of the shortest election timeouts the refusal of a candidate
// lets a learner stand: candidates stand again within two of them.
const refusalCounts = 3

// mayStand reports whether the replica may stand for election: a voter, or a learner that
// has lately refused a candidate whose log is less complete. Where a voter's disk is lost
// within a change of membership, a learner may hold the one log that can win: voters who
// know it as a voter need its vote, which it can't give. It counts the votes of the
// membership in its log, its own not among them, and gives up its lead once its first
// entry is committed; then a voter has that log, too.
func (r *Replica) mayStand(now time.Time) bool {
	if IsVoter(&r.membership, r.config.ID) {
		return true
	}
	refused := !r.refusedAt.IsZero() && now.Sub(r.refusedAt) < refusalCounts*r.config.ElectionTimeout
	return refused && Contains(r.membership.Learners, r.config.ID)
}

func (r *Replica) soleVoter() bool {
	return len(r.membership.Voters) == 1 && len(r.membership.Outgoing) == 0 && r.membership.Voters[0].ID == r.config.ID
}

func (r *Replica) tickLeader(now time.Time) {
	lastQuorum := r.quorumContact(now)
	if lastQuorum.Before(r.leaderSince) {
		lastQuorum = r.leaderSince
	}
	if now.Sub(lastQuorum) > r.config.ElectionTimeout {
		// Check quorum (thesis 6.2): a leader that hears no majority must not
		// keep callers waiting for it.
		r.becomeFollower(now, r.term, 0)
		return
	}
	if r.transferee != 0 && !now.Before(r.transferEnds) {
		r.endTransfer(now)
		if r.role != Leader {
			return
		}
	}
	if !now.Before(r.heartbeatDue) {
		r.heartbeatDue = now.Add(r.config.HeartbeatInterval)
		r.broadcast(true)
	}
}

// Step takes in a message.
func (r *Replica) Step(now time.Time, message *wire.PeerMessage) {
	r.now = now
	if message.To != r.config.ID || !r.acceptTerm(now, message) {
		return
	}
	switch message.Kind {
	case wire.MessagePreVote, wire.MessageVote:
		r.answerVote(now, message)
	case wire.MessagePreVoteResponse:
		r.countVote(now, message, PreCandidate)
	case wire.MessageVoteResponse:
		r.countVote(now, message, Candidate)
	case wire.MessageAppend:
		r.followLeader(now, message)
		r.takeAppend(message)
	case wire.MessageHeartbeat, wire.MessageSnapshotChunk:
		r.followLeader(now, message)
		if message.Kind == wire.MessageHeartbeat {
			r.answerHeartbeat(message)
		}
	case wire.MessageAppendResponse:
		r.takeAppendResponse(message)
	case wire.MessageHeartbeatResponse:
		r.takeHeartbeatResponse(message)
	case wire.MessageTimeoutNow:
		if message.From == r.leader && IsVoter(&r.membership, r.config.ID) {
			r.stand(now, true)
		}
	}
}

// acceptTerm compares the message's term with the replica's own and reports
// whether the message is to be taken in.
func (r *Replica) acceptTerm(now time.Time, message *wire.PeerMessage) bool {
	asksVote := message.Kind == wire.MessagePreVote || message.Kind == wire.MessageVote
	switch {
	case message.Term > r.term:
		if asksVote && !message.Forced && r.hasLeader(now) && !r.mayPrecede(message.From) {
			return false
		}
		granted := message.Kind == wire.MessagePreVoteResponse && !message.Reject
		if message.Kind == wire.MessagePreVote || granted {
			return true
		}
		r.becomeFollower(now, message.Term, 0)
		return true
	case message.Term < r.term:
		r.answerOldTerm(message)
		return false
	}
	return true
}

// answerOldTerm tells the sender of a leader's or pre-candidate's message of the
// newer term, so that it stops.
func (r *Replica) answerOldTerm(message *wire.PeerMessage) {
	switch message.Kind {
	case wire.MessageAppend, wire.MessageHeartbeat, wire.MessageSnapshotChunk:
		r.sendDurable(wire.PeerMessage{Kind: wire.MessageAppendResponse, To: message.From, Reject: true})
	case wire.MessagePreVote:
		r.sendDurable(wire.PeerMessage{Kind: wire.MessagePreVoteResponse, To: message.From, Reject: true})
	}
}

// hasLeader reports whether a leader has been heard within the shortest
// election timeout. A leader is in contact with itself through its majority.
func (r *Replica) hasLeader(now time.Time) bool {
	contact := r.lastContact
	if r.role == Leader {
		contact = r.quorumContact(now)
	}
	return now.Sub(contact) < r.config.ElectionTimeout
}

func (r *Replica) followLeader(now time.Time, message *wire.PeerMessage) {
	if r.role != Follower {
		r.becomeFollower(now, r.term, message.From)
	}
	r.leader = message.From
	r.followed = message.From
	r.holder = 0
	r.lastContact = now
	r.resetElectionDeadline(now)
}

func (r *Replica) becomeFollower(now time.Time, term, leader uint64) {
	if term > r.term {
		r.term = term
		r.vote = 0
		r.followed = 0
	}
	r.role = Follower
	r.leader = leader
	r.progress = nil
	r.votes = nil
	r.transferee = 0
	r.yielded = false
	r.resetElectionDeadline(now)
}

func (r *Replica) resetElectionDeadline(now time.Time) {
	spread := time.Duration(r.config.Random.IntN(int(r.config.ElectionTimeout)))
	r.electionDeadline = now.Add(r.config.ElectionTimeout + spread)
}

// Propose appends a command to the log and returns its index and term. It fails
// with NotRun on a replica that does not lead, naming the leader if it is known.
func (r *Replica) Propose(command []byte) (index, term uint64, err error) {
	if !r.mayPropose() {
		return 0, 0, r.notLeader()
	}
	r.appendEntry(wire.EntryCommand, command)
	r.broadcast(false)
	return r.log.lastIndex(), r.term, nil
}

func (r *Replica) mayPropose() bool { return r.role == Leader && r.transferee == 0 && !r.yielded }

// LeaderFieldPrefix is the prefix of the failure field that names the leader.
const LeaderFieldPrefix = "leader="

// LeaderFromError returns the address of the leader that a refusal names, or nothing.
func LeaderFromError(err error) string {
	address, named := strings.CutPrefix(failure.From(err).Field, LeaderFieldPrefix)
	if !named {
		return ""
	}
	return address
}

func (r *Replica) notLeader() error {
	refusal := failure.New(failure.NotRun, "ask the leader", "this replica of group %d does not lead", r.config.Group)
	for _, member := range Members(&r.membership) {
		if member.ID == r.leader && r.leader != r.config.ID {
			return refusal.WithField(LeaderFieldPrefix + member.Address)
		}
	}
	return refusal
}

func (r *Replica) sendDurable(message wire.PeerMessage) {
	r.durable = append(r.durable, r.stamp(message))
}

func (r *Replica) sendNow(message wire.PeerMessage) {
	message.SentNanos = int64(r.now.Sub(r.started))
	r.immediate = append(r.immediate, r.stamp(message))
}

func (r *Replica) stamp(message wire.PeerMessage) wire.PeerMessage {
	message.Group = r.config.Group
	message.From = r.config.ID
	if message.Term == 0 {
		message.Term = r.term
	}
	return message
}
