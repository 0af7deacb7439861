package consensus

import (
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

var testStart = time.Unix(0, 0)

func testReplica(id uint64, restored PersistedState) *Replica {
	return New(Config{
		ID:                id,
		ElectionTimeout:   testElection,
		HeartbeatInterval: testHeartbeat,
		MaxAppendBytes:    256,
		MaxInflightBytes:  1024,
		Random:            fixedRandom(1),
	}, restored, testStart)
}

func three() wire.LogBase {
	return wire.LogBase{Membership: wire.Membership{Voters: replicas(3)}}
}

// vote asks the replica for its vote and reports whether it gave it.
func vote(r *Replica, now time.Time, from, term uint64, forced bool) bool {
	r.Step(now, &wire.PeerMessage{Kind: wire.MessageVote, From: from, To: r.ID(), Term: term, Forced: forced})
	ready := r.Ready()
	r.Advance(now, &ready)
	return len(ready.MessagesAfterSync) == 1 && !ready.MessagesAfterSync[0].Reject
}

// TestOneVotePerTerm shows that the stored vote is what keeps a restarted replica
// from voting twice: without it the second vote is given.
func TestOneVotePerTerm(t *testing.T) {
	later := testStart.Add(time.Second)
	r := testReplica(1, PersistedState{Base: three()})
	if !vote(r, later, 2, 5, false) {
		t.Fatal("the first vote of a term was refused")
	}
	if vote(r, later, 3, 5, false) {
		t.Error("a second vote was given in the same term")
	}
	restarted := testReplica(1, PersistedState{Base: three(), HardState: wire.HardState{Term: 5, Vote: 2}})
	if vote(restarted, later, 3, 5, false) {
		t.Error("a second vote was given after a restart")
	}
	forgetful := testReplica(1, PersistedState{Base: three()})
	if !vote(forgetful, later, 3, 5, false) {
		t.Error("the mutation without a stored vote is not seen")
	}
}

// TestVotes lists when a vote is given.
func TestVotes(t *testing.T) {
	entries := []wire.LogEntry{{Index: 1, Term: 2}, {Index: 2, Term: 3}}
	cases := []struct {
		name    string
		after   time.Duration
		message wire.PeerMessage
		granted bool
	}{
		{"longer log", time.Second, wire.PeerMessage{Term: 4, Index: 3, LogTerm: 3}, true},
		{"same log", time.Second, wire.PeerMessage{Term: 4, Index: 2, LogTerm: 3}, true},
		{"shorter log", time.Second, wire.PeerMessage{Term: 4, Index: 1, LogTerm: 3}, false},
		{"older last term", time.Second, wire.PeerMessage{Term: 4, Index: 9, LogTerm: 2}, false},
		{"older term", time.Second, wire.PeerMessage{Term: 2, Index: 9, LogTerm: 9}, false},
		{"within an election timeout of the start", testElection / 2, wire.PeerMessage{Term: 4, Index: 3, LogTerm: 3}, false},
		{"the same, named by the leader", testElection / 2, wire.PeerMessage{Term: 4, Index: 3, LogTerm: 3, Forced: true}, true},
		{"for another identity", time.Second, wire.PeerMessage{Term: 4, Index: 3, LogTerm: 3, To: 99}, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			r := testReplica(1, PersistedState{Base: three(), Entries: entries, HardState: wire.HardState{Term: 3}})
			message := test.message
			message.Kind, message.From = wire.MessageVote, 2
			if message.To == 0 {
				message.To = 1
			}
			r.Step(testStart.Add(test.after), &message)
			ready := r.Ready()
			granted := len(ready.MessagesAfterSync) == 1 && !ready.MessagesAfterSync[0].Reject
			if granted != test.granted {
				t.Errorf("granted %t, want %t", granted, test.granted)
			}
		})
	}
}

// TestSnapshotKeepsMatchingEntries: entries after a snapshot's position may have
// been counted for a majority and must stay.
func TestSnapshotKeepsMatchingEntries(t *testing.T) {
	entries := []wire.LogEntry{{Index: 1, Term: 1}, {Index: 2, Term: 1}, {Index: 3, Term: 1}}
	r := testReplica(1, PersistedState{Base: three(), Entries: entries})
	base := wire.LogBase{Index: 2, Term: 1}
	if r.ShouldInstallSnapshot(2, &base) {
		t.Error("a snapshot is wanted that the log holds already")
	}
	if r.log.lastIndex() != 3 || r.CommitIndex() != 2 {
		t.Errorf("last %d, commit %d; want 3 and 2", r.log.lastIndex(), r.CommitIndex())
	}
	other := wire.LogBase{Index: 3, Term: 2}
	if !r.ShouldInstallSnapshot(2, &other) {
		t.Error("a snapshot of another term's entry is not wanted")
	}
}

