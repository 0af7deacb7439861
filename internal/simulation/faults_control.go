package simulation

import (
	"fmt"
	"time"

	"github.com/sedgemast/sedgemast/internal/consensus"
)

func (w *World) noteLeaders(c *controlProcess) {
	if c.node == nil {
		return
	}
	for group, status := range c.node.Statuses(w.clock.now) {
		if status.Role == consensus.Leader {
			w.ledger.timings.leaderLost(w.clock.now, group, status.Term)
		}
	}
}

func (w *World) killControl(c *controlProcess, emptied bool) {
	if !c.alive {
		return
	}
	w.noteLeaders(c)
	c.alive = false
	if emptied {
		c.disk = newDisk()
	} else {
		c.disk = c.disk.crash(w.random)
	}
	w.prepareDisk(c.disk)
}

func (w *World) prepareDisk(d *disk) {
	d.forgetful = w.mutation == MutationNoSync
}

func (w *World) restartControl(c *controlProcess, after time.Duration) {
	w.clock.after(after, func() {
		if !c.alive && !c.gone {
			c.start()
		}
	})
}

func strikeControlKilled(w *World, fault Fault) bool {
	return w.bounceControl(pick(w.controls, fault), fault.Duration)
}

func (w *World) bounceControl(c *controlProcess, length time.Duration) bool {
	if c == nil || !c.alive {
		return false
	}
	w.killControl(c, false)
	w.restartControl(c, length)
	return true
}

func (w *World) metaLeaderProcess() *controlProcess {
	var leader *controlProcess
	highest := uint64(0)
	for _, c := range w.controls {
		if !c.alive {
			continue
		}
		status := c.node.Statuses(w.clock.now)[0]
		if status.Role == consensus.Leader && status.Term > highest {
			leader, highest = c, status.Term
		}
	}
	return leader
}

func strikeLeaderKilled(w *World, fault Fault) bool {
	return w.bounceControl(w.metaLeaderProcess(), fault.Duration)
}

func strikeMajorityKilled(w *World, fault Fault) bool {
	struck := false
	for number := 0; number < majorityLoss; number++ {
		if w.bounceControl(w.controls[(fault.Target+number)%controlCount], fault.Duration) {
			struck = true
		}
	}
	return struck
}

const majorityLoss = 4

func strikeControlTorn(w *World, fault Fault) bool {
	c := pick(w.controls, fault)
	if !c.alive {
		return false
	}
	c.disk.breakAfter = fault.Target % 7
	return true
}

func strikeControlFreezes(w *World, fault Fault) bool {
	c := pick(w.controls, fault)
	if !w.freeze(&c.process, fault.Duration) {
		return false
	}
	w.noteLeaders(c)
	return true
}

func strikeControlCut(w *World, fault Fault) bool {
	c := pick(w.controls, fault)
	w.noteLeaders(c)
	return w.cutOff(&c.process, fault.Duration, false)
}

func strikeControlCutOneWay(w *World, fault Fault) bool {
	return w.cutOff(&pick(w.controls, fault).process, fault.Duration, true)
}

func strikeLeaderCut(w *World, fault Fault) bool {
	c := w.metaLeaderProcess()
	if c == nil {
		return false
	}
	w.noteLeaders(c)
	return w.cutOff(&c.process, fault.Duration, fault.Target%2 == 0)
}

func strikeDiskLost(w *World, fault Fault) bool {
	c := pick(w.controls, fault)
	if !c.alive {
		return false
	}
	w.killControl(c, true)
	w.restartControl(c, fault.Duration)
	return true
}

func strikeControlLost(w *World, fault Fault) bool {
	c := pick(w.controls, fault)
	if !c.alive {
		return false
	}
	w.killControl(c, true)
	c.gone = true
	return true
}

