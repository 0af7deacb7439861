package wire

//msgp:limit arrays:65536 maps:65536

// EntryKind is the kind of content of a log entry.
type EntryKind uint8

const (
	// EntryCommand holds a command of the state machine.
	EntryCommand EntryKind = iota
	// EntryNoop is the empty first entry of a leader's term.
	EntryNoop
	// EntryMembership holds an encoded Membership.
	EntryMembership
)

// LogEntry is one entry of a group's replicated log.
type LogEntry struct {
	Index uint64    `msg:"index"`
	Term  uint64    `msg:"term"`
	Kind  EntryKind `msg:"kind"`
	Data  []byte    `msg:"data,limit=33554432"`
}

// HardState is what a replica stores durably before it votes or answers a leader.
type HardState struct {
	Term uint64 `msg:"term"`
	// Vote is the id of the replica voted for in Term, zero for none.
	Vote uint64 `msg:"vote"`
	// Leader is the id of the leader in Term, which may be this replica itself; zero if not known.
	// A replica stores Leader before it answers that leader, so a lease that the replica helped to
	// grant before a restart can only belong to Leader. Builds of GenerationFirst do not write
	// Leader, so zero does not mean that no lease was granted.
	Leader uint64 `msg:"leader"`
}

// Replica is a member of a group. Its ID belongs to its storage: a replica that starts with
// an emptied data folder has a new one.
type Replica struct {
	ID      uint64 `msg:"id"`
	Name    string `msg:"name"`
	Address string `msg:"address"`
}

// Membership lists the replicas of a group. While Outgoing is not empty, the change from
// Outgoing to Voters is in progress, and every decision needs a majority of both.
type Membership struct {
	Voters   []Replica `msg:"voters"`
	Outgoing []Replica `msg:"outgoing"`
	Learners []Replica `msg:"learners"`
}

// LogBase is the position after which a group's stored log begins: all entries up to and
// including Index have been applied to the stored state.
type LogBase struct {
	Index      uint64     `msg:"index"`
	Term       uint64     `msg:"term"`
	Membership Membership `msg:"membership"`
}

// MessageKind is the kind of a message between replicas.
type MessageKind uint8

const (
	// MessagePreVote asks whether the receiver would vote for the sender.
	MessagePreVote MessageKind = iota
	MessagePreVoteResponse
	// MessageVote asks for a vote.
	MessageVote
	MessageVoteResponse
	// MessageAppend carries log entries, or none as a heartbeat.
	MessageAppend
	MessageAppendResponse
	// MessageHeartbeat keeps contact with a replica that is receiving a snapshot.
	MessageHeartbeat
	MessageHeartbeatResponse
	// MessageTimeoutNow tells a replica to start an election at once.
	MessageTimeoutNow
	// MessageSnapshotChunk carries a part of a snapshot.
	MessageSnapshotChunk
	MessageSnapshotResponse
)

// PeerMessage is a message between two replicas of a group.
type PeerMessage struct {
	Kind  MessageKind `msg:"kind"`
	Group int         `msg:"group"`
	From  uint64      `msg:"from"`
	To    uint64      `msg:"to"`
	Term  uint64      `msg:"term"`
	// Index and LogTerm identify the last entry of a candidate's log, the entry before
	// Entries, or the entry that a response refers to. Commit is the commit index, as far as
	// the receiver may use it.
	Index   uint64     `msg:"index"`
	LogTerm uint64     `msg:"log_term"`
	Commit  uint64     `msg:"commit"`
	Entries []LogEntry `msg:"entries"`
	Reject  bool       `msg:"reject"`
	// Hint is set in a rejection: the last index at which the two logs may agree.
	Hint uint64 `msg:"hint"`
	// Forced marks an election that the leader requested by MessageTimeoutNow.
	Forced bool `msg:"forced"`
	// SentNanos is the leader's clock when it sent the message; responses return it.
	SentNanos int64          `msg:"sent_nanos"`
	Snapshot  *SnapshotChunk `msg:"snapshot"`
}

// SnapshotChunk is a part of a snapshot, or the response to one.
type SnapshotChunk struct {
	Base LogBase `msg:"base"`
	// Transfer identifies the transfer, Sequence is the number of the chunk in it.
	Transfer uint64    `msg:"transfer"`
	Sequence uint64    `msg:"sequence"`
	Pairs    []KeyPair `msg:"pairs"`
	Last     bool      `msg:"last"`
}

// KeyPair is a key and its value in a group's state.
type KeyPair struct {
	Key   []byte `msg:"key"`
	Value []byte `msg:"value,limit=33554432"`
}

// PeerBatch carries messages from one control process to another.
type PeerBatch struct {
	Messages []PeerMessage `msg:"messages"`
}

// Hello describes the sender to another control process.
type Hello struct {
	Origin  `msg:"-" json:"-"`
	Replica Replica `msg:"replica"`
	// Formed is set once the process belongs to a cluster, or is configured to wait until
	// one adds it.
	Formed bool `msg:"formed"`
	// Initial lists the initial voters of the cluster; it is empty in processes that joined
	// later.
	Initial []Replica `msg:"initial"`
	// Known lists addresses of further processes, if processes learn of one another through
	// their hello messages.
	Known []string `msg:"known"`
}

// Empty is a message without content.
type Empty struct{}

// Process is what a control process knows of another control process.
type Process struct {
	Hello Hello `msg:"hello"`
	// SilentMillis is the time since the last message of the process was received.
	SilentMillis int64 `msg:"silent_millis"`
}
