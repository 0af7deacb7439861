package simulation

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// MutationCheck names a promise, the mutation that disables its mechanism, and the faults under
// which a check must fail.
type MutationCheck struct {
	Promise  string
	Mutation Mutation
	// Check is the promise of the first violation that must be found; empty means any.
	Check      string
	FaultKinds []string
	// BatchOnly leaves nearly all of the fleet to batch items.
	BatchOnly bool
}

// MutationChecks returns the checks that VerifyMutations runs.
func MutationChecks() []MutationCheck {
	stops := []string{"dispatcher_stops", "gateway_stops"}
	return []MutationCheck{
		{Promise: "an accepted item completes exactly once", Mutation: MutationLastCompletionWins, Check: "exactly once", FaultKinds: []string{"dispatcher_lost_control"}, BatchOnly: true},
		{Promise: "what is accepted outlives a lost disk", Mutation: MutationKeepIdentity, Check: "", FaultKinds: []string{"rolling_disk_loss"}},
		{Promise: "what is accepted outlives a crash", Mutation: MutationNoSync, Check: "", FaultKinds: []string{"control_killed", "control_leader_killed"}},
		{Promise: "a resent job is the same job", Mutation: MutationNoIdempotency, Check: "resend", FaultKinds: nil},
		{Promise: "a cancelled job stops", Mutation: MutationIgnoreCancel, Check: "cancel stops", FaultKinds: nil},
		{Promise: "online never waits behind batch", Mutation: MutationNoPreemption, Check: "online before batch", FaultKinds: nil},
		{Promise: "each caller gets the whole answer to its own request", Mutation: MutationNoSequencer, Check: "whole answer", FaultKinds: []string{"answers_crossed", "answers_twice", "answers_late"}},
		{Promise: "not run is true", Mutation: MutationFalseNotRun, Check: "not run is true", FaultKinds: []string{"worker_dies", "dispatcher_killed"}},
		{Promise: "no repetition where it is forbidden", Mutation: MutationRetryNotRepeatable, Check: "at most once", FaultKinds: []string{"worker_dies", "streams_cut", "dispatcher_killed"}},
		{Promise: "a leaving worker gets no new work", Mutation: MutationIgnoreLeaving, Check: "leaving gets no work", FaultKinds: []string{"worker_leaves"}},
		{Promise: "a planned stop cuts no request", Mutation: MutationNoGracefulStop, Check: "planned stop", FaultKinds: stops},
		{Promise: "configuration is in force within seconds", Mutation: MutationNoConfigurationLease, Check: "configuration", FaultKinds: []string{"gateway_cut", "gateway_freezes"}},
		{Promise: "configuration never goes back", Mutation: MutationStaleConfiguration, Check: "configuration", FaultKinds: []string{"gateway_killed", "gateway_cut"}},
		{Promise: "one owner of a worker", Mutation: MutationNoFencing, Check: "fencing", FaultKinds: []string{"dispatcher_cut", "dispatcher_freezes", "control_leader_cut"}},
		{Promise: "equal numbers: one change wins", Mutation: MutationNoRevisionCheck, Check: "configuration", FaultKinds: []string{"operators_race"}},
	}
}

// stressProfile makes violations more likely: it gives more work to fewer workers.
func stressProfile(profile Profile) Profile {
	profile.Workers = 4
	profile.OnlineInterval /= 4
	profile.JobItems *= 3
	profile.JobInterval /= 2
	profile.EngineStep = 60 * time.Millisecond
	profile.Recovery *= 4
	return profile
}

// batchProfile leaves nearly all of the fleet to batch items, so that an item whose lease has
// expired is leased again at once.
func batchProfile(profile Profile) Profile {
	profile = stressProfile(profile)
	profile.OnlineInterval *= 40
	return profile
}

// VerifyMutations runs each check over the seeds, without and with its mutation, and writes one row
// of a table per check. It returns true if no run without a mutation failed and every mutation was
// detected.
func VerifyMutations(out io.Writer, first, last uint64) bool {
	passed := true
	fmt.Fprintf(out, "| promise | faults | seeds | without mutation | mutation | detected in |\n|---|---|---|---|---|---|\n")
	for _, check := range MutationChecks() {
		profiles := check.profiles()
		baseline := Sweep{FirstSeed: first, LastSeed: last, Profiles: profiles, FaultKinds: check.FaultKinds}.Run()
		mutated := Sweep{FirstSeed: first, LastSeed: last, Profiles: profiles, FaultKinds: check.FaultKinds, Mutation: check.Mutation}.Run()
		baselineText, mutatedText := "green", "NOT DETECTED"
		if len(baseline.Failed) > 0 {
			baselineText = fmt.Sprintf("RED in %d runs: %s", len(baseline.Failed), describe(baseline.Failed[0]))
			passed = false
		}
		if detected := detectedBy(mutated.Failed, check.Check); len(detected) > 0 {
			mutatedText = fmt.Sprintf("%d of %d runs; %s", len(detected), mutated.Seeds, describe(detected[0]))
		} else {
			passed = false
		}
		fmt.Fprintf(out, "| %s | %s | %d..%d, 2 profiles | %s | %s | %s |\n", check.Promise, faultList(check.FaultKinds), first, last, baselineText, check.Mutation, mutatedText)
	}
	return passed
}

// detectedBy returns the results whose first violation is of the check; an empty check matches all.
func detectedBy(failed []*Result, check string) []*Result {
	var detected []*Result
	for _, result := range failed {
		if check == "" || result.Violations[0].Promise == check {
			detected = append(detected, result)
		}
	}
	return detected
}

func (c MutationCheck) profiles() []Profile {
	adjust := stressProfile
	if c.BatchOnly {
		adjust = batchProfile
	}
	return []Profile{adjust(Profiles()["stundir"]), adjust(Profiles()["kotare"])}
}

func faultList(kinds []string) string {
	if len(kinds) == 0 {
		return "load alone"
	}
	return strings.Join(kinds, ", ")
}

// describe returns the first violation of a failed run.
func describe(result *Result) string {
	violation := result.Violations[0]
	return fmt.Sprintf("%q, first in seed %d of %s at %s", violation.Promise, result.Seed, result.Profile, violation.At.Round(time.Millisecond))
}
