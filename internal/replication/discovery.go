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

// BootstrapMode says how the first membership of a cluster comes about.
type BootstrapMode uint8

const (
	// BootstrapStatic takes it from the list of all processes, which is the same
	// everywhere.
	BootstrapStatic BootstrapMode = iota
	// BootstrapFromSeeds makes the processes at the first addresses the first voters.
	// All others join; processes find one another by asking.
	BootstrapFromSeeds
	// BootstrapManual waits for Form to be called.
	BootstrapManual
)

// forgetAfter is how long an address may be silent before it is asked no more.
const forgetAfter = 20 * time.Second

// AddPeers takes in addresses of further processes.
func (n *Node) AddPeers(now time.Time, addresses []string) {
	for _, address := range addresses {
		if address == "" || slices.Contains(n.peers, address) {
			continue
		}
		n.peers = append(n.peers, address)
		n.candidates[address] = now
	}
}

// SetPeers takes in the whole list of the processes that live, as it is known
// elsewhere. With FormByOrder, processes are found by it alone.
func (n *Node) SetPeers(now time.Time, addresses []string) {
	n.listed = make(map[string]bool, len(addresses))
	for _, address := range addresses {
		n.listed[address] = true
	}
	n.AddPeers(now, addresses)
}

const (
	// greetAll is up to how many peers a process says hello to all of them.
	greetAll = 8
	// wantedSpares is how many living processes beyond the members a member of a
	// group stays acquainted with: one more than the learners that a group may take
	// in. maxGreeted bounds how many it tries for that.
	wantedSpares = maxLearners + 1
	maxGreeted   = 3 * wantedSpares
)

// Peers returns the addresses of the processes to say hello to. Where all processes
// are listed elsewhere, only members say hello, to the members of their groups and to
// some spares: it is members that repair groups, and hellos of all to all grow with
// the square of their number.
func (n *Node) Peers(now time.Time) []string {
	if n.options.BootstrapMode != BootstrapManual || len(n.peers) <= n.greetAll() {
		return append([]string(nil), n.peers...)
	}
	members := n.memberAddresses()
	if len(members) == 0 {
		return nil
	}
	greeted := slices.Collect(maps.Keys(members))
	spares := 0
	for _, address := range n.sparesInOrder(members) {
		if spares >= wantedSpares || len(greeted) >= len(members)+maxGreeted {
			break
		}
		greeted = append(greeted, address)
		if known := n.known[address]; known != nil && now.Sub(known.at) <= helloFresh {
			spares++
		}
	}
	slices.Sort(greeted)
	return greeted
}

func (n *Node) greetAll() int {
	if n.options.FullMeshLimit > 0 {
		return n.options.FullMeshLimit
	}
	return greetAll
}

// memberAddresses returns the addresses of all members of the groups that this
// process is a member of.
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

// sparesInOrder returns the listed peers that are no members, each process's in an order of
// its own, so that the hellos spread over all.
func (n *Node) sparesInOrder(members map[string]bool) []string {
	var spares []string
	for _, address := range n.peers {
		if n.listed[address] && !members[address] && address != n.options.Address {
			spares = append(spares, address)
		}
	}
	rank := func(address string) uint64 { return xxhash.Sum64String(n.options.Address + " " + address) }
	slices.SortFunc(spares, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return spares
}

// forgetPeers drops the addresses that have been silent for long. Seeds and
// members stay.
func (n *Node) forgetPeers(now time.Time) {
	if n.options.BootstrapMode == BootstrapStatic {
		return
	}
	n.peers = slices.DeleteFunc(n.peers, func(address string) bool {
		since := n.candidates[address]
		if known := n.known[address]; known != nil && known.at.After(since) {
			since = known.at
		}
		if now.Sub(since) <= forgetAfter || n.listed[address] || slices.Contains(n.options.Peers, address) || n.memberAt(address) {
			return false
		}
		delete(n.known, address)
		delete(n.candidates, address)
		return true
	})
}

func (n *Node) memberAt(address string) bool {
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

// Bootstrap ends the state of a process that belongs to no cluster yet, with
// FormByOrder. The first voters are listed by group; a process waits to be taken in by
// the groups whose list does not name it by identity.
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
	n.formGroups(own, now)
}

// SetRetiring names the processes whose replicas are to move elsewhere.
func (n *Node) SetRetiring(names []string) {
	n.retiring = make(map[string]bool, len(names))
	for _, name := range names {
		n.retiring[name] = true
	}
}

// discover says hello to every process that this one hears of.
func (h *Host) discover(ctx context.Context) {
	defer h.loops.Done()
	introduced := map[string]context.CancelFunc{}
	for ctx.Err() == nil {
		peers, err := ask(ctx, h, h.node.Peers)
		if err != nil {
			return
		}
		h.introduceOnly(ctx, introduced, peers)
		select {
		case <-ctx.Done():
		case <-time.After(helloInterval):
		}
	}
}

// introduceOnly goes on saying hello to the peers, and to nobody else.
func (h *Host) introduceOnly(ctx context.Context, introduced map[string]context.CancelFunc, peers []string) {
	for peer, cancel := range introduced {
		if !slices.Contains(peers, peer) {
			cancel()
			delete(introduced, peer)
		}
	}
	for _, peer := range peers {
		if introduced[peer] == nil {
			peerContext, cancel := context.WithCancel(ctx)
			introduced[peer] = cancel
			h.introduceAll(peerContext, []string{peer})
		}
	}
}

// SetPeers is Node.SetPeers.
func (h *Host) SetPeers(ctx context.Context, addresses []string) error {
	return h.enter(ctx, func(now time.Time) { h.node.SetPeers(now, addresses) })
}

// AddPeers takes in addresses of further processes.
func (h *Host) AddPeers(ctx context.Context, addresses []string) error {
	return h.enter(ctx, func(now time.Time) { h.node.AddPeers(now, addresses) })
}

// Bootstrap is Node.Bootstrap.
func (h *Host) Bootstrap(ctx context.Context, groups [][]wire.Replica) error {
	return h.enter(ctx, func(now time.Time) { h.node.Bootstrap(now, groups) })
}

// SetRetiring is Node.SetRetiring.
func (h *Host) SetRetiring(ctx context.Context, names []string) error {
	return h.enter(ctx, func(time.Time) { h.node.SetRetiring(names) })
}

// Hello returns who this process is to others.
func (h *Host) Hello(ctx context.Context) (wire.Hello, error) {
	return ask(ctx, h, func(time.Time) wire.Hello { return h.node.Hello() })
}
