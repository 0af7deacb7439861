package consensus

import "github.com/sedgemast/sedgemast/internal/wire"

// replicaLog holds in memory the entries after the base. Entries up to the base have
// been compacted; their effects are in the state machine.
type replicaLog struct {
	base      wire.LogBase
	entries   []wire.LogEntry
	sizes     []int // sizes[i] is the size of entries[:i+1] in bytes
	commit    uint64
	applied   uint64
	persisted uint64
}

// entryOverhead is the number of bytes counted per entry in addition to its data.
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

// term returns the term of the entry at index; false if the entry is compacted or
// not in the log yet.
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
	entryTerm, ok := l.term(index)
	return ok && entryTerm == term
}

// upToDate reports whether a log whose last entry has the given index and term is at
// least as up to date as this one (thesis 3.6.1).
func (l *replicaLog) upToDate(index, term uint64) bool {
	lastTerm := l.lastTerm()
	return term > lastTerm || (term == lastTerm && index >= l.lastIndex())
}

// slice returns the entries from first to last, both inclusive, limited to maxBytes
// but at least one.
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

// bytesBetween returns the size in bytes of the entries after the index after, up to
// and including last.
func (l *replicaLog) bytesBetween(after, last uint64) int {
	after = max(after, l.base.Index)
	if last <= after {
		return 0
	}
	return l.sizeBefore(int(last-l.base.Index)) - l.sizeBefore(int(after-l.base.Index))
}

// firstConflict returns the index of the first of the given entries that the log does
// not hold with the same term; zero if the log holds all.
func (l *replicaLog) firstConflict(entries []wire.LogEntry) uint64 {
	for i := range entries {
		if !l.matches(entries[i].Index, entries[i].Term) {
			return entries[i].Index
		}
	}
	return 0
}

// truncate removes the entries from index on. It panics if one of them is committed.
func (l *replicaLog) truncate(index uint64) {
	if index <= l.commit {
		panic("consensus: truncation of a committed entry")
	}
	keep := int(index - l.base.Index - 1)
	// Copy the entries: messages to peers may still refer to the old backing array.
	l.entries = append([]wire.LogEntry(nil), l.entries[:keep]...)
	l.sizes = l.sizes[:keep]
	l.persisted = min(l.persisted, index-1)
}

// compact drops the entries up to the new base, which must be applied.
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

// membershipAt returns the membership in effect at index and the index of the entry
// that set it.
func (l *replicaLog) membershipAt(index uint64) (wire.Membership, uint64) {
	for i := index; i > l.base.Index; i-- {
		entry := &l.entries[i-l.base.Index-1]
		if entry.Kind != wire.EntryMembership {
			continue
		}
		var membership wire.Membership
		if _, err := membership.UnmarshalMsg(entry.Data); err != nil {
			panic("consensus: decode membership entry: " + err.Error())
		}
		return membership, i
	}
	return l.base.Membership, l.base.Index
}
