package test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/loadgen"
	"github.com/sedgemast/sedgemast/internal/metastate"
	"github.com/sedgemast/sedgemast/internal/operator"
)

// fullSize is the fleet of the failure tests: five voters and one spare control process.
var fullSize = clusterSize{controls: 6, engines: 6, dispatchers: 3, gateways: 3}

// configWriter changes the configuration repeatedly and records the longest time between two
// accepted changes.
type configWriter struct {
	mutex      sync.Mutex
	accepted   int
	last       time.Time
	longestGap time.Duration
	revision   uint64
	err        error
}

func (w *configWriter) run(ctx context.Context, client *operator.Client, name string) {
	for number := 0; ctx.Err() == nil; number++ {
		current, err := client.Documents(ctx, "none", "")
		if err != nil {
			continue
		}
		spec, err := json.Marshal(metastate.Drain{Reason: fmt.Sprint(number)})
		if err != nil {
			w.err = err
			return
		}
		applied, err := operator.ApplyWithRetry(ctx, client, &operator.Change{
			ChangeID:         fmt.Sprintf("%s-%d", name, number),
			ExpectedRevision: &current.Revision,
			Documents:        []operator.Document{{Kind: metastate.KindDrain, Name: "nobody", Spec: spec}},
		})
		if err != nil {
			if ctx.Err() == nil {
				w.err = err
			}
			return
		}
		w.recordAccepted(applied.Revision)
		time.Sleep(10 * time.Millisecond)
	}
}

func (w *configWriter) recordAccepted(revision uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	if w.accepted > 0 {
		w.longestGap = max(w.longestGap, now.Sub(w.last))
	}
	if revision <= w.revision {
		w.err = fmt.Errorf("revision %d was accepted after revision %d", revision, w.revision)
	}
	w.accepted++
	w.last, w.revision = now, revision
}

// leader returns the index of the control process that leads the meta group.
func (c *cluster) leader(t *testing.T, ctx context.Context) int {
	t.Helper()
	status, err := c.operator().Status(ctx)
	if err != nil {
		t.Fatal(err)
	}
	for number, process := range c.controls {
		if process.name == status.Control[0].Name {
			return number
		}
	}
	t.Fatalf("no control process is named %s", status.Control[0].Name)
	return 0
}

