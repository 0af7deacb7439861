// Package replication runs the consensus cores of a control process's groups
// over one store, and applies what they commit to the groups' state machines.
//
// Node is deterministic: it is driven by moments and messages, and writes to a
// store; all groups' changes of one round go into one batch with one sync. Host
// runs a node in a real process, with a loop and connections to the peers.
//
// A command is committed once a majority has it in its synced log; its effects
// are then stored without a sync of their own, because the log can replay them.
package replication
