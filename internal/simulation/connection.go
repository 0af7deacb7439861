package simulation

import "time"

// connection carries messages in one direction and in order, like an open TCP connection: while the
// link is cut, messages wait for retransmission.
type connection struct {
	world    *World
	from, to *process
	// fromGeneration and toGeneration are the generations of the two processes when they connected.
	// The connection ends when either process does.
	fromGeneration, toGeneration int
	pending                      []func()
	retrying                     bool
	lastDelivery                 time.Time
}

// connect opens a connection between the processes as they run now.
func (w *World) connect(from, to *process) *connection {
	return &connection{world: w, from: from, to: to, fromGeneration: from.generation, toGeneration: to.generation}
}

// send queues a message. Messages are delivered in the order in which they were sent.
func (c *connection) send(deliver func()) {
	c.pending = append(c.pending, deliver)
	c.transmitPending()
}

// delayUntil delivers messages sent from now on no earlier than at the moment given.
func (c *connection) delayUntil(moment time.Time) {
	if c.lastDelivery.Before(moment) {
		c.lastDelivery = moment
	}
}

// transmitPending starts the delivery of the queued messages, or retries later if the link is cut.
func (c *connection) transmitPending() {
	w := c.world
	if !c.from.alive || c.from.generation != c.fromGeneration {
		c.pending = nil
		return
	}
	for len(c.pending) > 0 && !c.retrying {
		if w.network.isCut(c.from, c.to) {
			c.retrying = true
			w.clock.after(retransmitDelay, func() {
				c.retrying = false
				c.transmitPending()
			})
			return
		}
		deliver := c.pending[0]
		c.pending = c.pending[1:]
		deliverAt := w.clock.now.Add(w.network.delay(c.from, c.to))
		if deliverAt.Before(c.lastDelivery) {
			deliverAt = c.lastDelivery
		}
		c.lastDelivery = deliverAt
		w.clock.after(deliverAt.Sub(w.clock.now), func() { w.enter(c.to, c.toGeneration, deliver) })
	}
}
