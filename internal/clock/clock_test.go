package clock

import (
	"os"
	"strings"
	"testing"
	"time"
)

// TestNowGoesOn checks that the clock goes on, at the pace of the steady one while the
// machine is not suspended.
func TestNowGoesOn(t *testing.T) {
	before, steady := Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	if passed, least := Since(before), 20*time.Millisecond; passed < least {
		t.Errorf("%s have passed, %s at least must have", passed, least)
	}
	if passed, most := Now().Sub(before), time.Since(steady)+time.Second; passed > most {
		t.Errorf("%s have passed, %s by the steady clock", passed, most)
	}
}

// BenchmarkNow and BenchmarkExact: 123 and 276 ns, no allocation, on one core of the
// developers' machine.
func BenchmarkNow(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		Now()
	}
}

func BenchmarkExact(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		Exact()
	}
}

// TestSuspensionIsSeen suspends a machine between two readings: the steady clock stands
// still, the exact one and the time of day go on. The next reading counts the suspension,
// also where the time of day is stepped besides; where that hides it, the first one after
// refreshTime does.
func TestSuspensionIsSeen(t *testing.T) {
	const slept, passed = 3 * time.Second, time.Millisecond
	for _, test := range []struct {
		name string
		// step is by how much the time of day is stepped meanwhile.
		step time.Duration
		seen bool
	}{{"no step", 0, true}, {"forward", time.Hour, true}, {"back by more", -time.Minute, true}, {"back by just as much", -slept, false}} {
		var day, steady time.Duration
		exact := time.Unix(1000, 0)
		c := &offsetClock{read: func() (time.Duration, time.Duration) { return day, steady }, exact: func() time.Time { return exact }}
		before := c.now()
		day, steady, exact = day+slept+test.step+passed, steady+passed, exact.Add(slept+passed)
		if counted := c.now().Sub(before) >= slept; counted != test.seen {
			t.Errorf("%s: %s counted", test.name, c.now().Sub(before))
		}
		day, steady, exact = day+2*refreshTime, steady+2*refreshTime, exact.Add(2*refreshTime)
		if counted := c.now().Sub(before); counted != slept+passed+2*refreshTime {
			t.Errorf("%s: later %s counted", test.name, counted)
		}
	}
}

// leaseFiles are the files in which leases, ages of news and terms of silence are counted,
// and nothing else is timed.
var leaseFiles = []string{
	"../replication/host.go", "../replication/reads.go", "../controlclient/session.go",
	"../fleetwatch/watcher.go", "../batchstore/runner.go", "../batchstore/spread.go",
	"../loadshare/datagrams.go",
}

// exactFiles are those of them in which leases are counted.
var exactFiles = []string{"../replication/host.go", "../replication/reads.go", "../controlclient/session.go"}

// TestLeasesGoByThisClock guards against a lease that is counted by the steady clock again,
// which no test on one machine can bring about: it can't be suspended.
func TestLeasesGoByThisClock(t *testing.T) {
	for _, name := range leaseFiles {
		source, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(source), "time.Now()") || strings.Contains(string(source), "time.Since(") {
			t.Errorf("%s reads a clock that stands still while the machine is suspended: use package clock", name)
		}
	}
	for _, name := range exactFiles {
		source, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(source), "clock.Now()") {
			t.Errorf("%s counts leases, and not by clock.Exact", name)
		}
	}
}
