package loadshare

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

var start = time.Unix(1000, 0)

func report(source uint32, worker uint32, online uint16) *wire.LoadReport {
	return &wire.LoadReport{Source: source, Workers: []wire.WorkerLoad{{Worker: worker, Online: online, Unread: 10}}}
}

func TestHubAddsUp(t *testing.T) {
	hub := NewHub()
	hub.ApplyReport(start, report(1, 7, 3))
	hub.ApplyReport(start, report(2, 7, 4))
	hub.ApplyReport(start, report(2, 7, 5))
	hub.ApplyReport(start, report(3, 8, 1))
	others := hub.PeerLoads(start, 1)
	if len(others) != 2 || others[0].Worker != 7 || others[0].Online != 5 || others[1].Online != 1 {
		t.Errorf("others of 1: %+v", others)
	}
	if all := hub.PeerLoads(start, 0); all[0].Online != 8 || all[0].Unread != 20 {
		t.Errorf("all: %+v", all)
	}
}

// told is a report of a process that has one request at worker 7 and was told by
// it that it has so many.
func told(source uint32, count uint16) *wire.LoadReport {
	return &wire.LoadReport{Source: source, Workers: []wire.WorkerLoad{{Worker: 7, Online: 1, Told: count + 1}}}
}

// orphansOf returns the estimate that a process is told of worker 7.
func orphansOf(hub *Hub, now time.Time) int {
	for _, load := range hub.PeerLoads(now, 1) {
		if load.Worker == 7 {
			return int(load.Orphans)
		}
	}
	return 0
}

// TestOrphansAreSeenAndForgotten lets a worker tell two processes of five requests
// more than anybody has. They count from the fourth answer on, and no longer once
// the worker tells of them no more, or tells nothing.
func TestOrphansAreSeenAndForgotten(t *testing.T) {
	hub, now := NewHub(), start
	hub.ApplyReport(now, told(1, 2))
	hub.ApplyReport(now, told(2, 2))
	if got := orphansOf(hub, now); got != 0 {
		t.Fatalf("%d orphans where all is known", got)
	}
	for i := range toldSamples {
		if got := orphansOf(hub, now); got != 0 {
			t.Errorf("%d orphans after %d answers", got, i)
		}
		now = now.Add(20 * time.Millisecond)
		hub.ApplyReport(now, told(uint32(1+i%2), 7))
	}
	if got := orphansOf(hub, now); got != 5 {
		t.Errorf("%d orphans, want 5", got)
	}
	if got := orphansOf(hub, now.Add(toldFresh+1)); got != 0 {
		t.Errorf("%d orphans by answers of long ago", got)
	}
	hub.ApplyReport(now, told(1, 2))
	if got := orphansOf(hub, now); got != 0 {
		t.Errorf("%d orphans after the worker told of none", got)
	}
	hub.ApplyReport(now.Add(2*toldFresh), report(1, 7, 1))
	if len(hub.watched) != 0 {
		t.Error("estimates are kept for ever")
	}
}

// TestNoiseIsNoOrphan checks that differences that come and go count for nothing.
func TestNoiseIsNoOrphan(t *testing.T) {
	hub := NewHub()
	for _, count := range []uint16{9, 1, 9, 9, 1, 9, 0} {
		hub.ApplyReport(start, told(1, count))
		if got := orphansOf(hub, start); got != 0 {
			t.Errorf("%d orphans by noise", got)
		}
	}
}

func TestPauseFollowsTheLoad(t *testing.T) {
	for _, test := range []struct {
		perSecond          float64
		processes, workers int
		want               time.Duration
	}{
		{0, 8, 12, MaxInterval},
		{5, 8, 12, MaxInterval},
		{33, 8, 12, Interval},
		{10, 50, 50, 100 * time.Millisecond},
		{10, 0, 1, 100 * time.Millisecond},
		{1000, 500, 0, Interval},
	} {
		if got := ReportInterval(test.perSecond, test.processes, test.workers); got != test.want {
			t.Errorf("%+v: %s", test, got)
		}
	}
}

