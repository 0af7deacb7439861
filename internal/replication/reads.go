package replication

import (
	"context"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/storage"
)

// readPoll is the interval between checks whether a replica has applied an index.
const readPoll = 5 * time.Millisecond

// errLeaseExpired marks the errors of a leader whose lease has expired.
var errLeaseExpired = errors.New("the lease is over")

// IsLeaseExpired reports whether an error says that the lease of a leader has expired. The
// replica may still be the leader and renew its lease shortly.
func IsLeaseExpired(err error) bool { return errors.Is(err, errLeaseExpired) }

// Read calls read while the group's state cannot change. It passes the term in which this
// replica leads. It fails with NotRun unless this replica leads the group and holds its
// lease.
func (n *Node) Read(now time.Time, number int, read func(term uint64, reader storage.Reader) error) error {
	g, err := n.group(number)
	if err != nil {
		return err
	}
	term, err := g.leaderTerm(now)
	if err != nil {
		return err
	}
	g.mutex.RLock()
	defer g.mutex.RUnlock()
	return read(term, n.reader(g))
}

// ReadIndex returns the index that a replica must have applied to reflect every command that
// was acknowledged before the call. It fails with NotRun unless this replica leads the group
// and holds its lease.
func (n *Node) ReadIndex(now time.Time, number int) (uint64, error) {
	g, err := n.group(number)
	if err != nil {
		return 0, err
	}
	if _, err := g.leaderTerm(now); err != nil {
		return 0, err
	}
	// A command is acknowledged only after its effects are in the state.
	return g.applied.Load(), nil
}

// ReadStale calls read while the group's state here cannot change. The state may lag behind
// the leader's; applied is the index of the last applied entry.
func (n *Node) ReadStale(number int, read func(applied uint64, reader storage.Reader) error) error {
	g, err := n.group(number)
	if err != nil {
		return err
	}
	g.mutex.RLock()
	defer g.mutex.RUnlock()
	return read(g.applied.Load(), n.reader(g))
}

func (n *Node) group(number int) (*group, error) {
	if number < 0 || number >= len(n.groups) {
		return nil, failure.New(failure.NotFound, "check the id", "there is no group %d", number)
	}
	return n.groups[number], nil
}

// leaderTerm returns the term in which this replica leads, or an error if it does not lead or
// its lease has expired. Callers must check the lease after the request has arrived: then
// the state that they read is at least as new as the request.
func (g *group) leaderTerm(now time.Time) (term uint64, err error) {
	current := g.leadership.Load()
	if current.err != nil {
		return 0, current.err
	}
	if !now.Before(current.leaseExpiry) {
		return 0, failure.Wrap(errLeaseExpired, failure.NotRun, "try again", "the leader of group %d has not heard a majority lately", g.number)
	}
	return current.term, nil
}

// Read calls Node.Read; it is safe for concurrent use.
func (h *Host) Read(number int, read func(term uint64, reader storage.Reader) error) error {
	return h.node.Read(clock.Exact(), number, read)
}

// ReadIndex calls Node.ReadIndex; it is safe for concurrent use.
func (h *Host) ReadIndex(number int) (uint64, error) { return h.node.ReadIndex(clock.Exact(), number) }

// ReadStale calls Node.ReadStale; it is safe for concurrent use.
func (h *Host) ReadStale(number int, read func(applied uint64, reader storage.Reader) error) error {
	return h.node.ReadStale(number, read)
}

// WaitApplied waits until the local replica has applied the index. It fails with NotRun if
// ctx ends first.
func (h *Host) WaitApplied(ctx context.Context, number int, index uint64) error {
	g, err := h.node.group(number)
	if err != nil {
		return err
	}
	for g.applied.Load() < index {
		select {
		case <-ctx.Done():
			return failure.Wrap(ctx.Err(), failure.NotRun, "ask another replica", "group %d has come to %d here, and not to %d", number, g.applied.Load(), index)
		case <-time.After(readPoll):
		}
	}
	return nil
}
