// Package consensus implements the Raft consensus algorithm for one group of
// replicas. It is a pure state machine without clock, network, disk or source of
// randomness: Step handles a message, Tick advances the time, Propose appends a
// command, and Ready returns what the caller must store, send and apply.
//
// "Thesis" in comments refers to D. Ongaro, Consensus: Bridging Theory and Practice
// (2014).
//
// Invariants, in addition to those of thesis figure 3.2:
//   - a replica is identified by its storage: it ignores messages addressed to
//     another identity, so that a replica whose disk was erased never responds on
//     behalf of the data it lost;
//   - a replica that heard from a leader within the election timeout grants no
//     vote, unless that leader itself requested the election (thesis 4.2.3, 6.4.1);
//     a restarted replica treats its start as contact with a leader;
//   - a leader's lease expires before any other replica can win an election,
//     provided that the rates of their clocks differ by at most a fifth;
//   - a membership takes effect as soon as it is in the log (thesis 4.3); at most
//     one membership change is in progress.
package consensus
