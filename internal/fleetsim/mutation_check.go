package fleetsim

import (
	"fmt"
	"io"
	"strings"
)

// mutationCheck names a promise, a mutation of its mechanism, and a part of the violation that must then
// be found.
type mutationCheck struct {
	promise   string
	mutation  Mutation
	violation string
}

var mutationChecks = []mutationCheck{
	{"no request rests on an old list of workers", MutationTrustOldList, "after it was listed as leaving"},
	{"no item is abandoned by an older configuration than its job's", MutationTrustOldConfiguration, "under which it was accepted"},
	{"nor, if its version is unknown, by one that no leader has confirmed since", MutationTrustVersion, "under which it was accepted"},
	{"the items of an ended route are abandoned in time", MutationNoVerdict, "after the end of"},
	{"no item is held back in calm for the exits of a burst", MutationHoldItems, "still waits"},
	{"refused items do not all start at the first calm moment", MutationNoPace, "refused items at once"},
	{"nor for a trial that a burst broke off in which little else ran", MutationUnlistedExits, "still waits"},
	{"a status that promises that nothing ran is no failed run's", MutationTrustStatus, "workers have run"},
	{"nor one after an earlier run", MutationForgetSends, "workers have run"},
	{"a mark on the answer of a run lets nothing run twice", MutationTrustMark, "that may run once"},
	{"answers without end don't fill an edge's memory", MutationNoAnswerBounds, "without end"},
	{"nor pass for whole ones", MutationAnyEvents, "for a whole answer"},
	{"an answer that is no valid HTTP is none", MutationAnyHead, "passes on a broken answer"},
	{"nor one that ends during the upload", MutationTrustEarlyEnd, "passes on a broken answer"},
	{"the age of a list counts from its reading", MutationListAgeFromAnswer, "after it was listed as leaving"},
}

// VerifyMutations runs each check over the seeds, without and with its mutation, and writes one row of a
// table per check. It returns true if no run without a mutation failed and every mutation was detected.
func VerifyMutations(out io.Writer, first, last uint64) bool {
	passed := true
	baseline := "green"
	if seeds, found := violatingSeeds(first, last, MutationNone, ""); len(seeds) > 0 {
		baseline = fmt.Sprintf("RED in %d runs: seed %d, %s", len(seeds), seeds[0], found)
		passed = false
	}
	for _, check := range mutationChecks {
		detected := "NOT DETECTED"
		if seeds, found := violatingSeeds(first, last, check.mutation, check.violation); len(seeds) > 0 {
			detected = fmt.Sprintf("%d of %d runs; first in seed %d: %s", len(seeds), last-first+1, seeds[0], strings.TrimSpace(found))
		} else {
			passed = false
		}
		fmt.Fprintf(out, "| %s | all of fleetsim | %d..%d | %s | %s | %s |\n", check.promise, first, last, baseline, check.mutation, detected)
	}
	return passed
}

// violatingSeeds returns the seeds with a violation that contains the text, and the first violation.
func violatingSeeds(first, last uint64, mutation Mutation, text string) (seeds []uint64, found string) {
	for seed := first; seed <= last; seed++ {
		_, violations := Run(seed, mutation)
		for _, violation := range violations {
			if strings.Contains(violation, text) {
				if len(seeds) == 0 {
					found = violation
				}
				seeds = append(seeds, seed)
				break
			}
		}
	}
	return seeds, found
}
