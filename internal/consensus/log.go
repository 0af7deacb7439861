package consensus

import "github.com/sedgemast/sedgemast/internal/wire"

// replicaLog holds the entries after the base in memory. Entries up to the base
// have been compacted: their effects are in the state machine.
type replicaLog struct {
	base      wire.LogBase
	entries   []wire.LogEntry
	sizes     []int // sizes[i] is the bytes of entries[:i+1]
	commit    uint64
	applied   uint64
	persisted uint64
}

// entryOverhead is counted for each entry besides its data, in bytes.
const entryOverhead = 32

func newLog(base wire.LogBase, entries []wire.LogEntry, applied uint64) *replicaLog {
	l := &replicaLog{base: base, commit: applied, applied: applied}
	l.push(entries)
	l.persisted = l.lastIndex()
	return l
}

func (l *replicaLog) push(entries []wire.LogEntry) {
	total := 0
	if len(l.sizes) > 0 {
		total = l.sizes[len(l.sizes)-1]
	}
	for _, entry := range entries {
		total += len(entry.Data) + entryOverhead
		l.entries = append(l.entries, entry)
		l.sizes = append(l.sizes, total)
	}
}

func (l *replicaLog) lastIndex() uint64 { return l.base.Index + uint64(len(l.entries)) }

func (l *replicaLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index; false if it is compacted or not
// there yet.
func (l *replicaLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base.Index:
		return l.base.Term, true
	case index < l.base.Index || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.base.Index-1].Term, true
}

func (l *replicaLog) matches(index, term uint64) bool {
	known, ok := l.term(index)
	return ok && known == term
}

// upToDate reports whether a log that ends with the entry named is at least as
// complete as this one (thesis 3.6.1).
func (l *replicaLog) upToDate(index, term uint64) bool {
	lastTerm := l.lastTerm()
	return term > lastTerm || (term == lastTerm && index >= l.lastIndex())
}

// slice returns the entries from first to last, both included, as far as they
// fit into maxBytes; at least one.
func (l *replicaLog) slice(first, last uint64, maxBytes int) []wire.LogEntry {
	if first > last {
		return nil
	}
	from := int(first - l.base.Index - 1)
	to := int(last - l.base.Index)
	end := from + 1
	for end < to && l.sizes[end]-l.sizeBefore(from) <= maxBytes {
		end++
	}
	return l.entries[from:end:end]
}

func (l *replicaLog) sizeBefore(position int) int {
	if position == 0 {
		return 0
	}
	return l.sizes[position-1]
}

// bytesBetween returns the size of the entries after the index after, up to and
// including last.
func (l *replicaLog) bytesBetween(after, last uint64) int {
	after = max(after, l.base.Index)
	if last <= after {
		return 0
	}
	return l.sizeBefore(int(last-l.base.Index)) - l.sizeBefore(int(after-l.base.Index))
}

// firstConflict returns the index of the first of the entries that is not in
// the log with the same term; zero if all are.
func (l *replicaLog) firstConflict(entries []wire.LogEntry) uint64 {
	for i := range entries {
		if !l.matches(entries[i].Index, entries[i].Term) {
			return entries[i].Index
		}
	}
	return 0
}

// truncate drops the entries from index on. Committed entries are never dropped.
func (l *replicaLog) truncate(index uint64) {
	if index <= l.commit {
		panic("consensus: a committed entry would be dropped")
	}
	keep := int(index - l.base.Index - 1)
	// A new backing array: slices of the old one may be on their way to peers.
	l.entries = append([]wire.LogEntry(nil), l.entries[:keep]...)
	l.sizes = l.sizes[:keep]
	l.persisted = min(l.persisted, index-1)
}

// compact drops the entries up to index, which must be applied.
func (l *replicaLog) compact(base wire.LogBase) {
	drop := int(base.Index - l.base.Index)
	dropped := l.sizeBefore(drop)
	l.entries = append([]wire.LogEntry(nil), l.entries[drop:]...)
	sizes := make([]int, len(l.entries))
	for i := range sizes {
		sizes[i] = l.sizes[drop+i] - dropped
	}
	l.sizes = sizes
	l.base = base
}

func (l *replicaLog) bytes() int { return l.sizeBefore(len(l.entries)) }

// membershipAt returns the membership in force at index and the index of the
// entry that set it.
func (l *replicaLog) membershipAt(index uint64) (wire.Membership, uint64) {
	for i := index; i > l.base.Index; i-- {
		entry := &l.entries[i-l.base.Index-1]
		if entry.Kind != wire.EntryMembership {
			continue
		}
		var membership wire.Membership
		if _, err := membership.UnmarshalMsg(entry.Data); err != nil {
			panic("consensus: a membership entry does not decode: " + err.Error())
		}
		return membership, i
	}
	return l.base.Membership, l.base.Index
}