func TestRateFollowsTheCount(t *testing.T) {
	var rate Rate
	now, count := start, uint64(5)
	if got := rate.Observe(now, count); got != 0 {
		t.Errorf("a rate of %f by one count", got)
	}
	for range 40 {
		now, count = now.Add(50*time.Millisecond), count+2
		rate.Observe(now, count)
	}
	if got := rate.Observe(now, count); got < 39 || got > 41 {
		t.Errorf("a rate of %f, want 40", got)
	}
	if got := rate.Observe(now.Add(time.Second), count); got != 0 {
		t.Errorf("a rate of %f after a second of nothing", got)
	}
}

// answers is a report of how worker 7 answered a process.
func answers(source uint32, answered, failed uint16) *wire.LoadReport {
	return &wire.LoadReport{Source: source, Workers: []wire.WorkerLoad{{Worker: 7, Answered: answered, Failed: failed}}}
}

// TestFailingWorkersAreTold lets two processes see one failure each of a worker:
// all are told to avoid it, and may try it again after some seconds.
func TestFailingWorkersAreTold(t *testing.T) {
	failing := func(hub *Hub, now time.Time) bool {
		for _, load := range hub.PeerLoads(now, 9) {
			if load.Worker == 7 {
				return load.Failing
			}
		}
		return false
	}
	hub, now := NewHub(), start
	hub.ApplyReport(now, answers(1, 2, 1))
	if failing(hub, now) {
		t.Error("one failure makes a failing worker")
	}
	hub.ApplyReport(now, answers(2, 0, 1))
	if !failing(hub, now) {
		t.Fatal("two failures of four answers don't")
	}
	if now = now.Add(3 * time.Second); !failing(hub, now) {
		t.Error("it is tried again at once")
	}
	if now = now.Add(4 * time.Second); failing(hub, now) {
		t.Error("it is never tried again")
	}
	hub.ApplyReport(now, answers(1, 50, 3))
	if failing(hub, now) {
		t.Error("a few failures of many answers make a failing worker")
	}
	if now = now.Add(time.Minute); failing(hub, now) || len(hub.watched) != 0 {
		t.Error("it is remembered for ever")
	}
}

// TestTotalsFollowTheReports checks with random reports that the sums that are
// kept are those that a count of all reports gives.
func TestTotalsFollowTheReports(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	hub, now := NewHub(), start
	last := map[uint32]*wire.LoadReport{}
	at := map[uint32]time.Time{}
	for step := range 2000 {
		now = now.Add(time.Duration(random.IntN(int(2 * expireInterval))))
		source := uint32(1 + random.IntN(5))
		report := &wire.LoadReport{Source: source}
		for worker := range uint32(4) {
			if random.IntN(2) == 0 {
				report.Workers = append(report.Workers, wire.WorkerLoad{Worker: worker, Online: uint16(random.IntN(9)), Batch: uint16(random.IntN(9))})
			}
		}
		hub.ApplyReport(now, report)
		last[source], at[source] = report, now
		except := uint32(random.IntN(6))
		want := map[uint32]int{}
		for name, known := range last {
			for _, load := range known.Workers {
				// Reports expire a little late.
				if name != except && now.Sub(at[name]) <= ReportTTL {
					want[load.Worker] += int(load.Online) + int(load.Batch)
				}
			}
		}
		hub.expireDue = time.Time{}
		got := map[uint32]int{}
		for _, load := range hub.PeerLoads(now, except) {
			got[load.Worker] = int(load.Online) + int(load.Batch)
		}
		for worker := range uint32(4) {
			if got[worker] != want[worker] {
				t.Fatalf("step %d: worker %d has %d, want %d", step, worker, got[worker], want[worker])
			}
		}
	}
}

func TestOldReportsDoNotCount(t *testing.T) {
	hub := NewHub()
	hub.ApplyReport(start, report(1, 7, 3))
	late := start.Add(ReportTTL + 1)
	if others := hub.PeerLoads(late, 2); len(others) != 0 || hub.SourceCount(late) != 0 {
		t.Errorf("others %+v", others)
	}
	hub.ApplyReport(late, report(2, 7, 1))
	if len(hub.sources) != 1 {
		t.Errorf("%d reports are kept", len(hub.sources))
	}
}

