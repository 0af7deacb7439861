package quarantine

import (
	"math"
	"slices"
	"sort"

	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// Threshold is how many workers must have exited under a request, without a successful run
	// in between, for the request to be refused. With two, the crash of one rack would be enough
	// to refuse every request that was retried within that rack.
	Threshold = 3
	// sameExitMillis is the longest time between the arrivals of two reports of the same exit by
	// different processes. During an election a report may take that long.
	sameExitMillis = 1500
	// minRestartMillis is the least time from a worker's exit to a run of its next incarnation. An
	// exit did not break off a run that started more than minRestartMillis after that exit.
	minRestartMillis = 50
	// maxExits bounds the exits stored per request and maxRows the requests: 150 KB in all.
	maxExits = 8
	maxRows  = 1024
	// maxChanges bounds the remembered changes. A process that lacks older ones gets a full
	// update.
	maxChanges = 2048
)

// Table holds the requests under which workers of the fleet exited. It is replicated: the same
// commands give the same table.
//
// Invariants:
//   - a request is refused from its Threshold-th exit on, until a run of it succeeds or it is
//     forgotten;
//   - the revision never decreases, and every change increases it.
type Table struct {
	rows     map[Fingerprint]*wire.QuarantineEntry
	revision uint64
	// urgentRevision is the last revision in which a request became refused or was readmitted.
	urgentRevision uint64
	// changes holds all changes after revision floor, oldest first.
	changes []change
	floor   uint64
}

type change struct {
	revision uint64
	request  Fingerprint
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: map[Fingerprint]*wire.QuarantineEntry{}} }

// Apply executes a command and returns the changed requests in ascending order.
func (t *Table) Apply(command *wire.QuarantineCommand) []Fingerprint {
	if command.Restated != nil {
		return t.restate(command.Restated)
	}
	touched := map[Fingerprint]bool{}
	for _, run := range command.Runs {
		if request := Fingerprint(run.Request); t.applyRun(request, &run, command.AtMillis) {
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
	t.evict(touched)
	changed := make([]Fingerprint, 0, len(touched))
	for request := range touched {
		changed = append(changed, request)
	}
	slices.Sort(changed)
	t.recordChanges(changed)
	return changed
}

// State returns the whole table in the form of a restatement command.
func (t *Table) State() *wire.QuarantineState {
	return &wire.QuarantineState{Revision: t.revision, Entries: t.Entries()}
}

// restate replaces the table with the leader's, so that replicas that differed are equal
// afterwards. It returns the requests of both tables in ascending order.
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

// applyRun applies the report of one run and reports whether the table changed.
func (t *Table) applyRun(request Fingerprint, run *wire.RunReport, at int64) bool {
	row := t.rows[request]
	worker, startedAt := run.Worker, int64(math.MinInt64)
	if run.AgoMillis > 0 {
		startedAt = at - int64(run.AgoMillis)
	}
	if worker == 0 {
		if row == nil {
			return false
		}
		t.remove(request)
		return true
	}
	if t.hasExit(row, worker, at, startedAt) || t.explainedByOther(request, worker, at, startedAt) {
		return false
	}
	if row == nil {
		row = &wire.QuarantineEntry{Request: uint64(request)}
		t.rows[request] = row
	}
	row.Ends = append(row.Ends, wire.WorkerEnd{Worker: worker, AtMillis: at})
	if len(row.Ends) > maxExits {
		row.Ends = row.Ends[1:]
	}
	if len(row.Ends) >= Threshold && !row.Refused {
		row.Refused = true
		t.urgentRevision = t.revision + 1
	}
	return true
}

// hasExit reports whether the row already holds the exit that a report describes. The report was
// received at the time at, and its run started at startedAt. The row holds the exit if it has an
// exit of the same worker that is less than sameExitMillis from at and that can have broken off the
// run. Times are in Unix milliseconds.
func (t *Table) hasExit(row *wire.QuarantineEntry, worker uint32, at, startedAt int64) bool {
	if row == nil {
		return false
	}
	return slices.ContainsFunc(row.Ends, func(end wire.WorkerEnd) bool {
		sameTime := max(end.AtMillis-at, at-end.AtMillis) < sameExitMillis
		return end.Worker == worker && sameTime && startedAt <= end.AtMillis+minRestartMillis
	})
}

// explainedByOther reports whether the worker's exit is attributed to another request, which must
// be settled. The requests that ran on the worker beside the settled one are not to blame. A
// request that is refused but not settled yet explains no exit: of two requests that ran on the
// same workers, the harmless one may have been refused first.
func (t *Table) explainedByOther(request Fingerprint, worker uint32, at, startedAt int64) bool {
	for other, row := range t.rows {
		if other != request && row.Settled && t.hasExit(row, worker, at, startedAt) {
			return true
		}
	}
	return false
}

// settle settles a refused request: it removes the exits of this request from all requests that are
// not refused yet.
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
		remaining := slices.DeleteFunc(slices.Clone(row.Ends), func(end wire.WorkerEnd) bool {
			return t.hasExit(culprit, end.Worker, end.AtMillis, math.MinInt64)
		})
		if len(remaining) == len(row.Ends) {
			continue
		}
		touched[other] = true
		if row.Ends = remaining; len(remaining) == 0 {
			t.remove(other)
		}
	}
}

