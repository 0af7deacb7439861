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
	for groups := 1; groups <= MaxGroups; groups++ {
		counts := make([]int, groups)
		even := 2000
		for i := range even * groups {
			counts[GroupOf(fmt.Sprintf("%x", i), groups)]++
		}
		for group, count := range counts {
			if count < even*85/100 || count > even*115/100 {
				t.Errorf("group %d of %d has %d of %d jobs", group, groups, count, even*groups)
			}
		}
	}
	if group := GroupOf("j", 0); group != -1 {
		t.Errorf("a job is in group %d of none", group)
	}
}

// TestVotersAreSpread places groups on fleets of different sizes: each group has as many
// voters as wanted, spread over the zones, and no store carries many more than another
// of its zone.
func TestVotersAreSpread(t *testing.T) {
	for _, test := range []struct{ stores, zones, voters, groups int }{
		{3, 3, 3, 3}, {4, 4, 3, 3}, {10, 3, 5, 3}, {12, 5, 5, 3}, {45, 5, 5, 9}, {45, 7, 5, 9}, {200, 9, 5, 9}, {2, 1, 3, 3},
	} {
		var candidates []Candidate
		zoneOf := map[uint64]string{}
		for i := range test.stores {
			c := Candidate{ID: uint64(i + 1), Zone: fmt.Sprint(i % test.zones)}
			candidates, zoneOf[c.ID] = append(candidates, c), c.Zone
		}
		if got := GroupCount(test.stores, test.voters); got != test.groups {
			t.Errorf("%+v: %d groups", test, got)
		}
		carried := map[uint64]int{}
		for group, voters := range InitialVoters(candidates, test.groups, test.voters) {
			inZone, seen := map[string]int{}, map[uint64]bool{}
			for _, id := range voters {
				carried[id]++
				inZone[zoneOf[id]]++
				seen[id] = true
			}
			if len(seen) != min(test.voters, test.stores) {
				t.Errorf("%+v: group %d has voters %v", test, group, voters)
			}
			for zone, count := range inZone {
				if count > (test.voters+test.zones-1)/test.zones {
					t.Errorf("%+v: group %d has %d voters in zone %s", test, group, count, zone)
				}
			}
		}
		most := 0
		for _, count := range carried {
			most = max(most, count)
		}
		if even := (test.groups*min(test.voters, test.stores) + test.stores - 1) / test.stores; most > even+1 {
			t.Errorf("%+v: a store carries %d groups", test, most)
		}
	}
}

// TestLeadersSpread lets replicas hand leaderships over from random beginnings: they
// come to rest with no replica more than one group ahead of another that could lead,
// and none gives away a group that it does not lead.
func TestLeadersSpread(t *testing.T) {
	proptest.Run(t, "spread", func(random *rand.Rand) error {
		replicas := 2 + random.Intn(5)
		leaders := map[int]uint64{}
		for group := range MaxGroups {
			leaders[group] = uint64(1 + random.Intn(replicas))
		}
		for moves := 0; ; moves++ {
			if moves > MaxGroups*replicas {
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
				move, found := RebalanceLeaders(self, leaders, ready)
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
	if _, found := RebalanceLeaders(1, map[int]uint64{0: 1, 2: 1, 3: 1, 7: 0}, everybody); found {
		t.Error("a group moves while another has no known leader")
	}
	if _, found := RebalanceLeaders(1, map[int]uint64{0: 1, 2: 1, 3: 1, 7: 1}, func(int) []uint64 { return nil }); found {
		t.Error("a group moves to nobody")
	}
}
