package replication

import (
	"context"
	"slices"
	"time"

	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Formation says how the first membership of a cluster comes about.
type Formation uint8

const (
	// FormFixed takes it from the list of all processes, which is the same
	// everywhere.
	FormFixed Formation = iota
	// FormBySeeds makes the processes at the first addresses the first voters.
	// All others join; processes find one another by asking.
	FormBySeeds
	// FormByOrder waits for Form to be called.
	FormByOrder
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

// Peers returns the addresses of the processes to say hello to.
func (n *Node) Peers(time.Time) []string { return append([]string(nil), n.peers...) }

// forgetPeers drops the addresses that have been silent for long. Seeds and
// members stay.
func (n *Node) forgetPeers(now time.Time) {
	if n.options.Formation == FormFixed {
		return
	}
	n.peers = slices.DeleteFunc(n.peers, func(address string) bool {
		since := n.candidates[address]
		if known := n.known[address]; known != nil && known.at.After(since) {
			since = known.at
		}
		if now.Sub(since) <= forgetAfter || slices.Contains(n.options.Peers, address) || n.memberAt(address) {
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

// Form ends the state of a process that belongs to no cluster yet, with
// FormByOrder. A process that the list does not name by identity waits to be
// taken in.
func (n *Node) Form(now time.Time, voters []wire.Replica) {
	if n.identity.Formed || len(voters) == 0 {
		return
	}
	if !consensus.Contains(voters, n.identity.Replica.ID) {
		voters = nil
	}
	n.form(voters, now)
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
	introduced := map[string]bool{}
	for ctx.Err() == nil {
		peers, err := ask(ctx, h, h.node.Peers)
		if err != nil {
			return
		}
		var added []string
		for _, peer := range peers {
			if !introduced[peer] {
				introduced[peer] = true
				added = append(added, peer)
			}
		}
		h.introduceAll(ctx, added)
		select {
		case <-ctx.Done():
		case <-time.After(helloInterval):
		}
	}
}

// AddPeers takes in addresses of further processes.
func (h *Host) AddPeers(ctx context.Context, addresses []string) error {
	return h.enter(ctx, func(now time.Time) { h.node.AddPeers(now, addresses) })
}

// Form is Node.Form.
func (h *Host) Form(ctx context.Context, voters []wire.Replica) error {
	return h.enter(ctx, func(now time.Time) { h.node.Form(now, voters) })
}

// SetRetiring is Node.SetRetiring.
func (h *Host) SetRetiring(ctx context.Context, names []string) error {
	return h.enter(ctx, func(time.Time) { h.node.SetRetiring(names) })
}

// Identity returns who this process is to others.
func (h *Host) Identity(ctx context.Context) (wire.Hello, error) {
	return ask(ctx, h, func(time.Time) wire.Hello { return h.node.Hello() })
}
