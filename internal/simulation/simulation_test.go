package simulation

import (
	"reflect"
	"strings"
	"testing"
)

// seedsInCI is how many seeds of each profile CI runs; `make sim-long` runs more.
const seedsInCI = 100

func bothProfiles() []Profile {
	return []Profile{Profiles()["stundir"], Profiles()["kotare"]}
}

// TestPromisesUnderAllFaults runs whole fleets with all kinds of faults.
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
			t.Errorf("%s never struck", kind)
		}
	}
}

// TestBusyFleet runs overloaded fleets: batch work is preempted all the time.
func TestBusyFleet(t *testing.T) {
	profiles := []Profile{proofProfile(Profiles()["stundir"]), proofProfile(Profiles()["kotare"])}
	summary := Sweep{FirstSeed: 1, LastSeed: 10, Profiles: profiles, FaultKinds: DefaultFaultKinds()}.Run()
	for _, failed := range summary.Failed {
		var details strings.Builder
		failed.Print(&details)
		t.Errorf("seed %d of %s:\n%s", failed.Seed, failed.Profile, details.String())
	}
	if summary.Totals.Preemptions == 0 {
		t.Error("nothing was preempted")
	}
}

// TestSameSeedSameRun checks that a seed can be replayed.
func TestSameSeedSameRun(t *testing.T) {
	options := Options{Profile: Profiles()["kotare"], Seed: 7, FaultKinds: DefaultFaultKinds()}
	first, second := Run(options), Run(options)
	if !reflect.DeepEqual(first, second) {
		t.Errorf("two runs of one seed differ:\n%+v\n%+v", first, second)
	}
}

// TestMutationsTurnRed takes each mechanism away and expects its check to notice.
func TestMutationsTurnRed(t *testing.T) {
	for _, proof := range MutationChecks() {
		t.Run(string(proof.Mutation), func(t *testing.T) {
			summary := Sweep{FirstSeed: 1, LastSeed: 10, Profiles: proof.profiles(), FaultKinds: proof.FaultKinds, Mutation: proof.Mutation, StopAtFailure: proof.Check == ""}.Run()
			if len(noticedBy(summary.Failed, proof.Check)) == 0 {
				t.Errorf("no check %q noticed in %d runs", proof.Check, summary.Seeds)
			}
		})
	}
}

// TestShrink checks that a failing schedule shrinks to what matters.
func TestShrink(t *testing.T) {
	options := Options{Profile: proofProfile(Profiles()["stundir"]), Seed: 1, Mutation: MutationFalseNotRun, FaultKinds: []string{"worker_dies", "platform_contradicts", "operators_race"}}
	for ; options.Seed < 20; options.Seed++ {
		failing := Run(options)
		if len(failing.Violations) == 0 {
			continue
		}
		smallest := Shrink(options, failing)
		if len(smallest.Schedule) == 0 || len(smallest.Schedule) > len(failing.Schedule) || len(smallest.Violations) == 0 {
			t.Errorf("shrunk %d faults to %d with %d violations", len(failing.Schedule), len(smallest.Schedule), len(smallest.Violations))
		}
		return
	}
	t.Fatal("no seed failed")
}