func (t *Table) remove(request Fingerprint) {
	if t.rows[request].Refused {
		t.urgentRevision = t.revision + 1
	}
	delete(t.rows, request)
}

// evict removes the rows beyond maxRows. It removes rows that are not refused before refused ones,
// and among the rows of either kind it begins with those that changed longest ago.
func (t *Table) evict(touched map[Fingerprint]bool) {
	for len(t.rows) > maxRows {
		var oldest *wire.QuarantineEntry
		for _, row := range t.rows {
			if oldest == nil || evictedBefore(row, oldest, touched) {
				oldest = row
			}
		}
		t.remove(Fingerprint(oldest.Request))
		touched[Fingerprint(oldest.Request)] = true
	}
}

// evictedBefore orders rows by which one is evicted first.
func evictedBefore(a, b *wire.QuarantineEntry, touched map[Fingerprint]bool) bool {
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

// recordChanges starts a new revision with the changed requests.
func (t *Table) recordChanges(changed []Fingerprint) {
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

// Revision returns the number of the last change, zero for a new table.
func (t *Table) Revision() uint64 { return t.revision }

// UrgentRevision returns the last revision in which a request became refused or was readmitted.
// Processes with an older revision must be updated at once.
func (t *Table) UrgentRevision() uint64 { return t.urgentRevision }

// refused returns those of the fingerprints that are refused.
func (t *Table) refused(fingerprints []Fingerprint) []Fingerprint {
	return slices.DeleteFunc(slices.Clone(fingerprints), func(fingerprint Fingerprint) bool {
		row := t.rows[fingerprint]
		return row == nil || !row.Refused
	})
}

// exits returns how often each worker exited under the fingerprint since its last success.
func (t *Table) exits(fingerprint Fingerprint) map[uint32]int {
	exits := map[uint32]int{}
	if row := t.rows[fingerprint]; row != nil {
		for _, end := range row.Ends {
			exits[end.Worker]++
		}
	}
	return exits
}

// Entry returns the stored entry of a request, nil if there is none. The caller must not change
// it.
func (t *Table) Entry(request Fingerprint) *wire.QuarantineEntry { return t.rows[request] }

// Entries returns all entries: refused requests first, then by the latest change.
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

// Since returns the update for a process that has the known revision: a full one if the changes
// since then are not remembered, or if the process's revision is newer than the table's.
func (t *Table) Since(known uint64) wire.QuarantineNews {
	update := wire.QuarantineNews{Revision: t.revision}
	requests := map[Fingerprint]bool{}
	if known < t.floor || known > t.revision {
		update.Whole = true
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
		reported := wire.QuarantineRow{Request: uint64(request)}
		if row := t.rows[request]; row != nil {
			reported.Refused = row.Refused
			for _, end := range row.Ends {
				reported.Ended = append(reported.Ended, end.Worker)
			}
		}
		update.Rows = append(update.Rows, reported)
	}
	sort.Slice(update.Rows, func(a, b int) bool { return update.Rows[a].Request < update.Rows[b].Request })
	return update
}

// Restore replaces the table with a stored one. The history of changes is not stored, so
// processes with an older revision get a full update.
func (t *Table) Restore(revision uint64, entries []wire.QuarantineEntry) {
	*t = *NewTable()
	t.revision, t.floor, t.urgentRevision = revision, revision, revision
	for i := range entries {
		t.rows[Fingerprint(entries[i].Request)] = &entries[i]
	}
}
