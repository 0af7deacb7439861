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

func TestHubSumsReports(t *testing.T) {
	hub := NewHub()
	hub.ApplyReport(start, report(1, 7, 3))
	hub.ApplyReport(start, report(2, 7, 4))
	hub.ApplyReport(start, report(2, 7, 5))
	hub.ApplyReport(start, report(3, 8, 1))
	others := hub.PeerLoads(start, 1)
	if len(others) != 2 || others[0].Worker != 7 || others[0].Online != 5 || others[1].Online != 1 {
		t.Errorf("peer loads of process 1: %+v", others)
	}
	if all := hub.PeerLoads(start, 0); all[0].Online != 8 || all[0].Unread != 20 {
		t.Errorf("sums over all processes: %+v", all)
	}
}

// selfCountReport returns a report of a process that has one request at worker 7, and to which
// that worker reported that it runs count requests in total.
func selfCountReport(source uint32, count uint16) *wire.LoadReport {
	return &wire.LoadReport{Source: source, Workers: []wire.WorkerLoad{{Worker: 7, Online: 1, Told: count + 1}}}
}

// orphansOf returns the estimated orphans of worker 7 that a process receives.
func orphansOf(hub *Hub, now time.Time) int {
	for _, load := range hub.PeerLoads(now, 1) {
		if load.Worker == 7 {
			return int(load.Orphans)
		}
	}
	return 0
}

// TestOrphansAreDetectedAndExpire lets a worker report to two processes that it runs five requests
// more than all processes have. They must count as orphans from the fourth answer on, and no
// longer once the worker stops counting them or stops answering.
func TestOrphansAreDetectedAndExpire(t *testing.T) {
	hub, now := NewHub(), start
	hub.ApplyReport(now, selfCountReport(1, 2))
	hub.ApplyReport(now, selfCountReport(2, 2))
	if got := orphansOf(hub, now); got != 0 {
		t.Fatalf("%d orphans though all requests are known", got)
	}
	for i := range orphanSamples {
		if got := orphansOf(hub, now); got != 0 {
			t.Errorf("%d orphans after %d answers", got, i)
		}
		now = now.Add(20 * time.Millisecond)
		hub.ApplyReport(now, selfCountReport(uint32(1+i%2), 7))
	}
	if got := orphansOf(hub, now); got != 5 {
		t.Errorf("%d orphans, want 5", got)
	}
	if got := orphansOf(hub, now.Add(orphanSampleTTL+1)); got != 0 {
		t.Errorf("%d orphans from expired answers", got)
	}
	hub.ApplyReport(now, selfCountReport(1, 2))
	if got := orphansOf(hub, now); got != 0 {
		t.Errorf("%d orphans after the worker reported none", got)
	}
	hub.ApplyReport(now.Add(2*orphanSampleTTL), report(1, 7, 1))
	if len(hub.stats) != 0 {
		t.Error("expired estimates are not dropped")
	}
}

// TestNoiseIsNotCountedAsOrphans checks that excesses that come and go are not counted.
func TestNoiseIsNotCountedAsOrphans(t *testing.T) {
	hub := NewHub()
	for _, count := range []uint16{9, 1, 9, 9, 1, 9, 0} {
		hub.ApplyReport(start, selfCountReport(1, count))
		if got := orphansOf(hub, start); got != 0 {
			t.Errorf("%d orphans from noise", got)
		}
	}
}

func TestReportInterval(t *testing.T) {
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
		t.Errorf("a rate of %f from a single count", got)
	}
	for range 40 {
		now, count = now.Add(50*time.Millisecond), count+2
		rate.Observe(now, count)
	}
	if got := rate.Observe(now, count); got < 39 || got > 41 {
		t.Errorf("a rate of %f, want 40", got)
	}
	if got := rate.Observe(now.Add(time.Second), count); got != 0 {
		t.Errorf("a rate of %f after a second without a change", got)
	}
}

// outcomeReport returns a report with the outcomes of a process's requests at worker 7.
func outcomeReport(source uint32, answered, failed uint16) *wire.LoadReport {
	return &wire.LoadReport{Source: source, Workers: []wire.WorkerLoad{{Worker: 7, Answered: answered, Failed: failed}}}
}

