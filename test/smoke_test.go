package test

import (
	"context"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/loadgen"
)

var smokeSize = clusterSize{engines: 4, dispatchers: 2, gateways: 3}

const (
	smokeRequests = 200
	smokeItems    = 2000
)

func smokeOnline() *loadgen.OnlineLoad {
	return &loadgen.OnlineLoad{
		Model:       testModel,
		Requests:    smokeRequests,
		Rate:        40,
		MaxTokens:   64,
		Words:       64,
		Seed:        7,
		StreamShare: 0.5,
	}
}

// TestFleetSmoke serves online requests and a job on separate processes.
func TestFleetSmoke(t *testing.T) {
	ctx := testContext(t)
	c := newCluster(t, ctx, smokeSize)
	runSmoke(t, ctx, c, nil)
}

// TestFleetSmokeWithKills kills an engine and a dispatcher under load.
func TestFleetSmokeWithKills(t *testing.T) {
	ctx := testContext(t)
	c := newCluster(t, ctx, smokeSize)
	runSmoke(t, ctx, c, func() {
		time.Sleep(time.Second)
		c.engines[0].kill()
		time.Sleep(time.Second)
		c.dispatchers[0].kill()
	})
}

// TestEngineFaults makes the engines delay, misroute and duplicate events and close connections.
func TestEngineFaults(t *testing.T) {
	ctx := testContext(t)
	size := smokeSize
	size.engineFlags = []string{"--late", "0.01", "--crossed", "0.05", "--twice", "0.05", "--cut", "0.005"}
	runSmoke(t, ctx, newCluster(t, ctx, size), nil)
}

// runSmoke sends the smoke load while inject runs, and checks every answer. inject may be nil.
func runSmoke(t *testing.T, ctx context.Context, c *cluster, inject func()) {
	t.Helper()
	job := &loadgen.BatchJob{Model: testModel, Items: smokeItems, MaxTokens: 64, Words: 64, Name: "smoke", Key: "smoke"}
	batch, err := job.Submit(ctx, c.client(0))
	if err != nil {
		t.Fatal(err)
	}
	if inject != nil {
		go inject()
	}
	summary := smokeOnline().Run(ctx, c.clients())
	t.Logf("online: %s", summary)
	if summary.Failed() > 0 {
		t.Errorf("%d online requests failed; first error: %v", summary.Failed(), summary.FirstError)
	}
	batch, err = loadgen.WaitBatch(ctx, c.client(1), batch.ID)
	if err != nil {
		t.Fatal(err)
	}
	if err := job.Check(ctx, c.client(2), batch); err != nil {
		t.Fatal(err)
	}
	t.Logf("job: %d items completed, each once and with the expected text", batch.RequestCounts.Completed)
}

// TestPlannedStop stops a dispatcher and a gateway under load. Requests to the other gateways must
// not fail.
func TestPlannedStop(t *testing.T) {
	ctx := testContext(t)
	c := newCluster(t, ctx, smokeSize)
	stopped := make(chan int, 2)
	go func() {
		time.Sleep(time.Second)
		stopped <- c.dispatchers[1].stop()
		stopped <- c.gateways[2].stop()
	}()
	summary := smokeOnline().Run(ctx, c.clients()[:2])
	t.Logf("online: %s", summary)
	if summary.Failed() > 0 {
		t.Errorf("%d online requests failed; first error: %v", summary.Failed(), summary.FirstError)
	}
	for range 2 {
		if code := <-stopped; code != 0 {
			t.Errorf("a planned stop exited with code %d, want 0", code)
		}
	}
}
