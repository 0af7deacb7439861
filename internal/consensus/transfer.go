package consensus

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// TransferLeadership transfers leadership to the other voter whose log is most complete
// among those that responded within the election timeout (thesis 3.10). Proposals are
// rejected during the transfer. It returns false if this replica is not the leader or no
// voter qualifies.
func (r *Replica) TransferLeadership(now time.Time) bool {
	if r.role != Leader || r.transferee != 0 {
		return r.role == Leader
	}
	var target uint64
	for _, member := range r.membership.Voters {
		progress := r.progress[member.ID]
		if member.ID == r.config.ID || progress == nil || now.Sub(progress.lastResponse) > r.config.ElectionTimeout {
			continue
		}
		if target == 0 || progress.Match > r.progress[target].Match {
			target = member.ID
		}
	}
	if target == 0 {
		return false
	}
	r.startTransfer(now, target)
	return true
}

// TransferLeadershipTo transfers leadership to the given voter. It reports whether the transfer
// started. It starts only if this replica leads, no other transfer is in progress, and the voter
// responded within the election timeout.
func (r *Replica) TransferLeadershipTo(now time.Time, id uint64) bool {
	progress := r.progress[id]
	if r.role != Leader || r.transferee != 0 || id == r.config.ID || progress == nil {
		return false
	}
	if !Contains(r.membership.Voters, id) || now.Sub(progress.lastResponse) > r.config.ElectionTimeout {
		return false
	}
	r.startTransfer(now, id)
	return true
}

func (r *Replica) startTransfer(now time.Time, id uint64) {
	r.now = now
	r.transferee = id
	r.transferDeadline = now.Add(r.config.ElectionTimeout)
	r.sendAppend(id, false)
	r.continueTransfer(id)
}

// continueTransfer tells the transfer target to start an election once it has the whole
// log. From then on this leader may not use its lease again in this term.
func (r *Replica) continueTransfer(from uint64) {
	if r.transferee != from || r.timeoutNowSent || r.progress[from].Match < r.log.lastIndex() {
		return
	}
	r.timeoutNowSent = true
	r.sendAfterSync(wire.PeerMessage{Kind: wire.MessageTimeoutNow, To: from})
}

// handleTransferTimeout ends a transfer that did not succeed in time. If the target has
// been told to start an election, the leader steps down, because that election may still
// take place.
func (r *Replica) handleTransferTimeout(now time.Time) {
	if r.timeoutNowSent {
		r.becomeFollower(now, r.term, 0)
		return
	}
	r.transferee = 0
}
