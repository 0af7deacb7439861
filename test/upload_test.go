package test

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"testing"

	"github.com/sedgemast/sedgemast/internal/loadgen"
)

const (
	largestJob       = 430_000
	maxGatewayMemory = 128 << 20
)

// TestLargestUpload uploads the largest job that must be supported through one gateway and checks
// the peak memory of the gateway process.
func TestLargestUpload(t *testing.T) {
	ctx := testContext(t)
	c := newCluster(t, ctx, clusterSize{engines: 1, dispatchers: 1, gateways: 1})
	job := &loadgen.BatchJob{Model: testModel, Items: largestJob, MaxTokens: 16, Words: 16, Name: "largest"}
	batch, err := job.Submit(ctx, c.client(0))
	if err != nil {
		t.Fatal(err)
	}
	if batch.RequestCounts.Total != largestJob {
		t.Errorf("the job has %d items, want all that were uploaded", batch.RequestCounts.Total)
	}
	peak := c.gateways[0].peakMemory(t)
	t.Logf("peak memory of the gateway: %.1f MB, of control: %.1f MB", float64(peak)/(1<<20), float64(c.control.peakMemory(t))/(1<<20))
	if peak > maxGatewayMemory {
		t.Errorf("the gateway's peak memory is %d bytes, more than allowed", peak)
	}
	if _, err := c.client(0).CancelBatch(ctx, batch.ID); err != nil {
		t.Fatal(err)
	}
}

// TestBadLineRejectsWholeFile uploads a long file whose last line is invalid. The upload must fail,
// and no job can be created from it.
func TestBadLineRejectsWholeFile(t *testing.T) {
	ctx := testContext(t)
	c := newCluster(t, ctx, clusterSize{engines: 1, dispatchers: 1, gateways: 1})
	job := &loadgen.BatchJob{Model: testModel, Items: 1500, MaxTokens: 16, Words: 4, Name: "bad"}
	_, err := c.client(0).Upload(ctx, func(writer io.Writer) error {
		if err := job.Write(writer); err != nil {
			return err
		}
		buffered := bufio.NewWriter(writer)
		if err := json.NewEncoder(buffered).Encode(map[string]string{"custom_id": "x"}); err != nil {
			return err
		}
		return buffered.Flush()
	})
	want := "line 1501.url"
	if err == nil || !strings.Contains(err.Error(), want) {
		t.Fatalf("got %v, want an error that names %q", err, want)
	}
	if _, err := c.client(0).CreateBatch(ctx, "file-g1-1", ""); err == nil {
		t.Error("a job was created from a rejected file")
	}
}
