package simulation

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// MutationCheck pairs a promise with the mutation that takes its mechanism away, and the
// faults under which the check must notice.
type MutationCheck struct {
	Promise  string
	Mutation Mutation
	// Check is the check that must notice; empty means any.
	Check      string
	FaultKinds []string
	// BatchOnly leaves the workers to batch items.
	BatchOnly bool
}

// MutationChecks returns the mutations to be seen red.
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

// proofProfile makes the failure of each mechanism likelier: with more work for
// fewer workers.
func proofProfile(profile Profile) Profile {
	profile.Workers = 4
	profile.OnlineInterval /= 4
	profile.JobItems *= 3
	profile.JobInterval /= 2
	profile.EngineStep = 60 * time.Millisecond
	profile.Recovery *= 4
	return profile
}

// batchProfile leaves nearly all of the fleet to batch items, so that an item
// whose lease has lapsed is taken up at once.
func batchProfile(profile Profile) Profile {
	profile = proofProfile(profile)
	profile.OnlineInterval *= 40
	return profile
}

// VerifyMutations runs each promise under its faults, whole and with its mutation, over the
// seeds, and writes a row for each. It reports whether every promise was green
// and every mutation red.
func VerifyMutations(out io.Writer, first, last uint64) bool {
	good := true
	fmt.Fprintf(out, "| promise | faults | seeds | whole system | mechanism taken away | seen red by |\n|---|---|---|---|---|---|\n")
	for _, proof := range MutationChecks() {
		profiles := proof.profiles()
		whole := Sweep{FirstSeed: first, LastSeed: last, Profiles: profiles, FaultKinds: proof.FaultKinds}.Run()
		mutated := Sweep{FirstSeed: first, LastSeed: last, Profiles: profiles, FaultKinds: proof.FaultKinds, Mutation: proof.Mutation}.Run()
		green, red := "green", "NOT RED"
		if len(whole.Failed) > 0 {
			green = fmt.Sprintf("RED in %d: %s", len(whole.Failed), describe(whole.Failed[0]))
			good = false
		}
		if noticed := noticedBy(mutated.Failed, proof.Check); len(noticed) > 0 {
			red = fmt.Sprintf("%d of %d runs; %s", len(noticed), mutated.Seeds, describe(noticed[0]))
		} else {
			good = false
		}
		fmt.Fprintf(out, "| %s | %s | %d..%d, 2 profiles | %s | %s | %s |\n", proof.Promise, orNone(proof.FaultKinds), first, last, green, proof.Mutation, red)
	}
	return good
}

// noticedBy returns the results in which the check was the first to turn red.
func noticedBy(failed []*Result, check string) []*Result {
	var noticed []*Result
	for _, result := range failed {
		if check == "" || result.Violations[0].Promise == check {
			noticed = append(noticed, result)
		}
	}
	return noticed
}

func (p MutationCheck) profiles() []Profile {
	shape := proofProfile
	if p.BatchOnly {
		shape = batchProfile
	}
	return []Profile{shape(Profiles()["stundir"]), shape(Profiles()["kotare"])}
}

func orNone(kinds []string) string {
	if len(kinds) == 0 {
		return "load alone"
	}
	return strings.Join(kinds, ", ")
}

func describe(result *Result) string {
	violation := result.Violations[0]
	return fmt.Sprintf("%q, first in seed %d of %s at %s", violation.Promise, result.Seed, result.Profile, violation.At.Round(time.Millisecond))
}
