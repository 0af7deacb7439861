package balance

import (
	"slices"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// probesFresh is how long the hub's word that a request may probe a worker counts: until
	// the request that asked has chosen.
	probesFresh = 50 * time.Millisecond
	// mostSilentDoublings bounds how often the patience with a silent probe is doubled, so
	// that the shift in Patience can't overflow.
	mostSilentDoublings = 10
)

// SetProbes takes in the avoided workers to one of which a repeatable request may go now.
func (t *Table) SetProbes(now time.Time, workers []uint32) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(workers) > 0 {
		t.probes, t.probesAt = workers, now
	}
}

// takeProbe returns an avoided worker that the request is to probe, or nil. Each word of the
// hub serves one request.
func (t *Table) takeProbe(now time.Time, demand *Request) *worker {
	probed := t.findProbe(now, demand)
	if probed != nil {
		t.removeProbe(probed)
	}
	return probed
}

// findProbe returns what takeProbe does, and leaves the hub's word to whoever takes it.
func (t *Table) findProbe(now time.Time, demand *Request) *worker {
	if demand.Batch || !demand.Repeatable || len(t.probes) == 0 {
		return nil
	}
	if now.Sub(t.probesAt) > probesFresh {
		t.probes = nil
		return nil
	}
	for _, hash := range t.probes {
		probed := t.byHash[hash]
		if probed != nil && probed.listed.Pool == demand.Pool && t.mayProbe(now, probed, demand) {
			return probed
		}
	}
	return nil
}

// removeProbe takes in that the hub's word to probe the worker is used.
func (t *Table) removeProbe(w *worker) {
	if i := slices.Index(t.probes, w.hash); i >= 0 {
		t.probes = slices.Delete(slices.Clone(t.probes), i, i+1)
	}
}

// mayProbe reports whether the request would run at once at an avoided worker.
func (t *Table) mayProbe(now time.Time, w *worker, demand *Request) bool {
	return t.failing(now, w) && w.probing == 0 && t.admits(now, w, demand, false) && t.waitAt(now, w) == 0
}

// grantedProbe reports whether the planner of items let one start at the worker though it is
// avoided.
func (w *worker) grantedProbe(demand *Request) bool {
	return demand.Batch && !demand.NoProbe && w.starts > 0 && w.probing == 0
}

// IsProbe reports whether the worker was avoided when it was chosen, so that this request shows
// whether it is well.
func (l *Lease) IsProbe() bool { return l.probe }

// ProbeTimeout returns how long the answer to a probe is waited for: least where the last one was
// answered, and twice as long after each that was not, up to most, because a worker that is
// well may need longer than what is usual.
func (l *Lease) ProbeTimeout(least, most time.Duration) time.Duration {
	l.table.mutex.Lock()
	defer l.table.mutex.Unlock()
	return min(least<<min(l.worker.silent, mostSilentDoublings), most)
}

// RecordItemStart takes in how an item at the worker began. Items count for nothing but as probes: what
// online requests saw says more of the others.
func (l *Lease) RecordItemStart(now time.Time, well bool) {
	if !l.probe {
		return
	}
	l.table.mutex.Lock()
	defer l.table.mutex.Unlock()
	l.table.occupy(l.worker)
	if well {
		l.prove()
		return
	}
	l.worker.failed++
}

// RecordContent takes in that content of the answer to an online request has come, which proves that
// the worker is well if this is a probe.
func (l *Lease) RecordContent() {
	if !l.probe {
		return
	}
	l.table.mutex.Lock()
	defer l.table.mutex.Unlock()
	l.table.occupy(l.worker)
	if l.prove() {
		l.worker.answered++
	}
}

// RecordDisconnect takes in that the worker broke its answer off, which counts against it if this is a
// probe.
func (l *Lease) RecordDisconnect() {
	if !l.probe {
		return
	}
	l.table.mutex.Lock()
	defer l.table.mutex.Unlock()
	l.table.occupy(l.worker)
	l.worker.failed++
}

// prove takes in that the probe was answered well, and reports whether that is news: a lease
// proves once. The lock of the table is held.
func (l *Lease) prove() bool {
	if !l.probe || l.proven {
		return false
	}
	l.proven = true
	l.worker.proofs++
	l.worker.silent = 0
	return true
}

// ProbeResults returns what probes have shown since the last call. It is called before Loads.
func (t *Table) ProbeResults() []wire.WorkerProof {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var proofs []wire.WorkerProof
	for _, known := range t.busy {
		if known.proofs == 0 {
			continue
		}
		if !known.gone(t) {
			proofs = append(proofs, wire.WorkerProof{Worker: known.hash, Well: uint16(known.proofs)})
		}
		known.proofs = 0
	}
	return proofs
}

// WorkerID returns the worker's id by its short name, empty where it is not listed.
func (t *Table) WorkerID(worker uint32) string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.byHash[worker]; known != nil {
		return known.listed.ID
	}
	return ""
}
