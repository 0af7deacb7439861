package coordinator

import (
	"context"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/fleetview"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/replication"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Methods of the coordinator.
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
		return c.news.encode(request, response)
	})
	rpc.Handle(server, wire.MethodQuarantine, func(ctx context.Context, request *wire.QuarantineReport) (msgp.Marshaler, error) {
		return c.takeReport(ctx, request)
	})
	rpc.Handle(server, methodQuarantineList, func(ctx context.Context, _ *wire.Empty) (msgp.Marshaler, error) {
		return c.quarantineHere(ctx)
	})
	rpc.Handle(server, methodQuarantineRelease, func(ctx context.Context, request *wire.QuarantineRelease) (msgp.Marshaler, error) {
		return c.releaseHere(ctx, request)
	})
	rpc.Handle(server, methodApply, func(ctx context.Context, request *wire.ApplyRoutes) (msgp.Marshaler, error) {
		return c.applyHere(ctx, request)
	})
	rpc.Handle(server, methodSource, func(ctx context.Context, _ *wire.Empty) (msgp.Marshaler, error) {
		return c.sourceHere(ctx)
	})
	rpc.Handle(server, methodRetire, func(ctx context.Context, request *wire.RetireStore) (msgp.Marshaler, error) {
		return c.retireHere(ctx, request)
	})
	rpc.Handle(server, methodRetirement, func(ctx context.Context, request *wire.RetireStore) (msgp.Marshaler, error) {
		return c.retirementHere(ctx, request)
	})
}

// watch answers with what the caller does not know, once there is any: as the leader, or
// as a relay of it where the caller is an edge. Edges of wire.GenerationFirst would take
// in an older view than they have, so they are sent to the leader.
func (c *Coordinator) watch(ctx context.Context, request *wire.WatchRequest) (*wire.WatchResponse, error) {
	response, err := c.watchLeader(ctx, request)
	if err == nil {
		return response, nil
	}
	if request.Process.Kind == wire.ProcessEdge && request.Generation() != wire.GenerationFirst {
		response, fresh := c.relay.watch(ctx, request)
		if fresh {
			return response, nil
		}
	}
	return nil, c.awaitLeader(ctx, err)
}

