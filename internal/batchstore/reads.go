package batchstore

import (
	"context"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/batchstate"
	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/intake"
	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Every replica answers reads. A result that a replica has is committed and keeps its position, so
// the answer is right even if the replica lags. If a result is missing, the replica may only lag.
// So before a replica answers that there is no result, it asks the leader for the newest index and
// catches up.

// catchUpTimeout bounds the call to the leader and the wait for the index.
const catchUpTimeout = 400 * time.Millisecond

// results answers with results from a position on. If there are none, it waits for some.
func (s *Store) results(ctx context.Context, request *wire.BatchReadRequest) (msgp.Marshaler, error) {
	g, err := s.groupOf(request.ID)
	if err != nil {
		return nil, err
	}
	response, err := g.results(ctx, request)
	if err == nil && len(response.Results) > 0 {
		return response, nil
	}
	if err := g.catchUp(ctx); err != nil {
		return nil, err
	}
	timeout := time.NewTimer(time.Duration(request.WaitMillis) * time.Millisecond)
	defer timeout.Stop()
	for {
		changed := s.changes()
		response, err := g.results(ctx, request)
		if err != nil {
			return nil, err
		}
		if len(response.Results) > 0 || request.Since >= response.Total || request.WaitMillis <= 0 {
			return response, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return response, nil
		case <-ctx.Done():
			return response, nil
		}
	}
}

func (g *group) results(ctx context.Context, request *wire.BatchReadRequest) (response *wire.BatchReadResponse, err error) {
	defer intake.Work(ctx)()
	err = g.store.host.ReadStale(g.number, func(_ uint64, reader storage.Reader) error {
		response, err = g.machine.Read(reader, request.ID, request.Since, request.MaxBytes)
		return err
	})
	if err != nil {
		return nil, err
	}
	return response, holdLoaded(ctx, response)
}

// holdLoaded charges a call for a response that was loaded from the disk. Calls load in turns, so that
// few responses exist that are not charged yet.
func holdLoaded(ctx context.Context, response msgp.Sizer) error {
	return intake.Hold(ctx, int64(response.Msgsize()))
}

// body answers with the body of an item that has no result.
func (s *Store) body(ctx context.Context, request *wire.ItemBodyRequest) (msgp.Marshaler, error) {
	g, err := s.groupOf(request.Job)
	if err != nil {
		return nil, err
	}
	if body, err := g.body(ctx, request); err == nil || failure.Is(err, failure.NotRun) {
		return body, err
	}
	if err := g.catchUp(ctx); err != nil {
		return nil, err
	}
	return g.body(ctx, request)
}

func (g *group) body(ctx context.Context, request *wire.ItemBodyRequest) (*wire.ItemBody, error) {
	defer intake.Work(ctx)()
	sizes, name := &g.store.bodySizes, bodyName{request.Job, request.Item}
	size := sizes.get(name)
	if err := intake.Hold(ctx, size); err != nil {
		return nil, err
	}
	body := &wire.ItemBody{}
	err := g.store.host.ReadStale(g.number, func(_ uint64, reader storage.Reader) error {
		job, err := g.machine.Job(request.Job)
		if err != nil {
			return err
		}
		number, found := job.FindItem(request.Item)
		if !found || job.Items[number].State != wire.ItemWaiting {
			return failure.New(failure.NotFound, "check the id, or read the result", "job %q has no item %q without a result", request.Job, request.Item)
		}
		return g.loadBody(reader, job, number, body)
	})
	if err != nil {
		return nil, err
	}
	if size > 0 {
		return body, nil
	}
	sizes.set(name, int64(body.Msgsize()))
	return body, holdLoaded(ctx, body)
}

const (
	// minBodySize is the size from which on the size of a body is remembered, maxBodySizes how many are.
	minBodySize  = 64 << 10
	maxBodySizes = 1024
)

// bodyName names the body of an item.
type bodyName struct{ job, item string }

// bodySizes remembers the sizes of long bodies, so that a call for one that there is no room for is
// refused before it is loaded. It is safe for concurrent use.
type bodySizes struct {
	mutex sync.Mutex
	sizes map[bodyName]int64
}

// get returns the size of a body, zero if it is short or unknown.
func (b *bodySizes) get(name bodyName) int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.sizes[name]
}

func (b *bodySizes) set(name bodyName, size int64) {
	if size < minBodySize {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.sizes == nil || len(b.sizes) >= maxBodySizes {
		b.sizes = map[bodyName]int64{}
	}
	b.sizes[name] = size
}

func (g *group) loadBody(reader storage.Reader, job *batchstate.Job, number int, body *wire.ItemBody) error {
	content, err := g.machine.Content(reader, job.ID, number)
	if err != nil {
		return err
	}
	body.Body = content.Body
	return nil
}

// catchUp returns once the state here holds all that was acknowledged before the call. It fails
// with NotRun if no leader can be asked, or if this replica does not reach the leader's index.
func (g *group) catchUp(ctx context.Context) error {
	_, err := g.store.host.ReadIndex(g.number)
	if err == nil {
		return nil
	}
	leader := consensus.LeaderFromError(err)
	if leader == "" || leader == g.store.daemon.Address() {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	reached, err := rpc.Call[wire.ReplicaIndex](ctx, g.store.client, leader, methodIndex, &wire.ReplicaIndexRequest{Group: g.number})
	if err != nil {
		// The call only reads, so after any failure the caller may try another store.
		return failure.Wrap(err, failure.NotRun, "ask another store", "the leader %s does not say how far it has come", leader)
	}
	return g.store.host.WaitApplied(ctx, g.number, reached.Index)
}

// index answers with the index that another replica of a group must reach to be up to date.
func (s *Store) index(_ context.Context, request *wire.ReplicaIndexRequest) (msgp.Marshaler, error) {
	index, err := s.host.ReadIndex(request.Group)
	if err != nil {
		return nil, err
	}
	return &wire.ReplicaIndex{Index: index}, nil
}
