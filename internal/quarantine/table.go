package quarantine

import (
	"math"
	"slices"
	"sort"

	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// Threshold is how many workers must have ended under a request, without a good end
	// of it between, for it to be refused: with two, one crash of a rack would be enough
	// for all that was retried within it.
	Threshold = 3
	// sameEndMillis is how far apart two reports of one worker's end may be, from the
	// processes that saw it: the time that a report may take through an election.
	sameEndMillis = 1500
	// restartMillis is how long a worker takes at least from an end to a run of its next
	// life. A run that began later than that after an end was not broken off by it.
	restartMillis = 50
	// maxEnds bounds the ends that are kept of a request, maxRows the requests: 150 KB.
	maxEnds = 8
	maxRows = 1024
	// maxChanges bounds the changes of which the news can be told apart.
	maxChanges = 2048
)

// Table is what the fleet knows of the requests under which workers ended. It is
// replicated: the same commands make the same table.
//
// Invariants:
//   - a request is refused from its Threshold-th end on, until it is run to a good end or
//     forgotten;
//   - the revision never falls, and every change raises it.
type Table struct {
	rows     map[Fingerprint]*wire.QuarantineEntry
	revision uint64
	// urgent is the revision at which a request was refused or let in again last.
	urgent uint64
	// changes holds the last changes, the oldest first; before floor they are not known.
	changes []change
	floor   uint64
}

type change struct {
	revision uint64
	request  Fingerprint
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: map[Fingerprint]*wire.QuarantineEntry{}} }

// Apply executes a command and returns the requests that changed, in order.
func (t *Table) Apply(command *wire.QuarantineCommand) []Fingerprint {
	if command.Restated != nil {
		return t.restate(command.Restated)
	}
	touched := map[Fingerprint]bool{}
	for _, run := range command.Runs {
		if request := Fingerprint(run.Request); t.take(request, &run, command.AtMillis) {
			touched[request] = true
		}
	}
	if row := t.rows[Fingerprint(command.Trial)]; row != nil && row.Refused {
		row.Trials++
		touched[Fingerprint(command.Trial)] = true
	}
	for _, request := range command.Settled {
		t.settle(Fingerprint(request), touched)
	}
	for _, request := range command.Expired {
		if t.rows[Fingerprint(request)] != nil {
			t.remove(Fingerprint(request))
			touched[Fingerprint(request)] = true
		}
	}
	t.bound(touched)
	changed := make([]Fingerprint, 0, len(touched))
	for request := range touched {
		changed = append(changed, request)
	}
	slices.Sort(changed)
	t.note(changed)
	return changed
}

// State returns all that is known, as a command restates it.
func (t *Table) State() *wire.QuarantineState {
	return &wire.QuarantineState{Revision: t.revision, Entries: t.Entries()}
}

// restate puts what a leader knows in place of this table, and returns the requests of
// both, in order. Replicas that differed are the same after it.
func (t *Table) restate(state *wire.QuarantineState) []Fingerprint {
	changed := make([]Fingerprint, 0, len(t.rows)+len(state.Entries))
	for request := range t.rows {
		changed = append(changed, request)
	}
	for i := range state.Entries {
		changed = append(changed, Fingerprint(state.Entries[i].Request))
	}
	t.Restore(state.Revision+1, state.Entries)
	slices.Sort(changed)
	return slices.Compact(changed)
}

// take takes one run in and reports whether anything changed.
func (t *Table) take(request Fingerprint, run *wire.RunReport, at int64) bool {
	row := t.rows[request]
	worker, began := run.Worker, int64(math.MinInt64)
	if run.AgoMillis > 0 {
		began = at - int64(run.AgoMillis)
	}
	if worker == 0 {
		if row == nil {
			return false
		}
		t.remove(request)
		return true
	}
	if t.has(row, worker, at, began) || t.explained(request, worker, at, began) {
		return false
	}
	if row == nil {
		row = &wire.QuarantineEntry{Request: uint64(request)}
		t.rows[request] = row
	}
	row.Ends = append(row.Ends, wire.WorkerEnd{Worker: worker, AtMillis: at})
	if len(row.Ends) > maxEnds {
		row.Ends = row.Ends[1:]
	}
	if len(row.Ends) >= Threshold && !row.Refused {
		row.Refused = true
		t.urgent = t.revision + 1
	}
	return true
}

// has reports whether the end of a run that began at began is among the row's.
func (t *Table) has(row *wire.QuarantineEntry, worker uint32, at, began int64) bool {
	if row == nil {
		return false
	}
	return slices.ContainsFunc(row.Ends, func(end wire.WorkerEnd) bool {
		near := max(end.AtMillis-at, at-end.AtMillis) < sameEndMillis
		return end.Worker == worker && near && began <= end.AtMillis+restartMillis
	})
}

// explained reports whether the worker ended under another request that is known for it.
// Whoever was on the worker with that one is not to blame. What was refused just now
// explains nothing yet: of two requests that were on the same workers, the harmless one may
// have come first.
func (t *Table) explained(request Fingerprint, worker uint32, at, began int64) bool {
	for other, row := range t.rows {
		if other != request && row.Settled && t.has(row, worker, at, began) {
			return true
		}
	}
	return false
}

