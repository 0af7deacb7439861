package admission

import (
	"flag"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/proptest"
)

var update = flag.Bool("update", false, "write the golden files anew")

const ms = time.Millisecond

// TestDecisions compares a table of decisions with testdata/decisions.txt.
func TestDecisions(t *testing.T) {
	var trace strings.Builder
	for _, left := range []time.Duration{5000 * ms, 4800 * ms, 4700 * ms, 600 * ms} {
		for _, wait := range []time.Duration{0, 100 * ms, 190 * ms, 200 * ms, 900 * ms} {
			request := Request{TimeLeft: left, MaxTimeLeft: 5000 * ms, Goal: 300 * ms, FirstEventTime: 80 * ms, Wait: wait}
			fmt.Fprintf(&trace, "left %s, begin %s, wait %s of goal %s: come back after %s to %s\n", left, request.FirstEventTime, wait, request.Goal, Decide(&request, 0), Decide(&request, 1))
		}
	}
	for _, ends := range []time.Duration{100 * ms, 1200 * ms, 1660 * ms, 4000 * ms} {
		request := Request{TimeLeft: 5000 * ms, MaxTimeLeft: 5000 * ms, Goal: 300 * ms, FirstEventTime: 80 * ms, Wait: 900 * ms, OverloadTimeLeft: ends}
		fmt.Fprintf(&trace, "the overload ends in %s: come back after %s to %s\n", ends, Decide(&request, 0), Decide(&request, 1))
	}
	compareGolden(t, "decisions.txt", trace.String())
}

// compareGolden compares a text with a file under testdata.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	golden := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(golden, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs:\n%s", golden, got)
	}
}

// TestRefusalsLeaveTimeToComeBack checks with random requests that none is refused
// that is predicted to be in time, that has come back already, or that waits for a
// cause that is not known; and that whoever is refused has time left when it
// comes back.
func TestRefusalsLeaveTimeToComeBack(t *testing.T) {
	proptest.Run(t, "refusals", func(random *rand.Rand) error {
		some := func(most int) time.Duration { return time.Duration(random.Intn(most)) * ms }
		request := Request{TimeLeft: some(6000), MaxTimeLeft: some(6000), Goal: some(2000), FirstEventTime: some(1000), Wait: some(3000)}
		comeback := Decide(&request, random.Float64())
		switch {
		case comeback == 0:
			return nil
		case request.Wait == 0 || request.FirstEventTime == 0 || request.FirstEventTime+request.Wait <= request.Goal*goalPart/hundreds:
			return errors.Newf("%+v is refused though it may be in time", request)
		case request.TimeLeft <= request.MaxTimeLeft-MinRetryAfter:
			return errors.Newf("%+v is refused a second time", request)
		case comeback < MinRetryAfter || comeback > request.TimeLeft/comebackParts:
			return errors.Newf("%+v is to come back after %s", request, comeback)
		}
		return nil
	})
}

// TestOverShareIsSentBackFirst checks with random requests that who is over its share is
// sent back where others are, and at a smaller wait; never where it finds room, nor twice;
// and that nothing changes for the others.
func TestOverShareIsSentBackFirst(t *testing.T) {
	sooner := 0
	proptest.Run(t, "over", func(random *rand.Rand) error {
		some := func(most int) time.Duration { return time.Duration(random.Intn(most)) * ms }
		within := Request{TimeLeft: some(6000), MaxTimeLeft: some(6000), Goal: some(2000), FirstEventTime: some(1000), Wait: some(800)}
		over := within
		over.OverShare = true
		lot := random.Float64()
		sent, sentOver := Decide(&within, lot), Decide(&over, lot)
		switch {
		case sent > 0 && sent != sentOver:
			return errors.Newf("%+v comes back after %s, over its share after %s", within, sent, sentOver)
		case sent == 0 && sentOver > 0:
			sooner++
			if over.Wait == 0 || over.TimeLeft <= over.MaxTimeLeft-MinRetryAfter || Evaluate(&over) != OverShare {
				return errors.Newf("%+v is sent back", over)
			}
		}
		return nil
	})
	if sooner == 0 {
		t.Error("nobody was sent back for its share")
	}
}

