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

// TestDecide compares a table of decisions with testdata/decisions.txt.
func TestDecide(t *testing.T) {
	var trace strings.Builder
	for _, timeLeft := range []time.Duration{5000 * ms, 4800 * ms, 4700 * ms, 600 * ms} {
		for _, wait := range []time.Duration{0, 100 * ms, 190 * ms, 200 * ms, 900 * ms} {
			request := Request{TimeLeft: timeLeft, MaxTimeLeft: 5000 * ms, Goal: 300 * ms, FirstEventTime: 80 * ms, Wait: wait}
			fmt.Fprintf(&trace, "left %s, begin %s, wait %s of goal %s: come back after %s to %s\n", timeLeft, request.FirstEventTime, wait, request.Goal, Decide(&request, 0), Decide(&request, 1))
		}
	}
	for _, overloadTimeLeft := range []time.Duration{100 * ms, 1200 * ms, 1660 * ms, 4000 * ms} {
		request := Request{TimeLeft: 5000 * ms, MaxTimeLeft: 5000 * ms, Goal: 300 * ms, FirstEventTime: 80 * ms, Wait: 900 * ms, OverloadTimeLeft: overloadTimeLeft}
		fmt.Fprintf(&trace, "the overload ends in %s: come back after %s to %s\n", overloadTimeLeft, Decide(&request, 0), Decide(&request, 1))
	}
	compareGolden(t, "decisions.txt", trace.String())
}

// compareGolden compares a text with a golden file under testdata.
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

// TestRejectionsLeaveTimeToRetry checks with random requests that no request is rejected that is
// predicted to meet its goal, that is a retry already, or whose wait or first event time is
// unknown, and that a rejected caller has time left when it retries.
func TestRejectionsLeaveTimeToRetry(t *testing.T) {
	proptest.Run(t, "refusals", func(random *rand.Rand) error {
		randomTime := func(maxMillis int) time.Duration { return time.Duration(random.Intn(maxMillis)) * ms }
		request := Request{TimeLeft: randomTime(6000), MaxTimeLeft: randomTime(6000), Goal: randomTime(2000), FirstEventTime: randomTime(1000), Wait: randomTime(3000)}
		retryAfter := Decide(&request, random.Float64())
		switch {
		case retryAfter == 0:
			return nil
		case request.Wait == 0 || request.FirstEventTime == 0 || request.FirstEventTime+request.Wait <= request.Goal*goalPercent/hundredPercent:
			return errors.Newf("%+v is rejected though it may meet its goal", request)
		case request.TimeLeft <= request.MaxTimeLeft-MinRetryAfter:
			return errors.Newf("%+v is rejected a second time", request)
		case retryAfter < MinRetryAfter || retryAfter > request.TimeLeft/maxRetryAfterDivisor:
			return errors.Newf("%+v has the Retry-After %s, out of bounds", request, retryAfter)
		}
		return nil
	})
}

// TestOverShareIsRejectedSooner decides on random requests, each both within and over its tenant's
// share. The request over the share is rejected whenever the one within the share is, with the same
// Retry-After. It is also rejected at shorter waits, but then never if it need not wait, and never
// if it is a retry already.
func TestOverShareIsRejectedSooner(t *testing.T) {
	rejectedSooner := 0
	proptest.Run(t, "over", func(random *rand.Rand) error {
		randomTime := func(maxMillis int) time.Duration { return time.Duration(random.Intn(maxMillis)) * ms }
		withinShare := Request{TimeLeft: randomTime(6000), MaxTimeLeft: randomTime(6000), Goal: randomTime(2000), FirstEventTime: randomTime(1000), Wait: randomTime(800)}
		overShare := withinShare
		overShare.OverShare = true
		jitter := random.Float64()
		retryWithin, retryOver := Decide(&withinShare, jitter), Decide(&overShare, jitter)
		switch {
		case retryWithin > 0 && retryWithin != retryOver:
			return errors.Newf("%+v has the Retry-After %s, and %s over its share; want the same", withinShare, retryWithin, retryOver)
		case retryWithin == 0 && retryOver > 0:
			rejectedSooner++
			if overShare.Wait == 0 || overShare.TimeLeft <= overShare.MaxTimeLeft-MinRetryAfter || Evaluate(&overShare) != OverShare {
				return errors.Newf("%+v is rejected, want admitted", overShare)
			}
		}
		return nil
	})
	if rejectedSooner == 0 {
		t.Error("no request was rejected for its share")
	}
}

