package simulation

import (
	"fmt"
	"time"

	"github.com/sedgemast/sedgemast/internal/consensus"
)

// recordLeaderLoss records the groups that lose their leader when the process fails.
func (w *World) recordLeaderLoss(c *controlProcess) {
	if c.node == nil {
		return
	}
	for group, status := range c.node.Statuses(w.clock.now) {
		if status.Role == consensus.Leader {
			w.ledger.timings.leaderLost(w.clock.now, group, status.Term)
		}
	}
}

// killControl ends a control process. Its disk keeps the synced writes and a random number of the
// unsynced ones, or nothing if it is erased.
func (w *World) killControl(c *controlProcess, eraseDisk bool) {
	if !c.alive {
		return
	}
	w.recordLeaderLoss(c)
	c.alive = false
	if eraseDisk {
		c.disk = newDisk()
	} else {
		c.disk = c.disk.crash(w.random)
	}
	w.applyDiskMutation(c.disk)
}

// applyDiskMutation applies the mutation of the run if it concerns disks.
func (w *World) applyDiskMutation(d *disk) {
	d.skipsSync = w.mutation == MutationNoSync
}

func (w *World) restartControl(c *controlProcess, delay time.Duration) {
	w.clock.after(delay, func() {
		if !c.alive && !c.removed {
			c.start()
		}
	})
}

func injectControlKilled(w *World, fault Fault) bool {
	return w.killAndRestartControl(pick(w.controls, fault), fault.Duration)
}

// killAndRestartControl kills a control process and restarts it on its disk after a delay.
func (w *World) killAndRestartControl(c *controlProcess, delay time.Duration) bool {
	if c == nil || !c.alive {
		return false
	}
	w.killControl(c, false)
	w.restartControl(c, delay)
	return true
}

// metaLeaderProcess returns the control process that leads the meta group, or nil. If several
// claim to lead, the one with the highest term is returned.
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

func injectLeaderKilled(w *World, fault Fault) bool {
	return w.killAndRestartControl(w.metaLeaderProcess(), fault.Duration)
}

// injectMajorityKilled kills enough control processes that no group can have a leader.
func injectMajorityKilled(w *World, fault Fault) bool {
	injected := false
	for number := 0; number < majorityKills; number++ {
		if w.killAndRestartControl(w.controls[(fault.Target+number)%controlCount], fault.Duration) {
			injected = true
		}
	}
	return injected
}

// majorityKills is how many of the six control processes must fail to leave no majority of the five
// voters, whichever process is the spare.
const majorityKills = 4

// injectControlTorn makes a disk lose power in the middle of one of its next writes.
func injectControlTorn(w *World, fault Fault) bool {
	c := pick(w.controls, fault)
	if !c.alive {
		return false
	}
	c.disk.writesToPowerLoss = fault.Target % 7
	return true
}

func injectControlFreezes(w *World, fault Fault) bool {
	c := pick(w.controls, fault)
	if !w.freeze(&c.process, fault.Duration) {
		return false
	}
	w.recordLeaderLoss(c)
	return true
}

func injectControlCut(w *World, fault Fault) bool {
	c := pick(w.controls, fault)
	w.recordLeaderLoss(c)
	return w.isolate(&c.process, fault.Duration, false)
}

func injectControlCutOneWay(w *World, fault Fault) bool {
	return w.isolate(&pick(w.controls, fault).process, fault.Duration, true)
}

func injectLeaderCut(w *World, fault Fault) bool {
	c := w.metaLeaderProcess()
	if c == nil {
		return false
	}
	w.recordLeaderLoss(c)
	return w.isolate(&c.process, fault.Duration, fault.Target%2 == 0)
}

func injectDiskLost(w *World, fault Fault) bool {
	c := pick(w.controls, fault)
	if !c.alive {
		return false
	}
	w.killControl(c, true)
	w.restartControl(c, fault.Duration)
	return true
}

func injectControlLost(w *World, fault Fault) bool {
	c := pick(w.controls, fault)
	if !c.alive {
		return false
	}
	w.killControl(c, true)
	c.removed = true
	return true
}

