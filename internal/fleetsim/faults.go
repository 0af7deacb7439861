package fleetsim

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/origin"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// repairTime is how long the groups get to replace a lost disk after its machine has restarted.
const repairTime = 5 * time.Second

// startFaults schedules the faults of machines.
func (w *World) startFaults() {
	w.after(faultsFrom, w.nextFault)
	w.after(faultsFrom, w.nextSuspension)
}

// nextSuspension suspends a machine, beside the other faults, and schedules the next suspension. In
// two of three cases it suspends the leading coordinator, if one runs, because a clock that stopped
// during the suspension would prolong the leader's lease.
func (w *World) nextSuspension() {
	if w.now.Sub(startTime) > faultsUntil {
		return
	}
	m := w.machines[w.extraRandom.IntN(len(w.machines))]
	for _, coordinator := range w.machinesOf(kindCoordinator) {
		if coordinator.alive && !coordinator.frozen && coordinator.node.Statuses(coordinator.clock())[0].Role == consensus.Leader && w.extraRandom.IntN(3) > 0 {
			m = coordinator
		}
	}
	w.suspend(m, time.Second+time.Duration(w.extraRandom.Int64N(int64(3*time.Second))))
	w.after(time.Second+time.Duration(w.extraRandom.Int64N(int64(5*time.Second))), w.nextSuspension)
}

// suspend stops a machine together with its steady clock. Messages to it are lost meanwhile,
// because its network link is down, too.
func (w *World) suspend(m *machine, down time.Duration) {
	if !m.alive || m.frozen {
		return
	}
	w.log("suspend %s for %s", m.name, down)
	m.frozen, m.suspendedAt = true, w.now
	incarnation := m.incarnation
	w.after(down, func() {
		m.suspendedTotal, m.suspendedAt = m.suspendedTotal+down, time.Time{}
		if m.incarnation == incarnation {
			m.frozen, m.backlog = false, nil
		}
	})
}

// nextFault injects a fault and schedules the next one.
func (w *World) nextFault() {
	if w.now.Sub(startTime) > faultsUntil {
		return
	}
	w.fault()
	w.after(w.randomDuration(300*time.Millisecond, 2500*time.Millisecond), w.nextFault)
}

// fault injects a random fault into a random machine.
func (w *World) fault() {
	m := w.machines[w.random.IntN(len(w.machines))]
	if m.removed {
		return
	}
	down := w.randomDuration(100*time.Millisecond, 3*time.Second)
	switch w.random.IntN(14) {
	case 0, 1:
		w.log("kill %s for %s", m.name, down)
		m.kill()
		w.after(down, func() { m.restart(false) })
	case 2, 3:
		w.log("power off %s for %s", m.name, down)
		m.powerOff()
		w.after(down, func() { m.restart(false) })
	case 4:
		w.powerOffAll(down)
	case 5:
		w.freeze(m, down)
	case 6, 7:
		w.partition(m, down)
	case 8:
		w.wipeDisk(m, down)
	case 9:
		w.replace(m)
	case 10:
		if len(w.machinesOf(kindStore)) < stores+2 {
			w.log("add a store")
			w.add(kindStore, false)
		}
	case 11:
		w.retire(m)
	case 12, 13:
		w.lagThenLoseDisk(m)
	}
}

// kill ends the process. What it wrote stays on the disk.
func (m *machine) kill() {
	m.alive = false
	m.incarnation++
}

// powerOff ends the process and loses a random part of the unsynced writes.
func (m *machine) powerOff() {
	m.kill()
	m.origins = origin.NewRegistry()
	m.disk = m.disk.Crash(m.world.random.IntN(m.disk.Unsynced() + 1))
}

func (m *machine) restart(bootstrap bool) {
	if !m.alive && !m.removed {
		m.start(bootstrap)
	}
}

func (w *World) powerOffAll(down time.Duration) {
	w.log("power off all for %s", down)
	for _, m := range w.machines {
		if !m.removed {
			m.powerOff()
			w.after(down+w.randomDuration(0, 300*time.Millisecond), func() { m.restart(false) })
		}
	}
}

// freeze stops the process of a machine while the machine's clocks continue. Messages that arrive
// during the freeze are handled after it.
func (w *World) freeze(m *machine, down time.Duration) {
	if !m.alive {
		return
	}
	w.log("freeze %s for %s", m.name, down)
	m.frozen = true
	incarnation := m.incarnation
	w.after(down, func() {
		if m.incarnation != incarnation {
			return
		}
		m.frozen = false
		backlog := m.backlog
		m.backlog = nil
		for _, action := range backlog {
			action()
		}
	})
}

// partition cuts the links between a machine and each other machine with a probability of 3/4. One
// of three partitions is one-way: only the messages that the machine sends are lost.
func (w *World) partition(m *machine, down time.Duration) {
	oneWay := w.random.IntN(3) == 0
	w.log("cut %s for %s, one way %t", m.name, down, oneWay)
	for _, other := range w.machines {
		if other == m || w.random.IntN(4) == 0 {
			continue
		}
		m.blocked[other.name] = true
		other.blocked[m.name] = !oneWay
	}
	w.after(down, func() {
		for _, other := range w.machines {
			delete(m.blocked, other.name)
			delete(other.blocked, m.name)
		}
	})
}

