package replication

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// helloTTL is how long after a hello its sender counts as alive.
const helloTTL = 2 * time.Second

// openIdentity reads the identity from the store, or creates one if the store has none.
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

// Hello returns the message with which this process introduces itself to others.
func (n *Node) Hello() wire.Hello {
	hello := n.identity
	switch n.options.BootstrapMode {
	case BootstrapFromSeeds:
		hello.Known = append([]string(nil), n.peers...)
	case BootstrapManual:
		// The initial voters and the live processes are distributed outside this package.
		hello.Initial = nil
	}
	return hello
}

// HandleHello records the hello of another control process.
func (n *Node) HandleHello(now time.Time, hello *wire.Hello) {
	n.receivedHellos[hello.Replica.Address] = &receivedHello{hello: *hello, receivedAt: now}
	n.replicaAddresses[hello.Replica.ID] = hello.Replica.Address
	if n.options.BootstrapMode != BootstrapStatic {
		n.AddPeers(now, []string{hello.Replica.Address})
		n.AddPeers(now, hello.Known)
	}
}

// Processes returns this process, followed by the peers that have sent a hello.
func (n *Node) Processes(now time.Time) []wire.Process {
	processes := []wire.Process{{Hello: n.identity}}
	for _, address := range n.peers {
		if received := n.receivedHellos[address]; received != nil && address != n.options.Address {
			processes = append(processes, wire.Process{Hello: received.hello, SilentMillis: now.Sub(received.receivedAt).Milliseconds()})
		}
	}
	return processes
}

// tryBootstrap makes a process part of a cluster if it belongs to none yet.
//
// A cluster is bootstrapped only once: its first process records the identities of the
// initial voters after all of them have reported that they belong to no cluster. The
// others copy that list from any process that has it, but only if it contains their own
// identity. So a process whose data folder was erased in the meantime does not count as
// an initial voter. Every other process waits until a group adds it as a learner.
func (n *Node) tryBootstrap(now time.Time) {
	if n.identity.Formed || n.options.BootstrapMode == BootstrapManual {
		return
	}
	for _, address := range n.peers {
		received := n.receivedHellos[address]
		if received == nil || !received.hello.Formed {
			continue
		}
		if consensus.Contains(received.hello.Initial, n.identity.Replica.ID) {
			n.bootstrapCluster(received.hello.Initial, now)
			return
		}
	}
	if n.clusterExists() {
		n.bootstrapCluster(nil, now)
		return
	}
	if voters := n.initialVoters(now); voters != nil {
		n.bootstrapCluster(voters, now)
	}
}

// clusterExists reports whether any known process belongs to a cluster. No cluster that has this
// process as an initial voter can be bootstrapped unnoticed after this check, because such a
// bootstrap needs a hello from this process.
func (n *Node) clusterExists() bool {
	for _, received := range n.receivedHellos {
		if received.hello.Formed {
			return true
		}
	}
	return false
}

// initialVoters returns the initial voters if this process is responsible for bootstrapping
// the cluster and all of them have sent a recent hello; nil otherwise.
func (n *Node) initialVoters(now time.Time) []wire.Replica {
	if n.options.BootstrapMode == BootstrapFromSeeds && !n.options.Bootstrap {
		return nil
	}
	if len(n.options.Peers) == 0 || n.options.Peers[0] != n.options.Address {
		return nil
	}
	voters := []wire.Replica{n.identity.Replica}
	for _, address := range n.options.Peers[1:min(n.options.Voters, len(n.options.Peers))] {
		received := n.receivedHellos[address]
		if received == nil || now.Sub(received.receivedAt) > helloTTL {
			return nil
		}
		voters = append(voters, received.hello.Replica)
	}
	return voters
}

// bootstrapCluster stores that this process belongs to the cluster with the given initial
// voters. If the list is empty, the process waits until a group adds it.
func (n *Node) bootstrapCluster(initial []wire.Replica, now time.Time) {
	n.identity.Initial = initial
	groups := make([][]wire.Replica, len(n.groups))
	for number := range groups {
		groups[number] = initial
	}
	n.bootstrapGroups(groups, now)
}

// bootstrapGroups stores the initial voters of each group and that this process belongs to
// the cluster, in one write.
func (n *Node) bootstrapGroups(groups [][]wire.Replica, now time.Time) {
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
