package balance

import (
	"slices"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// probeGrantTTL is how long a probe grant of the hub counts: until the request that asked for
	// it has chosen a worker.
	probeGrantTTL = 50 * time.Millisecond
	// maxTimeoutDoublings bounds how often the timeout of unanswered probes is doubled, so that
	// the shift in ProbeTimeout can't overflow.
	maxTimeoutDoublings = 10
)

// SetProbes sets the avoided workers that a repeatable request may probe now.
func (t *Table) SetProbes(now time.Time, workers []uint32) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(workers) > 0 {
		t.probeWorkers, t.probesAt = workers, now
	}
}

// takeProbe returns an avoided worker for the request to probe, or nil. Each grant of the hub
// serves one request.
func (t *Table) takeProbe(now time.Time, request *Request) *worker {
	probed := t.findProbe(now, request)
	if probed != nil {
		t.removeProbe(probed)
	}
	return probed
}

// findProbe returns the same as takeProbe, but leaves the grant in place.
func (t *Table) findProbe(now time.Time, request *Request) *worker {
	if request.Batch || !request.Repeatable || len(t.probeWorkers) == 0 {
		return nil
	}
	if now.Sub(t.probesAt) > probeGrantTTL {
		t.probeWorkers = nil
		return nil
	}
	for _, hash := range t.probeWorkers {
		probed := t.byHash[hash]
		if probed != nil && probed.listed.Pool == request.Pool && t.mayProbe(now, probed, request) {
			return probed
		}
	}
	return nil
}

// removeProbe removes the grant to probe the worker.
func (t *Table) removeProbe(w *worker) {
	if i := slices.Index(t.probeWorkers, w.hash); i >= 0 {
		t.probeWorkers = slices.Delete(slices.Clone(t.probeWorkers), i, i+1)
	}
}

// mayProbe reports whether the request would run at once at an avoided worker, and no other probe
// runs there.
func (t *Table) mayProbe(now time.Time, w *worker, request *Request) bool {
	return t.failing(now, w) && w.activeProbes == 0 && t.admits(now, w, request, false) && t.predictWait(now, w) == 0
}

// hasProbeGrant reports whether the batch planner granted an item start at the worker although it
// is avoided.
func (w *worker) hasProbeGrant(request *Request) bool {
	return request.Batch && !request.NoProbe && w.startGrants > 0 && w.activeProbes == 0
}

// IsProbe reports whether the worker was avoided when it was chosen, so that this request shows
// whether the worker has recovered.
func (l *Lease) IsProbe() bool { return l.probe }

// ProbeTimeout returns how long to wait for the answer to a probe. After an answered probe it is
// least. It doubles with each unanswered probe, up to most, because a healthy worker may need
// longer than usual.
func (l *Lease) ProbeTimeout(least, most time.Duration) time.Duration {
	l.table.mutex.Lock()
	defer l.table.mutex.Unlock()
	return min(least<<min(l.worker.unansweredProbes, maxTimeoutDoublings), most)
}

// RecordItemStart records whether an item started well at the worker. Only probes count: online
// requests say more about workers that are not avoided.
func (l *Lease) RecordItemStart(now time.Time, success bool) {
	if !l.probe {
		return
	}
	l.table.mutex.Lock()
	defer l.table.mutex.Unlock()
	l.table.markBusy(l.worker)
	if success {
		l.recordProbeSuccess()
		return
	}
	l.worker.failed++
}

// RecordContent records that content of the answer to an online request has arrived. For a probe
// this proves that the worker is healthy.
func (l *Lease) RecordContent() {
	if !l.probe {
		return
	}
	l.table.mutex.Lock()
	defer l.table.mutex.Unlock()
	l.table.markBusy(l.worker)
	if l.recordProbeSuccess() {
		l.worker.answered++
	}
}

// RecordDisconnect records that the worker broke off its answer, which counts as a failure if
// this is a probe.
func (l *Lease) RecordDisconnect() {
	if !l.probe {
		return
	}
	l.table.mutex.Lock()
	defer l.table.mutex.Unlock()
	l.table.markBusy(l.worker)
	l.worker.failed++
}

// recordProbeSuccess records that the probe was answered well, and reports whether this is the
// first success of the lease. The table's lock must be held.
func (l *Lease) recordProbeSuccess() bool {
	if !l.probe || l.probeSucceeded {
		return false
	}
	l.probeSucceeded = true
	l.worker.probeSuccesses++
	l.worker.unansweredProbes = 0
	return true
}

// ProbeResults returns the successful probes since the last call. Call it before Loads.
func (t *Table) ProbeResults() []wire.WorkerProof {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var results []wire.WorkerProof
	for _, w := range t.busy {
		if w.probeSuccesses == 0 {
			continue
		}
		if !w.unlisted(t) {
			results = append(results, wire.WorkerProof{Worker: w.hash, Well: uint16(w.probeSuccesses)})
		}
		w.probeSuccesses = 0
	}
	return results
}

// WorkerID returns the id of the worker with the given short name, empty if it is not listed.
func (t *Table) WorkerID(worker uint32) string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if w := t.byHash[worker]; w != nil {
		return w.listed.ID
	}
	return ""
}
