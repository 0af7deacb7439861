package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/sedgemast/sedgemast/internal/consensus"
)

// Fault is one failure that strikes at a moment of the run.
type Fault struct {
	At     time.Duration
	Kind   string
	Target int
	Length time.Duration
}

// String returns the fault as a line of a schedule.
func (f Fault) String() string {
	return fmt.Sprintf("%6s %s target=%d length=%s", f.At.Round(time.Millisecond), f.Kind, f.Target, f.Length.Round(time.Millisecond))
}

// faultKind is how a kind of fault is made and ended.
type faultKind struct {
	// strike begins the fault and reports whether it hit anything.
	strike func(w *World, fault Fault) bool
	// heavy faults take a control process's disk or the process itself away
	// for good; a run has at most as many as the voters can bear.
	heavy bool
	// rare faults are drawn only where they are named.
	rare bool
	// once faults strike at most once in a run.
	once bool
	// planned faults are stops in the planned way.
	planned bool
}

// faultKinds are the failures of the users' list, and the planned stops.
var faultKinds = map[string]faultKind{
	"worker_dies":              {strike: strikeWorkerDies},
	"worker_freezes":           {strike: strikeWorkerFreezes},
	"worker_leaves":            {strike: strikeWorkerLeaves},
	"answers_late":             {strike: strikeLate},
	"answers_crossed":          {strike: strikeCrossed},
	"answers_twice":            {strike: strikeTwice},
	"streams_cut":              {strike: strikeStreamsCut},
	"control_killed":           {strike: strikeControlKilled},
	"control_leader_killed":    {strike: strikeLeaderKilled},
	"control_torn":             {strike: strikeControlTorn},
	"control_freezes":          {strike: strikeControlFreezes},
	"control_majority_killed":  {strike: strikeMajorityKilled},
	"control_cut":              {strike: strikeControlCut},
	"control_cut_one_way":      {strike: strikeControlCutOneWay},
	"control_leader_cut":       {strike: strikeLeaderCut},
	"control_disk_lost":        {strike: strikeDiskLost, heavy: true},
	"control_lost_for_good":    {strike: strikeControlLost, heavy: true},
	"control_stops":            {strike: strikeControlStops, planned: true},
	"dispatcher_killed":        {strike: strikeDispatcherKilled},
	"dispatcher_freezes":       {strike: strikeDispatcherFreezes},
	"dispatcher_cut":           {strike: strikeDispatcherCut},
	"dispatcher_lost_control":  {strike: strikeDispatcherLostControl},
	"dispatcher_stops":         {strike: strikeDispatcherStops, planned: true},
	"gateway_killed":           {strike: strikeGatewayKilled},
	"gateway_freezes":          {strike: strikeGatewayFreezes},
	"gateway_cut":              {strike: strikeGatewayCut},
	"gateway_stops":            {strike: strikeGatewayStops, planned: true},
	"zone_dispatchers_lost":    {strike: strikeZoneDispatchersLost, rare: true},
	"zone_lost":                {strike: strikeZoneLost, rare: true},
	"platform_contradicts":     {strike: strikePlatform},
	"operators_race":           {strike: strikeOperators},
	"missed_500_revisions":     {strike: strikeMissedRevisions, once: true},
	"rolling_disk_loss":        {strike: strikeRollingLoss, heavy: true, once: true},
	"second_loss_after_repair": {strike: strikeSecondLoss, heavy: true},
}

const (
	maxHeavy         = 2
	changesInARow    = 20
	secondLossSearch = 50 * time.Millisecond
	// maxDraws bounds the draws of a schedule whose kinds run out.
	maxDraws = 64
)

// takesAllHeavy names the kinds that by themselves take as many disks as the
// voters can bear.
var takesAllHeavy = map[string]bool{"second_loss_after_repair": true, "rolling_disk_loss": true}

// FaultKinds returns the names of the kinds of faults that runs draw from.
func FaultKinds() []string {
	var names []string
	for _, name := range KnownFaults() {
		if !faultKinds[name].rare {
			names = append(names, name)
		}
	}
	return names
}

// KnownFaults returns the names of all kinds of faults.
func KnownFaults() []string { return sortedKeys(faultKinds) }

// drawSchedule draws the faults of a run: some alone, some two at a time.
func drawSchedule(random *rand.Rand, kinds []string, from, to time.Duration, count int) []Fault {
	var schedule []Fault
	heavy := 0
	span := int64(to - from)
	for draws := 0; len(schedule) < count && draws < maxDraws && len(kinds) > 0; draws++ {
		at := from + time.Duration(random.Int64N(span))
		pair := min(1+random.IntN(2), count-len(schedule))
		for i := 0; i < pair; i++ {
			kind := kinds[random.IntN(len(kinds))]
			fault := Fault{At: at, Kind: kind, Target: random.IntN(1 << 16), Length: 300*time.Millisecond + time.Duration(random.Int64N(int64(7*time.Second)))}
			if faultKinds[kind].once && slices.ContainsFunc(schedule, func(earlier Fault) bool { return earlier.Kind == kind }) {
				continue
			}
			if faultKinds[kind].heavy {
				if heavy == maxHeavy || (takesAllHeavy[kind] && heavy > 0) {
					continue
				}
				heavy++
				if takesAllHeavy[kind] {
					heavy = maxHeavy
				}
			}
			schedule = append(schedule, fault)
		}
	}
	sort.SliceStable(schedule, func(a, b int) bool { return schedule[a].At < schedule[b].At })
	return schedule
}

