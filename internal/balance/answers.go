package balance

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/capacity"
)

// noiseParts is the part of a worker's slots, one in so many, by which what it
// tells and what is known of it may differ by chance: requests on their way,
// reports a moment old.
const noiseParts = 8

// ApplyReport takes in what the worker says that it has, in the head of an answer. It is
// passed on with the next report of loads.
func (l *Lease) ApplyReport(told capacity.Report) {
	l.table.mutex.Lock()
	defer l.table.mutex.Unlock()
	l.table.occupy(l.worker)
	l.worker.claimed = told.Running + told.Waiting + 1
	l.table.takeReport(l.worker, told)
}

// orphaned returns how many requests the worker has that no living process answers
// for, as far as the hub knows.
func (t *Table) orphaned(now time.Time, w *worker) int {
	others, known := t.toldByOthers(now, w)
	if !known || int(others.Orphans) <= max(w.listed.Slots/noiseParts, 1) {
		return 0
	}
	return int(others.Orphans)
}

// RecordAnswer takes in how a request at the worker was answered by the head of the answer: well,
// or by a failure of the worker itself. Refusals that ran nothing are neither. A probe counts
// as answered well once it has brought content, because a head alone proves nothing.
func (l *Lease) RecordAnswer(now time.Time, well bool) {
	l.table.mutex.Lock()
	defer l.table.mutex.Unlock()
	l.table.occupy(l.worker)
	if well {
		if !l.probe {
			l.worker.answered++
		}
		return
	}
	l.worker.failed++
	l.table.suspect(now, l.worker)
}

// failing reports whether other processes, too, find that the worker fails.
func (t *Table) failing(now time.Time, w *worker) bool {
	others, known := t.toldByOthers(now, w)
	return known && others.Failing
}

// mostFail reports whether more than half of the pool's workers fail. Then none is
// avoided: the cause lies elsewhere, or there is nowhere better.
func (t *Table) mostFail(now time.Time, pool string) bool {
	failing := 0
	for _, candidate := range t.told {
		if candidate.entered && candidate.listed.Pool == pool && t.failing(now, candidate) {
			failing++
		}
	}
	return 2*failing > t.pools[pool].usable()
}
