package test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sedgemast/sedgemast/internal/engine"
	"github.com/sedgemast/sedgemast/internal/loadgen"
)

const (
	hopTokens   = 4
	hopInterval = 2 * time.Millisecond
)

// BenchmarkHop compares the latency of requests through gateway and dispatcher with that of
// requests sent directly to the engine, on the same emulated work, one request at a time.
func BenchmarkHop(b *testing.B) {
	ctx := context.Background()
	started, _, tenantKey := startEmbedded(b, ctx)
	client := loadgen.NewClient(started.Gateways[0].Address(), tenantKey)
	engineClient := engine.NewClient()
	direct, through := loadgen.NewHistogram(), loadgen.NewHistogram()
	for i := 0; b.Loop(); i++ {
		text := fmt.Sprintf("question %d", i)
		recordLatency(b, through, func() error {
			_, err := client.Chat(ctx, &loadgen.Request{Model: testModel, Text: text, MaxTokens: hopTokens, Stream: true})
			return err
		})
		recordLatency(b, direct, func() error { return runDirect(ctx, engineClient, started.Engines[0].Address(), i, text) })
	}
	reportLatency(b, "straight", direct)
	reportLatency(b, "through", through)
	b.ReportMetric(float64(through.ValueAtQuantile(50)-direct.ValueAtQuantile(50)), "hop-p50-µs")
	b.ReportMetric(float64(through.ValueAtQuantile(99)-direct.ValueAtQuantile(99)), "hop-p99-µs")
}

func recordLatency(b *testing.B, histogram *hdrhistogram.Histogram, action func() error) {
	b.Helper()
	time.Sleep(hopInterval)
	start := time.Now()
	if err := action(); err != nil {
		b.Fatal(err)
	}
	if err := histogram.RecordValue(time.Since(start).Microseconds()); err != nil {
		b.Fatal(err)
	}
}

func reportLatency(b *testing.B, name string, histogram *hdrhistogram.Histogram) {
	b.ReportMetric(float64(histogram.ValueAtQuantile(50)), name+"-p50-µs")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99)), name+"-p99-µs")
}

func runDirect(ctx context.Context, client *engine.Client, address string, number int, text string) error {
	stream, err := client.Generate(ctx, address, &engine.GenerateRequest{
		AttemptID: fmt.Sprintf("straight-%d", number),
		Epoch:     1 << 40,
		Model:     testModel,
		Prompt:    "user: " + text + "\n",
		MaxTokens: hopTokens,
		Priority:  engine.PriorityOnline,
	}, false)
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		event, err := stream.Next()
		if err != nil || event.Type == engine.EventEnd {
			return err
		}
	}
}
