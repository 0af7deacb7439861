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
	// spreadInterval is the time between two looks at who leads what, spreadAfter
	// how long an uneven spread must last before a group is handed over: its items
	// stop for that, and a store that has just come back may go again.
	spreadInterval = 500 * time.Millisecond
	spreadAfter    = 15 * time.Second
	// readySilence and readyBehind are how lately a replica must have answered, and
	// how few entries it may lack, to take a group over.
	readySilence = 300 * time.Millisecond
	readyBehind  = 64
)

// spreadLoop hands groups over to stores that lead fewer.
func (s *Store) spreadLoop(ctx context.Context) {
	var since time.Time
	ticker := time.NewTicker(spreadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		move, found := s.nextMove(ctx)
		now := clock.Now()
		switch {
		case !found || s.daemon.Stopping():
			since = time.Time{}
		case since.IsZero():
			since = now
		case now.Sub(since) >= spreadAfter:
			s.move(ctx, move)
		}
	}
}

// nextMove returns the hand-over that would spread the leaders, if there is one.
func (s *Store) nextMove(ctx context.Context) (placement.Transfer, bool) {
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

// readyToLead returns the voters that could take a group over.
func readyToLead(status *consensus.Status, retiring []string) []uint64 {
	if !status.MembershipStable {
		return nil
	}
	var ready []uint64
	for i := range status.Peers {
		peer := &status.Peers[i]
		if peer.Replicating && peer.SinceResponse <= readySilence && peer.Lag <= readyBehind &&
			consensus.Contains(status.Membership.Voters, peer.Replica.ID) && !slices.Contains(retiring, peer.Replica.Name) {
			ready = append(ready, peer.Replica.ID)
		}
	}
	return ready
}

// move hands a group over: its items stop where they are, and go on under the next
// leader.
func (s *Store) move(ctx context.Context, move placement.Transfer) {
	g := s.groups[move.Group]
	drainContext, cancel := context.WithTimeout(ctx, drainTimeout)
	g.runner.drain(drainContext)
	cancel()
	begun, err := s.host.TransferLeadership(ctx, move.Group, move.To)
	logging.Info(s.logger, "group_handed_over", "group", move.Group, "to", move.To, "begun", begun, "error", err)
	select {
	case <-ctx.Done():
	case <-time.After(s.settings.ElectionTimeout.Std()):
	}
	g.runner.resume(ctx)
}
