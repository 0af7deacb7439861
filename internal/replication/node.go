package replication

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	maxAppendBytes   = 1 << 20
	maxInflightBytes = 8 << 20
)

// Options describe a node.
type Options struct {
	Store    storage.Store
	Machines []StateMachine
	// Name and Address are this process's.
	Name    string
	Address string
	// Peers are the addresses of all control processes, this one's included.
	// The first Voters of them form the cluster. With another Formation than
	// FormFixed they are only the addresses to ask first, and Voters is the
	// largest number of voters.
	Peers  []string
	Voters int
	// BootstrapMode says how the first membership comes about.
	BootstrapMode BootstrapMode
	// Bootstrap is set while the whole system starts for the first time; only
	// then may FormBySeeds form a cluster.
	Bootstrap bool
	// MinVoters is how many voters silence alone never takes a group below.
	MinVoters int
	// NewID makes the identity of an empty data folder.
	NewID             func() uint64
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// ReplaceAfter is how long a voter may be silent before a spare takes its
	// place.
	ReplaceAfter time.Duration
	// FullMeshLimit is up to how many peers a process says hello to all of them, with
	// FormByOrder; zero means greetAll.
	FullMeshLimit int
	// RetainedLogBytes is how much of each group's log is kept for slow followers.
	RetainedLogBytes int
	Random           consensus.Random
	// Send sends a message to the process at the address; it may be lost.
	Send func(address string, message wire.PeerMessage)
	// OnApplied, if it is set, is told of every entry that is applied, for
	// checkers.
	OnApplied func(group int, entry *wire.LogEntry)
}

// Node holds the replicas of one control process.
type Node struct {
	options    Options
	identity   wire.Hello
	peers      []string
	candidates map[string]time.Time
	// listed names the peers of the last whole list.
	listed     map[string]bool
	retiring   map[string]bool
	groups     []*group
	known      map[string]*heard
	addresses  map[uint64]string
	repairDue  time.Time
	transferID uint64
}

// heard is what is known of the process at an address.
type heard struct {
	hello wire.Hello
	at    time.Time
}

// Open restores a node from its store, which gets an identity if it is empty.
func Open(options Options, now time.Time) (*Node, error) {
	n := &Node{
		options:    options,
		peers:      append([]string(nil), options.Peers...),
		candidates: map[string]time.Time{},
		known:      map[string]*heard{},
		addresses:  map[uint64]string{},
	}
	if err := n.openIdentity(); err != nil {
		return nil, err
	}
	for number, machine := range options.Machines {
		opened, err := n.open(number, machine, now)
		if err != nil {
			return nil, errors.Wrapf(err, "group %d does not restore", number)
		}
		n.groups = append(n.groups, opened)
	}
	if n.soleProcess() {
		n.form([]wire.Replica{n.identity.Replica}, now)
	}
	return n, nil
}

func (n *Node) soleProcess() bool {
	return !n.identity.Formed && n.options.BootstrapMode == BootstrapStatic && len(n.options.Peers) == 1 && n.options.Peers[0] == n.options.Address
}

// Tick lets time pass.
func (n *Node) Tick(now time.Time) {
	n.tryForm(now)
	for _, g := range n.groups {
		g.replica.Tick(now)
		n.tickSenders(g, now)
	}
	if !now.Before(n.repairDue) {
		n.repairDue = now.Add(repairInterval)
		n.forgetPeers(now)
		n.repair(now)
	}
}

// Receive takes in a message of another control process. A process that belongs
// to no cluster yet takes none: forming begins its log anew, and an entry that it
// had acknowledged before would be lost.
func (n *Node) Receive(now time.Time, message *wire.PeerMessage) {
	if !n.identity.Formed {
		return
	}
	if message.Group < 0 || message.Group >= len(n.groups) || message.To != n.identity.Replica.ID {
		return
	}
	g := n.groups[message.Group]
	g.replica.Step(now, message)
	switch message.Kind {
	case wire.MessageSnapshotChunk:
		n.takeChunk(g, now, message)
	case wire.MessageSnapshotResponse:
		n.takeChunkResponse(g, now, message)
	}
}

// Propose appends a command to the group's log; done is called once.
func (n *Node) Propose(number int, command []byte, done Done) {
	g, err := n.group(number)
	if err != nil {
		done(nil, err)
		return
	}
	index, term, err := g.replica.Propose(command)
	if err != nil {
		done(nil, err)
		return
	}
	g.waiting[index] = waiter{term: term, done: done}
}

// TransferAllLeadership hands leadership of every group to another process, and reports
// whether this one leads none any more.
func (n *Node) TransferAllLeadership(now time.Time) bool {
	done := true
	for _, g := range n.groups {
		if g.replica.TransferLeadership(now) {
			done = false
		}
	}
	return done
}

// TransferLeadership hands leadership of a group to another replica, and reports whether
// that has begun.
func (n *Node) TransferLeadership(now time.Time, number int, to uint64) bool {
	g, err := n.group(number)
	return err == nil && g.replica.TransferLeadershipTo(now, to)
}

