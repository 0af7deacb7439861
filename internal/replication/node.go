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

// Options configures a node.
type Options struct {
	Store    storage.Store
	Machines []StateMachine
	// Name and Address identify this process to its peers.
	Name    string
	Address string
	// Peers are the addresses of all control processes, including this one. The first Voters of
	// them are the initial voters. With a BootstrapMode other than BootstrapStatic, Peers are only
	// the addresses to contact first, and Voters is the maximum number of voters.
	Peers  []string
	Voters int
	// BootstrapMode selects how the cluster gets its first membership.
	BootstrapMode BootstrapMode
	// Bootstrap is set only for the first start of the whole system. Without it,
	// BootstrapFromSeeds doesn't bootstrap a cluster.
	Bootstrap bool
	// MinVoters limits the removal of voters: only a group with more voters may remove an
	// unresponsive or retiring voter without replacing it.
	MinVoters int
	// NewID creates the identity of an empty data folder.
	NewID             func() uint64
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// ReplaceAfter is how long a voter may be unresponsive before a learner replaces it.
	ReplaceAfter time.Duration
	// FullMeshLimit applies to BootstrapManual: up to this number of peers, every process
	// exchanges hellos with all others. Zero means defaultFullMeshLimit.
	FullMeshLimit int
	// RetainedLogBytes is the size of each group's log that is kept for slow followers.
	RetainedLogBytes int
	Random           consensus.Random
	// Send sends a message to the process at the address; the message may be lost.
	Send func(address string, message wire.PeerMessage)
	// OnApplied, if set, is called for every applied entry, for checks of invariants.
	OnApplied func(group int, entry *wire.LogEntry)
}

// Node holds the replicas of one control process.
type Node struct {
	options     Options
	identity    wire.Hello
	peers       []string
	peerAddedAt map[string]time.Time
	// listedPeers is the set of peers in the last call of SetPeers.
	listedPeers      map[string]bool
	retiring         map[string]bool
	groups           []*group
	receivedHellos   map[string]*receivedHello
	replicaAddresses map[uint64]string
	nextRepair       time.Time
	lastTransferID   uint64
}

// receivedHello is the last hello of another process.
type receivedHello struct {
	hello      wire.Hello
	receivedAt time.Time
}

// Open restores a node from its store. If the store is empty, the node gets a new identity.
func Open(options Options, now time.Time) (*Node, error) {
	n := &Node{
		options:          options,
		peers:            append([]string(nil), options.Peers...),
		peerAddedAt:      map[string]time.Time{},
		receivedHellos:   map[string]*receivedHello{},
		replicaAddresses: map[uint64]string{},
	}
	if err := n.openIdentity(); err != nil {
		return nil, err
	}
	for number, machine := range options.Machines {
		opened, err := n.open(number, machine, now)
		if err != nil {
			return nil, errors.Wrapf(err, "restore group %d from the store", number)
		}
		n.groups = append(n.groups, opened)
	}
	if n.soleProcess() {
		n.bootstrapCluster([]wire.Replica{n.identity.Replica}, now)
	}
	return n, nil
}

func (n *Node) soleProcess() bool {
	return !n.identity.Formed && n.options.BootstrapMode == BootstrapStatic && len(n.options.Peers) == 1 && n.options.Peers[0] == n.options.Address
}

// Tick advances the time: it runs the timers of the replicas, bootstrap and repair.
func (n *Node) Tick(now time.Time) {
	n.tryBootstrap(now)
	for _, g := range n.groups {
		g.replica.Tick(now)
		n.tickSenders(g, now)
	}
	if !now.Before(n.nextRepair) {
		n.nextRepair = now.Add(repairInterval)
		n.forgetPeers(now)
		n.repair(now)
	}
}

// Receive processes a message from another control process. A process that belongs to no cluster
// yet ignores all messages: bootstrapping replaces its log, and an entry that it had acknowledged
// before would be lost.
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
		n.handleChunk(g, now, message)
	case wire.MessageSnapshotResponse:
		n.handleChunkResponse(g, now, message)
	}
}

// Propose appends a command to the group's log; done is called exactly once.
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
	g.pending[index] = pendingProposal{term: term, done: done}
}

