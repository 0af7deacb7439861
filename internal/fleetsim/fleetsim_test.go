package fleetsim

import (
	"testing"
)

// seeds is the number of seeds that CI runs; `sedgemast-lab simulate-fleet` runs others.
const seeds = 40

func TestSeeds(t *testing.T) {
	for seed := uint64(1); seed <= seeds; seed++ {
		if world, violations := Run(seed, MutationNone); len(violations) > 0 {
			t.Fatalf("seed %d: %v\n%v", seed, violations, world.Log)
		}
	}
}

// TestSameSeedSameRun checks that a seed gives the same run each time, so that a failure can be
// replayed.
func TestSameSeedSameRun(t *testing.T) {
	first, _ := Run(3, MutationNone)
	second, _ := Run(3, MutationNone)
	if first.sequence != second.sequence || first.ledger.acknowledged != second.ledger.acknowledged || len(first.ledger.jobIDs) != len(second.ledger.jobIDs) {
		t.Errorf("the runs differ: %d and %d events", first.sequence, second.sequence)
	}
}

// TestSeedsThatFoundFaults runs seeds that once failed. Each text names the fault that the seed
// found.
func TestSeedsThatFoundFaults(t *testing.T) {
	for seed, was := range map[uint64]string{
		10184: "two stores were asked to drain at the same time, each as if it were the only one",
		40821: "a store lost 2 s before counted as remaining when another one was asked to drain",
		61519: "a store that was being replaced counted as remaining when another one was asked to drain, though it was gone",
		81574: "a harmless request, refused together with the crashing one, had its trial beside that one, and was then refused for a minute",
		185:   "an edge had heard nothing while another version came and went, and continued streams at the only version it had seen",
		90375: "two stores, one of them retiring, transferred the leadership of a group to each other forever (a fault of the simulator)",
	} {
		if world, violations := Run(seed, MutationNone); len(violations) > 0 {
			t.Errorf("seed %d (%s): %v\n%v", seed, was, violations, world.Log)
		}
	}
}

// TestRunsAreNotEmpty checks that a run changes configurations, accepts jobs, returns results and
// injects faults, since the promises hold trivially in a run that does nothing.
func TestRunsAreNotEmpty(t *testing.T) {
	world, _ := Run(1, MutationNone)
	accepted, resultCount := 0, 0
	for _, known := range world.ledger.jobs {
		if known.accepted {
			accepted++
		}
		resultCount += len(known.results)
	}
	if counts := world.listCounts; counts.sent < 100 || counts.asked < 10 || counts.rejected < 10 {
		t.Errorf("too few sends to workers that may leave: %+v", counts)
	}
	if counts := world.answerCounts; counts.whole < 100 || counts.rejected < 2 || counts.unknown < 30 || counts.broken < 3 || counts.failedRuns < 30 || counts.endless < 20 || counts.malformed < 20 {
		t.Errorf("too few answers of workers that fail: %s", counts)
	}
	other, _ := Run(3, MutationNone)
	if counts := other.owedCounts; counts.done < owedItems || counts.exits < 10 {
		t.Errorf("too few runs of items: %+v", counts)
	}
	if counts := other.verdicts.counts; counts.jobs < 20 || counts.abandoned < 10 || counts.waited < 10 {
		t.Errorf("too few jobs on routes that come and go: %+v", counts)
	}
	if world.ledger.acknowledged < 10 || accepted < 10 || resultCount < 20 || len(world.Log) < 10 {
		t.Errorf("too little happened: version %d acknowledged, %d jobs accepted, %d results, %d log lines", world.ledger.acknowledged, accepted, resultCount, len(world.Log))
	}
}

// TestMutationsAreDetected checks that for each mutation some seed reports a violation.
func TestMutationsAreDetected(t *testing.T) {
	for _, mutation := range Mutations {
		t.Run(string(mutation), func(t *testing.T) {
			for seed := uint64(1); seed <= 4*seeds; seed++ {
				if _, violations := Run(seed, mutation); len(violations) > 0 {
					t.Logf("seed %d: %s", seed, violations[0])
					return
				}
			}
			t.Errorf("no seed reports a violation")
		})
	}
}

// TestLostVoterWithinAChange replays a seed in which a store group lost its leader for good. A
// leader appends a membership change in which a learner replaces a voter, and sends it to no other
// replica. The next leader sends its first entry to that learner alone and loses its disk. The only
// remaining voter that knows of the change needs the learner's vote, but the learner's log is more
// complete. The learner did not know that it was to be a voter and never started an election.
func TestLostVoterWithinAChange(t *testing.T) {
	if world, violations := Run(101603, MutationNone); len(violations) > 0 {
		t.Errorf("%v\n%v", violations, world.Log)
	}
}
