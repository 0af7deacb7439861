package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	commonPart   = Fingerprint(1001)
	crashingPart = Fingerprint(1002)
	rarePart     = Fingerprint(1003)
)

// fleet is a table with the caches of some processes.
type fleet struct {
	now    time.Time
	table  *Table
	timers *Timers
	caches []*Cache
}

func newFleet(processes int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), table: NewTable(), timers: NewTimers()}
	for range processes {
		f.caches = append(f.caches, NewCache())
	}
	return f
}

// exchange lets all processes report their runs, then sends the table to all.
func (f *fleet) exchange() {
	for _, cache := range f.caches {
		if report := cache.Report(f.now); report != nil {
			f.table.Apply(&wire.QuarantineCommand{AtMillis: f.now.UnixMilli(), Runs: report.Runs})
			update := f.table.Since(report.Known)
			cache.RecordAnswer(f.now, &update)
		}
	}
	for _, cache := range f.caches {
		update := f.table.Since(cache.Revision())
		cache.Apply(f.now, &update)
	}
}

// wantRefused fails the test unless exactly the given parts are refused at all processes.
func (f *fleet) wantRefused(t *testing.T, want ...Fingerprint) {
	t.Helper()
	all := &Subject{Request: 1, Parts: []Fingerprint{commonPart, crashingPart, rarePart}}
	for i, cache := range f.caches {
		if got := cache.Refused(f.now, all); !slices.Equal(got, want) {
			t.Errorf("process %d refuses %v, want %v", i, got, want)
		}
	}
}

// TestOnlyTheCrashingPartIsRefused lets workers exit under requests that have two parts in common, one
// of which has successes.
func TestOnlyTheCrashingPartIsRefused(t *testing.T) {
	f := newFleet(3)
	for i, cache := range f.caches {
		request := Fingerprint(10 * (i + 1))
		cache.RecordSuccess(f.now, &Subject{Request: request, Parts: []Fingerprint{commonPart}})
		cache.RecordExit(f.now, &Subject{Request: request + 1, Parts: []Fingerprint{commonPart, crashingPart}}, fmt.Sprint("w", i), time.Time{})
	}
	f.exchange()
	f.wantRefused(t, crashingPart)
}

// TestPartOfAllRequestsIsNotRefused lets twenty workers exit by themselves while all requests have one
// part in common.
func TestPartOfAllRequestsIsNotRefused(t *testing.T) {
	f := newFleet(4)
	for i, cache := range f.caches {
		cache.RecordSuccess(f.now, &Subject{Request: Fingerprint(10 + i), Parts: []Fingerprint{commonPart}})
	}
	f.now = f.now.Add(creditTime / 2)
	for worker := range 20 {
		f.caches[worker%4].RecordExit(f.now, &Subject{Request: Fingerprint(100 + worker), Parts: []Fingerprint{commonPart}}, fmt.Sprint("w", worker), time.Time{})
	}
	f.exchange()
	f.wantRefused(t)
}

// TestSuccessElsewhereReadmitsPart lets processes without a success of the common part have it refused.
// Another process that has one readmits it without a trial.
func TestSuccessElsewhereReadmitsPart(t *testing.T) {
	f := newFleet(4)
	f.caches[3].RecordSuccess(f.now, &Subject{Request: 5, Parts: []Fingerprint{commonPart}})
	for i, cache := range f.caches[:3] {
		cache.RecordExit(f.now, &Subject{Request: Fingerprint(10 + i), Parts: []Fingerprint{commonPart}}, fmt.Sprint("w", i), time.Time{})
	}
	f.exchange()
	if refused := f.caches[3].Refused(f.now, &Subject{Parts: []Fingerprint{commonPart}}); len(refused) != 0 {
		t.Errorf("the process with the success refuses %v", refused)
	}
	f.exchange()
	f.wantRefused(t)
}

// TestRequestExplainsExitsOfItsParts repeats one request that makes workers exit. Its part, which sound
// requests have, too, must not be refused with it.
func TestRequestExplainsExitsOfItsParts(t *testing.T) {
	f := newFleet(2)
	for worker := range 6 {
		f.caches[worker%2].RecordExit(f.now, &Subject{Request: 7, Parts: []Fingerprint{rarePart}}, fmt.Sprint("w", worker), time.Time{})
		f.exchange()
	}
	f.wantRefused(t)
	if !refused(f.table, 7) {
		t.Error("the request is not refused")
	}
}

