package consensus

import "time"

// ProgressState is the way in which a leader sends the log to a follower.
type ProgressState uint8

const (
	// Probe sends one append at a time and waits for the response, to find the last
	// entry that the two logs have in common.
	Probe ProgressState = iota
	// Replicate sends appends without waiting for the responses.
	Replicate
	// Snapshot sends no entries until the follower has installed a snapshot.
	Snapshot
)

// Progress is the leader's view of one follower's log.
//
// Invariant: Match < Next; the follower has stored every entry up to Match.
type Progress struct {
	State ProgressState
	Match uint64
	Next  uint64
	// probeSent is set while the response to a probe is outstanding.
	probeSent bool
	// ackedSendTime is when the leader sent the newest message that the follower has answered.
	ackedSendTime time.Time
	// lastResponse is when the follower's last response arrived.
	lastResponse time.Time
}

func (p *Progress) becomeProbe() {
	p.State = Probe
	p.Next = p.Match + 1
	p.probeSent = false
}

func (p *Progress) becomeReplicate() {
	p.State = Replicate
	p.Next = max(p.Next, p.Match+1)
	p.probeSent = false
}

// acknowledge records that the follower has stored every entry up to index. It
// reports whether Match advanced.
func (p *Progress) acknowledge(index uint64) bool {
	if index <= p.Match {
		return false
	}
	p.Match = index
	p.Next = max(p.Next, index+1)
	p.probeSent = false
	return true
}

// handleReject processes the rejection of an append whose previous entry was at index;
// the logs may match at hint. It reports whether Next changed: rejections of outdated
// messages are ignored.
func (p *Progress) handleReject(index, hint uint64) bool {
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
	p.probeSent = false
	return true
}