func strikeSecondLoss(w *World, fault Fault) bool {
	first := pick(w.controls, fault)
	if !first.alive || first == w.controls[controlCount-1] {
		return false
	}
	lost := first.node.ID()
	w.killControl(first, true)
	w.restartControl(first, fault.Duration)
	during := fault.Target%2 == 0
	var watch func()
	watch = func() {
		leader := w.metaLeaderProcess()
		if leader == nil || w.clock.now.After(w.settleEnd) {
			if !w.clock.now.After(w.settleEnd) {
				w.clock.after(secondLossSearch, watch)
			}
			return
		}
		status := leader.node.Statuses(w.clock.now)[0]
		repaired := status.MembershipStable && !consensus.IsVoter(&status.Membership, lost)
		if repaired || (during && !status.MembershipStable) {
			second := w.controlByName(status.Membership.Voters[fault.Target%len(status.Membership.Voters)].Address)
			if second.alive {
				w.killControl(second, true)
				w.restartControl(second, fault.Duration)
			}
			return
		}
		w.clock.after(secondLossSearch, watch)
	}
	w.clock.after(secondLossSearch, watch)
	return true
}

func strikeRollingLoss(w *World, fault Fault) bool {
	var next func(left int)
	next = func(left int) {
		c := w.controls[(fault.Target+left)%controlCount]
		if left == 0 || !c.alive {
			return
		}
		lost := c.node.ID()
		w.killControl(c, true)
		w.restartControl(c, rollingRestart)
		w.whenRepaired(lost, c, func() { next(left - 1) })
	}
	next(rollingLosses)
	return true
}

const (
	rollingLosses  = 4
	rollingRestart = 200 * time.Millisecond
)

func (w *World) whenRepaired(lost uint64, c *controlProcess, then func()) {
	if w.clock.now.After(w.settleEnd) {
		return
	}
	if c.alive && (c.node.ID() == lost || w.forgotten(lost)) {
		w.clock.after(secondLossSearch, then)
		return
	}
	w.clock.after(secondLossSearch, func() { w.whenRepaired(lost, c, then) })
}

func (w *World) forgotten(id uint64) bool {
	for group := 0; group <= jobGroups; group++ {
		found := false
		for _, c := range w.controls {
			if !c.alive {
				continue
			}
			status := c.node.Statuses(w.clock.now)[group]
			if status.Role == consensus.Leader && status.MembershipStable && !consensus.IsVoter(&status.Membership, id) {
				found = true
			}
		}
		if !found {
			return false
		}
	}
	return true
}

func strikeControlStops(w *World, fault Fault) bool {
	c := pick(w.controls, fault)
	if !c.alive {
		return false
	}
	deadline := w.clock.now.Add(3 * time.Second)
	var wait func()
	wait = func() {
		done := true
		c.drive(func() { done = c.node.TransferAllLeadership(w.clock.now) })
		if !done && w.clock.now.Before(deadline) {
			w.timer(&c.process, tickInterval, wait)
			return
		}
		w.killControl(c, false)
		w.restartControl(c, fault.Duration)
	}
	wait()
	return true
}

func strikeOperators(w *World, fault Fault) bool {
	for i := 0; i < changesInARow; i++ {
		w.clock.after(time.Duration(i/2)*50*time.Millisecond, func() {
			w.races++
			w.change(w.newCaller(fmt.Sprintf("racer%d", w.races)), fmt.Sprintf("race-%d", w.races), 1+w.races%10)
		})
	}
	return true
}

const maxMissing = 12 * time.Second

func strikeMissedRevisions(w *World, fault Fault) bool {
	c, g := pick(w.controls, fault), pick(w.gateways, fault)
	if !c.alive || !g.alive {
		return false
	}
	w.killControl(c, false)
	w.killGateway(g)
	const missed = 500
	p := w.newCaller("automation")
	count := 0
	restarted := false
	restart := func() {
		if restarted {
			return
		}
		restarted = true
		w.restartControl(c, 0)
		if !g.alive {
			g.start()
		}
	}
	var next func()
	next = func() {
		if count >= missed || restarted {
			restart()
			return
		}
		count++
		w.races++
		w.changeThen(p, fmt.Sprintf("bulk-%d", w.races), 1+w.races%10, next)
	}
	next()
	w.clock.after(maxMissing, restart)
	return true
}