// TestRequestWithSeveralRefusedPartsIsTriedLast checks that requests with one refused part are tried
// before those with several, which can't show which part is the reason.
func TestRequestWithSeveralRefusedPartsIsTriedLast(t *testing.T) {
	f := newFleet(1)
	var runs []wire.RunReport
	for worker := uint32(1); worker <= Threshold; worker++ {
		runs = append(runs, exitReport(commonPart, worker), exitReport(crashingPart, worker))
	}
	f.table.Apply(&wire.QuarantineCommand{Runs: runs})
	both := []Fingerprint{commonPart, crashingPart}
	f.timers.Tick(f.now, f.table)
	f.now = f.now.Add(firstTrialDelay)
	if granted, wait := f.timers.GrantTrial(f.now, f.table, both, false); granted || wait != jointTrialDelay {
		t.Errorf("both parts: granted %t, wait %s", granted, wait)
	}
	if granted, _ := f.timers.GrantTrial(f.now, f.table, both[:1], false); !granted {
		t.Error("no trial of the common part alone")
	}
	f.table.Apply(&wire.QuarantineCommand{Trial: uint64(commonPart), Runs: []wire.RunReport{successReport(commonPart)}})
	f.now = f.now.Add(jointTrialDelay)
	if granted, wait := f.timers.GrantTrial(f.now, f.table, both, false); !granted {
		t.Errorf("no trial of the crashing part after the common one was readmitted, wait %s", wait)
	}
}

// TestCreditsExpireAndAreBounded checks for how long a success speaks for a part, and how many are kept.
func TestCreditsExpireAndAreBounded(t *testing.T) {
	var c credits
	now := time.Unix(1000, 0)
	c.add(now, []Fingerprint{commonPart})
	for _, step := range []struct {
		after time.Duration
		want  bool
	}{{0, true}, {creditTime - 1, true}, {creditTime, true}, {2 * creditTime, false}} {
		if got := c.has(now.Add(step.after), commonPart); got != step.want {
			t.Errorf("after %s: %t", step.after, got)
		}
	}
	now = now.Add(10 * creditTime)
	for part := range Fingerprint(2 * maxCredits) {
		c.add(now, []Fingerprint{part})
	}
	if len(c.current) != maxCredits {
		t.Errorf("%d successes are kept", len(c.current))
	}
}

// TestSharedParts checks which parts of a prompt are judged: not the last, none twice, at most
// MaxParts, and each owner's apart.
func TestSharedParts(t *testing.T) {
	many := make([]string, 3*MaxParts)
	for i := range many {
		many[i] = fmt.Sprint(i)
	}
	for _, test := range []struct {
		name  string
		parts []string
		want  int
	}{
		{"none", nil, 0},
		{"one", []string{"a"}, 0},
		{"three", []string{"a", "b", "c"}, 2},
		{"twice the same", []string{"a", "a", "b"}, 1},
		{"the last one before, too", []string{"a", "c", "c"}, 1},
		{"very many", many, MaxParts},
	} {
		if got := SharedParts("", test.parts); len(got) != test.want {
			t.Errorf("%s: %v, want %d", test.name, got, test.want)
		}
	}
	if PartFingerprint("owner", "a") == PartFingerprint("other", "a") {
		t.Error("the parts of two owners have the same fingerprint")
	}
	if PartFingerprint("", "a") == FingerprintOf("", "a", "", "", nil) {
		t.Error("a part has the fingerprint of a request")
	}
}

// BenchmarkSuccessOfParts measures what a successful request with three parts costs while no worker
// exits.
func BenchmarkSuccessOfParts(b *testing.B) {
	cache, now := NewCache(), time.Unix(1000, 0)
	ids := []string{"5c1e07a2", "91bd3f06", "e4402b7d"}
	b.ReportAllocs()
	for b.Loop() {
		cache.RecordSuccess(now, &Subject{Parts: SharedParts("", ids)})
	}
}
