package wire

//msgp:limit arrays:65536 maps:65536

// EntryKind says what a log entry holds.
type EntryKind uint8

const (
	// EntryCommand holds a command of the state machine.
	EntryCommand EntryKind = iota
	// EntryNoop opens a leader's term and holds nothing.
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

// HardState is what a replica must not forget between two votes.
type HardState struct {
	Term uint64 `msg:"term"`
	// Vote is the replica voted for in Term, zero for none.
	Vote uint64 `msg:"vote"`
	// Leader is who was followed in Term, or led it, zero for nobody. It is stored before
	// that leader is answered, so a lease that this replica helped to grant in its last life
	// can only be Leader's. The first generation does not write it: zero says nothing.
	Leader uint64 `msg:"leader"`
}

// Replica is a member of a group. Its identity is that of its storage: an
// emptied data folder has another.
type Replica struct {
	ID      uint64 `msg:"id"`
	Name    string `msg:"name"`
	Address string `msg:"address"`
}

// Membership lists the replicas of a group. While Outgoing is not empty the
// change from Outgoing to Voters is under way, and every decision needs a
// majority of both.
type Membership struct {
	Voters   []Replica `msg:"voters"`
	Outgoing []Replica `msg:"outgoing"`
	Learners []Replica `msg:"learners"`
}

// LogBase is the position at which a group's stored log begins: everything up
// to Index has been applied to the stored state.
type LogBase struct {
	Index      uint64     `msg:"index"`
	Term       uint64     `msg:"term"`
	Membership Membership `msg:"membership"`
}

// MessageKind is the kind of a message between replicas.
type MessageKind uint8

const (
	// MessagePreVote asks whether a vote would be given.
	MessagePreVote MessageKind = iota
	MessagePreVoteResponse
	// MessageVote asks for a vote.
	MessageVote
	MessageVoteResponse
	// MessageAppend carries entries, or none as a heartbeat.
	MessageAppend
	MessageAppendResponse
	// MessageHeartbeat keeps contact with a replica that takes in a snapshot.
	MessageHeartbeat
	MessageHeartbeatResponse
	// MessageTimeoutNow tells a replica to stand for election at once.
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
	// Index and LogTerm name the last entry of a candidate's log, the entry
	// before Entries, or the entry that an answer speaks of.
	Index   uint64     `msg:"index"`
	LogTerm uint64     `msg:"log_term"`
	Commit  uint64     `msg:"commit"`
	Entries []LogEntry `msg:"entries"`
	Reject  bool       `msg:"reject"`
	// Hint is the last index at which a rejecting log may agree.
	Hint uint64 `msg:"hint"`
	// Forced marks a vote that a leader asked for by MessageTimeoutNow.
	Forced bool `msg:"forced"`
	// SentNanos is the leader's clock when it sent; answers return it.
	SentNanos int64          `msg:"sent_nanos"`
	Snapshot  *SnapshotChunk `msg:"snapshot"`
}

// SnapshotChunk is a part of a snapshot, or the answer to one.
type SnapshotChunk struct {
	Base LogBase `msg:"base"`
	// Transfer numbers the transfer, Sequence the chunk in it.
	Transfer uint64    `msg:"transfer"`
	Sequence uint64    `msg:"sequence"`
	Pairs    []KeyPair `msg:"pairs"`
	Last     bool      `msg:"last"`
}

// KeyPair is one key of a group's state with its value.
type KeyPair struct {
	Key   []byte `msg:"key"`
	Value []byte `msg:"value,limit=33554432"`
}

// PeerBatch carries messages from one control process to another.
type PeerBatch struct {
	Messages []PeerMessage `msg:"messages"`
}

// Hello tells another control process who the sender is.
type Hello struct {
	Origin  `msg:"-" json:"-"`
	Replica Replica `msg:"replica"`
	// Formed is set once the process belongs to a cluster or has been told to
	// wait for one to take it in.
	Formed bool `msg:"formed"`
	// Initial lists the first voters of the cluster; empty in processes that
	// joined later.
	Initial []Replica `msg:"initial"`
	// Known lists addresses of further processes, where they are found by
	// asking one another.
	Known []string `msg:"known"`
}

// Empty is an answer without content.
type Empty struct{}

// Process is what a control process knows of another one.
type Process struct {
	Hello Hello `msg:"hello"`
	// SilentMillis is the time since it was last heard.
	SilentMillis int64 `msg:"silent_millis"`
}
