package simulation

import (
	"time"
)

func (w *World) killEngine(e *engineProcess) {
	e.breakStreams()
	e.alive = false
	delete(w.ledger.leavingAt, e.name)
}

func strikeWorkerDies(w *World, fault Fault) bool {
	e := pick(w.engines, fault)
	if !e.alive {
		return false
	}
	w.killEngine(e)
	w.clock.after(fault.Duration, e.start)
	return true
}

func strikeWorkerFreezes(w *World, fault Fault) bool {
	return w.freeze(&pick(w.engines, fault).process, fault.Duration)
}

func strikeWorkerLeaves(w *World, fault Fault) bool {
	e := pick(w.engines, fault)
	if !e.alive || e.leaving {
		return false
	}
	e.leaving = true
	w.ledger.leavingAt[e.name] = w.clock.now
	w.clock.after(leavingBound+fault.Duration, func() {
		if e.alive && e.leaving {
			w.killEngine(e)
			w.clock.after(time.Second, e.start)
		}
	})
	return true
}

func strikeLate(w *World, fault Fault) bool {
	pick(w.engines, fault).lateUntil = w.clock.now.Add(fault.Duration)
	return true
}

func strikeCrossed(w *World, fault Fault) bool {
	pick(w.engines, fault).crossedUntil = w.clock.now.Add(fault.Duration)
	return true
}

func strikeTwice(w *World, fault Fault) bool {
	pick(w.engines, fault).twiceUntil = w.clock.now.Add(fault.Duration)
	return true
}

func strikeStreamsCut(w *World, fault Fault) bool {
	e := pick(w.engines, fault)
	if !e.alive || e.model.Idle() {
		return false
	}
	e.breakStreams()
	return true
}

func (w *World) killDispatcher(d *dispatcherProcess) {
	d.alive = false
	for _, broken := range d.streams {
		w.clock.after(breakNoticeTime, broken)
	}
	d.streams = nil
	for name := range d.workers {
		if e := w.engineByName(name); e.alive && d.workers[name].claimed && !e.leaving && e.fence == d.workers[name].assignment.Epoch {
			w.ledger.timings.orphaned(w.clock.now, name)
		}
	}
}

func strikeDispatcherKilled(w *World, fault Fault) bool {
	d := pick(w.dispatchers, fault)
	if !d.alive {
		return false
	}
	w.killDispatcher(d)
	w.clock.after(fault.Duration, d.start)
	return true
}

func strikeDispatcherFreezes(w *World, fault Fault) bool {
	return w.freeze(&pick(w.dispatchers, fault).process, fault.Duration)
}

func strikeDispatcherCut(w *World, fault Fault) bool {
	return w.cutOff(&pick(w.dispatchers, fault).process, fault.Duration, fault.Target%3 == 0)
}

func strikeDispatcherLostControl(w *World, fault Fault) bool {
	d := pick(w.dispatchers, fault)
	length := 5*time.Second + fault.Duration
	for _, c := range w.controls {
		out, in := [2]string{d.name, c.name}, [2]string{c.name, d.name}
		w.network.cut[out], w.network.cut[in] = true, true
		w.clock.after(length, func() {
			delete(w.network.cut, out)
			delete(w.network.cut, in)
		})
	}
	return d.alive
}

func strikeDispatcherStops(w *World, fault Fault) bool {
	d := pick(w.dispatchers, fault)
	if !d.alive || d.session.draining {
		return false
	}
	life := d.life
	end := func() {
		if d.alive && d.life == life {
			w.killDispatcher(d)
			w.clock.after(fault.Duration, d.start)
		}
	}
	if w.mutation == MutationNoGracefulStop {
		end()
		return true
	}
	d.stop(end)
	return true
}

func (w *World) killGateway(g *gatewayProcess) {
	g.alive = false
	for _, broken := range g.streams {
		w.clock.after(breakNoticeTime, broken)
	}
	g.streams = nil
}

func strikeGatewayKilled(w *World, fault Fault) bool {
	g := pick(w.gateways, fault)
	if !g.alive {
		return false
	}
	w.killGateway(g)
	w.clock.after(fault.Duration, g.start)
	return true
}

func strikeGatewayFreezes(w *World, fault Fault) bool {
	return w.freeze(&pick(w.gateways, fault).process, fault.Duration)
}

func strikeGatewayCut(w *World, fault Fault) bool {
	return w.cutOff(&pick(w.gateways, fault).process, fault.Duration, fault.Target%3 == 0)
}

func strikeGatewayStops(w *World, fault Fault) bool {
	g := pick(w.gateways, fault)
	if !g.alive || g.stopping {
		return false
	}
	life := g.life
	end := func() {
		if g.alive && g.life == life {
			w.killGateway(g)
			w.clock.after(fault.Duration, g.start)
		}
	}
	if w.mutation == MutationNoGracefulStop {
		end()
		return true
	}
	g.stop(end)
	return true
}

func strikeZoneDispatchersLost(w *World, fault Fault) bool {
	for _, d := range w.dispatchers {
		if d.zone == fault.Target%w.profile.Zones && d.alive {
			w.killDispatcher(d)
		}
	}
	return true
}

func strikeZoneLost(w *World, fault Fault) bool {
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
			c.gone = true
		}
	}
	return true
}

func strikePlatform(w *World, fault Fault) bool {
	w.platform.contradictUntil = w.clock.now.Add(fault.Duration)
	return true
}
