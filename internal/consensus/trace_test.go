package consensus

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// A trace is a test scenario as text: commands, each followed by the resulting state of
// all replicas. `SEDGEMAST_REWRITE_TRACES=1 go test` rewrites the trace files with the
// current behaviour, for review.

const (
	testElection  = 100 * time.Millisecond
	testHeartbeat = 20 * time.Millisecond
)

// fixedRandom is a Random that gives each replica a different, fixed election timeout.
type fixedRandom int

func (f fixedRandom) IntN(n int) int { return int(f) * n / 10 }

// testCluster runs replicas over a simulated network that the test controls.
type testCluster struct {
	now      time.Time
	replicas map[uint64]*Replica
	stored   map[uint64]*PersistedState
	queue    []wire.PeerMessage
	cut      map[[2]uint64]bool
	applied  map[uint64][]string
}

func newTestCluster(voters int) *testCluster {
	c := &testCluster{
		now:      time.Unix(0, 0),
		replicas: map[uint64]*Replica{},
		stored:   map[uint64]*PersistedState{},
		cut:      map[[2]uint64]bool{},
		applied:  map[uint64][]string{},
	}
	for id := uint64(1); id <= uint64(voters); id++ {
		c.stored[id] = &PersistedState{Base: wire.LogBase{Membership: wire.Membership{Voters: replicas(voters)}}}
		c.start(id)
	}
	return c
}

func replicas(count int) []wire.Replica {
	var list []wire.Replica
	for id := 1; id <= count; id++ {
		list = append(list, wire.Replica{ID: uint64(id), Name: fmt.Sprintf("n%d", id)})
	}
	return list
}

func (c *testCluster) start(id uint64) {
	c.replicas[id] = New(Config{
		ID:                id,
		ElectionTimeout:   testElection,
		HeartbeatInterval: testHeartbeat,
		MaxAppendBytes:    256,
		MaxInflightBytes:  1024,
		Random:            fixedRandom(id),
	}, *c.stored[id], c.now)
}

// flush does all the work that the replicas have ready, and queues their messages.
func (c *testCluster) flush() {
	for busy := true; busy; {
		busy = false
		for _, id := range c.ids() {
			ready := c.replicas[id].Ready()
			if ready.Empty() {
				continue
			}
			busy = true
			c.queue = append(c.queue, ready.MessagesBeforeSync...)
			c.store(id, &ready)
			c.queue = append(c.queue, ready.MessagesAfterSync...)
			for _, entry := range ready.Committed {
				if entry.Kind == wire.EntryCommand {
					c.applied[id] = append(c.applied[id], string(entry.Data))
				}
			}
			if count := len(ready.Committed); count > 0 {
				c.stored[id].AppliedIndex = ready.Committed[count-1].Index
			}
			c.replicas[id].Advance(c.now, &ready)
		}
	}
}

func (c *testCluster) store(id uint64, ready *Ready) {
	stored := c.stored[id]
	if ready.HardState != nil {
		stored.HardState = *ready.HardState
	}
	if ready.TruncateFrom > 0 {
		stored.Entries = stored.Entries[:ready.TruncateFrom-stored.Base.Index-1]
	}
	stored.Entries = append(stored.Entries, ready.Entries...)
}

func (c *testCluster) ids() []uint64 {
	var ids []uint64
	for id := range c.replicas {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(a, b int) bool { return ids[a] < ids[b] })
	return ids
}

// deliver delivers the queued messages and those sent in response, until none is left.
func (c *testCluster) deliver() {
	for c.flush(); len(c.queue) > 0; c.flush() {
		message := c.queue[0]
		c.queue = c.queue[1:]
		if to := c.replicas[message.To]; to != nil && !c.cut[[2]uint64{message.From, message.To}] {
			to.Step(c.now, &message)
		}
	}
}

// advance advances the time in small steps, and delivers the messages after each.
func (c *testCluster) advance(duration time.Duration) {
	const step = 10 * time.Millisecond
	for end := c.now.Add(duration); c.now.Before(end); {
		c.now = c.now.Add(step)
		for _, id := range c.ids() {
			c.replicas[id].Tick(c.now)
		}
		c.deliver()
	}
}

