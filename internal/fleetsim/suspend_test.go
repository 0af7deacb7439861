package fleetsim

import "testing"

// TestSuspendedMachines suspends machines, mostly the leading coordinator, and checks that no read
// is older than what was acknowledged and that no other promise is broken. It guards against leases
// and ages measured with a clock that stops during a suspension. With such a clock, a lease of
// 0.4 s that was granted before the suspension was still in force seconds later, when the leader
// resumed. Meanwhile the other coordinators had elected a new leader, which had committed a change.
// Until the resumed leader learned of the new term, it answered reads with the configuration before
// that change. A resumed process also took updates from before its suspension for current. With a
// clock that counts the suspension, the same seeds show no old read.
func TestSuspendedMachines(t *testing.T) {
	for seed := uint64(seeds + 1); seed <= 2*seeds; seed++ {
		if world, violations := Run(seed, MutationNone); len(violations) > 0 {
			t.Fatalf("seed %d: %v\n%v", seed, violations, world.Log)
		}
	}
}
