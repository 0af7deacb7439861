// Package simulation runs a whole fleet in virtual time, by seed: the pure cores
// of the product (consensus, replication, metastate, jobstate, coordination,
// scheduling, routing, retry, configuration and leases) behind shells that stand
// for sockets, clocks and disks. Faults strike by a schedule drawn from the seed;
// a ledger of what callers were told and what engines did is checked against the
// promises at every step and at the end.
//
// One seed always gives the same run, so that a failing seed can be replayed and
// its schedule shrunk.
package simulation
