package balance

import "time"

// noiseParts is the part of a worker's slots, one in so many, by which what it
// tells and what is known of it may differ by chance: requests on their way,
// reports a moment old.
const noiseParts = 8

// Told takes in what the worker says that it has, in the head of an answer. It is
// passed on with the next report of loads.
func (l *Lease) Told(running, waiting int) {
	l.table.mutex.Lock()
	defer l.table.mutex.Unlock()
	l.worker.told = running + waiting + 1
}

// orphaned returns how many requests the worker has that no living process answers
// for, as far as the hub knows.
func (w *worker) orphaned(now time.Time) int {
	others, known := w.toldByOthers(now)
	if !known || int(others.Orphans) <= max(w.listed.Slots/noiseParts, 1) {
		return 0
	}
	return int(others.Orphans)
}
