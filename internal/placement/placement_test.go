package placement

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/proptest"
)

// TestJobsAreSpread checks that each group gets an even share of many jobs, to within 15%.
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
		t.Errorf("got group %d without any groups, want -1", group)
	}
}

// TestVotersAreSpread places groups on fleets of different sizes: each group has the wanted number
// of voters, spread over the zones, and no store votes in more than one group above the
// average.
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
			t.Errorf("%+v: got %d groups", test, got)
		}
		groupsOf := map[uint64]int{}
		for group, voters := range InitialVoters(candidates, test.groups, test.voters) {
			inZone, seen := map[string]int{}, map[uint64]bool{}
			for _, id := range voters {
				groupsOf[id]++
				inZone[zoneOf[id]]++
				seen[id] = true
			}
			if len(seen) != min(test.voters, test.stores) {
				t.Errorf("%+v: group %d has voters %v, want distinct ones in the wanted number", test, group, voters)
			}
			for zone, count := range inZone {
				if count > (test.voters+test.zones-1)/test.zones {
					t.Errorf("%+v: group %d has %d voters in zone %s", test, group, count, zone)
				}
			}
		}
		most := 0
		for _, count := range groupsOf {
			most = max(most, count)
		}
		if even := (test.groups*min(test.voters, test.stores) + test.stores - 1) / test.stores; most > even+1 {
			t.Errorf("%+v: a store votes in %d groups, want at most one above the average", test, most)
		}
	}
}

// TestLeadersSpread lets replicas transfer leaderships from random initial leaders. The transfers
// must end. The numbers of groups that any two replicas lead must then differ by one at most. No
// replica may transfer a group that it does not lead.
func TestLeadersSpread(t *testing.T) {
	proptest.Run(t, "spread", func(random *rand.Rand) error {
		replicas := 2 + random.Intn(5)
		leaders := map[int]uint64{}
		for group := range MaxGroups {
			leaders[group] = uint64(1 + random.Intn(replicas))
		}
		for transfers := 0; ; transfers++ {
			if transfers > MaxGroups*replicas {
				return errors.Newf("the transfers do not end: %v", leaders)
			}
			transferred := false
			for self := uint64(1); self <= uint64(replicas); self++ {
				ready := func(int) (others []uint64) {
					for id := uint64(1); id <= uint64(replicas); id++ {
						if id != self {
							others = append(others, id)
						}
					}
					return others
				}
				transfer, found := RebalanceLeaders(self, leaders, ready)
				if !found {
					continue
				}
				if leaders[transfer.Group] != self || transfer.To == self {
					return errors.Newf("replica %d transfers %+v with the leaders %v", self, transfer, leaders)
				}
				leaders[transfer.Group] = transfer.To
				transferred = true
			}
			if !transferred {
				break
			}
		}
		led := make([]int, replicas+1)
		for _, leader := range leaders {
			led[leader]++
		}
		for a := 1; a <= replicas; a++ {
			for b := 1; b <= replicas; b++ {
				if led[a]-led[b] >= minLeadDifference {
					return errors.Newf("the leaderships are uneven after the last transfer: %v", leaders)
				}
			}
		}
		return nil
	})
}

// TestNoTransferWithoutLeaderOrReadyReplica checks that there is no transfer while the leader of
// a group is unknown or no replica is ready to take over.
func TestNoTransferWithoutLeaderOrReadyReplica(t *testing.T) {
	allReady := func(int) []uint64 { return []uint64{2, 3} }
	if _, found := RebalanceLeaders(1, map[int]uint64{0: 1, 2: 1, 3: 1, 7: 0}, allReady); found {
		t.Error("a group is transferred while the leader of another is unknown")
	}
	if _, found := RebalanceLeaders(1, map[int]uint64{0: 1, 2: 1, 3: 1, 7: 1}, func(int) []uint64 { return nil }); found {
		t.Error("a group is transferred though no replica is ready")
	}
}
