package fleetsim

import (
	"testing"
)

// seeds is how many seeds CI runs; `sedgemast-lab simulate-fleet` runs others.
const seeds = 40

func TestSeeds(t *testing.T) {
	for seed := uint64(1); seed <= seeds; seed++ {
		if world, violations := Run(seed, MutationNone); len(violations) > 0 {
			t.Fatalf("seed %d: %v\n%v", seed, violations, world.Log)
		}
	}
}

// TestSameSeedSameRun checks that a seed can be replayed.
func TestSameSeedSameRun(t *testing.T) {
	first, _ := Run(3, MutationNone)
	second, _ := Run(3, MutationNone)
	if first.sequence != second.sequence || first.ledger.acknowledged != second.ledger.acknowledged || len(first.ledger.names) != len(second.ledger.names) {
		t.Errorf("%d and %d events", first.sequence, second.sequence)
	}
}

// TestSeedsOnceRed runs the seeds that found a fault, with what it was.
func TestSeedsOnceRed(t *testing.T) {
	for seed, was := range map[uint64]string{
		10184: "two stores were asked to be emptied at the same time, each as if it were alone",
		40821: "a store lost 2 s ago counted as remaining when another was asked to be emptied",
		61519: "a store that was to be replaced let another one be emptied though it was gone",
		81574: "a harmless request, refused with a deadly one, was tried beside it, and rested for a minute",
		90375: "two stores handed a group to each other for ever, one of which was to be emptied (the simulator's fault)",
	} {
		if world, violations := Run(seed, MutationNone); len(violations) > 0 {
			t.Errorf("seed %d (%s): %v\n%v", seed, was, violations, world.Log)
		}
	}
}

// TestSomethingHappens checks that runs do what they are for.
func TestSomethingHappens(t *testing.T) {
	world, _ := Run(1, MutationNone)
	accepted, listed := 0, 0
	for _, known := range world.ledger.jobs {
		if known.accepted {
			accepted++
		}
		listed += len(known.results)
	}
	if world.ledger.acknowledged < 10 || accepted < 10 || listed < 20 || len(world.Log) < 10 {
		t.Errorf("version %d, %d jobs accepted, %d results, %d faults", world.ledger.acknowledged, accepted, listed, len(world.Log))
	}
}

// TestMutationsAreSeen takes each mechanism away: some seed must turn red.
func TestMutationsAreSeen(t *testing.T) {
	for _, mutation := range Mutations {
		t.Run(string(mutation), func(t *testing.T) {
			for seed := uint64(1); seed <= 4*seeds; seed++ {
				if _, violations := Run(seed, mutation); len(violations) > 0 {
					t.Logf("seed %d: %s", seed, violations[0])
					return
				}
			}
			t.Errorf("no seed shows it")
		})
	}
}

// TestLostVoterWithinAChange replays a seed in which a store group had no leader for good. A
// leader appends the change that lets a learner take a voter's place, and tells nobody; the
// next one tells its first entry to that learner alone, and loses its disk. The one voter
// that knows of the change needs the learner's vote, whose log is more complete, and the
// learner, which does not know that it is to be a voter, never stood.
func TestLostVoterWithinAChange(t *testing.T) {
	if world, violations := Run(101603, MutationNone); len(violations) > 0 {
		t.Errorf("%v\n%v", violations, world.Log)
	}
}
