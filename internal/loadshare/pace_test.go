package loadshare

import (
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// paced is a report of a process that answered so many requests at worker 7 and
// saw so many times between events there.
func paced(source uint32, answered, steps uint16, micros uint32) *wire.LoadReport {
	return &wire.LoadReport{Source: source, Workers: []wire.WorkerLoad{{Worker: 7, Answered: answered, Steps: steps, StepMicros: micros}}}
}

func loadOf(hub *Hub, now time.Time) wire.WorkerLoad {
	for _, load := range hub.PeerLoads(now, 0) {
		if load.Worker == 7 {
			return load
		}
	}
	return wire.WorkerLoad{}
}

// TestPaceIsSharedAndForgotten lets two processes tell what they see of a worker:
// it has a rate and a time between events, follows a change within seconds, and is
// forgotten once nothing is told.
func TestPaceIsSharedAndForgotten(t *testing.T) {
	hub, now := NewHub(), start
	if got := loadOf(hub, now); got.Step != 0 || got.Rate != 0 {
		t.Fatalf("known before anything was told: %+v", got)
	}
	tell := func(seconds int, micros uint32) wire.WorkerLoad {
		for range seconds * 10 {
			now = now.Add(100 * time.Millisecond)
			hub.ApplyReport(now, paced(1, 1, 5, 5*micros))
			hub.ApplyReport(now, paced(2, 2, 5, 5*micros))
		}
		return loadOf(hub, now)
	}
	if got := tell(10, 20_000); got.Step != 20_000 || got.Rate < 280 || got.Rate > 320 {
		t.Errorf("30 requests a second, 20 ms between events: %+v", got)
	}
	if got := tell(2, 120_000); got.Step < 80_000 {
		t.Errorf("2 s after it turned slow: %+v", got)
	}
	if got := loadOf(hub, now.Add(20*time.Second)); got.Step != 0 || got.Rate != 0 {
		t.Errorf("after 20 s of silence: %+v", got)
	}
	hub.ApplyReport(now.Add(time.Minute), report(1, 8, 1))
	if len(hub.watched) != 0 {
		t.Error("it is kept for ever")
	}
}
