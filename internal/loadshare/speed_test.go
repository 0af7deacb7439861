package loadshare

import (
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// speedReport returns a report of a process that received the given number of answers from worker
// 7 and observed the given number of event intervals there, which took micros in total.
func speedReport(source uint32, answered, intervals uint16, micros uint32) *wire.LoadReport {
	return &wire.LoadReport{Source: source, Workers: []wire.WorkerLoad{{Worker: 7, Answered: answered, Steps: intervals, StepMicros: micros}}}
}

func loadOf(hub *Hub, now time.Time) wire.WorkerLoad {
	for _, load := range hub.PeerLoads(now, 0) {
		if load.Worker == 7 {
			return load
		}
	}
	return wire.WorkerLoad{}
}

// TestWorkerSpeedIsSharedAndDecays lets two processes report what they observe at a worker. The hub
// must know its rate and its time between events, follow a change within seconds, and forget them
// once there are no reports.
func TestWorkerSpeedIsSharedAndDecays(t *testing.T) {
	hub, now := NewHub(), start
	if got := loadOf(hub, now); got.Step != 0 || got.Rate != 0 {
		t.Fatalf("a speed before any report: %+v", got)
	}
	observe := func(seconds int, micros uint32) wire.WorkerLoad {
		for range seconds * 10 {
			now = now.Add(100 * time.Millisecond)
			hub.ApplyReport(now, speedReport(1, 1, 5, 5*micros))
			hub.ApplyReport(now, speedReport(2, 2, 5, 5*micros))
		}
		return loadOf(hub, now)
	}
	if got := observe(10, 20_000); got.Step != 20_000 || got.Rate < 280 || got.Rate > 320 {
		t.Errorf("30 requests a second, 20 ms between events: %+v", got)
	}
	if got := observe(2, 120_000); got.Step < 80_000 {
		t.Errorf("2 s after the worker became slow: %+v", got)
	}
	if got := loadOf(hub, now.Add(20*time.Second)); got.Step != 0 || got.Rate != 0 {
		t.Errorf("after 20 s without reports: %+v", got)
	}
	hub.ApplyReport(now.Add(time.Minute), report(1, 8, 1))
	if len(hub.stats) != 0 {
		t.Error("the stats of the worker are not dropped")
	}
}
