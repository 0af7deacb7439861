package placement

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/proptest"
)

// TestJobsAreSpread checks that each group gets its part of many jobs.
func TestJobsAreSpread(t *testing.T) {
	var counts [Groups]int
	for i := range 6000 {
		counts[GroupOf(fmt.Sprintf("%x", i))]++
	}
	const even = 6000 / Groups
	for group, count := range counts {
		if count < even*85/100 || count > even*115/100 {
			t.Errorf("group %d has %d of 6000 jobs", group, count)
		}
	}
}

// TestLeadersSpread lets replicas hand leaderships over from random beginnings: they
// come to rest with no replica more than one group ahead of another that could lead,
// and none gives away a group that it does not lead.
func TestLeadersSpread(t *testing.T) {
	proptest.Run(t, "spread", func(random *rand.Rand) error {
		replicas := 2 + random.Intn(5)
		leaders := make([]uint64, Groups)
		for group := range leaders {
			leaders[group] = uint64(1 + random.Intn(replicas))
		}
		for moves := 0; ; moves++ {
			if moves > Groups*replicas {
				return errors.Newf("%v never comes to rest", leaders)
			}
			moved := false
			for self := uint64(1); self <= uint64(replicas); self++ {
				ready := func(int) (others []uint64) {
					for id := uint64(1); id <= uint64(replicas); id++ {
						if id != self {
							others = append(others, id)
						}
					}
					return others
				}
				move, found := Spread(self, leaders, ready)
				if !found {
					continue
				}
				if leaders[move.Group] != self || move.To == self {
					return errors.Newf("%d moves %+v of %v", self, move, leaders)
				}
				leaders[move.Group] = move.To
				moved = true
			}
			if !moved {
				break
			}
		}
		led := make([]int, replicas+1)
		for _, leader := range leaders {
			led[leader]++
		}
		for a := 1; a <= replicas; a++ {
			for b := 1; b <= replicas; b++ {
				if led[a]-led[b] >= leastLead {
					return errors.Newf("%v rests unevenly", leaders)
				}
			}
		}
		return nil
	})
}

func TestNothingMovesBlindly(t *testing.T) {
	everybody := func(int) []uint64 { return []uint64{2, 3} }
	if _, found := Spread(1, []uint64{1, 1, 1, 0}, everybody); found {
		t.Error("a group moves while another has no known leader")
	}
	if _, found := Spread(1, []uint64{1, 1, 1, 1}, func(int) []uint64 { return nil }); found {
		t.Error("a group moves to nobody")
	}
}