// TransferAllLeadership starts to transfer the leadership of every group to another process.
// It returns true if no leadership is left here that can be transferred.
func (n *Node) TransferAllLeadership(now time.Time) bool {
	done := true
	for _, g := range n.groups {
		if g.replica.TransferLeadership(now) {
			done = false
		}
	}
	return done
}

// TransferLeadership transfers the leadership of a group to the given replica, and reports
// whether the transfer started.
func (n *Node) TransferLeadership(now time.Time, number int, to uint64) bool {
	g, err := n.group(number)
	return err == nil && g.replica.TransferLeadershipTo(now, to)
}

// Statuses returns the status of the local replica of every group.
func (n *Node) Statuses(now time.Time) []consensus.Status {
	statuses := make([]consensus.Status, 0, len(n.groups))
	for _, g := range n.groups {
		statuses = append(statuses, g.replica.Status(now))
	}
	return statuses
}

// ID returns the identity of the node's data folder.
func (n *Node) ID() uint64 { return n.identity.Replica.ID }

// groupReady is a group together with its pending Ready.
type groupReady struct {
	group *group
	ready consensus.Ready
}

// Flush stores, sends and applies what the replicas have ready, repeatedly until nothing is
// left. Each round stores the changes of all groups with one sync. Flush panics if the store
// fails, because without a written log every later response would be wrong.
func (n *Node) Flush(now time.Time) {
	for {
		pending := n.collectReady(now)
		if len(pending) == 0 {
			break
		}
		n.persist(pending)
		n.applyAll(pending, now)
	}
	for _, g := range n.groups {
		n.compact(g)
		n.checkLeadership(g)
		g.publish(now)
	}
}

func (n *Node) collectReady(now time.Time) []groupReady {
	var pending []groupReady
	for _, g := range n.groups {
		ready := g.replica.Ready()
		if ready.Empty() {
			continue
		}
		// If the replica gave up its lease, readers must know this before the replica sends the
		// message that lets another replica become leader.
		g.publish(now)
		n.sendAll(ready.MessagesBeforeSync)
		pending = append(pending, groupReady{group: g, ready: ready})
	}
	return pending
}

func (n *Node) persist(pending []groupReady) {
	var batch []storage.Mutation
	for i := range pending {
		batch = pending[i].group.stageReady(batch, &pending[i].ready)
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

func (n *Node) applyAll(pending []groupReady, now time.Time) {
	for i := range pending {
		g, ready := pending[i].group, &pending[i].ready
		n.sendAll(ready.MessagesAfterSync)
		g.mutex.Lock()
		batch, completions := g.apply(nil, ready.Committed)
		n.notifyApplied(g, ready.Committed)
		if len(batch) > 0 {
			n.commit(batch, false)
		}
		g.recordApplied(ready.Committed)
		g.mutex.Unlock()
		g.replica.Advance(now, ready)
		for _, completed := range completions {
			completed.done(completed.answer, completed.err)
		}
		for _, to := range ready.SnapshotTargets {
			n.startSnapshot(g, to, now)
		}
	}
}

func (n *Node) notifyApplied(g *group, entries []wire.LogEntry) {
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

// addressOf returns the address of a replica: the one in its process's last hello, or else
// the one in the membership.
func (n *Node) addressOf(number int, id uint64) string {
	if address := n.replicaAddresses[id]; address != "" {
		return address
	}
	membership := n.groups[number].replica.Membership()
	for _, member := range consensus.Members(&membership) {
		n.replicaAddresses[member.ID] = member.Address
	}
	return n.replicaAddresses[id]
}

// checkLeadership fails the pending proposals of a group that has lost its leadership.
func (n *Node) checkLeadership(g *group) {
	isLeader := g.replica.Role() == consensus.Leader
	if g.wasLeader && !isLeader {
		g.failProposals()
	}
	g.wasLeader = isLeader
}

// compact drops the oldest part of a log once the log has twice the size to retain.
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

// readMessage decodes the value stored under key. If there is none, message stays
// unchanged.
func readMessage(reader storage.Reader, key []byte, message msgp.Unmarshaler) error {
	value, err := reader.Get(key)
	if err != nil || value == nil {
		return err
	}
	_, err = message.UnmarshalMsg(value)
	return err
}