// injectSecondLoss erases the disk of one voter, and later the disk of a second voter. For an odd
// target, the second loss comes as soon as the meta group has been repaired. For an even target it
// comes earlier: as soon as the group's membership is changing.
func injectSecondLoss(w *World, fault Fault) bool {
	first := pick(w.controls, fault)
	if !first.alive || first == w.controls[controlCount-1] {
		return false
	}
	lost := first.node.ID()
	w.killControl(first, true)
	w.restartControl(first, fault.Duration)
	duringRepair := fault.Target%2 == 0
	var pollRepair func()
	pollRepair = func() {
		leader := w.metaLeaderProcess()
		if leader == nil || w.clock.now.After(w.recoveryDeadline) {
			if !w.clock.now.After(w.recoveryDeadline) {
				w.clock.after(repairPoll, pollRepair)
			}
			return
		}
		status := leader.node.Statuses(w.clock.now)[0]
		repaired := status.MembershipStable && !consensus.IsVoter(&status.Membership, lost)
		if repaired || (duringRepair && !status.MembershipStable) {
			second := w.controlByName(status.Membership.Voters[fault.Target%len(status.Membership.Voters)].Address)
			if second.alive {
				w.killControl(second, true)
				w.restartControl(second, fault.Duration)
			}
			return
		}
		w.clock.after(repairPoll, pollRepair)
	}
	w.clock.after(repairPoll, pollRepair)
	return true
}

// injectRollingLoss erases one disk after another. Before it erases the next disk, it waits until
// all groups have been repaired from the loss of the disk before.
func injectRollingLoss(w *World, fault Fault) bool {
	var loseNext func(remaining int)
	loseNext = func(remaining int) {
		c := w.controls[(fault.Target+remaining)%controlCount]
		if remaining == 0 || !c.alive {
			return
		}
		lost := c.node.ID()
		w.killControl(c, true)
		w.restartControl(c, rollingRestart)
		w.whenRepaired(lost, c, func() { loseNext(remaining - 1) })
	}
	loseNext(rollingLosses)
	return true
}

const (
	rollingLosses  = 4
	rollingRestart = 200 * time.Millisecond
)

// whenRepaired calls then once the process runs again and no group has the lost replica as a voter
// any more. It doesn't wait for the groups if the process came back with the lost identity, as under
// MutationKeepIdentity, and it gives up at the recovery deadline.
func (w *World) whenRepaired(lost uint64, c *controlProcess, then func()) {
	if w.clock.now.After(w.recoveryDeadline) {
		return
	}
	if c.alive && (c.node.ID() == lost || w.replicaRemoved(lost)) {
		w.clock.after(repairPoll, then)
		return
	}
	w.clock.after(repairPoll, func() { w.whenRepaired(lost, c, then) })
}

// replicaRemoved reports whether every group has a leader with a stable membership in which the
// replica is no voter.
func (w *World) replicaRemoved(id uint64) bool {
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

// injectControlStops is a planned stop: the process transfers its leadership before it ends.
func injectControlStops(w *World, fault Fault) bool {
	c := pick(w.controls, fault)
	if !c.alive {
		return false
	}
	deadline := w.clock.now.Add(3 * time.Second)
	var transferAndStop func()
	transferAndStop = func() {
		done := true
		c.runOnNode(func() { done = c.node.TransferAllLeadership(w.clock.now) })
		if !done && w.clock.now.Before(deadline) {
			w.timer(&c.process, tickInterval, transferAndStop)
			return
		}
		w.killControl(c, false)
		w.restartControl(c, fault.Duration)
	}
	transferAndStop()
	return true
}

// injectOperatorsRace sends pairs of changes. The two changes of a pair are sent at the same time,
// so that they are most likely based on the same revision.
func injectOperatorsRace(w *World, fault Fault) bool {
	for i := 0; i < raceChanges; i++ {
		w.clock.after(time.Duration(i/2)*50*time.Millisecond, func() {
			w.raceCount++
			w.applyChange(w.newCaller(fmt.Sprintf("racer%d", w.raceCount)), fmt.Sprintf("race-%d", w.raceCount), 1+w.raceCount%10)
		})
	}
	return true
}

// maxAbsence bounds how long the processes that miss revisions stay down.
const maxAbsence = 12 * time.Second

// injectMissedRevisions stops a control process and a gateway while hundreds of changes commit,
// then restarts them.
func injectMissedRevisions(w *World, fault Fault) bool {
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
	var changeNext func()
	changeNext = func() {
		if count >= missed || restarted {
			restart()
			return
		}
		count++
		w.raceCount++
		w.applyChangeThen(p, fmt.Sprintf("bulk-%d", w.raceCount), 1+w.raceCount%10, changeNext)
	}
	changeNext()
	w.clock.after(maxAbsence, restart)
	return true
}