// settle takes the ends of a refused request off all that are not refused by then.
func (t *Table) settle(request Fingerprint, touched map[Fingerprint]bool) {
	culprit := t.rows[request]
	if culprit == nil || !culprit.Refused || culprit.Settled {
		return
	}
	culprit.Settled = true
	touched[request] = true
	for other, row := range t.rows {
		if row.Refused {
			continue
		}
		left := slices.DeleteFunc(slices.Clone(row.Ends), func(end wire.WorkerEnd) bool {
			return t.has(culprit, end.Worker, end.AtMillis, math.MinInt64)
		})
		if len(left) == len(row.Ends) {
			continue
		}
		touched[other] = true
		if row.Ends = left; len(left) == 0 {
			t.remove(other)
		}
	}
}

func (t *Table) remove(request Fingerprint) {
	if t.rows[request].Refused {
		t.urgent = t.revision + 1
	}
	delete(t.rows, request)
}

// bound forgets what changed longest ago where there is too much, first what is not
// refused.
func (t *Table) bound(touched map[Fingerprint]bool) {
	for len(t.rows) > maxRows {
		var oldest *wire.QuarantineEntry
		for _, row := range t.rows {
			if oldest == nil || before(row, oldest, touched) {
				oldest = row
			}
		}
		t.remove(Fingerprint(oldest.Request))
		touched[Fingerprint(oldest.Request)] = true
	}
}

// before orders rows by which is forgotten first.
func before(a, b *wire.QuarantineEntry, touched map[Fingerprint]bool) bool {
	if a.Refused != b.Refused {
		return b.Refused
	}
	if touchedA, touchedB := touched[Fingerprint(a.Request)], touched[Fingerprint(b.Request)]; touchedA != touchedB {
		return touchedB
	}
	if a.Revision != b.Revision {
		return a.Revision < b.Revision
	}
	return a.Request < b.Request
}

// note counts the changes.
func (t *Table) note(changed []Fingerprint) {
	if len(changed) == 0 {
		return
	}
	t.revision++
	for _, request := range changed {
		if row := t.rows[request]; row != nil {
			row.Revision = t.revision
		}
		t.changes = append(t.changes, change{t.revision, request})
	}
	if drop := len(t.changes) - maxChanges; drop > 0 {
		t.floor = t.changes[drop-1].revision
		t.changes = slices.Clone(t.changes[drop:])
	}
}

// Revision returns how often the table has changed.
func (t *Table) Revision() uint64 { return t.revision }

// UrgentRevision returns the revision from which on a process must know the table at once: a
// request was refused or let in again in it.
func (t *Table) UrgentRevision() uint64 { return t.urgent }

// Entry returns what is stored of a request, nil for nothing. The caller must not change it.
func (t *Table) Entry(request Fingerprint) *wire.QuarantineEntry { return t.rows[request] }

// Entries returns what is stored of all requests: those that are refused first, then what
// changed last.
func (t *Table) Entries() []wire.QuarantineEntry {
	entries := make([]wire.QuarantineEntry, 0, len(t.rows))
	for _, row := range t.rows {
		entry := *row
		entry.Ends = slices.Clone(row.Ends)
		entries = append(entries, entry)
	}
	sort.Slice(entries, func(a, b int) bool {
		if entries[a].Refused != entries[b].Refused {
			return entries[a].Refused
		}
		if entries[a].Revision != entries[b].Revision {
			return entries[a].Revision > entries[b].Revision
		}
		return entries[a].Request < entries[b].Request
	})
	return entries
}

// Since returns what differs from the revision that a process knows.
func (t *Table) Since(known uint64) wire.QuarantineNews {
	news := wire.QuarantineNews{Revision: t.revision}
	requests := map[Fingerprint]bool{}
	if known < t.floor || known > t.revision {
		news.Whole = true
		for request := range t.rows {
			requests[request] = true
		}
	} else {
		for _, change := range t.changes {
			if change.revision > known {
				requests[change.request] = true
			}
		}
	}
	for request := range requests {
		told := wire.QuarantineRow{Request: uint64(request)}
		if row := t.rows[request]; row != nil {
			told.Refused = row.Refused
			for _, end := range row.Ends {
				told.Ended = append(told.Ended, end.Worker)
			}
		}
		news.Rows = append(news.Rows, told)
	}
	sort.Slice(news.Rows, func(a, b int) bool { return news.Rows[a].Request < news.Rows[b].Request })
	return news
}

// Restore puts a stored table in place of this one. What changed when is not stored, so
// the news of it are whole.
func (t *Table) Restore(revision uint64, entries []wire.QuarantineEntry) {
	*t = *NewTable()
	t.revision, t.floor, t.urgent = revision, revision, revision
	for i := range entries {
		t.rows[Fingerprint(entries[i].Request)] = &entries[i]
	}
}
