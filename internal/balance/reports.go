package balance

import "github.com/sedgemast/sedgemast/internal/capacity"

// SlotMismatch is a worker that reports another number of slots than the list says.
type SlotMismatch struct {
	Worker   string
	Listed   int
	Reported int
}

// maxSlotMismatches bounds the mismatches kept until the caller logs them.
const maxSlotMismatches = 64

// applyReport applies what a worker reported about itself. The smaller of listed and reported
// slots is used: a worker that reports more than it is listed with would queue what it can't run.
func (t *Table) applyReport(w *worker, report capacity.Report) {
	if report.Pace > 0 {
		t.paceReportedAt[w.listed.Pool] = t.latestTime
	}
	if report.Slots <= 0 || report.Slots == w.reportedSlots || report.Running > report.Slots {
		// The report has no slots, nothing new, or fewer slots than running requests.
		return
	}
	w.reportedSlots = report.Slots
	if !w.unlisted(t) {
		t.updateFewerSlots(w)
	}
	if report.Slots != w.listed.Slots && !w.mismatchReported && len(t.slotMismatches) < maxSlotMismatches {
		w.mismatchReported = true
		t.slotMismatches = append(t.slotMismatches, SlotMismatch{Worker: w.listed.ID, Listed: w.listed.Slots, Reported: report.Slots})
	}
}

// updateFewerSlots updates whether the worker is in the set of those with fewer reported than
// listed slots.
func (t *Table) updateFewerSlots(w *worker) {
	if w.reportedSlots > 0 && w.reportedSlots < w.listed.Slots {
		t.fewerSlots[w] = true
		return
	}
	delete(t.fewerSlots, w)
}

// SlotMismatches returns the workers found since the last call to report another number of slots
// than the list says, each worker once.
func (t *Table) SlotMismatches() []SlotMismatch {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	mismatches := t.slotMismatches
	t.slotMismatches = nil
	return mismatches
}

// ReportsPace reports whether workers of the pool report their pace: one did within paceTTL
// before the latest time that the table was given.
func (t *Table) ReportsPace(pool string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.poolReportsPace(pool)
}
