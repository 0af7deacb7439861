package fleetsim

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// catchUp is how long a lost disk counts as lost after its machine is back.
const catchUp = 5 * time.Second

// beginFaults brings one fault after another.
func (w *World) beginFaults() {
	w.after(faultsFrom, w.nextFault)
	w.after(faultsFrom, w.nextSuspension)
}

// nextSuspension suspends one machine after another, beside the other faults: as a rule
// the coordinator that leads, whose lease a steady clock would prolong.
func (w *World) nextSuspension() {
	if w.now.Sub(began) > faultsUntil {
		return
	}
	m := w.machines[w.luck.IntN(len(w.machines))]
	for _, core := range w.of(kindCoordinator) {
		if core.alive && !core.frozen && core.node.Statuses(core.clock())[0].Role == consensus.Leader && w.luck.IntN(3) > 0 {
			m = core
		}
	}
	w.suspend(m, time.Second+time.Duration(w.luck.Int64N(int64(3*time.Second))))
	w.after(time.Second+time.Duration(w.luck.Int64N(int64(5*time.Second))), w.nextSuspension)
}

// suspend makes a machine stand still with its steady clock. What comes for it meanwhile
// is lost, because its link is down, too.
func (w *World) suspend(m *machine, down time.Duration) {
	if !m.alive || m.frozen {
		return
	}
	w.log("suspend %s for %s", m.name, down)
	m.frozen, m.suspended = true, w.now
	life := m.life
	w.after(down, func() {
		m.stood, m.suspended = m.stood+down, time.Time{}
		if m.life == life {
			m.frozen, m.backlog = false, nil
		}
	})
}

func (w *World) nextFault() {
	if w.now.Sub(began) > faultsUntil {
		return
	}
	w.fault()
	w.after(w.between(300*time.Millisecond, 2500*time.Millisecond), w.nextFault)
}

func (w *World) fault() {
	m := w.machines[w.random.IntN(len(w.machines))]
	if m.gone {
		return
	}
	down := w.between(100*time.Millisecond, 3*time.Second)
	switch w.random.IntN(14) {
	case 0, 1:
		w.log("kill %s for %s", m.name, down)
		m.die()
		w.after(down, func() { m.comeBack(false) })
	case 2, 3:
		w.log("power off %s for %s", m.name, down)
		m.losePower()
		w.after(down, func() { m.comeBack(false) })
	case 4:
		w.losePowerAll(down)
	case 5:
		w.freeze(m, down)
	case 6, 7:
		w.cut(m, down)
	case 8:
		w.wipe(m, down)
	case 9:
		w.replace(m)
	case 10:
		if len(w.of(kindStore)) < stores+2 {
			w.log("add a store")
			w.add(kindStore, false)
		}
	case 11:
		w.retire(m)
	case 12, 13:
		w.behind(m)
	}
}

// die ends the process; what it wrote stays.
func (m *machine) die() {
	m.alive = false
	m.life++
}

// losePower ends the process and loses some of what was not synced.
func (m *machine) losePower() {
	m.die()
	m.disk = m.disk.Crash(m.world.random.IntN(m.disk.Unsynced() + 1))
}

func (m *machine) comeBack(bootstrap bool) {
	if !m.alive && !m.gone {
		m.start(bootstrap)
	}
}

func (w *World) losePowerAll(down time.Duration) {
	w.log("power off all for %s", down)
	for _, m := range w.machines {
		if !m.gone {
			m.losePower()
			w.after(down+w.between(0, 300*time.Millisecond), func() { m.comeBack(false) })
		}
	}
}

