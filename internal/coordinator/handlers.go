package coordinator

import (
	"context"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/fleetview"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/replication"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

// RPC methods of the coordinator.
const (
	methodApply             = "fleet_apply"
	methodSource            = "fleet_source"
	methodRetire            = "fleet_retire"
	methodRetirement        = "fleet_retirement"
	methodQuarantineList    = "fleet_quarantine_list"
	methodQuarantineRelease = "fleet_quarantine_release"
)

func (c *Coordinator) register() {
	server := c.daemon.Server
	rpc.Handle(server, replication.MethodHello, func(ctx context.Context, hello *wire.Hello) (msgp.Marshaler, error) {
		return c.host.HandleHello(ctx, hello)
	})
	rpc.Handle(server, replication.MethodMessages, func(ctx context.Context, batch *wire.PeerBatch) (msgp.Marshaler, error) {
		return &wire.Empty{}, c.host.Receive(ctx, batch)
	})
	rpc.Handle(server, wire.MethodWatch, func(ctx context.Context, request *wire.WatchRequest) (msgp.Marshaler, error) {
		response, err := c.watch(ctx, request)
		if err != nil {
			return nil, err
		}
		return c.updates.encode(request, response)
	})
	rpc.Handle(server, wire.MethodQuarantine, func(ctx context.Context, request *wire.QuarantineReport) (msgp.Marshaler, error) {
		return c.handleReport(ctx, request)
	})
	rpc.Handle(server, methodQuarantineList, func(ctx context.Context, _ *wire.Empty) (msgp.Marshaler, error) {
		return c.quarantineLocal(ctx)
	})
	rpc.Handle(server, methodQuarantineRelease, func(ctx context.Context, request *wire.QuarantineRelease) (msgp.Marshaler, error) {
		return c.releaseLocal(ctx, request)
	})
	rpc.Handle(server, methodApply, func(ctx context.Context, request *wire.ApplyRoutes) (msgp.Marshaler, error) {
		return c.applyLocal(ctx, request)
	})
	rpc.Handle(server, methodSource, func(ctx context.Context, _ *wire.Empty) (msgp.Marshaler, error) {
		return c.sourceLocal(ctx)
	})
	rpc.Handle(server, methodRetire, func(ctx context.Context, request *wire.RetireStore) (msgp.Marshaler, error) {
		return c.retireLocal(ctx, request)
	})
	rpc.Handle(server, methodRetirement, func(ctx context.Context, request *wire.RetireStore) (msgp.Marshaler, error) {
		return c.retirementLocal(ctx, request)
	})
}

// watch answers with an update once there is a change that the caller does not know. Edges are answered
// by the relay, also at the leader: only the relay knows which list an edge has that it answered in an
// earlier term. The leader answers all others, and edges while its relay does not hear it. Edges of
// wire.GenerationFirst would accept an older view than the one they have, so a relay redirects them
// to the leader.
func (c *Coordinator) watch(ctx context.Context, request *wire.WatchRequest) (*wire.WatchResponse, error) {
	if request.Process.Kind == wire.ProcessEdge && request.Generation() != wire.GenerationFirst {
		response, fresh := c.relay.watch(ctx, request)
		if fresh {
			return response, nil
		}
	}
	response, err := c.watchLeader(ctx, request)
	if err == nil {
		return response, nil
	}
	return nil, c.awaitLeader(ctx, err)
}

func (c *Coordinator) watchLeader(ctx context.Context, request *wire.WatchRequest) (*wire.WatchResponse, error) {
	timeout := time.NewTimer(time.Duration(request.WaitMillis) * time.Millisecond)
	defer timeout.Stop()
	arrivedAt := clock.Now()
	first := true
	for {
		response := &wire.WatchResponse{}
		var changed chan struct{}
		var drained []string
		err := c.readLeader(func(now time.Time, v *fleetview.View) {
			if first {
				v.ApplyReport(now, &request.Process)
				drained = v.DrainedStores(now, request, c.pendingRetirements(), len(c.machine.InitialVoters()))
			}
			c.fillUpdate(v, request, response)
			fillListAge(v.Workers(), v.ListReadAt, arrivedAt, response)
			if response.Document != nil || response.Fleet != nil || c.needsUrgentUpdate(request.Quarantine) {
				c.fillQuarantine(request, response)
			}
			changed = c.changed
		})
		if err != nil {
			return nil, err
		}
		if first {
			c.watches.Inc()
		}
		first = false
		c.commitDrained(ctx, drained)
		if response.Document != nil || response.Fleet != nil || response.Quarantine != nil {
			return response, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			// Only the leader may say that nothing has changed.
			err := c.readLeader(func(_ time.Time, v *fleetview.View) {
				c.fillQuarantine(request, response)
				fillListAge(v.Workers(), v.ListReadAt, arrivedAt, response)
			})
			if err != nil {
				return nil, err
			}
			return response, nil
		case <-ctx.Done():
			return response, nil
		}
	}
}

// fillListAge adds the digest and the age of a list of workers, whose reading began at readAt, to the
// response to a poll that arrived at arrivedAt. It adds nothing if readAt is not known.
func fillListAge(workers *workerset.Set, readAt, arrivedAt time.Time, response *wire.WatchResponse) {
	if readAt.IsZero() {
		return
	}
	response.ListDigest = workers.Digest()
	response.ListAgeMillis = roundUp(arrivedAt.Sub(readAt)).Milliseconds()
}

// leaderWaitTimeout bounds the time that a watch waits for a leader to be known, and
// leaderPollInterval is the time between checks. Without the wait, all processes of a fleet
// would repeat their calls while the coordinators elect a leader. The timeout is short because
// a partitioned coordinator delays callers that would find the leader at the next one.
const (
	leaderWaitTimeout  = 100 * time.Millisecond
	leaderPollInterval = 25 * time.Millisecond
)

// awaitLeader delays the rejection of a watch until this process knows a leader, which may be
// itself, or for leaderWaitTimeout at most. It returns the rejection, with the leader's
// address if it is known.
func (c *Coordinator) awaitLeader(ctx context.Context, rejection error) error {
	deadline := time.Now().Add(leaderWaitTimeout)
	for consensus.LeaderFromError(rejection) == "" && time.Now().Before(deadline) {
		select {
		case <-ctx.Done():
			return rejection
		case <-time.After(leaderPollInterval):
		}
		if err := c.readLeader(func(time.Time, *fleetview.View) {}); err != nil {
			rejection = err
		} else {
			// The address makes the caller retry at this process immediately.
			return failure.New(failure.NotRun, "ask again", "this process leads now").WithField(consensus.LeaderFieldPrefix + c.daemon.Address())
		}
	}
	return rejection
}

// fillUpdate adds the configuration and the view to the response if the caller does not know them.
func (c *Coordinator) fillUpdate(v *fleetview.View, request *wire.WatchRequest, response *wire.WatchResponse) {
	routes := c.machine.Routes()
	response.Version = routes.Version
	if routes.Document != nil && routes.Version != request.Version {
		response.Document = routes.Document
	}
	response.Term, response.View = v.Term, v.Number
	if v.Number > 0 && (request.Term != v.Term || request.View != v.Number || request.Lost) {
		known := request.View
		if request.Term != v.Term || request.Lost {
			known = 0
		}
		// The response is encoded after the lock is released.
		if request.Generation() == wire.GenerationFirst {
			response.Fleet = v.SinceGenerationFirst(known)
		} else {
			response.Fleet = v.Since(known, request.Digests)
		}
		if response.Fleet.Partial && request.Listed {
			response.Fleet.News = nil
		}
	}
}

func (c *Coordinator) pendingRetirements() []string {
	var pending []string
	for _, name := range c.machine.Retiring() {
		if _, done := c.machine.Retirement(name); !done {
			pending = append(pending, name)
		}
	}
	return pending
}

func (c *Coordinator) commitDrained(ctx context.Context, names []string) {
	for _, name := range names {
		_, err := c.propose(ctx, &wire.FleetCommand{Retired: &wire.RetireStore{Name: name}})
		logging.Info(c.logger, "store_emptied", "store", name, "error", err)
	}
}

// Apply commits a configuration. It returns once the version, or a higher one, is committed; a
// version that is not above the one in force changes nothing.
func (c *Coordinator) Apply(ctx context.Context, configuration *routetable.Configuration, source []byte) error {
	if err := configuration.Check(); err != nil {
		return err
	}
	document, err := configuration.Encode()
	if err != nil {
		return err
	}
	request := &wire.ApplyRoutes{Version: configuration.Version, Document: document, Source: source}
	_, err = runAtLeader[wire.FleetResult](ctx, c, methodApply, request, func(ctx context.Context) (*wire.FleetResult, error) {
		return c.applyLocal(ctx, request)
	})
	return err
}

func (c *Coordinator) applyLocal(ctx context.Context, request *wire.ApplyRoutes) (*wire.FleetResult, error) {
	result, err := c.propose(ctx, &wire.FleetCommand{Apply: request})
	if err != nil {
		return nil, err
	}
	c.changes.Inc()
	logging.Info(c.logger, "configuration_committed", "version", request.Version, "in_force", result.Version, "changed", result.Changed)
	return result, nil
}

// Source returns the newest configuration as the operator sent it.
func (c *Coordinator) Source(ctx context.Context) (*wire.RouteSource, error) {
	return runAtLeader[wire.RouteSource](ctx, c, methodSource, &wire.Empty{}, c.sourceLocal)
}

func (c *Coordinator) sourceLocal(context.Context) (*wire.RouteSource, error) {
	source := &wire.RouteSource{}
	err := c.readLeader(func(time.Time, *fleetview.View) {
		routes := c.machine.Routes()
		source.Version, source.Source = routes.Version, routes.Source
	})
	if err != nil {
		return nil, err
	}
	if source.Source == nil {
		return nil, failure.New(failure.NotRun, "send a configuration first", "there is no configuration yet")
	}
	return source, nil
}

// Retire starts to drain a store. It fails with NotFound for an unknown store, and with Conflict
// if too few stores would remain.
func (c *Coordinator) Retire(ctx context.Context, name string) error {
	request := &wire.RetireStore{Name: name}
	_, err := runAtLeader[wire.FleetResult](ctx, c, methodRetire, request, func(ctx context.Context) (*wire.FleetResult, error) {
		return c.retireLocal(ctx, request)
	})
	return err
}

func (c *Coordinator) retireLocal(ctx context.Context, request *wire.RetireStore) (*wire.FleetResult, error) {
	var rejection error
	command := &wire.RetireStore{Name: request.Name}
	err := c.readLeader(func(now time.Time, v *fleetview.View) {
		command.Counted = len(c.machine.Retiring())
		if retiring, _ := c.machine.Retirement(request.Name); retiring {
			return
		}
		remaining := v.RemainingStoreCount(now, request.Name, c.machine.Retiring())
		switch {
		case !v.HasStore(request.Name):
			rejection = failure.New(failure.NotFound, "check the name", "there is no store %q", request.Name)
		case remaining < 2*c.settings.Tolerate+1:
			rejection = failure.New(failure.Conflict, "add a store first", "only %d stores would be left", remaining)
		}
	})
	if err == nil {
		err = rejection
	}
	if err != nil {
		return nil, err
	}
	logging.Info(c.logger, "store_retiring", "store", request.Name)
	return c.propose(ctx, &wire.FleetCommand{Retire: command})
}

// Retirement returns whether a store that is being retired has been drained. It fails with
// NotFound if the store is not being retired.
func (c *Coordinator) Retirement(ctx context.Context, name string) (*wire.Retirement, error) {
	request := &wire.RetireStore{Name: name}
	return runAtLeader[wire.Retirement](ctx, c, methodRetirement, request, func(ctx context.Context) (*wire.Retirement, error) {
		return c.retirementLocal(ctx, request)
	})
}

func (c *Coordinator) retirementLocal(_ context.Context, request *wire.RetireStore) (*wire.Retirement, error) {
	retirement := &wire.Retirement{Name: request.Name}
	retiring := false
	err := c.readLeader(func(time.Time, *fleetview.View) { retiring, retirement.Done = c.machine.Retirement(request.Name) })
	if err != nil {
		return nil, err
	}
	if !retiring {
		return nil, failure.New(failure.NotFound, "ask for it first", "store %q is not being emptied", request.Name)
	}
	return retirement, nil
}
