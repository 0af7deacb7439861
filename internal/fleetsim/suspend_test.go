package fleetsim

import "testing"

// TestSuspendedMachines suspends machines, mostly the leading coordinator, and checks that no read
// is older than what was acknowledged and that no other promise is broken. It guards against leases
// and ages measured with a clock that stops during a suspension: a lease of 0.4 s, granted before
// the suspension, was then still in force seconds later. Meanwhile the others had elected a new
// leader, which had committed a change. The resumed leader answered reads with the configuration
// before that change until it learned of the new term, and a process took updates from before its
// suspension for current. With a clock that counts the suspension, the same seeds show no old read.
func TestSuspendedMachines(t *testing.T) {
	for seed := uint64(seeds + 1); seed <= 2*seeds; seed++ {
		if world, violations := Run(seed, MutationNone); len(violations) > 0 {
			t.Fatalf("seed %d: %v\n%v", seed, violations, world.Log)
		}
	}
}
