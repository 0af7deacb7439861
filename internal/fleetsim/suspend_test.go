package fleetsim

import "testing"

// What would be seen: a coordinator that had been suspended answered an operator's read
// with the configuration before the one acknowledged a second ago, and a process took news
// of before the suspension for fresh.
//
// The order of events: the leader is suspended; the others elect one of them, which commits
// a change; the first wakes up, and answers reads until it hears of the new term.
//
// The cause: leases and ages go by a steady clock that stands still while the machine does,
// so that a lease of 0.4 s, granted before, is still in force seconds later. The evidence:
// with a clock that counts the suspension no read is old, with the same seeds.

// TestSuspendedMachines suspends machines, mostly the coordinator that leads: no read is
// older than what was acknowledged, and nothing else that was promised is lost.
func TestSuspendedMachines(t *testing.T) {
	for seed := uint64(seeds + 1); seed <= 2*seeds; seed++ {
		if world, violations := Run(seed, MutationNone); len(violations) > 0 {
			t.Fatalf("seed %d: %v\n%v", seed, violations, world.Log)
		}
	}
}