// waitVoters waits until at least want voters are responsive and nearly up to date. A voter counts
// if it is the leader, or if it answered in the last second and lags by fewer than 100 entries.
func (c *cluster) waitVoters(t *testing.T, ctx context.Context, want int) {
	t.Helper()
	for {
		status, err := c.operator().Status(ctx)
		if err == nil {
			voters := 0
			for _, row := range status.Control {
				if row.State == "leader" || (row.State == "voter" && row.SilentMillis < 1000 && row.Behind < 100) {
					voters++
				}
			}
			if voters >= want {
				return
			}
		}
		select {
		case <-ctx.Done():
			t.Fatalf("fewer than %d responsive voters: %v", want, err)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// underLoad runs online requests, a batch job and configuration changes, calls inject after two
// seconds, and checks every answer. It returns the longest time without an accepted change.
func (c *cluster) underLoad(t *testing.T, ctx context.Context, name string, inject func()) time.Duration {
	t.Helper()
	job := &loadgen.BatchJob{Model: testModel, Items: 600, MaxTokens: 64, Words: 32, Name: name}
	batch, err := job.Submit(ctx, c.client(0))
	if err != nil {
		t.Fatal(err)
	}
	writing, stopWriting := context.WithCancel(ctx)
	defer stopWriting()
	changes := &configWriter{}
	var running sync.WaitGroup
	running.Add(2)
	go func() {
		defer running.Done()
		changes.run(writing, c.operator(), strings.ReplaceAll(name, " ", "-"))
	}()
	online := &loadgen.OnlineLoad{Model: testModel, Requests: 200, Rate: 20, MaxTokens: 64, Words: 32, Seed: 1, StreamShare: 0.5, AtMostOnceShare: 0.25}
	var summary *loadgen.Summary
	go func() {
		defer running.Done()
		summary = online.Run(ctx, c.clients())
		stopWriting()
	}()
	time.Sleep(2 * time.Second)
	inject()
	running.Wait()
	t.Logf("%s: online %s; %d accepted changes, longest time between two %s", name, summary, changes.accepted, changes.longestGap.Round(time.Millisecond))
	if changes.err != nil {
		t.Errorf("changes: %v", changes.err)
	}
	if summary.Incorrect > 0 {
		t.Errorf("%d incorrect answers", summary.Incorrect)
	}
	if batch, err = loadgen.WaitBatch(ctx, c.client(1), batch.ID); err != nil {
		t.Fatal(err)
	}
	if err := job.Check(ctx, c.client(2), batch); err != nil {
		t.Error(err)
	}
	return changes.longestGap
}

// TestControlFailures injects faults into the control processes of one fleet, one after another,
// under load: kill, freeze, partition without closed connections, planned stop, loss of the disk.
func TestControlFailures(t *testing.T) {
	ctx := testContext(t)
	c := newCluster(t, ctx, fullSize)
	c.waitVoters(t, ctx, 5)
	c.underLoad(t, ctx, "leader killed", func() {
		leader := c.controls[c.leader(t, ctx)]
		leader.kill()
		time.Sleep(2 * time.Second)
		leader.launch(t)
	})
	c.waitVoters(t, ctx, 5)
	c.underLoad(t, ctx, "leader frozen past its lease", func() {
		leader := c.controls[c.leader(t, ctx)]
		leader.signal(syscall.SIGSTOP)
		time.Sleep(2500 * time.Millisecond)
		leader.signal(syscall.SIGCONT)
	})
	c.waitVoters(t, ctx, 5)
	c.underLoad(t, ctx, "leader cut off silently", func() {
		relay := c.relays[c.leader(t, ctx)]
		relay.setCut(true)
		time.Sleep(2500 * time.Millisecond)
		relay.setCut(false)
	})
	c.waitVoters(t, ctx, 5)
	c.underLoad(t, ctx, "leader stopped as planned", func() {
		leader := c.controls[c.leader(t, ctx)]
		if code := leader.stop(); code != 0 {
			t.Errorf("the planned stop exited with code %d, want 0", code)
		}
		leader.launch(t)
	})
	c.waitVoters(t, ctx, 5)
	c.underLoad(t, ctx, "leader emptied", func() { c.wipe(t, c.leader(t, ctx)) })
	c.waitVoters(t, ctx, 5)
	c.underLoad(t, ctx, "a second one emptied after the repair", func() { c.wipe(t, c.leader(t, ctx)) })
	c.waitVoters(t, ctx, 5)
	if err := operator.WaitInForce(ctx, c.operator(), 1); err != nil {
		t.Error(err)
	}
	c.checkRecord(t)
}

// wipe kills a control process, deletes its data and starts it again.
func (c *cluster) wipe(t *testing.T, number int) {
	t.Helper()
	c.controls[number].kill()
	if err := os.RemoveAll(c.dataFolder(number + 1)); err != nil {
		t.Fatal(err)
	}
	c.controls[number].launch(t)
}

// TestDaemonFailures freezes a dispatcher past its lease, kills another one and freezes an engine,
// under load.
func TestDaemonFailures(t *testing.T) {
	ctx := testContext(t)
	c := newCluster(t, ctx, fullSize)
	c.waitVoters(t, ctx, 5)
	c.underLoad(t, ctx, "dispatcher frozen past its lease", func() {
		c.dispatchers[0].signal(syscall.SIGSTOP)
		time.Sleep(4 * time.Second)
		c.dispatchers[0].signal(syscall.SIGCONT)
	})
	c.underLoad(t, ctx, "dispatcher killed", func() {
		c.dispatchers[1].kill()
		t.Logf("workers owned again after %s", c.waitReassigned(t, ctx, c.dispatchers[1].name).Round(time.Millisecond))
		c.dispatchers[1].launch(t)
	})
	c.underLoad(t, ctx, "engine frozen", func() {
		c.engines[0].signal(syscall.SIGSTOP)
		time.Sleep(3 * time.Second)
		c.engines[0].signal(syscall.SIGCONT)
	})
	c.checkRecord(t)
}

// waitReassigned returns how long it takes until the dispatcher owns no worker.
func (c *cluster) waitReassigned(t *testing.T, ctx context.Context, dispatcher string) time.Duration {
	t.Helper()
	start := time.Now()
	for {
		status, err := c.operator().Status(ctx)
		orphans := 0
		if err == nil {
			for _, worker := range status.Workers {
				if worker.Dispatcher == dispatcher {
					orphans++
				}
			}
			if orphans == 0 {
				return time.Since(start)
			}
		}
		select {
		case <-ctx.Done():
			t.Fatalf("%d workers still belong to %s: %v", orphans, dispatcher, err)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// TestTimeUntilInForce measures the time from the acceptance of a change until it is in force at
// every daemon. It logs the times and sets no bound.
func TestTimeUntilInForce(t *testing.T) {
	ctx := testContext(t)
	c := newCluster(t, ctx, fullSize)
	c.waitVoters(t, ctx, 5)
	client := c.operator()
	var slowest, total time.Duration
	const changes = 20
	for number := 0; number < changes; number++ {
		current, err := client.Documents(ctx, "none", "")
		if err != nil {
			t.Fatal(err)
		}
		spec := json.RawMessage(fmt.Sprintf(`{"reason":"%d"}`, number))
		applied, err := operator.ApplyWithRetry(ctx, client, &operator.Change{
			ChangeID:         fmt.Sprintf("force-%d", number),
			ExpectedRevision: &current.Revision,
			Documents:        []operator.Document{{Kind: metastate.KindDrain, Name: "nobody", Spec: spec}},
		})
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		for {
			status, err := client.Status(ctx)
			if err == nil && status.ConfigRevision >= applied.Revision && status.InForce == len(status.Daemons) {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		took := time.Since(start)
		total += took
		slowest = max(slowest, took)
	}
	t.Logf("in force everywhere: mean %s, slowest of %d %s", (total / changes).Round(time.Millisecond), changes, slowest.Round(time.Millisecond))
}
