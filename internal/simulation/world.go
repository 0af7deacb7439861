package simulation

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
)

// event is something that will happen.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// eventQueue orders events by time, and by their making where times are equal.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(a, b int) bool {
	if q[a].at.Equal(q[b].at) {
		return q[a].sequence < q[b].sequence
	}
	return q[a].at.Before(q[b].at)
}
func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

// Push implements heap.Interface.
func (q *eventQueue) Push(value any) { *q = append(*q, value.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return popped
}

// clock is virtual time with the events to come.
type clock struct {
	now      time.Time
	queue    eventQueue
	sequence uint64
}

// epoch is the moment at which every simulation begins.
var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func (c *clock) after(delay time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, event{at: c.now.Add(max(delay, 0)), sequence: c.sequence, run: run})
}

// runUntil runs events until the moment given, or until stop says so.
func (c *clock) runUntil(until time.Time, stop func() bool) {
	for len(c.queue) > 0 && !c.queue[0].at.After(until) && !stop() {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.run()
	}
	if !stop() {
		c.now = until
	}
}

// process is one simulated process. Its events are lost when it dies and wait
// while it is frozen.
type process struct {
	name        string
	zone        int
	alive       bool
	life        int
	frozenUntil time.Time
}

// latencies of one way, by where the two ends are.
type latencies struct {
	sameZone  time.Duration
	otherZone time.Duration
	client    time.Duration
	jitter    time.Duration
}

// retransmission is what the loss of a packet costs on a connection.
const retransmission = 200 * time.Millisecond

// network carries messages between processes.
type network struct {
	latencies latencies
	loss      float64
	cut       map[[2]string]bool
	random    *rand.Rand
}

// clientZone marks callers, who are outside every zone.
const clientZone = -1

func (n *network) delay(from, to *process) time.Duration {
	base := n.latencies.otherZone
	switch {
	case from.zone == clientZone || to.zone == clientZone:
		base = n.latencies.client
	case from.zone == to.zone:
		base = n.latencies.sameZone
	}
	delay := base + time.Duration(n.random.ExpFloat64()*float64(n.latencies.jitter))
	if n.random.Float64() < n.loss {
		delay += retransmission
	}
	return delay
}

func (n *network) drops(from, to *process) bool {
	return n.cut[[2]string{from.name, to.name}]
}

// timer runs an action in a process after a delay, unless it has died.
func (w *World) timer(p *process, delay time.Duration, run func()) {
	life := p.life
	w.clock.after(delay, func() { w.enter(p, life, run) })
}

// enter runs an action in a process: later if it is frozen, not at all if it is
// no longer the same process.
func (w *World) enter(p *process, life int, run func()) {
	switch {
	case !p.alive || p.life != life:
	case w.clock.now.Before(p.frozenUntil):
		w.clock.after(p.frozenUntil.Sub(w.clock.now), func() { w.enter(p, life, run) })
	default:
		run()
	}
}

// every runs an action in a process again and again.
func (w *World) every(p *process, interval time.Duration, run func()) {
	w.timer(p, interval, func() {
		run()
		w.every(p, interval, run)
	})
}

// transmit sends a message. refused, if it is set, runs at the sender when
// nobody listens at the other end.
func (w *World) transmit(from, to *process, deliver, refused func()) {
	if w.network.drops(from, to) {
		return
	}
	w.clock.after(w.network.delay(from, to), func() {
		if to.alive {
			w.enter(to, to.life, deliver)
			return
		}
		if refused != nil && !w.network.drops(to, from) {
			w.timer(from, w.network.delay(to, from), refused)
		}
	})
}

// reply ends a call with an answer or a failure.
type reply[Answer any] func(answer Answer, err error)

// call makes a call from one process to another. done runs once: with the
// answer, with NotRun if nobody listens, or with OutcomeUnknown after timeout.
func call[Answer any](w *World, from, to *process, timeout time.Duration, serve func(reply[Answer]), done reply[Answer]) {
	finished := false
	finish := func(answer Answer, err error) {
		if !finished {
			finished = true
			done(answer, err)
		}
	}
	var none Answer
	w.timer(from, timeout, func() {
		finish(none, failure.New(failure.OutcomeUnknown, "ask again for the state", "no answer from %s in time", to.name))
	})
	w.transmit(from, to, func() {
		serve(func(answer Answer, err error) {
			w.transmit(to, from, func() { finish(answer, err) }, nil)
		})
	}, func() {
		finish(none, failure.New(failure.NotRun, "try another peer", "no connection to %s", to.name))
	})
}
