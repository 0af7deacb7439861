package loadshare

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// simulatedWorker simulates a worker of a hub that fails requests by a rule, and its callers:
// every 10 ms they send a request while the worker is not avoided, or a probe if one is due.
type simulatedWorker struct {
	hub    *Hub
	now    time.Time
	random *rand.Rand
	// fails reports whether a request sent now fails. timesOut is set if failures are detected by a
	// timeout rather than by an error.
	fails    func(now time.Time) bool
	timesOut bool
	// probesFailed counts failed probes, probesSent counts all probes, probesInFlight counts those
	// in flight, and maxProbesInFlight is the maximum of probesInFlight.
	probesFailed, probesSent, probesInFlight, maxProbesInFlight int
	// reports holds the reports in transit.
	reports []pendingReport
}

type pendingReport struct {
	at     time.Time
	report *wire.LoadReport
	probe  bool
}

const simulatedWorkerHash = 7

// reportLag is the time from an answer until the hub has the report on it.
const reportLag = 100 * time.Millisecond

func newSimulatedWorker(fails func(now time.Time) bool) *simulatedWorker {
	return &simulatedWorker{hub: NewHub(), now: start, random: rand.New(rand.NewPCG(1, 1)), fails: fails}
}

// send sends a request and schedules the report on its outcome.
func (w *simulatedWorker) send(probe bool) {
	report := &wire.LoadReport{Source: uint32(1 + w.random.IntN(4))}
	failed, after := w.fails(w.now), reportLag
	switch {
	case failed:
		report.Workers = []wire.WorkerLoad{{Worker: simulatedWorkerHash, Failed: 1}}
		if w.timesOut {
			after += 400 * time.Millisecond
		}
	case probe:
		report.Proofs = []wire.WorkerProof{{Worker: simulatedWorkerHash, Well: 1}}
	default:
		report.Workers = []wire.WorkerLoad{{Worker: simulatedWorkerHash, Answered: 1}}
	}
	if probe {
		w.probesSent++
		w.probesInFlight++
		w.maxProbesInFlight = max(w.maxProbesInFlight, w.probesInFlight)
		if failed {
			w.probesFailed++
		}
	}
	w.reports = append(w.reports, pendingReport{w.now.Add(after), report, probe})
}

// run simulates until the given time and returns when the worker was last readmitted.
func (w *simulatedWorker) run(until time.Duration) (readmitted time.Time) {
	for ; w.now.Sub(start) < until; w.now = w.now.Add(10 * time.Millisecond) {
		kept := w.reports[:0]
		for _, pending := range w.reports {
			if pending.at.After(w.now) {
				kept = append(kept, pending)
				continue
			}
			w.hub.ApplyReport(w.now, pending.report)
			if pending.probe {
				w.probesInFlight--
			}
		}
		w.reports = kept
		for _, change := range w.hub.HealthChanges() {
			if change.Change == Readmitted {
				readmitted = w.now
			}
		}
		switch {
		case !w.hub.avoids(w.now, simulatedWorkerHash):
			w.send(false)
		case w.hub.ProbeDue(w.now, simulatedWorkerHash):
			w.hub.RecordProbe(w.now, simulatedWorkerHash)
			w.send(true)
		}
	}
	return readmitted
}

// TestRecoveredWorkersAreReadmittedSoon makes a worker fail all requests for a while, by errors or
// timeouts. After recovery it must receive requests again after about a second, plus at most about
// a fifth of the time that it was failing.
func TestRecoveredWorkersAreReadmittedSoon(t *testing.T) {
	for _, test := range []struct {
		failingFor time.Duration
		timesOut   bool
		within     time.Duration
	}{
		{time.Second, false, 1200 * time.Millisecond},
		{5 * time.Second, false, 1600 * time.Millisecond},
		{5 * time.Second, true, 2200 * time.Millisecond},
		{20 * time.Second, false, 4600 * time.Millisecond},
	} {
		recovery := start.Add(test.failingFor)
		worker := newSimulatedWorker(func(now time.Time) bool { return now.Before(recovery) })
		worker.timesOut = test.timesOut
		readmittedAfter := worker.run(test.failingFor + 15*time.Second).Sub(recovery)
		t.Logf("failing for %v, timeouts %t: readmitted after %v, %d probes, %d failed", test.failingFor, test.timesOut, readmittedAfter, worker.probesSent, worker.probesFailed)
		if readmittedAfter <= 0 || readmittedAfter > test.within {
			t.Errorf("failing for %v, timeouts %t: readmitted after %v", test.failingFor, test.timesOut, readmittedAfter)
		}
		if worker.maxProbesInFlight > 1 {
			t.Errorf("%d probes in flight at once", worker.maxProbesInFlight)
		}
	}
}

// TestFailingWorkersGetFewProbes makes a worker fail for good: failed probes grow with the
// logarithm of the time, and later by fifteen a minute.
func TestFailingWorkersGetFewProbes(t *testing.T) {
	for _, timesOut := range []bool{false, true} {
		worker := newSimulatedWorker(func(time.Time) bool { return true })
		worker.timesOut = timesOut
		worker.run(10 * time.Second)
		first := worker.probesFailed
		worker.run(70 * time.Second)
		t.Logf("timeouts %t: %d probes failed in 10 s, %d in 70 s", timesOut, first, worker.probesFailed)
		if first > 20 || worker.probesFailed > first+25 || worker.maxProbesInFlight > 1 {
			t.Errorf("timeouts %t: %d probes failed in 10 s, %d in 70 s, %d in flight at once", timesOut, first, worker.probesFailed, worker.maxProbesInFlight)
		}
	}
}

