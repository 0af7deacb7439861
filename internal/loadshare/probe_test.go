package loadshare

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// patient is a worker of a hub that fails requests by a rule, and those who use it: while it
// is not avoided they send a request each 10 ms, else probes as the hub wants them.
type patient struct {
	hub    *Hub
	now    time.Time
	random *rand.Rand
	// fails returns whether a request that comes now fails, silent is set where it says so
	// only by keeping silent.
	fails  func(now time.Time) bool
	silent bool
	// lost counts failed probes, sent all of them, under how many were under way at most.
	lost, sent, under, most int
	// reports are under way.
	reports []pendingReport
}

type pendingReport struct {
	at     time.Time
	report *wire.LoadReport
	probe  bool
}

const patientWorker = 7

// reportLag is what passes from an answer until the hub knows of it.
const reportLag = 100 * time.Millisecond

func newPatient(fails func(now time.Time) bool) *patient {
	return &patient{hub: NewHub(), now: start, random: rand.New(rand.NewPCG(1, 1)), fails: fails}
}

// send sends a request and has its end reported.
func (p *patient) send(probe bool) {
	report := &wire.LoadReport{Source: uint32(1 + p.random.IntN(4))}
	failed, after := p.fails(p.now), reportLag
	switch {
	case failed:
		report.Workers = []wire.WorkerLoad{{Worker: patientWorker, Failed: 1}}
		if p.silent {
			after += 400 * time.Millisecond
		}
	case probe:
		report.Proofs = []wire.WorkerProof{{Worker: patientWorker, Well: 1}}
	default:
		report.Workers = []wire.WorkerLoad{{Worker: patientWorker, Answered: 1}}
	}
	if probe {
		p.sent++
		p.under++
		p.most = max(p.most, p.under)
		if failed {
			p.lost++
		}
	}
	p.reports = append(p.reports, pendingReport{p.now.Add(after), report, probe})
}

// play plays until a moment, and returns when the worker was readmitted last.
func (p *patient) play(until time.Duration) (readmitted time.Time) {
	for ; p.now.Sub(start) < until; p.now = p.now.Add(10 * time.Millisecond) {
		kept := p.reports[:0]
		for _, pending := range p.reports {
			if pending.at.After(p.now) {
				kept = append(kept, pending)
				continue
			}
			p.hub.ApplyReport(p.now, pending.report)
			if pending.probe {
				p.under--
			}
		}
		p.reports = kept
		for _, judged := range p.hub.HealthChanges() {
			if judged.Change == Readmitted {
				readmitted = p.now
			}
		}
		switch {
		case !p.hub.avoids(p.now, patientWorker):
			p.send(false)
		case p.hub.ProbeDue(p.now, patientWorker):
			p.hub.RecordProbe(p.now, patientWorker)
			p.send(true)
		}
	}
	return readmitted
}

// TestWellWorkersComeBackSoon lets a worker fail everything for some time: it is sent requests
// again about a second after it is well, however it failed, and a fifth of the time that it
// was ill at most.
func TestWellWorkersComeBackSoon(t *testing.T) {
	for _, test := range []struct {
		ill    time.Duration
		silent bool
		within time.Duration
	}{
		{time.Second, false, 1200 * time.Millisecond},
		{5 * time.Second, false, 1600 * time.Millisecond},
		{5 * time.Second, true, 2200 * time.Millisecond},
		{20 * time.Second, false, 4600 * time.Millisecond},
	} {
		ends := start.Add(test.ill)
		p := newPatient(func(now time.Time) bool { return now.Before(ends) })
		p.silent = test.silent
		back := p.play(test.ill + 15*time.Second).Sub(ends)
		t.Logf("ill for %v, silent %t: back after %v, %d probes, %d lost", test.ill, test.silent, back, p.sent, p.lost)
		if back <= 0 || back > test.within {
			t.Errorf("ill for %v, silent %t: back after %v", test.ill, test.silent, back)
		}
		if p.most > 1 {
			t.Errorf("%d probes at once", p.most)
		}
	}
}

// TestIllWorkersCostFewProbes lets a worker fail for good: the requests lost grow with the
// logarithm of the time, then by fifteen a minute.
func TestIllWorkersCostFewProbes(t *testing.T) {
	for _, silent := range []bool{false, true} {
		p := newPatient(func(time.Time) bool { return true })
		p.silent = silent
		p.play(10 * time.Second)
		early := p.lost
		p.play(70 * time.Second)
		t.Logf("silent %t: %d lost in 10 s, %d in 70 s", silent, early, p.lost)
		if early > 20 || p.lost > early+25 || p.most > 1 {
			t.Errorf("silent %t: %d probes lost in 10 s, %d in 70 s, %d at once", silent, early, p.lost, p.most)
		}
	}
}

