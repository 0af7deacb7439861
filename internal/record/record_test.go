package record

import (
	"strings"
	"testing"
)

// validLog is a log without violations. TestBrokenPromises changes one line of it in each case.
const validLog = `
level=info time=2026-12-02T08:00:00Z role=control process=control-1 event=leading group=0 term=1
level=info time=2026-12-02T08:00:01Z role=control process=control-1 event=worker_assigned worker=engine-1 dispatcher=dispatcher-1 epoch=1 leaving=false
level=info time=2026-12-02T08:00:02Z role=control process=control-1 event=configuration_accepted revision=1 change=a operator=x repeated=false
level=info time=2026-12-02T08:00:03Z role=gateway process=gateway-1 event=configuration_in_force revision=1
level=info time=2026-12-02T08:00:04Z role=control process=control-2 event=leading group=0 term=2
level=info time=2026-12-02T08:00:05Z role=control process=control-2 event=configuration_accepted revision=2 change=b operator=x repeated=false
level=info time=2026-12-02T08:00:05.1Z role=control process=control-2 event=configuration_accepted revision=2 change=b operator=x repeated=true
level=info time=2026-12-02T08:00:06Z role=gateway process=gateway-1 event=configuration_in_force revision=2
level=info time=2026-12-02T08:00:07Z role=control process=control-2 event=worker_assigned worker=engine-1 dispatcher=dispatcher-2 epoch=2 leaving=false
level=info time=2026-12-02T08:00:08Z role=gateway process=gateway-1 event=request_accepted request=gateway-1-7 tenant=t at_most_once=true
level=info time=2026-12-02T08:00:08.1Z role=engine process=engine-1 event=attempt_started attempt=gateway-1-7-1.0
level=info time=2026-12-02T08:00:09Z role=gateway process=gateway-1 event=request_accepted request=gateway-1-8 tenant=t at_most_once=false
level=info time=2026-12-02T08:00:09.1Z role=gateway process=gateway-1 event=request_refused request=gateway-1-8 kind=not_run
level=info time=2026-12-02T08:00:10Z role=control process=control-2 event=job_accepted job=batch-g1-1 tenant=t items=5 repeated=false
level=info time=2026-12-02T08:00:11Z role=control process=control-2 event=job_accepted job=batch-g1-1 tenant=t items=5 repeated=true
level=info time=2026-12-02T08:00:12Z role=control process=control-2 event=job_cancelled job=batch-g1-1 state=cancelled
level=info time=2026-12-02T08:00:13Z role=engine process=engine-1 event=attempt_started attempt=batch-g1-1-3-99.0
half a line
`

func check(t *testing.T, text string) *Report {
	t.Helper()
	events, err := Read(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return Check(events)
}

func TestValidLog(t *testing.T) {
	report := check(t, validLog)
	if len(report.Violations) > 0 {
		t.Errorf("violations: %+v", report.Violations)
	}
	if len(report.Counts) != 8 {
		t.Errorf("%v facts were checked, want some for each of the 8 promises", report.Counts)
	}
}

// TestBrokenPromises breaks each promise by one changed line, and checks that the violation is
// reported.
func TestBrokenPromises(t *testing.T) {
	cases := []struct{ promise, before, after string }{
		{promiseRevisions, "revision=2 change=b operator=x repeated=true", "revision=2 change=c operator=x repeated=false"},
		{promiseMonotonic, "event=configuration_in_force revision=2", "event=configuration_in_force revision=0"},
		{promiseLeader, "process=control-2 event=leading group=0 term=2", "process=control-2 event=leading group=0 term=1"},
		{promiseOwner, "dispatcher=dispatcher-2 epoch=2", "dispatcher=dispatcher-2 epoch=1"},
		{promiseAtMostOnce, "request=gateway-1-8 tenant=t at_most_once=false", "request=batch-g1-1-3 tenant=t at_most_once=true"},
		{promiseNotRun, "event=request_refused request=gateway-1-8", "event=request_refused request=gateway-1-7"},
		{promiseResend, "items=5 repeated=true", "items=5 repeated=false"},
		{promiseCancel, "2026-12-02T08:00:13Z", "2026-12-02T08:00:33Z"},
	}
	for _, test := range cases {
		t.Run(test.promise, func(t *testing.T) {
			broken := strings.Replace(validLog, test.before, test.after, 1)
			if test.promise == promiseAtMostOnce {
				broken += "level=info time=2026-12-02T08:00:14Z role=engine process=engine-1 event=attempt_started attempt=batch-g1-1-3-100.0\n"
			}
			report := check(t, broken)
			if report.violationCount(test.promise) == 0 {
				t.Errorf("the broken promise was not reported; violations: %+v", report.Violations)
			}
		})
	}
}