// Statuses returns the state of every replica.
func (n *Node) Statuses(now time.Time) []consensus.Status {
	statuses := make([]consensus.Status, 0, len(n.groups))
	for _, g := range n.groups {
		statuses = append(statuses, g.replica.Status(now))
	}
	return statuses
}

// ID returns the identity of the node's data folder.
func (n *Node) ID() uint64 { return n.identity.Replica.ID }

// round is one group's share of a flush.
type round struct {
	group *group
	ready consensus.Ready
}

// Flush stores, sends and applies what the replicas have ready, with one sync
// for all groups of a round, until nothing is left. A store that fails makes it
// panic: a log that can't be written makes every later answer a lie.
func (n *Node) Flush(now time.Time) {
	for {
		rounds := n.rounds(now)
		if len(rounds) == 0 {
			break
		}
		n.persist(rounds)
		n.applyAll(rounds, now)
	}
	for _, g := range n.groups {
		n.compact(g)
		n.noticeRole(g)
		g.publish(now)
	}
}

func (n *Node) rounds(now time.Time) []round {
	var rounds []round
	for _, g := range n.groups {
		ready := g.replica.Ready()
		if ready.Empty() {
			continue
		}
		// A lease that is given up must be gone before the message that lets
		// another replica lead is sent.
		g.publish(now)
		n.sendAll(ready.MessagesBeforeSync)
		rounds = append(rounds, round{group: g, ready: ready})
	}
	return rounds
}

func (n *Node) persist(rounds []round) {
	var batch []storage.Mutation
	for i := range rounds {
		batch = rounds[i].group.stage(batch, &rounds[i].ready)
	}
	if len(batch) > 0 {
		n.commit(batch, true)
	}
}

func (n *Node) commit(batch []storage.Mutation, sync bool) {
	if err := n.options.Store.Commit(batch, sync); err != nil {
		panic(errors.Wrap(err, "the store can't be written"))
	}
}

func (n *Node) applyAll(rounds []round, now time.Time) {
	for i := range rounds {
		g, ready := rounds[i].group, &rounds[i].ready
		n.sendAll(ready.MessagesAfterSync)
		g.mutex.Lock()
		batch, answers := g.apply(nil, ready.Committed)
		n.tellApplied(g, ready.Committed)
		if len(batch) > 0 {
			n.commit(batch, false)
		}
		g.noteApplied(ready.Committed)
		g.mutex.Unlock()
		g.replica.Advance(now, ready)
		for _, ended := range answers {
			ended.done(ended.answer, ended.err)
		}
		for _, to := range ready.SnapshotTargets {
			n.beginSnapshot(g, to, now)
		}
	}
}

func (n *Node) tellApplied(g *group, entries []wire.LogEntry) {
	if n.options.OnApplied == nil {
		return
	}
	for i := range entries {
		n.options.OnApplied(g.number, &entries[i])
	}
}

func (n *Node) sendAll(messages []wire.PeerMessage) {
	for i := range messages {
		if address := n.addressOf(messages[i].Group, messages[i].To); address != "" {
			n.options.Send(address, messages[i])
		}
	}
}

// addressOf returns where the replica is: as it says itself, or else as the
// membership says.
func (n *Node) addressOf(number int, id uint64) string {
	if address := n.addresses[id]; address != "" {
		return address
	}
	membership := n.groups[number].replica.Membership()
	for _, member := range consensus.Members(&membership) {
		n.addresses[member.ID] = member.Address
	}
	return n.addresses[id]
}

// noticeRole ends the proposals of a replica that no longer leads.
func (n *Node) noticeRole(g *group) {
	leads := g.replica.Role() == consensus.Leader
	if g.wasLeader && !leads {
		g.failWaiting()
	}
	g.wasLeader = leads
}

// compact drops the oldest part of a log that has grown to twice what is kept.
func (n *Node) compact(g *group) {
	if g.replica.LogBytes() < 2*n.options.RetainedLogBytes {
		return
	}
	before := g.replica.Base().Index
	base := g.replica.Compact(g.replica.CompactionPoint(n.options.RetainedLogBytes))
	if base.Index == before {
		return
	}
	n.commit([]storage.Mutation{
		{Key: groupKey(g.number, sectionBase), Value: encode(&base)},
		{Key: logKey(g.number, before+1), DeleteTo: logKey(g.number, base.Index+1)},
	}, false)
}

func encode(message msgp.Marshaler) []byte {
	data, err := message.MarshalMsg(nil)
	if err != nil {
		panic(errors.Wrap(err, "a generated encoder failed on a plain structure"))
	}
	return data
}

// readMessage decodes what is stored under key; nothing leaves it unchanged.
func readMessage(reader storage.Reader, key []byte, message msgp.Unmarshaler) error {
	value, err := reader.Get(key)
	if err != nil || value == nil {
		return err
	}
	_, err = message.UnmarshalMsg(value)
	return err
}
