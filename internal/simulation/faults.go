package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"
)

// Fault is one failure that strikes at a moment of the run.

type Fault struct {
	At       time.Duration
	Kind     string
	Target   int
	Duration time.Duration
}

// String returns the fault as a line of a schedule.

func (f Fault) String() string {
	return fmt.Sprintf("%6s %s target=%d length=%s", f.At.Round(time.Millisecond), f.Kind, f.Target, f.Duration.Round(time.Millisecond))
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

func DefaultFaultKinds() []string {
	var names []string
	for _, name := range AllFaultKinds() {
		if !faultKinds[name].rare {
			names = append(names, name)
		}
	}
	return names
}

// KnownFaults returns the names of all kinds of faults.

func AllFaultKinds() []string { return sortedKeys(faultKinds) }

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
			fault := Fault{At: at, Kind: kind, Target: random.IntN(1 << 16), Duration: 300*time.Millisecond + time.Duration(random.Int64N(int64(7*time.Second)))}
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
			w.clock.after(fault.Duration+recoveryTime, func() { w.faults.on-- })
		})
	}
}

// recoveryTime is how long after a fault's end a run still counts as faulty.

const recoveryTime = 5 * time.Second

func pick[Target any](from []Target, fault Fault) Target { return from[fault.Target%len(from)] }

func (w *World) freeze(p *process, length time.Duration) bool {
	if !p.alive || w.clock.now.Before(p.frozenUntil) {
		return false
	}
	p.frozenUntil = w.clock.now.Add(length)
	return true
}

// noteLeaders tells the timings which groups lose their leader.

// killControl ends a control process. Its disk keeps what was synced, and some of

// what was not.

// prepareDisk applies the mutations that concern disks.

// metaLeaderProcess returns the control process that leads the meta group.

// strikeMajorityKilled takes so many control processes away that none can lead.

// majorityLoss is how many of the six control processes leave no majority of

// five voters, whichever of them is the spare.

// strikeControlTorn lets a disk lose power in the middle of one of the next

// writes.

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

// strikeSecondLoss takes a voter's disk, and another's in the moment in which the

// group has been repaired, or while it is being repaired.

// strikeRollingLoss takes one disk after the other, each once the group has been

// repaired from the loss before.

// whenRepaired waits until no group counts on the lost storage any more.

// forgotten reports whether every group has a leader whose settled membership

// lacks the replica.

// strikeControlStops is a planned stop: leadership is handed over first.

// strikeDispatcherLostControl cuts a dispatcher off from control alone: its

// workers and gateways still hear it.

// strikeZoneDispatchersLost takes all dispatchers of one zone away and leaves

// their workers without an owner.

// strikeZoneLost takes everything in one zone away for good.

// strikeOperators sends changes in a row, in twos with equal numbers.

// maxMissing is how long processes are away that miss changes.

// strikeMissedRevisions takes a control process and a gateway away while hundreds

// of changes pass, then restarts them.
