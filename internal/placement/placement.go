// Package placement decides which store group stores a job, which stores vote in a group, and
// which store leads it. It does no I/O.
//
// Jobs are distributed over a number of groups by the hash of their ids. Each group has its own
// log, voters and leader. A leader runs the items of its group's jobs, so that after the loss
// of a store only the items that it ran are run again, and no store's CPU or disk has to
// carry the whole load.
package placement

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// GroupOf returns the index of the group that stores the job, or -1 if there are no groups. The
// number of groups can't change after the groups are bootstrapped, because the group of every job
// depends on it.
func GroupOf(job string, groups int) int {
	if groups <= 0 {
		return -1
	}
	return int(xxhash.Sum64String(job) % uint64(groups))
}

// Transfer moves the leadership of a group to another replica.
type Transfer struct {
	Group int
	To    uint64
}

// minLeadDifference is how many more groups a replica must lead than another one before it
// transfers a leadership to that other replica. With a smaller value leaderships would move back
// and forth.
const minLeadDifference = 2

// RebalanceLeaders returns a transfer that makes the leaderships more even, or false if there is
// none. leaders holds the leader of each group that this store is a member of, zero if the leader
// is not known. While any leader is unknown, no group is transferred. ready returns the replicas
// that could take over a group that self leads.
func RebalanceLeaders(self uint64, leaders map[int]uint64, ready func(group int) []uint64) (Transfer, bool) {
	led := map[uint64]int{}
	for _, leader := range leaders {
		if leader == 0 {
			return Transfer{}, false
		}
		led[leader]++
	}
	for _, group := range slices.Sorted(maps.Keys(leaders)) {
		if leaders[group] != self {
			continue
		}
		candidates := ready(group)
		if len(candidates) == 0 {
			continue
		}
		to := slices.MinFunc(candidates, func(a, b uint64) int { return cmp.Or(cmp.Compare(led[a], led[b]), cmp.Compare(a, b)) })
		if led[self]-led[to] >= minLeadDifference {
			return Transfer{Group: group, To: to}, true
		}
	}
	return Transfer{}, false
}