// faultState counts the faults that struck and those that are on.
type faultState struct {
	counts map[string]int
	on     int
}

func (f *faultState) struck(kind string) { f.counts[kind]++ }

// schedule arranges for the faults.
func (w *World) schedule(faults []Fault) {
	for _, fault := range faults {
		w.clock.after(epoch.Add(fault.At).Sub(w.clock.now), func() {
			kind := faultKinds[fault.Kind]
			if !kind.strike(w, fault) {
				return
			}
			// Faults in answers count each time they spoil one.
			if !strings.HasPrefix(fault.Kind, "answers_") && fault.Kind != "platform_contradicts" {
				w.faults.struck(fault.Kind)
			}
			w.faults.on++
			w.clock.after(fault.Length+recoveryTime, func() { w.faults.on-- })
		})
	}
}

// recoveryTime is how long after a fault's end a run still counts as faulty.
const recoveryTime = 5 * time.Second

func pick[Target any](from []Target, fault Fault) Target { return from[fault.Target%len(from)] }

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
	w.clock.after(fault.Length, e.start)
	return true
}

func (w *World) freeze(p *process, length time.Duration) bool {
	if !p.alive || w.clock.now.Before(p.frozenUntil) {
		return false
	}
	p.frozenUntil = w.clock.now.Add(length)
	return true
}

func strikeWorkerFreezes(w *World, fault Fault) bool {
	return w.freeze(&pick(w.engines, fault).process, fault.Length)
}

func strikeWorkerLeaves(w *World, fault Fault) bool {
	e := pick(w.engines, fault)
	if !e.alive || e.leaving {
		return false
	}
	e.leaving = true
	w.ledger.leavingAt[e.name] = w.clock.now
	w.clock.after(leavingBound+fault.Length, func() {
		if e.alive && e.leaving {
			w.killEngine(e)
			w.clock.after(time.Second, e.start)
		}
	})
	return true
}

func strikeLate(w *World, fault Fault) bool {
	pick(w.engines, fault).lateUntil = w.clock.now.Add(fault.Length)
	return true
}

func strikeCrossed(w *World, fault Fault) bool {
	pick(w.engines, fault).crossedUntil = w.clock.now.Add(fault.Length)
	return true
}

func strikeTwice(w *World, fault Fault) bool {
	pick(w.engines, fault).twiceUntil = w.clock.now.Add(fault.Length)
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

// noteLeaders tells the timings which groups lose their leader.
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

// killControl ends a control process. Its disk keeps what was synced, and some of
// what was not.
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

// prepareDisk applies the mutations that concern disks.
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
	return w.bounceControl(pick(w.controls, fault), fault.Length)
}

func (w *World) bounceControl(c *controlProcess, length time.Duration) bool {
	if c == nil || !c.alive {
		return false
	}
	w.killControl(c, false)
	w.restartControl(c, length)
	return true
}

// metaLeaderProcess returns the control process that leads the meta group.
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
	return w.bounceControl(w.metaLeaderProcess(), fault.Length)
}

// strikeMajorityKilled takes so many control processes away that none can lead.
func strikeMajorityKilled(w *World, fault Fault) bool {
	struck := false
	for number := 0; number < majorityLoss; number++ {
		if w.bounceControl(w.controls[(fault.Target+number)%controlCount], fault.Length) {
			struck = true
		}
	}
	return struck
}

// majorityLoss is how many of the six control processes leave no majority of
// five voters, whichever of them is the spare.
const majorityLoss = 4

// strikeControlTorn lets a disk lose power in the middle of one of the next
// writes.
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
	if !w.freeze(&c.process, fault.Length) {
		return false
	}
	w.noteLeaders(c)
	return true
}

// cutOff cuts a process off from all others: both ways, or only what it sends.
func (w *World) cutOff(p *process, length time.Duration, oneWay bool) bool {
	for _, other := range w.everyone() {
		if other == p {
			continue
		}
		out, in := [2]string{p.name, other.name}, [2]string{other.name, p.name}
		w.network.cut[out] = true
		if !oneWay {
			w.network.cut[in] = true
		}
		w.clock.after(length, func() {
			delete(w.network.cut, out)
			delete(w.network.cut, in)
		})
	}
	return true
}

func strikeControlCut(w *World, fault Fault) bool {
	c := pick(w.controls, fault)
	w.noteLeaders(c)
	return w.cutOff(&c.process, fault.Length, false)
}

func strikeControlCutOneWay(w *World, fault Fault) bool {
	return w.cutOff(&pick(w.controls, fault).process, fault.Length, true)
}