// TestEvaluate evaluates requests with different waits, within and over their tenants' shares.
func TestEvaluate(t *testing.T) {
	for _, test := range []struct {
		wait                   time.Duration
		withinShare, overShare Reason
	}{{0, Admitted, Admitted}, {47 * ms, Admitted, Admitted}, {48 * ms, Admitted, OverShare}, {190 * ms, Admitted, OverShare}, {191 * ms, TooLate, TooLate}} {
		request := Request{TimeLeft: 5000 * ms, MaxTimeLeft: 5000 * ms, Goal: 300 * ms, FirstEventTime: 80 * ms, Wait: test.wait}
		if got := Evaluate(&request); got != test.withinShare {
			t.Errorf("wait %s: %s", test.wait, got)
		}
		request.OverShare = true
		if got := Evaluate(&request); got != test.overShare {
			t.Errorf("wait %s, over the share: %s", test.wait, got)
		}
	}
}

func TestRouteObservations(t *testing.T) {
	var route Route
	if route.FirstEventTime() != 0 || route.MaxTimeLeft() != 0 {
		t.Error("a new route has values before any observation")
	}
	for range 100 {
		route.ObserveArrival(4000 * ms)
		route.ObserveArrival(3000 * ms)
		route.ObserveFirstEvent(80 * ms)
	}
	if route.FirstEventTime() != 80*ms || route.MaxTimeLeft() < 3900*ms {
		t.Errorf("first event time %s, max time left %s", route.FirstEventTime(), route.MaxTimeLeft())
	}
	for range 8 * maxTimeLeftDivisor {
		route.ObserveArrival(2000 * ms)
	}
	if route.MaxTimeLeft() > 2100*ms {
		t.Errorf("max time left %s after the callers' deadlines became shorter", route.MaxTimeLeft())
	}
}

// TestOverloadDurationIsLearned sends requests in waves. From the second wave on its end is
// predicted. A single request that finds the pool overloaded in a quiet period is no overload, and
// a wave that lasts longer than those before it has no predicted end.
func TestOverloadDurationIsLearned(t *testing.T) {
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

// TestDetectRetry distinguishes retries from callers with a shorter deadline than others.
func TestDetectRetry(t *testing.T) {
	const maxTimeLeft, goal = 6000 * ms, 300 * ms
	for _, test := range []struct {
		timeLeft time.Duration
		want     bool
	}{
		{maxTimeLeft, false},
		{maxTimeLeft - MinRetryAfter + ms, false},
		{maxTimeLeft - MinRetryAfter, true},
		{maxTimeLeft - maxTimeLeft/3 - goal, true},
		{maxTimeLeft - maxTimeLeft/3 - goal - ms, false},
		{1000 * ms, false},
		{maxTimeLeft + 1000*ms, false},
	} {
		elapsed, retried := DetectRetry(maxTimeLeft, test.timeLeft, goal)
		if retried != test.want || elapsed != maxTimeLeft-test.timeLeft {
			t.Errorf("%s left: elapsed %s, retried %t", test.timeLeft, elapsed, retried)
		}
	}
}

// TestEveryRetryIsDetected rejects callers that retry when they are asked to: each retry is
// detected by the time left until its deadline.
func TestEveryRetryIsDetected(t *testing.T) {
	proptest.Run(t, "came back", func(random *rand.Rand) error {
		maxTimeLeft := time.Duration(1000+random.Intn(20000)) * ms
		retryAfter := Decide(&Request{TimeLeft: maxTimeLeft, MaxTimeLeft: maxTimeLeft, Goal: testGoal, FirstEventTime: testFirstEventTime, Wait: time.Second, OverloadTimeLeft: time.Duration(random.Intn(8000)) * ms}, random.Float64())
		if _, retried := DetectRetry(maxTimeLeft, maxTimeLeft-retryAfter-time.Duration(random.Intn(100))*ms, testGoal); !retried {
			return errors.Newf("retry after %s of %s is not detected", retryAfter, maxTimeLeft)
		}
		return nil
	})
}
