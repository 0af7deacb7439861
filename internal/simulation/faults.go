package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"
)

// Fault is one failure that is injected into a run.
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

// faultKind describes how faults of a kind are injected and how often they may be drawn.
type faultKind struct {
	// inject starts the fault, arranges its end and reports whether it had an effect.
	inject func(w *World, fault Fault) bool
	// destructive faults erase the disk of a control process or remove the process for good.
	// A run has at most maxDestructive of them, which is what the voters can survive.
	destructive bool
	// explicitOnly faults are drawn only if a run names them.
	explicitOnly bool
	// once faults are drawn at most once in a run.
	once bool
	// planned faults are graceful stops.
	planned bool
}

// faultKinds holds the failures that the users listed, and the planned stops.
var faultKinds = map[string]faultKind{
	"worker_dies":              {inject: injectWorkerDies},
	"worker_freezes":           {inject: injectWorkerFreezes},
	"worker_leaves":            {inject: injectWorkerLeaves},
	"answers_late":             {inject: injectAnswersLate},
	"answers_crossed":          {inject: injectAnswersCrossed},
	"answers_twice":            {inject: injectAnswersTwice},
	"streams_cut":              {inject: injectStreamsCut},
	"control_killed":           {inject: injectControlKilled},
	"control_leader_killed":    {inject: injectLeaderKilled},
	"control_torn":             {inject: injectControlTorn},
	"control_freezes":          {inject: injectControlFreezes},
	"control_majority_killed":  {inject: injectMajorityKilled},
	"control_cut":              {inject: injectControlCut},
	"control_cut_one_way":      {inject: injectControlCutOneWay},
	"control_leader_cut":       {inject: injectLeaderCut},
	"control_disk_lost":        {inject: injectDiskLost, destructive: true},
	"control_lost_for_good":    {inject: injectControlLost, destructive: true},
	"control_stops":            {inject: injectControlStops, planned: true},
	"dispatcher_killed":        {inject: injectDispatcherKilled},
	"dispatcher_freezes":       {inject: injectDispatcherFreezes},
	"dispatcher_cut":           {inject: injectDispatcherCut},
	"dispatcher_lost_control":  {inject: injectDispatcherLostControl},
	"dispatcher_stops":         {inject: injectDispatcherStops, planned: true},
	"gateway_killed":           {inject: injectGatewayKilled},
	"gateway_freezes":          {inject: injectGatewayFreezes},
	"gateway_cut":              {inject: injectGatewayCut},
	"gateway_stops":            {inject: injectGatewayStops, planned: true},
	"zone_dispatchers_lost":    {inject: injectZoneDispatchersLost, explicitOnly: true},
	"zone_lost":                {inject: injectZoneLost, explicitOnly: true},
	"platform_contradicts":     {inject: injectPlatformContradicts},
	"operators_race":           {inject: injectOperatorsRace},
	"missed_500_revisions":     {inject: injectMissedRevisions, once: true},
	"rolling_disk_loss":        {inject: injectRollingLoss, destructive: true, once: true},
	"second_loss_after_repair": {inject: injectSecondLoss, destructive: true},
}

const (
	maxDestructive = 2
	raceChanges    = 20
	repairPoll     = 50 * time.Millisecond
	// maxDraws is how often faults are drawn at most for a schedule. Without it, drawing could go on
	// for long when the limits on the kinds reject most of the drawn faults.
	maxDraws = 64
)

// usesAllDestructive names the kinds of which a single fault erases as many disks as the voters can
// survive.
var usesAllDestructive = map[string]bool{"second_loss_after_repair": true, "rolling_disk_loss": true}

// DefaultFaultKinds returns the names of all kinds of faults except the explicitOnly ones.
func DefaultFaultKinds() []string {
	var names []string
	for _, name := range AllFaultKinds() {
		if !faultKinds[name].explicitOnly {
			names = append(names, name)
		}
	}
	return names
}

// AllFaultKinds returns the names of all kinds of faults.
func AllFaultKinds() []string { return sortedKeys(faultKinds) }

// drawSchedule draws the faults of a run. Faults come alone or in pairs that start together.
func drawSchedule(random *rand.Rand, kinds []string, from, to time.Duration, count int) []Fault {
	var schedule []Fault
	destructive := 0
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
			if faultKinds[kind].destructive {
				if destructive == maxDestructive || (usesAllDestructive[kind] && destructive > 0) {
					continue
				}
				destructive++
				if usesAllDestructive[kind] {
					destructive = maxDestructive
				}
			}
			schedule = append(schedule, fault)
		}
	}
	sort.SliceStable(schedule, func(a, b int) bool { return schedule[a].At < schedule[b].At })
	return schedule
}

// faultState counts the injected faults by kind, and the faults that are active now.
type faultState struct {
	counts map[string]int
	active int
}

func (f *faultState) record(kind string) { f.counts[kind]++ }

// scheduleFaults schedules the faults on the virtual clock.
func (w *World) scheduleFaults(faults []Fault) {
	for _, fault := range faults {
		w.clock.after(simulationStart.Add(fault.At).Sub(w.clock.now), func() {
			kind := faultKinds[fault.Kind]
			if !kind.inject(w, fault) {
				return
			}
			// Faults in answers and in the platform's list are counted where they take effect: once for
			// each event or list that they change.
			if !strings.HasPrefix(fault.Kind, "answers_") && fault.Kind != "platform_contradicts" {
				w.faults.record(fault.Kind)
			}
			w.faults.active++
			w.clock.after(fault.Duration+recoveryTime, func() { w.faults.active-- })
		})
	}
}

// recoveryTime is how long after its end a fault still counts as active.
const recoveryTime = 5 * time.Second

// pick returns the member of a list that the fault targets.
func pick[Target any](from []Target, fault Fault) Target { return from[fault.Target%len(from)] }

func (w *World) freeze(p *process, duration time.Duration) bool {
	if !p.alive || w.clock.now.Before(p.frozenUntil) {
		return false
	}
	p.frozenUntil = w.clock.now.Add(duration)
	return true
}

// isolate cuts the links between a process and all others. If oneWay is set, only the links on
// which the process sends are cut, otherwise both directions.
func (w *World) isolate(p *process, duration time.Duration, oneWay bool) bool {
	for _, other := range w.allProcesses() {
		if other == p {
			continue
		}
		out, in := [2]string{p.name, other.name}, [2]string{other.name, p.name}
		w.network.cutLinks[out] = true
		if !oneWay {
			w.network.cutLinks[in] = true
		}
		w.clock.after(duration, func() {
			delete(w.network.cutLinks, out)
			delete(w.network.cutLinks, in)
		})
	}
	return true
}