// TestHalfIllWorkersStayAvoided lets a worker fail one request in three: it is avoided most of
// the time, because each relapse asks for more good answers.
func TestHalfIllWorkersStayAvoided(t *testing.T) {
	luck := rand.New(rand.NewPCG(3, 3))
	p := newPatient(func(time.Time) bool { return luck.IntN(3) == 0 })
	avoided, all := 0, 0
	for all = range 3000 {
		p.play(time.Duration(all) * 20 * time.Millisecond)
		if p.hub.avoids(p.now, patientWorker) {
			avoided++
		}
	}
	t.Logf("avoided in %d of %d moments, %d probes", avoided, all, p.sent)
	if avoided < all*9/10 {
		t.Errorf("avoided in %d of %d moments", avoided, all)
	}
}

// TestOnlineProbesComeSecond checks that a zone's hub names an avoided worker of its zone for
// a repeatable request only while no items run that could be the probe, and one at a time.
func TestOnlineProbesComeSecond(t *testing.T) {
	h, now := NewHub(), start
	near := func(worker uint32) bool { return worker == patientWorker }
	rows := []wire.WorkerLoad{{Worker: patientWorker, Failing: true}, {Worker: 8, Failing: true}, {Worker: 9, Batch: 1}}
	tell := func(rows []wire.WorkerLoad, times int) (named []uint32) {
		for range times {
			now = now.Add(Interval)
			h.SetParentLoads(now, rows, 0, false)
			named = append(named, h.OnlineProbes(now, near)...)
		}
		return named
	}
	if named := tell(rows, 40); len(named) != 0 {
		t.Errorf("%v are named though items run", named)
	}
	if named := tell(rows[:2], 10); len(named) != 1 || named[0] != patientWorker {
		t.Errorf("%v are named", named)
	}
	if named := tell(rows[1:2], 40); len(named) != 0 {
		t.Errorf("%v are named, which are well or of other zones", named)
	}
}

// TestOnlineProbesTakeOver lets items run while a worker is avoided. While their probes bring
// news of it, bad or good, its zone's hub names it for no online request; where they bring none,
// or none is sent, it does from the due time of the first on. Then online probes alone bring
// the worker back, and soon.
func TestOnlineProbesTakeOver(t *testing.T) {
	const runner, zoneName = 50, 60
	near := func(worker uint32) bool { return worker == patientWorker }
	for _, test := range []struct {
		name            string
		granted, answer bool
		want            bool
	}{
		{"items tell of it", true, true, false},
		{"items don't come", true, false, true},
		{"none may start", false, false, true},
	} {
		top, zone := NewHub(), NewHub()
		items := []wire.WorkerLoad{{Worker: 9, Batch: 1}}
		zone.ApplyReport(start, &wire.LoadReport{Source: 1, Workers: []wire.WorkerLoad{{Worker: patientWorker, Failed: 5}}})
		first, back, named, toldOn := time.Duration(0), time.Duration(0), 0, false
		for after := Interval; after < 10*time.Second && back == 0; after += Interval {
			now := start.Add(after)
			report := &wire.LoadReport{Source: runner, Workers: items}
			if top.ProbeDue(now, patientWorker) && test.granted {
				top.RecordProbe(now, patientWorker)
				if test.answer {
					report.Workers = append([]wire.WorkerLoad{{Worker: patientWorker, Failed: 1}}, items...)
				}
			}
			top.ApplyReport(now, report)
			if sums := zone.Sums(now, zoneName); sums != nil {
				top.ApplyReport(now, sums)
			}
			zone.SetParentLoads(now, top.UpdateForHub(now, zoneName).Rows, 0, false)
			zone.ApplyReport(now, &wire.LoadReport{Source: 1})
			for range zone.OnlineProbes(now, near) {
				named++
				if first == 0 {
					first = after
				}
				zone.ApplyReport(now, &wire.LoadReport{Source: 1, Proofs: []wire.WorkerProof{{Worker: patientWorker, Well: 1}}})
			}
			for _, row := range zone.PeerLoads(now, 1) {
				toldOn = toldOn || row.Start > 0
			}
			if first > 0 && !top.avoids(now, patientWorker) {
				back = after
			}
		}
		t.Logf("%s: first named after %v, %d times, back after %v", test.name, first, named, back)
		if toldOn {
			t.Errorf("%s: edges are told of items that may start", test.name)
		}
		if (named > 0) != test.want {
			t.Errorf("%s: named %d times", test.name, named)
		}
		if test.want && (first > 2*time.Second || back == 0 || back > first+time.Second) {
			t.Errorf("%s: first named after %v, back after %v", test.name, first, back)
		}
	}
}