// TestReporterFindsTheHub lets the first of two stores be silent: the reporter
// goes on to the one that answers and learns what the others have.
func TestReporterFindsTheHub(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	silent, answering := freeUDP(t), freeUDP(t)
	var running sync.WaitGroup
	serve := func(address string, answer func(*wire.LoadReport) *wire.LoadReport) {
		running.Add(1)
		go func() {
			defer running.Done()
			if err := Serve(ctx, address, answer); err != nil {
				t.Error(err)
			}
		}()
	}
	serve(silent, func(*wire.LoadReport) *wire.LoadReport { return nil })
	serve(answering, func(told *wire.LoadReport) *wire.LoadReport {
		return &wire.LoadReport{Workers: []wire.WorkerLoad{{Worker: told.Workers[0].Worker, Online: 42}}}
	})
	learned := make(chan wire.WorkerLoad, 1000)
	running.Add(1)
	go func() {
		defer running.Done()
		err := Report(ctx, &Reporter{
			Hubs:     func() []string { return []string{silent, answering} },
			Report:   func() *wire.LoadReport { return report(1, 7, 3) },
			OnAnswer: func(_ time.Time, answer *wire.LoadReport) { learned <- answer.Workers[0] },
			Interval: func() time.Duration { return Interval },
		})
		if err != nil {
			t.Error(err)
		}
	}()
	if load := <-learned; load.Worker != 7 || load.Online != 42 {
		t.Errorf("learned %+v", load)
	}
	cancel()
	running.Wait()
}

func freeUDP(t *testing.T) string {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	return socket.LocalAddr().String()
}

// FuzzReport checks that no datagram makes the decoder fail but with an error.
func FuzzReport(f *testing.F) {
	encoded, err := report(1, 7, 3).MarshalMsg(nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Fuzz(func(_ *testing.T, datagram []byte) {
		var decoded wire.LoadReport
		if _, err := decoded.UnmarshalMsg(datagram); err == nil {
			NewHub().ApplyReport(start, &decoded)
		}
	})
}

// TestAskedBeforeTold lets a hub answer what it is asked: who asks knows what others had
// told by then, quiet reports count without an answer, and a silent hub holds nobody up.
func TestAskedBeforeTold(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	address := freeUDP(t)
	hub, quiet := NewHub(), 0
	var mutex sync.Mutex
	silent := false
	running.Go(func() {
		_ = Serve(ctx, address, func(told *wire.LoadReport) *wire.LoadReport {
			mutex.Lock()
			defer mutex.Unlock()
			hub.ApplyReport(time.Now(), told)
			if told.Quiet {
				quiet++
			}
			if told.Quiet || silent {
				return nil
			}
			return &wire.LoadReport{Workers: hub.PeerLoads(time.Now(), told.Source)}
		})
	})
	var online [3]uint16
	var seen [3]uint16
	var exchanges [3]*Exchange
	for i := range exchanges {
		exchanges[i] = NewExchange(&Reporter{
			Hubs: func() []string { return []string{address} },
			Report: func() *wire.LoadReport {
				mutex.Lock()
				defer mutex.Unlock()
				return report(uint32(i+1), 7, online[i])
			},
			OnAnswer: func(_ time.Time, answer *wire.LoadReport) {
				mutex.Lock()
				defer mutex.Unlock()
				seen[i] = 0
				for _, row := range answer.Workers {
					seen[i] = row.Online
				}
			},
			Interval: func() time.Duration { return Interval },
		})
		running.Go(func() { _ = exchanges[i].Run(ctx) })
	}
	// Nothing below rests on how long anything takes: a wait for a silent hub would not end.
	const patience = time.Hour
	knows := func(i int, want uint16) bool {
		if !exchanges[i].Query(ctx, patience, nil, false) {
			return false
		}
		mutex.Lock()
		defer mutex.Unlock()
		return seen[i] == want
	}
	for i := range exchanges {
		for !knows(i, 0) {
			time.Sleep(time.Millisecond)
		}
	}
	mutex.Lock()
	online[0] = 5
	mutex.Unlock()
	exchanges[0].Report()
	for !knows(1, 5) {
		time.Sleep(time.Millisecond)
	}
	mutex.Lock()
	silent = true
	mutex.Unlock()
	for exchanges[2].Query(ctx, time.Millisecond, nil, false) {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(ReportTTL)
	if exchanges[2].Query(ctx, patience, nil, false) {
		t.Error("a silent hub has answered")
	}
	mutex.Lock()
	defer mutex.Unlock()
	if quiet == 0 {
		t.Error("nobody told without asking")
	}
}
