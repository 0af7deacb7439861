package simulation

import "time"

// connection carries messages one way in order, as an open TCP connection does:
// while the link is cut they wait to be sent again.
type connection struct {
	world    *World
	from, to *process
	// fromLife and toLife are the lives of the two processes; the connection
	// does not outlive them.
	fromLife, toLife int
	waiting          []func()
	retrying         bool
	lastDue          time.Time
}

func (w *World) connect(from, to *process) *connection {
	return &connection{world: w, from: from, to: to, fromLife: from.life, toLife: to.life}
}

// send delivers a message after those sent before it.
func (c *connection) send(deliver func()) {
	c.waiting = append(c.waiting, deliver)
	c.pump()
}

// delayUntil holds back what is sent from now on.
func (c *connection) delayUntil(moment time.Time) {
	if c.lastDue.Before(moment) {
		c.lastDue = moment
	}
}

func (c *connection) pump() {
	w := c.world
	if !c.from.alive || c.from.life != c.fromLife {
		c.waiting = nil
		return
	}
	for len(c.waiting) > 0 && !c.retrying {
		if w.network.drops(c.from, c.to) {
			c.retrying = true
			w.clock.after(retransmission, func() {
				c.retrying = false
				c.pump()
			})
			return
		}
		deliver := c.waiting[0]
		c.waiting = c.waiting[1:]
		due := w.clock.now.Add(w.network.delay(c.from, c.to))
		if due.Before(c.lastDue) {
			due = c.lastDue
		}
		c.lastDue = due
		w.clock.after(due.Sub(w.clock.now), func() { w.enter(c.to, c.toLife, deliver) })
	}
}