func TestQuorum(t *testing.T) {
	values := map[uint64]int64{1: 5, 2: 4, 3: 3, 4: 2, 5: 1, 6: 9, 7: 9}
	value := func(id uint64) int64 { return values[id] }
	cases := []struct {
		name       string
		membership wire.Membership
		want       int64
	}{
		{"one", wire.Membership{Voters: replicas(1)}, 5},
		{"three", wire.Membership{Voters: replicas(3)}, 4},
		{"four need three", wire.Membership{Voters: replicas(4)}, 3},
		{"five", wire.Membership{Voters: replicas(5)}, 3},
		{"joint takes the lower", wire.Membership{Voters: replicas(7)[4:], Outgoing: replicas(5)}, 3},
		{"learners do not count", wire.Membership{Voters: replicas(3), Learners: replicas(7)[5:]}, 4},
		{"nobody", wire.Membership{}, 0},
	}
	for _, test := range cases {
		if got := quorumValue(&test.membership, value); got != test.want {
			t.Errorf("%s: %d, want %d", test.name, got, test.want)
		}
	}
}

// TestCommitThatRemovesTheSender: the answer that commits a membership may come
// from a replica that the membership lacks. Simulation seed 1 of
// control_leader_killed panicked here.
func TestCommitThatRemovesTheSender(t *testing.T) {
	c := newTestCluster(3)
	c.pass(300 * time.Millisecond)
	c.cut[[2]uint64{1, 2}] = true
	c.replace(3, 4)
	c.pass(200 * time.Millisecond)
	delete(c.cut, [2]uint64{1, 2})
	c.pass(300 * time.Millisecond)
	if leader := c.replicas[1]; leader.role != Leader || Contains(leader.membership.Voters, 3) || len(leader.membership.Outgoing) > 0 {
		t.Errorf("membership %+v under %s", leader.membership, leader.role)
	}
}

// lostWithinAChange is a group of voters 1, 2 and 4 with the learner 3. Leader 1 has appended
// the change that lets 3 take the place of 2, and told nobody; 4 led after it, told its first
// entry to the learner alone, and lost its disk.
func lostWithinAChange(t *testing.T) *testCluster {
	t.Helper()
	voters := wire.Membership{Voters: []wire.Replica{{ID: 1}, {ID: 2}, {ID: 4}}, Learners: []wire.Replica{{ID: 3}}}
	change := wire.Membership{Voters: []wire.Replica{{ID: 1}, {ID: 3}, {ID: 4}}, Outgoing: voters.Voters}
	encoded, err := change.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	c := newTestCluster(0)
	base, hard := wire.LogBase{Membership: voters}, wire.HardState{Term: 2}
	first := wire.LogEntry{Index: 1, Term: 1}
	c.stored[1] = &PersistedState{Base: base, HardState: hard, Entries: []wire.LogEntry{first, {Index: 2, Term: 1, Kind: wire.EntryMembership, Data: encoded}}}
	c.stored[2] = &PersistedState{Base: base, HardState: hard, Entries: []wire.LogEntry{first}}
	c.stored[3] = &PersistedState{Base: base, HardState: hard, Entries: []wire.LogEntry{first, {Index: 2, Term: 2, Kind: wire.EntryNoop}}}
	for id := range c.stored {
		c.start(id)
	}
	return c
}

// TestLearnerStandsWhereNobodyElseCan: without it the group had no leader for good. A voter
// leads in the end, and the entry that a majority may have had is kept.
func TestLearnerStandsWhereNobodyElseCan(t *testing.T) {
	c := lostWithinAChange(t)
	c.pass(20 * testElection)
	leader := uint64(0)
	for _, id := range c.ids() {
		if c.replicas[id].Role() == Leader {
			leader = id
		}
	}
	if leader != 1 && leader != 2 {
		t.Fatalf("%d leads:\n%s", leader, c.state())
	}
	for _, id := range c.ids() {
		if term, _ := c.replicas[id].log.term(2); term != 2 {
			t.Errorf("n%d has the entry of term %d at 2", id, term)
		}
	}
}