func (c *testCluster) state() string {
	var text strings.Builder
	for _, id := range c.ids() {
		r := c.replicas[id]
		fmt.Fprintf(&text, "n%d %s term=%d commit=%d last=%d applied=%s", id, r.role, r.term, r.log.commit, r.log.lastIndex(), strings.Join(c.applied[id], ","))
		if !r.LeaseExpiry(c.now).Before(c.now) && !r.LeaseExpiry(c.now).IsZero() {
			text.WriteString(" lease")
		}
		text.WriteString("\n")
	}
	return text.String()
}

// run executes one command of a trace and returns the resulting state.
func (c *testCluster) run(command string) (output string) {
	fields := strings.Fields(command)
	var first, second uint64
	argument := func(index int) uint64 {
		var id uint64
		if _, err := fmt.Sscanf(fields[index], "n%d", &id); err != nil {
			panic(command)
		}
		return id
	}
	if len(fields) > 1 && strings.HasPrefix(fields[1], "n") {
		first = argument(1)
	}
	if len(fields) > 2 && strings.HasPrefix(fields[2], "n") {
		second = argument(2)
	}
	switch fields[0] {
	case "pass":
		duration, err := time.ParseDuration(fields[1])
		if err != nil {
			panic(err)
		}
		c.advance(duration)
	case "propose":
		if _, _, err := c.replicas[first].Propose([]byte(fields[2])); err != nil {
			output = "refused\n"
		}
		c.deliver()
	case "cut":
		c.cut[[2]uint64{first, second}], c.cut[[2]uint64{second, first}] = true, true
	case "cut-one-way":
		c.cut[[2]uint64{first, second}] = true
	case "isolate":
		for _, id := range c.ids() {
			c.cut[[2]uint64{first, id}], c.cut[[2]uint64{id, first}] = true, true
		}
	case "heal":
		c.cut = map[[2]uint64]bool{}
	case "stop":
		delete(c.replicas, first)
	case "start":
		c.start(first)
	case "forget-vote":
		c.stored[first].HardState = wire.HardState{}
	case "forget-leader":
		// A hard state written by a version that does not store the leader.
		c.stored[first].HardState.Leader = 0
	case "transfer":
		c.replicas[first].TransferLeadership(c.now)
		c.deliver()
	case "replace":
		c.replace(first, second)
	case "state":
	default:
		panic("unknown command " + command)
	}
	return output + c.state()
}

// replace makes each leader propose a membership with newID in place of oldID.
func (c *testCluster) replace(oldID, newID uint64) {
	for _, id := range c.ids() {
		r := c.replicas[id]
		if r.role != Leader {
			continue
		}
		var voters []wire.Replica
		for _, voter := range r.membership.Voters {
			if voter.ID != oldID {
				voters = append(voters, voter)
			}
		}
		newVoter := wire.Replica{ID: newID, Name: fmt.Sprintf("n%d", newID)}
		if c.stored[newID] == nil {
			c.stored[newID] = &PersistedState{}
			c.start(newID)
		}
		if err := r.ProposeMembership(append(voters, newVoter), nil); err != nil {
			panic(err)
		}
	}
	c.deliver()
}

func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no trace files found: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			got := replay(string(data))
			if os.Getenv("SEDGEMAST_REWRITE_TRACES") != "" {
				if err := os.WriteFile(file, []byte(got), 0o600); err != nil {
					t.Fatal(err)
				}
				return
			}
			if got != string(data) {
				t.Errorf("the trace differs from the file; check it and rewrite the file with SEDGEMAST_REWRITE_TRACES=1. It is now\n%s", got)
			}
		})
	}
}

// replay runs the commands of a trace, which are the lines that begin with "> ", and
// returns the trace with the state after each command.
func replay(trace string) string {
	var cluster *testCluster
	var text strings.Builder
	for _, line := range strings.Split(strings.TrimSpace(trace), "\n") {
		command, isCommand := strings.CutPrefix(line, "> ")
		switch {
		case strings.HasPrefix(line, "#"):
			text.WriteString(line + "\n")
		case !isCommand:
		case strings.HasPrefix(command, "cluster "):
			var voters int
			if _, err := fmt.Sscanf(command, "cluster %d", &voters); err != nil {
				panic(err)
			}
			cluster = newTestCluster(voters)
			text.WriteString(line + "\n")
		default:
			text.WriteString(line + "\n" + cluster.run(command))
		}
	}
	return text.String()
}
