package batchstore

import (
	"context"
	"slices"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"

	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/placement"
)

const (
	// rebalanceInterval is the time between two checks of which store leads which group.
	// rebalanceDelay is how long an uneven spread must last before a group is transferred: a
	// transfer stops the group's items, and a store that has just come back may stop again.
	rebalanceInterval = 500 * time.Millisecond
	rebalanceDelay    = 15 * time.Second
	// maxResponseAge and maxLag say which replicas may become the leader of a group: those that
	// answered within maxResponseAge and lack at most maxLag entries.
	maxResponseAge = 300 * time.Millisecond
	maxLag         = 64
)

// rebalanceLoop transfers the leadership of groups to stores that lead fewer groups than this one.
func (s *Store) rebalanceLoop(ctx context.Context) {
	var since time.Time
	ticker := time.NewTicker(rebalanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		transfer, found := s.nextTransfer(ctx)
		now := clock.Now()
		switch {
		case !found || s.daemon.Stopping():
			since = time.Time{}
		case since.IsZero():
			since = now
		case now.Sub(since) >= rebalanceDelay:
			s.transferGroup(ctx, transfer)
		}
	}
}

// nextTransfer returns the transfer that would spread the leaders more evenly, if there is one.
func (s *Store) nextTransfer(ctx context.Context) (placement.Transfer, bool) {
	statuses, err := s.host.Statuses(ctx)
	if err != nil {
		return placement.Transfer{}, false
	}
	leaders := map[int]uint64{}
	for number := range statuses {
		if consensus.IsMember(&statuses[number].Membership, s.identity.Replica.ID) {
			leaders[number] = statuses[number].Leader
		}
	}
	retiring := s.watcher.Current().Fleet.Retiring
	return placement.RebalanceLeaders(s.identity.Replica.ID, leaders, func(number int) []uint64 { return readyToLead(&statuses[number], retiring) })
}

// readyToLead returns the voters that could become the leader of a group.
func readyToLead(status *consensus.Status, retiring []string) []uint64 {
	if !status.MembershipStable {
		return nil
	}
	var ready []uint64
	for i := range status.Peers {
		peer := &status.Peers[i]
		if peer.Replicating && peer.SinceResponse <= maxResponseAge && peer.Lag <= maxLag &&
			consensus.Contains(status.Membership.Voters, peer.Replica.ID) && !slices.Contains(retiring, peer.Replica.Name) {
			ready = append(ready, peer.Replica.ID)
		}
	}
	return ready
}

// transferGroup transfers the leadership of a group. Its items stop where they are and continue
// under the next leader.
func (s *Store) transferGroup(ctx context.Context, transfer placement.Transfer) {
	g := s.groups[transfer.Group]
	drainContext, cancel := context.WithTimeout(ctx, drainTimeout)
	g.runner.drain(drainContext)
	cancel()
	started, err := s.host.TransferLeadership(ctx, transfer.Group, transfer.To)
	logging.Info(s.logger, "group_handed_over", "group", transfer.Group, "to", transfer.To, "begun", started, "error", err)
	select {
	case <-ctx.Done():
	case <-time.After(s.settings.ElectionTimeout.Std()):
	}
	g.runner.resume(ctx)
}
