package fleetsim

import "testing"

// TestCrashingRequests runs a request under which workers exit while coordinators and edges are
// killed, cut off, frozen and suspended. It checks that enough workers exit for the checks to mean
// something, and logs how often the request was sent.
func TestCrashingRequests(t *testing.T) {
	sent, late, runs := 0, 0, 0
	for seed := uint64(2*seeds + 1); seed <= 3*seeds; seed++ {
		world, violations := Run(seed, MutationNone)
		if len(violations) > 0 {
			t.Fatalf("seed %d: %v\n%v", seed, violations, world.Log)
		}
		sent, late, runs = sent+world.crashingSent, late+world.crashingSentLate, runs+1
		if world.crashExits < 3 {
			t.Errorf("seed %d: only %d workers exited", seed, world.crashExits)
		}
	}
	t.Logf("%d runs: crashing request sent to %d workers, %d of them late", runs, sent, late)
}
