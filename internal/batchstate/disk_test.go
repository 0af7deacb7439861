package batchstate_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"github.com/sedgemast/sedgemast/internal/batchstate"
	"github.com/sedgemast/sedgemast/internal/replication"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	diskJobs        = 40
	diskItems       = 44
	bodyBytes       = 2900
	recordCount     = 10
	eventsPerRecord = 16
)

// BenchmarkDisk runs 1,760 items with texts of 12 KB through a group of one replica on disk. It
// reports the peak size of its folder and the size at the end, in MiB.
func BenchmarkDisk(b *testing.B) {
	for range b.N {
		folder := b.TempDir()
		peak := watchFolder(b, folder)
		fillStore(b, folder)
		b.ReportMetric(float64(peak.Load())/(1<<20), "MB-peak")
		b.ReportMetric(float64(folderBytes(folder))/(1<<20), "MB-end")
	}
}

func watchFolder(b *testing.B, folder string) *atomic.Int64 {
	peak := &atomic.Int64{}
	done := make(chan struct{})
	b.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(2 * time.Millisecond):
				peak.Store(max(peak.Load(), folderBytes(folder)))
			}
		}
	}()
	return peak
}

func folderBytes(folder string) int64 {
	var sum int64
	_ = filepath.Walk(folder, func(_ string, info os.FileInfo, err error) error {
		if err == nil && !info.IsDir() {
			sum += info.Size()
		}
		return nil
	})
	return sum
}

func fillStore(b *testing.B, folder string) {
	store, err := storage.OpenPebble(folder, vfs.Default)
	if err != nil {
		b.Fatal(err)
	}
	host, err := replication.NewHost(replication.Options{
		Store:             store,
		Machines:          []replication.StateMachine{batchstate.New()},
		Name:              "a",
		Address:           "a",
		Peers:             []string{"a"},
		Voters:            1,
		NewID:             func() uint64 { return 1 },
		ElectionTimeout:   50 * time.Millisecond,
		HeartbeatInterval: 10 * time.Millisecond,
		ReplaceAfter:      time.Minute,
		RetainedLogBytes:  2 << 20,
		Random:            rand.New(rand.NewPCG(1, 1)),
	}, noPeers{})
	if err != nil {
		b.Fatal(err)
	}
	random := rand.New(rand.NewPCG(2, 2))
	for job := range diskJobs {
		propose(b, host, &wire.BatchCommand{Submit: diskJob(random, job)})
		for record := range recordCount {
			records := &wire.RecordItems{}
			for item := range diskItems {
				state := wire.ItemWaiting
				if record == recordCount-1 {
					state = wire.ItemCompleted
				}
				records.Items = append(records.Items, wire.ItemRecord{
					Job: fmt.Sprint("job-", job), Item: item, State: state,
					From: record * eventsPerRecord, Events: (record + 1) * eventsPerRecord, Text: diskText(random),
				})
			}
			propose(b, host, &wire.BatchCommand{Record: records})
		}
	}
	host.Close()
	if err := store.Close(); err != nil {
		b.Fatal(err)
	}
}

func diskJob(random *rand.Rand, number int) *wire.SubmitBatch {
	job := &wire.SubmitBatch{ID: fmt.Sprint("job-", number), Route: "r"}
	for item := range diskItems {
		body := make([]byte, bodyBytes)
		for i := range body {
			body[i] = byte(random.Uint32())
		}
		job.Items = append(job.Items, wire.BatchItem{ID: fmt.Sprint(item), Path: "/p", Body: body})
	}
	return job
}

// diskText returns a part of a text as workers produce it: an id in hex and words, per event.
func diskText(random *rand.Rand) string {
	var text strings.Builder
	for range eventsPerRecord {
		fmt.Fprintf(&text, "\nb.f.1.%016x.", random.Uint64())
		for range 50 {
			text.WriteByte(byte('a' + random.IntN(26)))
		}
	}
	return text.String()
}

func propose(b *testing.B, host *replication.Host, command *wire.BatchCommand) {
	encoded, err := command.MarshalMsg(nil)
	if err != nil {
		b.Fatal(err)
	}
	for try := 0; ; try++ {
		if _, err = host.Propose(context.Background(), 0, encoded); err == nil {
			return
		}
		if try > 1000 {
			b.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
}

// noPeers is the transport of a replica without peers.
type noPeers struct{}

// Send implements replication.Transport.
func (noPeers) Send(string, wire.PeerMessage) {}

// Hello implements replication.Transport.
func (noPeers) Hello(context.Context, string, *wire.Hello) (*wire.Hello, error) {
	return nil, context.Canceled
}

// Close implements replication.Transport.
func (noPeers) Close() {}
