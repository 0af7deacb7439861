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
		count := world.crashCounts[crashingRequest]
		sent, late, runs = sent+count.sent, late+count.late, runs+1
		if count.exits < 3 {
			t.Errorf("seed %d: only %d workers exited", seed, count.exits)
		}
	}
	t.Logf("%d runs: crashing request sent to %d workers, %d of them late", runs, sent, late)
}

// TestPromptPartsUnderFaults checks that requests of which no two are alike, with a crashing part in
// their prompts, make enough workers exit for the checks of a run to mean something.
func TestPromptPartsUnderFaults(t *testing.T) {
	sent, late, runs := 0, 0, 0
	for seed := uint64(3*seeds + 5); seed <= 5*seeds; seed += 6 {
		world, violations := Run(seed, MutationNone)
		if len(violations) > 0 {
			t.Fatalf("seed %d: %v\n%v", seed, violations, world.Log)
		}
		count := world.crashCounts[crashingPartRequest]
		sent, late, runs = sent+count.sent, late+count.late, runs+1
		if count.exits < crashLimit[crashingPartRequest] {
			t.Errorf("seed %d: only %d workers exited", seed, count.exits)
		}
	}
	t.Logf("%d runs: requests with the crashing part sent to %d workers, %d of them late", runs, sent, late)
}
