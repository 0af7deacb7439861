package replication

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// helloFresh is how long an introduction counts as news of a living process.
const helloFresh = 2 * time.Second

// openIdentity reads the identity of the data folder, or makes one.
func (n *Node) openIdentity() error {
	if err := readMessage(n.options.Store, identityKey, &n.identity); err != nil {
		return err
	}
	if n.identity.Replica.ID == 0 {
		n.identity.Replica.ID = n.options.NewID()
	}
	n.identity.Replica.Name = n.options.Name
	n.identity.Replica.Address = n.options.Address
	n.commit([]storage.Mutation{{Key: identityKey, Value: encode(&n.identity)}}, true)
	return nil
}

// Hello introduces this process to others.
func (n *Node) Hello() wire.Hello {
	hello := n.identity
	switch n.options.BootstrapMode {
	case BootstrapFromSeeds:
		hello.Known = append([]string(nil), n.peers...)
	case BootstrapManual:
		// Who forms a cluster, and who lives, is known from elsewhere.
		hello.Initial = nil
	}
	return hello
}

// HandleHello takes in the introduction of another control process.
func (n *Node) HandleHello(now time.Time, hello *wire.Hello) {
	n.known[hello.Replica.Address] = &heard{hello: *hello, at: now}
	n.addresses[hello.Replica.ID] = hello.Replica.Address
	if n.options.BootstrapMode != BootstrapStatic {
		n.AddPeers(now, []string{hello.Replica.Address})
		n.AddPeers(now, hello.Known)
	}
}

// Processes returns the control processes that have introduced themselves.
func (n *Node) Processes(now time.Time) []wire.Process {
	processes := []wire.Process{{Hello: n.identity}}
	for _, address := range n.peers {
		if known := n.known[address]; known != nil && address != n.options.Address {
			processes = append(processes, wire.Process{Hello: known.hello, SilentMillis: now.Sub(known.at).Milliseconds()})
		}
	}
	return processes
}

// tryForm ends the state of a process that belongs to no cluster yet.
//
// A cluster forms once only: its first process lists the first voters by
// identity after all of them have said that they belong to none. The others take
// the list over from any process that has it, provided that it names them by
// identity; so a process whose folder was emptied meanwhile does not count as
// one of them. Every other process waits to be taken in as a learner.
func (n *Node) tryForm(now time.Time) {
	if n.identity.Formed || n.options.BootstrapMode == BootstrapManual {
		return
	}
	for _, address := range n.peers {
		known := n.known[address]
		if known == nil || !known.hello.Formed {
			continue
		}
		if consensus.Contains(known.hello.Initial, n.identity.Replica.ID) {
			n.form(known.hello.Initial, now)
			return
		}
	}
	if n.clusterExists() {
		n.form(nil, now)
		return
	}
	if voters := n.firstVoters(now); voters != nil {
		n.form(voters, now)
	}
}

// clusterExists reports whether any process belongs to a cluster. One that forms
// later than this is heard of before, because forming needs this process's own
// answer or it is no first voter.
func (n *Node) clusterExists() bool {
	for _, known := range n.known {
		if known.hello.Formed {
			return true
		}
	}
	return false
}

// firstVoters returns the list of first voters if this process is the one to
// make it and all of them are there.
func (n *Node) firstVoters(now time.Time) []wire.Replica {
	if n.options.BootstrapMode == BootstrapFromSeeds && !n.options.Bootstrap {
		return nil
	}
	if len(n.options.Peers) == 0 || n.options.Peers[0] != n.options.Address {
		return nil
	}
	voters := []wire.Replica{n.identity.Replica}
	for _, address := range n.options.Peers[1:min(n.options.Voters, len(n.options.Peers))] {
		known := n.known[address]
		if known == nil || now.Sub(known.at) > helloFresh {
			return nil
		}
		voters = append(voters, known.hello.Replica)
	}
	return voters
}

// form stores that this process belongs to the cluster of the first voters; an
// empty list means that it waits to be taken in.
func (n *Node) form(initial []wire.Replica, now time.Time) {
	n.identity.Initial = initial
	groups := make([][]wire.Replica, len(n.groups))
	for number := range groups {
		groups[number] = initial
	}
	n.formGroups(groups, now)
}

// formGroups is form with first voters for each group, in one write.
func (n *Node) formGroups(groups [][]wire.Replica, now time.Time) {
	n.identity.Formed = true
	batch := []storage.Mutation{{Key: identityKey, Value: encode(&n.identity)}}
	for _, g := range n.groups {
		base := wire.LogBase{Membership: wire.Membership{Voters: groups[g.number]}}
		batch = append(batch, storage.Mutation{Key: groupKey(g.number, sectionBase), Value: encode(&base)})
	}
	n.commit(batch, true)
	for _, g := range n.groups {
		g.replica.Bootstrap(now, wire.Membership{Voters: groups[g.number]})
	}
}
