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

// TestFleetSmokeWithKills kills an engine and a dispatcher in the middle.
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

// TestEngineFaults lets the engines' answers come late, crossed, twice and cut.
func TestEngineFaults(t *testing.T) {
	ctx := testContext(t)
	size := smokeSize
	size.engineFlags = []string{"--late", "0.01", "--crossed", "0.05", "--twice", "0.05", "--cut", "0.005"}
	runSmoke(t, ctx, newCluster(t, ctx, size), nil)
}

// runSmoke sends the smoke load while disturb runs, and checks every answer.
func runSmoke(t *testing.T, ctx context.Context, c *cluster, disturb func()) {
	t.Helper()
	job := &loadgen.BatchJob{Model: testModel, Items: smokeItems, MaxTokens: 64, Words: 64, Name: "smoke", Key: "smoke"}
	batch, err := job.Submit(ctx, c.client(0))
	if err != nil {
		t.Fatal(err)
	}
	if disturb != nil {
		go disturb()
	}
	summary := smokeOnline().Run(ctx, c.clients())
	t.Logf("online: %s", summary)
	if summary.Failed() > 0 {
		t.Errorf("%d online requests have no whole answer; the first: %v", summary.Failed(), summary.FirstError)
	}
	batch, err = loadgen.WaitBatch(ctx, c.client(1), batch.ID)
	if err != nil {
		t.Fatal(err)
	}
	if err := job.Check(ctx, c.client(2), batch); err != nil {
		t.Fatal(err)
	}
	t.Logf("job: %d items complete, each once and whole", batch.RequestCounts.Completed)
}

// TestPlannedStop stops a dispatcher and a gateway under load: no request that
// was sent to a gateway which stays is cut.
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
		t.Errorf("%d online requests have no whole answer; the first: %v", summary.Failed(), summary.FirstError)
	}
	for range 2 {
		if code := <-stopped; code != 0 {
			t.Errorf("a planned stop ended with code %d", code)
		}
	}
}
