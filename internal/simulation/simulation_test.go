package simulation

import (
	"reflect"
	"strings"
	"testing"
)

// seedsInCI is the number of seeds that CI runs of each profile; `make sim-long` runs more.
const seedsInCI = 100

func bothProfiles() []Profile {
	return []Profile{Profiles()["stundir"], Profiles()["kotare"]}
}

// TestPromisesUnderAllFaults runs fleets with all default kinds of faults. It expects no violation,
// and that every kind of fault is injected at least once.
func TestPromisesUnderAllFaults(t *testing.T) {
	summary := Sweep{FirstSeed: 1, LastSeed: seedsInCI, Profiles: bothProfiles(), FaultKinds: DefaultFaultKinds()}.Run()
	var text strings.Builder
	summary.Print(&text)
	t.Log(text.String())
	for _, failed := range summary.Failed {
		var details strings.Builder
		failed.Print(&details)
		t.Errorf("seed %d of %s:\n%s", failed.Seed, failed.Profile, details.String())
	}
	for _, kind := range DefaultFaultKinds() {
		if summary.Injected[kind] == 0 {
			t.Errorf("fault %s was never injected", kind)
		}
	}
}

// TestBusyFleet runs overloaded fleets, in which batch work is preempted all the time. It expects no
// violation, and at least one preemption.
func TestBusyFleet(t *testing.T) {
	profiles := []Profile{stressProfile(Profiles()["stundir"]), stressProfile(Profiles()["kotare"])}
	summary := Sweep{FirstSeed: 1, LastSeed: 10, Profiles: profiles, FaultKinds: DefaultFaultKinds()}.Run()
	for _, failed := range summary.Failed {
		var details strings.Builder
		failed.Print(&details)
		t.Errorf("seed %d of %s:\n%s", failed.Seed, failed.Profile, details.String())
	}
	if summary.Totals.Preemptions == 0 {
		t.Error("no batch item was preempted")
	}
}

// TestSameSeedSameRun checks that two runs of a seed have the same result, so that a failing seed
// can be replayed.
func TestSameSeedSameRun(t *testing.T) {
	options := Options{Profile: Profiles()["kotare"], Seed: 7, FaultKinds: DefaultFaultKinds()}
	first, second := Run(options), Run(options)
	if !reflect.DeepEqual(first, second) {
		t.Errorf("two runs of one seed differ:\n%+v\n%+v", first, second)
	}
}

// TestMutationsTurnRed disables each mechanism and expects that its check is the first to fail in
// some run.
func TestMutationsTurnRed(t *testing.T) {
	for _, check := range MutationChecks() {
		t.Run(string(check.Mutation), func(t *testing.T) {
			summary := Sweep{FirstSeed: 1, LastSeed: 10, Profiles: check.profiles(), FaultKinds: check.FaultKinds, Mutation: check.Mutation, StopAtFailure: check.Check == ""}.Run()
			if len(detectedBy(summary.Failed, check.Check)) == 0 {
				t.Errorf("check %q was not the first to fail in any of %d runs", check.Check, summary.Seeds)
			}
		})
	}
}

// TestShrink checks that a shrunk schedule is not empty or longer than before and still breaks a
// promise.
func TestShrink(t *testing.T) {
	options := Options{Profile: stressProfile(Profiles()["stundir"]), Seed: 1, Mutation: MutationFalseNotRun, FaultKinds: []string{"worker_dies", "platform_contradicts", "operators_race"}}
	for ; options.Seed < 20; options.Seed++ {
		failing := Run(options)
		if len(failing.Violations) == 0 {
			continue
		}
		smallest := Shrink(options, failing)
		if len(smallest.Schedule) == 0 || len(smallest.Schedule) > len(failing.Schedule) || len(smallest.Violations) == 0 {
			t.Errorf("schedule of %d faults shrank to %d faults with %d violations", len(failing.Schedule), len(smallest.Schedule), len(smallest.Violations))
		}
		return
	}
	t.Fatal("no seed breaks a promise, so there is nothing to shrink")
}
