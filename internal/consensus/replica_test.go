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

func threeVoterBase() wire.LogBase {
	return wire.LogBase{Membership: wire.Membership{Voters: replicas(3)}}
}

// requestVote sends the replica a vote request and reports whether it grants the vote.
func requestVote(r *Replica, now time.Time, from, term uint64, forced bool) bool {
	r.Step(now, &wire.PeerMessage{Kind: wire.MessageVote, From: from, To: r.ID(), Term: term, Forced: forced})
	ready := r.Ready()
	r.Advance(now, &ready)
	return len(ready.MessagesAfterSync) == 1 && !ready.MessagesAfterSync[0].Reject
}

// TestOneVotePerTerm checks that a replica votes once per term, also after a restart. The last case
// restarts without the stored vote. The second vote is then granted, which shows that the test
// detects a vote that is not stored.
func TestOneVotePerTerm(t *testing.T) {
	later := testStart.Add(time.Second)
	r := testReplica(1, PersistedState{Base: threeVoterBase()})
	if !requestVote(r, later, 2, 5, false) {
		t.Fatal("the first vote of a term was rejected")
	}
	if requestVote(r, later, 3, 5, false) {
		t.Error("a second vote was granted in the same term")
	}
	restarted := testReplica(1, PersistedState{Base: threeVoterBase(), HardState: wire.HardState{Term: 5, Vote: 2}})
	if requestVote(restarted, later, 3, 5, false) {
		t.Error("a second vote was granted after a restart")
	}
	withoutStoredVote := testReplica(1, PersistedState{Base: threeVoterBase()})
	if !requestVote(withoutStoredVote, later, 3, 5, false) {
		t.Error("without a stored vote, the second vote was not granted: the test would not detect the fault")
	}
}

