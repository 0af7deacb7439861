package consensus

import "time"

// ProgressState is how a leader feeds a follower.
type ProgressState uint8

const (
	// Probe sends one append and waits for the answer, until the logs' last
	// common entry is found.
	Probe ProgressState = iota
	// Replicate sends appends one after the other without waiting.
	Replicate
	// Snapshot waits until the follower has taken in a snapshot.
	Snapshot
)

// Progress is a leader's view of one follower.
//
// Invariant: Match < Next; everything up to Match is known to be stored there.
type Progress struct {
	State ProgressState
	Match uint64
	Next  uint64
	// waiting is set while an answer to a probe is due.
	waiting bool
	// ackedAt is when the leader sent the newest message that was answered.
	ackedAt time.Time
	// heardAt is when the last answer came.
	heardAt time.Time
}

func (p *Progress) becomeProbe() {
	p.State = Probe
	p.Next = p.Match + 1
	p.waiting = false
}

func (p *Progress) becomeReplicate() {
	p.State = Replicate
	p.Next = max(p.Next, p.Match+1)
	p.waiting = false
}

// acknowledge takes in that the follower holds everything up to index. It
// reports whether that was news.
func (p *Progress) acknowledge(index uint64) bool {
	if index <= p.Match {
		return false
	}
	p.Match = index
	p.Next = max(p.Next, index+1)
	p.waiting = false
	return true
}

// refuse takes in that the follower lacks the entry at index and may agree at
// hint. Refusals of older messages are ignored; it reports whether this was not
// one.
func (p *Progress) refuse(index, hint uint64) bool {
	if index <= p.Match {
		return false
	}
	if p.State == Replicate {
		p.becomeProbe()
		p.Next = max(min(index, hint+1), p.Match+1)
		return true
	}
	if p.State != Probe || p.Next-1 != index {
		return false
	}
	p.Next = max(min(index, hint+1), p.Match+1)
	p.waiting = false
	return true
}