func strikeLeaderCut(w *World, fault Fault) bool {
	c := w.metaLeaderProcess()
	if c == nil {
		return false
	}
	w.noteLeaders(c)
	return w.cutOff(&c.process, fault.Length, fault.Target%2 == 0)
}

func strikeDiskLost(w *World, fault Fault) bool {
	c := pick(w.controls, fault)
	if !c.alive {
		return false
	}
	w.killControl(c, true)
	w.restartControl(c, fault.Length)
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

// strikeSecondLoss takes a voter's disk, and another's in the moment in which the
// group has been repaired, or while it is being repaired.
func strikeSecondLoss(w *World, fault Fault) bool {
	first := pick(w.controls, fault)
	if !first.alive || first == w.controls[controlCount-1] {
		return false
	}
	lost := first.node.ID()
	w.killControl(first, true)
	w.restartControl(first, fault.Length)
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
		repaired := status.Settled && !consensus.IsVoter(&status.Membership, lost)
		if repaired || (during && !status.Settled) {
			second := w.controlByName(status.Membership.Voters[fault.Target%len(status.Membership.Voters)].Address)
			if second.alive {
				w.killControl(second, true)
				w.restartControl(second, fault.Length)
			}
			return
		}
		w.clock.after(secondLossSearch, watch)
	}
	w.clock.after(secondLossSearch, watch)
	return true
}

// strikeRollingLoss takes one disk after the other, each once the group has been
// repaired from the loss before.
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

// whenRepaired waits until no group counts on the lost storage any more.
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

// forgotten reports whether every group has a leader whose settled membership
// lacks the replica.
func (w *World) forgotten(id uint64) bool {
	for group := 0; group <= jobGroups; group++ {
		found := false
		for _, c := range w.controls {
			if !c.alive {
				continue
			}
			status := c.node.Statuses(w.clock.now)[group]
			if status.Role == consensus.Leader && status.Settled && !consensus.IsVoter(&status.Membership, id) {
				found = true
			}
		}
		if !found {
			return false
		}
	}
	return true
}

// strikeControlStops is a planned stop: leadership is handed over first.
func strikeControlStops(w *World, fault Fault) bool {
	c := pick(w.controls, fault)
	if !c.alive {
		return false
	}
	deadline := w.clock.now.Add(3 * time.Second)
	var wait func()
	wait = func() {
		done := true
		c.drive(func() { done = c.node.TransferAll(w.clock.now) })
		if !done && w.clock.now.Before(deadline) {
			w.timer(&c.process, tickInterval, wait)
			return
		}
		w.killControl(c, false)
		w.restartControl(c, fault.Length)
	}
	wait()
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
	w.clock.after(fault.Length, d.start)
	return true
}

func strikeDispatcherFreezes(w *World, fault Fault) bool {
	return w.freeze(&pick(w.dispatchers, fault).process, fault.Length)
}

func strikeDispatcherCut(w *World, fault Fault) bool {
	return w.cutOff(&pick(w.dispatchers, fault).process, fault.Length, fault.Target%3 == 0)
}

// strikeDispatcherLostControl cuts a dispatcher off from control alone: its
// workers and gateways still hear it.
func strikeDispatcherLostControl(w *World, fault Fault) bool {
	d := pick(w.dispatchers, fault)
	length := 5*time.Second + fault.Length
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
			w.clock.after(fault.Length, d.start)
		}
	}
	if w.mutation == MutationHardStop {
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
	w.clock.after(fault.Length, g.start)
	return true
}

func strikeGatewayFreezes(w *World, fault Fault) bool {
	return w.freeze(&pick(w.gateways, fault).process, fault.Length)
}

func strikeGatewayCut(w *World, fault Fault) bool {
	return w.cutOff(&pick(w.gateways, fault).process, fault.Length, fault.Target%3 == 0)
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
			w.clock.after(fault.Length, g.start)
		}
	}
	if w.mutation == MutationHardStop {
		end()
		return true
	}
	g.stop(end)
	return true
}

// strikeZoneDispatchersLost takes all dispatchers of one zone away and leaves
// their workers without an owner.
func strikeZoneDispatchersLost(w *World, fault Fault) bool {
	for _, d := range w.dispatchers {
		if d.zone == fault.Target%w.profile.Zones && d.alive {
			w.killDispatcher(d)
		}
	}
	return true
}

// strikeZoneLost takes everything in one zone away for good.
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
	w.platform.contradictUntil = w.clock.now.Add(fault.Length)
	return true
}

// strikeOperators sends changes in a row, in twos with equal numbers.
func strikeOperators(w *World, fault Fault) bool {
	for i := 0; i < changesInARow; i++ {
		w.clock.after(time.Duration(i/2)*50*time.Millisecond, func() {
			w.races++
			w.change(w.newCaller(fmt.Sprintf("racer%d", w.races)), fmt.Sprintf("race-%d", w.races), 1+w.races%10)
		})
	}
	return true
}

// maxMissing is how long processes are away that miss changes.
const maxMissing = 12 * time.Second

// strikeMissedRevisions takes a control process and a gateway away while hundreds
// of changes pass, then restarts them.
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