// TestReasons judges a request by its wait, within and over its share.
func TestReasons(t *testing.T) {
	for _, test := range []struct {
		wait         time.Duration
		within, over Reason
	}{{0, Admitted, Admitted}, {47 * ms, Admitted, Admitted}, {48 * ms, Admitted, OverShare}, {190 * ms, Admitted, OverShare}, {191 * ms, TooLate, TooLate}} {
		request := Request{TimeLeft: 5000 * ms, MaxTimeLeft: 5000 * ms, Goal: 300 * ms, FirstEventTime: 80 * ms, Wait: test.wait}
		if got := Evaluate(&request); got != test.within {
			t.Errorf("wait %s: %s", test.wait, got)
		}
		request.OverShare = true
		if got := Evaluate(&request); got != test.over {
			t.Errorf("wait %s, over the share: %s", test.wait, got)
		}
	}
}

func TestRouteLearns(t *testing.T) {
	var route Route
	if route.FirstEventTime() != 0 || route.MaxTimeLeft() != 0 {
		t.Error("something is known before anything was seen")
	}
	for range 100 {
		route.ObserveArrival(4000 * ms)
		route.ObserveArrival(3000 * ms)
		route.ObserveFirstEvent(80 * ms)
	}
	if route.FirstEventTime() != 80*ms || route.MaxTimeLeft() < 3900*ms {
		t.Errorf("begin %s, longest %s", route.FirstEventTime(), route.MaxTimeLeft())
	}
	for range 8 * longestWeight {
		route.ObserveArrival(2000 * ms)
	}
	if route.MaxTimeLeft() > 2100*ms {
		t.Errorf("after the time allowed was cut: %s", route.MaxTimeLeft())
	}
}

// TestOverloadEndsAreLearnt lets requests come in waves: from the second one on the end of
// the wave is known, a single crowded request in a calm time is none, and a wave that lasts
// longer than those before it has no known end.
func TestOverloadEndsAreLearnt(t *testing.T) {
	const period, height = 6 * time.Second, 2 * time.Second
	var overload Overload
	start := time.Unix(1000, 0)
	var trace strings.Builder
	for passed := time.Duration(0); passed < 4*period; passed += 50 * ms {
		now := start.Add(passed)
		wait := time.Duration(0)
		if in := passed % period; in >= period-height || passed == period+2*time.Second {
			wait = 120 * ms
		}
		overload.Observe(now, wait, 300*ms)
		if passed%(500*ms) == 0 {
			fmt.Fprintf(&trace, "%s: wait %s, ends in %s\n", passed, wait, overload.TimeLeft(now))
		}
	}
	now := start.Add(4*period + time.Second)
	for range 100 {
		now = now.Add(50 * ms)
		overload.Observe(now, 120*ms, 300*ms)
	}
	fmt.Fprintf(&trace, "after 5s of another wave: ends in %s\n", overload.TimeLeft(now))
	compareGolden(t, "overload.txt", trace.String())
}

// TestCameBack tells callers that were sent back from those with a shorter deadline than others.
func TestCameBack(t *testing.T) {
	const longest, goal = 6000 * ms, 300 * ms
	for _, test := range []struct {
		left time.Duration
		want bool
	}{
		{longest, false},
		{longest - MinRetryAfter + ms, false},
		{longest - MinRetryAfter, true},
		{longest - longest/3 - goal, true},
		{longest - longest/3 - goal - ms, false},
		{1000 * ms, false},
		{longest + 1000*ms, false},
	} {
		before, returned := DetectRetry(longest, test.left, goal)
		if returned != test.want || before != longest-test.left {
			t.Errorf("%s left: %s before, returned %t", test.left, before, returned)
		}
	}
}

// TestAllWhoAreSentBackCameBack sends callers back, who return when they are asked to: each is
// known by the time that is left then.
func TestAllWhoAreSentBackCameBack(t *testing.T) {
	proptest.Run(t, "came back", func(random *rand.Rand) error {
		longest := time.Duration(1000+random.Intn(20000)) * ms
		comeback := Decide(&Request{TimeLeft: longest, MaxTimeLeft: longest, Goal: testGoal, FirstEventTime: testBegin, Wait: time.Second, OverloadTimeLeft: time.Duration(random.Intn(8000)) * ms}, random.Float64())
		if _, returned := DetectRetry(longest, longest-comeback-time.Duration(random.Intn(100))*ms, testGoal); !returned {
			return errors.Newf("sent back for %s of %s", comeback, longest)
		}
		return nil
	})
}
