package simulation

import (
	"time"
)

// killEngine ends a worker and breaks its streams.
func (w *World) killEngine(e *engineProcess) {
	e.breakStreams()
	e.alive = false
	delete(w.ledger.leavingSince, e.name)
}

func injectWorkerDies(w *World, fault Fault) bool {
	e := pick(w.engines, fault)
	if !e.alive {
		return false
	}
	w.killEngine(e)
	w.clock.after(fault.Duration, e.start)
	return true
}

func injectWorkerFreezes(w *World, fault Fault) bool {
	return w.freeze(&pick(w.engines, fault).process, fault.Duration)
}

// injectWorkerLeaves makes a worker announce that it leaves. It replaces the worker later than
// leavingBound after the announcement; from leavingBound on, the worker must get no more work.
func injectWorkerLeaves(w *World, fault Fault) bool {
	e := pick(w.engines, fault)
	if !e.alive || e.leaving {
		return false
	}
	e.leaving = true
	w.ledger.leavingSince[e.name] = w.clock.now
	w.clock.after(leavingBound+fault.Duration, func() {
		if e.alive && e.leaving {
			w.killEngine(e)
			w.clock.after(time.Second, e.start)
		}
	})
	return true
}

func injectAnswersLate(w *World, fault Fault) bool {
	pick(w.engines, fault).delayedUntil = w.clock.now.Add(fault.Duration)
	return true
}

func injectAnswersCrossed(w *World, fault Fault) bool {
	pick(w.engines, fault).misroutedUntil = w.clock.now.Add(fault.Duration)
	return true
}

func injectAnswersTwice(w *World, fault Fault) bool {
	pick(w.engines, fault).duplicatedUntil = w.clock.now.Add(fault.Duration)
	return true
}

func injectStreamsCut(w *World, fault Fault) bool {
	e := pick(w.engines, fault)
	if !e.alive || e.model.Idle() {
		return false
	}
	e.breakStreams()
	return true
}

// killDispatcher ends a dispatcher, breaks its streams and records its workers as orphaned.
func (w *World) killDispatcher(d *dispatcherProcess) {
	d.alive = false
	for _, onDisconnect := range d.streams {
		w.clock.after(disconnectDelay, onDisconnect)
	}
	d.streams = nil
	for name := range d.workers {
		if e := w.engineByName(name); e.alive && d.workers[name].claimed && !e.leaving && e.fencingEpoch == d.workers[name].assignment.Epoch {
			w.ledger.timings.workerOrphaned(w.clock.now, name)
		}
	}
}

func injectDispatcherKilled(w *World, fault Fault) bool {
	d := pick(w.dispatchers, fault)
	if !d.alive {
		return false
	}
	w.killDispatcher(d)
	w.clock.after(fault.Duration, d.start)
	return true
}

func injectDispatcherFreezes(w *World, fault Fault) bool {
	return w.freeze(&pick(w.dispatchers, fault).process, fault.Duration)
}

func injectDispatcherCut(w *World, fault Fault) bool {
	return w.isolate(&pick(w.dispatchers, fault).process, fault.Duration, fault.Target%3 == 0)
}

// injectDispatcherLostControl cuts a dispatcher off from the control processes only; its workers
// and gateways can still reach it.
func injectDispatcherLostControl(w *World, fault Fault) bool {
	d := pick(w.dispatchers, fault)
	duration := 5*time.Second + fault.Duration
	for _, c := range w.controls {
		out, in := [2]string{d.name, c.name}, [2]string{c.name, d.name}
		w.network.cutLinks[out], w.network.cutLinks[in] = true, true
		w.clock.after(duration, func() {
			delete(w.network.cutLinks, out)
			delete(w.network.cutLinks, in)
		})
	}
	return d.alive
}

func injectDispatcherStops(w *World, fault Fault) bool {
	d := pick(w.dispatchers, fault)
	if !d.alive || d.session.draining {
		return false
	}
	generation := d.generation
	kill := func() {
		if d.alive && d.generation == generation {
			w.killDispatcher(d)
			w.clock.after(fault.Duration, d.start)
		}
	}
	if w.mutation == MutationNoGracefulStop {
		kill()
		return true
	}
	d.stop(kill)
	return true
}

// killGateway ends a gateway and breaks its streams.
func (w *World) killGateway(g *gatewayProcess) {
	g.alive = false
	for _, onDisconnect := range g.streams {
		w.clock.after(disconnectDelay, onDisconnect)
	}
	g.streams = nil
}

func injectGatewayKilled(w *World, fault Fault) bool {
	g := pick(w.gateways, fault)
	if !g.alive {
		return false
	}
	w.killGateway(g)
	w.clock.after(fault.Duration, g.start)
	return true
}

func injectGatewayFreezes(w *World, fault Fault) bool {
	return w.freeze(&pick(w.gateways, fault).process, fault.Duration)
}

func injectGatewayCut(w *World, fault Fault) bool {
	return w.isolate(&pick(w.gateways, fault).process, fault.Duration, fault.Target%3 == 0)
}

func injectGatewayStops(w *World, fault Fault) bool {
	g := pick(w.gateways, fault)
	if !g.alive || g.stopping {
		return false
	}
	generation := g.generation
	kill := func() {
		if g.alive && g.generation == generation {
			w.killGateway(g)
			w.clock.after(fault.Duration, g.start)
		}
	}
	if w.mutation == MutationNoGracefulStop {
		kill()
		return true
	}
	g.stop(kill)
	return true
}

// injectZoneDispatchersLost kills all dispatchers of one zone for good, so that their workers have
// no owner.
func injectZoneDispatchersLost(w *World, fault Fault) bool {
	for _, d := range w.dispatchers {
		if d.zone == fault.Target%w.profile.Zones && d.alive {
			w.killDispatcher(d)
		}
	}
	return true
}

// injectZoneLost removes all processes of one zone for good.
func injectZoneLost(w *World, fault Fault) bool {
	zone := fault.Target % w.profile.Zones
	for _, e := range w.engines {
		if e.zone == zone {
			w.killEngine(e)
		}
	}
	for _, d := range w.dispatchers {
		if d.zone == zone && d.alive {
			w.killDispatcher(d)
		}
	}
	for _, g := range w.gateways {
		if g.zone == zone && g.alive {
			w.killGateway(g)
		}
	}
	for _, c := range w.controls {
		if c.zone == zone && c.alive {
			w.killControl(c, true)
			c.removed = true
		}
	}
	return true
}

func injectPlatformContradicts(w *World, fault Fault) bool {
	w.platform.inconsistentUntil = w.clock.now.Add(fault.Duration)
	return true
}
