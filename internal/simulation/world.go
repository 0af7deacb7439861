package simulation

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
)

// event is an action that is due at a moment of virtual time.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// eventQueue orders events by time, and events of the same time by the order in which they were
// added.
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

// clock holds the virtual time and the events that are due.
type clock struct {
	now      time.Time
	queue    eventQueue
	sequence uint64
}

// simulationStart is the virtual time at which every run begins.
var simulationStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// after adds an event that is due after a delay; a negative delay counts as zero.
func (c *clock) after(delay time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, event{at: c.now.Add(max(delay, 0)), sequence: c.sequence, run: run})
}

// runUntil runs the events that are due by a moment, or fewer if stop returns true.
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

// process is one simulated process. Its events are dropped when it ends and delayed while it is
// frozen. generation counts the starts of the process.
type process struct {
	name        string
	zone        int
	alive       bool
	generation  int
	frozenUntil time.Time
}

// latencies holds one-way latencies by the location of the two ends, and the mean of the jitter.
type latencies struct {
	sameZone  time.Duration
	otherZone time.Duration
	client    time.Duration
	jitter    time.Duration
}

// retransmitDelay is the delay that the loss of a packet adds.
const retransmitDelay = 200 * time.Millisecond

// network models latency, loss of packets and cut links. A key of cutLinks names sender and
// receiver.
type network struct {
	latencies latencies
	loss      float64
	cutLinks  map[[2]string]bool
	random    *rand.Rand
}

// clientZone is the zone of callers, which are outside every zone.
const clientZone = -1

// delay returns a random one-way latency for a message.
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
		delay += retransmitDelay
	}
	return delay
}

// isCut reports whether the link is cut in this direction.
func (n *network) isCut(from, to *process) bool {
	return n.cutLinks[[2]string{from.name, to.name}]
}

// timer runs an action in a process after a delay, unless the process has ended since.
func (w *World) timer(p *process, delay time.Duration, run func()) {
	generation := p.generation
	w.clock.after(delay, func() { w.enter(p, generation, run) })
}

// enter runs an action in a process. A frozen process runs it when it thaws; a process that has
// ended or restarted since doesn't run it.
func (w *World) enter(p *process, generation int, run func()) {
	switch {
	case !p.alive || p.generation != generation:
	case w.clock.now.Before(p.frozenUntil):
		w.clock.after(p.frozenUntil.Sub(w.clock.now), func() { w.enter(p, generation, run) })
	default:
		run()
	}
}

// every runs an action in a process at an interval, until the process ends.
func (w *World) every(p *process, interval time.Duration, run func()) {
	w.timer(p, interval, func() {
		run()
		w.every(p, interval, run)
	})
}

// transmit sends a message, which is lost if the link is cut. onRefused, if set, runs at the sender
// if no process listens at the other end.
func (w *World) transmit(from, to *process, deliver, onRefused func()) {
	if w.network.isCut(from, to) {
		return
	}
	w.clock.after(w.network.delay(from, to), func() {
		if to.alive {
			w.enter(to, to.generation, deliver)
			return
		}
		if onRefused != nil && !w.network.isCut(to, from) {
			w.timer(from, w.network.delay(to, from), onRefused)
		}
	})
}

// reply receives the answer or the failure of a call.
type reply[Answer any] func(answer Answer, err error)

// call makes a call from one process to another. done runs at most once: with the answer, with
// NotRun if no process listens, or with OutcomeUnknown after the timeout.
func call[Answer any](w *World, from, to *process, timeout time.Duration, serve func(reply[Answer]), done reply[Answer]) {
	finished := false
	finish := func(answer Answer, err error) {
		if !finished {
			finished = true
			done(answer, err)
		}
	}
	var zero Answer
	w.timer(from, timeout, func() {
		finish(zero, failure.New(failure.OutcomeUnknown, "ask again for the state", "no answer from %s in time", to.name))
	})
	w.transmit(from, to, func() {
		serve(func(answer Answer, err error) {
			w.transmit(to, from, func() { finish(answer, err) }, nil)
		})
	}, func() {
		finish(zero, failure.New(failure.NotRun, "try another peer", "no connection to %s", to.name))
	})
}
