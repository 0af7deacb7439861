// Package simulation runs a whole fleet in virtual time from a seed. It runs the product's
// deterministic packages (consensus, replication, metastate, jobstate, coordination, scheduling,
// routing, retry, configuration and leases) on simulated sockets, clocks and disks. Faults are
// injected by a schedule that is drawn from the seed. A ledger records the answers that callers got
// and the work that engines did, and checks them against the system's promises during the run and
// at its end.
//
// A seed always gives the same run, so that a failing seed can be replayed and its schedule of
// faults shrunk.
package simulation