// TestVotes checks under which conditions a replica grants its vote.
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
		{"within an election timeout of the start, forced by the leader", testElection / 2, wire.PeerMessage{Term: 4, Index: 3, LogTerm: 3, Forced: true}, true},
		{"for another identity", time.Second, wire.PeerMessage{Term: 4, Index: 3, LogTerm: 3, To: 99}, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			r := testReplica(1, PersistedState{Base: threeVoterBase(), Entries: entries, HardState: wire.HardState{Term: 3}})
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

// TestSnapshotKeepsMatchingEntries checks that a snapshot whose base the log already holds
// is not installed: the entries after the base may have been counted towards a majority.
func TestSnapshotKeepsMatchingEntries(t *testing.T) {
	entries := []wire.LogEntry{{Index: 1, Term: 1}, {Index: 2, Term: 1}, {Index: 3, Term: 1}}
	r := testReplica(1, PersistedState{Base: threeVoterBase(), Entries: entries})
	base := wire.LogBase{Index: 2, Term: 1}
	if r.ShouldInstallSnapshot(2, &base) {
		t.Error("a snapshot would be installed whose base is in the log")
	}
	if r.log.lastIndex() != 3 || r.CommitIndex() != 2 {
		t.Errorf("last %d, commit %d; want 3 and 2", r.log.lastIndex(), r.CommitIndex())
	}
	other := wire.LogBase{Index: 3, Term: 2}
	if !r.ShouldInstallSnapshot(2, &other) {
		t.Error("a snapshot whose base has another term than the log's entry would not be installed")
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

// TestCommitThatRemovesTheSender checks that a leader survives a response that commits a
// membership without the sender of that response. The leader panicked, because it went on to
// send entries to a replica that it no longer tracked (simulation control_leader_killed,
// seed 1).
func TestCommitThatRemovesTheSender(t *testing.T) {
	c := newTestCluster(3)
	c.advance(300 * time.Millisecond)
	c.cut[[2]uint64{1, 2}] = true
	c.replace(3, 4)
	c.advance(200 * time.Millisecond)
	delete(c.cut, [2]uint64{1, 2})
	c.advance(300 * time.Millisecond)
	if leader := c.replicas[1]; leader.role != Leader || Contains(leader.membership.Voters, 3) || len(leader.membership.Outgoing) > 0 {
		t.Errorf("membership %+v under %s", leader.membership, leader.role)
	}
}

// newClusterLostDuringChange returns a group of the voters 1, 2 and 4 and the learner 3 after
// a disk loss during a membership change. Leader 1 appended the change that replaces 2 by 3
// but sent it to nobody. Replica 4 led next, sent its first entry only to the learner, and
// lost its disk, so it is not started.
func newClusterLostDuringChange(t *testing.T) *testCluster {
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

// TestLearnerCampaignsIfOnlyItCanWin checks that a learner campaigns if its log is the only
// one that can win; otherwise the group would stay without a leader for ever. In the end a
// voter leads, and the entry that a majority may have stored is kept.
func TestLearnerCampaignsIfOnlyItCanWin(t *testing.T) {
	c := newClusterLostDuringChange(t)
	c.advance(20 * testElection)
	leader := uint64(0)
	for _, id := range c.ids() {
		if c.replicas[id].Role() == Leader {
			leader = id
		}
	}
	if leader != 1 && leader != 2 {
		t.Fatalf("replica %d leads, want 1 or 2:\n%s", leader, c.state())
	}
	for _, id := range c.ids() {
		if term, _ := c.replicas[id].log.term(2); term != 2 {
			t.Errorf("n%d has an entry of term %d at index 2, want term 2", id, term)
		}
	}
}

// TestLearnerLeadsOnce checks that a learner that has led and stepped down doesn't campaign
// again: by then the voters have its log.
func TestLearnerLeadsOnce(t *testing.T) {
	c := newClusterLostDuringChange(t)
	r := c.replicas[3]
	for step := 0; r.leaderSince.IsZero() || r.Role() == Leader; step++ {
		if step > 1000 {
			t.Fatalf("the learner did not lead and step down:\n%s", c.state())
		}
		c.advance(time.Millisecond)
	}
	if r.canCampaign(r.now) {
		t.Error("the learner may campaign again")
	}
	firstLed := r.leaderSince
	c.advance(20 * testElection)
	if !r.leaderSince.Equal(firstLed) {
		t.Error("the learner became leader again")
	}
}

// TestLearnerDoesNotCampaignWithoutRejection checks that a learner that rejected no candidate
// does not campaign, however long it hears from no leader.
func TestLearnerDoesNotCampaignWithoutRejection(t *testing.T) {
	c := newClusterLostDuringChange(t)
	delete(c.replicas, 1)
	delete(c.replicas, 2)
	c.advance(20 * testElection)
	if role := c.replicas[3].Role(); role != Follower {
		t.Errorf("the learner is %s", role)
	}
}

// TestEarlyVotes checks which candidate gets a vote within the shortest election timeout after a
// start: only the candidate that may hold a lease which this replica granted before its restart.
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
		{"another replica, even the one voted for", wire.HardState{Term: 3, Vote: 3, Leader: 2}, nil, 3, false},
		{"the last leader is not known", wire.HardState{Term: 3, Vote: 2}, nil, 2, false},
		{"a leader has been followed since", wire.HardState{Term: 3, Leader: 2}, func(r *Replica) { follow(r, 3, 4) }, 2, false},
		{"the same leader has been followed since", wire.HardState{Term: 3, Leader: 2}, func(r *Replica) { follow(r, 2, 3) }, 2, false},
		{"this replica led", wire.HardState{Term: 3, Leader: 1}, nil, 2, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, kind := range []wire.MessageKind{wire.MessagePreVote, wire.MessageVote} {
				r := testReplica(1, PersistedState{Base: threeVoterBase(), Entries: entries, HardState: test.hard})
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

// TestLeaderIsStoredBeforeFirstResponse checks that the hard state that names the leader is
// stored no later than the first response to the leader is sent, and that a new term resets
// it.
func TestLeaderIsStoredBeforeFirstResponse(t *testing.T) {
	for _, kind := range []wire.MessageKind{wire.MessageHeartbeat, wire.MessageAppend} {
		r := testReplica(1, PersistedState{Base: threeVoterBase(), HardState: wire.HardState{Term: 3}})
		r.Step(testStart, &wire.PeerMessage{Kind: kind, From: 2, To: 1, Term: 3})
		ready := r.Ready()
		if len(ready.MessagesAfterSync) != 1 || ready.HardState == nil || *ready.HardState != (wire.HardState{Term: 3, Leader: 2}) {
			t.Errorf("message kind %d: %d responses, stored %+v", kind, len(ready.MessagesAfterSync), ready.HardState)
		}
		r.Advance(testStart, &ready)
		if !requestVote(r, testStart.Add(time.Second), 3, 5, false) {
			t.Fatal("the vote was rejected")
		}
		if r.persistedHardState != (wire.HardState{Term: 5, Vote: 3}) {
			t.Errorf("message kind %d: stored %+v with the vote", kind, r.persistedHardState)
		}
	}
	soleVoter := testReplica(1, PersistedState{Base: wire.LogBase{Membership: wire.Membership{Voters: replicas(1)}}})
	soleVoter.Tick(testStart)
	ready := soleVoter.Ready()
	if ready.HardState == nil || *ready.HardState != (wire.HardState{Term: 1, Vote: 1, Leader: 1}) {
		t.Errorf("a leader stored %+v", ready.HardState)
	}
}
