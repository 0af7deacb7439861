package balance

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/capacity"
)

// noiseDivisor sets the tolerated difference between the requests that a worker reports and the
// requests that are known to be there: 1/noiseDivisor of its slots. Requests in transit and
// slightly outdated reports cause such differences.
const noiseDivisor = 8

// ApplyReport applies what the worker reported about itself in the head of an answer. Loads
// passes the report on.
func (l *Lease) ApplyReport(report capacity.Report) {
	l.table.mutex.Lock()
	defer l.table.mutex.Unlock()
	l.table.markBusy(l.worker)
	l.worker.reportedRequests = report.Running + report.Waiting + 1
	l.table.applyReport(l.worker, report)
}

// orphansAt returns the number of requests at the worker that no living process accounts for, as
// far as the hub knows. It returns 0 for a number within the tolerance (noiseDivisor).
func (t *Table) orphansAt(now time.Time, w *worker) int {
	load, ok := t.peerLoadOf(now, w)
	if !ok || int(load.Orphans) <= max(w.listed.Slots/noiseDivisor, 1) {
		return 0
	}
	return int(load.Orphans)
}

// RecordAnswer records the outcome of a request by the head of the answer: success, or a failure
// of the worker itself. Callers must not record rejections that ran nothing. The success of a
// probe counts only once content has arrived (RecordContent), because a head alone proves
// nothing.
func (l *Lease) RecordAnswer(now time.Time, success bool) {
	l.table.mutex.Lock()
	defer l.table.mutex.Unlock()
	l.table.markBusy(l.worker)
	if success {
		if !l.probe {
			l.worker.answered++
		}
		return
	}
	l.worker.failed++
	l.table.suspect(now, l.worker)
}

// failing reports whether the hub marks the worker as failing, according to a fresh peer load.
func (t *Table) failing(now time.Time, w *worker) bool {
	load, ok := t.peerLoadOf(now, w)
	return ok && load.Failing
}

// mostFailing reports whether more than half of the pool's workers are failing. Then no worker is
// avoided: the workers themselves are probably not the cause, or there is no better worker.
func (t *Table) mostFailing(now time.Time, pool string) bool {
	failing := 0
	for _, candidate := range t.peerLoaded {
		if candidate.inGroup && candidate.listed.Pool == pool && t.failing(now, candidate) {
			failing++
		}
	}
	return 2*failing > t.pools[pool].usableCount()
}
