package batchstore

import (
	"context"

	"github.com/sedgemast/sedgemast/internal/batchstate"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/placement"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// group is this process's part of a store group: a replica of the group's state, and a runner. The
// runner runs the group's items only while this process leads the group.
type group struct {
	store   *Store
	number  int
	machine *batchstate.Machine
	runner  *runner
}

func newGroup(s *Store, number int) *group {
	g := &group{store: s, number: number, machine: batchstate.New()}
	g.runner = newRunner(g)
	return g
}

// groupCount returns the number of groups, or zero while it is not known.
func (s *Store) groupCount() int { return min(len(s.watcher.Current().Fleet.Initial), len(s.groups)) }

// groupOf returns the group that keeps the job, or an error while the groups are not known.
func (s *Store) groupOf(job string) (*group, error) {
	number := placement.GroupOf(job, s.groupCount())
	if number < 0 {
		return nil, failure.New(failure.NotRun, "try again", "this store does not know the store groups yet")
	}
	return s.groups[number], nil
}

// read calls read with the state if this process leads the group and may answer reads.
func (g *group) read(read func(reader storage.Reader) error) error {
	return g.store.host.Read(g.number, func(_ uint64, reader storage.Reader) error { return read(reader) })
}

// leads reports whether this process leads the group and holds its lease.
func (g *group) leads() bool { return g.read(func(storage.Reader) error { return nil }) == nil }

// propose commits a command.
func (g *group) propose(ctx context.Context, command *wire.BatchCommand) (*wire.BatchResult, error) {
	encoded, err := command.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	answer, err := g.store.host.Propose(ctx, g.number, encoded)
	if err != nil {
		return nil, err
	}
	result := &wire.BatchResult{}
	if _, err := result.UnmarshalMsg(answer); err != nil {
		return nil, err
	}
	return result, result.Failure.Err()
}
