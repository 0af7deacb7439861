package replication

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// BootstrapMode selects how a cluster gets its first membership.
type BootstrapMode uint8

const (
	// BootstrapStatic takes the first membership from the configured list of all processes, which
	// must be the same in every process.
	BootstrapStatic BootstrapMode = iota
	// BootstrapFromSeeds makes the processes at the first configured addresses the initial
	// voters. All others join. Processes learn each other's addresses from hellos.
	BootstrapFromSeeds
	// BootstrapManual waits for a call of Bootstrap.
	BootstrapManual
)

// forgetPeerAfter is how long an address may be unresponsive before it is removed from the
// peers.
const forgetPeerAfter = 20 * time.Second

// AddPeers adds addresses of other processes.
func (n *Node) AddPeers(now time.Time, addresses []string) {
	for _, address := range addresses {
		if address == "" || slices.Contains(n.peers, address) {
			continue
		}
		n.peers = append(n.peers, address)
		n.peerAddedAt[address] = now
	}
}

// SetPeers sets the complete list of live processes, as maintained outside this
// package. With BootstrapManual, processes find each other only through this list.
func (n *Node) SetPeers(now time.Time, addresses []string) {
	n.listedPeers = make(map[string]bool, len(addresses))
	for _, address := range addresses {
		n.listedPeers[address] = true
	}
	n.AddPeers(now, addresses)
}

const (
	// defaultFullMeshLimit is the number of peers up to which every process exchanges
	// hellos with all others.
	defaultFullMeshLimit = 8
	// targetSpares is the number of live processes outside its groups with which a member exchanges
	// hellos: one more than the learners that a group may have. To find these spares, the member
	// contacts at most maxSparesContacted processes.
	targetSpares       = maxLearners + 1
	maxSparesContacted = 3 * targetSpares
)

// Peers returns the addresses to send hellos to. With BootstrapManual and more peers than the full
// mesh limit, only members send hellos: to the members of their groups and to some spares. Other
// processes need not send any, because only members repair groups. Hellos between all processes
// would grow with the square of the number of processes.
func (n *Node) Peers(now time.Time) []string {
	if n.options.BootstrapMode != BootstrapManual || len(n.peers) <= n.fullMeshLimit() {
		return append([]string(nil), n.peers...)
	}
	members := n.memberAddresses()
	if len(members) == 0 {
		return nil
	}
	targets := slices.Collect(maps.Keys(members))
	spares := 0
	for _, address := range n.sparesByRank(members) {
		if spares >= targetSpares || len(targets) >= len(members)+maxSparesContacted {
			break
		}
		targets = append(targets, address)
		if received := n.receivedHellos[address]; received != nil && now.Sub(received.receivedAt) <= helloTTL {
			spares++
		}
	}
	slices.Sort(targets)
	return targets
}

func (n *Node) fullMeshLimit() int {
	if n.options.FullMeshLimit > 0 {
		return n.options.FullMeshLimit
	}
	return defaultFullMeshLimit
}

// memberAddresses returns the addresses of all members of the groups that this process
// is a member of.
func (n *Node) memberAddresses() map[string]bool {
	addresses := map[string]bool{}
	for _, g := range n.groups {
		membership := g.replica.Membership()
		if !consensus.IsMember(&membership, n.identity.Replica.ID) {
			continue
		}
		for _, member := range consensus.Members(&membership) {
			addresses[member.Address] = true
		}
	}
	return addresses
}