func (c *Coordinator) watchLeader(ctx context.Context, request *wire.WatchRequest) (*wire.WatchResponse, error) {
	timeout := time.NewTimer(time.Duration(request.WaitMillis) * time.Millisecond)
	defer timeout.Stop()
	first := true
	for {
		response := &wire.WatchResponse{}
		var changed chan struct{}
		var emptied []string
		err := c.readLeader(func(now time.Time, v *fleetview.View) {
			if first {
				v.ApplyReport(now, &request.Process)
				emptied = v.DrainedStores(now, request, c.pendingRetirements(), len(c.machine.InitialVoters()))
			}
			c.tell(v, request, response)
			if response.Document != nil || response.Fleet != nil || c.mustKnow(request.Quarantine) {
				c.tellQuarantine(request, response)
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
		c.noteEmptied(ctx, emptied)
		if response.Document != nil || response.Fleet != nil || response.Quarantine != nil {
			return response, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			// An error means that another process leads now; it tells.
			_ = c.readLeader(func(time.Time, *fleetview.View) { c.tellQuarantine(request, response) })
			return response, nil
		case <-ctx.Done():
			return response, nil
		}
	}
}

// leaderPatience is how long a watch is held while no leader is known, and
// leaderPoll the time between looks for one. Without this, all processes of a fleet
// ask again and again in the very moment when the coordinators elect a leader. It
// is short because a coordinator that is cut off holds callers up who would find the
// leader at the next one.
const (
	leaderPatience = 100 * time.Millisecond
	leaderPoll     = 25 * time.Millisecond
)

// awaitLeader holds the refusal of a watch until this process knows a leader, itself or
// another, or until the patience is over. It returns the refusal.
func (c *Coordinator) awaitLeader(ctx context.Context, refusal error) error {
	deadline := time.Now().Add(leaderPatience)
	for consensus.LeaderFromError(refusal) == "" && time.Now().Before(deadline) {
		select {
		case <-ctx.Done():
			return refusal
		case <-time.After(leaderPoll):
		}
		if err := c.readLeader(func(time.Time, *fleetview.View) {}); err != nil {
			refusal = err
		} else {
			// The caller asks this process again at once.
			return failure.New(failure.NotRun, "ask again", "this process leads now").WithField(consensus.LeaderFieldPrefix + c.daemon.Address())
		}
	}
	return refusal
}

// tell fills in what the caller of a watch does not know.
func (c *Coordinator) tell(v *fleetview.View, request *wire.WatchRequest, response *wire.WatchResponse) {
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
		// The answer is encoded after the lock is gone.
		if request.Generation() == wire.GenerationFirst {
			response.Fleet = v.SinceGenerationFirst(known)
		} else {
			response.Fleet = v.Since(known, request.Digests)
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

func (c *Coordinator) noteEmptied(ctx context.Context, names []string) {
	for _, name := range names {
		_, err := c.propose(ctx, &wire.FleetCommand{Retired: &wire.RetireStore{Name: name}})
		logging.Info(c.logger, "store_emptied", "store", name, "error", err)
	}
}

// Apply brings in a configuration. It returns once the version, or a higher one,
// is committed; a version that is not above the one in force changes nothing.
func (c *Coordinator) Apply(ctx context.Context, configuration *routetable.Configuration, source []byte) error {
	if err := configuration.Check(); err != nil {
		return err
	}
	document, err := configuration.Encode()
	if err != nil {
		return err
	}
	request := &wire.ApplyRoutes{Version: configuration.Version, Document: document, Source: source}
	_, err = atLeader[wire.FleetResult](ctx, c, methodApply, request, func(ctx context.Context) (*wire.FleetResult, error) {
		return c.applyHere(ctx, request)
	})
	return err
}

func (c *Coordinator) applyHere(ctx context.Context, request *wire.ApplyRoutes) (*wire.FleetResult, error) {
	result, err := c.propose(ctx, &wire.FleetCommand{Apply: request})
	if err != nil {
		return nil, err
	}
	c.changes.Inc()
	logging.Info(c.logger, "configuration_committed", "version", request.Version, "in_force", result.Version, "changed", result.Changed)
	return result, nil
}

// Source returns the newest configuration as its operator sent it.
func (c *Coordinator) Source(ctx context.Context) (*wire.RouteSource, error) {
	return atLeader[wire.RouteSource](ctx, c, methodSource, &wire.Empty{}, c.sourceHere)
}

func (c *Coordinator) sourceHere(context.Context) (*wire.RouteSource, error) {
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

// Retire asks for a store to be emptied. It fails with NotFound for an unknown
// store, and with Conflict where too few would be left.
func (c *Coordinator) Retire(ctx context.Context, name string) error {
	request := &wire.RetireStore{Name: name}
	_, err := atLeader[wire.FleetResult](ctx, c, methodRetire, request, func(ctx context.Context) (*wire.FleetResult, error) {
		return c.retireHere(ctx, request)
	})
	return err
}

func (c *Coordinator) retireHere(ctx context.Context, request *wire.RetireStore) (*wire.FleetResult, error) {
	var refusal error
	command := &wire.RetireStore{Name: request.Name}
	err := c.readLeader(func(now time.Time, v *fleetview.View) {
		command.Counted = len(c.machine.Retiring())
		if asked, _ := c.machine.Retirement(request.Name); asked {
			return
		}
		remaining := v.RemainingStoreCount(now, request.Name, c.machine.Retiring())
		switch {
		case !v.HasStore(request.Name):
			refusal = failure.New(failure.NotFound, "check the name", "there is no store %q", request.Name)
		case remaining < 2*c.settings.Tolerate+1:
			refusal = failure.New(failure.Conflict, "add a store first", "only %d stores would be left", remaining)
		}
	})
	if err == nil {
		err = refusal
	}
	if err != nil {
		return nil, err
	}
	logging.Info(c.logger, "store_retiring", "store", request.Name)
	return c.propose(ctx, &wire.FleetCommand{Retire: command})
}

// Retirement tells how far the emptying of a store is.
func (c *Coordinator) Retirement(ctx context.Context, name string) (*wire.Retirement, error) {
	request := &wire.RetireStore{Name: name}
	return atLeader[wire.Retirement](ctx, c, methodRetirement, request, func(ctx context.Context) (*wire.Retirement, error) {
		return c.retirementHere(ctx, request)
	})
}

func (c *Coordinator) retirementHere(_ context.Context, request *wire.RetireStore) (*wire.Retirement, error) {
	retirement := &wire.Retirement{Name: request.Name}
	asked := false
	err := c.readLeader(func(time.Time, *fleetview.View) { asked, retirement.Done = c.machine.Retirement(request.Name) })
	if err != nil {
		return nil, err
	}
	if !asked {
		return nil, failure.New(failure.NotFound, "ask for it first", "store %q is not being emptied", request.Name)
	}
	return retirement, nil
}
