// Package consensus is the replicated log core of one group, after Raft. It is a
// pure state machine: Step takes a message, Tick a moment, Propose a command;
// Ready returns what must be stored, sent and applied. Clocks, sockets, disks and
// random numbers stay outside.
//
// "Thesis" in comments is D. Ongaro, Consensus: Bridging Theory and Practice
// (2014).
//
// Invariants, beside those of thesis figure 3.2:
//   - a replica is its storage: messages to another identity are ignored, so
//     that an emptied disk never answers for what it has lost;
//   - a replica that heard a leader within the election timeout grants no vote,
//     unless that leader itself asked for the election (thesis 4.2.3, 6.4.1);
//     a restarted replica counts its start as such a contact;
//   - a leader's lease ends before any other replica can win an election,
//     provided that clocks run at rates within a fifth of each other;
//   - a membership counts from the moment it is in the log (thesis 4.3); at most
//     one change is under way.
package consensus
