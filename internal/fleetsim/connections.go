package fleetsim

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/connlimit"
)

const (
	// Between lopsidedFrom and lopsidedUntil most new connections go to one edge, with one request
	// each. requestCost is the processor time of a request there, more than the edge has for all.
	lopsidedFrom     = serveCheckFrom + 2*time.Second
	lopsidedUntil    = lopsidedFrom + 3*time.Second
	lopsidedInterval = 2 * time.Millisecond
	requestCost      = 5 * time.Millisecond
	lagInterval      = 50 * time.Millisecond
	// requestGoal is the time within which a request must be handled. From lopsidedSettleTime on, at
	// least minServedPercent of the requests that were read must be.
	requestGoal        = 250 * time.Millisecond
	lopsidedSettleTime = time.Second
	minServedPercent   = 75
)

// processorLoad is what an edge's processor has to do, and what became of the requests of new
// connections.
type processorLoad struct {
	limiter      *connlimit.Limiter
	busyUntil    time.Time
	read, served int
}

// startLopsidedConnections sends most new connections to one edge for a while.
func (w *World) startLopsidedConnections() {
	w.after(lopsidedFrom, func() {
		e := w.edges[w.partRandom.IntN(len(w.edges))]
		load := &processorLoad{limiter: connlimit.New(0), busyUntil: w.now}
		w.log("most new connections go to %s", e.name)
		during := func() bool { return w.now.Sub(startTime) < lopsidedUntil }
		w.every(lopsidedInterval, func() bool {
			load.connect(w)
			return during()
		})
		w.every(lagInterval, func() bool {
			lag := max(load.busyUntil.Sub(w.now), 0)
			w.after(lag, func() { load.limiter.ObserveLag(lag) })
			return during()
		})
		w.after(lopsidedUntil-lopsidedFrom, func() {
			if load.served*100 < load.read*minServedPercent || load.read == 0 {
				w.ledger.recordViolation("%s, which gets most new connections, handles %d of the %d requests that it read in time", e.name, load.served, load.read)
			}
		})
	})
}

// connect handles a new connection and its request.
func (l *processorLoad) connect(w *World) {
	if l.limiter.Accept(w.now, nil) == nil && w.mutation != MutationNoConnectionLimit {
		return
	}
	if l.busyUntil.Before(w.now) {
		l.busyUntil = w.now
	}
	l.busyUntil = l.busyUntil.Add(requestCost)
	if w.now.Sub(startTime) < lopsidedFrom+lopsidedSettleTime {
		return
	}
	l.read++
	if l.busyUntil.Sub(w.now) <= requestGoal {
		l.served++
	}
}
