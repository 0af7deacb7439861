package balance

import "github.com/sedgemast/sedgemast/internal/capacity"

// SlotMismatch is a worker that tells other slots than the list says.
type SlotMismatch struct {
	Worker   string
	Listed   int
	Reported int
}

// mostDoubts bounds the doubts that are kept for who writes them down.
const mostDoubts = 64

// takeReport takes in what a worker told of itself. Of its slots the smaller count is believed:
// one that promises more than the list says would queue what it can't run.
func (t *Table) takeReport(w *worker, told capacity.Report) {
	if told.Pace > 0 {
		t.telling[w.listed.Pool] = t.newest
	}
	if told.Slots <= 0 || told.Slots == w.toldSlots || told.Running > told.Slots {
		// It tells none, nothing new, or fewer than it runs.
		return
	}
	w.toldSlots = told.Slots
	if !w.gone(t) {
		t.noteFewer(w)
	}
	if told.Slots != w.listed.Slots && !w.doubted && len(t.doubts) < mostDoubts {
		w.doubted = true
		t.doubts = append(t.doubts, SlotMismatch{Worker: w.listed.ID, Listed: w.listed.Slots, Reported: told.Slots})
	}
}

// noteFewer keeps the worker among those that told fewer slots than the list says, or drops it.
func (t *Table) noteFewer(w *worker) {
	if w.toldSlots > 0 && w.toldSlots < w.listed.Slots {
		t.fewer[w] = true
		return
	}
	delete(t.fewer, w)
}

// SlotMismatches returns the workers found since the last call to tell other slots than the list says,
// each once.
func (t *Table) SlotMismatches() []SlotMismatch {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	doubts := t.doubts
	t.doubts = nil
	return doubts
}

// ReportsPace reports whether workers of the pool tell their pace: one did within the last
// minute, as far as the table has been told the time.
func (t *Table) ReportsPace(pool string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.tellsPace(pool)
}