// TestFailingWorkersAreReported lets two processes observe one failure each at a worker: all processes
// must learn that it is to be avoided, and may try it again after some seconds.
func TestFailingWorkersAreReported(t *testing.T) {
	failing := func(hub *Hub, now time.Time) bool {
		for _, load := range hub.PeerLoads(now, 9) {
			if load.Worker == 7 {
				return load.Failing
			}
		}
		return false
	}
	hub, now := NewHub(), start
	hub.ApplyReport(now, outcomeReport(1, 2, 1))
	if failing(hub, now) {
		t.Error("the worker is failing after one failure")
	}
	hub.ApplyReport(now, outcomeReport(2, 0, 1))
	if !failing(hub, now) {
		t.Fatal("the worker is not failing after two failures in four answers")
	}
	if now = now.Add(3 * time.Second); !failing(hub, now) {
		t.Error("the worker is readmitted after 3 s")
	}
	if now = now.Add(4 * time.Second); failing(hub, now) {
		t.Error("the worker is not readmitted after 7 s")
	}
	hub.ApplyReport(now, outcomeReport(1, 50, 3))
	if failing(hub, now) {
		t.Error("the worker is failing after 3 failures in 53 answers")
	}
	if now = now.Add(time.Minute); failing(hub, now) || len(hub.stats) != 0 {
		t.Error("the worker's stats are not dropped after a minute")
	}
}

// TestTotalsMatchReports checks with random reports that the incrementally updated totals
// equal the sums computed from all reports.
func TestTotalsMatchReports(t *testing.T) {
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
				// Expired reports may still be counted until the next scan.
				if name != except && now.Sub(at[name]) <= ReportTTL {
					want[load.Worker] += int(load.Online) + int(load.Batch)
				}
			}
		}
		hub.nextExpiry = time.Time{}
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
	expired := start.Add(ReportTTL + 1)
	if others := hub.PeerLoads(expired, 2); len(others) != 0 || hub.SourceCount(expired) != 0 {
		t.Errorf("expired loads are returned: %+v", others)
	}
	hub.ApplyReport(expired, report(2, 7, 1))
	if len(hub.sources) != 1 {
		t.Errorf("%d reports are kept, want 1", len(hub.sources))
	}
}

// TestReporterFindsTheHub makes the first of two hubs unresponsive: the reporter must switch to
// the other one and receive its answers.
func TestReporterFindsTheHub(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	unresponsive, answering := freeUDP(t), freeUDP(t)
	var wg sync.WaitGroup
	serve := func(address string, answer func(*wire.LoadReport) *wire.LoadReport) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := Serve(ctx, address, answer); err != nil {
				t.Error(err)
			}
		}()
	}
	serve(unresponsive, func(*wire.LoadReport) *wire.LoadReport { return nil })
	serve(answering, func(report *wire.LoadReport) *wire.LoadReport {
		return &wire.LoadReport{Workers: []wire.WorkerLoad{{Worker: report.Workers[0].Worker, Online: 42}}}
	})
	received := make(chan wire.WorkerLoad, 1000)
	wg.Add(1)
	go func() {
		defer wg.Done()
		err := Report(ctx, &Reporter{
			Hubs:     func() []string { return []string{unresponsive, answering} },
			Report:   func() *wire.LoadReport { return report(1, 7, 3) },
			OnAnswer: func(_ time.Time, answer *wire.LoadReport) { received <- answer.Workers[0] },
			Interval: func() time.Duration { return Interval },
		})
		if err != nil {
			t.Error(err)
		}
	}()
	if load := <-received; load.Worker != 7 || load.Online != 42 {
		t.Errorf("received %+v", load)
	}
	cancel()
	wg.Wait()
}

func freeUDP(t *testing.T) string {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	return socket.LocalAddr().String()
}

// FuzzReport checks that no datagram makes the decoder or ApplyReport panic.
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

// TestQueryReturnsEarlierReports checks that Query returns what other processes had reported
// before it, that reports without an answer count, and that an unresponsive hub delays no caller.
func TestQueryReturnsEarlierReports(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	address := freeUDP(t)
	hub, unansweredReports := NewHub(), 0
	var mutex sync.Mutex
	unresponsive := false
	wg.Go(func() {
		_ = Serve(ctx, address, func(report *wire.LoadReport) *wire.LoadReport {
			mutex.Lock()
			defer mutex.Unlock()
			hub.ApplyReport(time.Now(), report)
			if report.Quiet {
				unansweredReports++
			}
			if report.Quiet || unresponsive {
				return nil
			}
			return &wire.LoadReport{Workers: hub.PeerLoads(time.Now(), report.Source)}
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
		wg.Go(func() { _ = exchanges[i].Run(ctx) })
	}
	// No check below depends on timing: a wait for an unresponsive hub would not end.
	const timeout = time.Hour
	knows := func(i int, want uint16) bool {
		if !exchanges[i].Query(ctx, timeout, nil, false) {
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
	unresponsive = true
	mutex.Unlock()
	for exchanges[2].Query(ctx, time.Millisecond, nil, false) {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(ReportTTL)
	if exchanges[2].Query(ctx, timeout, nil, false) {
		t.Error("an unresponsive hub has answered")
	}
	mutex.Lock()
	defer mutex.Unlock()
	if unansweredReports == 0 {
		t.Error("no report without an answer arrived")
	}
}