// TestLearnerLeadsOnce: a learner that has led and stepped down leaves the lead to the voters,
// which have its log by then.
func TestLearnerLeadsOnce(t *testing.T) {
	c := lostWithinAChange(t)
	r := c.replicas[3]
	for step := 0; r.leaderSince.IsZero() || r.Role() == Leader; step++ {
		if step > 1000 {
			t.Fatalf("the learner has not led and stepped down:\n%s", c.state())
		}
		c.pass(time.Millisecond)
	}
	if r.mayStand(r.now) {
		t.Error("it may stand again")
	}
	led := r.leaderSince
	c.pass(20 * testElection)
	if !r.leaderSince.Equal(led) {
		t.Error("it has led again")
	}
}

// TestLearnerStandsForNothing: a learner that refused nobody does not stand, however long it
// hears no leader, and neither does one whose group has a leader.
func TestLearnerStandsForNothing(t *testing.T) {
	c := lostWithinAChange(t)
	delete(c.replicas, 1)
	delete(c.replicas, 2)
	c.pass(20 * testElection)
	if role := c.replicas[3].Role(); role != Follower {
		t.Errorf("the learner is %s", role)
	}
}

// TestEarlyVotes lists who is voted for within the shortest election timeout after a start:
// the one alone who may hold a lease that this replica granted before.
func TestEarlyVotes(t *testing.T) {
	entries := []wire.LogEntry{{Index: 1, Term: 2}, {Index: 2, Term: 3}}
	early := testStart.Add(testElection / 2)
	follow := func(r *Replica, from, term uint64) {
		r.Step(early, &wire.PeerMessage{Kind: wire.MessageHeartbeat, From: from, To: 1, Term: term})
		ready := r.Ready()
		r.Advance(early, &ready)
	}
	for _, test := range []struct {
		name    string
		hard    wire.HardState
		before  func(r *Replica)
		from    uint64
		granted bool
	}{
		{"the leader followed last", wire.HardState{Term: 3, Vote: 3, Leader: 2}, nil, 2, true},
		{"another, even one voted for", wire.HardState{Term: 3, Vote: 3, Leader: 2}, nil, 3, false},
		{"who led is not known", wire.HardState{Term: 3, Vote: 2}, nil, 2, false},
		{"a leader has been followed since", wire.HardState{Term: 3, Leader: 2}, func(r *Replica) { follow(r, 3, 4) }, 2, false},
		{"the same has been followed since", wire.HardState{Term: 3, Leader: 2}, func(r *Replica) { follow(r, 2, 3) }, 2, false},
		{"this replica led", wire.HardState{Term: 3, Leader: 1}, nil, 2, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, kind := range []wire.MessageKind{wire.MessagePreVote, wire.MessageVote} {
				r := testReplica(1, PersistedState{Base: three(), Entries: entries, HardState: test.hard})
				if test.before != nil {
					test.before(r)
				}
				r.Step(early, &wire.PeerMessage{Kind: kind, From: test.from, To: 1, Term: 9, Index: 3, LogTerm: 3})
				ready := r.Ready()
				if granted := len(ready.MessagesAfterSync) == 1 && !ready.MessagesAfterSync[0].Reject; granted != test.granted {
					t.Errorf("granted %t, want %t", granted, test.granted)
				}
			}
		})
	}
}

// TestLeaderIsStoredBeforeItIsAnswered: the state that names a leader goes to the disk with
// the first answer to it, or before, and a new term names nobody.
func TestLeaderIsStoredBeforeItIsAnswered(t *testing.T) {
	for _, kind := range []wire.MessageKind{wire.MessageHeartbeat, wire.MessageAppend} {
		r := testReplica(1, PersistedState{Base: three(), HardState: wire.HardState{Term: 3}})
		r.Step(testStart, &wire.PeerMessage{Kind: kind, From: 2, To: 1, Term: 3})
		ready := r.Ready()
		if len(ready.MessagesAfterSync) != 1 || ready.HardState == nil || *ready.HardState != (wire.HardState{Term: 3, Leader: 2}) {
			t.Errorf("%d: %d answers, stored %+v", kind, len(ready.MessagesAfterSync), ready.HardState)
		}
		r.Advance(testStart, &ready)
		if !vote(r, testStart.Add(time.Second), 3, 5, false) {
			t.Fatal("no vote was given")
		}
		if r.storedHard != (wire.HardState{Term: 5, Vote: 3}) {
			t.Errorf("%d: stored %+v with the vote", kind, r.storedHard)
		}
	}
	alone := testReplica(1, PersistedState{Base: wire.LogBase{Membership: wire.Membership{Voters: replicas(1)}}})
	alone.Tick(testStart)
	ready := alone.Ready()
	if ready.HardState == nil || *ready.HardState != (wire.HardState{Term: 1, Vote: 1, Leader: 1}) {
		t.Errorf("a leader stored %+v", ready.HardState)
	}
}