// mayLoseDisk reports whether another disk may be lost. The previous loss must have been repaired,
// or a further loss would exceed what the groups tolerate. It is not enough to wait until
// nextLossAt: other faults may have left a group without a majority meanwhile, which delays the
// repair.
func (w *World) mayLoseDisk() bool {
	return !w.now.Before(w.nextLossAt) && w.repaired(kindCoordinator) && w.repaired(kindStore)
}

// repaired reports whether each group of the kind has a leader and stable voters whose disks are
// all present.
func (w *World) repaired(kind kind) bool {
	if kind == kindCoordinator {
		return w.groupRepaired(kind, 0)
	}
	for group := range groups {
		if !w.groupRepaired(kind, group) {
			return false
		}
	}
	return true
}

func (w *World) groupRepaired(kind kind, group int) bool {
	ids := map[uint64]bool{}
	for _, m := range w.machinesOf(kind) {
		ids[m.node.ID()] = true
	}
	for _, m := range w.machinesOf(kind) {
		status := m.node.Statuses(m.clock())[group]
		if m.alive && status.Role == consensus.Leader && status.MembershipStable && allPresent(status.Membership.Voters, ids) {
			return true
		}
	}
	return false
}

func allPresent(voters []wire.Replica, ids map[uint64]bool) bool {
	for _, voter := range voters {
		if !ids[voter.ID] {
			return false
		}
	}
	return len(voters) > 0
}

// wipeDisk kills a machine and erases its disk. The machine restarts at the same address after the
// given time. In one of three cases all other machines lose power at the same moment, so that no
// group has a majority until they restart. The groups then get a further repairTime before another
// disk may be lost.
func (w *World) wipeDisk(m *machine, down time.Duration) {
	if !w.mayLoseDisk() {
		return
	}
	w.nextLossAt = w.now.Add(down + repairTime)
	if w.random.IntN(3) == 0 {
		w.powerOffAll(down)
		w.nextLossAt = w.nextLossAt.Add(repairTime)
	}
	w.log("wipe %s for %s", m.name, down)
	m.kill()
	m.disk = newMemory()
	w.after(down, func() { m.restart(false) })
}

// lagThenLoseDisk cuts a machine off while the other machines of its kind acknowledge writes. Then
// one of these other machines loses its disk, the rest of them lose power for a while, and the
// partition heals.
func (w *World) lagThenLoseDisk(m *machine) {
	if !w.mayLoseDisk() {
		return
	}
	var others []*machine
	for _, other := range w.machinesOf(m.kind) {
		if other != m && other.alive {
			others = append(others, other)
		}
	}
	if len(others) < 2*toleratedFailures {
		return
	}
	lag := w.randomDuration(500*time.Millisecond, 2500*time.Millisecond)
	outage := w.randomDuration(time.Second, 3*time.Second)
	w.nextLossAt = w.now.Add(lag + outage + 2*repairTime)
	w.log("cut %s off from its kind for %s, then wipe one of the others and power off the rest for %s", m.name, lag, outage)
	for _, other := range others {
		m.blocked[other.name], other.blocked[m.name] = true, true
	}
	w.after(lag, func() {
		for i, other := range others {
			if other.removed {
				continue
			}
			if i == 0 {
				other.kill()
				other.disk = newMemory()
				w.after(100*time.Millisecond, func() { other.restart(false) })
				continue
			}
			other.powerOff()
			w.after(outage, func() { other.restart(false) })
		}
		for _, other := range others {
			delete(m.blocked, other.name)
			delete(other.blocked, m.name)
		}
	})
}

// replace removes a machine for good and adds another one at a new address.
func (w *World) replace(m *machine) {
	if !w.mayLoseDisk() {
		return
	}
	wait := w.randomDuration(200*time.Millisecond, 2*time.Second)
	w.log("replace %s after %s", m.name, wait)
	w.nextLossAt = w.now.Add(wait + repairTime)
	m.kill()
	m.removed = true
	w.after(wait, func() { w.add(m.kind, false) })
}

// retire has a store drained. Once it is drained, the machine is removed with its disk.
func (w *World) retire(m *machine) {
	if m.kind != kindStore || len(w.machinesOf(kindStore)) <= 2*toleratedFailures+1 {
		return
	}
	w.log("retire %s", m.name)
	w.every(pollInterval, func() bool {
		if m.removed || w.healed {
			return false
		}
		for _, coordinator := range w.machinesOf(kindCoordinator) {
			if !coordinator.alive || coordinator.frozen {
				continue
			}
			drained := false
			coordinator.readAsLeader(func(*viewOfFleet) {
				_, drained = coordinator.fleet.Retirement(m.name)
			})
			if drained {
				w.log("remove %s, which is drained", m.name)
				m.kill()
				m.removed = true
				return false
			}
			coordinator.proposeRetire(m.name)
		}
		return true
	})
}

// heal ends all faults.
func (w *World) heal() {
	w.log("heal")
	w.healed = true
	for _, m := range w.machines {
		m.blocked = map[string]bool{}
		if m.frozen {
			m.kill()
		}
		m.restart(false)
	}
}