func (w *World) freeze(m *machine, down time.Duration) {
	if !m.alive {
		return
	}
	w.log("freeze %s for %s", m.name, down)
	m.frozen = true
	life := m.life
	w.after(down, func() {
		if m.life != life {
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

// cut parts a machine from some others, at times one way only.
func (w *World) cut(m *machine, down time.Duration) {
	oneWay := w.random.IntN(3) == 0
	w.log("cut %s for %s, one way %t", m.name, down, oneWay)
	for _, other := range w.machines {
		if other == m || w.random.IntN(4) == 0 {
			continue
		}
		m.cut[other.name] = true
		other.cut[m.name] = !oneWay
	}
	w.after(down, func() {
		for _, other := range w.machines {
			delete(m.cut, other.name)
			delete(other.cut, m.name)
		}
	})
}

// mayLose reports whether one more disk may go: the one before has been made good.
// Where other faults kept a majority from meeting since, time alone does not do
// that, and a further loss would be one more than is to be borne.
func (w *World) mayLose() bool {
	return !w.now.Before(w.lossSafeAt) && w.repaired(kindCoordinator) && w.repaired(kindStore)
}

// repaired reports whether the groups of the kind have settled on voters whose
// disks are all there.
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
	identities := map[uint64]bool{}
	for _, m := range w.of(kind) {
		identities[m.node.ID()] = true
	}
	for _, m := range w.of(kind) {
		status := m.node.Statuses(m.clock())[group]
		if m.alive && status.Role == consensus.Leader && status.MembershipStable && allThere(status.Membership.Voters, identities) {
			return true
		}
	}
	return false
}

func allThere(voters []wire.Replica, identities map[uint64]bool) bool {
	for _, voter := range voters {
		if !identities[voter.ID] {
			return false
		}
	}
	return len(voters) > 0
}

// wipe loses a disk; the machine comes back at its address. At times all others
// lose power with it.
func (w *World) wipe(m *machine, down time.Duration) {
	if !w.mayLose() {
		return
	}
	w.lossSafeAt = w.now.Add(down + catchUp)
	if w.random.IntN(3) == 0 {
		w.losePowerAll(down)
		w.lossSafeAt = w.lossSafeAt.Add(catchUp)
	}
	w.log("wipe %s for %s", m.name, down)
	m.die()
	m.disk = newMemory()
	w.after(down, func() { m.comeBack(false) })
}

// behind lets a machine miss what the others acknowledge; then one of those loses
// its disk, the rest are dark for a while, and the cut heals.
func (w *World) behind(m *machine) {
	if !w.mayLose() {
		return
	}
	var others []*machine
	for _, other := range w.of(m.kind) {
		if other != m && other.alive {
			others = append(others, other)
		}
	}
	if len(others) < 2*tolerate {
		return
	}
	missing := w.between(500*time.Millisecond, 2500*time.Millisecond)
	dark := w.between(time.Second, 3*time.Second)
	w.lossSafeAt = w.now.Add(missing + dark + 2*catchUp)
	w.log("%s misses what others do for %s, then one is wiped and the rest are dark for %s", m.name, missing, dark)
	for _, other := range others {
		m.cut[other.name], other.cut[m.name] = true, true
	}
	w.after(missing, func() {
		for i, other := range others {
			if other.gone {
				continue
			}
			if i == 0 {
				other.die()
				other.disk = newMemory()
				w.after(100*time.Millisecond, func() { other.comeBack(false) })
				continue
			}
			other.losePower()
			w.after(dark, func() { other.comeBack(false) })
		}
		for _, other := range others {
			delete(m.cut, other.name)
			delete(other.cut, m.name)
		}
	})
}

// replace loses a machine for good; another comes at a new address.
func (w *World) replace(m *machine) {
	if !w.mayLose() {
		return
	}
	wait := w.between(200*time.Millisecond, 2*time.Second)
	w.log("replace %s after %s", m.name, wait)
	w.lossSafeAt = w.now.Add(wait + catchUp)
	m.die()
	m.gone = true
	w.after(wait, func() { w.add(m.kind, false) })
}

// retire empties a store; once it is, it goes with its disk.
func (w *World) retire(m *machine) {
	if m.kind != kindStore || len(w.of(kindStore)) <= 2*tolerate+1 {
		return
	}
	w.log("retire %s", m.name)
	w.every(watchInterval, func() bool {
		if m.gone || w.healed {
			return false
		}
		for _, core := range w.of(kindCoordinator) {
			if !core.alive || core.frozen {
				continue
			}
			done := false
			core.lead(func(*viewOfFleet) {
				_, done = core.fleet.Retirement(m.name)
			})
			if done {
				w.log("%s is emptied and goes", m.name)
				m.die()
				m.gone = true
				return false
			}
			core.proposeRetire(m.name)
		}
		return true
	})
}

// heal mends everything.
func (w *World) heal() {
	w.log("heal")
	w.healed = true
	for _, m := range w.machines {
		m.cut = map[string]bool{}
		if m.frozen {
			m.die()
		}
		m.comeBack(false)
	}
}
