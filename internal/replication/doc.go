// Package replication runs the Raft replicas of a control process, one per group, over
// one store, and applies committed commands to the state machine of each group.
//
// Node is deterministic: it is driven by timestamps and messages and writes to a store.
// It writes the changes of all groups in one batch with one sync. Host runs a node in a
// real process, with an event loop and connections to the peers.
//
// A command is committed once a majority has synced it to its log. The effects of the
// command are stored without a sync of their own, because they can be replayed from the
// log.
package replication
