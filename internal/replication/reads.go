package replication

import (
	"context"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/storage"
)

// readPoll is the time between looks whether a replica has come far enough.
const readPoll = 5 * time.Millisecond

// errLapsed marks the refusals of a leader whose lease is over.
var errLapsed = errors.New("the lease is over")

// IsLeaseExpired reports whether a refusal says that a leader's lease is over. It may still
// lead, and hear a majority again in a moment.
func IsLeaseExpired(err error) bool { return errors.Is(err, errLapsed) }

// Read calls read while the group's state does not change. It fails with NotRun
// unless this replica leads the group and holds its lease; the term that it
// leads in is handed to read.
func (n *Node) Read(now time.Time, number int, read func(term uint64, reader storage.Reader) error) error {
	g, err := n.group(number)
	if err != nil {
		return err
	}
	term, err := g.leads(now)
	if err != nil {
		return err
	}
	g.mutex.RLock()
	defer g.mutex.RUnlock()
	return read(term, n.reader(g))
}

// ReadIndex returns how far a replica must have come to know all that had been
// acknowledged when the call began. It fails with NotRun unless this replica leads
// the group and holds its lease.
func (n *Node) ReadIndex(now time.Time, number int) (uint64, error) {
	g, err := n.group(number)
	if err != nil {
		return 0, err
	}
	if _, err := g.leads(now); err != nil {
		return 0, err
	}
	// Answers to commands go out once their effects are in the state.
	return g.applied.Load(), nil
}

// ReadStale calls read while the group's state here does not change. The state
// may be old: applied says how far it has come.
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

// leads returns the term in which this replica leads and holds its lease. The
// lease must be checked after a request has come: what is read then is the newest
// state at that moment or later.
func (g *group) leads(now time.Time) (term uint64, err error) {
	current := g.leadership.Load()
	if current.refusal != nil {
		return 0, current.refusal
	}
	if !now.Before(current.leaseUntil) {
		return 0, failure.Wrap(errLapsed, failure.NotRun, "try again", "the leader of group %d has not heard a majority lately", g.number)
	}
	return current.term, nil
}

// Read calls read as Node.Read does; it may be called from any goroutine.
func (h *Host) Read(number int, read func(term uint64, reader storage.Reader) error) error {
	return h.node.Read(clock.Exact(), number, read)
}

// ReadIndex is Node.ReadIndex; it may be called from any goroutine.
func (h *Host) ReadIndex(number int) (uint64, error) { return h.node.ReadIndex(clock.Exact(), number) }

// ReadStale is Node.ReadStale; it may be called from any goroutine.
func (h *Host) ReadStale(number int, read func(applied uint64, reader storage.Reader) error) error {
	return h.node.ReadStale(number, read)
}

// WaitApplied waits until the replica here has come to the index, and fails with
// NotRun if ctx ends first.
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