// sparesByRank returns the listed peers that are not among the members. Each process ranks
// them differently, so that the hellos spread over all of them.
func (n *Node) sparesByRank(members map[string]bool) []string {
	var spares []string
	for _, address := range n.peers {
		if n.listedPeers[address] && !members[address] && address != n.options.Address {
			spares = append(spares, address)
		}
	}
	rank := func(address string) uint64 { return xxhash.Sum64String(n.options.Address + " " + address) }
	slices.SortFunc(spares, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return spares
}

// forgetPeers removes the addresses that have been unresponsive for longer than
// forgetPeerAfter. Configured peers, listed peers and members stay.
func (n *Node) forgetPeers(now time.Time) {
	if n.options.BootstrapMode == BootstrapStatic {
		return
	}
	n.peers = slices.DeleteFunc(n.peers, func(address string) bool {
		since := n.peerAddedAt[address]
		if received := n.receivedHellos[address]; received != nil && received.receivedAt.After(since) {
			since = received.receivedAt
		}
		if now.Sub(since) <= forgetPeerAfter || n.listedPeers[address] || slices.Contains(n.options.Peers, address) || n.isMemberAddress(address) {
			return false
		}
		delete(n.receivedHellos, address)
		delete(n.peerAddedAt, address)
		return true
	})
}

func (n *Node) isMemberAddress(address string) bool {
	for _, g := range n.groups {
		membership := g.replica.Membership()
		for _, member := range consensus.Members(&membership) {
			if member.Address == address {
				return true
			}
		}
	}
	return false
}

// Bootstrap makes a process with BootstrapManual part of a cluster; it has no effect if the
// process already belongs to one. groups holds the initial voters of each group. If the list
// of a group doesn't contain this process's identity, the process waits until the group adds
// it as a learner.
func (n *Node) Bootstrap(now time.Time, groups [][]wire.Replica) {
	if n.identity.Formed || len(groups) == 0 {
		return
	}
	own := make([][]wire.Replica, len(n.groups))
	for number := range own {
		if number < len(groups) && consensus.Contains(groups[number], n.identity.Replica.ID) {
			own[number] = groups[number]
		}
	}
	n.bootstrapGroups(own, now)
}

// SetRetiring sets the names of the processes whose replicas must move to other processes.
func (n *Node) SetRetiring(names []string) {
	n.retiring = make(map[string]bool, len(names))
	for _, name := range names {
		n.retiring[name] = true
	}
}

// discover exchanges hellos with the peers of the node, and follows changes of that list.
func (h *Host) discover(ctx context.Context) {
	defer h.loops.Done()
	helloLoops := map[string]context.CancelFunc{}
	for ctx.Err() == nil {
		peers, err := query(ctx, h, h.node.Peers)
		if err != nil {
			return
		}
		h.updateHelloLoops(ctx, helloLoops, peers)
		select {
		case <-ctx.Done():
		case <-time.After(helloInterval):
		}
	}
}

// updateHelloLoops starts a hello loop for each new peer and stops the loops for addresses
// that are no longer peers.
func (h *Host) updateHelloLoops(ctx context.Context, helloLoops map[string]context.CancelFunc, peers []string) {
	for peer, cancel := range helloLoops {
		if !slices.Contains(peers, peer) {
			cancel()
			delete(helloLoops, peer)
		}
	}
	for _, peer := range peers {
		if helloLoops[peer] == nil {
			peerContext, cancel := context.WithCancel(ctx)
			helloLoops[peer] = cancel
			h.startHelloLoops(peerContext, []string{peer})
		}
	}
}

// SetPeers calls Node.SetPeers in the event loop.
func (h *Host) SetPeers(ctx context.Context, addresses []string) error {
	return h.submit(ctx, func(now time.Time) { h.node.SetPeers(now, addresses) })
}

// AddPeers calls Node.AddPeers in the event loop.
func (h *Host) AddPeers(ctx context.Context, addresses []string) error {
	return h.submit(ctx, func(now time.Time) { h.node.AddPeers(now, addresses) })
}

// Bootstrap calls Node.Bootstrap in the event loop.
func (h *Host) Bootstrap(ctx context.Context, groups [][]wire.Replica) error {
	return h.submit(ctx, func(now time.Time) { h.node.Bootstrap(now, groups) })
}

// SetRetiring calls Node.SetRetiring in the event loop.
func (h *Host) SetRetiring(ctx context.Context, names []string) error {
	return h.submit(ctx, func(time.Time) { h.node.SetRetiring(names) })
}

// Hello returns the message with which this process introduces itself to others.
func (h *Host) Hello(ctx context.Context) (wire.Hello, error) {
	return query(ctx, h, func(time.Time) wire.Hello { return h.node.Hello() })
}
