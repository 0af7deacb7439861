package fleetsim

import "testing"

// TestDeadlyRequests counts over many seeds what a deadly request does while coordinators
// and edges are killed, cut off, frozen and suspended, and checks that there was something
// to find.
func TestDeadlyRequests(t *testing.T) {
	sent, late, runs := 0, 0, 0
	for seed := uint64(2*seeds + 1); seed <= 3*seeds; seed++ {
		world, violations := Run(seed, MutationNone)
		if len(violations) > 0 {
			t.Fatalf("seed %d: %v\n%v", seed, violations, world.Log)
		}
		sent, late, runs = sent+world.deadlySent, late+world.deadlyLate, runs+1
		if world.deadlyEnds < 3 {
			t.Errorf("seed %d: only %d workers ended", seed, world.deadlyEnds)
		}
	}
	t.Logf("%d runs: sent to %d workers, %d of them late", runs, sent, late)
}