// TestPartlyFailingWorkersStayAvoided makes a worker fail one in three requests: it must be avoided
// most of the time, because each relapse requires more successes.
func TestPartlyFailingWorkersStayAvoided(t *testing.T) {
	failures := rand.New(rand.NewPCG(3, 3))
	worker := newSimulatedWorker(func(time.Time) bool { return failures.IntN(3) == 0 })
	avoided, all := 0, 0
	for all = range 3000 {
		worker.run(time.Duration(all) * 20 * time.Millisecond)
		if worker.hub.avoids(worker.now, simulatedWorkerHash) {
			avoided++
		}
	}
	t.Logf("avoided in %d of %d steps, %d probes", avoided, all, worker.probesSent)
	if avoided < all*9/10 {
		t.Errorf("avoided in %d of %d steps", avoided, all)
	}
}

// TestOnlineProbesOnlyWithoutItems checks that a zone's hub offers an avoided worker of its zone
// to a repeatable request only while no batch items run that could probe it, and only one probe at
// a time.
func TestOnlineProbesOnlyWithoutItems(t *testing.T) {
	h, now := NewHub(), start
	near := func(worker uint32) bool { return worker == simulatedWorkerHash }
	rows := []wire.WorkerLoad{{Worker: simulatedWorkerHash, Failing: true}, {Worker: 8, Failing: true}, {Worker: 9, Batch: 1}}
	receive := func(rows []wire.WorkerLoad, times int) (offered []uint32) {
		for range times {
			now = now.Add(Interval)
			h.SetParentLoads(now, rows, 0, false)
			offered = append(offered, h.OnlineProbes(now, near)...)
		}
		return offered
	}
	if offered := receive(rows, 40); len(offered) != 0 {
		t.Errorf("workers %v offered though items run", offered)
	}
	if offered := receive(rows[:2], 10); len(offered) != 1 || offered[0] != simulatedWorkerHash {
		t.Errorf("workers %v offered, want one", offered)
	}
	if offered := receive(rows[1:2], 40); len(offered) != 0 {
		t.Errorf("workers %v offered, which are healthy or in other zones", offered)
	}
}

// TestOnlineProbesReplaceMissingItemProbes runs batch items while a worker is avoided. While their
// probes report on the worker, its zone's hub must offer it to no online request. If the probes
// are not reported or none is sent, the hub must offer it from the first missed deadline on, and
// online probes alone must readmit the worker soon.
func TestOnlineProbesReplaceMissingItemProbes(t *testing.T) {
	const runner, zoneName = 50, 60
	near := func(worker uint32) bool { return worker == simulatedWorkerHash }
	for _, test := range []struct {
		name             string
		probed, answered bool
		want             bool
	}{
		{"item probes are reported", true, true, false},
		{"item probes are not reported", true, false, true},
		{"no item probes are sent", false, false, true},
	} {
		top, zone := NewHub(), NewHub()
		items := []wire.WorkerLoad{{Worker: 9, Batch: 1}}
		zone.ApplyReport(start, &wire.LoadReport{Source: 1, Workers: []wire.WorkerLoad{{Worker: simulatedWorkerHash, Failed: 5}}})
		firstOffered, readmittedAfter, offered, startLeaked := time.Duration(0), time.Duration(0), 0, false
		for after := Interval; after < 10*time.Second && readmittedAfter == 0; after += Interval {
			now := start.Add(after)
			report := &wire.LoadReport{Source: runner, Workers: items}
			if top.ProbeDue(now, simulatedWorkerHash) && test.probed {
				top.RecordProbe(now, simulatedWorkerHash)
				if test.answered {
					report.Workers = append([]wire.WorkerLoad{{Worker: simulatedWorkerHash, Failed: 1}}, items...)
				}
			}
			top.ApplyReport(now, report)
			if sums := zone.Sums(now, zoneName); sums != nil {
				top.ApplyReport(now, sums)
			}
			zone.SetParentLoads(now, top.UpdateForHub(now, zoneName).Rows, 0, false)
			zone.ApplyReport(now, &wire.LoadReport{Source: 1})
			for range zone.OnlineProbes(now, near) {
				offered++
				if firstOffered == 0 {
					firstOffered = after
				}
				zone.ApplyReport(now, &wire.LoadReport{Source: 1, Proofs: []wire.WorkerProof{{Worker: simulatedWorkerHash, Well: 1}}})
			}
			for _, row := range zone.PeerLoads(now, 1) {
				startLeaked = startLeaked || row.Start > 0
			}
			if firstOffered > 0 && !top.avoids(now, simulatedWorkerHash) {
				readmittedAfter = after
			}
		}
		t.Logf("%s: first offered after %v, %d times, readmitted after %v", test.name, firstOffered, offered, readmittedAfter)
		if startLeaked {
			t.Errorf("%s: Start is passed on to edges", test.name)
		}
		if (offered > 0) != test.want {
			t.Errorf("%s: offered %d times", test.name, offered)
		}
		if test.want && (firstOffered > 2*time.Second || readmittedAfter == 0 || readmittedAfter > firstOffered+time.Second) {
			t.Errorf("%s: first offered after %v, readmitted after %v", test.name, firstOffered, readmittedAfter)
		}
	}
}
